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
	// isolationTimeout is how long a relay that hears of no other member any more keeps to its own share.
	isolationTimeout = 60 * time.Second
	// maxDestinations bounds the destinations that an allocator keeps.
	maxDestinations = 16384
	// incarnationShiftBits puts the incarnation above the sequence numbers of one process.
	incarnationShiftBits = 32
	// allocatorStream separates the random sequence of allocators from others of the same seed.
	allocatorStream = 0xa110
)

// Allocator is one relay's part in dividing the limits: a Holder for each shard that it uses, and an Owner for each shard
// that it owns. It is not safe for concurrent use.
type Allocator struct {
	cfg             Config
	self            string
	firstSequence   uint64
	priorLoansEnd   time.Duration // loans that an earlier process made are over then
	priorLeasesEnd  time.Duration // leases that an earlier process granted are over then
	rng             *rand.Rand
	members         []string      // live members, this relay included
	lastConnectedAt time.Duration // when another member was last alive
	sequence        uint64        // of the newest claim
	shards          map[int]*shardState
	destinations    map[int]*localDestination
	counters        Counters
	outbox          []Message
}

// shardState is what an allocator keeps of a shard.
type shardState struct {
	holder      *Holder
	owner       *Owner // nil where this relay has never been the owner
	lastClaimAt time.Duration
	nextClaimAt time.Duration
	// lastAnswer is when the current owner last answered, or was first asked.
	lastAnswerAt time.Duration
	avoided      map[string]avoidance // owners that did not answer
	lastPollAt   time.Duration
	// acknowledge is set when a grant has lowered a rate: the owner can grant it to others once it knows that this relay
	// has seen the grant.
	mustAcknowledge bool
}

// avoidance is how long an owner that did not answer is not asked.
type avoidance struct {
	until    time.Duration
	duration time.Duration
}

// NewAllocator returns an allocator. Set restarted where an earlier process of this relay may have lent its shares or
// granted leases: they have to end before the new process uses or grants anything of them.
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

// Counters returns the counters.
func (a *Allocator) Counters() Counters { return a.counters }

// SetMembers sets the live members, this relay included or not.
func (a *Allocator) SetMembers(now time.Duration, live []string) {
	if len(a.members) > 1 {
		a.lastConnectedAt = now
	}
	for _, s := range a.shards {
		// A member that has come, or come back, may be asked again.
		maps.DeleteFunc(s.avoided, func(member string, _ avoidance) bool {
			return slices.Contains(live, member) != slices.Contains(a.members, member)
		})
	}
	a.members = slices.Clone(live)
	if !slices.Contains(a.members, a.self) {
		a.members = append(a.members, a.self)
	}
}

// Tick sends the claims and grants that are due, and returns the allocations that have changed or are about to expire.
// Call it often, and after all input. TakeMessages returns what it sends.
func (a *Allocator) Tick(now time.Duration) []Allocation {
	connected := len(a.members) > 1
	if connected {
		a.lastConnectedAt = now
	}
	if now-a.lastConnectedAt >= isolationTimeout {
		return nil
	}
	if connected { // a relay that is cut off has its own share
		a.sendDueClaims(now)
		a.pollMembers(now)
	}
	return a.allocations(now)
}

// TakeMessages returns the messages to send, each once.
func (a *Allocator) TakeMessages() []Message {
	messages := a.outbox
	a.outbox = nil
	return messages
}

// RestoreLimit sets a limit that an earlier process had learned. It is not reported to others as a reading.
func (a *Allocator) RestoreLimit(now time.Duration, destination int, limit float64) {
	d := a.destination(now, destination)
	if d.limit == 0 && isLimit(limit) {
		d.limit = limit
	}
}

// ObserveLimit records a limit that an answer of the destination gave.
func (a *Allocator) ObserveLimit(now time.Duration, destination int, limit float64) {
	if !isLimit(limit) {
		return
	}
	d := a.destination(now, destination)
	if d.limit > 0 && math.Abs(limit-d.limit) > limitStepRatio*d.limit {
		d.claimNow = true // other relays should know at once
	}
	d.limit = limit
	d.limitReadAt = now
}

// isLimit reports whether a number is a positive, finite rate.
func isLimit(limit float64) bool { return limit > 0 && !math.IsInf(limit, 0) }

// ReportDemand records the calls that have arrived for a destination since the last report, and those that wait, by
// priority level.
func (a *Allocator) ReportDemand(now time.Duration, destination int, arrived, waiting [Levels]int) {
	d := a.destination(now, destination)
	changed := waiting != d.waiting
	d.addDemand(now, arrived, waiting)
	if !changed || slices.Max(waiting[:]) == 0 {
		return
	}
	rate, _, _ := a.shard(Shard(destination)).holder.Rate(now, destination, d.limit)
	if rate < d.demand(destination).total()/2 {
		d.claimNow = true
	}
}

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
