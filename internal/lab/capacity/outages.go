package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"slatemux/internal/verdicts"
)

// maxTrackedOutages is the maximum number of outages that begin during the run. Their arrival at the relays is tracked. All other outages
// exist from the beginning of the run.
const maxTrackedOutages = 200

// outageCarrier distributes outages of destinations with internal/verdicts and internal/spread.
type outageCarrier struct {
	spreadCarrier
	announcements  [][]announcement // by relay
	repeatInterval time.Duration
}

// announcement is an outage that one relay announces repeatedly.
type announcement struct {
	due         time.Duration // next announcement, since the start of the simulation
	destination int
	tracked     bool
}

// announcementQueue is a heap of announcements, ordered by the time at which they are due.
type announcementQueue []announcement

func (q announcementQueue) Len() int           { return len(q) }
func (q announcementQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q announcementQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds an announcement.
func (q *announcementQueue) Push(x any) { *q = append(*q, x.(announcement)) }

// Pop removes and returns the last announcement.
func (q *announcementQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newOutageCarrier(e *Environment) (Carrier, error) {
	m := e.Scenario.Outages
	c := &outageCarrier{announcements: make([][]announcement, e.Relays), repeatInterval: seconds(m.RepeatS)}
	c.environment, c.announcers = e, make([]*verdicts.Announcer, e.Relays)
	c.trackedOutages = map[int]int{}
	rng := rand.New(rand.NewPCG(e.Seed, 0x0074))
	downDestinations := int(float64(m.Destinations) * m.DownShare)
	for destination := range downDestinations {
		tracked := destination < min(maxTrackedOutages, downDestinations/2)
		startsAt := time.Duration(rng.Float64() * float64(c.repeatInterval)) // an existing outage is at a random point of its interval
		if tracked {
			startsAt = e.Scenario.WarmUp + maxStartDelay + time.Duration(rng.Float64()*float64(e.Scenario.Length)/2)
		}
		for i, relay := range drawOrigins(rng, e.Relays, int(m.Origins)) {
			a := announcement{due: startsAt, destination: destination, tracked: tracked}
			if i > 0 {
				a.due += time.Duration(rng.Float64() * float64(c.repeatInterval))
			}
			c.announcements[relay] = append(c.announcements[relay], a)
		}
	}
	return c, nil
}

// drawOrigins returns distinct relays that are chosen at random.
func drawOrigins(rng *rand.Rand, relays, count int) (list []int) {
	for len(list) < min(count, relays) {
		if r := rng.IntN(relays); !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// Start creates a node. The node keeps what a spreadNode keeps of the previous process.
func (c *outageCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	var previous Node
	if p, ok := predecessor.(*outageNode); ok {
		previous = p.spreadNode
	}
	spreadNode, err := c.start(relay, incarnation, previous)
	if err != nil {
		return nil, err
	}
	n := &outageNode{spreadNode: spreadNode, carrier: c, startedAt: c.environment.Now(), queue: slices.Clone(c.announcements[relay])}
	heap.Init(&n.queue)
	return n, nil
}

// outageNode is a spreadNode that also announces outages.
type outageNode struct {
	*spreadNode
	carrier   *outageCarrier
	startedAt time.Duration // since the start of the simulation
	queue     announcementQueue
}

// Tick announces the outages that are due, and runs the spreadNode if it has work.
func (n *outageNode) Tick(now time.Duration) (messages []Message) {
	for len(n.queue) > 0 && n.queue[0].due <= now+n.startedAt {
		messages = append(messages, n.announceNext(now)...)
	}
	if n.spread.NextTick() <= now {
		messages = append(messages, n.spreadNode.Tick(now)...)
	}
	return messages
}

// announceNext announces the first outage of the queue and schedules its repetition.
func (n *outageNode) announceNext(now time.Duration) []Message {
	next := &n.queue[0]
	next.due += n.carrier.repeatInterval
	destination := next.destination
	if _, known := n.carrier.trackedOutages[destination]; next.tracked && !known {
		n.carrier.trackedOutages[destination] = n.environment.TrackChange()
	}
	heap.Fix(&n.queue, 0)
	s := n.announcer.Outage(destination, fmt.Sprintf("d-%06d", destination), now)
	if !n.store.Merge(now, s) {
		return nil
	}
	n.carrier.recordStatement(n.relay, s)
	return n.toMessages(n.spread.Announce(now, []verdicts.Statement{s}))
}

// NextTick returns the time of the next announcement or of the spreadNode's next work, whichever is earlier.
func (n *outageNode) NextTick() time.Duration {
	if len(n.queue) == 0 {
		return n.spread.NextTick()
	}
	return min(n.spread.NextTick(), n.queue[0].due-n.startedAt)
}
