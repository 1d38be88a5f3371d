package allowance

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// renewalMargin is how long before the end of a lease the caller gets the next rate.
	renewalMargin = 100 * time.Millisecond
	// ownShareDuration is the duration of an allocation of the relay's own share.
	ownShareDuration = 2 * time.Second
	// allocationToleranceRatio is the relative change of a rate up to which the allocation is not returned again.
	allocationToleranceRatio = 0.02
)

// allocations returns the allocations that have changed or expire soon.
func (a *Allocator) allocations(now time.Duration) (list []Allocation) {
	a.addAnnouncedDestinations(now)
	for _, n := range slices.Sorted(maps.Keys(a.destinations)) {
		d := a.destinations[n]
		limit := a.limit(now, n, d)
		if limit <= 0 {
			continue
		}
		allocation := a.allocate(now, n, d, limit)
		if d.isCurrent(now, allocation) {
			continue
		}
		d.allocated = allocation
		d.allocatedAt = now
		list = append(list, allocation)
	}
	return list
}

// addAnnouncedDestinations adds destinations whose limits only other relays have read.
func (a *Allocator) addAnnouncedDestinations(now time.Duration) {
	for _, s := range a.shards {
		for n := range s.holder.announcedLimits {
			if a.destinations[n] == nil && len(a.destinations) < maxDestinations {
				a.destination(now, n)
			}
		}
	}
}

// limit returns the limit that this relay assumes for a destination: the smaller of its own reading and the limit that the owner
// announces. An announcement alone does not raise a limit that this relay has read. Without an own reading the announced limit
// applies, because the relay would otherwise send without any limit.
func (a *Allocator) limit(now time.Duration, n int, d *localDestination) float64 {
	s := a.shards[Shard(n)]
	if s == nil {
		return d.limit
	}
	announced, ok := s.holder.Limit(now, n)
	if ok && (d.limit <= 0 || announced < d.limit) {
		return announced
	}
	return d.limit
}

// allocate returns the allocation of a destination from now on.
func (a *Allocator) allocate(now time.Duration, n int, d *localDestination, limit float64) Allocation {
	holder := a.shard(Shard(n)).holder
	rate, until, own := holder.Rate(now, n, limit)
	leased := rate > 0 && !own
	if leased && until-now < renewalMargin && holder.lentUntil > until {
		// The lease is about to end while the share is still lent. The relay may not send until the loan ends.
		rate, until = 0, holder.lentUntil
	}
	if d.limit > 0 && rate > d.limit {
		rate = d.limit
		a.counters.Capped++
	}
	allocation := Allocation{Destination: n, Rate: rate, Duration: ownShareDuration}
	if rate > 0 && !own {
		allocation.Duration = until - now
	}
	return allocation
}

// isCurrent reports whether the last allocation need not be replaced: its rate is similar, and it lasts for at least half of the next
// allocation's duration.
func (d *localDestination) isCurrent(now time.Duration, next Allocation) bool {
	left := d.allocatedAt + d.allocated.Duration - now
	similar := math.Abs(next.Rate-d.allocated.Rate) <= allocationToleranceRatio*d.allocated.Rate
	sameSign := (next.Rate > 0) == (d.allocated.Rate > 0)
	return similar && sameSign && left > next.Duration/2
}
