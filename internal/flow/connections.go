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

// This file does what conns.Pool decides.

// lease is how a call gets its connection: on c, on one that is to be opened as id, or, without either, after a wait.
type lease struct {
	c  *conn
	id conns.ID
}

// waiter is a flow for which no connection may be opened.
type waiter struct {
	worth   float64
	granted chan lease
}

// errConnWait says that no connection could be had in time, by this program's own decision.
var errConnWait = errors.New("no connection to be had in time")

func (g *Manager) now() time.Duration { return time.Since(g.origin) }

// Sweep has the pool of connections look at them, until ctx ends.
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
	at, now := time.Now(), g.now()
	for id, c := range g.connsByID {
		if !c.inUse && !g.mayReuse(c) {
			if g.conns.Drop(now, id, conns.Trust) {
				g.closeEvicted([]conns.Give{{ID: id}})
			}
		} else if c.inUse && g.cfg.StuckAfter > 0 && c.unansweredSince(at.Add(-g.cfg.StuckAfter)) && c.checkStuck() {
			c.close()
		}
	}
	give, ahead := g.conns.Tick(now)
	g.closeEvicted(give)
	for _, id := range ahead {
		g.preconnect(id)
	}
	for _, id := range g.conns.Unneeded() {
		if cancel := g.preconnecting[id]; cancel != nil {
			cancel()
		}
	}
	for group, until := range g.retryAfter {
		if until.Before(at) {
			delete(g.retryAfter, group)
		}
	}
	g.serveWaiters()
}

// closeEvicted closes what the pool gives up. It needs the lock, as all below that do not say otherwise.
func (g *Manager) closeEvicted(give []conns.Give) {
	for _, it := range give {
		if c := g.connsByID[it.ID]; c != nil {
			delete(g.connsByID, it.ID)
			c.close()
		}
	}
}

// requestConn asks for a connection: by conns.Pool.Call, or Again.
func (g *Manager) requestConn(host string, how func(time.Duration, string) (conns.Verdict, conns.ID, []conns.Give)) lease {
	for {
		v, id, give := how(g.now(), host)
		g.closeEvicted(give)
		switch v {
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
		g.conns.Unused(g.now(), id)
		g.conns.Drop(g.now(), id, conns.Trust)
		g.closeEvicted([]conns.Give{{ID: id}})
		how = g.conns.Again
	}
}

// serveWaiters hands connections, or leave to open one, to flows that wait.
func (g *Manager) serveWaiters() {
	for host := range g.waiters {
		for len(g.waiters[host]) > 0 {
			l := g.requestConn(host, g.conns.Again)
			if l == (lease{}) {
				break
			}
			g.popWaiter(host).granted <- l
		}
	}
}

// popWaiter takes the flow that is worth most off those that wait at a member; among equals the one that came first.
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
	if list := slices.DeleteFunc(g.waiters[host], func(o *waiter) bool { return o == w }); len(list) > 0 {
		g.waiters[host] = list
	} else {
		delete(g.waiters, host)
	}
}

// becameIdle offers a connection that has come to rest to flows that wait for one.
func (g *Manager) becameIdle(c *conn, since time.Time) {
	c.inUse, c.idleSince = false, since
	if c.isUnusable() { // since it was looked at last, when its reader saw it lent
		g.conns.Closed(g.now(), c.id)
		delete(g.connsByID, c.id)
		g.serveWaiters()
		return
	}
	if !g.mayReuse(c) {
		g.conns.Drop(g.now(), c.id, conns.Trust)
		g.closeEvicted([]conns.Give{{ID: c.id}})
		return
	}
	secured := c.underTLS != nil && g.handshakes.hasWaiters(c.host)
	if !secured && len(g.waiters[c.host]) == 0 || !g.conns.Claim(g.now(), c.id) {
		return
	}
	c.inUse, c.reused = true, true
	if secured && g.handshakes.offerIdle(c.host, c) {
		return
	}
	if len(g.waiters[c.host]) > 0 {
		g.popWaiter(c.host).granted <- lease{c: c}
		return
	}
	c.inUse = false
	g.conns.Unused(g.now(), c.id)
}

// acquire gets a flow its connection, ready for the call. It takes the lock itself, as all below.
func (g *Manager) acquire(ctx context.Context, r *activeFlow, l lease) (c *conn, err error) {
	for {
		switch {
		case l.c != nil:
			if (l.c.idleSince.IsZero() || l.c.waitSettled(l.c.idleSince.Add(g.cfg.Settle))) && l.c.beginCall() {
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

// replaceConn gives up a connection that its peer has closed or written to before a call went out, and asks for another.
func (g *Manager) replaceConn(r *activeFlow, c *conn) lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.Gone(g.now(), c.id)
	g.closeEvicted([]conns.Give{{ID: c.id}})
	return g.requestConn(r.Member, g.conns.Again)
}

// awaitConn waits until a connection to the flow's member comes to rest or may be opened.
func (g *Manager) awaitConn(ctx context.Context, r *activeFlow) (lease, error) {
	from := time.Now()
	w := &waiter{worth: r.Worth, granted: make(chan lease, 1)}
	g.mu.Lock()
	g.waiters[r.Member] = append(g.waiters[r.Member], w)
	g.mu.Unlock()
	defer func() { r.localWait += time.Since(from) }() // not the member's doing
	timer := time.NewTimer(g.cfg.HeldMost)
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
	case l := <-w.granted: // it came in the same moment
		return l, nil
	default:
		g.removeWaiter(r.Member, w)
		return lease{}, errConnWait
	}
}

// connect opens a connection for a flow, or for TLS waits for leave to, and may get one that another flow has done with.
func (g *Manager) connect(ctx context.Context, r *activeFlow, id conns.ID) (*conn, error) {
	g.mu.Lock()
	to := *r.target
	g.mu.Unlock()
	if g.cfg.Secure == nil || !g.cfg.Secure.Wants(&to.Member) {
		nc, err := g.dialer.dial(ctx, to.Dial, r.Begun.Add(g.cfg.ConnectWithin))
		if err != nil {
			return nil, g.openingFailed(ctx, id, err)
		}
		return g.addConn(id, &to, nc, nil, true), nil
	}
	from := time.Now()
	got := g.handshakes.wait(ctx, to.Host, r.Worth, r.Deadline)
	r.localWait += time.Since(from)
	if got.c != nil || !got.admitted {
		g.mu.Lock()
		g.conns.Cancel(g.now(), id)
		g.serveWaiters()
		g.mu.Unlock()
		if got.c != nil {
			return got.c, nil
		}
		return nil, errConnWait
	}
	return g.connectTLS(ctx, id, &to, true)
}

// connectTLS opens a connection over TLS, for which the opener has given leave.
func (g *Manager) connectTLS(ctx context.Context, id conns.ID, to *member, call bool) (*conn, error) {
	var took time.Duration
	defer func() { g.handshakes.handshakeDone(to.Host, took) }()
	by := time.Now().Add(g.cfg.ConnectWithin)
	raw, err := g.dialer.dial(ctx, to.Dial, by)
	if err != nil {
		return nil, g.openingFailed(ctx, id, err)
	}
	shaking, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	var nc net.Conn
	if nc, took, err = g.cfg.Secure.Client(shaking, raw, &to.Member); err != nil {
		return nil, g.openingFailed(ctx, id, err)
	}
	return g.addConn(id, to, nc, raw, call), nil
}

// openingFailed tells the pool that an opening came to nothing.
func (g *Manager) openingFailed(ctx context.Context, id conns.ID, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		g.conns.Cancel(g.now(), id)
	} else {
		g.conns.Failed(g.now(), id, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	g.serveWaiters()
	return fmt.Errorf("connection %d: %w", id, err)
}

// addConn has a new connection read from. raw is what lies below TLS; call says that a call waits for it.
func (g *Manager) addConn(id conns.ID, to *member, nc, raw net.Conn, call bool) *conn {
	c := &conn{nc: nc, underTLS: raw, manager: g, id: id, host: to.Host, readerDone: make(chan struct{})}
	if sc, ok := nc.(syscall.Conn); ok && raw == nil {
		if plain, err := sc.SyscallConn(); err == nil {
			c.syscallConn = plain
		}
	}
	g.mu.Lock()
	g.connsByID[id] = c
	g.conns.Opened(g.now(), id, call)
	if c.inUse = call; !call {
		g.becameIdle(c, time.Time{}) // nothing came before, so there is nothing to settle
	}
	g.mu.Unlock()
	go c.readLoop()
	return c
}

// preconnect opens a connection that no call waits for yet. It needs the lock, and does not block.
func (g *Manager) preconnect(id conns.ID) {
	host, _ := g.conns.EndpointOf(id)
	m := g.members[host]
	if m == nil {
		g.conns.Cancel(g.now(), id)
		return
	}
	to := *m
	by := time.Now().Add(g.cfg.ConnectWithin)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	g.preconnecting[id] = cancel
	go func() {
		defer func() {
			cancel()
			g.mu.Lock()
			delete(g.preconnecting, id)
			g.mu.Unlock()
		}()
		if g.cfg.Secure == nil || !g.cfg.Secure.Wants(&to.Member) {
			if nc, err := g.dialer.dial(ctx, to.Dial, by); err != nil {
				_ = g.openingFailed(ctx, id, err) // the next call that needs one will meet it
			} else {
				g.addConn(id, &to, nc, nil, false)
			}
			return
		}
		switch got := g.handshakes.wait(ctx, host, 0, by); {
		case got.admitted:
			_, _ = g.connectTLS(ctx, id, &to, false)
		default:
			g.mu.Lock()
			g.conns.Cancel(g.now(), id)
			g.mu.Unlock()
			if got.c != nil { // nobody else waits for it
				g.returnUnused(got.c)
			}
		}
	}()
}

func (g *Manager) mayReuse(c *conn) bool { return c.underTLS == nil || g.cfg.Secure.Fresh(c.nc) }

// finishCall ends a call on a connection.
func (g *Manager) finishCall(c *conn, end conns.End, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rests, why := g.conns.Done(g.now(), c.id, end, took); rests {
		g.becameIdle(c, time.Now())
	} else {
		g.closeEvicted([]conns.Give{{ID: c.id, Why: why}})
		g.serveWaiters()
	}
}

// returnUnused gives back a connection that carried nothing after all.
func (g *Manager) returnUnused(c *conn) {
	open := c.cancelCall()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !open {
		g.conns.Gone(g.now(), c.id)
	} else if rests, _ := g.conns.Unused(g.now(), c.id); rests {
		g.becameIdle(c, c.idleSince)
		return
	}
	g.closeEvicted([]conns.Give{{ID: c.id}})
	g.serveWaiters()
}

// releaseLease gives back what a flow was to get its connection by, and does not need any more.
func (g *Manager) releaseLease(l lease) {
	if l.c != nil {
		g.returnUnused(l.c)
	} else if l.id != 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns.Cancel(g.now(), l.id)
		g.serveWaiters()
	}
}

// readerEnded takes in that the reader of a connection is over. What is lent the flow gives back.
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

// Handshakes returns what the gate of handshakes counted, and how many flows wait there.
func (g *Manager) Handshakes() (tlspolicy.GateCounters, int) { return g.handshakes.counters() }
