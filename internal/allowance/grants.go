package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Grant creates a grant for a relay. It contains the relay's target rates, as far as other relays do not still use these rates. A
// relay that has not sent a claim gets an empty grant.
func (o *Owner) Grant(now time.Duration, shard int, to string) Grant {
	o.updateTargets(now)
	o.sequence++
	o.sentAt[o.sequence] = now
	r := o.relay(to)
	if r.lastClaimSequence == 0 && r.grantsSinceHeard == 0 {
		r.lastHeardAt = now // the relay counts as silent from its first grant on
	}
	r.lastGrantAt = now
	r.grantsSinceHeard++
	grant := Grant{
		Shard:             shard,
		Sequence:          o.sequence,
		LastClaimSequence: r.lastClaimSequence,
		LeaseDuration:     o.cfg.LeaseDuration,
	}
	if grant.LastClaimSequence == 0 {
		return grant
	}
	grant.Shares = o.shares(now, to)
	r.outstanding = append(r.outstanding, newSentGrant(now, &grant))
	return grant
}

// shares calculates the leases of a relay, as many as fit into a grant.
func (o *Owner) shares(now time.Duration, to string) (shares []Share) {
	lenders := o.countLenders(now, 0)
	for _, n := range o.grantOrder(now, to) {
		d := o.destinations[n]
		if d.limit <= 0 || len(shares) == maxGranted {
			continue
		}
		free := o.freeRate(now, n, d, lenders)
		rate := o.grantableRate(now, n, d, to, free)
		shares = append(shares, Share{Destination: n, Rate: rate, Limit: d.limit})
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Destination, b.Destination) })
	return shares
}

// grantOrder returns the destinations in the order of granting. Destinations that the relay uses come first. The starting point
// rotates with each grant, because not all destinations may fit into one grant.
func (o *Owner) grantOrder(now time.Duration, to string) []int {
	order := slices.Sorted(maps.Keys(o.destinations))
	first := int(o.sequence % uint64(max(len(order), 1)))
	order = append(order[first:], order[:first]...)
	r := o.relays[to]
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(r.usage(now, b), r.usage(now, a))
	})
	return order
}

// newSentGrant returns a record of the rates of a grant until the leases end.
func newSentGrant(now time.Duration, grant *Grant) sentGrant {
	sent := sentGrant{
		sequence: grant.Sequence,
		until:    now + grant.LeaseDuration,
		rates:    map[int]float64{},
	}
	for _, s := range grant.Shares {
		if s.Rate > 0 {
			sent.rates[s.Destination] = s.Rate
		}
	}
	return sent
}

// countLenders counts the relays whose loans outlast any lease that is granted from now until the end of a duration.
func (o *Owner) countLenders(now, within time.Duration) int {
	count := 0
	for _, r := range o.relays {
		if r.loanUntil >= now+o.cfg.LeaseDuration+within {
			count++
		}
	}
	return count
}

// freeRate returns the part of a destination's lent rate that no relay can still be using.
func (o *Owner) freeRate(now time.Duration, n int, d *ownedDestination, lenders int) float64 {
	free := d.limit * float64(lenders) / float64(o.cfg.Relays)
	for _, name := range o.names {
		free -= o.relays[name].outstandingRate(now, n)
	}
	return free
}

// grantableRate returns the rate to grant to a relay: the relay's target, or its current rate if the target is only slightly lower.
// The rate is limited to the free rate plus the outstanding rate of the relay.
func (o *Owner) grantableRate(now time.Duration, n int, d *ownedDestination, to string, free float64) float64 {
	if now < o.grantsStartAt {
		return 0
	}
	r := o.relays[to]
	rate := d.targets[to]
	if current := r.newestRate(now, n); rate < current && rate >= (1-rateToleranceRatio)*current {
		rate = current
	}
	return max(min(rate, free+r.outstandingRate(now, n)), 0)
}

// outstandingRate returns the highest rate among the grants that a relay may still be using.
func (r *relayState) outstandingRate(now time.Duration, destination int) (highest float64) {
	for _, g := range r.outstanding {
		if now < g.until {
			highest = max(highest, g.rates[destination])
		}
	}
	return highest
}

// newestRate returns the rate of the relay's newest grant, or 0 if that grant has expired.
func (r *relayState) newestRate(now time.Duration, destination int) float64 {
	last := len(r.outstanding) - 1
	if last < 0 || now >= r.outstanding[last].until {
		return 0
	}
	return r.outstanding[last].rates[destination]
}

// usage returns 1 if the relay has demand for a destination or may still use a rate of it, and 0 otherwise.
func (r *relayState) usage(now time.Duration, destination int) int {
	if r.demands[destination] != nil || r.outstandingRate(now, destination) > 0 {
		return 1
	}
	return 0
}
