// Package discoveryaddr holds the address of discovery, which may change while it is in use. The watch of the pool and the notices
// share it.
package discoveryaddr

import (
	"context"
	"sync"
)

// Address is an address that may change.
type Address struct {
	mu         sync.Mutex
	addr       string
	current    context.Context
	endCurrent context.CancelFunc
}

// New returns an Address with the initial address addr.
func New(addr string) *Address {
	a := &Address{addr: addr}
	a.current, a.endCurrent = context.WithCancel(context.Background())
	return a
}

// Current returns the address and a context. The context ends when the address changes, so that connections to the old address, and
// waits for it, end too.
func (a *Address) Current() (string, context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.current
}

// Set sets the address and reports whether it has changed.
func (a *Address) Set(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return false
	}
	a.endCurrent()
	a.addr = addr
	a.current, a.endCurrent = context.WithCancel(context.Background())
	return true
}
