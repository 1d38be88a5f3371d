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
	"slatemux/internal/handin"
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

const (
	// drainDelay is the time after SIGTERM during which the relay continues to serve. Then the relay closes each client connection
	// between two requests, while flows under way may still end.
	drainDelay = 3000 * time.Millisecond
	// exitDelay is the time from SIGTERM to the exit, which must precede the SIGKILL after 3.7 s. Messages that are still open at the
	// exit are in the journal.
	exitDelay = 3550 * time.Millisecond

	// connRestTime is the minimum time between an answer on a connection to a pool member and the next call on it. Bytes that the member
	// writes in this time are not taken for the answer to another call.
	connRestTime = 250 * time.Millisecond
	// singleCallPeriod is how long connections carry a single call after a pool member wrote bytes that no call was waiting for.
	singleCallPeriod = 10 * time.Minute

	// finalAnswersTimeout is the time that clients get at the exit to receive the answers to commands that the relay has read.
	finalAnswersTimeout = 100 * time.Millisecond
)

// processStart is approximately the time at which the process started. Changes that discovery has by then may count as notified from this
// time on.
var processStart = time.Now()

// signals holds a channel with room for one signal for each kind of signal. A signal that arrives while one of its kind is waiting asks for
// the same action and may be dropped. Signals of one kind cannot displace those of another.
type signals struct{ terminate, logCounters, logConnections, reload chan os.Signal }

// notifySignals starts the delivery of signals to channels.
func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.logCounters, syscall.SIGUSR1)
	signal.Notify(s.logConnections, syscall.SIGUSR2)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// anyOrderedByKey reports whether any class delivers messages of one key in order.
func anyOrderedByKey(set *dispatch.Settings) bool {
	return slices.ContainsFunc(set.Classes, func(c dispatch.Class) bool { return c.OrderedByKey })
}

// run serves until SIGTERM or SIGINT arrives on sig. At SIGHUP it reads the configuration again with reread. It calls ready with its
// listening address once it accepts clients.
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

	// The admin endpoint answers from the start. It reports that the relay is not ready until clients are accepted.
	var handler *opsHandler
	if cfg.opsAddr != "" {
		handler = &opsHandler{bans: maintenance.Open(cfg.stateDir)}
		if handler.server, err = ops.Listen(cfg.opsAddr, handler, cfg.opsConns()); err != nil {
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
	var admission front.Admission // a nil interface if overload control is off
	if overload := cfg.gateway.Overload; overload.Enabled {
		gov, err = governor.New(governor.Config{Control: cfg.overloadConfig(), Tick: overload.Tick, Brownout: overload.Brownout,
			StepInterval: cfg.settings.Resolution, MemoryLimit: cfg.memoryBytes, Meters: meters,
			SuppressLogs: func(on bool) { setQuietLogging(on, cfg.gateway.Log.Level) }})
		if err != nil {
			return err
		}
		admission = gov
	}

	var tlsManager *secure.Manager
	var flowTLS flow.TLSConnector // a nil interface if there are no TLS policies
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
		return gov.State().Reading.BusyShare
	}

	var sharedWaits flow.RetryAfterWaits // a nil interface if no waits are shared
	if table, err := retryafter.Open(os.TempDir()); err != nil {
		slog.Warn("told waits not shared with a successor", "err", err)
	} else {
		defer table.Close()
		sharedWaits = table
	}
	var turns relay.KeyOrder // a nil interface if the order of keys is not shared
	if anyOrderedByKey(&cfg.settings) {
		if table, err := keyorder.Open(os.TempDir(), fmt.Sprint(os.Getpid(), cfg.startTime.UnixNano())); err != nil {
			slog.Warn("the order of keys is not shared with a successor", "err", err)
		} else {
			defer table.Close()
			turns = table
		}
	}
	handIns, err := handin.Open(os.TempDir(), cfg.stateDir)
	if err != nil {
		slog.Warn("submissions not shared with a successor", "err", err)
	}
	defer handIns.Close()
	var r *relay.Relay
	member, err := joinFleet(&cfg, func() *relay.Relay { return r })
	if err != nil {
		return err
	}
	var flowFleet flow.Fleet // nil interfaces for a relay without a fleet
	var relayFleet relay.Fleet
	if member != nil {
		flowFleet, relayFleet = member, member
	}
	connsConfig := cfg.gateway.Conns.Config
	connsConfig.MaxConns, connsConfig.MaxIdle, connsConfig.Seed = limits.memberConns, cfg.settings.KeepAlive, uint64(cfg.seed)
	connsConfig.MinRest, connsConfig.SingleCallPeriod = connRestTime, singleCallPeriod
	var resolver flow.Resolver // a nil interface if no names are looked up
	if cfg.gateway.Conns.LookUpNames {
		resolver = net.DefaultResolver
	}
	flows, err := flow.New(flow.Config{Resolver: resolver, TLS: flowTLS, HandshakeGate: cfg.gateway.TLS.Handshakes, ProgramLoad: cpuBusy, ConnectTimeout: cfg.settings.ConnectTimeout,
		MaxCalls: limits.flows, Conns: connsConfig, MaxConnWait: cfg.gateway.Conns.MaxConnWait, UnackedTimeout: cfg.gateway.Conns.UnackedTimeout,
		LocalDelay: meters.ProbeWait, SharedWaits: sharedWaits, Fleet: flowFleet}, func(end traffic.FlowEnd) { r.FlowEnded(end) })
	if err != nil {
		return err
	}
	defer flows.Close() // runs before the deferred store.Close releases the journal
	var preconnector relay.Preconnector
	if connsConfig.Preconnect {
		preconnector = flows
	}
	limitStore := limitstore.Open(cfg.stateDir, limits.learnedBytes, time.Now())
	notices := notice.New(discovery, func(ids []string) { r.NoticesAnswered(ids) })
	r, err = relay.New(relay.Config{Meters: meters, Settings: cfg.settings, Seed: cfg.seed, MaxOpenBytes: limits.openBytes, Store: store,
		Flows: flows, Notices: notices, Preconnector: preconnector, LimitRecorder: limitStore, Recoverer: store, Fleet: relayFleet, KeyOrder: turns, HandIns: handIns, KeyRests: store.Rests(), StartHold: startHold(&cfg), Banned: bans})
	if err != nil {
		return err
	}
	cfg.known.LogInvalid()
	knownPool := cfg.known.Update()
	flows.UpdatePool(knownPool)
	openMessages, pendingNotices := store.Pending()
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
	watcher := pool.NewWatcher(discovery, pool.NewCallSchedule(cfg.discoveryTerms(), cfg.seed), cfg.known, cfg.startTime, r)
	workers.Go(func() { watcher.Run(ctx) })
	fleetCtx, leaveFleet := context.WithCancel(ctx)
	defer leaveFleet()
	if member != nil {
		member.RestoreLimits(limitStore.Limits())
		workers.Go(func() { member.Run(fleetCtx) })
	}

	// Clients are accepted last, so that an answer to PING means that everything before this point is running.
	server, err := front.Listen(cfg.listen, limits.clients, cfg.settings.Classes, r, admission)
	if err != nil {
		return err
	}
	if gov != nil {
		meters.StartProbes(ctx)
		workers.Go(func() { gov.Run(ctx, r, server, flows) })
	}
	if tlsManager != nil && cfg.gateway.TLS.WatchFiles {
		workers.Go(func() {
			if err := tlsManager.Watch(ctx); err != nil {
				slog.Error("tls files not watched: they are read again only at SIGHUP", "err", err)
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

	// reload reads the configuration again and applies the settings that can change at run time. An invalid file changes no setting.
	// TLS files and the trusted keys of the fleet are read again in either case.
	var reloads, badReloads int64
	reload := func() {
		if tlsManager != nil {
			tlsManager.Reload()
		}
		if member != nil {
			if err := member.Reload(); err != nil {
				slog.Error("fleet keys not taken over: the old keys stay in use", "err", err)
			}
		}
		newer, err := reread()
		if err != nil {
			badReloads++
			slog.Error("configuration not taken over", "err", err)
			return
		}
		reloads++
		moved := newer.fileDiscovery != cfg.fileDiscovery && discovery.Set(newer.fileDiscovery)
		if newLimits := newer.resourceLimits(); newLimits != limits {
			limits = newLimits
			debug.SetMemoryLimit(newLimits.heapBytes)
			store.SetLimit(newLimits.journalBytes)
			r.SetMemoryLimit(newLimits.openBytes)
			flows.SetLimits(newLimits.flows, newLimits.memberConns)
			if gov != nil {
				gov.SetMemoryLimit(newer.memoryBytes)
			}
			server.SetLimits(newLimits.clients)
		}
		discoveryAddr, _ := discovery.Current()
		slog.Info("configuration read again", "discovery", discoveryAddr, "moved", moved, "restart_for", cfg.restartOnlyChanges(&newer))
		cfg.fileDiscovery = newer.fileDiscovery
	}
	logCounters := func(cause string) {
		// A brownout raises the minimum level to warnings. The requested lines are then logged as warnings, so that they still appear.
		level := max(slog.LevelInfo, min(logLevel.Level(), slog.LevelWarn))
		journalBytes, pending, compacted := store.Stats()
		if gov != nil {
			slog.Log(ctx, level, "overload counters", "why", cause, "overload", gov.State())
		}
		if tlsManager != nil {
			handshakes, waiting := flows.Handshakes()
			slog.Log(ctx, level, "tls counters", "why", cause, "tls", tlsManager.Counters(), "asked", handshakes.Requested, "begun", handshakes.Started, "carried", handshakes.Reused,
				"out_of_time", handshakes.Expired, "waiting", waiting)
		}
		if member != nil {
			slog.Log(ctx, level, "fleet counters", "why", cause, "fleet", member.Metrics())
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
			for _, s := range flows.EndpointStates() {
				slog.Log(ctx, level, "member's connections", "state", s)
			}
			slog.Log(ctx, level, "idle at their ends", "connections", flows.IdleTimes())
		case <-sig.reload:
			reload()
		case received := <-sig.terminate:
			if exitTimer == nil {
				slog.Info("ending", "signal", received.String())
				drainTimer, exitTimer = time.After(cfg.drainDelay), time.After(cfg.exitDelay)
			}
		case <-drainTimer:
			if handler != nil {
				handler.ready.Store(false)
			}
			server.Drain()
			leaveFleet() // announces the leave to the other relays, so that they need not detect a failure
		case <-exitTimer:
			running = false
		case err := <-serveEnded:
			if drainTimer == nil {
				return err
			}
			serveEnded = nil
		}
	}
	server.Shutdown()
	stopStepping()
	cancel()
	workers.Wait()
	server.WaitDrained(time.Now().Add(finalAnswersTimeout))
	logCounters("exit")
	return nil
}

// maxStartHold is the time in which a discovery agent on this machine answers the first call.
const maxStartHold = 100 * time.Millisecond

// startHold returns how long the relay waits for discovery before it sends by the known list. An agent that is pushed its lists answers at once;
// other lists are asked for at a time that is spread over the relays.
func startHold(cfg *config) time.Duration {
	if cfg.settings.WatchRequired {
		return 0
	}
	return maxStartHold
}
