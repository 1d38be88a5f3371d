// Package mmapfile shares a small file between the processes of one relay by mapping it into their memory. Values that one process
// writes with atomic operations are visible to the others without a system call. The file is sparse: only used pages take memory.
package mmapfile

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"unsafe"
)

// File is a mapped file. Use gives access to its memory until Close.
type File struct {
	path   string
	failed atomic.Bool // the kernel could not provide a page of the file

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
	return &File{path: path, mem: mem}, nil
}

// Use calls f with the mapped memory, unless the file is closed. The kernel raises a fault if it has no room for a page, or if the file was
// truncated (mmap(2), SIGBUS). Then f ends where it is, and the file shares nothing any more.
func (m *File) Use(f func(mem []byte)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.mem == nil || m.failed.Load() {
		return
	}
	panicked := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(panicked)
		if cause := recover(); cause != nil {
			m.handleFault(cause)
		}
	}()
	f(m.mem)
}

// handleFault marks the file as failed if the cause of a panic is a fault in its memory.
func (m *File) handleFault(cause any) {
	fault, ok := cause.(interface{ Addr() uintptr })
	if !ok {
		panic(cause)
	}
	begin := uintptr(unsafe.Pointer(&m.mem[0]))
	if fault.Addr() < begin || fault.Addr() >= begin+uintptr(len(m.mem)) {
		panic(cause)
	}
	if !m.failed.Swap(true) {
		slog.Warn("a file that is shared with a successor cannot be used", "path", m.path)
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
