package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minClaimInterval is the minimum time between two claims for a shard, and between two polls of the shard's relays.
	minClaimInterval = 50 * time.Millisecond
	// minHeartbeatFactor and heartbeatFactorRange define the jitter of heartbeats: the next follows after 0.8 to 1.2 intervals.
	minHeartbeatFactor   = 0.8
	heartbeatFactorRange = 0.4
	// minDemandRate is the demand above which a destination is claimed, in calls a second.
	minDemandRate = 0.01
	// maxAvoidance bounds how long an unresponsive owner is avoided. The time starts at the length of a loan and doubles with each
	// failure.
	maxAvoidance = 30 * time.Second
	// maxClaimed is the maximum number of destinations in a claim, so that the claim fits into a packet.
	maxClaimed = 24
	// maxGranted is the maximum number of destinations in a grant, so that the grant fits into a packet.
	maxGranted = 40
)

// ownerOf selects the owner of a shard among the live members that are not avoided.
func (a *Allocator) ownerOf(now time.Duration, shard int, s *shardState) string {
	return selectOwner(shard, a.members, func(member string) bool {
		return member == a.self || now >= s.avoided[member].until
	})
}

// sendDueClaims sends claims for the shards with demand, and for those with a grant to acknowledge.
func (a *Allocator) sendDueClaims(now time.Duration) {
	due := map[int]bool{}
	for n, s := range a.shards {
		if s.mustAcknowledge && s.mayClaim(now) {
			due[n] = true
		}
	}
	for n, d := range a.destinations {
		d.updateRates(now)
		s := a.shard(Shard(n))
		claimDue := now >= s.nextClaimAt || d.claimNow && s.mayClaim(now)
		if claimDue && d.demand(n).total() > minDemandRate {
			due[Shard(n)] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(due)) {
		a.sendClaim(now, n)
	}
}

// mayClaim reports whether a claim may be sent before the next heartbeat.
func (s *shardState) mayClaim(now time.Duration) bool { return now-s.lastClaimAt >= minClaimInterval }

// sendClaim sends a claim to the owner of a shard. It selects another owner if the current one is unresponsive.
func (a *Allocator) sendClaim(now time.Duration, shard int) {
	s := a.shard(shard)
	owner := a.ownerOf(now, shard, s)
	if a.isUnresponsive(now, s, owner) {
		a.avoid(now, s, owner)
		owner = a.ownerOf(now, shard, s)
	}
	if owner != s.holder.Owner() || s.lastClaimAt < now-a.cfg.LoanDuration {
		s.lastAnswerAt = now // the time without an answer starts at the first claim to this owner
	}
	jitter := minHeartbeatFactor + heartbeatFactorRange*a.rng.Float64()
	s.lastClaimAt = now
	s.nextClaimAt = now + time.Duration(jitter*float64(a.cfg.HeartbeatInterval))
	s.mustAcknowledge = false
	demands, readings := a.claimContents(now, shard)
	a.sequence++
	claim := s.holder.Claim(now, shard, owner, a.sequence, demands, readings)
	a.counters.Claims++
	if owner == a.self {
		a.ReceiveClaim(now, a.self, claim)
		return
	}
	a.outbox = append(a.outbox, Message{To: owner, Claim: &claim})
}

// isUnresponsive reports whether an owner has not answered claims for the length of a lease.
func (a *Allocator) isUnresponsive(now time.Duration, s *shardState, owner string) bool {
	wasAsked := owner == s.holder.Owner() && owner != a.self
	return wasAsked && now-s.lastAnswerAt > a.cfg.LeaseDuration
}

// avoid excludes an owner from selection for a time that doubles with each failure.
func (a *Allocator) avoid(now time.Duration, s *shardState, owner string) {
	duration := min(max(2*s.avoided[owner].duration, a.cfg.LoanDuration), maxAvoidance)
	s.avoided[owner] = avoidance{until: now + duration, duration: duration}
	a.counters.OwnersAvoided++
}

// claimContents returns the demands for the destinations of a shard, the greatest first, and the valid readings of their limits.
func (a *Allocator) claimContents(now time.Duration, shard int) (demands []Demand, readings []Reading) {
	for _, n := range slices.Sorted(maps.Keys(a.destinations)) {
		if Shard(n) != shard {
			continue
		}
		d := a.destinations[n]
		d.claimNow = false
		if demand := d.demand(n); demand.total() > minDemandRate {
			demands = append(demands, demand)
		}
		if age := now - d.limitReadAt; age < readingLifetime {
			readings = append(readings, Reading{Destination: n, Limit: d.limit, Age: age})
		}
	}
	slices.SortStableFunc(demands, func(x, y Demand) int { return cmp.Compare(y.total(), x.total()) })
	demands = demands[:min(len(demands), maxClaimed)]
	readings = readings[:min(len(readings), maxClaimed)]
	return demands, readings
}

// pollMembers sends grants without a preceding claim for the shards that this relay owns: to relays that can get a higher rate, and
// to silent relays.
func (a *Allocator) pollMembers(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(a.shards)) {
		s := a.shards[n]
		if s.owner == nil || a.ownerOf(now, n, s) != a.self {
			continue
		}
		if now-s.lastPollAt >= minClaimInterval && s.owner.HasDemand(now) {
			s.lastPollAt = now
			a.pollShard(now, n, s)
		}
	}
}

// pollShard sends the grants of one shard.
func (a *Allocator) pollShard(now time.Duration, shard int, s *shardState) {
	for _, member := range s.owner.UnderservedRelays(now) {
		a.sendGrant(now, shard, s, member, false)
	}
	silence := (a.cfg.LoanDuration - a.cfg.LeaseDuration) * 2 / 3
	for _, member := range s.owner.SilentRelays(now, a.members, silence) {
		a.sendGrant(now, shard, s, member, true)
		if member == a.self { // like any other relay, this one lends by a claim that acknowledges the grant
			a.sendClaim(now, shard)
		}
	}
}

// sendGrant sends a grant of a shard to a relay.
func (a *Allocator) sendGrant(now time.Duration, shard int, s *shardState, to string, claimRequested bool) {
	grant := s.owner.Grant(now, shard, to)
	grant.ClaimRequested = claimRequested
	a.counters.Grants++
	if to == a.self {
		a.ReceiveGrant(now, a.self, grant)
		return
	}
	a.outbox = append(a.outbox, Message{To: to, Grant: &grant})
}

// ReceiveClaim processes a relay's claim, and answers a new one with a grant.
func (a *Allocator) ReceiveClaim(now time.Duration, from string, claim Claim) {
	if !isShard(claim.Shard) || !slices.Contains(a.members, from) {
		a.counters.Rejected++
		return
	}
	a.removeOtherShards(&claim)
	s := a.shard(claim.Shard)
	if s.owner == nil {
		s.owner = NewOwner(&a.cfg, a.firstSequence, a.priorLeasesEnd)
	}
	if s.owner.ReceiveClaim(now, from, claim) {
		a.sendGrant(now, claim.Shard, s, from, false)
	}
}

// isShard reports whether a number is that of a shard.
func isShard(n int) bool { return n >= 0 && n < ShardCount }

// removeOtherShards removes the destinations of other shards from a claim.
func (a *Allocator) removeOtherShards(claim *Claim) {
	before := len(claim.Demands) + len(claim.Readings)
	claim.Demands = slices.DeleteFunc(claim.Demands, func(d Demand) bool { return Shard(d.Destination) != claim.Shard })
	claim.Readings = slices.DeleteFunc(claim.Readings, func(r Reading) bool { return Shard(r.Destination) != claim.Shard })
	a.counters.OtherShardDestinations += int64(before - len(claim.Demands) - len(claim.Readings))
}

// ReceiveGrant processes an owner's grant.
func (a *Allocator) ReceiveGrant(now time.Duration, from string, grant Grant) {
	if !isShard(grant.Shard) {
		a.counters.Rejected++
		return
	}
	a.removeOtherShardShares(&grant)
	s := a.shard(grant.Shard)
	before := maps.Clone(s.holder.leases)
	if a.isPoll(now, s, from, &grant) {
		a.answerPoll(now, s, from, grant)
	} else if s.holder.ReceiveGrant(now, from, grant) {
		s.lastAnswerAt = now
		delete(s.avoided, from)
		a.counters.GrantsAccepted++
	} else {
		a.counters.Rejected++
	}
	if s.holder.hasLoweredLease(now, before) {
		s.mustAcknowledge = true
	}
}

// removeOtherShardShares removes the destinations of other shards from a grant, and those above maxGranted.
func (a *Allocator) removeOtherShardShares(grant *Grant) {
	before := len(grant.Shares)
	grant.Shares = slices.DeleteFunc(grant.Shares, func(s Share) bool { return Shard(s.Destination) != grant.Shard })
	grant.Shares = grant.Shares[:min(len(grant.Shares), maxGranted)]
	a.counters.OtherShardDestinations += int64(before - len(grant.Shares))
}

// isPoll reports whether a grant is from the owner of its shard, requests a claim, and the claim may be sent now.
func (a *Allocator) isPoll(now time.Duration, s *shardState, from string, grant *Grant) bool {
	return grant.ClaimRequested && from == a.ownerOf(now, grant.Shard, s) && from != a.self && s.mayClaim(now)
}

// answerPoll processes a grant that requests a claim, and sends the claim.
func (a *Allocator) answerPoll(now time.Duration, s *shardState, from string, grant Grant) {
	s.holder.owner = from
	if !s.holder.ReceiveGrant(now, from, grant) {
		return
	}
	s.lastAnswerAt = now
	a.counters.GrantsAccepted++
	a.sendClaim(now, grant.Shard)
}
