package flow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"slatemux/internal/conns"
	"slatemux/internal/tlspolicy"
)

// This file carries out the decisions of conns.Pool.

// lease says how a call gets its connection: on c, on a new connection to be opened under id, or, if both are unset, after a wait.
type lease struct {
	c  *conn
	id conns.ID
}

// waiter is a flow that waits because no connection to its member may be opened.
type waiter struct {
	worth   float64
	granted chan lease
}

// errConnWait reports that this program provided no connection in time. The member is not at fault.
var errConnWait = errors.New("no connection available in time")

func (m *Manager) now() time.Duration { return time.Since(m.origin) }

// Sweep checks all connections periodically until ctx ends.
func (m *Manager) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.sweep()
		}
	}
}

func (m *Manager) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	wallNow, poolNow := time.Now(), m.now()
	for id, c := range m.connsByID {
		if !c.inUse && !m.mayReuse(c) {
			if m.conns.EvictIdle(poolNow, id, conns.ReasonTrust) {
				m.closeEvicted([]conns.Eviction{{ID: id, Reason: conns.ReasonTrust}})
			}
		} else if c.inUse && m.cfg.UnackedTimeout > 0 && c.unansweredSince(wallNow.Add(-m.cfg.UnackedTimeout)) && c.checkStuck() {
			c.close()
		}
	}
	evicted, toOpen := m.conns.Tick(poolNow)
	m.closeEvicted(evicted)
	for _, id := range toOpen {
		m.preconnect(id)
	}
	for _, id := range m.conns.Unneeded() {
		if cancel := m.preconnecting[id]; cancel != nil {
			cancel()
		}
	}
	m.waits.removeEnded(wallNow)
	m.serveWaiters()
}

// closeEvicted closes the connections that the pool evicts. The caller of this method and of those below, up to becameIdle, holds g.mu.
func (m *Manager) closeEvicted(evicted []conns.Eviction) {
	for _, eviction := range evicted {
		if c := m.connsByID[eviction.ID]; c != nil {
			delete(m.connsByID, eviction.ID)
			slog.Debug("connection closed", "member", c.host, "conn", c.id, "calls", c.callCount(), "reason", eviction.Reason)
			c.close()
		}
	}
}

// requestConn requests a connection through decide, which is conns.Pool.Call or RetryCall.
func (m *Manager) requestConn(host string, decide func(time.Duration, string) (conns.Verdict, conns.ID, []conns.Eviction)) lease {
	for {
		verdict, id, evicted := decide(m.now(), host)
		m.closeEvicted(evicted)
		switch verdict {
		case conns.Open:
			return lease{id: id}
		case conns.Wait:
			return lease{}
		}
		c := m.connsByID[id]
		if m.mayReuse(c) {
			c.inUse, c.reused = true, true
			return lease{c: c}
		}
		m.conns.ReturnUnused(m.now(), id)
		m.conns.EvictIdle(m.now(), id, conns.ReasonTrust)
		m.closeEvicted([]conns.Eviction{{ID: id, Reason: conns.ReasonTrust}})
		decide = m.conns.RetryCall
	}
}

// serveWaiters gives waiting flows a connection, or permission to open one.
func (m *Manager) serveWaiters() {
	for host := range m.waiters {
		for len(m.waiters[host]) > 0 {
			l := m.requestConn(host, m.conns.RetryCall)
			if l == (lease{}) {
				break
			}
			m.popWaiter(host).granted <- l
		}
	}
}

// popWaiter removes and returns the waiter of a member with the highest worth; among equals, the first to arrive.
func (m *Manager) popWaiter(host string) *waiter {
	list := m.waiters[host]
	best := 0
	for i, w := range list {
		if w.worth > list[best].worth {
			best = i
		}
	}
	w := list[best]
	m.removeWaiter(host, w)
	return w
}

func (m *Manager) removeWaiter(host string, w *waiter) {
	if list := slices.DeleteFunc(m.waiters[host], func(other *waiter) bool { return other == w }); len(list) > 0 {
		m.waiters[host] = list
	} else {
		delete(m.waiters, host)
	}
}

// becameIdle offers a connection that became idle to flows that wait for one.
func (m *Manager) becameIdle(c *conn, idleSince time.Time) {
	c.inUse, c.idleSince = false, idleSince
	if c.isUnusable() { // the reader ended while the connection was in use, so readerEnded left it to this method
		m.conns.Closed(m.now(), c.id)
		delete(m.connsByID, c.id)
		m.serveWaiters()
		return
	}
	if !m.mayReuse(c) {
		m.conns.EvictIdle(m.now(), c.id, conns.ReasonTrust)
		m.closeEvicted([]conns.Eviction{{ID: c.id, Reason: conns.ReasonTrust}})
		return
	}
	if rest := m.cfg.Conns.MinRest; c.underTLS != nil && rest > 0 { // no flow that waits for a handshake looks at idle connections itself
		time.AfterFunc(rest, func() { m.offerRested(c.host) })
	}
	tlsWaiters := c.underTLS != nil && m.handshakes.hasWaiters(c.host)
	if !tlsWaiters && len(m.waiters[c.host]) == 0 {
		return
	}
	if !m.conns.Claim(m.now(), c.id) {
		m.serveWaiters() // a connection that has to rest may be replaced
		return
	}
	c.inUse, c.reused = true, true
	if tlsWaiters && m.handshakes.offerIdle(c.host, c) {
		return
	}
	if len(m.waiters[c.host]) > 0 {
		m.popWaiter(c.host).granted <- lease{c: c}
		return
	}
	c.inUse = false
	m.conns.ReturnUnused(m.now(), c.id)
}

// claimIdle assigns a usable idle connection to a flow, or returns nil if there is none. The caller holds m.mu.
func (m *Manager) claimIdle(host string) *conn {
	for {
		id, evicted, ok := m.conns.UseIdle(m.now(), host)
		m.closeEvicted(evicted)
		if !ok {
			return nil
		}
		c := m.connsByID[id]
		if m.mayReuse(c) {
			c.inUse, c.reused = true, true
			return c
		}
		m.conns.ReturnUnused(m.now(), id)
		m.conns.EvictIdle(m.now(), id, conns.ReasonTrust)
		m.closeEvicted([]conns.Eviction{{ID: id, Reason: conns.ReasonTrust}})
	}
}

// offerRested gives idle connections to flows that wait for the permission to make a handshake with a member.
func (m *Manager) offerRested(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.handshakes.hasWaiters(host) {
		c := m.claimIdle(host)
		if c == nil {
			return
		}
		if !m.handshakes.offerIdle(host, c) { // the flow has just stopped waiting
			c.inUse = false
			m.conns.ReturnUnused(m.now(), c.id)
			return
		}
	}
}

// acquire returns a connection that is ready for the call of the flow. It takes g.mu itself, as the methods below do unless their comments
// say otherwise.
func (m *Manager) acquire(ctx context.Context, r *activeFlow, l lease) (c *conn, err error) {
	for {
		switch {
		case l.c != nil:
			if l.c.beginCall(r.Group) {
				return l.c, nil
			}
			l = m.replaceConn(r, l.c)
		case l.id != 0:
			if l.c, err = m.connect(ctx, r, l.id); err != nil {
				return nil, err
			}
		default:
			if l, err = m.awaitConn(ctx, r); err != nil {
				return nil, err
			}
		}
	}
}

// replaceConn drops a connection that the peer closed or wrote to before the call was written, and requests another.
func (m *Manager) replaceConn(r *activeFlow, c *conn) lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportUnsolicited(c)
	m.conns.ClosedBeforeUse(m.now(), c.id)
	m.closeEvicted([]conns.Eviction{{ID: c.id, Reason: conns.ReasonServerClosed}})
	return m.requestConn(r.Member, m.conns.RetryCall)
}

// awaitConn waits until a connection to the member of the flow becomes idle or may be opened.
func (m *Manager) awaitConn(ctx context.Context, r *activeFlow) (lease, error) {
	waitStart := time.Now()
	w := &waiter{worth: r.Worth, granted: make(chan lease, 1)}
	m.mu.Lock()
	m.waiters[r.Member] = append(m.waiters[r.Member], w)
	m.mu.Unlock()
	defer func() { r.localWait += time.Since(waitStart) }() // the member did not cause this delay
	timer := time.NewTimer(m.cfg.MaxConnWait)
	defer timer.Stop()
	select {
	case l := <-w.granted:
		return l, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case l := <-w.granted: // granted at the same moment
		return l, nil
	default:
		m.removeWaiter(r.Member, w)
		return lease{}, errConnWait
	}
}

// connect opens a connection for a flow. For TLS it first waits for permission to start a handshake, and may instead get a connection that
// another flow has released.
func (m *Manager) connect(ctx context.Context, r *activeFlow, id conns.ID) (*conn, error) {
	m.mu.Lock()
	target := *r.target
	m.mu.Unlock()
	if m.cfg.TLS == nil || !m.cfg.TLS.UsesTLS(&target.Member) {
		return m.connectPlain(ctx, r, id, &target)
	}
	waitStart := time.Now()
	granted := m.handshakes.wait(ctx, target.Host, r.Worth, r.Deadline)
	r.localWait += time.Since(waitStart)
	if granted.c != nil || !granted.admitted {
		m.mu.Lock()
		m.conns.OpeningCanceled(m.now(), id)
		m.serveWaiters()
		m.mu.Unlock()
		if granted.c != nil {
			return granted.c, nil
		}
		return nil, errConnWait
	}
	return m.connectTLS(ctx, id, &target, true)
}

// connectTLS opens a TLS connection. The handshake queue must have admitted the handshake.
func (m *Manager) connectTLS(ctx context.Context, id conns.ID, target *member, forCall bool) (*conn, error) {
	var took time.Duration
	defer func() { m.handshakes.handshakeDone(target.Host, took) }()
	deadline := time.Now().Add(m.cfg.ConnectTimeout)
	raw, err := m.dialer.dial(ctx, target.Address, deadline)
	if err != nil {
		return nil, m.openingFailed(ctx, id, err)
	}
	handshakeCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var nc net.Conn
	if nc, took, err = m.cfg.TLS.Handshake(handshakeCtx, raw, &target.Member); err != nil {
		return nil, m.openingFailed(ctx, id, err)
	}
	return m.addConn(id, target, nc, raw, forCall), nil
}

// openingFailed reports a failed or canceled opening to conns.Pool.
func (m *Manager) openingFailed(ctx context.Context, id conns.ID, err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		m.conns.OpeningCanceled(m.now(), id)
	} else {
		m.conns.OpeningFailed(m.now(), id, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	m.serveWaiters()
	return fmt.Errorf("open connection %d: %w", id, err)
}

// addConn registers a new connection and starts its reader. raw is the connection below TLS, or nil; forCall says that a call waits for
// the connection.
func (m *Manager) addConn(id conns.ID, target *member, nc, raw net.Conn, forCall bool) *conn {
	c := &conn{nc: nc, underTLS: raw, manager: m, id: id, host: target.Host, openedAt: time.Now(), readerDone: make(chan struct{})}
	if sc, ok := nc.(syscall.Conn); ok && raw == nil {
		if plain, err := sc.SyscallConn(); err == nil {
			c.syscallConn = plain
		}
	}
	m.mu.Lock()
	m.connsByID[id] = c
	m.conns.Opened(m.now(), id, forCall)
	if c.inUse = forCall; !forCall {
		m.becameIdle(c, time.Time{}) // no earlier answer, so no settling is needed
	}
	m.mu.Unlock()
	go c.readLoop()
	return c
}

// preconnect starts opening a connection that no call waits for yet. The caller holds g.mu. It does not block.
func (m *Manager) preconnect(id conns.ID) {
	host, _ := m.conns.EndpointOf(id)
	known := m.members[host]
	if known == nil {
		m.conns.OpeningCanceled(m.now(), id)
		return
	}
	target := *known
	deadline := time.Now().Add(m.cfg.ConnectTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	m.preconnecting[id] = cancel
	go func() {
		defer func() {
			cancel()
			m.mu.Lock()
			delete(m.preconnecting, id)
			m.mu.Unlock()
		}()
		if m.cfg.TLS == nil || !m.cfg.TLS.UsesTLS(&target.Member) {
			if nc, err := m.dialPlain(ctx, target.Address, deadline); err != nil {
				_ = m.openingFailed(ctx, id, err) // the next call that opens a connection reports the failure
			} else {
				m.addConn(id, &target, nc, nil, false)
			}
			return
		}
		switch granted := m.handshakes.wait(ctx, host, 0, deadline); {
		case granted.admitted:
			_, _ = m.connectTLS(ctx, id, &target, false)
		default:
			m.mu.Lock()
			m.conns.OpeningCanceled(m.now(), id)
			m.mu.Unlock()
			if granted.c != nil { // no other flow waits for this connection
				m.returnUnused(granted.c)
			}
		}
	}()
}

func (m *Manager) mayReuse(c *conn) bool { return c.underTLS == nil || m.cfg.TLS.Reusable(c.nc) }

// finishCall ends a call on a connection, which becomes idle or is closed.
func (m *Manager) finishCall(c *conn, end conns.CallEnd, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportUnsolicited(c)
	if idle, reason := m.conns.CallEnded(m.now(), c.id, end, duration); idle {
		m.becameIdle(c, time.Now())
	} else {
		m.closeEvicted([]conns.Eviction{{ID: c.id, Reason: reason}})
		m.serveWaiters()
	}
}

// returnUnused returns a connection that carried no call after all.
func (m *Manager) returnUnused(c *conn) {
	usable := c.cancelCall()
	m.mu.Lock()
	defer m.mu.Unlock()
	reason := conns.ReasonServerClosed
	if !usable {
		m.reportUnsolicited(c)
		m.conns.ClosedBeforeUse(m.now(), c.id)
	} else {
		var idle bool
		if idle, reason = m.conns.ReturnUnused(m.now(), c.id); idle {
			m.becameIdle(c, c.idleSince)
			return
		}
	}
	m.closeEvicted([]conns.Eviction{{ID: c.id, Reason: reason}})
	m.serveWaiters()
}

// releaseLease returns a lease that the flow does not need.
func (m *Manager) releaseLease(l lease) {
	if l.c != nil {
		m.returnUnused(l.c)
	} else if l.id != 0 {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.conns.OpeningCanceled(m.now(), l.id)
		m.serveWaiters()
	}
}

// reportUnsolicited reports unsolicited bytes on a connection that has carried a call to conns.Pool. The caller holds m.mu.
func (m *Manager) reportUnsolicited(c *conn) {
	if c.hasUnsolicited() {
		m.conns.Unsolicited(m.now(), c.id)
	}
}

// readerEnded removes a connection whose reader has ended. A connection in use is removed later, when its flow returns the connection.
func (m *Manager) readerEnded(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connsByID[c.id] != c || c.inUse {
		return
	}
	m.reportUnsolicited(c)
	slog.Debug("connection ended by the pool member", "member", c.host, "conn", c.id, "calls", c.callCount())
	m.conns.Closed(m.now(), c.id)
	delete(m.connsByID, c.id)
	m.serveWaiters()
}

// Handshakes returns the counters of the handshake gate and the number of flows that wait for a handshake.
func (m *Manager) Handshakes() (tlspolicy.HandshakeCounters, int) { return m.handshakes.counters() }
