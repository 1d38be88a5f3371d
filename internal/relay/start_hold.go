package relay

import (
	"maps"
	"time"

	"slatemux/internal/dispatch"
)

// distrustPool marks the members of the known list as unconfirmed. updateBlocked applies that.
func (r *Relay) distrustPool() {
	r.unconfirmed = make(map[string]bool, len(r.pool.members))
	for id := range r.pool.members {
		r.unconfirmed[id] = true
	}
}

// holdStart begins Config.StartHold. The pool that a process knows at its start may be old: another process may have a member's name and address
// by now, and discovery has told so.
func (r *Relay) holdStart(now time.Time) {
	if r.cfg.StartHold <= 0 {
		return
	}
	r.holdUntil = now.Add(r.cfg.StartHold)
	r.distrustPool()
	if r.blocked = maps.Clone(r.bans); r.blocked == nil {
		r.blocked = map[string]bool{}
	}
	maps.Copy(r.blocked, r.unconfirmed)
}

// endHold trusts the known pool if discovery has not answered in time.
func (r *Relay) endHold(now time.Time, events []dispatch.Event) []dispatch.Event {
	if r.holdUntil.IsZero() || now.Before(r.holdUntil) {
		return events
	}
	r.holdUntil, r.unconfirmed = time.Time{}, nil
	return append(events, r.updateBlocked(noMember))
}
