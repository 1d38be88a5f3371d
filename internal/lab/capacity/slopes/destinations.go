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
	store, err := journal.Open(folder, journalRoom)
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

// measureListed measures a relay that knows its destinations, takes the list once more, one change in it, and then a message to
// each. Others is the heap of what the program keeps of the list beside the relay.
func measureListed(ctx context.Context, plan RelayPlan, news traffic.PoolUpdate, others float64, record recordFunc) error {
	store, err := openJournal(plan.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	before := heapBytes()
	run, err := startRelay(relayInputs{news: news, store: store, seed: plan.Seed, noDown: true})
	if err != nil {
		return err
	}
	defer run.close()
	listed := heapBytes() - before
	wholeTook, err := run.stepOf(ctx, func() { run.relay.PoolChanged(news) })
	if err != nil {
		return err
	}
	one := traffic.PoolUpdate{Version: news.Version + 1, Members: news.Members[len(news.Members)-1:]}
	changeTook, err := run.stepOf(ctx, func() { run.relay.PoolChanged(one) })
	if err != nil {
		return err
	}
	refused, err := run.callEach(ctx)
	if err != nil {
		return err
	}
	called := heapBytes() - before
	runtime.KeepAlive(news)
	return recordAll(record, []measured{{listedHeap, listed}, {listedAllHeap, listed + others}, {calledHeap, called},
		{startCPU, milliseconds(run.startTime)}, {listStep, milliseconds(wholeTook)}, {changeStep, microseconds(changeTook)},
		{calledRefused, float64(refused) / float64(run.destinations)}})
}

// callEach delivers a message to each destination. What is refused is handed in once more, as clients do; it returns how many were.
func (run *relayRun) callEach(ctx context.Context) (refused int, err error) {
	const batch = 1000
	for first := 0; first < run.destinations; first += batch {
		var open []int
		for destination := first; destination < min(first+batch, run.destinations); destination++ {
			open = append(open, destination)
		}
		for len(open) > 0 {
			if ctx.Err() != nil {
				return refused, ctx.Err()
			}
			open = run.handIn(open)
			refused += len(open)
		}
		if err := run.untilEmpty(ctx); err != nil {
			return refused, err
		}
	}
	if delivered := run.flows.delivered.Load(); delivered != int64(run.destinations) {
		return refused, fmt.Errorf("%d of %d destinations had a message", delivered, run.destinations)
	}
	return refused, nil
}

// handIn hands in a message for each destination and returns those whose message was refused.
func (run *relayRun) handIn(destinations []int) (refused []int) {
	body, now := make([]byte, bodyBytes), time.Now()
	answers := make([]<-chan traffic.Answer, len(destinations))
	for i, destination := range destinations {
		answers[i] = run.relay.Submit(transaction(int(run.next.Add(1)), destination, now.Add(messageDeadline), body), now)
	}
	for i, answer := range answers {
		if a := <-answer; a.Verdict != traffic.Accepted {
			refused = append(refused, destinations[i])
		}
	}
	return refused
}

// untilEmpty waits until all that was handed in is over.
func (run *relayRun) untilEmpty(ctx context.Context) error {
	for {
		if c := run.relay.Counters(); c.Submitted == run.next.Load() && c.Open == 0 {
			return nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
}

// measureLoaded measures a relay that holds one message, one that takes its part of the planned events, and one that is handed
// all that it can take.
func measureLoaded(ctx context.Context, plan RelayPlan, news traffic.PoolUpdate, record recordFunc) error {
	store, err := openJournal(plan.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	waiting := []traffic.Open{{Transaction: transaction(1, 0, time.Now().Add(messageDeadline), make([]byte, bodyBytes))}}
	run, err := startRelay(relayInputs{news: news, store: store, seed: plan.Seed, held: 1, open: waiting, after: callTakes})
	if err != nil {
		return err
	}
	defer run.close()
	share, _, err := run.watch(ctx, plan.Span)
	if err != nil {
		return err
	}
	if err := record(waitingShare, share); err != nil {
		return err
	}
	if err := run.recordLoad(ctx, plan.Span, record); err != nil {
		return err
	}
	run.flows.answerAtOnce()
	return run.recordSaturation(ctx, plan.Span, record)
}

// watch lets the relay be and returns the share of a core that its steps took, and their times.
func (run *relayRun) watch(ctx context.Context, span time.Duration) (float64, []time.Duration, error) {
	if err := sleep(ctx, span/4); err != nil { // the calls of the start end
		return 0, nil, err
	}
	run.meter.take()
	begun := time.Now()
	if err := sleep(ctx, span); err != nil {
		return 0, nil, err
	}
	steps, _ := run.meter.take()
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
	result, err := run.load(ctx, eventsPerSecond, span)
	if err != nil {
		return err
	}
	took := float64(result.took)
	return recordAll(record, []measured{{loadShare, float64(sum(result.steps)) / took}, {loadProcess, float64(result.process) / took},
		{loadLongest, milliseconds(quantile(result.steps, 1))}, {loadMedian, milliseconds(quantile(result.verdicts, 0.5))}, {load99, milliseconds(quantile(result.verdicts, 0.99))},
		{loadUnanswered, float64(result.unanswered) / float64(max(result.offered, 1))}})
}

// recordSaturation records how many events a second of a core's time is enough for.
func (run *relayRun) recordSaturation(ctx context.Context, span time.Duration, record recordFunc) error {
	result, err := run.saturate(ctx, saturation, span)
	if err != nil {
		return err
	}
	events := float64(result.delivered)
	return recordAll(record, []measured{{saturatedEvents, events / sum(result.steps).Seconds()}, {saturatedModule, events / result.module.Seconds()},
		{saturatedAll, events / result.process.Seconds()}})
}
