package fleet

import (
	"time"

	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

const (
	// announceSpread spreads over time what all relays learn at one moment, so that the first to announce it spares the
	// others.
	announceSpread = 300 * time.Millisecond
	// banRenewals is how many times a ban is announced within the life of one announcement.
	banRenewals = 3
)

// Events of the inbox that come from this relay. Packets are in packets.go, rate limits in limits.go.
type (
	// callEnded tells how a call of this relay ended.
	callEnded struct{ verdicts.Observation }

	// memberHealth tells whether this relay's own calls hold a member out.
	memberHealth struct {
		member      string
		destination int
		out         bool
		retryFailed bool // another try at a member that was out has failed
		since       time.Time
	}

	// poolUpdated carries a version of the relay's own list of members, by host name.
	poolUpdated struct {
		version int64
		members map[string]traffic.Member
	}

	// bansUpdated carries the members that operators have taken down here.
	bansUpdated map[string]bool
)

// pendingAnnouncement is a drain that all relays learn of alike, announced at a random time unless others come first.
type pendingAnnouncement struct {
	due         time.Duration
	member      traffic.Member
	listVersion int64
	over        bool
}

// Ended reports how a call of this relay ended.
func (f *Fleet) Ended(flow traffic.Flow, end traffic.FlowEnd) {
	ended := callEnded{verdicts.Observation{
		Destination:   flow.Group.Destination,
		Member:        flow.Member,
		SeparateRoute: flow.Group.Member != "",
		StartedAt:     flow.StartedAt.Sub(f.origin),
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

// Health reports whether this relay holds a member out because of its own calls, since when, and whether another try
// there has failed.
func (f *Fleet) Health(member string, destination int, out, retryFailed bool, since time.Time) {
	f.enqueue(memberHealth{
		member:      member,
		destination: destination,
		out:         out,
		retryFailed: retryFailed,
		since:       since,
	})
}

// Pool reports a version of the relay's own list of members, by host name. The map must not be used afterwards.
func (f *Fleet) Pool(version int64, members map[string]traffic.Member) {
	f.enqueue(poolUpdated{version: version, members: members})
}

// Bans reports which members operators have taken down here. The map must not be used afterwards.
func (f *Fleet) Bans(set map[string]bool) { f.enqueue(bansUpdated(set)) }

func (e callEnded) apply(f *Fleet, now time.Duration, r *stepResult) {
	r.restraints = append(r.restraints, f.judge.Observe(now, e.Observation)...)
	if s, ok := f.announcer.Wait(now, f.store, e.Observation); ok {
		f.announce(now, s, r)
	}
}

// apply announces the beginning of an outage, unless enough other members hold the member out already, each try that
// fails, and the end.
func (e memberHealth) apply(f *Fleet, now time.Duration, r *stepResult) {
	since := e.since.Sub(f.origin)
	r.restraints = append(r.restraints, f.judge.SetOwnHealth(now, e.destination, e.member, e.out, since)...)
	if !e.out {
		if s, ok := f.announcer.Recovery(now, f.store, e.destination, e.member); ok {
			f.announce(now, s, r)
		}
		return
	}
	subject := verdicts.Subject{Kind: verdicts.Health, Destination: e.destination, Member: e.member}
	if e.retryFailed || f.countOrigins(now, subject) < 2*f.cfg.Quorum {
		f.announce(now, f.announcer.Outage(e.destination, e.member, now-since), r)
	}
}

// apply stores the new list, and schedules announcements of members that have left it or come back.
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
	r.barsChanged = true
}

// isActive reports whether the pool lists a member for new calls.
func isActive(m traffic.Member) bool { return m.Health == traffic.Active }

// scheduleDrain schedules the announcement of a drain, or of its end.
func (f *Fleet) scheduleDrain(now time.Duration, m traffic.Member, listVersion int64, over bool) {
	f.drains[m.Host] = pendingAnnouncement{
		due:         now + time.Duration(f.rng.Float64()*float64(announceSpread)),
		member:      m,
		listVersion: listVersion,
		over:        over,
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

// announceDue announces the drains that are due, and renews bans.
func (f *Fleet) announceDue(now time.Duration, r *stepResult) {
	for name, d := range f.drains {
		if now < d.due {
			continue
		}
		delete(f.drains, name)
		subject := verdicts.Subject{Kind: verdicts.Drain, Destination: d.member.Destination, Member: name}
		if d.over || f.countOrigins(now, subject) < f.cfg.Quorum {
			f.announce(now, f.announcer.Drain(d.member.Destination, name, d.listVersion, d.over), r)
		}
	}
	if now-f.bansRenewed < verdicts.Ban.MaxLifetime()/banRenewals {
		return
	}
	f.bansRenewed = now
	for _, s := range f.announcer.RenewBans(f.inPool) {
		f.announce(now, s, r)
	}
}

// inPool reports whether the pool lists a member, active or not.
func (f *Fleet) inPool(member string) bool {
	_, ok := f.pool[member]
	return ok
}

// countOrigins counts the relays whose statement on a subject is in force.
func (f *Fleet) countOrigins(now time.Duration, subject verdicts.Subject) int {
	count := 0
	for _, s := range f.store.ForSubject(now, subject) {
		if !s.Withdrawn {
			count++
		}
	}
	return count
}
