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
	// maxDirect is how many other members get announcements in one hop.
	maxDirect = 8
	// burstSeconds is how many seconds of bandwidth may be used at once.
	burstSeconds = 2.0
	// jitter spreads exchanges by this share to both sides.
	jitter = 0.25
	// clockDrift is how much one clock may run apart from another.
	clockDrift = 200e-6
	// tickInterval is how often Tick wants to be called.
	tickInterval = 200 * time.Millisecond
	// suspendedAfter is how long after the last call a relay counts as having been suspended, or starved.
	suspendedAfter = 600 * time.Millisecond
	// resumeTime is how long after a suspension a packet may have waited for its end.
	resumeTime = time.Second
	// lateAfter is the delay from which a packet is counted as late.
	lateAfter = time.Second
	// replayWindow is how many of a sender's newest packets are told from replayed ones.
	replayWindow = 64
	// boundCertainty is how much more likely than not the bound holds: a statement is missed once in so many times.
	boundCertainty = 1000
)

// Counters count packets and statements since the start.
type Counters struct {
	Sent      int64 `json:"sent"` // packets
	SentBytes int64 `json:"sent_bytes"`
	Received  int64 `json:"received"`  // packets taken in
	News      int64 `json:"news"`      // statements in them that were new
	Strangers int64 `json:"strangers"` // packets dropped: from no member
	Replayed  int64 `json:"replayed"`  // packets dropped: seen before, or of an earlier incarnation
	Gone      int64 `json:"gone"`      // statements dropped, for their origin is no member
	Short     int64 `json:"short"`     // packets not sent for want of bytes
	Asked     int64 `json:"asked"`     // comparisons begun
	Answered  int64 `json:"answered"`  // of them, those that were answered
	Late      int64 `json:"late"`      // packets that came more than a second late
	Posted    int64 `json:"posted"`    // claims, grants and messages of configuration sent
	Differed  int64 `json:"differed"`  // comparisons with one who knows of other members
}

// Spread decides for one relay. It is not safe for concurrent use.
type Spread struct {
	cfg          Config
	store        *verdicts.Store
	rng          *rand.Rand
	others       []string // live members but this one, sorted
	membersHash  uint64   // a sum of hashes of their names and this one's
	peers        map[string]*peer
	incarnation  uint64
	counters     Counters
	packets      uint64                   // sent
	nextExchange time.Duration            // when the next comparison is due
	asked        map[string]time.Duration // when a member was asked for a comparison
	lastAnswered time.Duration            // when the newest comparison that was answered had been asked for
	lastCall     time.Duration            // when Tick or Receive was last called
	suspended    time.Duration            // how long the last suspension was
	resumedAt    time.Duration            // when it ended
	tokens       float64                  // bytes that may be sent
	filledAt     time.Duration            // when tokens were last added
	out          []Send
}

// New returns a Spread over a store that its caller owns.
func New(cfg Config, now time.Duration, store *verdicts.Store, incarnation uint64) (*Spread, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Spread{
		cfg:          cfg,
		store:        store,
		rng:          rand.New(rand.NewPCG(cfg.Seed, hash(0, cfg.Self))),
		peers:        map[string]*peer{},
		incarnation:  incarnation,
		asked:        map[string]time.Duration{},
		lastAnswered: now,
		tokens:       burstSeconds * cfg.Bytes,
		filledAt:     now,
		lastCall:     now,
		resumedAt:    now - resumeTime,
	}
	s.nextExchange = now + s.exchangePause()
	return s, nil
}

func hash(salt uint64, name string) uint64 {
	h := xxhash.NewWithSeed(salt)
	_, _ = h.WriteString(name) // it never fails
	return h.Sum64()
}

// exchangePause draws the time to the next comparison.
func (s *Spread) exchangePause() time.Duration {
	return time.Duration(float64(s.cfg.Exchange) * (1 + jitter*(2*s.rng.Float64()-1)))
}

// Counters returns the counters.
func (s *Spread) Counters() Counters { return s.counters }

// SetIncarnation changes the incarnation under which packets are sent.
func (s *Spread) SetIncarnation(incarnation uint64) { s.incarnation = incarnation }

// SetMembers sets the live members, this relay included or not. What is kept of others is dropped.
func (s *Spread) SetMembers(live []string) {
	s.others = s.others[:0]
	s.membersHash = hash(0, s.cfg.Self)
	isLive := map[string]bool{}
	for _, m := range live {
		if m == s.cfg.Self || isLive[m] {
			continue
		}
		isLive[m] = true
		s.others = append(s.others, m)
		s.membersHash += hash(0, m)
	}
	slices.Sort(s.others)
	for m := range s.peers {
		if !isLive[m] {
			delete(s.peers, m)
			delete(s.asked, m)
		}
	}
}

// IsMember reports whether a name is that of a live member, this relay included.
func (s *Spread) IsMember(name string) bool {
	if name == s.cfg.Self {
		return true
	}
	_, ok := slices.BinarySearch(s.others, name)
	return ok
}

// LiveMembers returns the names of the live members but this relay.
func (s *Spread) LiveMembers() []string { return slices.Clone(s.others) }

// Staleness is the age of the newest comparison that was answered: what the fleet announced before, this relay knows, as
// far as its partner did. It grows while all links are cut; a relay that is alone in its fleet has nothing to hear.
func (s *Spread) Staleness(now time.Duration) time.Duration { return now - s.lastAnswered }

// Due is when Tick has something to do.
func (s *Spread) Due() time.Duration { return min(s.nextExchange, s.lastCall+tickInterval) }

// ExchangeSoon brings the next comparison forward: members have come, and may know what this relay does not. The time is
// random, for where all relays start at one moment, each sees all others come.
func (s *Spread) ExchangeSoon(now time.Duration) {
	delay := time.Duration(s.rng.Float64() * jitter * float64(s.cfg.Exchange))
	s.nextExchange = min(s.nextExchange, now+delay)
}

// recordCall notes that this relay runs, and whether it has been suspended.
func (s *Spread) recordCall(now time.Duration) {
	if gap := now - s.lastCall; gap > suspendedAfter {
		s.suspended = gap
		s.resumedAt = now
	}
	s.lastCall = now
}
