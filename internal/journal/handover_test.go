package journal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"slatemux/internal/traffic"
)

// openAs opens the journal of a process with the given id.
func openAs(dir string, limitBytes int64, id string) (*Journal, error) {
	owner := thisProcess()
	owner.id = id
	return open(dir, limitBytes, owner)
}

func mustOpenAs(t *testing.T, dir, id string) *Journal {
	t.Helper()
	j, err := openAs(dir, megabyte, id)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// During a handover two processes share the folder. The successor must not touch the file of the running predecessor, and must
// recover its entries exactly once after the predecessor has ended.
func TestHandover(t *testing.T) {
	dir := t.TempDir()
	predecessor := mustOpenAs(t, dir, "1")
	mustCommit(t, predecessor, traffic.TransactionAccepted{Transaction: transaction("a", 3)}, traffic.FlowStarted{ID: "a", At: baseTime},
		traffic.TransactionAccepted{Transaction: transaction("b", 1)},
		traffic.Ended{ID: "b", Notice: &traffic.Notice{ID: "b", Outcome: traffic.GivenUp}})

	successor := mustOpenAs(t, dir, "2")
	if open, notices := successor.Pending(); len(open)+len(notices) > 0 {
		t.Fatalf("the successor has entries of a running process: %v %v", open, notices)
	}
	if open, notices, err := successor.Recover(); err != nil || len(open)+len(notices) > 0 {
		t.Fatalf("recovered from a running process: %v %v %v", open, notices, err)
	}
	mustCommit(t, successor, traffic.TransactionAccepted{Transaction: transaction("c", 1)})
	mustCommit(t, predecessor, traffic.FlowEnded{ID: "a", Attempt: 0, MayHaveRun: true}) // the predecessor continues to write
	predecessor.Close()

	open, notices, err := successor.Recover()
	if err != nil || len(open) != 1 || open[0].ID != "a" || open[0].FirstSent.IsZero() || len(notices) != 1 || notices[0].ID != "b" {
		t.Fatalf("recovered %+v %+v %v", open, notices, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "journal.1")); !os.IsNotExist(err) {
		t.Fatalf("the file of the ended process still exists: %v", err)
	}
	if open, notices, _ := successor.Recover(); len(open)+len(notices) > 0 {
		t.Fatalf("recovered twice: %v %v", open, notices)
	}
	successor.Close()

	// The recovered entries are in the successor's own file.
	last := mustOpenAs(t, dir, "3")
	defer last.Close()
	got, pendingNotices := last.Pending()
	if len(got) != 2 || got[0].ID != "c" || got[1].ID != "a" || len(pendingNotices) != 1 { // in the successor's order
		t.Fatalf("after the successor's end: %+v %+v", got, pendingNotices)
	}
}

// During a handover the files of both processes count against the same limit of the folder. The successor must leave space for
// the file of the running predecessor.
func TestRoomLeavesSpaceForLivingProcess(t *testing.T) {
	dir := t.TempDir()
	const limit = 64 * blockBytes
	predecessor, err := openAs(dir, limit, "1")
	if err != nil {
		t.Fatal(err)
	}
	mustCommit(t, predecessor, traffic.TransactionAccepted{Transaction: transaction("a", 16*blockBytes)})
	successor, err := openAs(dir, limit, "2")
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	alone := liveShare * limit
	if successor.HasRoom(int64(alone) - 4*blockBytes) {
		t.Fatalf("Room ignores the %d bytes of a running process", successor.otherFilesBytes)
	}
	predecessor.Close()
	if _, _, err := successor.Recover(); err != nil {
		t.Fatal(err)
	}
	if successor.otherFilesBytes != 0 {
		t.Fatalf("%d bytes of other processes after the handover", successor.otherFilesBytes)
	}
}

// A failure of the lock call does not show that a process has ended. Its file must be left alone, and be read once the call works again.
func TestFailedLockCallTakesNothingOver(t *testing.T) {
	for _, fault := range []error{syscall.EINTR, syscall.ENOLCK} {
		dir := t.TempDir()
		predecessor := mustOpenAs(t, dir, "1")
		mustCommit(t, predecessor, traffic.TransactionAccepted{Transaction: transaction("a", 3)})
		successor := mustOpenAs(t, dir, "2")
		system, failures := flock, 3
		flock = func(fd, how int) error {
			if failures--; failures >= 0 {
				return fault
			}
			return system(fd, how)
		}
		for range 3 {
			if pending, _, err := successor.Recover(); err != nil || len(pending) > 0 {
				t.Errorf("%v: the successor took over %d transactions of a running process: %v", fault, len(pending), err)
			}
		}
		flock = system
		predecessor.Close()
		if pending, _, err := successor.Recover(); err != nil || len(pending) != 1 {
			t.Errorf("%v: after the end of the process %d transactions, %v", fault, len(pending), err)
		}
		successor.Close()
	}
}

// Guards against a start that replaces the file of an ended process with the same id, although it could not read it yet.
func TestStartKeepsFileItCannotLock(t *testing.T) {
	dir := t.TempDir()
	predecessor := mustOpenAs(t, dir, "1")
	mustCommit(t, predecessor, traffic.TransactionAccepted{Transaction: transaction("a", 3)})
	predecessor.Close()
	system, failed := flock, false
	flock = func(fd, how int) error {
		if !failed {
			failed = true
			return syscall.ENOLCK
		}
		return system(fd, how)
	}
	defer func() { flock = system }()
	successor := mustOpenAs(t, dir, "1")
	defer successor.Close()
	if open, _, err := successor.Recover(); err != nil || len(open) != 1 || open[0].ID != "a" {
		t.Errorf("recovered %v, want the transaction of the ended process: %v", open, err)
	}
}
