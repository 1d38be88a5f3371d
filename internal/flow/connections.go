package flow

import (
	"context"
	"errors"
	"fmt"
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

func (g *Manager) now() time.Duration { return time.Since(g.origin) }

// Sweep checks all connections periodically until ctx ends.
func (g *Manager) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.sweep()
		}
	}
}

func (g *Manager) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	wallNow, poolNow := time.Now(), g.now()
	for id, c := range g.connsByID {
		if !c.inUse && !g.mayReuse(c) {
			if g.conns.EvictIdle(poolNow, id, conns.ReasonTrust) {
				g.closeEvicted([]conns.Eviction{{ID: id}})
			}
		} else if c.inUse && g.cfg.UnackedTimeout > 0 && c.unansweredSince(wallNow.Add(-g.cfg.UnackedTimeout)) && c.checkStuck() {
			c.close()
		}
	}
	evicted, toOpen := g.conns.Tick(poolNow)
	g.closeEvicted(evicted)
	for _, id := range toOpen {
		g.preconnect(id)
	}
	for _, id := range g.conns.Unneeded() {
		if cancel := g.preconnecting[id]; cancel != nil {
			cancel()
		}
	}
	for group, until := range g.retryAfter {
		if until.Before(wallNow) {
			delete(g.retryAfter, group)
		}
	}
	g.serveWaiters()
}

// closeEvicted closes the connections that the pool evicts. The caller of this method and of those below, up to becameIdle, holds g.mu.
func (g *Manager) closeEvicted(evicted []conns.Eviction) {
	for _, eviction := range evicted {
		if c := g.connsByID[eviction.ID]; c != nil {
			delete(g.connsByID, eviction.ID)
			c.close()
		}
	}
}

// requestConn requests a connection through decide, which is conns.Pool.Call or RetryCall.
func (g *Manager) requestConn(host string, decide func(time.Duration, string) (conns.Verdict, conns.ID, []conns.Eviction)) lease {
	for {
		verdict, id, evicted := decide(g.now(), host)
		g.closeEvicted(evicted)
		switch verdict {
		case conns.Open:
			return lease{id: id}
		case conns.Wait:
			return lease{}
		}
		c := g.connsByID[id]
		if g.mayReuse(c) {
			c.inUse, c.reused = true, true
			return lease{c: c}
		}
		g.conns.ReturnUnused(g.now(), id)
		g.conns.EvictIdle(g.now(), id, conns.ReasonTrust)
		g.closeEvicted([]conns.Eviction{{ID: id}})
		decide = g.conns.RetryCall
	}
}

// serveWaiters gives waiting flows a connection, or permission to open one.
func (g *Manager) serveWaiters() {
	for host := range g.waiters {
		for len(g.waiters[host]) > 0 {
			l := g.requestConn(host, g.conns.RetryCall)
			if l == (lease{}) {
				break
			}
			g.popWaiter(host).granted <- l
		}
	}
}

// popWaiter removes and returns the waiter of a member with the highest worth; among equals, the first to arrive.
func (g *Manager) popWaiter(host string) *waiter {
	list := g.waiters[host]
	best := 0
	for i, w := range list {
		if w.worth > list[best].worth {
			best = i
		}
	}
	w := list[best]
	g.removeWaiter(host, w)
	return w
}

func (g *Manager) removeWaiter(host string, w *waiter) {
	if list := slices.DeleteFunc(g.waiters[host], func(other *waiter) bool { return other == w }); len(list) > 0 {
		g.waiters[host] = list
	} else {
		delete(g.waiters, host)
	}
}

// becameIdle offers a connection that became idle to flows that wait for one.
func (g *Manager) becameIdle(c *conn, idleSince time.Time) {
	c.inUse, c.idleSince = false, idleSince
	if c.isUnusable() { // the reader ended while the connection was in use, so readerEnded left it to this method
		g.conns.Closed(g.now(), c.id)
		delete(g.connsByID, c.id)
		g.serveWaiters()
		return
	}
	if !g.mayReuse(c) {
		g.conns.EvictIdle(g.now(), c.id, conns.ReasonTrust)
		g.closeEvicted([]conns.Eviction{{ID: c.id}})
		return
	}
	tlsWaiters := c.underTLS != nil && g.handshakes.hasWaiters(c.host)
	if !tlsWaiters && len(g.waiters[c.host]) == 0 || !g.conns.Claim(g.now(), c.id) {
		return
	}
	c.inUse, c.reused = true, true
	if tlsWaiters && g.handshakes.offerIdle(c.host, c) {
		return
	}
	if len(g.waiters[c.host]) > 0 {
		g.popWaiter(c.host).granted <- lease{c: c}
		return
	}
	c.inUse = false
	g.conns.ReturnUnused(g.now(), c.id)
}

// acquire returns a connection that is ready for the call of the flow. It takes g.mu itself, as the methods below do unless their comments
// say otherwise.
func (g *Manager) acquire(ctx context.Context, r *activeFlow, l lease) (c *conn, err error) {
	for {
		switch {
		case l.c != nil:
			if (l.c.idleSince.IsZero() || l.c.waitSettled(l.c.idleSince.Add(g.cfg.SettleTime))) && l.c.beginCall() {
				return l.c, nil
			}
			l = g.replaceConn(r, l.c)
		case l.id != 0:
			if l.c, err = g.connect(ctx, r, l.id); err != nil {
				return nil, err
			}
		default:
			if l, err = g.awaitConn(ctx, r); err != nil {
				return nil, err
			}
		}
	}
}

// replaceConn drops a connection that the peer closed or wrote to before the call was written, and requests another.
func (g *Manager) replaceConn(r *activeFlow, c *conn) lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.ClosedBeforeUse(g.now(), c.id)
	g.closeEvicted([]conns.Eviction{{ID: c.id}})
	return g.requestConn(r.Member, g.conns.RetryCall)
}

// awaitConn waits until a connection to the member of the flow becomes idle or may be opened.
func (g *Manager) awaitConn(ctx context.Context, r *activeFlow) (lease, error) {
	waitStart := time.Now()
	w := &waiter{worth: r.Worth, granted: make(chan lease, 1)}
	g.mu.Lock()
	g.waiters[r.Member] = append(g.waiters[r.Member], w)
	g.mu.Unlock()
	defer func() { r.localWait += time.Since(waitStart) }() // the member did not cause this delay
	timer := time.NewTimer(g.cfg.MaxConnWait)
	defer timer.Stop()
	select {
	case l := <-w.granted:
		return l, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case l := <-w.granted: // granted at the same moment
		return l, nil
	default:
		g.removeWaiter(r.Member, w)
		return lease{}, errConnWait
	}
}

// connect opens a connection for a flow. For TLS it first waits for permission to start a handshake, and may instead get a connection that
// another flow has released.
func (g *Manager) connect(ctx context.Context, r *activeFlow, id conns.ID) (*conn, error) {
	g.mu.Lock()
	target := *r.target
	g.mu.Unlock()
	if g.cfg.TLS == nil || !g.cfg.TLS.UsesTLS(&target.Member) {
		nc, err := g.dialer.dial(ctx, target.Address, r.StartedAt.Add(g.cfg.ConnectTimeout))
		if err != nil {
			return nil, g.openingFailed(ctx, id, err)
		}
		return g.addConn(id, &target, nc, nil, true), nil
	}
	waitStart := time.Now()
	granted := g.handshakes.wait(ctx, target.Host, r.Worth, r.Deadline)
	r.localWait += time.Since(waitStart)
	if granted.c != nil || !granted.admitted {
		g.mu.Lock()
		g.conns.OpeningCanceled(g.now(), id)
		g.serveWaiters()
		g.mu.Unlock()
		if granted.c != nil {
			return granted.c, nil
		}
		return nil, errConnWait
	}
	return g.connectTLS(ctx, id, &target, true)
}

// connectTLS opens a TLS connection. The handshake queue must have admitted the handshake.
func (g *Manager) connectTLS(ctx context.Context, id conns.ID, target *member, forCall bool) (*conn, error) {
	var took time.Duration
	defer func() { g.handshakes.handshakeDone(target.Host, took) }()
	deadline := time.Now().Add(g.cfg.ConnectTimeout)
	raw, err := g.dialer.dial(ctx, target.Address, deadline)
	if err != nil {
		return nil, g.openingFailed(ctx, id, err)
	}
	handshakeCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var nc net.Conn
	if nc, took, err = g.cfg.TLS.Handshake(handshakeCtx, raw, &target.Member); err != nil {
		return nil, g.openingFailed(ctx, id, err)
	}
	return g.addConn(id, target, nc, raw, forCall), nil
}

// openingFailed reports a failed or canceled opening to conns.Pool.
func (g *Manager) openingFailed(ctx context.Context, id conns.ID, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		g.conns.OpeningCanceled(g.now(), id)
	} else {
		g.conns.OpeningFailed(g.now(), id, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	g.serveWaiters()
	return fmt.Errorf("open connection %d: %w", id, err)
}

// addConn registers a new connection and starts its reader. raw is the connection below TLS, or nil; forCall says that a call waits for
// the connection.
func (g *Manager) addConn(id conns.ID, target *member, nc, raw net.Conn, forCall bool) *conn {
	c := &conn{nc: nc, underTLS: raw, manager: g, id: id, host: target.Host, readerDone: make(chan struct{})}
	if sc, ok := nc.(syscall.Conn); ok && raw == nil {
		if plain, err := sc.SyscallConn(); err == nil {
			c.syscallConn = plain
		}
	}
	g.mu.Lock()
	g.connsByID[id] = c
	g.conns.Opened(g.now(), id, forCall)
	if c.inUse = forCall; !forCall {
		g.becameIdle(c, time.Time{}) // no earlier answer, so no settling is needed
	}
	g.mu.Unlock()
	go c.readLoop()
	return c
}

// preconnect starts opening a connection that no call waits for yet. The caller holds g.mu. It does not block.
func (g *Manager) preconnect(id conns.ID) {
	host, _ := g.conns.EndpointOf(id)
	m := g.members[host]
	if m == nil {
		g.conns.OpeningCanceled(g.now(), id)
		return
	}
	target := *m
	deadline := time.Now().Add(g.cfg.ConnectTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	g.preconnecting[id] = cancel
	go func() {
		defer func() {
			cancel()
			g.mu.Lock()
			delete(g.preconnecting, id)
			g.mu.Unlock()
		}()
		if g.cfg.TLS == nil || !g.cfg.TLS.UsesTLS(&target.Member) {
			if nc, err := g.dialer.dial(ctx, target.Address, deadline); err != nil {
				_ = g.openingFailed(ctx, id, err) // the next call that opens a connection reports the failure
			} else {
				g.addConn(id, &target, nc, nil, false)
			}
			return
		}
		switch granted := g.handshakes.wait(ctx, host, 0, deadline); {
		case granted.admitted:
			_, _ = g.connectTLS(ctx, id, &target, false)
		default:
			g.mu.Lock()
			g.conns.OpeningCanceled(g.now(), id)
			g.mu.Unlock()
			if granted.c != nil { // no other flow waits for this connection
				g.returnUnused(granted.c)
			}
		}
	}()
}

func (g *Manager) mayReuse(c *conn) bool { return c.underTLS == nil || g.cfg.TLS.Reusable(c.nc) }

// finishCall ends a call on a connection, which becomes idle or is closed.
func (g *Manager) finishCall(c *conn, end conns.CallEnd, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if idle, reason := g.conns.CallEnded(g.now(), c.id, end, duration); idle {
		g.becameIdle(c, time.Now())
	} else {
		g.closeEvicted([]conns.Eviction{{ID: c.id, Reason: reason}})
		g.serveWaiters()
	}
}

// returnUnused returns a connection that carried no call after all.
func (g *Manager) returnUnused(c *conn) {
	usable := c.cancelCall()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !usable {
		g.conns.ClosedBeforeUse(g.now(), c.id)
	} else if idle, _ := g.conns.ReturnUnused(g.now(), c.id); idle {
		g.becameIdle(c, c.idleSince)
		return
	}
	g.closeEvicted([]conns.Eviction{{ID: c.id}})
	g.serveWaiters()
}

// releaseLease returns a lease that the flow does not need.
func (g *Manager) releaseLease(l lease) {
	if l.c != nil {
		g.returnUnused(l.c)
	} else if l.id != 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns.OpeningCanceled(g.now(), l.id)
		g.serveWaiters()
	}
}

// readerEnded removes a connection whose reader has ended. A connection in use is removed later, when its flow returns the connection.
func (g *Manager) readerEnded(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connsByID[c.id] != c || c.inUse {
		return
	}
	g.conns.Closed(g.now(), c.id)
	delete(g.connsByID, c.id)
	g.serveWaiters()
}

// Handshakes returns the counters of the handshake gate and the number of flows that wait for a handshake.
func (g *Manager) Handshakes() (tlspolicy.HandshakeCounters, int) { return g.handshakes.counters() }
