// This file follows the life of a message: incoming events, the rate limiter of a destination, endpoint
// health, sending, outcomes, final answers, and shedding.

package dispatch

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	pollSteps = 4 // resolutions between wakes: in time for an answer at the deadline, and cheap
	// A full allowance is taken as some seconds of the reported limit, fewer after refusals: many
	// destinations hold less than the default.
	defaultBurstSeconds = 1.0
	burstShrinkFactor   = 0.8   // at a refusal
	burstGrowthFactor   = 1.005 // at a success
	minBurstSeconds     = 0.1
	spendRetention      = 10 * time.Second // a report that arrives within it may not include the spend yet
	limitStepShare      = 0.25             // reports are noisy, but a limit that differs by more has changed
	limitWeight         = 0.3              // of the newest value in smoothing, like the following weights
	latencyWeight       = 0.1
	missedWeight        = 0.04 // missed calls over all endpoints
	failureWeight       = 0.25 // failures of one endpoint
	// One of many senders may take more than an even share of a limit. A report of less left than steadyShare
	// lowers this excess at once, one of more raises it for maxGrowthTime at most, since all senders read it.
	excessShrinkFactor = 0.25            // at a refusal
	unusedShare        = 0.1             // of an even share unused, or refused calls could keep a limit empty
	steadyShare        = 0.35            // left of the limit
	excessGrowthRate   = 0.05            // a second, times the share left above steadyShare
	maxGrowthTime      = 5 * time.Second // after a report
	missedAfterSpreads = 6               // spreads over the mean latency after which a call is missed
	missedAfterMeans   = 3               // multiple of the mean that it must exceed, too
	// An outage starts after failureStreak failures in a row, one fewer while a sibling is out, refusalStreak
	// refusals in a row, or a smoothed failure share above maxFailureShare. Where all endpoints miss calls,
	// the probability of the streak by chance must be below maxChanceProbability.
	failureStreak        = 2
	maxChanceProbability = 0.01
	refusalStreak        = 3
	maxFailureShare      = 0.55
	rampFailureShare     = 0.45 // failure share at the start of a ramp: one more failure exceeds the maximum
	maxTrialShare        = 0.2  // of the ramp time; up to it, trial calls are half the outage's age apart
	sparseTrialAges      = 5.0  // see coldGap
	fleetTrialAges       = 0.25 // of the outage's age between trial calls when senders share reports
	maxFleetTrialShare   = 0.05 // of the ramp time
	initialWindow        = 2    // calls out at a new endpoint; each success adds to the window
	windowShrinkFactor   = 0.7  // at a timeout
	minTimeoutAims       = 0.6  // least timeout of a repeatable call, in aims
	latencyPrice         = 0.1  // of a latency of one aim, compared with the other prices
	// maxTieBreak bounds the random extra cost of an endpoint. Without it all senders would start with the
	// first of the list and stay there, since each prefers the endpoint that it has a connection to.
	maxTieBreak         = 1e-3
	shedThreshold       = 0.85            // share of the hold cap above which queued messages are shed
	maxDestinationShare = 0.7             // share of the call slots that one destination may hold
	largeMessageBytes   = 4096.0          // doubles a message's weight in shedding if HoldCap.SizeWeight is 1
	watchRetryPause     = 2 * time.Second // before a broken subscription is requested again
	logInterval         = time.Second     // least time between two log lines
)

// trustedWeightShare is the share of a listed weight that a sender relies on.
var trustedWeightShare = map[Weights]float64{NominalWeights: 1, RoughWeights: 1 / 1.5}

// Sender makes the decisions of one sender. The package comment lists the duties of its caller.
type Sender struct {
	cfg                    Settings
	now                    time.Duration
	classes                map[string]*Class
	kinds                  map[string]*kind
	fees                   map[string]float64
	tenants                map[string]*tenant
	endpoints              map[string]*endpoint
	destinations           map[int]*destination
	messages               map[string]*message
	queue                  []*message // not ended and without an attempt out, earliest deadline first
	inFlight               []*message // with an attempt out
	keyQueues              map[int64]*keyQueue
	callsOut               int
	missedShare            float64 // smoothed share of missed calls at endpoints that are not in an outage
	lastSeq                int64
	wakeAt, logAt, watchAt time.Duration // of the pending wake, 0 for none; of the next log line and Watch
	actions                []Action
	rng                    *rand.Rand // spreads actions that many senders would take at the same moment
	startRNG               *rand.Rand // spreads the first choices and first calls of many senders
	holdCap                int        // messages that may be held at present
	sizeWeight             float64    // HoldCap.SizeWeight: how much the size of a message counts in shedding
}

// message is a request that has not ended or that has an attempt out.
type message struct {
	id                           string
	class                        *Class
	dest                         *destination
	keyQueue                     *keyQueue
	seq                          int64
	arrived, deadline, notBefore time.Duration
	worth, trialDraw             float64 // trialDraw: in [0, 1), delays the trial of an unsafe message
	attempts, sizeBytes          int
	call                         *call
	firstSent                    time.Duration // start of the first attempt that may have run
	zone                         string        // of the endpoint of that attempt
	mayHaveRun, closed           bool
}

// call is a call that is out. It carries one message, or several in a bundle.
type call struct {
	endpoint  *endpoint
	sentAt    time.Duration
	cancelled bool
	idleFor   time.Duration // how long its connection was idle before; 0 for a new connection
	pending   int           // messages without an outcome
	ended     bool          // the first outcome has arrived
}

// keyQueue holds the messages of one key in order of arrival.
type keyQueue struct {
	messages  []*message
	restUntil time.Duration // no first attempt of another message of the key before this
}

// tenant is a token bucket for the requests within a tenant's share.
type tenant struct {
	rate, tokens float64
	updatedAt    time.Duration
}

// kind holds what is learned over all destinations of a kind, since each one is called too seldom.
type kind struct {
	ownLimits    bool    // each endpoint is a separate route with its own limiter
	burstSeconds float64 // seconds of the limit that a full allowance holds
	maxBundle    int     // messages that a call may carry
}

// destination groups the endpoints that a message may go to.
type destination struct {
	id           int
	endpoints    []*endpoint
	shared       *limiter // of all endpoints, unless each is a separate route
	callsOut     int
	queued       int // messages in Sender.queue
	openMessages int // messages that are not forgotten yet
}

// New returns a Sender for these settings. The seed spreads what many senders would do at one moment.
func New(set Settings, seed int64) (*Sender, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	s := &Sender{cfg: set, classes: map[string]*Class{}, kinds: map[string]*kind{},
		fees: map[string]float64{}, tenants: map[string]*tenant{}, endpoints: map[string]*endpoint{},
		destinations: map[int]*destination{}, messages: map[string]*message{},
		keyQueues: map[int64]*keyQueue{}, rng: rand.New(rand.NewPCG(uint64(seed), 0)),
		startRNG: rand.New(rand.NewPCG(uint64(seed), 1)), holdCap: set.MaxOpen}
	for i := range set.Classes {
		s.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	for _, k := range set.Kinds {
		s.kinds[k.Name] = &kind{ownLimits: k.OwnLimits, maxBundle: k.MaxBundle}
	}
	for _, z := range set.Zones {
		s.fees[z.Name] = z.Fee
	}
	for _, t := range set.Tenants {
		if rate := t.AllowancePerSecond / float64(s.cfg.Peers); rate > 0 {
			s.tenants[t.Name] = &tenant{rate: rate, tokens: rate}
		}
	}
	return s, nil
}

// Step processes the events at time now and returns the actions in order. All events precede any send.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case MembershipUpdate:
			s.updateMembers(ev)
		case MembershipLost:
			s.watchAt = s.now + watchRetryPause
		case RestoredLimit:
			s.restoreLimit(ev)
		case FleetReport:
			s.applyFleetReport(ev)
		case Request:
			s.accept(ev)
		case Outcome:
			s.handleOutcome(ev)
		case HoldCap:
			s.holdCap, s.sizeWeight = min(max(ev.MaxMessages, 1), s.cfg.MaxOpen), ev.SizeWeight
		case Withdrawal:
			if m := s.messages[ev.ID]; m != nil {
				s.closeMessage(m)
			}
		}
	}
	if s.cfg.WatchRequired && s.now >= s.watchAt {
		s.watchAt = math.MaxInt64
		s.emit(Watch{})
	}
	s.expire()
	s.shed()
	s.dispatch()
	s.reclaimSlot()
	if s.wakeAt <= s.now && len(s.messages) > 0 { // exactly one wake is pending while messages are open
		s.wakeAt = s.now + s.pollInterval()
		s.emit(Wake{At: s.wakeAt})
	}
	return s.actions
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Sender) log(text string) {
	if s.now >= s.logAt {
		s.logAt = s.now + logInterval
		s.emit(Log{Text: text})
	}
}

func (s *Sender) pollInterval() time.Duration { return pollSteps * s.cfg.Resolution }

// updateMembers applies list entries. An endpoint that drains or is gone gets nothing new from this step on.
func (s *Sender) updateMembers(ev MembershipUpdate) {
	if ev.Full {
		for _, e := range s.endpoints {
			e.state = Gone
		}
	}
	for _, row := range ev.Endpoints {
		e := s.endpoints[row.ID]
		if e != nil && e.dest.id != row.Destination { // another process has taken the name
			e.state = Gone
			delete(s.endpoints, row.ID)
			s.forgetEndpoint(e)
			e = nil
		}
		if e == nil {
			d, k := s.destinationFor(row.Destination), getOrCreate(s.kinds, row.Kind)
			k.burstSeconds = cmp.Or(k.burstSeconds, defaultBurstSeconds)
			if d.shared == nil || k.ownLimits {
				d.shared = &limiter{kind: k, peers: float64(s.cfg.Peers), evenShares: float64(s.cfg.Peers)}
			}
			e = &endpoint{id: row.ID, dest: d, limiter: d.shared, window: initialWindow,
				tieBreak: maxTieBreak * s.startRNG.Float64()}
			s.endpoints[row.ID] = e
			d.endpoints, e.limiter.endpoints = append(d.endpoints, e), append(e.limiter.endpoints, e)
			if e.siblingInOutage() {
				s.markOutage(e) // a new endpoint is cold and must not get all waiting messages
			}
		}
		if row.Restarted && row.State == Listed && e.state != Listed {
			e.ramping, e.rampSince = true, s.now // cold, as after an outage
		}
		e.state, e.zone = row.State, row.Zone
		e.limiter.weight = row.Weight * trustedWeightShare[s.cfg.Weights]
	}
	for _, e := range s.endpoints {
		s.forgetEndpoint(e)
	}
}

// restoreLimit continues with a limit that an earlier process learned, so that the destination does not count
// as unlimited. Random tokens spread the first calls of senders that start together with messages to deliver.
func (s *Sender) restoreLimit(ev RestoredLimit) {
	d := s.destinations[ev.Destination]
	if d == nil || d.shared == nil || d.shared.kind.ownLimits || d.shared.limit > 0 || !(ev.Limit > 0) {
		return
	}
	l := d.shared
	l.limit, l.availableAt = ev.Limit, s.now
	l.limitShare, l.available = l.share(), 2*s.startRNG.Float64()
}

// applyFleetReport applies what other senders found out. All receive it at once, so chance spreads reactions.
// Reports end an outage known from reports alone. In one seen here, trials come no sooner than without.
func (s *Sender) applyFleetReport(ev FleetReport) {
	e, from, d := s.endpoints[ev.Endpoint], s.now-ev.Age, s.destinations[ev.Destination]
	switch {
	case ev.Kind == ReportedWait && d != nil:
		for _, o := range d.endpoints {
			if l := o.limiter; ev.Endpoint == "" || o == e {
				l.fleetWait = s.now + ev.For
				// Chance spreads the end of the wait, or one call of every sender would come at once.
				l.fleetWait += time.Duration(s.rng.Float64() * min(1e9*l.peers/l.capacity(), float64(ev.For)))
			}
		}
	case ev.Kind == GrantedShare && d != nil && d.shared != nil && !d.shared.kind.ownLimits:
		d.shared.estimate(s.now)
		d.shared.grant, d.shared.grantUntil = ev.Rate, s.now+ev.For
	case e == nil || ev.Kind == ReportedOutage && e.lastAnswered >= from:
	case ev.Kind == ReportedOutage: // senders take turns, a gap after a failed trial, so all hear of each one
		if !e.outage {
			e.outage, e.ramping, e.reportedOnly, e.outageSince = true, false, true, from
		}
		gap := min(float64(s.now-e.outageSince)*fleetTrialAges, maxFleetTrialShare*float64(s.cfg.Safety.Ramp))
		gap = max(gap, float64(s.coldGap(e, s.now))/e.limiter.peers)
		spread := min(e.limiter.peers, e.limiter.capacity()) * float64(s.pollInterval())
		e.limiter.nextTrial = s.now + time.Duration(gap+s.rng.Float64()*max(gap, spread))
		if !e.reportedOnly {
			e.limiter.nextTrial = max(e.limiter.nextTrial, e.limiter.ownTrial)
		}
	case e.outage && e.reportedOnly:
		e.outage, e.reportedOnly, e.ramping, e.rampSince = false, false, ev.Kind == ReportedRecovery, from
		e.lastSent = s.now - time.Duration(s.rng.Float64()*float64(s.coldGap(e, s.now)))
	case e.outage && ev.Kind == ReportedRecovery:
		soon := s.now + time.Duration(s.rng.Float64()*float64(s.coldGap(e, s.now)))
		e.limiter.nextTrial = min(e.limiter.nextTrial, max(e.limiter.ownTrial, soon))
	}
}

// forgetEndpoint drops an endpoint that is gone once no call is out there. Its health says nothing about
// other endpoints. The destination is kept while it has endpoints, messages or a wait.
func (s *Sender) forgetEndpoint(e *endpoint) {
	if e.state != Gone || len(e.calls) > 0 {
		return
	}
	self := func(o *endpoint) bool { return o == e }
	if s.endpoints[e.id] == e {
		delete(s.endpoints, e.id)
	}
	e.dest.endpoints, e.limiter.endpoints = slices.DeleteFunc(e.dest.endpoints, self),
		slices.DeleteFunc(e.limiter.endpoints, self)
	s.forgetDestination(e.dest)
}

func (s *Sender) forgetDestination(d *destination) {
	if len(d.endpoints) == 0 && d.openMessages == 0 && (d.shared == nil || d.shared.waitEnd <= s.now) {
		delete(s.destinations, d.id)
	}
}

func (s *Sender) destinationFor(id int) *destination {
	d := getOrCreate(s.destinations, id)
	d.id = id
	return d
}

func (s *Sender) accept(ev Request) {
	if s.messages[ev.ID] != nil {
		return
	}
	c := s.classes[ev.Class]
	if c == nil { // an unknown class gets the promises of the strictest one
		c = &Class{Name: ev.Class, Effect: Unsafe, Aim: ev.TimeLeft, Deadline: ev.TimeLeft, Worth: 1}
	}
	s.lastSeq++
	m := &message{id: ev.ID, class: c, dest: s.destinationFor(ev.Destination), seq: s.lastSeq,
		arrived: s.now, deadline: s.now + ev.TimeLeft, worth: c.Worth, trialDraw: s.rng.Float64(),
		attempts: ev.Attempts, sizeBytes: ev.SizeBytes, mayHaveRun: ev.MayHaveRun, firstSent: ev.FirstSent}
	if t := s.tenants[ev.Tenant]; t != nil {
		t.tokens, t.updatedAt = min(t.tokens+t.rate*(s.now-t.updatedAt).Seconds(), t.rate*2), s.now
		if t.tokens < 1 {
			m.worth *= s.cfg.OverShareWorth
		} else {
			t.tokens--
		}
	}
	m.dest.openMessages++
	if c.OrderedByKey && ev.HasKey {
		if len(s.keyQueues) > 2*len(s.messages)+initialWindow { // drop the empty ones whose rest has ended
			done := func(_ int64, l *keyQueue) bool { return len(l.messages) == 0 && l.restUntil <= s.now }
			maps.DeleteFunc(s.keyQueues, done)
		}
		m.keyQueue = getOrCreate(s.keyQueues, ev.Key)
		if ev.MayHaveRun { // its call may have ended with an earlier process, just now
			m.keyQueue.restUntil = s.now + s.cfg.Safety.OrderPause
		}
		m.keyQueue.messages = append(m.keyQueue.messages, m)
	}
	s.messages[m.id] = m
	s.enqueue(m)
}

func (m *message) compareQueueOrder(o *message) int {
	return cmp.Or(cmp.Compare(m.deadline, o.deadline), cmp.Compare(m.seq, o.seq))
}

func (s *Sender) enqueue(m *message) {
	at, _ := slices.BinarySearchFunc(s.queue, m, (*message).compareQueueOrder)
	s.queue = slices.Insert(s.queue, at, m)
	m.dest.queued++
}

// limiter tracks the limit of a destination, or of a separate route: reports, spends and retry-after waits.
type limiter struct {
	limit, weight             float64 // calls a second of all senders: as reported, 0 for none; as listed
	grant                     float64 // this sender's part until grantUntil; the last one after that
	grantUntil                time.Duration
	kind                      *kind
	endpoints                 []*endpoint
	peers                     float64
	limitShare, available     float64       // this sender's share; calls it may make, as of availableAt
	availableAt, reportSentAt time.Duration // reportSentAt: when the attempt with the newest report was sent
	spends                    []time.Duration
	waitEnd, fleetWait        time.Duration // end of a wait that this sender, or another one, was asked for
	nextTrial, ownTrial       time.Duration // next trial call in an outage; the same without reports
	refusals                  int           // in a row
	lastReport                LimitReport
	evenShares                float64       // even shares it may take: from 1 up to peers, as if alone
	sharesAt                  time.Duration // last change of evenShares
	successes, successRate    float64       // in the running window; calls a second in the last ones
	windowStart, lastSuccess  time.Duration
}

func (l *limiter) spend(now time.Duration) {
	l.available--
	for len(l.spends) > 0 && now-l.spends[0] > spendRetention {
		l.spends = l.spends[1:]
	}
	l.spends = append(l.spends, now)
}

// applyReport takes in the report of an attempt sent at sent. The report may not include later spends.
func (l *limiter) applyReport(r *LimitReport, sent, now time.Duration) {
	if r == nil || !(r.Rate > 0) || math.IsInf(r.Rate, 0) || !(r.LeftShare >= 0) {
		if r != nil && r.Rate == 0 {
			l.limit = 0
		}
		return
	}
	l.limit = cmp.Or(l.limit, r.Rate)
	if l.limit += limitWeight * (r.Rate - l.limit); math.Abs(r.Rate-l.limit) > limitStepShare*l.limit {
		l.limit = r.Rate // a change: a sender that calls seldom must not need many reports to follow it
	}
	if sent < l.reportSentAt || *r == l.lastReport || now < l.grantUntil {
		return // an older attempt or an unrefreshed report says nothing new
	}
	l.lastReport = *r
	for len(l.spends) > 0 && l.spends[0] <= sent {
		l.spends = l.spends[1:]
	}
	// Others do not use a limit that reads nearly full. One that reads nearly empty, or is too small for all,
	// is shared. The more senders there are, the nearer to full it must read before one acts as if alone. A
	// report that shows room for a call allows one call, since it includes the spends of all senders.
	left := min(r.LeftShare, 1)
	room := left * l.limit * l.kind.burstSeconds
	l.evenShares *= math.Exp(excessGrowthRate * min(now-l.sharesAt, maxGrowthTime).Seconds() *
		max(left-steadyShare, 0))
	l.evenShares, l.sharesAt = max(min(l.evenShares, l.peers, math.Pow(l.peers, left/steadyShare)), 1), now
	alone := min(math.Pow(left, 2*math.Log2(l.peers))*min(l.limit*l.kind.burstSeconds/l.peers, 1), l.excess())
	l.limitShare = alone + (1-alone)*l.share()
	l.available = max(room*l.limitShare, l.excess()*l.sparseness()*min(room, 1)) - float64(len(l.spends))
	l.availableAt, l.reportSentAt = now, sent
}

// share is the part of the limit that a sender counts on. Few of many senders call at a time, so it starts at
// one call in defaultBurstSeconds. It falls with the excess to an even share. A success does not raise the
// excess again: under a limit that refuses calls, each sender succeeds now and then. This is a disadvantage
// where one of a few senders gets much more traffic than the others.
func (l *limiter) share() float64 {
	even := 1 / l.peers
	even *= 1 - unusedShare*(1-l.excess())*max(1-2*even, 0)
	return even + l.excess()*l.sparseness()*(1-even)/max(l.capacity()*defaultBurstSeconds, 1)
}

// excess returns 1 for a sender that may take as much as if alone, and 0 for an even share.
func (l *limiter) excess() float64 { return (l.evenShares - 1) / max(l.peers-1, 1) }

// sparseness is near 1 with far more senders than calls in defaultBurstSeconds, where each calls rarely and
// few call at the same time. It is 0 where each calls all the time.
func (l *limiter) sparseness() float64 { return max(1-2*l.capacity()*defaultBurstSeconds/l.peers, 0) }

// applyRefusal sets the estimate to zero and starts a wait if the refusal asks for one. A longer wait
// stands. Many senders are refused at one moment, so chance shifts the refill by up to half a call.
func (l *limiter) applyRefusal(wait, now time.Duration, first bool, chance float64) {
	l.refusals++
	l.evenShares, l.sharesAt = 1+(l.evenShares-1)*excessShrinkFactor, now
	l.available, l.availableAt, l.reportSentAt, l.limitShare = 0.5-chance, now+wait, now,
		l.share()/(1+l.sparseness()*(chance-0.5))
	if first {
		l.kind.burstSeconds = max(l.kind.burstSeconds*burstShrinkFactor, minBurstSeconds)
	}
	if wait > 0 {
		l.waitEnd = max(l.waitEnd, now+wait)
	}
}

// estimate returns the calls that this sender may make: the newest reported value, less the spends since
// then, plus this sender's share of the refill, and at most a full allowance.
func (l *limiter) estimate(now time.Duration) float64 {
	granted := now < l.grantUntil
	if !granted && l.limit == 0 && (l.refusals == 0 || l.sparseness() == 0) {
		return math.Inf(1)
	}
	rate, maxAvailable := l.capacity()*l.limitShare, max(l.capacity()*l.kind.burstSeconds, 1)
	if granted { // little of a grant is saved, since other senders get what is not used
		rate, maxAvailable = l.grant, math.Ceil(l.grant*minBurstSeconds)
	}
	l.available = min(l.available+rate*max(now-l.availableAt, 0).Seconds(), maxAvailable)
	l.availableAt = max(now, l.availableAt)
	return l.available
}

// capacity is what a warm destination takes from all senders, in calls a second, as a lower estimate.
func (l *limiter) capacity() float64 { return cmp.Or(l.limit, l.weight, max(l.successRate*l.peers, 1)) }

// endpoint is one address of a destination, with its health.
type endpoint struct {
	id, zone                   string
	dest                       *destination
	limiter                    *limiter
	state                      MembershipState
	calls                      []*call         // out, in order of sending
	idleSince                  []time.Duration // start of idleness of each idle connection, oldest first
	meanSeconds, spreadSeconds float64         // of the latency; 0 before the first call
	window                     float64         // calls that may be out while no limit is known
	tieBreak                   float64         // random extra cost
	lastSent                   time.Duration
	lastAnswered               time.Duration // sending time of the newest call with a success
	failures, refusals         int           // in a row
	failureShare               float64       // smoothed
	outage, ramping            bool
	reportedOnly               bool          // the outage is known from other senders alone
	failingSince               time.Duration // sending time of the first failure in a row
	outageSince                time.Duration // when the outage was first seen
	rampSince                  time.Duration
}

// missedAfter is how long a call may take before it counts as missed.
func (s *Sender) missedAfter(e *endpoint) time.Duration {
	if e.meanSeconds == 0 {
		return s.cfg.ConnectTimeout + s.cfg.Classes[0].Aim/2
	}
	seconds := max(e.meanSeconds+missedAfterSpreads*e.spreadSeconds, missedAfterMeans*e.meanSeconds)
	return time.Duration(seconds * float64(time.Second))
}

// isSilent reports whether calls are missed and no later one is answered. A destination that hangs, is
// unreachable or very slow must not fill the call slots. Disadvantage: widely varying latency slows calls.
func (s *Sender) isSilent(e *endpoint) bool {
	missed := min(e.failures, 1)
	for _, c := range e.calls {
		if c.sentAt > e.lastAnswered && s.now-c.sentAt > s.missedAfter(e) {
			missed++
		}
	}
	return missed >= failureStreak
}

// coldGap is the mean time between two calls of this sender at time at to an endpoint that is in an outage,
// or cold after one. It covers trial calls, refused calls and all others. Let B be the calls in OverloadFor
// that push the destination over. Senders are at fault when two thirds of B or more come from those that saw
// the outage. Each of two bounds prevents this without knowing the end of the outage; the smaller gap is
// used. With many senders, small destinations get few trial calls soon after their return.
//   - Budget, when most senders saw the outage. They may send B less the calls of others. Those do most
//     harm at a third of B, and are at most P/eA from P senders at age A, at any demand. The budget is cut by
//     a standard deviation: sqrt(m) for m independent calls, sqrt(P)/2 for P senders with spaced calls.
//     In an outage all share it. In the ramp, only senders share it that can have several messages in twice
//     the age, since no sender is in both.
//   - Sparse trials, when few saw the outage: sparseTrialAges ages apart, with an age of at least a fifth of
//     the ramp time t. To f first calls a second, senders that saw it add f (1 + ln(A/t)) / sparseTrialAges,
//     f/2 at A = 4 t, or f in the ramp. This is half of the 2 f that make two thirds, at any capacity.
func (s *Sender) coldGap(e *endpoint, at time.Duration) time.Duration {
	f, peers, warm := s.cfg.Safety, float64(s.cfg.Peers), s.cfg.Safety.MinStartCapacityShare
	if e.ramping && f.Ramp > 0 {
		warm = min(1, warm+(1-warm)*float64(at-e.rampSince)/float64(f.Ramp))
		if s.now < e.limiter.grantUntil { // the grants divide what the destination bears
			return time.Duration(1e9 / max(e.limiter.grant*warm, 1e-3))
		}
		at = e.rampSince
	}
	age, rate, tip := max(at-e.outageSince, f.Ramp/4).Seconds(), e.limiter.capacity(), f.OverloadFor.Seconds()
	expectedCalls := 2 * rate * age / peers
	fallRate := rate * f.OverloadMultiple * warm
	budget := tip * (fallRate - min(peers/age/math.E, fallRate/3))
	safeBudget := max(math.Pow(math.Sqrt(budget+0.25)-0.5, 2), budget-math.Sqrt(peers)/2)
	listed, outages, failing := 0.0, 0.0, 1.0
	for _, o := range e.limiter.endpoints {
		if o.state == Listed {
			listed++
		}
		if o.outage {
			outages++
		}
		if o != e && o.failures > 0 {
			failing++
		}
	}
	share, sparse := 1.0, sparseTrialAges*failing*max(at-e.outageSince, f.Ramp/5).Seconds()
	if noCalls := math.Exp(-expectedCalls); e.ramping {
		share, outages = max(1-noCalls-expectedCalls*noCalls, 1e-3), 1
		sparse = listed * share * peers / (rate * noCalls)
	}
	gap := min(max(listed/max(outages, 1), 1)*tip*peers*share/max(safeBudget, 1e-3), sparse)
	return time.Duration(float64(time.Second) * gap)
}

// recordFailure notes a failed call. Calls missed at all endpoints alike point to the network or this sender,
// so an outage needs a longer streak then. When most destinations fail at once, each gets a few more calls.
func (s *Sender) recordFailure(e *endpoint, c *call, ev Outcome) {
	if c.sentAt >= e.lastAnswered { // otherwise a later call was answered, and the endpoint works
		if e.failures++; e.failures == 1 {
			e.failingSince = c.sentAt
		}
	}
	missed := ev.Status == TimedOut || ev.Status == Cancelled
	e.failureShare += failureWeight * (1 - e.failureShare)
	streak := failureStreak
	if s.withoutRecentSuccess(e) {
		streak = 1
	}
	if missed { // by the share of missed calls before this one
		streak = max(streak, int(math.Ceil(math.Log(maxChanceProbability)/math.Log(s.missedShare))))
	}
	if missed && !e.outage {
		s.missedShare += missedWeight * (1 - s.missedShare)
	}
	siblingOut := e.siblingInOutage()
	if siblingOut {
		if len(e.calls) == 0 { // otherwise the outcomes of its calls decide
			streak--
		}
	}
	if e.outage || e.failures >= streak || e.failureShare > maxFailureShare+s.missedShare/2 {
		s.markOutage(e)
		// Most outages take all endpoints: those without an answer since are out, too. This endpoint may fail
		// alone if an idle connection was dropped unseen or a new one was refused for lack of room.
		noRoom := ev.Status == ConnectFailed && 2*ev.Latency < s.cfg.ConnectTimeout && !siblingOut
		alone := noRoom || c.idleFor > 0 && ev.Status != Errored || e.limiter.sparseness() == 0
		for _, o := range e.limiter.endpoints {
			if !alone && !o.outage && !o.ramping && o.lastAnswered < e.failingSince {
				s.markOutage(o)
			}
		}
	}
}

// siblingInOutage reports whether another listed endpoint with the same limiter is in an outage.
func (e *endpoint) siblingInOutage() bool {
	return slices.ContainsFunc(e.limiter.endpoints, func(o *endpoint) bool {
		return o != e && o.outage && o.state == Listed
	})
}

// markOutage starts or continues an outage. Trial calls go one at a time, with growing gaps within the cold
// budget, since nothing announces the end. Chance spreads senders that must wait until the same moment.
func (s *Sender) markOutage(e *endpoint) {
	if !e.outage && !e.ramping {
		e.outageSince = s.now
	}
	if !e.outage {
		s.log("out: " + e.id)
	}
	e.outage, e.ramping, e.reportedOnly = true, false, false
	opens, maxGap := max(s.now, e.limiter.waitEnd), time.Duration(maxTrialShare*float64(s.cfg.Safety.Ramp))
	gap := max(min((opens-e.outageSince)/2, maxGap), s.coldGap(e, opens))
	chance := s.rng.Float64()
	if opens == s.now {
		chance = 1 + (0.5+e.limiter.sparseness())*(chance-0.5)
	}
	e.limiter.nextTrial = opens + time.Duration(chance*float64(gap))
	e.limiter.ownTrial = e.limiter.nextTrial
}

// withoutRecentSuccess reports rare calls and no success in OverloadFor: a second failure would come late.
func (s *Sender) withoutRecentSuccess(e *endpoint) bool {
	return s.now-e.limiter.lastSuccess > s.cfg.Safety.OverloadFor && e.limiter.sparseness() > 0
}

// recordSuccess notes a success. After an outage the endpoint is cold and its ramp starts.
func (s *Sender) recordSuccess(e *endpoint, sent, latency time.Duration) {
	e.failures, e.refusals = 0, 0
	s.missedShare -= missedWeight * s.missedShare
	e.failureShare -= failureWeight * e.failureShare
	e.lastAnswered = max(e.lastAnswered, sent)
	l, now, window := e.limiter, s.now, max(s.cfg.Safety.OverloadFor, time.Second)
	if now-l.windowStart >= window {
		if l.windowStart > 0 {
			l.successRate = max(l.successRate*0.9,
				(l.successes-l.sparseness()*math.Sqrt(l.successes))/(now-l.windowStart).Seconds())
		}
		l.successes, l.windowStart = 0, now
	}
	l.successes++
	l.lastSuccess, l.refusals, l.kind.burstSeconds = s.now, 0,
		min(l.kind.burstSeconds*burstGrowthFactor, defaultBurstSeconds)
	e.recordLatency(latency)
	e.window += 1 / e.window
	if e.outage {
		e.outage, e.ramping, e.rampSince, e.failureShare = false, true, s.now, rampFailureShare
		s.log("back, ramping: " + e.id)
	}
}

// recordLatency updates the usual latency. Without an answer it gets the time so far, a lower bound.
func (e *endpoint) recordLatency(latency time.Duration) {
	x := latency.Seconds()
	if e.meanSeconds == 0 {
		e.meanSeconds, e.spreadSeconds = x, x/2
	}
	e.spreadSeconds += latencyWeight * (math.Abs(x-e.meanSeconds) - e.spreadSeconds)
	e.meanSeconds += latencyWeight * (x - e.meanSeconds)
}

// recordRefusal notes a refused call. A long wait, or several refusals in a row, mean an outage of the
// destination, with all endpoints that share its limiter.
func (s *Sender) recordRefusal(e *endpoint, wait time.Duration) {
	e.limiter.applyRefusal(wait, s.now, e.refusals == 0 && !e.outage && !e.ramping, s.rng.Float64())
	e.refusals++
	maxStreak, tip := refusalStreak, s.cfg.Safety.OverloadFor
	if s.withoutRecentSuccess(e) { // rare callers with one refusal each would push over a cold one
		maxStreak = 1
	}
	if e.outage || wait > tip || e.refusals >= maxStreak && s.now-e.limiter.lastSuccess > tip {
		for _, o := range e.limiter.endpoints {
			s.markOutage(o)
		}
	}
}

// joinsCall reports whether a message may join a call that starts in this step, at no spend and no slot. To
// an endpoint that is out or cold each message goes alone, since a call weighs more with each message.
func (s *Sender) joinsCall(e *endpoint) bool {
	n := len(e.calls)
	return n > 0 && e.calls[n-1].sentAt == s.now && e.calls[n-1].pending < e.limiter.kind.maxBundle &&
		!e.outage && !e.ramping
}

func (s *Sender) canSend(m *message, e *endpoint) bool {
	maxCalls := max(int(maxDestinationShare*float64(s.cfg.MaxCalls)), 1)
	switch {
	case e.state != Listed, m.mayHaveRun && m.class.Effect == Keyed && m.class.ZoneScope && e.zone != m.zone:
		return false
	case s.joinsCall(e):
		return true
	case s.callsOut >= s.cfg.MaxCalls, m.dest.callsOut >= maxCalls, s.now < e.limiter.fleetWait,
		s.now < e.limiter.waitEnd+s.cfg.Resolution && e.limiter.waitEnd > 0, e.limiter.estimate(s.now) < 1:
		return false
	}
	out := len(e.calls)
	if e.outage {
		late := (s.now - m.arrived).Seconds() > (m.deadline-m.arrived).Seconds()*(0.25+m.trialDraw/2)
		return out == 0 && s.now >= e.limiter.nextTrial && (m.class.Effect != Unsafe || late)
	}
	e.ramping = e.ramping && s.now-e.rampSince < s.cfg.Safety.Ramp
	if e.ramping && s.now-e.lastSent < s.coldGap(e, s.now) {
		return false
	}
	if s.isSilent(e) {
		gap := s.missedAfter(e)
		return s.now-e.lastSent >= gap && m.dest.callsOut < initialWindow
	}
	return e.limiter.limit > 0 || float64(out) < e.window
}

func (e *endpoint) idleConnections(s *Sender) int {
	for len(e.idleSince) > 0 && s.now-e.idleSince[0] >= s.cfg.KeepAlive {
		e.idleSince = e.idleSince[1:]
	}
	return len(e.idleSince)
}

// cost combines prices and the likely time to deliver, to compare endpoints.
func (s *Sender) cost(m *message, e *endpoint) float64 {
	cost := e.tieBreak + latencyPrice*e.meanSeconds*float64(len(e.calls)+1)/m.class.Aim.Seconds()
	if e.limiter.kind.ownLimits {
		cost += s.fees[e.zone]
	}
	if e.zone != s.cfg.Zone {
		cost += s.cfg.Prices.CrossZone
	}
	if e.idleConnections(s) == 0 && !s.joinsCall(e) {
		cost += s.cfg.Prices.Handshake
	}
	return cost
}

// dispatch sends what it can, earliest deadline first. A message that can no longer make its aim yields to
// those that can. This matters when a destination has more queued than it takes: order by deadline alone
// would make every message late. The disadvantage: late messages may never be sent.
func (s *Sender) dispatch() {
	for _, late := range []bool{false, true} {
		s.queue = slices.DeleteFunc(s.queue, func(m *message) bool {
			return m.missesAim(s.now) == late && s.trySend(m)
		})
	}
}

// missesAim reports whether an answer after the destination's usual latency would come after the aim.
func (m *message) missesAim(now time.Duration) bool {
	usual := 0.0
	for i, e := range m.dest.endpoints {
		if i == 0 || e.meanSeconds < usual {
			usual = e.meanSeconds
		}
	}
	return now+time.Duration(usual*float64(time.Second)) > m.deadline-m.class.Deadline+m.class.Aim
}

// trySend sends a message to the cheapest endpoint that may take it now, if there is one.
func (s *Sender) trySend(m *message) bool {
	if s.now < m.notBefore || !m.atHeadOfKey(s.now) {
		return false
	}
	var best *endpoint
	minCost := math.Inf(1)
	for _, e := range m.dest.endpoints {
		if c := s.cost(m, e); c < minCost && s.canSend(m, e) {
			best, minCost = e, c
		}
	}
	if best != nil {
		s.send(m, best)
	}
	return best != nil
}

// atHeadOfKey reports whether a message is first among those of its key, in classes with an order.
func (m *message) atHeadOfKey(now time.Duration) bool {
	return m.keyQueue == nil || m.keyQueue.messages[0] == m && (m.attempts > 0 || now >= m.keyQueue.restUntil)
}

func (s *Sender) send(m *message, e *endpoint) {
	m.attempts, m.dest.queued = m.attempts+1, m.dest.queued-1
	s.inFlight = append(s.inFlight, m)
	if !s.joinsCall(e) {
		c := &call{endpoint: e, sentAt: s.now}
		m.dest.callsOut, s.callsOut = m.dest.callsOut+1, s.callsOut+1
		if n := e.idleConnections(s); n > 0 {
			c.idleFor = max(s.now-e.idleSince[n-1], 1)
			e.idleSince = e.idleSince[:n-1]
		}
		e.calls = append(e.calls, c)
		if e.lastSent = s.now; e.outage { // the outcome decides about the next trial call
			e.limiter.nextTrial = s.now + s.coldGap(e, s.now)
		}
		e.limiter.spend(s.now)
	}
	m.call = e.calls[len(e.calls)-1]
	m.call.pending++
	s.emit(Send{ID: m.id, Endpoint: e.id, Timeout: s.callTimeout(m, e)})
}

// callTimeout is the time after which a call ends for a retry; 0: it waits for an answer (see reclaimSlot).
func (s *Sender) callTimeout(m *message, e *endpoint) time.Duration {
	limit := max(time.Duration(minTimeoutAims*float64(m.class.Aim)), s.missedAfter(e))
	if m.class.Effect == Unsafe && s.cfg.CanCancel || m.class.Effect == Keyed && limit > m.class.DedupTTL/2 ||
		limit >= m.deadline-s.now {
		return 0
	}
	return limit
}

// reclaimSlot cancels the longest missed call when all slots are taken and messages wait, since lost answers
// must not hold slots. The disadvantage: an unsafe message loses an answer that would still have come.
func (s *Sender) reclaimSlot() {
	if !s.cfg.CanCancel || s.callsOut < s.cfg.MaxCalls || len(s.queue) == 0 {
		return
	}
	var worst *message
	var maxLateness float64
	for _, m := range s.inFlight {
		e := m.call.endpoint
		lateness := float64(s.now-m.call.sentAt) / float64(s.missedAfter(e))
		if lateness > 1 && lateness > maxLateness && !m.call.cancelled {
			worst, maxLateness = m, lateness
		}
	}
	if worst != nil {
		worst.call.cancelled = true
		s.emit(Cancel{ID: worst.id, Attempt: worst.attempts - 1})
	}
}

func (s *Sender) recordCallEnd(e *endpoint, c *call, ev Outcome) {
	switch ev.Status {
	case OK:
		s.recordSuccess(e, c.sentAt, ev.Latency)
	case Refused:
		s.recordRefusal(e, ev.RetryAfter)
	case ConnectFailed, Errored, Reset:
		// A broken idle connection says nothing about the endpoint: the next call fails if it is down.
		if ev.Status != Reset || c.idleFor == 0 {
			s.recordFailure(e, c, ev)
		}
	case TimedOut, Cancelled:
		if c.sentAt > e.lastAnswered { // no later call was answered: slow or silent, not a lost answer
			e.recordLatency(s.now - c.sentAt)
		}
		s.recordFailure(e, c, ev)
		e.window = max(e.window*windowShrinkFactor, 1)
	}
	if ev.Status == OK || ev.Status == Refused || ev.Status == Errored {
		e.idleSince = append(e.idleSince, s.now)
	}
}

func (s *Sender) handleOutcome(ev Outcome) {
	m := s.messages[ev.ID]
	if m == nil || m.call == nil || ev.Attempt != m.attempts-1 {
		return
	}
	c, e := m.call, m.call.endpoint
	m.call = nil
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *message) bool { return o == m })
	if c.pending--; c.pending == 0 {
		m.dest.callsOut, s.callsOut = m.dest.callsOut-1, s.callsOut-1
		e.calls = slices.DeleteFunc(e.calls, func(o *call) bool { return o == c })
	}
	defer s.forgetEndpoint(e)
	e.limiter.applyReport(ev.Report, c.sentAt, s.now)
	if !c.ended { // a call counts once, whatever number of messages it carries
		c.ended = true
		s.recordCallEnd(e, c, ev)
	}
	if m.keyQueue != nil && (ev.Status == TimedOut || ev.Status == Reset || ev.Status == Cancelled) {
		m.keyQueue.restUntil = s.now + s.cfg.Safety.OrderPause
	}
	if ev.Closed || ev.Status == OK || m.closed {
		s.closeMessage(m)
		return
	}
	if ev.Status != Refused && ev.Status != ConnectFailed && ev.Status != NotSent && !m.mayHaveRun {
		m.mayHaveRun, m.firstSent, m.zone = true, c.sentAt, e.zone
	}
	m.notBefore = s.now + m.class.Aim*time.Duration(m.attempts)/16
	s.enqueue(m) // expire ends the message in this step if it may not be sent again
}

// repeatable reports whether the message may run once more. A keyed one may while repeats are dropped.
func (s *Sender) repeatable(m *message) bool {
	return !m.mayHaveRun || m.class.Effect == Safe ||
		m.class.Effect == Keyed && s.now+2*s.cfg.Resolution < m.firstSent+m.class.DedupTTL
}

// safeToReturn reports whether the client could submit the message again without harm.
func (s *Sender) safeToReturn(m *message) bool {
	return s.repeatable(m) && !(m.mayHaveRun && m.class.Effect == Keyed && m.class.ZoneScope)
}

// finish gives the final answer to a message without an attempt out: a Refuse where that is safe.
func (s *Sender) finish(m *message, wait time.Duration) {
	if s.safeToReturn(m) {
		if !s.cfg.SendRetryAfter {
			wait = 0
		}
		s.emit(Refuse{ID: m.id, RetryAfter: min(wait, s.cfg.MaxRetryAfter)})
	} else {
		s.emit(Fail{ID: m.id})
	}
	s.closeMessage(m)
}

// closeMessage forgets an ended message. While an attempt is out, the message stays in its key queue.
func (s *Sender) closeMessage(m *message) {
	if m.closed = true; m.call != nil {
		return
	}
	delete(s.messages, m.id)
	m.dest.openMessages--
	s.forgetDestination(m.dest)
	if l := m.keyQueue; l != nil {
		l.messages = slices.DeleteFunc(l.messages, func(o *message) bool { return o == m })
	}
}

// earliestSend estimates when a message can go that has others ahead. No call starts during a wait, or before
// the next trial in an outage without a call out. Those ahead go at this sender's part of the limit.
func (s *Sender) earliestSend(d *destination, ahead int) time.Duration {
	first, rate := time.Duration(math.MaxInt64), 0.0
	for i, e := range d.endpoints {
		at := max(e.limiter.waitEnd, e.limiter.fleetWait, s.now)
		if e.outage && len(e.calls) == 0 {
			at = max(at, e.limiter.nextTrial)
		}
		if e.state == Listed {
			first = min(first, at)
		}
		if l := e.limiter; l.limit == 0 {
			rate = math.Inf(1) // no report yet, or no limit
		} else if i == 0 || l.kind.ownLimits {
			rate += max(l.grant, l.limit*l.share()) * float64(max(l.kind.maxBundle, 1))
		}
	}
	if first == math.MaxInt64 { // none is listed: the next list change may bring one
		return s.now
	}
	return first + time.Duration(float64(ahead)/rate*float64(time.Second))
}

// expire ends the queued messages whose time is up, and at once those that cannot go before then. The client
// learns early when to come again.
func (s *Sender) expire() {
	ahead := map[*destination]int{} // queued messages that go first, in the order of dispatch
	for _, late := range []bool{false, true} {
		s.queue = slices.DeleteFunc(s.queue, func(m *message) bool {
			return m.missesAim(s.now) == late && s.expireMessage(m, ahead)
		})
	}
}

// expireMessage ends a due message and returns true, or counts the message as ahead of those that follow.
func (s *Sender) expireMessage(m *message, ahead map[*destination]int) bool {
	earliest := s.earliestSend(m.dest, ahead[m.dest])
	if !m.closed && m.deadline > s.now+s.pollInterval()+2*s.cfg.Resolution &&
		m.attempts < s.cfg.MaxAttempts && s.repeatable(m) && earliest < m.deadline {
		ahead[m.dest]++
		return false
	}
	m.dest.queued--
	if wait := s.cfg.MaxRetryAfter; !m.closed {
		if earliest > s.now {
			wait = earliest - s.now
		}
		s.finish(m, wait)
	}
	return true
}

// shed refuses queued messages near the hold cap, to make room for those that can go: first from the
// destination with the longest backlog for its rate, and of the least worth.
func (s *Sender) shed() {
	excess := len(s.messages) - int(shedThreshold*float64(s.holdCap))
	if excess <= 0 {
		return
	}
	weight := func(m *message) float64 {
		return (1 + s.sizeWeight*float64(m.sizeBytes)/largeMessageBytes) / (m.worth + 0.1)
	}
	lists := groupBy(s.queue, func(m *message) (*destination, bool) { return m.dest, s.safeToReturn(m) })
	for _, list := range lists { // the least worth goes first
		slices.SortStableFunc(list, func(a, b *message) int { return cmp.Compare(weight(b), weight(a)) })
	}
	for ; excess > 0 && len(lists) > 0; excess-- {
		var worst *message
		maxScore := 0.0
		for d, list := range lists {
			score := s.backlogSeconds(d) * weight(list[0])
			if worst == nil || score > maxScore || score == maxScore && list[0].compareQueueOrder(worst) < 0 {
				worst, maxScore = list[0], score
			}
		}
		s.log("hold cap near: shedding")
		removeFirst(lists, worst.dest)
		worst.dest.queued--
		s.finish(worst, time.Duration(s.backlogSeconds(worst.dest)*float64(time.Second)))
	}
	s.queue = slices.DeleteFunc(s.queue, func(m *message) bool { return m.closed })
}

// backlogSeconds estimates how many seconds a destination needs for its queued messages.
func (s *Sender) backlogSeconds(d *destination) float64 {
	rate := 0.0
	for _, e := range d.endpoints {
		r := e.limiter.capacity() * e.limiter.share() * float64(max(e.limiter.kind.maxBundle, 1))
		if !e.limiter.kind.ownLimits {
			r /= float64(len(d.endpoints))
		}
		if e.outage {
			r /= 4
		}
		rate += r
	}
	return float64(d.queued) / max(rate, 0.1)
}
