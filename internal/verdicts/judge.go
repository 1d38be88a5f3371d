package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxTracked bounds the records of waits and the records of members that a judge keeps.
const maxTracked = 8192

// never is a time before all others.
const never = time.Duration(-1 << 62)

// Member is a pool member that may get new calls according to this relay's own list.
type Member struct {
	Name        string
	Destination int
}

// Order is the action that a restraint asks of this relay.
type Order int

// The orders.
const (
	OrderWait     Order = iota // send nothing to the destination, or to the separate route, before At; an At in the past ends the hold
	OrderOutage                // the member has been out since At; the next trial call is delayed
	OrderRecovery              // the outage that the fleet announced is over; the member's slow start began at At
	OrderRelease               // the fleet's statements no longer restrain the member; the relay decides on its own again
)

var orderNames = [...]string{OrderWait: "hold", OrderOutage: "out", OrderRecovery: "back", OrderRelease: "free"}

// String returns the name of the order.
func (o Order) String() string { return orderNames[o] }

// Restraint is a decision that a judge derives from the fleet's statements.
type Restraint struct {
	Order       Order
	Destination int
	Member      string
	At          time.Duration
}

// Counters count the decisions of a judge since its creation.
type Counters struct {
	Restraints  int64 `json:"heeded"`    // restraints returned, except those that end a hold that an own call contradicted
	Overruled   int64 `json:"overruled"` // statements that this relay's own calls contradicted
	OverBudget  int64 `json:"overdrawn"` // waits of a single origin that exceeded its budget
	BelowQuorum int64 `json:"unagreed"`  // outages announced by fewer origins than the quorum
}

// Judge decides what the statements in a store mean for one relay. The relay's own observations overrule the statements.
type Judge struct {
	self        string
	quorum      int // number of origins that have to agree when a single statement is not enough
	store       *Store
	holds       map[Subject]*holdState
	members     map[Subject]*memberState
	pool        []Member
	poolVersion int64
	counters    Counters
}

// NewJudge returns a judge that reads a store. The judge does not change the store.
func NewJudge(self string, quorum int, store *Store) *Judge {
	return &Judge{
		self:    self,
		quorum:  max(quorum, 1),
		store:   store,
		holds:   map[Subject]*holdState{},
		members: map[Subject]*memberState{},
	}
}

// Counters returns the counters of the judge.
func (j *Judge) Counters() Counters { return j.counters }

// SetPool sets the relay's own list of members that may get new calls, and the version of the list.
func (j *Judge) SetPool(version int64, members []Member) {
	j.poolVersion = version
	j.pool = members
}

// Observe records the result of one of this relay's own calls.
func (j *Judge) Observe(now time.Duration, o Observation) []Restraint {
	j.evictOldest()
	m := j.member(now, o.Destination, o.Member)
	switch o.Outcome {
	case Succeeded:
		m.lastSuccessStart = max(m.lastSuccessStart, o.StartedAt)
		restraints := j.judgeHealth(now, o.Destination, o.Member, nil)
		return append(restraints, j.endContradictedHold(now, o)...)
	case Failed:
		m.lastFailureStart = max(m.lastFailureStart, o.StartedAt)
	case Refused:
		h := j.hold(now, o.waitSubject())
		h.lastRefusals[j.self] = now
		h.ownWaitEnd = max(h.ownWaitEnd, now+o.RetryAfter)
		return j.judgeWait(now, o.waitSubject(), nil)
	}
	return nil
}

// SetOwnHealth records whether this relay counts a member as out because its own calls to the member have failed since a given time.
func (j *Judge) SetOwnHealth(now time.Duration, destination int, member string, out bool, since time.Duration) []Restraint {
	m := j.member(now, destination, member)
	m.ownOutageStart = never
	if out {
		m.ownOutageStart = since
	}
	return j.judgeHealth(now, destination, member, nil)
}

// Receive judges a statement that is new in the store.
func (j *Judge) Receive(now time.Duration, s Statement) []Restraint {
	if s.Origin == j.self {
		return nil
	}
	j.evictOldest()
	switch s.Kind {
	case Wait:
		return j.judgeWait(now, s.Subject, &s)
	case Health:
		return j.judgeHealth(now, s.Destination, s.Member, &s)
	}
	return nil // ExcludedMembers reads drains and bans from the store
}

// Expired judges subjects again that have lost a statement, because the statement expired or its origin left the fleet.
func (j *Judge) Expired(now time.Duration, subjects []Subject) (restraints []Restraint) {
	for _, s := range subjects {
		if s.Kind == Health && j.members[s] != nil {
			restraints = append(restraints, j.judgeHealth(now, s.Destination, s.Member, nil)...)
		}
	}
	return restraints
}

// Forget drops the records of an origin that is no longer a member of the fleet.
func (j *Judge) Forget(origin string) {
	for _, h := range j.holds {
		delete(h.budgets, origin)
		delete(h.lastRefusals, origin)
	}
}

// evictOldest bounds the maps by maxTracked.
func (j *Judge) evictOldest() {
	if len(j.holds) > maxTracked {
		evictOlderHalf(j.holds, func(h *holdState) time.Duration { return h.lastUse })
	}
	if len(j.members) > maxTracked {
		evictOlderHalf(j.members, func(m *memberState) time.Duration { return m.lastUse })
	}
}

// evictOlderHalf drops the least recently used half of a map.
func evictOlderHalf[V any](m map[Subject]V, lastUse func(V) time.Duration) {
	byLastUse := func(a, b Subject) int {
		return cmp.Or(cmp.Compare(lastUse(m[a]), lastUse(m[b])), a.compare(b))
	}
	keys := slices.SortedFunc(maps.Keys(m), byLastUse)
	for _, k := range keys[:len(keys)/2] {
		delete(m, k)
	}
}
