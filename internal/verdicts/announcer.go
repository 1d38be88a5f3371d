package verdicts

import (
	"slices"
	"time"
)

// minWaitExtension is how much longer than all known waits a wait has to last to be announced. A partner at its limit refuses calls
// of many relays at the same moment, and a wait that ends before other relays receive it restrains nobody.
const minWaitExtension = 50 * time.Millisecond

// Announcer creates this relay's own statements. It does not repeat a wait that the fleet already knows, nor announce a recovery
// from an outage that nobody has announced.
type Announcer struct {
	origin           string
	version          Version          // version of the newest statement
	announcedOutages map[Subject]bool // members that this relay has announced as out
	activeBans       map[Subject]bool // members that operators have taken down
}

// NewAnnouncer returns an announcer for an incarnation of a relay.
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

// Supersede moves to an incarnation above that of a version that other relays have received under this relay's name, if this
// process has not issued that version. This happens when another process used the name, or when the count of starts was lost.
// Supersede reports whether the incarnation changed.
func (a *Announcer) Supersede(v Version) bool {
	if v.Compare(a.version) <= 0 {
		return false
	}
	a.version = Version{Incarnation: v.Incarnation + 1}
	return true
}

// stamp sets the origin, the version and the lifetime of a statement.
func (a *Announcer) stamp(s Statement) Statement {
	a.version.Seq++
	s.Origin = a.origin
	s.Version = a.version
	if s.Lifetime == 0 {
		s.Lifetime = s.Kind.MaxLifetime()
	}
	return s
}

// Wait announces a retry-after wait of a destination, unless a known wait lasts about as long.
func (a *Announcer) Wait(now time.Duration, store *Store, o Observation) (Statement, bool) {
	if o.Outcome != Refused || o.RetryAfter < minWaitExtension {
		return Statement{}, false
	}
	waitSubject := o.waitSubject()
	for _, known := range store.ForSubject(now, waitSubject) {
		if !known.Withdrawn && known.Length-known.Age+minWaitExtension > o.RetryAfter {
			return Statement{}, false
		}
	}
	return a.stamp(Statement{Subject: waitSubject, Length: o.RetryAfter, Lifetime: min(o.RetryAfter, Wait.MaxLifetime())}), true
}

// Outage announces an outage that has lasted for a duration, or another failed trial call during the outage.
func (a *Announcer) Outage(destination int, member string, lasted time.Duration) Statement {
	s := Subject{Kind: Health, Destination: destination, Member: member}
	a.announcedOutages[s] = true
	return a.stamp(Statement{Subject: s, Length: max(lasted, 0)})
}

// Recovery announces that a member answered after an outage. If nobody has announced the outage, no statement is needed.
func (a *Announcer) Recovery(now time.Duration, store *Store, destination int, member string) (Statement, bool) {
	s := Subject{Kind: Health, Destination: destination, Member: member}
	isOutage := func(known Statement) bool { return !known.Withdrawn }
	if !a.announcedOutages[s] && !slices.ContainsFunc(store.ForSubject(now, s), isOutage) {
		return Statement{}, false
	}
	delete(a.announcedOutages, s)
	return a.stamp(Statement{Subject: s, Withdrawn: true}), true
}

// Drain announces that discovery drains a member as of a version of its list. With over, it announces that discovery lists the
// member again.
func (a *Announcer) Drain(destination int, member string, list int64, over bool) Statement {
	s := Subject{Kind: Drain, Destination: destination, Member: member}
	return a.stamp(Statement{Subject: s, ListVersion: list, Withdrawn: over})
}

// Ban announces that operators took a member down or brought it up. RenewBans repeats the active bans.
func (a *Announcer) Ban(destination int, member string, down bool) Statement {
	s := Subject{Kind: Ban, Destination: destination, Member: member}
	if down {
		a.activeBans[s] = true
	} else {
		delete(a.activeBans, s)
	}
	return a.stamp(Statement{Subject: s, Withdrawn: !down})
}

// RenewBans announces all active bans again, and forgets members that are no longer listed. Call it a few times within the
// lifetime of a ban.
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
