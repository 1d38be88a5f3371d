// Package limits simulates in virtual time how many relays divide the rate limit of one destination. The relays run the production
// allocators, over links that delay and lose messages and can be partitioned. Each relay makes as many calls as its load and its rate
// allow. The simulation covers nothing else of a relay.
package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
)

const (
	// Destination is the destination whose limit is divided.
	Destination = 7
	// quorum is the number of relays that have to read a limit before the relays divide it.
	quorum = 2
	// tick is the step of the virtual clock.
	tick = 10 * time.Millisecond
	// maxDelayTicks is the longest delay of a message, in ticks; the shortest is one.
	maxDelayTicks = 2
	// readingShare is the share of steps with a call in which an answer reports the limit.
	readingShare = 0.2
	// minReading and readingRange bound the reported limits: 0.99 to 1.01 of the true limit.
	minReading   = 0.99
	readingRange = 0.02
	// warmUpRelays is how many relays read the limit at the beginning.
	warmUpRelays = 3
	// warmUpTime is how long all relays take to find their rates.
	warmUpTime = 5 * time.Second
	// simulationStream separates the random sequence of the simulation from those of its allocators.
	simulationStream = 3
)

// LoadFunc returns the calls a second that arrive at a relay, by priority level.
type LoadFunc func(relay int) [allowance.PriorityLevels]float64

// Simulation is a fleet of allocators that divide one limit.
type Simulation struct {
	// Allocators holds the allocator of each relay, by index.
	Allocators []*allowance.Allocator
	// Now is the virtual time.
	Now time.Duration
	// PacketLoss is the share of messages that are lost.
	PacketLoss float64
	// Partitioned reports whether messages from one relay to another are lost.
	Partitioned func(from, to int) bool
	// Limit is the rate limit of the destination, in calls a second. Answers report it with a small error.
	Limit float64
	// Load is the load of each relay.
	Load LoadFunc
	// Used counts the calls of each relay since Used was last cleared.
	Used []float64
	// PeakRate is the highest sum of the relays' rates since PeakRate was last cleared, in calls a second.
	PeakRate float64
	// BytesSent counts the bytes that each relay sent, encrypted and with headers.
	BytesSent []int
	// Stopped marks relays that neither receive nor act.
	Stopped map[int]bool

	rng               *rand.Rand
	inFlight          map[time.Duration][]packet          // by arrival time
	latestAllocations []allocation                        // by relay
	backlog           [][allowance.PriorityLevels]float64 // waiting calls, by relay
}

// packet is a message in flight.
type packet struct {
	from, to int
	allowance.Message
}

// allocation is a relay's newest allocation.
type allocation struct {
	allowance.Allocation
	receivedAt time.Duration
}

// rate returns the rate at which a relay may send now, in calls a second.
func (a *allocation) rate(now time.Duration) float64 {
	if now < a.receivedAt+a.Duration {
		return a.Rate
	}
	return 0
}

// RelayName returns the name of a relay.
func RelayName(i int) string { return fmt.Sprintf("relay-%03d", i) }

// relayIndex is the inverse of RelayName.
func relayIndex(name string) (index int) {
	_, _ = fmt.Sscanf(name, "relay-%d", &index)
	return index
}

// New returns a simulation of relays without load. The limit is in calls a second.
func New(relays int, limit float64, seed uint64) (*Simulation, error) {
	s := &Simulation{
		Limit:             limit,
		Partitioned:       func(int, int) bool { return false },
		Load:              func(int) [allowance.PriorityLevels]float64 { return [allowance.PriorityLevels]float64{} },
		Used:              make([]float64, relays),
		BytesSent:         make([]int, relays),
		Stopped:           map[int]bool{},
		rng:               rand.New(rand.NewPCG(seed, simulationStream)),
		inFlight:          map[time.Duration][]packet{},
		latestAllocations: make([]allocation, relays),
		backlog:           make([][allowance.PriorityLevels]float64, relays),
	}
	cfg := allowance.DefaultConfig(relays, quorum)
	for i := range relays {
		a, err := allowance.NewAllocator(cfg, RelayName(i), 1, uint64(i), 0, false)
		if err != nil {
			return nil, err
		}
		s.Allocators = append(s.Allocators, a)
	}
	s.UpdateMembers()
	return s, nil
}

// UpdateMembers passes to each allocator the set of live relays that it can reach.
func (s *Simulation) UpdateMembers() {
	for i, a := range s.Allocators {
		var live []string
		for j := range s.Allocators {
			if j == i || !s.Partitioned(i, j) && !s.Stopped[j] {
				live = append(live, RelayName(j))
			}
		}
		a.SetMembers(s.Now, live)
	}
}

// send sends messages. Lost messages count as sent bytes, but are not delivered.
func (s *Simulation) send(from int, messages []allowance.Message) {
	for _, m := range messages {
		to := relayIndex(m.To)
		s.BytesSent[from] += s.packetSize(from, &m)
		if s.Partitioned(from, to) || s.rng.Float64() < s.PacketLoss {
			continue
		}
		delay := tick * time.Duration(1+s.rng.IntN(maxDelayTicks))
		arrival := s.Now + delay
		s.inFlight[arrival] = append(s.inFlight[arrival], packet{from: from, to: to, Message: m})
	}
}

// packetSize returns the size of a message on the network, in bytes.
func (s *Simulation) packetSize(from int, m *allowance.Message) int {
	const typicalCount = 1000 // a packet number of an ordinary length
	return wire.Size(&spread.Packet{
		From:        RelayName(from),
		Incarnation: 1,
		Uptime:      s.Now,
		Sequence:    typicalCount,
		Claim:       m.Claim,
		Grant:       m.Grant,
	})
}

// Run advances the virtual clock. A relay queues at most the arrivals of one second that it may not send yet.
func (s *Simulation) Run(duration time.Duration) {
	for end := s.Now + duration; s.Now < end; {
		s.Now += tick
		s.deliver()
		sum := 0.0
		for i := range s.Allocators {
			if !s.Stopped[i] {
				s.stepRelay(i)
			}
			sum += s.latestAllocations[i].rate(s.Now)
		}
		s.PeakRate = max(s.PeakRate, sum)
	}
}

// deliver gives the messages that arrive now to the allocators and sends their answers.
func (s *Simulation) deliver() {
	for _, d := range s.inFlight[s.Now] {
		if s.Stopped[d.to] {
			continue
		}
		a := s.Allocators[d.to]
		if d.Claim != nil {
			a.ReceiveClaim(s.Now, RelayName(d.from), *d.Claim)
		} else {
			a.ReceiveGrant(s.Now, RelayName(d.from), *d.Grant)
		}
		s.send(d.to, a.TakeMessages())
	}
	delete(s.inFlight, s.Now)
}

// stepRelay makes the calls that a relay may make in this tick, and reports the remaining demand to its allocator.
func (s *Simulation) stepRelay(i int) {
	a := s.Allocators[i]
	load := s.Load(i)
	allowed := s.latestAllocations[i].rate(s.Now) * tick.Seconds()
	var waiting, arrived [allowance.PriorityLevels]int
	for level, rate := range load {
		maxWaiting := rate // a second of arrivals
		s.backlog[i][level] = min(s.backlog[i][level]+rate*tick.Seconds(), maxWaiting)
		allowed -= s.call(i, level, allowed)
		arrived[level] = int(s.Now.Seconds()*rate) - int((s.Now-tick).Seconds()*rate)
		waiting[level] = int(s.backlog[i][level])
	}
	a.ReportDemand(s.Now, Destination, arrived, waiting)
	allocations := a.Tick(s.Now)
	s.send(i, a.TakeMessages())
	for _, next := range allocations {
		s.latestAllocations[i] = allocation{Allocation: next, receivedAt: s.Now}
	}
}

// call makes up to the allowed number of waiting calls of a level, and returns how many it made. A share of the steps, readingShare,
// has an answer that reports the limit.
func (s *Simulation) call(i, level int, allowed float64) float64 {
	calls := min(s.backlog[i][level], allowed)
	if calls <= 0 {
		return 0
	}
	s.backlog[i][level] -= calls
	s.Used[i] += calls
	if s.rng.Float64() < readingShare {
		reading := s.Limit * (minReading + readingRange*s.rng.Float64())
		s.Allocators[i].ObserveLimit(s.Now, Destination, reading)
	}
	return calls
}

// Utilization runs the simulation and returns the number of calls as a share of the calls that a rate, in calls a second, allows.
func (s *Simulation) Utilization(duration time.Duration, rate float64) float64 {
	clear(s.Used)
	s.Run(duration)
	sum := 0.0
	for _, used := range s.Used {
		sum += used
	}
	return sum / (rate * duration.Seconds())
}

// ConstantLoad returns a load at one priority level, with one rate for each relay. The last rate also applies to all further relays.
func ConstantLoad(level int, rates ...float64) LoadFunc {
	return func(relay int) (load [allowance.PriorityLevels]float64) {
		load[level] = rates[min(relay, len(rates)-1)]
		return load
	}
}

// WarmUp lets some relays read the limit and runs until all relays have their rates.
func (s *Simulation) WarmUp() {
	for _, a := range s.Allocators[:warmUpRelays] {
		a.ObserveLimit(s.Now, Destination, s.Limit)
	}
	s.Run(warmUpTime)
}
