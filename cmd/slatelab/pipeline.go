package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab"
	"slatemux/internal/lab/flood"
	"slatemux/internal/lab/resp"
)

// pipelineFlags holds the values of the command's flags.
type pipelineFlags struct {
	binary, otherBinary string
	clients             int
	length              time.Duration
	rounds              int
	cpu                 int
	floodClients        int
	bodyBytes           int
}

// pipelineCommand measures clients that send commands in pipelines, alternating between two builds.
func pipelineCommand() *cobra.Command {
	var f pipelineFlags
	c := &cobra.Command{
		Use:   "pipeline",
		Short: "Measure throughput and latency of clients that send 1, 30 or 300 commands at once, and memory at rest, side by side with another build",
		Long: `Each client sends as many commands at once as its pipeline holds, reads the answers in order, and sends the next. Latency is the time from
the sending of a pipeline to each of its answers. Submissions wait for a step of the relay each; PING shows the cost of reading and answering
alone, with 0 at once the same on a new connection each time. With --flood, other clients send unknown commands without a pause meanwhile.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.clients < 1 || f.rounds < 1 || f.length <= 0 || f.length > time.Minute || f.bodyBytes < 0 || f.bodyBytes > 64<<10 {
				return errors.New("pipeline: --clients and --rounds must be above 0, --for at most 1m, and --body at most 65536")
			}
			return f.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&f.binary, "binary", "bin/slatemux", "the relay")
	c.Flags().StringVar(&f.otherBinary, "versus", "", "another build of the relay to compare with; empty for none")
	c.Flags().IntVar(&f.clients, "clients", 8, "number of clients")
	c.Flags().DurationVar(&f.length, "for", 2*time.Second, "length of each measurement")
	c.Flags().IntVar(&f.rounds, "rounds", 3, "number of measurements of each kind and build")
	c.Flags().IntVar(&f.cpu, "cpu", 0, "processor of the relay")
	c.Flags().IntVar(&f.bodyBytes, "body", 212, "bytes of the body of a submission")
	c.Flags().IntVar(&f.floodClients, "flood", 0, "number of clients that send unknown commands without a pause")
	return c
}

// newConnections stands for pipelines of one command on a new connection each.
const newConnections = 0

// pipelineResult is the result of one measurement.
type pipelineResult struct {
	perSecond  float64       // answers
	cpu        time.Duration // of the relay, an answer
	latencies  []time.Duration
	unexpected int // answers other than the usual one
}

// quantile returns a quantile of the latencies.
func (r *pipelineResult) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(q*float64(len(r.latencies))), len(r.latencies)-1)]
}

// run measures each kind of pipeline with each build, alternating between the builds.
func (f *pipelineFlags) run(ctx context.Context, out io.Writer) error {
	builds := []string{f.otherBinary, f.binary}
	if f.otherBinary == "" {
		builds = builds[1:]
	}
	for _, binary := range builds {
		if err := f.measureMemory(out, binary); err != nil {
			return err
		}
	}
	for _, command := range []string{"PING", "MSG.PUT"} {
		for _, depth := range []int{newConnections, 1, 30, 300} {
			for round := range f.rounds {
				for _, binary := range builds {
					r, err := f.measure(ctx, binary, command, depth)
					if err != nil {
						return err
					}
					fmt.Fprintf(out, "%-8s pipeline %3d round %d %-24s %9.0f answers/s, %7.2f µs of processor each, latency p50 %8v p99 %8v, %d unexpected answers\n", command, depth, round, binary,
						r.perSecond, float64(r.cpu)/float64(time.Microsecond), r.quantile(0.5).Round(time.Microsecond), r.quantile(0.99).Round(time.Microsecond), r.unexpected)
				}
			}
		}
	}
	return nil
}

// startRelay starts a relay of the given build in a deployment of its own. stop ends both.
func (f *pipelineFlags) startRelay(binary string) (d *lab.Deployment, relay *lab.Process, stop func(), err error) {
	dir, err := os.MkdirTemp("", "slatelab")
	if err != nil {
		return nil, nil, nil, err
	}
	if d, err = lab.Start(dir, deploymentConfig(1, 192, time.Millisecond)); err != nil {
		return nil, nil, nil, err
	}
	if relay, err = d.StartRelay(binary, []int{f.cpu}, ""); err != nil {
		d.Close()
		return nil, nil, nil, err
	}
	return d, relay, func() {
		relay.Kill()
		d.Close()
		_ = os.RemoveAll(dir)
	}, nil
}

// measureMemory prints the memory of a relay at rest: without clients, and with clients that have sent one command each.
func (f *pipelineFlags) measureMemory(out io.Writer, binary string) error {
	const idleClients = 200
	d, relay, stop, err := f.startRelay(binary)
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(time.Second)
	alone := relay.AnonymousMemory()
	for range idleClients {
		nc, err := net.Dial("tcp", d.Listen)
		if err != nil {
			return err
		}
		defer nc.Close()
		if _, err := io.WriteString(nc, "PING\r\n"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	fmt.Fprintf(out, "memory at rest %-24s %.1f MB without file pages, with %d clients %.1f MB\n", binary, float64(alone)/1e6, idleClients, float64(relay.AnonymousMemory())/1e6)
	return nil
}

// measure runs the clients of one measurement.
func (f *pipelineFlags) measure(ctx context.Context, binary, command string, depth int) (pipelineResult, error) {
	d, relay, stop, err := f.startRelay(binary)
	if err != nil {
		return pipelineResult{}, err
	}
	defer stop()
	if f.floodClients > 0 {
		floodCtx, endFlood := context.WithCancel(ctx)
		flooded := make(chan flood.Outcome, 1)
		go func() {
			flooded <- flood.Config{Addr: d.Listen, Shape: flood.InlineUnknown, Clients: f.floodClients, Commands: 1 << 30, Linger: time.Hour}.Run(floodCtx)
		}()
		defer func() { endFlood(); <-flooded }()
		time.Sleep(300 * time.Millisecond)
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	var total pipelineResult
	var failed error
	began, usedBefore := time.Now(), relay.Usage().CPU
	for n := range f.clients {
		clients.Go(func() {
			r, err := f.runPipelines(d.Listen, command, depth, n, began.Add(f.length))
			mu.Lock()
			defer mu.Unlock()
			total.latencies = append(total.latencies, r.latencies...)
			total.unexpected += r.unexpected
			failed = errors.Join(failed, err)
		})
	}
	clients.Wait()
	total.perSecond = float64(len(total.latencies)) / time.Since(began).Seconds()
	total.cpu = (relay.Usage().CPU - usedBefore) / time.Duration(max(len(total.latencies), 1))
	return total, failed
}

// runPipelines is one client. It sends pipelines until the given time.
func (f *pipelineFlags) runPipelines(addr, command string, depth, client int, until time.Time) (r pipelineResult, err error) {
	var nc net.Conn
	defer func() {
		if nc != nil {
			nc.Close()
		}
	}()
	reader, sent, want := bufio.NewReader(nil), 0, "+PONG\r\n"
	if command != "PING" {
		want = "+OK\r\n"
	}
	renew := depth == newConnections
	depth = max(depth, 1)
	var b []byte
	for time.Now().Before(until) {
		if renew && nc != nil {
			nc.Close()
		}
		if renew || nc == nil {
			if nc, err = net.Dial("tcp", addr); err != nil {
				return r, err
			}
			reader.Reset(nc)
		}
		b = b[:0]
		for range depth {
			b = f.appendPipelined(b, command, client, sent)
			sent++
		}
		start := time.Now()
		if _, err := nc.Write(b); err != nil {
			return r, err
		}
		for range depth {
			line, err := reader.ReadString('\n')
			if err != nil {
				return r, err
			}
			r.latencies = append(r.latencies, time.Since(start))
			if line != want {
				r.unexpected++
			}
		}
	}
	return r, nil
}

// appendPipelined appends the n-th command of a client.
func (f *pipelineFlags) appendPipelined(b []byte, command string, client, n int) []byte {
	if command == "PING" {
		return resp.AppendCommand(b, command)
	}
	id := fmt.Sprintf("%06x%010x", client, n)
	return resp.AppendCommand(b, command, "0000000000000000", id, fmt.Sprintf("c=slot-status,t=saburtalo,d=5000,dest=0,k=%s", id), strings.Repeat("b", f.bodyBytes))
}
