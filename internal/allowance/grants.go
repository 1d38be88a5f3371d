package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Grant makes a grant for a relay: its targets, as far as other relays do not have the rates yet. A relay that has not
// sent a claim gets an empty grant.
func (o *Owner) Grant(now time.Duration, shard int, to string) Grant {
	o.updateTargets(now)
	o.sequence++
	o.sentAt[o.sequence] = now
	r := o.relay(to)
	if r.lastClaimSequence == 0 && r.grantsSinceHeard == 0 {
		r.lastHeardAt = now // its silence counts from here
	}
	r.lastGrantAt = now
	r.grantsSinceHeard++
	grant := Grant{
		Shard:         shard,
		Sequence:      o.sequence,
		LastClaim:     r.lastClaimSequence,
		LeaseDuration: o.cfg.LeaseDuration,
	}
	if grant.LastClaim == 0 {
		return grant
	}
	grant.Shares = o.shares(now, to)
	r.outstanding = append(r.outstanding, newSentGrant(now, &grant))
	return grant
}

// shares calculates a relay's leases, as many as fit into a grant.
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

// grantOrder lists the destinations: those that a relay uses first, and each time beginning with another one, for not all
// may fit into a grant.
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

// newSentGrant remembers the rates of a grant until its leases end.
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

// countLenders counts the relays whose loans last as long as a lease that is granted within a duration.
func (o *Owner) countLenders(now, within time.Duration) int {
	count := 0
	for _, r := range o.relays {
		if r.loanUntil >= now+o.cfg.LeaseDuration+within {
			count++
		}
	}
	return count
}

// freeRate is the part of the lent rate of a destination that no relay may be using.
func (o *Owner) freeRate(now time.Duration, n int, d *ownedDestination, lenders int) float64 {
	free := d.limit * float64(lenders) / float64(o.cfg.Relays)
	for _, name := range o.names {
		free -= o.relays[name].outstandingRate(now, n)
	}
	return free
}

// grantableRate is a relay's target, or about as much as it has, as far as the rate is free or its own already.
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

// outstandingRate is the highest rate that a relay may use by any grant that it may still have.
func (r *relayState) outstandingRate(now time.Duration, destination int) (highest float64) {
	for _, g := range r.outstanding {
		if now < g.until {
			highest = max(highest, g.rates[destination])
		}
	}
	return highest
}

// newestRate is the rate of the newest grant, while that is in force.
func (r *relayState) newestRate(now time.Duration, destination int) float64 {
	last := len(r.outstanding) - 1
	if last < 0 || now >= r.outstanding[last].until {
		return 0
	}
	return r.outstanding[last].rates[destination]
}

// usage is 1 for a destination that a relay wants to send to, or may send to, and 0 for another.
func (r *relayState) usage(now time.Duration, destination int) int {
	if r.demands[destination] != nil || r.outstandingRate(now, destination) > 0 {
		return 1
	}
	return 0
}
