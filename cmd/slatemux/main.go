package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"slatemux/internal/discoveryaddr"
	"slatemux/internal/dispatch"
	"slatemux/internal/flow"
	"slatemux/internal/front"
	"slatemux/internal/governor"
	"slatemux/internal/journal"
	"slatemux/internal/keyorder"
	"slatemux/internal/limitstore"
	"slatemux/internal/maintenance"
	"slatemux/internal/notice"
	"slatemux/internal/ops"
	"slatemux/internal/pool"
	"slatemux/internal/relay"
	"slatemux/internal/retryafter"
	"slatemux/internal/secure"
	"slatemux/internal/traffic"
	"slatemux/internal/vitals"
)

// After SIGTERM the relay serves on for serveOn; then it closes its clients' connections between requests,
// while what is out may still end, and exits after exitAfter, before SIGKILL comes at 3.7 s. What is open
// then is in the journal.
const drainDelay, exitDelay = 3000 * time.Millisecond, 3550 * time.Millisecond

// connRestTime is how long a connection to a pool member rests after an answer: less than half of a step.
const connRestTime = 2 * time.Millisecond

// finalAnswersTimeout is what clients may still need for the answers to what was read.
const finalAnswersTimeout = 100 * time.Millisecond

// processStart is about the process's first moment: what discovery has to tell may count from then on.
var processStart = time.Now()

// signals are what may come while the relay runs. Each kind has a channel of its own, with room for one: what
// comes again before it is looked at asks for the same, and none can push another out.
type signals struct{ terminate, logCounters, logConnections, reload chan os.Signal }

func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.logCounters, syscall.SIGUSR1)
	signal.Notify(s.logConnections, syscall.SIGUSR2)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// anyOrderedByKey says whether any class keeps the order of keys.
func anyOrderedByKey(set *dispatch.Settings) bool {
	return slices.ContainsFunc(set.Classes, func(c dispatch.Class) bool { return c.OrderedByKey })
}

// run serves until a signal ends it. It reads its configuration again when asked to, and tells where it
// listens once it is ready.
func run(cfg config, sig signals, reread func() (config, error), ready func(net.Addr)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	configRead := time.Now()
	limits := cfg.resourceLimits()
	debug.SetMemoryLimit(limits.heapBytes)
	discovery := discoveryaddr.New(cfg.discovery)
	store, err := journal.Open(cfg.stateDir, limits.journalBytes)
	if err != nil {
		return err
	}
	defer store.Close()
	journalOpened := time.Now()

	// The operators' address answers from the start: not ready until clients are taken.
	var handler *opsHandler
	if cfg.opsAddr != "" {
		handler = &opsHandler{bans: maintenance.Open(cfg.stateDir)}
		if handler.server, err = ops.Listen(cfg.opsAddr, handler); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		go func() {
			if err := handler.server.Serve(); err != nil {
				slog.Error("ops address ended", "err", err)
			}
		}()
		defer handler.server.Close()
		slog.Info("ops address", "listen", handler.server.Addr())
	}
	bans := map[string]bool{}
	if handler != nil {
		bans = handler.bans.Banned()
	}

	meters := vitals.New(cfg.cores)
	var gov *governor.Governor
	var admission front.Admission // a nil interface where nothing is governed
	if overload := cfg.gateway.Overload; overload.Enabled {
		gov, err = governor.New(governor.Config{Control: cfg.overloadConfig(), Tick: overload.Tick, Brownout: overload.Brownout,
			Step: cfg.settings.Resolution, Memory: cfg.memoryBytes, Meters: meters,
			Quiet: func(on bool) { setQuietLogging(on, cfg.gateway.Log.Level) }})
		if err != nil {
			return err
		}
		admission = gov
	}

	var tlsManager *secure.Manager
	var flowTLS flow.Secure // a nil interface where all is plain
	if len(cfg.gateway.TLS.Policies) > 0 {
		if tlsManager, err = secure.New(cfg.gateway.TLS.Policies); err != nil {
			return err
		}
		flowTLS = tlsManager
	}
	cpuBusy := func() float64 {
		if gov == nil {
			return 0
		}
		return gov.State().Reading.Busy
	}

	var sharedWaits flow.Waits // a nil interface where none are shared
	if table, err := retryafter.Open(os.TempDir()); err != nil {
		slog.Warn("told waits not shared with a successor", "err", err)
	} else {
		defer table.Close()
		sharedWaits = table
	}
	var turns relay.Turns // as well
	if anyOrderedByKey(&cfg.settings) {
		if table, err := keyorder.Open(os.TempDir(), fmt.Sprint(os.Getpid(), cfg.startTime.UnixNano())); err != nil {
			slog.Warn("the order of keys is not shared with a successor", "err", err)
		} else {
			defer table.Close()
			turns = table
		}
	}
	var r *relay.Relay
	member, err := joinFleet(&cfg, func() *relay.Relay { return r })
	if err != nil {
		return err
	}
	var flowFleet flow.Fleet // nil interfaces for a relay alone
	var relayFleet relay.Fleet
	if member != nil {
		flowFleet, relayFleet = member, member
	}
	connsConfig := cfg.gateway.Conns.Keep
	connsConfig.Most, connsConfig.IdleMost, connsConfig.Seed = limits.memberConns, cfg.settings.KeepAlive, uint64(cfg.seed)
	var resolver flow.Resolver // a nil interface where none are looked up
	if cfg.gateway.Conns.LookUpNames {
		resolver = net.DefaultResolver
	}
	flows, err := flow.New(flow.Config{Names: resolver, Secure: flowTLS, Gate: cfg.gateway.TLS.Gate, Busy: cpuBusy, ConnectWithin: cfg.settings.ConnectTimeout,
		MostFlows: limits.flows, Settle: connRestTime, Conns: connsConfig, HeldMost: cfg.gateway.Conns.HeldMost, StuckAfter: cfg.gateway.Conns.StuckAfter,
		OwnDelay: meters.Wait, Shared: sharedWaits, Fleet: flowFleet}, func(end traffic.FlowEnd) { r.FlowEnded(end) })
	if err != nil {
		return err
	}
	defer flows.Close() // before the journal lets go, which is deferred earlier
	var preconnector relay.Ahead
	if connsConfig.Ahead {
		preconnector = flows
	}
	limitStore := limitstore.Open(cfg.stateDir, limits.learnedBytes, time.Now())
	notices := notice.New(discovery, func(ids []string) { r.NoticesAnswered(ids) })
	r, err = relay.New(relay.Config{Meters: meters, Settings: cfg.settings, Seed: cfg.seed, MostBytes: limits.openBytes, Store: store,
		Flows: flows, Notices: notices, Ahead: preconnector, Lessons: limitStore, Heir: store, Fleet: relayFleet, Turns: turns, Banned: bans})
	if err != nil {
		return err
	}
	cfg.known.Log()
	knownPool := cfg.known.News()
	flows.Pool(knownPool)
	openMessages, pendingNotices := store.Owed()
	slog.Info("started", "discovery", cfg.discovery, "members", len(knownPool.Members), "recovered", len(openMessages), "notices", len(pendingNotices),
		"limits", len(limitStore.Limits()))
	partsBuilt := time.Now()
	r.Start(knownPool, limitStore.Limits(), openMessages, pendingNotices)
	firstStepDone := time.Now()

	var workers sync.WaitGroup
	stepCtx, stopStepping := context.WithCancel(context.Background())
	defer stopStepping()
	workers.Go(func() { r.Run(stepCtx) })
	workers.Go(func() { notices.Run(ctx) })
	workers.Go(func() { flows.Sweep(ctx) })
	workers.Go(func() { limitStore.Run(ctx) })
	watcher := pool.NewWatcher(discovery, pool.NewPace(cfg.discoveryTerms(), cfg.seed), cfg.known, cfg.startTime, r)
	workers.Go(func() { watcher.Run(ctx) })
	fleetCtx, leaveFleet := context.WithCancel(ctx)
	defer leaveFleet()
	if member != nil {
		member.Recall(limitStore.Limits())
		workers.Go(func() { member.Run(fleetCtx) })
	}

	// Clients are let in last: a PING that is answered says that all before has been taken up.
	server, err := front.Listen(cfg.listen, limits.clients, cfg.settings.Classes, r, admission)
	if err != nil {
		return err
	}
	if gov != nil {
		meters.Probe(ctx)
		workers.Go(func() { gov.Run(ctx, r, server, flows) })
	}
	if tlsManager != nil && cfg.gateway.TLS.Watch {
		workers.Go(func() {
			if err := tlsManager.Watch(ctx); err != nil {
				slog.Error("tls files not watched: they are read again at SIGHUP alone", "err", err)
			}
		})
	}
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- server.Serve() }()
	slog.Info("ready", "listen", server.Addr(), "after", time.Since(cfg.startTime), "configured", configRead.Sub(cfg.startTime),
		"journal", journalOpened.Sub(configRead), "parts", partsBuilt.Sub(journalOpened), "first_step", firstStepDone.Sub(partsBuilt))
	if handler != nil {
		handler.relay, handler.front, handler.fleet = r, server, member
		handler.ready.Store(true)
		workers.Go(func() { handler.watchBans(ctx) })
	}
	ready(server.Addr())

	// apply takes over what a configuration that was read again may change; a bad one changes nothing.
	var reloads, badReloads int64
	reload := func() {
		if tlsManager != nil {
			tlsManager.Reload()
		}
		if member != nil {
			if err := member.Reload(); err != nil {
				slog.Error("fleet keys not taken over: the old ones serve on", "err", err)
			}
		}
		newer, err := reread()
		if err != nil {
			badReloads++
			slog.Error("configuration not taken over", "err", err)
			return
		}
		reloads++
		moved := newer.fileDiscovery != cfg.fileDiscovery && discovery.Move(newer.fileDiscovery)
		if c := newer.resourceLimits(); c != limits {
			limits = c
			debug.SetMemoryLimit(c.heapBytes)
			store.Limit(c.journalBytes)
			r.Limit(c.openBytes)
			flows.Limit(c.flows, c.memberConns)
			if gov != nil {
				gov.Limit(newer.memoryBytes)
			}
			server.Limit(c.clients)
		}
		at, _ := discovery.Now()
		slog.Info("configuration read again", "discovery", at, "moved", moved, "restart_for", cfg.restartOnlyChanges(&newer))
		cfg.fileDiscovery = newer.fileDiscovery
	}
	logCounters := func(cause string) {
		level := max(slog.LevelInfo, min(logLevel.Level(), slog.LevelWarn)) // asked for, they are told in a brownout too
		journalBytes, pending, compacted := store.Stats()
		if gov != nil {
			slog.Log(ctx, level, "overload counters", "why", cause, "overload", gov.State())
		}
		if tlsManager != nil {
			gate, waiting := flows.Handshakes()
			slog.Log(ctx, level, "tls counters", "why", cause, "tls", tlsManager.Counters(), "asked", gate.Asked, "begun", gate.Begun, "carried", gate.Carried,
				"out_of_time", gate.Expired, "waiting", waiting)
		}
		if member != nil {
			slog.Log(ctx, level, "fleet counters", "why", cause, "fleet", member.Figures())
		}
		slog.Log(ctx, level, "counters", "why", cause, "relay", r.Counters(), "front", server.Counters(), "connections", flows.Counters(), "pool", watcher.Counters(), "notices", notices.Counters(),
			"journal", journalBytes, "owed", pending, "compacted", compacted, "reloads", reloads, "bad_reloads", badReloads,
			"vitals", meters.Totals())
	}
	var countersTick <-chan time.Time
	if cfg.countersInterval > 0 {
		tick := time.NewTicker(cfg.countersInterval)
		defer tick.Stop()
		countersTick = tick.C
	}
	var drainTimer, exitTimer <-chan time.Time
	for running := true; running; {
		select {
		case <-sig.logCounters:
			logCounters("signal")
		case <-countersTick:
			logCounters("interval")
		case <-sig.logConnections:
			level := max(slog.LevelInfo, min(logLevel.Level(), slog.LevelWarn))
			for _, s := range flows.Connections() {
				slog.Log(ctx, level, "member's connections", "state", s)
			}
			slog.Log(ctx, level, "idle at their ends", "connections", flows.Ends())
		case <-sig.reload:
			reload()
		case sig := <-sig.terminate:
			if exitTimer == nil {
				slog.Info("ending", "signal", sig.String())
				drainTimer, exitTimer = time.After(cfg.drainDelay), time.After(cfg.exitDelay)
			}
		case <-drainTimer:
			if handler != nil {
				handler.ready.Store(false)
			}
			server.Drain()
			leaveFleet() // the others hear it from this relay and need not find out
		case <-exitTimer:
			running = false
		case err := <-serveEnded:
			if drainTimer == nil {
				return err
			}
			serveEnded = nil
		}
	}
	server.End()
	stopStepping()
	cancel()
	workers.Wait()
	server.Drained(time.Now().Add(finalAnswersTimeout))
	logCounters("exit")
	return nil
}
