package capacity

import (
	"time"

	"slatemux/internal/lab/emulator"
)

// scheduleEvents schedules the changes and the faults of the scenario.
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

// controlPoint returns the relay at which operators make the next change. The control points take turns, and relays that are down are
// skipped. It returns nil if all control points are down.
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

// publish makes a change at the next control point. If all control points are down, it retries after one time slice.
func (f *fleet) publish() {
	r := f.controlPoint()
	if r == nil {
		f.sim.After(timeSlice, emulator.AnyPriority, f.publish)
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
	remaining := newView(f.scenario.Topology, len(f.relays), func(i int) bool { return !lost(i) })
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
				f.notifyMembers(r, remaining)
			}
		}
	})
}

func (f *fleet) scheduleReunion() {
	c := f.scenario.Reunion
	reunionAt := seconds(c.AtS)
	f.schedule(0, func() {
		f.seedChanges(int(c.Changes), f.measurementStart+emulator.Time(reunionAt),
			func(i int, publisher *relay) bool { return f.partitionOf(i) == f.partitionOf(publisher.index) })
	})
	all := newView(f.scenario.Topology, len(f.relays), func(int) bool { return true })
	f.schedule(reunionAt, func() {
		f.partitioned = false
		for _, r := range f.relays {
			f.notifyMembers(r, all)
		}
	})
}

// seedChanges stores earlier changes at the relays for which hadChange returns true. For all other relays, the given time counts as the
// publication of these changes.
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
