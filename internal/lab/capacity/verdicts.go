package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"slatemux/internal/verdicts"
)

// followedOutages is how many outages begin during the run and are followed to all relays; all others stand from its beginning.
const followedOutages = 200

// outageCarrier has relays announce outages of destinations, as the program does today.
type outageCarrier struct {
	spreadCarrier
	tasks  [][]outageTask // by relay
	repeat time.Duration
}

// outageTask is an outage that one relay announces.
type outageTask struct {
	next        time.Duration // since the start of the simulation
	destination int
	follow      bool
}

// outageQueue is ordered by what is next.
type outageQueue []outageTask

func (q outageQueue) Len() int           { return len(q) }
func (q outageQueue) Less(i, j int) bool { return q[i].next < q[j].next }
func (q outageQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a task.
func (q *outageQueue) Push(x any) { *q = append(*q, x.(outageTask)) }

// Pop takes the last one away.
func (q *outageQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newOutageCarrier(e *Environment) (Carrier, error) {
	m := e.Scenario.Outages
	c := &outageCarrier{tasks: make([][]outageTask, e.Relays), repeat: seconds(m.RepeatS)}
	c.environment, c.announcers = e, make([]*verdicts.Announcer, e.Relays)
	c.followed = map[int]int{}
	rng := rand.New(rand.NewPCG(e.Seed, 0x0074))
	down := int(float64(m.Destinations) * m.DownShare)
	for destination := range down {
		follow := destination < min(followedOutages, down/2)
		began := time.Duration(rng.Float64() * float64(c.repeat)) // one that stands is at some point of its repetition
		if follow {
			began = e.Scenario.WarmUp + startWithin + time.Duration(rng.Float64()*float64(e.Scenario.Length)/2)
		}
		for i, relay := range origins(rng, e.Relays, int(m.Origins)) {
			task := outageTask{next: began, destination: destination, follow: follow}
			if i > 0 {
				task.next += time.Duration(rng.Float64() * float64(c.repeat))
			}
			c.tasks[relay] = append(c.tasks[relay], task)
		}
	}
	return c, nil
}

// origins draws different relays.
func origins(rng *rand.Rand, relays, count int) (list []int) {
	for len(list) < min(count, relays) {
		if r := rng.IntN(relays); !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// Start begins a process.
func (c *outageCarrier) Start(relay int, incarnation uint64, predecessor Node) (Node, error) {
	var before Node
	if p, ok := predecessor.(*outageNode); ok {
		before = p.spreadNode
	}
	inner, err := c.start(relay, incarnation, before)
	if err != nil {
		return nil, err
	}
	n := &outageNode{spreadNode: inner, carrier: c, began: c.environment.Now(), queue: slices.Clone(c.tasks[relay])}
	heap.Init(&n.queue)
	return n, nil
}

// outageNode is a process of a relay that announces outages.
type outageNode struct {
	*spreadNode
	carrier *outageCarrier
	began   time.Duration
	queue   outageQueue
}

// Tick announces what is due, beside all that a spreadNode does.
func (n *outageNode) Tick(now time.Duration) (messages []Message) {
	for len(n.queue) > 0 && n.queue[0].next <= now+n.began {
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
	task.next += n.carrier.repeat
	destination := task.destination
	if _, known := n.carrier.followed[destination]; task.follow && !known {
		n.carrier.followed[destination] = n.environment.Follow()
	}
	heap.Fix(&n.queue, 0)
	s := n.announcer.Outage(destination, fmt.Sprintf("d-%06d", destination), now)
	if !n.store.Merge(now, s) {
		return nil
	}
	n.carrier.learned(n.relay, s)
	return n.messages(n.spread.Announce(now, []verdicts.Statement{s}))
}

// Due is when something is to be announced, or the spreadNode has something to do.
func (n *outageNode) Due() time.Duration {
	if len(n.queue) == 0 {
		return n.spread.Due()
	}
	return min(n.spread.Due(), n.queue[0].next-n.began)
}
