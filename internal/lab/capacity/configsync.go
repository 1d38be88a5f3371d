package capacity

import (
	"fmt"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
)

// maxConfigurationEntries is the capacity of a simplified relay's store.
const maxConfigurationEntries = 1 << 20

// signatureBytes is the length of an Ed25519 signature.
const signatureBytes = 64

// acceptAll is a verifier that accepts every change. BenchmarkVerification measures the cost of verification separately.
type acceptAll struct{}

func (acceptAll) Verify(*configsync.Change) error { return nil }

// configsyncCarrier distributes changes with internal/configsync.
type configsyncCarrier struct {
	environment *Environment
	changeByKey map[string]int            // change numbers
	seeded      map[int]configsync.Change // by change number
}

func newConfigsyncCarrier(e *Environment) (Carrier, error) {
	return &configsyncCarrier{environment: e, changeByKey: map[string]int{}, seeded: map[int]configsync.Change{}}, nil
}

// Bound returns the bound that internal/configsync promises.
func (c *configsyncCarrier) Bound() time.Duration {
	t := c.environment.Scenario.Topology
	return configsync.Defaults().PropagationBound(c.environment.Relays, t.MaxDelay()+schedulingDelay, t.Loss)
}

// Start creates a node. The node keeps the store of the previous process.
func (c *configsyncCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	n := &configsyncNode{carrier: c, relay: relay, incarnation: incarnation}
	if previous, ok := predecessor.(*configsyncNode); ok {
		n.store = previous.store
		previous.AddCounts(&n.earlierCounts)
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

// configsyncNode is a process of a relay that runs internal/configsync.
type configsyncNode struct {
	carrier       *configsyncCarrier
	relay         int
	store         *configsync.Store
	replica       *configsync.Replica
	earlierCounts Counts // of the relay's previous processes

	incarnation uint64
	packets     uint64
}

// toMessages converts what the replica sends into messages of the size that the program's packets have.
func (n *configsyncNode) toMessages(now time.Duration, sends []configsync.OutgoingMessage) (messages []Message) {
	for i := range sends {
		n.packets++
		m := &sends[i].Message
		packet := &spread.Packet{From: relayName(n.relay), Incarnation: n.incarnation, Uptime: now, Sequence: n.packets, Configuration: m}
		messages = append(messages, Message{To: n.carrier.environment.relayIndex(sends[i].To), Bytes: wire.Size(packet), Body: m})
	}
	return messages
}

// SetMembers replaces the members of the replica.
func (n *configsyncNode) SetMembers(now time.Duration, view *View) []Message {
	n.replica.SetMembers(now, view.Members)
	return nil
}

// newChange returns a change as the control machine at a relay would sign it.
func (n *configsyncNode) newChange(change int) configsync.Change {
	source := fmt.Sprintf("control-%02d", n.relay)
	sequence, revision := n.store.NextNumbers(source)
	c := configsync.Change{Source: source, Sequence: sequence, Revision: revision, Key: "endpoint/" + changedEndpoint(change),
		Value: make([]byte, n.carrier.environment.Scenario.Changes.ValueBytes), Signature: make([]byte, signatureBytes)}
	n.carrier.changeByKey[c.Key] = change
	return c
}

// Publish publishes a change at this relay.
func (n *configsyncNode) Publish(now time.Duration, change int) ([]Message, error) {
	sends, err := n.replica.Publish(now, n.newChange(change))
	if err != nil {
		return nil, err
	}
	n.carrier.environment.OnLearned(n.relay, change)
	return n.toMessages(now, sends), nil
}

// Seed applies a change that was made earlier at the publisher, which may be this relay.
func (n *configsyncNode) Seed(_ time.Duration, change, publisher int) error {
	c, ok := n.carrier.seeded[change]
	if !ok {
		publisherNode := &configsyncNode{carrier: n.carrier, relay: publisher, store: n.store}
		c = publisherNode.newChange(change)
		n.carrier.seeded[change] = c
	}
	_, err := n.store.Apply(c)
	return err
}

// Receive processes a message and reports the changes that it brings.
func (n *configsyncNode) Receive(now time.Duration, from int, body any) []Message {
	applied, sends := n.replica.Receive(now, relayName(from), *body.(*configsync.Message))
	for i := range applied {
		if change, ok := n.carrier.changeByKey[applied[i].Key]; ok {
			n.carrier.environment.OnLearned(n.relay, change)
		}
	}
	return n.toMessages(now, sends)
}

// Tick performs the replica's periodic work.
func (n *configsyncNode) Tick(now time.Duration) []Message {
	return n.toMessages(now, n.replica.Tick(now))
}

// NextTick returns the time at which the replica next has work.
func (n *configsyncNode) NextTick() time.Duration { return n.replica.NextTick() }

// AddCounts adds the counters of all replicas that this relay has had.
func (n *configsyncNode) AddCounts(to *Counts) {
	c := n.replica.Counters()
	to.OverBudget += n.earlierCounts.OverBudget + c.OverBudget
	to.Retries += n.earlierCounts.Retries + c.Retries
	to.Abandoned += n.earlierCounts.Abandoned + c.Abandoned
	to.Repaired += n.earlierCounts.Repaired + c.Repaired
	to.Duplicates += n.earlierCounts.Duplicates + c.Duplicates
	to.Errors += n.earlierCounts.Errors + c.Untrusted + c.Invalid + c.Diverged + c.StoreFull
}
