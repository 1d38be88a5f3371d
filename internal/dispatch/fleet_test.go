package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// These tests run many senders in virtual time against simple destinations: a token bucket shared by all senders, optionally
// consumed by refused calls as well, with reports that are refreshed now and then and arrive late. The model shows effects of a
// whole fleet. It is not for tuning: the bounds are far from what the module achieves.

// bucketModel models a destination as a token bucket.
type bucketModel struct {
	id                    int
	limit                 float64 // calls a second, before the reductions of limitAt
	lowShare              float64 // share of the limit from lowFrom to lowTo
	lowFrom, lowTo        time.Duration
	refusalsConsume       bool    // refused calls use up the limit, too
	waitShare             float64 // share of refusals that ask for a wait
	wait                  time.Duration
	tokens                float64
	updatedAt, reportedAt time.Duration
	report                LimitReport

	outFrom, outTo time.Duration // no call succeeds from outFrom to outTo, and the destination is cold after that
	outageStatus   Status        // how calls end during the outage
	outageLatency  time.Duration // time from the start of such a call to its end
	arrivals       []arrival     // calls, in order of arrival
}

// arrival is a call. In sawOutage it records whether its sender had seen a call fail in the outage.
type arrival struct {
	at        time.Duration
	sawOutage bool
}

func (b *bucketModel) isOut(now time.Duration) bool { return now >= b.outFrom && now < b.outTo }

// warmShare is the least share of its capacity that the destination has.
func (b *bucketModel) warmShare(now time.Duration, f Safety) float64 {
	if b.outTo == 0 || now < b.outTo {
		return 1
	}
	return min(1, f.MinStartCapacityShare+(1-f.MinStartCapacityShare)*float64(now-b.outTo)/float64(f.Ramp))
}

func (b *bucketModel) limitAt(now time.Duration) float64 {
	if now >= b.lowFrom && now < b.lowTo {
		return b.limit * b.lowShare
	}
	return b.limit * b.warmShare(now, fleetSettings(1).Safety)
}

// call reports whether a call is accepted. The report is up to 800 ms old and slightly noisy.
func (b *bucketModel) call(now time.Duration, rng *rand.Rand) (ok bool, r LimitReport) {
	limit := b.limitAt(now)
	b.tokens = min(b.tokens+limit*(now-b.updatedAt).Seconds(), limit)
	b.updatedAt = now
	if ok = b.tokens >= 1; ok || b.refusalsConsume {
		b.tokens = max(b.tokens-1, -limit)
	}
	r = b.report
	if now-b.reportedAt > 800*ms || b.reportedAt == 0 {
		noise := func() float64 { return math.Exp(0.08 * rng.NormFloat64()) }
		b.report, b.reportedAt = LimitReport{LeftShare: min(b.tokens/limit*noise(), 1), Rate: limit * noise()}, now
	}
	return ok, r
}

// timedEvent is an event for a sender at a time.
type timedEvent struct {
	at     time.Duration
	seq    int
	sender int
	event  Event
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleetModel holds many senders and their destinations, messages and clients.
type fleetModel struct {
	senders             []*Sender
	destinations        map[int]*bucketModel
	rng                 *rand.Rand
	events              eventQueue
	seq                 int
	endpoints           []Endpoint
	accepted            []map[string]Request     // by sender: accepted and not ended
	submittedAt         map[string]time.Duration // first submission of a message
	classOf             map[string]*Class
	destinationOf       map[string]int
	submissions         map[string]int // times that clients submitted a message again
	attempts            map[string]int
	calls, refusedCalls map[int]map[int]int // by destination and second
	sawOutage           map[[2]int]bool     // by sender and destination: a call of the sender failed in the outage
}

func fleetSettings(peers int) Settings {
	set := testSettings()
	set.Classes = []Class{
		{Name: "keyed", Effect: Keyed, DedupTTL: 6 * time.Second, Aim: 4 * time.Second, Deadline: 12 * time.Second, Worth: 1, LateWorth: 0.5},
		{Name: "safe", Effect: Safe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 3, LateWorth: 0.1},
	}
	set.Peers, set.MaxCalls, set.MaxOpen, set.Resolution = peers, 5, 49, ms
	set.Weights, set.MaxAttempts = RoughWeights, 8
	set.Safety.Ramp, set.Safety.OverloadFor, set.Safety.MinStartCapacityShare, set.Safety.OverloadMultiple = 13*time.Second, 1500*ms, 0.23, 1.5
	return set
}

func newFleetModel(t testing.TB, n int, seed uint64, dests ...*bucketModel) *fleetModel {
	c := &fleetModel{destinations: map[int]*bucketModel{}, rng: rand.New(rand.NewPCG(seed, 1)), submittedAt: map[string]time.Duration{},
		classOf: map[string]*Class{}, destinationOf: map[string]int{}, submissions: map[string]int{}, attempts: map[string]int{},
		calls: map[int]map[int]int{}, refusedCalls: map[int]map[int]int{}, sawOutage: map[[2]int]bool{}}
	set := fleetSettings(n)
	for _, d := range dests {
		c.destinations[d.id] = d
		d.tokens = d.limit
		e := ep(fmt.Sprint("e", d.id), d.id)
		e.Weight = d.limit * (0.67 + 0.83*c.rng.Float64())
		c.endpoints = append(c.endpoints, e)
		c.calls[d.id], c.refusedCalls[d.id] = map[int]int{}, map[int]int{}
	}
	for i := range n {
		s, err := New(set, int64(seed)*1000+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: c.endpoints}})
		c.senders, c.accepted = append(c.senders, s), append(c.accepted, map[string]Request{})
	}
	return c
}

func (f *fleetModel) schedule(at time.Duration, sender int, event Event) {
	f.seq++
	heap.Push(&f.events, timedEvent{at, f.seq, sender, event})
}

// generate schedules messages for a destination at a rate, at random times.
func (f *fleetModel) generate(dest int, class string, rate float64, from, to time.Duration) {
	for at := from; at < to; {
		at += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
		f.submit(at, fmt.Sprintf("m%d", len(f.submittedAt)), class, dest)
	}
}

func (f *fleetModel) submit(at time.Duration, id, class string, dest int) {
	f.submittedAt[id] = at
	sender := f.rng.IntN(len(f.senders))
	for i := range f.senders[0].cfg.Classes {
		if k := &f.senders[0].cfg.Classes[i]; k.Name == class {
			f.classOf[id] = k
		}
	}
	f.destinationOf[id] = dest
	f.schedule(at, sender, Request{ID: id, Class: class, Destination: dest, TimeLeft: f.classOf[id].Deadline})
}

// run processes events until the time to, or until none is left.
func (f *fleetModel) run(to time.Duration) {
	for len(f.events) > 0 && f.events[0].at < to {
		h := heap.Pop(&f.events).(timedEvent)
		if r, ok := h.event.(Request); ok {
			f.accepted[h.sender][r.ID] = r
		}
		if o, ok := h.event.(Outcome); ok && o.Status != OK {
			if d := f.destinations[f.destinationOf[originalID(o.ID)]]; h.at >= d.outFrom && h.at < d.outTo {
				f.sawOutage[[2]int{h.sender, d.id}] = true
			}
		}
		for _, a := range f.senders[h.sender].Step(h.at, []Event{h.event}) {
			f.act(h.at, h.sender, a)
		}
	}
}

func (f *fleetModel) act(now time.Duration, sender int, a Action) {
	switch a := a.(type) {
	case Wake:
		f.schedule(max(a.At, now+ms), sender, WakeDue{})
	case Send:
		n := f.attempts[a.ID]
		f.attempts[a.ID]++
		d := f.destinations[f.destinationOf[originalID(a.ID)]]
		sec := int(now / time.Second)
		f.calls[d.id][sec]++
		rtt := time.Duration(20+20*f.rng.Float64()) * ms
		d.arrivals = append(d.arrivals, arrival{now + rtt/2, f.sawOutage[[2]int{sender, d.id}]})
		if d.isOut(now + rtt/2) {
			took := d.outageLatency
			if d.outageStatus == TimedOut && a.Timeout > 0 {
				took = a.Timeout
			} else if d.outageStatus == TimedOut {
				took = 5 * time.Second
			}
			o := Outcome{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Status: d.outageStatus, Latency: took}
			f.schedule(now+took, sender, o)
			return
		}
		ok, rep := d.call(now+rtt/2, f.rng)
		o := Outcome{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Report: &rep, Status: Refused}
		if ok {
			o.Status, o.Closed = OK, true
			rtt += time.Duration(math.Exp(math.Log(200)+0.5*f.rng.NormFloat64())) * ms
			delete(f.accepted[sender], a.ID)
		} else {
			f.refusedCalls[d.id][sec]++
			if f.rng.Float64() < d.waitShare {
				o.RetryAfter = d.wait
			}
		}
		o.Latency = rtt
		f.schedule(now+rtt, sender, o)
	case Fail:
		delete(f.accepted[sender], a.ID)
	case Refuse:
		delete(f.accepted[sender], a.ID)
		id := originalID(a.ID)
		if f.submissions[id]++; f.submissions[id] <= 3 {
			wait := time.Duration((400 + 700*f.rng.Float64()) * float64(ms) * math.Pow(2, float64(f.submissions[id]-1)))
			if f.rng.Float64() < 0.6 {
				wait = max(a.RetryAfter, wait/4)
			}
			at := now + wait
			if left := f.submittedAt[id] + f.classOf[id].Deadline - at; left > 0 {
				next := fmt.Sprintf("%s.%d", id, f.submissions[id])
				f.schedule(at, f.rng.IntN(len(f.senders)), Request{ID: next, Class: f.classOf[id].Name, Destination: f.destinationOf[id], TimeLeft: left})
			}
		}
	}
}

func originalID(id string) string {
	for i := range id {
		if id[i] == '.' {
			return id[:i]
		}
	}
	return id
}

// restart replaces senders by new ones with the messages that each had accepted, and with or without the learned limits.
func (f *fleetModel) restart(t testing.TB, now time.Duration, part float64, remember bool) {
	for i := range int(part * float64(len(f.senders))) {
		s, err := New(f.senders[i].cfg, int64(i)+77)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{MembershipUpdate{Full: true, Endpoints: f.endpoints}}
		if remember {
			for _, d := range f.destinations {
				events = append(events, RestoredLimit{Destination: d.id, Limit: d.limitAt(now)})
			}
		}
		for _, id := range slices.Sorted(maps.Keys(f.accepted[i])) {
			r := f.accepted[i][id]
			r.TimeLeft = max(f.submittedAt[originalID(id)]+f.classOf[originalID(id)].Deadline-now, 0)
			r.Attempts, r.MayHaveRun = f.attempts[id], false
			events = append(events, r)
		}
		f.senders[i] = s
		for _, a := range s.Step(now, events) {
			f.act(now, i, a)
		}
	}
}

func sumSeconds(by map[int]int, from, to int) (n int) {
	for s := from; s < to; s++ {
		n += by[s]
	}
	return n
}

// Each sender keeps to the endpoint that it has a connection to. If all started with the first endpoint of the list, the other
// endpoints of the destination would be idle while its queue overflows.
func TestFleetSpreadsFirstCalls(t *testing.T) {
	first := map[string]int{}
	for seed := range int64(80) {
		s, err := New(fleetSettings(80), seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: []Endpoint{ep("a", 1), ep("b", 1)}}, req("m", "safe", 1)})
		for _, a := range acts {
			if a, ok := a.(Send); ok {
				first[a.Endpoint]++
			}
		}
	}
	if first["a"] < 25 || first["b"] < 25 {
		t.Errorf("the first calls of 80 senders: %v", first)
	}
}

// A limit is lowered under a fleet: every sender reads the same report and is refused at the same time. If refused calls use up
// the limit and the fleet keeps calling, few calls get through. When senders did not divide the room in a report by their
// number, some 40 % of these calls were refused.
func TestFleetUnderLoweredLimit(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		c := newFleetModel(t, 80, seed, &bucketModel{id: 1, limit: 280, lowShare: 0.4, lowFrom: 6 * time.Second, lowTo: 15 * time.Second,
			refusalsConsume: true, waitShare: 0.6, wait: 600 * ms})
		c.generate(1, "safe", 180, 0, 15*time.Second)
		c.generate(1, "keyed", 50, 0, 15*time.Second)
		c.run(15 * time.Second)
		calls, refused := sumSeconds(c.calls[1], 8, 15), sumSeconds(c.refusedCalls[1], 8, 15)
		if taken := calls - refused; float64(refused) > 0.2*float64(calls) || float64(taken) < 0.75*7*0.4*280 {
			t.Errorf("seed %d: of %d calls in 7 s at 112 a second, %d were refused", seed, calls, refused)
		}
	}
}

// Seven of ten senders restart at one moment with all messages that they had accepted. Senders that remember the limits spread
// these messages. Senders without the limits treat every destination as unlimited.
func TestFleetRestarts(t *testing.T) {
	refused := func(seed uint64, remember bool) int {
		c := newFleetModel(t, 80, seed, &bucketModel{id: 1, limit: 150, lowShare: 1, refusalsConsume: true, waitShare: 0.6, wait: 600 * ms})
		c.generate(1, "keyed", 190, 0, 12*time.Second)
		c.run(8 * time.Second)
		c.restart(t, 8*time.Second, 0.7, remember)
		c.run(12 * time.Second)
		return sumSeconds(c.refusedCalls[1], 8, 11)
	}
	for seed := uint64(1); seed <= 3; seed++ {
		with, without := refused(seed, true), refused(seed, false)
		t.Log(with, without)
		if with > 100 || without < 2*with {
			t.Errorf("seed %d: in 3 s after the restart %d calls were refused, and %d without remembered limits", seed, with, without)
		}
	}
}

// overload returns when a cold destination first gets more calls within OverloadFor than it takes, chance included, if over
// two thirds of them are from senders that saw the outage, and 0 otherwise.
func (b *bucketModel) overload(f Safety) (at time.Duration, calls, aware int, capacity float64) {
	from := 0
	for i, last := range b.arrivals {
		if last.at < b.outTo || last.at > b.outTo+f.Ramp { // during the outage the destination is down, not cold
			continue
		}
		for b.arrivals[from].at <= max(last.at-f.OverloadFor, b.outTo-1) {
			from++
		}
		n := 0
		for _, a := range b.arrivals[from : i+1] {
			if a.sawOutage {
				n++
			}
		}
		budget := f.OverloadMultiple * b.warmShare(max(last.at-f.OverloadFor/2, b.outTo), f) * b.limit * f.OverloadFor.Seconds()
		capacity := budget + 2*math.Sqrt(budget) + 2
		if all := i + 1 - from; float64(all) > capacity {
			if 3*n > 2*all {
				return last.at, all, n, capacity
			}
			return 0, all, n, capacity // the first overload decides
		}
	}
	return 0, 0, 0, 0
}
