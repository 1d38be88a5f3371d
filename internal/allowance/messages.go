package allowance

import "time"

// Demand is the rate that a relay could send to a destination, in calls a second, for each priority level.
type Demand struct {
	Destination int
	Rates       [PriorityLevels]float64
}

// total returns the sum over all priority levels.
func (d Demand) total() (sum float64) {
	for _, r := range d.Rates {
		sum += r
	}
	return sum
}

// Reading is a limit that a relay has read from an answer of the destination.
type Reading struct {
	Destination int
	Limit       float64       // calls a second
	Age         time.Duration // time since the relay read the limit
}

// Claim is a message from a relay to the owner of a shard. Relays repeat claims as heartbeats.
type Claim struct {
	Shard int
	// Sequence increases with each claim of the relay, whatever owner the claim goes to.
	Sequence uint64
	// LastGrantSequence is the sequence number of the newest grant that the relay has received from this owner; 0 for none.
	LastGrantSequence uint64
	// LoanDuration is how long the relay lends its shares of the shard's limits to the owner; 0 if it does not lend them.
	LoanDuration time.Duration
	Demands      []Demand
	Readings     []Reading
}

// Grant is a message from the owner of a shard to a relay.
type Grant struct {
	Shard int
	// ClaimRequested asks the relay for a claim, because the owner has not received one for some time.
	ClaimRequested bool
	// Sequence increases with each grant of the owner, also across restarts.
	Sequence uint64
	// LastClaimSequence is the sequence number of the newest claim that the owner has received from the relay; 0 for none.
	LastClaimSequence uint64
	LeaseDuration     time.Duration
	Shares            []Share
}

// Share is a relay's lease on a destination's limit.
type Share struct {
	Destination int
	Rate        float64 // calls a second that the relay may send
	Limit       float64 // limit of the destination, in calls a second
}

// Message is a claim or a grant to another relay.
type Message struct {
	To    string
	Claim *Claim
	Grant *Grant
}

// Allocation is the rate at which this relay may send to a destination, valid from now for a duration.
type Allocation struct {
	Destination int
	Rate        float64 // calls a second
	Duration    time.Duration
}
