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
	// readShare is the chance that the answers of a look at a relay tell the limit, where each relay is looked at every denseTick,
	// as internal/lab/limits does.
	readShare, denseTick = 0.2, 10 * time.Millisecond
	// readSpread is by how much readings differ.
	readSpread = 0.01
	// firstReaders is how many relays know the limits from the beginning.
	firstReaders = 3
	// warmUpLoans is how many loans the warm-up lasts at least, and measuredClaims how many rounds of claims are measured.
	warmUpLoans, measuredClaims = 2, 3
	// limitsLevel is the worth of all calls.
	limitsLevel = 1
)

// forSize returns the scenario for a fleet of a size: limits take the longer to be divided, the more relays there are.
func (s *Scenario) forSize(relays int) *Scenario {
	if s.Limits == nil {
		return s
	}
	config := allowance.DefaultConfig(relays, spreadAgree)
	sized := *s
	sized.WarmUp = max(s.WarmUp, warmUpLoans*config.LoanDuration)
	sized.Length = max(s.Length, measuredClaims*config.HeartbeatInterval)
	return &sized
}

// limitsCarrier has relays divide limits as the program does today: each wants the same of all destinations.
type limitsCarrier struct {
	environment *Environment
	config      allowance.Config
	step        time.Duration
}

func newLimitsCarrier(e *Environment) (Carrier, error) {
	return &limitsCarrier{environment: e, config: allowance.DefaultConfig(e.Relays, spreadAgree), step: millis(e.Scenario.Limits.StepMs)}, nil
}

// Bound is 0: nothing is to be known by all.
func (c *limitsCarrier) Bound() time.Duration { return 0 }

// Config is that of a fleet of the run's size.
func (c *limitsCarrier) Config() allowance.Config { return c.config }

// Start begins a process.
func (c *limitsCarrier) Start(relay int, incarnation uint64, _ Node) (Node, error) {
	m := c.environment.Scenario.Limits
	n := &limitsNode{carrier: c, relay: relay, rng: rand.New(rand.NewPCG(c.environment.Seed, uint64(relay))), limit: m.LimitPerRelay * float64(c.environment.Relays),
		destinations: make([]wantedDestination, m.Destinations)}
	n.due = time.Duration(n.rng.Float64() * float64(c.step))
	n.looked = n.due - c.step
	var err error
	n.allocator, err = allowance.NewAllocator(c.config, relayName(relay), incarnation, c.environment.Seed^uint64(relay)<<20, 0, incarnation > 1)
	return n, err
}

// limitsNode is a process of a relay: an allocator, and calls that want to be sent.
type limitsNode struct {
	carrier      *limitsCarrier
	relay        int
	allocator    *allowance.Allocator
	rng          *rand.Rand
	limit        float64
	destinations []wantedDestination
	due, looked  time.Duration
	packets      uint64
}

// wantedDestination is one that calls wait for.
type wantedDestination struct {
	allocation  allowance.Allocation
	allocatedAt time.Duration
	waiting     float64
}

// Members takes over who lives. The first relays know the limits from the beginning.
func (n *limitsNode) Members(now time.Duration, view *View) []Message {
	n.allocator.SetMembers(now, view.Names)
	if n.relay < firstReaders && now == 0 {
		for d := range n.destinations {
			n.allocator.ObserveLimit(now, d, n.limit)
		}
	}
	return nil
}

func (n *limitsNode) messages(now time.Duration) (messages []Message) {
	for _, p := range n.allocator.TakeMessages() {
		n.packets++
		packet := &spread.Packet{From: relayName(n.relay), Incarnation: 1, Uptime: now, Sequence: n.packets, Claim: p.Claim, Grant: p.Grant}
		messages = append(messages, Message{To: n.carrier.environment.relay(p.To), Bytes: wire.Size(packet), Body: p})
	}
	return messages
}

// Receive takes a claim or a grant in.
func (n *limitsNode) Receive(now time.Duration, from int, body any) []Message {
	p := body.(allowance.Message)
	if p.Claim != nil {
		n.allocator.ReceiveClaim(now, relayName(from), *p.Claim)
	} else {
		n.allocator.ReceiveGrant(now, relayName(from), *p.Grant)
	}
	return n.messages(now)
}

// Tick lets calls arrive and go since the last look, and has the allocator do what is due.
func (n *limitsNode) Tick(now time.Duration) []Message {
	span := now - n.looked
	for d := range n.destinations {
		n.serve(now, span, d)
	}
	for _, a := range n.allocator.Tick(now) {
		x := &n.destinations[a.Destination]
		x.allocation, x.allocatedAt = a, now
	}
	n.looked, n.due = now, now+n.carrier.step
	return n.messages(now)
}

// serve sends what may be sent of one destination's calls; a second of them waits at most.
func (n *limitsNode) serve(now, span time.Duration, d int) {
	x := &n.destinations[d]
	wanted := n.carrier.environment.Scenario.Limits.WantedPerRelay
	x.waiting = min(x.waiting+wanted*span.Seconds(), wanted)
	free := 0.0
	if now < x.allocatedAt+x.allocation.Duration {
		free = x.allocation.Rate * span.Seconds()
	}
	if used := min(x.waiting, free); used > 0 {
		x.waiting -= used
		if n.rng.Float64() < 1-math.Pow(1-readShare, float64(span)/float64(denseTick)) {
			n.allocator.ObserveLimit(now, d, n.limit*(1+readSpread*(2*n.rng.Float64()-1)))
		}
	}
	var arrived, waiting [allowance.PriorityLevels]int
	arrived[limitsLevel] = int(now.Seconds()*wanted) - int((now-span).Seconds()*wanted)
	waiting[limitsLevel] = int(x.waiting)
	n.allocator.ReportDemand(now, d, arrived, waiting)
}

// Due is the next look.
func (n *limitsNode) Due() time.Duration { return n.due }

// Counts adds what the allocator counted.
func (n *limitsNode) Counts(to *Counts) {
	c := n.allocator.Counters()
	to.Errors += c.Rejected + c.ForeignDestinations
	to.Retries += c.OwnersAvoided
}
