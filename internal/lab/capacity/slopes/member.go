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
	// regionCount is the number of regions that the operators plan for.
	regionCount = 7
	// zoneCount is the number of zones that the operators plan for.
	zoneCount = 17
	// fleetLabel is the name of the fleet.
	fleetLabel = "production"
	// keyBytes is the length of the encryption key that internal/fleet requires.
	keyBytes = 32
)

// memberConfig returns memberlist's configuration as internal/fleet sets it.
func memberConfig() *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	fleet.TuneMemberlist(config)
	config.Logger = log.New(io.Discard, "", 0)
	return config
}

// relayName returns the name of a relay, which contains its region and zone.
func relayName(number int) string {
	return fmt.Sprintf("relay-r%d-z%02d-%04d", number%regionCount, number%zoneCount, number)
}

// relayAddress returns the address of a relay.
func relayAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), memberPort)
}

// Times of Fleet.maintainMembership in internal/fleet, and the number of seed members.
const (
	// minJoinPause is the pause after the first try to join. The pause doubles with each further try up to maxJoinPause.
	minJoinPause = 250 * time.Millisecond
	// maxJoinPause bounds the pause between two tries to join.
	maxJoinPause = 8 * time.Second
	// rejoinInterval is the mean time between two tries to reach an address where no live member is known.
	rejoinInterval = 10 * time.Second
	// seedMembers is the number of members that every member is configured to join. They are the first ones.
	seedMembers = 3
)

// member is the membership of one relay.
type member struct {
	number    int
	list      *memberlist.Memberlist
	transport *Transport
	delegate  *delegate
	stopOnce  sync.Once
}

// maintainMembership keeps m a member until ctx ends or m stops, as Fleet.maintainMembership does. It tries to join until m knows another
// member. From then on, it tries addresses of seeds and dead members where no live member is known, at intervals.
func (m *member) maintainMembership(ctx context.Context) {
	for pause := minJoinPause; ; {
		wait := rejoinInterval
		if m.list.NumMembers() < 2 {
			wait, pause = pause, min(2*pause, maxJoinPause)
		}
		if m.transport.wait(time.Duration((0.5+rand.Float64())*float64(wait)), nil) != nil || ctx.Err() != nil {
			return
		}
		if address := m.pickMissingAddress(); address != "" {
			_, _ = m.list.Join([]string{address}) // a failure is ignored: the address remains missing and can be picked again
		}
	}
}

// pickMissingAddress returns a random address of a seed or dead member where no live member is known, or "" if there is none.
func (m *member) pickMissingAddress() string {
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

// group holds what the members of one measurement share: network, encryption key and change watch.
type group struct {
	network *Network
	keyring *memberlist.Keyring
	changes *changeWatch
	tune    func(*memberlist.Config) // changes the configuration of a member; nil for no changes
}

func newGroup(network *Network) (*group, error) {
	key := make([]byte, keyBytes)
	keyring, err := memberlist.NewKeyring([][]byte{key}, key)
	if err != nil {
		return nil, err
	}
	return &group{network: network, keyring: keyring, changes: &changeWatch{}}, nil
}

// start creates a member that knows no other member.
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

// stop ends a member without announcing that it leaves.
func (m *member) stop() {
	m.stopOnce.Do(func() { _ = m.list.Shutdown() })
}

// delegate reproduces the part of internal/fleet's delegate that causes traffic. It has no state of its own to exchange. The answer to a
// probe carries a start number and the age of the member.
type delegate struct {
	changes *changeWatch
	started time.Time

	mu          sync.Mutex
	deadAddress map[string]string // by member name
}

// deadAddresses returns the addresses of the members that left or died.
func (d *delegate) deadAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.deadAddress))
}

// The next methods do nothing: members have no metadata, messages or state.

func (d *delegate) NodeMeta(int) []byte             { return nil }
func (d *delegate) NotifyMsg([]byte)                {}
func (d *delegate) GetBroadcasts(_, _ int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}
func (d *delegate) NotifyUpdate(*memberlist.Node)   {}

func (d *delegate) NotifyConflict(_, _ *memberlist.Node) {}

// NotifyJoin records that this member has learned of a live member.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	d.mu.Lock()
	delete(d.deadAddress, n.Name)
	d.mu.Unlock()
	d.changes.observe(memberJoined, n.Name)
}

// NotifyLeave records that this member has learned that a member left or died.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	d.deadAddress[n.Name] = n.Address()
	d.mu.Unlock()
	d.changes.observe(memberLeft, n.Name)
}

// NotifyPingComplete ignores the payload of a probe's answer.
func (d *delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) {}

// AckPayload returns the payload of the answer to a probe.
func (d *delegate) AckPayload() []byte {
	b := binary.AppendUvarint(make([]byte, 0, 2*binary.MaxVarintLen64), 1)
	return binary.AppendUvarint(b, uint64(time.Since(d.started)/time.Microsecond))
}

// membershipChange is the kind of change that a member learns of.
type membershipChange int

const (
	memberJoined membershipChange = iota
	memberLeft
)

// changeWatch records when members learn of an awaited change of certain members, the subjects of an experiment.
type changeWatch struct {
	mu           sync.Mutex
	awaited      membershipChange
	subjects     map[string]bool
	started      time.Time
	times        []time.Duration
	otherChanges int // changes of the awaited kind that concern no subject
}

// begin starts an experiment and discards the results of the previous one.
func (w *changeWatch) begin(kind membershipChange, subjects ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaited, w.subjects, w.started, w.times, w.otherChanges = kind, map[string]bool{}, time.Now(), nil, 0
	for _, s := range subjects {
		w.subjects[s] = true
	}
}

// observe records that a member has learned of a change of the named member.
func (w *changeWatch) observe(kind membershipChange, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.subjects == nil || kind != w.awaited:
	case w.subjects[name]:
		w.times = append(w.times, time.Since(w.started))
	default:
		w.otherChanges++
	}
}

// results returns how long after the start of the experiment each member learned of each subject, and the number of other changes of the
// same kind.
func (w *changeWatch) results() ([]time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Duration(nil), w.times...), w.otherChanges
}
