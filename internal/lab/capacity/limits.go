package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"wrenford/internal/allowance"
	"wrenford/internal/fleet/wire"
	"wrenford/internal/spread"
)

const (
	// readShare is the chance that an answer of one look's calls told the limit, at the tick of internal/lab/town.
	readShare, townTick = 0.2, 10 * time.Millisecond
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
	terms := allowance.Usual(relays, spreadAgree)
	sized := *s
	sized.WarmUp = max(s.WarmUp, warmUpLoans*terms.Loan)
	sized.Length = max(s.Length, measuredClaims*terms.Every)
	return &sized
}

// limitsCarrier has relays divide limits as the program does today: each wants the same of all destinations.
type limitsCarrier struct {
	environment *Environment
	terms       allowance.Terms
	step        time.Duration
}

func newLimitsCarrier(e *Environment) (Carrier, error) {
	return &limitsCarrier{environment: e, terms: allowance.Usual(e.Relays, spreadAgree), step: millis(e.Scenario.Limits.StepMs)}, nil
}

// Bound is 0: nothing is to be known by all.
func (c *limitsCarrier) Bound() time.Duration { return 0 }

// Terms are those of a fleet of the run's size.
func (c *limitsCarrier) Terms() allowance.Terms { return c.terms }

// Start begins a process.
func (c *limitsCarrier) Start(relay int, incarnation uint64, _ Node) (Node, error) {
	m := c.environment.Scenario.Limits
	n := &limitsNode{carrier: c, relay: relay, rng: rand.New(rand.NewPCG(c.environment.Seed, uint64(relay))), limit: m.LimitPerRelay * float64(c.environment.Relays),
		destinations: make([]wantedDestination, m.Destinations)}
	n.due = time.Duration(n.rng.Float64() * float64(c.step))
	n.looked = n.due - c.step
	var err error
	n.desk, err = allowance.NewDesk(c.terms, relayName(relay), incarnation, c.environment.Seed^uint64(relay)<<20, 0, incarnation > 1)
	return n, err
}

// limitsNode is a process of a relay: a desk, and calls that want to be sent.
type limitsNode struct {
	carrier      *limitsCarrier
	relay        int
	desk         *allowance.Desk
	rng          *rand.Rand
	limit        float64
	destinations []wantedDestination
	due, looked  time.Duration
	packets      uint64
}

// wantedDestination is one that calls wait for.
type wantedDestination struct {
	told    allowance.Allowed
	toldAt  time.Duration
	waiting float64
}

// Members takes over who lives. The first relays know the limits from the beginning.
func (n *limitsNode) Members(now time.Duration, view *View) []Message {
	n.desk.Members(now, view.Names)
	if n.relay < firstReaders && now == 0 {
		for d := range n.destinations {
			n.desk.Read(now, d, n.limit)
		}
	}
	return nil
}

func (n *limitsNode) messages(now time.Duration) (messages []Message) {
	for _, p := range n.desk.Posts() {
		n.packets++
		packet := &spread.Packet{From: relayName(n.relay), Incarnation: 1, Uptime: now, Count: n.packets, Claim: p.Claim, Grant: p.Grant}
		messages = append(messages, Message{To: n.carrier.environment.relay(p.To), Bytes: wire.Size(packet), Body: p})
	}
	return messages
}

// Receive takes a claim or a grant in.
func (n *limitsNode) Receive(now time.Duration, from int, body any) []Message {
	p := body.(allowance.Post)
	if p.Claim != nil {
		n.desk.Claimed(now, relayName(from), *p.Claim)
	} else {
		n.desk.Granted(now, relayName(from), *p.Grant)
	}
	return n.messages(now)
}

// Tick lets calls arrive and go since the last look, and has the desk do what is due.
func (n *limitsNode) Tick(now time.Duration) []Message {
	span := now - n.looked
	for d := range n.destinations {
		n.serve(now, span, d)
	}
	for _, a := range n.desk.Tick(now) {
		x := &n.destinations[a.Destination]
		x.told, x.toldAt = a, now
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
	if now < x.toldAt+x.told.For {
		free = x.told.Rate * span.Seconds()
	}
	if used := min(x.waiting, free); used > 0 {
		x.waiting -= used
		if n.rng.Float64() < 1-math.Pow(1-readShare, float64(span)/float64(townTick)) {
			n.desk.Read(now, d, n.limit*(1+readSpread*(2*n.rng.Float64()-1)))
		}
	}
	var arrived, waiting [allowance.Levels]int
	arrived[limitsLevel] = int(now.Seconds()*wanted) - int((now-span).Seconds()*wanted)
	waiting[limitsLevel] = int(x.waiting)
	n.desk.Demand(now, d, arrived, waiting)
}

// Due is the next look.
func (n *limitsNode) Due() time.Duration { return n.due }

// Counts adds what the desk counted.
func (n *limitsNode) Counts(to *Counts) {
	c := n.desk.Counters()
	to.Errors += c.Strays + c.Foreign
	to.Retries += c.Avoided
}
