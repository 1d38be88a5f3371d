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

// openJournal opens a journal in a new temporary folder under parent. Close removes the folder.
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

// temporaryJournal is a journal that removes its folder on Close.
type temporaryJournal struct {
	*journal.Journal
	folder string
}

// Close closes the journal and removes its folder.
func (j *temporaryJournal) Close() error {
	closeErr := j.Journal.Close()
	if removeErr := os.RemoveAll(j.folder); closeErr == nil {
		closeErr = removeErr
	}
	return closeErr
}

// measureListHandling measures a relay that starts with a full list, receives the same list again and then a change of one member, and
// delivers a message to each destination. otherHeap is the heap of the program's other copies of the list: the book and the flow manager.
func measureListHandling(ctx context.Context, plan RelayPlan, poolUpdate traffic.PoolUpdate, otherHeap float64, record recordFunc) error {
	store, err := openJournal(plan.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	heapBefore := heapBytes()
	run, err := startRelay(relayInputs{poolUpdate: poolUpdate, store: store, seed: plan.Seed, allUp: true})
	if err != nil {
		return err
	}
	defer run.close()
	listedBytes := heapBytes() - heapBefore
	listStepTime, err := run.measureStep(ctx, func() { run.relay.PoolChanged(poolUpdate) })
	if err != nil {
		return err
	}
	change := traffic.PoolUpdate{Version: poolUpdate.Version + 1, Members: poolUpdate.Members[len(poolUpdate.Members)-1:]}
	changeStepTime, err := run.measureStep(ctx, func() { run.relay.PoolChanged(change) })
	if err != nil {
		return err
	}
	refused, err := run.deliverToEach(ctx)
	if err != nil {
		return err
	}
	deliveredBytes := heapBytes() - heapBefore
	runtime.KeepAlive(poolUpdate)
	return recordAll(record, []quantityValue{{relayHeap, listedBytes}, {totalHeap, listedBytes + otherHeap}, {deliveredHeap, deliveredBytes},
		{firstStepTime, milliseconds(run.firstStepCPU)}, {listStep, milliseconds(listStepTime)}, {changeStep, microseconds(changeStepTime)},
		{deliveredRefusedShare, float64(refused) / float64(run.destinations)}})
}

// deliverToEach delivers a message to each destination. It submits refused messages again, as clients do, and returns the number of
// refusals.
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
		return refused, fmt.Errorf("messages were delivered to %d of %d destinations", delivered, run.destinations)
	}
	return refused, nil
}

// submit submits a message for each destination and returns the destinations whose message was refused.
func (run *relayRun) submit(destinations []int) (refused []int) {
	body, now := make([]byte, bodyBytes), time.Now()
	answers := make([]<-chan traffic.Answer, len(destinations))
	for i, destination := range destinations {
		answers[i] = run.relay.Submit(newTransaction(int(run.lastMessage.Add(1)), destination, now.Add(messageDeadline), body), now, now)
	}
	for i, answer := range answers {
		if a := <-answer; a.Verdict != traffic.Accepted {
			refused = append(refused, destinations[i])
		}
	}
	return refused
}

// waitUntilNoneOpen waits until no submitted message is open.
func (run *relayRun) waitUntilNoneOpen(ctx context.Context) error {
	for {
		if c := run.relay.Counters(); c.Submitted == run.lastMessage.Load() && c.Open == 0 {
			return nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
}

// measureLoadedRelay measures a relay in three states: with one queued message and no arrivals, at its share of the planned event rate, and
// saturated.
func measureLoadedRelay(ctx context.Context, plan RelayPlan, poolUpdate traffic.PoolUpdate, record recordFunc) error {
	store, err := openJournal(plan.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	queued := []traffic.Open{{Transaction: newTransaction(1, 0, time.Now().Add(messageDeadline), make([]byte, bodyBytes))}}
	run, err := startRelay(relayInputs{poolUpdate: poolUpdate, store: store, seed: plan.Seed, backlogMessages: 1, openMessages: queued,
		answerDelay: answerDelay})
	if err != nil {
		return err
	}
	defer run.close()
	share, _, err := run.observeIdle(ctx, plan.Duration)
	if err != nil {
		return err
	}
	if err := record(oneQueuedShare, share); err != nil {
		return err
	}
	if err := run.recordLoad(ctx, plan.Duration, record); err != nil {
		return err
	}
	run.flows.answerImmediately()
	return run.recordSaturation(ctx, plan.Duration, record)
}

// observeIdle sends nothing to the relay for a span. It returns the share of a core that the relay's steps took, and the time of each step.
func (run *relayRun) observeIdle(ctx context.Context, span time.Duration) (float64, []time.Duration, error) {
	if err := sleep(ctx, span/4); err != nil { // until the calls of the start have ended
		return 0, nil, err
	}
	run.meter.take()
	start := time.Now()
	if err := sleep(ctx, span); err != nil {
		return 0, nil, err
	}
	steps, _ := run.meter.take()
	return float64(sum(steps)) / float64(time.Since(start)), steps, nil
}

func sum(list []time.Duration) (total time.Duration) {
	for _, d := range list {
		total += d
	}
	return total
}

// recordLoad records the costs at the planned event rate.
func (run *relayRun) recordLoad(ctx context.Context, span time.Duration, record recordFunc) error {
	result, err := run.applyLoad(ctx, eventsPerSecond, span)
	if err != nil {
		return err
	}
	elapsed := float64(result.elapsed)
	return recordAll(record, []quantityValue{{loadStepShare, float64(sum(result.stepTimes)) / elapsed},
		{loadProcessShare, float64(result.processCPU) / elapsed},
		{loadStepLongest, milliseconds(quantile(result.stepTimes, 1))},
		{loadAnswerMedian, milliseconds(quantile(result.answerTimes, 0.5))},
		{loadAnswer99, milliseconds(quantile(result.answerTimes, 0.99))},
		{loadUnansweredShare, float64(result.unanswered) / float64(max(result.offered, 1))}})
}

// recordSaturation records how many events one second of processor time is sufficient for.
func (run *relayRun) recordSaturation(ctx context.Context, span time.Duration, record recordFunc) error {
	result, err := run.saturate(ctx, saturationMessages, span)
	if err != nil {
		return err
	}
	events := float64(result.delivered)
	return recordAll(record, []quantityValue{{saturatedStepEvents, events / sum(result.stepTimes).Seconds()},
		{saturatedModuleEvents, events / result.moduleCPU.Seconds()},
		{saturatedProcessEvents, events / result.processCPU.Seconds()}})
}
