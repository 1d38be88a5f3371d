// Package emulator is the laboratory's discrete-event core: one queue of events in virtual time, and one random
// stream for each actor. A run is a function of its seed alone: events at one instant run in a stated order (by
// kind, then in the order of their scheduling), and no goroutine or clock of the machine takes part.
package emulator

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Time is virtual time, in nanoseconds from the start of a run.
type Time int64

// Duration turns it into one of the standard library.
func (t Time) Duration() time.Duration { return time.Duration(t) }

// Kind ranks events that fall on one instant: a lower kind runs first. The ranks are the scenario's to name;
// Any is for events whose order among others does not matter, and runs last.
type Kind uint8

// Any is the last of the kinds.
const Any Kind = 255

type event struct {
	at   Time
	kind Kind
	seq  uint64
	do   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.kind != b.kind {
		return a.kind < b.kind
	}
	return a.seq < b.seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// Sim runs events in order of time.
type Sim struct {
	seed uint64
	now  Time
	seq  uint64
	q    queue
	done uint64
}

// New returns a Sim at time 0.
func New(seed uint64) *Sim { return &Sim{seed: seed} }

// Now is the time of the event that runs.
func (s *Sim) Now() Time { return s.now }

// Events counts the events that have run.
func (s *Sim) Events() uint64 { return s.done }

// At schedules do at a time, which may not lie before now: virtual time never goes back.
func (s *Sim) At(at Time, kind Kind, do func()) {
	if at < s.now {
		panic(fmt.Sprintf("world: an event at %v is scheduled at %v, in the past", at.Duration(), s.now.Duration()))
	}
	s.seq++
	heap.Push(&s.q, event{at: at, kind: kind, seq: s.seq, do: do})
}

// After schedules do after a span of virtual time.
func (s *Sim) After(d time.Duration, kind Kind, do func()) { s.At(s.now+Time(max(d, 0)), kind, do) }

// Run runs the events due until the time, and leaves the clock there. It returns how many ran.
func (s *Sim) Run(until Time) uint64 {
	from := s.done
	for len(s.q) > 0 && s.q[0].at <= until {
		e := heap.Pop(&s.q).(event)
		s.now = e.at
		s.done++
		e.do()
	}
	if until > s.now {
		s.now = until
	}
	return s.done - from
}

// Stream is the random stream of an actor: the same name under the same seed gives the same numbers, whatever
// other actors draw.
func (s *Sim) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}
