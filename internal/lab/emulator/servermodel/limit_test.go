package servermodel

import (
	"math"
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
)

func limits() map[string]func() Limit {
	return map[string]func() Limit{
		"bucket": func() Limit { return &Bucket{Rate: 10, Burst: 5, Tells: true} },
		"window": func() Limit { return &Window{Most: 10, Span: time.Second, Tells: true} },
	}
}

// Offered twice its rate for a minute, a limit lets in its rate, and a little more for its burst.
func TestLimits(t *testing.T) {
	for name, limit := range limits() {
		l := limit()
		const offered, minute = 20.0, 60 * time.Second
		in := 0
		for i := range int(offered * minute.Seconds()) {
			if ok, _ := l.Take(emulator.Time(float64(i) / offered * 1e9)); ok {
				in++
			}
		}
		if want := 10 * minute.Seconds(); math.Abs(float64(in)-want) > 0.01*want+5 {
			t.Errorf("%s: %d let in over a minute, want about %.0f", name, in, want)
		}
	}
}

// The waits that a limit tells are true: a call at the end of one is let in, and one just before is not.
func TestToldWaitsAreHonest(t *testing.T) {
	for name, limit := range limits() {
		for _, at := range []time.Duration{0, 333 * time.Millisecond, 2500 * time.Millisecond} {
			l := limit()
			now := emulator.Time(at)
			var wait time.Duration
			for ok := true; ok; {
				ok, wait = l.Take(now)
			}
			if wait <= 0 {
				t.Fatalf("%s: refused without a wait", name)
			}
			early := limit()
			for ok := true; ok; {
				ok, _ = early.Take(now)
			}
			if ok, _ := early.Take(now + emulator.Time(wait) - emulator.Time(time.Millisecond)); ok {
				t.Errorf("%s at %v: let in before the end of the wait of %v", name, at, wait)
			}
			if ok, _ := l.Take(now + emulator.Time(wait)); !ok {
				t.Errorf("%s at %v: no room at the end of the wait of %v", name, at, wait)
			}
		}
	}
}

// Where refused calls draw on the limit, a sender that keeps calling gets less than the rate.
func TestRefusalsDraw(t *testing.T) {
	b := &Bucket{Rate: 10, Burst: 1, Draws: true}
	in := 0
	for i := range 3000 { // 50 a second for a minute
		if ok, _ := b.Take(emulator.Time(i) * emulator.Time(20*time.Millisecond)); ok {
			in++
		}
	}
	if in >= 300 {
		t.Fatalf("%d let in, as many as without drawing", in)
	}
}
