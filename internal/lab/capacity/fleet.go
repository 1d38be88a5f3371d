package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"slatemux/internal/lab/emulator"
)

const (
	// maxStartDelay is how long it takes until all processes of a fleet have begun.
	maxStartDelay = time.Second
	// maxMembershipDelay is how long it takes until all relays have heard of a change of members.
	maxMembershipDelay = time.Second
	// timeSlice is how much virtual time passes between two looks at the world outside.
	timeSlice = 100 * time.Millisecond
	// never is an instant that does not come.
	never = emulator.Time(1<<63 - 1)
)

// relay is one of the fleet.
type relay struct {
	index      int
	node       Node
	startedAt  emulator.Time // of its process
	generation int           // of its processes
	down       bool
	removed    bool // for good
	nextTick   emulator.Time
	view       *View
	cpuTime    time.Duration // processor time, in the carrier's code
}

// fleet is a run that is going on.
type fleet struct {
	ctx              context.Context
	sim              *emulator.Sim
	scenario         *Scenario
	carrier          Carrier
	relays           []*relay
	links            *links
	meter            *meter
	arrivals         *arrivals
	faultRNG         *rand.Rand    // of the faults
	measurementStart emulator.Time // of the measured time
	partitioned      bool          // the two groups of regions
	nextControlPoint int           // of the control points
	cpuTime          time.Duration
	events           uint64
	err              error
}

func newFleet(ctx context.Context, s *Scenario, c carrierDefinition, relays int, seed uint64) (*fleet, error) {
	f := &fleet{ctx: ctx, sim: emulator.New(seed), scenario: s, arrivals: &arrivals{}, measurementStart: emulator.Time(s.WarmUp)}
	f.faultRNG = f.sim.Stream("faults")
	f.links = newLinks(s.Topology, f.sim.Stream("links"))
	f.meter = newMeter(relays, f.measurementStart, s.Length)
	environment := &Environment{Scenario: s, Relays: relays, Seed: seed, indexByName: map[string]int{}, OnLearned: func(relay, change int) {
		f.arrivals.record(f.sim.Now(), f.relays[relay].startedAt, relay, change)
	}, Now: func() time.Duration { return f.sim.Now().Duration() }, TrackChange: func() int { return f.arrivals.track(f.sim.Now(), relays) }}
	for i := range relays {
		environment.indexByName[relayName(i)] = i
		f.relays = append(f.relays, &relay{index: i, down: true, nextTick: never})
	}
	var err error
	if f.carrier, err = c.create(environment); err != nil {
		return nil, err
	}
	f.partitioned = s.Reunion != nil
	f.scheduleStarts()
	f.scheduleEvents()
	return f, nil
}

// scheduleStarts has all processes begin, each knowing who is a member.
func (f *fleet) scheduleStarts() {
	views := f.initialViews()
	starts := f.sim.Stream("starts")
	for i, r := range f.relays {
		r.view = views[f.partitionOf(i)]
		f.schedule(time.Duration(starts.Float64()*float64(maxStartDelay))-f.scenario.WarmUp, func() { f.startRelay(r) })
	}
}

// initialViews are those of the two sides; of one where none is apart.
func (f *fleet) initialViews() [2]*View {
	t, n := f.scenario.Topology, len(f.relays)
	if !f.partitioned {
		all := newView(t, n, func(int) bool { return true })
		return [2]*View{all, all}
	}
	return [2]*View{newView(t, n, func(i int) bool { return f.partitionOf(i) == 0 }), newView(t, n, func(i int) bool { return f.partitionOf(i) == 1 })}
}

// partitionOf is in which of the two groups of regions a relay stands.
func (f *fleet) partitionOf(relay int) int {
	if f.scenario.Topology.Region(relay) < (f.scenario.Topology.Regions+1)/2 {
		return 0
	}
	return 1
}

// schedule schedules something at a time from the beginning of the measured time.
func (f *fleet) schedule(offset time.Duration, action func()) {
	f.sim.At(f.measurementStart+emulator.Time(offset), emulator.Any, func() {
		if f.ctx.Err() == nil && f.err == nil {
			action()
		}
	})
}

// run plays until the end, or until its context ends. Progress is reported as how much of the virtual time is over; pause is called
// before each slice.
func (f *fleet) run(pause func(), progress func(elapsed, total time.Duration)) error {
	total := f.scenario.WarmUp + f.scenario.Length
	for now := timeSlice; ; now += timeSlice {
		pause()
		f.events += f.sim.Run(emulator.Time(min(now, total)))
		if err := f.ctx.Err(); err != nil {
			return fmt.Errorf("stopped after %v of %v of virtual time: %w", f.sim.Now().Duration(), total, err)
		}
		if f.err != nil {
			return f.err
		}
		progress(f.sim.Now().Duration(), total)
		if now >= total {
			return nil
		}
	}
}

// startRelay starts a relay's process.
func (f *fleet) startRelay(r *relay) {
	r.generation++
	r.startedAt = f.sim.Now()
	node, err := f.carrier.Start(r.index, uint64(r.generation), r.node)
	if err != nil {
		f.err = fmt.Errorf("%s: %w", relayName(r.index), err)
		return
	}
	r.node, r.down = node, false
	f.runNode(r, func(now time.Duration) []Message { return r.node.SetMembers(now, r.view) })
}

// stopRelay stops it, now; what is under way to it is lost.
func (f *fleet) stopRelay(r *relay) {
	r.generation++
	r.down = true
	r.nextTick = never
}

// notifyMembers tells a relay of another view, within a while.
func (f *fleet) notifyMembers(r *relay, view *View) {
	delay := time.Duration(f.faultRNG.Float64() * float64(maxMembershipDelay))
	f.sim.After(delay, emulator.Any, func() {
		r.view = view
		if !r.down && f.ctx.Err() == nil {
			f.runNode(r, func(now time.Duration) []Message { return r.node.SetMembers(now, view) })
		}
	})
}

// runNode runs the carrier's code at a relay, measures its processor time, and sends what comes of it.
func (f *fleet) runNode(r *relay, step func(now time.Duration) []Message) {
	before := threadCPUTime()
	messages := step((f.sim.Now() - r.startedAt).Duration())
	due := r.node.Due()
	spent := threadCPUTime() - before
	if f.sim.Now() >= f.measurementStart {
		r.cpuTime += spent
	}
	f.cpuTime += spent
	for _, m := range messages {
		f.send(r, m)
	}
	f.scheduleTick(r, r.startedAt+emulator.Time(max(due, 0)))
}

// scheduleTick has a relay look at what is due then, unless it will look earlier.
func (f *fleet) scheduleTick(r *relay, at emulator.Time) {
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
		r.nextTick = never
		if due := r.startedAt + emulator.Time(r.node.Due()); due > f.sim.Now() { // it has been put off since
			f.scheduleTick(r, due)
			return
		}
		f.runNode(r, r.node.Tick)
	})
}

// send puts a message on its way.
func (f *fleet) send(from *relay, m Message) {
	f.meter.recordSent(f.sim.Now(), from.index, m.Bytes)
	delay, arrives := f.links.transmit(from.index, m.To)
	to := f.relays[m.To]
	if !arrives || to.down || f.partitioned && f.partitionOf(from.index) != f.partitionOf(m.To) {
		return
	}
	generation, sender := to.generation, from.index
	f.sim.After(delay, emulator.Any, func() {
		if to.generation != generation || f.ctx.Err() != nil {
			return
		}
		f.meter.recordReceived(f.sim.Now(), to.index, m.Bytes)
		f.runNode(to, func(now time.Duration) []Message { return to.node.Receive(now, sender, m.Body) })
	})
}

// isLive says whether a relay has a process that is not gone for good.
func (f *fleet) isLive(relay int) bool { return !f.relays[relay].removed }
