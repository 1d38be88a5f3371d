// Package conns decides about connections to servers: how many each endpoint keeps, which idle connection a call uses, when a
// connection is opened in advance, and when one is closed. The package does no I/O and reads no clock. Package flow reports the events
// of connections to a Pool and carries out the Pool's decisions. The decision module chooses the endpoint and the time of a call; the
// Pool chooses the connection.
//
// Some terms: a reuse is a call on a connection that was idle, and a good reuse is one that was answered. A closing by the server is
// visible if the relay sees it while the connection is idle; otherwise the connection is dead, and the next call on it fails. Such a
// failed call is a loss, or a stale call.
package conns

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the limits and prices that a Pool works with.
type Config struct {
	MaxConns     int           // maximum number of connections in all, including those that are being opened
	MaxIdle      time.Duration // idle time after which servers are known to close a connection
	MaxAge       time.Duration // approximate age at which a connection is closed; 0 for no limit
	PeakHalfLife time.Duration // half-life of the number of connections that are kept after a peak of calls
	Preconnect   bool          // connections are opened before calls need them
	// LossPrice is the price of a call that fails on a dead connection, OpenPrice that of a new connection. A connection is
	// reused while LossPrice times the probability that the connection is dead is less than OpenPrice.
	LossPrice, OpenPrice float64
	MaxStaleShare        float64       // maximum share of calls that may fail on dead connections; near this share, less risk is taken
	MinBackoff           time.Duration // first wait before the next preconnect to an endpoint after a failed opening; each failure doubles it
	MaxBackoff           time.Duration // maximum of that wait
	SingleCall           bool          // connections always carry a single call
	MinRest              time.Duration // minimum time between the end of a call and the next call on the same connection
	// SingleCallPeriod is how long connections carry a single call after a server wrote bytes that no call was waiting for; 0 to ignore
	// such bytes.
	SingleCallPeriod time.Duration
	Seed             uint64
}

// Defaults returns the configuration of a relay. The caller adds the maximum number of connections and their maximum idle time.
func Defaults() Config {
	return Config{MaxAge: 10 * time.Minute, PeakHalfLife: 15 * time.Second, LossPrice: 1, OpenPrice: 0.02, MaxStaleShare: 0.001,
		MinBackoff: 200 * time.Millisecond, MaxBackoff: 30 * time.Second}
}

// Check returns an error that describes the first invalid value.
func (c *Config) Check() error {
	switch {
	case c.MaxConns < 1:
		return fmt.Errorf("conns: maximum number of connections is %d, must be at least 1", c.MaxConns)
	case c.MaxIdle <= 0:
		return fmt.Errorf("conns: maximum idle time is %v, must be positive", c.MaxIdle)
	case c.MaxAge < 0 || c.PeakHalfLife <= 0:
		return fmt.Errorf("conns: maximum age %v is negative, or half-life of a peak %v is not positive", c.MaxAge, c.PeakHalfLife)
	case !(c.LossPrice > 0) || !(c.OpenPrice > 0) || !(c.MaxStaleShare > 0 && c.MaxStaleShare < 1):
		return fmt.Errorf("conns: price of a loss, price of an opening or maximum share of stale calls is out of range")
	case c.MinRest < 0 || c.SingleCallPeriod < 0:
		return fmt.Errorf("conns: minimum rest %v or period of single calls %v is negative", c.MinRest, c.SingleCallPeriod)
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return fmt.Errorf("conns: minimum backoff %v is not positive, or maximum backoff %v is below the minimum", c.MinBackoff, c.MaxBackoff)
	}
	return nil
}

const (
	// closeMarginShare is the part of an idle limit by which the relay stays below the time at which the server closes. Without the
	// margin, the server's close and a call could cross on the network.
	closeMarginShare = 0.1
	// minSurvivalShare is the share of connections that must outlive the limit learned from visible closings. A visible closing fails
	// no call unless both cross on the network, so a few early closings, as at a restart, must not shorten the limit for the rest.
	minSurvivalShare = 0.5
	// minQuarantine is how long the idle time of a first loss is not tried again. The quarantine doubles with each loss, up to
	// maxQuarantine.
	minQuarantine = 10 * time.Second
	maxQuarantine = time.Hour
	// trialInterval is the minimum time between two trials of an idle time beyond the limit.
	trialInterval = 10 * time.Second
	// maxUnrelatedLossShare is the share of calls that may break for reasons other than idling. Above this share a single loss no
	// longer proves that idling was the reason; lossesNeededIfNoisy losses do.
	maxUnrelatedLossShare = 0.0005
	lossesNeededIfNoisy   = 2
	// lossesNeededIfContradicted is the number of losses that outweigh a recent good reuse after a longer idle time. A good reuse after
	// at least the idle time of such a loss removes that loss from the count.
	lossesNeededIfContradicted = 3
	// cautionPeriod is how long after a loss through idling only those idle times are trusted that recent reuses have proven.
	cautionPeriod = time.Hour
	// limitsRefreshInterval is how long computed idle limits are used. A loss causes an immediate refresh.
	limitsRefreshInterval = 50 * time.Millisecond
	// provenPeriod is how long a good reuse proves that other connections survive the same idle time.
	provenPeriod = 5 * time.Minute
	// provenReachFactor times the longest proven idle time is still trusted.
	provenReachFactor = 1.25
	// refutedIdleShare is the part of a loss's idle time that remains proven after the loss.
	refutedIdleShare = 0.7
	// minSuspectIdle is the shortest idle time that can be the reason for a loss.
	minSuspectIdle = 100 * time.Millisecond
	// evidenceHalfLife is the half-life of the evidence about idle times, because servers are reconfigured without notice.
	evidenceHalfLife = 15 * time.Minute
	// evidenceDecayInterval is the time between two decays of the evidence.
	evidenceDecayInterval = 15 * time.Second
	// recentGoodPeriod is how long a good reuse is evidence that idling was not the reason for a later loss.
	recentGoodPeriod = 20 * time.Second
	// busyDeviations is the number of standard deviations above the mean number of concurrent calls for which connections are kept.
	busyDeviations = 2.3
	// serviceSmoothing is the weight of the newest call in the smoothed service time and its deviation.
	serviceSmoothing = 0.3
	// minSameUses is the number of consecutive closings after the same number of calls that make a limit of calls per connection.
	// Each limit that proves wrong multiplies the number by four, up to maxSameUses.
	minSameUses = 3
	maxSameUses = 200
	// connsPerUsesTrial is the number of connections of which one ignores the limit of calls per connection, to test the limit.
	connsPerUsesTrial = 20
	// connLimitPeriod is how long an assumed connection limit of a server holds before one more connection is tried.
	connLimitPeriod = 30 * time.Second
	// refusalsForConnLimit is the number of consecutive refusals that make a connection limit. A single refusal can have any reason.
	refusalsForConnLimit = 2
	// connLimitDoubtPeriod is the time after a refusal in which a closing shows that the server was shutting down and not full.
	connLimitDoubtPeriod = time.Second
	// closeAfterAnswerWindow is the time after an answer in which a closing is attributed to the number of calls.
	closeAfterAnswerWindow = 50 * time.Millisecond
	// minSurplusIdle is the minimum idle time of a surplus connection before it is closed.
	minSurplusIdle = time.Second
	// staleWindowCalls is the number of calls after which the counts of recent calls and losses are halved.
	staleWindowCalls = 20_000
)

// ID identifies a connection of a Pool.
type ID uint64

// Reason is the cause for which a Pool closes a connection.
type Reason int

// The reasons.
const (
	ReasonIdle         Reason = iota // the connection may be dead now, or will be before its next use
	ReasonAge                        // the connection has reached its maximum age
	ReasonUses                       // the server closes connections after this number of calls
	ReasonSurplus                    // the endpoint has more connections than needed
	ReasonRoom                       // another endpoint needs the file descriptor
	ReasonDraining                   // the endpoint gets no new calls
	ReasonMoved                      // the endpoint has a new address
	ReasonServerClosed               // the server announced that it closes the connection
	ReasonPressure                   // memory is short
	ReasonTrust                      // the trust settings under which the connection was opened have changed
	ReasonUnsolicited                // the server writes bytes that no call waits for, so a connection carries a single call
	ReasonResting                    // a call needs the place of the connection, which has not rested for long enough
	reasonCount
)

var reasonNames = [reasonCount]string{"idle", "age", "uses", "thin", "room", "leaving", "moved", "server", "pressure", "trust", "unsolicited", "resting"}

// String returns the name of the reason in log lines.
func (r Reason) String() string { return reasonNames[r] }

// Eviction is a connection that the caller has to close, and the reason.
type Eviction struct {
	ID     ID
	Reason Reason
}

// state is what a connection is doing.
type state int

const (
	stateOpening state = iota
	stateBusy          // the connection carries a call
	stateIdle
)

// conn is one connection of a Pool.
type conn struct {
	id             ID
	owner          *endpoint
	state          state
	expiresAt      time.Duration // time at which the connection reaches its maximum age; 0 for never
	idleSince      time.Duration
	calls          int           // calls that the connection has completed
	idleBeforeCall time.Duration // idle time before the current call; 0 if the connection was opened for that call
	isTrial        bool          // the current call tests an idle time that is beyond the limit or not proven
	preconnected   bool          // the connection was opened in advance
}

// Histories take much memory, and most endpoints of a long list are called rarely or never. Endpoints without any observation share
// these empty histories, which are never written to.
var (
	emptyReuseHistory reuseHistory
	emptyCloseHistory closeHistory
	emptyDeadShares   = emptyReuseHistory.deadShares()
)

// ownReuseHistory returns the endpoint's own, writable reuse history. The first call replaces the shared empty history.
func (e *endpoint) ownReuseHistory() *reuseHistory {
	if e.reuseHistory == &emptyReuseHistory {
		e.reuseHistory = &reuseHistory{}
	}
	return e.reuseHistory
}

// ownCloseHistory returns the endpoint's own, writable close history. The first call replaces the shared empty history.
func (e *endpoint) ownCloseHistory() *closeHistory {
	if e.closeHistory == &emptyCloseHistory {
		e.closeHistory = &closeHistory{}
	}
	return e.closeHistory
}

// endpoint is one server address of a destination, with its connections and what they have shown about the server.
type endpoint struct {
	name, addr   string
	dest         int
	acceptsCalls bool // the endpoint may get new calls
	slowStart    bool // at most one connection at a time is opened in advance
	conns        map[ID]*conn
	idleConns    []*conn // idle connections, the longest idle first
	busyCount    int     // connections that carry a call

	reuseHistory *reuseHistory
	closeHistory *closeHistory

	quarantinedIdle  time.Duration // idle times from this one on are not tried before quarantinedUntil; 0 for none
	quarantinedUntil time.Duration
	quarantineLength time.Duration // length of the quarantine after the newest loss
	trialRunning     bool
	nextTrialAt      time.Duration    // no idle time beyond the limit is tried before this time
	recentGoodIdle   [2]time.Duration // longest idle time of a good reuse, in the current and the previous period of recentGoodPeriod
	recentGoodFrom   time.Duration    // start of the current period of recentGoodIdle
	provenIdle       [2]time.Duration // the same for periods of provenPeriod, shortened by losses
	provenIdleFrom   time.Duration    // start of the current period of provenIdle
	idleLossAt       time.Duration    // time of the newest loss that is attributed to idling; 0 for never

	singleCallUntil time.Duration // connections carry a single call before this time

	suspectedIdles []time.Duration // idle times of losses that are not yet attributed to idling or to another reason

	maxUses             int // limit of calls per connection; 0 for none
	lastClosingUses     int // calls of the connection that the server closed last
	sameUsesCount       int // consecutive closings after lastClosingUses calls
	sameUsesNeeded      int // consecutive closings that make a limit
	connLimit           int // number of connections that the server seems to accept; 0 for no limit
	connLimitAt         time.Duration
	consecutiveRefusals int // refusals in a row while other connections were open
	openFailures        int // failed openings; each success halves the number
	preconnectRetryAt   time.Duration
	lastOpenedAt        time.Duration // time of the newest successful opening; 0 for never

	evicted    [reasonCount]int64
	staleCalls int64

	evidenceDecayedAt time.Duration // time of the newest decay of the histories

	limitsComputedAt             time.Duration // time at which the next three fields were computed; 0 after a loss, which makes them stale
	deadShares                   *[bucketCount]float64
	softIdleLimit, hardIdleLimit time.Duration

	arrivals             int // calls since the last tick
	callsPerSecond       float64
	serviceSeconds       float64 // smoothed duration of a call
	serviceSpreadSeconds float64 // smoothed mean deviation of that duration
	peakBusy             float64 // peak number of concurrent calls, decaying
	expectedCalls        int     // calls that are known to come
}

// destination is the common state of the endpoints of a destination: how many of their calls break for reasons other than idling.
type destination struct {
	endpoints                          []*endpoint // in the order in which they were added
	recentCalls, recentUnrelatedLosses float64     // counted over the window of staleWindowCalls
}

// hasUnrelatedLosses reports whether connections break for other reasons so often that such a loss can be mistaken for one through
// idling.
func (d *destination) hasUnrelatedLosses() bool {
	return d.recentUnrelatedLosses >= 2 && d.recentUnrelatedLosses > maxUnrelatedLossShare*d.recentCalls
}

// Pool decides about the connections of all endpoints. It is not safe for concurrent use.
type Pool struct {
	cfg          Config
	endpoints    map[string]*endpoint
	destinations map[int]*destination
	conns        map[ID]*conn
	keepNoIdle   bool // connections are closed instead of becoming idle

	singleCallUntil time.Duration // connections to all endpoints carry a single call before this time

	lastID      ID
	rng         *rand.Rand
	clock       time.Duration // the latest time that a caller has passed
	lastTickAt  time.Duration
	recentCalls float64 // calls in the window of staleWindowCalls
	staleCalls  float64 // of recentCalls, those that failed on dead connections
	counters    Counters
	idleTimes   IdleTimes
}

// Counters counts events since the start.
type Counters struct {
	Opened       int64 // openings begun
	Preconnected int64 // of Opened, those in advance of calls
	NeverUsed    int64 // connections opened in advance that ended without a call
	Calls        int64
	Reused       int64 // of Calls, those on connections that had been idle
	Stale        int64 // of Calls, those that failed on dead connections
	OpenFailures int64 // openings that failed
	Canceled     int64 // openings that were canceled because no call needed them any more
	Waited       int64 // calls that had to wait for a connection to their endpoint
	Evicted      [reasonCount]int64
	Closed       int64 // idle connections whose closing by the server was visible
	Quarantines  int64 // quarantines of idle times
	Spare        int64 // of Opened, those beside an opening that took long
	Unsolicited  int64 // connections on which a server wrote bytes that no call was waiting for; counted by the caller
}

// New returns a Pool without endpoints, or an error if the configuration is invalid.
func New(cfg Config) (*Pool, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, endpoints: map[string]*endpoint{}, destinations: map[int]*destination{}, conns: map[ID]*conn{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 9))}, nil
}

// Counters returns the counters.
func (p *Pool) Counters() Counters { return p.counters }

// Len returns the number of connections, including those that are being opened.
func (p *Pool) Len() int { return len(p.conns) }

// SetMaxConns sets the maximum number of connections in all. A connection beyond the maximum is closed when its call ends.
func (p *Pool) SetMaxConns(maxConns int) { p.cfg.MaxConns = maxConns }

// UpdateEndpoint adds, changes or drains an endpoint. An endpoint with a new address loses what was learned, because another server runs
// there. The result lists the idle connections that the caller has to close. Busy connections close when their calls end.
func (p *Pool) UpdateEndpoint(name, addr string, dest int, acceptsCalls bool) (evict []Eviction) {
	e := p.endpoints[name]
	if e == nil {
		if !acceptsCalls {
			return nil
		}
		e = &endpoint{name: name, addr: addr, dest: dest, reuseHistory: &emptyReuseHistory, closeHistory: &emptyCloseHistory,
			deadShares: &emptyDeadShares, evidenceDecayedAt: p.clock, conns: map[ID]*conn{}}
		p.learnFromSiblings(e)
		p.endpoints[name] = e
		p.joinDestination(e, dest)
	}
	if e.dest != dest {
		p.leaveDestination(e)
		p.joinDestination(e, dest)
	}
	reason := ReasonDraining
	if moved := e.addr != addr; moved {
		next := &endpoint{name: name, addr: addr, dest: dest, reuseHistory: &emptyReuseHistory, closeHistory: &emptyCloseHistory,
			deadShares: &emptyDeadShares, evidenceDecayedAt: p.clock, conns: e.conns, idleConns: e.idleConns, busyCount: e.busyCount,
			callsPerSecond: e.callsPerSecond, serviceSeconds: e.serviceSeconds, serviceSpreadSeconds: e.serviceSpreadSeconds, peakBusy: e.peakBusy}
		p.learnFromSiblings(next)
		*e = *next
		reason = ReasonMoved
	} else if acceptsCalls {
		e.acceptsCalls, e.dest = acceptsCalls, dest
		return nil
	}
	e.acceptsCalls, e.dest = acceptsCalls, dest
	evict = p.evictAllIdle(e, reason)
	if reason == ReasonMoved {
		for _, c := range e.conns {
			c.expiresAt = 1 // in the past: the connection closes when its call ends
		}
	}
	p.removeIfDrained(e)
	return evict
}

// maxSiblings is the number of other endpoints of its destination from which a new endpoint learns. A few similar endpoints show what
// all of them do, and a list of thousands must be processed within one step.
const maxSiblings = 16

// learnFromSiblings initializes a new endpoint with what other endpoints of its destination have shown, because they most likely behave
// alike.
func (p *Pool) learnFromSiblings(e *endpoint) {
	d := p.destinations[e.dest]
	if d == nil {
		return
	}
	for _, o := range d.endpoints[:min(len(d.endpoints), maxSiblings)] {
		if o.name != e.name && o.acceptsCalls {
			if o.quarantinedUntil > 0 && (e.quarantinedUntil == 0 || o.quarantinedIdle < e.quarantinedIdle) {
				e.quarantinedIdle, e.quarantinedUntil, e.quarantineLength = o.quarantinedIdle, o.quarantinedUntil, o.quarantineLength
			}
			if e.maxUses == 0 {
				e.maxUses = o.maxUses
			}
			e.idleLossAt = max(e.idleLossAt, o.idleLossAt)
			if siblingProven := o.longestProvenIdle(p.clock); siblingProven > e.provenIdle[0] {
				e.provenIdle[0], e.provenIdleFrom = siblingProven, p.clock
			}
			if o.reuseHistory != &emptyReuseHistory { // only a part, so that observations of this endpoint soon outweigh it
				e.ownReuseHistory().mergePart(o.reuseHistory)
			}
			if o.closeHistory != &emptyCloseHistory {
				e.ownCloseHistory().mergePart(o.closeHistory)
			}
		}
	}
}

// joinDestination adds an endpoint to the state of a destination.
func (p *Pool) joinDestination(e *endpoint, dest int) {
	if e.dest = dest; p.destinations[dest] == nil {
		p.destinations[dest] = &destination{}
	}
	p.destinations[dest].endpoints = append(p.destinations[dest].endpoints, e)
}

// leaveDestination removes an endpoint from the state of its destination, and the state with the last endpoint.
func (p *Pool) leaveDestination(e *endpoint) {
	d := p.destinations[e.dest]
	if d.endpoints = slices.DeleteFunc(d.endpoints, func(o *endpoint) bool { return o == e }); len(d.endpoints) == 0 {
		delete(p.destinations, e.dest)
	}
}

// removeIfDrained removes an endpoint that accepts no calls and has no connection left.
func (p *Pool) removeIfDrained(e *endpoint) {
	if !e.acceptsCalls && len(e.conns) == 0 && p.endpoints[e.name] == e {
		delete(p.endpoints, e.name)
		p.leaveDestination(e)
	}
}

// Hint sets whether an endpoint is in slow start, and how many calls are known to come there soon.
func (p *Pool) Hint(name string, slowStart bool, expectedCalls int) {
	if e := p.endpoints[name]; e != nil {
		e.slowStart, e.expectedCalls = slowStart, expectedCalls
	}
}

// connsByID returns the connections of an endpoint in the order of their IDs, so that the same events always lead to the same decisions.
func (e *endpoint) connsByID() []*conn {
	return slices.SortedFunc(maps.Values(e.conns), func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}

// addIdle marks a connection as idle since the given time and inserts it in idleConns.
func (e *endpoint) addIdle(c *conn, idleSince time.Duration) {
	c.state, c.idleSince = stateIdle, idleSince
	at := len(e.idleConns) // usually the newest, at the end
	for at > 0 && e.idleConns[at-1].idleSince > idleSince {
		at--
	}
	e.idleConns = slices.Insert(e.idleConns, at, c)
}

// removeIdle removes a connection from idleConns.
func (e *endpoint) removeIdle(c *conn) {
	for i := len(e.idleConns) - 1; i >= 0; i-- { // usually the newest, at the end
		if e.idleConns[i] == c {
			e.idleConns = slices.Delete(e.idleConns, i, i+1)
			return
		}
	}
}

// evictAllIdle evicts all idle connections of an endpoint.
func (p *Pool) evictAllIdle(e *endpoint, reason Reason) (evict []Eviction) {
	for len(e.idleConns) > 0 {
		evict = append(evict, p.evict(e.idleConns[0], reason))
	}
	return evict
}

// evict removes a connection, counts the reason, and returns the connection for the caller to close.
func (p *Pool) evict(c *conn, reason Reason) Eviction {
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	if c.state == stateIdle {
		c.owner.ownCloseHistory().add(p.clock-c.idleSince, false)
		p.idleTimes.Evicted[reason].add(p.clock - c.idleSince)
	}
	p.remove(c)
	return Eviction{c.id, reason}
}

// remove deletes a connection from the pool, and its endpoint if that is drained.
func (p *Pool) remove(c *conn) {
	switch c.state {
	case stateBusy:
		c.owner.busyCount--
	case stateIdle:
		c.owner.removeIdle(c)
	}
	if c.calls == 0 && c.preconnected {
		p.counters.NeverUsed++
	}
	if c.isTrial {
		c.owner.trialRunning = false
	}
	delete(p.conns, c.id)
	delete(c.owner.conns, c.id)
	p.removeIfDrained(c.owner)
}

// Verdict says how a call gets a connection.
type Verdict int

// The verdicts.
const (
	Use  Verdict = iota // the idle connection with the returned ID
	Open                // a new connection, which the caller opens now under the returned ID
	Wait                // no connection may be opened: the call waits for one that becomes idle, or gives up after some time
)

// Call decides which connection a call to an endpoint uses. It also returns the connections that the caller has to close, to make room
// for the call or because they are no longer usable.
func (p *Pool) Call(now time.Duration, name string) (v Verdict, id ID, evict []Eviction) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return Wait, 0, nil
	}
	e.arrivals++
	return p.RetryCall(now, name)
}

// RetryCall repeats the decision for a call that waited, or whose connection turned out to be closed.
func (p *Pool) RetryCall(now time.Duration, name string) (v Verdict, id ID, evict []Eviction) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return Wait, 0, nil
	}
	c, evict := p.bestIdle(e)
	if c != nil {
		p.startCall(c)
		return Use, c.id, evict
	}
	var forRoom []Eviction
	hasRoom := !e.atConnLimit(p.clock)
	if hasRoom {
		forRoom, hasRoom = p.makeRoom(e)
	}
	if !hasRoom {
		forRoom, hasRoom = p.replaceResting(e)
	}
	if evict = append(evict, forRoom...); !hasRoom {
		p.counters.Waited++
		return Wait, 0, evict
	}
	c = p.openConn(e)
	return Open, c.id, evict
}

// UseIdle assigns a call whose connection is still being opened to an idle connection. It returns false if none is usable.
func (p *Pool) UseIdle(now time.Duration, name string) (id ID, evict []Eviction, ok bool) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return 0, nil, false
	}
	c, evict := p.bestIdle(e)
	if c == nil {
		return 0, evict, false
	}
	p.startCall(c)
	return c.id, evict, true
}

// OpenSpare allows a second opening beside one that takes long. It returns false if there is no room without an eviction.
func (p *Pool) OpenSpare(now time.Duration, name string) (ID, bool) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls || e.atConnLimit(p.clock) || len(p.conns) >= p.cfg.MaxConns {
		return 0, false
	}
	p.counters.Spare++
	return p.openConn(e).id, true
}

// ReturnUnused takes back a connection that did not carry its call after all. The connection is idle again, with its earlier idle time.
// If the connection must be closed instead, ReturnUnused returns false and the reason.
func (p *Pool) ReturnUnused(now time.Duration, id ID) (idle bool, reason Reason) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return false, ReasonServerClosed
	}
	p.undoCall(c)
	switch {
	case !c.owner.acceptsCalls:
		reason = ReasonDraining
	case p.keepNoIdle:
		reason = ReasonPressure
	default:
		c.owner.busyCount--
		c.owner.addIdle(c, p.clock-c.idleBeforeCall)
		return true, 0
	}
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	p.remove(c)
	return false, reason
}

// ClosedBeforeUse reports that the server had closed a connection before the first byte of its call was sent. No call failed, so this
// counts as a visible closing.
func (p *Pool) ClosedBeforeUse(now time.Duration, id ID) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return
	}
	p.undoCall(c)
	p.recordClosing(c, c.idleBeforeCall)
	p.remove(c)
}

// undoCall removes a call that was not made from the counts.
func (p *Pool) undoCall(c *conn) {
	p.counters.Calls--
	p.recentCalls = max(p.recentCalls-1, 0)
	if c.idleBeforeCall > 0 {
		p.counters.Reused--
	}
	if c.isTrial {
		c.isTrial, c.owner.trialRunning = false, false
	}
}

// OpeningCanceled reports that the opening of a connection was canceled.
func (p *Pool) OpeningCanceled(now time.Duration, id ID) {
	p.advanceClock(now)
	if c := p.conns[id]; c != nil && c.state == stateOpening {
		p.counters.Canceled++
		p.remove(c)
	}
}

// EvictIdle evicts one idle connection. It returns false if the connection is not idle.
func (p *Pool) EvictIdle(now time.Duration, id ID, reason Reason) bool {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateIdle {
		return false
	}
	p.evict(c, reason)
	return true
}

// SetKeepNoIdle sets whether connections are closed instead of becoming idle. It returns the idle connections that the caller has to close.
func (p *Pool) SetKeepNoIdle(now time.Duration, on bool) (evict []Eviction) {
	if p.keepNoIdle = on; on {
		evict = p.Shed(now, len(p.conns))
	}
	return evict
}

// Claim assigns a waiting call to a connection that has just become idle. It returns false if the connection is not idle or has to rest.
func (p *Pool) Claim(now time.Duration, id ID) bool {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateIdle || p.isResting(c) {
		return false
	}
	p.startCall(c)
	return true
}

// advanceClock sets the clock of the pool to now, but never back.
func (p *Pool) advanceClock(now time.Duration) { p.clock = max(p.clock, now) }

// startCall assigns a call to an idle connection.
func (p *Pool) startCall(c *conn) {
	c.owner.removeIdle(c)
	c.idleBeforeCall = max(p.clock-c.idleSince, 1)
	c.state = stateBusy
	c.owner.busyCount++
	c.owner.peakBusy = max(c.owner.peakBusy, float64(c.owner.busyCount))
	p.counters.Calls++
	p.counters.Reused++
	p.recentCalls++
}

// openConn adds a connection that is being opened.
func (p *Pool) openConn(e *endpoint) *conn {
	p.lastID++
	c := &conn{id: p.lastID, owner: e}
	if p.cfg.MaxAge > 0 { // the maximum age varies by a quarter either way, so that connections opened together do not close together
		c.expiresAt = p.clock + time.Duration(float64(p.cfg.MaxAge)*(0.75+p.rng.Float64()/2))
	}
	p.conns[c.id], e.conns[c.id] = c, c
	p.counters.Opened++
	return c
}

// atConnLimit reports whether the server seems to accept no more connections. After connLimitPeriod it allows one more as a trial.
func (e *endpoint) atConnLimit(now time.Duration) bool {
	if e.connLimit > 0 && now-e.connLimitAt > connLimitPeriod {
		e.connLimit, e.connLimitAt = e.connLimit+1, now
	}
	return e.connLimit > 0 && len(e.conns) >= e.connLimit
}

// makeRoom makes room for one more connection within the limit of the pool. It evicts an idle connection of the endpoint with the most
// connections beyond the number that it needs, or beyond its fair share if that is less. An endpoint at or beyond its fair share takes
// nothing from an endpoint without such an excess.
func (p *Pool) makeRoom(e *endpoint) (evict []Eviction, ok bool) {
	if len(p.conns) < p.cfg.MaxConns {
		return nil, true
	}
	fair := float64(p.cfg.MaxConns) / float64(max(len(p.endpoints), 1))
	var worst *conn
	largestExcess := math.Inf(-1)
	for _, o := range p.endpoints {
		if o == e || len(o.idleConns) == 0 {
			continue
		}
		c := o.idleConns[0]
		excess := float64(len(o.conns)) - max(min(p.targetConns(o), fair), 0)
		if excess > largestExcess || excess == largestExcess &&
			(c.idleSince < worst.idleSince || c.idleSince == worst.idleSince && c.id < worst.id) {
			worst, largestExcess = c, excess
		}
	}
	if worst == nil || largestExcess <= 0 && float64(len(e.conns)) >= fair {
		return nil, false
	}
	return []Eviction{p.evict(worst, ReasonRoom)}, true
}

// bestIdle returns the idle connection that is least likely dead, or nil if none is worth the risk, and evicts those that are unusable.
// If no connection is within the limit, one that was idle for longer is used from time to time as a trial, because a server's idle
// timeout can change.
func (p *Pool) bestIdle(e *endpoint) (bestIdle *conn, evicted []Eviction) {
	if e.limitsComputedAt == 0 || p.clock-e.limitsComputedAt > limitsRefreshInterval {
		e.limitsComputedAt = max(p.clock, 1)
		e.deadShares = &emptyDeadShares
		if e.reuseHistory != &emptyReuseHistory {
			deadShares := e.reuseHistory.deadShares()
			e.deadShares = &deadShares
		}

		e.softIdleLimit, e.hardIdleLimit = p.idleLimits(e)
	}
	deadShares, softIdleLimit, hardIdleLimit := e.deadShares, e.softIdleLimit, e.hardIdleLimit
	risk := math.Inf(1)
	var trial, unproven *conn
	trustedIdle := time.Duration(math.MaxInt64) // without a loss, the configured idle time of servers is trusted
	if e.idleLossAt > 0 && p.clock-e.idleLossAt < cautionPeriod {
		trustedIdle = max(time.Duration(provenReachFactor*float64(e.longestProvenIdle(p.clock))), minSuspectIdle)
	}
	for i := len(e.idleConns) - 1; i >= 0; i-- { // newest first; an eviction only shifts entries that were already visited
		c := e.idleConns[i]
		reason, unfit := p.unfit(c, softIdleLimit)
		if unfit && reason == ReasonIdle && p.clock-c.idleSince < hardIdleLimit && p.trialAllowed(e) && trial == nil {
			trial = c // the shortest idle time makes the best trial
			continue
		}
		if unfit {
			evicted = append(evicted, p.evict(c, reason))
			continue
		}
		if p.isResting(c) {
			continue
		}
		if p.clock-c.idleSince > trustedIdle {
			if unproven == nil { // the shortest idle time
				unproven = c
			}
			continue
		}
		if r := deadShares[bucketOf(p.clock-c.idleSince)]; bestIdle == nil || r < risk {
			bestIdle, risk = c, r
		}
	}
	if bestIdle != nil {
		return bestIdle, evicted
	}
	if unproven != nil && !e.trialRunning {
		e.trialRunning, unproven.isTrial = true, true
		return unproven, evicted
	}
	if trial != nil && unproven == nil {
		e.trialRunning, e.nextTrialAt, trial.isTrial = true, p.clock+trialInterval, true
		return trial, evicted
	}
	return nil, evicted
}

// longestProvenIdle returns the longest idle time of a good reuse in the current or the previous period of provenPeriod. Only one call at
// a time tries a longer one: in a burst, other connections with the same idle time would all be lost together.
func (e *endpoint) longestProvenIdle(now time.Duration) time.Duration {
	if age := now - e.provenIdleFrom; age >= 2*provenPeriod {
		e.provenIdle, e.provenIdleFrom = [2]time.Duration{}, now
	} else if age >= provenPeriod {
		e.provenIdle, e.provenIdleFrom = [2]time.Duration{0, e.provenIdle[0]}, now
	}
	return max(e.provenIdle[0], e.provenIdle[1])
}

// trialAllowed reports whether an idle time beyond the limit may be tried now: one trial at a time, at intervals of trialInterval, and
// not during a quarantine.
func (p *Pool) trialAllowed(e *endpoint) bool {
	return !e.trialRunning && p.clock >= e.nextTrialAt && p.clock >= e.quarantinedUntil
}

// unfit reports whether an idle connection must not be used again, and the reason.
func (p *Pool) unfit(c *conn, limit time.Duration) (Reason, bool) {
	switch e := c.owner; {
	case !e.acceptsCalls:
		return ReasonDraining, true
	case p.clock-c.idleSince >= limit:
		return ReasonIdle, true
	case c.expiresAt > 0 && p.clock >= c.expiresAt:
		return ReasonAge, true
	case e.maxUses > 0 && c.calls >= e.maxUses && c.id%connsPerUsesTrial != 0:
		return ReasonUses, true
	case c.calls > 0 && p.singleCall(e):
		return ReasonUnsolicited, true
	}
	return 0, false
}

// idleLimits returns how long a connection to an endpoint may be idle. The soft limit follows from the losses of the endpoint and lies
// below a quarantined idle time. The hard limit lies below the configured idle time of servers and the idle time after which this
// server was seen to close connections.
func (p *Pool) idleLimits(e *endpoint) (soft, hard time.Duration) {
	hard = time.Duration(float64(p.cfg.MaxIdle) * (1 - closeMarginShare))
	if survived, ok := e.closeHistory.survivedIdle(minSurvivalShare); ok {
		hard = min(hard, time.Duration(float64(survived)*(1-closeMarginShare)))
	}
	soft = min(hard, e.reuseHistory.idleLimit(p.acceptableRisk(), p.cfg.OpenPrice/p.cfg.LossPrice))
	if e.quarantinedIdle > 0 {
		soft = min(soft, time.Duration(float64(e.quarantinedIdle)*0.8))
	}
	return soft, hard
}

// acceptableRisk returns the highest acceptable probability that a reused connection is dead. The prices set the upper bound of this
// probability. It falls as the share of recent losses approaches the configured maximum.
func (p *Pool) acceptableRisk() float64 {
	remainingShare := 1 - p.staleCalls/max(p.recentCalls*p.cfg.MaxStaleShare, 1)
	return p.cfg.OpenPrice / p.cfg.LossPrice * min(max(remainingShare, 0.05), 1)
}

// Opened reports that a connection is established. If a call waits for the connection, that call starts now; otherwise the connection
// becomes idle.
func (p *Pool) Opened(now time.Duration, id ID, callWaits bool) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateOpening {
		return
	}
	e := c.owner
	e.lastOpenedAt, e.openFailures = p.clock, e.openFailures/2
	if !callWaits {
		e.addIdle(c, p.clock)
		return
	}
	c.state = stateBusy
	e.busyCount++
	e.peakBusy = max(e.peakBusy, float64(e.busyCount))
	p.counters.Calls++
	p.recentCalls++
}

// OpeningFailed reports that a connection could not be established; refused says that the server refused or reset it. If other
// connections to the endpoint are open and one was opened recently, the server may accept no more.
func (p *Pool) OpeningFailed(now time.Duration, id ID, refused bool) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil {
		return
	}
	e := c.owner
	p.counters.OpenFailures++
	p.remove(c)
	if !refused || !p.noteRefusal(e) {
		e.openFailures++
	}
	wait := min(float64(p.cfg.MinBackoff)*math.Exp2(float64(min(max(e.openFailures-1, 0), 30))), float64(p.cfg.MaxBackoff))
	e.preconnectRetryAt = p.clock + time.Duration(wait*(0.5+p.rng.Float64()/2))
}

// noteRefusal records that a server refused a connection while others are open and one was opened recently: the server may accept no
// more. A connection that breaks during its first call also counts. noteRefusal returns false if the server seems to be down.
func (p *Pool) noteRefusal(e *endpoint) bool {
	openCount := 0
	for _, o := range e.conns {
		if o.state != stateOpening {
			openCount++
		}
	}
	if openCount == 0 || p.clock-e.lastOpenedAt >= connLimitPeriod {
		return false
	}
	if e.consecutiveRefusals++; e.consecutiveRefusals >= refusalsForConnLimit {
		e.connLimit, e.connLimitAt = openCount, p.clock
	}
	return true
}

// CallEnd says how a call on a connection ended.
type CallEnd int

// The ends.
const (
	Answered           CallEnd = iota // answered, and the connection may carry another call
	AnsweredLast                      // answered, and the server closes the connection
	Aborted                           // aborted by the relay, or the answer was malformed
	BrokenBeforeAnswer                // the connection broke before the first byte of the answer
	BrokenDuringAnswer                // the connection broke after the first byte of the answer
)

// CallEnded reports the end of a call. It returns whether the connection becomes idle, and if not, the reason to close it.
func (p *Pool) CallEnded(now time.Duration, id ID, end CallEnd, duration time.Duration) (idle bool, reason Reason) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return false, ReasonServerClosed
	}
	e := c.owner
	c.calls++
	if end == Answered && c.calls > max(e.lastClosingUses, e.maxUses) { // the connection continues beyond the assumed limit
		e.sameUsesCount = 0
		if e.maxUses > 0 {
			e.maxUses, e.sameUsesNeeded = 0, min(max(e.sameUsesNeeded, minSameUses)*4, maxSameUses)
		}
	}
	p.recordIdleOutcome(c, end)
	if end == Answered && c.calls == 1 {
		e.consecutiveRefusals = 0
	}
	if end == Answered || end == AnsweredLast {
		e.recordServiceTime(duration.Seconds())
	}
	if c.isTrial {
		c.isTrial, e.trialRunning = false, false
	}
	reason = ReasonServerClosed
	switch {
	case end != Answered:
	case !e.acceptsCalls:
		reason = ReasonDraining
	case c.expiresAt > 0 && p.clock >= c.expiresAt:
		reason = ReasonAge
	case e.maxUses > 0 && c.calls >= e.maxUses && c.id%connsPerUsesTrial != 0:
		reason = ReasonUses
	case p.singleCall(e):
		reason = ReasonUnsolicited
	case len(p.conns) > p.cfg.MaxConns:
		reason = ReasonRoom
	case p.keepNoIdle:
		reason = ReasonPressure
	default:
		e.busyCount--
		e.addIdle(c, p.clock)
		return true, 0
	}
	if end == AnsweredLast {
		p.recordClosingUses(e, c.calls)
	}
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	p.remove(c)
	if end == BrokenBeforeAnswer && c.idleBeforeCall == 0 {
		p.noteRefusal(e)
	}
	return false, reason
}

// recordIdleOutcome records what the end of a call shows about the idle time before that call.
func (p *Pool) recordIdleOutcome(c *conn, end CallEnd) {
	e := c.owner
	d := p.destinations[e.dest]
	if d.recentCalls++; d.recentCalls > staleWindowCalls {
		d.recentCalls, d.recentUnrelatedLosses = d.recentCalls/2, d.recentUnrelatedLosses/2
	}
	if c.idleBeforeCall == 0 {
		if end == BrokenBeforeAnswer {
			d.recentUnrelatedLosses++
		}
		return
	}
	if end != BrokenBeforeAnswer {
		if end != Aborted { // an aborted call shows nothing
			e.suspectedIdles = slices.DeleteFunc(e.suspectedIdles, func(idle time.Duration) bool {
				if idle <= c.idleBeforeCall {
					d.recentUnrelatedLosses++ // idling was not the reason
				}
				return idle <= c.idleBeforeCall
			})
			e.ownReuseHistory().add(c.idleBeforeCall, false)
			e.ownCloseHistory().add(c.idleBeforeCall, false)
			e.longestRecentGoodIdle(p.clock)
			e.recentGoodIdle[0] = max(e.recentGoodIdle[0], c.idleBeforeCall)
			e.longestProvenIdle(p.clock)
			e.provenIdle[0] = max(e.provenIdle[0], c.idleBeforeCall)
			if e.quarantinedIdle > 0 && c.idleBeforeCall >= e.quarantinedIdle { // connections now survive the quarantined idle time
				e.quarantinedIdle, e.quarantinedUntil, e.quarantineLength = 0, 0, 0
			}
		}
		return
	}
	p.counters.Stale++
	e.staleCalls++
	e.limitsComputedAt = 0
	p.idleTimes.Dead.add(c.idleBeforeCall)
	p.staleCalls++
	if c.idleBeforeCall < minSuspectIdle {
		d.recentUnrelatedLosses++
		return
	}
	lossesNeeded := 1
	if d.hasUnrelatedLosses() {
		lossesNeeded = lossesNeededIfNoisy
	}
	// A longer idle time went well recently: the server has changed, or idling is not the reason.
	if e.longestRecentGoodIdle(p.clock) > c.idleBeforeCall {
		lossesNeeded = lossesNeededIfContradicted
	}
	if e.suspectedIdles = append(e.suspectedIdles, c.idleBeforeCall); len(e.suspectedIdles) < lossesNeeded {
		return
	}
	e.quarantineLength = min(max(e.quarantineLength*2, minQuarantine), maxQuarantine)
	e.idleLossAt = p.clock
	for _, idle := range e.suspectedIdles {
		for i := range e.provenIdle {
			e.provenIdle[i] = min(e.provenIdle[i], time.Duration(refutedIdleShare*float64(idle)))
			e.recentGoodIdle[i] = min(e.recentGoodIdle[i], time.Duration(refutedIdleShare*float64(idle)))
		}
		e.ownReuseHistory().add(idle, true)
		if e.quarantinedIdle == 0 || idle < e.quarantinedIdle {
			e.quarantinedIdle = idle
		}
	}
	e.suspectedIdles = e.suspectedIdles[:0]
	e.quarantinedUntil = p.clock + e.quarantineLength
	p.counters.Quarantines++
}

// longestRecentGoodIdle returns the longest idle time of a good reuse in the current or the previous period of recentGoodPeriod.
func (e *endpoint) longestRecentGoodIdle(now time.Duration) time.Duration {
	if age := now - e.recentGoodFrom; age >= 2*recentGoodPeriod {
		e.recentGoodIdle, e.recentGoodFrom = [2]time.Duration{}, now
	} else if age >= recentGoodPeriod {
		e.recentGoodIdle, e.recentGoodFrom = [2]time.Duration{0, e.recentGoodIdle[0]}, now
	}
	return max(e.recentGoodIdle[0], e.recentGoodIdle[1])
}

// recordServiceTime adds the duration of a call to the smoothed service time and its deviation.
func (e *endpoint) recordServiceTime(seconds float64) {
	if e.serviceSeconds == 0 {
		e.serviceSeconds, e.serviceSpreadSeconds = seconds, seconds/2
	}
	e.serviceSpreadSeconds += serviceSmoothing * (math.Abs(seconds-e.serviceSeconds) - e.serviceSpreadSeconds)
	e.serviceSeconds += serviceSmoothing * (seconds - e.serviceSeconds)
}

// Closed reports that the server closed an idle connection, or a connection that was opening and never carried a call.
func (p *Pool) Closed(now time.Duration, id ID) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil {
		return
	}
	if c.state == stateIdle {
		p.recordClosing(c, p.clock-c.idleSince)
	} else {
		p.counters.Closed++
	}
	p.remove(c)
}

// recordClosing records that the server visibly closed a connection after the given idle time.
func (p *Pool) recordClosing(c *conn, idle time.Duration) {
	p.counters.Closed++
	p.idleTimes.Closed.add(idle)
	e := c.owner
	if c.calls > 0 && idle < closeAfterAnswerWindow {
		p.recordClosingUses(e, c.calls) // the number of calls is the reason, not idling
	} else {
		e.ownCloseHistory().add(idle, true)
	}
	if e.connLimit > 0 && p.clock-e.connLimitAt < connLimitDoubtPeriod {
		e.connLimit = 0 // the server was shutting down, not full
	}
}

// recordClosingUses records that the server closed a connection after the given number of calls.
func (p *Pool) recordClosingUses(e *endpoint, calls int) {
	if e.lastClosingUses != calls {
		e.lastClosingUses, e.sameUsesCount = calls, 0
	}
	if e.sameUsesCount++; e.sameUsesCount >= max(e.sameUsesNeeded, minSameUses) {
		e.maxUses = calls
	}
}

// targetConns returns the number of connections that an endpoint needs. It covers the mean number of concurrent calls by Little's law,
// their variation, and the recent peak. A connection that rests between two calls counts as busy.
func (p *Pool) targetConns(e *endpoint) float64 {
	if !e.acceptsCalls {
		return 0
	}
	busy := e.callsPerSecond * (e.serviceSeconds + e.serviceSpreadSeconds + p.cfg.MinRest.Seconds())
	needed := busy + busyDeviations*math.Sqrt(busy)
	if e.callsPerSecond > 0.5 {
		needed = max(needed, 1)
	}
	return math.Ceil(max(needed, e.peakBusy))
}

// Tick updates the state of all endpoints. The caller calls it about every quarter of a second, closes the connections of the first
// result, and opens those of the second in advance of calls.
func (p *Pool) Tick(now time.Duration) (evict []Eviction, preconnects []ID) {
	p.advanceClock(now)
	seconds := (p.clock - p.lastTickAt).Seconds()
	p.lastTickAt = p.clock
	if p.recentCalls > staleWindowCalls {
		p.recentCalls, p.staleCalls = p.recentCalls/2, p.staleCalls/2
	}
	names := slices.Sorted(maps.Keys(p.endpoints))
	for _, name := range names {
		e := p.endpoints[name]
		e.decayDemand(seconds, p.cfg.PeakHalfLife)
		if p.clock-e.evidenceDecayedAt >= evidenceDecayInterval {
			decayFactor := math.Exp2(-(p.clock - e.evidenceDecayedAt).Seconds() / evidenceHalfLife.Seconds())
			e.evidenceDecayedAt = p.clock
			if e.reuseHistory != &emptyReuseHistory {
				e.reuseHistory.decay(decayFactor)
			}
			if e.closeHistory != &emptyCloseHistory {
				e.closeHistory.decay(decayFactor)
			}
		}
		soft, hard := p.idleLimits(e)
		surplus := float64(len(e.conns)) - p.targetConns(e)
		candidates := slices.Clone(e.idleConns)
		// The more file descriptors are in use, the sooner surplus connections are closed: after minSurplusIdle once half are in use.
		surplusAfter := max(minSurplusIdle, time.Duration((1-2*float64(len(p.conns))/float64(p.cfg.MaxConns))*float64(soft)))
		var trial *conn // the newest connection beyond the limit, kept for a trial
		if p.trialAllowed(e) && surplus < 1 {
			for _, c := range candidates {
				if idle := p.clock - c.idleSince; idle >= soft && idle < hard {
					trial = c
				}
			}
		}
		for _, c := range candidates {
			reason, unfit := p.unfit(c, soft)
			if c == trial && reason == ReasonIdle {
				unfit = false
			}
			if !unfit && surplus >= 1 && p.clock-c.idleSince >= surplusAfter {
				reason, unfit = ReasonSurplus, true
			}
			if unfit {
				surplus--
				evict = append(evict, p.evict(c, reason))
			}
		}
	}
	for _, name := range names {
		if e := p.endpoints[name]; e != nil && p.cfg.Preconnect {
			preconnects = append(preconnects, p.preconnect(e)...)
		}
	}
	return evict, preconnects
}

// decayDemand updates the call rate and the peak number of concurrent calls from the time since the last tick.
func (e *endpoint) decayDemand(seconds float64, halfLife time.Duration) {
	if seconds <= 0 {
		return
	}
	callsPerSecond := float64(e.arrivals) / seconds
	e.arrivals = 0
	if callsPerSecond > e.callsPerSecond {
		e.callsPerSecond += 0.5 * (callsPerSecond - e.callsPerSecond)
	} else {
		e.callsPerSecond += (1 - math.Exp2(-seconds/halfLife.Seconds())) * (callsPerSecond - e.callsPerSecond)
	}
	if e.callsPerSecond < 0.01 {
		e.callsPerSecond = 0
	}
	e.peakBusy = max(e.peakBusy*math.Exp2(-seconds/halfLife.Seconds()), float64(e.busyCount))
	if e.peakBusy < 0.5 {
		e.peakBusy = 0
	}
}

// preconnect opens connections in advance: for calls that are known to come, and to replace evicted connections of an endpoint that is
// called often. An endpoint in slow start, or with failed openings, gets one at a time.
func (p *Pool) preconnect(e *endpoint) (ids []ID) {
	if !e.acceptsCalls || p.keepNoIdle || p.clock < e.preconnectRetryAt {
		return nil
	}
	openingCount, freeCount := 0, 0
	for _, c := range e.conns {
		switch c.state {
		case stateOpening:
			openingCount++
			freeCount++
		case stateIdle:
			freeCount++
		}
	}
	// A connection is worth opening if a call uses it before it reaches the idle limit.
	wanted := 0
	if soft, _ := p.idleLimits(e); e.callsPerSecond*soft.Seconds() > 3 {
		wanted = int(p.targetConns(e)) - len(e.conns)
	}
	wanted = max(wanted, e.expectedCalls-freeCount)
	if e.slowStart || e.openFailures > 0 || e.lastOpenedAt == 0 { // the endpoint is new or recovering
		wanted = min(wanted, 1-openingCount)
	}
	for ; wanted > 0 && !e.atConnLimit(p.clock) && len(p.conns) < p.cfg.MaxConns; wanted-- { // evicts no other connection
		c := p.openConn(e)
		c.preconnected = true
		p.counters.Preconnected++
		ids = append(ids, c.id)
	}
	return ids
}

// Unneeded returns connections that are being opened in advance and that no call will need. The caller may cancel them.
func (p *Pool) Unneeded() (ids []ID) {
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[name]
		surplus := len(e.conns) - max(int(p.targetConns(e)), e.busyCount+e.expectedCalls)
		for _, c := range e.connsByID() {
			if c.state == stateOpening && c.preconnected && surplus > 0 {
				ids = append(ids, c.id)
				surplus--
			}
		}
	}
	return ids
}

// Shed evicts up to maxEvicted idle connections while memory or file descriptors are short, those of the endpoints with the largest
// surplus first.
func (p *Pool) Shed(now time.Duration, maxEvicted int) (evict []Eviction) {
	p.advanceClock(now)
	var idleConns []*conn
	for _, e := range p.endpoints {
		idleConns = append(idleConns, e.idleConns...)
	}
	slices.SortFunc(idleConns, func(a, b *conn) int {
		surplus := func(c *conn) float64 { return float64(len(c.owner.conns)) - p.targetConns(c.owner) }
		return cmp.Or(cmp.Compare(surplus(b), surplus(a)), cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
	})
	for _, c := range idleConns[:min(maxEvicted, len(idleConns))] {
		evict = append(evict, p.evict(c, ReasonPressure))
	}
	return evict
}

// EndpointOf returns the name of the endpoint of a connection, and false if the connection is unknown.
func (p *Pool) EndpointOf(id ID) (string, bool) {
	c := p.conns[id]
	if c == nil {
		return "", false
	}
	return c.owner.name, true
}

// Histogram counts idle times at the end of connections, in classes up to 10 ms, 100 ms, 1 s, 10 s, a minute, and longer.
type Histogram [6]int64

var histogramBounds = [len(Histogram{}) - 1]time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second,
	10 * time.Second, time.Minute}

// add counts an idle time in its class.
func (h *Histogram) add(idle time.Duration) {
	for i, bound := range histogramBounds {
		if idle <= bound {
			h[i]++
			return
		}
	}
	h[len(h)-1]++
}

// LogValue lists the classes that are not empty.
func (h Histogram) LogValue() slog.Value {
	var attrs []slog.Attr
	for i, n := range h {
		name := "longer"
		if i < len(histogramBounds) {
			name = histogramBounds[i].String()
		}
		if n > 0 {
			attrs = append(attrs, slog.Int64(name, n))
		}
	}
	return slog.GroupValue(attrs...)
}

// IdleTimes holds histograms of idle times at the end of connections: evicted, by reason; closed by the server; and dead during a call.
type IdleTimes struct {
	Evicted      [reasonCount]Histogram
	Closed, Dead Histogram
}

// LogValue lists the histograms by cause.
func (t IdleTimes) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Any("closed", t.Closed), slog.Any("dead", t.Dead)}
	for w, h := range t.Evicted {
		attrs = append(attrs, slog.Any(Reason(w).String(), h))
	}
	return slog.GroupValue(attrs...)
}

// IdleTimes returns the histograms of idle times at the end of connections.
func (p *Pool) IdleTimes() IdleTimes { return p.idleTimes }

// EndpointState is the state of one endpoint, for operators.
type EndpointState struct {
	Endpoint                         string
	AcceptsCalls, SlowStart          bool
	Opening, Busy, Idle              int
	Target                           int // number of connections that the endpoint needs
	CallsPerSecond                   float64
	Service, Spread                  time.Duration // smoothed duration of a call, and its mean deviation
	IdleLimit                        time.Duration
	QuarantinedIdle                  time.Duration      // idle time in quarantine; 0 for none
	MaxUses, ConnLimit, OpenFailures int                // limits of calls per connection and of connections, 0 for none; failed openings
	Evicted                          [reasonCount]int64 // evicted connections by reason
	Stale                            int64              // calls that failed on dead connections
}

// LogValue lists the fields for a log line.
func (s EndpointState) LogValue() slog.Value {
	return slog.GroupValue(slog.String("member", s.Endpoint), slog.Bool("open", s.AcceptsCalls), slog.Bool("cold", s.SlowStart),
		slog.Int("opening", s.Opening), slog.Int("busy", s.Busy), slog.Int("idle", s.Idle), slog.Int("target", s.Target),
		slog.Float64("rate", s.CallsPerSecond), slog.Duration("service", s.Service), slog.Duration("spread", s.Spread),
		slog.Duration("idle_limit", s.IdleLimit), slog.Duration("banned", s.QuarantinedIdle), slog.Int("uses", s.MaxUses),
		slog.Int("cap", s.ConnLimit), slog.Int("fails", s.OpenFailures), slog.Int64("stale", s.Stale),
		slog.Any("given", evictedByReason(s.Evicted)))
}

// LogValue lists the counters for a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("opened", c.Opened), slog.Int64("ahead", c.Preconnected), slog.Int64("unused", c.NeverUsed),
		slog.Int64("called_off", c.Canceled), slog.Int64("failed", c.OpenFailures), slog.Int64("calls", c.Calls), slog.Int64("reused", c.Reused),
		slog.Int64("stale", c.Stale), slog.Int64("bans", c.Quarantines), slog.Int64("waited", c.Waited), slog.Int64("closed", c.Closed),
		slog.Int64("unsolicited", c.Unsolicited), slog.Int64("spare", c.Spare), slog.Any("given", evictedByReason(c.Evicted)))
}

// evictedByReason counts evicted connections by reason.
type evictedByReason [reasonCount]int64

// LogValue lists the reasons that occurred.
func (r evictedByReason) LogValue() slog.Value {
	var attrs []slog.Attr
	for w, n := range r {
		if n > 0 {
			attrs = append(attrs, slog.Int64(Reason(w).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

// EndpointStates returns the states of all endpoints, sorted by name.
func (p *Pool) EndpointStates() (list []EndpointState) {
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[name]
		soft, _ := p.idleLimits(e)
		s := EndpointState{Endpoint: name, AcceptsCalls: e.acceptsCalls, SlowStart: e.slowStart, Target: int(p.targetConns(e)),
			CallsPerSecond: e.callsPerSecond, Service: time.Duration(e.serviceSeconds * 1e9),
			Spread: time.Duration(e.serviceSpreadSeconds * 1e9), IdleLimit: soft, MaxUses: e.maxUses, ConnLimit: e.connLimit,
			OpenFailures: e.openFailures, Evicted: e.evicted, Stale: e.staleCalls}
		if p.clock < e.quarantinedUntil {
			s.QuarantinedIdle = e.quarantinedIdle
		}
		for _, c := range e.conns {
			switch c.state {
			case stateOpening:
				s.Opening++
			case stateBusy:
				s.Busy++
			case stateIdle:
				s.Idle++
			}
		}
		list = append(list, s)
	}
	return list
}
