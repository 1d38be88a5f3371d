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

// The properties of this file are functions of a seed and of planted defects. The tests check them without any;
// TestPlantedDefects checks that each defect is found by the property that it should violate.
type property func(seed uint64, planted injectedFaults) error

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
func TestNetworksConverge(t *testing.T)                   { checkProperty(t, networkProperty) }
func TestFleetConvergesDespiteHostileMember(t *testing.T) { checkProperty(t, hostileProperty) }
func TestReunionStaysWithinBudgets(t *testing.T)          { checkSeeds(t, reunionProperty, 3) }

// checkSeeds checks a property that takes long for a few seeds.
func checkSeeds(t *testing.T, p property, seeds uint64) {
	t.Helper()
	for seed := range seeds {
		if err := p(seed, injectedFaults{}); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// TestInjectedFaultsAreDetected switches defects on, one by one: a property that does not notice is worth nothing.
func TestInjectedFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name    string
		planted injectedFaults
		finds   property
	}{
		{"no signature check", injectedFaults{skipVerification: true}, hostileProperty},
		{"a delta's claim is trusted beyond its signatures", injectedFaults{trustThrough: true}, hostileProperty},
		{"digests are not compared", injectedFaults{digestIgnored: true}, hostileProperty},
		{"the last arrival wins", injectedFaults{lastArrivalWins: true}, mergeProperty},
		{"the watermark advances over gaps", injectedFaults{advanceOverGaps: true}, networkProperty},
		{"exchanges are not answered", injectedFaults{noAnswer: true}, networkProperty},
		{"no retry", injectedFaults{noRetry: true}, treeProperty},
		{"pushes are acknowledged and not passed on", injectedFaults{noForward: true}, treeProperty},
		{"the scope is not split", injectedFaults{scopeNotSplit: true}, treeProperty},
		{"a repeated push is passed on again", injectedFaults{duplicateForwards: true}, treeProperty},
		{"no repair budget", injectedFaults{unlimitedRepair: true}, reunionProperty},
		{"no byte budget", injectedFaults{unlimitedBytes: true}, burstProperty},
	}
	const seeds = 20
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := c.finds(seed, c.planted); err != nil {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found with %d seeds", seeds)
		})
	}
}

// signers sign by a keyed hash, which stands for Ed25519 where many relays verify many changes.
type signers map[string]uint64

var errForged = errors.New("forged")

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

// history is what a few sources have signed, and what is in force of it.
type history struct {
	signers       signers
	sources       []string
	sequences     map[string]uint64
	revision      uint64
	keys          int
	changes       []Change
	expected      map[string]Change
	signedChanges map[string]bool // by signature
	random        *rand.Rand
}

func newHistory(random *rand.Rand) *history {
	h := &history{signers: signers{}, sequences: map[string]uint64{}, expected: map[string]Change{}, signedChanges: map[string]bool{},
		keys: 1 + random.IntN(24), random: random}
	for i := range 1 + random.IntN(3) {
		source := fmt.Sprintf("control-%d", i)
		h.sources = append(h.sources, source)
		h.signers[source] = random.Uint64()
	}
	return h
}

// next signs a change of a random source. Revisions may be equal where sources do not know of each other's.
func (h *history) next() Change {
	source := h.sources[h.random.IntN(len(h.sources))]
	h.sequences[source]++
	h.revision += uint64(h.random.IntN(3))
	change := Change{Source: source, Sequence: h.sequences[source], Revision: h.revision + 1,
		Key: fmt.Sprintf("endpoint/%d", h.random.IntN(h.keys)), Removed: h.random.IntN(6) == 0}
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
	held, ok := h.expected[change.Key]
	if !ok || compareChanges(&change, &held) > 0 {
		h.expected[change.Key] = change
	}
}

// mergeProperty: stores that take the same changes in, in whatever order, grouping and number, are equal; merging never lowers
// what is in force; and what is in force is the maximum.
func mergeProperty(seed uint64, planted injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 2))
	h := newHistory(random)
	for range 1 + random.IntN(40) {
		h.next()
	}
	var first *Store
	for range 4 {
		store := NewStore(h.signers, 1000)
		store.faults = planted
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

// applyMonotonically applies a change and reports an error where a lower one is in force afterwards.
func applyMonotonically(store *Store, change Change) error {
	before, existed := store.entries[change.Key]
	inForce, err := store.Apply(change)
	if err != nil {
		return err
	}
	after := store.entries[change.Key]
	if existed && compareChanges(after.change, before.change) < 0 {
		return fmt.Errorf("%q went back from revision %d to %d", change.Key, before.change.Revision, after.change.Revision)
	}
	if compareChanges(after.change, &change) < 0 {
		return fmt.Errorf("%q did not rise to revision %d", change.Key, change.Revision)
	}
	if changed := !existed || compareChanges(after.change, before.change) != 0; changed != inForce {
		return fmt.Errorf("%q: reported %t, changed %t", change.Key, inForce, changed)
	}
	return nil
}

func checkEqualStores(a, b *Store, wanted map[string]Change) error {
	if a.Digest() != b.Digest() || !equalVersions(a.Versions(), b.Versions()) {
		return fmt.Errorf("digests %x and %x, vectors %v and %v", a.Digest(), b.Digest(), a.Versions(), b.Versions())
	}
	entries := b.Entries()
	if len(entries) != len(wanted) {
		return fmt.Errorf("%d entries of %d", len(entries), len(wanted))
	}
	for i := range entries {
		want := wanted[entries[i].Key]
		if compareChanges(&entries[i], &want) != 0 {
			return fmt.Errorf("%q is not the highest change", entries[i].Key)
		}
		got, ok := b.Get(want.Key)
		if ok == want.Removed || ok && compareChanges(&got, &want) != 0 {
			return fmt.Errorf("Get(%q) is wrong", want.Key)
		}
	}
	return nil
}

// checkApplied watches, on a network, that only what a history holds comes into force, and never a lower change after a higher.
func (h *history) checkApplied(n *network) {
	highest := map[string]Change{}
	n.onApplied = func(on *node, change *Change) {
		if !h.signedChanges[string(change.Signature)] {
			n.fail(fmt.Errorf("%s has an untrusted change of %q in force", on.member.Name, change.Key))
		}
		place := on.member.Name + "\x00" + change.Key
		before, ok := highest[place]
		if ok && compareChanges(change, &before) <= 0 {
			n.fail(fmt.Errorf("%s went back at %q", on.member.Name, change.Key))
		}
		highest[place] = *change
	}
}

// publishAnywhere publishes a new change on a random node that is up and takes part.
func (h *history) publishAnywhere(n *network) {
	up := slices.DeleteFunc(slices.Clone(n.nodes), func(x *node) bool { return x.down || x.intercept != nil })
	if len(up) > 0 {
		n.publish(up[n.random.IntN(len(up))], h.next())
	}
}

// treeProperty: without anti-entropy a push reaches all, at 5 % loss, within the time of its hops and retries; no relay sends it
// to more than FanOut members; and lost acknowledgements do not multiply it.
func treeProperty(seed uint64, planted injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 3))
	h := newHistory(random)
	count := 2 + random.IntN(200)
	n := newNetwork(seed, fleetMembers(count, 1+random.IntN(3), 1+random.IntN(3)), h.signers, planted)
	n.config.Exchange = time.Hour
	n.config.Attempts = 8
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
	const more = 9
	for range more {
		h.publishAnywhere(n)
		n.run(n.now + 10*time.Second)
	}
	if err := n.checkConverged(h.expected); err != nil {
		return err
	}
	return n.checkTreeCost(count, 1+more)
}

// checkTreeCost reports an error where the fleet has sent more pushes than a number of trees over count members can take.
func (n *network) checkTreeCost(count, trees int) error {
	for _, each := range n.nodes {
		if each.maxPushesPerMessage > n.config.FanOut {
			return fmt.Errorf("%s passed a push on to %d members", each.member.Name, each.maxPushesPerMessage)
		}
	}
	pushes := n.sum(func(c Counters) int64 { return c.Pushes })
	// A lost packet or acknowledgement costs one push more, at 5 % loss about 0.11 for each member; and a lost acknowledgement of
	// a scope's holder, with 0.05 at each of at most 8 levels, has that scope sent twice. 40 are for chance in small fleets.
	most := int64(float64(trees*count)*1.6) + 40
	if pushes > most {
		return fmt.Errorf("%d pushes to %d members, more than %d", pushes, count, most)
	}
	return nil
}

// networkProperty: relays with loss, duplication, reordering, restarts, cuts, different views and a member that passes nothing on
// end equal once the faults are over, and no relay pulls everything anew.
func networkProperty(seed uint64, planted injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 4))
	h := newHistory(random)
	count := 2 + random.IntN(20)
	n := newNetwork(seed, fleetMembers(count, 1+random.IntN(3), 1+random.IntN(2)), h.signers, planted)
	n.lossProbability = random.Float64() * 0.2
	n.duplicateProbability = random.Float64() * 0.1
	slowest := time.Duration(1 + random.Int64N(int64(300*time.Millisecond)))
	n.delay = func(_, _ *node) time.Duration { return time.Duration(random.Int64N(int64(slowest))) }
	h.checkApplied(n)
	n.startAll()
	const healed = 30 * time.Second
	scheduleFaults(n, random, healed)
	for range 1 + random.IntN(40) {
		n.at(time.Duration(random.Int64N(int64(healed))), func() { h.publishAnywhere(n) })
	}
	n.run(healed)
	n.heal()
	n.run(healed + n.config.Bound(count, slowest, n.lossProbability) + n.repairTime(h))
	if n.err != nil {
		return n.err
	}
	if err := n.checkConverged(h.expected); err != nil {
		return err
	}
	if rewinds := n.sum(func(c Counters) int64 { return c.Rewinds }); rewinds > 0 {
		return fmt.Errorf("%d times stores were taken for diverged", rewinds)
	}
	return n.checkBudgets()
}

// repairTime is how long one relay may take to send all changes to another twice, and some exchanges that fail.
func (n *network) repairTime(h *history) time.Duration {
	bytes := 0
	for i := range h.changes {
		bytes += headerBytes + 40 + changesSize(h.changes[i:i+1])
	}
	return time.Duration(2*float64(bytes)/n.config.RepairBytesPerSecond*float64(time.Second)) + 20*n.config.Exchange
}

// scheduleFaults schedules a random set of faults that all end at one moment.
func scheduleFaults(n *network, random *rand.Rand, end time.Duration) {
	moment := func() time.Duration { return time.Duration(random.Int64N(int64(end))) }
	for range random.IntN(5) {
		stopped := n.nodes[random.IntN(len(n.nodes))]
		n.at(moment(), func() { n.restart(stopped, time.Duration(random.Int64N(int64(8*time.Second)))) })
	}
	if random.IntN(2) == 0 {
		from, until := moment(), moment()
		side := random.IntN(len(n.nodes)) + 1
		n.isCut = func(a, b *node) bool {
			apart := slices.Index(n.nodes, a) < side != (slices.Index(n.nodes, b) < side)
			return apart && n.now >= from && n.now < until
		}
	}
	if random.IntN(2) == 0 {
		for _, each := range n.nodes {
			n.at(moment(), func() {
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

// partialView returns a view that lacks some members, but not its owner.
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
			n.transmit(muted, Send{To: from, Message: Message{Ack: &Ack{Number: message.Push.Number}}})
		}
		return true
	}
}

// heal ends cuts and different views and starts what is down.
func (n *network) heal() {
	n.isCut = nil
	for _, each := range n.nodes {
		if each.down {
			n.start(each, n.fullMembership, each.store.Entries(), each.store.Versions())
		}
		each.replica.SetMembership(n.now, n.fullMembership)
		n.schedule(each)
	}
}

// hostileProperty: a member that forges changes, claims to cover what it withholds and more than there is, and sends absurd
// vectors, brings nothing untrusted into force, and cannot keep the others from becoming equal once it stops.
func hostileProperty(seed uint64, planted injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 5))
	h := newHistory(random)
	count := 3 + random.IntN(12)
	n := newNetwork(seed, fleetMembers(count, 1+random.IntN(3), 1), h.signers, planted)
	n.lossProbability = 0.25
	h.checkApplied(n)
	n.startAll()
	hostile := n.nodes[random.IntN(count)]
	n.ackWithoutForwarding(hostile)
	const quiet = 20 * time.Second
	for when := 100 * time.Millisecond; when < quiet; when += 150 * time.Millisecond {
		n.at(when, func() { n.attack(hostile, h, random) })
	}
	for range 5 + random.IntN(20) {
		n.at(time.Duration(random.Int64N(int64(quiet+10*time.Second))), func() {
			h.publishAnywhere(n)
			n.sendIncompleteDeltas(hostile, h, random)
		})
	}
	const rewinds = 3
	n.run(quiet + 10*time.Second + rewinds*(minRewindInterval+n.repairTime(h)))
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
	genuine := h.changes[random.IntN(len(h.changes))]
	var message Message
	switch random.IntN(5) {
	case 0:
		message = incompleteDelta(h)
	case 1: // the source has not signed that many
		unsigned := genuine
		unsigned.Sequence = 1 << 40
		changes := []Change{genuine, unsigned}
		message.Exchange = &Exchange{Deltas: []Delta{{Source: genuine.Source, Through: unsigned.Sequence, Changes: changes}}}
	case 2:
		forged := genuine
		forged.Revision, forged.Value, forged.Removed = 1<<40, []byte("forged"), false
		message.Push = &Push{Number: 1, Scope: Scope{Low: firstPosition, High: lastPosition}, Changes: []Change{forged}}
	case 3:
		message.Exchange = &Exchange{Reply: true, Versions: VersionVector{genuine.Source: 1 << 50, "nobody": 7}, Digest: 1}
	case 4:
		message.Exchange = &Exchange{Reply: true, Versions: victim.store.Versions(), Digest: random.Uint64()}
	}
	n.at(n.now, func() { n.receive(hostile, victim, message) })
}

// incompleteDelta claims to cover all changes up to the newest one, and holds back what precedes it.
func incompleteDelta(h *history) Message {
	newest := h.changes[len(h.changes)-1]
	delta := Delta{Source: newest.Source, Through: newest.Sequence, Changes: []Change{newest}}
	return Message{Exchange: &Exchange{Deltas: []Delta{delta}}}
}

// sendIncompleteDeltas makes that claim before the newest change, and what precedes it, has come to a third of the members.
func (n *network) sendIncompleteDeltas(hostile *node, h *history, random *rand.Rand) {
	for _, victim := range n.nodes {
		if victim != hostile && random.IntN(3) == 0 {
			n.at(n.now, func() { n.receive(hostile, victim, incompleteDelta(h)) })
		}
	}
}

// reunionProperty: after a long cut, in which both sides have made changes, the busiest relay sends at most twice of what it
// sends in an ordinary second, deltas keep to their budget, and all end equal.
func reunionProperty(seed uint64, planted injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 6))
	h := newHistory(random)
	h.keys = 2000
	n := newNetwork(seed, fleetMembers(64, 2, 3), h.signers, planted)
	n.lossProbability = 0.01
	h.checkApplied(n)
	n.startAll()
	for second := range 60 { // the ordinary day, with a burst
		n.at(time.Duration(5+second)*time.Second, func() { h.publishAnywhere(n) })
	}
	for i := range 20 {
		n.at(40*time.Second+time.Duration(i)*50*time.Millisecond, func() { h.publishAnywhere(n) })
	}
	n.run(70 * time.Second)
	ordinary := n.maxOverNodes(func(x *node) int64 { return x.peakSecondBytes })

	n.separate()
	for range 580 {
		n.at(n.now+time.Duration(random.Int64N(int64(580*time.Second))), func() { h.publishAnywhere(n) })
	}
	n.run(n.now + 600*time.Second)
	n.resetPeaks()
	n.heal()
	reunited := n.now
	for n.checkConverged(h.expected) != nil && n.err == nil && n.now < reunited+time.Hour {
		n.run(n.now + 5*time.Second)
	}
	peak := n.maxOverNodes(func(x *node) int64 { return x.peakSecondBytes })
	if n.err != nil {
		return n.err
	}
	if took := n.now - reunited; took > 20*time.Minute {
		return fmt.Errorf("not equal %v after the reunion: %w; %+v %v", took,
			n.checkConverged(h.expected), n.nodes[0].replica.Counters(), n.nodes[0].store.Versions())
	}
	if peak > 2*ordinary {
		return fmt.Errorf("busiest second of the reunion %d bytes, of the ordinary day %d", peak, ordinary)
	}
	if err := n.checkRepairBudgets(); err != nil {
		return err
	}
	return n.checkBudgets()
}

// separate cuts the regions apart; each then sees only its own members.
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

// checkRepairBudgets reports an error where deltas exceed their budget in any interval.
func (n *network) checkRepairBudgets() error {
	allowed := float64(repairBurstPackets * n.config.MaxPacketBytes)
	for _, each := range n.nodes {
		if each.repairMeter.maxLevelBytes > allowed+1 {
			return fmt.Errorf("%s exceeds its repair bytes by %.0f", each.member.Name, each.repairMeter.maxLevelBytes-allowed)
		}
	}
	return nil
}

// burstProperty: however much is published, no relay sends more than its budget in any interval, and all end equal.
func burstProperty(seed uint64, planted injectedFaults) error {
	random := rand.New(rand.NewPCG(seed, 7))
	h := newHistory(random)
	h.keys = 1000
	n := newNetwork(seed, fleetMembers(20+random.IntN(60), 2, 2), h.signers, planted)
	n.lossProbability = 0.01
	h.checkApplied(n)
	n.startAll()
	for range 150 {
		n.at(2*time.Second+time.Duration(random.Int64N(int64(2*time.Second))), func() { h.publishAnywhere(n) })
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
