package relay

import (
	"time"

	"slatemux/internal/traffic"
)

// goneRetention is how long a destination is still known after its last pool member left: a successor may be on its
// way, and what clients hand in until then is worth holding.
const goneRetention = time.Minute

// poolView is what the relay keeps of the pool: its members, and which destinations there are. What is kept of a
// member ends with it.
type poolView struct {
	members       map[string]traffic.Member
	goneSince     map[int]time.Time // by destination: since when it has no member; zero while it has one
	fromDiscovery bool              // discovery itself has been heard
}

func newPoolView() poolView {
	return poolView{members: map[string]traffic.Member{}, goneSince: map[int]time.Time{}}
}

func (r *poolView) update(news traffic.PoolNews, now time.Time) {
	if news.Whole {
		clear(r.members)
	}
	for _, m := range news.Members {
		if m.Health == traffic.Left {
			delete(r.members, m.Host)
		} else {
			r.members[m.Host] = m
		}
	}
	here := map[int]bool{}
	for _, m := range r.members {
		here[m.Destination] = true
		r.goneSince[m.Destination] = time.Time{}
	}
	for d, since := range r.goneSince {
		if since.IsZero() && !here[d] {
			r.goneSince[d] = now
		} else if !here[d] && now.Sub(since) > goneRetention {
			delete(r.goneSince, d)
		}
	}
}

// hasDestination says whether there is such a destination, as far as the pool tells.
func (r *poolView) hasDestination(destination int, now time.Time) bool {
	since, ok := r.goneSince[destination]
	return ok && (since.IsZero() || now.Sub(since) <= goneRetention)
}
