package fleet

import (
	"net/netip"
	"time"

	"slatemux/internal/traffic"
)

// Config configures one relay's membership of a fleet.
type Config struct {
	// Name is the name of the fleet. Packets of another fleet are dropped.
	Name string
	// Self is the name of this relay, unique within the fleet.
	Self string
	// Bind is the address that this relay listens on, over UDP and TCP.
	Bind netip.AddrPort
	// Advertise is the address at which others reach this relay. The zero value stands for Bind.
	Advertise netip.AddrPort
	// Join lists addresses at which other members may be found.
	Join []netip.AddrPort
	// KeyFile is the path of the file that holds the encryption keys; see ReadKeys.
	KeyFile string
	// StateDir is the directory that outlives the process.
	StateDir string
	// Seed seeds the random choices of this relay.
	Seed uint64
	// Quorum is how many relays have to agree before one follows them.
	Quorum int
	// ExchangeInterval is the mean time between two anti-entropy exchanges with a random member.
	ExchangeInterval time.Duration
	// BytesPerSecond bounds what this relay sends to its fleet.
	BytesPerSecond float64
	// DivideLimits turns the division of the destinations' rate limits on.
	DivideLimits bool
	// Relays is how many relays divide the limits, whether they are alive or not.
	Relays int
	// Configuration configures the replication of the operators' configuration; nil for none.
	Configuration *ConfigurationConfig
}

// Relay receives the decisions that follow from what other members have announced. Its methods must not block.
type Relay interface {
	// Restrain receives holds, outages and their ends.
	ApplyRestraints([]traffic.Restraint)
	// Allow receives the rates that this relay may send at.
	SetAllowances([]traffic.Allowance)
	// Bar receives the complete list of members that get no new calls.
	SetExclusions([]traffic.Exclusion)
}
