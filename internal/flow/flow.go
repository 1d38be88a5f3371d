// Package flow carries server-side flows: it keeps the connections to each pool member, writes a call,
// reads its answer, and reports exactly one end for every flow that it was given. It resends nothing.
package flow

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"slatemux/internal/conns"
	"slatemux/internal/tlspolicy"
	"slatemux/internal/traffic"
)

// Config says what the flows must keep to.
type Config struct {
	ConnectWithin time.Duration // a connection not made by then is given up
	MostFlows     int           // flows out at once
	Settle        time.Duration // a connection carries nothing for so long after an answer
	Conns         conns.Config  // how many connections are held, and which are used

	// HeldMost bounds how long a flow waits for a connection where none may be opened; 0 for 250 ms. It then ends unsent, and
	// the decision module may send it elsewhere.
	HeldMost time.Duration
	// StuckAfter has a warm connection given up whose bytes the peer has not acknowledged for so long; 0 for never.
	StuckAfter time.Duration

	// Names looks up the names of members that have some, and their addresses are raced; nil leaves names to package net.
	Names Resolver

	// Secure makes connections over TLS, to those members that want it; nil for none.
	Secure Secure
	Gate   tlspolicy.GateConfig
	Busy   func() float64 // the program's own load, 0 to 1, which slows handshakes; nil for none

	// OwnDelay is how long what has come waits at present until this program looks at it; nil for not known.
	OwnDelay func() time.Duration
	// Shared holds the waits of all processes of this relay: those of a hand-over's other process bind too. Nil
	// for none.
	Shared Waits
	// Fleet is told of each flow's end, and asked before a call is written; nil for a relay alone.
	Fleet Fleet
}

// Waits are told waits shared with the other process of a hand-over.
type Waits interface {
	Tell(group traffic.Group, until time.Time)
	Until(group traffic.Group, now time.Time) time.Time
}

// Fleet is what relays tell each other. Nothing of it blocks.
type Fleet interface {
	// Ended hears how a flow ended.
	Ended(traffic.Flow, traffic.FlowEnd)
	// Held says whether other relays' word holds a group just now.
	Held(group traffic.Group, now time.Time) bool
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

// sweepInterval is how often connections are looked at; writeSlack is kept free before Flow.WriteBy, for
// what the last byte still takes to arrive. An answer must be whole answerMost after its first byte.
const (
	answerTimeout   = 400 * time.Millisecond
	sweepInterval   = 250 * time.Millisecond
	writeMargin     = 100 * time.Millisecond
	defaultConnWait = 250 * time.Millisecond
	// maxReplacedConns is how many connections a call finds closed or written to by their peer before it counts as not connected: one may
	// talk first on each.
	maxReplacedConns = 3
)

// Manager owns all connections to pool members. Which of them are opened, used and closed is the word of conns.Pool.
type Manager struct {
	cfg       Config
	reportEnd func(traffic.FlowEnd)
	origin    time.Time // of the time that the pool of connections is told

	mu            sync.Mutex
	members       map[string]*member
	retryAfter    map[traffic.Group]time.Time // nothing is written before
	outstanding   map[traffic.Group]*outstanding
	flows         map[flowID]*activeFlow
	callCount     int // of them; one may carry several
	handshakes    *handshakeQueue
	dialer        *dialer
	conns         *conns.Pool
	connsByID     map[conns.ID]*conn              // those that are open
	preconnecting map[conns.ID]context.CancelFunc // being opened without a call
	waiters       map[string][]*waiter            // by member: flows for which none may be opened, in the order of their coming
}

type flowID struct {
	id      string
	attempt int
}

type member struct {
	traffic.Member
	available bool // it may get something new
}

// activeFlow is a flow that has not ended.
type activeFlow struct {
	traffic.Flow
	target    *member
	cancel    context.CancelFunc
	localWait time.Duration // from the flow's beginning until its goroutine ran, and in wait for a connection
}

// New returns a Manager that hands the end of each flow to done, which must not block.
func New(cfg Config, reportEnd func(traffic.FlowEnd)) (*Manager, error) {
	if cfg.HeldMost <= 0 {
		cfg.HeldMost = defaultConnWait
	}
	pool, err := conns.New(cfg.Conns)
	if err != nil {
		return nil, err
	}
	return &Manager{cfg: cfg, reportEnd: reportEnd, origin: time.Now(), members: map[string]*member{}, retryAfter: map[traffic.Group]time.Time{}, outstanding: map[traffic.Group]*outstanding{},
		flows: map[flowID]*activeFlow{}, handshakes: newHandshakeQueue(cfg.Gate, cfg.Busy), dialer: newDialer(cfg.Names), conns: pool, connsByID: map[conns.ID]*conn{},
		preconnecting: map[conns.ID]context.CancelFunc{}, waiters: map[string][]*waiter{}}, nil
}

// Pool takes in news of the pool. Flows to a member that is leaving end unsent if no byte is out yet.
func (g *Manager) Pool(news traffic.PoolNews) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if news.Whole {
		for _, m := range g.members {
			m.available = false
		}
	}
	for _, row := range news.Members {
		m := g.members[row.Host]
		if m == nil {
			m = &member{}
			g.members[row.Host] = m
		}
		m.Member, m.available = row, row.Health == traffic.Active
	}
	for host, m := range g.members {
		g.closeEvicted(g.conns.Endpoint(host, m.Dial, m.Destination, m.available))
		if !m.available {
			delete(g.members, host) // flows that are out keep their own reference
		}
	}
	g.serveWaiters()
}

// Start begins a flow. It does not block.
func (g *Manager) Start(f traffic.Flow) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	r := &activeFlow{Flow: f, cancel: cancel}
	g.mu.Lock()
	r.target = g.members[f.Member]
	full := g.callCount >= g.cfg.MostFlows
	var l lease
	if !full && r.target != nil {
		g.callCount++
		for _, x := range f.All() {
			g.flows[flowID{x.ID, x.Attempt}] = r
		}
		l = g.requestConn(f.Member, g.conns.Call)
	}
	g.mu.Unlock()
	switch {
	case r.target == nil:
		cancel()
		g.reportEnds(r, r.flowEnd(traffic.Unsent), nil)
	case full:
		cancel()
		g.reportEnds(r, r.flowEnd(traffic.NoSlot), nil)
	default:
		go g.run(ctx, r, l)
	}
}

// Limit changes how many flows may be out and how many connections there may be; what there is stays.
func (g *Manager) Limit(maxFlows, maxConns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.MostFlows = maxFlows
	g.conns.Limit(maxConns)
	g.serveWaiters()
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
	g.closeEvicted(g.conns.Frugal(g.now(), on))
}

// Expect tells how many calls are known to come to the members of a destination soon.
func (g *Manager) Expect(destination, calls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hosts []string
	for host, m := range g.members {
		if m.available && m.Destination == destination {
			hosts = append(hosts, host)
		}
	}
	for _, host := range hosts {
		g.conns.Hint(host, false, (calls+len(hosts)-1)/len(hosts))
	}
}

// Counters returns what was counted of connections.
func (g *Manager) Counters() conns.Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns.Counters()
}

// Ends returns how long connections had idled at their ends, by cause.
func (g *Manager) Ends() conns.Ends {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns.Ends()
}

// Connections returns what is known of each member's connections.
func (g *Manager) Connections() []conns.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns.States()
}

// flowEnd ends a flow. What the program itself let it wait, before its goroutine ran and before its answer was looked
// at, is not the pool member's doing and not counted: a relay short of processor would take its members to be slow,
// send them less, and hold the more.
func (r *activeFlow) flowEnd(status traffic.FlowStatus) traffic.FlowEnd {
	return traffic.FlowEnd{ID: r.ID, Attempt: r.Attempt, Member: r.Member, Status: status,
		Took: max(time.Since(r.Begun)-r.localWait, 0)}
}

// run carries one flow from its connection to its end.
func (g *Manager) run(ctx context.Context, r *activeFlow, l lease) {
	r.localWait = time.Since(r.Begun)
	end, statuses := g.attempt(ctx, r, l)
	if g.cfg.OwnDelay != nil {
		end.Took = max(end.Took-g.cfg.OwnDelay(), 0)
	}
	r.cancel()
	g.mu.Lock()
	g.callCount--
	g.removeOutstanding(r)
	for _, x := range r.All() {
		delete(g.flows, flowID{x.ID, x.Attempt})
	}
	if (end.Status == traffic.TurnedAway || statuses != nil) && end.Wait > 0 {
		// At once, not by way of the relay: a call still being connected must not be written into the wait.
		if until := time.Now().Add(end.Wait); until.After(g.retryAfter[r.Group]) {
			g.retryAfter[r.Group] = until
			if g.cfg.Shared != nil {
				g.cfg.Shared.Tell(r.Group, until)
			}
		}
	}
	g.mu.Unlock()
	g.reportEnds(r, end, statuses)
}

// reportEnds hands on the ends of a flow and of those that travelled with it.
func (g *Manager) reportEnds(r *activeFlow, end traffic.FlowEnd, statuses map[string]traffic.FlowStatus) {
	for i, memberEnd := range r.allEnds(end, statuses) {
		if g.cfg.Fleet != nil && i == 0 {
			g.cfg.Fleet.Ended(r.Flow, memberEnd)
		}
		g.reportEnd(memberEnd)
	}
}

// attempt makes the call and says how it ended; where it carried several, how each of them did, if the answer tells.
func (g *Manager) attempt(ctx context.Context, r *activeFlow, l lease) (traffic.FlowEnd, map[string]traffic.FlowStatus) {
	if end, waits := g.sharedWait(r); waits {
		g.releaseLease(l)
		return end, nil
	}
	if g.heldByFleet(r.Group, time.Now()) {
		g.releaseLease(l)
		return r.flowEnd(traffic.Unsent), nil
	}
	var c *conn
	var writeStart time.Time
	for written, tries := false, 0; !written; tries++ {
		if tries > maxReplacedConns {
			return r.flowEnd(traffic.NotConnected), nil
		}
		var err error
		if c, err = g.acquire(ctx, r, l); err == errConnWait {
			return r.flowEnd(traffic.Unsent), nil // by this program itself: the member has nothing to do with it
		} else if err != nil {
			slog.Debug("no connection", "member", r.Member, "id", r.ID, "err", err)
			return r.flowEnd(traffic.NotConnected), nil
		}
		if end, told := g.sharedWait(r); told {
			g.returnUnused(c)
			return end, nil
		}
		if c.syscallConn != nil {
			g.awaitUnreadAnswers(ctx, r)
		}
		if !g.mayWrite(ctx, r) {
			g.returnUnused(c)
			return r.flowEnd(traffic.Unsent), nil
		}
		writeStart = time.Now()
		if written = c.beginWrite(writeStart); !written && tries < maxReplacedConns {
			l = g.replaceConn(r, c)
		} else if !written {
			g.returnUnused(c)
		}
	}
	var call []byte
	if len(r.With) == 0 {
		call = appendCall(nil, &r.Flow, writeStart)
	} else {
		call = appendBatch(nil, &r.Flow, writeStart)
		c.setBatch()
	}
	if c.syscallConn != nil { // over TLS nobody but its reader can read it
		g.addOutstanding(r, c)
	}
	_ = c.nc.SetWriteDeadline(r.writeDeadline())
	stop := context.AfterFunc(ctx, func() { // also ends a write that hangs
		c.checkStuck()
		c.close()
	})
	if n, err := c.nc.Write(call); n < len(call) {
		g.finishCall(c, c.endCall(stop()), time.Since(writeStart))
		slog.Debug("call not written", "member", r.Member, "id", r.ID, "err", err)
		return r.flowEnd(traffic.NotConnected), nil
	}
	<-c.answered       // the reader always closes it: kill ends the reader
	result := c.result // before the connection is given back: its next call begins by clearing it
	g.finishCall(c, c.endCall(stop()), time.Since(writeStart))
	end := r.flowEnd(traffic.Broken)
	if result.status != 0 {
		end = result.applyTo(end)
	} else if ctx.Err() == context.DeadlineExceeded {
		end.Status = traffic.OutOfTime
	} else if ctx.Err() != nil {
		end.Status = traffic.CalledOff
	}
	return end, result.statuses
}

// writeDeadline is when the call is given up whose last byte is not written: repeats are dropped by when that comes. A zero time sets no
// bound.
func (r *activeFlow) writeDeadline() time.Time {
	if r.WriteBy.IsZero() {
		return time.Time{}
	}
	return r.WriteBy.Add(-writeMargin / 2)
}

// sharedWait ends a flow whose group the other process of a hand-over was told to wait for as turned away
// with that wait, which the module then keeps as if it had been told here.
func (g *Manager) sharedWait(r *activeFlow) (traffic.FlowEnd, bool) {
	if g.cfg.Shared == nil {
		return traffic.FlowEnd{}, false
	}
	now := time.Now()
	until := g.cfg.Shared.Until(r.Group, now)
	g.mu.Lock()
	ownWait := !until.After(g.retryAfter[r.Group])
	g.mu.Unlock()
	if until.IsZero() || ownWait {
		return traffic.FlowEnd{}, false // none, or this process's own, which the module knows
	}
	end := r.flowEnd(traffic.TurnedAway)
	end.Wait = until.Sub(now)
	return end, true
}

// heldByFleet says whether other relays hold a group back.
func (g *Manager) heldByFleet(group traffic.Group, now time.Time) bool {
	return g.cfg.Fleet != nil && g.cfg.Fleet.Held(group, now)
}

// mayWrite says whether the first byte may still go out. What held when the flow was queued may not hold
// once its connection is up: the member may be leaving, a wait told, or the memory of repeats too near its end.
func (g *Manager) mayWrite(ctx context.Context, r *activeFlow) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return ctx.Err() == nil && r.target.available && !now.Before(g.retryAfter[r.Group]) && !g.heldByFleet(r.Group, now) &&
		(r.WriteBy.IsZero() || now.Before(r.WriteBy.Add(-writeMargin)))
}

// Close ends every flow and connection at once. A successor takes up what was out once this process lets go of
// its journal: by then no call of ours may be open on the wire, or the successor's would be a second copy.
func (g *Manager) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.flows {
		r.cancel()
	}
	for _, cancel := range g.preconnecting {
		cancel()
	}
	for _, c := range g.connsByID {
		if c.underTLS != nil {
			c.underTLS.Close() // no farewell: the end is now
		} else {
			c.nc.Close()
		}
	}
}
