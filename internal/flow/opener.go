package flow

import (
	"context"
	"sync"
	"time"

	"slatemux/internal/tlspolicy"
)

// opener has flows wait for new connections over TLS as tlspolicy.Gate decides. A flow that waits gets leave for a handshake,
// or a connection of its member that has fallen idle meanwhile.
type opener struct {
	busy func() float64 // the program's own load; nil for none

	mu     sync.Mutex
	gate   *tlspolicy.Gate
	origin time.Time
	seq    uint64
	waits  map[uint64]chan grant
	timer  *time.Timer
}

// grant ends a wait. Without a connection and leave, time was up.
type grant struct {
	leave bool
	c     *conn
}

func newOpener(cfg tlspolicy.GateConfig, busy func() float64) *opener {
	return &opener{busy: busy, gate: tlspolicy.NewGate(cfg), origin: time.Now(), waits: map[uint64]chan grant{}}
}

// wait waits for a grant until the deadline or the end of ctx. Leave is to be given back with done, a connection is the
// caller's.
func (o *opener) wait(ctx context.Context, host string, worth float64, deadline time.Time) grant {
	got := make(chan grant, 1)
	o.mu.Lock()
	o.seq++
	id := o.seq
	o.waits[id] = got
	o.gate.Add(tlspolicy.Ask{ID: id, Endpoint: host, Worth: worth, Deadline: deadline.Sub(o.origin)})
	o.pump()
	o.mu.Unlock()
	select {
	case g := <-got:
		return g
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case g := <-got: // it came in the same moment
		return g
	default:
		o.gate.Drop(id)
		delete(o.waits, id)
		return grant{}
	}
}

// pump hands out what may begin now. It needs the lock.
func (o *opener) pump() {
	if o.busy != nil {
		o.gate.Load(o.busy())
	}
	begin, expired, again := o.gate.Next(time.Since(o.origin))
	for _, id := range begin {
		o.end(id, grant{leave: true})
	}
	for _, id := range expired {
		o.end(id, grant{})
	}
	if again > 0 && o.timer == nil {
		o.timer = time.AfterFunc(again, o.tick)
	} else if again > 0 {
		o.timer.Reset(again)
	}
}

func (o *opener) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pump()
}

func (o *opener) end(id uint64, g grant) {
	o.waits[id] <- g
	delete(o.waits, id)
}

// done gives leave back.
func (o *opener) done(host string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gate.Done(host, took)
	o.pump()
}

// freed hands an idle connection to a flow that waits for one to its member; false if none does.
func (o *opener) freed(host string, c *conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, ok := o.gate.Freed(host)
	if ok {
		o.end(id, grant{c: c})
	}
	return ok
}

// counters are those of the gate, and how many flows wait.
func (o *opener) counters() (tlspolicy.GateCounters, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Counters(), o.gate.Waiting()
}

// waiting says whether a flow waits for a connection to a member.
func (o *opener) waiting(host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.WaitingAt(host) > 0
}
