package emulator

import (
	"slices"
	"testing"
	"time"
)

// Checks the order of events: by time, then by priority, then in the order in which they were scheduled. Time skips empty spans and
// never goes back.
func TestEventOrder(t *testing.T) {
	s := New(1)
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	s.At(10, 2, note("c"))
	s.At(10, 1, note("b"))
	s.At(5, AnyPriority, note("a"))
	s.At(10, 1, note("b2"))
	s.At(10, AnyPriority, func() {
		got = append(got, "d")
		s.At(10, 0, note("e")) // an event that is scheduled for the current instant still runs in this call
	})
	if n := s.Run(9); n != 1 || s.Now() != 9 {
		t.Fatalf("%d events ran up to %v, want 1 up to 9", n, s.Now())
	}
	s.Run(Time(time.Hour))
	if want := []string{"a", "b", "b2", "c", "d", "e"}; !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
	defer func() {
		if recover() == nil {
			t.Fatal("At accepted an event in the past")
		}
	}()
	s.At(5, AnyPriority, func() {})
}

// Checks that a random stream depends only on the seed and the name of the actor, not on what other actors draw.
func TestRandomStreams(t *testing.T) {
	a, b := New(7), New(7)
	b.Stream("other").Uint64()
	if a.Stream("server 3").Uint64() != b.Stream("server 3").Uint64() {
		t.Fatal("the numbers of one actor depend on the draws of another")
	}
	if New(8).Stream("server 3").Uint64() == a.Stream("server 3").Uint64() {
		t.Fatal("another seed gave the same numbers")
	}
}
