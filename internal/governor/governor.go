// Package governor carries out what package overload decides: it reads the meters on a tick, asks for the act
// that holds until the next, and hands each part of the relay its share of it. The front asks it about every
// hand-in. It owns the controller; nothing else touches that.
package governor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"slatemux/internal/overload"
	"slatemux/internal/relay"
	"slatemux/internal/vitals"
)

// Meters are what a Governor reads. Ping has one of them measure a wait until the next reading.
type Meters interface {
	Read(now time.Time) vitals.Reading
	Ping()
}

// Relay holds open messages and steps.
type Relay interface {
	// Squeeze bounds how many messages may be open, and the bytes that they take as a share of the usual bound.
	Squeeze(messages int, heavy, byteScale float64)
	// Stretch sets the least time between two steps.
	Stretch(least time.Duration)
	Load() relay.Load
}

// Idler gives up idle connections while it is asked to.
type Idler interface{ FreeIdle(on bool) }

// Front is the side of the clients.
type Front interface {
	Idler
	// Handing is how many connections carry hand-ins at present.
	Handing() int
}

// Config is what a Governor works with.
type Config struct {
	Control  overload.Config
	Tick     time.Duration
	Brownout bool
	Step     time.Duration // usual least time between steps
	Memory   int64         // bytes that the process may take
	Meters   Meters
	Quiet    func(on bool) // rests log lines below warnings; nil for nothing to rest
}

// gcUsual and gcEasy are the collector's targets, in percent of the live heap: as the runtime has it, and where
// the processor is short and memory is not.
const gcUsual, gcEasy = 100, 400

// A relay that was handed no more than restMost messages in a tick, and used less than restBusy of its processor, ticks
// restTicks times less often, until it is handed more: waking up costs an idle program most of what it uses.
const restMost, restBusy, restTicks = 10, 0.1, 5

// Governor drives one overload.Controller.
type Governor struct {
	cfg    Config
	origin time.Time
	pace   atomic.Int64
	memory atomic.Int64

	kick chan struct{} // ends a rest

	mu      sync.Mutex
	handIns int // since the newest tick
	resting bool
	ctrl    *overload.Controller
	act     overload.Act
	read    vitals.Reading

	// Of the goroutine in Run alone.
	relay   Relay
	front   Front
	flows   Idler
	given   given
	ended   int64 // messages, as of the newest tick
	percent int
}

// given is what the parts were last told, so that each is told changes alone.
type given struct {
	open             int
	heavy, byteScale float64
	free             bool
	step             time.Duration
	shedding         bool
	brownout         overload.Brownout
}

// New returns a Governor. It fails on a configuration that makes no sense.
func New(cfg Config) (*Governor, error) {
	ctrl, err := overload.New(cfg.Control)
	if err != nil {
		return nil, err
	}
	g := &Governor{cfg: cfg, origin: time.Now(), ctrl: ctrl, percent: gcUsual, kick: make(chan struct{}, 1)}
	g.memory.Store(cfg.Memory)
	g.given = given{open: cfg.Control.OpenMost, byteScale: 1, step: cfg.Step}
	return g, nil
}

// Limit changes the memory that the process may take.
func (g *Governor) Limit(memory int64) { g.memory.Store(memory) }

// Admit rules on a hand-in. Any goroutine may ask.
func (g *Governor) Admit(h overload.HandIn) overload.Ruling {
	now := time.Since(g.origin)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handIns++; g.resting && g.handIns > restMost {
		g.resting = false
		select {
		case g.kick <- struct{}{}:
		default:
		}
	}
	return g.ctrl.Admit(now, h)
}

// Pace is how long a connection rests after a refusal before more is read from it.
func (g *Governor) Pace() time.Duration { return time.Duration(g.pace.Load()) }

// Run ticks until ctx ends, and then lets everything be as without it.
func (g *Governor) Run(ctx context.Context, relay Relay, front Front, flows Idler) {
	g.relay, g.front, g.flows = relay, front, flows
	tick := time.NewTimer(g.cfg.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			debug.SetGCPercent(gcUsual)
			if g.cfg.Quiet != nil {
				g.cfg.Quiet(false)
			}
			return
		case <-tick.C:
			tick.Reset(g.step(time.Now()))
		case <-g.kick:
			tick.Reset(g.cfg.Tick)
		}
	}
}

// step is one tick. It returns how long after it the next is due.
func (g *Governor) step(now time.Time) time.Duration {
	r := g.cfg.Meters.Read(now)
	g.cfg.Meters.Ping()
	l := g.relay.Load()
	s := overload.Sample{Busy: r.Busy, Bytes: l.Bytes, Held: l.Open, Waiting: l.Waiting, Clients: g.front.Handing(),
		Ended: int(l.Ended - g.ended), Holding: r.Section / r.Cores, Delay: max(r.Age-g.given.step, 0)}
	g.ended = l.Ended
	// A step comes up to its own spacing after a hand-in; that is no queue. The probe waits for the processor alone.
	s.Delay = max(s.Delay, r.Probe)
	if most := g.memory.Load(); most > 0 {
		s.Memory = float64(r.RSS) / float64(most)
	}
	g.mu.Lock()
	act := g.ctrl.Tick(now.Sub(g.origin), s)
	g.act, g.read = act, r
	g.resting = g.handIns <= restMost && r.Busy < restBusy && act.Cause == overload.None && s.Memory < g.cfg.Control.MemoryHigh
	g.handIns = 0
	next := g.cfg.Tick
	if g.resting {
		next *= restTicks
	}
	g.mu.Unlock()
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("overload tick", "shedding", act.Shedding, "limit", int(act.Limit), "cut", act.Cut, "pace", act.Pace,
			"open_most", act.OpenMost, "busy", s.Busy, "cpu", r.CPU, "stretch", r.Stretch, "age", r.Age, "probe", r.Probe,
			"loop", r.Loop, "open", s.Held, "waiting", s.Waiting, "ended", s.Ended, "holding", s.Holding, "hand_ins", r.HandIns)
	}
	g.apply(act, s, r)
	return next
}

// apply tells the parts what has changed.
func (g *Governor) apply(act overload.Act, s overload.Sample, r vitals.Reading) {
	g.pace.Store(int64(act.Pace))
	if !g.cfg.Brownout {
		act.Brownout = overload.Full
	}
	next := given{open: act.OpenMost, heavy: act.Heavy, byteScale: act.ByteScale, free: act.FreeIdle,
		step: g.cfg.Step << min(act.Brownout, 2), shedding: act.Shedding, brownout: act.Brownout}
	if next.open != g.given.open || next.heavy != g.given.heavy || next.byteScale != g.given.byteScale {
		g.relay.Squeeze(next.open, next.heavy, next.byteScale)
	}
	if next.step != g.given.step {
		g.relay.Stretch(next.step)
	}
	if next.free != g.given.free {
		slog.Warn("memory short: idle connections", "given_up", next.free, "memory", s.Memory)
		g.front.FreeIdle(next.free)
		g.flows.FreeIdle(next.free)
	}
	if next.shedding != g.given.shedding {
		if next.shedding {
			slog.Warn("overload: shedding begins", "cause", act.Cause.String(), "reading", act.Reading, "limit", int(act.Limit),
				"cut", act.Cut, "busy", s.Busy, "stretch", r.Stretch, "delay", s.Delay, "loop", r.Loop, "held", s.Held)
		} else {
			slog.Warn("overload: shedding ends", "busy", s.Busy, "delay", s.Delay, "held", s.Held)
		}
	}
	if next.open < g.given.open && g.given.open == g.cfg.Control.OpenMost {
		slog.Warn("overload: held work goes back", "messages", next.open, "held", s.Held, "delay", s.Delay, "memory", s.Memory)
	}
	if next.brownout != g.given.brownout {
		if g.cfg.Quiet != nil && next.brownout == overload.Full {
			g.cfg.Quiet(false)
		}
		slog.Info("overload: brownout", "level", int(next.brownout), "step", next.step)
		if g.cfg.Quiet != nil && g.given.brownout == overload.Full {
			g.cfg.Quiet(true)
		}
	}
	percent := gcUsual
	if next.brownout >= overload.Sparing && act.Easy {
		percent = gcEasy
	}
	if percent != g.percent {
		g.percent = percent
		debug.SetGCPercent(percent)
	}
	g.given = next
}

// State is what holds at present, for counters.
type State struct {
	Act      overload.Act
	Reading  vitals.Reading
	Counters overload.Counters
}

// State returns it.
func (g *Governor) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{g.act, g.read, g.ctrl.Counters()}
}

// LogValue names the figures in a log line.
func (s State) LogValue() slog.Value {
	c := s.Counters
	return slog.GroupValue(slog.Bool("shedding", s.Act.Shedding), slog.String("cause", s.Act.Cause.String()),
		slog.Int("limit", int(s.Act.Limit)), slog.Int("cut", s.Act.Cut), slog.Duration("pace", s.Act.Pace),
		slog.Int("brownout", int(s.Act.Brownout)), slog.Int("open_most", s.Act.OpenMost),
		slog.Int("largest", s.Act.LargeMost), slog.Float64("busy", s.Reading.Busy),
		slog.Float64("stretch", s.Reading.Stretch), slog.Duration("delay", max(s.Reading.Age, s.Reading.Probe)),
		slog.Int64("rss", s.Reading.RSS), slog.Int64("heap", s.Reading.Heap), slog.Float64("gc_share", s.Reading.GCShare),
		slog.Duration("sched_p99", s.Reading.Sched), slog.Int64("offered", c.Offered), slog.Int64("admitted", c.Admitted),
		slog.Int64("refused_worth", c.RefusedWorth), slog.Int64("refused_large", c.RefusedLarge),
		slog.Int64("floor", c.FloorAdmitted), slog.Int64("over_share", c.OverShare), slog.Int64("sheds", c.Sheds),
		slog.Int64("squeezes", c.Squeezes))
}
