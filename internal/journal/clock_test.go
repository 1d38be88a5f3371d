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
			owner := thisProcess()
			owner.id, owner.anchor = "stepped", steppedAnchor(step)
			next, err := open(dir, megabyte, owner)
			if err != nil {
				t.Fatal(err)
			}
			pending, _ := next.Pending()
			next.Close()
			if len(pending) != 1 {
				t.Fatalf("step %v, %s: %d open transactions", step, state, len(pending))
			}
			// The later process has the same monotonic clock, and its wall clock shows step more.
			if got := pending[0].Deadline.Sub(tr.Deadline) - step; got.Abs() > time.Microsecond {
				t.Errorf("step %v, %s: the deadline moved by %v", step, state, got)
			}
			if got := pending[0].FirstSent.Sub(sent) - step; got.Abs() > time.Microsecond {
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
	rebooted := thisProcess()
	rebooted.id, rebooted.anchor.Machine, rebooted.boot = "next", time.Minute, "another run"
	next, err := open(dir, megabyte, rebooted)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	pending, _ := next.Pending()
	if len(pending) != 1 || pending[0].Deadline.Sub(tr.Deadline).Abs() > time.Microsecond {
		t.Errorf("%+v, want the deadline %v", pending, tr.Deadline)
	}
}
