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

// place is a deployment whose partners bear any load, so that the relay alone is what may fall short.
func place(dests int, memoryMB float64, latency time.Duration) lab.Place {
	p := lab.Place{Classes: lab.Usual(), Tenants: []lab.Tenant{{Name: "saburtalo", Share: 0.45}, {Name: "rustavi", Share: 0.33},
		{Name: "kutaisi", Share: 0.22}}, MemoryMB: memoryMB, DiskMB: 256, Sockets: 12_000, MaxOpen: 20_000, MaxCalls: 2_000,
		KeepAlive: 5 * time.Second, Seed: 7}
	for d := range dests {
		for _, half := range []string{"a", "b"} {
			p.Partners = append(p.Partners, partner.Config{Name: fmt.Sprintf("p%d%s", d, half), Dest: d, Seed: uint64(d),
				Life: []partner.Phase{{Latency: partner.Latency{Mean: latency}}}})
		}
	}
	return p
}

// streams are the two classes of the place, over its tenants.
func streams(p lab.Place, body int) (list []load.Stream) {
	for i, share := range []float64{0.6, 0.4} {
		for _, t := range p.Tenants {
			list = append(list, load.Stream{Class: i, Tenant: t.Name, Share: share * t.Share, Body: body, Deadline: p.Classes[i].Deadline})
		}
	}
	return list
}

// overloadFlags are those of the experiment.
type overloadFlags struct {
	binary, gateway, out string
	capacity             float64
	factors, starved     []float64
	span                 time.Duration
	clients, burners     int
	cpu, body, retries   int
	memory               float64
	debug                bool
}

// row is one run of the experiment.
type row struct {
	factor           float64
	starved, control bool
	rate             float64
	span             time.Duration
	verdict          ledger.Verdict
	cpu              float64 // cores used
	rss              int64
	loop             [4]time.Duration // p50, p99, p99.9, most
	lost             bool
}

func overloadCommand() *cobra.Command {
	var f overloadFlags
	c := &cobra.Command{
		Use:   "overload",
		Short: "Load a relay beyond what its core carries, with and without the overload control",
		Long: `Put a relay on one processor, find what it carries, and hand in multiples of that, each once without the
gateway's settings and once with them, in turn. With --starved, busy loops share the relay's processor.
Writes a table, and with --out also runs.csv. The relay needs a processor to itself; so does nothing else.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	fs := c.Flags()
	fs.StringVar(&f.binary, "binary", "bin/slatemux", "the relay")
	fs.StringVar(&f.gateway, "config", "deploy/gateway.textproto", "the gateway's settings of the runs with control")
	fs.StringVar(&f.out, "out", "", "folder for runs.csv and the logs of the relays")
	fs.Float64Var(&f.capacity, "capacity", 0, "what one core carries, a second; 0 to measure it first")
	fs.Float64SliceVar(&f.factors, "factors", []float64{1, 2, 4, 10}, "multiples of the capacity")
	fs.Float64SliceVar(&f.starved, "starved", []float64{0.5}, "multiples of the capacity to run with starved processor; 0 for none")
	fs.DurationVar(&f.span, "for", 8*time.Second, "length of a run")
	fs.IntVar(&f.clients, "clients", 300, "client connections")
	fs.IntVar(&f.burners, "burners", 3, "busy loops on the relay's processor, in starved runs")
	fs.IntVar(&f.cpu, "cpu", 0, "the relay's processor; the laboratory keeps to the others")
	fs.IntVar(&f.body, "body", 200, "bytes of a body")
	fs.IntVar(&f.retries, "retries", 0, "times that a refused message is handed in again")
	fs.Float64Var(&f.memory, "memory", 512, "the relay's memory limit, MB")
	fs.BoolVar(&f.debug, "debug", false, "have the relays log each decision; with --out")
	return c
}

func (f *overloadFlags) run(ctx context.Context, w io.Writer) error {
	text, err := readGateway(f.gateway)
	if err != nil {
		return err
	}
	var rest []int
	for i := range 64 {
		if _, err := os.Stat(fmt.Sprintf("/sys/devices/system/cpu/cpu%d", i)); err == nil && i != f.cpu {
			rest = append(rest, i)
		}
	}
	if len(rest) == 0 {
		return fmt.Errorf("overload: the relay needs a processor to itself, and there is one in all")
	}
	if err := lab.Keep(rest); err != nil {
		return err
	}
	if f.capacity == 0 {
		if err := f.measure(ctx, w); err != nil {
			return err
		}
	}
	var rows []row
	head(w)
	for _, starved := range []bool{false, true} {
		factors := f.factors
		if starved {
			factors = f.starved
		}
		for _, factor := range factors {
			if factor <= 0 {
				continue
			}
			for _, control := range []string{"", text} {
				r, err := f.one(ctx, factor, factor*f.capacity, starved, control)
				if err != nil {
					return err
				}
				rows = append(rows, r)
				r.print(w)
			}
		}
	}
	if f.out == "" {
		return nil
	}
	return writeRuns(f.out, rows)
}

// measure finds what one core carries: the highest of a row of rates, a quarter apart, of which nearly all is delivered
// within its aim, without control.
func (f *overloadFlags) measure(ctx context.Context, w io.Writer) error {
	for rate := 4000.0; rate < 200_000; rate *= 1.25 {
		f.capacity = rate
		r, err := f.one(ctx, 1, rate, false, "")
		if err != nil {
			return err
		}
		offered, served := 0, 0
		for _, c := range r.verdict.Classes {
			offered, served = offered+c.Offered, served+c.InAim
		}
		if float64(served) < 0.97*float64(offered) {
			f.capacity = rate / 1.25
			break
		}
	}
	fmt.Fprintf(w, "one core carries %.0f a second: of a quarter more, over 3%% are not delivered within their aim\n\n", f.capacity)
	return nil
}

// one runs one load against a fresh deployment.
func (f *overloadFlags) one(ctx context.Context, factor, rate float64, starved bool, gateway string) (row, error) {
	r := row{factor: factor, rate: rate, starved: starved, control: gateway != "", span: f.span}
	dir, err := scratch()
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	p := place(4, f.memory, 20*time.Millisecond)
	d, err := lab.Put(dir, p)
	if err != nil {
		return r, err
	}
	defer d.Close()
	var flags []string
	if f.debug {
		flags = []string{"--log-level", "debug"}
	}
	relay, err := d.Relay(f.binary, []int{f.cpu}, gateway, flags...)
	if err != nil {
		return r, err
	}
	defer relay.Kill()
	// The module opens a partner's window call by call; the load jumps once it is open.
	const warm = 5 * time.Second
	if starved {
		for range f.burners {
			b, err := lab.Run(nil, nil, os.Args[0], "burn", "--cpu", strconv.Itoa(f.cpu), "--for", (f.span + warm + 3*time.Second).String())
			if err != nil {
				return r, err
			}
			defer b.Kill()
		}
	}
	begin := time.Now().Add(warm)
	var cpu time.Duration
	watched := make(chan struct{})
	watch, stop := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		time.Sleep(time.Until(begin))
		from := relay.Usage()
		for watch.Err() == nil && time.Now().Before(begin.Add(f.span)) {
			time.Sleep(100 * time.Millisecond)
			u := relay.Usage()
			r.rss = max(r.rss, u.RSS)
			cpu = u.CPU - from.CPU
		}
	}()
	err = d.Load(ctx, load.Config{Clients: f.clients, Patience: 400 * time.Millisecond, Streams: streams(p, f.body),
		Steps: []load.Step{{For: warm, Rate: min(rate, 0.6*f.capacity)}, {For: f.span, Rate: rate}}, Dests: dests(p),
		Retries: f.retries, Honour: 1, Seed: 11, Poisson: true})
	stop()
	<-watched
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return r, err
	}
	time.Sleep(500 * time.Millisecond) // what is out may end
	if err := relay.End(time.Now().Add(10 * time.Second)); err != nil {
		return r, fmt.Errorf("the relay: %w\n%s", err, relay.Log())
	}
	d.Close()
	if f.out != "" {
		name := fmt.Sprintf("relay-%gx-starved-%v-control-%v.log", factor, starved, r.control)
		if err := os.MkdirAll(f.out, 0o755); err != nil {
			return r, err
		}
		if err := os.WriteFile(filepath.Join(f.out, name), []byte(relay.Log()), 0o644); err != nil {
			return r, err
		}
	}
	r.cpu = float64(cpu) / float64(f.span)
	if line, ok := relay.Line("counters"); ok {
		for i, name := range []string{"p50", "p99", "p999", "most"} {
			r.loop[i] = time.Duration(lab.Field(line, "vitals", "loop_delay", name))
		}
		r.lost = lab.Field(line, "relay", "open") > 0
	}
	rules := ledger.Usual(d.Classes)
	rules.From, rules.To = begin, begin.Add(f.span)
	end := time.Now()
	if !r.lost {
		end = end.Add(time.Hour) // nothing is open any more: what has no end has lost it
	}
	r.verdict = d.Ledger.Judge(rules, end)
	return r, nil
}

func dests(p lab.Place) (list []int) {
	seen := map[int]bool{}
	for _, c := range p.Partners {
		if !seen[c.Dest] {
			seen[c.Dest] = true
			list = append(list, c.Dest)
		}
	}
	return list
}

// scratch is a folder in memory where there is one: the relay's journal must not wait for a disk.
func scratch() (string, error) {
	if dir, err := os.MkdirTemp("/dev/shm", "slatelab"); err == nil {
		return dir, nil
	}
	return os.MkdirTemp("", "slatelab")
}

func head(w io.Writer) {
	fmt.Fprintln(w, "| load | core | control | class | offered/s | +OK/s | -BUSY/s | no answer/s | in aim/s | worth/s | +OK p50/p99 ms | -BUSY p50/p99 ms from sending | loop p50/p99/p99.9 ms | core used | RSS MB | breaches |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

func ms(d time.Duration) string { return strconv.FormatFloat(float64(d)/1e6, 'f', 1, 64) }

func (r *row) print(w io.Writer) {
	core := "its own"
	if r.starved {
		core = "starved"
	}
	control := "off"
	if r.control {
		control = "on"
	}
	for i, c := range r.verdict.Classes {
		s := r.span.Seconds()
		per := func(n int) string { return strconv.FormatFloat(float64(n)/s, 'f', 0, 64) }
		lead, tail := fmt.Sprintf("| %gx | %s | %s ", r.factor, core, control), fmt.Sprintf("| %s / %s / %s | %.2f | %.0f | %d |", ms(r.loop[0]),
			ms(r.loop[1]), ms(r.loop[2]), r.cpu, float64(r.rss)/1e6, len(r.verdict.Breaches))
		if i > 0 {
			lead, tail = "| | | ", "| | | | |"
		}
		fmt.Fprintf(w, "%s| %s | %s | %s | %s | %s | %s | %.0f | %s / %s | %s / %s %s\n", lead, c.Class, per(c.Offered), per(c.Accepted), per(c.Refused),
			per(c.NoAnswer+c.Unsent+c.Failed), per(c.InAim), c.Worth/s, ms(ledger.At(c.ToAccept, 0.5)), ms(ledger.At(c.ToAccept, 0.99)),
			ms(ledger.At(c.RefuseFromSent, 0.5)), ms(ledger.At(c.RefuseFromSent, 0.99)), tail)
	}
	for i, b := range r.verdict.Breaches {
		if i == 5 {
			break
		}
		fmt.Fprintf(w, "breach: %s, message %016x: %s\n", b.Rule, b.ID, b.Text)
	}
	if r.lost {
		fmt.Fprintln(w, "breach: messages were still open when the relay ended")
	}
}

// writeRuns writes the rows for other tools.
func writeRuns(dir string, rows []row) error {
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
	for _, r := range rows {
		for _, c := range r.verdict.Classes {
			num := func(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
			s := r.span.Seconds()
			_ = w.Write([]string{num(r.factor), strconv.FormatBool(r.starved), strconv.FormatBool(r.control), c.Class, num(float64(c.Offered) / s),
				num(float64(c.Accepted) / s), num(float64(c.Refused) / s), num(float64(c.NoAnswer+c.Unsent+c.Failed) / s), num(float64(c.InAim) / s),
				num(c.Worth / s), ms(r.loop[0]), ms(r.loop[1]), ms(r.loop[2]), num(r.cpu), strconv.FormatInt(r.rss, 10),
				strconv.Itoa(len(r.verdict.Breaches))})
		}
	}
	w.Flush()
	return w.Error()
}
