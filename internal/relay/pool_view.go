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

func (v *poolView) update(update traffic.PoolUpdate, now time.Time) {
	if update.Full {
		clear(v.members)
	}
	for _, m := range update.Members {
		if m.Health == traffic.Left {
			delete(v.members, m.Host)
		} else {
			v.members[m.Host] = m
		}
	}
	here := map[int]bool{}
	for _, m := range v.members {
		here[m.Destination] = true
		v.goneSince[m.Destination] = time.Time{}
	}
	for d, since := range v.goneSince {
		if since.IsZero() && !here[d] {
			v.goneSince[d] = now
		} else if !here[d] && now.Sub(since) > goneRetention {
			delete(v.goneSince, d)
		}
	}
}

// hasDestination reports whether the pool has, or recently had, a member of the destination.
func (v *poolView) hasDestination(destination int, now time.Time) bool {
	since, ok := v.goneSince[destination]
	return ok && (since.IsZero() || now.Sub(since) <= goneRetention)
}
