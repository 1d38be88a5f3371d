package configsync

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// headerBytes is the overhead of a datagram: IP and UDP headers, the encryption of the relays' channel, and the frame.
const headerBytes = 28 + 28 + 16

// messageSize returns the approximate size of a message in a compact binary encoding.
func messageSize(message *Message) int {
	size := headerBytes
	switch {
	case message.Push != nil:
		size += 12 + 10 + len(message.Push.Scope.Low) + len(message.Push.Scope.High)
		size += changesSize(message.Push.Changes)
	case message.Ack != nil:
		size += 6
	case message.Exchange != nil:
		size += 14
		for source := range message.Exchange.Versions {
			size += len(source) + 6
		}
		for _, delta := range message.Exchange.Deltas {
			size += len(delta.Source) + 10 + changesSize(delta.Changes)
		}
	}
	return size
}

func changesSize(changes []Change) int {
	size := 0
	for _, change := range changes {
		size += 20 + len(change.Source) + len(change.Key) + len(change.Value) + len(change.Signature)
	}
	return size
}

// event is a scheduled action on a node or on the network.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// node is one relay of a simulated network.
type node struct {
	member          Member
	replica         *Replica
	store           *Store
	down            bool
	startCount      int // number of starts
	scheduledTick   time.Duration
	sentMeter       leakyMeter
	meteredSecond   int64 // the second that meteredBytes counts
	meteredBytes    int64
	peakSecondBytes int64 // most bytes in one second since resetPeaks
	totalBytes      int64
	repairMeter     leakyMeter
	// maxPushesPerMessage is the maximum number of members to which the node forwarded one message.
	maxPushesPerMessage int
	intercept           func(from string, message Message) bool // receives messages instead of the replica; true drops the message
}

// leakyMeter measures by how much the bytes of any interval exceed the given rate. It is independent of the replica's token
// bucket.
type leakyMeter struct {
	levelBytes, maxLevelBytes float64
	updatedAt                 time.Duration
}

func (m *leakyMeter) add(now time.Duration, bytes int, rate float64) {
	m.levelBytes = max(0, m.levelBytes-rate*(now-m.updatedAt).Seconds()) + float64(bytes)
	m.updatedAt = now
	m.maxLevelBytes = max(m.maxLevelBytes, m.levelBytes)
}

// network runs replicas in simulated time.
type network struct {
	now                  time.Duration
	lastEventOrder       int
	events               eventHeap
	random               *rand.Rand
	config               Config
	faults               injectedFaults
	verifier             Verifier
	maxEntries           int // of each store
	nodes                []*node
	byName               map[string]*node
	fullMembership       *Membership
	lossProbability      float64
	duplicateProbability float64
	delay                func(from, to *node) time.Duration
	isCut                func(from, to *node) bool
	onApplied            func(n *node, change *Change)
	handledScopes        map[handledScope]bool
	err                  error
}

type acceptAll struct{}

func (acceptAll) Verify(*Change) error { return nil }

func newNetwork(seed uint64, members []Member, verifier Verifier, faults injectedFaults) *network {
	n := &network{random: rand.New(rand.NewPCG(seed, 1)), config: Defaults(), faults: faults, verifier: verifier, maxEntries: 32768,
		byName: map[string]*node{}, handledScopes: map[handledScope]bool{}, fullMembership: NewMembership(members)}
	n.config.MessageBytes = messageSize
	n.config.Seed = seed
	n.delay = func(from, to *node) time.Duration { return oneWayDelay(n.random, from, to) }
	for _, member := range members {
		added := &node{member: member}
		n.nodes = append(n.nodes, added)
		n.byName[member.Name] = added
	}
	return n
}

// maxOneWayDelay is above every delay that oneWayDelay returns.
const maxOneWayDelay = 90 * time.Millisecond

// oneWayDelay returns a network delay plus some time until the relay processes the packet.
func oneWayDelay(random *rand.Rand, from, to *node) time.Duration {
	base := time.Millisecond
	if from.member.Region != to.member.Region {
		base = 60 * time.Millisecond
	}
	return base + time.Duration(random.Int64N(int64(20*time.Millisecond)))
}

// fleetMembers returns members that are spread evenly over regions and over the zones of each region.
func fleetMembers(count, regions, zones int) []Member {
	members := make([]Member, count)
	for i := range members {
		region, zone := i%regions, i/regions%zones
		members[i] = Member{Name: fmt.Sprintf("relay-%04d", i), Region: fmt.Sprintf("region-%d", region), Zone: fmt.Sprintf("zone-%d", zone)}
	}
	return members
}

func (n *network) schedule(when time.Duration, run func()) {
	n.lastEventOrder++
	heap.Push(&n.events, event{at: max(when, n.now), order: n.lastEventOrder, run: run})
}

// start starts a node with the saved contents of a store, if any.
func (n *network) start(started *node, view *Membership, saved []Change, versions VersionVector) {
	store := NewStore(n.verifier, n.maxEntries)
	store.faults = n.faults
	store.SetVersions(versions)
	for _, change := range saved {
		if _, err := store.Apply(change); err != nil {
			n.fail(fmt.Errorf("saved entry: %w", err))
		}
	}
	config := n.config
	config.Self = started.member.Name
	config.Seed = n.random.Uint64()
	replica, err := NewReplica(config, n.now, store)
	if err != nil {
		n.fail(err)
		return
	}
	started.store, started.replica, started.down, started.scheduledTick = store, replica, false, -1
	started.startCount++
	replica.SetMembership(n.now, view)
	n.scheduleTick(started)
}

// startAll starts all nodes. Their first exchanges are spread at random.
func (n *network) startAll() {
	for _, each := range n.nodes {
		n.start(each, n.fullMembership, nil, nil)
	}
}

// restart stops a node and later starts it again with the saved contents of its store.
func (n *network) restart(stopped *node, pause time.Duration) {
	if stopped.down {
		return
	}
	stopped.down = true
	n.schedule(n.now+pause, func() {
		if stopped.down {
			n.start(stopped, n.fullMembership, stopped.store.Entries(), stopped.store.Versions())
		}
	})
}

func (n *network) fail(err error) {
	if n.err == nil {
		n.err = fmt.Errorf("at %v: %w", n.now, err)
	}
}

// scheduleTick plans a node's next Tick.
func (n *network) scheduleTick(on *node) {
	due := max(on.replica.NextTick(), n.now)
	if on.scheduledTick >= n.now && on.scheduledTick <= due {
		return
	}
	on.scheduledTick = due
	startCount := on.startCount
	n.schedule(due, func() {
		if on.down || on.startCount != startCount || on.scheduledTick != due {
			return
		}
		on.scheduledTick = -1
		n.sendAll(on, on.replica.Tick(n.now))
	})
}

// sendAll sends a node's messages over the network.
func (n *network) sendAll(from *node, sends []OutgoingMessage) {
	for _, send := range sends {
		n.recordSent(from, &send.Message)
		n.transmit(from, send)
	}
	n.scheduleTick(from)
}

func (n *network) recordSent(from *node, message *Message) {
	size := messageSize(message)
	if size > n.config.MaxPacketBytes {
		n.fail(fmt.Errorf("%s sends a packet of %d bytes", from.member.Name, size))
	}
	from.sentMeter.add(n.now, size, n.config.BytesPerSecond)
	if message.Exchange != nil && len(message.Exchange.Deltas) > 0 {
		from.repairMeter.add(n.now, size, n.config.RepairBytesPerSecond)
	}
	from.totalBytes += int64(size)
	if second := int64(n.now / time.Second); second != from.meteredSecond {
		from.meteredSecond, from.meteredBytes = second, 0
	}
	from.meteredBytes += int64(size)
	from.peakSecondBytes = max(from.peakSecondBytes, from.meteredBytes)
}

func (n *network) transmit(from *node, send OutgoingMessage) {
	to := n.byName[send.To]
	if to == nil || n.isCut != nil && n.isCut(from, to) {
		return
	}
	copies := 1
	if n.random.Float64() < n.duplicateProbability {
		copies = 2
	}
	for range copies {
		if n.random.Float64() < n.lossProbability {
			continue
		}
		n.schedule(n.now+n.delay(from, to), func() { n.receive(from, to, send.Message) })
	}
}

func (n *network) receive(from, to *node, message Message) {
	if to.down || to.replica == nil {
		return
	}
	if to.intercept != nil && to.intercept(from.member.Name, message) {
		return
	}
	applied, out := to.replica.Receive(n.now, from.member.Name, message)
	if n.onApplied != nil {
		for i := range applied {
			n.onApplied(to, &applied[i])
		}
	}
	n.checkForwarding(to, &message, out)
	n.sendAll(to, out)
}

// checkForwarding counts the members to which a node forwards a push. If the node had the same scope before, the count has to
// be 0.
func (n *network) checkForwarding(on *node, message *Message, sends []OutgoingMessage) {
	pushes, acknowledged := 0, false
	for _, send := range sends {
		if send.Message.Push != nil {
			pushes++
		}
		acknowledged = acknowledged || send.Message.Ack != nil
	}
	on.maxPushesPerMessage = max(on.maxPushesPerMessage, pushes)
	if message.Push == nil || message.Push.Scope.isLeaf() || !acknowledged {
		return
	}
	handled := handledScope{on, on.startCount, message.Push.Scope}
	if n.handledScopes[handled] && pushes > 0 {
		n.fail(fmt.Errorf("%s forwards a scope twice", on.member.Name))
	}
	n.handledScopes[handled] = true
}

// handledScope is a scope that a node accepted since one of its starts.
type handledScope struct {
	node       *node
	startCount int
	scope      Scope
}

func (n *network) publish(on *node, change Change) {
	out, err := on.replica.Publish(n.now, change)
	if err != nil {
		n.fail(fmt.Errorf("publish on %s: %w", on.member.Name, err))
	}
	if current, ok := on.store.entries[change.Key]; n.onApplied != nil && err == nil && ok && compareChanges(current.change, &change) == 0 {
		n.onApplied(on, &change)
	}
	n.sendAll(on, out)
}

// run runs the network up to a point in time.
func (n *network) run(until time.Duration) {
	for len(n.events) > 0 && n.events[0].at <= until && n.err == nil {
		next := heap.Pop(&n.events).(event)
		n.now = next.at
		next.run()
	}
	n.now = until
}

// checkBudgets returns an error if a node has sent more than its budget allows in any interval.
func (n *network) checkBudgets() error {
	allowed := burstSeconds * n.config.BytesPerSecond
	for _, each := range n.nodes {
		if each.sentMeter.maxLevelBytes > allowed+1 {
			return fmt.Errorf("%s exceeds its byte budget by %.0f bytes", each.member.Name, each.sentMeter.maxLevelBytes-allowed)
		}
	}
	return nil
}

// checkConverged returns an error if a node that is up and not intercepted holds other entries than the expected ones.
func (n *network) checkConverged(expected map[string]Change) error {
	for _, each := range n.nodes {
		if each.down || each.replica == nil || each.intercept != nil {
			continue
		}
		if len(each.store.entries) != len(expected) {
			return fmt.Errorf("%s holds %d entries, want %d", each.member.Name, len(each.store.entries), len(expected))
		}
		for key, change := range expected {
			if current := each.store.entries[key].change; current == nil || compareChanges(current, &change) != 0 {
				return fmt.Errorf("%s does not hold the highest change of %q", each.member.Name, key)
			}
		}
	}
	return nil
}

// maxOverNodes returns the maximum of a value over all nodes.
func (n *network) maxOverNodes(value func(*node) int64) int64 {
	return value(slices.MaxFunc(n.nodes, func(a, b *node) int { return cmp.Compare(value(a), value(b)) }))
}

func (n *network) resetPeaks() {
	for _, each := range n.nodes {
		each.peakSecondBytes, each.totalBytes, each.meteredSecond, each.meteredBytes = 0, 0, -1, 0
	}
}

func (n *network) sum(value func(Counters) int64) int64 {
	total := int64(0)
	for _, each := range n.nodes {
		total += value(each.replica.Counters())
	}
	return total
}
