package governor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"slatemux/internal/overload"
	"slatemux/internal/relay"
	"slatemux/internal/vitals"
)

const ms = time.Millisecond

// fakeParts implements all interfaces that a Governor uses. It returns preset measurements and records the calls that it receives.
type fakeParts struct {
	reading vitals.Reading
	load    relay.Load
	calls   []string
	now     time.Time
	quiet   bool
	pings   int
}

func (parts *fakeParts) Read(time.Time) vitals.Reading { return parts.reading }
func (parts *fakeParts) SendProbe()                    { parts.pings++ }
func (parts *fakeParts) Load() relay.Load              { return parts.load }
func (parts *fakeParts) ConnectionCount() int          { return 3 }
func (parts *fakeParts) SetStepInterval(d time.Duration) {
	parts.calls = append(parts.calls, fmt.Sprint("step ", d))
}
func (parts *fakeParts) SetCloseIdle(on bool) {
	parts.calls = append(parts.calls, fmt.Sprint("free ", on))
}
func (parts *fakeParts) LimitOpen(messages int, sizeWeight, scale float64) {
	parts.calls = append(parts.calls, fmt.Sprintf("limit open %d %v %.2f", messages, sizeWeight > 0, scale))
}

// takeCalls returns the recorded calls and clears them.
func (parts *fakeParts) takeCalls() string {
	s := strings.Join(parts.calls, ", ")
	parts.calls = nil
	return s
}

// newTestGovernor returns a Governor whose parts are all the returned fakeParts. The governor does not run: tests call tick.
func newTestGovernor(t *testing.T) (*Governor, *fakeParts) {
	control := overload.Defaults()
	control.Classes = []overload.Class{{Name: "pay", Worth: 1, Aim: time.Second, Deadline: 4 * time.Second}}
	control.MaxOpen = 100
	parts := &fakeParts{reading: vitals.Reading{Cores: 1, CPUWaitFactor: 1, Window: 50 * ms}}
	g, err := New(Config{Control: control, Tick: 50 * ms, Brownout: true, StepInterval: 5 * ms, MemoryLimit: 1000, Meters: parts,
		SuppressLogs: func(on bool) { parts.quiet = on }})
	if err != nil {
		t.Fatal(err)
	}
	g.relay, g.front, g.flows, parts.now = parts, parts, parts, g.origin
	return g, parts
}

// runTicks runs n ticks with a number of submissions before each, and returns how many were refused.
func runTicks(g *Governor, parts *fakeParts, n, submissions int) (refused int) {
	for range n {
		for range submissions {
			if g.Admit(overload.Submission{Class: "pay", TimeLeft: 4 * time.Second, BodyBytes: 10}).Refused {
				refused++
			}
		}
		parts.load.Ended += int64(submissions)
		parts.now = parts.now.Add(50 * ms)
		g.tick(parts.now)
	}
	return refused
}

// At a normal load the governor must not change any setting of the parts.
func TestNormalLoadChangesNothing(t *testing.T) {
	g, parts := newTestGovernor(t)
	parts.reading.BusyShare, parts.reading.SubmissionAge, parts.reading.RSSBytes = 0.5, 5*ms, 300
	if n := runTicks(g, parts, 20, 50); n > 0 || parts.takeCalls() != "" || g.ReadPause() != 0 || parts.quiet {
		t.Errorf("%d refused, calls %q", n, parts.takeCalls())
	}
}

// A busy relay sheds, steps less often and logs less. The usual interval of steps must not count as queueing delay, or the relay
// would react to a queue that does not exist.
func TestBusyRelaySheds(t *testing.T) {
	g, parts := newTestGovernor(t)
	parts.reading.BusyShare, parts.reading.SubmissionAge = 1, 5*ms
	runTicks(g, parts, 5, 200)
	if got := parts.takeCalls(); got != "step 10ms" || !parts.quiet || !g.State().Actions.Shedding {
		t.Errorf("calls %q, actions %+v", got, g.State().Actions)
	}
	if refused := runTicks(g, parts, 1, 1000); refused == 0 {
		t.Error("nothing is refused while shedding")
	}
	parts.reading.SubmissionAge, parts.load.Open = 200*ms, 80
	runTicks(g, parts, 10, 200)
	if !parts.quiet {
		t.Error("log lines below warnings are not suppressed")
	}
	if got := parts.takeCalls(); !strings.Contains(got, "step 20ms") || !strings.Contains(got, "limit open") || g.gcPercent != relaxedGCPercent {
		t.Errorf("far behind: calls %q, garbage collection target %d", got, g.gcPercent)
	}
}

// The start and the end of memory pressure are each passed on to the parts once.
func TestMemoryPressureIsAppliedOnce(t *testing.T) {
	g, parts := newTestGovernor(t)
	parts.reading.RSSBytes = 900
	runTicks(g, parts, 1, 1)
	if got := parts.takeCalls(); !strings.Contains(got, "limit open 100 true 0.50, free true, free true") {
		t.Errorf("calls %q", got)
	}
	runTicks(g, parts, 3, 1)
	if got := parts.takeCalls(); got != "" {
		t.Errorf("repeated calls: %q", got)
	}
	g.SetMemoryLimit(10_000)
	runTicks(g, parts, 1, 1)
	if got := parts.takeCalls(); !strings.Contains(got, "limit open 100 false 1.00, free false, free false") {
		t.Errorf("with more memory: calls %q", got)
	}
}

// With brownout disabled no activity is reduced, and shedding works as before.
func TestBrownoutDisabled(t *testing.T) {
	g, parts := newTestGovernor(t)
	g.cfg.Brownout = false
	parts.reading.BusyShare = 1
	runTicks(g, parts, 5, 200)
	if got := parts.takeCalls(); got != "" || parts.quiet || !g.State().Actions.Shedding {
		t.Errorf("calls %q", got)
	}
}

// An idle relay ticks less often. A burst of submissions must end this at once, or overload would go unnoticed for several ticks.
func TestIdleRelayTicksLessOften(t *testing.T) {
	g, parts := newTestGovernor(t)
	parts.reading.BusyShare = 0.01
	if next := g.tick(g.origin.Add(50 * ms)); next != 250*ms || parts.pings != 1 {
		t.Errorf("idle: next tick in %v, %d pings", next, parts.pings)
	}
	for range maxIdleSubmissions + 1 {
		g.Admit(overload.Submission{Class: "pay", TimeLeft: time.Second})
	}
	select {
	case <-g.wake:
	default:
		t.Error("a burst of submissions does not wake the governor")
	}
	if next := g.tick(g.origin.Add(100 * ms)); next != 50*ms {
		t.Errorf("after a burst: next tick in %v", next)
	}
	if parts.reading.BusyShare = 0.5; g.tick(g.origin.Add(150*ms)) != 50*ms {
		t.Error("a busy relay ticks less often")
	}
}
