package flow

import (
	"context"
	"sync"
	"time"

	"slatemux/internal/tlspolicy"
)

// handshakeQueue makes flows wait for new TLS connections as tlspolicy.HandshakeGate decides. A waiting flow gets permission to start a
// handshake, or a connection to its member that became idle in the meantime.
type handshakeQueue struct {
	programLoad func() float64 // load of this program; nil if unknown

	mu      sync.Mutex
	gate    *tlspolicy.HandshakeGate
	origin  time.Time
	lastID  uint64
	waiters map[uint64]chan grant
	timer   *time.Timer
}

// grant ends a wait: the handshake is admitted, or c is an idle connection. If neither is set, the deadline has passed or the
// wait was canceled.
type grant struct {
	admitted bool
	c        *conn
}

func newHandshakeQueue(cfg tlspolicy.HandshakeConfig, programLoad func() float64) *handshakeQueue {
	return &handshakeQueue{programLoad: programLoad, gate: tlspolicy.NewHandshakeGate(cfg), origin: time.Now(), waiters: map[uint64]chan grant{}}
}

// wait waits for a grant until the deadline or the end of ctx. An admitted handshake must be ended with handshakeDone. A granted
// connection belongs to the caller.
func (o *handshakeQueue) wait(ctx context.Context, host string, worth float64, deadline time.Time) grant {
	granted := make(chan grant, 1)
	o.mu.Lock()
	o.lastID++
	id := o.lastID
	o.waiters[id] = granted
	o.gate.Add(tlspolicy.ConnectionRequest{ID: id, Endpoint: host, Worth: worth, Deadline: deadline.Sub(o.origin)})
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
	case g := <-granted: // granted at the same moment
		return g
	default:
		o.gate.Remove(id)
		delete(o.waiters, id)
		return grant{}
	}
}

// dispatch admits the handshakes that may start now and ends expired waits. The caller holds o.mu.
func (o *handshakeQueue) dispatch() {
	if o.programLoad != nil {
		o.gate.SetLoad(o.programLoad())
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

// handshakeDone reports that an admitted handshake has ended, and the processor time that it took.
func (o *handshakeQueue) handshakeDone(host string, duration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gate.Done(host, duration)
	o.dispatch()
}

// offerIdle gives an idle connection to a flow that waits for one to the member. It returns false if no flow waits.
func (o *handshakeQueue) offerIdle(host string, c *conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, ok := o.gate.AssignIdle(host)
	if ok {
		o.resolve(id, grant{c: c})
	}
	return ok
}

// counters returns the counters of the gate and the number of waiting flows.
func (o *handshakeQueue) counters() (tlspolicy.HandshakeCounters, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.Counters(), o.gate.Waiting()
}

// hasWaiters reports whether a flow waits for a connection to the member.
func (o *handshakeQueue) hasWaiters(host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gate.WaitingFor(host) > 0
}
