package capacity

import (
	"time"

	"slatemux/internal/lab/emulator"
)

// plan schedules what the scenario wants to happen.
func (f *fleet) plan() {
	if f.scenario.Changes != nil {
		f.planChanges()
	}
	if f.scenario.Restarts != nil {
		f.planRestarts()
	}
	if f.scenario.ZoneLoss != nil {
		f.planZoneLoss()
	}
	if f.scenario.Reunion != nil {
		f.planReunion()
	}
}

func (f *fleet) planChanges() {
	c := f.scenario.Changes
	f.at(0, func() { f.seed(int(c.Standing), f.start, func(int, *relay) bool { return true }) })
	for i := range int(c.Count) {
		f.at(seconds(c.AtS+c.EveryS*float64(i)), f.publish)
	}
}

// controlPoint is the relay at which operators make the next change: one after another of those that live.
func (f *fleet) controlPoint() *relay {
	points := min(int(f.scenario.Changes.ControlPoints), len(f.relays))
	for range points {
		r := f.relays[f.turn%points]
		f.turn++
		if !r.down && !r.gone {
			return r
		}
	}
	return nil
}

// publish makes a change. Where no control point lives the operators try again a moment later.
func (f *fleet) publish() {
	r := f.controlPoint()
	if r == nil {
		f.sim.After(simulatedSlice, emulator.Any, f.publish)
		return
	}
	change := f.arrivals.add(f.sim.Now(), len(f.relays))
	f.call(r, func(now time.Duration) []Message {
		messages, err := r.node.(Publisher).Publish(now, change)
		if err != nil {
			f.err = err
		}
		return messages
	})
}

func (f *fleet) planRestarts() {
	c := f.scenario.Restarts
	share := int(c.Share*float64(len(f.relays)) + 0.5)
	for _, i := range f.rng.Perm(len(f.relays))[:share] {
		r := f.relays[i]
		at := seconds(c.FromS + f.rng.Float64()*c.WithinS)
		f.at(at, func() { f.end(r) })
		f.at(at+seconds(c.DownS), func() { f.begin(r) })
	}
}

func (f *fleet) planZoneLoss() {
	c := f.scenario.ZoneLoss
	lost := func(i int) bool { return f.scenario.Topology.Zone(i) == int(c.Zone) }
	rest := newView(f.scenario.Topology, len(f.relays), func(i int) bool { return !lost(i) })
	f.at(seconds(c.AtS), func() {
		for i, r := range f.relays {
			if lost(i) {
				f.end(r)
				r.gone = true
			}
		}
	})
	f.at(seconds(c.AtS)+seconds(c.LearnedAfterS), func() {
		for _, r := range f.relays {
			if !r.gone {
				f.hear(r, rest)
			}
		}
	})
}

func (f *fleet) planReunion() {
	c := f.scenario.Reunion
	together := seconds(c.AtS)
	f.at(0, func() {
		f.seed(int(c.Changes), f.start+emulator.Time(together), func(i int, publisher *relay) bool { return f.side(i) == f.side(publisher.index) })
	})
	all := newView(f.scenario.Topology, len(f.relays), func(int) bool { return true })
	f.at(together, func() {
		f.apart = false
		for _, r := range f.relays {
			f.hear(r, all)
		}
	})
}

// seed puts changes of the time before into the stores of those relays that had them. They count as published, to the others, at a time.
func (f *fleet) seed(count int, published emulator.Time, had func(relay int, publisher *relay) bool) {
	for range count {
		publisher := f.controlPoint()
		if publisher == nil {
			return
		}
		change := f.arrivals.add(published, len(f.relays))
		delays := f.arrivals.changes[change].delays
		for i, r := range f.relays {
			if !had(i, publisher) {
				continue
			}
			delays[i] = exempt
			if err := r.node.(Publisher).Seed((f.sim.Now() - r.began).Duration(), change, publisher.index); err != nil {
				f.err = err
				return
			}
		}
	}
}
