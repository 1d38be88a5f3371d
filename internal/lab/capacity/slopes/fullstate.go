package slopes

import (
	"context"
	"fmt"
	"math"
	"time"
)

// Quantities of a full exchange of two members that know all others.
var (
	fullStateBytes  = Quantity{Name: "full exchange: one direction", Unit: "bytes", Budget: streamBytesMost}
	fullStateEach   = Quantity{Name: "full exchange: bytes of each known member", Unit: "bytes"}
	fullStateCPU    = Quantity{Name: "full exchange: processor of both sides", Unit: "ms CPU"}
	fullStateHeap   = Quantity{Name: "heap of one member, all news still queued", Unit: "bytes", Budget: budgetMemory}
	fullStatePeriod = Quantity{Name: "full exchanges alone, sent and received", Unit: "bytes/s", Budget: budgetBytesPerSecond}
)

const (
	// collected is how many members one collector gathers.
	collected = 64
	// reserved is how many numbers are kept for the two members that exchange.
	reserved = 2
)

// measureFullStates measures the exchange of full states between two members that know so many. Only those two know all: the others
// told a collector, which told them, and have ended.
func measureFullStates(ctx context.Context, plan MembershipPlan, to *Recorder, progress func(string)) error {
	for _, size := range plan.FullStates {
		progress(fmt.Sprintf("full exchange of %d relays", size))
		if err := measureFullState(ctx, size, plan.HeapPause, to); err != nil {
			return fmt.Errorf("slopes: full exchange of %d relays: %w", size, err)
		}
	}
	return nil
}

func measureFullState(ctx context.Context, size int, heapPause time.Duration, to *Recorder) error {
	network := NewNetwork(0, 0)
	network.streamMost, network.streamsMost = 64*streamBytesMost, 2*collected // so that a state over the bound is measured, too
	g, err := newGroup(network)
	if err != nil {
		return err
	}
	g.tune = quiet
	before, err := settledHeap(ctx, heapPause)
	if err != nil {
		return err
	}
	first, err := g.knowing(ctx, 0, size)
	if err != nil {
		return err
	}
	defer first.stop()
	heap := heapBytes() - before
	second, err := g.knowing(ctx, 1, size)
	if err != nil {
		return err
	}
	defer second.stop()
	other := []string{relayAddress(1).String()}
	if _, err := first.list.Join(other); err != nil { // they learn of each other
		return err
	}
	for second.list.NumMembers() < size {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	sent, cpu := first.transport.Traffic(), processTime()
	if _, err := first.list.Join(other); err != nil {
		return err
	}
	used := processTime() - cpu
	bytes := float64(first.transport.Traffic().Minus(sent).StreamBytesSent)
	if known := first.list.NumMembers(); known != size {
		return fmt.Errorf("%d members are known", known)
	}
	record := func(q Quantity, value float64) error { return to.record(Relays, size, q, value) }
	// Each member begins an exchange once a period and is asked for one as often, and either moves both states.
	period := pushPullPeriod(size).Seconds()
	return recordAll(record, []measured{{fullStateBytes, bytes}, {fullStateEach, bytes / float64(size)}, {fullStateCPU, milliseconds(used)},
		{fullStateHeap, heap}, {fullStatePeriod, 4 * bytes / period}})
}

// knowing returns a member of a number under reserved that knows all from reserved to before size. Collectors gather them: each is one
// of them, is joined by the next ones, and is then asked for what it knows.
func (g *group) knowing(ctx context.Context, number, size int) (*member, error) {
	m, err := g.start(number)
	if err != nil {
		return nil, err
	}
	for begin := reserved; begin < size; begin += collected {
		if ctx.Err() != nil {
			m.stop()
			return nil, ctx.Err()
		}
		if err := g.collect(ctx, m, begin, min(begin+collected, size)); err != nil {
			m.stop()
			return nil, err
		}
	}
	return m, nil
}

// collect has a member learn of those from begin to before end, who are all over when it returns.
func (g *group) collect(ctx context.Context, m *member, begin, end int) error {
	collector, err := g.start(begin)
	if err != nil {
		return err
	}
	defer collector.stop()
	to := []string{relayAddress(begin).String()}
	for n := begin + 1; n < end; n++ {
		one, err := g.start(n)
		if err != nil {
			return err
		}
		_, err = one.list.Join(to)
		one.stop()
		if err != nil {
			return err
		}
	}
	for collector.list.NumMembers() < end-begin { // it merges what a member told behind its answer to it
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	_, err = m.list.Join(to)
	return err
}

// pushPullPeriod is the time between two exchanges that a member begins, as memberlist stretches it with the number of members.
func pushPullPeriod(size int) time.Duration {
	const unstretched = 32
	interval := memberConfig().PushPullInterval
	if size <= unstretched {
		return interval
	}
	return interval * time.Duration(math.Ceil(math.Log2(float64(size)/unstretched))+1)
}
