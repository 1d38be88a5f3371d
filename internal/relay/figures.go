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

type tally struct{ success, overload, errors map[string]int64 }

func newTally() tally {
	return tally{map[string]int64{}, map[string]int64{}, map[string]int64{}}
}

func (r *Relay) counted(class string, into map[string]int64) {
	if r.classes[class] != nil {
		into[class]++
	}
}

// answered counts a verdict given at the front.
func (r *Relay) answeredAs(class string, a traffic.Answer) {
	switch a.Verdict {
	case traffic.Busy:
		r.counted(class, r.tally.overload)
	case traffic.Failed:
		r.counted(class, r.tally.errors)
	}
}

// written says whether a flow that ended this way had its transaction written whole.
func written(s traffic.FlowStatus) bool { return s != traffic.NotConnected && s != traffic.Unsent }

// Figures returns them as of the newest step.
func (r *Relay) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.figures
}

func (r *Relay) publishFigures() Figures {
	banned := 0
	for id := range r.shut {
		if _, ok := r.pool.members[id]; ok {
			banned++
		}
	}
	return Figures{Success: maps.Clone(r.tally.success), Overload: maps.Clone(r.tally.overload),
		Error: maps.Clone(r.tally.errors), Dispatches: r.dispatches, Concurrent: len(r.open),
		Members: len(r.pool.members), Banned: banned, Avoided: r.sender.Avoided()}
}

// figuresEvery is how often the figures are copied for operators: they may be half a second old.
const figuresEvery = 100 * time.Millisecond

// Known says whether the pool names a member, as of the newest step.
func (r *Relay) Known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[id]
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

// banned applies a new set of bans: members whose standing changed are told to the module again, those that
// come back as cold, for they were restarted while out.
func (r *Relay) banned(b bans) dispatch.Members {
	before := r.bans
	r.bans = b.set
	if r.cfg.Fleet != nil {
		r.cfg.Fleet.Bans(maps.Clone(b.set))
	}
	return r.closed(func(id string) bool { return before[id] })
}

// nobody is the set of no members.
func nobody(string) bool { return false }

// closed tells the module of the members whose standing has changed, by operators here, by the word of other relays or by doubt
// in the whole list. Of those that come back, cold says which were restarted.
func (r *Relay) closed(cold func(id string) bool) dispatch.Members {
	shut := maps.Clone(r.bans)
	if shut == nil {
		shut = map[string]bool{}
	}
	for id := range r.bars {
		shut[id] = true
	}
	for id := range r.doubts {
		shut[id] = true
	}
	ev, news := dispatch.Members{}, traffic.PoolNews{}
	for _, id := range slices.Sorted(maps.Keys(r.pool.members)) {
		if m := r.pool.members[id]; shut[id] != r.shut[id] {
			row := r.member(m, shut)
			row.Cold = !shut[id] && cold(id)
			ev.Endpoints = append(ev.Endpoints, row)
			news.Members = append(news.Members, m)
		}
	}
	r.shut = shut
	r.figuredAt = time.Time{}               // operators see their call in the figures at once
	r.cfg.Flows.Pool(r.overlay(news, shut)) // what waits for a connection there is not written either
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
