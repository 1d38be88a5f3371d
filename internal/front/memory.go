package front

const (
	// maxConnBufferBytes and minConnBufferBytes bound the buffer of a connection. Most commands fit into the largest one.
	maxConnBufferBytes = 4096
	minConnBufferBytes = maxInlineBytes + maxFramingBytes
	// connBuffers is the number of buffers of each connection: for its input and for its answers.
	connBuffers = 2
	// lingeringShare is the reciprocal of the connections that may linger, of those that may be open. Each has one buffer.
	lingeringShare = 4
	// commandMemoryFactor is the ratio of the memory that a large command may take to its size: its buffer of up to twice the size, the copy
	// of its body, and a copy that is not collected yet.
	commandMemoryFactor = 4
)

// awaitedMemoryFactor is the ratio of the memory that a submission may take while its answer is awaited to its size: its copy, and one that is
// not collected yet.
const awaitedMemoryFactor = 2

// awaitedBytes is the memory that a submission takes beside its texts while its answer is awaited.
const awaitedBytes = 1024

// awaitedShare is the reciprocal of the share of the budget up to which submissions may share a step. The rest is kept for large commands.
const awaitedShare = 2

// reserveCommand is reserve for the current command. Earlier submissions of the connection make room if they hold the memory.
func (c *client) reserveCommand(bytes int64) bool {
	if c.server.reserve(c, bytes) {
		return true
	}
	if len(c.awaited) == 0 {
		return false
	}
	c.awaitAnswers()
	return c.server.reserve(c, bytes)
}

// reserveAwaited takes the memory for a submission of the given size while its answer is awaited. It returns false if there is none: the answer
// has to come first. One submission at a time needs no reservation.
func (s *Server) reserveAwaited(c *client, bytes int64) bool {
	if len(c.awaited) == maxAwaited {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	extra := awaitedMemoryFactor*bytes + awaitedBytes
	if !s.conns[c] || s.reservedBytes+extra > s.limits.MaxBufferedBytes/awaitedShare {
		return false
	}
	s.reservedBytes += extra
	c.awaitedBytes += extra
	return true
}

// releaseAwaited returns the memory of all submissions that are answered.
func (s *Server) releaseAwaited(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedBytes -= c.awaitedBytes
	c.awaitedBytes = 0
}

// connBufferBytes returns the size of each buffer of a connection.
func (l Limits) connBufferBytes() int {
	buffers := connBuffers*l.MaxConns + l.MaxConns/lingeringShare
	share := l.MaxConnBytes / int64(max(buffers, 1))
	return int(min(max(share, minConnBufferBytes), maxConnBufferBytes))
}

// reserve takes the memory for a command of the given size from the budget before the command is buffered, unless the command fits into
// the buffer that each connection has.
func (s *Server) reserve(c *client, bytes int64) bool {
	if bytes+maxFramingBytes <= int64(c.bufferBytes) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	extra := commandMemoryFactor*bytes - c.reservedBytes
	if extra > 0 && s.reservedBytes+extra > s.limits.MaxBufferedBytes {
		return false
	}
	if extra > 0 && s.conns[c] {
		c.reservedBytes, s.reservedBytes = c.reservedBytes+extra, s.reservedBytes+extra
		c.hasReserved = true
	}
	return true
}

// release returns the memory that was reserved for a command, once the command is answered.
func (s *Server) release(c *client) {
	if !c.hasReserved {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedBytes -= c.reservedBytes
	c.reservedBytes, c.hasReserved = 0, false
}
