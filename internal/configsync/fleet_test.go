package configsync

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// controller numbers the changes of one source as a control machine does.
type controller struct {
	source   string
	sequence uint64
	signed   int
}

// next returns a change of some 200 bytes; revisions are the moments, as a Lamport clock of controllers that hear each other.
func (c *controller) next(now time.Duration, key string) Change {
	c.sequence++
	c.signed++
	return Change{Source: c.source, Sequence: c.sequence, Revision: uint64(now/time.Millisecond) + 1, Key: key,
		Value: make([]byte, 100), Signature: make([]byte, 64)}
}

// spreadTimes measures how long changes take to reach each relay.
type spreadTimes struct {
	published map[string]time.Duration // by the change's key
	times     map[string][]time.Duration
}

func watch(n *network) *spreadTimes {
	s := &spreadTimes{published: map[string]time.Duration{}, times: map[string][]time.Duration{}}
	n.onApplied = func(_ *node, change *Change) {
		if at, ok := s.published[change.Key]; ok {
			s.times[change.Key] = append(s.times[change.Key], n.now-at)
		}
	}
	return s
}

func (s *spreadTimes) publish(n *network, on *node, c *controller) {
	key := fmt.Sprintf("endpoint/s-%s-%06d", c.source, c.sequence+1)
	s.published[key] = n.now
	n.publish(on, c.next(n.now, key))
}

// last returns, over the changes, the times by which all of so many relays had them, ascending.
func (s *spreadTimes) last(t *testing.T, relays int) []time.Duration {
	t.Helper()
	var last []time.Duration
	for key := range s.published {
		times := s.times[key]
		if len(times) < relays {
			t.Errorf("%s reached %d of %d relays", key, len(times), relays)
			continue
		}
		slices.Sort(times)
		last = append(last, times[relays-1])
	}
	slices.Sort(last)
	return last
}

// TestFullFleet runs the ordinary day of the largest fleet at 1 % loss, with a burst and a zone that dies unnoticed.
func TestFullFleet(t *testing.T) {
	const relays = 3900
	n := newNetwork(1, fleetMembers(relays, 3, 3), acceptAll{}, plantedDefects{})
	n.loss = 0.01
	times := watch(n)
	n.startAll()
	n.run(5 * time.Second)
	n.resetPeaks()
	source := &controller{source: "control-1"}
	for i := range 8 {
		n.at(n.now+time.Duration(i)*6*time.Second, func() { times.publish(n, n.nodes[17], source) })
	}
	began := n.now
	n.run(began + 54*time.Second)
	seconds := (n.now - began).Seconds()
	busiest := float64(n.busiest(func(x *node) int64 { return x.total })) / seconds
	mean := float64(n.sum(func(c Counters) int64 { return c.SentBytes })) / relays / n.now.Seconds()
	last := times.last(t, relays)
	bound := n.config.Bound(relays, maxLatency, n.loss)
	t.Logf("ordinary: busiest %.0f B/s, peak second %d B, mean %.0f B/s; all know after %v, bound %v", busiest,
		n.busiest(func(x *node) int64 { return x.peak }), mean, last, bound)
	t.Logf("retries %d abandoned %d repaired %d over budget %d duplicates %d", n.sum(func(c Counters) int64 { return c.Retries }),
		n.sum(func(c Counters) int64 { return c.Abandoned }), n.sum(func(c Counters) int64 { return c.Repaired }),
		n.sum(func(c Counters) int64 { return c.OverBudget }), n.sum(func(c Counters) int64 { return c.Duplicates }))
	if err := n.checkBudgets(); err != nil {
		t.Error(err)
	}

	times = watch(n)
	n.resetPeaks()
	began = n.now
	for i := range 20 {
		n.at(n.now+time.Duration(i)*50*time.Millisecond, func() { times.publish(n, n.nodes[17], source) })
	}
	n.run(n.now + 12*time.Second)
	last = times.last(t, relays)
	t.Logf("burst: peak second %d B, all know after %v; over budget %d repaired %d", n.busiest(func(x *node) int64 { return x.peak }), last,
		n.sum(func(c Counters) int64 { return c.OverBudget }), n.sum(func(c Counters) int64 { return c.Repaired }))
	if err := n.checkBudgets(); err != nil {
		t.Error(err)
	}
}
