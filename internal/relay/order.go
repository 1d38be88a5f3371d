package relay

import (
	"cmp"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Turns keep the order of keys between the processes of one relay, while one replaces the other. Nothing blocks.
type Turns interface {
	// Take gives an open transaction of a key its turn; one that another process had keeps its own. 0 for none to be had.
	Take(key, id string, now, until time.Time) uint64
	// Waits says whether another process still holds an earlier one.
	Waits(key, id string, now time.Time) bool
	Done(key, id string)
}

// turnEvery is how often it is asked, and lastCall how many of the module's least steps before its time is up a transaction that
// still waits is given to the module all the same: so late that it sends nothing and ends it.
const turnEvery, lastCall = 20 * time.Millisecond, 5

// noticeWithin is how long another process waits at the most for the answer to a notice that an ended one left: the platform answers
// at once.
const noticeWithin = 5 * time.Second

// ordered says whether a transaction has to keep its place among those of its key.
func (r *Relay) ordered(t *traffic.Transaction) bool {
	c := r.classes[t.Class]
	return c != nil && c.OrderedByKey && t.Order != ""
}

// offer tells the module of a transaction that was taken on, at once or when its turn has come.
func (r *Relay) offer(h *held, now time.Time, events []dispatch.Event) []dispatch.Event {
	if r.cfg.Turns != nil && r.ordered(&h.Transaction) {
		h.turn = r.cfg.Turns.Take(h.Order, h.ID, now, h.Deadline) - 1 // none to be had is the last of all
		before := slices.ContainsFunc(r.later, func(o *held) bool { return o.Order == h.Order && o.turn < h.turn })
		if before || r.cfg.Turns.Waits(h.Order, h.ID, now) {
			at, _ := slices.BinarySearchFunc(r.later, h.turn, func(o *held, turn uint64) int { return cmp.Compare(o.turn, turn) })
			r.later = slices.Insert(r.later, at, h) // what an ended process leaves may go before what has come here since
			return events
		}
	}
	return append(events, r.request(&h.Open, now))
}

// offerAgain looks at those that wait.
func (r *Relay) offerAgain(now time.Time, events []dispatch.Event) []dispatch.Event {
	waits := map[string]bool{}
	r.later = slices.DeleteFunc(r.later, func(h *held) bool {
		if h.Deadline.Sub(now) > lastCall*r.cfg.Settings.Resolution && (waits[h.Order] || r.cfg.Turns.Waits(h.Order, h.ID, now)) {
			waits[h.Order] = true
			return false
		}
		events = append(events, r.request(&h.Open, now))
		return true
	})
	return events
}

// The module lets the next transaction of a key go once the one before it is over. One that ends by a notice is over for the
// platform when the notice has its answer, which the module does not hear of: until then the flow waits here, as it might for a
// connection. The answer comes at once as a rule; where it does not, the flow ends when its time is up, unsent.

// start begins a flow, or has those of its transactions wait that have to.
func (r *Relay) start(f traffic.Flow) {
	if len(r.noticed) == 0 {
		r.cfg.Flows.Start(f)
		return
	}
	var free []traffic.Flow
	for _, x := range f.All() {
		x.With = nil
		if h := r.open[x.ID]; h != nil && h.Order != "" && r.awaits(h.Order) {
			r.parked[h.Order] = append(r.parked[h.Order], x)
		} else {
			free = append(free, x)
		}
	}
	if len(free) > 0 {
		first := free[0]
		for _, x := range free[1:] {
			first.Join(x)
		}
		r.cfg.Flows.Start(first)
	}
}

// awaits says whether a notice of a key has no answer yet.
func (r *Relay) awaits(key string) bool {
	for _, k := range r.noticed {
		if k == key {
			return true
		}
	}
	return false
}

// unpark begins what waited for these notices and for no other.
func (r *Relay) unpark(ids []string) {
	for _, id := range ids {
		key, ok := r.noticed[id]
		if !ok {
			continue
		}
		delete(r.noticed, id)
		if r.cfg.Turns != nil {
			r.cfg.Turns.Done(key, id)
		}
		if r.awaits(key) {
			continue
		}
		list := r.parked[key]
		delete(r.parked, key)
		for _, f := range list {
			r.cfg.Flows.Start(f) // where its time is up by now, it ends at once
		}
	}
}

// overdue ends what has waited for too long.
func (r *Relay) overdue(now time.Time) {
	for key, list := range r.parked {
		list = slices.DeleteFunc(list, func(f traffic.Flow) bool {
			late := !now.Before(f.Deadline)
			if late {
				r.unstarted(f)
			}
			return late
		})
		if r.parked[key] = list; len(list) == 0 {
			delete(r.parked, key)
		}
	}
}

func (r *Relay) unstarted(f traffic.Flow) {
	r.post(traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: traffic.Unsent})
}

// cancel gives a flow up.
func (r *Relay) cancel(id string, attempt int) {
	for _, list := range r.parked {
		for i := range list {
			if f := &list[i]; f.ID == id && f.Attempt == attempt {
				f.Deadline = time.Time{} // it ends with the next step
				return
			}
		}
	}
	r.cfg.Flows.Cancel(id, attempt)
}
