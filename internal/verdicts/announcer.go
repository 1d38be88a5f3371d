package verdicts

import (
	"slices"
	"time"
)

// minWaitExtension is how much longer than the known waits a wait has to be to be announced: a partner that is at its limit
// turns away calls of many relays at one moment, and a wait that is over before it is known holds nobody.
const minWaitExtension = 50 * time.Millisecond

// Announcer makes this relay's own statements. What the fleet knows already is not announced again.
type Announcer struct {
	origin           string
	version          Version          // of the newest statement
	announcedOutages map[Subject]bool // members that it has announced to be out
	activeBans       map[Subject]bool // members that operators have taken down
}

// NewAnnouncer returns an announcer for a relay's incarnation.
func NewAnnouncer(origin string, incarnation uint64) *Announcer {
	return &Announcer{
		origin:           origin,
		version:          Version{Incarnation: incarnation},
		announcedOutages: map[Subject]bool{},
		activeBans:       map[Subject]bool{},
	}
}

// Incarnation returns the current incarnation.
func (a *Announcer) Incarnation() uint64 { return a.version.Incarnation }

// Supersede moves to an incarnation above that of a statement that others have of this relay, where this process has not
// made it: another process used the name, or the count of its starts was lost. It reports whether that was so.
func (a *Announcer) Supersede(v Version) bool {
	if v.Compare(a.version) <= 0 {
		return false
	}
	a.version = Version{Incarnation: v.Incarnation + 1}
	return true
}

// stamp gives a statement its origin, version and life.
func (a *Announcer) stamp(s Statement) Statement {
	a.version.Seq++
	s.Origin = a.origin
	s.Version = a.version
	if s.Life == 0 {
		s.Life = s.Kind.Life()
	}
	return s
}

// Wait announces a wait that a destination asked this relay for, unless known waits last as long.
func (a *Announcer) Wait(now time.Duration, store *Store, o Observation) (Statement, bool) {
	if o.Outcome != Refused || o.Wait < minWaitExtension {
		return Statement{}, false
	}
	waitSubject := o.waitSubject()
	for _, known := range store.About(now, waitSubject) {
		if !known.Over && known.Length-known.Age+minWaitExtension > o.Wait {
			return Statement{}, false
		}
	}
	return a.stamp(Statement{Subject: waitSubject, Length: o.Wait, Life: min(o.Wait, Wait.Life())}), true
}

// Outage announces an outage that has lasted so long, or another try there that failed.
func (a *Announcer) Outage(destination int, member string, lasted time.Duration) Statement {
	s := Subject{Kind: Health, Destination: destination, Member: member}
	a.announcedOutages[s] = true
	return a.stamp(Statement{Subject: s, Length: max(lasted, 0)})
}

// Recovery announces that a member answered after an outage. Where nobody has announced the outage there is nothing to
// take back.
func (a *Announcer) Recovery(now time.Duration, store *Store, destination int, member string) (Statement, bool) {
	s := Subject{Kind: Health, Destination: destination, Member: member}
	isOutage := func(known Statement) bool { return !known.Over }
	if !a.announcedOutages[s] && !slices.ContainsFunc(store.About(now, s), isOutage) {
		return Statement{}, false
	}
	delete(a.announcedOutages, s)
	return a.stamp(Statement{Subject: s, Over: true}), true
}

// Drain announces that discovery, at a version of its list, drains a member, or with over lists it again.
func (a *Announcer) Drain(destination int, member string, list int64, over bool) Statement {
	s := Subject{Kind: Drain, Destination: destination, Member: member}
	return a.stamp(Statement{Subject: s, List: list, Over: over})
}

// Ban announces that operators took a member down, or brought it up. RenewBans repeats bans that stand.
func (a *Announcer) Ban(destination int, member string, down bool) Statement {
	s := Subject{Kind: Ban, Destination: destination, Member: member}
	if down {
		a.activeBans[s] = true
	} else {
		delete(a.activeBans, s)
	}
	return a.stamp(Statement{Subject: s, Over: !down})
}

// RenewBans announces all bans that stand, and forgets members that are not listed any more. Call it a few times within
// the life of a ban.
func (a *Announcer) RenewBans(listed func(member string) bool) (list []Statement) {
	for s := range a.announcedOutages {
		if !listed(s.Member) {
			delete(a.announcedOutages, s)
		}
	}
	for s := range a.activeBans {
		if !listed(s.Member) {
			delete(a.activeBans, s)
			continue
		}
		list = append(list, a.stamp(Statement{Subject: s}))
	}
	return list
}
