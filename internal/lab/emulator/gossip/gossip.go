// Package gossip simulates the gossip of a fleet in virtual time: relays with the production packages verdicts and spread, over modelled
// links. The package makes no decision for the relays. It delays and loses packets, partitions the network, and counts.
package gossip

import (
	"fmt"
	"math/rand/v2"
	"time"

	"slatemux/internal/fleet/wire"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// Links describes the links between relays. All links are alike.
type Links struct {
	Delay, Jitter time.Duration // one way; each packet has an additional delay between 0 and Jitter, uniformly distributed
	Loss          float64       // probability that a packet is lost, independent of other packets
}

// Config configures a fleet.
type Config struct {
	Relays           int
	Links            Links
	ExchangeInterval time.Duration // of the anti-entropy exchanges of a relay
	BytesPerSecond   float64       // that each relay may send
	Quorum           int           // number of relays that have to agree on an outage
}

// Node is the gossip of one relay.
type Node struct {
	Name      string
	Store     *verdicts.Store
	Spread    *spread.Spread
	Judge     *verdicts.Judge
	Announcer *verdicts.Announcer
	// OnReceive is called with the new statements that the relay receives and the restraints that follow from them; may be nil.
	OnReceive func(now time.Duration, newStatements []verdicts.Statement, restraints []verdicts.Restraint)
	// SentBytes and SentPackets count the traffic that the relay sends.
	SentBytes, SentPackets int64

	network     *Network
	index       int
	startedAt   emulator.Time // start of the current process
	suspended   bool
	heldPackets []spread.Packet // received while suspended
	generation  int             // number of the current process
}

// Network is the gossip of a whole fleet.
type Network struct {
	Sim   *emulator.Sim
	Nodes []*Node
	// Partitioned reports whether packets from one relay to another are lost now; nil for never.
	Partitioned func(from, to int) bool

	cfg         Config
	names       []string
	indexByName map[string]int
	rng         *rand.Rand
}

// eventPriority is the priority of arriving packets and ticks among simultaneous events.
const eventPriority = emulator.Priority(1)

// New starts a fleet whose relays know each other.
func New(sim *emulator.Sim, cfg Config) (*Network, error) {
	n := &Network{Sim: sim, cfg: cfg, indexByName: map[string]int{}, rng: sim.Stream("links")}
	for i := range cfg.Relays {
		name := fmt.Sprint("relay-", i)
		n.names = append(n.names, name)
		n.indexByName[name] = i
	}
	for i := range cfg.Relays {
		node := &Node{Name: n.names[i], network: n, index: i}
		n.Nodes = append(n.Nodes, node)
		if err := node.Start(1); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start starts a new process of the relay. The process knows the members of the fleet and no statements.
func (d *Node) Start(incarnation uint64) error {
	n := d.network
	d.startedAt, d.suspended, d.heldPackets = n.Sim.Now(), false, nil
	d.generation++
	d.Store = verdicts.NewStore()
	d.Judge = verdicts.NewJudge(d.Name, n.cfg.Quorum, d.Store)
	d.Announcer = verdicts.NewAnnouncer(d.Name, incarnation)
	var err error
	d.Spread, err = spread.New(spread.Config{Self: d.Name, ExchangeInterval: n.cfg.ExchangeInterval, BytesPerSecond: n.cfg.BytesPerSecond, PacketBytes: wire.Size, MaxPacketBytes: 1300,
		Seed: uint64(d.index) + uint64(d.generation)<<32}, 0, d.Store, incarnation)
	if err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	d.Spread.SetMembers(n.names)
	d.tick(d.generation)
	return nil
}

// Now returns the time since the start of the relay's process.
func (d *Node) Now() time.Duration { return (d.network.Sim.Now() - d.startedAt).Duration() }

// tick does the periodic work of the relay and schedules the next tick. Ticks of earlier processes end here.
func (d *Node) tick(generation int) {
	if generation != d.generation {
		return
	}
	if !d.suspended {
		expired := d.Store.Sweep(d.Now())
		d.notifyReceived(nil, d.Judge.Expired(d.Now(), expired))
		d.send(d.Spread.Tick(d.Now()))
	}
	d.network.Sim.After(max(d.Spread.NextTick()-d.Now(), time.Millisecond), eventPriority, func() { d.tick(generation) })
}

// Announce sends a statement of this relay to the fleet.
func (d *Node) Announce(s verdicts.Statement) {
	if d.Store.Merge(d.Now(), s) {
		d.send(d.Spread.Announce(d.Now(), []verdicts.Statement{s}))
	}
}

// Suspend stops the relay as SIGSTOP does: its clock continues, and packets wait until Resume.
func (d *Node) Suspend() { d.suspended = true }

// Resume continues a suspended relay as SIGCONT does.
func (d *Node) Resume() {
	d.suspended = false
	heldPackets := d.heldPackets
	d.heldPackets = nil
	for _, p := range heldPackets {
		d.receive(p)
	}
}

// send sends packets over the links.
func (d *Node) send(sends []spread.OutgoingPacket) {
	n := d.network
	for _, s := range sends {
		d.SentBytes += int64(wire.Size(&s.Packet))
		d.SentPackets++
		to := n.indexByName[s.To]
		lost := n.rng.Float64() < n.cfg.Links.Loss
		delay := n.cfg.Links.Delay + time.Duration(n.rng.Float64()*float64(n.cfg.Links.Jitter))
		if lost || n.Partitioned != nil && n.Partitioned(d.index, to) {
			continue
		}
		p := s.Packet
		generation := n.Nodes[to].generation
		n.Sim.After(delay, eventPriority, func() {
			if node := n.Nodes[to]; node.generation == generation {
				node.receive(p)
			}
		})
	}
}

// receive handles an arriving packet.
func (d *Node) receive(p spread.Packet) {
	if d.suspended {
		d.heldPackets = append(d.heldPackets, p)
		return
	}
	newStatements, ownStatements, replies := d.Spread.Receive(d.Now(), p)
	for _, s := range ownStatements {
		if d.Announcer.Supersede(s.Version) {
			d.Spread.SetIncarnation(d.Announcer.Incarnation())
		}
	}
	var restraints []verdicts.Restraint
	for _, s := range newStatements {
		restraints = append(restraints, d.Judge.Receive(d.Now(), s)...)
	}
	d.notifyReceived(newStatements, restraints)
	d.send(replies)
}

func (d *Node) notifyReceived(newStatements []verdicts.Statement, restraints []verdicts.Restraint) {
	if d.OnReceive != nil && len(newStatements)+len(restraints) > 0 {
		d.OnReceive(d.Now(), newStatements, restraints)
	}
}
