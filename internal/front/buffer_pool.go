package front

import "sync"

// largeBufferBytes are the sizes of the buffers for commands that do not fit into the buffer of a connection. The last one holds any command.
var largeBufferBytes = [...]int{8 << 10, 16 << 10, 32 << 10, maxCommandBytes + maxFramingBytes}

// bufferPool keeps large buffers between commands, so that clients with many large commands leave no garbage: under load, the collector could
// not keep up with them. It is safe for concurrent use.
type bufferPool struct {
	mu           sync.Mutex
	free         [len(largeBufferBytes)][][]byte
	freeBytes    int64
	maxFreeBytes int64
}

// take returns a buffer of at least the given size, which must not be above the last of largeBufferBytes.
func (p *bufferPool) take(size int) []byte {
	class := 0
	for largeBufferBytes[class] < size {
		class++
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.free[class]
	if len(free) == 0 {
		return make([]byte, largeBufferBytes[class])
	}
	last := len(free) - 1
	buffer := free[last]
	free[last], p.free[class] = nil, free[:last]
	p.freeBytes -= int64(len(buffer))
	return buffer
}

// put returns a buffer that take has returned.
func (p *bufferPool) put(buffer []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeBytes+int64(len(buffer)) > p.maxFreeBytes {
		return
	}
	for class, size := range largeBufferBytes {
		if len(buffer) == size {
			p.free[class] = append(p.free[class], buffer)
			p.freeBytes += int64(size)
		}
	}
}

// clear drops the buffers that are not in use and sets how many bytes of them are kept from now on.
func (p *bufferPool) clear(maxFreeBytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.free[:])
	p.freeBytes, p.maxFreeBytes = 0, maxFreeBytes
}
