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
	"maps"
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
	nextTrialAt      time.Duration // no idle time beyond the limit is tried before this time
	recentGoodIdle   recentMaximum // idle times of good reuses, in periods of recentGoodPeriod, shortened by losses
	provenIdle       recentMaximum // the same in periods of provenPeriod
	idleLossAt       time.Duration // time of the newest loss that is attributed to idling; 0 for never

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

// New returns a Pool without endpoints, or an error if the configuration is invalid.
func New(cfg Config) (*Pool, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, endpoints: map[string]*endpoint{}, destinations: map[int]*destination{}, conns: map[ID]*conn{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 9))}, nil
}

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
			if siblingProven := o.longestProvenIdle(p.clock); siblingProven > e.provenIdle.current {
				e.provenIdle.current, e.provenIdle.from = siblingProven, p.clock
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

// advanceClock sets the clock of the pool to now, but never back.
func (p *Pool) advanceClock(now time.Duration) { p.clock = max(p.clock, now) }

// EndpointOf returns the name of the endpoint of a connection, and false if the connection is unknown.
func (p *Pool) EndpointOf(id ID) (string, bool) {
	c := p.conns[id]
	if c == nil {
		return "", false
	}
	return c.owner.name, true
}
