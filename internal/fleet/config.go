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
	// Bind is the address that this relay listens on, with UDP and TCP.
	Bind netip.AddrPort
	// Advertise is the address at which other members reach this relay. The zero value means Bind.
	Advertise netip.AddrPort
	// Join lists addresses at which other members may be found.
	Join []netip.AddrPort
	// KeyFile is the path of the file that holds the encryption keys; see ReadKeys.
	KeyFile string
	// StateDir is the directory of the files that outlive the process.
	StateDir string
	// Seed seeds the random choices of this relay.
	Seed uint64
	// Quorum is how many relays have to agree where the announcement of a single relay is not enough; see package verdicts.
	Quorum int
	// ExchangeInterval is the mean time between two anti-entropy exchanges with a random member.
	ExchangeInterval time.Duration
	// BytesPerSecond bounds the bandwidth of the packets that this relay sends to its fleet.
	BytesPerSecond float64
	// DivideLimits enables the division of the destinations' rate limits among the relays.
	DivideLimits bool
	// Relays is how many relays divide the limits, dead ones included.
	Relays int
	// Configuration configures the replication of the operators' configuration; nil disables replication.
	Configuration *ConfigurationConfig
}

// Relay receives the decisions that follow from what other members have announced. Its methods must not block.
type Relay interface {
	// ApplyRestraints receives holds, outages and their ends.
	ApplyRestraints([]traffic.Restraint)
	// SetAllowances receives the rates at which this relay may send.
	SetAllowances([]traffic.Allowance)
	// SetExclusions receives the complete list of pool members that get no new calls.
	SetExclusions([]traffic.Exclusion)
}
