// Package allowance divides the rate limits of outside destinations among the relays of a fleet. Each relay has an equal share
// of every limit. It either uses the share itself, or lends the share for a time to the owner of the destination's shard. The
// owner grants leases from the shares that are lent to it.
//
// An Allocator does this for one relay. It has a Holder for each shard, which lends shares and uses leases, and an Owner for
// each shard that the relay owns. The package makes no calls, reads no clock and starts no goroutine: the caller passes in all
// times. docs/fleet-limits.md states the bound, and internal/lab/explore searches the interleavings of the protocol.
package allowance

import (
	"errors"
	"time"
)

// PriorityLevels is the number of priority levels of messages. Level 0 is the highest.
const PriorityLevels = 4

// never is a time before all others.
const never = time.Duration(-1 << 62)

// The values of DefaultConfig and the limits of Config.Validate.
const (
	// baseHeartbeatInterval and heartbeatIntervalPerRelay determine the heartbeat interval. Relays of a larger fleet send claims
	// less often, so the load of an owner grows more slowly than the fleet.
	baseHeartbeatInterval     = 250 * time.Millisecond
	heartbeatIntervalPerRelay = 3 * time.Millisecond
	// leaseHeartbeats is the length of a lease in heartbeat intervals. It lets a lease outlast one lost message.
	leaseHeartbeats = 3
	// loanHeartbeats is the length of a loan in heartbeat intervals; DefaultConfig adds a quarter of an interval. It lets a loan
	// outlast a lease and one more lost message. Longer loans keep the shares unavailable for longer when an owner dies.
	loanHeartbeats = 6
	// defaultClockDriftRatio is far above the drift of crystal clocks, which is about 1e-5.
	defaultClockDriftRatio = 1e-3
	// maxClockDriftRatio bounds Config.MaxClockDrift.
	maxClockDriftRatio = 0.1
	// minLoanMarginHeartbeats is the number of heartbeat intervals by which a loan has to outlast a lease.
	minLoanMarginHeartbeats = 3
)

// Config is the configuration that all relays of a fleet have to share.
type Config struct {
	// Relays is the number of relays that divide the limits, alive or not.
	Relays int
	// LeaseDuration is the length of a lease, for which an owner grants a rate.
	LeaseDuration time.Duration
	// LoanDuration is the length of a loan of a share: at least LeaseDuration and three heartbeat intervals.
	LoanDuration time.Duration
	// HeartbeatInterval is the time between two claims for a shard.
	HeartbeatInterval time.Duration
	// Quorum is the number of relays that have to read a limit before the owner trusts it.
	Quorum int
	// MaxClockDrift is the maximum drift between two relays' clocks, as a share of elapsed time.
	MaxClockDrift float64
}

// DefaultConfig returns the default configuration for a number of relays and a quorum.
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

// Validate returns an error if the bound does not hold under the configuration.
func (c *Config) Validate() error {
	switch {
	case c.Relays < 1:
		return errors.New("allowance: number of relays (Relays) is below 1")
	case c.Quorum < 1:
		return errors.New("allowance: quorum (Quorum) is below 1")
	case c.LeaseDuration <= 0:
		return errors.New("allowance: LeaseDuration is not positive")
	case c.HeartbeatInterval <= 0:
		return errors.New("allowance: HeartbeatInterval is not positive")
	case c.LoanDuration < c.LeaseDuration+minLoanMarginHeartbeats*c.HeartbeatInterval:
		return errors.New("allowance: LoanDuration is shorter than LeaseDuration and three heartbeat intervals")
	case !(c.MaxClockDrift >= 0 && c.MaxClockDrift < maxClockDriftRatio):
		return errors.New("allowance: MaxClockDrift is not between 0 and 0.1")
	}
	return nil
}

// shortenForDrift returns the least time that one clock can show while another clock shows a duration.
func (c *Config) shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift))
}

// Bound returns the maximum number of calls that all relays together send to a destination within a window, under any failures.
// docs/fleet-limits.md derives the formula. Calls that a suspended process was about to send are not included.
func Bound(limit float64, relays int, window time.Duration) float64 {
	const clockDriftRatio = 1e-3
	burstCalls := limit / 10
	return limit*window.Seconds()*(1+clockDriftRatio) + float64(relays) + burstCalls
}
