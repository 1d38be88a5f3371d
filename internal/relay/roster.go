package relay

import (
	"time"

	"slatemux/internal/traffic"
)

// goneFor is how long a destination is still known after its last pool member left: a successor may be on its
// way, and what clients hand in until then is worth holding.
const goneFor = time.Minute

// roster is what the relay keeps of the pool: its members, and which destinations there are. What is kept of a
// member ends with it.
type roster struct {
	members map[string]traffic.Member
	gone    map[int]time.Time // by destination: since when it has no member; zero while it has one
	told    bool              // discovery itself has been heard
}

func newRoster() roster {
	return roster{members: map[string]traffic.Member{}, gone: map[int]time.Time{}}
}

func (r *roster) take(news traffic.PoolNews, now time.Time) {
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
		r.gone[m.Destination] = time.Time{}
	}
	for d, since := range r.gone {
		if since.IsZero() && !here[d] {
			r.gone[d] = now
		} else if !here[d] && now.Sub(since) > goneFor {
			delete(r.gone, d)
		}
	}
}

// knows says whether there is such a destination, as far as the pool tells.
func (r *roster) knows(destination int, now time.Time) bool {
	since, ok := r.gone[destination]
	return ok && (since.IsZero() || now.Sub(since) <= goneFor)
}
