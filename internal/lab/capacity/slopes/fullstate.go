package slopes

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Quantities of a full exchange of two members that know all others.
var (
	fullStateBytes          = Quantity{Name: "full exchange: one direction", Unit: "bytes", Budget: maxStreamBytes}
	fullStateMemberBytes    = Quantity{Name: "full exchange: bytes of each known member", Unit: "bytes"}
	fullStateCPU            = Quantity{Name: "full exchange: processor of both sides", Unit: "ms CPU"}
	fullStateHeap           = Quantity{Name: "heap of one member, all news still queued", Unit: "bytes", Budget: memoryBytesBudget}
	fullStateBytesPerSecond = Quantity{Name: "full exchanges alone, sent and received", Unit: "bytes/s", Budget: bytesPerSecondBudget}
)

const (
	// membersPerCollector is how many members one collector gathers.
	membersPerCollector = 64
	// reservedMembers is how many numbers are kept for the two members that exchange.
	reservedMembers = 2
)

// measureFullStates measures the exchange of full states between two members that know so many. Only those two know all: the others
// told a collector, which told them, and have ended.
func measureFullStates(ctx context.Context, plan MembershipPlan, recorder *Recorder, progress func(string)) error {
	for _, size := range plan.FullStates {
		progress(fmt.Sprintf("full exchange of %d relays", size))
		if err := measureFullState(ctx, size, plan.HeapPollInterval, recorder); err != nil {
			return fmt.Errorf("slopes: full exchange of %d relays: %w", size, err)
		}
	}
	return nil
}

func measureFullState(ctx context.Context, size int, heapPause time.Duration, recorder *Recorder) error {
	network := NewNetwork(0, 0)
	network.maxStreamBytes, network.maxStreams = 64*maxStreamBytes, 2*membersPerCollector // so that a state over the bound is measured, too
	g, err := newGroup(network)
	if err != nil {
		return err
	}
	g.tune = disableBackgroundWork
	before, err := settledHeapBytes(ctx, heapPause)
	if err != nil {
		return err
	}
	first, err := g.startKnowingAll(ctx, 0, size)
	if err != nil {
		return err
	}
	defer first.stop()
	heap := heapBytes() - before
	second, err := g.startKnowingAll(ctx, 1, size)
	if err != nil {
		return err
	}
	defer second.stop()
	secondAddress := []string{relayAddress(1).String()}
	if _, err := first.list.Join(secondAddress); err != nil { // they learn of each other
		return err
	}
	for second.list.NumMembers() < size {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	trafficBefore, cpuBefore := first.transport.Traffic(), processCPUTime()
	if _, err := first.list.Join(secondAddress); err != nil {
		return err
	}
	cpuUsed := processCPUTime() - cpuBefore
	bytes := float64(first.transport.Traffic().Minus(trafficBefore).StreamBytesSent)
	if known := first.list.NumMembers(); known != size {
		return fmt.Errorf("%d members are known", known)
	}
	record := func(q Quantity, value float64) error { return recorder.record(Relays, size, q, value) }
	// Each member begins an exchange once a period and is asked for one as often, and either moves both states.
	period := pushPullInterval(size).Seconds()
	return recordAll(record, []quantityValue{{fullStateBytes, bytes}, {fullStateMemberBytes, bytes / float64(size)}, {fullStateCPU, milliseconds(cpuUsed)},
		{fullStateHeap, heap}, {fullStateBytesPerSecond, 4 * bytes / period}})
}

// startKnowingAll returns a member of a number under reserved that knows all from reserved to before size. Collectors gather them: each is one
// of them, is joined by the next ones, and is then asked for what it knows.
func (g *group) startKnowingAll(ctx context.Context, number, size int) (*member, error) {
	m, err := g.start(number)
	if err != nil {
		return nil, err
	}
	for begin := reservedMembers; begin < size; begin += membersPerCollector {
		if ctx.Err() != nil {
			m.stop()
			return nil, ctx.Err()
		}
		if err := g.collectMembers(ctx, m, begin, min(begin+membersPerCollector, size)); err != nil {
			m.stop()
			return nil, err
		}
	}
	return m, nil
}

// collectMembers has a member learn of those from begin to before end, who are all over when it returns.
func (g *group) collectMembers(ctx context.Context, m *member, begin, end int) error {
	collector, err := g.start(begin)
	if err != nil {
		return err
	}
	defer collector.stop()
	collectorAddress := []string{relayAddress(begin).String()}
	for n := begin + 1; n < end; n++ {
		added, err := g.start(n)
		if err != nil {
			return err
		}
		_, err = added.list.Join(collectorAddress)
		added.stop()
		if err != nil {
			return err
		}
	}
	for collector.list.NumMembers() < end-begin { // it merges what a member told behind its answer to it
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	_, err = m.list.Join(collectorAddress)
	return err
}

// pushPullInterval is the time between two exchanges that a member begins, as memberlist stretches it with the number of members.
func pushPullInterval(size int) time.Duration {
	const unscaledMembers = 32
	interval := memberConfig().PushPullInterval
	if size <= unscaledMembers {
		return interval
	}
	return interval * time.Duration(math.Ceil(math.Log2(float64(size)/unscaledMembers))+1)
}
