package waits

import (
	"fmt"
	"testing"
	"time"
)

func TestShared(t *testing.T) {
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
	a.Tell("destination 3", now.Add(16*time.Second))
	if got := b.Until("destination 3", now); !got.Equal(now.Add(16 * time.Second)) {
		t.Fatalf("the other sees %v", got)
	}
	if got := b.Until("destination 4", now); !got.IsZero() {
		t.Fatalf("another destination waits: %v", got)
	}
	b.Tell("destination 3", now.Add(time.Second)) // a shorter wait does not end a longer one
	if got := a.Until("destination 3", now); !got.Equal(now.Add(16 * time.Second)) {
		t.Fatalf("shortened to %v", got)
	}
	if got := a.Until("destination 3", now.Add(17*time.Second)); !got.IsZero() {
		t.Fatalf("over, yet %v", got)
	}
	// More waits than slots: the one that ends first gives way, the longest stay.
	for i := range 2 * slots {
		a.Tell(fmt.Sprint("member ", i), now.Add(time.Duration(i)*time.Millisecond))
	}
	if got := b.Until(fmt.Sprint("member ", 2*slots-1), now); got.IsZero() {
		t.Fatal("the newest and longest wait was dropped")
	}
	var nilTable *Table
	nilTable.Tell("x", now)
	if !nilTable.Until("x", now).IsZero() {
		t.Fatal("a nil table holds waits")
	}
}
