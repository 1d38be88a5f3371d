// Package fleet connects this relay to the other relays of its fleet. It runs memberlist for membership and encrypted
// packets, and drives the decisions of internal/verdicts (what other relays have announced), internal/spread (how
// announcements are sent to all members) and internal/allowance (how rate limits are divided).
//
// One goroutine, the driver, owns the state behind these decisions. It receives all input through one bounded inbox. The
// relay's own work never waits for the driver. A relay that receives nothing from its fleet works as a single relay does.
package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"slatemux/internal/allowance"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
	"slatemux/internal/traffic"
	"slatemux/internal/verdicts"
)

const (
	// maxPayloadBytes bounds the payload of an announcement packet, to which memberlist adds wire.OverheadBytes.
	maxPayloadBytes = 1200
	// driverRandomStream selects the random sequence of the driver goroutine.
	driverRandomStream = 0xf1ee7
	// membershipRandomStream selects the random sequence of the membership goroutine.
	membershipRandomStream = 0x701
)

// Fleet is this relay's membership of its fleet. New creates a Fleet and Run runs it. Any goroutine may call the other
// methods, except RestoreLimits.
type Fleet struct {
	cfg       Config
	relay     Relay
	createdAt time.Time // start of the clock that the decisions use
	keyring   *memberlist.Keyring
	drops     dropCounters
	wake      chan struct{} // wakes the driver when the inbox has something urgent
	// syncRequests asks the membership goroutine to compare member lists with a known member. The driver sends a request
	// after a packet from a sender that is not a member here, or from a member whose list of members differs.
	syncRequests     chan struct{}
	incarnation      atomic.Uint64
	rebuilds         atomic.Int64 // rebuilds of the state that depends on the list of members; see rebuildMembers
	lastHoldEndNanos atomic.Int64 // when the last hold ends, in Unix nanoseconds; read before every call
	shared           sharedState

	// The driver goroutine owns the fields below.
	announcer      *verdicts.Announcer
	store          *verdicts.Store
	judge          *verdicts.Judge
	spread         *spread.Spread
	nodes          map[string]*memberlist.Node
	pool           map[string]traffic.Member // members of the relay's own pool, by host name
	pendingDrains  map[string]pendingDrain
	bans           map[string]bool
	lastExclusions []traffic.Exclusion // as last passed to the relay
	rng            *rand.Rand
	bansRenewedAt  time.Duration
	lastSweepAt    time.Duration
	nextRebuildAt  time.Duration // earliest time of the next rebuild of the members
	// membersStale is set when memberlist's list of members has changed since the last rebuild.
	membersStale   bool
	allocator      *allowance.Allocator // nil before the relay listens, or if limits are not divided
	restoredLimits map[int]float64      // limits that the previous process had learned, by destination
	mayHaveLent    bool                 // an earlier process of this relay may have lent its shares of the limits

	configuration *configuration // nil if this relay replicates no configuration
}

// sharedState is the state that the driver shares with callers of Fleet's methods.
type sharedState struct {
	sync.Mutex
	inbox        []event
	holdEnds     map[traffic.Group]time.Time
	metrics      Metrics
	members      map[string]*MemberState
	memberList   *memberlist.Memberlist // nil before the relay listens
	transport    *transport             // nil before the relay listens
	statements   []verdicts.Statement   // as last published for operators
	limits       []allowance.State      // as last published for operators
	lastReadings map[int]limitReading   // as last passed to the driver, by destination

	configuration ConfigurationState // as last published for operators
}

// New reads the keys and saves a new incarnation number. Run starts the goroutines.
func New(cfg Config, relay Relay) (*Fleet, error) {
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	keyring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	incarnation, incarnationErr := nextIncarnation(cfg.StateDir)
	if incarnationErr != nil {
		slog.Warn("fleet: incarnation not read or saved; other members report the newest one of this name", "err", incarnationErr)
	}
	f := &Fleet{
		cfg:           cfg,
		relay:         relay,
		createdAt:     time.Now(),
		keyring:       keyring,
		wake:          make(chan struct{}, 1),
		syncRequests:  make(chan struct{}, 1),
		announcer:     verdicts.NewAnnouncer(cfg.Self, incarnation),
		store:         verdicts.NewStore(),
		nodes:         map[string]*memberlist.Node{},
		pool:          map[string]traffic.Member{},
		pendingDrains: map[string]pendingDrain{},
		bans:          map[string]bool{},
		rng:           rand.New(rand.NewPCG(cfg.Seed, driverRandomStream)),
		mayHaveLent:   incarnationErr != nil || incarnation > firstIncarnation,
	}
	f.shared.holdEnds = map[traffic.Group]time.Time{}
	f.shared.members = map[string]*MemberState{}
	f.shared.lastReadings = map[int]limitReading{}
	f.incarnation.Store(incarnation)
	f.judge = verdicts.NewJudge(cfg.Self, cfg.Quorum, f.store)
	f.spread, err = spread.New(cfg.spread(), 0, f.store, incarnation)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f.configuration, err = newConfiguration(&cfg)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return f, nil
}

// spread returns the configuration of internal/spread.
func (c *Config) spread() spread.Config {
	return spread.Config{
		Self:             c.Self,
		ExchangeInterval: c.ExchangeInterval,
		BytesPerSecond:   c.BytesPerSecond,
		PacketBytes:      wire.Size,
		MaxPacketBytes:   maxPayloadBytes + wire.OverheadBytes,
		Seed:             c.Seed,
	}
}

// RestoreLimits sets the limits that a previous process had learned, by destination. Call it before Run. The caller must not use
// the map afterwards.
func (f *Fleet) RestoreLimits(limits map[int]float64) { f.restoredLimits = limits }

// Reload reads the key files again. The keys of an invalid file are ignored, and the previous ones stay in use.
func (f *Fleet) Reload() error {
	keys, err := ReadKeys(f.cfg.KeyFile)
	if err == nil {
		err = replaceKeys(f.keyring, keys)
	}
	err = errors.Join(err, f.reloadTrustedKeys())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	slog.Info("fleet keys taken over", "keys", len(keys))
	return nil
}

// now returns the time since the fleet was created.
func (f *Fleet) now() time.Duration { return time.Since(f.createdAt) }

// wallTime converts a duration since the fleet was created into a time.
func (f *Fleet) wallTime(at time.Duration) time.Time { return f.createdAt.Add(at) }
