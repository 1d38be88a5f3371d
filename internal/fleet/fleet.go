// Package fleet connects this relay to the other relays of its fleet. It runs memberlist for membership and encrypted
// packets, and drives the decisions of internal/verdicts (what other relays have announced), internal/spread (how
// announcements travel) and internal/allowance (how rate limits are divided).
//
// One goroutine owns these decisions. All input passes through one bounded inbox, and nothing in the relay's own work
// waits for it. A relay that hears nothing from its fleet decides as one that is alone.
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
	// packetPayload is the size of an announcement packet before memberlist adds wire.Sealing.
	packetPayload = 1200
	// driverStream and membershipStream separate the random sequences of the two goroutines.
	driverStream     = 0xf1ee7
	membershipStream = 0x701
)

// Fleet is this relay's membership of its fleet. New creates it, Run runs it; its other methods may be called from any
// goroutine.
type Fleet struct {
	cfg    Config
	relay  Relay
	origin time.Time // all durations that the decisions see count from here
	ring   *memberlist.Keyring
	drops  drops
	wake   chan struct{} // wakes the driver when the inbox has something urgent
	// unknownMember asks the membership goroutine to synchronise with a known member: a packet came from a sender that
	// is not a member here, or from one that knows other members.
	unknownMember chan struct{}
	incarnation   atomic.Uint64
	rebuilds      atomic.Int64 // of what depends on the list of members
	holdsUntil    atomic.Int64 // when the last hold ends, in Unix nanoseconds; read before every call
	shared        shared

	// Fields below belong to the driver goroutine.
	announcer   *verdicts.Announcer
	store       *verdicts.Store
	judge       *verdicts.Judge
	spread      *spread.Spread
	nodes       map[string]*memberlist.Node
	pool        map[string]traffic.Member // members of the relay's own pool, by host name
	drains      map[string]pendingAnnouncement
	bans        map[string]bool
	lastBars    []traffic.Exclusion // as last handed to the relay
	rng         *rand.Rand
	bansRenewed time.Duration
	lastSweep   time.Duration
	nextRebuild time.Duration // when the list of members may be taken over again
	// membersStale says that memberlist's list has changed since it was taken over.
	membersStale bool
	allocator    *allowance.Allocator // nil before the relay listens, or where limits are not divided
	recalled     map[int]float64      // limits that the previous process had learned, by destination
	mayHaveLent  bool                 // an earlier process may have lent this relay's shares

	configuration *configuration // nil where none is replicated
}

// shared is the state that the driver shares with callers of Fleet's methods.
type shared struct {
	sync.Mutex
	inbox      []event
	holds      map[traffic.Group]time.Time
	figures    Figures
	members    map[string]*MemberState
	list       *memberlist.Memberlist // nil before the relay listens
	transport  *transport             // nil before the relay listens
	statements []verdicts.Statement   // as last published, for operators
	limits     []allowance.State      // as last published, for operators
	readings   map[int]limitRead      // as last passed to the driver, by destination

	configuration ConfigurationState // as last published, for operators
}

// New reads the keys and counts this start. Run starts the goroutines.
func New(cfg Config, relay Relay) (*Fleet, error) {
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	ring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	incarnation, countErr := nextIncarnation(cfg.StateDir)
	if countErr != nil {
		slog.Warn("fleet: starts not counted; the others' memory of this name is asked instead", "err", countErr)
	}
	f := &Fleet{
		cfg:           cfg,
		relay:         relay,
		origin:        time.Now(),
		ring:          ring,
		wake:          make(chan struct{}, 1),
		unknownMember: make(chan struct{}, 1),
		announcer:     verdicts.NewAnnouncer(cfg.Self, incarnation),
		store:         verdicts.NewStore(),
		nodes:         map[string]*memberlist.Node{},
		pool:          map[string]traffic.Member{},
		drains:        map[string]pendingAnnouncement{},
		bans:          map[string]bool{},
		rng:           rand.New(rand.NewPCG(cfg.Seed, driverStream)),
		mayHaveLent:   countErr != nil || incarnation > firstIncarnation,
	}
	f.shared.holds = map[traffic.Group]time.Time{}
	f.shared.members = map[string]*MemberState{}
	f.shared.readings = map[int]limitRead{}
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

// spread is the configuration of this relay's announcements.
func (c *Config) spread() spread.Config {
	return spread.Config{
		Self:             c.Self,
		ExchangeInterval: c.ExchangeInterval,
		BytesPerSecond:   c.BytesPerSecond,
		PacketBytes:      wire.Size,
		MaxPacketBytes:   packetPayload + wire.Sealing,
		Seed:             c.Seed,
	}
}

// Recall hands over the limits that a previous process had learned, by destination. Call it before Run; the map must
// not be used afterwards.
func (f *Fleet) Recall(limits map[int]float64) { f.recalled = limits }

// Reload reads the key files again. An invalid file changes nothing.
func (f *Fleet) Reload() error {
	keys, err := ReadKeys(f.cfg.KeyFile)
	if err == nil {
		err = replaceKeys(f.ring, keys)
	}
	err = errors.Join(err, f.reloadTrustedKeys())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	slog.Info("fleet keys taken over", "keys", len(keys))
	return nil
}

// now is the time since the fleet was created.
func (f *Fleet) now() time.Duration { return time.Since(f.origin) }

// wallTime converts a duration since the fleet was created.
func (f *Fleet) wallTime(at time.Duration) time.Time { return f.origin.Add(at) }
