package configsync

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// A property is a function of a seed and of the injected faults. Most tests check the properties without faults.
// TestInjectedFaultsAreDetected checks that the property that a fault should violate detects the fault.
type property func(seed uint64, faults injectedFaults) error

func checkProperty(t *testing.T, p property) {
	t.Helper()
	proptest.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		if err := p(seed, injectedFaults{}); err != nil {
			rt.Fatalf("seed %d: %v", seed, err)
		}
	})
}

func TestMergeKeepsHighestChange(t *testing.T)            { checkProperty(t, mergeProperty) }
func TestTreeReachesAllMembers(t *testing.T)              { checkProperty(t, treeProperty) }
func TestNetworkConvergesAfterFaults(t *testing.T)        { checkProperty(t, networkProperty) }
func TestFleetConvergesDespiteHostileMember(t *testing.T) { checkProperty(t, hostileProperty) }
func TestReunionStaysWithinBudgets(t *testing.T)          { checkSeeds(t, reunionProperty, 3) }

// checkSeeds checks a slow property with a few seeds only.
func checkSeeds(t *testing.T, p property, seeds uint64) {
	t.Helper()
	for seed := range seeds {
		if err := p(seed, injectedFaults{}); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestInjectedFaultsAreDetected injects one fault at a time. It guards against properties that accept a faulty replica.
func TestInjectedFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		faults injectedFaults
		finds  property
	}{
		{"signatures are not verified", injectedFaults{skipVerification: true}, hostileProperty},
		{"the claim of a delta is accepted beyond its signatures", injectedFaults{acceptUnprovenThrough: true}, hostileProperty},
		{"digests are not compared", injectedFaults{ignoreDigests: true}, hostileProperty},
		{"the last change to arrive is in force", injectedFaults{lastArrivalWins: true}, mergeProperty},
		{"the watermark advances over gaps", injectedFaults{advanceOverGaps: true}, networkProperty},
		{"exchanges are not answered", injectedFaults{noAnswer: true}, networkProperty},
		{"lost pushes are not retried", injectedFaults{noRetry: true}, treeProperty},
		{"pushes are acknowledged and not forwarded", injectedFaults{noForward: true}, treeProperty},
		{"the scope is not divided", injectedFaults{scopeNotDivided: true}, treeProperty},
		{"a repeated push is forwarded again", injectedFaults{forwardDuplicates: true}, treeProperty},
		{"no repair budget", injectedFaults{unlimitedRepair: true}, reunionProperty},
		{"no byte budget", injectedFaults{unlimitedBytes: true}, burstProperty},
	}
	const seeds = 20
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := c.finds(seed, c.faults); err != nil {
					t.Logf("fault detected with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("fault not detected with %d seeds", seeds)
		})
	}
}

// signers sign with a keyed hash. The hash replaces Ed25519, which would be slow with many relays that verify many changes.
type signers map[string]uint64

var errForged = errors.New("forged signature")

func (s signers) Verify(change *Change) error {
	secret, ok := s[change.Source]
	if !ok || string(change.Signature) != string(s.signature(change, secret)) {
		return errForged
	}
	return nil
}

func (s signers) signature(change *Change, secret uint64) []byte {
	digest := xxhash.NewWithSeed(secret)
	_, _ = digest.Write(change.SigningBytes())
	return append(make([]byte, 56), binary.BigEndian.AppendUint64(nil, digest.Sum64())...)
}

func (s signers) sign(change *Change) {
	change.Signature = s.signature(change, s[change.Source])
}

// history holds the changes that a few sources have signed, and the change of each key that has to be in force.
type history struct {
	signers       signers
	sources       []string
	sequences     map[string]uint64
	revision      uint64
	keyCount      int
	changes       []Change
	expected      map[string]Change
	signedChanges map[string]bool // keyed by signature
	random        *rand.Rand
}

func newHistory(random *rand.Rand) *history {
	h := &history{signers: signers{}, sequences: map[string]uint64{}, expected: map[string]Change{}, signedChanges: map[string]bool{},
		keyCount: 1 + random.IntN(24), random: random}
	for i := range 1 + random.IntN(3) {
		source := fmt.Sprintf("control-%d", i)
		h.sources = append(h.sources, source)
		h.signers[source] = random.Uint64()
	}
	return h
}

// next signs a change of a random source. Revisions of different sources may be equal, as for sources that do not know of each
// other's changes.
func (h *history) next() Change {
	source := h.sources[h.random.IntN(len(h.sources))]
	h.sequences[source]++
	h.revision += uint64(h.random.IntN(3))
	change := Change{Source: source, Sequence: h.sequences[source], Revision: h.revision + 1,
		Key: fmt.Sprintf("endpoint/%d", h.random.IntN(h.keyCount)), Removed: h.random.IntN(6) == 0}
	if !change.Removed {
		change.Value = make([]byte, h.random.IntN(160))
	}
	h.signers.sign(&change)
	h.add(change)
	return change
}

func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	h.signedChanges[string(change.Signature)] = true
	current, ok := h.expected[change.Key]
	if !ok || compareChanges(&change, &current) > 0 {
		h.expected[change.Key] = change
	}
}

// mergeProperty checks three facts. Stores that merge the same changes are equal, whatever the order, the grouping and the
// repetition. Merging never replaces a change with a lower one. The highest change of each key is in force.
func mergeProperty(seed uint64, faults injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 2))
	h := newHistory(random)
	for range 1 + random.IntN(40) {
		h.next()
	}
	var first *Store
	for range 4 {
		store := NewStore(h.signers, 1000)
		store.faults = faults
		arrivals := slices.Clone(h.changes)
		for range random.IntN(10) {
			arrivals = append(arrivals, arrivals[random.IntN(len(arrivals))])
		}
		random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, change := range arrivals {
			if err := applyMonotonically(store, change); err != nil {
				return err
			}
		}
		if first == nil {
			first = store
		}
		if err := checkEqualStores(first, store, h.expected); err != nil {
			return err
		}
	}
	return nil
}

// applyMonotonically applies a change and returns an error if the change in force afterwards is lower than before or than the
// applied one.
func applyMonotonically(store *Store, change Change) error {
	before, existed := store.entries[change.Key]
	inForce, err := store.Apply(change)
	if err != nil {
		return err
	}
	after := store.entries[change.Key]
	if existed && compareChanges(after.change, before.change) < 0 {
		return fmt.Errorf("key %q: revision in force fell from %d to %d", change.Key, before.change.Revision, after.change.Revision)
	}
	if compareChanges(after.change, &change) < 0 {
		return fmt.Errorf("key %q: revision in force is below the applied revision %d", change.Key, change.Revision)
	}
	if changed := !existed || compareChanges(after.change, before.change) != 0; changed != inForce {
		return fmt.Errorf("key %q: Apply reported %t, entry changed %t", change.Key, inForce, changed)
	}
	return nil
}

func checkEqualStores(a, b *Store, expected map[string]Change) error {
	if a.Digest() != b.Digest() || !equalVersions(a.Versions(), b.Versions()) {
		return fmt.Errorf("stores differ: digests %x and %x, vectors %v and %v", a.Digest(), b.Digest(), a.Versions(), b.Versions())
	}
	entries := b.Entries()
	if len(entries) != len(expected) {
		return fmt.Errorf("store holds %d entries, want %d", len(entries), len(expected))
	}
	for i := range entries {
		want := expected[entries[i].Key]
		if compareChanges(&entries[i], &want) != 0 {
			return fmt.Errorf("key %q: highest change is not in force", entries[i].Key)
		}
		got, ok := b.Get(want.Key)
		if ok == want.Removed || ok && compareChanges(&got, &want) != 0 {
			return fmt.Errorf("Get(%q) does not return the change in force", want.Key)
		}
	}
	return nil
}

// checkApplied makes a network fail if a change comes into force that the history does not hold, or that is not higher than the
// previous change of its key at the same node.
func (h *history) checkApplied(n *network) {
	highest := map[string]Change{}
	n.onApplied = func(on *node, change *Change) {
		if !h.signedChanges[string(change.Signature)] {
			n.fail(fmt.Errorf("%s has an untrusted change of %q in force", on.member.Name, change.Key))
		}
		nodeAndKey := on.member.Name + "\x00" + change.Key
		before, ok := highest[nodeAndKey]
		if ok && compareChanges(change, &before) <= 0 {
			n.fail(fmt.Errorf("%s replaced the change in force of %q with one that is not higher", on.member.Name, change.Key))
		}
		highest[nodeAndKey] = *change
	}
}

// publishAnywhere publishes a new change on a random node that is up and not intercepted.
func (h *history) publishAnywhere(n *network) {
	up := slices.DeleteFunc(slices.Clone(n.nodes), func(x *node) bool { return x.down || x.intercept != nil })
	if len(up) > 0 {
		n.publish(up[n.random.IntN(len(up))], h.next())
	}
}

// treeProperty checks the tree without anti-entropy, at 5 % packet loss. A push reaches all relays within the time of its hops
// and retries. No relay sends a push to more than FanOut members. Lost acknowledgements do not multiply pushes.
func treeProperty(seed uint64, faults injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 3))
	h := newHistory(random)
	count := 2 + random.IntN(200)
	n := newNetwork(seed, fleetMembers(count, 1+random.IntN(3), 1+random.IntN(3)), h.signers, faults)
	n.config.ExchangeInterval = time.Hour
	n.config.MaxAttempts = 8
	n.config.FanOut = 2 + random.IntN(4)
	n.lossProbability = 0.05
	n.duplicateProbability = 0.05
	h.checkApplied(n)
	n.startAll()
	n.run(time.Second)
	h.publishAnywhere(n)
	depth := treeDepth(count, n.config.FanOut)
	retries := n.config.maxPathRetries(count, depth, n.lossProbability)
	n.run(n.now + time.Duration(depth)*maxOneWayDelay + time.Duration(retries)*n.config.AckTimeout)
	if n.err != nil {
		return n.err
	}
	if err := n.checkConverged(h.expected); err != nil {
		return err
	}
	const morePublishes = 9
	for range morePublishes {
		h.publishAnywhere(n)
		n.run(n.now + 10*time.Second)
	}
	if err := n.checkConverged(h.expected); err != nil {
		return err
	}
	return n.checkTreeCost(count, 1+morePublishes)
}

// checkTreeCost returns an error if the fleet has sent more pushes than the given number of trees over count members can take.
func (n *network) checkTreeCost(count, trees int) error {
	for _, each := range n.nodes {
		if each.maxPushesPerMessage > n.config.FanOut {
			return fmt.Errorf("%s forwarded a push to %d members", each.member.Name, each.maxPushesPerMessage)
		}
	}
	pushes := n.sum(func(c Counters) int64 { return c.Pushes })
	// A lost packet or acknowledgement costs one more push, about 0.11 for each member at 5 % loss. If the acknowledgement of a
	// scope's holder is lost, with probability 0.05 at each of at most 8 levels, the scope is sent twice. 40 allows for chance
	// in small fleets.
	maxPushes := int64(float64(trees*count)*1.6) + 40
	if pushes > maxPushes {
		return fmt.Errorf("%d pushes to %d members, want at most %d", pushes, count, maxPushes)
	}
	return nil
}

// networkProperty exposes relays to packet loss, duplication, reordering, restarts, network partitions, different views, and a
// member that does not forward pushes. All relays hold the same entries some time after the faults end, and no relay pulls
// everything again.
func networkProperty(seed uint64, faults injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 4))
	h := newHistory(random)
	count := 2 + random.IntN(20)
	n := newNetwork(seed, fleetMembers(count, 1+random.IntN(3), 1+random.IntN(2)), h.signers, faults)
	n.lossProbability = random.Float64() * 0.2
	n.duplicateProbability = random.Float64() * 0.1
	maxDelay := time.Duration(1 + random.Int64N(int64(300*time.Millisecond)))
	n.delay = func(_, _ *node) time.Duration { return time.Duration(random.Int64N(int64(maxDelay))) }
	h.checkApplied(n)
	n.startAll()
	const faultsEnd = 30 * time.Second
	scheduleFaults(n, random, faultsEnd)
	for range 1 + random.IntN(40) {
		n.schedule(time.Duration(random.Int64N(int64(faultsEnd))), func() { h.publishAnywhere(n) })
	}
	n.run(faultsEnd)
	n.heal()
	n.run(faultsEnd + n.config.PropagationBound(count, maxDelay, n.lossProbability) + n.repairTime(h))
	if n.err != nil {
		return n.err
	}
	if err := n.checkConverged(h.expected); err != nil {
		return err
	}
	if rewinds := n.sum(func(c Counters) int64 { return c.Rewinds }); rewinds > 0 {
		return fmt.Errorf("%d rewinds of stores, want none", rewinds)
	}
	return n.checkBudgets()
}

// repairTime returns the time that one relay may take to send all changes to another relay twice, including some failed
// exchanges.
func (n *network) repairTime(h *history) time.Duration {
	bytes := 0
	for i := range h.changes {
		bytes += headerBytes + 40 + changesSize(h.changes[i:i+1])
	}
	return time.Duration(2*float64(bytes)/n.config.RepairBytesPerSecond*float64(time.Second)) + 20*n.config.ExchangeInterval
}

// scheduleFaults schedules a random set of faults that begin before the given time. heal ends them, except for a node that
// acknowledges without forwarding.
func scheduleFaults(n *network, random *rand.Rand, end time.Duration) {
	randomTime := func() time.Duration { return time.Duration(random.Int64N(int64(end))) }
	for range random.IntN(5) {
		stopped := n.nodes[random.IntN(len(n.nodes))]
		n.schedule(randomTime(), func() { n.restart(stopped, time.Duration(random.Int64N(int64(8*time.Second)))) })
	}
	if random.IntN(2) == 0 {
		from, until := randomTime(), randomTime()
		side := random.IntN(len(n.nodes)) + 1
		n.isCut = func(a, b *node) bool {
			apart := slices.Index(n.nodes, a) < side != (slices.Index(n.nodes, b) < side)
			return apart && n.now >= from && n.now < until
		}
	}
	if random.IntN(2) == 0 {
		for _, each := range n.nodes {
			n.schedule(randomTime(), func() {
				if !each.down {
					each.replica.SetMembership(n.now, partialView(n, each, random))
				}
			})
		}
	}
	if len(n.nodes) > 3 && random.IntN(2) == 0 {
		n.ackWithoutForwarding(n.nodes[random.IntN(len(n.nodes))])
	}
}

// partialView returns a membership that lacks some members but includes its owner.
func partialView(n *network, owner *node, random *rand.Rand) *Membership {
	var members []Member
	for _, each := range n.nodes {
		if each == owner || random.IntN(4) > 0 {
			members = append(members, each.member)
		}
	}
	return NewMembership(members)
}

// ackWithoutForwarding makes a node acknowledge pushes and do nothing else.
func (n *network) ackWithoutForwarding(muted *node) {
	muted.intercept = func(from string, message Message) bool {
		if message.Push != nil {
			n.transmit(muted, OutgoingMessage{To: from, Message: Message{Ack: &Ack{Number: message.Push.Number}}})
		}
		return true
	}
}

// heal ends partitions and different views, and starts the nodes that are down.
func (n *network) heal() {
	n.isCut = nil
	for _, each := range n.nodes {
		if each.down {
			n.start(each, n.fullMembership, each.store.Entries(), each.store.Versions())
		}
		each.replica.SetMembership(n.now, n.fullMembership)
		n.scheduleTick(each)
	}
}

// hostileProperty runs a fleet with a hostile member. The member forges changes, claims to cover changes that it withholds or
// that do not exist, and sends invalid version vectors. No untrusted change comes into force, and the other relays become equal
// after the attack ends.
func hostileProperty(seed uint64, faults injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 5))
	h := newHistory(random)
	count := 3 + random.IntN(12)
	n := newNetwork(seed, fleetMembers(count, 1+random.IntN(3), 1), h.signers, faults)
	n.lossProbability = 0.25
	h.checkApplied(n)
	n.startAll()
	hostile := n.nodes[random.IntN(count)]
	n.ackWithoutForwarding(hostile)
	const attackEnd = 20 * time.Second
	for when := 100 * time.Millisecond; when < attackEnd; when += 150 * time.Millisecond {
		n.schedule(when, func() { n.attack(hostile, h, random) })
	}
	for range 5 + random.IntN(20) {
		n.schedule(time.Duration(random.Int64N(int64(attackEnd+10*time.Second))), func() {
			h.publishAnywhere(n)
			n.sendIncompleteDeltas(hostile, h, random)
		})
	}
	const rewinds = 3
	n.run(attackEnd + 10*time.Second + rewinds*(minRewindInterval+n.repairTime(h)))
	if n.err != nil {
		return n.err
	}
	if err := n.checkConverged(h.expected); err != nil {
		return err
	}
	return n.checkBudgets()
}

// attack sends one malicious message to a random member.
func (n *network) attack(hostile *node, h *history, random *rand.Rand) {
	victim := n.nodes[random.IntN(len(n.nodes))]
	if victim == hostile || len(h.changes) == 0 {
		return
	}
	signed := h.changes[random.IntN(len(h.changes))]
	var message Message
	switch random.IntN(5) {
	case 0:
		message = incompleteDelta(h)
	case 1: // the source has not signed this many changes
		unsigned := signed
		unsigned.Sequence = 1 << 40
		changes := []Change{signed, unsigned}
		message.Exchange = &Exchange{Deltas: []Delta{{Source: signed.Source, Through: unsigned.Sequence, Changes: changes}}}
	case 2:
		forged := signed
		forged.Revision, forged.Value, forged.Removed = 1<<40, []byte("forged"), false
		message.Push = &Push{Number: 1, Scope: Scope{Low: firstPosition, High: lastPosition}, Changes: []Change{forged}}
	case 3:
		message.Exchange = &Exchange{WantsReply: true, Versions: VersionVector{signed.Source: 1 << 50, "nobody": 7}, Digest: 1}
	case 4:
		message.Exchange = &Exchange{WantsReply: true, Versions: victim.store.Versions(), Digest: random.Uint64()}
	}
	n.schedule(n.now, func() { n.receive(hostile, victim, message) })
}

// incompleteDelta returns a message that claims to cover all changes up to the newest one and contains only the newest one.
func incompleteDelta(h *history) Message {
	newest := h.changes[len(h.changes)-1]
	delta := Delta{Source: newest.Source, Through: newest.Sequence, Changes: []Change{newest}}
	return Message{Exchange: &Exchange{Deltas: []Delta{delta}}}
}

// sendIncompleteDeltas sends an incompleteDelta to a third of the members before they receive the newest change and the changes
// before it.
func (n *network) sendIncompleteDeltas(hostile *node, h *history, random *rand.Rand) {
	for _, victim := range n.nodes {
		if victim != hostile && random.IntN(3) == 0 {
			n.schedule(n.now, func() { n.receive(hostile, victim, incompleteDelta(h)) })
		}
	}
}

// reunionProperty reunites two parts of a fleet after a long partition in which both parts made changes. The peak second of the
// busiest relay is at most twice the peak of ordinary operation, deltas stay within their budget, and all relays become equal.
func reunionProperty(seed uint64, faults injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 6))
	h := newHistory(random)
	h.keyCount = 2000
	n := newNetwork(seed, fleetMembers(64, 2, 3), h.signers, faults)
	n.lossProbability = 0.01
	h.checkApplied(n)
	n.startAll()
	for second := range 60 { // ordinary operation, with a burst
		n.schedule(time.Duration(5+second)*time.Second, func() { h.publishAnywhere(n) })
	}
	for i := range 20 {
		n.schedule(40*time.Second+time.Duration(i)*50*time.Millisecond, func() { h.publishAnywhere(n) })
	}
	n.run(70 * time.Second)
	ordinaryPeakBytes := n.maxOverNodes(func(x *node) int64 { return x.peakSecondBytes })

	n.separate()
	for range 580 {
		n.schedule(n.now+time.Duration(random.Int64N(int64(580*time.Second))), func() { h.publishAnywhere(n) })
	}
	n.run(n.now + 600*time.Second)
	n.resetPeaks()
	n.heal()
	reunitedAt := n.now
	for n.checkConverged(h.expected) != nil && n.err == nil && n.now < reunitedAt+time.Hour {
		n.run(n.now + 5*time.Second)
	}
	reunionPeakBytes := n.maxOverNodes(func(x *node) int64 { return x.peakSecondBytes })
	if n.err != nil {
		return n.err
	}
	if took := n.now - reunitedAt; took > 20*time.Minute {
		return fmt.Errorf("stores not equal %v after the reunion: %w; counters %+v, vector %v", took,
			n.checkConverged(h.expected), n.nodes[0].replica.Counters(), n.nodes[0].store.Versions())
	}
	if reunionPeakBytes > 2*ordinaryPeakBytes {
		return fmt.Errorf("peak second of the reunion is %d bytes, peak second of ordinary operation is %d bytes",
			reunionPeakBytes, ordinaryPeakBytes)
	}
	if err := n.checkRepairBudgets(); err != nil {
		return err
	}
	return n.checkBudgets()
}

// separate partitions the regions. Each node then sees only the members of its own region.
func (n *network) separate() {
	n.isCut = func(a, b *node) bool { return a.member.Region != b.member.Region }
	views := map[string]*Membership{}
	for _, each := range n.nodes {
		region := each.member.Region
		if views[region] == nil {
			var members []Member
			for _, other := range n.nodes {
				if other.member.Region == region {
					members = append(members, other.member)
				}
			}
			views[region] = NewMembership(members)
		}
		each.replica.SetMembership(n.now, views[region])
	}
}

// checkRepairBudgets returns an error if the deltas of a node exceed their budget in any interval.
func (n *network) checkRepairBudgets() error {
	allowed := float64(repairBurstPackets * n.config.MaxPacketBytes)
	for _, each := range n.nodes {
		if each.repairMeter.maxLevelBytes > allowed+1 {
			return fmt.Errorf("%s exceeds its repair budget by %.0f bytes", each.member.Name, each.repairMeter.maxLevelBytes-allowed)
		}
	}
	return nil
}

// burstProperty checks that no relay exceeds its byte budget in any interval, however many changes are published, and that all
// relays become equal.
func burstProperty(seed uint64, faults injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 7))
	h := newHistory(random)
	h.keyCount = 1000
	n := newNetwork(seed, fleetMembers(20+random.IntN(60), 2, 2), h.signers, faults)
	n.lossProbability = 0.01
	h.checkApplied(n)
	n.startAll()
	for range 150 {
		n.schedule(2*time.Second+time.Duration(random.Int64N(int64(2*time.Second))), func() { h.publishAnywhere(n) })
	}
	n.run(5*time.Minute + n.repairTime(h))
	if n.err != nil {
		return n.err
	}
	if err := n.checkBudgets(); err != nil {
		return err
	}
	return n.checkConverged(h.expected)
}

func TestBurstStaysWithinByteBudget(t *testing.T) { checkSeeds(t, burstProperty, 5) }
