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
	// regions and zones are those of the plan.
	regions, zones = 7, 17
	// fleetLabel is the name of the fleet.
	fleetLabel = "production"
	// keyBytes is the length of the sealing key, as internal/fleet wants it.
	keyBytes = 32
)

// memberConfig is the configuration that internal/fleet gives memberlist.
func memberConfig() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	fleet.TuneMemberlist(c)
	c.Logger = log.New(io.Discard, "", 0)
	return c
}

// relayName is the name of a relay with its region and zone.
func relayName(n int) string { return fmt.Sprintf("relay-r%d-z%02d-%04d", n%regions, n%zones, n) }

// relayAddress is where it is reached.
func relayAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), memberPort)
}

// The times of internal/fleet's part that keeps a relay a member .
const (
	// joinFirst to joinMost is the pause between two tries to find others.
	joinFirst, joinMost = 250 * time.Millisecond, 8 * time.Second
	// rejoinEvery is the pause between two tries to reach somebody who is no member at present.
	rejoinEvery = 10 * time.Second
	// seeds is how many members all are told to join: the first ones.
	seeds = 3
)

// member is one relay's part in the membership.
type member struct {
	number    int
	list      *memberlist.Memberlist
	transport *Transport
	delegate  *delegate
	stopOnce  sync.Once
}

// belong keeps a member one until ctx ends or it stops, as Fleet.belong does: it tries to join until it knows another, and then now and
// then one of the seeds or of the dead that it does not know to live.
func (m *member) belong(ctx context.Context) {
	for pause := joinFirst; ; {
		wait := rejoinEvery
		if m.list.NumMembers() < 2 {
			wait, pause = pause, min(2*pause, joinMost)
		}
		if m.transport.wait(time.Duration((0.5+rand.Float64())*float64(wait)), nil) != nil || ctx.Err() != nil {
			return
		}
		if address := m.absent(); address != "" {
			_, _ = m.list.Join([]string{address}) // it is tried again
		}
	}
}

// absent picks an address at which no live member is known.
func (m *member) absent() string {
	here := map[string]bool{m.list.LocalNode().Address(): true}
	for _, n := range m.list.Members() {
		here[n.Address()] = true
	}
	var away []string
	for seed := range seeds {
		if address := relayAddress(seed).String(); !here[address] {
			away = append(away, address)
		}
	}
	for _, address := range m.delegate.deadAddresses() {
		if !here[address] {
			away = append(away, address)
		}
	}
	if len(away) == 0 {
		return ""
	}
	return away[rand.IntN(len(away))]
}

// group is all members of one measurement.
type group struct {
	network *Network
	ring    *memberlist.Keyring
	watch   *watch
	tune    func(*memberlist.Config) // changes of the configuration; nil for none
}

func newGroup(network *Network) (*group, error) {
	key := make([]byte, keyBytes)
	ring, err := memberlist.NewKeyring([][]byte{key}, key)
	if err != nil {
		return nil, err
	}
	return &group{network: network, ring: ring, watch: &watch{}}, nil
}

// start creates a member that knows nobody yet.
func (g *group) start(number int) (*member, error) {
	c := memberConfig()
	address := relayAddress(number)
	m := &member{number: number, transport: g.network.NewTransport(address)}
	c.Name, c.Label, c.Keyring, c.Transport = relayName(number), fleetLabel, g.ring, m.transport
	c.BindAddr, c.BindPort = address.Addr().String(), int(address.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	d := &delegate{watch: g.watch, started: time.Now(), dead: map[string]string{}}
	m.delegate = d
	c.Delegate, c.Events, c.Ping, c.Conflict = d, d, d, d
	if g.tune != nil {
		g.tune(c)
	}
	list, err := memberlist.Create(c)
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
	watch   *watch
	started time.Time

	mu   sync.Mutex
	dead map[string]string // addresses by name
}

func (d *delegate) deadAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.dead))
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
	delete(d.dead, n.Name)
	d.mu.Unlock()
	d.watch.seen(joined, n.Name)
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	d.dead[n.Name] = n.Address()
	d.mu.Unlock()
	d.watch.seen(left, n.Name)
}

func (d *delegate) NotifyPingComplete(*memberlist.Node, time.Duration, []byte) {}

func (d *delegate) AckPayload() []byte {
	b := binary.AppendUvarint(make([]byte, 0, 2*binary.MaxVarintLen64), 1)
	return binary.AppendUvarint(b, uint64(time.Since(d.started)/time.Microsecond))
}

// change is what a member learns of another.
type change int

const (
	joined change = iota
	left
)

// watch notes when members learn of the subjects of an experiment.
type watch struct {
	mu       sync.Mutex
	kind     change
	subjects map[string]bool
	begun    time.Time
	times    []time.Duration
	others   int // changes of the same kind that concern no subject
}

// begin starts an experiment.
func (w *watch) begin(kind change, subjects ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kind, w.subjects, w.begun, w.times, w.others = kind, map[string]bool{}, time.Now(), nil, 0
	for _, s := range subjects {
		w.subjects[s] = true
	}
}

func (w *watch) seen(kind change, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.subjects == nil || kind != w.kind:
	case w.subjects[name]:
		w.times = append(w.times, time.Since(w.begun))
	default:
		w.others++
	}
}

// result returns the times so far, and how many other changes of the kind there were.
func (w *watch) result() ([]time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Duration(nil), w.times...), w.others
}
