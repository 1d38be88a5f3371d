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
	TakeTicket(key, id string, now, until time.Time) uint64
	// Waits says whether another process still holds an earlier one.
	MustWait(key, id string, now time.Time) bool
	Release(key, id string)
}

// turnInterval is how often it is asked, and lastCall how many of the module's least steps before its time is up a transaction that
// still waits is given to the module all the same: so late that it sends nothing and ends it.
const turnInterval, lastOfferSteps = 20 * time.Millisecond, 5

// noticeTimeout is how long another process waits at the most for the answer to a notice that an ended one left: the platform answers
// at once.
const noticeTimeout = 5 * time.Second

// keepsOrder says whether a transaction has to keep its place among those of its key.
func (r *Relay) keepsOrder(t *traffic.Transaction) bool {
	c := r.classes[t.Class]
	return c != nil && c.OrderedByKey && t.Order != ""
}

// offer tells the module of a transaction that was taken on, at once or when its turn has come.
func (r *Relay) offer(h *openTransaction, now time.Time, events []dispatch.Event) []dispatch.Event {
	if r.cfg.Turns != nil && r.keepsOrder(&h.Transaction) {
		h.ticket = r.cfg.Turns.TakeTicket(h.Order, h.ID, now, h.Deadline) - 1 // none to be had is the last of all
		before := slices.ContainsFunc(r.awaitingTurn, func(o *openTransaction) bool { return o.Order == h.Order && o.ticket < h.ticket })
		if before || r.cfg.Turns.MustWait(h.Order, h.ID, now) {
			index, _ := slices.BinarySearchFunc(r.awaitingTurn, h.ticket, func(o *openTransaction, ticket uint64) int { return cmp.Compare(o.ticket, ticket) })
			r.awaitingTurn = slices.Insert(r.awaitingTurn, index, h) // what an ended process leaves may go before what has come here since
			return events
		}
	}
	return append(events, r.request(&h.Open, now))
}

// offerWaiting looks at those that wait.
func (r *Relay) offerWaiting(now time.Time, events []dispatch.Event) []dispatch.Event {
	waits := map[string]bool{}
	r.awaitingTurn = slices.DeleteFunc(r.awaitingTurn, func(h *openTransaction) bool {
		if h.Deadline.Sub(now) > lastOfferSteps*r.cfg.Settings.Resolution && (waits[h.Order] || r.cfg.Turns.MustWait(h.Order, h.ID, now)) {
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

// startFlow begins a flow, or has those of its transactions wait that have to.
func (r *Relay) startFlow(f traffic.Flow) {
	if len(r.noticePending) == 0 {
		r.cfg.Flows.Start(f)
		return
	}
	var free []traffic.Flow
	for _, x := range f.All() {
		x.With = nil
		if h := r.open[x.ID]; h != nil && h.Order != "" && r.hasPendingNotice(h.Order) {
			r.blockedFlows[h.Order] = append(r.blockedFlows[h.Order], x)
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

// hasPendingNotice says whether a notice of a key has no answer yet.
func (r *Relay) hasPendingNotice(key string) bool {
	for _, k := range r.noticePending {
		if k == key {
			return true
		}
	}
	return false
}

// startUnblocked begins what waited for these notices and for no other.
func (r *Relay) startUnblocked(ids []string) {
	for _, id := range ids {
		key, ok := r.noticePending[id]
		if !ok {
			continue
		}
		delete(r.noticePending, id)
		if r.cfg.Turns != nil {
			r.cfg.Turns.Release(key, id)
		}
		if r.hasPendingNotice(key) {
			continue
		}
		list := r.blockedFlows[key]
		delete(r.blockedFlows, key)
		for _, f := range list {
			r.cfg.Flows.Start(f) // where its time is up by now, it ends at once
		}
	}
}

// endOverdue ends what has waited for too long.
func (r *Relay) endOverdue(now time.Time) {
	for key, list := range r.blockedFlows {
		list = slices.DeleteFunc(list, func(f traffic.Flow) bool {
			late := !now.Before(f.Deadline)
			if late {
				r.endUnsent(f)
			}
			return late
		})
		if r.blockedFlows[key] = list; len(list) == 0 {
			delete(r.blockedFlows, key)
		}
	}
}

func (r *Relay) endUnsent(f traffic.Flow) {
	r.post(traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: traffic.Unsent})
}

// cancelFlow gives a flow up.
func (r *Relay) cancelFlow(id string, attempt int) {
	for _, list := range r.blockedFlows {
		for i := range list {
			if f := &list[i]; f.ID == id && f.Attempt == attempt {
				f.Deadline = time.Time{} // it ends with the next step
				return
			}
		}
	}
	r.cfg.Flows.Cancel(id, attempt)
}
