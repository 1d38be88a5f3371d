package journal

import (
	"os"
	"path/filepath"
	"testing"

	"slatemux/internal/traffic"
)

func openAsT(t *testing.T, dir, id string) *Journal {
	t.Helper()
	j, err := openAs(dir, megabyte, id)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// Two processes share the folder during a hand-over: the successor leaves alone what the running one holds,
// and takes it over, exactly once, when that one has ended.
func TestHandOver(t *testing.T) {
	dir := t.TempDir()
	old := openAsT(t, dir, "1")
	commit(t, old, traffic.Taken{Transaction: transaction("a", 3)}, traffic.FlowBegun{ID: "a", At: at},
		traffic.Taken{Transaction: transaction("b", 1)},
		traffic.Ended{ID: "b", Notice: &traffic.Notice{ID: "b", Outcome: traffic.GivenUp}})

	next := openAsT(t, dir, "2")
	if open, notices := next.Owed(); len(open)+len(notices) > 0 {
		t.Fatalf("the successor owns what a living process holds: %v %v", open, notices)
	}
	if open, notices, err := next.Adopt(); err != nil || len(open)+len(notices) > 0 {
		t.Fatalf("adopted from a living process: %v %v %v", open, notices, err)
	}
	commit(t, next, traffic.Taken{Transaction: transaction("c", 1)})
	commit(t, old, traffic.FlowEnded{ID: "a", Attempt: 0, MayHaveRun: true}) // it goes on writing meanwhile
	old.Close()

	open, notices, err := next.Adopt()
	if err != nil || len(open) != 1 || open[0].ID != "a" || open[0].FirstSent.IsZero() || len(notices) != 1 || notices[0].ID != "b" {
		t.Fatalf("adopted %+v %+v %v", open, notices, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "journal.1")); !os.IsNotExist(err) {
		t.Fatalf("the ended process's file is still there: %v", err)
	}
	if open, notices, _ := next.Adopt(); len(open)+len(notices) > 0 {
		t.Fatalf("adopted twice: %v %v", open, notices)
	}
	next.Close()

	// What was adopted lasts in the successor's own file.
	last := openAsT(t, dir, "3")
	defer last.Close()
	got, owed := last.Owed()
	if len(got) != 2 || got[0].ID != "c" || got[1].ID != "a" || len(owed) != 1 { // in the order the successor took them
		t.Fatalf("after the successor's end: %+v %+v", got, owed)
	}
}

// Both files of a hand-over count against the folder's one limit: the successor leaves room for the living one's.
func TestRoomBesideALivingProcess(t *testing.T) {
	dir := t.TempDir()
	const limit = 64 * block
	old, err := openAs(dir, limit, "1")
	if err != nil {
		t.Fatal(err)
	}
	commit(t, old, traffic.Taken{Transaction: transaction("a", 16*block)})
	next, err := openAs(dir, limit, "2")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	alone := livePart * limit
	if next.Room(int64(alone) - 4*block) {
		t.Fatalf("room as if alone, beside %d bytes of a living process", next.foreign)
	}
	old.Close()
	if _, _, err := next.Adopt(); err != nil {
		t.Fatal(err)
	}
	if next.foreign != 0 {
		t.Fatalf("%d foreign bytes after the hand-over", next.foreign)
	}
}
