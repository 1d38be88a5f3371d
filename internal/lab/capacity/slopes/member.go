package slopes

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"slatemux/internal/fleet"
)

const (
	// regionCount and zones are those of the plan.
	regionCount, zoneCount = 7, 17
	// fleetLabel is the name of the fleet.
	fleetLabel = "production"
	// keyBytes is the length of the sealing key, as internal/fleet wants it.
	keyBytes = 32
)

// memberConfig is the configuration that internal/fleet gives memberlist.
func memberConfig() *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	fleet.TuneMemberlist(config)
	config.Logger = log.New(io.Discard, "", 0)
	return config
}

// relayName is the name of a relay with its region and zone.
func relayName(n int) string {
	return fmt.Sprintf("relay-r%d-z%02d-%04d", n%regionCount, n%zoneCount, n)
}

// relayAddress is where it is reached.
func relayAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), memberPort)
}

// The times of internal/fleet's part that keeps a relay a member .
const (
	// minJoinPause to joinMost is the pause between two tries to find others.
	minJoinPause, maxJoinPause = 250 * time.Millisecond, 8 * time.Second
	// rejoinInterval is the pause between two tries to reach somebody who is no member at present.
	rejoinInterval = 10 * time.Second
	// seedMembers is how many members all are told to join: the first ones.
	seedMembers = 3
)

// member is one relay's part in the membership.
type member struct {
	number    int
	list      *memberlist.Memberlist
	transport *Transport
	delegate  *delegate
	stopOnce  sync.Once
}

// stayJoined keeps a member one until ctx ends or it stops, as Fleet.belong does: it tries to join until it knows another, and then now and
// then one of the seeds or of the dead that it does not know to live.
func (m *member) stayJoined(ctx context.Context) {
	for pause := minJoinPause; ; {
		wait := rejoinInterval
		if m.list.NumMembers() < 2 {
			wait, pause = pause, min(2*pause, maxJoinPause)
		}
		if m.transport.wait(time.Duration((0.5+rand.Float64())*float64(wait)), nil) != nil || ctx.Err() != nil {
			return
		}
		if address := m.missingAddress(); address != "" {
			_, _ = m.list.Join([]string{address}) // it is tried again
		}
	}
}

// missingAddress picks an address at which no live member is known.
func (m *member) missingAddress() string {
	live := map[string]bool{m.list.LocalNode().Address(): true}
	for _, n := range m.list.Members() {
		live[n.Address()] = true
	}
	var missing []string
	for seed := range seedMembers {
		if address := relayAddress(seed).String(); !live[address] {
			missing = append(missing, address)
		}
	}
	for _, address := range m.delegate.deadAddresses() {
		if !live[address] {
			missing = append(missing, address)
		}
	}
	if len(missing) == 0 {
		return ""
	}
	return missing[rand.IntN(len(missing))]
}

// group is all members of one measurement.
type group struct {
	network *Network
	keyring *memberlist.Keyring
	changes *changeWatch
	tune    func(*memberlist.Config) // changes of the configuration; nil for none
}

func newGroup(network *Network) (*group, error) {
	key := make([]byte, keyBytes)
	ring, err := memberlist.NewKeyring([][]byte{key}, key)
	if err != nil {
		return nil, err
	}
	return &group{network: network, keyring: ring, changes: &changeWatch{}}, nil
}

// start creates a member that knows nobody yet.
func (g *group) start(number int) (*member, error) {
	config := memberConfig()
	address := relayAddress(number)
	m := &member{number: number, transport: g.network.NewTransport(address)}
	config.Name, config.Label, config.Keyring, config.Transport = relayName(number), fleetLabel, g.keyring, m.transport
	config.BindAddr, config.BindPort = address.Addr().String(), int(address.Port())
	config.AdvertiseAddr, config.AdvertisePort = config.BindAddr, config.BindPort
	events := &delegate{changes: g.changes, started: time.Now(), deadAddress: map[string]string{}}
	m.delegate = events
	config.Delegate, config.Events, config.Ping, config.Conflict = events, events, events, events
	if g.tune != nil {
		g.tune(config)
	}
	list, err := memberlist.Create(config)
	if err != nil {
		_ = m.transport.Shutdown()
		return nil, fmt.Errorf("slopes: member %d: %w", number, err)
	}
	m.list = list
	return m, nil
}

// stop ends a member without a farewell.
func (m *member) stop() {
	m.stopOnce.Do(func() { _ = m.list.Shutdown() })
}

// delegate is the part of internal/fleet's delegate that costs bytes: it has no state of its own to exchange, and tells its start and
// its age with the answer to a probe.
type delegate struct {
	changes *changeWatch
	started time.Time

	mu          sync.Mutex
	deadAddress map[string]string // addresses by name
}

func (d *delegate) deadAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.deadAddress))
}

func (d *delegate) NodeMeta(int) []byte             { return nil }
func (d *delegate) NotifyMsg([]byte)                {}
func (d *delegate) GetBroadcasts(_, _ int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}
func (d *delegate) NotifyUpdate(*memberlist.Node)   {}

func (d *delegate) NotifyConflict(_, _ *memberlist.Node) {}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	d.mu.Lock()
	delete(d.deadAddress, n.Name)
	d.mu.Unlock()
	d.changes.observe(memberJoined, n.Name)
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	d.deadAddress[n.Name] = n.Address()
	d.mu.Unlock()
	d.changes.observe(memberLeft, n.Name)
}

func (d *delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) {}

func (d *delegate) AckPayload() []byte {
	b := binary.AppendUvarint(make([]byte, 0, 2*binary.MaxVarintLen64), 1)
	return binary.AppendUvarint(b, uint64(time.Since(d.started)/time.Microsecond))
}

// membershipChange is what a member learns of another.
type membershipChange int

const (
	memberJoined membershipChange = iota
	memberLeft
)

// changeWatch notes when members learn of the subjects of an experiment.
type changeWatch struct {
	mu           sync.Mutex
	awaited      membershipChange
	subjects     map[string]bool
	begun        time.Time
	times        []time.Duration
	otherChanges int // changes of the same kind that concern no subject
}

// begin starts an experiment.
func (w *changeWatch) begin(kind membershipChange, subjects ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaited, w.subjects, w.begun, w.times, w.otherChanges = kind, map[string]bool{}, time.Now(), nil, 0
	for _, s := range subjects {
		w.subjects[s] = true
	}
}

func (w *changeWatch) observe(kind membershipChange, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.subjects == nil || kind != w.awaited:
	case w.subjects[name]:
		w.times = append(w.times, time.Since(w.begun))
	default:
		w.otherChanges++
	}
}

// results returns the times so far, and how many other changes of the kind there were.
func (w *changeWatch) results() ([]time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Duration(nil), w.times...), w.otherChanges
}
