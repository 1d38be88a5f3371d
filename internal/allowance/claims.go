package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minClaimInterval is the least time between two claims for a shard, and between two polls of its relays.
	minClaimInterval = 50 * time.Millisecond
	// minHeartbeatFactor and heartbeatJitterRange spread the heartbeats: each comes after 0.8 to 1.2 intervals.
	minHeartbeatFactor   = 0.8
	heartbeatFactorRange = 0.4
	// minDemandRate is the least demand that is worth a claim, in calls a second.
	minDemandRate = 0.01
	// maxAvoidance bounds how long an owner that did not answer is not asked: at first a loan, then twice as long each time.
	maxAvoidance = 30 * time.Second
	// maxClaimed is how many destinations a claim may list, so that it fits into a packet.
	maxClaimed = 24
	// maxGranted is how many destinations a grant may list, so that it fits into a packet.
	maxGranted = 40
)

// ownerOf picks a shard's owner among the members that are alive and answer.
func (a *Allocator) ownerOf(now time.Duration, shard int, s *shardState) string {
	return selectOwner(shard, a.members, func(member string) bool {
		return member == a.self || now >= s.avoided[member].until
	})
}

// sendDueClaims sends claims for the shards of which something is wanted.
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

// sendClaim sends a claim to the owner of a shard.
func (a *Allocator) sendClaim(now time.Duration, shard int) {
	s := a.shard(shard)
	owner := a.ownerOf(now, shard, s)
	if a.isUnresponsive(now, s, owner) {
		a.avoid(now, s, owner)
		owner = a.ownerOf(now, shard, s)
	}
	if owner != s.holder.Owner() || s.lastClaimAt < now-a.cfg.LoanDuration {
		s.lastAnswerAt = now // the owner was not asked before
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

// isUnresponsive reports whether an owner that was asked has not answered for a lease.
func (a *Allocator) isUnresponsive(now time.Duration, s *shardState, owner string) bool {
	wasAsked := owner == s.holder.Owner() && owner != a.self
	return wasAsked && now-s.lastAnswerAt > a.cfg.LeaseDuration
}

// avoid keeps an owner from being asked for a time, which doubles from one failure to the next.
func (a *Allocator) avoid(now time.Duration, s *shardState, owner string) {
	duration := min(max(2*s.avoided[owner].duration, a.cfg.LoanDuration), maxAvoidance)
	s.avoided[owner] = avoidance{until: now + duration, duration: duration}
	a.counters.Avoided++
}

// claimContents collects the demand and the fresh readings of a shard's destinations, the greatest demand first.
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

// pollMembers sends grants for the shards of this relay that nobody has asked for: to relays that can have more, and to
// relays that have been silent.
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

func (a *Allocator) pollShard(now time.Duration, shard int, s *shardState) {
	for _, member := range s.owner.UnderservedRelays(now) {
		a.sendGrant(now, shard, s, member, false)
	}
	silence := (a.cfg.LoanDuration - a.cfg.LeaseDuration) * 2 / 3
	for _, member := range s.owner.SilentRelays(now, a.members, silence) {
		a.sendGrant(now, shard, s, member, true)
		if member == a.self { // like any other relay, it lends with a claim that acknowledges the grant
			a.sendClaim(now, shard)
		}
	}
}

// sendGrant sends a grant to a relay.
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

// ReceiveClaim accepts a claim of a relay, and answers it.
func (a *Allocator) ReceiveClaim(now time.Duration, from string, claim Claim) {
	if !isShard(claim.Shard) || !slices.Contains(a.members, from) {
		a.counters.Strays++
		return
	}
	a.removeForeign(&claim)
	s := a.shard(claim.Shard)
	if s.owner == nil {
		s.owner = NewOwner(&a.cfg, a.firstSequence, a.priorLeasesEnd)
	}
	if s.owner.ReceiveClaim(now, from, claim) {
		a.sendGrant(now, claim.Shard, s, from, false)
	}
}

func isShard(n int) bool { return n >= 0 && n < Shards }

// removeForeign removes the destinations that do not belong to a claim's shard.
func (a *Allocator) removeForeign(claim *Claim) {
	before := len(claim.Demands) + len(claim.Readings)
	claim.Demands = slices.DeleteFunc(claim.Demands, func(d Demand) bool { return Shard(d.Destination) != claim.Shard })
	claim.Readings = slices.DeleteFunc(claim.Readings, func(r Reading) bool { return Shard(r.Destination) != claim.Shard })
	a.counters.Foreign += int64(before - len(claim.Demands) - len(claim.Readings))
}

// ReceiveGrant accepts a grant of an owner.
func (a *Allocator) ReceiveGrant(now time.Duration, from string, grant Grant) {
	if !isShard(grant.Shard) {
		a.counters.Strays++
		return
	}
	a.removeForeignShares(&grant)
	s := a.shard(grant.Shard)
	before := maps.Clone(s.holder.leases)
	if a.isPoll(now, s, from, &grant) {
		a.answerPoll(now, s, from, grant)
	} else if s.holder.ReceiveGrant(now, from, grant) {
		s.lastAnswerAt = now
		delete(s.avoided, from)
		a.counters.GrantsAccepted++
	} else {
		a.counters.Strays++
	}
	if s.holder.hasLoweredLease(now, before) {
		s.mustAcknowledge = true
	}
}

// removeForeignShares removes the destinations that do not belong to a grant's shard, and those that are too many.
func (a *Allocator) removeForeignShares(grant *Grant) {
	before := len(grant.Shares)
	grant.Shares = slices.DeleteFunc(grant.Shares, func(s Share) bool { return Shard(s.Destination) != grant.Shard })
	grant.Shares = grant.Shares[:min(len(grant.Shares), maxGranted)]
	a.counters.Foreign += int64(before - len(grant.Shares))
}

// isPoll reports whether the shard's owner asks for a claim that may be sent now.
func (a *Allocator) isPoll(now time.Duration, s *shardState, from string, grant *Grant) bool {
	return grant.ClaimRequested && from == a.ownerOf(now, grant.Shard, s) && from != a.self && s.mayClaim(now)
}

// answerPoll accepts a grant that asks for a claim, and sends the claim.
func (a *Allocator) answerPoll(now time.Duration, s *shardState, from string, grant Grant) {
	s.holder.owner = from
	if !s.holder.ReceiveGrant(now, from, grant) {
		return
	}
	s.lastAnswerAt = now
	a.counters.GrantsAccepted++
	a.sendClaim(now, grant.Shard)
}
