package capacity

import (
	"time"

	"slatemux/internal/lab/emulator"
)

// scheduleEvents schedules what the scenario wants to happen.
func (f *fleet) scheduleEvents() {
	if f.scenario.Changes != nil {
		f.scheduleChanges()
	}
	if f.scenario.Restarts != nil {
		f.scheduleRestarts()
	}
	if f.scenario.ZoneLoss != nil {
		f.scheduleZoneLoss()
	}
	if f.scenario.Reunion != nil {
		f.scheduleReunion()
	}
}

func (f *fleet) scheduleChanges() {
	c := f.scenario.Changes
	f.schedule(0, func() { f.seedChanges(int(c.Standing), f.measurementStart, func(int, *relay) bool { return true }) })
	for i := range int(c.Count) {
		f.schedule(seconds(c.AtS+c.EveryS*float64(i)), f.publish)
	}
}

// controlPoint is the relay at which operators make the next change: one after another of those that live.
func (f *fleet) controlPoint() *relay {
	points := min(int(f.scenario.Changes.ControlPoints), len(f.relays))
	for range points {
		r := f.relays[f.nextControlPoint%points]
		f.nextControlPoint++
		if !r.down && !r.removed {
			return r
		}
	}
	return nil
}

// publish makes a change. Where no control point lives the operators try again a moment later.
func (f *fleet) publish() {
	r := f.controlPoint()
	if r == nil {
		f.sim.After(timeSlice, emulator.Any, f.publish)
		return
	}
	change := f.arrivals.track(f.sim.Now(), len(f.relays))
	f.runNode(r, func(now time.Duration) []Message {
		messages, err := r.node.(Publisher).Publish(now, change)
		if err != nil {
			f.err = err
		}
		return messages
	})
}

func (f *fleet) scheduleRestarts() {
	c := f.scenario.Restarts
	count := int(c.Share*float64(len(f.relays)) + 0.5)
	for _, i := range f.faultRNG.Perm(len(f.relays))[:count] {
		r := f.relays[i]
		at := seconds(c.FromS + f.faultRNG.Float64()*c.WithinS)
		f.schedule(at, func() { f.stopRelay(r) })
		f.schedule(at+seconds(c.DownS), func() { f.startRelay(r) })
	}
}

func (f *fleet) scheduleZoneLoss() {
	c := f.scenario.ZoneLoss
	lost := func(i int) bool { return f.scenario.Topology.Zone(i) == int(c.Zone) }
	rest := newView(f.scenario.Topology, len(f.relays), func(i int) bool { return !lost(i) })
	f.schedule(seconds(c.AtS), func() {
		for i, r := range f.relays {
			if lost(i) {
				f.stopRelay(r)
				r.removed = true
			}
		}
	})
	f.schedule(seconds(c.AtS)+seconds(c.LearnedAfterS), func() {
		for _, r := range f.relays {
			if !r.removed {
				f.notifyMembers(r, rest)
			}
		}
	})
}

func (f *fleet) scheduleReunion() {
	c := f.scenario.Reunion
	reunionAt := seconds(c.AtS)
	f.schedule(0, func() {
		f.seedChanges(int(c.Changes), f.measurementStart+emulator.Time(reunionAt), func(i int, publisher *relay) bool { return f.partitionOf(i) == f.partitionOf(publisher.index) })
	})
	all := newView(f.scenario.Topology, len(f.relays), func(int) bool { return true })
	f.schedule(reunionAt, func() {
		f.partitioned = false
		for _, r := range f.relays {
			f.notifyMembers(r, all)
		}
	})
}

// seedChanges puts changes of the time before into the stores of those relays that had them. They count as published, to the others, at a time.
func (f *fleet) seedChanges(count int, published emulator.Time, hadChange func(relay int, publisher *relay) bool) {
	for range count {
		publisher := f.controlPoint()
		if publisher == nil {
			return
		}
		change := f.arrivals.track(published, len(f.relays))
		delays := f.arrivals.changes[change].delays
		for i, r := range f.relays {
			if !hadChange(i, publisher) {
				continue
			}
			delays[i] = alreadyKnown
			if err := r.node.(Publisher).Seed((f.sim.Now() - r.startedAt).Duration(), change, publisher.index); err != nil {
				f.err = err
				return
			}
		}
	}
}
