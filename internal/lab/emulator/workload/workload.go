// Package workload runs relays with the production decision module, dispatch.Sender, against modelled servers in virtual time. Clients
// submit messages, each relay steps its module as the production relay does, and the servers answer according to their models. The
// package makes no decision for the module. It records what happens to each message, so that invariants are checked independently of
// the module.
package workload

import (
	"fmt"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/lab/emulator/servermodel"
)

// Destination is one partner with one endpoint: a number of servers, a limit on calls and a timeline of faults.
type Destination struct {
	Servers           int
	Work              time.Duration // mean of the exponentially distributed work of a call
	Limit             servermodel.TokenBucket
	Health            servermodel.Health
	MessagesPerSecond float64 // submitted messages a second, over all relays
}

// Module makes the decisions of a relay. It is the production module, or in tests the production module with a planted defect.
type Module interface {
	Step(now time.Duration, events []dispatch.Event) []dispatch.Action
}

// Scenario is the configuration of a simulation.
type Scenario struct {
	// Mutate wraps the module of each relay, for tests that plant a defect; nil for the module without a defect.
	Mutate       func(*dispatch.Sender) Module
	Seed         uint64
	Relays       int
	Settings     dispatch.Settings // of every relay; Peers is set to Relays
	Destinations []Destination
	Length       time.Duration // time during which clients submit messages; the simulation continues until all messages have ended
	Class        string        // of every message
	TimeLeft     time.Duration
	Drains       []Drain       // discovery notifies all relays that an endpoint drains
	Fleet        *GossipConfig // nil for relays without a fleet part
	// HotShare is the share of all messages that clients submit to the first relay; 0 for an even distribution.
	HotShare float64
	// Reports makes answers report the remaining limit, and discovery list the rate of each limit as the weight of the endpoint.
	Reports bool
}

// Drain is the drain of a destination's endpoint. Relays may send no calls to the endpoint later than DrainGrace after discovery's
// notification.
type Drain struct {
	Destination int
	At          emulator.Time
}

// DrainGrace is how long after the notification a relay may still send calls to a draining endpoint.
const DrainGrace = 2 * time.Second

// Record is what happened to one message.
type Record struct {
	Relay, Destination  int
	Sends, FinalAnswers int  // number of calls to servers, and of final answers to the client
	SentAfterEnd        bool // a call was sent after the message had ended
	SentInWait          bool // a call was sent during a retry-after wait that the destination had sent to this relay
	SentAfterDrain      bool // a call was sent to an endpoint later than DrainGrace after the notification of its drain
	MayHaveRun          bool // a call of the message may have taken effect: it was served or got no answer
	SentAfterRun        bool // a call was sent after MayHaveRun, in a class whose messages must never take effect twice
	Delivered           bool
	EndedAt, Due        emulator.Time
	Aim                 emulator.Time // a delivery until this time earns the full worth
}

// Result is the result of a simulation.
type Result struct {
	Messages   map[string]*Record // by message ID
	EventCount uint64
	Calls      []Call
	Gossip     GossipMetrics
}

// Worth returns the earned share of the worth of all messages. A delivery within the aim earns the full worth, a later delivery within
// the deadline half of it.
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

// Call is a call that a relay made.
type Call struct {
	At                 emulator.Time
	Relay, Destination int
	Refused, Failed    bool // refused by the limit; sent to a machine that is down or silent
}

// Of simultaneous events, answers of servers run before steps of relays.
const (
	serverPriority emulator.Priority = iota
	stepPriority
)

// relay is a simulated relay.
type relay struct {
	index         int
	module        Module
	waitUntil     map[int]emulator.Time // end of the retry-after wait, by destination
	pendingEvents []dispatch.Event
	nextStepAt    emulator.Time // time of the scheduled step; -1 for none
	lastStepAt    emulator.Time
}

// Simulate runs a simulation from start to end.
func Simulate(d Scenario) (Result, error) {
	sim := emulator.New(d.Seed)
	result := Result{Messages: map[string]*Record{}}
	// The models of the destinations change their state. The simulation uses copies, so that the same Scenario can be simulated again.
	d.Destinations = slices.Clone(d.Destinations)
	settings := d.Settings
	settings.Peers = d.Relays
	var endpoints []dispatch.Endpoint
	for i := range d.Destinations {
		e := dispatch.Endpoint{ID: endpointID(i), Destination: i, Kind: settings.Kinds[0].Name, Zone: settings.Zone}
		if d.Reports {
			e.Weight = d.Destinations[i].Limit.Rate
		}
		endpoints = append(endpoints, e)
	}
	relays := make([]*relay, d.Relays)
	senders := make([]*dispatch.Sender, d.Relays)
	var members []*fleetMember
	for i := range relays {
		s, err := dispatch.New(settings, int64(sim.Stream(fmt.Sprint("relay seed ", i)).Uint64()>>1))
		if err != nil {
			return result, fmt.Errorf("workload: %w", err)
		}
		senders[i] = s
		var module Module = s
		if d.Mutate != nil {
			module = d.Mutate(s)
		}
		relays[i] = &relay{index: i, module: module, waitUntil: map[int]emulator.Time{}, nextStepAt: -1, lastStepAt: -emulator.Time(settings.Resolution)}
		relays[i].pendingEvents = append(relays[i].pendingEvents, dispatch.MembershipUpdate{Full: true, Endpoints: endpoints})
	}
	servers := make([]*servermodel.FIFO, len(d.Destinations))
	work := make([]interface{ ExpFloat64() float64 }, len(d.Destinations))
	var step func(r *relay)
	post := func(r *relay, ev dispatch.Event) {
		r.pendingEvents = append(r.pendingEvents, ev)
		if r.nextStepAt >= 0 {
			return
		}
		r.nextStepAt = max(sim.Now(), r.lastStepAt+emulator.Time(settings.Resolution))
		sim.At(r.nextStepAt, stepPriority, func() { step(r) })
	}
	if d.Fleet != nil {
		var err error
		if members, err = joinFleet(sim, d.Fleet, relays, senders, post, &result.Gossip); err != nil {
			return result, fmt.Errorf("workload: %w", err)
		}
	}
	report := func(dest int) *dispatch.LimitReport {
		if !d.Reports {
			return nil
		}
		bucket := &d.Destinations[dest].Limit
		return &dispatch.LimitReport{LeftShare: bucket.Left(sim.Now()), Rate: bucket.Rate}
	}
	type call struct {
		caller  *relay
		id      string
		attempt int
		sent    emulator.Time
		ended   *bool // the call has ended for the relay, by its answer or its timeout
	}
	calls := map[int]call{}
	drained := map[int]emulator.Time{} // time of the notification of a drain, by destination
	unsafe, aim := false, emulator.Time(d.TimeLeft)
	for _, c := range settings.Classes {
		if c.Name == d.Class {
			aim = emulator.Time(c.Aim)
		}
		unsafe = unsafe || c.Name == d.Class && c.Effect == dispatch.Unsafe
	}
	nextCall := 0
	attempts := map[string]int{}
	step = func(r *relay) {
		r.nextStepAt, r.lastStepAt = -1, sim.Now()
		events := r.pendingEvents
		r.pendingEvents = nil
		for _, a := range r.module.Step(sim.Now().Duration(), events) {
			switch a := a.(type) {
			case dispatch.Send:
				record := result.Messages[a.ID]
				record.Sends++
				if record.FinalAnswers > 0 {
					record.SentAfterEnd = true
				}
				attempt := attempts[a.ID]
				attempts[a.ID]++
				dest := record.Destination
				if record.MayHaveRun && unsafe {
					record.SentAfterRun = true
				}
				if at, ok := drained[dest]; ok && sim.Now() > at+emulator.Time(DrainGrace) {
					record.SentAfterDrain = true
				}
				// Calls from the step that receives the wait are allowed; calls from later steps are not.
				if sim.Now() < r.waitUntil[dest] {
					record.SentInWait = true
				}
				state, share := d.Destinations[dest].Health.At(sim.Now())
				answer := func(after time.Duration, o dispatch.Outcome) {
					o.ID, o.Attempt, o.Endpoint, o.Latency = a.ID, attempt, a.Endpoint, after
					sim.After(after, serverPriority, func() { post(r, o) })
				}
				ok, wait := d.Destinations[dest].Limit.Take(sim.Now())
				unreachable := state == servermodel.Down || state == servermodel.Silent
				result.Calls = append(result.Calls, Call{sim.Now(), r.index, dest, !unreachable && !ok, unreachable})
				switch {
				case state == servermodel.Down:
					answer(time.Millisecond, dispatch.Outcome{Status: dispatch.ConnectFailed})
				case state == servermodel.Silent: // the call may have run: it reached a machine that does not answer
					record.MayHaveRun = true
					answer(max(a.Timeout, time.Millisecond), dispatch.Outcome{Status: dispatch.TimedOut})
				case !ok:
					answer(time.Millisecond, dispatch.Outcome{Status: dispatch.Refused, RetryAfter: wait, Report: report(dest)})
				default:
					callID := nextCall
					nextCall++
					ended := new(bool)
					calls[callID] = call{r, a.ID, attempt, sim.Now(), ended}
					// The relay waits until the per-call timeout or the message's deadline. The server may still run the call later.
					timeoutAt := record.Due
					if a.Timeout > 0 {
						timeoutAt = min(timeoutAt, sim.Now()+emulator.Time(a.Timeout))
					}
					sim.At(max(timeoutAt, sim.Now()), serverPriority, func() {
						if _, running := calls[callID]; running && !*ended {
							*ended = true
							post(r, dispatch.Outcome{ID: a.ID, Attempt: attempt, Endpoint: a.Endpoint, Status: dispatch.TimedOut,
								Latency: (sim.Now() - calls[callID].sent).Duration()})
						}
					})
					callWork := time.Duration(work[dest].ExpFloat64() * float64(d.Destinations[dest].Work) / max(share, 0.01))
					servers[dest].Arrive(callID, callWork)
					if _, accepted := calls[callID]; accepted { // the server has not refused the call, which may run even if the relay gets no answer
						record.MayHaveRun = true
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
				record := result.Messages[id]
				record.FinalAnswers++
				record.EndedAt = sim.Now()
			case dispatch.Wake:
				at := max(emulator.Time(a.At), sim.Now())
				sim.At(at, stepPriority, func() { post(r, dispatch.WakeDue{}) })
			}
		}
		if members != nil {
			var ended []dispatch.Outcome
			for _, ev := range events {
				if o, ok := ev.(dispatch.Outcome); ok {
					ended = append(ended, o)
				}
			}
			members[r.index].observe(ended, func(id string) int { return result.Messages[id].Destination }, &result.Gossip)
		}
		// A wait begins after the step that receives it: the calls of that step are allowed.
		for _, ev := range events {
			if o, ok := ev.(dispatch.Outcome); ok && o.Status == dispatch.Refused && o.RetryAfter > 0 {
				dest := result.Messages[o.ID].Destination
				r.waitUntil[dest] = max(r.waitUntil[dest], sim.Now()+emulator.Time(o.RetryAfter))
			}
		}
	}
	for i, dest := range d.Destinations {
		work[i] = sim.Stream(fmt.Sprint("work ", i))
		servers[i] = servermodel.NewFIFO(sim, dest.Servers, func(job int, served bool, _ time.Duration) {
			finishedCall := calls[job]
			delete(calls, job)
			if *finishedCall.ended {
				return // the relay no longer waits for the answer
			}
			*finishedCall.ended = true
			o := dispatch.Outcome{ID: finishedCall.id, Attempt: finishedCall.attempt, Endpoint: fmt.Sprint("e", i), Latency: (sim.Now() - finishedCall.sent).Duration()}
			if served {
				o.Status, o.Closed, o.Report = dispatch.OK, true, report(i)
				if record := result.Messages[finishedCall.id]; !record.Delivered && record.FinalAnswers == 0 {
					record.Delivered, record.FinalAnswers, record.EndedAt = true, record.FinalAnswers+1, sim.Now()
				}
			} else {
				o.Status = dispatch.Refused
			}
			post(finishedCall.caller, o)
		})
		arrivals, relayChoice := sim.Stream(fmt.Sprint("arrivals ", i)), sim.Stream(fmt.Sprint("front ", i))
		sequence := 0
		var next func()
		next = func() {
			if sim.Now() > emulator.Time(d.Length) {
				return
			}
			sequence++
			id := fmt.Sprintf("%04x%012x", i, sequence)
			index := relayChoice.IntN(len(relays))
			if d.HotShare > 0 && len(relays) > 1 {
				if index = 0; relayChoice.Float64() >= d.HotShare {
					index = 1 + relayChoice.IntN(len(relays)-1)
				}
			}
			r := relays[index]
			result.Messages[id] = &Record{Relay: r.index, Destination: i, Due: sim.Now() + emulator.Time(d.TimeLeft), Aim: sim.Now() + aim}
			post(r, dispatch.Request{ID: id, Destination: i, Class: d.Class, TimeLeft: d.TimeLeft, SizeBytes: 100})
			sim.After(time.Duration(arrivals.ExpFloat64()/dest.MessagesPerSecond*1e9), emulator.AnyPriority, next)
		}
		sim.At(0, emulator.AnyPriority, next)
	}
	for _, drain := range d.Drains {
		sim.At(drain.At, serverPriority, func() {
			if _, ok := drained[drain.Destination]; !ok {
				drained[drain.Destination] = sim.Now()
			}
			endpoint := endpoints[drain.Destination]
			endpoint.State = dispatch.Draining
			for _, r := range relays {
				post(r, dispatch.MembershipUpdate{Endpoints: []dispatch.Endpoint{endpoint}})
			}
		})
	}
	for _, r := range relays {
		post(r, dispatch.WakeDue{})
	}
	sim.Run(emulator.Time(d.Length + 10*d.TimeLeft))
	for _, p := range members {
		result.Gossip.SentBytes += p.node.SentBytes
	}
	result.EventCount = sim.EventCount()
	return result, nil
}

// SimulateAll runs simulations in parallel on a number of workers. One goroutine runs each simulation from start to end, so that its result
// does not depend on the number of workers. The results are in the order of scenarios.
func SimulateAll(scenarios []Scenario, workers int) ([]Result, error) {
	results, errs := make([]Result, len(scenarios)), make([]error, len(scenarios))
	next := make(chan int)
	done := make(chan struct{})
	for range max(workers, 1) {
		go func() {
			defer func() { done <- struct{}{} }()
			for i := range next {
				results[i], errs[i] = Simulate(scenarios[i])
			}
		}()
	}
	for i := range scenarios {
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
