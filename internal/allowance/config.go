// Package allowance decides how the relays of a fleet divide the rate limits of outside destinations. Each relay's equal
// share of a limit is either used by the relay itself, or lent for a time to the owner of the destination's shard, which
// grants leases from the shares that it was lent.
//
// An Allocator is one relay's part in this: for each shard a Holder, which lends shares and uses leases, and an Owner for
// the shards that the relay owns. The package makes no calls, reads no clock and starts no goroutine: times are those that
// its caller hands in. docs/fleet-limits.md states the bound, and internal/lab/explore searches its interleavings.
package allowance

import (
	"errors"
	"time"
)

// Levels is the number of priority levels of messages; level 0 is the highest.
const Levels = 4

// never is a time before all others.
const never = time.Duration(-1 << 62)

// The durations of DefaultConfig.
const (
	// baseHeartbeatInterval and heartbeatPerRelay give the heartbeat interval: the larger the fleet, the more rarely a relay sends
	// a claim, so that the load of an owner grows by less.
	baseHeartbeatInterval     = 250 * time.Millisecond
	heartbeatIntervalPerRelay = 3 * time.Millisecond
	// leaseHeartbeats is the length of a lease in heartbeats: a lease outlives one lost message.
	leaseHeartbeats = 3
	// loanHeartbeats is the length of a loan in heartbeats, with a quarter more: a loan outlives a lease and one more lost
	// message. Longer ones would cost more where an owner dies.
	loanHeartbeats = 6
	// defaultClockDriftRatio is generous for crystal clocks, which drift by some 1e-5.
	defaultClockDriftRatio = 1e-3
	// maxClockDriftRatio bounds Config.MaxClockDrift.
	maxClockDriftRatio = 0.1
	// minLoanMarginHeartbeats is by how many heartbeats a loan has to outlast a lease.
	minLoanMarginHeartbeats = 3
)

// Config holds what all relays of a fleet have to agree on.
type Config struct {
	// Relays is the number of relays that divide the limits, whether they are alive or not.
	Relays int
	// LeaseDuration is how long a rate is granted for.
	LeaseDuration time.Duration
	// LoanDuration is how long a share is lent: at least LeaseDuration and three heartbeats.
	LoanDuration time.Duration
	// HeartbeatInterval is how often a claim is repeated.
	HeartbeatInterval time.Duration
	// Quorum is how many relays have to read a limit before the owner believes it.
	Quorum int
	// MaxClockDrift is how much one relay's clock may run apart from another's, as a share of the time that passes.
	MaxClockDrift float64
}

// DefaultConfig returns the configuration of a fleet of so many relays.
func DefaultConfig(relays, quorum int) Config {
	heartbeat := baseHeartbeatInterval + time.Duration(relays)*heartbeatIntervalPerRelay
	return Config{
		Relays:            relays,
		LeaseDuration:     leaseHeartbeats * heartbeat,
		LoanDuration:      loanHeartbeats*heartbeat + heartbeat/4,
		HeartbeatInterval: heartbeat,
		Quorum:            quorum,
		MaxClockDrift:     defaultClockDriftRatio,
	}
}

// Validate returns an error for a configuration under which the bound would not hold.
func (c *Config) Validate() error {
	switch {
	case c.Relays < 1:
		return errors.New("allowance: fewer than one relay")
	case c.Quorum < 1:
		return errors.New("allowance: a quorum of fewer than one relay")
	case c.LeaseDuration <= 0:
		return errors.New("allowance: a lease without a duration")
	case c.HeartbeatInterval <= 0:
		return errors.New("allowance: no heartbeat interval")
	case c.LoanDuration < c.LeaseDuration+minLoanMarginHeartbeats*c.HeartbeatInterval:
		return errors.New("allowance: a loan has to outlast a lease and three heartbeats")
	case !(c.MaxClockDrift >= 0 && c.MaxClockDrift < maxClockDriftRatio):
		return errors.New("allowance: a clock drift outside of 0 to 0.1")
	}
	return nil
}

// shortenForDrift is the least that a clock may show when another has counted a duration.
func (c *Config) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift))
}

// Bound is how many calls all relays together send to a destination in a window at most, whatever fails;
// docs/fleet-limits.md derives it. Calls that a stopped process was about to send come on top.
func Bound(limit float64, relays int, window time.Duration) float64 {
	const clockDriftRatio = 1e-3
	burstCalls := limit / 10
	return limit*window.Seconds()*(1+clockDriftRatio) + float64(relays) + burstCalls
}
