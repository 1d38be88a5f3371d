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
	// budgetWindow is how many seconds of the reported rate a full allowance holds at first (the design's
	// window); spanShrink and spanGrow adapt it to refusals and successes, for many destinations hold less.
	budgetWindow, spanShrink, spanGrow, spanLeast = 1.0, 0.8, 1.005, 0.1
	// spendsKept is how long a spend is kept for a report that may not hold it yet.
	spendsKept = 10 * time.Second
	// Shares of the newest value, in smoothing: reported limits, latencies, missed calls over all endpoints,
	// failures of one endpoint. Reports are noisy, but not by limitStep.
	limitStep                                           = 0.25
	limitWeight, latencyWeight, everyWeight, failWeight = 0.3, 0.1, 0.04, 0.25
	// How much more than an even share one of many may take, its boldness, falls to refusedBold with each
	// refusal, and at once to what a report of less than steady speaks for; it grows by boldGrow of what is
	// reported above that in a second, for boldFor after a report at most: all others read it. Where it is
	// over, unused of an even share stays so, or refused calls that draw on the limit would never fade.
	refusedBold, unused, steady, boldGrow, boldFor = 0.25, 0.1, 0.35, 0.05, 5 * time.Second
	// spreadsLate and timesLate: an answer later than the usual plus so many spreads, and than so many times
	// the usual, is silence and not a slow call.
	spreadsLate, timesLate = 6, 3
	// failStreak is the least number of failures in a row that makes an outage; one less where a sibling is
	// out. Where calls are missed everywhere, it takes so many that chance explains less than failChance. So
	// do refusalStreak refusals in a row, and a smoothed share of failures over failMost.
	failStreak, failChance, refusalStreak, failMost = 2, 0.01, 3, 0.55
	// rampDoubt is the share of failures that an endpoint starts its ramp with: a second one takes it out.
	rampDoubt = 0.45
	// Tries in an outage come half its age apart, up to tryMost of the cold time, or as coldGap says. Where
	// senders hear of each other's they come fleetTry of it apart, up to fleetMost.
	tryMost, sparseTries, fleetTry, fleetMost = 0.2, 5.0, 0.25, 0.05
	// startCalls may be out at an endpoint at first, more with each that goes well; a time-out leaves shrink.
	startCalls, shrink = 2, 0.7
	// timeoutAim is the least time-out of a repeatable call, and paceCost the price of the usual latency
	// against other prices, both in aims.
	// Endpoints that are alike cost up to leanMost more or less, by chance: many senders, each of which keeps
	// to the one that it has a connection to, must not all have begun with the first of the list.
	timeoutAim, paceCost, leanMost = 0.6, 0.1, 1e-3
	// crowded is the share of the hold cap above which held messages are shed, destinationPart the most of
	// the slots that one destination may hold.
	crowded, destinationPart = 0.85, 0.7
	// heavySize bytes double what a message counts in shedding where its caller says that memory is short.
	heavySize = 4096.0
	// watchEvery is the pause before a broken subscription is asked for again; logEvery parts log lines.
	watchEvery, logEvery = 2 * time.Second, time.Second
)

// weightPart is what is counted on of a listed weight.
var weightPart = map[Weights]float64{Nominal: 1, Rough: 1 / 1.5}

// Sender decides for one sender; the package comment says what its caller owes.
type Sender struct {
	set                    Settings
	now                    time.Duration
	classes                map[string]*Class
	kinds                  map[string]*kind
	fees                   map[string]float64
	tenants                map[string]*tenant
	endpoints              map[string]*endpoint
	dests                  map[int]*destination
	messages               map[string]*message
	queue                  []*message // held and without an attempt out, earliest deadline first
	flying                 []*message // with an attempt out
	lanes                  map[int64]*lane
	out                    int     // calls out
	every                  float64 // smoothed share of missed calls over all endpoints that are not out
	seq                    int64
	wakeAt, logAt, watchAt time.Duration // 0: no wake pending
	acts                   []Action
	rng                    *rand.Rand // spreads what many senders would do at one moment
	leaning                *rand.Rand // the same for where they begin
	most                   int        // messages held at once, as the caller allows at present
	heavy                  float64    // how much a message's size counts against holding it on
}

// message is a request that has not ended, or that has an attempt out.
type message struct {
	id                           string
	class                        *Class
	dest                         *destination
	lane                         *lane
	seq                          int64
	arrived, deadline, notBefore time.Duration
	worth, chance                float64
	attempts, size               int
	flight                       *flight
	firstSent                    time.Duration // of the first attempt that may have run
	zone                         string        // where that attempt went
	mayHave, closed              bool          // an attempt may have run
}

// flight is one attempt that is out.
type flight struct {
	ep   *endpoint
	sent time.Duration
	off  bool          // called off
	idle time.Duration // how long its connection had idled; 0 for a new one
	left int           // messages that it carries and whose outcome has not come
	met  bool          // one outcome has
}

// lane holds the messages of one key in order of arrival.
type lane struct {
	queue []*message
	rest  time.Duration // no other message of the key before this
}

// tenant is a bucket that tells what comes within a tenant's share.
type tenant struct {
	rate, left float64
	at         time.Duration
}

// kind holds what is learned over all destinations of a kind, for one alone is met too seldom.
type kind struct {
	apart  bool    // endpoints are routes apart
	span   float64 // seconds of the limit that a full allowance holds
	bundle int     // messages that a call may carry
}

// destination groups the endpoints that a message may go to.
type destination struct {
	id     int
	eps    []*endpoint
	shared *ledger
	out    int // calls out
	held   int // messages in the queue
	open   int // messages that have not been forgotten
}

// New returns a Sender for these settings. The seed spreads what many senders would do at one moment.
func New(set Settings, seed int64) (*Sender, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	s := &Sender{set: set, classes: map[string]*Class{}, kinds: map[string]*kind{},
		fees: map[string]float64{}, tenants: map[string]*tenant{}, endpoints: map[string]*endpoint{},
		dests: map[int]*destination{}, messages: map[string]*message{}, lanes: map[int64]*lane{},
		rng: rand.New(rand.NewPCG(uint64(seed), 0)), leaning: rand.New(rand.NewPCG(uint64(seed), 1)),
		most: set.MaxOpen}
	for i := range set.Classes {
		s.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	for _, k := range set.Kinds {
		s.kinds[k.Name] = &kind{apart: k.OwnLimits, bundle: k.Bundle}
	}
	for _, z := range set.Zones {
		s.fees[z.Name] = z.Fee
	}
	for _, t := range set.Tenants {
		if rate := t.AllowancePerSecond / float64(s.set.Peers); rate > 0 {
			s.tenants[t.Name] = &tenant{rate: rate, left: rate}
		}
	}
	return s, nil
}

// Step takes in what happened at now and returns what to do, in order; all events come in before any send.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.acts = max(now, s.now), nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case Members:
			s.members(ev)
		case MembersLost:
			s.watchAt = s.now + watchEvery
		case Recalled:
			s.recall(ev)
		case Told:
			s.told(ev)
		case Request:
			s.request(ev)
		case Outcome:
			s.outcome(ev)
		case HoldCap:
			s.most, s.heavy = min(max(ev.Messages, 1), s.set.MaxOpen), ev.Heavy
		case Hangup:
			if m := s.messages[ev.ID]; m != nil {
				s.close(m)
			}
		}
	}
	if s.set.OnRequest && s.now >= s.watchAt {
		s.watchAt = math.MaxInt64
		s.act(Watch{})
	}
	s.expire()
	s.shed()
	s.dispatch()
	s.reclaim()
	if s.wakeAt <= s.now && len(s.messages) > 0 { // one wake is pending while anything is open
		s.wakeAt = s.now + s.poll()
		s.act(Wake{At: s.wakeAt})
	}
	return s.acts
}

func (s *Sender) act(a Action) { s.acts = append(s.acts, a) }

func (s *Sender) log(text string) {
	if s.now >= s.logAt {
		s.logAt = s.now + logEvery
		s.act(Log{Text: text})
	}
}

func (s *Sender) poll() time.Duration { return pollSteps * s.set.Resolution }

// members keeps the list of endpoints. One that drains or is gone gets nothing new from this step on.
func (s *Sender) members(ev Members) {
	if ev.Whole {
		for _, e := range s.endpoints {
			e.state = Gone
		}
	}
	for _, row := range ev.Endpoints {
		e := s.endpoints[row.ID]
		if e == nil {
			d, k := s.destination(row.Destination), at(s.kinds, row.Kind)
			k.span = cmp.Or(k.span, budgetWindow)
			if d.shared == nil || k.apart {
				d.shared = &ledger{kind: k, peers: float64(s.set.Peers), bold: float64(s.set.Peers)}
			}
			e = &endpoint{id: row.ID, dest: d, ledger: d.shared, window: startCalls,
				lean: leanMost * s.leaning.Float64()}
			s.endpoints[row.ID] = e
			d.eps, e.ledger.eps = append(d.eps, e), append(e.ledger.eps, e)
			if e.otherOut() {
				s.takeOut(e) // cold, and not the place for all that waits
			}
		}
		if row.Cold && row.State == Listed && e.state != Listed {
			e.ramp, e.rampFrom = true, s.now // as after an outage
		}
		e.state, e.zone = row.State, row.Zone
		e.ledger.weight = row.Weight * weightPart[s.set.Weights]
	}
	for _, e := range s.endpoints {
		s.forget(e)
	}
}

// recall goes on from a limit that an earlier process had learned: not unmet, the destination does not pass.
// Where many senders start at one moment, each with messages that it had held, their first calls are spread.
func (s *Sender) recall(ev Recalled) {
	d := s.dests[ev.Destination]
	if d == nil || d.shared == nil || d.shared.kind.apart || d.shared.limit > 0 || !(ev.Limit > 0) {
		return
	}
	l := d.shared
	l.limit, l.at = ev.Limit, s.now
	l.part, l.left = l.share(), 2*s.leaning.Float64()
}

// told takes in what other senders found out. All hear it at one time, so chance spreads what they do.
// An outage that others alone met ends by their word; one of its own it tries no sooner than alone.
func (s *Sender) told(ev Told) {
	e, from, d := s.endpoints[ev.Endpoint], s.now-ev.Age, s.dests[ev.Destination]
	switch {
	case ev.Kind == ToldWait && d != nil:
		for _, o := range d.eps {
			if l := o.ledger; ev.Endpoint == "" || o == e {
				l.heldUntil = s.now + ev.For
				// All that held at once would be as many calls as there are senders.
				l.heldUntil += time.Duration(s.rng.Float64() * min(1e9*l.peers/l.capacity(), float64(ev.For)))
			}
		}
	case ev.Kind == ToldShare && d != nil && d.shared != nil && !d.shared.kind.apart:
		d.shared.estimate(s.now)
		d.shared.grant, d.shared.grantEnds = ev.Rate, s.now+ev.For
	case e == nil || ev.Kind == ToldOut && e.lastGood >= from:
	case ev.Kind == ToldOut: // all try as one: a while after the last failed, and so that all hear of each
		if !e.outage {
			e.outage, e.ramp, e.hearsay, e.outFrom = true, false, true, from
		}
		gap := min(float64(s.now-e.outFrom)*fleetTry, fleetMost*float64(s.set.Safety.Cold))
		gap = max(gap, float64(s.coldGap(e, s.now))/e.ledger.peers)
		apart := min(e.ledger.peers, e.ledger.capacity()) * float64(s.poll())
		e.ledger.nextTry = s.now + time.Duration(gap+s.rng.Float64()*max(gap, apart))
		if !e.hearsay {
			e.ledger.nextTry = max(e.ledger.nextTry, e.ledger.ownTry)
		}
	case e.outage && e.hearsay:
		e.outage, e.hearsay, e.ramp, e.rampFrom = false, false, ev.Kind == ToldBack, from
		e.lastSend = s.now - time.Duration(s.rng.Float64()*float64(s.coldGap(e, s.now)))
	case e.outage && ev.Kind == ToldBack:
		soon := s.now + time.Duration(s.rng.Float64()*float64(s.coldGap(e, s.now)))
		e.ledger.nextTry = min(e.ledger.nextTry, max(e.ledger.ownTry, soon))
	}
}

// forget ends what is kept of an endpoint that is gone, once no call is out there: what it was like says
// nothing of another at its destination. A destination's log lasts while anybody is listed or waits there.
func (s *Sender) forget(e *endpoint) {
	if e.state != Gone || len(e.flights) > 0 {
		return
	}
	self := func(o *endpoint) bool { return o == e }
	delete(s.endpoints, e.id)
	e.dest.eps, e.ledger.eps = slices.DeleteFunc(e.dest.eps, self), slices.DeleteFunc(e.ledger.eps, self)
	s.forgetDestination(e.dest)
}

func (s *Sender) forgetDestination(d *destination) {
	if len(d.eps) == 0 && d.open == 0 && (d.shared == nil || d.shared.waitUntil <= s.now) {
		delete(s.dests, d.id)
	}
}

func (s *Sender) destination(id int) *destination {
	d := at(s.dests, id)
	d.id = id
	return d
}

// request takes a message in.
func (s *Sender) request(ev Request) {
	if s.messages[ev.ID] != nil {
		return
	}
	c := s.classes[ev.Class]
	if c == nil { // a class that the settings don't name gets the promises of the strictest one
		c = &Class{Name: ev.Class, Effect: Unsafe, Aim: ev.TimeLeft, Deadline: ev.TimeLeft, Worth: 1}
	}
	s.seq++
	m := &message{id: ev.ID, class: c, dest: s.destination(ev.Destination), seq: s.seq,
		arrived: s.now, deadline: s.now + ev.TimeLeft, worth: c.Worth, chance: s.rng.Float64(),
		attempts: ev.Attempts, size: ev.Size, mayHave: ev.MayHaveRun, firstSent: ev.FirstSent}
	if t := s.tenants[ev.Tenant]; t != nil {
		t.left, t.at = min(t.left+t.rate*(s.now-t.at).Seconds(), t.rate*2), s.now
		if t.left < 1 {
			m.worth *= s.set.OverShareWorth
		} else {
			t.left--
		}
	}
	m.dest.open++
	if c.OrderedByKey && ev.HasKey {
		if len(s.lanes) > 2*len(s.messages)+startCalls { // empty ones are over once their rest is
			over := func(_ int64, l *lane) bool { return len(l.queue) == 0 && l.rest <= s.now }
			maps.DeleteFunc(s.lanes, over)
		}
		m.lane = at(s.lanes, ev.Key)
		m.lane.queue = append(m.lane.queue, m)
	}
	s.messages[m.id] = m
	s.enqueue(m)
}

// order is that of the queue.
func (m *message) order(o *message) int {
	return cmp.Or(cmp.Compare(m.deadline, o.deadline), cmp.Compare(m.seq, o.seq))
}

func (s *Sender) enqueue(m *message) {
	at, _ := slices.BinarySearchFunc(s.queue, m, (*message).order)
	s.queue = slices.Insert(s.queue, at, m)
	m.dest.held++
}

// ledger is the log of a destination, or of a route where routes are apart: spends, reports and told waits.
type ledger struct {
	limit, weight   float64 // calls a second: as reported, 0 where none is; as listed
	grant           float64 // ours of it, as the fleet deals it until grantEnds, and what it was after that
	grantEnds       time.Duration
	kind            *kind
	eps             []*endpoint
	peers           float64
	part, left      float64       // our part; finalized figure less later spends, as of at
	at, since       time.Duration // since: when the attempt was sent that brought the figure
	spends          []time.Duration
	waitUntil       time.Duration
	heldUntil       time.Duration // as other senders were told to wait
	nextTry, ownTry time.Duration // at an endpoint that is out; the same but for what other senders told
	refusals        int           // in a row
	seen            Report        // the newest
	bold            float64       // how many even shares may be taken: from 1 up to peers, as if alone
	boldAt          time.Duration // when that changed
	okCount, okRate float64       // successes in the running window; the rate seen
	okFrom, okAt    time.Duration // of the window; of the newest success
}

func (l *ledger) spend(now time.Duration) {
	l.left--
	for len(l.spends) > 0 && now-l.spends[0] > spendsKept {
		l.spends = l.spends[1:]
	}
	l.spends = append(l.spends, now)
}

// finalize takes in a report that came with an attempt sent at sent. Later spends may not be in it.
func (l *ledger) finalize(r *Report, sent, now time.Duration) {
	if r == nil || !(r.Limit > 0) || math.IsInf(r.Limit, 0) || !(r.Left >= 0) {
		if r != nil && r.Limit == 0 {
			l.limit = 0
		}
		return
	}
	l.limit = cmp.Or(l.limit, r.Limit)
	if l.limit += limitWeight * (r.Limit - l.limit); math.Abs(r.Limit-l.limit) > limitStep*l.limit {
		l.limit = r.Limit // it has changed, and who calls seldom must not take many calls to believe it
	}
	if sent < l.since || *r == l.seen || now < l.grantEnds {
		return // an older attempt tells nothing new, nor do reports that are refreshed now and then
	}
	l.seen = *r
	for len(l.spends) > 0 && l.spends[0] <= sent {
		l.spends = l.spends[1:]
	}
	// What reads nearly full is not drawn on by others; what reads nearly empty, or can't go round, is
	// shared. The more senders read the same, the nearer to full it must read before one draws on it as if
	// alone. A report that shows room for a call pays for one: it holds everybody's spends.
	left := min(r.Left, 1)
	room := left * l.limit * l.kind.span
	l.bold *= math.Exp(boldGrow * min(now-l.boldAt, boldFor).Seconds() * max(left-steady, 0))
	l.bold, l.boldAt = max(min(l.bold, l.peers, math.Pow(l.peers, left/steady)), 1), now
	alone := min(math.Pow(left, 2*math.Log2(l.peers))*min(l.limit*l.kind.span/l.peers, 1), l.often())
	l.part = alone + (1-alone)*l.share()
	l.left = max(room*l.part, l.often()*l.rarely()*min(room, 1)) - float64(len(l.spends))
	l.at, l.since = now, sent
}

// share is the part of the limit that a sender counts on. Of many senders few ask at a time: it starts at
// one call a budget window, and falls with its boldness down to an even share. A success does not give that
// back, for where calls are refused at all each sender has one now and then. It hurts where one of a few
// senders gets much more traffic than the others.
func (l *ledger) share() float64 {
	even := 1 / l.peers
	even *= 1 - unused*(1-l.often())*max(1-2*even, 0)
	return even + l.often()*l.rarely()*(1-even)/max(l.capacity()*budgetWindow, 1)
}

// often is the boldness as a share: 1 for who may take as much as if alone, 0 for an even share.
func (l *ledger) often() float64 { return (l.bold - 1) / max(l.peers-1, 1) }

// rarely is near 1 where there are far more senders than calls in a budget window, so that each calls
// rarely and few others at the same time, and 0 where each calls all the time.
func (l *ledger) rarely() float64 { return max(1-2*l.capacity()*budgetWindow/l.peers, 0) }

// refuse logs a refusal: a finalized nought, and a wait if one was told. A longer wait stands. Chance
// spreads the refill by half a call more or less, for many senders are refused at one moment.
func (l *ledger) refuse(wait, now time.Duration, first bool, chance float64) {
	l.refusals++
	l.bold, l.boldAt = 1+(l.bold-1)*refusedBold, now
	l.left, l.at, l.since, l.part = 0.5-chance, now+wait, now, l.share()/(1+l.rarely()*(chance-0.5))
	if first {
		l.kind.span = max(l.kind.span*spanShrink, spanLeast)
	}
	if wait > 0 {
		l.waitUntil = max(l.waitUntil, now+wait)
	}
}

// estimate is the newest finalized figure, less the spends since, plus what the limit has refilled since
// (our part of it, for other senders draw on it too), never above a full allowance.
func (l *ledger) estimate(now time.Duration) float64 {
	granted := now < l.grantEnds
	if !granted && l.limit == 0 && (l.refusals == 0 || l.rarely() == 0) {
		return math.Inf(1)
	}
	rate, most := l.capacity()*l.part, max(l.capacity()*l.kind.span, 1)
	if granted { // little of a grant is saved: others have what is not used
		rate, most = l.grant, math.Ceil(l.grant*spanLeast)
	}
	l.left = min(l.left+rate*max(now-l.at, 0).Seconds(), most)
	l.at = max(now, l.at)
	return l.left
}

// capacity is what the destination takes from all senders when warm, at least, as far as can be told.
func (l *ledger) capacity() float64 { return cmp.Or(l.limit, l.weight, max(l.okRate*l.peers, 1)) }

// endpoint is one address of a destination, with its health.
type endpoint struct {
	id, zone        string
	dest            *destination
	ledger          *ledger
	state           State
	flights         []*flight       // out, in order of sending
	idle            []time.Duration // idle connections, by the time they fell idle
	mean, spread    float64         // usual latency in seconds; 0 = unmet
	window          float64         // calls that may be out while no limit is known
	lean            float64         // decides where all else is equal
	lastSend        time.Duration
	lastGood        time.Duration // sending time of the newest call that was answered well
	fails, refusals int           // in a row
	failing         float64       // smoothed share of failures
	outage, ramp    bool
	hearsay         bool          // the outage is known from other senders alone
	failFrom        time.Duration // sending time of the first failure in a row
	outFrom         time.Duration // when the outage was first seen
	rampFrom        time.Duration
}

// patience is how long an answer may take before it is missed.
func (s *Sender) patience(e *endpoint) time.Duration {
	if e.mean == 0 {
		return s.set.ConnectTimeout + s.set.Classes[0].Aim/2
	}
	late := max(e.mean+spreadsLate*e.spread, timesLate*e.mean)
	return time.Duration(late * float64(time.Second))
}

// silent says that calls are missed and that no later one was answered: a destination that hangs, is
// unreachable or very slow must not draw calls into the slots. It hurts one whose answers vary wildly.
func (s *Sender) silent(e *endpoint) bool {
	missed := min(e.fails, 1)
	for _, f := range e.flights {
		if f.sent > e.lastGood && s.now-f.sent > s.patience(e) {
			missed++
		}
	}
	return missed >= failStreak
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
	f, peers, warm := s.set.Safety, float64(s.set.Peers), s.set.Safety.StartCapacity
	if e.ramp && f.Cold > 0 {
		warm = min(1, warm+(1-warm)*float64(at-e.rampFrom)/float64(f.Cold))
		if s.now < e.ledger.grantEnds { // all divide what it bears
			return time.Duration(1e9 / max(e.ledger.grant*warm, 1e-3))
		}
		at = e.rampFrom
	}
	age, rate, tip := max(at-e.outFrom, f.Cold/4).Seconds(), e.ledger.capacity(), f.TipAfter.Seconds()
	calls := 2 * rate * age / peers
	full := rate * f.FallMultiple * warm
	count := tip * (full - min(peers/age/math.E, full/3))
	mean := max(math.Pow(math.Sqrt(count+0.25)-0.5, 2), count-math.Sqrt(peers)/2)
	all, out, met := 0.0, 0.0, 1.0
	for _, o := range e.ledger.eps {
		if o.state == Listed {
			all++
		}
		if o.outage {
			out++
		}
		if o != e && o.fails > 0 {
			met++
		}
	}
	share, sparse := 1.0, sparseTries*met*max(at-e.outFrom, f.Cold/5).Seconds()
	if unseen := math.Exp(-calls); e.ramp {
		share, out = max(1-unseen-calls*unseen, 1e-3), 1
		sparse = all * share * peers / (rate * unseen)
	}
	gap := min(max(all/max(out, 1), 1)*tip*peers*share/max(mean, 1e-3), sparse)
	return time.Duration(float64(time.Second) * gap)
}

// failed notes a failed call. Calls missed everywhere alike are the network's doing or ours: an outage needs
// a longer streak then. It hurts when most destinations fall silent at once, by a few more calls to each.
func (s *Sender) failed(e *endpoint, f *flight, ev Outcome) {
	if f.sent >= e.lastGood { // else one sent later was answered: this call's trouble, not the endpoint's
		if e.fails++; e.fails == 1 {
			e.failFrom = f.sent
		}
	}
	missed := ev.Status == TimedOut || ev.Status == Cancelled
	e.failing += failWeight * (1 - e.failing)
	streak := failStreak
	if s.rare(e) {
		streak = 1
	}
	if missed { // by how often calls were missed before this one
		streak = max(streak, int(math.Ceil(math.Log(failChance)/math.Log(s.every))))
	}
	if missed && !e.outage {
		s.every += everyWeight * (1 - s.every)
	}
	second := e.otherOut()
	if second {
		if len(e.flights) == 0 { // else those that are out will soon tell
			streak--
		}
	}
	if e.outage || e.fails >= streak || e.failing > failMost+s.every/2 {
		s.takeOut(e)
		// Most outages take all endpoints: those that have not answered since are out, unless this may be
		// the only one: a connection dropped unseen, or no room for one.
		full := ev.Status == ConnectFailed && 2*ev.Latency < s.set.ConnectTimeout && !second
		alone := full || f.idle > 0 && ev.Status != Errored || e.ledger.rarely() == 0
		for _, o := range e.ledger.eps {
			if !alone && !o.outage && !o.ramp && o.lastGood < e.failFrom {
				s.takeOut(o)
			}
		}
	}
}

// otherOut says that another listed endpoint that shares the limit is out.
func (e *endpoint) otherOut() bool {
	return slices.ContainsFunc(e.ledger.eps, func(o *endpoint) bool {
		return o != e && o.outage && o.state == Listed
	})
}

// takeOut starts or goes on with an outage: one call at a time, further and further apart, none faster
// than the cold budget allows, for nobody tells when it ends. Those who were told return at one moment.
func (s *Sender) takeOut(e *endpoint) {
	if !e.outage && !e.ramp {
		e.outFrom = s.now
	}
	if !e.outage {
		s.log("out: " + e.id)
	}
	e.outage, e.ramp, e.hearsay = true, false, false
	opens, most := max(s.now, e.ledger.waitUntil), time.Duration(tryMost*float64(s.set.Safety.Cold))
	gap := max(min((opens-e.outFrom)/2, most), s.coldGap(e, opens))
	chance := s.rng.Float64()
	if opens == s.now {
		chance = 1 + (0.5+e.ledger.rarely())*(chance-0.5)
	}
	e.ledger.nextTry = opens + time.Duration(chance*float64(gap))
	e.ledger.ownTry = e.ledger.nextTry
}

// rare says that no call of ours went well there of late: a second failure is long in coming.
func (s *Sender) rare(e *endpoint) bool {
	return s.now-e.ledger.okAt > s.set.Safety.TipAfter && e.ledger.rarely() > 0
}

// answered notes a success. After an outage the endpoint is cold: it ramps up.
func (s *Sender) answered(e *endpoint, sent, latency time.Duration) {
	e.fails, e.refusals = 0, 0
	s.every -= everyWeight * s.every
	e.failing -= failWeight * e.failing
	e.lastGood = max(e.lastGood, sent)
	l, now, span := e.ledger, s.now, max(s.set.Safety.TipAfter, time.Second)
	if now-l.okFrom >= span {
		if l.okFrom > 0 {
			l.okRate = max(l.okRate*0.9, (l.okCount-l.rarely()*math.Sqrt(l.okCount))/(now-l.okFrom).Seconds())
		}
		l.okCount, l.okFrom = 0, now
	}
	l.okCount++
	l.okAt, l.refusals, l.kind.span = s.now, 0, min(l.kind.span*spanGrow, budgetWindow)
	e.took(latency)
	e.window += 1 / e.window
	if e.outage {
		e.outage, e.ramp, e.rampFrom, e.failing = false, true, s.now, rampDoubt
		s.log("back, ramping: " + e.id)
	}
}

// took takes a latency into the usual one. A call that had no answer took at least as long as it was out.
func (e *endpoint) took(latency time.Duration) {
	x := latency.Seconds()
	if e.mean == 0 {
		e.mean, e.spread = x, x/2
	}
	e.spread += latencyWeight * (math.Abs(x-e.mean) - e.spread)
	e.mean += latencyWeight * (x - e.mean)
}

// refused notes a call turned away. A long wait, or many in a row, are an outage: the destination is shut,
// with all endpoints that share its limit.
func (s *Sender) refused(e *endpoint, wait time.Duration) {
	e.ledger.refuse(wait, s.now, e.refusals == 0 && !e.outage && !e.ramp, s.rng.Float64())
	e.refusals++
	most, tip := refusalStreak, s.set.Safety.TipAfter
	if s.rare(e) { // whoever calls seldom would push a cold one with those that saw one refusal each
		most = 1
	}
	if e.outage || wait > tip || e.refusals >= most && s.now-e.ledger.okAt > tip {
		for _, o := range e.ledger.eps {
			s.takeOut(o)
		}
	}
}

// joins says whether a message may travel with a call that leaves in this step, which costs no spend and no
// slot. What goes to an endpoint that is out or cold goes alone, for it weighs more with each message.
func (s *Sender) joins(e *endpoint) bool {
	n := len(e.flights)
	return n > 0 && e.flights[n-1].sent == s.now && e.flights[n-1].left < e.ledger.kind.bundle &&
		!e.outage && !e.ramp
}

// usable says whether a message may go to an endpoint now.
func (s *Sender) usable(m *message, e *endpoint) bool {
	most := max(int(destinationPart*float64(s.set.MaxCalls)), 1)
	switch {
	case e.state != Listed, m.mayHave && m.class.Effect == Keyed && m.class.ZoneScope && e.zone != m.zone:
		return false
	case s.joins(e):
		return true
	case s.out >= s.set.MaxCalls, m.dest.out >= most, s.now < e.ledger.heldUntil,
		s.now < e.ledger.waitUntil+s.set.Resolution && e.ledger.waitUntil > 0, e.ledger.estimate(s.now) < 1:
		return false
	}
	out := len(e.flights)
	if e.outage {
		late := (s.now - m.arrived).Seconds() > (m.deadline-m.arrived).Seconds()*(0.25+m.chance/2)
		return out == 0 && s.now >= e.ledger.nextTry && (m.class.Effect != Unsafe || late)
	}
	e.ramp = e.ramp && s.now-e.rampFrom < s.set.Safety.Cold
	if e.ramp && s.now-e.lastSend < s.coldGap(e, s.now) {
		return false
	}
	if s.silent(e) {
		gap := s.patience(e)
		return s.now-e.lastSend >= gap && m.dest.out < startCalls
	}
	return e.ledger.limit > 0 || float64(out) < e.window
}

// idleConns counts the open connections without a call.
func (e *endpoint) idleConns(s *Sender) int {
	for len(e.idle) > 0 && s.now-e.idle[0] >= s.set.KeepAlive {
		e.idle = e.idle[1:]
	}
	return len(e.idle)
}

// cost compares endpoints: prices, and how long a message is likely to take.
func (s *Sender) cost(m *message, e *endpoint) float64 {
	cost := e.lean + paceCost*e.mean*float64(len(e.flights)+1)/m.class.Aim.Seconds()
	if e.ledger.kind.apart {
		cost += s.fees[e.zone]
	}
	if e.zone != s.set.Zone {
		cost += s.set.Prices.CrossZone
	}
	if e.idleConns(s) == 0 && !s.joins(e) {
		cost += s.set.Prices.Handshake
	}
	return cost
}

// dispatch sends what can be sent, earliest deadline first. The exception: a message that can no longer
// make its aim yields to those that can. It acts where a destination has more waiting than it takes, where
// order by deadline alone would make every message late. It hurts the late ones, which may never go.
func (s *Sender) dispatch() {
	for _, late := range []bool{false, true} {
		s.queue = slices.DeleteFunc(s.queue, func(m *message) bool {
			return m.overdue(s.now) == late && s.place(m)
		})
	}
}

// overdue says that an answer at the destination's usual latency would come after the aim.
func (m *message) overdue(now time.Duration) bool {
	usual := 0.0
	for i, e := range m.dest.eps {
		if i == 0 || e.mean < usual {
			usual = e.mean
		}
	}
	return now+time.Duration(usual*float64(time.Second)) > m.deadline-m.class.Deadline+m.class.Aim
}

// place sends a message to the best endpoint that may take it now, if there is one.
func (s *Sender) place(m *message) bool {
	if s.now < m.notBefore || !m.turn(s.now) {
		return false
	}
	var best *endpoint
	least := math.Inf(1)
	for _, e := range m.dest.eps {
		if c := s.cost(m, e); c < least && s.usable(m, e) {
			best, least = e, c
		}
	}
	if best != nil {
		s.send(m, best)
	}
	return best != nil
}

// turn says whether a message is at the head of its key, if its class has an order.
func (m *message) turn(now time.Duration) bool {
	return m.lane == nil || m.lane.queue[0] == m && (m.attempts > 0 || now >= m.lane.rest)
}

func (s *Sender) send(m *message, e *endpoint) {
	m.attempts, m.dest.held = m.attempts+1, m.dest.held-1
	s.flying = append(s.flying, m)
	if !s.joins(e) {
		f := &flight{ep: e, sent: s.now}
		m.dest.out, s.out = m.dest.out+1, s.out+1
		if n := e.idleConns(s); n > 0 {
			f.idle = max(s.now-e.idle[n-1], 1)
			e.idle = e.idle[:n-1]
		}
		e.flights = append(e.flights, f)
		if e.lastSend = s.now; e.outage { // the next one goes by this one's outcome
			e.ledger.nextTry = s.now + s.coldGap(e, s.now)
		}
		e.ledger.spend(s.now)
	}
	m.flight = e.flights[len(e.flights)-1]
	m.flight.left++
	s.act(Send{ID: m.id, Endpoint: e.id, TimeOut: s.timeOut(m, e)})
}

// timeOut ends a call so that it can be tried again. One that may not be is better waited for (see reclaim).
func (s *Sender) timeOut(m *message, e *endpoint) time.Duration {
	limit := max(time.Duration(timeoutAim*float64(m.class.Aim)), s.patience(e))
	if m.class.Effect == Unsafe && s.set.Cancel || m.class.Effect == Keyed && limit > m.class.Memory/2 ||
		limit >= m.deadline-s.now {
		return 0
	}
	return limit
}

// reclaim calls off the call that is missed for longest when all slots are taken and messages wait: lost
// answers must not hold the slots. It hurts an unsafe message whose answer would still have come.
func (s *Sender) reclaim() {
	if !s.set.Cancel || s.out < s.set.MaxCalls || len(s.queue) == 0 {
		return
	}
	var worst *message
	var most float64
	for _, m := range s.flying {
		e := m.flight.ep
		late := float64(s.now-m.flight.sent) / float64(s.patience(e))
		if late > 1 && late > most && !m.flight.off {
			worst, most = m, late
		}
	}
	if worst != nil {
		worst.flight.off = true
		s.act(Cancel{ID: worst.id, Attempt: worst.attempts - 1})
	}
}

// ended is what the end of a call says of its endpoint.
func (s *Sender) ended(e *endpoint, f *flight, ev Outcome) {
	switch ev.Status {
	case OK:
		s.answered(e, f.sent, ev.Latency)
	case Full:
		s.refused(e, ev.Wait)
	case ConnectFailed, Errored, Reset:
		// An idle connection that broke says nothing of the endpoint: if that is down, the next call fails.
		if ev.Status != Reset || f.idle == 0 {
			s.failed(e, f, ev)
		}
	case TimedOut, Cancelled:
		if f.sent > e.lastGood { // nothing sent later was answered: slow or silent, not a lost answer
			e.took(s.now - f.sent)
		}
		s.failed(e, f, ev)
		e.window = max(e.window*shrink, 1)
	}
	if ev.Status == OK || ev.Status == Full || ev.Status == Errored {
		e.idle = append(e.idle, s.now)
	}
}

// outcome takes in the end of an attempt.
func (s *Sender) outcome(ev Outcome) {
	m := s.messages[ev.ID]
	if m == nil || m.flight == nil || ev.Attempt != m.attempts-1 {
		return
	}
	f, e := m.flight, m.flight.ep
	m.flight = nil
	s.flying = slices.DeleteFunc(s.flying, func(o *message) bool { return o == m })
	if f.left--; f.left == 0 {
		m.dest.out, s.out = m.dest.out-1, s.out-1
		e.flights = slices.DeleteFunc(e.flights, func(o *flight) bool { return o == f })
	}
	defer s.forget(e)
	e.ledger.finalize(ev.Report, f.sent, s.now)
	if !f.met { // one call, whatever it carries
		f.met = true
		s.ended(e, f, ev)
	}
	if m.lane != nil && (ev.Status == TimedOut || ev.Status == Reset || ev.Status == Cancelled) {
		m.lane.rest = s.now + s.set.Safety.OrderPause
	}
	if ev.Settled || ev.Status == OK || m.closed {
		s.close(m)
		return
	}
	if ev.Status != Full && ev.Status != ConnectFailed && ev.Status != Moot && !m.mayHave {
		m.mayHave, m.firstSent, m.zone = true, f.sent, e.zone
	}
	m.notBefore = s.now + m.class.Aim*time.Duration(m.attempts)/16
	s.enqueue(m) // expire ends it in this step if it may not go again
}

// repeatable says whether the message may run once more: for ever, or until repeats are no longer dropped.
func (s *Sender) repeatable(m *message) bool {
	return !m.mayHave || m.class.Effect == Safe ||
		m.class.Effect == Keyed && s.now+2*s.set.Resolution < m.firstSent+m.class.Memory
}

// harmless says whether handing the message in again could not do harm.
func (s *Sender) harmless(m *message) bool {
	return s.repeatable(m) && !(m.mayHave && m.class.Effect == Keyed && m.class.ZoneScope)
}

// end gives the final answer to a message without an attempt out: refused where that is harmless.
func (s *Sender) end(m *message, wait time.Duration) {
	if s.harmless(m) {
		if !s.set.RetryAfter {
			wait = 0
		}
		s.act(Refuse{ID: m.id, RetryAfter: min(wait, s.set.MaxRetryAfter)})
	} else {
		s.act(Fail{ID: m.id})
	}
	s.close(m)
}

// close forgets a message that has ended; while an attempt is out it keeps its place in its lane.
func (s *Sender) close(m *message) {
	if m.closed = true; m.flight != nil {
		return
	}
	delete(s.messages, m.id)
	m.dest.open--
	s.forgetDestination(m.dest)
	if l := m.lane; l != nil {
		l.queue = slices.DeleteFunc(l.queue, func(o *message) bool { return o == m })
	}
}

// opens is when a message behind so many others can go: nothing is called in a told wait, or in an outage
// before its next try, unless a call out may end that sooner; those ahead go at our part of the limit.
func (s *Sender) opens(d *destination, ahead int) time.Duration {
	first, rate := time.Duration(math.MaxInt64), 0.0
	for i, e := range d.eps {
		at := max(e.ledger.waitUntil, e.ledger.heldUntil, s.now)
		if e.outage && len(e.flights) == 0 {
			at = max(at, e.ledger.nextTry)
		}
		if e.state == Listed {
			first = min(first, at)
		}
		if l := e.ledger; l.limit == 0 {
			rate = math.Inf(1) // unmet, or without a limit
		} else if i == 0 || l.kind.apart {
			rate += max(l.grant, l.limit*l.share()) * float64(max(l.kind.bundle, 1))
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
			return m.overdue(s.now) == late && s.over(m, ahead)
		})
	}
}

// over ends a held message that is to be ended and says so; others count as ahead of those that follow.
func (s *Sender) over(m *message, ahead map[*destination]int) bool {
	opens := s.opens(m.dest, ahead[m.dest])
	if !m.closed && m.deadline > s.now+s.poll()+2*s.set.Resolution && m.attempts < s.set.MaxAttempts &&
		s.repeatable(m) && opens < m.deadline {
		ahead[m.dest]++
		return false
	}
	m.dest.held--
	if wait := s.set.MaxRetryAfter; !m.closed {
		if opens > s.now {
			wait = opens - s.now
		}
		s.end(m, wait)
	}
	return true
}

// shed refuses held messages when the hold cap is near, so that there is room for those that can go: from
// the destination with the longest backlog for its rate, the least worth first.
func (s *Sender) shed() {
	over := len(s.messages) - int(crowded*float64(s.most))
	if over <= 0 {
		return
	}
	weight := func(m *message) float64 { return (1 + s.heavy*float64(m.size)/heavySize) / (m.worth + 0.1) }
	lists := groups(s.queue, func(m *message) (*destination, bool) { return m.dest, s.harmless(m) })
	for _, list := range lists { // the least worth goes first
		slices.SortStableFunc(list, func(a, b *message) int { return cmp.Compare(weight(b), weight(a)) })
	}
	for ; over > 0 && len(lists) > 0; over-- {
		var worst *message
		most := 0.0
		for d, list := range lists {
			score := s.backlog(d) * weight(list[0])
			if worst == nil || score > most || score == most && list[0].order(worst) < 0 {
				worst, most = list[0], score
			}
		}
		s.log("hold cap near: shedding")
		pop(lists, worst.dest)
		worst.dest.held--
		s.end(worst, time.Duration(s.backlog(worst.dest)*float64(time.Second)))
	}
	s.queue = slices.DeleteFunc(s.queue, func(m *message) bool { return m.closed })
}

// backlog is about how many seconds a destination needs for what is held for it.
func (s *Sender) backlog(d *destination) float64 {
	rate := 0.0
	for _, e := range d.eps {
		r := e.ledger.capacity() * e.ledger.share() * float64(max(e.ledger.kind.bundle, 1))
		if !e.ledger.kind.apart {
			r /= float64(len(d.eps))
		}
		if e.outage {
			r /= 4
		}
		rate += r
	}
	return float64(d.held) / max(rate, 0.1)
}
