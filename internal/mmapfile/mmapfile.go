// Package mmapfile shares a small file between the processes of one relay by mapping it into their memory. What one writes with atomic
// operations the others read without a system call. The file is sparse: it takes memory by the pages that are used.
package mmapfile

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
)

// File is a mapped file. Until Close, and never behind it, Use lends its memory.
type File struct {
	mu  sync.RWMutex // held for writing to unmap: who is just ending must not read what is gone
	mem []byte       // nil once closed
}

// Open maps a file of so many bytes, made where there is none.
func Open(path string, size int) (*File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("mapped: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(int64(size)); err != nil {
		return nil, fmt.Errorf("mapped: %w", err)
	}
	mem, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("mapped: %s", path), err)
	}
	return &File{mem: mem}, nil
}

// Use calls f with the memory, unless the file is closed.
func (m *File) Use(f func(mem []byte)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.mem != nil {
		f(m.mem)
	}
}

// Close unmaps it. It may be closed again.
func (m *File) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.mem
	if m.mem = nil; mem == nil {
		return nil
	}
	return syscall.Munmap(mem)
}
