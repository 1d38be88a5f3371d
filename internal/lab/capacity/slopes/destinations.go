package slopes

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"slatemux/internal/journal"
	"slatemux/internal/traffic"
)

// openJournal opens a journal in a folder of its own. Close removes it.
func openJournal(parent string) (*temporaryJournal, error) {
	folder, err := os.MkdirTemp(parent, "capacity-journal")
	if err != nil {
		return nil, err
	}
	store, err := journal.Open(folder, maxJournalBytes)
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	return &temporaryJournal{Journal: store, folder: folder}, nil
}

// temporaryJournal is a journal whose folder ends with it.
type temporaryJournal struct {
	*journal.Journal
	folder string
}

// Close closes the journal and removes its folder.
func (j *temporaryJournal) Close() error {
	err := j.Journal.Close()
	if removed := os.RemoveAll(j.folder); err == nil {
		err = removed
	}
	return err
}

// measureListHandling measures a relay that knows its destinations, takes the list once more, one change in it, and then a message to
// each. Others is the heap of what the program keeps of the list beside the relay.
func measureListHandling(ctx context.Context, plan RelayPlan, poolUpdate traffic.PoolNews, otherHeap float64, record recordFunc) error {
	store, err := openJournal(plan.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	before := heapBytes()
	run, err := startRelay(relayInputs{poolUpdate: poolUpdate, store: store, seed: plan.Seed, allUp: true})
	if err != nil {
		return err
	}
	defer run.close()
	listedBytes := heapBytes() - before
	listStepTime, err := run.measureStep(ctx, func() { run.relay.PoolChanged(poolUpdate) })
	if err != nil {
		return err
	}
	change := traffic.PoolNews{Seq: poolUpdate.Seq + 1, Members: poolUpdate.Members[len(poolUpdate.Members)-1:]}
	changeStepTime, err := run.measureStep(ctx, func() { run.relay.PoolChanged(change) })
	if err != nil {
		return err
	}
	refused, err := run.deliverToEach(ctx)
	if err != nil {
		return err
	}
	deliveredBytes := heapBytes() - before
	runtime.KeepAlive(poolUpdate)
	return recordAll(record, []quantityValue{{relayHeap, listedBytes}, {totalHeap, listedBytes + otherHeap}, {deliveredHeap, deliveredBytes},
		{firstStepTime, milliseconds(run.firstStepCPU)}, {listStep, milliseconds(listStepTime)}, {changeStep, microseconds(changeStepTime)},
		{deliveredRefusedShare, float64(refused) / float64(run.destinations)}})
}

// deliverToEach delivers a message to each destination. What is refused is handed in once more, as clients do; it returns how many were.
func (run *relayRun) deliverToEach(ctx context.Context) (refused int, err error) {
	const batch = 1000
	for first := 0; first < run.destinations; first += batch {
		var remaining []int
		for destination := first; destination < min(first+batch, run.destinations); destination++ {
			remaining = append(remaining, destination)
		}
		for len(remaining) > 0 {
			if ctx.Err() != nil {
				return refused, ctx.Err()
			}
			remaining = run.submit(remaining)
			refused += len(remaining)
		}
		if err := run.waitUntilNoneOpen(ctx); err != nil {
			return refused, err
		}
	}
	if delivered := run.flows.delivered.Load(); delivered != int64(run.destinations) {
		return refused, fmt.Errorf("%d of %d destinations had a message", delivered, run.destinations)
	}
	return refused, nil
}

// submit hands in a message for each destination and returns those whose message was refused.
func (run *relayRun) submit(destinations []int) (refused []int) {
	body, now := make([]byte, bodyBytes), time.Now()
	answers := make([]<-chan traffic.Answer, len(destinations))
	for i, destination := range destinations {
		answers[i] = run.relay.Put(newTransaction(int(run.lastMessage.Add(1)), destination, now.Add(messageDeadline), body), now)
	}
	for i, answer := range answers {
		if a := <-answer; a.Verdict != traffic.Accepted {
			refused = append(refused, destinations[i])
		}
	}
	return refused
}

// waitUntilNoneOpen waits until all that was handed in is over.
func (run *relayRun) waitUntilNoneOpen(ctx context.Context) error {
	for {
		if c := run.relay.Counters(); c.HandedIn == run.lastMessage.Load() && c.Open == 0 {
			return nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
}

// measureLoadedRelay measures a relay that holds one message, one that takes its part of the planned events, and one that is handed
// all that it can take.
func measureLoadedRelay(ctx context.Context, plan RelayPlan, poolUpdate traffic.PoolNews, record recordFunc) error {
	store, err := openJournal(plan.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	queued := []traffic.Open{{Transaction: newTransaction(1, 0, time.Now().Add(messageDeadline), make([]byte, bodyBytes))}}
	run, err := startRelay(relayInputs{poolUpdate: poolUpdate, store: store, seed: plan.Seed, backlogMessages: 1, openMessages: queued, answerDelay: answerDelay})
	if err != nil {
		return err
	}
	defer run.close()
	share, _, err := run.observeIdle(ctx, plan.Span)
	if err != nil {
		return err
	}
	if err := record(oneQueuedShare, share); err != nil {
		return err
	}
	if err := run.recordLoad(ctx, plan.Span, record); err != nil {
		return err
	}
	run.flows.answerImmediately()
	return run.recordSaturation(ctx, plan.Span, record)
}

// observeIdle lets the relay be and returns the share of a core that its steps took, and their times.
func (run *relayRun) observeIdle(ctx context.Context, span time.Duration) (float64, []time.Duration, error) {
	if err := sleep(ctx, span/4); err != nil { // the calls of the start end
		return 0, nil, err
	}
	run.steps.take()
	begun := time.Now()
	if err := sleep(ctx, span); err != nil {
		return 0, nil, err
	}
	steps, _ := run.steps.take()
	return float64(sum(steps)) / float64(time.Since(begun)), steps, nil
}

func sum(list []time.Duration) (total time.Duration) {
	for _, d := range list {
		total += d
	}
	return total
}

// recordLoad records what the planned rate of events does.
func (run *relayRun) recordLoad(ctx context.Context, span time.Duration, record recordFunc) error {
	result, err := run.applyLoad(ctx, eventsPerSecond, span)
	if err != nil {
		return err
	}
	elapsed := float64(result.elapsed)
	return recordAll(record, []quantityValue{{loadStepShare, float64(sum(result.stepTimes)) / elapsed}, {loadProcessShare, float64(result.processCPU) / elapsed},
		{loadStepLongest, milliseconds(quantile(result.stepTimes, 1))}, {loadAnswerMedian, milliseconds(quantile(result.answerTimes, 0.5))}, {loadAnswer99, milliseconds(quantile(result.answerTimes, 0.99))},
		{loadUnansweredShare, float64(result.unanswered) / float64(max(result.offered, 1))}})
}

// recordSaturation records how many events a second of a core's time is enough for.
func (run *relayRun) recordSaturation(ctx context.Context, span time.Duration, record recordFunc) error {
	result, err := run.saturate(ctx, saturationMessages, span)
	if err != nil {
		return err
	}
	events := float64(result.delivered)
	return recordAll(record, []quantityValue{{saturatedStepEvents, events / sum(result.stepTimes).Seconds()}, {saturatedModuleEvents, events / result.moduleCPU.Seconds()},
		{saturatedProcessEvents, events / result.processCPU.Seconds()}})
}
