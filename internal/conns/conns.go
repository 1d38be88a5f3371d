// Package conns decides about connections to servers: how many to hold to each endpoint, which idle one to use next, when
// to open one ahead of need, and when to give one up. It does no I/O and reads no clock. Package flow tells it what
// happens to connections, and does what it answers; the decision module says which endpoint gets a call and when, and
// this one says on which connection.
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

// Config says what a Pool keeps to.
type Config struct {
	Most     int           // connections in all, those being opened included
	IdleMost time.Duration // servers are known to close a connection that idled for so long
	MaxAge   time.Duration // a connection is given up after about so long; 0 for never
	Keep     time.Duration // half-life of what a peak of calls makes it hold
	Ahead    bool          // connections are opened before they are needed
	// LossPrice and OpenPrice weigh a call that a dead connection fails against a new connection: a connection is used
	// again where the first, times the share expected, is less than the second.
	LossPrice, OpenPrice float64
	StaleMost            float64 // share of calls that dead connections may fail; the nearer, the less is risked
	MinBackoff           time.Duration
	MaxBackoff           time.Duration // between openings ahead at an endpoint where they fail
	Seed                 uint64
}

// Defaults returns the figures that a relay uses.
func Defaults() Config {
	return Config{MaxAge: 10 * time.Minute, Keep: 15 * time.Second, LossPrice: 1, OpenPrice: 0.02, StaleMost: 0.001,
		MinBackoff: 200 * time.Millisecond, MaxBackoff: 30 * time.Second}
}

// Check names the first field that makes no sense.
func (c *Config) Check() error {
	switch {
	case c.Most < 1:
		return fmt.Errorf("conns: Most is %d", c.Most)
	case c.IdleMost <= 0:
		return fmt.Errorf("conns: IdleMost is %v", c.IdleMost)
	case c.MaxAge < 0 || c.Keep <= 0:
		return fmt.Errorf("conns: MaxAge %v or Keep %v makes no sense", c.MaxAge, c.Keep)
	case !(c.LossPrice > 0) || !(c.OpenPrice > 0) || !(c.StaleMost > 0 && c.StaleMost < 1):
		return fmt.Errorf("conns: LossPrice, OpenPrice or StaleMost is out of range")
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return fmt.Errorf("conns: BackoffLeast %v and BackoffMost %v make no span", c.MinBackoff, c.MaxBackoff)
	}
	return nil
}

const (
	// closeMarginShare is left before the time at which a server closes: its close and our call would cross on the way.
	closeMarginShare = 0.1
	// minSurvivalShare of connections is to outlive the limit that seen closings set. These cost no call unless one crosses them on the
	// way, so that a few early ones, as at a restart, are no reason to give up the rest.
	minSurvivalShare = 0.5
	// minQuarantine is how long the idle time of a loss is not tried again at first; it doubles with each loss.
	minQuarantine, maxQuarantine = 10 * time.Second, time.Hour
	// trialInterval parts the tries of idle times beyond the limit.
	trialInterval = 10 * time.Second
	// maxUnrelatedLossShare is the share of calls that may break for other reasons before one loss is no proof of anything; suspectsMost is
	// how many then are.
	maxUnrelatedLossShare, lossesNeededIfNoisy = 0.0005, 2
	// lossesNeededIfContradicted losses, without a good reuse after as long among them, outweigh a longer good one of late.
	lossesNeededIfContradicted = 3
	// cautionPeriod is how long after a loss for idling no idle time is believed in that has not gone well of late.
	cautionPeriod = time.Hour
	// limitsRefreshInterval is how often the evidence is weighed, besides after each loss.
	limitsRefreshInterval = 50 * time.Millisecond
	// provenPeriod is how long a good reuse shows that others of its idle time will go well, and provenReach how far beyond that
	// time it reaches; a loss leaves refuted of its idle time.
	provenPeriod, provenReachFactor, refutedIdleShare = 5 * time.Minute, 1.25, 0.7
	// minSuspectIdle is too short to be why a connection died.
	minSuspectIdle = 100 * time.Millisecond
	// evidenceHalfLife is the half-life of evidence, and evidenceFade how often it fades: servers are reconfigured unseen.
	evidenceHalfLife, evidenceDecayInterval = 15 * time.Minute, 15 * time.Second
	// recentGoodPeriod is how long a good reuse speaks against a loss being for idling.
	recentGoodPeriod = 20 * time.Second
	// busyDeviations is the deviations above the mean that calls out at once are provided for.
	busyDeviations = 2.3
	// serviceSmoothing smooths rates and service times; a tick is about tickUsual long.
	serviceSmoothing = 0.3
	// minSameUses closings in a row behind the same number of calls make a limit of uses, and four times as many after each one that
	// proved wrong, up to usesMost; one connection in usesTry goes on.
	minSameUses, maxSameUses, connsPerUsesTrial = 3, 200, 20
	// connLimitPeriod is how long a cap that a server seems to have is held to before one more is tried.
	connLimitPeriod = 30 * time.Second
	// refusalsForConnLimit in a row make a cap: one may be for anything.
	refusalsForConnLimit = 2
	// connLimitDoubtPeriod is how soon behind a refusal closings show that the server was not full but going down.
	connLimitDoubtPeriod = time.Second
	// closeAfterAnswerWindow is how soon behind an answer a closing is for the number of calls.
	closeAfterAnswerWindow = 50 * time.Millisecond
	// minSurplusIdle is how long a connection that is too many idles at least before it is given up.
	minSurplusIdle = time.Second
	// staleWindowCalls is the number of calls over which the share of losses is kept.
	staleWindowCalls = 20_000
)

// ID names a connection.
type ID uint64

// Reason says why a connection is given up.
type Reason int

// The reasons.
const (
	ReasonIdle         Reason = iota // it may be dead by now, or will be before it is used
	ReasonAge                        // it is old
	ReasonUses                       // the server closes behind so many calls
	ReasonSurplus                    // there are more than needed
	ReasonRoom                       // another endpoint needs the descriptor
	ReasonDraining                   // its endpoint gets nothing new
	ReasonMoved                      // its endpoint has another address
	ReasonServerClosed               // the server said that it closes
	ReasonPressure                   // memory is short
	Trust                            // what it was trusted by has changed
	reasonCount
)

var reasonNames = [reasonCount]string{"idle", "age", "uses", "thin", "room", "leaving", "moved", "server", "pressure", "trust"}

func (w Reason) String() string { return reasonNames[w] }

// Give is a connection to be closed, and why.
type Give struct {
	ID  ID
	Why Reason
}

type state int

const (
	stateOpening state = iota
	stateBusy
	stateIdle
)

type conn struct {
	id             ID
	owner          *endpoint
	state          state
	expiresAt      time.Duration // when it is given up for its age; 0 for never
	idleSince      time.Duration // of resting
	calls          int           // calls
	idleBeforeCall time.Duration // before the call that is out; 0 for the first
	isTrial        bool          // it tries what a quarantine or a limit of uses forbids
	preconnected   bool          // it was opened before it was needed
}

// What is seen of idling at an endpoint takes room, and of a long list most endpoints are never called, or seldom. Those at which
// nothing was seen share these, which are never written to.
var (
	emptyReuseHistory reuseHistory
	emptyCloseHistory closeHistory
	emptyDeadShares   = emptyReuseHistory.deadShares()
)

// used again, and ended: what is seen of these, to be written to.
func (e *endpoint) ownReuseHistory() *reuseHistory {
	if e.reuseHistory == &emptyReuseHistory {
		e.reuseHistory = &reuseHistory{}
	}
	return e.reuseHistory
}

func (e *endpoint) ownCloseHistory() *closeHistory {
	if e.closeHistory == &emptyCloseHistory {
		e.closeHistory = &closeHistory{}
	}
	return e.closeHistory
}

type endpoint struct {
	name, addr   string
	dest         int
	acceptsCalls bool // it may get something new
	slowStart    bool // it is not to be pushed: one opening ahead at a time
	conns        map[ID]*conn
	idleConns    []*conn // those that rest, longest first
	busyCount    int     // busy

	reuseHistory *reuseHistory
	closeHistory *closeHistory

	quarantinedIdle, quarantinedUntil time.Duration // idle times from banned on are not tried before
	quarantineLength                  time.Duration // of the newest loss
	trialRunning                      bool
	nextTrialAt                       time.Duration    // no idle time beyond the limit is tried before
	recentGoodIdle                    [2]time.Duration // the longest good reuse of this stretch of time, and of the one before
	recentGoodFrom                    time.Duration    // when this one began
	provenIdle                        [2]time.Duration // the same over a longer stretch, but for what a loss has refuted since
	provenIdleFrom                    time.Duration
	idleLossAt                        time.Duration // when one died for idling; 0 for never

	suspectedIdles []time.Duration // idle times of losses that may have been for idling, or not

	maxUses, lastClosingUses, sameUsesCount int // limit of calls a connection, 0 for none; the newest closing's, and how often in a row
	sameUsesNeeded                          int // closings in a row that make a limit
	connLimit                               int // connections that the server seems to take; 0 for no limit
	connLimitAt                             time.Duration
	consecutiveRefusals                     int // in a row, while others were open
	openFailures                            int
	preconnectRetryAt                       time.Duration
	lastOpenedAt                            time.Duration // the newest opening that went well

	evicted    [reasonCount]int64
	staleCalls int64

	evidenceDecayedAt time.Duration // when the evidence faded

	limitsComputedAt             time.Duration // when the next three were made of the evidence; 0 for anew, as after a loss
	deadShares                   *[bucketCount]float64
	softIdleLimit, hardIdleLimit time.Duration

	arrivals                                             int
	callsPerSecond, serviceSeconds, serviceSpreadSeconds float64 // calls a second; seconds a call takes, and its spread
	peakBusy                                             float64 // calls out at once, fading
	expectedCalls                                        int     // calls that are known to come
}

// destination is what the endpoints of a destination have in common: how many of their calls break for other reasons than idling.
type destination struct {
	endpoints                          []*endpoint // in the order of their coming
	recentCalls, recentUnrelatedLosses float64     // of late
}

// hasUnrelatedLosses says that connections break for other reasons often enough to be taken for idle ones that died.
func (g *destination) hasUnrelatedLosses() bool {
	return g.recentUnrelatedLosses >= 2 && g.recentUnrelatedLosses > maxUnrelatedLossShare*g.recentCalls
}

// Pool decides for all endpoints. It is not safe for use by several goroutines at once.
type Pool struct {
	cfg          Config
	endpoints    map[string]*endpoint
	destinations map[int]*destination // by destination
	conns        map[ID]*conn
	keepNoIdle   bool // nothing is to rest
	lastID       ID
	rng          *rand.Rand
	clock        time.Duration
	lastTickAt   time.Duration // the newest tick
	recentCalls  float64       // of late
	staleCalls   float64
	counters     Counters
	idleTimes    Ends
}

// Counters count since the start.
type Counters struct {
	Opened, Ahead, NeverUsed int64 // connections; of them opened ahead, and never used
	Calls, Reused, Stale     int64 // calls; on warm connections; failed by dead ones
	OpenFailures, Canceled   int64 // openings; those that nobody needed any more
	Waited                   int64 // calls that had to wait for a connection of their endpoint
	Evicted                  [reasonCount]int64
	Closed                   int64 // by the server, before our eyes
	Quarantines              int64 // idle times put in quarantine
}

// New returns a Pool.
func New(cfg Config) (*Pool, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, endpoints: map[string]*endpoint{}, destinations: map[int]*destination{}, conns: map[ID]*conn{}, rng: rand.New(rand.NewPCG(cfg.Seed, 9))}, nil
}

// Counters returns the counters.
func (p *Pool) Counters() Counters { return p.counters }

// Len is how many connections there are, those being opened included.
func (p *Pool) Len() int { return len(p.conns) }

// Limit changes how many connections there may be in all; what there is too many is given up as it rests.
func (p *Pool) Limit(maxConns int) { p.cfg.Most = maxConns }

// Endpoint brings news of an endpoint: what is known of one that moves is forgotten, for another server stands there. What
// has to be closed is returned; connections that are busy close as they come to rest.
func (p *Pool) Endpoint(name, addr string, dest int, acceptsCalls bool) (evict []Give) {
	e := p.endpoints[name]
	if e == nil {
		if !acceptsCalls {
			return nil
		}
		e = &endpoint{name: name, addr: addr, dest: dest, reuseHistory: &emptyReuseHistory, closeHistory: &emptyCloseHistory, deadShares: &emptyDeadShares, evidenceDecayedAt: p.clock, conns: map[ID]*conn{}}
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
		next := &endpoint{name: name, addr: addr, dest: dest, reuseHistory: &emptyReuseHistory, closeHistory: &emptyCloseHistory, deadShares: &emptyDeadShares, evidenceDecayedAt: p.clock, conns: e.conns, idleConns: e.idleConns, busyCount: e.busyCount, callsPerSecond: e.callsPerSecond, serviceSeconds: e.serviceSeconds, serviceSpreadSeconds: e.serviceSpreadSeconds, peakBusy: e.peakBusy}
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
			c.expiresAt = 1 // long ago: it closes as it comes to rest
		}
	}
	p.removeIfDrained(e)
	return evict
}

// maxSiblings is how many others of its destination a new endpoint learns from: a few that are alike say what all do, and a list
// of thousands is taken in within a step.
const maxSiblings = 16

// learnFromSiblings has a new endpoint begin with what others of its destination have taught: they are most likely alike.
func (p *Pool) learnFromSiblings(e *endpoint) {
	g := p.destinations[e.dest]
	if g == nil {
		return
	}
	for _, o := range g.endpoints[:min(len(g.endpoints), maxSiblings)] {
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
			if o.reuseHistory != &emptyReuseHistory { // a part of what they know: it soon yields to what is seen here
				e.ownReuseHistory().mergePart(o.reuseHistory)
			}
			if o.closeHistory != &emptyCloseHistory {
				e.ownCloseHistory().mergePart(o.closeHistory)
			}
		}
	}
}

func (p *Pool) joinDestination(e *endpoint, dest int) {
	if e.dest = dest; p.destinations[dest] == nil {
		p.destinations[dest] = &destination{}
	}
	p.destinations[dest].endpoints = append(p.destinations[dest].endpoints, e)
}

func (p *Pool) leaveDestination(e *endpoint) {
	g := p.destinations[e.dest]
	if g.endpoints = slices.DeleteFunc(g.endpoints, func(o *endpoint) bool { return o == e }); len(g.endpoints) == 0 {
		delete(p.destinations, e.dest)
	}
}

// removeIfDrained ends what is kept of an endpoint that is gone, once no connection is left.
func (p *Pool) removeIfDrained(e *endpoint) {
	if !e.acceptsCalls && len(e.conns) == 0 && p.endpoints[e.name] == e {
		delete(p.endpoints, e.name)
		p.leaveDestination(e)
	}
}

// Hint tells that an endpoint is cold or not, and how many calls are known to come there soon.
func (p *Pool) Hint(name string, slowStart bool, expectedCalls int) {
	if e := p.endpoints[name]; e != nil {
		e.slowStart, e.expectedCalls = slowStart, expectedCalls
	}
}

// connsByID are an endpoint's connections in the order of their ids, so that the same events always lead to the same acts.
func (e *endpoint) connsByID() []*conn {
	return slices.SortedFunc(maps.Values(e.conns), func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
}

// addIdle has a connection rest since then.
func (e *endpoint) addIdle(c *conn, idleSince time.Duration) {
	c.state, c.idleSince = stateIdle, idleSince
	at := len(e.idleConns) // as a rule it is the newest
	for at > 0 && e.idleConns[at-1].idleSince > idleSince {
		at--
	}
	e.idleConns = slices.Insert(e.idleConns, at, c)
}

// removeIdle ends a connection's rest.
func (e *endpoint) removeIdle(c *conn) {
	for i := len(e.idleConns) - 1; i >= 0; i-- { // as a rule it is the newest
		if e.idleConns[i] == c {
			e.idleConns = slices.Delete(e.idleConns, i, i+1)
			return
		}
	}
}

// evictAllIdle gives up all that rests at an endpoint.
func (p *Pool) evictAllIdle(e *endpoint, reason Reason) (evict []Give) {
	for len(e.idleConns) > 0 {
		evict = append(evict, p.evict(e.idleConns[0], reason))
	}
	return evict
}

func (p *Pool) evict(c *conn, reason Reason) Give {
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	if c.state == stateIdle {
		c.owner.ownCloseHistory().add(p.clock-c.idleSince, false)
		p.idleTimes.Evicted[reason].add(p.clock - c.idleSince)
	}
	p.remove(c)
	return Give{c.id, reason}
}

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

// Verdict says how a call gets its connection.
type Verdict int

// The verdicts.
const (
	Use  Verdict = iota // the warm connection that is named
	Open                // a new one, to be opened now under the id that is named
	Wait                // none may be opened: one that comes to rest is to be had, or leave after a while
)

// Call decides on a call to an endpoint: which connection it goes on. What has to be closed for it, or is found to be of
// no use any more, is returned too.
func (p *Pool) Call(now time.Duration, name string) (v Verdict, id ID, evict []Give) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return Wait, 0, nil
	}
	e.arrivals++
	return p.Again(now, name)
}

// Again decides once more on a call that waited, or whose connection turned out to be closed.
func (p *Pool) Again(now time.Duration, name string) (v Verdict, id ID, evict []Give) {
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
	if e.atConnLimit(p.clock) {
		p.counters.Waited++
		return Wait, 0, evict
	}
	forRoom, ok := p.makeRoom(e)
	if evict = append(evict, forRoom...); !ok {
		p.counters.Waited++
		return Wait, 0, evict
	}
	c = p.openConn(e)
	return Open, c.id, evict
}

// Unused puts back a connection that was to carry a call and did not: it rests on as if it had not been taken. If it may not,
// it is to be closed, and why.
func (p *Pool) Unused(now time.Duration, id ID) (rests bool, reason Reason) {
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

// Gone tells that a connection that was to carry a call had been closed by the server before the first byte went out: it did
// no harm, and counts as a closing that was seen.
func (p *Pool) Gone(now time.Duration, id ID) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return
	}
	p.undoCall(c)
	p.recordClosing(c, c.idleBeforeCall)
	p.remove(c)
}

// undoCall has the counts forget a call that was not made after all.
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

// Cancel tells that an opening was called off.
func (p *Pool) Cancel(now time.Duration, id ID) {
	p.advanceClock(now)
	if c := p.conns[id]; c != nil && c.state == stateOpening {
		p.counters.Canceled++
		p.remove(c)
	}
}

// Drop gives up one resting connection; false if it does not rest.
func (p *Pool) Drop(now time.Duration, id ID, reason Reason) bool {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateIdle {
		return false
	}
	p.evict(c, reason)
	return true
}

// Frugal has nothing rest while it is on.
func (p *Pool) Frugal(now time.Duration, on bool) (evict []Give) {
	if p.keepNoIdle = on; on {
		evict = p.Shed(now, len(p.conns))
	}
	return evict
}

// Claim has a connection that has just come to rest carry a call that waited for one; false if it does not rest.
func (p *Pool) Claim(now time.Duration, id ID) bool {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateIdle {
		return false
	}
	p.startCall(c)
	return true
}

func (p *Pool) advanceClock(now time.Duration) { p.clock = max(p.clock, now) }

// startCall has a resting connection carry a call.
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

// openConn begins a connection.
func (p *Pool) openConn(e *endpoint) *conn {
	p.lastID++
	c := &conn{id: p.lastID, owner: e}
	if p.cfg.MaxAge > 0 { // a quarter to both sides: those that were opened together do not close together
		c.expiresAt = p.clock + time.Duration(float64(p.cfg.MaxAge)*(0.75+p.rng.Float64()/2))
	}
	p.conns[c.id], e.conns[c.id] = c, c
	p.counters.Opened++
	return c
}

// atConnLimit says that the server seems to take no more connections. From time to time one more is tried.
func (e *endpoint) atConnLimit(now time.Duration) bool {
	if e.connLimit > 0 && now-e.connLimitAt > connLimitPeriod {
		e.connLimit, e.connLimitAt = e.connLimit+1, now
	}
	return e.connLimit > 0 && len(e.conns) >= e.connLimit
}

// makeRoom makes room for one more connection in all. It comes from whoever rests with the most beyond its fair share; an
// endpoint within its share gives nothing to one beyond its own.
func (p *Pool) makeRoom(e *endpoint) (evict []Give, ok bool) {
	if len(p.conns) < p.cfg.Most {
		return nil, true
	}
	fair := float64(p.cfg.Most) / float64(max(len(p.endpoints), 1))
	var worst *conn
	largestExcess := math.Inf(-1)
	for _, o := range p.endpoints {
		if o == e || len(o.idleConns) == 0 {
			continue
		}
		c := o.idleConns[0]
		excess := float64(len(o.conns)) - max(min(o.targetConns(), fair), 0)
		if excess > largestExcess || excess == largestExcess && (c.idleSince < worst.idleSince || c.idleSince == worst.idleSince && c.id < worst.id) {
			worst, largestExcess = c, excess
		}
	}
	if worst == nil || largestExcess <= 0 && float64(len(e.conns)) >= fair {
		return nil, false
	}
	return []Give{p.evict(worst, ReasonRoom)}, true
}

// bestIdle is the resting connection that is least likely dead, if that is worth the risk; others that are not are returned
// to be closed. Where none is, one that idled beyond the limit may be tried from time to time: a server's time changes.
func (p *Pool) bestIdle(e *endpoint) (bestIdle *conn, evicted []Give) {
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
	trustedIdle := time.Duration(math.MaxInt64) // as long as nothing was lost, what is told of servers is believed
	if e.idleLossAt > 0 && p.clock-e.idleLossAt < cautionPeriod {
		trustedIdle = max(time.Duration(provenReachFactor*float64(e.longestProvenIdle(p.clock))), minSuspectIdle)
	}
	for i := len(e.idleConns) - 1; i >= 0; i-- { // newest first; what is given up leaves the list behind
		c := e.idleConns[i]
		reason, unfit := p.unfit(c, softIdleLimit)
		if unfit && reason == ReasonIdle && p.clock-c.idleSince < hardIdleLimit && p.trialAllowed(e) && trial == nil {
			trial = c // the one that idled least is the best try
			continue
		}
		if unfit {
			evicted = append(evicted, p.evict(c, reason))
			continue
		}
		if p.clock-c.idleSince > trustedIdle {
			if unproven == nil { // the one that idled least
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

// longestProvenIdle is the longest idle time that went well in this stretch of provenFor or the one before. One call at a time tries
// more: in a clump, others that idled as long would be lost together.
func (e *endpoint) longestProvenIdle(now time.Duration) time.Duration {
	if age := now - e.provenIdleFrom; age >= 2*provenPeriod {
		e.provenIdle, e.provenIdleFrom = [2]time.Duration{}, now
	} else if age >= provenPeriod {
		e.provenIdle, e.provenIdleFrom = [2]time.Duration{0, e.provenIdle[0]}, now
	}
	return max(e.provenIdle[0], e.provenIdle[1])
}

// trialAllowed says whether an idle time beyond the limit may be tried now: one at a time, now and then, and not in quarantine.
func (p *Pool) trialAllowed(e *endpoint) bool {
	return !e.trialRunning && p.clock >= e.nextTrialAt && p.clock >= e.quarantinedUntil
}

// unfit says that a resting connection is not to be used again, and why.
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
	}
	return 0, false
}

// idleLimits are how long a connection to an endpoint may idle: as a rule less than what its losses allow and than what is in
// quarantine; and at most, less than servers are known to let it and than this one was seen to.
func (p *Pool) idleLimits(e *endpoint) (soft, hard time.Duration) {
	hard = time.Duration(float64(p.cfg.IdleMost) * (1 - closeMarginShare))
	if survived, ok := e.closeHistory.survivedIdle(minSurvivalShare); ok {
		hard = min(hard, time.Duration(float64(survived)*(1-closeMarginShare)))
	}
	soft = min(hard, e.reuseHistory.idleLimit(p.acceptableRisk(), p.cfg.OpenPrice/p.cfg.LossPrice))
	if e.quarantinedIdle > 0 {
		soft = min(soft, time.Duration(float64(e.quarantinedIdle)*0.8))
	}
	return soft, hard
}

// acceptableRisk is the share of dead connections that a reuse may expect: what the prices allow, and less the nearer losses of late
// are to what they may be.
func (p *Pool) acceptableRisk() float64 {
	remainingShare := 1 - p.staleCalls/max(p.recentCalls*p.cfg.StaleMost, 1)
	return p.cfg.OpenPrice / p.cfg.LossPrice * min(max(remainingShare, 0.05), 1)
}

// Opened tells that a connection is up. With a call waiting for it that call is out on it now; else it rests.
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

// Failed tells that a connection did not come up. Where others to the endpoint did of late, or are open, the server may take
// no more.
func (p *Pool) Failed(now time.Duration, id ID, refused bool) {
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

// noteRefusal takes in that a server would not have one more connection, while others are open or were of late: it may take no
// more. A connection that breaks under its first call is one of these. It returns false where the server seems to be down.
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

// End says how a call on a connection ended.
type End int

// The ends.
const (
	Answered End = iota // and the connection may carry another call
	Last                // answered, and the server closes
	Cut                 // given up by us, or the answer was spoilt
	Dead                // the connection broke before the first byte of an answer
	Broken              // it broke later
)

// Done tells the end of a call. It returns whether the connection rests from now on, and if not, why it is to be closed.
func (p *Pool) Done(now time.Duration, id ID, end End, took time.Duration) (rests bool, reason Reason) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return false, ReasonServerClosed
	}
	e := c.owner
	c.calls++
	if end == Answered && c.calls > max(e.lastClosingUses, e.maxUses) { // it goes on beyond what seemed the limit
		e.sameUsesCount = 0
		if e.maxUses > 0 {
			e.maxUses, e.sameUsesNeeded = 0, min(max(e.sameUsesNeeded, minSameUses)*4, maxSameUses)
		}
	}
	p.recordIdleOutcome(c, end)
	if end == Answered && c.calls == 1 {
		e.consecutiveRefusals = 0
	}
	if end == Answered || end == Last {
		e.recordServiceTime(took.Seconds())
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
	case len(p.conns) > p.cfg.Most:
		reason = ReasonRoom
	case p.keepNoIdle:
		reason = ReasonPressure
	default:
		e.busyCount--
		e.addIdle(c, p.clock)
		return true, 0
	}
	if end == Last {
		p.recordClosingUses(e, c.calls)
	}
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	p.remove(c)
	if end == Dead && c.idleBeforeCall == 0 {
		p.noteRefusal(e)
	}
	return false, reason
}

// recordIdleOutcome takes in what a call tells of idling.
func (p *Pool) recordIdleOutcome(c *conn, end End) {
	e := c.owner
	g := p.destinations[e.dest]
	if g.recentCalls++; g.recentCalls > staleWindowCalls {
		g.recentCalls, g.recentUnrelatedLosses = g.recentCalls/2, g.recentUnrelatedLosses/2
	}
	if c.idleBeforeCall == 0 {
		if end == Dead {
			g.recentUnrelatedLosses++
		}
		return
	}
	if end != Dead {
		if end != Cut { // what was cut tells nothing
			e.suspectedIdles = slices.DeleteFunc(e.suspectedIdles, func(idle time.Duration) bool {
				if idle <= c.idleBeforeCall {
					g.recentUnrelatedLosses++ // it was not for idling
				}
				return idle <= c.idleBeforeCall
			})
			e.ownReuseHistory().add(c.idleBeforeCall, false)
			e.ownCloseHistory().add(c.idleBeforeCall, false)
			e.longestRecentGoodIdle(p.clock)
			e.recentGoodIdle[0] = max(e.recentGoodIdle[0], c.idleBeforeCall)
			e.longestProvenIdle(p.clock)
			e.provenIdle[0] = max(e.provenIdle[0], c.idleBeforeCall)
			if e.quarantinedIdle > 0 && c.idleBeforeCall >= e.quarantinedIdle { // it lives on that long now
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
		g.recentUnrelatedLosses++
		return
	}
	lossesNeeded := 1
	if g.hasUnrelatedLosses() {
		lossesNeeded = lossesNeededIfNoisy
	}
	if e.longestRecentGoodIdle(p.clock) > c.idleBeforeCall { // one that idled longer went well of late: the server has changed, or it is not for idling
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

// longestRecentGoodIdle is the longest idle time that went well of late: in this stretch of recentGood and the one before.
func (e *endpoint) longestRecentGoodIdle(now time.Duration) time.Duration {
	if age := now - e.recentGoodFrom; age >= 2*recentGoodPeriod {
		e.recentGoodIdle, e.recentGoodFrom = [2]time.Duration{}, now
	} else if age >= recentGoodPeriod {
		e.recentGoodIdle, e.recentGoodFrom = [2]time.Duration{0, e.recentGoodIdle[0]}, now
	}
	return max(e.recentGoodIdle[0], e.recentGoodIdle[1])
}

// recordServiceTime takes a service time into the usual one.
func (e *endpoint) recordServiceTime(seconds float64) {
	if e.serviceSeconds == 0 {
		e.serviceSeconds, e.serviceSpreadSeconds = seconds, seconds/2
	}
	e.serviceSpreadSeconds += serviceSmoothing * (math.Abs(seconds-e.serviceSeconds) - e.serviceSpreadSeconds)
	e.serviceSeconds += serviceSmoothing * (seconds - e.serviceSeconds)
}

// Closed tells that the server closed a resting connection, or one that was opening and never carried a call.
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

// recordClosing notes that the server closed a connection that had idled for so long.
func (p *Pool) recordClosing(c *conn, idle time.Duration) {
	p.counters.Closed++
	p.idleTimes.Closed.add(idle)
	e := c.owner
	if c.calls > 0 && idle < closeAfterAnswerWindow {
		p.recordClosingUses(e, c.calls) // for the number of calls, not for idling
	} else {
		e.ownCloseHistory().add(idle, true)
	}
	if e.connLimit > 0 && p.clock-e.connLimitAt < connLimitDoubtPeriod {
		e.connLimit = 0 // it was going down, not full
	}
}

// recordClosingUses notes that the server closed behind so many calls.
func (p *Pool) recordClosingUses(e *endpoint, calls int) {
	if e.lastClosingUses != calls {
		e.lastClosingUses, e.sameUsesCount = calls, 0
	}
	if e.sameUsesCount++; e.sameUsesCount >= max(e.sameUsesNeeded, minSameUses) {
		e.maxUses = calls
	}
}

// targetConns is how many connections an endpoint is to have: for the calls that Little's law has out at once, and the spread
// about them, and for the peak of late.
func (e *endpoint) targetConns() float64 {
	if !e.acceptsCalls {
		return 0
	}
	busy := e.callsPerSecond * (e.serviceSeconds + e.serviceSpreadSeconds)
	needed := busy + busyDeviations*math.Sqrt(busy)
	if e.callsPerSecond > 0.5 {
		needed = max(needed, 1)
	}
	return math.Ceil(max(needed, e.peakBusy))
}

// Tick looks at everything: it is to come every quarter of a second or so. It returns what is to be closed, and for which
// endpoints connections are to be opened ahead, under which ids.
func (p *Pool) Tick(now time.Duration) (evict []Give, preconnects []ID) {
	p.advanceClock(now)
	seconds := (p.clock - p.lastTickAt).Seconds()
	p.lastTickAt = p.clock
	if p.recentCalls > staleWindowCalls {
		p.recentCalls, p.staleCalls = p.recentCalls/2, p.staleCalls/2
	}
	names := slices.Sorted(maps.Keys(p.endpoints))
	for _, name := range names {
		e := p.endpoints[name]
		e.decayDemand(seconds, p.cfg.Keep)
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
		surplus := float64(len(e.conns)) - e.targetConns()
		candidates := slices.Clone(e.idleConns)
		// The fewer descriptors are left, the sooner what is not needed goes; while half are free it may as well rest.
		surplusAfter := max(minSurplusIdle, time.Duration((1-2*float64(len(p.conns))/float64(p.cfg.Most))*float64(soft)))
		var trial *conn // the newest beyond the limit, to be tried
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
		if e := p.endpoints[name]; e != nil && p.cfg.Ahead {
			preconnects = append(preconnects, p.preconnect(e)...)
		}
	}
	return evict, preconnects
}

// decayDemand lets rate and peak follow the last tick.
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

// preconnect opens what an endpoint will need: for calls that are known to come, and in place of what was given up while it was
// called often. An endpoint that is cold, or where openings fail, gets one at a time.
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
	// A connection is worth opening if it is used before it has to be given up for idling.
	wanted := 0
	if soft, _ := p.idleLimits(e); e.callsPerSecond*soft.Seconds() > 3 {
		wanted = int(e.targetConns()) - len(e.conns)
	}
	wanted = max(wanted, e.expectedCalls-freeCount)
	if e.slowStart || e.openFailures > 0 || e.lastOpenedAt == 0 { // it is new, or comes back
		wanted = min(wanted, 1-openingCount)
	}
	for ; wanted > 0 && !e.atConnLimit(p.clock) && len(p.conns) < p.cfg.Most; wanted-- { // never at another's cost
		c := p.openConn(e)
		c.preconnected = true
		p.counters.Ahead++
		ids = append(ids, c.id)
	}
	return ids
}

// Unneeded names connections that are being opened ahead and that nobody will need any more: they may be called off.
func (p *Pool) Unneeded() (ids []ID) {
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[name]
		surplus := len(e.conns) - max(int(e.targetConns()), e.busyCount+e.expectedCalls)
		for _, c := range e.connsByID() {
			if c.state == stateOpening && c.preconnected && surplus > 0 {
				ids = append(ids, c.id)
				surplus--
			}
		}
	}
	return ids
}

// Shed gives up resting connections while memory or descriptors are short: those beyond their endpoint's need first.
func (p *Pool) Shed(now time.Duration, maxEvicted int) (evict []Give) {
	p.advanceClock(now)
	var idleConns []*conn
	for _, e := range p.endpoints {
		idleConns = append(idleConns, e.idleConns...)
	}
	slices.SortFunc(idleConns, func(a, b *conn) int {
		surplus := func(c *conn) float64 { return float64(len(c.owner.conns)) - c.owner.targetConns() }
		return cmp.Or(cmp.Compare(surplus(b), surplus(a)), cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
	})
	for _, c := range idleConns[:min(maxEvicted, len(idleConns))] {
		evict = append(evict, p.evict(c, ReasonPressure))
	}
	return evict
}

// EndpointOf names the endpoint of a connection.
func (p *Pool) EndpointOf(id ID) (string, bool) {
	c := p.conns[id]
	if c == nil {
		return "", false
	}
	return c.owner.name, true
}

// Histogram counts idle times at the end of connections: up to 10 ms, 100 ms, 1 s, 10 s, a minute, and longer.
type Histogram [6]int64

var histogramBounds = [len(Histogram{}) - 1]time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second, time.Minute}

func (h *Histogram) add(idle time.Duration) {
	for i, bound := range histogramBounds {
		if idle <= bound {
			h[i]++
			return
		}
	}
	h[len(h)-1]++
}

// LogValue names each class that holds any.
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

// Ends are the histograms by cause: given up, by reason; closed by the server; and dead under a call.
type Ends struct {
	Evicted      [reasonCount]Histogram
	Closed, Dead Histogram
}

// LogValue names those that hold any.
func (e Ends) LogValue() slog.Value {
	attrs := []slog.Attr{slog.Any("closed", e.Closed), slog.Any("dead", e.Dead)}
	for w, h := range e.Evicted {
		attrs = append(attrs, slog.Any(Reason(w).String(), h))
	}
	return slog.GroupValue(attrs...)
}

// Ends returns how long connections had idled at their ends, by cause.
func (p *Pool) Ends() Ends { return p.idleTimes }

// State is what is known of one endpoint, for operators.
type State struct {
	Endpoint                         string
	AcceptsCalls, SlowStart          bool
	Opening, Busy, Idle              int
	Target                           int
	CallsPerSecond                   float64       // calls a second
	Service, Spread                  time.Duration // of a call
	IdleLimit                        time.Duration
	QuarantinedIdle                  time.Duration // idle time in quarantine; 0 for none
	MaxUses, ConnLimit, OpenFailures int
	Evicted                          [reasonCount]int64 // up, by reason
	Stale                            int64              // calls failed by dead connections
}

// LogValue names the figures in a log line.
func (s State) LogValue() slog.Value {
	return slog.GroupValue(slog.String("member", s.Endpoint), slog.Bool("open", s.AcceptsCalls), slog.Bool("cold", s.SlowStart), slog.Int("opening", s.Opening),
		slog.Int("busy", s.Busy), slog.Int("idle", s.Idle), slog.Int("target", s.Target), slog.Float64("rate", s.CallsPerSecond),
		slog.Duration("service", s.Service), slog.Duration("spread", s.Spread), slog.Duration("idle_limit", s.IdleLimit),
		slog.Duration("banned", s.QuarantinedIdle), slog.Int("uses", s.MaxUses), slog.Int("cap", s.ConnLimit), slog.Int("fails", s.OpenFailures),
		slog.Int64("stale", s.Stale), slog.Any("given", evictedByReason(s.Evicted)))
}

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("opened", c.Opened), slog.Int64("ahead", c.Ahead), slog.Int64("unused", c.NeverUsed),
		slog.Int64("called_off", c.Canceled), slog.Int64("failed", c.OpenFailures), slog.Int64("calls", c.Calls), slog.Int64("reused", c.Reused),
		slog.Int64("stale", c.Stale), slog.Int64("bans", c.Quarantines), slog.Int64("waited", c.Waited), slog.Int64("closed", c.Closed),
		slog.Any("given", evictedByReason(c.Evicted)))
}

type evictedByReason [reasonCount]int64

func (g evictedByReason) LogValue() slog.Value {
	var attrs []slog.Attr
	for w, n := range g {
		if n > 0 {
			attrs = append(attrs, slog.Int64(Reason(w).String(), n))
		}
	}
	return slog.GroupValue(attrs...)
}

// States are those of all endpoints, by name.
func (p *Pool) States() (list []State) {
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[name]
		soft, _ := p.idleLimits(e)
		s := State{Endpoint: name, AcceptsCalls: e.acceptsCalls, SlowStart: e.slowStart, Target: int(e.targetConns()), CallsPerSecond: e.callsPerSecond, Service: time.Duration(e.serviceSeconds * 1e9),
			Spread: time.Duration(e.serviceSpreadSeconds * 1e9), IdleLimit: soft, MaxUses: e.maxUses, ConnLimit: e.connLimit, OpenFailures: e.openFailures, Evicted: e.evicted, Stale: e.staleCalls}
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
