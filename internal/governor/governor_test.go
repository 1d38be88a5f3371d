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

// world is everything that a governor reads and tells.
type world struct {
	reading vitals.Reading
	load    relay.Load
	told    []string
	now     time.Time
	quiet   bool
	pings   int
}

func (w *world) Read(time.Time) vitals.Reading { return w.reading }
func (w *world) Ping()                         { w.pings++ }
func (w *world) Load() relay.Load              { return w.load }
func (w *world) Handing() int                  { return 3 }
func (w *world) Stretch(d time.Duration)       { w.told = append(w.told, fmt.Sprint("step ", d)) }
func (w *world) FreeIdle(on bool)              { w.told = append(w.told, fmt.Sprint("free ", on)) }
func (w *world) Squeeze(n int, heavy, scale float64) {
	w.told = append(w.told, fmt.Sprintf("squeeze %d %v %.2f", n, heavy > 0, scale))
}
func (w *world) took() string {
	s := strings.Join(w.told, ", ")
	w.told = nil
	return s
}

func start(t *testing.T) (*Governor, *world) {
	control := overload.Defaults()
	control.Classes = []overload.Class{{Name: "pay", Worth: 1, Aim: time.Second, Deadline: 4 * time.Second}}
	control.OpenMost = 100
	w := &world{reading: vitals.Reading{Cores: 1, Stretch: 1, Window: 50 * ms}}
	g, err := New(Config{Control: control, Tick: 50 * ms, Brownout: true, Step: 5 * ms, Memory: 1000, Meters: w,
		Quiet: func(on bool) { w.quiet = on }})
	if err != nil {
		t.Fatal(err)
	}
	g.relay, g.front, g.flows, w.now = w, w, w, g.origin
	return g, w
}

// ticks lets hand-ins come and ticks pass.
func ticks(g *Governor, w *world, n, handIns int) (refused int) {
	for range n {
		for range handIns {
			if g.Admit(overload.HandIn{Class: "pay", Left: 4 * time.Second, Size: 10}).Refused {
				refused++
			}
		}
		w.load.Ended += int64(handIns)
		w.now = w.now.Add(50 * ms)
		g.step(w.now)
	}
	return refused
}

// A calm relay is told nothing at all.
func TestCalmRelayIsToldNothing(t *testing.T) {
	g, w := start(t)
	w.reading.Busy, w.reading.Age, w.reading.RSS = 0.5, 5*ms, 300
	if n := ticks(g, w, 20, 50); n > 0 || w.took() != "" || g.Pace() != 0 || w.quiet {
		t.Errorf("%d refused, told %q", n, w.took())
	}
}

// A busy relay sheds, steps less often and logs less; the usual spacing of steps is no queue.
func TestBusyRelay(t *testing.T) {
	g, w := start(t)
	w.reading.Busy, w.reading.Age = 1, 5*ms
	ticks(g, w, 5, 200)
	if got := w.took(); got != "step 10ms" || !w.quiet || !g.State().Act.Shedding {
		t.Errorf("told %q, state %+v", got, g.State().Act)
	}
	if refused := ticks(g, w, 1, 1000); refused == 0 {
		t.Error("nothing is refused while shedding")
	}
	w.reading.Age, w.load.Open = 200*ms, 80
	ticks(g, w, 10, 200)
	if !w.quiet {
		t.Error("lines of little weight go on")
	}
	if got := w.took(); !strings.Contains(got, "step 20ms") || !strings.Contains(got, "squeeze") || g.percent != gcEasy {
		t.Errorf("far behind, told %q, collector at %d", got, g.percent)
	}
}

// Short memory is told to the parts once each way.
func TestShortMemory(t *testing.T) {
	g, w := start(t)
	w.reading.RSS = 900
	ticks(g, w, 1, 1)
	if got := w.took(); !strings.Contains(got, "squeeze 100 true 0.50, free true, free true") {
		t.Errorf("told %q", got)
	}
	ticks(g, w, 3, 1)
	if got := w.took(); got != "" {
		t.Errorf("told again: %q", got)
	}
	g.Limit(10_000)
	ticks(g, w, 1, 1)
	if got := w.took(); !strings.Contains(got, "squeeze 100 false 1.00, free false, free false") {
		t.Errorf("with more memory, told %q", got)
	}
}

// Without brownout nothing rests, and the shedding is the same.
func TestWithoutBrownout(t *testing.T) {
	g, w := start(t)
	g.cfg.Brownout = false
	w.reading.Busy = 1
	ticks(g, w, 5, 200)
	if got := w.took(); got != "" || w.quiet || !g.State().Act.Shedding {
		t.Errorf("told %q", got)
	}
}

// With nothing to do it ticks less often; a burst of hand-ins ends that at once.
func TestRest(t *testing.T) {
	g, w := start(t)
	w.reading.Busy = 0.01
	if next := g.step(g.origin.Add(50 * ms)); next != 250*ms || w.pings != 1 {
		t.Errorf("the next tick in %v, %d pings", next, w.pings)
	}
	for range restMost + 1 {
		g.Admit(overload.HandIn{Class: "pay", Left: time.Second})
	}
	select {
	case <-g.kick:
	default:
		t.Error("a burst does not wake it")
	}
	if next := g.step(g.origin.Add(100 * ms)); next != 50*ms {
		t.Errorf("after a burst the next tick is in %v", next)
	}
	if w.reading.Busy = 0.5; g.step(g.origin.Add(150*ms)) != 50*ms {
		t.Error("a busy relay rests")
	}
}
