package relay

import (
	"maps"
	"time"

	"wrenford"
	"wrenford/internal/traffic"
)

// Fleet is told what this relay has found out, for the other relays. Nothing blocks; what is handed over is the callee's.
type Fleet interface {
	// Health says whether the module holds a member out by its own calls, and since when; tried, that another failed there.
	Health(member string, destination int, out, tried bool, since time.Time)
	// Pool is the relay's own list, at a version of it.
	Pool(seq int64, members map[string]traffic.Member)
	// Bans are the members that operators have taken down here.
	Bans(set map[string]bool)
}

// Restrain takes in what other relays' word comes to, from the next step on.
func (r *Relay) Restrain(list []traffic.Restraint) { r.post(list) }

// Bar takes in which members are to get nothing new by the word of other relays, from the next step on.
func (r *Relay) Bar(bars []traffic.Bar) { r.post(bars) }

func (r *Relay) barred(list []traffic.Bar) wrenford.Members {
	before := r.bars
	r.bars = map[string]bool{}
	for _, b := range list {
		r.bars[b.Member] = b.Banned
	}
	return r.closed(func(id string) bool { return before[id] })
}

// restrained turns other relays' word into the module's, and keeps which members they hold to be out: who gets through to one
// of them says so.
func (r *Relay) restrained(list []traffic.Restraint, now time.Time) (events []wrenford.Event) {
	for _, x := range list {
		events = append(events, r.told(x, now))
		switch x.Kind {
		case traffic.HeldOut:
			r.heard[x.Member] = true
		case traffic.HeldBack, traffic.Freed:
			delete(r.heard, x.Member)
		}
	}
	return events
}

func (r *Relay) poolToFleet(seq int64) {
	if r.cfg.Fleet != nil {
		for _, of := range []map[string]bool{r.outs, r.heard} { // what is kept of a member ends with it
			maps.DeleteFunc(of, func(id string, _ bool) bool { _, listed := r.pool.members[id]; return !listed })
		}
		r.cfg.Fleet.Pool(seq, maps.Clone(r.pool.members))
	}
}

// healthToFleet tells of the members of all destinations that flows ended at in a step: outages that the module has come to by its
// own calls, tries there that failed, and ends of outages.
func (r *Relay) healthToFleet(batch []any) {
	if r.cfg.Fleet == nil {
		return
	}
	tried, well, seen := map[string]bool{}, map[string]bool{}, map[int]bool{}
	for _, in := range batch {
		if f, ok := in.(traffic.FlowEnd); ok {
			if m, ok := r.pool.members[f.Member]; ok {
				seen[m.Destination] = true
				well[f.Member] = well[f.Member] || f.Status == traffic.Delivered
				tried[f.Member] = tried[f.Member] || f.Status != traffic.Delivered && f.Status != traffic.Unsent
			}
		}
	}
	for destination := range seen {
		r.sender.Health(destination, func(id string, since time.Duration) {
			told, out := r.outs[id], since >= 0
			if out && (!told || tried[id]) {
				r.cfg.Fleet.Health(id, destination, true, told || r.heard[id], r.origin.Add(since))
			} else if !out && (told || well[id] && r.heard[id]) {
				r.cfg.Fleet.Health(id, destination, false, false, time.Time{})
				delete(r.heard, id)
			}
			if r.outs[id] = true; !out {
				delete(r.outs, id)
			}
		})
	}
}
