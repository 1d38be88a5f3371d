package servermodel

import (
	"math"
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
)

// limits returns constructors of a limit of each type, all with a rate of 10 calls a second.
func limits() map[string]func() Limit {
	return map[string]func() Limit{
		"bucket": func() Limit { return &TokenBucket{Rate: 10, Burst: 5, ReportsWait: true} },
		"window": func() Limit { return &Window{MaxCalls: 10, Length: time.Second, ReportsWait: true} },
	}
}

// Checks that a limit accepts its rate, and little more for its burst, when twice the rate is offered for a minute.
func TestLimitsAcceptTheirRate(t *testing.T) {
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
			t.Errorf("%s: %d calls accepted in a minute, want about %.0f", name, in, want)
		}
	}
}

// Checks that the waits of a limit are exact: a call at the end of a wait is accepted, and a call just before it is refused.
func TestReportedWaitsAreExact(t *testing.T) {
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
			earlyLimit := limit()
			for ok := true; ok; {
				ok, _ = earlyLimit.Take(now)
			}
			if ok, _ := earlyLimit.Take(now + emulator.Time(wait) - emulator.Time(time.Millisecond)); ok {
				t.Errorf("%s at %v: call accepted before the end of the wait of %v", name, at, wait)
			}
			if ok, _ := l.Take(now + emulator.Time(wait)); !ok {
				t.Errorf("%s at %v: call refused at the end of the wait of %v", name, at, wait)
			}
		}
	}
}

// Checks that a sender which keeps calling gets less than the rate if refused calls use up the limit.
func TestRefusalsUseTheLimit(t *testing.T) {
	b := &TokenBucket{Rate: 10, Burst: 1, ChargesRefusals: true}
	in := 0
	for i := range 3000 { // 50 a second for a minute
		if ok, _ := b.Take(emulator.Time(i) * emulator.Time(20*time.Millisecond)); ok {
			in++
		}
	}
	if in >= 300 {
		t.Fatalf("%d calls accepted, as many as if refused calls were free", in)
	}
}
