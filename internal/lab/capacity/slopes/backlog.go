package slopes

import (
	"context"
	"os"
	"time"

	"slatemux/internal/journal"
	"slatemux/internal/pool"
	"slatemux/internal/traffic"
)

// measureBacklog measures the module and a restarted relay with a backlog: messages that are queued for the destinations that are down.
func measureBacklog(ctx context.Context, plan RelayPlan, size int, recorder *Recorder) error {
	record := func(q Quantity, value float64) error { return recorder.record(QueuedMessages, size, q, value) }
	steps, err := measureModuleSteps(ctx, plan.BacklogDestinations, size, uint64(plan.Seed))
	if err != nil {
		return err
	}
	if err := recordModuleSteps(recorder, QueuedMessages, size, "", steps); err != nil {
		return err
	}
	folder, err := os.MkdirTemp(plan.Directory, "capacity-held")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if err := writeBacklogJournal(ctx, folder, size, downDestinations(plan.BacklogDestinations), record); err != nil {
		return err
	}
	return measureRestart(ctx, plan, folder, size, record)
}

// writeBacklogJournal writes a journal with a number of accepted and undelivered messages, as a relay does when it accepts messages.
func writeBacklogJournal(ctx context.Context, folder string, messages, down int, record recordFunc) error {
	store, err := journal.Open(folder, maxJournalBytes)
	if err != nil {
		return err
	}
	defer store.Close()
	deadline, body := time.Now().Add(messageDeadline), make([]byte, bodyBytes)
	var writeTime time.Duration
	for first := 0; first < messages; first += journalBatchMessages {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var changes []traffic.Change
		for number := first; number < min(first+journalBatchMessages, messages); number++ {
			changes = append(changes, traffic.TransactionAccepted{Transaction: newTransaction(number+1, number%down, deadline, body)})
		}
		writeTime += measureThreadCPU(func() { err = store.Commit(changes) })
		if err != nil {
			return err
		}
	}
	journalSize, _, _ := store.Stats()
	return recordAll(record, []quantityValue{{journalBytes, float64(journalSize)},
		{journalMessageBytes, float64(journalSize) / float64(messages)},
		{journalMessageWrite, microseconds(writeTime) / float64(messages)}})
}

// measureRestart measures the start of a relay from the journal in folder, and then the running relay.
func measureRestart(ctx context.Context, plan RelayPlan, folder string, messages int, record recordFunc) error {
	raw, err := encodeList(1, true, 0, plan.BacklogDestinations)
	if err != nil {
		return err
	}
	list, err := pool.Parse(raw)
	if err != nil {
		return err
	}
	poolUpdate := list.Update()
	heapBefore, start := heapBytes(), time.Now()
	var store *journal.Journal
	replayTime := measureThreadCPU(func() { store, err = journal.Open(folder, maxJournalBytes) })
	if err != nil {
		return err
	}
	defer store.Close()
	openMessages, _ := store.Pending()
	run, err := startRelay(relayInputs{poolUpdate: poolUpdate, backlogMessages: messages, openMessages: openMessages, store: store,
		answerDelay: answerDelay, seed: plan.Seed})
	if err != nil {
		return err
	}
	defer run.close()
	elapsed := time.Since(start)
	if err := recordAll(record, []quantityValue{{journalReplay, milliseconds(replayTime)}, {restartCPU, milliseconds(replayTime + run.firstStepCPU)},
		{restartElapsed, milliseconds(elapsed)}, {backlogHeap, heapBytes() - heapBefore}}); err != nil {
		return err
	}
	share, steps, err := run.observeIdle(ctx, plan.Duration)
	if err != nil {
		return err
	}
	if err := recordAll(record, []quantityValue{{backlogIdleShare, share}, {backlogStep99, milliseconds(quantile(steps, 0.99))},
		{backlogStepLongest, milliseconds(quantile(steps, 1))}}); err != nil {
		return err
	}
	if err := run.recordLoad(ctx, plan.Duration, record); err != nil {
		return err
	}
	return record(backlogKeptShare, float64(run.relay.Counters().Open)/float64(messages))
}
