// Package gossip plays the fleet's news in virtual time: relays with the real verdicts and spread over modelled links. It decides
// nothing for them; it delays, loses and cuts, and counts.
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

// Links are the same between all relays.
type Links struct {
	Delay, Jitter time.Duration // one way; the jitter is added evenly drawn
	Loss          float64       // of each packet by itself
}

// Config is a fleet.
type Config struct {
	Relays   int
	Links    Links
	Exchange time.Duration
	Bytes    float64 // a second and relay
	Agree    int
}

// Node is one relay's share in it.
type Node struct {
	Name      string
	Store     *verdicts.Store
	Spread    *spread.Spread
	Judge     *verdicts.Judge
	Announcer *verdicts.Announcer
	// Heard is told of what is new here and what it comes to; nil for nobody.
	Heard func(now time.Duration, news []verdicts.Statement, come []verdicts.Restraint)
	// Bytes and Packets are what it sent.
	Bytes, Packets int64

	net     *Net
	i       int
	began   emulator.Time // of its process
	stopped bool
	kept    []spread.Packet // that came while it was stopped
	gen     int             // of its ticks
}

// Net is the fleet.
type Net struct {
	Sim   *emulator.Sim
	Nodes []*Node
	// Cut says whether nothing passes from one to another just now; nil for never.
	Cut func(from, to int) bool

	cfg   Config
	names []string
	at    map[string]int
	rng   *rand.Rand
}

// kind orders packets among simultaneous events.
const kind = emulator.Kind(1)

// New starts a fleet whose relays know each other.
func New(sim *emulator.Sim, cfg Config) (*Net, error) {
	n := &Net{Sim: sim, cfg: cfg, at: map[string]int{}, rng: sim.Stream("links")}
	for i := range cfg.Relays {
		name := fmt.Sprint("relay-", i)
		n.names = append(n.names, name)
		n.at[name] = i
	}
	for i := range cfg.Relays {
		node := &Node{Name: n.names[i], net: n, i: i}
		n.Nodes = append(n.Nodes, node)
		if err := node.Start(1); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Start begins a process of the relay, with nothing known but who is a member.
func (d *Node) Start(incarnation uint64) error {
	n := d.net
	d.began, d.stopped, d.kept = n.Sim.Now(), false, nil
	d.gen++
	d.Store = verdicts.NewStore()
	d.Judge = verdicts.NewJudge(d.Name, n.cfg.Agree, d.Store)
	d.Announcer = verdicts.NewAnnouncer(d.Name, incarnation)
	var err error
	d.Spread, err = spread.New(spread.Config{Self: d.Name, ExchangeInterval: n.cfg.Exchange, BytesPerSecond: n.cfg.Bytes, PacketBytes: wire.Size, MaxPacketBytes: 1300,
		Seed: uint64(d.i) + uint64(d.gen)<<32}, 0, d.Store, incarnation)
	if err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	d.Spread.SetMembers(n.names)
	d.tick(d.gen)
	return nil
}

// Now is the relay's own clock: what its process has run.
func (d *Node) Now() time.Duration { return (d.net.Sim.Now() - d.began).Duration() }

func (d *Node) tick(gen int) {
	if gen != d.gen {
		return
	}
	if !d.stopped {
		lost := d.Store.Sweep(d.Now())
		d.heard(nil, d.Judge.Expired(d.Now(), lost))
		d.send(d.Spread.Tick(d.Now()))
	}
	d.net.Sim.After(max(d.Spread.Due()-d.Now(), time.Millisecond), kind, func() { d.tick(gen) })
}

// Announce sends the fleet a statement of this relay.
func (d *Node) Announce(s verdicts.Statement) {
	if d.Store.Merge(d.Now(), s) {
		d.send(d.Spread.Announce(d.Now(), []verdicts.Statement{s}))
	}
}

// Stop and Go are SIGSTOP and SIGCONT: what comes meanwhile waits, and the clock goes on.
func (d *Node) Stop() { d.stopped = true }

// Go lets it run on.
func (d *Node) Go() {
	d.stopped = false
	kept := d.kept
	d.kept = nil
	for _, p := range kept {
		d.receive(p)
	}
}

func (d *Node) send(list []spread.OutgoingPacket) {
	n := d.net
	for _, s := range list {
		d.Bytes += int64(wire.Size(&s.Packet))
		d.Packets++
		to := n.at[s.To]
		lost := n.rng.Float64() < n.cfg.Links.Loss
		after := n.cfg.Links.Delay + time.Duration(n.rng.Float64()*float64(n.cfg.Links.Jitter))
		if lost || n.Cut != nil && n.Cut(d.i, to) {
			continue
		}
		p := s.Packet
		gen := n.Nodes[to].gen
		n.Sim.After(after, kind, func() {
			if node := n.Nodes[to]; node.gen == gen {
				node.receive(p)
			}
		})
	}
}

func (d *Node) receive(p spread.Packet) {
	if d.stopped {
		d.kept = append(d.kept, p)
		return
	}
	news, own, out := d.Spread.Receive(d.Now(), p)
	for _, s := range own {
		if d.Announcer.Supersede(s.Version) {
			d.Spread.SetIncarnation(d.Announcer.Incarnation())
		}
	}
	var come []verdicts.Restraint
	for _, s := range news {
		come = append(come, d.Judge.Receive(d.Now(), s)...)
	}
	d.heard(news, come)
	d.send(out)
}

func (d *Node) heard(news []verdicts.Statement, come []verdicts.Restraint) {
	if d.Heard != nil && len(news)+len(come) > 0 {
		d.Heard(d.Now(), news, come)
	}
}
