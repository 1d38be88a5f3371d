package journal

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

const megabyte = 1_000_000

var baseTime = time.UnixMicro(1_790_000_000_000_000)

func transaction(id string, body int) traffic.Transaction {
	return traffic.Transaction{ID: id, Class: "pay", Tenant: "t", OrderKey: "o" + id, IdempotencyKey: "k" + id, Destination: 7, Deadline: baseTime,
		Body: make([]byte, body)}
}

func mustOpen(t interface{ Fatal(...any) }, dir string, limit int64) *Journal {
	j, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func mustCommit(t interface{ Fatal(...any) }, j *Journal, changes ...traffic.Change) {
	if err := j.Commit(changes); err != nil {
		t.Fatal(err)
	}
}

// processHistory holds changes that a process wrote before it ended. Flows of transactions a and b are still in progress.
var processHistory = []traffic.Change{
	traffic.TransactionAccepted{Transaction: transaction("a", 10)},
	traffic.FlowStarted{ID: "a", Attempt: 0, At: baseTime.Add(time.Second)},
	traffic.FlowEnded{ID: "a", Attempt: 0, MayHaveRun: true},
	traffic.FlowStarted{ID: "a", Attempt: 1, At: baseTime.Add(2 * time.Second)},
	traffic.TransactionAccepted{Transaction: transaction("b", 0)},
	traffic.FlowStarted{ID: "b", Attempt: 0, At: baseTime.Add(3 * time.Second)},
	traffic.TransactionAccepted{Transaction: transaction("c", 5)},
	traffic.FlowStarted{ID: "c", Attempt: 0, At: baseTime.Add(4 * time.Second)},
	traffic.FlowEnded{ID: "c", Attempt: 0},
	traffic.TransactionAccepted{Transaction: transaction("d", 1)},
	traffic.Ended{ID: "d", Notice: &traffic.Notice{OrderKey: "key", ID: "d", Outcome: traffic.Returned, RetryIn: time.Second}},
	traffic.TransactionAccepted{Transaction: transaction("e", 1)},
	traffic.Ended{ID: "e"},
	traffic.TransactionAccepted{Transaction: transaction("f", 1)},
	traffic.Ended{ID: "f", Notice: &traffic.Notice{ID: "f", Outcome: traffic.GivenUp}},
	traffic.NoticeAnswered{ID: "f"},
}

// A flow that was in progress when the process ended may have run. FirstSent is the start of the earliest flow that may have run.
func TestReplay(t *testing.T) {
	dir := t.TempDir()
	predecessor := mustOpen(t, dir, megabyte)
	mustCommit(t, predecessor, processHistory...)
	predecessor.Close() // releases the lock, as the kernel does when a process ends
	wantOpen := []traffic.Open{
		{Transaction: transaction("a", 10), Attempts: 2, FirstSent: baseTime.Add(time.Second)},
		{Transaction: transaction("b", 0), Attempts: 1, FirstSent: baseTime.Add(3 * time.Second)},
		{Transaction: transaction("c", 5), Attempts: 1},
	}
	for _, state := range []string{"after the changes", "after a compaction"} {
		j := mustOpen(t, dir, megabyte)
		got, notices := j.Pending()
		j.Close()
		for i := range got {
			got[i].Body = append([]byte{}, got[i].Body...)
			got[i].Deadline, got[i].FirstSent = got[i].Deadline.Round(0), got[i].FirstSent.Round(0) // without the monotonic reading
		}
		if !reflect.DeepEqual(got, wantOpen) {
			t.Errorf("%s: %+v\nwant %+v", state, got, wantOpen)
		}
		if len(notices) != 1 || notices[0] != *processHistory[10].(traffic.Ended).Notice {
			t.Errorf("%s: notices %+v", state, notices)
		}
	}
}

// A process that ends during a write leaves a truncated or corrupt tail. The records before the tail must be recovered, and so
// must the records that are written after the next start.
func TestTruncatedOrCorruptTail(t *testing.T) {
	var intact []byte
	for _, ch := range processHistory[:3] {
		intact = appendChange(intact, ch)
	}
	dir := t.TempDir()
	proptest.Check(t, func(t *rapid.T) {
		tail := proptest.Malformed(t, appendChange(nil, processHistory[4])[:20])
		if err := os.WriteFile(filepath.Join(dir, filePrefix), append(append([]byte{}, intact...), tail...), 0o600); err != nil {
			t.Fatal(err)
		}
		j := mustOpen(t, dir, megabyte)
		mustCommit(t, j, traffic.TransactionAccepted{Transaction: transaction("z", 3)})
		j.Close()
		j = mustOpen(t, dir, megabyte)
		defer j.Close()
		got, _ := j.Pending()
		if len(got) != 2 || got[0].ID != "a" || got[0].Attempts != 1 || got[1].ID != "z" {
			t.Fatalf("%+v", got)
		}
	})
}

// decode must decode each valid record completely, and must not accept more bytes than the record has.
func TestDecodeRejectsGarbage(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		ch := rapid.SampledFrom(processHistory).Draw(t, "change")
		valid := appendChange(nil, ch)
		if _, n, err := decode(valid); err != nil || n != len(valid) {
			t.Fatalf("%d of %d, %v", n, len(valid), err)
		}
		if got, n, err := decode(proptest.Malformed(t, valid)); err == nil && (n > len(valid) || got == nil) {
			t.Fatalf("%d of %d, %v", n, len(valid), got)
		}
	})
}

// Old and new file together must never exceed the limit of the folder. Once HasRoom has accepted a transaction, the records of its
// flows and of its end must always fit.
func TestFolderStaysUnderLimit(t *testing.T) {
	const limit = 200_000
	j := mustOpen(t, t.TempDir(), limit)
	defer j.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	var ids []string
	for i := range 2000 {
		tr := transaction(strconv.Itoa(i), rng.IntN(20_000))
		if j.HasRoom(int64(tr.Size())) {
			mustCommit(t, j, traffic.TransactionAccepted{Transaction: tr}, traffic.FlowStarted{ID: tr.ID, At: baseTime})
			ids = append(ids, tr.ID)
		} else {
			mustCommit(t, j, traffic.Ended{ID: ids[0]})
			ids = ids[1:]
		}
		if size, live, _ := j.Stats(); roundUpToBlocks(size)+roundUpToBlocks(live) > limit {
			t.Fatalf("%d bytes and %d bytes after compaction exceed the limit of %d", size, live, limit)
		}
	}
	if _, _, compacted := j.Stats(); compacted < 10 {
		t.Fatalf("%d compactions: the test does not reach the limit", compacted)
	}
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // otherwise hundreds of dropped tails would be logged
	m.Run()
}
