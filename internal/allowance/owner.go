package allowance

import (
	"maps"
	"slices"
	"time"
)

const (
	// rateToleranceRatio is by which share a relay's rate must differ from its target for a change: demand is noisy, and what one
	// relay gives up another can have only after a round trip.
	rateToleranceRatio = 0.1
	// maxOwnedDestinations bounds the destinations that an owner keeps of a shard.
	maxOwnedDestinations = maxDestinations / Shards
	// relayRetentionLoans is how long an owner remembers a grant that it sent, a silent relay, and demand, in loans.
	relayRetentionLoans = 2
	// destinationRetentionLoans is how long an owner remembers a destination that nobody wants, in loans.
	destinationRetentionLoans = 4
	// maxBackoffShift bounds how often the pause between two polls of a silent relay doubles.
	maxBackoffShift = 4
	// pollsBeforeBackoff is how many grants a relay may leave unanswered before that pause grows.
	pollsBeforeBackoff = 2
)

// Owner is the owner's side of one shard: relays lend it their shares, and it grants leases from them.
type Owner struct {
	cfg      *Config
	sequence uint64                   // of the newest grant
	sentAt   map[uint64]time.Duration // when grants were sent, by sequence
	relays   map[string]*relayState
	// names are those of relays, in order, so that sums and choices come out the same each time.
	names            []string
	destinations     map[int]*ownedDestination
	targetsUpdatedAt time.Duration // when the targets were calculated
	grantsStartAt    time.Duration // leases of an earlier process are over then
}

// relayState is what an owner keeps of a relay.
type relayState struct {
	lastClaimSequence uint64        // sequence of its newest claim
	lastHeardAt       time.Duration // when that claim came
	loanUntil         time.Duration // its shares are lent until then, by the owner's clock
	demands           map[int]*Demand
	outstanding       []sentGrant // grants that it may still use, by sequence
	lastGrantAt       time.Duration
	// grantsSinceHeard counts the grants since its newest claim, the answer included.
	grantsSinceHeard int
}

// sentGrant is a grant that a relay may still use, as far as the owner knows.
type sentGrant struct {
	sequence uint64
	until    time.Duration
	rates    map[int]float64
}

// NewOwner returns an owner. Its grants are numbered from after firstSequence, above those of an earlier process. It
// grants nothing until grantsFrom, when the leases of the earlier process are over.
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

// relay returns what is kept of a relay, and adds it if it is new.
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

// ReceiveClaim accepts a claim, and reports whether it is new.
func (o *Owner) ReceiveClaim(now time.Duration, from string, claim Claim) bool {
	r := o.relay(from)
	if claim.Sequence <= r.lastClaimSequence {
		return false
	}
	r.lastClaimSequence = claim.Sequence
	r.lastHeardAt = now
	r.grantsSinceHeard = 0
	o.extendLoan(r, &claim)
	// The relay does not use what was granted before the grant that it acknowledges.
	r.outstanding = slices.DeleteFunc(r.outstanding, func(g sentGrant) bool { return g.sequence < claim.LastGrant })
	o.recordDemands(now, r, claim.Demands)
	o.recordReadings(now, from, claim.Readings)
	return true
}

// extendLoan counts a loan from when the grant was sent that the claim acknowledges. The loan is over at the lender so
// long after it sent the claim; it did so after it had seen the grant, and so after the grant was sent. That is the
// earliest possible time, so the owner's end of the loan comes no later than the lender's.
func (o *Owner) extendLoan(r *relayState, claim *Claim) {
	sentAt, ok := o.sentAt[claim.LastGrant]
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

// recordReadings adds the limits that a relay has read.
func (o *Owner) recordReadings(now time.Duration, from string, readings []Reading) {
	for _, r := range readings[:min(len(readings), maxClaimed)] {
		d := o.destination(r.Destination)
		if d != nil && isLimit(r.Limit) && r.Age < readingLifetime {
			d.addReading(from, limitReading{limit: r.Limit, at: now - r.Age})
		}
	}
}

// destination returns what is kept of a destination, and adds it if it is new; nil where there are too many.
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

// HasDemand reports whether any relay has lately wanted to send to a destination of the shard.
func (o *Owner) HasDemand(now time.Duration) bool {
	for _, d := range o.destinations {
		if now-d.lastDemandAt < relayRetentionLoans*o.cfg.LoanDuration {
			return true
		}
	}
	return false
}

// UnderservedRelays lists the relays that should have a higher rate, and can since others have given some up.
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

// mayPush reports whether a grant without a new claim is worth sending: a lease that answers an old claim is soon over.
func (o *Owner) mayPush(now time.Duration, name string) bool {
	r := o.relays[name]
	return now-r.lastHeardAt < o.cfg.LeaseDuration/2 && now-r.lastGrantAt >= minClaimInterval
}

// SilentRelays lists the members that have not been heard for a duration and are to be asked: the shares of idle relays are not
// lent otherwise. A relay that does not answer is asked again soon, then less and less often.
func (o *Owner) SilentRelays(now time.Duration, members []string, duration time.Duration) (list []string) {
	for _, member := range members {
		r := o.relays[member]
		if r == nil || now-r.lastHeardAt >= duration && r.mayPoll(now, duration/4) {
			list = append(list, member)
		}
	}
	return list
}

// mayPoll reports whether the pause since the last grant is over.
func (r *relayState) mayPoll(now, pause time.Duration) bool {
	shift := min(max(r.grantsSinceHeard-pollsBeforeBackoff, 0), maxBackoffShift)
	return r.grantsSinceHeard == 0 || now-r.lastGrantAt >= pause<<shift
}
