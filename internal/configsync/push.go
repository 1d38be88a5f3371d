package configsync

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// A push travels down a tree. The holder of a scope divides the members in the scope into FanOut parts of equal count, by
// position. It sends each part to the first member of the part. That member is responsible for the part when it has
// acknowledged the push. Positions sort by region and zone, so that few packets cross regions or zones. Each push has a new
// salt, which shuffles the relays within a zone, so that the work is spread over all of them. Relays with different views of
// the fleet divide a scope by their own view. The parts cover the scope without gaps, so that a push also reaches a member that
// only the receiver knows.
//
// If bytes are short, a holder divides its scope into fewer parts. With a single part, it passes the whole scope on to another
// relay, which may have bytes available.

// postponedPush is a push that waits for bytes.
type postponedPush struct {
	changes     []Change
	scope       Scope
	neededBytes float64 // must be available to begin
}

// flushTime returns when queued changes are sent.
func (r *Replica) flushTime() time.Duration {
	if len(r.postponed) > 0 {
		return r.lastFlush + congestedBatchInterval
	}
	return r.lastFlush + batchInterval
}

// flush sends the queued changes to the whole fleet in as few packets as possible.
func (r *Replica) flush(now time.Duration) {
	slices.SortStableFunc(r.queue, func(a, b Change) int {
		return cmp.Or(strings.Compare(a.Source, b.Source), cmp.Compare(a.Sequence, b.Sequence))
	})
	for rest := r.queue; len(rest) > 0; {
		count := r.countFittingPacket(rest)
		scope := Scope{Salt: r.random.Uint64(), Low: firstPosition, High: lastPosition}
		r.distribute(now, slices.Clip(rest[:count]), scope)
		rest = rest[count:]
	}
	r.queue, r.lastFlush = nil, now
}

// countFittingPacket returns how many of the changes fit one packet, at least one.
func (r *Replica) countFittingPacket(changes []Change) int {
	count := 1
	for count < min(len(changes), maxChangesPerMessage) && r.pushSize(changes[:count+1]) <= r.config.MaxPacketBytes {
		count++
	}
	return count
}

// pushSize returns the maximum size of a push of these changes.
func (r *Replica) pushSize(changes []Change) int {
	longest := r.membership.longestPosition
	scope := Scope{Salt: math.MaxUint64, Low: longest + "~", High: longest} // see lowerEndWithoutSelf
	push := Push{Number: math.MaxUint64, Scope: scope, Changes: changes}
	return r.config.MessageBytes(&Message{Push: &push})
}

// distribute sends changes to all members in a scope, or postpones the push until enough bytes are available.
func (r *Replica) distribute(now time.Duration, changes []Change, scope Scope) {
	pushBytes := float64(r.pushSize(changes))
	if len(r.postponed) == 0 && r.divideScope(now, changes, scope, pushBytes) {
		return
	}
	r.counters.OverBudget++
	if len(r.postponed) < maxPostponedPushes {
		// Without the additional byte, rounding could leave Tick with too few bytes at the time that NextTick returned.
		neededBytes := pushBytes + r.ackReserveBytes() + 1
		r.postponed = append(r.postponed, postponedPush{changes: changes, scope: scope, neededBytes: neededBytes})
	}
}

// resumePostponed sends the postponed pushes for which enough bytes are available.
func (r *Replica) resumePostponed(now time.Duration) {
	for len(r.postponed) > 0 {
		first := r.postponed[0]
		if !r.divideScope(now, first.changes, first.scope, float64(r.pushSize(first.changes))) {
			return
		}
		r.postponed = r.postponed[1:]
	}
	r.postponed = nil
}

// divideScope divides a scope into parts and sends each part to its first member. It returns false if the available bytes do
// not suffice for one part.
func (r *Replica) divideScope(now time.Duration, changes []Change, scope Scope, pushBytes float64) bool {
	r.candidateBuffer = r.membership.appendInScope(r.candidateBuffer[:0], scope, r.selfIndex)
	found := r.candidateBuffer
	if len(found) == 0 {
		return true
	}
	affordableParts := int(max(r.spendableBytes(now), 0) / pushBytes)
	partCount := min(r.config.FanOut, len(found), affordableParts)
	if r.store.faults.scopeNotDivided {
		partCount = min(1, affordableParts)
	}
	if partCount == 0 {
		return false
	}
	scope.Low = r.lowerEndWithoutSelf(scope, found[0])
	for i := range partCount {
		start, end := i*len(found)/partCount, (i+1)*len(found)/partCount
		part := scope
		if i > 0 {
			part.Low = r.membership.position(found[start])
		}
		if i < partCount-1 {
			part.High = r.membership.position(found[end])
		}
		r.deliver(now, &delivery{changes: changes, scope: part}, found[start], end-start == 1)
	}
	return true
}

// lowerEndWithoutSelf returns the lower end of a scope whose first other member is known. If this relay is the first member of
// the scope, the returned end is just after this relay's position, so that receivers do not send the push back.
func (r *Replica) lowerEndWithoutSelf(scope Scope, first candidate) Position {
	if r.selfIndex < 0 {
		return scope.Low
	}
	self := r.membership.candidateAt(r.selfIndex, scope.Salt)
	position := r.membership.position(self)
	if position < scope.Low || self.zoneIndex > first.zoneIndex || self.zoneIndex == first.zoneIndex && self.hash >= first.hash {
		return scope.Low
	}
	return position + "\x00" // the smallest greater position
}

// deliver sends a part to a member and awaits the acknowledgement.
func (r *Replica) deliver(now time.Duration, d *delivery, to candidate, leaf bool) {
	if d.number == 0 {
		r.lastPushNumber++
		d.number = r.lastPushNumber
	}
	push := &Push{Number: d.number, Changes: d.changes}
	if !leaf {
		push.Scope = d.scope
	}
	member := r.membership.members[to.memberIndex]
	d.tried = append(d.tried, member)
	d.deadline = now + r.config.AckTimeout
	if r.send(now, member.Name, Message{Push: push}) {
		r.counters.Pushes++
	}
	if !r.store.faults.noRetry {
		r.deliveries.add(d)
	}
}

// retryDeliveries sends the parts whose acknowledgement is overdue to other members.
func (r *Replica) retryDeliveries(now time.Duration) {
	for {
		d := r.deliveries.popOverdue(now)
		if d == nil {
			return
		}
		r.retry(now, d)
	}
}

func (r *Replica) retry(now time.Duration, d *delivery) {
	if len(d.tried) >= r.config.MaxAttempts {
		r.counters.Abandoned++
		r.deliveries.remove(d)
		return
	}
	r.candidateBuffer = r.membership.appendInScope(r.candidateBuffer[:0], d.scope, r.selfIndex)
	if len(r.candidateBuffer) == 0 { // all members of the part have left the fleet
		r.deliveries.remove(d)
		return
	}
	if float64(r.pushSize(d.changes)) > r.spendableBytes(now) {
		r.counters.OverBudget++
		d.deadline = now + r.config.AckTimeout
		r.deliveries.add(d)
		return
	}
	r.counters.Retries++
	r.deliver(now, d, r.pickRetryMember(d, r.candidateBuffer), len(r.candidateBuffer) == 1)
}

// pickRetryMember picks a random member for the next attempt. It prefers members of zones where no member was tried, then
// members that were not tried, then any member.
func (r *Replica) pickRetryMember(d *delivery, found []candidate) candidate {
	best, bestRank, ties := found[0], math.MaxInt, 0
	for _, c := range found {
		rank := d.retryRank(r.membership.members[c.memberIndex])
		if rank < bestRank {
			bestRank, ties = rank, 0
		}
		if rank > bestRank {
			continue
		}
		ties++
		if r.random.IntN(ties) == 0 {
			best = c
		}
	}
	return best
}

// receivePush applies and acknowledges a push, and forwards it. The acknowledgement makes this relay responsible for the scope.
func (r *Replica) receivePush(now time.Duration, from string, push *Push) []Change {
	applied, valid := r.mergePushed(push.Changes)
	if len(valid) == 0 { // no acknowledgement: another member may accept the changes, for example if it already trusts the source
		return nil
	}
	r.send(now, from, Message{Ack: &Ack{Number: push.Number}})
	if !push.Scope.isLeaf() && (r.handledScopes.add(push.Scope) || r.store.faults.forwardDuplicates) && !r.store.faults.noForward {
		r.distribute(now, valid, push.Scope)
	}
	return applied
}

// mergePushed applies changes. It returns the changes that came into force, and all changes with a valid signature. Changes
// that this store has no room for are included in the second list.
func (r *Replica) mergePushed(changes []Change) (applied, valid []Change) {
	for i := range changes {
		fullBefore := r.counters.StoreFull
		result, err := r.merge(&changes[i])
		if err != nil && r.counters.StoreFull == fullBefore {
			continue
		}
		valid = append(valid, changes[i])
		if result.inForce {
			applied = append(applied, changes[i])
		}
	}
	return applied, valid
}
