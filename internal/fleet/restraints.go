package fleet

import (
	"slices"
	"time"

	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

// Held reports whether an announcement of other relays holds a group. It is called before each call is written.
func (f *Fleet) Held(group traffic.Group, now time.Time) bool {
	if now.UnixNano() >= f.holdsUntil.Load() { // no hold at all, as is usual
		return false
	}
	f.shared.Lock()
	defer f.shared.Unlock()
	return now.Before(f.shared.holds[group])
}

// restrain hands restraints to the relay, and holds calls that are about to be written.
func (f *Fleet) restrain(restraints []verdicts.Restraint) {
	if len(restraints) == 0 {
		return
	}
	list := make([]traffic.Restraint, 0, len(restraints))
	f.shared.Lock()
	for _, r := range restraints {
		translated := f.translate(r)
		if translated.Kind == traffic.RestraintWait {
			f.hold(translated.Group, translated.At)
		}
		list = append(list, translated)
	}
	f.dropExpiredHolds(time.Now())
	f.shared.Unlock()
	f.relay.ApplyRestraints(list)
}

// translate converts a decision of the judge into the relay's form.
func (f *Fleet) translate(r verdicts.Restraint) traffic.Restraint {
	translated := traffic.Restraint{Member: r.Member, At: f.wallTime(r.At)}
	switch r.Order {
	case verdicts.OrderWait:
		translated.Kind = traffic.RestraintWait
		translated.Group = traffic.Group{Destination: r.Destination, Member: r.Member}
	case verdicts.OrderOutage:
		translated.Kind = traffic.RestraintOutage
	case verdicts.OrderRecovery:
		translated.Kind = traffic.RestraintRecovery
	case verdicts.OrderRelease:
		translated.Kind = traffic.RestraintRelease
	}
	return translated
}

// hold stores until when a group is held. It needs the lock.
func (f *Fleet) hold(group traffic.Group, until time.Time) {
	f.shared.holds[group] = until
	f.holdsUntil.Store(max(f.holdsUntil.Load(), until.UnixNano()))
}

// dropExpiredHolds needs the lock.
func (f *Fleet) dropExpiredHolds(now time.Time) {
	for group, until := range f.shared.holds {
		if !until.After(now) {
			delete(f.shared.holds, group)
		}
	}
}

// updateBars hands the relay the members that get no new calls, where the list has changed.
func (f *Fleet) updateBars(now time.Duration) {
	var bars []traffic.Exclusion
	for _, name := range f.judge.ExcludedMembers(now) {
		ban := verdicts.Subject{Kind: verdicts.Ban, Destination: f.pool[name].Destination, Member: name}
		bars = append(bars, traffic.Exclusion{Member: name, Banned: f.countOrigins(now, ban) > 0})
	}
	bars = f.configuration.addBars(bars, f.pool)
	if slices.Equal(bars, f.lastBars) {
		return
	}
	f.lastBars = bars
	f.relay.SetExclusions(slices.Clone(bars))
}
