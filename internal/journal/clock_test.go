package journal

import (
	"testing"
	"time"

	"slatemux/internal/machineclock"
	"slatemux/internal/traffic"
)

// steppedAnchor returns the anchor of a process that starts after the wall clock was stepped.
func steppedAnchor(step time.Duration) machineclock.Anchor {
	stepped := machineclock.Process
	stepped.Time = stepped.Time.Add(step)
	stepped.Wall += int64(step)
	return stepped
}

// Guards against deadlines and retry windows that a step of the wall clock between two processes moves.
func TestStepOfWallClockMovesNoDeadline(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		dir := t.TempDir()
		j := mustOpen(t, dir, megabyte)
		tr := transaction("a", 10)
		tr.Deadline = time.Now().Add(5 * time.Second)
		sent := time.Now()
		mustCommit(t, j, traffic.TransactionAccepted{Transaction: tr}, traffic.FlowStarted{ID: "a", At: sent})
		j.Close()
		for _, state := range []string{"after the changes", "after a compaction"} {
			next, err := openClocked(dir, megabyte, "stepped", createFile, steppedAnchor(step), machineclock.BootID())
			if err != nil {
				t.Fatal(err)
			}
			open, _ := next.Pending()
			next.Close()
			if len(open) != 1 {
				t.Fatalf("step %v, %s: %d open transactions", step, state, len(open))
			}
			// The later process has the same monotonic clock, and its wall clock shows step more.
			if got := open[0].Deadline.Sub(tr.Deadline) - step; got.Abs() > time.Microsecond {
				t.Errorf("step %v, %s: the deadline moved by %v", step, state, got)
			}
			if got := open[0].FirstSent.Sub(sent) - step; got.Abs() > time.Microsecond {
				t.Errorf("step %v, %s: the first call moved by %v", step, state, got)
			}
		}
	}
}

// After a restart of the machine its clock begins again: then the wall clock counts. The same holds for files of older programs.
func TestWallClockCountsAfterReboot(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, megabyte)
	tr := transaction("a", 10)
	tr.Deadline = time.Now().Add(5 * time.Second)
	mustCommit(t, j, traffic.TransactionAccepted{Transaction: tr})
	j.Close()
	rebooted := machineclock.Process
	rebooted.Machine = time.Minute
	next, err := openClocked(dir, megabyte, "next", createFile, rebooted, "another run")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	open, _ := next.Pending()
	if len(open) != 1 || open[0].Deadline.Sub(tr.Deadline).Abs() > time.Microsecond {
		t.Errorf("%+v, want the deadline %v", open, tr.Deadline)
	}
}
