package fleet

import (
	"time"

	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

const (
	// maxDrainDelay spreads over time what all relays learn at one moment, so that the first to announce it spares the
	// others.
	maxDrainDelay = 300 * time.Millisecond
	// banRenewalsPerLifetime is how many times a ban is announced within the life of one announcement.
	banRenewalsPerLifetime = 3
)

// Events of the inbox that come from this relay. Packets are in packets.go, rate limits in limits.go.
type (
	// callEnded tells how a call of this relay ended.
	callEnded struct{ verdicts.Observation }

	// memberHealth tells whether this relay's own calls hold a member out.
	memberHealth struct {
		member      string
		destination int
		outage      bool
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

// pendingDrain is a drain that all relays learn of alike, announced at a random time unless others come first.
type pendingDrain struct {
	due         time.Duration
	member      traffic.Member
	listVersion int64
	ended       bool
}

// Ended reports how a call of this relay ended.
func (f *Fleet) Ended(flow traffic.Flow, end traffic.FlowEnd) {
	ended := callEnded{verdicts.Observation{
		Destination: flow.Group.Destination,
		Member:      flow.Member,
		Route:       flow.Group.Member != "",
		Begun:       flow.Begun.Sub(f.createdAt),
	}}
	switch end.Status {
	case traffic.Delivered:
		ended.Outcome = verdicts.Succeeded
	case traffic.TurnedAway:
		ended.Outcome = verdicts.Refused
		ended.Wait = end.Wait
	case traffic.NotConnected, traffic.Broken, traffic.OutOfTime, traffic.Errored, traffic.CalledOff:
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
		outage:      out,
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
	since := e.since.Sub(f.createdAt)
	r.restraints = append(r.restraints, f.judge.SetOwnHealth(now, e.destination, e.member, e.outage, since)...)
	if !e.outage {
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
	r.exclusionsChanged = true
}

// isActive reports whether the pool lists a member for new calls.
func isActive(m traffic.Member) bool { return m.Health == traffic.Active }

// scheduleDrain schedules the announcement of a drain, or of its end.
func (f *Fleet) scheduleDrain(now time.Duration, m traffic.Member, listVersion int64, over bool) {
	f.pendingDrains[m.Host] = pendingDrain{
		due:         now + time.Duration(f.rng.Float64()*float64(maxDrainDelay)),
		member:      m,
		listVersion: listVersion,
		ended:       over,
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
	if now-f.bansRenewedAt < verdicts.Ban.Life()/banRenewalsPerLifetime {
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

// countOrigins counts the relays whose statement on a subject is in force.
func (f *Fleet) countOrigins(now time.Duration, subject verdicts.Subject) int {
	count := 0
	for _, s := range f.store.About(now, subject) {
		if !s.Over {
			count++
		}
	}
	return count
}
