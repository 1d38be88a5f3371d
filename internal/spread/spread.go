// Package spread decides how statements travel among the relays of a fleet: to whom a statement goes at once, who forwards
// it, with whom stores are compared (anti-entropy), how late a packet is, and what is not sent where bandwidth is short. It
// makes no calls, reads no clock and starts no goroutine; the program and the laboratory's emulator run the same code.
// docs/fleet-verdicts.md states its bound.
package spread

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatemux/internal/verdicts"
)

// Config configures how a relay spreads statements.
type Config struct {
	Self     string
	Exchange time.Duration // mean time between two comparisons of stores with a random member
	Bytes    float64       // a second that may be sent, as Size counts them
	Size     func(*Packet) int
	Packet   int // bytes of one packet at most
	Seed     uint64
}

func (c *Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("spread: Self is empty")
	case c.Exchange < time.Millisecond:
		return errors.New("spread: Exchange is under a millisecond")
	case !(c.Bytes > 0) || c.Size == nil || c.Packet < 256:
		return errors.New("spread: Bytes, Size or Packet make no sense")
	}
	return nil
}

const (
	// maxDirectMembers is how many other members get announcements in one hop.
	maxDirectMembers = 8
	// burstSeconds is how many seconds of bandwidth may be used at once.
	burstSeconds = 2.0
	// exchangeJitterRatio spreads exchanges by this share to both sides.
	exchangeJitterRatio = 0.25
	// maxClockDriftRatio is how much one clock may run apart from another.
	maxClockDriftRatio = 200e-6
	// tickInterval is how often Tick wants to be called.
	tickInterval = 200 * time.Millisecond
	// suspensionThreshold is how long after the last call a relay counts as having been suspended, or starved.
	suspensionThreshold = 600 * time.Millisecond
	// resumePeriod is how long after a suspension a packet may have waited for its end.
	resumePeriod = time.Second
	// lateThreshold is the delay from which a packet is counted as late.
	lateThreshold = time.Second
	// replayWindowPackets is how many of a sender's newest packets are told from replayed ones.
	replayWindowPackets = 64
	// boundMissOdds is how much more likely than not the bound holds: a statement is missed once in so many times.
	boundMissOdds = 1000
)

// Counters count packets and statements since the start.
type Counters struct {
	Sent             int64 `json:"sent"` // packets
	SentBytes        int64 `json:"sent_bytes"`
	Received         int64 `json:"received"`  // packets taken in
	News             int64 `json:"news"`      // statements in them that were new
	Strangers        int64 `json:"strangers"` // packets dropped: from no member
	Replayed         int64 `json:"replayed"`  // packets dropped: seen before, or of an earlier incarnation
	UnknownOrigins   int64 `json:"gone"`      // statements dropped, for their origin is no member
	Short            int64 `json:"short"`     // packets not sent for want of bytes
	ExchangesStarted int64 `json:"asked"`     // comparisons begun
	Answered         int64 `json:"answered"`  // of them, those that were answered
	Late             int64 `json:"late"`      // packets that came more than a second late
	SentUnbudgeted   int64 `json:"posted"`    // claims, grants and messages of configuration sent
	Differed         int64 `json:"differed"`  // comparisons with one who knows of other members
}

// Spread decides for one relay. It is not safe for concurrent use.
type Spread struct {
	cfg             Config
	store           *verdicts.Store
	rng             *rand.Rand
	otherMembers    []string // live members but this one, sorted
	membersHash     uint64   // a sum of hashes of their names and this one's
	peers           map[string]*peer
	incarnation     uint64
	counters        Counters
	packetsSent     uint64                   // sent
	nextExchange    time.Duration            // when the next comparison is due
	askTimes        map[string]time.Duration // when a member was asked for a comparison
	lastAnsweredAsk time.Duration            // when the newest comparison that was answered had been asked for
	lastCall        time.Duration            // when Tick or Receive was last called
	lastSuspension  time.Duration            // how long the last suspension was
	resumedAt       time.Duration            // when it ended
	tokenBytes      float64                  // bytes that may be sent
	refilledAt      time.Duration            // when tokens were last added
	outgoing        []Send
}

// New returns a Spread over a store that its caller owns.
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
		tokenBytes:      burstSeconds * cfg.Bytes,
		refilledAt:      now,
		lastCall:        now,
		resumedAt:       now - resumePeriod,
	}
	s.nextExchange = now + s.drawExchangeDelay()
	return s, nil
}

func hashName(salt uint64, name string) uint64 {
	h := xxhash.NewWithSeed(salt)
	_, _ = h.WriteString(name) // it never fails
	return h.Sum64()
}

// drawExchangeDelay draws the time to the next comparison.
func (s *Spread) drawExchangeDelay() time.Duration {
	return time.Duration(float64(s.cfg.Exchange) * (1 + exchangeJitterRatio*(2*s.rng.Float64()-1)))
}

// Counters returns the counters.
func (s *Spread) Counters() Counters { return s.counters }

// SetIncarnation changes the incarnation under which packets are sent.
func (s *Spread) SetIncarnation(incarnation uint64) { s.incarnation = incarnation }

// SetMembers sets the live members, this relay included or not. What is kept of others is dropped.
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

// IsMember reports whether a name is that of a live member, this relay included.
func (s *Spread) IsMember(name string) bool {
	if name == s.cfg.Self {
		return true
	}
	_, ok := slices.BinarySearch(s.otherMembers, name)
	return ok
}

// LiveMembers returns the names of the live members but this relay.
func (s *Spread) LiveMembers() []string { return slices.Clone(s.otherMembers) }

// Staleness is the age of the newest comparison that was answered: what the fleet announced before, this relay knows, as
// far as its partner did. It grows while all links are cut; a relay that is alone in its fleet has nothing to hear.
func (s *Spread) Staleness(now time.Duration) time.Duration { return now - s.lastAnsweredAsk }

// Due is when Tick has something to do.
func (s *Spread) Due() time.Duration { return min(s.nextExchange, s.lastCall+tickInterval) }

// ExchangeSoon brings the next comparison forward: members have come, and may know what this relay does not. The time is
// random, for where all relays start at one moment, each sees all others come.
func (s *Spread) ExchangeSoon(now time.Duration) {
	delay := time.Duration(s.rng.Float64() * exchangeJitterRatio * float64(s.cfg.Exchange))
	s.nextExchange = min(s.nextExchange, now+delay)
}

// recordCall notes that this relay runs, and whether it has been suspended.
func (s *Spread) recordCall(now time.Duration) {
	if gap := now - s.lastCall; gap > suspensionThreshold {
		s.lastSuspension = gap
		s.resumedAt = now
	}
	s.lastCall = now
}
