package allowance

import (
	"maps"
	"slices"
	"time"
)

const (
	// rateToleranceRatio is the relative difference from its target up to which a relay's rate is not changed. Demand is noisy, and a
	// rate that one relay gives up is available to another only after a round trip.
	rateToleranceRatio = 0.1
	// maxOwnedDestinations is the maximum number of destinations that an owner keeps for a shard.
	maxOwnedDestinations = maxDestinations / ShardCount
	// relayRetentionLoans is how long an owner keeps a sent grant, a silent relay and demand, in loan durations.
	relayRetentionLoans = 2
	// destinationRetentionLoans is how long an owner keeps a destination without demand, in loan durations.
	destinationRetentionLoans = 4
	// maxBackoffShift is the maximum number of times that the pause between two polls of a silent relay doubles.
	maxBackoffShift = 4
	// pollsBeforeBackoff is the number of unanswered grants after which the pause between polls starts to double.
	pollsBeforeBackoff = 2
)

// Owner is the owner's side of one shard. Relays lend their shares to the owner, and the owner grants leases from these shares.
type Owner struct {
	cfg      *Config
	sequence uint64                   // sequence number of the newest grant
	sentAt   map[uint64]time.Duration // when grants were sent, by sequence number
	relays   map[string]*relayState
	// names holds the sorted keys of relays. Iterating in this order makes sums and choices deterministic.
	names            []string
	destinations     map[int]*ownedDestination
	targetsUpdatedAt time.Duration // when the targets were last calculated
	grantsStartAt    time.Duration // end of the leases of an earlier process; nothing is granted before
}

// relayState is an owner's record of a relay.
type relayState struct {
	lastClaimSequence uint64        // sequence number of the relay's newest claim
	lastHeardAt       time.Duration // when the newest claim arrived
	loanUntil         time.Duration // end of the loan of the relay's shares, by the owner's clock
	demands           map[int]*Demand
	outstanding       []sentGrant // grants that the relay may still use, by sequence number
	lastGrantAt       time.Duration
	// grantsSinceHeard counts the grants since the relay's newest claim, including the answer to that claim.
	grantsSinceHeard int
}

// sentGrant is a grant that a relay may still be using, as far as the owner knows.
type sentGrant struct {
	sequence uint64
	until    time.Duration
	rates    map[int]float64
}

// NewOwner returns an owner. Sequence numbers of grants start after firstSequence, above those of an earlier process. The owner
// grants nothing until grantsStartAt, when the leases of the earlier process have ended.
func NewOwner(cfg *Config, firstSequence uint64, grantsStartAt time.Duration) *Owner {
	return &Owner{
		cfg:              cfg,
		sequence:         firstSequence,
		sentAt:           map[uint64]time.Duration{},
		relays:           map[string]*relayState{},
		destinations:     map[int]*ownedDestination{},
		targetsUpdatedAt: -targetLifetime,
		grantsStartAt:    grantsStartAt,
	}
}

// relay returns the record of a relay, and adds one if there is none.
func (o *Owner) relay(name string) *relayState {
	r := o.relays[name]
	if r == nil {
		r = &relayState{demands: map[int]*Demand{}}
		o.relays[name] = r
		at, _ := slices.BinarySearch(o.names, name)
		o.names = slices.Insert(o.names, at, name)
	}
	return r
}

// ReceiveClaim processes a claim, and reports whether the claim is new.
func (o *Owner) ReceiveClaim(now time.Duration, from string, claim Claim) bool {
	r := o.relay(from)
	if claim.Sequence <= r.lastClaimSequence {
		return false
	}
	r.lastClaimSequence = claim.Sequence
	r.lastHeardAt = now
	r.grantsSinceHeard = 0
	o.extendLoan(r, &claim)
	// The relay no longer uses the grants before the one that the claim acknowledges.
	r.outstanding = slices.DeleteFunc(r.outstanding, func(g sentGrant) bool { return g.sequence < claim.LastGrantSequence })
	o.recordDemands(now, r, claim.Demands)
	o.recordReadings(now, from, claim.Readings)
	return true
}

// extendLoan extends a loan. The owner counts the loan from the time at which it sent the grant that the claim acknowledges. The
// lender counts the loan from the time at which it sent the claim, which is after the lender received the grant. The owner
// therefore never considers a loan valid after the lender does.
func (o *Owner) extendLoan(r *relayState, claim *Claim) {
	sentAt, ok := o.sentAt[claim.LastGrantSequence]
	if !ok || claim.LoanDuration <= 0 {
		return
	}
	duration := o.cfg.shortenForDrift(min(claim.LoanDuration, o.cfg.LoanDuration))
	r.loanUntil = max(r.loanUntil, sentAt+duration)
}

// recordDemands replaces a relay's demands.
func (o *Owner) recordDemands(now time.Duration, r *relayState, demands []Demand) {
	clear(r.demands)
	for _, demand := range demands[:min(len(demands), maxClaimed)] {
		d := o.destination(demand.Destination)
		if d != nil && isLimit(demand.total()) {
			r.demands[demand.Destination] = &demand
			d.lastDemandAt = now
		}
	}
}

// recordReadings stores the limits that a relay has read.
func (o *Owner) recordReadings(now time.Duration, from string, readings []Reading) {
	for _, r := range readings[:min(len(readings), maxClaimed)] {
		d := o.destination(r.Destination)
		if d != nil && isLimit(r.Limit) && r.Age < readingLifetime {
			d.addReading(from, limitReading{limit: r.Limit, at: now - r.Age})
		}
	}
}

// destination returns the record of a destination, and adds one if there is none. It returns nil if there are too many records.
func (o *Owner) destination(n int) *ownedDestination {
	d := o.destinations[n]
	if d == nil {
		if len(o.destinations) >= maxOwnedDestinations {
			return nil
		}
		d = newOwnedDestination()
		o.destinations[n] = d
	}
	return d
}

// HasDemand reports whether any relay has recently reported demand for a destination of the shard.
func (o *Owner) HasDemand(now time.Duration) bool {
	for _, d := range o.destinations {
		if now-d.lastDemandAt < relayRetentionLoans*o.cfg.LoanDuration {
			return true
		}
	}
	return false
}

// UnderservedRelays returns the relays whose targets are above their rates, and for which enough free rate is available.
func (o *Owner) UnderservedRelays(now time.Duration) (list []string) {
	o.updateTargets(now)
	lenders := o.countLenders(now, 0)
	for _, n := range slices.Sorted(maps.Keys(o.destinations)) {
		d := o.destinations[n]
		free := o.freeRate(now, n, d, lenders)
		for _, name := range slices.Sorted(maps.Keys(d.targets)) {
			if free <= 0 || !o.mayPush(now, name) || slices.Contains(list, name) {
				continue
			}
			current := o.relays[name].newestRate(now, n)
			possible := o.grantableRate(now, n, d, name, free)
			if possible > current*(1+rateToleranceRatio) {
				list = append(list, name)
				free -= possible - current
			}
		}
	}
	slices.Sort(list)
	return list
}

// mayPush reports whether to send a grant without a new claim. A lease that answers an old claim would end too soon to be useful.
func (o *Owner) mayPush(now time.Duration, name string) bool {
	r := o.relays[name]
	return now-r.lastHeardAt < o.cfg.LeaseDuration/2 && now-r.lastGrantAt >= minClaimInterval
}

// SilentRelays returns the members to poll because no claim has arrived from them for a duration. Without polls, idle relays would
// not lend their shares. A relay that does not answer is polled again soon, and then with exponential backoff.
func (o *Owner) SilentRelays(now time.Duration, members []string, duration time.Duration) (list []string) {
	for _, member := range members {
		r := o.relays[member]
		if r == nil || now-r.lastHeardAt >= duration && r.mayPoll(now, duration/4) {
			list = append(list, member)
		}
	}
	return list
}

// mayPoll reports whether the backoff since the last grant to the relay has passed.
func (r *relayState) mayPoll(now, pause time.Duration) bool {
	shift := min(max(r.grantsSinceHeard-pollsBeforeBackoff, 0), maxBackoffShift)
	return r.grantsSinceHeard == 0 || now-r.lastGrantAt >= pause<<shift
}
