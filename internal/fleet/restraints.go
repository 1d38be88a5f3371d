package fleet

import (
	"slices"
	"time"

	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

// OnHold reports whether calls of a group must wait because of an announcement of other relays. The relay calls OnHold before
// it writes each call.
func (f *Fleet) OnHold(group traffic.Group, now time.Time) bool {
	if now.UnixNano() >= f.lastHoldEndNanos.Load() { // the usual case: no group is on hold
		return false
	}
	f.shared.Lock()
	defer f.shared.Unlock()
	return now.Before(f.shared.holdEnds[group])
}

// restrain stores the holds for OnHold, and passes all restraints to the relay.
func (f *Fleet) restrain(restraints []verdicts.Restraint) {
	if len(restraints) == 0 {
		return
	}
	list := make([]traffic.Restraint, 0, len(restraints))
	f.shared.Lock()
	for _, r := range restraints {
		translated := f.translate(r)
		if translated.Kind == traffic.RestraintWait {
			f.setHold(translated.Group, translated.At)
		}
		list = append(list, translated)
	}
	f.dropExpiredHolds(time.Now())
	f.shared.Unlock()
	f.relay.ApplyRestraints(list)
}

// translate converts a decision of the judge into a restraint for the relay.
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

// setHold stores until when a group is on hold. The caller holds the lock.
func (f *Fleet) setHold(group traffic.Group, until time.Time) {
	f.shared.holdEnds[group] = until
	f.lastHoldEndNanos.Store(max(f.lastHoldEndNanos.Load(), until.UnixNano()))
}

// dropExpiredHolds removes the holds that have ended. The caller holds the lock.
func (f *Fleet) dropExpiredHolds(now time.Time) {
	for group, until := range f.shared.holdEnds {
		if !until.After(now) {
			delete(f.shared.holdEnds, group)
		}
	}
}

// updateExclusions passes the pool members that get no new calls to the relay, if the list has changed.
func (f *Fleet) updateExclusions(now time.Duration) {
	var exclusions []traffic.Exclusion
	for _, name := range f.judge.ExcludedMembers(now) {
		ban := verdicts.Subject{Kind: verdicts.Ban, Destination: f.pool[name].Destination, Member: name}
		exclusions = append(exclusions, traffic.Exclusion{Member: name, Banned: f.countOrigins(now, ban) > 0})
	}
	exclusions = f.configuration.addExclusions(exclusions, f.pool)
	if slices.Equal(exclusions, f.lastExclusions) {
		return
	}
	f.lastExclusions = exclusions
	f.relay.SetExclusions(slices.Clone(exclusions))
}
