// Package discoveryaddr holds the address of discovery, which may change while it is in use. The watch of the pool and the notices
// share it.
package discoveryaddr

import (
	"context"
	"sync"
)

// Place is an address that may change.
type Place struct {
	mu         sync.Mutex
	addr       string
	current    context.Context
	endCurrent context.CancelFunc
}

// New returns a Place with the initial address addr.
func New(addr string) *Place {
	p := &Place{addr: addr}
	p.current, p.endCurrent = context.WithCancel(context.Background())
	return p
}

// Now returns the address and a context. The context ends when the address changes, so that connections to the old address, and
// waits for it, end too.
func (p *Place) Now() (string, context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.current
}

// Move sets the address and reports whether it has changed.
func (p *Place) Move(addr string) bool {
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
