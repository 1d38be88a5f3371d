package servermodel

import (
	"time"

	"slatemux/internal/lab/emulator"
)

// State is the reachability of a server.
type State uint8

const (
	Up     State = iota
	Down         // the process has ended: the machine refuses connections
	Silent       // the machine is partitioned: calls get no answer, and connections cannot be established
)

// Fault is a span of time with a fault: an outage, or a gray failure that only slows the server down.
type Fault struct {
	From, To emulator.Time
	State    State   // Down or Silent for an outage, Up for a gray failure
	Slowdown float64 // factor by which a gray failure multiplies the work of a call; 0 or 1 for no slowdown
}

// Health is the timeline of a server's faults. After each outage the server starts cold: its share of the full capacity grows linearly
// from StartShare to 1 over the time Cold, as caches fill and connections are established. In a gray failure the server is up but
// slower.
type Health struct {
	Faults            []Fault // in order of time, without overlaps
	StartShare        float64
	ColdStartDuration time.Duration
}

// At returns the state of the server at a time, and the available share of its capacity.
func (h *Health) At(now emulator.Time) (State, float64) {
	share := 1.0
	for _, s := range h.Faults {
		switch {
		case now < s.From:
			return Up, share
		case now < s.To && s.State != Up:
			return s.State, 0
		case now < s.To:
			if s.Slowdown > 1 {
				share = min(share, 1/s.Slowdown)
			}
			return Up, share
		case s.State != Up && h.ColdStartDuration > 0 && now < s.To+emulator.Time(h.ColdStartDuration):
			warmed := float64(now-s.To) / float64(h.ColdStartDuration)
			share = h.StartShare + (1-h.StartShare)*warmed
		}
	}
	return Up, share
}
