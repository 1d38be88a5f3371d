package servermodel

import (
	"math"
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
)

// Checks the state and the capacity before, during and after outages, in cold starts and in a gray failure.
func TestHealthTimeline(t *testing.T) {
	s := func(d time.Duration) emulator.Time { return emulator.Time(d) }
	h := Health{StartShare: 0.25, ColdStartDuration: 10 * time.Second, Faults: []Fault{
		{From: s(5 * time.Second), To: s(10 * time.Second), State: Down},
		{From: s(30 * time.Second), To: s(40 * time.Second), State: Up, Slowdown: 4},
		{From: s(50 * time.Second), To: s(55 * time.Second), State: Silent},
	}}
	for _, c := range []struct {
		at    time.Duration
		state State
		share float64
	}{
		{0, Up, 1}, {5 * time.Second, Down, 0}, {10 * time.Second, Up, 0.25}, {15 * time.Second, Up, 0.625},
		{20 * time.Second, Up, 1}, {35 * time.Second, Up, 0.25}, {40 * time.Second, Up, 1},
		{52 * time.Second, Silent, 0}, {60 * time.Second, Up, 0.625},
	} {
		state, share := h.At(s(c.at))
		if state != c.state || math.Abs(share-c.share) > 1e-9 {
			t.Errorf("at %v: state %v and share %.3f, want %v and %.3f", c.at, state, share, c.state, c.share)
		}
	}
}
