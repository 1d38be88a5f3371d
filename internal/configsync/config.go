package configsync

import (
	"errors"
	"math"
	"time"
)

// The default parameters.
const (
	// defaultExchangeInterval keeps the cost of exchanges at a tenth of a relay's bytes: each exchange is a request of about
	// 150 bytes and rarely has an answer. A relay that the tree missed is repaired within two or three seconds.
	defaultExchangeInterval = time.Second
	// defaultAckTimeout exceeds 300 ms, the round-trip time between regions including the scheduling delay of a busy relay. All
	// attempts end within 1.2 s.
	defaultAckTimeout = 400 * time.Millisecond
	// defaultAttempts reduces the probability of losing a part to 1 in a million at a packet loss of 1 %.
	defaultAttempts = 3
	// defaultFanOut reaches 4,000 relays in 6 hops. The holder of a scope sends four packets at once.
	defaultFanOut = 4
	// defaultBytesPerSecond is the budget that the operators allow.
	defaultBytesPerSecond = 2500
	// defaultRepairBytesPerSecond allows one to two changes a second. This covers the few changes that a fleet misses, and 580
	// changes within ten minutes.
	defaultRepairBytesPerSecond = 300
	// defaultMaxPacketBytes is below the minimum MTU of IPv6, 1,280 bytes. The byte budget of one second holds two such
	// packets.
	defaultMaxPacketBytes = 1200
)

const (
	// burstSeconds is the burst capacity in seconds of BytesPerSecond. It allows a push of a full packet to two members at
	// once. A larger value delivers bursts of changes sooner and raises the peak rate: a relay sends at most (1 + burstSeconds)
	// times BytesPerSecond in any second.
	burstSeconds = 1
	// ackReserveShare is the share of the burst capacity that is reserved for acknowledgements, because a lost acknowledgement
	// costs another push.
	ackReserveShare = 1.0 / 16
	// minRepairBurstShare is the share of the burst capacity that must be available before deltas are sent. Pushes have
	// priority.
	minRepairBurstShare = 0.5
	// repairBurstPackets is the number of delta packets that may be sent at once, for a relay that returns after a restart.
	repairBurstPackets = 2
	// exchangeJitterShare is the maximum deviation from the exchange interval in either direction, as a share of the interval.
	exchangeJitterShare = 0.25
	// batchInterval is how long changes are collected into one push.
	batchInterval = 100 * time.Millisecond
	// congestedBatchInterval replaces batchInterval while earlier pushes wait for bytes.
	congestedBatchInterval = time.Second
	// maxPostponedPushes limits the pushes that wait for bytes.
	maxPostponedPushes = 64
	// minPacketLimitBytes is large enough for a version vector of a few sources or a change of medium size.
	minPacketLimitBytes = 256
)

// Config holds the parameters of one relay's replica.
type Config struct {
	// Self is the relay's name, unique in the fleet.
	Self string
	// ExchangeInterval is the mean interval between two anti-entropy exchanges.
	ExchangeInterval time.Duration
	// AckTimeout is how long a push waits for its acknowledgement before another member of its scope is tried.
	AckTimeout time.Duration
	// MaxAttempts is the maximum number of members of one scope that are tried.
	MaxAttempts int
	// FanOut is the number of parts into which a relay divides its scope.
	FanOut int
	// BytesPerSecond limits everything that this relay sends, as measured by MessageBytes.
	BytesPerSecond float64
	// RepairBytesPerSecond limits the share of BytesPerSecond that deltas may use. It prevents a traffic storm when two parts
	// of a fleet reunite.
	RepairBytesPerSecond float64
	// MaxPacketBytes is the maximum size of a packet.
	MaxPacketBytes int
	// MessageBytes returns the bytes that a message takes on the network, including all headers.
	MessageBytes func(*Message) int
	// Seed initializes the random number generator.
	Seed uint64
}

// Defaults returns the parameters that the relay uses unless its settings override them. Self, MessageBytes and Seed are unset.
func Defaults() Config {
	return Config{
		ExchangeInterval:     defaultExchangeInterval,
		AckTimeout:           defaultAckTimeout,
		MaxAttempts:          defaultAttempts,
		FanOut:               defaultFanOut,
		BytesPerSecond:       defaultBytesPerSecond,
		RepairBytesPerSecond: defaultRepairBytesPerSecond,
		MaxPacketBytes:       defaultMaxPacketBytes,
	}
}

func (c *Config) validate() error {
	switch {
	case c.Self == "":
		return errors.New("configsync: Self is empty")
	case c.ExchangeInterval < time.Millisecond || c.AckTimeout < time.Millisecond:
		return errors.New("configsync: ExchangeInterval or AckTimeout is under a millisecond")
	case c.MaxAttempts < 1 || c.FanOut < 2:
		return errors.New("configsync: MaxAttempts is under 1 or FanOut under 2")
	case c.MessageBytes == nil || c.MaxPacketBytes < minPacketLimitBytes:
		return errors.New("configsync: MessageBytes is unset or MaxPacketBytes is too small")
	case !(c.BytesPerSecond*burstSeconds >= 2*float64(c.MaxPacketBytes)):
		return errors.New("configsync: BytesPerSecond is too small for MaxPacketBytes")
	case !(c.RepairBytesPerSecond > 0):
		return errors.New("configsync: RepairBytesPerSecond is not positive")
	}
	return nil
}

// boundMissProbability is the probability that a change takes longer than its bound.
const boundMissProbability = 1.0 / 1000

// PropagationBound returns the time within which all relays that stay up hold a change. The probability of exceeding the bound is one in
// 1,000. members is the size of the fleet, delay is the one-way delay including a relay's own scheduling delay, and loss is the
// independent loss probability of each packet. The bound holds as long as the byte budgets are not used up. If every packet is
// lost, no bound exists.
//
//	PropagationBound = batchInterval + depth*delay + retries*AckTimeout + exchanges*(1+jitter)*ExchangeInterval + 3*delay
//
// depth is the number of hops of the tree. A holder of n other members hands each of FanOut parts to one of the part's members,
// which has ceil(n/FanOut)-1 others left. Half of the miss probability goes to each of two events:
//
// First, a path needs more retries than the bound includes. Each attempt of a hop is lost with probability p and then needs one
// retry. A path of depth hops with k retries follows one of C(depth+k-1, k) patterns. The probability of k or more retries is
// therefore about C(depth+k-1, k)*p^k on one path. With as many paths as members, retries is the largest k for which
// members*C(depth+k-1, k)*p^k exceeds half of the miss probability. The tree allows at most depth*(MaxAttempts-1) retries.
//
// Second, a relay that the tree missed is not repaired within the number of exchanges. The tree misses a relay with probability
// m = 1-(1-p^MaxAttempts)^depth, because all attempts of one hop on its path are lost. An exchange that the relay begins fails with
// probability r = 1-(1-m)*(1-p)^2, because the tree missed its peer as well or one of the two packets was lost. exchanges is the
// smallest n of at least 1 with members*m*r^n <= 1/2000. Exchanges that other relays begin with the missed relay are not
// counted. The last 3*delay covers the packets of the successful exchange. The bound does not include a repair that is postponed
// because the answer was cut to the size of a packet.
func (c Config) PropagationBound(members int, delay time.Duration, loss float64) time.Duration {
	if members < 2 {
		return 0
	}
	depth := treeDepth(members, c.FanOut)
	bound := batchInterval + time.Duration(depth)*delay
	switch {
	case loss <= 0:
		return bound
	case loss >= 1:
		return math.MaxInt64
	}
	retries := c.maxPathRetries(members, depth, loss)
	exchanges := c.maxRepairExchanges(members, depth, loss)
	bound += time.Duration(retries) * c.AckTimeout
	bound += time.Duration(exchanges * (1 + exchangeJitterShare) * float64(c.ExchangeInterval))
	return bound + 3*delay
}

// treeDepth returns the number of hops that a push takes to reach the last of the members.
func treeDepth(members, fanOut int) int {
	depth := 0
	for others := members - 1; others > 0; depth++ {
		others = (others+fanOut-1)/fanOut - 1
	}
	return depth
}

// maxPathRetries returns the maximum number of retries on any path of the tree. The probability of exceeding it is half of
// boundMissProbability.
func (c Config) maxPathRetries(members, depth int, loss float64) int {
	maxRetries := depth * (c.MaxAttempts - 1)
	probability := float64(members)
	for k := 1; k <= maxRetries; k++ {
		probability *= loss * float64(depth+k-1) / float64(k)
		if probability <= boundMissProbability/2 {
			return k - 1
		}
	}
	return maxRetries
}

// maxRepairExchanges returns the number of exchanges that repair every relay that the tree missed. The probability of exceeding
// it is half of boundMissProbability.
func (c Config) maxRepairExchanges(members, depth int, loss float64) float64 {
	missProbability := 1 - math.Pow(1-math.Pow(loss, float64(c.MaxAttempts)), float64(depth))
	failureProbability := 1 - (1-missProbability)*(1-loss)*(1-loss)
	unrepairedRatio := 2 / boundMissProbability * float64(members) * missProbability
	if unrepairedRatio <= 1 || failureProbability <= 0 {
		return 1
	}
	return max(1, math.Ceil(math.Log(unrepairedRatio)/-math.Log(failureProbability)))
}
