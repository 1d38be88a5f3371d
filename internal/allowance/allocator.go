package allowance

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// isolationTimeout is how long a relay without other live members keeps to its own share of each limit.
	isolationTimeout = 60 * time.Second
	// maxDestinations is the maximum number of destinations that an allocator keeps.
	maxDestinations = 16384
	// incarnationShiftBits is the position of the incarnation in a sequence number, above the numbers of one process.
	incarnationShiftBits = 32
	// allocatorStream separates the random numbers of allocators from others with the same seed.
	allocatorStream = 0xa110
)

// Allocator divides the limits for one relay. It has a Holder for each shard that the relay uses, and an Owner for each shard that
// the relay owns. It is not safe for concurrent use.
type Allocator struct {
	cfg             Config
	self            string
	firstSequence   uint64
	priorLoansEnd   time.Duration // end of the loans that an earlier process may have made
	priorLeasesEnd  time.Duration // end of the leases that an earlier process may have granted
	rng             *rand.Rand
	members         []string      // live members, including this relay
	lastConnectedAt time.Duration // when another member was last live
	sequence        uint64        // sequence number of the newest claim
	shards          map[int]*shardState
	destinations    map[int]*localDestination
	counters        Counters
	outbox          []Message
}

// shardState is an allocator's record of a shard.
type shardState struct {
	holder      *Holder
	owner       *Owner // nil if this relay has never been the owner
	lastClaimAt time.Duration
	nextClaimAt time.Duration
	// lastAnswerAt is when the current owner last answered, or when the first claim was sent to that owner.
	lastAnswerAt time.Duration
	avoided      map[string]avoidance // owners that did not answer, by name
	lastPollAt   time.Duration
	// mustAcknowledge is set when a grant has lowered a rate. The owner can grant the difference to other relays once it knows that
	// this relay has received the grant.
	mustAcknowledge bool
}

// avoidance records how long an unresponsive owner is not selected.
type avoidance struct {
	until    time.Duration
	duration time.Duration
}

// NewAllocator returns an allocator. Set restarted if an earlier process of this relay may have lent its shares or granted leases.
// These loans and leases have to end before the new process uses the shares or grants leases.
func NewAllocator(cfg Config, self string, incarnation, seed uint64, now time.Duration, restarted bool) (*Allocator, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	a := &Allocator{
		cfg:             cfg,
		self:            self,
		firstSequence:   incarnation << incarnationShiftBits,
		sequence:        incarnation << incarnationShiftBits,
		rng:             rand.New(rand.NewPCG(seed, allocatorStream)),
		members:         []string{self},
		lastConnectedAt: never,
		shards:          map[int]*shardState{},
		destinations:    map[int]*localDestination{},
	}
	if restarted {
		a.priorLoansEnd = now + cfg.LoanDuration
		a.priorLeasesEnd = now + cfg.LeaseDuration
	}
	return a, nil
}

// Counters returns the counters of the allocator.
func (a *Allocator) Counters() Counters { return a.counters }

// SetMembers sets the live members. The list may or may not include this relay.
func (a *Allocator) SetMembers(now time.Duration, live []string) {
	if len(a.members) > 1 {
		a.lastConnectedAt = now
	}
	for _, s := range a.shards {
		// A member that has joined or left is no longer avoided.
		maps.DeleteFunc(s.avoided, func(member string, _ avoidance) bool {
			return slices.Contains(live, member) != slices.Contains(a.members, member)
		})
	}
	a.members = slices.Clone(live)
	if !slices.Contains(a.members, a.self) {
		a.members = append(a.members, a.self)
	}
}

// Tick creates the claims and grants that are due, and returns the allocations that have changed or expire soon. Call it often, and
// after each input. TakeMessages returns the created messages.
func (a *Allocator) Tick(now time.Duration) []Allocation {
	connected := len(a.members) > 1
	if connected {
		a.lastConnectedAt = now
	}
	if now-a.lastConnectedAt >= isolationTimeout {
		return nil
	}
	if connected { // an isolated relay uses its own share
		a.sendDueClaims(now)
		a.pollMembers(now)
	}
	return a.allocations(now)
}

// TakeMessages returns the messages to send. Each message is returned once.
func (a *Allocator) TakeMessages() []Message {
	messages := a.outbox
	a.outbox = nil
	return messages
}

// RestoreLimit sets a limit that an earlier process has learned. The limit is not reported to other relays as a reading.
func (a *Allocator) RestoreLimit(now time.Duration, destination int, limit float64) {
	d := a.destination(now, destination)
	if d.limit == 0 && isLimit(limit) {
		d.limit = limit
	}
}

// ObserveLimit records a limit that this relay has read from an answer of the destination.
func (a *Allocator) ObserveLimit(now time.Duration, destination int, limit float64) {
	if !isLimit(limit) {
		return
	}
	d := a.destination(now, destination)
	if d.limit > 0 && math.Abs(limit-d.limit) > limitStepRatio*d.limit {
		d.claimNow = true // report a changed limit to the owner at once
	}
	d.limit = limit
	d.limitReadAt = now
}

// isLimit reports whether a number is a positive and finite rate.
func isLimit(limit float64) bool { return limit > 0 && !math.IsInf(limit, 0) }

// ReportDemand records the calls that have arrived for a destination since the last report, and the queued calls, for each priority
// level.
func (a *Allocator) ReportDemand(now time.Duration, destination int, arrived, queued [PriorityLevels]int) {
	d := a.destination(now, destination)
	changed := queued != d.queued
	d.addDemand(now, arrived, queued)
	if !changed || slices.Max(queued[:]) == 0 {
		return
	}
	rate, _, _ := a.shard(Shard(destination)).holder.Rate(now, destination, d.limit)
	if rate < d.demand(destination).total()/2 {
		d.claimNow = true
	}
}

// shard returns the record of a shard, and adds one if there is none.
func (a *Allocator) shard(n int) *shardState {
	s := a.shards[n]
	if s == nil {
		s = &shardState{
			holder:      NewHolder(&a.cfg, a.priorLoansEnd),
			avoided:     map[string]avoidance{},
			lastClaimAt: never,
		}
		a.shards[n] = s
	}
	return s
}

// destination returns the record of a destination, and adds one if there is none.
func (a *Allocator) destination(now time.Duration, n int) *localDestination {
	d := a.destinations[n]
	if d == nil {
		if len(a.destinations) >= maxDestinations {
			a.evictDestinations()
		}
		d = newLocalDestination(now)
		a.destinations[n] = d
	}
	d.lastUse = now
	return d
}

// evictDestinations drops the least recently used half of the destinations.
func (a *Allocator) evictDestinations() {
	byLastUse := func(x, y int) int {
		return cmp.Or(cmp.Compare(a.destinations[x].lastUse, a.destinations[y].lastUse), cmp.Compare(x, y))
	}
	keys := slices.SortedFunc(maps.Keys(a.destinations), byLastUse)
	for _, k := range keys[:len(keys)/2] {
		delete(a.destinations, k)
	}
}
