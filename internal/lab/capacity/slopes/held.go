package slopes

import (
	"context"
	"os"
	"time"

	"slatemux/internal/journal"
	"slatemux/internal/pool"
	"slatemux/internal/traffic"
)

// measureHeld measures a relay that starts with a backlog for the destinations that are down.
func measureHeld(ctx context.Context, plan RelayPlan, size int, to *Recorder) error {
	record := func(q Quantity, value float64) error { return to.record(Held, size, q, value) }
	steps, err := measureModuleSteps(ctx, plan.HeldOver, size, uint64(plan.Seed))
	if err != nil {
		return err
	}
	if err := recordModuleSteps(to, Held, size, "", steps); err != nil {
		return err
	}
	folder, err := os.MkdirTemp(plan.Directory, "capacity-held")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if err := writeBacklog(ctx, folder, size, downDestinations(plan.HeldOver), record); err != nil {
		return err
	}
	return measureRestart(ctx, plan, folder, size, record)
}

// writeBacklog writes a journal that owes a number of messages, as a relay does that takes them on.
func writeBacklog(ctx context.Context, folder string, held, down int, record recordFunc) error {
	store, err := journal.Open(folder, journalRoom)
	if err != nil {
		return err
	}
	defer store.Close()
	deadline, body := time.Now().Add(messageDeadline), make([]byte, bodyBytes)
	var took time.Duration
	for first := 0; first < held; first += journalBatch {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		var changes []traffic.Change
		for n := first; n < min(first+journalBatch, held); n++ {
			changes = append(changes, traffic.TransactionAccepted{Transaction: transaction(n+1, n%down, deadline, body)})
		}
		took += onThread(func() { err = store.Commit(changes) })
		if err != nil {
			return err
		}
	}
	bytes, _, _ := store.Stats()
	return recordAll(record, []measured{{journalBytes, float64(bytes)}, {journalEach, float64(bytes) / float64(held)},
		{journalWrite, microseconds(took) / float64(held)}})
}

// measureRestart measures a start with the journal of a folder, and the relay that comes of it.
func measureRestart(ctx context.Context, plan RelayPlan, folder string, held int, record recordFunc) error {
	raw, err := encodeList(1, true, 0, plan.HeldOver)
	if err != nil {
		return err
	}
	list, err := pool.Parse(raw)
	if err != nil {
		return err
	}
	news := list.News()
	before, begun := heapBytes(), time.Now()
	var store *journal.Journal
	replay := onThread(func() { store, err = journal.Open(folder, journalRoom) })
	if err != nil {
		return err
	}
	defer store.Close()
	open, _ := store.Pending()
	run, err := startRelay(relayInputs{news: news, held: held, open: open, store: store, after: callTakes, seed: plan.Seed})
	if err != nil {
		return err
	}
	defer run.close()
	elapsed := time.Since(begun)
	if err := recordAll(record, []measured{{journalReplay, milliseconds(replay)}, {restartAll, milliseconds(replay + run.startTime)},
		{restartElapsed, milliseconds(elapsed)}, {heldHeap, heapBytes() - before}}); err != nil {
		return err
	}
	share, steps, err := run.watch(ctx, plan.Span)
	if err != nil {
		return err
	}
	if err := recordAll(record, []measured{{holdingShare, share}, {holdingStep99, milliseconds(quantile(steps, 0.99))},
		{holdingLongest, milliseconds(quantile(steps, 1))}}); err != nil {
		return err
	}
	if err := run.recordLoad(ctx, plan.Span, record); err != nil {
		return err
	}
	return record(holdingKept, float64(run.relay.Counters().Open)/float64(held))
}
