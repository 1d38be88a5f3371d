// Package flow runs server-side flows: it manages the connections to each pool member, writes a call, reads its answer and
// reports exactly one end for every flow that is started. It never retries a call.
package flow

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"slatemux/internal/conns"
	"slatemux/internal/tlspolicy"
	"slatemux/internal/traffic"
)

// Config holds the limits of flows and connections, and the collaborators of a Manager.
type Config struct {
	ConnectTimeout time.Duration // timeout for opening a connection
	MaxCalls       int           // maximum number of calls in flight
	Conns          conns.Config  // how many connections are kept, and which are used

	// MaxConnWait bounds how long a flow waits for a connection while no new one may be opened; 0 means 250 ms. A flow that waits longer
	// ends unsent, and the decision module may send the message to another member.
	MaxConnWait time.Duration
	// UnackedTimeout is how long the peer of a reused connection may leave written bytes unacknowledged before the connection is closed;
	// 0 disables the check.
	UnackedTimeout time.Duration

	// Resolver resolves the host names of members, whose addresses are then tried as conns.Attempts says. With nil, package net resolves
	// names.
	Resolver Resolver

	// TLS makes the TLS connections to members that require TLS; nil if no member does.
	TLS TLSConnector
	// HandshakeGate configures the admission of TLS handshakes.
	HandshakeGate tlspolicy.HandshakeConfig
	// ProgramLoad returns the load of this program, 0 to 1. A high load slows down handshakes. Nil means that the load is unknown.
	ProgramLoad func() float64

	// LocalDelay returns how long received data currently waits until this program handles it; nil if that is unknown.
	LocalDelay func() time.Duration
	// SharedWaits holds the retry-after waits of all processes of this relay. The waits of the other process of a handover bind this
	// process too. Nil means that no waits are shared.
	SharedWaits RetryAfterWaits
	// Fleet learns the end of each flow and is consulted before a call is written; nil for a relay without a fleet.
	Fleet Fleet
}

// RetryAfterWaits holds the retry-after waits that the two processes of a handover share.
type RetryAfterWaits interface {
	// Record records that no call of the group may be written before until.
	Record(group traffic.Group, until time.Time)
	// Until returns the end of the current wait of the group, or the zero time if the group has none.
	Until(group traffic.Group, now time.Time) time.Time
}

// Fleet exchanges outage information with the other relays. None of its methods blocks.
type Fleet interface {
	// FlowEnded receives the end of a flow. Of a batch it receives only the end that says most about the member.
	FlowEnded(traffic.Flow, traffic.FlowEnd)
	// OnHold reports whether announcements of other relays currently hold back calls of the group.
	OnHold(group traffic.Group, now time.Time) bool
}

// TLSConnector decides which members require TLS, and makes the TLS connections.
type TLSConnector interface {
	// UsesTLS reports whether connections to the member use TLS.
	UsesTLS(member *traffic.Member) bool
	// Handshake performs the TLS handshake on a new connection until ctx ends, and closes the connection if the handshake fails. It
	// returns the processor time of the handshake, or 0 if that is unknown.
	Handshake(ctx context.Context, nc net.Conn, member *traffic.Member) (net.Conn, time.Duration, error)
	// Reusable reports whether an idle connection may carry another call.
	Reusable(nc net.Conn) bool
}

const (
	// answerTimeout bounds the time from the first byte of an answer to its last byte.
	answerTimeout = 400 * time.Millisecond
	// sweepInterval is the interval between two checks of all connections.
	sweepInterval = 250 * time.Millisecond
	// writeMargin is the time reserved before Flow.WriteBy for the last byte to reach the member.
	writeMargin     = 100 * time.Millisecond
	defaultConnWait = 250 * time.Millisecond
	// maxReplacedConns is how many connections a call may find closed, or with unsolicited bytes of the peer, before the flow ends as
	// not connected. Without this bound a member that writes first on every connection is dialed forever.
	maxReplacedConns = 3
)

// Manager owns all connections to pool members. A conns.Pool decides which connections are opened, used and closed.
type Manager struct {
	cfg       Config
	reportEnd func(traffic.FlowEnd)
	origin    time.Time // zero point of the times that are passed to conns

	unsolicited atomic.Int64 // connections on which a member wrote bytes that no call was waiting for
	waits       retryAfters

	mu            sync.Mutex
	members       map[string]*member
	outstanding   map[traffic.Group]*outstanding
	flows         map[flowID]*activeFlow
	callCount     int // calls in flight; one call may carry several flows
	handshakes    *handshakeQueue
	dialer        *dialer
	dial          func(ctx context.Context, address string, deadline time.Time) (net.Conn, error) // for connections without TLS
	conns         *conns.Pool
	connsByID     map[conns.ID]*conn              // open connections
	preconnecting map[conns.ID]context.CancelFunc // connections that are being opened ahead of any call
	waiters       map[string][]*waiter            // flows that wait for a connection, by member, in order of arrival
}

type flowID struct {
	id      string
	attempt int
}

type member struct {
	traffic.Member
	available bool // accepts new calls
}

// activeFlow is a flow that has not ended.
type activeFlow struct {
	traffic.Flow
	target    *member
	cancel    context.CancelFunc
	localWait time.Duration // time until the goroutine of the flow ran, plus the wait for a connection
}

// New returns a Manager that passes the end of each flow to reportEnd, which must not block.
func New(cfg Config, reportEnd func(traffic.FlowEnd)) (*Manager, error) {
	if cfg.MaxConnWait <= 0 {
		cfg.MaxConnWait = defaultConnWait
	}
	pool, err := conns.New(cfg.Conns)
	if err != nil {
		return nil, err
	}
	m := &Manager{cfg: cfg, reportEnd: reportEnd, origin: time.Now(), members: map[string]*member{}, waits: newRetryAfters(cfg.SharedWaits), outstanding: map[traffic.Group]*outstanding{},
		flows: map[flowID]*activeFlow{}, handshakes: newHandshakeQueue(cfg.HandshakeGate, cfg.ProgramLoad), dialer: newDialer(cfg.Resolver), conns: pool, connsByID: map[conns.ID]*conn{},
		preconnecting: map[conns.ID]context.CancelFunc{}, waiters: map[string][]*waiter{}}
	m.dial = m.dialer.dial
	return m, nil
}

// UpdatePool applies an update of the pool. A flow to a leaving member ends unsent unless its first byte is already written.
func (m *Manager) UpdatePool(update traffic.PoolUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Full {
		for _, known := range m.members {
			known.available = false
		}
	}
	for _, row := range update.Members {
		known := m.members[row.Host]
		if known != nil && (known.Destination != row.Destination || known.Address != row.Address) { // another process: waiting flows are not for it
			known.available = false
			known = nil
		}
		if known == nil {
			known = &member{}
			m.members[row.Host] = known
		}
		known.Member, known.available = row, row.Health == traffic.Active
	}
	for host, known := range m.members {
		m.closeEvicted(m.conns.UpdateEndpoint(host, known.Address, known.Destination, known.available))
		if !known.available {
			delete(m.members, host) // active flows keep their own reference
		}
	}
	m.serveWaiters()
}

// Start begins a flow. It does not block.
func (m *Manager) Start(f traffic.Flow) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	r := &activeFlow{Flow: f, cancel: cancel}
	m.mu.Lock()
	r.target = m.members[f.Member]
	full := m.callCount >= m.cfg.MaxCalls
	var l lease
	if !full && r.target != nil {
		m.callCount++
		for _, x := range f.All() {
			m.flows[flowID{x.ID, x.Attempt}] = r
		}
		l = m.requestConn(f.Member, m.conns.Call)
	}
	m.mu.Unlock()
	switch {
	case r.target == nil:
		cancel()
		m.reportEnds(r, r.flowEnd(traffic.Unsent), nil)
	case full:
		cancel()
		m.reportEnds(r, r.flowEnd(traffic.NoSlot), nil)
	default:
		go m.run(ctx, r, l)
	}
}

// SetLimits sets the maximum numbers of calls in flight and of connections. Existing calls and connections stay.
func (m *Manager) SetLimits(maxFlows, maxConns int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cfg.MaxCalls = maxFlows
	m.conns.SetMaxConns(maxConns)
	m.serveWaiters()
}

// Cancel aborts a flow by closing its connection.
func (m *Manager) Cancel(id string, attempt int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.flows[flowID{id, attempt}]; r != nil {
		r.cancel()
	}
}

// SetCloseIdle closes all idle connections, and keeps no connection idle while on is true.
func (m *Manager) SetCloseIdle(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeEvicted(m.conns.SetKeepNoIdle(m.now(), on))
}

// Expect announces how many calls to the members of a destination will follow soon.
func (m *Manager) Expect(destination, calls int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []string
	for host, known := range m.members {
		if known.available && known.Destination == destination {
			hosts = append(hosts, host)
		}
	}
	for _, host := range hosts {
		m.conns.Hint(host, false, (calls+len(hosts)-1)/len(hosts))
	}
}

// Counters returns the connection counters.
func (m *Manager) Counters() conns.Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	counters := m.conns.Counters()
	counters.Unsolicited = m.unsolicited.Load()
	return counters
}

// IdleTimes returns how long connections had been idle when they ended, by cause.
func (m *Manager) IdleTimes() conns.IdleTimes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns.IdleTimes()
}

// EndpointStates returns the state of the connections to each member.
func (m *Manager) EndpointStates() []conns.EndpointState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.conns.EndpointStates()
}

// flowEnd returns the end of the flow. Latency leaves out the time that the flow waited inside this program, because the pool member did
// not cause it: a CPU-starved relay would otherwise consider its members slow, send them fewer calls and queue more messages.
func (f *activeFlow) flowEnd(status traffic.FlowStatus) traffic.FlowEnd {
	return traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: status,
		Latency: max(time.Since(f.StartedAt)-f.localWait, 0)}
}

// run executes one flow and reports its end.
func (m *Manager) run(ctx context.Context, r *activeFlow, l lease) {
	r.localWait = time.Since(r.StartedAt)
	end, statuses := m.attempt(ctx, r, l)
	if m.cfg.LocalDelay != nil {
		end.Latency = max(end.Latency-m.cfg.LocalDelay(), 0)
	}
	r.cancel()
	m.mu.Lock()
	m.callCount--
	m.removeOutstanding(r)
	for _, x := range r.All() {
		delete(m.flows, flowID{x.ID, x.Attempt})
	}
	m.mu.Unlock()
	m.reportEnds(r, end, statuses)
}

// reportEnds reports the end of a flow and of the flows that shared its call.
func (m *Manager) reportEnds(r *activeFlow, end traffic.FlowEnd, statuses map[string]traffic.FlowStatus) {
	for i, eachEnd := range r.allEnds(end, statuses) {
		if m.cfg.Fleet != nil && i == 0 {
			m.cfg.Fleet.FlowEnded(r.Flow, eachEnd)
		}
		m.reportEnd(eachEnd)
	}
}

// attempt makes the call and returns its end. For a batch it also returns the status of each flow by id, if the answer states them.
func (m *Manager) attempt(ctx context.Context, r *activeFlow, l lease) (traffic.FlowEnd, map[string]traffic.FlowStatus) {
	if end, waits := m.sharedWait(r); waits {
		m.releaseLease(l)
		return end, nil
	}
	if m.heldByFleet(r.Group, time.Now()) {
		m.releaseLease(l)
		return r.flowEnd(traffic.Unsent), nil
	}
	var c *conn
	var call []byte
	var writeStart time.Time
	for written, tries := false, 0; !written; tries++ {
		if tries > maxReplacedConns {
			return r.flowEnd(traffic.NotConnected), nil
		}
		var err error
		if c, err = m.acquire(ctx, r, l); err == errConnWait {
			return r.flowEnd(traffic.Unsent), nil // this program delayed the flow, so the member is not blamed
		} else if err != nil {
			slog.Debug("no connection", "member", r.Member, "id", r.ID, "err", err)
			return r.flowEnd(traffic.NotConnected), nil
		}
		call = r.encode(c, time.Now())
		if end, waits := m.sharedWait(r); waits {
			m.returnUnused(c)
			return end, nil
		}
		if c.syscallConn != nil {
			m.readUnreadAnswers(r.Group)
		}
		// Nothing that can block stands between this check and the write.
		if !m.admitWrite(ctx, r, c) {
			m.returnUnused(c)
			return r.flowEnd(traffic.Unsent), nil
		}
		writeStart = time.Now()
		if written = c.beginWrite(writeStart); !written && tries < maxReplacedConns {
			l = m.replaceConn(r, c)
		} else if !written {
			m.returnUnused(c)
		}
	}
	_ = c.nc.SetWriteDeadline(r.writeDeadline())
	stop := context.AfterFunc(ctx, func() { // also ends a blocked write
		c.checkStuck()
		c.close()
	})
	if n, err := c.nc.Write(call); n < len(call) {
		m.finishCall(c, c.endCall(stop()), time.Since(writeStart))
		slog.Debug("call not written", "member", r.Member, "id", r.ID, "err", err)
		return r.flowEnd(traffic.NotConnected), nil
	}
	<-c.answered       // always closed in the end: close ends the reader, which closes the channel
	result := c.result // read before finishCall returns the connection, because its next call clears the result
	number := c.callCount()
	m.finishCall(c, c.endCall(stop()), time.Since(writeStart))
	slog.Debug("call ended", "id", r.ID, "attempt", r.Attempt, "member", r.Member, "conn", c.id, "call", number, "status", result.status,
		"written", writeStart, "took", time.Since(writeStart))
	end := r.flowEnd(traffic.ConnectionBroken)
	if result.status != 0 {
		end = result.applyTo(end)
	} else if ctx.Err() == context.DeadlineExceeded {
		end.Status = traffic.TimedOut
	} else if ctx.Err() != nil {
		end.Status = traffic.Canceled
	}
	return end, result.statuses
}

// encode returns the text of the call, or of the batch, and prepares the connection for its answer.
func (f *activeFlow) encode(c *conn, now time.Time) []byte {
	if len(f.Bundled) == 0 {
		return appendCall(nil, &f.Flow, now)
	}
	c.setBatch()
	return appendBatch(nil, &f.Flow, now)
}

// writeDeadline returns when the last byte of the call must be written. A retry that reaches the member after Flow.WriteBy may run
// twice, because the member no longer recognizes the duplicate. The zero time means no bound.
func (f *activeFlow) writeDeadline() time.Time {
	if f.WriteBy.IsZero() {
		return time.Time{}
	}
	return f.WriteBy.Add(-writeMargin / 2)
}

// sharedWait returns the end of a flow whose group must wait because of a retry-after that the other process of a handover received.
// The flow ends as FlowRefused with that wait, so that the decision module respects the wait as if this process had received it.
func (m *Manager) sharedWait(r *activeFlow) (traffic.FlowEnd, bool) {
	now := time.Now()
	until := m.waits.ofOtherProcess(r.Group, now)
	if until.IsZero() {
		return traffic.FlowEnd{}, false
	}
	end := r.flowEnd(traffic.FlowRefused)
	end.RetryAfter = until.Sub(now)
	return end, true
}

// heldByFleet reports whether other relays hold back calls of the group.
func (m *Manager) heldByFleet(group traffic.Group, now time.Time) bool {
	return m.cfg.Fleet != nil && m.cfg.Fleet.OnHold(group, now)
}

// admitWrite reports whether the first byte may still be written, and counts the call as outstanding if so. Conditions can change while a
// connection is opened: the member may be leaving, a retry-after may have arrived, or Flow.WriteBy may be too close.
func (m *Manager) admitWrite(ctx context.Context, r *activeFlow, c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if ctx.Err() != nil || !r.target.available || m.waits.holds(r.Group, now) || m.heldByFleet(r.Group, now) {
		return false
	}
	if !r.WriteBy.IsZero() && !now.Before(r.WriteBy.Add(-writeMargin)) {
		return false
	}
	if c.syscallConn != nil { // on TLS connections only the reader goroutine can read
		m.addOutstanding(r, c)
	}
	return true
}

// Close ends all flows and connections immediately. Once this process releases its journal, a successor process retries the flows that
// were active. No call of this process may then be open on the wire, or the retry of the successor would be a duplicate.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.flows {
		r.cancel()
	}
	for _, cancel := range m.preconnecting {
		cancel()
	}
	for _, c := range m.connsByID {
		if c.underTLS != nil {
			c.underTLS.Close() // without a close_notify, which would take time
		} else {
			c.nc.Close()
		}
	}
}
