// Package governor applies the decisions of package overload to the relay. On each tick a Governor reads the meters, passes a
// sample to its overload.Controller and applies the returned actions to the parts of the relay. The front asks the Governor to
// admit each submission. Only the Governor accesses the controller.
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

// Meters measure the load of the process.
type Meters interface {
	// Read returns the measurements since the previous call.
	Read(now time.Time) vitals.Reading
	// SendProbe starts a probe that measures how long a reader waits for the processor. The next reading contains the result.
	SendProbe()
}

// Relay holds the open messages and processes them in steps.
type Relay interface {
	// LimitOpen limits the number of open messages, and their bytes to the share openBytesScale of the usual limit. sizeWeight is
	// the weight of a message's size in the choice of the messages to return.
	LimitOpen(messages int, sizeWeight, openBytesScale float64)
	// SetStepInterval sets the shortest time between two steps.
	SetStepInterval(minInterval time.Duration)
	// Load returns the current load of the relay.
	Load() relay.Load
}

// Idler holds idle connections. After SetCloseIdle(true) it closes them.
type Idler interface{ SetCloseIdle(on bool) }

// Front serves the clients.
type Front interface {
	Idler
	// ConnectionCount returns the number of client connections that currently carry submissions.
	ConnectionCount() int
}

// Config configures a Governor.
type Config struct {
	Control      overload.Config
	Tick         time.Duration
	Brownout     bool          // costly activities may be reduced
	StepInterval time.Duration // usual shortest time between steps
	MemoryLimit  int64         // bytes of memory that the process may use
	Meters       Meters
	SuppressLogs func(on bool) // suppresses log lines below warnings; may be nil
}

const (
	// defaultGCPercent is the default garbage collection target of the Go runtime.
	defaultGCPercent = 100
	// relaxedGCPercent is the target while the processor is overloaded and memory is ample.
	relaxedGCPercent = 400
)

// A relay is idle after a tick with at most maxIdleSubmissions submissions and less than maxIdleBusyShare of its processor used, if
// there is no cause for shedding and memory use is below MemoryHigh. An idle relay ticks idleTickFactor times less often until more is submitted, because wake-ups cause most of the processor use
// of an idle program.
const (
	maxIdleSubmissions = 10
	maxIdleBusyShare   = 0.1
	idleTickFactor     = 5
)

// Governor drives one overload.Controller.
type Governor struct {
	cfg         Config
	origin      time.Time    // zero of the controller's clock
	readPause   atomic.Int64 // nanoseconds
	memoryLimit atomic.Int64 // bytes

	wake chan struct{} // ends the idle state

	mu          sync.Mutex
	submissions int // since the latest tick
	idle        bool
	controller  *overload.Controller
	actions     overload.Actions
	reading     vitals.Reading

	// Only the goroutine in Run accesses these.
	relay         Relay
	front         Front
	flows         Idler
	applied       applied
	endedMessages int64 // total as of the latest tick
	gcPercent     int
}

// applied holds the settings that the parts have. The Governor passes on only changes.
type applied struct {
	maxOpen                    int
	sizeWeight, openBytesScale float64
	freeIdle                   bool
	stepInterval               time.Duration
	shedding                   bool
	brownout                   overload.Brownout
}

// New returns a Governor, or an error if the configuration is invalid.
func New(cfg Config) (*Governor, error) {
	controller, err := overload.New(cfg.Control)
	if err != nil {
		return nil, err
	}
	g := &Governor{cfg: cfg, origin: time.Now(), controller: controller, gcPercent: defaultGCPercent, wake: make(chan struct{}, 1)}
	g.memoryLimit.Store(cfg.MemoryLimit)
	g.applied = applied{maxOpen: cfg.Control.MaxOpen, openBytesScale: 1, stepInterval: cfg.StepInterval}
	return g, nil
}

// SetMemoryLimit changes the memory that the process may use, in bytes.
func (g *Governor) SetMemoryLimit(memoryLimit int64) { g.memoryLimit.Store(memoryLimit) }

// Admit decides on a submission. It is safe for concurrent use.
func (g *Governor) Admit(submission overload.Submission) overload.Decision {
	now := time.Since(g.origin)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.submissions++; g.idle && g.submissions > maxIdleSubmissions {
		g.idle = false
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	return g.controller.Admit(now, submission)
}

// ReadPause returns how long a connection is not read after a refusal.
func (g *Governor) ReadPause() time.Duration { return time.Duration(g.readPause.Load()) }

// Run ticks until ctx ends. It then restores the default garbage collection target and the log lines.
func (g *Governor) Run(ctx context.Context, relay Relay, front Front, flows Idler) {
	g.relay, g.front, g.flows = relay, front, flows
	timer := time.NewTimer(g.cfg.Tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			debug.SetGCPercent(defaultGCPercent)
			if g.cfg.SuppressLogs != nil {
				g.cfg.SuppressLogs(false)
			}
			return
		case <-timer.C:
			timer.Reset(g.tick(time.Now()))
		case <-g.wake:
			timer.Reset(g.cfg.Tick)
		}
	}
}

// tick processes one tick. It returns the time until the next one.
func (g *Governor) tick(now time.Time) time.Duration {
	r := g.cfg.Meters.Read(now)
	g.cfg.Meters.SendProbe()
	load := g.relay.Load()
	s := overload.Sample{BusyShare: r.BusyShare, OpenBytesShare: load.Bytes, Open: load.Open, Waiting: load.Waiting, Clients: g.front.ConnectionCount(),
		Ended: int(load.Ended - g.endedMessages), SchedulingShare: r.SectionCores / r.Cores, Delay: max(r.SubmissionAge-g.applied.stepInterval, 0)}
	g.endedMessages = load.Ended
	// The step interval is subtracted from SubmissionAge because a submission waits up to that long for its step without any queue. The
	// probe waits only for the processor, so nothing is subtracted from it.
	s.Delay = max(s.Delay, r.ProbeWait)
	if limit := g.memoryLimit.Load(); limit > 0 {
		s.MemoryShare = float64(r.RSSBytes) / float64(limit)
	}
	g.mu.Lock()
	actions := g.controller.Tick(now.Sub(g.origin), s)
	g.actions, g.reading = actions, r
	g.idle = g.submissions <= maxIdleSubmissions && r.BusyShare < maxIdleBusyShare && actions.Cause == overload.CauseNone && s.MemoryShare < g.cfg.Control.MemoryHigh
	g.submissions = 0
	next := g.cfg.Tick
	if g.idle {
		next *= idleTickFactor
	}
	g.mu.Unlock()
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("overload tick", "shedding", actions.Shedding, "limit", int(actions.WorkLimit), "cut", actions.CutLevel, "pace", actions.ReadPause,
			"open_most", actions.MaxOpen, "busy", s.BusyShare, "cpu", r.UsedCores, "stretch", r.CPUWaitFactor, "age", r.SubmissionAge, "probe", r.ProbeWait,
			"loop", r.StepDelay, "open", s.Open, "waiting", s.Waiting, "ended", s.Ended, "holding", s.SchedulingShare, "hand_ins", r.Submissions)
	}
	g.apply(actions, s, r)
	return next
}

// apply passes on to the parts of the relay what has changed.
func (g *Governor) apply(actions overload.Actions, s overload.Sample, r vitals.Reading) {
	g.readPause.Store(int64(actions.ReadPause))
	if !g.cfg.Brownout {
		actions.Brownout = overload.BrownoutOff
	}
	next := applied{maxOpen: actions.MaxOpen, sizeWeight: actions.SizeWeight, openBytesScale: actions.OpenBytesScale, freeIdle: actions.FreeIdle,
		stepInterval: g.cfg.StepInterval << min(actions.Brownout, 2), shedding: actions.Shedding, brownout: actions.Brownout}
	if next.maxOpen != g.applied.maxOpen || next.sizeWeight != g.applied.sizeWeight || next.openBytesScale != g.applied.openBytesScale {
		g.relay.LimitOpen(next.maxOpen, next.sizeWeight, next.openBytesScale)
	}
	if next.stepInterval != g.applied.stepInterval {
		g.relay.SetStepInterval(next.stepInterval)
	}
	if next.freeIdle != g.applied.freeIdle {
		slog.Warn("memory short: idle connections", "given_up", next.freeIdle, "memory", s.MemoryShare)
		g.front.SetCloseIdle(next.freeIdle)
		g.flows.SetCloseIdle(next.freeIdle)
	}
	if next.shedding != g.applied.shedding {
		if next.shedding {
			slog.Warn("overload: shedding begins", "cause", actions.Cause.String(), "reading", actions.Reading, "limit", int(actions.WorkLimit),
				"cut", actions.CutLevel, "busy", s.BusyShare, "stretch", r.CPUWaitFactor, "delay", s.Delay, "loop", r.StepDelay, "held", s.Open)
		} else {
			slog.Warn("overload: shedding ends", "busy", s.BusyShare, "delay", s.Delay, "held", s.Open)
		}
	}
	if next.maxOpen < g.applied.maxOpen && g.applied.maxOpen == g.cfg.Control.MaxOpen {
		slog.Warn("overload: held work goes back", "messages", next.maxOpen, "held", s.Open, "delay", s.Delay, "memory", s.MemoryShare)
	}
	if next.brownout != g.applied.brownout {
		if g.cfg.SuppressLogs != nil && next.brownout == overload.BrownoutOff {
			g.cfg.SuppressLogs(false)
		}
		slog.Info("overload: brownout", "level", int(next.brownout), "step", next.stepInterval)
		if g.cfg.SuppressLogs != nil && g.applied.brownout == overload.BrownoutOff {
			g.cfg.SuppressLogs(true)
		}
	}
	gcPercent := defaultGCPercent
	if next.brownout >= overload.BrownoutHeavy && actions.AmpleMemory {
		gcPercent = relaxedGCPercent
	}
	if gcPercent != g.gcPercent {
		g.gcPercent = gcPercent
		debug.SetGCPercent(gcPercent)
	}
	g.applied = next
}

// State is the current state of a Governor, for the counters in the log.
type State struct {
	Actions  overload.Actions
	Reading  vitals.Reading
	Counters overload.Counters
}

// State returns the current state.
func (g *Governor) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{g.actions, g.reading, g.controller.Counters()}
}

// LogValue returns the state as log attributes.
func (s State) LogValue() slog.Value {
	c := s.Counters
	return slog.GroupValue(slog.Bool("shedding", s.Actions.Shedding), slog.String("cause", s.Actions.Cause.String()),
		slog.Int("limit", int(s.Actions.WorkLimit)), slog.Int("cut", s.Actions.CutLevel), slog.Duration("pace", s.Actions.ReadPause),
		slog.Int("brownout", int(s.Actions.Brownout)), slog.Int("open_most", s.Actions.MaxOpen),
		slog.Int("largest", s.Actions.MaxBodyBytes), slog.Float64("busy", s.Reading.BusyShare),
		slog.Float64("stretch", s.Reading.CPUWaitFactor), slog.Duration("delay", max(s.Reading.SubmissionAge, s.Reading.ProbeWait)),
		slog.Int64("rss", s.Reading.RSSBytes), slog.Int64("heap", s.Reading.HeapBytes), slog.Float64("gc_share", s.Reading.GCShare),
		slog.Duration("sched_p99", s.Reading.SchedP99), slog.Int64("offered", c.Offered), slog.Int64("admitted", c.Admitted),
		slog.Int64("refused_worth", c.RefusedByWorth), slog.Int64("refused_large", c.RefusedBySize),
		slog.Int64("floor", c.FloorAdmitted), slog.Int64("over_share", c.OverTenantShare), slog.Int64("sheds", c.SheddingStarts),
		slog.Int64("squeezes", c.OpenLimitCuts))
}
