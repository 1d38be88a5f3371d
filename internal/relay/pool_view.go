package relay

import (
	"time"

	"slatemux/internal/traffic"
)

// goneRetention is how long a destination is still known after its last pool member left. A replacement member may be about to join,
// and submissions until then are worth keeping.
const goneRetention = time.Minute

// poolView is the relay's copy of the pool: its members and the known destinations. All state of a member is removed together with
// the member.
type poolView struct {
	members       map[string]traffic.Member
	goneSince     map[int]time.Time // by destination: time since it has no member; zero while it has one
	fromDiscovery bool              // an update from discovery itself has arrived
}

func newPoolView() poolView {
	return poolView{members: map[string]traffic.Member{}, goneSince: map[int]time.Time{}}
}

func (r *poolView) update(update traffic.PoolUpdate, now time.Time) {
	if update.Full {
		clear(r.members)
	}
	for _, m := range update.Members {
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

// hasDestination reports whether the pool has, or recently had, a member of the destination.
func (r *poolView) hasDestination(destination int, now time.Time) bool {
	since, ok := r.goneSince[destination]
	return ok && (since.IsZero() || now.Sub(since) <= goneRetention)
}
