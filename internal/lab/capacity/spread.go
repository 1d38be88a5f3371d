package capacity

import (
	"fmt"
	"slices"
	"time"

	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

// Default settings of the program, and the values with which internal/fleet runs its components.
const (
	spreadExchangeInterval = time.Second
	spreadBytesPerSecond   = 4096
	spreadPacketBytes      = 1200 + wire.OverheadBytes
	spreadQuorum           = 2
	spreadSweepInterval    = 200 * time.Millisecond // the program sweeps every 100 ms
	schedulingDelay        = 5 * time.Millisecond   // a relay's own processing delay in the calculation of bounds
)

// spreadCarrier distributes changes with internal/spread. A change is a ban that operators set at one relay.
type spreadCarrier struct {
	environment    *Environment
	announcers     []*verdicts.Announcer      // of the current processes, by relay
	seeded         map[int]verdicts.Statement // by change number
	trackedOutages map[int]int                // change numbers, by destination
}

func newSpreadCarrier(e *Environment) (Carrier, error) {
	return &spreadCarrier{environment: e, announcers: make([]*verdicts.Announcer, e.Relays), seeded: map[int]verdicts.Statement{}}, nil
}

// Bound returns the bound that internal/spread promises.
func (c *spreadCarrier) Bound() time.Duration {
	t := c.environment.Scenario.Topology
	return spread.Bound(c.environment.Relays, t.MaxDelay()+schedulingDelay, t.Loss, spreadExchangeInterval)
}

// Start creates a node. Like the program, the node keeps the bans that were set at this relay in a previous process.
func (c *spreadCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	return c.start(relay, incarnation, predecessor)
}

func (c *spreadCarrier) start(relay int, incarnation uint64, predecessor Node) (*spreadNode, error) {
	n := &spreadNode{carrier: c, environment: c.environment, relay: relay, packetBytes: map[uint64]int{}}
	n.store = verdicts.NewStore()
	n.judge = verdicts.NewJudge(relayName(relay), spreadQuorum, n.store)
	n.announcer = verdicts.NewAnnouncer(relayName(relay), incarnation)
	c.announcers[relay] = n.announcer
	if previous, ok := predecessor.(*spreadNode); ok {
		n.bans = previous.bans
		n.renewedAt = -verdicts.Ban.MaxLifetime() / 3 // the bans are announced again at once
		n.earlierCounts = previous.earlierCounts
		n.earlierCounts.OverBudget += previous.spread.Counters().Unsent
	}
	config := spread.Config{Self: relayName(relay), ExchangeInterval: spreadExchangeInterval, BytesPerSecond: spreadBytesPerSecond, PacketBytes: n.packetSize,
		MaxPacketBytes: spreadPacketBytes, Seed: c.environment.Seed ^ uint64(relay)<<20 ^ incarnation<<52}
	var err error
	n.spread, err = spread.New(config, 0, n.store, incarnation)
	return n, err
}

// recordStatement notes that a relay has learned a statement.
func (c *spreadCarrier) recordStatement(relay int, s verdicts.Statement) {
	if s.Kind == verdicts.Ban {
		c.environment.OnLearned(relay, s.Destination)
	} else if change, ok := c.trackedOutages[s.Destination]; ok {
		c.environment.OnLearned(relay, change)
	}
}

// spreadNode is a process of a relay. It runs the components of the program in the same way as internal/fleet.
type spreadNode struct {
	carrier       *spreadCarrier
	environment   *Environment
	relay         int
	store         *verdicts.Store
	judge         *verdicts.Judge
	announcer     *verdicts.Announcer
	spread        *spread.Spread
	view          *View
	bans          []int // numbers of the changes that were made at this relay
	renewedAt     time.Duration
	sweptAt       time.Duration
	earlierCounts Counts         // of the relay's previous processes
	packetBytes   map[uint64]int // sizes of the packets built in the current call, by Packet.Count
}

// packetSize returns the size of a packet and stores it, so that toMessages does not calculate it again.
func (n *spreadNode) packetSize(p *spread.Packet) int {
	bytes := wire.Size(p)
	n.packetBytes[p.Sequence] = bytes
	return bytes
}

func (n *spreadNode) toMessages(sends []spread.OutgoingPacket) (messages []Message) {
	for i := range sends {
		p := &sends[i].Packet
		messages = append(messages, Message{To: n.environment.relayIndex(sends[i].To), Bytes: n.packetBytes[p.Sequence], Body: p})
	}
	clear(n.packetBytes)
	return messages
}

// SetMembers replaces the members, and drops the statements of relays that are no longer members.
func (n *spreadNode) SetMembers(now time.Duration, view *View) []Message {
	if n.view != nil {
		for i, had := range n.view.IsMember {
			if had && !view.IsMember[i] {
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

// Publish sets a ban at this relay.
func (n *spreadNode) Publish(now time.Duration, change int) ([]Message, error) {
	n.bans = append(n.bans, change)
	s := n.newBan(change)
	if !n.store.Merge(now, s) {
		return nil, fmt.Errorf("change %d was not stored at the relay that published it", change)
	}
	n.environment.OnLearned(n.relay, change)
	return n.toMessages(n.spread.Announce(now, []verdicts.Statement{s})), nil
}

// newBan returns the ban of a change, as verdicts.Announcer.RenewBans renews it.
func (n *spreadNode) newBan(change int) verdicts.Statement {
	return n.announcer.Ban(change, changedEndpoint(change), true)
}

func changedEndpoint(change int) string { return fmt.Sprintf("s-%08x", uint32(change)*2654435761) }

// Seed stores a ban that was set earlier at the publisher, which may be this relay.
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

// Receive processes a packet and records the statements that it brings.
func (n *spreadNode) Receive(now time.Duration, _ int, body any) []Message {
	newStatements, ownStatements, sends := n.spread.Receive(now, *body.(*spread.Packet))
	for _, s := range ownStatements {
		if n.announcer.Supersede(s.Version) {
			n.spread.SetIncarnation(n.announcer.Incarnation())
		}
	}
	for _, s := range newStatements {
		n.judge.Receive(now, s)
		n.carrier.recordStatement(n.relay, s)
	}
	return n.toMessages(sends)
}

// Tick drops expired statements, renews bans, and runs the anti-entropy exchanges.
func (n *spreadNode) Tick(now time.Duration) []Message {
	if now-n.sweptAt >= spreadSweepInterval {
		n.sweptAt = now
		n.judge.Expired(now, n.store.Sweep(now))
	}
	sends := n.renewBans(now)
	return n.toMessages(append(sends, n.spread.Tick(now)...))
}

// renewBans announces all bans of this relay again each time a third of their lifetime has passed.
func (n *spreadNode) renewBans(now time.Duration) []spread.OutgoingPacket {
	if now-n.renewedAt < verdicts.Ban.MaxLifetime()/3 {
		return nil
	}
	n.renewedAt = now
	var statements []verdicts.Statement
	for _, change := range n.bans {
		if s := n.newBan(change); n.store.Merge(now, s) {
			statements = append(statements, s)
		}
	}
	return slices.Clone(n.spread.Announce(now, statements))
}

// NextTick returns the time at which internal/spread next has work.
func (n *spreadNode) NextTick() time.Duration { return n.spread.NextTick() }

// AddCounts adds the counters of internal/spread.
func (n *spreadNode) AddCounts(to *Counts) {
	c := n.spread.Counters()
	to.OverBudget += n.earlierCounts.OverBudget + c.Unsent
	to.Errors += c.UnknownSenders
}
