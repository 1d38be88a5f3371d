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
	p := &Address{addr: addr}
	p.current, p.endCurrent = context.WithCancel(context.Background())
	return p
}

// Current returns the address and a context. The context ends when the address changes, so that connections to the old address, and
// waits for it, end too.
func (p *Address) Current() (string, context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.current
}

// Set sets the address and reports whether it has changed.
func (p *Address) Set(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr == addr {
		return false
	}
	p.endCurrent()
	p.addr = addr
	p.current, p.endCurrent = context.WithCancel(context.Background())
	return true
}
