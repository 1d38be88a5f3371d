package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"slatemux/internal/lab/emulator"
)

const (
	// startWithin is how long it takes until all processes of a fleet have begun.
	startWithin = time.Second
	// hearWithin is how long it takes until all relays have heard of a change of members.
	hearWithin = time.Second
	// simulatedSlice is how much virtual time passes between two looks at the world outside.
	simulatedSlice = 100 * time.Millisecond
	// noEvent is an instant that does not come.
	noEvent = emulator.Time(1<<63 - 1)
)

// relay is one of the fleet.
type relay struct {
	index      int
	node       Node
	began      emulator.Time // of its process
	generation int           // of its processes
	down       bool
	gone       bool // for good
	nextTick   emulator.Time
	view       *View
	used       time.Duration // processor time, in the carrier's code
}

// fleet is a run that is going on.
type fleet struct {
	ctx      context.Context
	sim      *emulator.Sim
	scenario *Scenario
	carrier  Carrier
	relays   []*relay
	links    *links
	meter    *meter
	arrivals *arrivals
	rng      *rand.Rand    // of the faults
	start    emulator.Time // of the measured time
	apart    bool          // the two groups of regions
	turn     int           // of the control points
	used     time.Duration
	events   uint64
	err      error
}

func newFleet(ctx context.Context, s *Scenario, c carrierDefinition, relays int, seed uint64) (*fleet, error) {
	f := &fleet{ctx: ctx, sim: emulator.New(seed), scenario: s, arrivals: &arrivals{}, start: emulator.Time(s.WarmUp)}
	f.rng = f.sim.Stream("faults")
	f.links = newLinks(s.Topology, f.sim.Stream("links"))
	f.meter = newMeter(relays, f.start, s.Length)
	environment := &Environment{Scenario: s, Relays: relays, Seed: seed, index: map[string]int{}, Learned: func(relay, change int) {
		f.arrivals.learned(f.sim.Now(), f.relays[relay].began, relay, change)
	}, Now: func() time.Duration { return f.sim.Now().Duration() }, Follow: func() int { return f.arrivals.add(f.sim.Now(), relays) }}
	for i := range relays {
		environment.index[relayName(i)] = i
		f.relays = append(f.relays, &relay{index: i, down: true, nextTick: noEvent})
	}
	var err error
	if f.carrier, err = c.create(environment); err != nil {
		return nil, err
	}
	f.apart = s.Reunion != nil
	f.populate()
	f.plan()
	return f, nil
}

// populate has all processes begin, each knowing who is a member.
func (f *fleet) populate() {
	views := f.firstViews()
	starts := f.sim.Stream("starts")
	for i, r := range f.relays {
		r.view = views[f.side(i)]
		f.at(time.Duration(starts.Float64()*float64(startWithin))-f.scenario.WarmUp, func() { f.begin(r) })
	}
}

// firstViews are those of the two sides; of one where none is apart.
func (f *fleet) firstViews() [2]*View {
	t, n := f.scenario.Topology, len(f.relays)
	if !f.apart {
		all := newView(t, n, func(int) bool { return true })
		return [2]*View{all, all}
	}
	return [2]*View{newView(t, n, func(i int) bool { return f.side(i) == 0 }), newView(t, n, func(i int) bool { return f.side(i) == 1 })}
}

// side is in which of the two groups of regions a relay stands.
func (f *fleet) side(relay int) int {
	if f.scenario.Topology.Region(relay) < (f.scenario.Topology.Regions+1)/2 {
		return 0
	}
	return 1
}

// at schedules something at a time from the beginning of the measured time.
func (f *fleet) at(since time.Duration, do func()) {
	f.sim.At(f.start+emulator.Time(since), emulator.Any, func() {
		if f.ctx.Err() == nil && f.err == nil {
			do()
		}
	})
}

// run plays until the end, or until its context ends. Progress is reported as how much of the virtual time is over; pause is called
// before each slice.
func (f *fleet) run(pause func(), progress func(done, whole time.Duration)) error {
	whole := f.scenario.WarmUp + f.scenario.Length
	for now := simulatedSlice; ; now += simulatedSlice {
		pause()
		f.events += f.sim.Run(emulator.Time(min(now, whole)))
		if err := f.ctx.Err(); err != nil {
			return fmt.Errorf("stopped after %v of %v of virtual time: %w", f.sim.Now().Duration(), whole, err)
		}
		if f.err != nil {
			return f.err
		}
		progress(f.sim.Now().Duration(), whole)
		if now >= whole {
			return nil
		}
	}
}

// begin starts a relay's process.
func (f *fleet) begin(r *relay) {
	r.generation++
	r.began = f.sim.Now()
	node, err := f.carrier.Start(r.index, uint64(r.generation), r.node)
	if err != nil {
		f.err = fmt.Errorf("%s: %w", relayName(r.index), err)
		return
	}
	r.node, r.down = node, false
	f.call(r, func(now time.Duration) []Message { return r.node.Members(now, r.view) })
}

// end stops it, now; what is under way to it is lost.
func (f *fleet) end(r *relay) {
	r.generation++
	r.down = true
	r.nextTick = noEvent
}

// hear tells a relay of another view, within a while.
func (f *fleet) hear(r *relay, view *View) {
	after := time.Duration(f.rng.Float64() * float64(hearWithin))
	f.sim.After(after, emulator.Any, func() {
		r.view = view
		if !r.down && f.ctx.Err() == nil {
			f.call(r, func(now time.Duration) []Message { return r.node.Members(now, view) })
		}
	})
}

// call runs the carrier's code at a relay, measures its processor time, and sends what comes of it.
func (f *fleet) call(r *relay, do func(now time.Duration) []Message) {
	before := threadProcessor()
	messages := do((f.sim.Now() - r.began).Duration())
	due := r.node.Due()
	took := threadProcessor() - before
	if f.sim.Now() >= f.start {
		r.used += took
	}
	f.used += took
	for _, m := range messages {
		f.send(r, m)
	}
	f.wake(r, r.began+emulator.Time(max(due, 0)))
}

// wake has a relay look at what is due then, unless it will look earlier.
func (f *fleet) wake(r *relay, at emulator.Time) {
	at = max(at, f.sim.Now()+emulator.Time(time.Millisecond))
	if at >= r.nextTick {
		return
	}
	r.nextTick = at
	generation := r.generation
	f.sim.At(at, emulator.Any, func() {
		if r.generation != generation || r.nextTick != at || f.ctx.Err() != nil {
			return
		}
		r.nextTick = noEvent
		if due := r.began + emulator.Time(r.node.Due()); due > f.sim.Now() { // it has been put off since
			f.wake(r, due)
			return
		}
		f.call(r, r.node.Tick)
	})
}

// send puts a message on its way.
func (f *fleet) send(from *relay, m Message) {
	f.meter.sends(f.sim.Now(), from.index, m.Bytes)
	delay, arrives := f.links.pass(from.index, m.To)
	to := f.relays[m.To]
	if !arrives || to.down || f.apart && f.side(from.index) != f.side(m.To) {
		return
	}
	generation, sender := to.generation, from.index
	f.sim.After(delay, emulator.Any, func() {
		if to.generation != generation || f.ctx.Err() != nil {
			return
		}
		f.meter.receives(f.sim.Now(), to.index, m.Bytes)
		f.call(to, func(now time.Duration) []Message { return to.node.Receive(now, sender, m.Body) })
	})
}

// live says whether a relay has a process that is not gone for good.
func (f *fleet) live(relay int) bool { return !f.relays[relay].gone }
