// Package workload runs relays with the real decision module against the laboratory's modelled servers, in virtual
// time: clients hand messages in, each relay's module steps as the real relay steps it, and servers answer as
// their models say. It decides nothing for the module; it records what every message met, for invariants that
// are judged apart from the module.
package workload

import (
	"fmt"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/lab/emulator/servermodel"
)

// Destination is one partner with one endpoint: c servers, a limit of calls, a timeline of health.
type Destination struct {
	Servers int
	Work    time.Duration // mean work of a call, drawn exponential
	Limit   servermodel.Bucket
	Health  servermodel.Health
	Rate    float64 // messages a second that clients hand in for it, over all relays
}

// Decider is what steps for a relay: the real module, or in tests a planted defect around it.
type Decider interface {
	Step(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// Day is what is played.
type Day struct {
	// Mutate wraps each relay's module, for tests that plant a defect; nil plays the module as it is.
	Mutate       func(*dispatch.Sender) Decider
	Seed         uint64
	Relays       int
	Settings     dispatch.Settings // of every relay; Peers is set to Relays
	Destinations []Destination
	Length       time.Duration // of the hand-ins; the day runs on until all has ended
	Class        string        // of every message
	TimeLeft     time.Duration
	Drains       []Drain // discovery tells every relay that an endpoint drains
	Fleet        *Fleet  // nil for relays that are each alone
	// Hot is the share of all messages that the first relay is handed; 0 for an even share.
	Hot float64
	// Reports have answers tell what is left of the limit, and lists its rate.
	Reports bool
}

// Drain is a destination's endpoint told as draining, at a time: nothing new may go to it after the grace.
type Drain struct {
	Destination int
	At          emulator.Time
}

// DrainGrace is how long after the telling a send to a draining endpoint is still allowed.
const DrainGrace = 2 * time.Second

// Record is what one message met.
type Record struct {
	Relay, Destination int
	Sends, Ends        int  // sends to servers; final answers given
	SentAfterEnd       bool // a send came after the message had ended
	SentInWait         bool // a send went to a destination that had told this relay to wait, before the wait was over
	SentDrained        bool // a send went to an endpoint later than the grace after its drain was told
	MayHaveRun         bool // a call of it may have taken effect: it was served, or left without an answer
	SentAfterRun       bool // a send came after that, where the class must never take effect twice
	Delivered          bool
	EndedAt, Due       emulator.Time
	Aim                emulator.Time // an end by then earns the full worth
}

// Result is the day's record, by message id.
type Result struct {
	Messages map[string]*Record
	Events   uint64
	Calls    []Call
	Told     Told
}

// Worth is the share of the worth that was earned: all of it within the aim, half of it later.
func (r *Result) Worth() float64 {
	earned := 0.0
	for _, m := range r.Messages {
		if m.Delivered && m.EndedAt <= m.Aim {
			earned++
		} else if m.Delivered && m.EndedAt <= m.Due {
			earned += 0.5
		}
	}
	return earned / max(float64(len(r.Messages)), 1)
}

// Call is one that a relay made.
type Call struct {
	At                 emulator.Time
	Relay, Destination int
	Refused, Failed    bool // turned away; met a machine that is down or silent
}

const (
	kindServer emulator.Kind = iota // answers first, then
	kindStep                        // the steps of relays
)

type relay struct {
	i       int
	s       Decider
	waits   map[int]emulator.Time // by destination: told to wait until
	pending []dispatch.Event
	stepAt  emulator.Time // of the step that is scheduled; -1 for none
	last    emulator.Time
}

// Play plays a day.
func Play(d Day) (Result, error) {
	sim := emulator.New(d.Seed)
	res := Result{Messages: map[string]*Record{}}
	// The models keep state as they are played: a day is played on copies, so that it can be played again.
	d.Destinations = slices.Clone(d.Destinations)
	set := d.Settings
	set.Peers = d.Relays
	var eps []dispatch.Endpoint
	for i := range d.Destinations {
		e := dispatch.Endpoint{ID: endpoint(i), Destination: i, Kind: set.Kinds[0].Name, Zone: set.Zone}
		if d.Reports {
			e.Weight = d.Destinations[i].Limit.Rate
		}
		eps = append(eps, e)
	}
	relays := make([]*relay, d.Relays)
	senders := make([]*dispatch.Sender, d.Relays)
	var fleet []*part
	for i := range relays {
		s, err := dispatch.New(set, int64(sim.Stream(fmt.Sprint("relay seed ", i)).Uint64()>>1))
		if err != nil {
			return res, fmt.Errorf("play: %w", err)
		}
		senders[i] = s
		var decider Decider = s
		if d.Mutate != nil {
			decider = d.Mutate(s)
		}
		relays[i] = &relay{i: i, s: decider, waits: map[int]emulator.Time{}, stepAt: -1, last: -emulator.Time(set.Resolution)}
		relays[i].pending = append(relays[i].pending, dispatch.MembershipUpdate{Full: true, Endpoints: eps})
	}
	servers := make([]*servermodel.FIFO, len(d.Destinations))
	work := make([]interface{ ExpFloat64() float64 }, len(d.Destinations))
	var step func(r *relay)
	post := func(r *relay, ev dispatch.Event) {
		r.pending = append(r.pending, ev)
		if r.stepAt >= 0 {
			return
		}
		r.stepAt = max(sim.Now(), r.last+emulator.Time(set.Resolution))
		sim.At(r.stepAt, kindStep, func() { step(r) })
	}
	if d.Fleet != nil {
		var err error
		if fleet, err = parts(sim, d.Fleet, relays, senders, post, &res.Told); err != nil {
			return res, fmt.Errorf("play: %w", err)
		}
	}
	report := func(dest int) *dispatch.LimitReport {
		if !d.Reports {
			return nil
		}
		b := &d.Destinations[dest].Limit
		return &dispatch.LimitReport{LeftShare: b.Left(sim.Now()), Rate: b.Rate}
	}
	type call struct {
		r       *relay
		id      string
		attempt int
		sent    emulator.Time
		over    *bool // the relay stopped waiting: its time-out came first
	}
	calls := map[int]call{}
	drained := map[int]emulator.Time{} // by destination: when its endpoint's drain was told
	unsafe, aim := false, emulator.Time(d.TimeLeft)
	for _, c := range set.Classes {
		if c.Name == d.Class {
			aim = emulator.Time(c.Aim)
		}
		unsafe = unsafe || c.Name == d.Class && c.Effect == dispatch.Unsafe
	}
	nextCall := 0
	attempts := map[string]int{}
	step = func(r *relay) {
		r.stepAt, r.last = -1, sim.Now()
		events := r.pending
		r.pending = nil
		for _, a := range r.s.Step(sim.Now().Duration(), events) {
			switch a := a.(type) {
			case dispatch.Send:
				rec := res.Messages[a.ID]
				rec.Sends++
				if rec.Ends > 0 {
					rec.SentAfterEnd = true
				}
				attempt := attempts[a.ID]
				attempts[a.ID]++
				dest := rec.Destination
				if rec.MayHaveRun && unsafe {
					rec.SentAfterRun = true
				}
				if at, ok := drained[dest]; ok && sim.Now() > at+emulator.Time(DrainGrace) {
					rec.SentDrained = true
				}
				// What the reply to the step that brought the wait sends is excused; later steps are not.
				if sim.Now() < r.waits[dest] {
					rec.SentInWait = true
				}
				state, share := d.Destinations[dest].Health.At(sim.Now())
				answer := func(after time.Duration, o dispatch.Outcome) {
					o.ID, o.Attempt, o.Endpoint, o.Latency = a.ID, attempt, a.Endpoint, after
					sim.After(after, kindServer, func() { post(r, o) })
				}
				ok, wait := d.Destinations[dest].Limit.Take(sim.Now())
				down := state == servermodel.Down || state == servermodel.Silent
				res.Calls = append(res.Calls, Call{sim.Now(), r.i, dest, !down && !ok, down})
				switch {
				case state == servermodel.Down:
					answer(time.Millisecond, dispatch.Outcome{Status: dispatch.ConnectFailed})
				case state == servermodel.Silent: // the call reached a machine that says nothing: it may have run
					rec.MayHaveRun = true
					answer(max(a.Timeout, time.Millisecond), dispatch.Outcome{Status: dispatch.TimedOut})
				case !ok:
					answer(time.Millisecond, dispatch.Outcome{Status: dispatch.Refused, RetryAfter: wait, Report: report(dest)})
				default:
					n := nextCall
					nextCall++
					over := new(bool)
					calls[n] = call{r, a.ID, attempt, sim.Now(), over}
					// The relay waits so long, or until the message's time is up; the call may run on at the server.
					until := rec.Due
					if a.Timeout > 0 {
						until = min(until, sim.Now()+emulator.Time(a.Timeout))
					}
					sim.At(max(until, sim.Now()), kindServer, func() {
						if _, out := calls[n]; out && !*over {
							*over = true
							post(r, dispatch.Outcome{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Status: dispatch.TimedOut,
								Latency: (sim.Now() - calls[n].sent).Duration()})
						}
					})
					w := time.Duration(work[dest].ExpFloat64() * float64(d.Destinations[dest].Work) / max(share, 0.01))
					servers[dest].Arrive(n, w)
					if _, in := calls[n]; in { // not turned away: it may run, whatever the relay hears
						rec.MayHaveRun = true
					}
				}
			case dispatch.Refuse, dispatch.Fail:
				id := fmt.Sprint(a)
				switch a := a.(type) {
				case dispatch.Refuse:
					id = a.ID
				case dispatch.Fail:
					id = a.ID
				}
				rec := res.Messages[id]
				rec.Ends++
				rec.EndedAt = sim.Now()
			case dispatch.Wake:
				at := max(emulator.Time(a.At), sim.Now())
				sim.At(at, kindStep, func() { post(r, dispatch.WakeDue{}) })
			}
		}
		if fleet != nil {
			var ended []dispatch.Outcome
			for _, ev := range events {
				if o, ok := ev.(dispatch.Outcome); ok {
					ended = append(ended, o)
				}
			}
			fleet[r.i].met(ended, func(id string) int { return res.Messages[id].Destination }, &res.Told)
		}
		// A wait runs from the step that brought it; what that step sent is excused.
		for _, ev := range events {
			if o, ok := ev.(dispatch.Outcome); ok && o.Status == dispatch.Refused && o.RetryAfter > 0 {
				dest := res.Messages[o.ID].Destination
				r.waits[dest] = max(r.waits[dest], sim.Now()+emulator.Time(o.RetryAfter))
			}
		}
	}
	for i, dest := range d.Destinations {
		work[i] = sim.Stream(fmt.Sprint("work ", i))
		servers[i] = servermodel.NewFIFO(sim, dest.Servers, func(job int, served bool, _ time.Duration) {
			c := calls[job]
			delete(calls, job)
			if *c.over {
				return // its answer finds nobody
			}
			*c.over = true
			o := dispatch.Outcome{ID: c.id, Attempt: c.attempt, Endpoint: fmt.Sprint("e", i), Latency: (sim.Now() - c.sent).Duration()}
			if served {
				o.Status, o.Closed, o.Report = dispatch.OK, true, report(i)
				if rec := res.Messages[c.id]; !rec.Delivered && rec.Ends == 0 {
					rec.Delivered, rec.Ends, rec.EndedAt = true, rec.Ends+1, sim.Now()
				}
			} else {
				o.Status = dispatch.Refused
			}
			post(c.r, o)
		})
		arrivals, pick := sim.Stream(fmt.Sprint("arrivals ", i)), sim.Stream(fmt.Sprint("front ", i))
		seq := 0
		var next func()
		next = func() {
			if sim.Now() > emulator.Time(d.Length) {
				return
			}
			seq++
			id := fmt.Sprintf("%04x%012x", i, seq)
			n := pick.IntN(len(relays))
			if d.Hot > 0 && len(relays) > 1 {
				if n = 0; pick.Float64() >= d.Hot {
					n = 1 + pick.IntN(len(relays)-1)
				}
			}
			r := relays[n]
			res.Messages[id] = &Record{Relay: r.i, Destination: i, Due: sim.Now() + emulator.Time(d.TimeLeft), Aim: sim.Now() + aim}
			post(r, dispatch.Request{ID: id, Destination: i, Class: d.Class, TimeLeft: d.TimeLeft, SizeBytes: 100})
			sim.After(time.Duration(arrivals.ExpFloat64()/dest.Rate*1e9), emulator.Any, next)
		}
		sim.At(0, emulator.Any, next)
	}
	for _, dr := range d.Drains {
		sim.At(dr.At, kindServer, func() {
			if _, ok := drained[dr.Destination]; !ok {
				drained[dr.Destination] = sim.Now()
			}
			row := eps[dr.Destination]
			row.State = dispatch.Draining
			for _, r := range relays {
				post(r, dispatch.MembershipUpdate{Endpoints: []dispatch.Endpoint{row}})
			}
		})
	}
	for _, r := range relays {
		post(r, dispatch.WakeDue{})
	}
	sim.Run(emulator.Time(d.Length + 10*d.TimeLeft))
	for _, p := range fleet {
		res.Told.Bytes += p.node.Bytes
	}
	res.Events = sim.Events()
	return res, nil
}

// Many plays days side by side on so many workers. Each day is played by one goroutine from start to end, so
// that its result is the same bytes whatever the number of workers; results come in the order of the days.
func Many(days []Day, workers int) ([]Result, error) {
	results, errs := make([]Result, len(days)), make([]error, len(days))
	next := make(chan int)
	done := make(chan struct{})
	for range max(workers, 1) {
		go func() {
			defer func() { done <- struct{}{} }()
			for i := range next {
				results[i], errs[i] = Play(days[i])
			}
		}()
	}
	for i := range days {
		next <- i
	}
	close(next)
	for range max(workers, 1) {
		<-done
	}
	for _, err := range errs {
		if err != nil {
			return results, err
		}
	}
	return results, nil
}
