package capacity

import (
	"fmt"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
)

// maxConfigurationEntries is how many entries a hollow relay's store holds.
const maxConfigurationEntries = 1 << 20

// signatureBytes is the length of an Ed25519 signature.
const signatureBytes = 64

// acceptAll is a verifier that trusts everyone: the cost of signatures is measured apart.
type acceptAll struct{}

func (acceptAll) Verify(*configsync.Change) error { return nil }

// configsyncCarrier carries changes with internal/configsync.
type configsyncCarrier struct {
	environment *Environment
	numbers     map[string]int // of changes, by their keys
	published   map[int]configsync.Change
}

func newConfigsyncCarrier(e *Environment) (Carrier, error) {
	return &configsyncCarrier{environment: e, numbers: map[string]int{}, published: map[int]configsync.Change{}}, nil
}

// Bound is that of internal/configsync.
func (c *configsyncCarrier) Bound() time.Duration {
	t := c.environment.Scenario.Topology
	return configsync.Defaults().PropagationBound(c.environment.Relays, t.MaxDelay()+schedulingDelay, t.Loss)
}

// Start begins a process. It keeps the store of the one before.
func (c *configsyncCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	n := &configsyncNode{carrier: c, relay: relay, incarnation: incarnation}
	if before, ok := predecessor.(*configsyncNode); ok {
		n.store = before.store
		before.Counts(&n.counted)
	} else {
		n.store = configsync.NewStore(acceptAll{}, maxConfigurationEntries)
	}
	config := configsync.Defaults()
	config.Self = relayName(relay)
	config.MessageBytes = wire.ConfigurationSize(config.Self)
	config.Seed = c.environment.Seed ^ uint64(relay)<<20 ^ incarnation<<52
	var err error
	n.replica, err = configsync.NewReplica(config, 0, n.store)
	return n, err
}

// configsyncNode is a process of a relay.
type configsyncNode struct {
	carrier *configsyncCarrier
	relay   int
	store   *configsync.Store
	replica *configsync.Replica
	counted Counts

	incarnation uint64
	packets     uint64
}

// messages are what the program would put into packets.
func (n *configsyncNode) messages(now time.Duration, list []configsync.OutgoingMessage) (messages []Message) {
	for i := range list {
		n.packets++
		m := &list[i].Message
		packet := &spread.Packet{From: relayName(n.relay), Incarnation: n.incarnation, Uptime: now, Sequence: n.packets, Configuration: m}
		messages = append(messages, Message{To: n.carrier.environment.relay(list[i].To), Bytes: wire.Size(packet), Body: m})
	}
	return messages
}

// Members takes over who lives.
func (n *configsyncNode) Members(now time.Duration, view *View) []Message {
	n.replica.SetMembers(now, view.Members)
	return nil
}

// make words a change as the control machine beside a relay would sign it.
func (n *configsyncNode) make(change int) configsync.Change {
	source := fmt.Sprintf("control-%02d", n.relay)
	sequence, revision := n.store.NextNumbers(source)
	c := configsync.Change{Source: source, Sequence: sequence, Revision: revision, Key: "endpoint/" + changedEndpoint(change),
		Value: make([]byte, n.carrier.environment.Scenario.Changes.ValueBytes), Signature: make([]byte, signatureBytes)}
	n.carrier.numbers[c.Key] = change
	return c
}

// Publish hands over a change.
func (n *configsyncNode) Publish(now time.Duration, change int) ([]Message, error) {
	list, err := n.replica.Publish(now, n.make(change))
	if err != nil {
		return nil, err
	}
	n.carrier.environment.Learned(n.relay, change)
	return n.messages(now, list), nil
}

// Seed has the store take a change that was made elsewhere, or here.
func (n *configsyncNode) Seed(_ time.Duration, change, publisher int) error {
	c, ok := n.carrier.published[change]
	if !ok {
		maker := &configsyncNode{carrier: n.carrier, relay: publisher, store: n.store}
		c = maker.make(change)
		n.carrier.published[change] = c
	}
	_, err := n.store.Apply(c)
	return err
}

// Receive takes a message in.
func (n *configsyncNode) Receive(now time.Duration, from int, body any) []Message {
	applied, list := n.replica.Receive(now, relayName(from), *body.(*configsync.Message))
	for i := range applied {
		if change, ok := n.carrier.numbers[applied[i].Key]; ok {
			n.carrier.environment.Learned(n.relay, change)
		}
	}
	return n.messages(now, list)
}

// Tick does what is due.
func (n *configsyncNode) Tick(now time.Duration) []Message {
	return n.messages(now, n.replica.Tick(now))
}

// Due is when the replica wants to be called.
func (n *configsyncNode) Due() time.Duration { return n.replica.NextTick() }

// Counts adds what the replicas of this relay counted.
func (n *configsyncNode) Counts(to *Counts) {
	c := n.replica.Counters()
	to.OverBudget += n.counted.OverBudget + c.OverBudget
	to.Retries += n.counted.Retries + c.Retries
	to.Abandoned += n.counted.Abandoned + c.Abandoned
	to.Repaired += n.counted.Repaired + c.Repaired
	to.Duplicates += n.counted.Duplicates + c.Duplicates
	to.Errors += n.counted.Errors + c.Untrusted + c.Invalid + c.Diverged + c.StoreFull
}
