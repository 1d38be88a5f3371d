// Package flow carries server-side flows: it keeps the connections to each pool member, writes a call,
// reads its answer, and reports exactly one end for every flow that it was given. It resends nothing.
package flow

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"wrenford/internal/traffic"
	"wrenford/internal/trust"
)

// Config says what the flows must keep to.
type Config struct {
	ConnectWithin time.Duration // a connection not made by then is given up
	IdleMost      time.Duration // pool members close a connection that idled for so long
	MostFlows     int           // flows out at once
	MostConns     int           // connections, idle ones included
	Settle        time.Duration // a connection carries nothing for so long after an answer

	// Secure makes connections over TLS, to those members that want it; nil for none.
	Secure Secure
	Gate   trust.GateConfig
	Busy   func() float64 // the program's own load, 0 to 1, which slows handshakes; nil for none

	// OwnDelay is how long what has come waits at present until this program looks at it; nil for not known.
	OwnDelay func() time.Duration
}

// Secure knows which members' connections go over TLS, and makes them.
type Secure interface {
	Wants(member *traffic.Member) bool
	// Client makes the handshake on a new connection until ctx ends, and closes it where that fails. It tells the
	// processor time of it, or 0.
	Client(ctx context.Context, nc net.Conn, member *traffic.Member) (net.Conn, time.Duration, error)
	// Fresh says whether an idle connection may carry another call.
	Fresh(nc net.Conn) bool
}

// sweepEvery is how often idle connections are looked at; writeSlack is kept free before Flow.WriteBy, for
// what the last byte still takes to arrive. An answer must be whole answerMost after its first byte.
const (
	answerMost = 400 * time.Millisecond
	sweepEvery = 250 * time.Millisecond
	writeSlack = 100 * time.Millisecond
)

// Manager owns all connections to pool members.
type Manager struct {
	cfg  Config
	done func(traffic.FlowEnd)

	mu      sync.Mutex
	members map[string]*member
	waits   map[string]time.Time // by Flow.Group: nothing is written before
	flows   map[flowID]*running
	opener  *opener
	frugal  bool // idle connections are given up at once
	conns   int  // open or being opened
	opened  int64
	reused  int64
}

type flowID struct {
	id      string
	attempt int
}

// member is a pool member with its warm connections, oldest first.
type member struct {
	traffic.Member
	open bool // it may get something new
	idle []*conn
}

// running is a flow that has not ended.
type running struct {
	traffic.Flow
	m      *member
	cancel context.CancelFunc
	queued time.Duration // from the flow's beginning until its goroutine ran
}

// New returns a Manager that hands the end of each flow to done, which must not block.
func New(cfg Config, done func(traffic.FlowEnd)) *Manager {
	return &Manager{cfg: cfg, done: done, members: map[string]*member{}, waits: map[string]time.Time{},
		flows: map[flowID]*running{}, opener: newOpener(cfg.Gate, cfg.Busy)}
}

// Sweep drops connections before they have idled for too long, until ctx ends.
func (g *Manager) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.mu.Lock()
			for _, m := range g.members {
				for _, c := range slices.Clone(m.idle) {
					if g.stale(c, now.Add(sweepEvery)) || !g.fresh(c) {
						g.drop(c)
					}
				}
			}
			for group, until := range g.waits {
				if until.Before(now) {
					delete(g.waits, group)
				}
			}
			g.mu.Unlock()
		}
	}
}

// stale says that a connection may be closed by its member before a call written to it now arrives: the
// call and the answer before it were both on the way for a while, so a tenth of the limit is left unused.
func (g *Manager) stale(c *conn, now time.Time) bool {
	return now.Sub(c.idleSince) >= g.cfg.IdleMost-g.cfg.IdleMost/10
}

// Pool takes in news of the pool. Flows to a member that is leaving end unsent if no byte is out yet.
func (g *Manager) Pool(news traffic.PoolNews) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if news.Whole {
		for _, m := range g.members {
			m.open = false
		}
	}
	for _, row := range news.Members {
		m := g.members[row.Host]
		if m == nil {
			m = &member{}
			g.members[row.Host] = m
		}
		if m.Dial != row.Dial {
			g.dropIdle(m)
		}
		m.Member, m.open = row, row.Health == traffic.Active
	}
	for host, m := range g.members {
		if !m.open {
			g.dropIdle(m)
			delete(g.members, host) // flows that are out keep their own reference
		}
	}
}

// Start begins a flow. It does not block.
func (g *Manager) Start(f traffic.Flow) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	r := &running{Flow: f, cancel: cancel}
	g.mu.Lock()
	r.m = g.members[f.Member]
	full := len(g.flows) >= g.cfg.MostFlows
	var c *conn
	if !full && r.m != nil {
		g.flows[flowID{f.ID, f.Attempt}] = r
		c = g.warm(r.m) // here, so that a Release after this Start leaves it alone
	}
	g.mu.Unlock()
	switch {
	case r.m == nil:
		cancel()
		g.done(r.end(traffic.Unsent))
	case full:
		cancel()
		g.done(r.end(traffic.NoSlot))
	default:
		go g.run(ctx, r, c)
	}
}

// Limit changes how many flows may be out and how many connections there may be; what there is stays.
func (g *Manager) Limit(flows, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.MostFlows, g.cfg.MostConns = flows, conns
}

// Cancel gives a flow up by closing its connection.
func (g *Manager) Cancel(id string, attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.flows[flowID{id, attempt}]; r != nil {
		r.cancel()
	}
}

// FreeIdle gives up all idle connections, and keeps none warm while it is on.
func (g *Manager) FreeIdle(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frugal = on; on {
		for _, m := range g.members {
			g.dropIdle(m)
		}
	}
}

// Release closes the idle connections to a member.
func (g *Manager) Release(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[host]; m != nil {
		g.dropIdle(m)
	}
}

// Counts returns connections opened and calls that reused one.
func (g *Manager) Counts() (opened, reused int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened, g.reused
}

// end ends a flow. What the program itself let it wait, before its goroutine ran and before its answer was looked
// at, is not the pool member's doing and not counted: a relay short of processor would take its members to be slow,
// send them less, and hold the more.
func (r *running) end(status traffic.FlowStatus) traffic.FlowEnd {
	return traffic.FlowEnd{ID: r.ID, Attempt: r.Attempt, Member: r.Member, Status: status,
		Took: max(time.Since(r.Begun)-r.queued, 0)}
}

// run carries one flow from its connection to its end.
func (g *Manager) run(ctx context.Context, r *running, c *conn) {
	r.queued = time.Since(r.Begun)
	end := g.attempt(ctx, r, c)
	if g.cfg.OwnDelay != nil {
		end.Took = max(end.Took-g.cfg.OwnDelay(), 0)
	}
	r.cancel()
	g.mu.Lock()
	delete(g.flows, flowID{r.ID, r.Attempt})
	if end.Status == traffic.TurnedAway && end.Wait > 0 {
		// At once, not by way of the relay: a call still being connected must not be written into the wait.
		if until := time.Now().Add(end.Wait); until.After(g.waits[r.Group]) {
			g.waits[r.Group] = until
		}
	}
	g.mu.Unlock()
	g.done(end)
}

func (g *Manager) attempt(ctx context.Context, r *running, c *conn) traffic.FlowEnd {
	for c == nil || !c.idleSince.IsZero() && !c.settled(c.idleSince.Add(g.cfg.Settle)) || !c.begin() { // a warm one that the peer has closed by now is not written to
		var err error
		if c, err = g.connect(ctx, r); err == errHeld {
			return r.end(traffic.Unsent) // by this program itself: the member has nothing to do with it
		} else if err != nil {
			slog.Debug("no connection", "member", r.Member, "id", r.ID, "err", err)
			return r.end(traffic.NotConnected)
		}
	}
	if !g.mayWrite(ctx, r) {
		if c.rest() {
			g.giveBack(c)
		}
		return r.end(traffic.Unsent)
	}
	call := appendCall(nil, &r.Flow, time.Now())
	stop := context.AfterFunc(ctx, c.kill) // also ends a write that hangs
	if n, err := c.nc.Write(call); n < len(call) {
		stop()
		c.kill()
		slog.Debug("call not written", "member", r.Member, "id", r.ID, "err", err)
		return r.end(traffic.NotConnected)
	}
	<-c.got            // the reader always closes it: kill ends the reader
	result := c.result // before the connection is given back: its next call begins by clearing it
	if stop() && c.rest() {
		g.giveBack(c)
	}
	end := r.end(traffic.Broken)
	if result.status != 0 {
		end = result.end(end)
	} else if ctx.Err() == context.DeadlineExceeded {
		end.Status = traffic.OutOfTime
	} else if ctx.Err() != nil {
		end.Status = traffic.CalledOff
	}
	return end
}

// mayWrite says whether the first byte may still go out. What held when the flow was queued may not hold
// once its connection is up: the member may be leaving, a wait told, or the memory of repeats too near its end.
func (g *Manager) mayWrite(ctx context.Context, r *running) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return ctx.Err() == nil && r.m.open && !now.Before(g.waits[r.Group]) &&
		(r.WriteBy.IsZero() || now.Before(r.WriteBy.Add(-writeSlack)))
}

// warm takes the warm connection that idled least. It needs the lock.
func (g *Manager) warm(m *member) *conn {
	n := len(m.idle)
	if n == 0 {
		return nil
	}
	c := m.idle[n-1]
	if g.stale(c, time.Now()) || !g.fresh(c) {
		g.dropIdle(m)
		return nil
	}
	m.idle = m.idle[:n-1]
	g.reused++
	return c
}

// errHeld says that a handshake was not admitted in time.
var errHeld = errors.New("no handshake admitted in time")

// connect opens a connection, or for TLS waits for leave to, and may get one that another flow has done with; over the
// cap, the connection that idled longest makes room.
func (g *Manager) connect(ctx context.Context, r *running) (*conn, error) {
	g.mu.Lock()
	to := r.m.Member
	g.mu.Unlock()
	if g.cfg.Secure == nil || !g.cfg.Secure.Wants(&to) {
		nc, err := g.dial(ctx, to.Dial, r.Begun.Add(g.cfg.ConnectWithin))
		if err != nil {
			return nil, err
		}
		return g.adopt(r.m, nc, nil), nil
	}
	from := time.Now()
	got := g.opener.wait(ctx, to.Host, r.Worth, r.Deadline)
	r.queued += time.Since(from)
	if got.c != nil {
		return got.c, nil
	} else if !got.leave {
		return nil, errHeld
	}
	var took time.Duration
	defer func() { g.opener.done(to.Host, took) }()
	by := time.Now().Add(g.cfg.ConnectWithin)
	raw, err := g.dial(ctx, to.Dial, by)
	if err != nil {
		return nil, err
	}
	shaking, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	var nc net.Conn
	if nc, took, err = g.cfg.Secure.Client(shaking, raw, &to); err != nil {
		g.closed()
		return nil, err
	}
	return g.adopt(r.m, nc, raw), nil
}

// dial opens a connection and counts it.
func (g *Manager) dial(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
	g.mu.Lock()
	if g.conns >= g.cfg.MostConns {
		var oldest *conn
		for _, m := range g.members {
			if len(m.idle) > 0 && (oldest == nil || m.idle[0].idleSince.Before(oldest.idleSince)) {
				oldest = m.idle[0]
			}
		}
		if oldest != nil {
			g.drop(oldest)
		}
	}
	g.conns++
	g.opened++
	g.mu.Unlock()
	dialer := net.Dialer{Deadline: by, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		g.closed()
		return nil, err
	}
	return nc, nil
}

// adopt has a new connection read from. raw is what lies below TLS.
func (g *Manager) adopt(m *member, nc, raw net.Conn) *conn {
	c := &conn{nc: nc, raw: raw, m: m, g: g, over: make(chan struct{})}
	go c.read()
	return c
}

func (g *Manager) fresh(c *conn) bool { return c.raw == nil || g.cfg.Secure.Fresh(c.nc) }

// giveBack keeps a connection warm, if its member still gets calls.
func (g *Manager) giveBack(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.m.open || g.frugal || c.isDead() || !g.fresh(c) {
		c.kill()
		return
	}
	c.idleSince = time.Now()
	if c.raw != nil && g.opener.freed(c.m.Host, c) {
		return
	}
	c.m.idle = append(c.m.idle, c)
}

// Handshakes returns what the gate of handshakes counted, and how many flows wait there.
func (g *Manager) Handshakes() (trust.GateCounters, int) { return g.opener.counters() }

func (g *Manager) closed() {
	g.mu.Lock()
	g.conns--
	g.mu.Unlock()
}

// drop closes an idle connection; forget only takes it off the list. Both need the lock.
func (g *Manager) drop(c *conn) {
	g.forget(c)
	c.kill()
}

func (g *Manager) forget(c *conn) {
	for i, o := range c.m.idle {
		if o == c {
			c.m.idle = append(c.m.idle[:i], c.m.idle[i+1:]...)
			return
		}
	}
}

func (g *Manager) dropIdle(m *member) {
	for len(m.idle) > 0 {
		g.drop(m.idle[0])
	}
}
