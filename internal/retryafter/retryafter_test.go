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
	b, err := Open(dir) // the other process of a hand-over
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	now := time.Unix(1_790_000_000, 0)
	a.Tell(traffic.Group{Destination: 3}, now.Add(16*time.Second))
	if got := b.Until(traffic.Group{Destination: 3}, now); !got.Equal(now.Add(16 * time.Second)) {
		t.Fatalf("the other sees %v", got)
	}
	if got := b.Until(traffic.Group{Destination: 4}, now); !got.IsZero() {
		t.Fatalf("another destination waits: %v", got)
	}
	b.Tell(traffic.Group{Destination: 3}, now.Add(time.Second)) // a shorter wait does not end a longer one
	if got := a.Until(traffic.Group{Destination: 3}, now); !got.Equal(now.Add(16 * time.Second)) {
		t.Fatalf("shortened to %v", got)
	}
	if got := a.Until(traffic.Group{Destination: 3}, now.Add(17*time.Second)); !got.IsZero() {
		t.Fatalf("over, yet %v", got)
	}
	// Two thousand routes apart wait at one time, and all are held.
	for i := range 2000 {
		a.Tell(traffic.Group{Destination: i / 4, Member: fmt.Sprint("s-", i)}, now.Add(time.Minute))
	}
	for i := range 2000 {
		if b.Until(traffic.Group{Destination: i / 4, Member: fmt.Sprint("s-", i)}, now).IsZero() {
			t.Fatalf("of two thousand waits, number %d is lost", i)
		}
	}
	// More waits than slots: the one that ends first gives way, the longest stay.
	for i := range 2 * slotCount {
		a.Tell(traffic.Group{Member: fmt.Sprint(i)}, now.Add(time.Duration(i)*time.Millisecond))
	}
	if got := b.Until(traffic.Group{Member: fmt.Sprint(2*slotCount - 1)}, now); got.IsZero() {
		t.Fatal("the newest and longest wait was dropped")
	}
	var nilTable *Table
	nilTable.Tell(traffic.Group{}, now)
	if !nilTable.Until(traffic.Group{}, now).IsZero() {
		t.Fatal("a nil table holds waits")
	}
}

// Flows that are still ending when the table is closed find nothing, and do not bring the process down.
func TestUseAfterClose(t *testing.T) {
	a, err := Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	group, now := traffic.Group{Destination: 3}, time.Now()
	a.Tell(group, now.Add(time.Minute))
	if err := errors.Join(a.Close(), a.Close()); err != nil {
		t.Fatal(err)
	}
	a.Tell(group, now.Add(time.Hour))
	if got := a.Until(group, now); !got.IsZero() {
		t.Errorf("a closed table says %v", got)
	}
}
