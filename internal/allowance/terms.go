// Package allowance decides how the relays of a fleet divide the limits of outside destinations. Each relay's even share of a limit is
// either its own, or lent for a time to the owner of the destination's shard, who grants leases from what it was lent. It
// makes no calls, reads no clock and keeps no goroutine: times are those that its caller hands in. docs/fleet-limits.md
// states the bound, and internal/lab/explore goes through its interleavings.
package allowance

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Levels is how many worths of messages are told apart; the first is the highest.
const Levels = 4

// Terms are what all relays of a fleet keep to.
type Terms struct {
	Relays int           // N: how many there are, whether they live or not
	Lease  time.Duration // T: how long a rate is granted for
	Loan   time.Duration // V: how long a share is lent, at least Lease and three times Every
	Every  time.Duration // how often what is wanted is told again
	Agree  int           // how many relays must have read a limit
	// Drift is how much one relay's clock may run apart from another's, as a share.
	Drift float64
}

// Usual are the terms of a fleet of so many relays.
func Usual(relays, agree int) Terms {
	// The larger the fleet, the more rarely a relay asks: what all ask of an owner grows by less.
	// A lease outlives one message that is lost, and a loan a lease and one more; longer ones would cost more where an owner dies.
	every := 250*time.Millisecond + time.Duration(relays)*3*time.Millisecond
	return Terms{Relays: relays, Lease: 3 * every, Loan: 6*every + every/4, Every: every, Agree: agree, Drift: 1e-3}
}

// Check says what makes no sense.
func (t *Terms) Check() error {
	if t.Relays < 1 || t.Agree < 1 || t.Lease <= 0 || t.Every <= 0 || t.Loan < t.Lease+3*t.Every || !(t.Drift >= 0 && t.Drift < 0.1) {
		return errors.New("allowance: terms that make no sense: a loan has to outlast a lease and three tellings")
	}
	return nil
}

// short is a span as a clock that may run slow against the other's has to count it, for what it was given.
func (t *Terms) short(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.Drift))
}

// Shards is into how many parts the destinations are dealt: each has an owner of its own.
const Shards = 256

// Shard is that of a destination.
func Shard(destination int) int {
	return int(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(destination))) % Shards)
}

// rank orders relays for a shard by rendezvous hashing: the highest is its owner.
func rank(shard int, relay string) uint64 {
	h := xxhash.NewWithSeed(uint64(shard))
	_, _ = h.WriteString(relay) // it never fails
	return h.Sum64()
}

// highest is the one of the relays that may be asked which ranks highest for a shard.
func highest(shard int, relays []string, may func(string) bool) (best string) {
	var most uint64
	for _, m := range relays {
		if r := rank(shard, m); may(m) && (best == "" || r > most) {
			best, most = m, r
		}
	}
	return best
}

// Want is what a relay wants of a destination, in calls a second, by worth.
type Want struct {
	Destination int
	Rates       [Levels]float64
}

func (w Want) total() (sum float64) {
	for _, r := range w.Rates {
		sum += r
	}
	return sum
}

// Reading is a limit that a relay has read in an answer.
type Reading struct {
	Destination int
	Limit       float64 // calls a second
	Age         time.Duration
}

// Claim is what a relay tells the owner of a shard.
type Claim struct {
	Shard    int
	Number   uint64        // of the relay's claims to all owners, growing
	Echo     uint64        // the newest grant of this owner that the relay has seen
	Lend     time.Duration // its shares of the shard's limits are lent for so long; 0 for not
	Wants    []Want
	Readings []Reading
}

// Grant is what an owner tells a relay.
type Grant struct {
	Shard  int
	Ask    bool   // a claim is wanted: the relay has not been heard for a while
	Number uint64 // of the owner's grants to all relays, growing from one process to the next
	Answer uint64 // the newest claim of the relay that the owner has seen; 0 for none
	For    time.Duration
	Shares []Share
}

// Share is a relay's part of a destination's limit.
type Share struct {
	Destination int
	Rate, Limit float64 // calls a second: the relay's, and the destination's
}
