package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"slatemux/internal/verdicts"
)

// maxTrackedOutages is how many outages begin during the run and are followed to all relays; all others stand from its beginning.
const maxTrackedOutages = 200

// outageCarrier has relays announce outages of destinations, as the program does today.
type outageCarrier struct {
	spreadCarrier
	announcements  [][]announcement // by relay
	repeatInterval time.Duration
}

// announcement is an outage that one relay announces.
type announcement struct {
	due         time.Duration // since the start of the simulation
	destination int
	tracked     bool
}

// announcementQueue is ordered by what is next.
type announcementQueue []announcement

func (q announcementQueue) Len() int           { return len(q) }
func (q announcementQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q announcementQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a task.
func (q *announcementQueue) Push(x any) { *q = append(*q, x.(announcement)) }

// Pop takes the last one away.
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
		follow := destination < min(maxTrackedOutages, downDestinations/2)
		startsAt := time.Duration(rng.Float64() * float64(c.repeatInterval)) // one that stands is at some point of its repetition
		if follow {
			startsAt = e.Scenario.WarmUp + maxStartDelay + time.Duration(rng.Float64()*float64(e.Scenario.Length)/2)
		}
		for i, relay := range drawOrigins(rng, e.Relays, int(m.Origins)) {
			task := announcement{due: startsAt, destination: destination, tracked: follow}
			if i > 0 {
				task.due += time.Duration(rng.Float64() * float64(c.repeatInterval))
			}
			c.announcements[relay] = append(c.announcements[relay], task)
		}
	}
	return c, nil
}

// drawOrigins draws different relays.
func drawOrigins(rng *rand.Rand, relays, count int) (list []int) {
	for len(list) < min(count, relays) {
		if r := rng.IntN(relays); !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// Start begins a process.
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

// outageNode is a process of a relay that announces outages.
type outageNode struct {
	*spreadNode
	carrier   *outageCarrier
	startedAt time.Duration
	queue     announcementQueue
}

// Tick announces what is due, beside all that a spreadNode does.
func (n *outageNode) Tick(now time.Duration) (messages []Message) {
	for len(n.queue) > 0 && n.queue[0].due <= now+n.startedAt {
		messages = append(messages, n.announceNext(now)...)
	}
	if n.spread.Due() <= now {
		messages = append(messages, n.spreadNode.Tick(now)...)
	}
	return messages
}

// announceNext announces the outage that is next, and puts it off by the repetition.
func (n *outageNode) announceNext(now time.Duration) []Message {
	task := &n.queue[0]
	task.due += n.carrier.repeatInterval
	destination := task.destination
	if _, known := n.carrier.trackedOutages[destination]; task.tracked && !known {
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

// Due is when something is to be announced, or the spreadNode has something to do.
func (n *outageNode) Due() time.Duration {
	if len(n.queue) == 0 {
		return n.spread.Due()
	}
	return min(n.spread.Due(), n.queue[0].due-n.startedAt)
}
