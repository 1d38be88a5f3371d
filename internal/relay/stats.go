package relay

import (
	"maps"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Figures are what operators are shown, counted since the start of the process, by class where they are of
// messages. Only the settings' classes are counted: a client's made-up class takes no room.
type Figures struct {
	Success, Overload, Error map[string]int64
	Dispatches               int64 // transactions written whole to pool members
	Concurrent               int   // taken on and not ended
	Members, Banned          int   // in the pool, and of them those taken down by operators or barred by other relays
	Avoided                  int   // listed members that the module holds to be out, beside the banned ones
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

// answered counts a verdict given at the front.
func (r *Relay) countAnswer(class string, a traffic.Answer) {
	switch a.Verdict {
	case traffic.Busy:
		r.countClass(class, r.classCounts.overload)
	case traffic.Failed:
		r.countClass(class, r.classCounts.errors)
	}
}

// writtenWhole says whether a flow that ended this way had its transaction written whole.
func writtenWhole(s traffic.FlowStatus) bool { return s != traffic.NotConnected && s != traffic.Unsent }

// Figures returns them as of the newest step.
func (r *Relay) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Relay) collectStats() Figures {
	banned := 0
	for id := range r.blocked {
		if _, ok := r.pool.members[id]; ok {
			banned++
		}
	}
	return Figures{Success: maps.Clone(r.classCounts.success), Overload: maps.Clone(r.classCounts.overload),
		Error: maps.Clone(r.classCounts.errors), Dispatches: r.dispatches, Concurrent: len(r.open),
		Members: len(r.pool.members), Banned: banned, Avoided: r.sender.Avoided()}
}

// statsInterval is how often the figures are copied for operators: they may be half a second old.
const statsInterval = 100 * time.Millisecond

// Known says whether the pool names a member, as of the newest step.
func (r *Relay) Known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownMembers[id]
}

// Ban tells the relay which members operators have taken down. The channel closes once the module has been
// told, in a step of its own.
func (r *Relay) Ban(set map[string]bool) <-chan struct{} {
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

// applyBans applies a new set of bans: members whose standing changed are told to the module again, those that
// come back as cold, for they were restarted while out.
func (r *Relay) applyBans(b bans) dispatch.Members {
	before := r.bans
	r.bans = b.set
	if r.cfg.Fleet != nil {
		r.cfg.Fleet.Bans(maps.Clone(b.set))
	}
	return r.updateBlocked(func(id string) bool { return before[id] })
}

// noMember is the set of no members.
func noMember(string) bool { return false }

// updateBlocked tells the module of the members whose standing has changed, by operators here, by the word of other relays or by doubt
// in the whole list. Of those that come back, cold says which were restarted.
func (r *Relay) updateBlocked(cold func(id string) bool) dispatch.Members {
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
	ev, news := dispatch.Members{}, traffic.PoolNews{}
	for _, id := range slices.Sorted(maps.Keys(r.pool.members)) {
		if m := r.pool.members[id]; blocked[id] != r.blocked[id] {
			row := r.endpoint(m, blocked)
			row.Cold = !blocked[id] && cold(id)
			ev.Endpoints = append(ev.Endpoints, row)
			news.Members = append(news.Members, m)
		}
	}
	r.blocked = blocked
	r.statsCopiedAt = time.Time{}              // operators see their call in the figures at once
	r.cfg.Flows.Pool(r.overlay(news, blocked)) // what waits for a connection there is not written either
	return ev
}

// overlay is news of the pool as flows are to see it: members that operators took down are leaving.
func (r *Relay) overlay(news traffic.PoolNews, banned map[string]bool) traffic.PoolNews {
	if len(banned) == 0 {
		return news
	}
	out := news
	out.Members = slices.Clone(news.Members)
	for i, m := range out.Members {
		if banned[m.Host] && m.Health == traffic.Active {
			out.Members[i].Health = traffic.Leaving
		}
	}
	return out
}
