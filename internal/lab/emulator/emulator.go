// Package emulator is a discrete-event simulator: one queue of events in virtual time, and one random stream for each actor. A run
// depends only on its seed: simultaneous events run in a fixed order (by priority, then in the order in which they were scheduled),
// and the simulator uses no goroutines and no real clock.
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

// Duration returns the time since the start of the run.
func (t Time) Duration() time.Duration { return time.Duration(t) }

// Priority orders simultaneous events: an event with a lower priority number runs first. The users of the package define the numbers.
type Priority uint8

// AnyPriority is the highest priority number. It is for events whose order among simultaneous events does not matter.
const AnyPriority Priority = 255

// event is a scheduled function.
type event struct {
	at       Time
	priority Priority
	sequence uint64
	run      func()
}

// eventQueue is a heap of events in the order in which they run.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.sequence < b.sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// Sim is a simulation. It runs events in the order of virtual time.
type Sim struct {
	seed         uint64
	now          Time
	lastSequence uint64
	queue        eventQueue
	eventCount   uint64
}

// New returns a simulation at time 0.
func New(seed uint64) *Sim { return &Sim{seed: seed} }

// Now returns the virtual time: while an event runs, the time for which it was scheduled.
func (s *Sim) Now() Time { return s.now }

// EventCount returns the number of events that have run.
func (s *Sim) EventCount() uint64 { return s.eventCount }

// At schedules do at a time. It panics if the time is in the past: virtual time never goes back.
func (s *Sim) At(at Time, kind Priority, do func()) {
	if at < s.now {
		panic(fmt.Sprintf("emulator: event scheduled for %v in the past: the time is %v", at.Duration(), s.now.Duration()))
	}
	s.lastSequence++
	heap.Push(&s.queue, event{at: at, priority: kind, sequence: s.lastSequence, run: do})
}

// After schedules do after a span of virtual time.
func (s *Sim) After(d time.Duration, kind Priority, do func()) { s.At(s.now+Time(max(d, 0)), kind, do) }

// Run runs all events up to and including the time until, and sets the clock to that time. It returns the number of events.
func (s *Sim) Run(until Time) uint64 {
	from := s.eventCount
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		s.eventCount++
		e.run()
	}
	if until > s.now {
		s.now = until
	}
	return s.eventCount - from
}

// Stream returns the random stream of an actor. The same name and seed give the same numbers, whatever other actors draw.
func (s *Sim) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.seed, h.Sum64()))
}
