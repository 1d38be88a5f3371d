package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/conns"
	"slatemux/internal/flow"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/partner"
	"slatemux/internal/traffic"
)

const (
	// answersServers is the number of pool members that a run calls.
	answersServers = 4
	// answersCallTimeout is the time from the start of a call to its deadline.
	answersCallTimeout = 5 * time.Second
	// errorShare is the share of the calls that the servers answer 500, so that wrong answers can be recognized.
	errorShare = 0.3
)

// answersFlags holds the flags of the answers command.
type answersFlags struct {
	duration       time.Duration
	callsPerSecond float64
	shares         []float64
	delays         []time.Duration
	seed           uint64
}

// answersCommand compares rules for the reuse of connections under second answers.
func answersCommand() *cobra.Command {
	var f answersFlags
	c := &cobra.Command{
		Use:   "answers",
		Short: "Compare rules for the reuse of connections while servers write answers twice",
		Long: `Call four servers through the relay's flow manager, once for each rule for the reuse of connections, each share of answers that
are written twice, and each longest delay of the second copy. Thirty percent of the calls are answered 500 and the others 200, so
that an answer that was taken for the one of another call is recognized by its status. A new connection costs its first call 30 ms.
The rules run one after another in one process. The table shows the calls, the wrong answers, the calls that broke (they may have
run), the share delivered, the connections opened per hundred calls, and the latency of answered calls.`,
		Example: "  slatelab answers --for 10s --share 0,0.01,0.1 --delay 10ms,1s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.duration < time.Second || f.callsPerSecond < 1 || f.callsPerSecond > 5000 {
				return fmt.Errorf("answers: --for %v is below 1s, or --rate %v is not within 1 to 5000", f.duration, f.callsPerSecond)
			}
			slog.SetLogLoggerLevel(slog.LevelError)
			return f.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	c.Flags().DurationVar(&f.duration, "for", 10*time.Second, "duration of each run")
	c.Flags().Float64Var(&f.callsPerSecond, "rate", 40, "calls per second in all")
	c.Flags().Float64SliceVar(&f.shares, "share", []float64{0, 0.001, 0.01, 0.1}, "shares of answers that are written twice")
	c.Flags().DurationSliceVar(&f.delays, "delay", []time.Duration{10 * time.Millisecond, time.Second}, "longest delays of the second copy")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the calls and of the servers")
	return c
}

// reuseRule is a rule for the reuse of connections.
type reuseRule struct {
	name string
	set  func(*conns.Config)
}

var reuseRules = []reuseRule{
	{"2ms", func(c *conns.Config) { c.MinRest = 2 * time.Millisecond }},
	{"50ms", func(c *conns.Config) { c.MinRest, c.SingleCallPeriod = 50*time.Millisecond, time.Hour }},
	{"250ms", func(c *conns.Config) { c.MinRest, c.SingleCallPeriod = 250*time.Millisecond, time.Hour }},
	{"1s", func(c *conns.Config) { c.MinRest, c.SingleCallPeriod = time.Second, time.Hour }},
	{"single", func(c *conns.Config) { c.SingleCall = true }},
}

// run makes the calls for each combination and prints the table.
func (f *answersFlags) run(ctx context.Context, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "rest\tshare\tdelay\tcalls\twrong\tbroken\tdelivered, %\topened per 100\tp50, ms\tp99, ms\t")
	for _, share := range f.shares {
		for i, delay := range f.delays {
			if share == 0 && i > 0 {
				continue // the delay makes no difference
			}
			for _, rule := range reuseRules {
				result, err := f.measure(ctx, rule, partner.Copies{Share: share, MaxDelay: delay})
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%g\t%v\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", rule.name, share, delay, result.calls, result.wrong, result.broken,
					100*float64(result.delivered)/float64(max(result.calls, 1)), 100*float64(result.opened)/float64(max(result.calls, 1)),
					quantileMillis(result.latencies, 0.5), quantileMillis(result.latencies, 0.99))
			}
		}
	}
	return w.Flush()
}

// answersResult is the result of one run.
type answersResult struct {
	calls, wrong, broken, delivered int
	opened                          int64
	latencies                       []time.Duration // of answered calls
}

// measure makes the calls of one run and compares the end of each flow with the answer that the server wrote for it.
func (f *answersFlags) measure(ctx context.Context, rule reuseRule, copies partner.Copies) (answersResult, error) {
	book := &ledger.Ledger{}
	list := traffic.PoolUpdate{Full: true}
	var servers []*partner.Server
	closeServers := func() {
		for _, s := range servers {
			s.Close()
		}
		servers = nil
	}
	defer closeServers()
	for n := range answersServers {
		s, err := partner.Start(partner.Config{Name: fmt.Sprint("s", n), Addr: "127.0.0.1:0", Ledger: book, Seed: f.seed + uint64(n), Copies: copies, LoadReport: "x0=0.5,x1=90",
			ConnectDelay: 30 * time.Millisecond, Phases: []partner.Phase{{ErrorRate: errorShare, Latency: partner.Latency{Mean: 60 * time.Millisecond, CV: 0.5}}}})
		if err != nil {
			return answersResult{}, err
		}
		servers = append(servers, s)
		list.Members = append(list.Members, traffic.Member{Host: fmt.Sprint("s", n), Address: s.Addr()})
	}
	cfg := conns.Defaults()
	cfg.MaxConns, cfg.MaxIdle = 500, maxIdle
	rule.set(&cfg)
	var mu sync.Mutex
	var pending sync.WaitGroup
	ends := map[string]traffic.FlowEnd{}
	manager, err := flow.New(flow.Config{ConnectTimeout: time.Second, MaxCalls: 10_000, Conns: cfg}, func(end traffic.FlowEnd) {
		mu.Lock()
		defer mu.Unlock()
		ends[end.ID] = end
		pending.Done()
	})
	if err != nil {
		return answersResult{}, err
	}
	manager.UpdatePool(list)
	sweepCtx, stop := context.WithCancel(ctx)
	defer stop()
	go manager.Sweep(sweepCtx)
	rng := rand.New(rand.NewPCG(f.seed, 7))
	started, id := time.Now(), 0
	for next := started; next.Before(started.Add(f.duration)) && ctx.Err() == nil; id++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / f.callsPerSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		pending.Add(1)
		member := list.Members[rng.IntN(len(list.Members))].Host
		manager.Start(traffic.Flow{ID: fmt.Sprintf("%016x", id+1), Member: member, Group: traffic.Group{Member: member}, StartedAt: time.Now(),
			Deadline: time.Now().Add(answersCallTimeout)})
	}
	pending.Wait()
	opened := manager.Counters().Opened
	manager.Close()
	closeServers()
	return compareEnds(ends, book, opened), ctx.Err()
}

// compareEnds compares the end of each flow with the status that the server recorded for its call.
func compareEnds(ends map[string]traffic.FlowEnd, book *ledger.Ledger, opened int64) answersResult {
	result := answersResult{calls: len(ends), opened: opened}
	calls, _ := book.Calls()
	written := map[string]int{}
	for _, c := range calls {
		written[fmt.Sprintf("%016x", c.ID)] = c.Status
	}
	for id, end := range ends {
		switch end.Status {
		case traffic.Delivered, traffic.Errored:
			result.latencies = append(result.latencies, end.Latency)
			if end.Status == traffic.Delivered {
				result.delivered++
			}
			if (end.Status == traffic.Delivered) != (written[id] == 200) {
				result.wrong++
			}
		default:
			result.broken++
		}
	}
	slices.Sort(result.latencies)
	return result
}

// quantileMillis returns a quantile of sorted durations in milliseconds.
func quantileMillis(sorted []time.Duration, q float64) float64 {
	return float64(ledger.Quantile(sorted, q).Microseconds()) / 1000
}
