package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
)

const (
	// reportedLimitProbability is the probability that the answers of a destination report the limit to a relay within one
	// referenceTick. internal/lab/limits uses the same values.
	reportedLimitProbability = 0.2
	referenceTick            = 10 * time.Millisecond
	// reportedLimitSpread is the maximum relative deviation of a reported limit from the true limit.
	reportedLimitSpread = 0.01
	// initialObservers is the number of relays that know the limits from the beginning.
	initialObservers = 3
	// warmUpLoans is the minimum length of the warm-up, in loan durations.
	warmUpLoans = 2
	// measuredHeartbeats is the minimum length of the measured time, in heartbeat intervals. A relay sends its claims once in each
	// interval.
	measuredHeartbeats = 3
	// demandLevel is the worth level of all calls.
	demandLevel = 1
)

// forSize returns the scenario for a fleet of the given size. The division of limits takes longer in a larger fleet, so forSize extends
// the warm-up and the measured time of a scenario with limits.
func (s *Scenario) forSize(relays int) *Scenario {
	if s.Limits == nil {
		return s
	}
	config := allowance.DefaultConfig(relays, spreadQuorum)
	sized := *s
	sized.WarmUp = max(s.WarmUp, warmUpLoans*config.LoanDuration)
	sized.Length = max(s.Length, measuredHeartbeats*config.HeartbeatInterval)
	return &sized
}

// limitsCarrier divides limits among the relays with internal/allowance. Each relay has the same demand for every destination.
type limitsCarrier struct {
	environment *Environment
	config      allowance.Config
	step        time.Duration // between two ticks of a node
}

func newLimitsCarrier(e *Environment) (Carrier, error) {
	return &limitsCarrier{environment: e, config: allowance.DefaultConfig(e.Relays, spreadQuorum), step: millis(e.Scenario.Limits.StepMs)}, nil
}

// Bound returns 0, because the division of limits has no change that all relays must know.
func (c *limitsCarrier) Bound() time.Duration { return 0 }

// Config returns the allowance configuration for the fleet size of the run.
func (c *limitsCarrier) Config() allowance.Config { return c.config }

// Start creates a node. The node keeps nothing of the previous process.
func (c *limitsCarrier) Start(relay int, incarnation uint64, _ Node) (Node, error) {
	m := c.environment.Scenario.Limits
	n := &limitsNode{carrier: c, relay: relay, rng: rand.New(rand.NewPCG(c.environment.Seed, uint64(relay))),
		limit: m.LimitPerRelay * float64(c.environment.Relays), destinations: make([]destinationDemand, m.Destinations)}
	n.nextTick = time.Duration(n.rng.Float64() * float64(c.step))
	n.lastTick = n.nextTick - c.step
	var err error
	n.allocator, err = allowance.NewAllocator(c.config, relayName(relay), incarnation, c.environment.Seed^uint64(relay)<<20, 0, incarnation > 1)
	return n, err
}

// limitsNode is a process of a relay with an allocator and with calls that wait to be sent.
type limitsNode struct {
	carrier            *limitsCarrier
	relay              int
	allocator          *allowance.Allocator
	rng                *rand.Rand
	limit              float64 // of each destination, for the whole fleet
	destinations       []destinationDemand
	nextTick, lastTick time.Duration
	packets            uint64
}

// destinationDemand holds a relay's allocation for one destination and its waiting calls.
type destinationDemand struct {
	allocation  allowance.Allocation
	allocatedAt time.Duration
	waiting     float64 // number of calls
}

// SetMembers replaces the members of the allocator. At the start, the first relays also learn the limits.
func (n *limitsNode) SetMembers(now time.Duration, view *View) []Message {
	n.allocator.SetMembers(now, view.Names)
	if n.relay < initialObservers && now == 0 {
		for d := range n.destinations {
			n.allocator.ObserveLimit(now, d, n.limit)
		}
	}
	return nil
}

func (n *limitsNode) takeMessages(now time.Duration) (messages []Message) {
	for _, p := range n.allocator.TakeMessages() {
		n.packets++
		packet := &spread.Packet{From: relayName(n.relay), Incarnation: 1, Uptime: now, Sequence: n.packets, Claim: p.Claim, Grant: p.Grant}
		messages = append(messages, Message{To: n.carrier.environment.relayIndex(p.To), Bytes: wire.Size(packet), Body: p})
	}
	return messages
}

// Receive processes a claim or a grant.
func (n *limitsNode) Receive(now time.Duration, from int, body any) []Message {
	p := body.(allowance.Message)
	if p.Claim != nil {
		n.allocator.ReceiveClaim(now, relayName(from), *p.Claim)
	} else {
		n.allocator.ReceiveGrant(now, relayName(from), *p.Grant)
	}
	return n.takeMessages(now)
}

// Tick adds the calls that arrived since the last tick, sends the calls that the allocations allow, and runs the allocator.
func (n *limitsNode) Tick(now time.Duration) []Message {
	elapsed := now - n.lastTick
	for d := range n.destinations {
		n.sendWaiting(now, elapsed, d)
	}
	for _, a := range n.allocator.Tick(now) {
		x := &n.destinations[a.Destination]
		x.allocation, x.allocatedAt = a, now
	}
	n.lastTick, n.nextTick = now, now+n.carrier.step
	return n.takeMessages(now)
}

// sendWaiting sends as many calls to a destination as the allocation allows. At most the calls of one second wait; further calls are
// dropped.
func (n *limitsNode) sendWaiting(now, elapsed time.Duration, d int) {
	x := &n.destinations[d]
	wanted := n.carrier.environment.Scenario.Limits.WantedPerRelay
	x.waiting = min(x.waiting+wanted*elapsed.Seconds(), wanted)
	allowed := 0.0
	if now < x.allocatedAt+x.allocation.Duration {
		allowed = x.allocation.Rate * elapsed.Seconds()
	}
	if sent := min(x.waiting, allowed); sent > 0 {
		x.waiting -= sent
		if n.rng.Float64() < 1-math.Pow(1-reportedLimitProbability, float64(elapsed)/float64(referenceTick)) {
			n.allocator.ObserveLimit(now, d, n.limit*(1+reportedLimitSpread*(2*n.rng.Float64()-1)))
		}
	}
	var arrived, waiting [allowance.PriorityLevels]int
	arrived[demandLevel] = int(now.Seconds()*wanted) - int((now-elapsed).Seconds()*wanted)
	waiting[demandLevel] = int(x.waiting)
	n.allocator.ReportDemand(now, d, arrived, waiting)
}

// NextTick returns the time of the next tick.
func (n *limitsNode) NextTick() time.Duration { return n.nextTick }

// AddCounts adds the counters of the allocator.
func (n *limitsNode) AddCounts(to *Counts) {
	c := n.allocator.Counters()
	to.Errors += c.Rejected + c.OtherShardDestinations
	to.Retries += c.OwnersAvoided
}
