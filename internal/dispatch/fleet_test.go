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

// What many senders do together, in virtual time, against destinations that are simple on purpose: a bucket of calls that is
// shared by all, refused calls drawing on it too where draws says so, reports that are refreshed now and then and come late.
// It shows a crowd, and is no simulator to tune on: the bounds are far from what the module reaches.

// bucketModel is a destination.
type bucketModel struct {
	id             int
	limit          float64 // calls a second; what it is at a time is limitAt's
	low            float64 // share of it from lowFrom to lowTo
	lowFrom, lowTo time.Duration
	draws          bool    // refused calls use the limit up too
	tells          float64 // share of refusals that tell a wait
	wait           time.Duration
	left           float64
	at, seenAt     time.Duration
	seen           Report

	outFrom, outTo time.Duration // nothing is answered well meanwhile, and it is cold behind that
	fails          Status        // how calls end meanwhile
	after          time.Duration // so long after they began
	log            []arrival     // of calls, in their order
}

// arrival is a call; told says that its sender had been told of the outage.
type arrival struct {
	at   time.Duration
	told bool
}

func (b *bucketModel) out(now time.Duration) bool { return now >= b.outFrom && now < b.outTo }

// warm is the share of its capacity that it has, at least.
func (b *bucketModel) warm(now time.Duration, f Safety) float64 {
	if b.outTo == 0 || now < b.outTo {
		return 1
	}
	return min(1, f.StartCapacity+(1-f.StartCapacity)*float64(now-b.outTo)/float64(f.Cold))
}

func (b *bucketModel) limitAt(now time.Duration) float64 {
	if now >= b.lowFrom && now < b.lowTo {
		return b.limit * b.low
	}
	return b.limit * b.warm(now, fleetSettings(1).Safety)
}

// call says whether a call is taken. The report is up to 800 ms old and a little noisy.
func (b *bucketModel) call(now time.Duration, rng *rand.Rand) (ok bool, r Report) {
	limit := b.limitAt(now)
	b.left = min(b.left+limit*(now-b.at).Seconds(), limit)
	b.at = now
	if ok = b.left >= 1; ok || b.draws {
		b.left = max(b.left-1, -limit)
	}
	r = b.seen
	if now-b.seenAt > 800*ms || b.seenAt == 0 {
		noise := func() float64 { return math.Exp(0.08 * rng.NormFloat64()) }
		b.seen, b.seenAt = Report{Left: min(b.left/limit*noise(), 1), Limit: limit * noise()}, now
	}
	return ok, r
}

// happening is something that a sender is to be told at a time.
type happening struct {
	at   time.Duration
	seq  int
	who  int
	what Event
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// crowd is many senders and what they meet.
type crowd struct {
	senders       []*Sender
	dests         map[int]*bucketModel
	rng           *rand.Rand
	todo          agenda
	seq           int
	eps           []Endpoint
	held          []map[string]Request     // by sender: taken on and not ended
	first         map[string]time.Duration // when a message was first asked for
	class         map[string]*Class
	dest          map[string]int
	tries         map[string]int // by its clients
	attempt       map[string]int
	calls, turned map[int]map[int]int // by destination and second
	told          map[[2]int]bool     // by sender and destination: told of its outage
}

func fleetSettings(peers int) Settings {
	set := testSettings()
	set.Classes = []Class{
		{Name: "keyed", Effect: Keyed, Memory: 6 * time.Second, Aim: 4 * time.Second, Deadline: 12 * time.Second, Worth: 1, LateWorth: 0.5},
		{Name: "safe", Effect: Safe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 3, LateWorth: 0.1},
	}
	set.Peers, set.MaxCalls, set.MaxOpen, set.Resolution = peers, 5, 49, ms
	set.Weights, set.MaxAttempts = Rough, 8
	set.Safety.Cold, set.Safety.TipAfter, set.Safety.StartCapacity, set.Safety.FallMultiple = 13*time.Second, 1500*ms, 0.23, 1.5
	return set
}

func newCrowd(t testing.TB, n int, seed uint64, dests ...*bucketModel) *crowd {
	c := &crowd{dests: map[int]*bucketModel{}, rng: rand.New(rand.NewPCG(seed, 1)), first: map[string]time.Duration{},
		class: map[string]*Class{}, dest: map[string]int{}, tries: map[string]int{}, attempt: map[string]int{},
		calls: map[int]map[int]int{}, turned: map[int]map[int]int{}, told: map[[2]int]bool{}}
	set := fleetSettings(n)
	for _, d := range dests {
		c.dests[d.id] = d
		d.left = d.limit
		e := ep(fmt.Sprint("e", d.id), d.id)
		e.Weight = d.limit * (0.67 + 0.83*c.rng.Float64())
		c.eps = append(c.eps, e)
		c.calls[d.id], c.turned[d.id] = map[int]int{}, map[int]int{}
	}
	for i := range n {
		s, err := New(set, int64(seed)*1000+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		s.Step(0, []Event{Members{Whole: true, Endpoints: c.eps}})
		c.senders, c.held = append(c.senders, s), append(c.held, map[string]Request{})
	}
	return c
}

func (c *crowd) add(at time.Duration, who int, what Event) {
	c.seq++
	heap.Push(&c.todo, happening{at, c.seq, who, what})
}

// arrivals has messages come to a destination at a rate.
func (c *crowd) arrivals(dest int, class string, rate float64, from, to time.Duration) {
	for at := from; at < to; {
		at += time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
		c.hand(at, fmt.Sprintf("m%d", len(c.first)), class, dest)
	}
}

func (c *crowd) hand(at time.Duration, id, class string, dest int) {
	c.first[id] = at
	who := c.rng.IntN(len(c.senders))
	for i := range c.senders[0].set.Classes {
		if k := &c.senders[0].set.Classes[i]; k.Name == class {
			c.class[id] = k
		}
	}
	c.dest[id] = dest
	c.add(at, who, Request{ID: id, Class: class, Destination: dest, TimeLeft: c.class[id].Deadline})
}

// run goes on until nothing is left to do.
func (c *crowd) run(to time.Duration) {
	for len(c.todo) > 0 && c.todo[0].at < to {
		h := heap.Pop(&c.todo).(happening)
		if r, ok := h.what.(Request); ok {
			c.held[h.who][r.ID] = r
		}
		if o, ok := h.what.(Outcome); ok && o.Status != OK {
			if d := c.dests[c.dest[root(o.ID)]]; h.at >= d.outFrom && h.at < d.outTo {
				c.told[[2]int{h.who, d.id}] = true
			}
		}
		for _, a := range c.senders[h.who].Step(h.at, []Event{h.what}) {
			c.act(h.at, h.who, a)
		}
	}
}

func (c *crowd) act(now time.Duration, who int, a Action) {
	switch a := a.(type) {
	case Wake:
		c.add(max(a.At, now+ms), who, Woken{})
	case Send:
		n := c.attempt[a.ID]
		c.attempt[a.ID]++
		d := c.dests[c.dest[root(a.ID)]]
		sec := int(now / time.Second)
		c.calls[d.id][sec]++
		rtt := time.Duration(20+20*c.rng.Float64()) * ms
		d.log = append(d.log, arrival{now + rtt/2, c.told[[2]int{who, d.id}]})
		if d.out(now + rtt/2) {
			took := d.after
			if d.fails == TimedOut && a.TimeOut > 0 {
				took = a.TimeOut
			} else if d.fails == TimedOut {
				took = 5 * time.Second
			}
			o := Outcome{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Status: d.fails, Latency: took}
			c.add(now+took, who, o)
			return
		}
		ok, rep := d.call(now+rtt/2, c.rng)
		o := Outcome{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Report: &rep, Status: Full}
		if ok {
			o.Status, o.Settled = OK, true
			rtt += time.Duration(math.Exp(math.Log(200)+0.5*c.rng.NormFloat64())) * ms
			delete(c.held[who], a.ID)
		} else {
			c.turned[d.id][sec]++
			if c.rng.Float64() < d.tells {
				o.Wait = d.wait
			}
		}
		o.Latency = rtt
		c.add(now+rtt, who, o)
	case Fail:
		delete(c.held[who], a.ID)
	case Refuse:
		delete(c.held[who], a.ID)
		id := root(a.ID)
		if c.tries[id]++; c.tries[id] <= 3 {
			wait := time.Duration((400 + 700*c.rng.Float64()) * float64(ms) * math.Pow(2, float64(c.tries[id]-1)))
			if c.rng.Float64() < 0.6 {
				wait = max(a.RetryAfter, wait/4)
			}
			at := now + wait
			if left := c.first[id] + c.class[id].Deadline - at; left > 0 {
				next := fmt.Sprintf("%s.%d", id, c.tries[id])
				c.add(at, c.rng.IntN(len(c.senders)), Request{ID: next, Class: c.class[id].Name, Destination: c.dest[id], TimeLeft: left})
			}
		}
	}
}

func root(id string) string {
	for i := range id {
		if id[i] == '.' {
			return id[:i]
		}
	}
	return id
}

// restart has senders start anew at a moment, with what each had taken on, and with the limits that it had learned or not.
func (c *crowd) restart(t testing.TB, now time.Duration, part float64, remember bool) {
	for i := range int(part * float64(len(c.senders))) {
		s, err := New(c.senders[i].set, int64(i)+77)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{Members{Whole: true, Endpoints: c.eps}}
		if remember {
			for _, d := range c.dests {
				events = append(events, Recalled{Destination: d.id, Limit: d.limitAt(now)})
			}
		}
		for _, id := range slices.Sorted(maps.Keys(c.held[i])) {
			r := c.held[i][id]
			r.TimeLeft = max(c.first[root(id)]+c.class[root(id)].Deadline-now, 0)
			r.Attempts, r.MayHaveRun = c.attempt[id], false
			events = append(events, r)
		}
		c.senders[i] = s
		for _, a := range s.Step(now, events) {
			c.act(now, i, a)
		}
	}
}

func sum(by map[int]int, from, to int) (n int) {
	for s := from; s < to; s++ {
		n += by[s]
	}
	return n
}

// Each sender keeps to the endpoint that it has a connection to. Where all took the first of the list for a start, a
// destination's other endpoints would stand idle while its queue ran over.
func TestFleetBeginsSpread(t *testing.T) {
	first := map[string]int{}
	for seed := range int64(80) {
		s, err := New(fleetSettings(80), seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(0, []Event{Members{Whole: true, Endpoints: []Endpoint{ep("a", 1), ep("b", 1)}}, req("m", "safe", 1)})
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

// A limit that is lowered under a fleet: every sender reads the same report and is refused at the same time. While refused
// calls use the limit up too, a fleet that goes on asking gets little through. Before a report's room was shared by the
// number of senders, some 40 % of these calls were refused.
func TestFleetUnderALoweredLimit(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		c := newCrowd(t, 80, seed, &bucketModel{id: 1, limit: 280, low: 0.4, lowFrom: 6 * time.Second, lowTo: 15 * time.Second,
			draws: true, tells: 0.6, wait: 600 * ms})
		c.arrivals(1, "safe", 180, 0, 15*time.Second)
		c.arrivals(1, "keyed", 50, 0, 15*time.Second)
		c.run(15 * time.Second)
		calls, turned := sum(c.calls[1], 8, 15), sum(c.turned[1], 8, 15)
		if taken := calls - turned; float64(turned) > 0.2*float64(calls) || float64(taken) < 0.75*7*0.4*280 {
			t.Errorf("seed %d: of %d calls in 7 s at 112 a second, %d were refused", seed, calls, turned)
		}
	}
}

// Seven of ten senders start anew at one moment, with all that they had taken on. Those that remember the limits spread it;
// those that do not take every destination to be without limit.
func TestFleetRestarts(t *testing.T) {
	refused := func(seed uint64, remember bool) int {
		c := newCrowd(t, 80, seed, &bucketModel{id: 1, limit: 150, low: 1, draws: true, tells: 0.6, wait: 600 * ms})
		c.arrivals(1, "keyed", 190, 0, 12*time.Second)
		c.run(8 * time.Second)
		c.restart(t, 8*time.Second, 0.7, remember)
		c.run(12 * time.Second)
		return sum(c.turned[1], 8, 11)
	}
	for seed := uint64(1); seed <= 3; seed++ {
		with, without := refused(seed, true), refused(seed, false)
		t.Log(with, without)
		if with > 100 || without < 2*with {
			t.Errorf("seed %d: in 3 s after the restart %d calls were refused, and %d where limits were forgotten", seed, with, without)
		}
	}
}

// falls says when a cold destination gets more calls within the tip window than it bears, chance included, of which over two thirds are
// from senders that had been told of its outage; 0 if never.
func (b *bucketModel) falls(f Safety) (at time.Duration, calls, told int, bears float64) {
	from := 0
	for i, last := range b.log {
		if last.at < b.outTo || last.at > b.outTo+f.Cold { // while it is out, it is down and not cold
			continue
		}
		for b.log[from].at <= max(last.at-f.TipAfter, b.outTo-1) {
			from++
		}
		n := 0
		for _, a := range b.log[from : i+1] {
			if a.told {
				n++
			}
		}
		budget := f.FallMultiple * b.warm(max(last.at-f.TipAfter/2, b.outTo), f) * b.limit * f.TipAfter.Seconds()
		bears := budget + 2*math.Sqrt(budget) + 2
		if all := i + 1 - from; float64(all) > bears {
			if 3*n > 2*all {
				return last.at, all, n, bears
			}
			return 0, all, n, bears // the first fall decides
		}
	}
	return 0, 0, 0, 0
}
