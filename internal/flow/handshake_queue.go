package flow

import (
	"context"
	"sync"
	"time"

	"slatemux/internal/tlspolicy"
)

// handshakeQueue has flows wait for new connections over TLS as tlspolicy.Gate decides. A flow that waits gets leave for a handshake,
// or a connection of its member that has fallen idle meanwhile.
type handshakeQueue struct {
	programLoad func() float64 // the program's own load; nil for none

	mu      sync.Mutex
	gate    *tlspolicy.Gate
	origin  time.Time
	lastID  uint64
	waiters map[uint64]chan grant
	timer   *time.Timer
}

// grant ends a wait. Without a connection and leave, time was up.
type grant struct {
	admitted bool
	c        *conn
}

func newHandshakeQueue(cfg tlspolicy.GateConfig, busy func() float64) *handshakeQueue {
	return &handshakeQueue{programLoad: busy, gate: tlspolicy.NewGate(cfg), origin: time.Now(), waiters: map[uint64]chan grant{}}
}

// wait waits for a grant until the deadline or the end of ctx. Leave is to be given back with done, a connection is the
// caller's.
func (o *handshakeQueue) wait(ctx context.Context, host string, worth float64, deadline time.Time) grant {
	granted := make(chan grant, 1)
	o.mu.Lock()
	o.lastID++
	id := o.lastID
	o.waiters[id] = granted
	o.gate.Add(tlspolicy.Ask{ID: id, Endpoint: host, Worth: worth, Deadline: deadline.Sub(o.origin)})
	o.dispatch()
	o.mu.Unlock()
	select {
	case g := <-granted:
		return g
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case g := <-granted: // it came in the same moment
		return g
	default:
		o.gate.Drop(id)
		delete(o.waiters, id)
		return grant{}
	}
}

// dispatch hands out what may begin now. It needs the lock.
func (o *handshakeQueue) dispatch() {
	if o.programLoad != nil {
		o.gate.Load(o.programLoad())
	}
	admitted, expired, retryIn := o.gate.Next(time.Since(o.origin))
	for _, id := range admitted {
		o.resolve(id, grant{admitted: true})
	}
	for _, id := range expired {
		o.resolve(id, grant{})
	}
	if retryIn > 0 && o.timer == nil {
		o.timer = time.AfterFunc(retryIn, o.onTimer)
	} else if retryIn > 0 {
		o.timer.Reset(retryIn)
	}
}

func (o *handshakeQueue) onTimer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dispatch()
}

func (o *handshakeQueue) resolve(id uint64, g grant) {
	o.waiters[id] <- g
	delete(o.waiters, id)
}

// handshakeDone gives leave back.
func (o *handshakeQueue) handshakeDone(host string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gate.Done(host, took)
	o.dispatch()
}

// offerIdle hands an idle connection to a flow that waits for one to its member; false if none does.
func (o *handshakeQueue) offerIdle(host string, c *conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, ok := o.gate.Freed(host)
	if ok {
		o.resolve(id, grant{c: c})
	}
	return ok
}

// counters are those of the gate, and how many flows wait.
func (o *handshakeQueue) counters() (tlspolicy.GateCounters, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Counters(), o.gate.Waiting()
}

// hasWaiters says whether a flow waits for a connection to a member.
func (o *handshakeQueue) hasWaiters(host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.WaitingAt(host) > 0
}
