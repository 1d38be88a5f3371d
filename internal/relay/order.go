package relay

import (
	"cmp"
	"slices"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// KeyOrder keeps the order of keys between the processes of one relay during a handover. No method blocks.
type KeyOrder interface {
	// TakeTicket gives an open transaction of a key its ticket. A transaction recovered from another process keeps its ticket. The
	// result 0 means that there is no free ticket.
	TakeTicket(key, id string, now, until time.Time) uint64
	// HoldKey makes later transactions of a key wait in all processes for one that an ended process has left behind.
	HoldKey(key, id string, now, until time.Time)
	// MustWait reports whether another process still holds an earlier transaction of the key.
	MustWait(key, id string, now time.Time) bool
	// Release marks a transaction of a key as over. Until restUntil, which may be zero, other processes start no later one of the key.
	Release(key, id string, now, restUntil time.Time)
}

// turnInterval is the time between two checks whether another process still holds an earlier transaction.
const turnInterval = 20 * time.Millisecond

// lastOfferSteps is how many steps of the module's resolution before its deadline a waiting transaction is passed to the module in
// any case. That is too late for a call, so the module ends the transaction without sending it.
const lastOfferSteps = 5

// noticeTimeout is the maximum time that another process waits for the end of a transaction behind its deadline: of its call, or of its notice,
// which the platform normally answers at once.
const noticeTimeout = 5 * time.Second

// endedInOrder is a transaction of an ordered class that has ended by a notice without an answer yet.
type endedInOrder struct {
	orderKey  string
	restUntil time.Time // as of its openTransaction
}

// rest makes later transactions of the key wait, in all processes, behind a call that ended without telling whether it is over.
func (r *Relay) rest(h *openTransaction, now time.Time) {
	h.restUntil = now.Add(r.cfg.Settings.Safety.OrderPause)
}

// appendRest appends the record of a rest that outlives its transaction.
func (r *Relay) appendRest(changes []traffic.Change, h *openTransaction, now time.Time) []traffic.Change {
	if !h.restUntil.After(now) || !r.keepsOrder(&h.Transaction) {
		return changes
	}
	return append(changes, traffic.KeyRest{Key: h.OrderKey, Until: h.restUntil})
}

// restID stands for a transaction that has ended, in the tickets of a key.
const restID = "\x00rest"

// holdRestingKeys makes transactions of this process wait for the rests that earlier ones have left.
func (r *Relay) holdRestingKeys(now time.Time) {
	if r.cfg.KeyOrder == nil {
		return
	}
	for key, until := range r.cfg.KeyRests {
		if until.After(now) {
			r.cfg.KeyOrder.HoldKey(key, restID, now, until)
		}
	}
}

// keepsOrder reports whether a transaction must stay in order among those of its key.
func (r *Relay) keepsOrder(t *traffic.Transaction) bool {
	c := r.classes[t.Class]
	return c != nil && c.OrderedByKey && t.OrderKey != ""
}

// offer passes an accepted transaction to the module, at once or when no earlier one of its key is left elsewhere.
func (r *Relay) offer(h *openTransaction, now time.Time, events []dispatch.Event) []dispatch.Event {
	if r.cfg.KeyOrder != nil && r.keepsOrder(&h.Transaction) {
		// Without a ticket (0) the subtraction wraps around, and the transaction comes last.
		h.ticket = r.cfg.KeyOrder.TakeTicket(h.OrderKey, h.ID, now, h.Deadline.Add(noticeTimeout)) - 1
		before := slices.ContainsFunc(r.awaitingTurn, func(o *openTransaction) bool { return o.OrderKey == h.OrderKey && o.ticket < h.ticket })
		if before || r.cfg.KeyOrder.MustWait(h.OrderKey, h.ID, now) {
			index, _ := slices.BinarySearchFunc(r.awaitingTurn, h.ticket, func(o *openTransaction, ticket uint64) int { return cmp.Compare(o.ticket, ticket) })
			r.awaitingTurn = slices.Insert(r.awaitingTurn, index, h) // a recovered transaction may come before newer ones of this process
			return events
		}
	}
	return append(events, r.request(&h.Open, now))
}

// offerWaiting passes waiting transactions to the module whose turn has come or whose deadline is near.
func (r *Relay) offerWaiting(now time.Time, events []dispatch.Event) []dispatch.Event {
	waitingKeys := map[string]bool{}
	r.awaitingTurn = slices.DeleteFunc(r.awaitingTurn, func(h *openTransaction) bool {
		if h.Deadline.Sub(now) > lastOfferSteps*r.cfg.Settings.Resolution && (waitingKeys[h.OrderKey] || r.cfg.KeyOrder.MustWait(h.OrderKey, h.ID, now)) {
			waitingKeys[h.OrderKey] = true
			return false
		}
		events = append(events, r.request(&h.Open, now))
		return true
	})
	return events
}

// The module sends the next transaction of a key once the one before it is over. A transaction that ends by a notice is over for the
// platform only when the platform has answered the notice, which the module does not know. Until then the next flow waits here, as a
// flow may wait for a connection. The answer normally arrives at once. If it does not arrive, the flow ends unsent at its deadline.

// startFlow starts a flow. Transactions of the flow that must wait for the answer to a notice are blocked instead.
func (r *Relay) startFlow(f traffic.Flow) {
	if len(r.noticePending) == 0 {
		r.cfg.Flows.Start(f)
		return
	}
	var free []traffic.Flow
	for _, flow := range f.All() {
		flow.Bundled = nil
		if h := r.open[flow.ID]; h != nil && h.OrderKey != "" && r.hasPendingNotice(h.OrderKey) {
			r.blockedFlows[h.OrderKey] = append(r.blockedFlows[h.OrderKey], flow)
		} else {
			free = append(free, flow)
		}
	}
	if len(free) > 0 {
		first := free[0]
		for _, flow := range free[1:] {
			first.Join(flow)
		}
		r.cfg.Flows.Start(first)
	}
}

// hasPendingNotice reports whether a notice of the key has no answer yet.
func (r *Relay) hasPendingNotice(key string) bool {
	for _, ended := range r.noticePending {
		if ended.orderKey == key {
			return true
		}
	}
	return false
}

// startUnblocked starts the flows that waited for the answers to these notices and wait for no other.
func (r *Relay) startUnblocked(ids []string, now time.Time) {
	for _, id := range ids {
		ended, ok := r.noticePending[id]
		if !ok {
			continue
		}
		key := ended.orderKey
		delete(r.noticePending, id)
		if r.cfg.KeyOrder != nil {
			r.cfg.KeyOrder.Release(key, id, now, ended.restUntil)
		}
		if r.hasPendingNotice(key) {
			continue
		}
		list := r.blockedFlows[key]
		delete(r.blockedFlows, key)
		for _, f := range list {
			r.cfg.Flows.Start(f) // a flow past its deadline ends at once
		}
	}
}

// endOverdue ends blocked flows that have reached their deadline.
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

// cancelFlow cancels a flow, blocked or started.
func (r *Relay) cancelFlow(id string, attempt int) {
	for _, list := range r.blockedFlows {
		for i := range list {
			if f := &list[i]; f.ID == id && f.Attempt == attempt {
				f.Deadline = time.Time{} // the next step ends the flow
				return
			}
		}
	}
	r.cfg.Flows.Cancel(id, attempt)
}
