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

var at = time.UnixMicro(1_790_000_000_000_000)

func transaction(id string, body int) traffic.Transaction {
	return traffic.Transaction{ID: id, Class: "pay", Tenant: "t", Order: "o" + id, Key: "k" + id, Destination: 7, Deadline: at,
		Body: make([]byte, body)}
}

func open(t interface{ Fatal(...any) }, dir string, limit int64) *Journal {
	j, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func commit(t interface{ Fatal(...any) }, j *Journal, changes ...traffic.Change) {
	if err := j.Commit(changes); err != nil {
		t.Fatal(err)
	}
}

// story is what a process may have written before it died.
var story = []traffic.Change{
	traffic.Taken{Transaction: transaction("a", 10)},
	traffic.FlowBegun{ID: "a", Attempt: 0, At: at.Add(time.Second)},
	traffic.FlowEnded{ID: "a", Attempt: 0, MayHaveRun: true},
	traffic.FlowBegun{ID: "a", Attempt: 1, At: at.Add(2 * time.Second)},
	traffic.Taken{Transaction: transaction("b", 0)},
	traffic.FlowBegun{ID: "b", Attempt: 0, At: at.Add(3 * time.Second)},
	traffic.Taken{Transaction: transaction("c", 5)},
	traffic.FlowBegun{ID: "c", Attempt: 0, At: at.Add(4 * time.Second)},
	traffic.FlowEnded{ID: "c", Attempt: 0},
	traffic.Taken{Transaction: transaction("d", 1)},
	traffic.Ended{ID: "d", Notice: &traffic.Notice{Order: "key", ID: "d", Outcome: traffic.HandedBack, RetryIn: time.Second}},
	traffic.Taken{Transaction: transaction("e", 1)},
	traffic.Ended{ID: "e"},
	traffic.Taken{Transaction: transaction("f", 1)},
	traffic.Ended{ID: "f", Notice: &traffic.Notice{ID: "f", Outcome: traffic.GivenUp}},
	traffic.Answered{ID: "f"},
}

// A flow that was out at the death may have run, and its first-sent time is the earliest of those that may.
func TestReplay(t *testing.T) {
	dir := t.TempDir()
	dead := open(t, dir, megabyte)
	commit(t, dead, story...)
	dead.Close() // the kernel drops the lock of a process that dies
	wantOpen := []traffic.Open{
		{Transaction: transaction("a", 10), Attempts: 2, FirstSent: at.Add(time.Second)},
		{Transaction: transaction("b", 0), Attempts: 1, FirstSent: at.Add(3 * time.Second)},
		{Transaction: transaction("c", 5), Attempts: 1},
	}
	for _, when := range []string{"after the changes", "after a compaction"} {
		j := open(t, dir, megabyte)
		got, notices := j.Owed()
		j.Close()
		for i := range got {
			got[i].Body = append([]byte{}, got[i].Body...)
		}
		if !reflect.DeepEqual(got, wantOpen) {
			t.Errorf("%s: %+v\nwant %+v", when, got, wantOpen)
		}
		if len(notices) != 1 || notices[0] != *story[10].(traffic.Ended).Notice {
			t.Errorf("%s: notices %+v", when, notices)
		}
	}
}

// A process that dies in a write leaves a torn or garbled tail: what stands before it is kept, and what is
// written after the next start is found again.
func TestTornAndGarbledTail(t *testing.T) {
	var whole []byte
	for _, ch := range story[:3] {
		whole = appendChange(whole, ch)
	}
	dir := t.TempDir()
	proptest.Check(t, func(t *rapid.T) {
		tail := proptest.Garbage(t, appendChange(nil, story[4])[:20])
		if err := os.WriteFile(filepath.Join(dir, prefix), append(append([]byte{}, whole...), tail...), 0o600); err != nil {
			t.Fatal(err)
		}
		j := open(t, dir, megabyte)
		commit(t, j, traffic.Taken{Transaction: transaction("z", 3)})
		j.Close()
		j = open(t, dir, megabyte)
		defer j.Close()
		got, _ := j.Owed()
		if len(got) != 2 || got[0].ID != "a" || got[0].Attempts != 1 || got[1].ID != "z" {
			t.Fatalf("%+v", got)
		}
	})
}

func TestGarbageIsNoRecord(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		ch := rapid.SampledFrom(story).Draw(t, "change")
		valid := appendChange(nil, ch)
		if _, n, err := decode(valid); err != nil || n != len(valid) {
			t.Fatalf("%d of %d, %v", n, len(valid), err)
		}
		if got, n, err := decode(proptest.Garbage(t, valid)); err == nil && (n > len(valid) || got == nil) {
			t.Fatalf("%d of %d, %v", n, len(valid), got)
		}
	})
}

// The folder, old and new file together, never holds more than its limit, and what is taken on within Room
// always has room for its flows and its end.
func TestStaysUnderTheLimit(t *testing.T) {
	const limit = 200_000
	j := open(t, t.TempDir(), limit)
	defer j.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	var ids []string
	for i := range 2000 {
		tr := transaction(strconv.Itoa(i), rng.IntN(20_000))
		if j.Room(int64(tr.Size())) {
			commit(t, j, traffic.Taken{Transaction: tr}, traffic.FlowBegun{ID: tr.ID, At: at})
			ids = append(ids, tr.ID)
		} else {
			commit(t, j, traffic.Ended{ID: ids[0]})
			ids = ids[1:]
		}
		if size, live, _ := j.Stats(); blocks(size)+blocks(live) > limit {
			t.Fatalf("%d bytes and %d to compact into are over %d", size, live, limit)
		}
	}
	if _, _, compacted := j.Stats(); compacted < 10 {
		t.Fatalf("%d compactions: the test does not reach the limit", compacted)
	}
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // dropped tails would be told hundreds of times
	m.Run()
}
