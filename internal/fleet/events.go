package fleet

import (
	"time"

	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

const (
	// maxDrainDelay bounds the random delay before a drain is announced. All relays learn of a drain at the same moment;
	// the announcements of the first relays make those of the others unnecessary.
	maxDrainDelay = 300 * time.Millisecond
	// banRenewalsPerLifetime is how many times a ban is announced within the lifetime of one announcement.
	banRenewalsPerLifetime = 3
)

// Inbox events from this relay. See packets.go for packets and limits.go for rate limits.
type (
	// callEnded reports how a call of this relay ended.
	callEnded struct{ verdicts.Observation }

	// memberHealth reports whether this relay's own calls show an outage of a pool member.
	memberHealth struct {
		member      string
		destination int
		outage      bool
		trialFailed bool // a trial call during the outage has failed
		since       time.Time
	}

	// poolUpdated carries a version of the relay's own list of pool members, by host name.
	poolUpdated struct {
		version int64
		members map[string]traffic.Member
	}

	// bansUpdated holds the names of the pool members that operators have banned at this relay.
	bansUpdated map[string]bool
)

// pendingDrain is a drain, or the end of one, that waits for its announcement. All relays learn of a drain from discovery.
// This relay announces the drain at a random time, unless enough other relays have announced it before.
type pendingDrain struct {
	due         time.Duration
	member      traffic.Member
	listVersion int64
	ended       bool
}

// FlowEnded reports how a call of this relay ended.
func (f *Fleet) FlowEnded(flow traffic.Flow, end traffic.FlowEnd) {
	ended := callEnded{verdicts.Observation{
		Destination:   flow.Group.Destination,
		Member:        flow.Member,
		SeparateRoute: flow.Group.Member != "",
		StartedAt:     flow.StartedAt.Sub(f.createdAt),
	}}
	switch end.Status {
	case traffic.Delivered:
		ended.Outcome = verdicts.Succeeded
	case traffic.FlowRefused:
		ended.Outcome = verdicts.Refused
		ended.RetryAfter = end.RetryAfter
	case traffic.NotConnected, traffic.ConnectionBroken, traffic.TimedOut, traffic.Errored, traffic.Canceled:
		ended.Outcome = verdicts.Failed
	default:
		return
	}
	f.enqueue(ended)
	if end.Report != nil && flow.Group.Member == "" {
		f.readLimit(flow.Group.Destination, end.Report.Limit)
	}
}

// ReportHealth reports whether this relay's own calls show an outage of a pool member, since when, and whether a trial call has
// failed since.
func (f *Fleet) ReportHealth(member string, destination int, outage, trialFailed bool, since time.Time) {
	f.enqueue(memberHealth{
		member:      member,
		destination: destination,
		outage:      outage,
		trialFailed: trialFailed,
		since:       since,
	})
}

// UpdatePool reports a version of the relay's own list of pool members, by host name. The caller must not use the map
// afterwards.
func (f *Fleet) UpdatePool(version int64, members map[string]traffic.Member) {
	f.enqueue(poolUpdated{version: version, members: members})
}

// UpdateBans reports which pool members operators have banned at this relay. The caller must not use the map afterwards.
func (f *Fleet) UpdateBans(set map[string]bool) { f.enqueue(bansUpdated(set)) }

// apply updates the judge, and announces the retry-after of a refused call, if any.
func (e callEnded) apply(f *Fleet, now time.Duration, r *stepResult) {
	r.restraints = append(r.restraints, f.judge.Observe(now, e.Observation)...)
	if s, ok := f.announcer.Wait(now, f.store, e.Observation); ok {
		f.announce(now, s, r)
	}
}

// apply announces the start of an outage, each failed trial call and the end of the outage. The start is not announced if
// enough relays have announced the same outage.
func (e memberHealth) apply(f *Fleet, now time.Duration, r *stepResult) {
	since := e.since.Sub(f.createdAt)
	r.restraints = append(r.restraints, f.judge.SetOwnHealth(now, e.destination, e.member, e.outage, since)...)
	if !e.outage {
		if s, ok := f.announcer.Recovery(now, f.store, e.destination, e.member); ok {
			f.announce(now, s, r)
		}
		return
	}
	subject := verdicts.Subject{Kind: verdicts.Health, Destination: e.destination, Member: e.member}
	if e.trialFailed || f.countOrigins(now, subject) < 2*f.cfg.Quorum {
		f.announce(now, f.announcer.Outage(e.destination, e.member, now-since), r)
	}
}

// apply stores the new list, and schedules an announcement for each member that has left the list or become inactive, and for
// each listed member that has become active again.
func (e poolUpdated) apply(f *Fleet, now time.Duration, r *stepResult) {
	for name, old := range f.pool {
		current, listed := e.members[name]
		if isActive(old) && !(listed && isActive(current)) {
			f.scheduleDrain(now, old, e.version, false)
		}
	}
	var active []verdicts.Member
	for name, m := range e.members {
		if !isActive(m) {
			continue
		}
		active = append(active, verdicts.Member{Name: name, Destination: m.Destination})
		if old, known := f.pool[name]; known && !isActive(old) {
			f.scheduleDrain(now, m, e.version, true)
		}
	}
	f.pool = e.members
	f.judge.SetPool(e.version, active)
	r.exclusionsChanged = true
}

// isActive reports whether the pool lists a member as available for new calls.
func isActive(m traffic.Member) bool { return m.Health == traffic.Active }

// scheduleDrain schedules the announcement of a drain or of the end of a drain.
func (f *Fleet) scheduleDrain(now time.Duration, m traffic.Member, listVersion int64, ended bool) {
	f.pendingDrains[m.Host] = pendingDrain{
		due:         now + time.Duration(f.rng.Float64()*float64(maxDrainDelay)),
		member:      m,
		listVersion: listVersion,
		ended:       ended,
	}
}

// apply announces bans that have begun or ended.
func (e bansUpdated) apply(f *Fleet, now time.Duration, r *stepResult) {
	for name := range e {
		if m, ok := f.pool[name]; ok && !f.bans[name] {
			f.announce(now, f.announcer.Ban(m.Destination, name, true), r)
		}
	}
	for name := range f.bans {
		if m, ok := f.pool[name]; ok && !e[name] {
			f.announce(now, f.announcer.Ban(m.Destination, name, false), r)
		}
	}
	f.bans = e
}

// announce merges a statement of this relay and schedules it to be sent.
func (f *Fleet) announce(now time.Duration, s verdicts.Statement, r *stepResult) {
	if f.store.Merge(now, s) {
		r.announcements = append(r.announcements, s)
	}
}

// announceDue announces the pending drains that are due, and renews bans.
func (f *Fleet) announceDue(now time.Duration, r *stepResult) {
	for name, d := range f.pendingDrains {
		if now < d.due {
			continue
		}
		delete(f.pendingDrains, name)
		subject := verdicts.Subject{Kind: verdicts.Drain, Destination: d.member.Destination, Member: name}
		if d.ended || f.countOrigins(now, subject) < f.cfg.Quorum {
			f.announce(now, f.announcer.Drain(d.member.Destination, name, d.listVersion, d.ended), r)
		}
	}
	if now-f.bansRenewedAt < verdicts.Ban.MaxLifetime()/banRenewalsPerLifetime {
		return
	}
	f.bansRenewedAt = now
	for _, s := range f.announcer.RenewBans(f.inPool) {
		f.announce(now, s, r)
	}
}

// inPool reports whether the pool lists a member, active or not.
func (f *Fleet) inPool(member string) bool {
	_, ok := f.pool[member]
	return ok
}

// countOrigins returns how many relays have a statement about a subject in force.
func (f *Fleet) countOrigins(now time.Duration, subject verdicts.Subject) int {
	count := 0
	for _, s := range f.store.ForSubject(now, subject) {
		if !s.Withdrawn {
			count++
		}
	}
	return count
}
