// Package mmapfile shares a small file between the processes of one relay by mapping it into their memory. Values that one process
// writes with atomic operations are visible to the others without a system call. The file is sparse: only used pages take memory.
package mmapfile

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
)

// File is a mapped file. Use gives access to its memory until Close.
type File struct {
	mu  sync.RWMutex // locked for writing to unmap, so that a concurrent Use does not read unmapped memory
	mem []byte       // nil once closed
}

// Open maps a file with a size in bytes, and creates the file if it does not exist.
func Open(path string, size int) (*File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("memory-mapped file: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(int64(size)); err != nil {
		return nil, fmt.Errorf("memory-mapped file: %w", err)
	}
	mem, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("memory-mapped file: mapping %s failed", path), err)
	}
	return &File{mem: mem}, nil
}

// Use calls f with the mapped memory, unless the file is closed.
func (m *File) Use(f func(mem []byte)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.mem != nil {
		f(m.mem)
	}
}

// Close unmaps the file. Further calls have no effect.
func (m *File) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.mem
	if m.mem = nil; mem == nil {
		return nil
	}
	return syscall.Munmap(mem)
}
