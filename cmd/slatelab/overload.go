package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
)

// deploymentConfig returns the configuration of a deployment whose partners accept any load, so that only the relay can be the bottleneck.
// Each destination has two partners, which answer after the given mean latency.
func deploymentConfig(destinations int, memoryMB float64, latency time.Duration) lab.DeploymentConfig {
	p := lab.DeploymentConfig{Classes: lab.DefaultClasses(), Tenants: []lab.Tenant{{Name: "saburtalo", Share: 0.45}, {Name: "rustavi", Share: 0.33},
		{Name: "kutaisi", Share: 0.22}}, MemoryMB: memoryMB, DiskMB: 256, Sockets: 12_000, MaxOpen: 20_000, MaxCalls: 2_000,
		KeepAlive: 5 * time.Second, Seed: 7}
	for d := range destinations {
		for _, half := range []string{"a", "b"} {
			p.Partners = append(p.Partners, partner.Config{Name: fmt.Sprintf("p%d%s", d, half), Dest: d, Seed: uint64(d),
				Phases: []partner.Phase{{Latency: partner.Latency{Mean: latency}}}})
		}
	}
	return p
}

// messageStreams returns the load's streams: one for each class and tenant, with 0.6 of the messages in the first class and
// 0.4 in the second.
func messageStreams(p lab.DeploymentConfig, bodyBytes int) (list []load.Stream) {
	for i, share := range []float64{0.6, 0.4} {
		for _, t := range p.Tenants {
			list = append(list, load.Stream{Class: i, Tenant: t.Name, Share: share * t.Share, BodyBytes: bodyBytes, Deadline: p.Classes[i].Deadline})
		}
	}
	return list
}

// overloadFlags holds the values of the command's flags.
type overloadFlags struct {
	binary, gatewayPath, outputDir string
	capacityPerSecond              float64
	factors, cpuStarvedFactors     []float64
	runDuration                    time.Duration
	clients, burners               int
	cpu, bodyBytes, maxRetries     int
	memoryMB                       float64
	debug                          bool
}

// overloadRun holds the parameters and the results of one run.
type overloadRun struct {
	factor                      float64
	cpuStarved, overloadControl bool
	rate                        float64
	duration                    time.Duration
	verdict                     ledger.Verdict
	coresUsed                   float64 // mean number of processor cores that the relay used
	maxRSSBytes                 int64
	loopDelays                  [4]time.Duration // delay of the relay's event loop: p50, p99, p99.9, maximum
	openAtEnd                   bool
}

// overloadCommand measures a relay under overload, with and without the overload control.
func overloadCommand() *cobra.Command {
	var f overloadFlags
	c := &cobra.Command{
		Use:   "overload",
		Short: "Load a relay beyond the capacity of its core, with and without the overload control",
		Long: `Pin a relay to one processor, measure its capacity, and submit multiples of that capacity: each multiple once without
the gateway's settings and once with them. For the multiples of --starved, busy loops share the relay's processor. Print a
table, and with --out also write runs.csv. The relay needs a processor that nothing else uses; the rest can share the others.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	fs := c.Flags()
	fs.StringVar(&f.binary, "binary", "bin/slatemux", "the relay")
	fs.StringVar(&f.gatewayPath, "config", "deploy/gateway.textproto", "file with the gateway's settings for the runs with overload control")
	fs.StringVar(&f.outputDir, "out", "", "folder for runs.csv and the logs of the relays; empty for none")
	fs.Float64Var(&f.capacityPerSecond, "capacity", 0, "messages per second that one core can serve; 0 to measure this capacity first")
	fs.Float64SliceVar(&f.factors, "factors", []float64{1, 2, 4, 10}, "multiples of the capacity to submit")
	fs.Float64SliceVar(&f.cpuStarvedFactors, "starved", []float64{0.5}, "multiples of the capacity to submit to a CPU-starved relay; 0 for none")
	fs.DurationVar(&f.runDuration, "for", 8*time.Second, "duration of a run")
	fs.IntVar(&f.clients, "clients", 300, "client connections")
	fs.IntVar(&f.burners, "burners", 3, "number of busy loops on the relay's processor in CPU-starved runs")
	fs.IntVar(&f.cpu, "cpu", 0, "number of the relay's processor; slatelab runs on the others")
	fs.IntVar(&f.bodyBytes, "body", 200, "size of a message body in bytes")
	fs.IntVar(&f.maxRetries, "retries", 0, "maximum number of times that a refused message is submitted again")
	fs.Float64Var(&f.memoryMB, "memory", 512, "memory limit of the relay in MB")
	fs.BoolVar(&f.debug, "debug", false, "make the relays log each decision; use with --out")
	return c
}

// run measures the capacity unless the flags give it, runs every multiple with and without overload control, and reports the runs.
func (f *overloadFlags) run(ctx context.Context, w io.Writer) error {
	gatewayConfig, err := readGatewayConfig(f.gatewayPath)
	if err != nil {
		return err
	}
	var otherCPUs []int
	for i := range 64 {
		if _, err := os.Stat(fmt.Sprintf("/sys/devices/system/cpu/cpu%d", i)); err == nil && i != f.cpu {
			otherCPUs = append(otherCPUs, i)
		}
	}
	if len(otherCPUs) == 0 {
		return fmt.Errorf("overload: the relay needs a processor of its own, but this machine has only one")
	}
	if err := lab.PinSelf(otherCPUs); err != nil {
		return err
	}
	if f.capacityPerSecond == 0 {
		if err := f.measureCapacity(ctx, w); err != nil {
			return err
		}
	}
	var runs []overloadRun
	printTableHead(w)
	for _, cpuStarved := range []bool{false, true} {
		factors := f.factors
		if cpuStarved {
			factors = f.cpuStarvedFactors
		}
		for _, factor := range factors {
			if factor <= 0 {
				continue
			}
			for _, control := range []string{"", gatewayConfig} {
				run, err := f.runOnce(ctx, factor, factor*f.capacityPerSecond, cpuStarved, control)
				if err != nil {
					return err
				}
				runs = append(runs, run)
				run.print(w)
			}
		}
	}
	if f.outputDir == "" {
		return nil
	}
	return writeCSV(f.outputDir, runs)
}

// measureCapacity finds the capacity of one core without overload control: the highest of a series of rates, each a quarter above the
// one before, at which at least 97 % of the messages are delivered within their aim.
func (f *overloadFlags) measureCapacity(ctx context.Context, w io.Writer) error {
	for rate := 4000.0; rate < 200_000; rate *= 1.25 {
		f.capacityPerSecond = rate
		r, err := f.runOnce(ctx, 1, rate, false, "")
		if err != nil {
			return err
		}
		offered, inAim := 0, 0
		for _, c := range r.verdict.Classes {
			offered, inAim = offered+c.Offered, inAim+c.WithinAim
		}
		if float64(inAim) < 0.97*float64(offered) {
			f.capacityPerSecond = rate / 1.25
			break
		}
	}
	fmt.Fprintf(w, "one core carries %.0f a second: of a quarter more, over 3%% are not delivered within their aim\n\n", f.capacityPerSecond)
	return nil
}

// runOnce runs one load against a new deployment.
func (f *overloadFlags) runOnce(ctx context.Context, factor, rate float64, cpuStarved bool, gatewayConfig string) (overloadRun, error) {
	run := overloadRun{factor: factor, rate: rate, cpuStarved: cpuStarved, overloadControl: gatewayConfig != "", duration: f.runDuration}
	dir, err := scratchDir()
	if err != nil {
		return run, err
	}
	defer os.RemoveAll(dir)
	config := deploymentConfig(4, f.memoryMB, 20*time.Millisecond)
	deployment, err := lab.Start(dir, config)
	if err != nil {
		return run, err
	}
	defer deployment.Close()
	var flags []string
	if f.debug {
		flags = []string{"--log-level", "debug"}
	}
	relay, err := deployment.StartRelay(f.binary, []int{f.cpu}, gatewayConfig, flags...)
	if err != nil {
		return run, err
	}
	defer relay.Kill()
	// The decision module raises the number of calls allowed to a partner call by call. The load rises to the full rate after this time,
	// when the window is open.
	const warmUp = 5 * time.Second
	if cpuStarved {
		for range f.burners {
			burner, err := lab.Run(nil, nil, os.Args[0], "burn", "--cpu", strconv.Itoa(f.cpu), "--for", (f.runDuration + warmUp + 3*time.Second).String())
			if err != nil {
				return run, err
			}
			defer burner.Kill()
		}
	}
	begin := time.Now().Add(warmUp)
	var cpu time.Duration
	samplingDone := make(chan struct{})
	sampling, stopSampling := context.WithCancel(ctx)
	go func() {
		defer close(samplingDone)
		time.Sleep(time.Until(begin))
		before := relay.Usage()
		for sampling.Err() == nil && time.Now().Before(begin.Add(f.runDuration)) {
			time.Sleep(100 * time.Millisecond)
			usage := relay.Usage()
			run.maxRSSBytes = max(run.maxRSSBytes, usage.RSS)
			cpu = usage.CPU - before.CPU
		}
	}()
	err = deployment.RunLoad(ctx, load.Config{Clients: f.clients, Patience: 400 * time.Millisecond, Streams: messageStreams(config, f.bodyBytes),
		Steps: []load.Step{{For: warmUp, Rate: min(rate, 0.6*f.capacityPerSecond)}, {For: f.runDuration, Rate: rate}}, Dests: destinationNumbers(config),
		MaxRetries: f.maxRetries, RetryAfterShare: 1, Seed: 11, Poisson: true})
	stopSampling()
	<-samplingDone
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return run, err
	}
	time.Sleep(500 * time.Millisecond) // time for outstanding calls to end
	if err := relay.Stop(time.Now().Add(10 * time.Second)); err != nil {
		return run, fmt.Errorf("relay did not end as expected: %w\n%s", err, relay.Log())
	}
	deployment.Close()
	if f.outputDir != "" {
		name := fmt.Sprintf("relay-%gx-starved-%v-control-%v.log", factor, cpuStarved, run.overloadControl)
		if err := os.MkdirAll(f.outputDir, 0o755); err != nil {
			return run, err
		}
		if err := os.WriteFile(filepath.Join(f.outputDir, name), []byte(relay.Log()), 0o644); err != nil {
			return run, err
		}
	}
	run.coresUsed = float64(cpu) / float64(f.runDuration)
	if line, ok := relay.LastLogLine("counters"); ok {
		for i, name := range []string{"p50", "p99", "p999", "most"} {
			run.loopDelays[i] = time.Duration(lab.NumberAt(line, "vitals", "loop_delay", name))
		}
		run.openAtEnd = lab.NumberAt(line, "relay", "open") > 0
	}
	rules := ledger.DefaultRules(deployment.Classes)
	rules.From, rules.To = begin, begin.Add(f.runDuration)
	end := time.Now()
	if !run.openAtEnd {
		end = end.Add(time.Hour) // no message is open any more, so a message without an outcome counts as lost
	}
	run.verdict = deployment.Ledger.Judge(rules, end)
	return run, nil
}

// destinationNumbers returns the destinations of a deployment, each once.
func destinationNumbers(p lab.DeploymentConfig) (list []int) {
	seen := map[int]bool{}
	for _, c := range p.Partners {
		if !seen[c.Dest] {
			seen[c.Dest] = true
			list = append(list, c.Dest)
		}
	}
	return list
}

// scratchDir makes a temporary folder, in /dev/shm (memory) where possible, so that the relay's journal does not wait for a disk.
func scratchDir() (string, error) {
	if dir, err := os.MkdirTemp("/dev/shm", "slatelab"); err == nil {
		return dir, nil
	}
	return os.MkdirTemp("", "slatelab")
}

// printTableHead prints the head of a Markdown table.
func printTableHead(w io.Writer) {
	fmt.Fprintln(w, "| load | core | control | class | offered/s | +OK/s | -BUSY/s | no answer/s | in aim/s | worth/s | +OK p50/p99 ms | -BUSY p50/p99 ms from sending | loop p50/p99/p99.9 ms | core used | RSS MB | breaches |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

// formatMillis returns a duration in milliseconds with one decimal.
func formatMillis(d time.Duration) string { return strconv.FormatFloat(float64(d)/1e6, 'f', 1, 64) }

// print prints one table row for each class, and the first breaches of rules.
func (r *overloadRun) print(w io.Writer) {
	core := "its own"
	if r.cpuStarved {
		core = "starved"
	}
	control := "off"
	if r.overloadControl {
		control = "on"
	}
	for i, c := range r.verdict.Classes {
		seconds := r.duration.Seconds()
		perSecond := func(n int) string { return strconv.FormatFloat(float64(n)/seconds, 'f', 0, 64) }
		leadingColumns, trailingColumns := fmt.Sprintf("| %gx | %s | %s ", r.factor, core, control), fmt.Sprintf("| %s / %s / %s | %.2f | %.0f | %d |",
			formatMillis(r.loopDelays[0]), formatMillis(r.loopDelays[1]), formatMillis(r.loopDelays[2]), r.coresUsed, float64(r.maxRSSBytes)/1e6, len(r.verdict.Violations))
		if i > 0 {
			leadingColumns, trailingColumns = "| | | ", "| | | | |"
		}
		fmt.Fprintf(w, "%s| %s | %s | %s | %s | %s | %s | %.0f | %s / %s | %s / %s %s\n", leadingColumns, c.Class,
			perSecond(c.Offered), perSecond(c.Accepted), perSecond(c.Refused), perSecond(c.NoAnswer+c.Unsent+c.Failed), perSecond(c.WithinAim),
			c.Worth/seconds, formatMillis(ledger.Quantile(c.AcceptLatency, 0.5)), formatMillis(ledger.Quantile(c.AcceptLatency, 0.99)),
			formatMillis(ledger.Quantile(c.RefuseLatencyFromSent, 0.5)), formatMillis(ledger.Quantile(c.RefuseLatencyFromSent, 0.99)), trailingColumns)
	}
	for i, b := range r.verdict.Violations {
		if i == 5 {
			break
		}
		fmt.Fprintf(w, "breach: %s, message %016x: %s\n", b.Rule, b.ID, b.Text)
	}
	if r.openAtEnd {
		fmt.Fprintln(w, "breach: messages were still open when the relay ended")
	}
}

// writeCSV writes runs.csv, with one line for each run and class.
func writeCSV(dir string, runs []overloadRun) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "runs.csv"))
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.Write(strings.Split("factor,starved,control,class,offered,accepted,refused,unanswered,in_aim,worth,loop_p50_ms,loop_p99_ms,loop_p999_ms,cores,rss,breaches", ","))
	for _, r := range runs {
		for _, c := range r.verdict.Classes {
			formatNumber := func(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
			seconds := r.duration.Seconds()
			_ = w.Write([]string{formatNumber(r.factor), strconv.FormatBool(r.cpuStarved), strconv.FormatBool(r.overloadControl), c.Class,
				formatNumber(float64(c.Offered) / seconds), formatNumber(float64(c.Accepted) / seconds), formatNumber(float64(c.Refused) / seconds),
				formatNumber(float64(c.NoAnswer+c.Unsent+c.Failed) / seconds), formatNumber(float64(c.WithinAim) / seconds), formatNumber(c.Worth / seconds),
				formatMillis(r.loopDelays[0]), formatMillis(r.loopDelays[1]), formatMillis(r.loopDelays[2]), formatNumber(r.coresUsed),
				strconv.FormatInt(r.maxRSSBytes, 10),
				strconv.Itoa(len(r.verdict.Violations))})
		}
	}
	w.Flush()
	return w.Error()
}
