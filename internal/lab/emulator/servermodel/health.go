package servermodel

import (
	"time"

	"slatemux/internal/lab/emulator"
)

// State is how a server stands at a moment.
type State uint8

const (
	Up     State = iota
	Down         // its process is gone: connections are refused
	Silent       // its machine is cut off: nothing comes back, connections never come up
)

// Spell is a span of a server's life with a fault: an outage, or a gray failure that only slows it.
type Spell struct {
	From, To emulator.Time
	State    State   // Down or Silent for an outage; Up for a gray failure
	Slower   float64 // work is multiplied by this in a gray failure; 0 or 1 for none
}

// Health is a server's timeline: spells of faults, and after each outage a cold start in which its capacity
// grows from StartShare to all of it, evenly, over Cold: caches and connections are warmed again after a
// restart. A gray failure leaves it up but slower.
type Health struct {
	Spells     []Spell // in order of time, not overlapping
	StartShare float64
	Cold       time.Duration
}

// At says how the server stands at now: its state, and the share of its capacity that it has.
func (h *Health) At(now emulator.Time) (State, float64) {
	share := 1.0
	for _, s := range h.Spells {
		switch {
		case now < s.From:
			return Up, share
		case now < s.To && s.State != Up:
			return s.State, 0
		case now < s.To:
			if s.Slower > 1 {
				share = min(share, 1/s.Slower)
			}
			return Up, share
		case s.State != Up && h.Cold > 0 && now < s.To+emulator.Time(h.Cold):
			warmed := float64(now-s.To) / float64(h.Cold)
			share = h.StartShare + (1-h.StartShare)*warmed
		}
	}
	return Up, share
}
