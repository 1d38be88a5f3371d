package retryafter

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"slatemux/internal/traffic"
)

func TestSharedBetweenProcesses(t *testing.T) {
	dir := t.TempDir()
	a, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Open(dir) // the other process of a handover
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	now := time.Unix(1_790_000_000, 0)
	a.Record(traffic.Group{Destination: 3}, now.Add(16*time.Second))
	if got := b.Until(traffic.Group{Destination: 3}, now); !got.Equal(now.Add(16 * time.Second)) {
		t.Fatalf("the other process sees %v", got)
	}
	if got := b.Until(traffic.Group{Destination: 4}, now); !got.IsZero() {
		t.Fatalf("a destination without a retry-after waits until %v", got)
	}
	b.Record(traffic.Group{Destination: 3}, now.Add(time.Second)) // a shorter wait does not end a longer one
	if got := a.Until(traffic.Group{Destination: 3}, now); !got.Equal(now.Add(16 * time.Second)) {
		t.Fatalf("a shorter retry-after changed the end to %v", got)
	}
	if got := a.Until(traffic.Group{Destination: 3}, now.Add(17*time.Second)); !got.IsZero() {
		t.Fatalf("the wait is over, but Until returns %v", got)
	}
	// Two thousand members with separate limits wait at the same time, and every wait is kept.
	for i := range 2000 {
		a.Record(traffic.Group{Destination: i / 4, Member: fmt.Sprint("s-", i)}, now.Add(time.Minute))
	}
	for i := range 2000 {
		if b.Until(traffic.Group{Destination: i / 4, Member: fmt.Sprint("s-", i)}, now).IsZero() {
			t.Fatalf("wait %d of 2000 is lost", i)
		}
	}
	// With more waits than slots, the wait that ends first is replaced, and the longest ones stay.
	for i := range 2 * slotCount {
		a.Record(traffic.Group{Member: fmt.Sprint(i)}, now.Add(time.Duration(i)*time.Millisecond))
	}
	if got := b.Until(traffic.Group{Member: fmt.Sprint(2*slotCount - 1)}, now); got.IsZero() {
		t.Fatal("the newest and longest wait was replaced")
	}
	var nilTable *Table
	nilTable.Record(traffic.Group{}, now)
	if !nilTable.Until(traffic.Group{}, now).IsZero() {
		t.Fatal("a nil table holds waits")
	}
}

// Flows that end after the table is closed find no wait and cause no crash.
func TestUseAfterClose(t *testing.T) {
	a, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	group, now := traffic.Group{Destination: 3}, time.Now()
	a.Record(group, now.Add(time.Minute))
	if err := errors.Join(a.Close(), a.Close()); err != nil {
		t.Fatal(err)
	}
	a.Record(group, now.Add(time.Hour))
	if got := a.Until(group, now); !got.IsZero() {
		t.Errorf("a closed table returns %v", got)
	}
}

// A step of the wall clock between two processes neither lengthens nor ends a wait. The later process has the same monotonic clock, and its
// wall clock shows step more.
func TestStepOfWallClockKeepsWait(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		dir := t.TempDir()
		a, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		b, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		group, now := traffic.Group{Destination: 3}, time.Now()
		a.Record(group, now.Add(16*time.Second))
		b.clock.Time = b.clock.Time.Add(step)
		now = now.Add(step)
		if left := b.Until(group, now).Sub(now); left != 16*time.Second {
			t.Errorf("after a step of %v the wait lasts %v", step, left)
		}
		if left := b.Until(group, now.Add(17*time.Second)); !left.IsZero() {
			t.Errorf("after a step of %v the wait has not ended", step)
		}
		if err := errors.Join(a.Close(), b.Close()); err != nil {
			t.Error(err)
		}
	}
}
