package relay

import (
	"maps"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Stats are the statistics for the admin endpoint, counted since the start of the process. Messages are counted by class. Only
// classes of the settings are counted, so that invented class names of clients take no memory.
type Stats struct {
	Success, Overload, Error map[string]int64
	Dispatches               int64 // transactions written whole to pool members
	Concurrent               int   // accepted transactions that have not ended
	Members, Banned          int   // in the pool; those of them that are blocked: banned, excluded by other relays, or on an unconfirmed list
	Avoided                  int   // listed members that the module avoids because of an outage, besides the banned ones
}

type classCounts struct{ success, overload, errors map[string]int64 }

func newClassCounts() classCounts {
	return classCounts{map[string]int64{}, map[string]int64{}, map[string]int64{}}
}

func (r *Relay) countClass(class string, into map[string]int64) {
	if r.classes[class] != nil {
		into[class]++
	}
}

// countAnswer counts the answer to a submission.
func (r *Relay) countAnswer(class string, a traffic.Answer) {
	switch a.Verdict {
	case traffic.Busy:
		r.countClass(class, r.classCounts.overload)
	case traffic.Failed:
		r.countClass(class, r.classCounts.errors)
	}
}

// writtenWhole reports whether a flow with this status wrote its whole transaction.
func writtenWhole(s traffic.FlowStatus) bool { return s != traffic.NotConnected && s != traffic.Unsent }

// Stats returns the statistics after the latest step.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Relay) collectStats() Stats {
	banned := 0
	for id := range r.blocked {
		if _, ok := r.pool.members[id]; ok {
			banned++
		}
	}
	return Stats{Success: maps.Clone(r.classCounts.success), Overload: maps.Clone(r.classCounts.overload),
		Error: maps.Clone(r.classCounts.errors), Dispatches: r.dispatches, Concurrent: len(r.open),
		Members: len(r.pool.members), Banned: banned, Avoided: r.sender.EndpointsInOutage()}
}

// statsInterval is the minimum time between two copies of the statistics for the admin endpoint, which may be at most half a second old.
const statsInterval = 100 * time.Millisecond

// HasMember reports whether the pool has the member, after the latest step.
func (r *Relay) HasMember(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownMembers[id]
}

// SetBans replaces the set of members that operators have banned. The channel closes after the step in which the module has processed
// the new set.
func (r *Relay) SetBans(set map[string]bool) <-chan struct{} {
	done := make(chan struct{})
	if !r.post(bans{set, done}) {
		close(done)
	}
	return done
}

type bans struct {
	set  map[string]bool
	done chan struct{}
}

// applyBans applies a new set of bans. Members whose ban was lifted are reported to the module as cold, because they were restarted
// during the ban.
func (r *Relay) applyBans(b bans) dispatch.MembershipUpdate {
	before := r.bans
	r.bans = b.set
	if r.cfg.Fleet != nil {
		r.cfg.Fleet.UpdateBans(maps.Clone(b.set))
	}
	return r.updateBlocked(func(id string) bool { return before[id] })
}

// noMember is the empty set of members.
func noMember(string) bool { return false }

// updateBlocked reports to the module which members have been blocked or unblocked since the last call. A member is blocked by operators
// of this relay, by other relays, or because the list is unconfirmed. For an unblocked member, cold reports whether the member
// was restarted.
func (r *Relay) updateBlocked(cold func(id string) bool) dispatch.MembershipUpdate {
	blocked := maps.Clone(r.bans)
	if blocked == nil {
		blocked = map[string]bool{}
	}
	for id := range r.excluded {
		blocked[id] = true
	}
	for id := range r.unconfirmed {
		blocked[id] = true
	}
	ev, update := dispatch.MembershipUpdate{}, traffic.PoolUpdate{}
	for _, id := range slices.Sorted(maps.Keys(r.pool.members)) {
		if m := r.pool.members[id]; blocked[id] != r.blocked[id] {
			changed := r.endpoint(m, blocked)
			changed.Restarted = !blocked[id] && cold(id)
			ev.Endpoints = append(ev.Endpoints, changed)
			update.Members = append(update.Members, m)
		}
	}
	r.blocked = blocked
	r.statsCopiedAt = time.Time{}                      // operators see the effect of their call in the statistics at once
	r.cfg.Flows.UpdatePool(r.overlay(update, blocked)) // flows that wait for a connection to a blocked member are not written either
	return ev
}

// overlay returns the change of the pool as the flows must see it: blocked members are leaving.
func (r *Relay) overlay(update traffic.PoolUpdate, blocked map[string]bool) traffic.PoolUpdate {
	if len(blocked) == 0 {
		return update
	}
	adjusted := update
	adjusted.Members = slices.Clone(update.Members)
	for i, m := range adjusted.Members {
		if blocked[m.Host] && m.Health == traffic.Active {
			adjusted.Members[i].Health = traffic.Leaving
		}
	}
	return adjusted
}
