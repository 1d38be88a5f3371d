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
func (q *handshakeQueue) wait(ctx context.Context, host string, worth float64, deadline time.Time) grant {
	granted := make(chan grant, 1)
	q.mu.Lock()
	q.lastID++
	id := q.lastID
	q.waiters[id] = granted
	q.gate.Add(tlspolicy.ConnectionRequest{ID: id, Endpoint: host, Worth: worth, Deadline: deadline.Sub(q.origin)})
	q.dispatch()
	q.mu.Unlock()
	select {
	case g := <-granted:
		return g
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case g := <-granted: // granted at the same moment
		return g
	default:
		q.gate.Remove(id)
		delete(q.waiters, id)
		return grant{}
	}
}

// dispatch admits the handshakes that may start now and ends expired waits. The caller holds o.mu.
func (q *handshakeQueue) dispatch() {
	if q.programLoad != nil {
		q.gate.SetLoad(q.programLoad())
	}
	admitted, expired, retryIn := q.gate.Next(time.Since(q.origin))
	for _, id := range admitted {
		q.resolve(id, grant{admitted: true})
	}
	for _, id := range expired {
		q.resolve(id, grant{})
	}
	if retryIn > 0 && q.timer == nil {
		q.timer = time.AfterFunc(retryIn, q.onTimer)
	} else if retryIn > 0 {
		q.timer.Reset(retryIn)
	}
}

func (q *handshakeQueue) onTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

func (q *handshakeQueue) resolve(id uint64, g grant) {
	q.waiters[id] <- g
	delete(q.waiters, id)
}

// handshakeDone reports that an admitted handshake has ended, and the processor time that it took.
func (q *handshakeQueue) handshakeDone(host string, duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Done(host, duration)
	q.dispatch()
}

// offerIdle gives an idle connection to a flow that waits for one to the member. It returns false if no flow waits.
func (q *handshakeQueue) offerIdle(host string, c *conn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	id, ok := q.gate.AssignIdle(host)
	if ok {
		q.resolve(id, grant{c: c})
	}
	return ok
}

// counters returns the counters of the gate and the number of waiting flows.
func (q *handshakeQueue) counters() (tlspolicy.HandshakeCounters, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Counters(), q.gate.Waiting()
}

// hasWaiters reports whether a flow waits for a connection to the member.
func (q *handshakeQueue) hasWaiters(host string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.WaitingFor(host) > 0
}
