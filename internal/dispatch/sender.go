// The order of this file is that of a message's life: taking events in, the ledger that says whether a call
// can be paid for, the health of endpoints, dispatch, outcomes, final answers, admission.

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
	// pollSteps is how often a sender with open messages looks again, in resolutions: often enough that an
	// answer at the deadline is in time, rare enough to cost little.
	pollSteps = 4
	// defaultBurstSeconds is how many seconds of the reported rate a full allowance holds at first (the design's
	// window); spanShrink and spanGrow adapt it to refusals and successes, for many destinations hold less.
	defaultBurstSeconds, burstShrinkFactor, burstGrowthFactor, minBurstSeconds = 1.0, 0.8, 1.005, 0.1
	// spendRetention is how long a spend is kept for a report that may not hold it yet.
	spendRetention = 10 * time.Second
	// Shares of the newest value, in smoothing: reported limits, latencies, missed calls over all endpoints,
	// failures of one endpoint. Reports are noisy, but not by limitStep.
	limitStepShare                                          = 0.25
	limitWeight, latencyWeight, missedWeight, failureWeight = 0.3, 0.1, 0.04, 0.25
	// How much more than an even share one of many may take, its boldness, falls to refusedBold with each
	// refusal, and at once to what a report of less than steady speaks for; it grows by boldGrow of what is
	// reported above that in a second, for boldFor after a report at most: all others read it. Where it is
	// over, unused of an even share stays so, or refused calls that draw on the limit would never fade.
	excessShrinkFactor, unusedShare, steadyShare, excessGrowthRate, maxGrowthTime = 0.25, 0.1, 0.35, 0.05, 5 * time.Second
	// missedAfterSpreads and timesLate: an answer later than the usual plus so many spreads, and than so many times
	// the usual, is silence and not a slow call.
	missedAfterSpreads, missedAfterMeans = 6, 3
	// failureStreak is the least number of failures in a row that makes an outage; one less where a sibling is
	// out. Where calls are missed everywhere, it takes so many that chance explains less than failChance. So
	// do refusalStreak refusals in a row, and a smoothed share of failures over failMost.
	failureStreak, maxChanceProbability, refusalStreak, maxFailureShare = 2, 0.01, 3, 0.55
	// rampFailureShare is the share of failures that an endpoint starts its ramp with: a second one takes it out.
	rampFailureShare = 0.45
	// Tries in an outage come half its age apart, up to tryMost of the cold time, or as coldGap says. Where
	// senders hear of each other's they come fleetTry of it apart, up to fleetMost.
	maxTrialGapShare, sparseTrialAges, fleetTrialAgeShare, maxFleetTrialGapShare = 0.2, 5.0, 0.25, 0.05
	// initialWindow may be out at an endpoint at first, more with each that goes well; a time-out leaves shrink.
	initialWindow, windowShrinkFactor = 2, 0.7
	// minTimeoutAims is the least time-out of a repeatable call, and paceCost the price of the usual latency
	// against other prices, both in aims.
	// Endpoints that are alike cost up to leanMost more or less, by chance: many senders, each of which keeps
	// to the one that it has a connection to, must not all have begun with the first of the list.
	minTimeoutAims, latencyPrice, maxTieBreak = 0.6, 0.1, 1e-3
	// shedThreshold is the share of the hold cap above which held messages are shed, destinationPart the most of
	// the slots that one destination may hold.
	shedThreshold, maxDestinationShare = 0.85, 0.7
	// largeMessageBytes bytes double what a message counts in shedding where its caller says that memory is short.
	largeMessageBytes = 4096.0
	// watchRetryPause is the pause before a broken subscription is asked for again; logEvery parts log lines.
	watchRetryPause, logInterval = 2 * time.Second, time.Second
)

// trustedWeightShare is what is counted on of a listed weight.
var trustedWeightShare = map[Weights]float64{Nominal: 1, Rough: 1 / 1.5}

// Sender decides for one sender; the package comment says what its caller owes.
type Sender struct {
	settings               Settings
	now                    time.Duration
	classes                map[string]*Class
	kinds                  map[string]*kind
	fees                   map[string]float64
	tenants                map[string]*tenant
	endpoints              map[string]*endpoint
	destinations           map[int]*destination
	messages               map[string]*message
	queue                  []*message // held and without an attempt out, earliest deadline first
	inFlight               []*message // with an attempt out
	keyQueues              map[int64]*keyQueue
	callsOut               int     // calls out
	missedShare            float64 // smoothed share of missed calls over all endpoints that are not out
	lastSeq                int64
	wakeAt, logAt, watchAt time.Duration // 0: no wake pending
	actions                []Action
	rng                    *rand.Rand // spreads what many senders would do at one moment
	startRNG               *rand.Rand // the same for where they begin
	holdCap                int        // messages held at once, as the caller allows at present
	sizeWeight             float64    // how much a message's size counts against holding it on
}

// message is a request that has not ended, or that has an attempt out.
type message struct {
	id                           string
	class                        *Class
	dest                         *destination
	keyQueue                     *keyQueue
	seq                          int64
	arrived, deadline, notBefore time.Duration
	worth, trialDraw             float64
	attempts, sizeBytes          int
	call                         *call
	firstSent                    time.Duration // of the first attempt that may have run
	zone                         string        // where that attempt went
	mayHaveRun, closed           bool          // an attempt may have run
}

// call is one attempt that is out.
type call struct {
	endpoint  *endpoint
	sentAt    time.Duration
	cancelled bool          // called off
	idleFor   time.Duration // how long its connection had idled; 0 for a new one
	pending   int           // messages that it carries and whose outcome has not come
	ended     bool          // one outcome has
}

// keyQueue holds the messages of one key in order of arrival.
type keyQueue struct {
	messages  []*message
	restUntil time.Duration // no other message of the key before this
}

// tenant is a bucket that tells what comes within a tenant's share.
type tenant struct {
	rate, tokens float64
	updatedAt    time.Duration
}

// kind holds what is learned over all destinations of a kind, for one alone is met too seldom.
type kind struct {
	ownLimits    bool    // endpoints are routes apart
	burstSeconds float64 // seconds of the limit that a full allowance holds
	maxBundle    int     // messages that a call may carry
}

// destination groups the endpoints that a message may go to.
type destination struct {
	id        int
	endpoints []*endpoint
	limiter   *limiter
	callsOut  int // calls out
	queued    int // messages in the queue
	messages  int // messages that have not been forgotten
}

// New returns a Sender for these settings. The seed spreads what many senders would do at one moment.
func New(set Settings, seed int64) (*Sender, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	s := &Sender{settings: set, classes: map[string]*Class{}, kinds: map[string]*kind{},
		fees: map[string]float64{}, tenants: map[string]*tenant{}, endpoints: map[string]*endpoint{},
		destinations: map[int]*destination{}, messages: map[string]*message{}, keyQueues: map[int64]*keyQueue{},
		rng: rand.New(rand.NewPCG(uint64(seed), 0)), startRNG: rand.New(rand.NewPCG(uint64(seed), 1)),
		holdCap: set.MaxOpen}
	for i := range set.Classes {
		s.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	for _, k := range set.Kinds {
		s.kinds[k.Name] = &kind{ownLimits: k.OwnLimits, maxBundle: k.Bundle}
	}
	for _, z := range set.Zones {
		s.fees[z.Name] = z.Fee
	}
	for _, t := range set.Tenants {
		if rate := t.AllowancePerSecond / float64(s.settings.Peers); rate > 0 {
			s.tenants[t.Name] = &tenant{rate: rate, tokens: rate}
		}
	}
	return s, nil
}

// Step takes in what happened at now and returns what to do, in order; all events come in before any send.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case Members:
			s.updateMembers(ev)
		case MembersLost:
			s.watchAt = s.now + watchRetryPause
		case Recalled:
			s.restoreLimit(ev)
		case Told:
			s.applyFleetReport(ev)
		case Request:
			s.accept(ev)
		case Outcome:
			s.handleOutcome(ev)
		case HoldCap:
			s.holdCap, s.sizeWeight = min(max(ev.Messages, 1), s.settings.MaxOpen), ev.Heavy
		case Hangup:
			if m := s.messages[ev.ID]; m != nil {
				s.closeMessage(m)
			}
		}
	}
	if s.settings.OnRequest && s.now >= s.watchAt {
		s.watchAt = math.MaxInt64
		s.emit(Watch{})
	}
	s.expire()
	s.shed()
	s.dispatch()
	s.reclaimSlot()
	if s.wakeAt <= s.now && len(s.messages) > 0 { // one wake is pending while anything is open
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

func (s *Sender) pollInterval() time.Duration { return pollSteps * s.settings.Resolution }

// updateMembers keeps the list of endpoints. One that drains or is gone gets nothing new from this step on.
func (s *Sender) updateMembers(ev Members) {
	if ev.Whole {
		for _, e := range s.endpoints {
			e.state = Gone
		}
	}
	for _, row := range ev.Endpoints {
		e := s.endpoints[row.ID]
		if e == nil {
			d, k := s.destinationFor(row.Destination), getOrCreate(s.kinds, row.Kind)
			k.burstSeconds = cmp.Or(k.burstSeconds, defaultBurstSeconds)
			if d.limiter == nil || k.ownLimits {
				d.limiter = &limiter{kind: k, peers: float64(s.settings.Peers), evenShares: float64(s.settings.Peers)}
			}
			e = &endpoint{id: row.ID, destination: d, limiter: d.limiter, window: initialWindow,
				tieBreak: maxTieBreak * s.startRNG.Float64()}
			s.endpoints[row.ID] = e
			d.endpoints, e.limiter.endpoints = append(d.endpoints, e), append(e.limiter.endpoints, e)
			if e.siblingInOutage() {
				s.markOutage(e) // cold, and not the place for all that waits
			}
		}
		if row.Cold && row.State == Listed && e.state != Listed {
			e.ramping, e.rampSince = true, s.now // as after an outage
		}
		e.state, e.zone = row.State, row.Zone
		e.limiter.weight = row.Weight * trustedWeightShare[s.settings.Weights]
	}
	for _, e := range s.endpoints {
		s.forgetEndpoint(e)
	}
}

// restoreLimit goes on from a limit that an earlier process had learned: not unmet, the destination does not pass.
// Where many senders start at one moment, each with messages that it had held, their first calls are spread.
func (s *Sender) restoreLimit(ev Recalled) {
	d := s.destinations[ev.Destination]
	if d == nil || d.limiter == nil || d.limiter.kind.ownLimits || d.limiter.limit > 0 || !(ev.Limit > 0) {
		return
	}
	l := d.limiter
	l.limit, l.availableAt = ev.Limit, s.now
	l.limitShare, l.available = l.share(), 2*s.startRNG.Float64()
}

// applyFleetReport takes in what other senders found out. All hear it at one time, so chance spreads what they do.
// An outage that others alone met ends by their word; one of its own it tries no sooner than alone.
func (s *Sender) applyFleetReport(ev Told) {
	e, from, d := s.endpoints[ev.Endpoint], s.now-ev.Age, s.destinations[ev.Destination]
	switch {
	case ev.Kind == ToldWait && d != nil:
		for _, o := range d.endpoints {
			if l := o.limiter; ev.Endpoint == "" || o == e {
				l.fleetWait = s.now + ev.For
				// All that held at once would be as many calls as there are senders.
				l.fleetWait += time.Duration(s.rng.Float64() * min(1e9*l.peers/l.capacity(), float64(ev.For)))
			}
		}
	case ev.Kind == ToldShare && d != nil && d.limiter != nil && !d.limiter.kind.ownLimits:
		d.limiter.estimate(s.now)
		d.limiter.grant, d.limiter.grantUntil = ev.Rate, s.now+ev.For
	case e == nil || ev.Kind == ToldOut && e.lastAnswered >= from:
	case ev.Kind == ToldOut: // all try as one: a while after the last failed, and so that all hear of each
		if !e.outage {
			e.outage, e.ramping, e.reportedOnly, e.outageSince = true, false, true, from
		}
		gap := min(float64(s.now-e.outageSince)*fleetTrialAgeShare, maxFleetTrialGapShare*float64(s.settings.Safety.Cold))
		gap = max(gap, float64(s.coldGap(e, s.now))/e.limiter.peers)
		apart := min(e.limiter.peers, e.limiter.capacity()) * float64(s.pollInterval())
		e.limiter.nextTrial = s.now + time.Duration(gap+s.rng.Float64()*max(gap, apart))
		if !e.reportedOnly {
			e.limiter.nextTrial = max(e.limiter.nextTrial, e.limiter.ownTrial)
		}
	case e.outage && e.reportedOnly:
		e.outage, e.reportedOnly, e.ramping, e.rampSince = false, false, ev.Kind == ToldBack, from
		e.lastSent = s.now - time.Duration(s.rng.Float64()*float64(s.coldGap(e, s.now)))
	case e.outage && ev.Kind == ToldBack:
		soon := s.now + time.Duration(s.rng.Float64()*float64(s.coldGap(e, s.now)))
		e.limiter.nextTrial = min(e.limiter.nextTrial, max(e.limiter.ownTrial, soon))
	}
}

// forgetEndpoint ends what is kept of an endpoint that is gone, once no call is out there: what it was like says
// nothing of another at its destination. A destination's log lasts while anybody is listed or waits there.
func (s *Sender) forgetEndpoint(e *endpoint) {
	if e.state != Gone || len(e.calls) > 0 {
		return
	}
	self := func(o *endpoint) bool { return o == e }
	delete(s.endpoints, e.id)
	e.destination.endpoints, e.limiter.endpoints = slices.DeleteFunc(e.destination.endpoints, self), slices.DeleteFunc(e.limiter.endpoints, self)
	s.forgetDestination(e.destination)
}

func (s *Sender) forgetDestination(d *destination) {
	if len(d.endpoints) == 0 && d.messages == 0 && (d.limiter == nil || d.limiter.waitUntil <= s.now) {
		delete(s.destinations, d.id)
	}
}

func (s *Sender) destinationFor(id int) *destination {
	d := getOrCreate(s.destinations, id)
	d.id = id
	return d
}

// accept takes a message in.
func (s *Sender) accept(ev Request) {
	if s.messages[ev.ID] != nil {
		return
	}
	c := s.classes[ev.Class]
	if c == nil { // a class that the settings don't name gets the promises of the strictest one
		c = &Class{Name: ev.Class, Effect: Unsafe, Aim: ev.TimeLeft, Deadline: ev.TimeLeft, Worth: 1}
	}
	s.lastSeq++
	m := &message{id: ev.ID, class: c, dest: s.destinationFor(ev.Destination), seq: s.lastSeq,
		arrived: s.now, deadline: s.now + ev.TimeLeft, worth: c.Worth, trialDraw: s.rng.Float64(),
		attempts: ev.Attempts, sizeBytes: ev.Size, mayHaveRun: ev.MayHaveRun, firstSent: ev.FirstSent}
	if t := s.tenants[ev.Tenant]; t != nil {
		t.tokens, t.updatedAt = min(t.tokens+t.rate*(s.now-t.updatedAt).Seconds(), t.rate*2), s.now
		if t.tokens < 1 {
			m.worth *= s.settings.OverShareWorth
		} else {
			t.tokens--
		}
	}
	m.dest.messages++
	if c.OrderedByKey && ev.HasKey {
		if len(s.keyQueues) > 2*len(s.messages)+initialWindow { // empty ones are over once their rest is
			over := func(_ int64, l *keyQueue) bool { return len(l.messages) == 0 && l.restUntil <= s.now }
			maps.DeleteFunc(s.keyQueues, over)
		}
		m.keyQueue = getOrCreate(s.keyQueues, ev.Key)
		m.keyQueue.messages = append(m.keyQueue.messages, m)
	}
	s.messages[m.id] = m
	s.enqueue(m)
}

// compare is that of the queue.
func (m *message) compare(o *message) int {
	return cmp.Or(cmp.Compare(m.deadline, o.deadline), cmp.Compare(m.seq, o.seq))
}

func (s *Sender) enqueue(m *message) {
	at, _ := slices.BinarySearchFunc(s.queue, m, (*message).compare)
	s.queue = slices.Insert(s.queue, at, m)
	m.dest.queued++
}

// limiter is the log of a destination, or of a route where routes are apart: spends, reports and told waits.
type limiter struct {
	limit, weight             float64 // calls a second: as reported, 0 where none is; as listed
	grant                     float64 // ours of it, as the fleet deals it until grantEnds, and what it was after that
	grantUntil                time.Duration
	kind                      *kind
	endpoints                 []*endpoint
	peers                     float64
	limitShare, available     float64       // our part; finalized figure less later spends, as of at
	availableAt, reportSentAt time.Duration // since: when the attempt was sent that brought the figure
	spends                    []time.Duration
	waitUntil                 time.Duration
	fleetWait                 time.Duration // as other senders were told to wait
	nextTrial, ownTrial       time.Duration // at an endpoint that is out; the same but for what other senders told
	refusals                  int           // in a row
	lastReport                Report        // the newest
	evenShares                float64       // how many even shares may be taken: from 1 up to peers, as if alone
	evenSharesAt              time.Duration // when that changed
	successes, successRate    float64       // successes in the running window; the rate seen
	windowStart, lastSuccess  time.Duration // of the window; of the newest success
}

func (l *limiter) spend(now time.Duration) {
	l.available--
	for len(l.spends) > 0 && now-l.spends[0] > spendRetention {
		l.spends = l.spends[1:]
	}
	l.spends = append(l.spends, now)
}

// applyReport takes in a report that came with an attempt sent at sent. Later spends may not be in it.
func (l *limiter) applyReport(r *Report, sent, now time.Duration) {
	if r == nil || !(r.Limit > 0) || math.IsInf(r.Limit, 0) || !(r.Left >= 0) {
		if r != nil && r.Limit == 0 {
			l.limit = 0
		}
		return
	}
	l.limit = cmp.Or(l.limit, r.Limit)
	if l.limit += limitWeight * (r.Limit - l.limit); math.Abs(r.Limit-l.limit) > limitStepShare*l.limit {
		l.limit = r.Limit // it has changed, and who calls seldom must not take many calls to believe it
	}
	if sent < l.reportSentAt || *r == l.lastReport || now < l.grantUntil {
		return // an older attempt tells nothing new, nor do reports that are refreshed now and then
	}
	l.lastReport = *r
	for len(l.spends) > 0 && l.spends[0] <= sent {
		l.spends = l.spends[1:]
	}
	// What reads nearly full is not drawn on by others; what reads nearly empty, or can't go round, is
	// shared. The more senders read the same, the nearer to full it must read before one draws on it as if
	// alone. A report that shows room for a call pays for one: it holds everybody's spends.
	left := min(r.Left, 1)
	room := left * l.limit * l.kind.burstSeconds
	l.evenShares *= math.Exp(excessGrowthRate * min(now-l.evenSharesAt, maxGrowthTime).Seconds() * max(left-steadyShare, 0))
	l.evenShares, l.evenSharesAt = max(min(l.evenShares, l.peers, math.Pow(l.peers, left/steadyShare)), 1), now
	alone := min(math.Pow(left, 2*math.Log2(l.peers))*min(l.limit*l.kind.burstSeconds/l.peers, 1), l.excess())
	l.limitShare = alone + (1-alone)*l.share()
	l.available = max(room*l.limitShare, l.excess()*l.sparseness()*min(room, 1)) - float64(len(l.spends))
	l.availableAt, l.reportSentAt = now, sent
}

// share is the part of the limit that a sender counts on. Of many senders few ask at a time: it starts at
// one call a budget window, and falls with its boldness down to an even share. A success does not give that
// back, for where calls are refused at all each sender has one now and then. It hurts where one of a few
// senders gets much more traffic than the others.
func (l *limiter) share() float64 {
	even := 1 / l.peers
	even *= 1 - unusedShare*(1-l.excess())*max(1-2*even, 0)
	return even + l.excess()*l.sparseness()*(1-even)/max(l.capacity()*defaultBurstSeconds, 1)
}

// excess is the boldness as a share: 1 for who may take as much as if alone, 0 for an even share.
func (l *limiter) excess() float64 { return (l.evenShares - 1) / max(l.peers-1, 1) }

// sparseness is near 1 where there are far more senders than calls in a budget window, so that each calls
// rarely and few others at the same time, and 0 where each calls all the time.
func (l *limiter) sparseness() float64 { return max(1-2*l.capacity()*defaultBurstSeconds/l.peers, 0) }

// recordRefusal logs a refusal: a finalized nought, and a wait if one was told. A longer wait stands. Chance
// spreads the refill by half a call more or less, for many senders are refused at one moment.
func (l *limiter) recordRefusal(wait, now time.Duration, first bool, chance float64) {
	l.refusals++
	l.evenShares, l.evenSharesAt = 1+(l.evenShares-1)*excessShrinkFactor, now
	l.available, l.availableAt, l.reportSentAt, l.limitShare = 0.5-chance, now+wait, now, l.share()/(1+l.sparseness()*(chance-0.5))
	if first {
		l.kind.burstSeconds = max(l.kind.burstSeconds*burstShrinkFactor, minBurstSeconds)
	}
	if wait > 0 {
		l.waitUntil = max(l.waitUntil, now+wait)
	}
}

// estimate is the newest finalized figure, less the spends since, plus what the limit has refilled since
// (our part of it, for other senders draw on it too), never above a full allowance.
func (l *limiter) estimate(now time.Duration) float64 {
	granted := now < l.grantUntil
	if !granted && l.limit == 0 && (l.refusals == 0 || l.sparseness() == 0) {
		return math.Inf(1)
	}
	rate, maxAvailable := l.capacity()*l.limitShare, max(l.capacity()*l.kind.burstSeconds, 1)
	if granted { // little of a grant is saved: others have what is not used
		rate, maxAvailable = l.grant, math.Ceil(l.grant*minBurstSeconds)
	}
	l.available = min(l.available+rate*max(now-l.availableAt, 0).Seconds(), maxAvailable)
	l.availableAt = max(now, l.availableAt)
	return l.available
}

// capacity is what the destination takes from all senders when warm, at least, as far as can be told.
func (l *limiter) capacity() float64 { return cmp.Or(l.limit, l.weight, max(l.successRate*l.peers, 1)) }

// endpoint is one address of a destination, with its health.
type endpoint struct {
	id, zone                   string
	destination                *destination
	limiter                    *limiter
	state                      State
	calls                      []*call         // out, in order of sending
	idleSince                  []time.Duration // idle connections, by the time they fell idle
	meanSeconds, spreadSeconds float64         // usual latency in seconds; 0 = unmet
	window                     float64         // calls that may be out while no limit is known
	tieBreak                   float64         // decides where all else is equal
	lastSent                   time.Duration
	lastAnswered               time.Duration // sending time of the newest call that was answered well
	failures, refusals         int           // in a row
	failureShare               float64       // smoothed share of failures
	outage, ramping            bool
	reportedOnly               bool          // the outage is known from other senders alone
	failingSince               time.Duration // sending time of the first failure in a row
	outageSince                time.Duration // when the outage was first seen
	rampSince                  time.Duration
}

// missedAfter is how long an answer may take before it is missed.
func (s *Sender) missedAfter(e *endpoint) time.Duration {
	if e.meanSeconds == 0 {
		return s.settings.ConnectTimeout + s.settings.Classes[0].Aim/2
	}
	late := max(e.meanSeconds+missedAfterSpreads*e.spreadSeconds, missedAfterMeans*e.meanSeconds)
	return time.Duration(late * float64(time.Second))
}

// isSilent says that calls are missed and that no later one was answered: a destination that hangs, is
// unreachable or very slow must not draw calls into the slots. It hurts one whose answers vary wildly.
func (s *Sender) isSilent(e *endpoint) bool {
	missed := min(e.failures, 1)
	for _, c := range e.calls {
		if c.sentAt > e.lastAnswered && s.now-c.sentAt > s.missedAfter(e) {
			missed++
		}
	}
	return missed >= failureStreak
}

// coldGap is the mean time between two of our calls to an endpoint in an outage, or cold from one, at time
// at; first tries, others and calls turned away are all paid from it. Let B be the calls in a tip window that
// push the destination over. It is our fault when two thirds of B and more are from senders that saw the
// outage. Either of two bounds prevents it, and needs no word of when the outage ends:
//   - Budget, where most saw it: they send B less what others send, of which a third of B does most harm, and
//     at most P/eA come, at whatever demand, at age A. Less a standard deviation for chance: sqrt(m) of m
//     independent calls, sqrt(P)/2 of P senders that space theirs. In an outage all share it; in the ramp
//     those that can have several messages from twice its age, for no sender is in both.
//   - Sparse tries, where few saw it: sparseTries ages apart, the age being a fifth of the cold time t at
//     least. To f first calls a second, those that saw it add f (1 + ln(A/t)) / sparseTries, f/2 at A = 4 t,
//     or f in the ramp: half of the 2 f that make two thirds, whatever the capacity.
//
// It hurts messages for small destinations of many senders: few get a try soon after it is back.
func (s *Sender) coldGap(e *endpoint, at time.Duration) time.Duration {
	f, peers, warm := s.settings.Safety, float64(s.settings.Peers), s.settings.Safety.StartCapacity
	if e.ramping && f.Cold > 0 {
		warm = min(1, warm+(1-warm)*float64(at-e.rampSince)/float64(f.Cold))
		if s.now < e.limiter.grantUntil { // all divide what it bears
			return time.Duration(1e9 / max(e.limiter.grant*warm, 1e-3))
		}
		at = e.rampSince
	}
	age, rate, tip := max(at-e.outageSince, f.Cold/4).Seconds(), e.limiter.capacity(), f.TipAfter.Seconds()
	calls := 2 * rate * age / peers
	full := rate * f.FallMultiple * warm
	count := tip * (full - min(peers/age/math.E, full/3))
	mean := max(math.Pow(math.Sqrt(count+0.25)-0.5, 2), count-math.Sqrt(peers)/2)
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
	share, sparse := 1.0, sparseTrialAges*failing*max(at-e.outageSince, f.Cold/5).Seconds()
	if unseen := math.Exp(-calls); e.ramping {
		share, outages = max(1-unseen-calls*unseen, 1e-3), 1
		sparse = listed * share * peers / (rate * unseen)
	}
	gap := min(max(listed/max(outages, 1), 1)*tip*peers*share/max(mean, 1e-3), sparse)
	return time.Duration(float64(time.Second) * gap)
}

// recordFailure notes a failed call. Calls missed everywhere alike are the network's doing or ours: an outage needs
// a longer streak then. It hurts when most destinations fall silent at once, by a few more calls to each.
func (s *Sender) recordFailure(e *endpoint, c *call, ev Outcome) {
	if c.sentAt >= e.lastAnswered { // else one sent later was answered: this call's trouble, not the endpoint's
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
	if missed { // by how often calls were missed before this one
		streak = max(streak, int(math.Ceil(math.Log(maxChanceProbability)/math.Log(s.missedShare))))
	}
	if missed && !e.outage {
		s.missedShare += missedWeight * (1 - s.missedShare)
	}
	second := e.siblingInOutage()
	if second {
		if len(e.calls) == 0 { // else those that are out will soon tell
			streak--
		}
	}
	if e.outage || e.failures >= streak || e.failureShare > maxFailureShare+s.missedShare/2 {
		s.markOutage(e)
		// Most outages take all endpoints: those that have not answered since are out, unless this may be
		// the only one: a connection dropped unseen, or no room for one.
		full := ev.Status == ConnectFailed && 2*ev.Latency < s.settings.ConnectTimeout && !second
		alone := full || c.idleFor > 0 && ev.Status != Errored || e.limiter.sparseness() == 0
		for _, o := range e.limiter.endpoints {
			if !alone && !o.outage && !o.ramping && o.lastAnswered < e.failingSince {
				s.markOutage(o)
			}
		}
	}
}

// siblingInOutage says that another listed endpoint that shares the limit is out.
func (e *endpoint) siblingInOutage() bool {
	return slices.ContainsFunc(e.limiter.endpoints, func(o *endpoint) bool {
		return o != e && o.outage && o.state == Listed
	})
}

// markOutage starts or goes on with an outage: one call at a time, further and further apart, none faster
// than the cold budget allows, for nobody tells when it ends. Those who were told return at one moment.
func (s *Sender) markOutage(e *endpoint) {
	if !e.outage && !e.ramping {
		e.outageSince = s.now
	}
	if !e.outage {
		s.log("out: " + e.id)
	}
	e.outage, e.ramping, e.reportedOnly = true, false, false
	reopens, maxGap := max(s.now, e.limiter.waitUntil), time.Duration(maxTrialGapShare*float64(s.settings.Safety.Cold))
	gap := max(min((reopens-e.outageSince)/2, maxGap), s.coldGap(e, reopens))
	chance := s.rng.Float64()
	if reopens == s.now {
		chance = 1 + (0.5+e.limiter.sparseness())*(chance-0.5)
	}
	e.limiter.nextTrial = reopens + time.Duration(chance*float64(gap))
	e.limiter.ownTrial = e.limiter.nextTrial
}

// withoutRecentSuccess says that no call of ours went well there of late: a second failure is long in coming.
func (s *Sender) withoutRecentSuccess(e *endpoint) bool {
	return s.now-e.limiter.lastSuccess > s.settings.Safety.TipAfter && e.limiter.sparseness() > 0
}

// recordSuccess notes a success. After an outage the endpoint is cold: it ramps up.
func (s *Sender) recordSuccess(e *endpoint, sent, latency time.Duration) {
	e.failures, e.refusals = 0, 0
	s.missedShare -= missedWeight * s.missedShare
	e.failureShare -= failureWeight * e.failureShare
	e.lastAnswered = max(e.lastAnswered, sent)
	l, now, span := e.limiter, s.now, max(s.settings.Safety.TipAfter, time.Second)
	if now-l.windowStart >= span {
		if l.windowStart > 0 {
			l.successRate = max(l.successRate*0.9, (l.successes-l.sparseness()*math.Sqrt(l.successes))/(now-l.windowStart).Seconds())
		}
		l.successes, l.windowStart = 0, now
	}
	l.successes++
	l.lastSuccess, l.refusals, l.kind.burstSeconds = s.now, 0, min(l.kind.burstSeconds*burstGrowthFactor, defaultBurstSeconds)
	e.recordLatency(latency)
	e.window += 1 / e.window
	if e.outage {
		e.outage, e.ramping, e.rampSince, e.failureShare = false, true, s.now, rampFailureShare
		s.log("back, ramping: " + e.id)
	}
}

// recordLatency takes a latency into the usual one. A call that had no answer took at least as long as it was out.
func (e *endpoint) recordLatency(latency time.Duration) {
	x := latency.Seconds()
	if e.meanSeconds == 0 {
		e.meanSeconds, e.spreadSeconds = x, x/2
	}
	e.spreadSeconds += latencyWeight * (math.Abs(x-e.meanSeconds) - e.spreadSeconds)
	e.meanSeconds += latencyWeight * (x - e.meanSeconds)
}

// recordRefusal notes a call turned away. A long wait, or many in a row, are an outage: the destination is shut,
// with all endpoints that share its limit.
func (s *Sender) recordRefusal(e *endpoint, wait time.Duration) {
	e.limiter.recordRefusal(wait, s.now, e.refusals == 0 && !e.outage && !e.ramping, s.rng.Float64())
	e.refusals++
	maxStreak, tip := refusalStreak, s.settings.Safety.TipAfter
	if s.withoutRecentSuccess(e) { // whoever calls seldom would push a cold one with those that saw one refusal each
		maxStreak = 1
	}
	if e.outage || wait > tip || e.refusals >= maxStreak && s.now-e.limiter.lastSuccess > tip {
		for _, o := range e.limiter.endpoints {
			s.markOutage(o)
		}
	}
}

// joinsCall says whether a message may travel with a call that leaves in this step, which costs no spend and no
// slot. What goes to an endpoint that is out or cold goes alone, for it weighs more with each message.
func (s *Sender) joinsCall(e *endpoint) bool {
	n := len(e.calls)
	return n > 0 && e.calls[n-1].sentAt == s.now && e.calls[n-1].pending < e.limiter.kind.maxBundle &&
		!e.outage && !e.ramping
}

// canSend says whether a message may go to an endpoint now.
func (s *Sender) canSend(m *message, e *endpoint) bool {
	maxCalls := max(int(maxDestinationShare*float64(s.settings.MaxCalls)), 1)
	switch {
	case e.state != Listed, m.mayHaveRun && m.class.Effect == Keyed && m.class.ZoneScope && e.zone != m.zone:
		return false
	case s.joinsCall(e):
		return true
	case s.callsOut >= s.settings.MaxCalls, m.dest.callsOut >= maxCalls, s.now < e.limiter.fleetWait,
		s.now < e.limiter.waitUntil+s.settings.Resolution && e.limiter.waitUntil > 0, e.limiter.estimate(s.now) < 1:
		return false
	}
	out := len(e.calls)
	if e.outage {
		late := (s.now - m.arrived).Seconds() > (m.deadline-m.arrived).Seconds()*(0.25+m.trialDraw/2)
		return out == 0 && s.now >= e.limiter.nextTrial && (m.class.Effect != Unsafe || late)
	}
	e.ramping = e.ramping && s.now-e.rampSince < s.settings.Safety.Cold
	if e.ramping && s.now-e.lastSent < s.coldGap(e, s.now) {
		return false
	}
	if s.isSilent(e) {
		gap := s.missedAfter(e)
		return s.now-e.lastSent >= gap && m.dest.callsOut < initialWindow
	}
	return e.limiter.limit > 0 || float64(out) < e.window
}

// idleConnections counts the open connections without a call.
func (e *endpoint) idleConnections(s *Sender) int {
	for len(e.idleSince) > 0 && s.now-e.idleSince[0] >= s.settings.KeepAlive {
		e.idleSince = e.idleSince[1:]
	}
	return len(e.idleSince)
}

// cost compares endpoints: prices, and how long a message is likely to take.
func (s *Sender) cost(m *message, e *endpoint) float64 {
	cost := e.tieBreak + latencyPrice*e.meanSeconds*float64(len(e.calls)+1)/m.class.Aim.Seconds()
	if e.limiter.kind.ownLimits {
		cost += s.fees[e.zone]
	}
	if e.zone != s.settings.Zone {
		cost += s.settings.Prices.CrossZone
	}
	if e.idleConnections(s) == 0 && !s.joinsCall(e) {
		cost += s.settings.Prices.Handshake
	}
	return cost
}

// dispatch sends what can be sent, earliest deadline first. The exception: a message that can no longer
// make its aim yields to those that can. It acts where a destination has more waiting than it takes, where
// order by deadline alone would make every message late. It hurts the late ones, which may never go.
func (s *Sender) dispatch() {
	for _, late := range []bool{false, true} {
		s.queue = slices.DeleteFunc(s.queue, func(m *message) bool {
			return m.missesAim(s.now) == late && s.trySend(m)
		})
	}
}

// missesAim says that an answer at the destination's usual latency would come after the aim.
func (m *message) missesAim(now time.Duration) bool {
	usual := 0.0
	for i, e := range m.dest.endpoints {
		if i == 0 || e.meanSeconds < usual {
			usual = e.meanSeconds
		}
	}
	return now+time.Duration(usual*float64(time.Second)) > m.deadline-m.class.Deadline+m.class.Aim
}

// trySend sends a message to the best endpoint that may take it now, if there is one.
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

// atHeadOfKey says whether a message is at the head of its key, if its class has an order.
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
		if e.lastSent = s.now; e.outage { // the next one goes by this one's outcome
			e.limiter.nextTrial = s.now + s.coldGap(e, s.now)
		}
		e.limiter.spend(s.now)
	}
	m.call = e.calls[len(e.calls)-1]
	m.call.pending++
	s.emit(Send{ID: m.id, Endpoint: e.id, TimeOut: s.callTimeout(m, e)})
}

// callTimeout ends a call so that it can be tried again. One that may not be is better waited for (see reclaim).
func (s *Sender) callTimeout(m *message, e *endpoint) time.Duration {
	limit := max(time.Duration(minTimeoutAims*float64(m.class.Aim)), s.missedAfter(e))
	if m.class.Effect == Unsafe && s.settings.Cancel || m.class.Effect == Keyed && limit > m.class.Memory/2 ||
		limit >= m.deadline-s.now {
		return 0
	}
	return limit
}

// reclaimSlot calls off the call that is missed for longest when all slots are taken and messages wait: lost
// answers must not hold the slots. It hurts an unsafe message whose answer would still have come.
func (s *Sender) reclaimSlot() {
	if !s.settings.Cancel || s.callsOut < s.settings.MaxCalls || len(s.queue) == 0 {
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

// recordCallEnd is what the end of a call says of its endpoint.
func (s *Sender) recordCallEnd(e *endpoint, c *call, ev Outcome) {
	switch ev.Status {
	case OK:
		s.recordSuccess(e, c.sentAt, ev.Latency)
	case Full:
		s.recordRefusal(e, ev.Wait)
	case ConnectFailed, Errored, Reset:
		// An idle connection that broke says nothing of the endpoint: if that is down, the next call fails.
		if ev.Status != Reset || c.idleFor == 0 {
			s.recordFailure(e, c, ev)
		}
	case TimedOut, Cancelled:
		if c.sentAt > e.lastAnswered { // nothing sent later was answered: slow or silent, not a lost answer
			e.recordLatency(s.now - c.sentAt)
		}
		s.recordFailure(e, c, ev)
		e.window = max(e.window*windowShrinkFactor, 1)
	}
	if ev.Status == OK || ev.Status == Full || ev.Status == Errored {
		e.idleSince = append(e.idleSince, s.now)
	}
}

// handleOutcome takes in the end of an attempt.
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
	if !c.ended { // one call, whatever it carries
		c.ended = true
		s.recordCallEnd(e, c, ev)
	}
	if m.keyQueue != nil && (ev.Status == TimedOut || ev.Status == Reset || ev.Status == Cancelled) {
		m.keyQueue.restUntil = s.now + s.settings.Safety.OrderPause
	}
	if ev.Settled || ev.Status == OK || m.closed {
		s.closeMessage(m)
		return
	}
	if ev.Status != Full && ev.Status != ConnectFailed && ev.Status != Moot && !m.mayHaveRun {
		m.mayHaveRun, m.firstSent, m.zone = true, c.sentAt, e.zone
	}
	m.notBefore = s.now + m.class.Aim*time.Duration(m.attempts)/16
	s.enqueue(m) // expire ends it in this step if it may not go again
}

// repeatable says whether the message may run once more: for ever, or until repeats are no longer dropped.
func (s *Sender) repeatable(m *message) bool {
	return !m.mayHaveRun || m.class.Effect == Safe ||
		m.class.Effect == Keyed && s.now+2*s.settings.Resolution < m.firstSent+m.class.Memory
}

// safeToReturn says whether handing the message in again could not do harm.
func (s *Sender) safeToReturn(m *message) bool {
	return s.repeatable(m) && !(m.mayHaveRun && m.class.Effect == Keyed && m.class.ZoneScope)
}

// finish gives the final answer to a message without an attempt out: refused where that is harmless.
func (s *Sender) finish(m *message, wait time.Duration) {
	if s.safeToReturn(m) {
		if !s.settings.RetryAfter {
			wait = 0
		}
		s.emit(Refuse{ID: m.id, RetryAfter: min(wait, s.settings.MaxRetryAfter)})
	} else {
		s.emit(Fail{ID: m.id})
	}
	s.closeMessage(m)
}

// closeMessage forgets a message that has ended; while an attempt is out it keeps its place in its lane.
func (s *Sender) closeMessage(m *message) {
	if m.closed = true; m.call != nil {
		return
	}
	delete(s.messages, m.id)
	m.dest.messages--
	s.forgetDestination(m.dest)
	if l := m.keyQueue; l != nil {
		l.messages = slices.DeleteFunc(l.messages, func(o *message) bool { return o == m })
	}
}

// earliestSend is when a message behind so many others can go: nothing is called in a told wait, or in an outage
// before its next try, unless a call out may end that sooner; those ahead go at our part of the limit.
func (s *Sender) earliestSend(d *destination, ahead int) time.Duration {
	first, rate := time.Duration(math.MaxInt64), 0.0
	for i, e := range d.endpoints {
		at := max(e.limiter.waitUntil, e.limiter.fleetWait, s.now)
		if e.outage && len(e.calls) == 0 {
			at = max(at, e.limiter.nextTrial)
		}
		if e.state == Listed {
			first = min(first, at)
		}
		if l := e.limiter; l.limit == 0 {
			rate = math.Inf(1) // unmet, or without a limit
		} else if i == 0 || l.kind.ownLimits {
			rate += max(l.grant, l.limit*l.share()) * float64(max(l.kind.maxBundle, 1))
		}
	}
	if first == math.MaxInt64 { // none is listed: the next news may bring one
		return s.now
	}
	return first + time.Duration(float64(ahead)/rate*float64(time.Second))
}

// expire ends the held messages whose time is up, and at once those that cannot go before it is: nobody gains
// by waiting for what will not come, and the client hears when to come again.
func (s *Sender) expire() {
	ahead := map[*destination]int{} // held messages that go first, in the order of dispatch
	for _, late := range []bool{false, true} {
		s.queue = slices.DeleteFunc(s.queue, func(m *message) bool {
			return m.missesAim(s.now) == late && s.expireMessage(m, ahead)
		})
	}
}

// expireMessage ends a held message that is to be ended and says so; others count as ahead of those that follow.
func (s *Sender) expireMessage(m *message, ahead map[*destination]int) bool {
	earliest := s.earliestSend(m.dest, ahead[m.dest])
	if !m.closed && m.deadline > s.now+s.pollInterval()+2*s.settings.Resolution && m.attempts < s.settings.MaxAttempts &&
		s.repeatable(m) && earliest < m.deadline {
		ahead[m.dest]++
		return false
	}
	m.dest.queued--
	if wait := s.settings.MaxRetryAfter; !m.closed {
		if earliest > s.now {
			wait = earliest - s.now
		}
		s.finish(m, wait)
	}
	return true
}

// shed refuses held messages when the hold cap is near, so that there is room for those that can go: from
// the destination with the longest backlog for its rate, the least worth first.
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
			if worst == nil || score > maxScore || score == maxScore && list[0].compare(worst) < 0 {
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

// backlogSeconds is about how many seconds a destination needs for what is held for it.
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
