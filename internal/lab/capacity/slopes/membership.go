package slopes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// MembershipPlan says what is measured of the membership.
type MembershipPlan struct {
	Relays     []int         // numbers of members
	Idle       time.Duration // how long members are watched while nothing happens
	Start      time.Duration // time over which all members start
	Settle     time.Duration // rest before that
	HeapPause  time.Duration // between two looks at the heap, until it falls no more
	Patience   time.Duration // how long a change may take until all know of it
	Delay      time.Duration // of packets, one way
	Loss       float64       // share of packets
	FullStates []int         // numbers of members whose full exchange is measured
	Fleets     []int         // numbers of the program's own fleet parts, on loopback sockets; none for no such measurement
}

// DefaultMembership is the plan of the command line, without its sizes.
var DefaultMembership = MembershipPlan{Start: 2 * time.Second, Idle: 30 * time.Second, Settle: 10 * time.Second, HeapPause: time.Second, Patience: 90 * time.Second, Delay: time.Millisecond, Loss: 0.001}

// Quantities along the number of relays. Bytes are without the headers of UDP and TCP.
var (
	startAll       = Quantity{Name: "all start at once: until all know all", Unit: "s"}
	startKnown     = Quantity{Name: "all start at once: members known at the end", Unit: "share"}
	startBytes     = Quantity{Name: "all start at once: bytes, mean", Unit: "bytes"}
	startBusiest   = Quantity{Name: "all start at once: bytes, busiest", Unit: "bytes"}
	startPeak      = Quantity{Name: "all start at once: busiest in its busiest second", Unit: "bytes/s"}
	startTurned    = Quantity{Name: "all start at once: streams turned away", Unit: "streams"}
	startCPUEach   = Quantity{Name: "all start at once: processor, each", Unit: "ms CPU"}
	heapEach       = Quantity{Name: "heap, each member", Unit: "bytes", Budget: budgetMemory}
	idleBytes      = Quantity{Name: "idle: bytes sent and received, mean", Unit: "bytes/s", Budget: budgetBytesPerSecond}
	idleBytes99    = Quantity{Name: "idle: bytes sent and received, 99 %", Unit: "bytes/s", Budget: budgetBytesPerSecond}
	idleBytesMost  = Quantity{Name: "idle: bytes sent and received, busiest", Unit: "bytes/s", Budget: budgetBytesPerSecond}
	idlePacketPart = Quantity{Name: "idle: of it in packets, mean", Unit: "bytes/s"}
	idlePackets    = Quantity{Name: "idle: packets, mean", Unit: "packets/s"}
	idlePackets99  = Quantity{Name: "idle: packets, 99 %", Unit: "packets/s"}
	idlePacketMost = Quantity{Name: "idle: packets, busiest", Unit: "packets/s"}
	idleCPU        = Quantity{Name: "idle: processor, each member", Unit: "share of a core", Budget: budgetCPUShare}
	idleFalse      = Quantity{Name: "idle: living ones held dead", Unit: "times"}
	idleHealth     = Quantity{Name: "idle: memberlist's health score, mean (0 is well)", Unit: "score"}
	idleLate       = Quantity{Name: "idle: lateness of this process's timers, 99 %", Unit: "ms"}
	startLate      = Quantity{Name: "all start at once: lateness of this process's timers, 99 %", Unit: "ms"}
	joinBytes      = Quantity{Name: "join: bytes of the one who joins", Unit: "bytes"}
	joinAll        = Quantity{Name: "join: until all know", Unit: "s"}
	deathMedian    = Quantity{Name: "death of one: until half know", Unit: "s"}
	deathAll       = Quantity{Name: "death of one: until all know", Unit: "s"}
	zoneMedian     = Quantity{Name: "death of a zone: until half is known", Unit: "s"}
	zoneAll        = Quantity{Name: "death of a zone: until all know all", Unit: "s"}
	zoneKnown      = Quantity{Name: "death of a zone: known at the end", Unit: "share"}
	zoneFalse      = Quantity{Name: "death of a zone: living ones held dead", Unit: "times"}
	zoneBytes      = Quantity{Name: "death of a zone: bytes, mean", Unit: "bytes/s"}
)

// lookEvery is how often the state of an experiment is looked at.
const lookEvery = 100 * time.Millisecond

// Check says what makes no sense.
func (p *MembershipPlan) Check() error {
	if err := checkSizes("relays", p.Relays); err != nil {
		return err
	}
	for _, n := range p.Relays {
		if n < zones {
			return fmt.Errorf("slopes: %d relays are fewer than one for each of %d zones", n, zones)
		}
	}
	for _, n := range p.FullStates {
		if n <= reserved {
			return fmt.Errorf("slopes: a full state of %d relays makes no sense", n)
		}
	}
	for _, n := range p.Fleets {
		if n < seeds {
			return fmt.Errorf("slopes: %d fleet parts are fewer than the %d that are joined", n, seeds)
		}
	}
	if p.Loss < 0 || p.Loss > 0.9 || p.Delay < 0 || p.Idle <= 0 || p.Start < 0 || p.Settle < 0 || p.HeapPause < 0 || p.Patience <= 0 {
		return errors.New("slopes: loss, delay or a time makes no sense")
	}
	return nil
}

// MeasureMembership measures the membership at each number of relays. It tells progress what it is about to do.
func MeasureMembership(ctx context.Context, plan MembershipPlan, to *Recorder, progress func(string)) error {
	if err := plan.Check(); err != nil {
		return err
	}
	for _, n := range plan.Relays {
		run := &membershipRun{plan: plan, size: n, to: to, progress: progress}
		if err := run.measure(ctx); err != nil {
			return fmt.Errorf("slopes: %d relays: %w", n, err)
		}
	}
	if err := measureFleets(ctx, plan, to, progress); err != nil {
		return err
	}
	return measureFullStates(ctx, plan, to, progress)
}

// membershipRun is the measurement of one size.
type membershipRun struct {
	plan     MembershipPlan
	size     int
	to       *Recorder
	progress func(string)
	group    *group
	belongs  sync.WaitGroup // what keeps each member one

	mu      sync.Mutex
	members []*member
}

func (run *membershipRun) record(q Quantity, value float64) error {
	return run.to.record(Relays, run.size, q, value)
}

func (run *membershipRun) say(text string) {
	run.progress(fmt.Sprintf("%d relays: %s", run.size, text))
}

func (run *membershipRun) measure(ctx context.Context) error {
	group, err := newGroup(NewNetwork(run.plan.Delay, run.plan.Loss))
	if err != nil {
		return err
	}
	run.group = group
	defer run.stopAll()
	before, err := settledHeap(ctx, run.plan.HeapPause)
	if err != nil {
		return err
	}
	for _, part := range []func(context.Context) error{run.startAll, func(ctx context.Context) error { return run.idle(ctx, before) },
		run.join, run.deathOfOne, run.deathOfZone} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts all members at random times within a short span.
func (run *membershipRun) startAll(ctx context.Context) error {
	run.say(fmt.Sprintf("all start within %v", run.plan.Start))
	begun, cpu, late := time.Now(), processTime(), watchLateness(ctx)
	failed := make(chan error, run.size)
	for n := range run.size {
		run.belongs.Go(func() {
			if err := sleep(ctx, time.Duration(rand.Float64()*float64(run.plan.Start))); err != nil {
				return
			}
			m, err := run.group.start(n)
			if err != nil {
				failed <- err
				return
			}
			run.mu.Lock()
			run.members = append(run.members, m)
			run.mu.Unlock()
			m.belong(ctx)
		})
	}
	known, took, peak := run.untilAllKnown(ctx, begun)
	select {
	case err := <-failed:
		return err
	default:
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var bytes []float64
	var turned int64
	for _, t := range run.traffic() {
		bytes = append(bytes, float64(t.Bytes()))
		turned += t.StreamsTurned
	}
	used := processTime() - cpu
	return run.recordAll([]measured{{startAll, took.Seconds()}, {startKnown, known}, {startBytes, mean(bytes)}, {startBusiest, quantile(bytes, 1)},
		{startPeak, peak}, {startTurned, float64(turned)}, {startCPUEach, milliseconds(used) / float64(run.size)}, {startLate, milliseconds(late.end())}})
}

// untilAllKnown waits until each member knows all. It returns the share that is known, the time, and the most bytes that any member
// sent and received in a second.
func (run *membershipRun) untilAllKnown(ctx context.Context, begun time.Time) (known float64, took time.Duration, peak float64) {
	second, before := begun, map[*Transport]int64{}
	for time.Since(begun) < run.plan.Patience && sleep(ctx, lookEvery) == nil {
		members := run.snapshot()
		total := 0
		for _, m := range members {
			total += m.list.NumMembers()
		}
		known, took = float64(total)/float64(run.size*run.size), time.Since(begun)
		done := known >= 1
		if since := time.Since(second); since >= time.Second || done {
			second = time.Now()
			for _, m := range members {
				bytes := m.transport.Traffic().Bytes()
				peak = max(peak, float64(bytes-before[m.transport])/max(since.Seconds(), 1))
				before[m.transport] = bytes
			}
		}
		if done {
			break
		}
	}
	return known, took, peak
}

// snapshot is the members that run.
func (run *membershipRun) snapshot() []*member {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]*member(nil), run.members...)
}

func (run *membershipRun) traffic() []Traffic {
	var list []Traffic
	for _, m := range run.snapshot() {
		list = append(list, m.transport.Traffic())
	}
	return list
}

// idle measures what members cost while nothing happens.
func (run *membershipRun) idle(ctx context.Context, heapBefore float64) error {
	run.say("settling")
	if err := sleep(ctx, run.plan.Settle); err != nil {
		return err
	}
	heap := heapBytes() - heapBefore
	run.say(fmt.Sprintf("idle for %v", run.plan.Idle))
	run.group.watch.begin(left)
	before, cpu, begun, late := run.traffic(), processTime(), time.Now(), watchLateness(ctx)
	err := sleep(ctx, run.plan.Idle)
	lateness := late.end()
	if err != nil {
		return err
	}
	used, took := processTime()-cpu, time.Since(begun).Seconds()
	_, falseDeaths := run.group.watch.result()
	health := 0.0
	for _, m := range run.snapshot() {
		health += float64(m.list.GetHealthScore()) / float64(run.size)
	}
	var bytes, packets, packetBytes []float64
	for i, t := range run.traffic() {
		d := t.Minus(before[i])
		bytes = append(bytes, float64(d.Bytes())/took)
		packets = append(packets, float64(d.Packets())/took)
		packetBytes = append(packetBytes, float64(d.PacketBytesSent+d.PacketBytesReceived)/took)
	}
	return run.recordAll([]measured{{heapEach, heap / float64(run.size)}, {idleBytes, mean(bytes)}, {idleBytes99, quantile(bytes, 0.99)},
		{idleBytesMost, quantile(bytes, 1)}, {idlePacketPart, mean(packetBytes)}, {idlePackets, mean(packets)}, {idlePackets99, quantile(packets, 0.99)},
		{idlePacketMost, quantile(packets, 1)}, {idleCPU, used.Seconds() / took / float64(run.size)},
		{idleFalse, float64(falseDeaths)}, {idleHealth, health}, {idleLate, milliseconds(lateness)}})
}

// join has one more member join.
func (run *membershipRun) join(ctx context.Context) error {
	run.say("one joins")
	others := run.snapshot()
	newcomer, err := run.group.start(run.size)
	if err != nil {
		return err
	}
	run.mu.Lock()
	run.members = append(run.members, newcomer)
	run.mu.Unlock()
	run.belongs.Go(func() { newcomer.belong(ctx) })
	run.group.watch.begin(joined, relayName(run.size))
	if _, err := newcomer.list.Join([]string{relayAddress(0).String()}); err != nil {
		return err
	}
	bytes := float64(newcomer.transport.Traffic().Bytes())
	times, _, err := run.await(ctx, len(others))
	if err != nil {
		return err
	}
	return run.recordAll([]measured{{joinBytes, bytes}, {joinAll, quantile(times, 1).Seconds()}})
}

// await waits until an experiment has so many times, or the patience is over.
func (run *membershipRun) await(ctx context.Context, count int) ([]time.Duration, int, error) {
	for begun := time.Now(); ; {
		times, others := run.group.watch.result()
		if len(times) >= count || time.Since(begun) > run.plan.Patience {
			return times, others, nil
		}
		if err := sleep(ctx, lookEvery); err != nil {
			return nil, 0, err
		}
	}
}

// deathOfOne has the machine of one member fail.
func (run *membershipRun) deathOfOne(ctx context.Context) error {
	run.say("one fails")
	victim := run.remove(func(m *member) bool { return m.number == run.size })
	run.group.watch.begin(left, relayName(run.size))
	failAll(victim)
	times, _, err := run.await(ctx, len(run.snapshot()))
	if err != nil {
		return err
	}
	return run.recordAll([]measured{{deathMedian, quantile(times, 0.5).Seconds()}, {deathAll, quantile(times, 1).Seconds()}})
}

// deathOfZone has all machines of a zone fail at one moment.
func (run *membershipRun) deathOfZone(ctx context.Context) error {
	run.say("a zone fails")
	const failing = zones - 1 // no seed is in it
	victims := run.remove(func(m *member) bool { return m.number%zones == failing })
	var names []string
	for _, m := range victims {
		names = append(names, relayName(m.number))
	}
	before, begun := run.traffic(), time.Now()
	run.group.watch.begin(left, names...)
	failAll(victims)
	expected := len(victims) * len(run.snapshot())
	times, others, err := run.await(ctx, expected)
	if err != nil {
		return err
	}
	took := time.Since(begun).Seconds()
	var bytes []float64
	for i, t := range run.traffic() {
		bytes = append(bytes, float64(t.Minus(before[i]).Bytes())/took)
	}
	return run.recordAll([]measured{{zoneMedian, quantile(times, 0.5).Seconds()}, {zoneAll, quantile(times, 1).Seconds()},
		{zoneKnown, float64(len(times)) / float64(max(expected, 1))}, {zoneFalse, float64(others)}, {zoneBytes, mean(bytes)}})
}

// remove takes members off the list of those that run.
func (run *membershipRun) remove(which func(*member) bool) []*member {
	run.mu.Lock()
	defer run.mu.Unlock()
	var gone, kept []*member
	for _, m := range run.members {
		if which(m) {
			gone = append(gone, m)
		} else {
			kept = append(kept, m)
		}
	}
	run.members = kept
	return gone
}

// failAll cuts all off first, so that they fail at one moment.
func failAll(members []*member) {
	for _, m := range members {
		m.transport.CutOff()
	}
	for _, m := range members {
		m.stop()
	}
}

// stopAll ends all members and what keeps them.
func (run *membershipRun) stopAll() {
	failAll(run.snapshot())
	run.belongs.Wait()
	failAll(run.snapshot()) // those that were just starting
}

func (run *membershipRun) recordAll(values []measured) error { return recordAll(run.record, values) }

func mean(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total / float64(max(len(list), 1))
}

// quiet keeps a member from doing anything by itself.
func quiet(c *memberlist.Config) {
	c.ProbeInterval, c.GossipInterval, c.PushPullInterval = 0, 0, 0
}
