package slopes

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Quantities of a full-state exchange (push/pull) between two members that know all others.
var (
	fullStateBytes          = Quantity{Name: "full exchange: one direction", Unit: "bytes", Budget: maxStreamBytes}
	fullStateMemberBytes    = Quantity{Name: "full exchange: bytes of each known member", Unit: "bytes"}
	fullStateCPU            = Quantity{Name: "full exchange: processor of both sides", Unit: "ms CPU"}
	fullStateHeap           = Quantity{Name: "heap of one member, all news still queued", Unit: "bytes", Budget: memoryBytesBudget}
	fullStateBytesPerSecond = Quantity{Name: "full exchanges alone, sent and received", Unit: "bytes/s", Budget: bytesPerSecondBudget}
)

const (
	// membersPerCollector is the number of members that one collector learns of.
	membersPerCollector = 64
	// reservedMembers is how many member numbers are reserved for the two members that exchange their states.
	reservedMembers = 2
)

// measureFullStates measures the exchange of full states between two members, for each number of known members in the plan. Only these two
// members know all others. The others exist only for a short time: each joins a collector, which passes its list on to the two members.
func measureFullStates(ctx context.Context, plan MembershipPlan, recorder *Recorder, progress func(string)) error {
	for _, size := range plan.FullStates {
		progress(fmt.Sprintf("full exchange of %d relays", size))
		if err := measureFullState(ctx, size, plan.HeapPollInterval, recorder); err != nil {
			return fmt.Errorf("slopes: full exchange of %d relays: %w", size, err)
		}
	}
	return nil
}

func measureFullState(ctx context.Context, size int, heapPollInterval time.Duration, recorder *Recorder) error {
	network := NewNetwork(0, 0)
	// These limits exceed the program's, so that larger states are measured as well.
	network.maxStreamBytes, network.maxStreams = 64*maxStreamBytes, 2*membersPerCollector
	g, err := newGroup(network)
	if err != nil {
		return err
	}
	g.tune = disableBackgroundWork
	heapBefore, err := settledHeapBytes(ctx, heapPollInterval)
	if err != nil {
		return err
	}
	first, err := g.startKnowingAll(ctx, 0, size)
	if err != nil {
		return err
	}
	defer first.stop()
	heap := heapBytes() - heapBefore
	second, err := g.startKnowingAll(ctx, 1, size)
	if err != nil {
		return err
	}
	defer second.stop()
	secondAddress := []string{relayAddress(1).String()}
	if _, err := first.list.Join(secondAddress); err != nil { // the two members learn of each other
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
		return fmt.Errorf("the first member knows %d members", known)
	}
	record := func(q Quantity, value float64) error { return recorder.record(Relays, size, q, value) }
	// A member starts one exchange per interval and is the target of one on average. Each exchange transfers both states.
	intervalSeconds := pushPullInterval(size).Seconds()
	return recordAll(record, []quantityValue{{fullStateBytes, bytes}, {fullStateMemberBytes, bytes / float64(size)},
		{fullStateCPU, milliseconds(cpuUsed)},
		{fullStateHeap, heap}, {fullStateBytesPerSecond, 4 * bytes / intervalSeconds}})
}

// startKnowingAll starts a member that knows all members from reservedMembers to size-1. number must be below reservedMembers. The member
// learns of the others from collectors: a collector is one of the members of its range and is joined by the others of the range.
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

// collectMembers lets member m learn of the members from begin to end-1. All of them have stopped when it returns.
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
	for collector.list.NumMembers() < end-begin { // the collector answers before it merges the state of the member that joined
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	_, err = m.list.Join(collectorAddress)
	return err
}

// pushPullInterval returns the time between two full-state exchanges that a member starts. memberlist scales it with the number of
// members.
func pushPullInterval(size int) time.Duration {
	const unscaledMembers = 32
	interval := memberConfig().PushPullInterval
	if size <= unscaledMembers {
		return interval
	}
	return interval * time.Duration(math.Ceil(math.Log2(float64(size)/unscaledMembers))+1)
}
