package journal

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"slatemux/internal/traffic"
)

// faultyFile fails writes and truncations while an error is set. A failed write leaves half of its bytes in the file.
type faultyFile struct {
	*os.File
	err error
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.err == nil {
		return f.File.Write(b)
	}
	n, _ := f.File.Write(b[:len(b)/2])
	return n, f.err
}

func (f *faultyFile) Truncate(size int64) error {
	if f.err == nil {
		return f.File.Truncate(size)
	}
	return f.err
}

// faultyDisk is a folder in which every write fails while an error is set.
type faultyDisk struct {
	err   error
	files []*faultyFile
}

func (d *faultyDisk) create(path string) (file, error) {
	if d.err != nil {
		return nil, d.err
	}
	f, err := createFile(path)
	if err != nil {
		return nil, err
	}
	faulty := &faultyFile{File: f.(*os.File)}
	d.files = append(d.files, faulty)
	return faulty, nil
}

// fail sets the error of all later writes; nil ends the fault.
func (d *faultyDisk) fail(err error) {
	d.err = err
	for _, f := range d.files {
		f.err = err
	}
}

func openOnDisk(t *testing.T, dir, id string, limit int64, disk *faultyDisk) *Journal {
	t.Helper()
	owner := thisProcess()
	owner.id, owner.create = id, disk.create
	j, err := open(dir, limit, owner)
	if err != nil {
		t.Fatalf("the journal did not open: %v", err)
	}
	return j
}

// ids returns the ids of the open transactions that a new process finds in the folder.
func idsAfterKill(t *testing.T, j *Journal, dir string) []string {
	t.Helper()
	_ = j.Close() // releases the lock, as the kernel does when a process ends
	next := mustOpenAs(t, dir, "next")
	defer next.Close()
	open, _ := next.Pending()
	return openIDs(open)
}

// Guards against lost messages behind a write that failed halfway and could not be undone at once.
func TestRecordsAfterFailedWriteAreReplayed(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO} {
		dir, disk := t.TempDir(), &faultyDisk{}
		j := openOnDisk(t, dir, "1", megabyte, disk)
		mustCommit(t, j, traffic.TransactionAccepted{Transaction: transaction("a", 10)})
		disk.fail(fault)
		for range 2 {
			if err := j.Commit([]traffic.Change{traffic.TransactionAccepted{Transaction: transaction("b", 10)}}); !errors.Is(err, fault) {
				t.Errorf("commit on a faulty disk: %v, want %v", err, fault)
			}
		}
		disk.fail(nil)
		mustCommit(t, j, traffic.TransactionAccepted{Transaction: transaction("c", 10)})
		if ids := idsAfterKill(t, j, dir); len(ids) != 2 || ids[0] != "a" || ids[1] != "c" {
			t.Errorf("after %v the next process finds %v, want a and c", fault, ids)
		}
	}
}

// Guards against a start that fails, or forgets messages, while the folder cannot be written.
func TestStartOnFaultyDisk(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{}
	predecessor := openOnDisk(t, dir, "1", megabyte, disk)
	mustCommit(t, predecessor, processHistory...)
	predecessor.Close()
	disk.fail(syscall.ENOSPC)
	j := openOnDisk(t, dir, "2", megabyte, disk)
	if open, notices := j.Pending(); len(open) != 3 || len(notices) != 1 {
		t.Fatalf("recovered %d transactions and %d notices, want 3 and 1", len(open), len(notices))
	}
	change := []traffic.Change{traffic.FlowStarted{ID: "a", Attempt: 2, At: baseTime}}
	if err := j.Commit(change); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("commit on a faulty disk: %v", err)
	}
	disk.fail(nil)
	mustCommit(t, j, change...)
	mustCommit(t, j, traffic.Ended{ID: "b"})
	if ids := idsAfterKill(t, j, dir); len(ids) != 2 || ids[0] != "a" || ids[1] != "c" {
		t.Errorf("the next process finds %v, want a and c", ids)
	}
}

// A kill while the folder cannot be written leaves the predecessor's file as it was.
func TestKillOnFaultyDiskLosesNothing(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{}
	predecessor := openOnDisk(t, dir, "1", megabyte, disk)
	mustCommit(t, predecessor, processHistory...)
	predecessor.Close()
	disk.fail(syscall.EIO)
	j := openOnDisk(t, dir, "2", megabyte, disk)
	_ = j.Commit([]traffic.Change{traffic.Ended{ID: "a"}})
	if ids := idsAfterKill(t, j, dir); len(ids) != 3 {
		t.Errorf("the next process finds %v, want three transactions", ids)
	}
}

// Guards against messages of a predecessor that a failed recovery swallows, and against own flows that a recovery takes for ended.
func TestRecoverOnFaultyDisk(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{}
	predecessor := openOnDisk(t, dir, "1", megabyte, disk)
	mustCommit(t, predecessor, traffic.TransactionAccepted{Transaction: transaction("a", 3)})
	successor := openOnDisk(t, dir, "2", megabyte, disk)
	mustCommit(t, successor, traffic.TransactionAccepted{Transaction: transaction("own", 3)}, traffic.FlowStarted{ID: "own", At: baseTime})
	predecessor.Close()
	disk.fail(syscall.ENOSPC)
	recovered := map[string]int{}
	recoverOnce := func() {
		open, _, _ := successor.Recover()
		for _, o := range open {
			recovered[o.ID]++
		}
	}
	recoverOnce()
	recoverOnce()
	disk.fail(nil)
	recoverOnce()
	mustCommit(t, successor, traffic.FlowEnded{ID: "own"})
	if recovered["a"] != 1 || len(recovered) != 1 {
		t.Errorf("recovered %v, want a once", recovered)
	}
	_ = successor.Close()
	next := mustOpenAs(t, dir, "next")
	defer next.Close()
	open, _ := next.Pending()
	if len(open) != 2 || !open[0].FirstSent.IsZero() || !open[1].FirstSent.IsZero() {
		t.Errorf("the next process finds %+v, want two transactions that have not run", open)
	}
}
