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
const serveOn, exitAfter = 3000 * time.Millisecond, 3550 * time.Millisecond

// settle is how long a connection to a pool member rests after an answer: less than half of a step.
const settle = 2 * time.Millisecond

// answerWithin is what clients may still need for the answers to what was read.
const answerWithin = 100 * time.Millisecond

// began is about the process's first moment: what discovery has to tell may count from then on.
var began = time.Now()

// signals are what may come while the relay runs. Each kind has a channel of its own, with room for one: what
// comes again before it is looked at asks for the same, and none can push another out.
type signals struct{ end, report, conns, reload chan os.Signal }

func listen() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.report, syscall.SIGUSR1)
	signal.Notify(s.conns, syscall.SIGUSR2)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// keepsOrder says whether any class keeps the order of keys.
func keepsOrder(set *dispatch.Settings) bool {
	return slices.ContainsFunc(set.Classes, func(c dispatch.Class) bool { return c.OrderedByKey })
}

// run serves until a signal ends it. It reads its configuration again when asked to, and tells where it
// listens once it is ready.
func run(cfg config, in signals, reread func() (config, error), ready func(net.Addr)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	read := time.Now()
	most := cfg.caps()
	debug.SetMemoryLimit(most.heap)
	discovery := discoveryaddr.New(cfg.discovery)
	store, err := journal.Open(cfg.state, most.disk)
	if err != nil {
		return err
	}
	defer store.Close()
	opened := time.Now()

	// The operators' address answers from the start: not ready until clients are taken.
	var desk *opsDesk
	if cfg.ops != "" {
		desk = &opsDesk{bans: maintenance.Open(cfg.state)}
		if desk.server, err = ops.Listen(cfg.ops, desk); err != nil {
			return fmt.Errorf("ops: %w", err)
		}
		go func() {
			if err := desk.server.Serve(); err != nil {
				slog.Error("ops address ended", "err", err)
			}
		}()
		defer desk.server.Close()
		slog.Info("ops address", "listen", desk.server.Addr())
	}
	bans := map[string]bool{}
	if desk != nil {
		bans = desk.bans.Banned()
	}

	meters := vitals.New(cfg.cores)
	var gov *governor.Governor
	var admission front.Admission // a nil interface where nothing is governed
	if own := cfg.gateway.Overload; own.Enabled {
		gov, err = governor.New(governor.Config{Control: cfg.control(), Tick: own.Tick, Brownout: own.Brownout,
			StepInterval: cfg.settings.Resolution, MemoryLimit: cfg.memory, Meters: meters,
			SuppressLogs: func(on bool) { quiet(on, cfg.gateway.Log.Level) }})
		if err != nil {
			return err
		}
		admission = gov
	}

	var secured *secure.Manager
	var overTLS flow.TLSConnector // a nil interface where all is plain
	if len(cfg.gateway.TLS.Policies) > 0 {
		if secured, err = secure.New(cfg.gateway.TLS.Policies); err != nil {
			return err
		}
		overTLS = secured
	}
	busy := func() float64 {
		if gov == nil {
			return 0
		}
		return gov.State().Reading.BusyShare
	}

	var shared flow.RetryAfterWaits // a nil interface where none are shared
	if table, err := retryafter.Open(os.TempDir()); err != nil {
		slog.Warn("told waits not shared with a successor", "err", err)
	} else {
		defer table.Close()
		shared = table
	}
	var inTurn relay.KeyOrder // as well
	if keepsOrder(&cfg.settings) {
		if table, err := keyorder.Open(os.TempDir(), fmt.Sprint(os.Getpid(), cfg.began.UnixNano())); err != nil {
			slog.Warn("the order of keys is not shared with a successor", "err", err)
		} else {
			defer table.Close()
			inTurn = table
		}
	}
	var r *relay.Relay
	part, err := join(&cfg, func() *relay.Relay { return r })
	if err != nil {
		return err
	}
	var amongFlows flow.Fleet // nil interfaces for a relay alone
	var amongRelays relay.Fleet
	if part != nil {
		amongFlows, amongRelays = part, part
	}
	keep := cfg.gateway.Conns.Keep
	keep.MaxConns, keep.MaxIdle, keep.Seed = most.members, cfg.settings.KeepAlive, uint64(cfg.seed)
	var names flow.Resolver // a nil interface where none are looked up
	if cfg.gateway.Conns.LookUpNames {
		names = net.DefaultResolver
	}
	flows, err := flow.New(flow.Config{Resolver: names, TLS: overTLS, HandshakeGate: cfg.gateway.TLS.Gate, ProgramLoad: busy, ConnectTimeout: cfg.settings.ConnectTimeout,
		MaxCalls: most.flows, SettleTime: settle, Conns: keep, MaxConnWait: cfg.gateway.Conns.HeldMost, UnackedTimeout: cfg.gateway.Conns.StuckAfter,
		LocalDelay: meters.ProbeWait, SharedWaits: shared, Fleet: amongFlows}, func(end traffic.FlowEnd) { r.FlowEnded(end) })
	if err != nil {
		return err
	}
	defer flows.Close() // before the journal lets go, which is deferred earlier
	var ahead relay.Preconnector
	if keep.Preconnect {
		ahead = flows
	}
	learned := limitstore.Open(cfg.state, most.learned, time.Now())
	notices := notice.New(discovery, func(ids []string) { r.NoticesAnswered(ids) })
	r, err = relay.New(relay.Config{Meters: meters, Settings: cfg.settings, Seed: cfg.seed, MaxOpenBytes: most.openBytes, Store: store,
		Flows: flows, Notices: notices, Preconnector: ahead, LimitRecorder: learned, Recoverer: store, Fleet: amongRelays, KeyOrder: inTurn, Banned: bans})
	if err != nil {
		return err
	}
	cfg.known.LogInvalid()
	news := cfg.known.News()
	flows.UpdatePool(news)
	open, owed := store.Pending()
	slog.Info("started", "discovery", cfg.discovery, "members", len(news.Members), "recovered", len(open), "notices", len(owed),
		"limits", len(learned.Limits()))
	before := time.Now()
	r.Start(news, learned.Limits(), open, owed)
	stepped := time.Now()

	var parts sync.WaitGroup
	stepping, stopStepping := context.WithCancel(context.Background())
	defer stopStepping()
	parts.Go(func() { r.Run(stepping) })
	parts.Go(func() { notices.Run(ctx) })
	parts.Go(func() { flows.Sweep(ctx) })
	parts.Go(func() { learned.Run(ctx) })
	watch := pool.NewWatcher(discovery, pool.NewCallSchedule(cfg.terms(), cfg.seed), cfg.known, cfg.began, r)
	parts.Go(func() { watch.Run(ctx) })
	apart, leave := context.WithCancel(ctx)
	defer leave()
	if part != nil {
		part.Recall(learned.Limits())
		parts.Go(func() { part.Run(apart) })
	}

	// Clients are let in last: a PING that is answered says that all before has been taken up.
	server, err := front.Listen(cfg.listen, most.clients, cfg.settings.Classes, r, admission)
	if err != nil {
		return err
	}
	if gov != nil {
		meters.StartProbes(ctx)
		parts.Go(func() { gov.Run(ctx, r, server, flows) })
	}
	if secured != nil && cfg.gateway.TLS.Watch {
		parts.Go(func() {
			if err := secured.Watch(ctx); err != nil {
				slog.Error("tls files not watched: they are read again at SIGHUP alone", "err", err)
			}
		})
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	slog.Info("ready", "listen", server.Addr(), "after", time.Since(cfg.began), "configured", read.Sub(cfg.began),
		"journal", opened.Sub(read), "parts", before.Sub(opened), "first_step", stepped.Sub(before))
	if desk != nil {
		desk.relay, desk.front, desk.fleet = r, server, part
		desk.ready.Store(true)
		parts.Go(func() { desk.follow(ctx) })
	}
	ready(server.Addr())

	// apply takes over what a configuration that was read again may change; a bad one changes nothing.
	var reloads, badReloads int64
	apply := func() {
		if secured != nil {
			secured.Reload()
		}
		if part != nil {
			if err := part.Reload(); err != nil {
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
		moved := newer.written != cfg.written && discovery.Set(newer.written)
		if c := newer.caps(); c != most {
			most = c
			debug.SetMemoryLimit(c.heap)
			store.SetLimit(c.disk)
			r.SetMemoryLimit(c.openBytes)
			flows.SetLimits(c.flows, c.members)
			if gov != nil {
				gov.SetMemoryLimit(newer.memory)
			}
			server.SetLimits(c.clients)
		}
		at, _ := discovery.Current()
		slog.Info("configuration read again", "discovery", at, "moved", moved, "restart_for", cfg.fixed(&newer))
		cfg.written = newer.written
	}
	report := func(why string) {
		level := max(slog.LevelInfo, min(logLevel.Level(), slog.LevelWarn)) // asked for, they are told in a brownout too
		size, live, compacted := store.Stats()
		if gov != nil {
			slog.Log(ctx, level, "overload counters", "why", why, "overload", gov.State())
		}
		if secured != nil {
			gate, waiting := flows.Handshakes()
			slog.Log(ctx, level, "tls counters", "why", why, "tls", secured.Counters(), "asked", gate.Requested, "begun", gate.Started, "carried", gate.Reused,
				"out_of_time", gate.Expired, "waiting", waiting)
		}
		if part != nil {
			slog.Log(ctx, level, "fleet counters", "why", why, "fleet", part.Figures())
		}
		slog.Log(ctx, level, "counters", "why", why, "relay", r.Counters(), "front", server.Counters(), "connections", flows.Counters(), "pool", watch.Counters(), "notices", notices.Counters(),
			"journal", size, "owed", live, "compacted", compacted, "reloads", reloads, "bad_reloads", badReloads,
			"vitals", meters.Totals())
	}
	var every <-chan time.Time
	if cfg.countersEvery > 0 {
		tick := time.NewTicker(cfg.countersEvery)
		defer tick.Stop()
		every = tick.C
	}
	var drain, end <-chan time.Time
	for running := true; running; {
		select {
		case <-in.report:
			report("signal")
		case <-every:
			report("interval")
		case <-in.conns:
			level := max(slog.LevelInfo, min(logLevel.Level(), slog.LevelWarn))
			for _, s := range flows.EndpointStates() {
				slog.Log(ctx, level, "member's connections", "state", s)
			}
			slog.Log(ctx, level, "idle at their ends", "connections", flows.IdleTimes())
		case <-in.reload:
			apply()
		case sig := <-in.end:
			if end == nil {
				slog.Info("ending", "signal", sig.String())
				drain, end = time.After(cfg.serveOn), time.After(cfg.exitAfter)
			}
		case <-drain:
			if desk != nil {
				desk.ready.Store(false)
			}
			server.Drain()
			leave() // the others hear it from this relay and need not find out
		case <-end:
			running = false
		case err := <-served:
			if drain == nil {
				return err
			}
			served = nil
		}
	}
	server.Shutdown()
	stopStepping()
	cancel()
	parts.Wait()
	server.WaitDrained(time.Now().Add(answerWithin))
	report("exit")
	return nil
}
