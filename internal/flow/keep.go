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
	worth float64
	got   chan lease
}

// errHeld says that no connection could be had in time, by this program's own decision.
var errHeld = errors.New("no connection to be had in time")

func (g *Manager) now() time.Duration { return time.Since(g.origin) }

// Sweep has the pool of connections look at them, until ctx ends.
func (g *Manager) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
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
	for id, c := range g.byID {
		if !c.lent && !g.fresh(c) {
			if g.conns.Drop(now, id, conns.Trust) {
				g.kill([]conns.Give{{ID: id}})
			}
		} else if c.lent && g.cfg.StuckAfter > 0 && c.silentSince(at.Add(-g.cfg.StuckAfter)) && c.lookStuck() {
			c.kill()
		}
	}
	give, ahead := g.conns.Tick(now)
	g.kill(give)
	for _, id := range ahead {
		g.openAhead(id)
	}
	for _, id := range g.conns.Unneeded() {
		if cancel := g.ahead[id]; cancel != nil {
			cancel()
		}
	}
	for group, until := range g.waits {
		if until.Before(at) {
			delete(g.waits, group)
		}
	}
	g.admit()
}

// kill closes what the pool gives up. It needs the lock, as all below that do not say otherwise.
func (g *Manager) kill(give []conns.Give) {
	for _, it := range give {
		if c := g.byID[it.ID]; c != nil {
			delete(g.byID, it.ID)
			c.kill()
		}
	}
}

// ask asks for a connection: by conns.Pool.Call, or Again.
func (g *Manager) ask(host string, how func(time.Duration, string) (conns.Verdict, conns.ID, []conns.Give)) lease {
	for {
		v, id, give := how(g.now(), host)
		g.kill(give)
		switch v {
		case conns.Open:
			return lease{id: id}
		case conns.Wait:
			return lease{}
		}
		c := g.byID[id]
		if g.fresh(c) {
			c.lent, c.warm = true, true
			return lease{c: c}
		}
		g.conns.Unused(g.now(), id)
		g.conns.Drop(g.now(), id, conns.Trust)
		g.kill([]conns.Give{{ID: id}})
		how = g.conns.Again
	}
}

// admit hands connections, or leave to open one, to flows that wait.
func (g *Manager) admit() {
	for host := range g.held {
		for len(g.held[host]) > 0 {
			l := g.ask(host, g.conns.Again)
			if l == (lease{}) {
				break
			}
			g.pop(host).got <- l
		}
	}
}

// pop takes the flow that is worth most off those that wait at a member; among equals the one that came first.
func (g *Manager) pop(host string) *waiter {
	list := g.held[host]
	best := 0
	for i, w := range list {
		if w.worth > list[best].worth {
			best = i
		}
	}
	w := list[best]
	g.unhold(host, w)
	return w
}

func (g *Manager) unhold(host string, w *waiter) {
	if list := slices.DeleteFunc(g.held[host], func(o *waiter) bool { return o == w }); len(list) > 0 {
		g.held[host] = list
	} else {
		delete(g.held, host)
	}
}

// rested offers a connection that has come to rest to flows that wait for one.
func (g *Manager) rested(c *conn, since time.Time) {
	c.lent, c.idleSince = false, since
	if c.isDead() { // since it was looked at last, when its reader saw it lent
		g.conns.Closed(g.now(), c.id)
		delete(g.byID, c.id)
		g.admit()
		return
	}
	if !g.fresh(c) {
		g.conns.Drop(g.now(), c.id, conns.Trust)
		g.kill([]conns.Give{{ID: c.id}})
		return
	}
	secured := c.raw != nil && g.opener.waiting(c.host)
	if !secured && len(g.held[c.host]) == 0 || !g.conns.Claim(g.now(), c.id) {
		return
	}
	c.lent, c.warm = true, true
	if secured && g.opener.freed(c.host, c) {
		return
	}
	if len(g.held[c.host]) > 0 {
		g.pop(c.host).got <- lease{c: c}
		return
	}
	c.lent = false
	g.conns.Unused(g.now(), c.id)
}

// get gets a flow its connection, ready for the call. It takes the lock itself, as all below.
func (g *Manager) get(ctx context.Context, r *running, l lease) (c *conn, err error) {
	for {
		switch {
		case l.c != nil:
			if (l.c.idleSince.IsZero() || l.c.settled(l.c.idleSince.Add(g.cfg.Settle))) && l.c.begin() {
				return l.c, nil
			}
			l = g.instead(r, l.c)
		case l.id != 0:
			if l.c, err = g.connect(ctx, r, l.id); err != nil {
				return nil, err
			}
		default:
			if l, err = g.await(ctx, r); err != nil {
				return nil, err
			}
		}
	}
}

// instead gives up a connection that its peer has closed or written to before a call went out, and asks for another.
func (g *Manager) instead(r *running, c *conn) lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.Gone(g.now(), c.id)
	g.kill([]conns.Give{{ID: c.id}})
	return g.ask(r.Member, g.conns.Again)
}

// await waits until a connection to the flow's member comes to rest or may be opened.
func (g *Manager) await(ctx context.Context, r *running) (lease, error) {
	from := time.Now()
	w := &waiter{worth: r.Worth, got: make(chan lease, 1)}
	g.mu.Lock()
	g.held[r.Member] = append(g.held[r.Member], w)
	g.mu.Unlock()
	defer func() { r.queued += time.Since(from) }() // not the member's doing
	timer := time.NewTimer(g.cfg.HeldMost)
	defer timer.Stop()
	select {
	case l := <-w.got:
		return l, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case l := <-w.got: // it came in the same moment
		return l, nil
	default:
		g.unhold(r.Member, w)
		return lease{}, errHeld
	}
}

// connect opens a connection for a flow, or for TLS waits for leave to, and may get one that another flow has done with.
func (g *Manager) connect(ctx context.Context, r *running, id conns.ID) (*conn, error) {
	g.mu.Lock()
	to := *r.m
	g.mu.Unlock()
	if g.cfg.Secure == nil || !g.cfg.Secure.Wants(&to.Member) {
		nc, err := g.dialer.dial(ctx, to.Dial, r.Begun.Add(g.cfg.ConnectWithin))
		if err != nil {
			return nil, g.failed(ctx, id, err)
		}
		return g.adopt(id, &to, nc, nil, true), nil
	}
	from := time.Now()
	got := g.opener.wait(ctx, to.Host, r.Worth, r.Deadline)
	r.queued += time.Since(from)
	if got.c != nil || !got.leave {
		g.mu.Lock()
		g.conns.Cancel(g.now(), id)
		g.admit()
		g.mu.Unlock()
		if got.c != nil {
			return got.c, nil
		}
		return nil, errHeld
	}
	return g.shake(ctx, id, &to, true)
}

// shake opens a connection over TLS, for which the opener has given leave.
func (g *Manager) shake(ctx context.Context, id conns.ID, to *member, call bool) (*conn, error) {
	var took time.Duration
	defer func() { g.opener.done(to.Host, took) }()
	by := time.Now().Add(g.cfg.ConnectWithin)
	raw, err := g.dialer.dial(ctx, to.Dial, by)
	if err != nil {
		return nil, g.failed(ctx, id, err)
	}
	shaking, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	var nc net.Conn
	if nc, took, err = g.cfg.Secure.Client(shaking, raw, &to.Member); err != nil {
		return nil, g.failed(ctx, id, err)
	}
	return g.adopt(id, to, nc, raw, call), nil
}

// failed tells the pool that an opening came to nothing.
func (g *Manager) failed(ctx context.Context, id conns.ID, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		g.conns.Cancel(g.now(), id)
	} else {
		g.conns.Failed(g.now(), id, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	g.admit()
	return fmt.Errorf("connection %d: %w", id, err)
}

// adopt has a new connection read from. raw is what lies below TLS; call says that a call waits for it.
func (g *Manager) adopt(id conns.ID, to *member, nc, raw net.Conn, call bool) *conn {
	c := &conn{nc: nc, raw: raw, g: g, id: id, host: to.Host, over: make(chan struct{})}
	if sc, ok := nc.(syscall.Conn); ok && raw == nil {
		if plain, err := sc.SyscallConn(); err == nil {
			c.plain = plain
		}
	}
	g.mu.Lock()
	g.byID[id] = c
	g.conns.Opened(g.now(), id, call)
	if c.lent = call; !call {
		g.rested(c, time.Time{}) // nothing came before, so there is nothing to settle
	}
	g.mu.Unlock()
	go c.read()
	return c
}

// openAhead opens a connection that no call waits for yet. It needs the lock, and does not block.
func (g *Manager) openAhead(id conns.ID) {
	host, _ := g.conns.EndpointOf(id)
	m := g.members[host]
	if m == nil {
		g.conns.Cancel(g.now(), id)
		return
	}
	to := *m
	by := time.Now().Add(g.cfg.ConnectWithin)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	g.ahead[id] = cancel
	go func() {
		defer func() {
			cancel()
			g.mu.Lock()
			delete(g.ahead, id)
			g.mu.Unlock()
		}()
		if g.cfg.Secure == nil || !g.cfg.Secure.Wants(&to.Member) {
			if nc, err := g.dialer.dial(ctx, to.Dial, by); err != nil {
				_ = g.failed(ctx, id, err) // the next call that needs one will meet it
			} else {
				g.adopt(id, &to, nc, nil, false)
			}
			return
		}
		switch got := g.opener.wait(ctx, host, 0, by); {
		case got.leave:
			_, _ = g.shake(ctx, id, &to, false)
		default:
			g.mu.Lock()
			g.conns.Cancel(g.now(), id)
			g.mu.Unlock()
			if got.c != nil { // nobody else waits for it
				g.unused(got.c)
			}
		}
	}()
}

func (g *Manager) fresh(c *conn) bool { return c.raw == nil || g.cfg.Secure.Fresh(c.nc) }

// over ends a call on a connection.
func (g *Manager) over(c *conn, end conns.End, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rests, why := g.conns.Done(g.now(), c.id, end, took); rests {
		g.rested(c, time.Now())
	} else {
		g.kill([]conns.Give{{ID: c.id, Why: why}})
		g.admit()
	}
}

// unused gives back a connection that carried nothing after all.
func (g *Manager) unused(c *conn) {
	open := c.rest()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !open {
		g.conns.Gone(g.now(), c.id)
	} else if rests, _ := g.conns.Unused(g.now(), c.id); rests {
		g.rested(c, c.idleSince)
		return
	}
	g.kill([]conns.Give{{ID: c.id}})
	g.admit()
}

// giveBack gives back what a flow was to get its connection by, and does not need any more.
func (g *Manager) giveBack(l lease) {
	if l.c != nil {
		g.unused(l.c)
	} else if l.id != 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns.Cancel(g.now(), l.id)
		g.admit()
	}
}

// ended takes in that the reader of a connection is over. What is lent the flow gives back.
func (g *Manager) ended(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byID[c.id] != c || c.lent {
		return
	}
	g.conns.Closed(g.now(), c.id)
	delete(g.byID, c.id)
	g.admit()
}

// Handshakes returns what the gate of handshakes counted, and how many flows wait there.
func (g *Manager) Handshakes() (tlspolicy.GateCounters, int) { return g.opener.counters() }
