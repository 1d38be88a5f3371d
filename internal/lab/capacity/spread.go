package capacity

import (
	"fmt"
	"slices"
	"time"

	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// What the program's settings say unless told otherwise, and what internal/fleet drives its parts with.
const (
	spreadExchange      = time.Second
	spreadBytesPerS     = 4096
	spreadPacketBytes   = 1200 + wire.Sealing
	spreadAgree         = 2
	spreadSweepInterval = 200 * time.Millisecond // the program looks each 100 ms
	schedulingDelay     = 5 * time.Millisecond   // of a relay's own, that bounds allow for
)

// spreadCarrier carries changes as the program does today: a change is a ban that operators set at one relay.
type spreadCarrier struct {
	environment *Environment
	announcers  []*verdicts.Announcer      // of the present processes, by relay
	seeded      map[int]verdicts.Statement // by change
	followed    map[int]int                // changes, by the destinations whose outages are followed
}

func newSpreadCarrier(e *Environment) (Carrier, error) {
	return &spreadCarrier{environment: e, announcers: make([]*verdicts.Announcer, e.Relays), seeded: map[int]verdicts.Statement{}}, nil
}

// Bound is that of internal/spread.
func (c *spreadCarrier) Bound() time.Duration {
	t := c.environment.Scenario.Topology
	return spread.Bound(c.environment.Relays, t.MaxDelay()+schedulingDelay, t.Loss, spreadExchange)
}

// Start begins a process. Of the one before it keeps what the program keeps: the bans that were set at this relay.
func (c *spreadCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	return c.start(relay, incarnation, predecessor)
}

func (c *spreadCarrier) start(relay int, incarnation uint64, predecessor Node) (*spreadNode, error) {
	n := &spreadNode{carrier: c, environment: c.environment, relay: relay, sizes: map[uint64]int{}}
	n.store = verdicts.NewStore()
	n.judge = verdicts.NewJudge(relayName(relay), spreadAgree, n.store)
	n.announcer = verdicts.NewAnnouncer(relayName(relay), incarnation)
	c.announcers[relay] = n.announcer
	if before, ok := predecessor.(*spreadNode); ok {
		n.bans = before.bans
		n.renewedAt = -verdicts.Ban.MaxLifetime() / 3 // they are announced again at once
		n.counted = before.counted
		n.counted.OverBudget += before.spread.Counters().Unsent
	}
	config := spread.Config{Self: relayName(relay), ExchangeInterval: spreadExchange, BytesPerSecond: spreadBytesPerS, PacketBytes: n.size, MaxPacketBytes: spreadPacketBytes,
		Seed: c.environment.Seed ^ uint64(relay)<<20 ^ incarnation<<52}
	var err error
	n.spread, err = spread.New(config, 0, n.store, incarnation)
	return n, err
}

// learned notes that a statement came to a relay.
func (c *spreadCarrier) learned(relay int, s verdicts.Statement) {
	if s.Kind == verdicts.Ban {
		c.environment.Learned(relay, s.Destination)
	} else if change, ok := c.followed[s.Destination]; ok {
		c.environment.Learned(relay, change)
	}
}

// spreadNode drives the program's parts as internal/fleet does.
type spreadNode struct {
	carrier     *spreadCarrier
	environment *Environment
	relay       int
	store       *verdicts.Store
	judge       *verdicts.Judge
	announcer   *verdicts.Announcer
	spread      *spread.Spread
	view        *View
	bans        []int // changes that were made here
	renewedAt   time.Duration
	sweptAt     time.Duration
	counted     Counts
	sizes       map[uint64]int // of packets that were made in the present call, by their counts
}

// size notes what it is asked for, so that no packet is measured once more.
func (n *spreadNode) size(p *spread.Packet) int {
	bytes := wire.Size(p)
	n.sizes[p.Sequence] = bytes
	return bytes
}

func (n *spreadNode) messages(list []spread.OutgoingPacket) (messages []Message) {
	for i := range list {
		p := &list[i].Packet
		messages = append(messages, Message{To: n.environment.relay(list[i].To), Bytes: n.sizes[p.Sequence], Body: p})
	}
	clear(n.sizes)
	return messages
}

// Members takes over who lives; what the dead said ends.
func (n *spreadNode) Members(now time.Duration, view *View) []Message {
	if n.view != nil {
		for i, had := range n.view.Has {
			if had && !view.Has[i] {
				n.judge.Forget(relayName(i))
				n.judge.Expired(now, n.store.Forget(relayName(i)))
			}
		}
		if len(view.Names) > len(n.view.Names) {
			n.spread.ExchangeSoon(now)
		}
	}
	n.view = view
	n.spread.SetMembers(view.Names)
	return nil
}

// Publish sets a ban here.
func (n *spreadNode) Publish(now time.Duration, change int) ([]Message, error) {
	n.bans = append(n.bans, change)
	s := n.newBan(change)
	if !n.store.Merge(now, s) {
		return nil, fmt.Errorf("change %d was not taken at its own relay", change)
	}
	n.environment.Learned(n.relay, change)
	return n.messages(n.spread.Announce(now, []verdicts.Statement{s})), nil
}

// newBan words a change, as verdicts.Announcer.RenewBans renews it.
func (n *spreadNode) newBan(change int) verdicts.Statement {
	return n.announcer.Ban(change, changedEndpoint(change), true)
}

func changedEndpoint(change int) string { return fmt.Sprintf("s-%08x", uint32(change)*2654435761) }

// Seed has the store take a change that was made elsewhere, or here.
func (n *spreadNode) Seed(now time.Duration, change, publisher int) error {
	if publisher == n.relay {
		n.bans = append(n.bans, change)
	}
	s, ok := n.carrier.seeded[change]
	if !ok {
		s = n.carrier.announcers[publisher].Ban(change, changedEndpoint(change), true)
		n.carrier.seeded[change] = s
	}
	n.store.Merge(now, s)
	return nil
}

// Receive takes a packet in.
func (n *spreadNode) Receive(now time.Duration, _ int, body any) []Message {
	news, own, out := n.spread.Receive(now, *body.(*spread.Packet))
	for _, s := range own {
		if n.announcer.Supersede(s.Version) {
			n.spread.SetIncarnation(n.announcer.Incarnation())
		}
	}
	for _, s := range news {
		n.judge.Receive(now, s)
		n.carrier.learned(n.relay, s)
	}
	return n.messages(out)
}

// Tick drops what has expired, renews bans, and compares stores.
func (n *spreadNode) Tick(now time.Duration) []Message {
	if now-n.sweptAt >= spreadSweepInterval {
		n.sweptAt = now
		n.judge.Expired(now, n.store.Sweep(now))
	}
	list := n.renewBans(now)
	return n.messages(append(list, n.spread.Tick(now)...))
}

// renewBans announces all bans of this relay again, every third of their life.
func (n *spreadNode) renewBans(now time.Duration) []spread.OutgoingPacket {
	if now-n.renewedAt < verdicts.Ban.MaxLifetime()/3 {
		return nil
	}
	n.renewedAt = now
	var list []verdicts.Statement
	for _, change := range n.bans {
		if s := n.newBan(change); n.store.Merge(now, s) {
			list = append(list, s)
		}
	}
	return slices.Clone(n.spread.Announce(now, list))
}

// Due is when the program's parts want to be called.
func (n *spreadNode) Due() time.Duration { return n.spread.Due() }

// Counts adds what internal/spread counted.
func (n *spreadNode) Counts(to *Counts) {
	c := n.spread.Counters()
	to.OverBudget += n.counted.OverBudget + c.Unsent
	to.Errors += c.UnknownSenders
}
