package configsync

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// A push goes down a tree. Whoever holds a scope divides the members in it into FanOut parts of equal count, by position, and
// hands each part to its first member, which answers for it once it has acknowledged. Positions sort by region and zone, so
// that few packets leave either; the salt, new with each push, shuffles the relays within a zone, so that each of them gets its
// share of the work. Relays with different views of the fleet divide by their own: the parts tile the scope without gaps, hence
// a member that only the receiver knows is reached.
//
// Where bytes are short a holder divides into fewer parts, in the extreme one: it passes its scope on to a relay with bytes.

// postponedPush is a push that waits for bytes.
type postponedPush struct {
	changes []Change
	scope   Scope
	bytes   float64 // how many it needs to begin
}

// flushAt is when queued changes are sent.
func (r *Replica) flushAt() time.Duration {
	if len(r.postponed) > 0 {
		return r.lastFlush + maxBatchWait
	}
	return r.lastFlush + batchWait
}

// flush sends the queued changes to the whole fleet, in as few packets as hold them.
func (r *Replica) flush(now time.Duration) {
	slices.SortStableFunc(r.queue, func(a, b Change) int {
		return cmp.Or(strings.Compare(a.Source, b.Source), cmp.Compare(a.Sequence, b.Sequence))
	})
	for rest := r.queue; len(rest) > 0; {
		count := r.packed(rest)
		scope := Scope{Salt: r.random.Uint64(), Low: firstPosition, High: lastPosition}
		r.distribute(now, slices.Clip(rest[:count]), scope)
		rest = rest[count:]
	}
	r.queue, r.lastFlush = nil, now
}

// packed returns how many of the changes one packet holds, at least one.
func (r *Replica) packed(changes []Change) int {
	count := 1
	for count < min(len(changes), maxChangesPerMessage) && r.pushSize(changes[:count+1]) <= r.config.PacketBytes {
		count++
	}
	return count
}

// pushSize returns the most bytes that a push of these changes takes.
func (r *Replica) pushSize(changes []Change) int {
	longest := r.membership.longest
	scope := Scope{Salt: math.MaxUint64, Low: longest + "~", High: longest} // see beyondSelf
	push := Push{Number: math.MaxUint64, Scope: scope, Changes: changes}
	return r.config.Size(&Message{Push: &push})
}

// distribute sends changes to all members in a scope, or puts them off until there are bytes.
func (r *Replica) distribute(now time.Duration, changes []Change, scope Scope) {
	bytes := float64(r.pushSize(changes))
	if len(r.postponed) == 0 && r.divide(now, changes, scope, bytes) {
		return
	}
	r.counters.OverBudget++
	if len(r.postponed) < maxPostponed {
		needed := bytes + r.reserve() + 1 // a byte more, lest rounding says at Due that it is not there
		r.postponed = append(r.postponed, postponedPush{changes: changes, scope: scope, bytes: needed})
	}
}

// resumePostponed sends the pushes that there are bytes for now.
func (r *Replica) resumePostponed(now time.Duration) {
	for len(r.postponed) > 0 {
		first := r.postponed[0]
		if !r.divide(now, first.changes, first.scope, float64(r.pushSize(first.changes))) {
			return
		}
		r.postponed = r.postponed[1:]
	}
	r.postponed = nil
}

// divide splits a scope into parts and sends each to its first member. It reports no where there are not even the bytes for one.
func (r *Replica) divide(now time.Duration, changes []Change, scope Scope, bytes float64) bool {
	r.scratch = r.membership.within(r.scratch[:0], scope, r.self)
	found := r.scratch
	if len(found) == 0 {
		return true
	}
	affordable := int(max(r.spendable(now), 0) / bytes)
	parts := min(r.config.FanOut, len(found), affordable)
	if r.store.planted.scopeNotSplit {
		parts = min(1, affordable)
	}
	if parts == 0 {
		return false
	}
	scope.Low = r.beyondSelf(scope, found[0])
	for i := range parts {
		start, end := i*len(found)/parts, (i+1)*len(found)/parts
		part := scope
		if i > 0 {
			part.Low = r.membership.position(found[start])
		}
		if i < parts-1 {
			part.High = r.membership.position(found[end])
		}
		r.deliver(now, &delivery{changes: changes, part: part}, found[start], end-start == 1)
	}
	return true
}

// beyondSelf returns the lower end of a scope whose first other member is known: beyond this relay, if it comes first, lest its
// receivers send the push back.
func (r *Replica) beyondSelf(scope Scope, first candidate) Position {
	if r.self < 0 {
		return scope.Low
	}
	self := r.membership.candidate(r.self, scope.Salt)
	position := r.membership.position(self)
	if position < scope.Low || self.zone > first.zone || self.zone == first.zone && self.hash >= first.hash {
		return scope.Low
	}
	return position + "\x00" // the least that is greater
}

// deliver sends a part to a member and awaits its acknowledgement.
func (r *Replica) deliver(now time.Duration, d *delivery, to candidate, leaf bool) {
	if d.number == 0 {
		r.lastNumber++
		d.number = r.lastNumber
	}
	push := &Push{Number: d.number, Changes: d.changes}
	if !leaf {
		push.Scope = d.part
	}
	member := r.membership.members[to.index]
	d.tried = append(d.tried, member)
	d.deadline = now + r.config.AckTimeout
	if r.send(now, member.Name, Message{Push: push}) {
		r.counters.Pushes++
	}
	if !r.store.planted.noRetry {
		r.deliveries.add(d)
	}
}

// retryDeliveries sends the parts whose acknowledgement is overdue to other members.
func (r *Replica) retryDeliveries(now time.Duration) {
	for {
		d := r.deliveries.overdue(now)
		if d == nil {
			return
		}
		r.retry(now, d)
	}
}

func (r *Replica) retry(now time.Duration, d *delivery) {
	if len(d.tried) >= r.config.Attempts {
		r.counters.Abandoned++
		r.deliveries.forget(d)
		return
	}
	r.scratch = r.membership.within(r.scratch[:0], d.part, r.self)
	if len(r.scratch) == 0 { // its members have left the fleet
		r.deliveries.forget(d)
		return
	}
	if float64(r.pushSize(d.changes)) > r.spendable(now) {
		r.counters.OverBudget++
		d.deadline = now + r.config.AckTimeout
		r.deliveries.add(d)
		return
	}
	r.counters.Retries++
	r.deliver(now, d, r.substitute(d, r.scratch), len(r.scratch) == 1)
}

// substitute picks the member to try next: at random among those of zones where none was tried; else among those that were not
// tried; else among all.
func (r *Replica) substitute(d *delivery, found []candidate) candidate {
	best, bestRank, equal := found[0], math.MaxInt, 0
	for _, c := range found {
		rank := d.rank(r.membership.members[c.index])
		if rank < bestRank {
			bestRank, equal = rank, 0
		}
		if rank > bestRank {
			continue
		}
		equal++
		if r.random.IntN(equal) == 0 {
			best = c
		}
	}
	return best
}

// receivePush applies the changes of a push, acknowledges it, which takes its scope over, and passes it on.
func (r *Replica) receivePush(now time.Duration, from string, push *Push) []Change {
	applied, valid := r.mergePushed(push.Changes)
	if len(valid) == 0 { // another member may see it differently, or trust the source already
		return nil
	}
	r.send(now, from, Message{Ack: &Ack{Number: push.Number}})
	if !push.Scope.leaf() && (r.handled.add(push.Scope) || r.store.planted.duplicateForwards) && !r.store.planted.noForward {
		r.distribute(now, valid, push.Scope)
	}
	return applied
}

// mergePushed applies changes. It returns those that came into force and those that are validly signed, also if there was no
// room for them here.
func (r *Replica) mergePushed(changes []Change) (applied, valid []Change) {
	for i := range changes {
		full := r.counters.Full
		result, err := r.merge(&changes[i])
		if err != nil && r.counters.Full == full {
			continue
		}
		valid = append(valid, changes[i])
		if result.inForce {
			applied = append(applied, changes[i])
		}
	}
	return applied, valid
}
