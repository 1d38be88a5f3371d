package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"slatemux/internal/lab/emulator"
)

const (
	// maxStartDelay is the maximum random delay of the first start of a relay.
	maxStartDelay = time.Second
	// maxMembershipDelay is the maximum random delay after which a relay learns of a membership change.
	maxMembershipDelay = time.Second
	// timeSlice is the virtual time between two checks for cancellation, pauses and progress reports.
	timeSlice = 100 * time.Millisecond
	// never is a time that is not reached.
	never = emulator.Time(1<<63 - 1)
)

// relay is a relay of the simulated fleet.
type relay struct {
	index      int
	node       Node
	startedAt  emulator.Time // start of the current process
	generation int           // incremented at each start and stop of a process
	down       bool
	removed    bool // down permanently
	nextTick   emulator.Time
	view       *View
	cpuTime    time.Duration // CPU time of the carrier's code during the measured time
}

// fleet is the state of a run.
type fleet struct {
	ctx              context.Context
	sim              *emulator.Sim
	scenario         *Scenario
	carrier          Carrier
	relays           []*relay
	links            *links
	meter            *meter
	arrivals         *arrivals
	faultRNG         *rand.Rand
	measurementStart emulator.Time // end of the warm-up
	partitioned      bool          // no packets pass between the two groups of regions
	nextControlPoint int           // increases without limit; taken modulo the number of control points
	cpuTime          time.Duration // CPU time of the carrier's code in the whole run
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

// scheduleStarts schedules the first start of each relay at a random time. The relays know the members from the beginning.
func (f *fleet) scheduleStarts() {
	views := f.initialViews()
	starts := f.sim.Stream("starts")
	for i, r := range f.relays {
		r.view = views[f.partitionOf(i)]
		f.schedule(time.Duration(starts.Float64()*float64(maxStartDelay))-f.scenario.WarmUp, func() { f.startRelay(r) })
	}
}

// initialViews returns the membership views of the two partitions. Without a partition, both are the view of the whole fleet.
func (f *fleet) initialViews() [2]*View {
	t, n := f.scenario.Topology, len(f.relays)
	if !f.partitioned {
		all := newView(t, n, func(int) bool { return true })
		return [2]*View{all, all}
	}
	return [2]*View{newView(t, n, func(i int) bool { return f.partitionOf(i) == 0 }), newView(t, n, func(i int) bool { return f.partitionOf(i) == 1 })}
}

// partitionOf returns the number, 0 or 1, of the group of regions to which a relay belongs.
func (f *fleet) partitionOf(relay int) int {
	if f.scenario.Topology.Region(relay) < (f.scenario.Topology.Regions+1)/2 {
		return 0
	}
	return 1
}

// schedule schedules an action at an offset from the start of the measured time. The offset is negative during the warm-up.
func (f *fleet) schedule(offset time.Duration, action func()) {
	f.sim.At(f.measurementStart+emulator.Time(offset), emulator.AnyPriority, func() {
		if f.ctx.Err() == nil && f.err == nil {
			action()
		}
	})
}

// run simulates until the end of the run or until the context is cancelled. It calls pause before each time slice and progress after
// it, with the elapsed and the total virtual time.
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

// startRelay starts a process of a relay.
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

// stopRelay stops the process of a relay immediately. Packets that are on their way to the relay are lost.
func (f *fleet) stopRelay(r *relay) {
	r.generation++
	r.down = true
	r.nextTick = never
}

// notifyMembers gives a relay a new membership view after a random delay.
func (f *fleet) notifyMembers(r *relay, view *View) {
	delay := time.Duration(f.faultRNG.Float64() * float64(maxMembershipDelay))
	f.sim.After(delay, emulator.AnyPriority, func() {
		r.view = view
		if !r.down && f.ctx.Err() == nil {
			f.runNode(r, func(now time.Duration) []Message { return r.node.SetMembers(now, view) })
		}
	})
}

// runNode runs a step of the carrier's code at a relay, measures the CPU time, sends the returned messages and schedules the next tick.
func (f *fleet) runNode(r *relay, step func(now time.Duration) []Message) {
	before := threadCPUTime()
	messages := step((f.sim.Now() - r.startedAt).Duration())
	due := r.node.NextTick()
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

// scheduleTick schedules a tick of a relay, unless an earlier tick is already scheduled.
func (f *fleet) scheduleTick(r *relay, at emulator.Time) {
	at = max(at, f.sim.Now()+emulator.Time(time.Millisecond))
	if at >= r.nextTick {
		return
	}
	r.nextTick = at
	generation := r.generation
	f.sim.At(at, emulator.AnyPriority, func() {
		if r.generation != generation || r.nextTick != at || f.ctx.Err() != nil {
			return
		}
		r.nextTick = never
		if due := r.startedAt + emulator.Time(r.node.NextTick()); due > f.sim.Now() { // the node has postponed its work
			f.scheduleTick(r, due)
			return
		}
		f.runNode(r, r.node.Tick)
	})
}

// send transmits a message. It is lost if the link drops it, or if the receiving relay is down or in the other partition.
func (f *fleet) send(from *relay, m Message) {
	f.meter.recordSent(f.sim.Now(), from.index, m.Bytes)
	delay, arrives := f.links.transmit(from.index, m.To)
	to := f.relays[m.To]
	if !arrives || to.down || f.partitioned && f.partitionOf(from.index) != f.partitionOf(m.To) {
		return
	}
	generation, sender := to.generation, from.index
	f.sim.After(delay, emulator.AnyPriority, func() {
		if to.generation != generation || f.ctx.Err() != nil {
			return
		}
		f.meter.recordReceived(f.sim.Now(), to.index, m.Bytes)
		f.runNode(to, func(now time.Duration) []Message { return to.node.Receive(now, sender, m.Body) })
	})
}

// isLive reports whether a relay is not permanently down.
func (f *fleet) isLive(relay int) bool { return !f.relays[relay].removed }
