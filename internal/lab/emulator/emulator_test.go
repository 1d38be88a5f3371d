package emulator

import (
	"slices"
	"testing"
	"time"
)

// Events at one instant run by kind, then in the order they were scheduled; time jumps over empty spans and
// never goes back.
func TestOrder(t *testing.T) {
	s := New(1)
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	s.At(10, 2, note("c"))
	s.At(10, 1, note("b"))
	s.At(5, Any, note("a"))
	s.At(10, 1, note("b2"))
	s.At(10, Any, func() {
		got = append(got, "d")
		s.At(10, 0, note("e")) // scheduled at the same instant, from within it: it still runs, and now
	})
	if n := s.Run(9); n != 1 || s.Now() != 9 {
		t.Fatalf("ran %d to %v", n, s.Now())
	}
	s.Run(Time(time.Hour))
	if want := []string{"a", "b", "b2", "c", "d", "e"}; !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", got, want)
	}
	defer func() {
		if recover() == nil {
			t.Fatal("an event in the past was taken")
		}
	}()
	s.At(5, Any, func() {})
}

// A stream depends on the seed and the actor's name, not on what others drew.
func TestStreams(t *testing.T) {
	a, b := New(7), New(7)
	b.Stream("other").Uint64()
	if a.Stream("server 3").Uint64() != b.Stream("server 3").Uint64() {
		t.Fatal("one actor's numbers depend on another's")
	}
	if New(8).Stream("server 3").Uint64() == a.Stream("server 3").Uint64() {
		t.Fatal("the seed makes no difference")
	}
}
