package configsync

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// controller numbers the changes of one source like a control machine does.
type controller struct {
	source   string
	sequence uint64
}

// next returns a change of about 200 bytes to a key that no other change has.
func (c *controller) next() Change {
	c.sequence++
	return Change{Source: c.source, Sequence: c.sequence, Revision: c.sequence, Value: make([]byte, 90),
		Key: fmt.Sprintf("endpoint/s-%s-%06d", c.source, c.sequence), Signature: make([]byte, 64)}
}

// changeLatencies records how long each change, identified by its key, took to come into force at each relay.
type changeLatencies struct {
	publishedAt map[string]time.Duration
	latencies   map[string]map[*node]time.Duration
}

func recordLatencies(n *network) *changeLatencies {
	a := &changeLatencies{publishedAt: map[string]time.Duration{}, latencies: map[string]map[*node]time.Duration{}}
	n.onApplied = func(on *node, change *Change) {
		at, ok := a.publishedAt[change.Key]
		if !ok {
			return
		}
		if a.latencies[change.Key] == nil {
			a.latencies[change.Key] = map[*node]time.Duration{}
		}
		a.latencies[change.Key][on] = n.now - at
	}
	return a
}

func (a *changeLatencies) publish(n *network, on *node, c *controller) {
	change := c.next()
	a.publishedAt[change.Key] = n.now
	n.publish(on, change)
}

// slowestPerChange returns for each change the time until all selected relays had it, in ascending order.
func (a *changeLatencies) slowestPerChange(t *testing.T, n *network, isSelected func(*node) bool) []time.Duration {
	t.Helper()
	var slowestTimes []time.Duration
	for key := range a.publishedAt {
		slowest, missing := time.Duration(0), 0
		for _, each := range n.nodes {
			took, ok := a.latencies[key][each]
			if !isSelected(each) {
				continue
			}
			if !ok {
				missing++
			}
			slowest = max(slowest, took)
		}
		if missing > 0 {
			t.Errorf("change of %s did not reach %d relays", key, missing)
		}
		slowestTimes = append(slowestTimes, slowest)
	}
	slices.Sort(slowestTimes)
	return slowestTimes
}

func isNodeUp(each *node) bool { return !each.down }

// logCounters logs the sums of the counters of all replicas.
func (n *network) logCounters(t *testing.T, phase string) {
	t.Helper()
	t.Logf("%s: busiest second %d B; retries %d abandoned %d repaired %d duplicates %d over budget %d", phase,
		n.maxOverNodes(func(x *node) int64 { return x.peakSecondBytes }), n.sum(func(c Counters) int64 { return c.Retries }),
		n.sum(func(c Counters) int64 { return c.Abandoned }), n.sum(func(c Counters) int64 { return c.Repaired }),
		n.sum(func(c Counters) int64 { return c.Duplicates }), n.sum(func(c Counters) int64 { return c.OverBudget }))
}

// Goals for a fleet of 3,900 relays.
const (
	maxFleetRelays           = 3900
	maxBusiestBytesPerSecond = 2500
	maxTimeToAll             = 7 * time.Second
)

// TestFullFleet runs the largest fleet at 1 % packet loss. It publishes ordinary changes and then a burst of 20. Finally a zone
// fails, stays in the membership for 10 s more, and other relays restart.
func TestFullFleet(t *testing.T) {
	n := newNetwork(1, fleetMembers(maxFleetRelays, 3, 3), acceptAll{}, injectedFaults{})
	n.lossProbability = 0.01
	n.startAll()
	n.run(5 * time.Second)
	n.resetPeaks()
	source := &controller{source: "control-1"}
	startedAt := n.now

	ordinary := recordLatencies(n)
	for i := range 5 {
		n.schedule(n.now+time.Duration(i)*6*time.Second, func() { ordinary.publish(n, n.nodes[17], source) })
	}
	n.run(n.now + 30*time.Second)
	n.logCounters(t, "ordinary")
	slowestTimes := ordinary.slowestPerChange(t, n, isNodeUp)
	bound := n.config.PropagationBound(maxFleetRelays, maxOneWayDelay, n.lossProbability)
	t.Logf("ordinary: changes reached all relays after %v, bound %v", slowestTimes, bound)
	if slowestTimes[len(slowestTimes)-1] > bound {
		t.Errorf("change reached all relays after %v, above the bound of %v", slowestTimes[len(slowestTimes)-1], bound)
	}

	burst := recordLatencies(n)
	for i := range 20 {
		n.schedule(n.now+time.Duration(i)*50*time.Millisecond, func() { burst.publish(n, n.nodes[17], source) })
	}
	n.run(n.now + 10*time.Second)
	n.logCounters(t, "burst")
	slowestTimes = burst.slowestPerChange(t, n, isNodeUp)
	t.Logf("burst: changes reached all relays after %v to %v", slowestTimes[0], slowestTimes[len(slowestTimes)-1])
	if slowestTimes[len(slowestTimes)-1] > maxTimeToAll {
		t.Errorf("burst reached all relays after %v", slowestTimes[len(slowestTimes)-1])
	}
	busiest := float64(n.maxOverNodes(func(x *node) int64 { return x.totalBytes })) / (n.now - startedAt).Seconds()
	t.Logf("busiest relay sends %.0f B/s during the %v that include the burst", busiest, n.now-startedAt)
	if busiest > maxBusiestBytesPerSecond {
		t.Errorf("busiest relay sends %.0f B/s", busiest)
	}

	n.loseZone(t, source)
	if err := n.checkBudgets(); err != nil {
		t.Error(err)
	}
	if n.err != nil {
		t.Error(n.err)
	}
}

// loseZone publishes changes while a whole zone is down but still in the membership, and while relays of other zones restart.
func (n *network) loseZone(t *testing.T, source *controller) {
	t.Helper()
	const membershipDelay = 10 * time.Second
	var remainingMembers []Member
	for _, each := range n.nodes {
		if each.member.Region == "region-1" && each.member.Zone == "zone-1" {
			each.down = true
		} else {
			remainingMembers = append(remainingMembers, each.member)
		}
	}
	failedAt, remaining := n.now, NewMembership(remainingMembers)
	restarted := map[*node]bool{}
	for i := range 20 {
		each := n.nodes[n.random.IntN(len(n.nodes))]
		if each.down || each == n.nodes[17] {
			continue
		}
		restarted[each] = true
		n.schedule(n.now+time.Duration(i)*200*time.Millisecond, func() { n.restart(each, 2*time.Second) })
	}
	latencies := recordLatencies(n)
	for i := range 4 {
		n.schedule(n.now+time.Duration(i)*2*time.Second, func() { latencies.publish(n, n.nodes[17], source) })
	}
	n.run(failedAt + membershipDelay)
	for _, each := range n.nodes {
		if !each.down {
			each.replica.SetMembership(n.now, remaining)
			n.scheduleTick(each)
		}
	}
	n.run(failedAt + membershipDelay + 10*time.Second)
	n.logCounters(t, "zone lost")
	slowestTimes := latencies.slowestPerChange(t, n, func(each *node) bool { return isNodeUp(each) && !restarted[each] })
	t.Logf("zone lost: changes reached all relays after %v", slowestTimes)
	if slowestTimes[len(slowestTimes)-1] > maxTimeToAll {
		t.Errorf("change reached all relays after %v while a zone is down", slowestTimes[len(slowestTimes)-1])
	}
	latencies.slowestPerChange(t, n, isNodeUp) // restarted relays also know all changes
}

// TestBoundHolds checks that at most one of 100 changes takes longer than its bound. The bound allows one in 1,000.
func TestBoundHolds(t *testing.T) {
	for _, c := range []struct {
		relays int
		loss   float64
	}{{2, 0.01}, {16, 0.01}, {64, 0}, {64, 0.05}, {128, 0.01}, {128, 0.1}} {
		const changes = 100
		n := newNetwork(uint64(c.relays), fleetMembers(c.relays, 3, 2), acceptAll{}, injectedFaults{})
		n.lossProbability = c.loss
		n.startAll()
		latencies := recordLatencies(n)
		source := &controller{source: "control-1"}
		for i := range changes {
			n.schedule(time.Duration(i+1)*3*time.Second, func() { latencies.publish(n, n.nodes[i%c.relays], source) })
		}
		n.run((changes + 20) * 3 * time.Second)
		bound := n.config.PropagationBound(c.relays, maxOneWayDelay, c.loss)
		slowestTimes := latencies.slowestPerChange(t, n, isNodeUp)
		t.Logf("%d relays, loss %.2f: median %v, 99th of 100 %v, slowest %v, bound %v", c.relays, c.loss, slowestTimes[changes/2],
			slowestTimes[changes-2], slowestTimes[changes-1], bound)
		if slowestTimes[changes-2] > bound {
			t.Errorf("%d relays, loss %.2f: two changes of %d took longer than the bound of %v", c.relays, c.loss, changes, bound)
		}
	}
}

// TestCostGrowsNoFasterThanSquareRoot checks that the bytes of the busiest relay grow no faster than the square root of the fleet's
// size.
func TestCostGrowsNoFasterThanSquareRoot(t *testing.T) {
	costs := map[int]float64{}
	sizes := []int{16, 64, 256, 1024}
	for _, relays := range sizes {
		n := newNetwork(uint64(relays), fleetMembers(relays, 3, 3), acceptAll{}, injectedFaults{})
		n.lossProbability = 0.01
		n.startAll()
		n.run(5 * time.Second)
		n.resetPeaks()
		latencies := recordLatencies(n)
		source := &controller{source: "control-1"}
		const changes = 10
		for i := range changes {
			n.schedule(n.now+time.Duration(i)*6*time.Second, func() { latencies.publish(n, n.nodes[i%relays], source) })
		}
		startedAt := n.now
		n.run(startedAt + changes*6*time.Second)
		costs[relays] = float64(n.maxOverNodes(func(x *node) int64 { return x.totalBytes })) / (n.now - startedAt).Seconds()
		mean := float64(n.sum(func(c Counters) int64 { return c.SentBytes })) / float64(relays) / n.now.Seconds()
		t.Logf("%d relays: busiest %.0f B/s, mean %.0f B/s", relays, costs[relays], mean)
		latencies.slowestPerChange(t, n, isNodeUp)
	}
	for i, larger := range sizes {
		for _, smaller := range sizes[:i] {
			if growth := costs[larger] / costs[smaller]; growth > math.Sqrt(float64(larger)/float64(smaller)) {
				t.Errorf("from %d to %d relays, the bytes of the busiest relay grow by a factor of %.2f", smaller, larger, growth)
			}
		}
	}
}

// TestTreeSendsOnceWithoutLoss checks that no member receives a push twice. The exception is the publishing relay, which
// belongs to one part at each level of the tree.
func TestTreeSendsOnceWithoutLoss(t *testing.T) {
	const relays = 500
	n := newNetwork(9, fleetMembers(relays, 3, 3), acceptAll{}, injectedFaults{})
	n.config.ExchangeInterval = time.Hour
	n.startAll()
	latencies := recordLatencies(n)
	source := &controller{source: "control-1"}
	n.run(time.Second)
	latencies.publish(n, n.nodes[3], source)
	n.run(5 * time.Second)
	latencies.slowestPerChange(t, n, isNodeUp)
	pushes := n.sum(func(c Counters) int64 { return c.Pushes })
	if maxPushes := int64(relays + treeDepth(relays, n.config.FanOut)); pushes > maxPushes {
		t.Errorf("%d pushes to %d relays, want at most %d", pushes, relays, maxPushes)
	}
	if retries := n.sum(func(c Counters) int64 { return c.Retries }); retries > 0 {
		t.Errorf("%d retries without loss", retries)
	}
}
