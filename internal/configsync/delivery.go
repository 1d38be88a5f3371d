package configsync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// delivery is a part of a scope that was handed to a member which has not acknowledged it yet.
type delivery struct {
	number   uint64
	changes  []Change
	part     Scope
	tried    []Member
	deadline time.Duration
}

// rank orders members by how much sense it makes to try them next, the lowest first.
func (d *delivery) rank(member Member) int {
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

// deliveryQueue holds the deliveries that await an acknowledgement. All wait equally long, so that they stand in the order of
// their deadlines.
type deliveryQueue struct {
	awaiting map[uint64]*delivery
	waiting  []*delivery // may hold such at its front that are not awaited any more, only while a call runs
}

func newDeliveryQueue() deliveryQueue {
	return deliveryQueue{awaiting: map[uint64]*delivery{}}
}

// add awaits a delivery until its deadline, which is not before that of any other.
func (q *deliveryQueue) add(d *delivery) {
	q.awaiting[d.number] = d
	q.waiting = append(q.waiting, d)
}

// acknowledge ends a delivery if its acknowledgement comes from a member that it was handed to.
func (q *deliveryQueue) acknowledge(number uint64, from string) {
	d := q.awaiting[number]
	if d == nil || !slices.ContainsFunc(d.tried, func(m Member) bool { return m.Name == from }) {
		return
	}
	q.forget(d)
	q.trim()
}

// forget ends a delivery.
func (q *deliveryQueue) forget(d *delivery) { delete(q.awaiting, d.number) }

// trim drops what is not awaited any more from the front.
func (q *deliveryQueue) trim() {
	for len(q.waiting) > 0 && q.awaiting[q.waiting[0].number] == nil {
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
	}
	if len(q.waiting) == 0 {
		q.waiting = nil
	}
}

// deadline returns the first one.
func (q *deliveryQueue) deadline() (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	return q.waiting[0].deadline, true
}

// overdue takes a delivery whose deadline has passed off the queue; the caller adds it again or forgets it. It returns nil if
// there is none.
func (q *deliveryQueue) overdue(now time.Duration) *delivery {
	q.trim()
	if len(q.waiting) == 0 || q.waiting[0].deadline > now {
		return nil
	}
	d := q.waiting[0]
	q.waiting = q.waiting[1:]
	return d
}

// maxRecentScopes is how many scopes are remembered as handled: some minutes of ordinary pushes.
const maxRecentScopes = 256

// recentScopes remembers the scopes that were lately taken over, so that a push which is sent again for want of an
// acknowledgement is not passed on again.
type recentScopes struct {
	seen  map[uint64]struct{}
	order []uint64 // a ring, once it is full
	next  int
}

func newRecentScopes() recentScopes {
	return recentScopes{seen: map[uint64]struct{}{}}
}

// add reports whether a scope is new, and remembers it.
func (s *recentScopes) add(scope Scope) bool {
	hash := scope.hash()
	if _, seen := s.seen[hash]; seen {
		return false
	}
	s.seen[hash] = struct{}{}
	if len(s.order) < maxRecentScopes {
		s.order = append(s.order, hash)
		return true
	}
	delete(s.seen, s.order[s.next])
	s.order[s.next] = hash
	s.next = (s.next + 1) % maxRecentScopes
	return true
}

func (s Scope) hash() uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(s.Salt)
	_, _ = digest.WriteString(string(s.Low)) // it never fails
	_, _ = digest.WriteString("\xff")        // in no position
	_, _ = digest.WriteString(string(s.High))
	return digest.Sum64()
}
