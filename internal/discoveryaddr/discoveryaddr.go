// Package discoveryaddr holds an address that may move while it is in use: discovery's, which the watch and the
// notices share.
package discoveryaddr

import (
	"context"
	"sync"
)

// Place is an address that may move.
type Place struct {
	mu         sync.Mutex
	addr       string
	current    context.Context
	endCurrent context.CancelFunc
}

// New returns a Place at addr.
func New(addr string) *Place {
	p := &Place{addr: addr}
	p.current, p.endCurrent = context.WithCancel(context.Background())
	return p
}

// Now returns the address and a context that ends when the place moves from it: connections to it and waits
// for it end with that.
func (p *Place) Now() (string, context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.current
}

// Move changes the address and says whether it is another one.
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
