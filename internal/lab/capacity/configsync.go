package capacity

import (
	"fmt"
	"time"

	"wrenford/internal/configsync"
	"wrenford/internal/fleet/wire"
)

// Parts of what a message of internal/configsync takes on the network, as long as the program's own encoding does not know it.
const (
	packetHeaderBytes    = 40 // version, sender's name, incarnation, uptime and count
	fieldBytes           = 2  // tag and length of a field
	numberBytes          = 6  // a number with its tag
	changeOverheadBytes  = 4*fieldBytes + 3*numberBytes
	versionOverheadBytes = fieldBytes + fieldBytes + numberBytes
	deltaOverheadBytes   = fieldBytes + fieldBytes + 2*numberBytes
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
	return configsync.Defaults().Bound(c.environment.Relays, t.MaxDelay()+schedulingDelay, t.Loss)
}

// Start begins a process. It keeps the store of the one before.
func (c *configsyncCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	n := &configsyncNode{carrier: c, relay: relay}
	if before, ok := predecessor.(*configsyncNode); ok {
		n.store = before.store
		before.Counts(&n.counted)
	} else {
		n.store = configsync.NewStore(acceptAll{}, maxConfigurationEntries)
	}
	config := configsync.Defaults()
	config.Self = relayName(relay)
	config.Size = configsyncSize
	config.Seed = c.environment.Seed ^ uint64(relay)<<20 ^ incarnation<<52
	var err error
	n.replica, err = configsync.NewReplica(config, 0, n.store)
	return n, err
}

// configsyncSize estimates what a message takes on the network: the sealing of a packet and its headers as internal/fleet/wire
// has them, the header of the program's packet, and the fields as protobuf encodes them.
func configsyncSize(m *configsync.Message) int {
	bytes := wire.Sealing + packetHeaderBytes
	switch {
	case m.Push != nil:
		bytes += 3*numberBytes + 2*fieldBytes + len(m.Push.Scope.Low) + len(m.Push.Scope.High) + changesSize(m.Push.Changes)
	case m.Ack != nil:
		bytes += numberBytes
	case m.Exchange != nil:
		bytes += 3*numberBytes + fieldBytes
		for source := range m.Exchange.Versions {
			bytes += versionOverheadBytes + len(source)
		}
		for _, delta := range m.Exchange.Deltas {
			bytes += deltaOverheadBytes + len(delta.Source) + changesSize(delta.Changes)
		}
	}
	return bytes
}

func changesSize(changes []configsync.Change) (bytes int) {
	for i := range changes {
		c := &changes[i]
		bytes += changeOverheadBytes + len(c.Source) + len(c.Key) + len(c.Value) + len(c.Signature)
	}
	return bytes
}

// configsyncNode is a process of a relay.
type configsyncNode struct {
	carrier *configsyncCarrier
	relay   int
	store   *configsync.Store
	replica *configsync.Replica
	counted Counts
}

func (n *configsyncNode) messages(list []configsync.Send) (messages []Message) {
	for i := range list {
		m := &list[i].Message
		messages = append(messages, Message{To: n.carrier.environment.relay(list[i].To), Bytes: configsyncSize(m), Body: m})
	}
	return messages
}

// Members takes over who lives.
func (n *configsyncNode) Members(now time.Duration, view *View) []Message {
	n.replica.Members(now, view.Members)
	return nil
}

// make words a change as the control machine beside a relay would sign it.
func (n *configsyncNode) make(change int) configsync.Change {
	source := fmt.Sprintf("control-%02d", n.relay)
	sequence, revision := n.store.Next(source)
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
	return n.messages(list), nil
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
	return n.messages(list)
}

// Tick does what is due.
func (n *configsyncNode) Tick(now time.Duration) []Message { return n.messages(n.replica.Tick(now)) }

// Due is when the replica wants to be called.
func (n *configsyncNode) Due() time.Duration { return n.replica.Due() }

// Counts adds what the replicas of this relay counted.
func (n *configsyncNode) Counts(to *Counts) {
	c := n.replica.Counters()
	to.OverBudget += n.counted.OverBudget + c.OverBudget
	to.Retries += n.counted.Retries + c.Retries
	to.Abandoned += n.counted.Abandoned + c.Abandoned
	to.Repaired += n.counted.Repaired + c.Repaired
	to.Duplicates += n.counted.Duplicates + c.Duplicates
	to.Errors += n.counted.Errors + c.Untrusted + c.Invalid + c.Diverged + c.Full
}
