package allowance

import "time"

// Demand is the rate that a relay could send to a destination, in calls a second, by priority level.
type Demand struct {
	Destination int
	Rates       [Levels]float64
}

func (d Demand) total() (sum float64) {
	for _, r := range d.Rates {
		sum += r
	}
	return sum
}

// Reading is a limit that a relay has read in an answer of the destination.
type Reading struct {
	Destination int
	Limit       float64 // calls a second
	Age         time.Duration
}

// Claim is a relay's message to the owner of a shard. Claims are repeated as heartbeats.
type Claim struct {
	Shard int
	// Sequence grows with each claim of the relay, to whichever owner.
	Sequence uint64
	// LastGrant is the sequence of the newest grant of this owner that the relay has seen; 0 for none.
	LastGrant uint64
	// LoanDuration is how long the relay's shares of the shard's limits are lent; 0 if they are not.
	LoanDuration time.Duration
	Demands      []Demand
	Readings     []Reading
}

// Grant is an owner's message to a relay.
type Grant struct {
	Shard int
	// ClaimRequested asks a relay for a claim that has not been heard for a while.
	ClaimRequested bool
	// Sequence grows with each grant of the owner, from one of its processes to the next.
	Sequence uint64
	// LastClaim is the sequence of the newest claim of the relay that the owner has seen; 0 for none.
	LastClaim     uint64
	LeaseDuration time.Duration
	Shares        []Share
}

// Share is a relay's lease on a destination's limit.
type Share struct {
	Destination int
	Rate        float64 // calls a second that the relay may send
	Limit       float64 // calls a second that the destination takes
}

// Message is a claim or a grant to another relay.
type Message struct {
	To    string
	Claim *Claim
	Grant *Grant
}

// Allocation is the rate at which this relay may send to a destination, and for how long from now on.
type Allocation struct {
	Destination int
	Rate        float64 // calls a second
	Duration    time.Duration
}
