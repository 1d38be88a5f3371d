package configsync

import (
	"errors"
	"math"
	"time"
)

// The default parameters.
const (
	// defaultExchange makes the exchanges of a relay, a request of some 150 bytes each and rarely an answer, cost a tenth of
	// its bytes, and repairs a relay that the tree missed within two or three seconds.
	defaultExchange = time.Second
	// defaultAckTimeout is above the round trip between regions with the scheduling of a busy relay, 300 ms, and lets all
	// attempts end within 1.2 s.
	defaultAckTimeout = 400 * time.Millisecond
	// defaultAttempts makes the loss of a part at 1 % loss of packets a matter of 1 in a million.
	defaultAttempts = 3
	// defaultFanOut reaches 4,000 relays in 6 hops, and has a holder send four packets at once.
	defaultFanOut = 4
	// defaultBytesPerSecond is the budget that the operators allow.
	defaultBytesPerSecond = 2500
	// defaultRepairBytesPerSecond is one to two changes a second: the few that a fleet misses, and 580 within ten minutes.
	defaultRepairBytesPerSecond = 300
	// defaultPacketBytes fits the least MTU of IPv6, 1,280 bytes.
	defaultPacketBytes = 1275
)

const (
	// burstSeconds is how many seconds' worth of BytesPerSecond may go out at once: a push of a full packet to three members. More
	// makes bursts of changes arrive sooner, and the busiest second busier.
	burstSeconds = 2
	// acknowledgementReserve is the share of the burst that only acknowledgements may use, since a lost one costs a push.
	acknowledgementReserve = 1.0 / 16
	// repairShare is the share of the burst below which no deltas are sent: pushes come first.
	repairShare = 0.5
	// repairBurstPackets is how many packets of deltas may go out at once, for a relay that is back from a restart.
	repairBurstPackets = 2
	// exchangeJitter spreads exchanges by this share of their interval to both sides.
	exchangeJitter = 0.25
	// batchWait is how long changes are collected into one push.
	batchWait = 100 * time.Millisecond
	// maxBatchWait is how long they are while earlier pushes wait for bytes.
	maxBatchWait = time.Second
	// maxPostponed bounds the pushes that wait for bytes.
	maxPostponed = 64
	// minPacketBytes holds a version vector of a few sources, or a change of medium size.
	minPacketBytes = 256
)

// Config holds the parameters of one relay's replica.
type Config struct {
	// Self is the relay's name, unique in the fleet.
	Self string
	// Exchange is the mean interval between two anti-entropy exchanges.
	Exchange time.Duration
	// AckTimeout is how long a push waits for its acknowledgement before another member of its scope is tried.
	AckTimeout time.Duration
	// Attempts is how many members of one scope are tried at most.
	Attempts int
	// FanOut is into how many parts a relay divides its scope.
	FanOut int
	// BytesPerSecond bounds everything that this relay sends, as Size counts it.
	BytesPerSecond float64
	// RepairBytesPerSecond bounds the part of it that deltas may use, so that a reunion causes no storm.
	RepairBytesPerSecond float64
	// PacketBytes is the largest packet.
	PacketBytes int
	// Size returns the bytes that a message takes on the network, with all headers.
	Size func(*Message) int
	// Seed initialises the random numbers.
	Seed uint64
}

// Defaults returns the parameters that the relay uses unless its settings say otherwise; Self, Size and Seed are unset.
func Defaults() Config {
	return Config{
		Exchange:             defaultExchange,
		AckTimeout:           defaultAckTimeout,
		Attempts:             defaultAttempts,
		FanOut:               defaultFanOut,
		BytesPerSecond:       defaultBytesPerSecond,
		RepairBytesPerSecond: defaultRepairBytesPerSecond,
		PacketBytes:          defaultPacketBytes,
	}
}

func (c *Config) validate() error {
	switch {
	case c.Self == "":
		return errors.New("configsync: Self is empty")
	case c.Exchange < time.Millisecond || c.AckTimeout < time.Millisecond:
		return errors.New("configsync: Exchange or AckTimeout is under a millisecond")
	case c.Attempts < 1 || c.FanOut < 2:
		return errors.New("configsync: Attempts is under 1 or FanOut under 2")
	case c.Size == nil || c.PacketBytes < minPacketBytes:
		return errors.New("configsync: Size is unset or PacketBytes too small")
	case !(c.BytesPerSecond*burstSeconds >= 2*float64(c.PacketBytes)):
		return errors.New("configsync: BytesPerSecond is too small for PacketBytes")
	case !(c.RepairBytesPerSecond > 0):
		return errors.New("configsync: RepairBytesPerSecond is not positive")
	}
	return nil
}

// boundMiss is the chance that a bound may fail with.
const boundMiss = 1.0 / 1000

// Bound returns the time within which all relays that stay up hold a change, except with a chance of one in 1,000, for a fleet
// of so many members, a one-way delay that includes a relay's own scheduling, and an independent loss of each packet. It holds
// while the byte budgets are not used up; where nothing arrives there is none.
//
//	Bound = batchWait + depth*delay + retries*AckTimeout + exchanges*(1+jitter)*Exchange + 3*delay
//
// depth is the number of hops of the tree: a holder of n others hands each of FanOut parts to one of its members, which has
// ceil(n/FanOut)-1 others left. Half of the chance goes to each of two events:
//
// A path has more than so many retries. Each attempt of a hop needs one, with a chance of loss p. A path of depth hops with k
// retries is one of C(depth+k-1, k) patterns, so that the chance of k or more is about C(depth+k-1, k)*p^k, for members many
// paths. The last term that is too likely tells the retries; the tree allows depth*(Attempts-1) at most.
//
// A relay that the tree missed is not repaired in so many exchanges. It is missed where all attempts of one of its hops are
// lost, m = 1-(1-p^Attempts)^depth. An exchange that it begins fails with r = 1-(1-m)*(1-p)^2: its peer was missed as well, or one
// of the two packets was lost. So exchanges is the least n of at least 1 with members*m*r^n <= 1/2000. Those that other relays
// begin with it come on top and are not counted. The last 3*delay are the packets of that exchange, and the repair of one that
// the answer's cut to a packet has put off is not included.
func (c Config) Bound(members int, delay time.Duration, loss float64) time.Duration {
	if members < 2 {
		return 0
	}
	depth := treeDepth(members, c.FanOut)
	bound := batchWait + time.Duration(depth)*delay
	switch {
	case loss <= 0:
		return bound
	case loss >= 1:
		return math.MaxInt64
	}
	retries := c.boundRetries(members, depth, loss)
	exchanges := c.boundExchanges(members, depth, loss)
	bound += time.Duration(retries) * c.AckTimeout
	bound += time.Duration(exchanges * (1 + exchangeJitter) * float64(c.Exchange))
	return bound + 3*delay
}

// treeDepth returns how many hops a push takes to the last of the members.
func treeDepth(members, fanOut int) int {
	depth := 0
	for others := members - 1; others > 0; depth++ {
		others = (others+fanOut-1)/fanOut - 1
	}
	return depth
}

// boundRetries returns how many retries any path of the tree has at most, but for half of boundMiss.
func (c Config) boundRetries(members, depth int, loss float64) int {
	most := depth * (c.Attempts - 1)
	chance := float64(members)
	for k := 1; k <= most; k++ {
		chance *= loss * float64(depth+k-1) / float64(k)
		if chance <= boundMiss/2 {
			return k - 1
		}
	}
	return most
}

// boundExchanges returns how many exchanges repair every relay that the tree missed, but for half of boundMiss.
func (c Config) boundExchanges(members, depth int, loss float64) float64 {
	missed := 1 - math.Pow(1-math.Pow(loss, float64(c.Attempts)), float64(depth))
	failing := 1 - (1-missed)*(1-loss)*(1-loss)
	unrepaired := 2 / boundMiss * float64(members) * missed
	if unrepaired <= 1 || failing <= 0 {
		return 1
	}
	return max(1, math.Ceil(math.Log(unrepaired)/-math.Log(failing)))
}
