package configsync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// delivery is a part of a scope that was sent to a member and is not yet acknowledged.
type delivery struct {
	number   uint64
	changes  []Change
	scope    Scope
	tried    []Member
	deadline time.Duration
}

// retryRank returns the rank of a member for the next retry, where the lowest rank is tried first: 0 if no member of its zone
// was tried, 1 if another member of its zone was tried, and 2 if the member itself was tried.
func (d *delivery) retryRank(member Member) int {
	rank := 0
	for _, tried := range d.tried {
		if tried.Name == member.Name {
			return 2
		}
		if tried.Region == member.Region && tried.Zone == member.Zone {
			rank = 1
		}
	}
	return rank
}

// deliveryQueue holds the deliveries that await an acknowledgement. All deliveries have the same timeout, so that the order of
// insertion is the order of deadlines.
type deliveryQueue struct {
	pendingByNumber map[uint64]*delivery
	byDeadline      []*delivery // between calls, the delivery at the front is pending
}

func newDeliveryQueue() deliveryQueue {
	return deliveryQueue{pendingByNumber: map[uint64]*delivery{}}
}

// add inserts a delivery. Its deadline must not be before the deadline of any other delivery in the queue.
func (q *deliveryQueue) add(d *delivery) {
	q.pendingByNumber[d.number] = d
	q.byDeadline = append(q.byDeadline, d)
}

// acknowledge ends a delivery if the acknowledgement comes from a member to which the delivery was sent.
func (q *deliveryQueue) acknowledge(number uint64, from string) {
	d := q.pendingByNumber[number]
	if d == nil || !slices.ContainsFunc(d.tried, func(m Member) bool { return m.Name == from }) {
		return
	}
	q.remove(d)
	q.trimFront()
}

// remove ends a delivery.
func (q *deliveryQueue) remove(d *delivery) { delete(q.pendingByNumber, d.number) }

// trimFront drops ended deliveries from the front of the queue.
func (q *deliveryQueue) trimFront() {
	for len(q.byDeadline) > 0 && q.pendingByNumber[q.byDeadline[0].number] == nil {
		q.byDeadline[0] = nil
		q.byDeadline = q.byDeadline[1:]
	}
	if len(q.byDeadline) == 0 {
		q.byDeadline = nil
	}
}

// firstDeadline returns the earliest deadline and whether the queue holds a delivery.
func (q *deliveryQueue) firstDeadline() (time.Duration, bool) {
	if len(q.byDeadline) == 0 {
		return 0, false
	}
	return q.byDeadline[0].deadline, true
}

// popOverdue removes and returns a delivery whose deadline has passed, or returns nil if there is none. The caller either adds
// the delivery again or ends it with remove.
func (q *deliveryQueue) popOverdue(now time.Duration) *delivery {
	q.trimFront()
	if len(q.byDeadline) == 0 || q.byDeadline[0].deadline > now {
		return nil
	}
	d := q.byDeadline[0]
	q.byDeadline = q.byDeadline[1:]
	return d
}

// maxRecentScopes is the number of remembered scopes. It covers some minutes of ordinary pushes.
const maxRecentScopes = 256

// recentScopes remembers the scopes that this relay has accepted recently. A push that is sent again because its
// acknowledgement was lost is not forwarded a second time.
type recentScopes struct {
	seen   map[uint64]struct{}
	ring   []uint64 // a ring buffer when full
	oldest int
}

func newRecentScopes() recentScopes {
	return recentScopes{seen: map[uint64]struct{}{}}
}

// add reports whether a scope is new, and remembers the scope.
func (s *recentScopes) add(scope Scope) bool {
	hash := scope.hash()
	if _, seen := s.seen[hash]; seen {
		return false
	}
	s.seen[hash] = struct{}{}
	if len(s.ring) < maxRecentScopes {
		s.ring = append(s.ring, hash)
		return true
	}
	delete(s.seen, s.ring[s.oldest])
	s.ring[s.oldest] = hash
	s.oldest = (s.oldest + 1) % maxRecentScopes
	return true
}

func (s Scope) hash() uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(s.Salt)
	_, _ = digest.WriteString(string(s.Low)) // never fails
	_, _ = digest.WriteString("\xff")        // separator: no position contains this byte
	_, _ = digest.WriteString(string(s.High))
	return digest.Sum64()
}
