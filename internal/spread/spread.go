// Package spread disseminates packets among the relays of a fleet. It decides which relays get a statement first, which relays
// forward the statement, which stores are compared by anti-entropy exchanges, how late a packet is, and what is not sent when
// bandwidth is short. The package makes no calls, reads no clock and starts no goroutine, so the relay and the emulator run the
// same code. docs/fleet-verdicts.md states the bound on the dissemination time.
package spread

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatemux/internal/verdicts"
)

// Config configures the dissemination at one relay.
type Config struct {
	Self             string            // name of this relay
	ExchangeInterval time.Duration     // mean time between two anti-entropy exchanges with a random member
	BytesPerSecond   float64           // bandwidth in bytes a second, as counted by PacketBytes
	PacketBytes      func(*Packet) int // encoded size of a packet in bytes
	MaxPacketBytes   int               // maximum size of a packet in bytes
	Seed             uint64
}

// check returns an error for an unusable configuration.
func (c *Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("spread: configuration has no name for this relay (Self)")
	case c.ExchangeInterval < time.Millisecond:
		return errors.New("spread: ExchangeInterval is below 1 ms")
	case !(c.BytesPerSecond > 0) || c.PacketBytes == nil || c.MaxPacketBytes < 256:
		return errors.New("spread: BytesPerSecond is not positive, PacketBytes is missing or MaxPacketBytes is below 256")
	}
	return nil
}

const (
	// maxDirectMembers is the maximum number of other members that get announcements directly, in one hop.
	maxDirectMembers = 8
	// burstSeconds is the burst size of the bandwidth limit, in seconds of bandwidth.
	burstSeconds = 2.0
	// exchangeJitterRatio is the share by which the time between exchanges varies in both directions.
	exchangeJitterRatio = 0.25
	// maxClockDriftRatio is the maximum relative drift between two clocks.
	maxClockDriftRatio = 200e-6
	// tickInterval is the maximum time between two calls of Tick that NextTick asks for.
	tickInterval = 200 * time.Millisecond
	// suspensionThreshold is the time between two calls from which a relay counts as having been suspended or CPU-starved.
	suspensionThreshold = 600 * time.Millisecond
	// resumePeriod is how long after a suspension a received packet may have waited for the end of the suspension.
	resumePeriod = time.Second
	// lateThreshold is the lateness above which a packet is counted as late.
	lateThreshold = time.Second
	// replayWindowPackets is the number of a sender's newest packets in which replays are detected.
	replayWindowPackets = 64
	// boundMissOdds is the inverse of the probability that a statement misses Bound.
	boundMissOdds = 1000
)

// Counters count packets and statements since the start of the process.
type Counters struct {
	Sent                 int64 `json:"sent"` // packets sent
	SentBytes            int64 `json:"sent_bytes"`
	Received             int64 `json:"received"`  // packets accepted
	NewStatements        int64 `json:"news"`      // statements received that were new
	UnknownSenders       int64 `json:"strangers"` // packets dropped: sender is not a member
	Replayed             int64 `json:"replayed"`  // packets dropped: received before, or from an earlier incarnation
	UnknownOrigins       int64 `json:"gone"`      // statements dropped: origin is not a member
	Unsent               int64 `json:"short"`     // packets not sent: too large, or bandwidth exhausted
	ExchangesStarted     int64 `json:"asked"`     // exchanges started
	ExchangesAnswered    int64 `json:"answered"`  // exchanges started that were answered
	Late                 int64 `json:"late"`      // packets more than a second late
	SentUnbudgeted       int64 `json:"posted"`    // packets sent with a claim, a grant or configuration, exempt from the bandwidth limit
	MembershipMismatches int64 `json:"differed"`  // exchanges with a relay that has a different list of live members
}

// Spread disseminates statements for one relay. It is not safe for concurrent use.
type Spread struct {
	cfg             Config
	store           *verdicts.Store
	rng             *rand.Rand
	otherMembers    []string // live members except this relay, sorted
	membersHash     uint64   // sum of the hashes of all live members' names, this relay's included
	peers           map[string]*peer
	incarnation     uint64
	counters        Counters
	packetsSent     uint64                   // packets sent, as a running number
	nextExchange    time.Duration            // when the next exchange is due
	askTimes        map[string]time.Duration // when each member was asked for an exchange, until it answers
	lastAnsweredAsk time.Duration            // when the newest answered exchange was started
	lastCall        time.Duration            // when Tick or Receive was last called
	lastSuspension  time.Duration            // length of the last suspension
	resumedAt       time.Duration            // when the last suspension ended
	tokenBytes      float64                  // bytes that may be sent now
	refilledAt      time.Duration            // when tokenBytes was last increased
	outgoing        []OutgoingPacket
}

// New returns a Spread over a store that the caller owns.
func New(cfg Config, now time.Duration, store *verdicts.Store, incarnation uint64) (*Spread, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Spread{
		cfg:             cfg,
		store:           store,
		rng:             rand.New(rand.NewPCG(cfg.Seed, hashName(0, cfg.Self))),
		peers:           map[string]*peer{},
		incarnation:     incarnation,
		askTimes:        map[string]time.Duration{},
		lastAnsweredAsk: now,
		tokenBytes:      burstSeconds * cfg.BytesPerSecond,
		refilledAt:      now,
		lastCall:        now,
		resumedAt:       now - resumePeriod,
	}
	s.nextExchange = now + s.drawExchangeDelay()
	return s, nil
}

// hashName returns a salted hash of a member's name.
func hashName(salt uint64, name string) uint64 {
	h := xxhash.NewWithSeed(salt)
	_, _ = h.WriteString(name) // never returns an error
	return h.Sum64()
}

// drawExchangeDelay draws the random time to the next exchange.
func (s *Spread) drawExchangeDelay() time.Duration {
	return time.Duration(float64(s.cfg.ExchangeInterval) * (1 + exchangeJitterRatio*(2*s.rng.Float64()-1)))
}

// Counters returns the counters of the relay.
func (s *Spread) Counters() Counters { return s.counters }

// SetIncarnation sets the incarnation that outgoing packets carry.
func (s *Spread) SetIncarnation(incarnation uint64) { s.incarnation = incarnation }

// SetMembers sets the live members. The list may or may not include this relay. Records of members that are no longer live are
// dropped.
func (s *Spread) SetMembers(live []string) {
	s.otherMembers = s.otherMembers[:0]
	s.membersHash = hashName(0, s.cfg.Self)
	isLive := map[string]bool{}
	for _, m := range live {
		if m == s.cfg.Self || isLive[m] {
			continue
		}
		isLive[m] = true
		s.otherMembers = append(s.otherMembers, m)
		s.membersHash += hashName(0, m)
	}
	slices.Sort(s.otherMembers)
	for m := range s.peers {
		if !isLive[m] {
			delete(s.peers, m)
			delete(s.askTimes, m)
		}
	}
}

// IsMember reports whether a name is the name of a live member or of this relay.
func (s *Spread) IsMember(name string) bool {
	if name == s.cfg.Self {
		return true
	}
	_, ok := slices.BinarySearch(s.otherMembers, name)
	return ok
}

// LiveMembers returns the names of the live members except this relay.
func (s *Spread) LiveMembers() []string { return slices.Clone(s.otherMembers) }

// Staleness returns the age of the newest answered exchange. This relay knows the statements that were announced before that
// exchange, as far as the other relay knew them. Staleness grows while all links are down. It stays low at a relay that is alone
// in its fleet.
func (s *Spread) Staleness(now time.Duration) time.Duration { return now - s.lastAnsweredAsk }

// NextTick returns when Tick has to be called next.
func (s *Spread) NextTick() time.Duration { return min(s.nextExchange, s.lastCall+tickInterval) }

// ExchangeSoon moves the next exchange forward. Call it when members have joined, as they may know statements that this relay
// lacks. The time is random: when all relays start at the same moment, each of them sees all others join.
func (s *Spread) ExchangeSoon(now time.Duration) {
	delay := time.Duration(s.rng.Float64() * exchangeJitterRatio * float64(s.cfg.ExchangeInterval))
	s.nextExchange = min(s.nextExchange, now+delay)
}

// recordCall records a call of Tick or Receive, and detects a suspension of this relay since the last call.
func (s *Spread) recordCall(now time.Duration) {
	if gap := now - s.lastCall; gap > suspensionThreshold {
		s.lastSuspension = gap
		s.resumedAt = now
	}
	s.lastCall = now
}
