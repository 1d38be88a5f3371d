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

// MembershipPlan defines the measurements of the membership.
type MembershipPlan struct {
	Relays             []int         // numbers of members
	IdleDuration       time.Duration // duration of the idle measurement
	StartSpan          time.Duration // span over which the starts of the members are spread
	SettleDuration     time.Duration // pause between the convergence of the start and the idle measurement
	HeapPollInterval   time.Duration // time between two readings of the heap, until it stops falling
	ConvergenceTimeout time.Duration // maximum time that a change may take to reach all members
	PacketDelay        time.Duration // mean one-way delay of a packet
	PacketLossShare    float64       // share of packets that are lost
	FullStates         []int         // numbers of members whose full-state exchange is measured
	Fleets             []int         // numbers of complete fleet nodes on loopback sockets; empty to skip this measurement
}

// DefaultMembershipPlan is the default plan of the command line, without sizes.
var DefaultMembershipPlan = MembershipPlan{StartSpan: 2 * time.Second, IdleDuration: 30 * time.Second, SettleDuration: 10 * time.Second,
	HeapPollInterval: time.Second, ConvergenceTimeout: 90 * time.Second, PacketDelay: time.Millisecond, PacketLossShare: 0.001}

// Quantities along the number of relays. Byte counts exclude the headers of UDP and TCP.
var (
	startConvergence       = Quantity{Name: "all start at once: until all know all", Unit: "s"}
	startKnownShare        = Quantity{Name: "all start at once: members known at the end", Unit: "share"}
	startMeanBytes         = Quantity{Name: "all start at once: bytes, mean", Unit: "bytes"}
	startMaxBytes          = Quantity{Name: "all start at once: bytes, busiest", Unit: "bytes"}
	startPeakRate          = Quantity{Name: "all start at once: busiest in its busiest second", Unit: "bytes/s"}
	startRefusedStreams    = Quantity{Name: "all start at once: streams turned away", Unit: "streams"}
	startMemberCPU         = Quantity{Name: "all start at once: processor, each", Unit: "ms CPU"}
	memberHeap             = Quantity{Name: "heap, each member", Unit: "bytes", Budget: memoryBytesBudget}
	idleMeanBytes          = Quantity{Name: "idle: bytes sent and received, mean", Unit: "bytes/s", Budget: bytesPerSecondBudget}
	idleBytes99            = Quantity{Name: "idle: bytes sent and received, 99 %", Unit: "bytes/s", Budget: bytesPerSecondBudget}
	idleMaxBytes           = Quantity{Name: "idle: bytes sent and received, busiest", Unit: "bytes/s", Budget: bytesPerSecondBudget}
	idleMeanPacketBytes    = Quantity{Name: "idle: of it in packets, mean", Unit: "bytes/s"}
	idleMeanPackets        = Quantity{Name: "idle: packets, mean", Unit: "packets/s"}
	idlePackets99          = Quantity{Name: "idle: packets, 99 %", Unit: "packets/s"}
	idleMaxPackets         = Quantity{Name: "idle: packets, busiest", Unit: "packets/s"}
	idleCPU                = Quantity{Name: "idle: processor, each member", Unit: "share of a core", Budget: cpuShareBudget}
	idleFalseDeaths        = Quantity{Name: "idle: living ones held dead", Unit: "times"}
	idleHealthScore        = Quantity{Name: "idle: memberlist's health score, mean (0 is well)", Unit: "score"}
	idleTimerLateness      = Quantity{Name: "idle: lateness of this process's timers, 99 %", Unit: "ms"}
	startTimerLateness     = Quantity{Name: "all start at once: lateness of this process's timers, 99 %", Unit: "ms"}
	joinBytes              = Quantity{Name: "join: bytes of the one who joins", Unit: "bytes"}
	joinConvergence        = Quantity{Name: "join: until all know", Unit: "s"}
	failureMedian          = Quantity{Name: "death of one: until half know", Unit: "s"}
	failureConvergence     = Quantity{Name: "death of one: until all know", Unit: "s"}
	zoneFailureMedian      = Quantity{Name: "death of a zone: until half is known", Unit: "s"}
	zoneFailureConvergence = Quantity{Name: "death of a zone: until all know all", Unit: "s"}
	zoneFailureKnownShare  = Quantity{Name: "death of a zone: known at the end", Unit: "share"}
	zoneFailureFalseDeaths = Quantity{Name: "death of a zone: living ones held dead", Unit: "times"}
	zoneFailureMeanBytes   = Quantity{Name: "death of a zone: bytes, mean", Unit: "bytes/s"}
)

// pollInterval is the time between two checks whether an experiment has ended.
const pollInterval = 100 * time.Millisecond

// Check returns an error if a setting of the plan is invalid.
func (p *MembershipPlan) Check() error {
	if err := checkSizes("relays", p.Relays); err != nil {
		return err
	}
	for _, n := range p.Relays {
		if n < zoneCount {
			return fmt.Errorf("slopes: %d relays are fewer than one for each of %d zones", n, zoneCount)
		}
	}
	for _, n := range p.FullStates {
		if n <= reservedMembers {
			return fmt.Errorf("slopes: a full state of %d relays is too small", n)
		}
	}
	for _, n := range p.Fleets {
		if n < seedMembers {
			return fmt.Errorf("slopes: %d fleet nodes are fewer than the %d seed members", n, seedMembers)
		}
	}
	if p.PacketLossShare < 0 || p.PacketLossShare > 0.9 || p.PacketDelay < 0 || p.IdleDuration <= 0 || p.StartSpan < 0 || p.SettleDuration < 0 || p.HeapPollInterval < 0 || p.ConvergenceTimeout <= 0 {
		return errors.New("slopes: loss, delay or a time makes no sense")
	}
	return nil
}

// MeasureMembership measures the membership at each number of relays. It calls progress before each experiment.
func MeasureMembership(ctx context.Context, plan MembershipPlan, recorder *Recorder, progress func(string)) error {
	if err := plan.Check(); err != nil {
		return err
	}
	for _, n := range plan.Relays {
		run := &membershipRun{plan: plan, size: n, recorder: recorder, progress: progress}
		if err := run.measure(ctx); err != nil {
			return fmt.Errorf("slopes: %d relays: %w", n, err)
		}
	}
	if err := measureFleets(ctx, plan, recorder, progress); err != nil {
		return err
	}
	return measureFullStates(ctx, plan, recorder, progress)
}

// membershipRun holds the members of the experiments at one size.
type membershipRun struct {
	plan      MembershipPlan
	size      int
	recorder  *Recorder
	progress  func(string)
	group     *group
	rejoining sync.WaitGroup // goroutines that run maintainMembership

	mu      sync.Mutex
	members []*member
}

func (run *membershipRun) record(q Quantity, value float64) error {
	return run.recorder.record(Relays, run.size, q, value)
}

func (run *membershipRun) reportProgress(text string) {
	run.progress(fmt.Sprintf("%d relays: %s", run.size, text))
}

// measure runs the experiments of one size in sequence.
func (run *membershipRun) measure(ctx context.Context) error {
	group, err := newGroup(NewNetwork(run.plan.PacketDelay, run.plan.PacketLossShare))
	if err != nil {
		return err
	}
	run.group = group
	defer run.stopAll()
	heapBefore, err := settledHeapBytes(ctx, run.plan.HeapPollInterval)
	if err != nil {
		return err
	}
	for _, experiment := range []func(context.Context) error{run.startMembers,
		func(ctx context.Context) error { return run.measureIdle(ctx, heapBefore) },
		run.measureJoin, run.measureMemberFailure, run.measureZoneFailure} {
		if err := experiment(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startMembers starts all members at random times within plan.Start and measures the time and traffic until all know all.
func (run *membershipRun) startMembers(ctx context.Context) error {
	run.reportProgress(fmt.Sprintf("all start within %v", run.plan.StartSpan))
	start, cpuBefore, timers := time.Now(), processCPUTime(), watchTimerLateness(ctx)
	failed := make(chan error, run.size)
	for n := range run.size {
		run.rejoining.Go(func() {
			if err := sleep(ctx, time.Duration(rand.Float64()*float64(run.plan.StartSpan))); err != nil {
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
			m.maintainMembership(ctx)
		})
	}
	knownShare, elapsed, peakRate := run.waitForConvergence(ctx, start)
	select {
	case err := <-failed:
		return err
	default:
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var bytes []float64
	var refused int64
	for _, traffic := range run.traffic() {
		bytes = append(bytes, float64(traffic.Bytes()))
		refused += traffic.StreamsRefused
	}
	cpuUsed := processCPUTime() - cpuBefore
	return run.recordAll([]quantityValue{{startConvergence, elapsed.Seconds()}, {startKnownShare, knownShare},
		{startMeanBytes, mean(bytes)}, {startMaxBytes, quantile(bytes, 1)},
		{startPeakRate, peakRate}, {startRefusedStreams, float64(refused)},
		{startMemberCPU, milliseconds(cpuUsed) / float64(run.size)}, {startTimerLateness, milliseconds(timers.finish())}})
}

// waitForConvergence waits until each member knows all members, or for plan.Patience at most. It returns the share of pairs that know each
// other, the elapsed time, and the highest rate of any member in bytes a second, sent and received.
func (run *membershipRun) waitForConvergence(ctx context.Context, start time.Time) (knownShare float64, elapsed time.Duration, peakRate float64) {
	windowStart, bytesBefore := start, map[*Transport]int64{}
	for time.Since(start) < run.plan.ConvergenceTimeout && sleep(ctx, pollInterval) == nil {
		members := run.runningMembers()
		knownMembers := 0
		for _, m := range members {
			knownMembers += m.list.NumMembers()
		}
		knownShare, elapsed = float64(knownMembers)/float64(run.size*run.size), time.Since(start)
		done := knownShare >= 1
		if window := time.Since(windowStart); window >= time.Second || done {
			windowStart = time.Now()
			for _, m := range members {
				bytes := m.transport.Traffic().Bytes()
				peakRate = max(peakRate, float64(bytes-bytesBefore[m.transport])/max(window.Seconds(), 1))
				bytesBefore[m.transport] = bytes
			}
		}
		if done {
			break
		}
	}
	return knownShare, elapsed, peakRate
}

// runningMembers returns a copy of the list of running members.
func (run *membershipRun) runningMembers() []*member {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]*member(nil), run.members...)
}

// traffic returns the traffic of each running member.
func (run *membershipRun) traffic() []Traffic {
	var list []Traffic
	for _, m := range run.runningMembers() {
		list = append(list, m.transport.Traffic())
	}
	return list
}

// measureIdle measures the costs of members while the membership does not change.
func (run *membershipRun) measureIdle(ctx context.Context, heapBefore float64) error {
	run.reportProgress("settling")
	if err := sleep(ctx, run.plan.SettleDuration); err != nil {
		return err
	}
	heap := heapBytes() - heapBefore
	run.reportProgress(fmt.Sprintf("idle for %v", run.plan.IdleDuration))
	run.group.changes.begin(memberLeft)
	trafficBefore, cpuBefore, start, timers := run.traffic(), processCPUTime(), time.Now(), watchTimerLateness(ctx)
	err := sleep(ctx, run.plan.IdleDuration)
	timerDelay := timers.finish()
	if err != nil {
		return err
	}
	cpuUsed, elapsedSeconds := processCPUTime()-cpuBefore, time.Since(start).Seconds()
	_, falseDeaths := run.group.changes.results()
	health := 0.0
	for _, m := range run.runningMembers() {
		health += float64(m.list.GetHealthScore()) / float64(run.size)
	}
	var bytes, packets, packetBytes []float64
	for i, t := range run.traffic() {
		difference := t.Minus(trafficBefore[i])
		bytes = append(bytes, float64(difference.Bytes())/elapsedSeconds)
		packets = append(packets, float64(difference.Packets())/elapsedSeconds)
		packetBytes = append(packetBytes, float64(difference.PacketBytesSent+difference.PacketBytesReceived)/elapsedSeconds)
	}
	return run.recordAll([]quantityValue{{memberHeap, heap / float64(run.size)}, {idleMeanBytes, mean(bytes)},
		{idleBytes99, quantile(bytes, 0.99)},
		{idleMaxBytes, quantile(bytes, 1)}, {idleMeanPacketBytes, mean(packetBytes)}, {idleMeanPackets, mean(packets)},
		{idlePackets99, quantile(packets, 0.99)},
		{idleMaxPackets, quantile(packets, 1)}, {idleCPU, cpuUsed.Seconds() / elapsedSeconds / float64(run.size)},
		{idleFalseDeaths, float64(falseDeaths)}, {idleHealthScore, health}, {idleTimerLateness, milliseconds(timerDelay)}})
}

// measureJoin starts one more member and measures how long the others take to learn of it.
func (run *membershipRun) measureJoin(ctx context.Context) error {
	run.reportProgress("one joins")
	existing := run.runningMembers()
	newcomer, err := run.group.start(run.size)
	if err != nil {
		return err
	}
	run.mu.Lock()
	run.members = append(run.members, newcomer)
	run.mu.Unlock()
	run.rejoining.Go(func() { newcomer.maintainMembership(ctx) })
	run.group.changes.begin(memberJoined, relayName(run.size))
	if _, err := newcomer.list.Join([]string{relayAddress(0).String()}); err != nil {
		return err
	}
	bytes := float64(newcomer.transport.Traffic().Bytes())
	times, _, err := run.awaitChanges(ctx, len(existing))
	if err != nil {
		return err
	}
	return run.recordAll([]quantityValue{{joinBytes, bytes}, {joinConvergence, quantile(times, 1).Seconds()}})
}

// awaitChanges waits until count observations of the awaited change are recorded, or for plan.Patience at most.
func (run *membershipRun) awaitChanges(ctx context.Context, count int) ([]time.Duration, int, error) {
	for start := time.Now(); ; {
		times, otherChanges := run.group.changes.results()
		if len(times) >= count || time.Since(start) > run.plan.ConvergenceTimeout {
			return times, otherChanges, nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, 0, err
		}
	}
}

// measureMemberFailure lets the machine of one member fail and measures how long the others take to detect the failure.
func (run *membershipRun) measureMemberFailure(ctx context.Context) error {
	run.reportProgress("one fails")
	failed := run.removeMembers(func(m *member) bool { return m.number == run.size })
	run.group.changes.begin(memberLeft, relayName(run.size))
	failAll(failed)
	times, _, err := run.awaitChanges(ctx, len(run.runningMembers()))
	if err != nil {
		return err
	}
	return run.recordAll([]quantityValue{{failureMedian, quantile(times, 0.5).Seconds()}, {failureConvergence, quantile(times, 1).Seconds()}})
}

// measureZoneFailure lets all machines of a zone fail at the same moment and measures how long the others take to detect the failures.
func (run *membershipRun) measureZoneFailure(ctx context.Context) error {
	run.reportProgress("a zone fails")
	const failedZone = zoneCount - 1 // no seed is in this zone
	failed := run.removeMembers(func(m *member) bool { return m.number%zoneCount == failedZone })
	var names []string
	for _, m := range failed {
		names = append(names, relayName(m.number))
	}
	trafficBefore, start := run.traffic(), time.Now()
	run.group.changes.begin(memberLeft, names...)
	failAll(failed)
	expected := len(failed) * len(run.runningMembers())
	times, falseDeaths, err := run.awaitChanges(ctx, expected)
	if err != nil {
		return err
	}
	elapsedSeconds := time.Since(start).Seconds()
	var bytes []float64
	for i, t := range run.traffic() {
		bytes = append(bytes, float64(t.Minus(trafficBefore[i]).Bytes())/elapsedSeconds)
	}
	return run.recordAll([]quantityValue{{zoneFailureMedian, quantile(times, 0.5).Seconds()},
		{zoneFailureConvergence, quantile(times, 1).Seconds()},
		{zoneFailureKnownShare, float64(len(times)) / float64(max(expected, 1))},
		{zoneFailureFalseDeaths, float64(falseDeaths)}, {zoneFailureMeanBytes, mean(bytes)}})
}

// removeMembers removes the matching members from the running ones and returns them.
func (run *membershipRun) removeMembers(matches func(*member) bool) []*member {
	run.mu.Lock()
	defer run.mu.Unlock()
	var removed, kept []*member
	for _, m := range run.members {
		if matches(m) {
			removed = append(removed, m)
		} else {
			kept = append(kept, m)
		}
	}
	run.members = kept
	return removed
}

// failAll cuts off all members before it stops any, so that all fail at the same moment.
func failAll(members []*member) {
	for _, m := range members {
		m.transport.SimulateFailure()
	}
	for _, m := range members {
		m.stop()
	}
}

// stopAll stops all members and waits for the goroutines that maintain their membership.
func (run *membershipRun) stopAll() {
	failAll(run.runningMembers())
	run.rejoining.Wait()
	failAll(run.runningMembers()) // members that were just starting
}

func (run *membershipRun) recordAll(values []quantityValue) error {
	return recordAll(run.record, values)
}

// mean returns the mean of the list, or 0 for an empty list.
func mean(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total / float64(max(len(list), 1))
}

// disableBackgroundWork turns off all periodic work of a member: probes, gossip and full-state exchanges.
func disableBackgroundWork(c *memberlist.Config) {
	c.ProbeInterval, c.GossipInterval, c.PushPullInterval = 0, 0, 0
}
