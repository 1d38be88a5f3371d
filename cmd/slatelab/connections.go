package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"slatemux/internal/conns"
	"slatemux/internal/flow"
	"slatemux/internal/flow/http1"
	"slatemux/internal/lab/scripted"
	"slatemux/internal/traffic"
)

const (
	// maxIdle is the time for which servers keep an idle connection, as configured in all pools.
	maxIdle = 5 * time.Second
	// callTimeout is the time from the start of a call to its deadline.
	callTimeout = 600 * time.Millisecond
)

// connectionsCommand compares the relay's connection pool with two other pools.
func connectionsCommand() *cobra.Command {
	var duration time.Duration
	var callsPerSecond float64
	var serverNames []string
	c := &cobra.Command{
		Use:   "connections",
		Short: "Compare the relay's connection pool with a newest-first pool and with that of net/http",
		Long: `Run the same calls through three pools, one after another: the relay's own pool ("keeper"), a pool that uses the newest idle
connection and closes a connection that was idle for nine tenths of a fixed limit, and net/http.Transport with that limit. Each
server follows a script: it keeps connections, or drops idle connections without notice after a time that changes twice, and so on.
Calls come in bursts with gaps between them, and each burst begins with a batch of simultaneous calls. The table shows the failed
calls, the connections opened per thousand calls, the latency of the first call of a batch and of the calls after the batch,
the open connections, and the processor time per call, servers included.`,
		Example: "  slatelab connections --for 40s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if duration < time.Second || callsPerSecond < 1 || callsPerSecond > 5000 {
				return fmt.Errorf("connections: --for %v is below 1s, or --rate %v is not within 1 to 5000", duration, callsPerSecond)
			}
			slog.SetLogLoggerLevel(slog.LevelError)
			return compareConnections(cmd.Context(), cmd.OutOrStdout(), duration, callsPerSecond, serverNames)
		},
	}
	c.Flags().DurationVar(&duration, "for", 40*time.Second, "duration of each pool's run")
	c.Flags().Float64Var(&callsPerSecond, "rate", 900, "calls per second to each server during a burst")
	c.Flags().StringSliceVar(&serverNames, "server", nil, "names of the servers to use; all by default")
	return c
}

// connectionPool makes calls over connections that it reuses.
type connectionPool interface {
	// call makes one call before the deadline. It returns an error unless the answer has status 200.
	call(ctx context.Context, addr string, body []byte, deadline time.Time) error
	close()
}

// serverScripts returns the names of the servers, and each server's behavior in the three thirds of a run.
func serverScripts() (names []string, all map[string][3]scripted.Script) {
	const service, connect = 5 * time.Millisecond, 10 * time.Millisecond
	with := func(change func(*scripted.Script)) scripted.Script {
		s := scripted.Script{Service: service, Connect: connect}
		change(&s)
		return s
	}
	unchanged := func(change func(*scripted.Script)) [3]scripted.Script {
		s := with(change)
		return [3]scripted.Script{s, s, s}
	}
	changingIdle := func(end scripted.IdleEnd) (three [3]scripted.Script) {
		for i, idle := range []time.Duration{400 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond} {
			three[i] = with(func(s *scripted.Script) { s.End, s.Idle = end, idle })
		}
		return three
	}
	return []string{"steady", "reset-idle", "vanish-idle", "close-idle", "close-after-25", "cap-4"}, map[string][3]scripted.Script{
		"steady":         unchanged(func(*scripted.Script) {}),
		"reset-idle":     changingIdle(scripted.Reset),
		"vanish-idle":    changingIdle(scripted.Vanish),
		"close-idle":     changingIdle(scripted.Close),
		"close-after-25": unchanged(func(s *scripted.Script) { s.MaxCalls = 25 }),
		"cap-4":          unchanged(func(s *scripted.Script) { s.MaxConnections = 4 }),
	}
}

// serverResult holds the results of one pool's calls to one server.
type serverResult struct {
	mu             sync.Mutex
	calls, failed  int64
	firstMillis    []float64 // latencies of the first call of each batch, except the first batch of the run
	warmMillis     []float64 // latencies of the calls after a batch
	meanHeld       float64   // mean number of open connections at the start of a burst
	serverCounters scripted.Counters
}

// compareConnections runs the pools one after another against the selected servers, or all, and prints a table.
func compareConnections(ctx context.Context, out io.Writer, duration time.Duration, callsPerSecond float64, selected []string) error {
	names, all := serverScripts()
	if len(selected) > 0 {
		for _, name := range selected {
			if _, ok := all[name]; !ok {
				return fmt.Errorf("connections: server %q does not exist; the servers are %s", name, strings.Join(names, ", "))
			}
		}
		names = selected
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "pool\tserver\tcalls\tfailed\tshare, %\topened per 1000\tfirst p99, ms\twarm p99, ms\theld\tmost\t")
	for _, candidate := range []struct {
		name string
		make func(map[string]string) (connectionPool, error)
	}{{"newest-first", newNewestFirstPool}, {"transport", newHTTPTransport}, {"keeper", newRelayPool}} {
		servers, addrs := map[string]*scripted.Server{}, map[string]string{}
		for _, name := range names {
			server, err := scripted.Start(all[name][0])
			if err != nil {
				return err
			}
			servers[name], addrs[name] = server, server.Addr()
		}
		pool, err := candidate.make(addrs)
		if err != nil {
			return err
		}
		before := processCPUTime()
		var wg sync.WaitGroup
		results := map[string]*serverResult{}
		for i, name := range names {
			result := &serverResult{}
			results[name] = result
			wg.Go(func() { result.runCalls(ctx, pool, servers[name], all[name], duration, callsPerSecond, uint64(i)) })
		}
		wg.Wait()
		used := processCPUTime() - before
		pool.close()
		var calls, failed int64
		for _, name := range names {
			result := results[name]
			calls, failed = calls+result.calls, failed+result.failed
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t\n", candidate.name, name, result.calls, result.failed,
				100*float64(result.failed)/float64(max(result.calls, 1)), 1000*float64(result.serverCounters.Accepted)/float64(max(result.calls, 1)),
				p99(result.firstMillis), p99(result.warmMillis), result.meanHeld, result.serverCounters.MaxOpen)
			servers[name].Stop()
		}
		fmt.Fprintf(w, "%s\tall\t%d\t%d\t%.3f\t\t\t\t\t%.1f us/call\t\n", candidate.name, calls, failed, 100*float64(failed)/float64(max(calls, 1)),
			float64(used.Microseconds())/float64(max(calls, 1)))
		if relay, ok := pool.(*relayPool); ok {
			for _, state := range relay.states {
				fmt.Fprintf(out, "keeper at its end: %+v\n", state)
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return w.Flush()
}

// processCPUTime returns the user and system time that this process has used.
func processCPUTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// p99 sorts the list and returns its 99th percentile, or NaN for an empty list.
func p99(list []float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[min(len(list)*99/100, len(list)-1)]
}

// runCalls makes the calls to one server. Gaps of 5 ms to 1.5 s, with evenly distributed logarithms, separate the bursts. Each burst
// begins with a batch of simultaneous calls.
func (r *serverResult) runCalls(ctx context.Context, pool connectionPool, server *scripted.Server, script [3]scripted.Script, duration time.Duration,
	callsPerSecond float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	body := make([]byte, 200)
	if script[0].End == scripted.Vanish {
		body = make([]byte, 16<<10) // more than the receive buffer of a server that no longer reads can hold
	}
	batch := 10
	if script[0].MaxConnections > 0 {
		batch, callsPerSecond = script[0].MaxConnections, min(callsPerSecond/3, 400) // half of the server's capacity
	}
	var calls sync.WaitGroup
	call := func(latencies *[]float64) {
		calls.Go(func() {
			started := time.Now()
			err := pool.call(ctx, server.Addr(), body, started.Add(callTimeout))
			latencyMillis := float64(time.Since(started).Microseconds()) / 1000
			r.mu.Lock()
			defer r.mu.Unlock()
			r.calls++
			if err != nil {
				r.failed++
			} else if latencies != nil {
				*latencies = append(*latencies, latencyMillis)
			}
		})
	}
	start := time.Now()
	var heldSum float64
	samples := 0
	for third := 0; time.Since(start) < duration && ctx.Err() == nil; {
		if now := int(3 * time.Since(start) / duration); now != third && now < 3 {
			third = now
			server.Set(script[third])
		}
		time.Sleep(time.Duration(math.Exp(math.Log(5)+rng.Float64()*math.Log(300)) * float64(time.Millisecond)))
		heldSum += float64(server.Open())
		samples++
		if samples == 1 {
			call(nil) // not measured: before the first call of all, no pool knows anything about the server
		} else {
			call(&r.firstMillis)
		}
		for range batch - 1 {
			call(nil)
		}
		until := time.Now().Add(time.Duration((0.1 + 0.5*rng.Float64()) * float64(time.Second)))
		for next := time.Now(); next.Before(until); {
			next = next.Add(time.Duration(rng.ExpFloat64() / callsPerSecond * float64(time.Second)))
			time.Sleep(time.Until(next))
			call(&r.warmMillis)
		}
	}
	calls.Wait()
	r.meanHeld, r.serverCounters = heldSum/float64(max(samples, 1)), server.Counters()
}

// relayPool makes calls through the relay's own flow manager and connection pool.
type relayPool struct {
	manager     *flow.Manager
	pendingEnds sync.Map // channel (chan traffic.FlowEnd) of each pending flow, by flow ID
	lastID      atomic.Int64
	stop        context.CancelFunc
	namesByAddr map[string]string
	states      []conns.EndpointState // of the connections when the pool was closed
}

func newRelayPool(addrs map[string]string) (connectionPool, error) {
	pool := &relayPool{namesByAddr: map[string]string{}}
	cfg := conns.Defaults()
	cfg.MaxConns, cfg.MaxIdle, cfg.Preconnect = 500, maxIdle, true
	var err error
	pool.manager, err = flow.New(flow.Config{ConnectTimeout: time.Second, MaxCalls: 10_000, Conns: cfg,
		UnackedTimeout: 300 * time.Millisecond}, func(flowEnd traffic.FlowEnd) {
		end, _ := pool.pendingEnds.LoadAndDelete(flowEnd.ID)
		end.(chan traffic.FlowEnd) <- flowEnd
	})
	if err != nil {
		return nil, err
	}
	list := traffic.PoolUpdate{Full: true}
	for name, addr := range addrs {
		pool.namesByAddr[addr] = name
		list.Members = append(list.Members, traffic.Member{Host: name, Address: addr, Destination: len(list.Members)})
	}
	pool.manager.UpdatePool(list)
	ctx, stop := context.WithCancel(context.Background())
	pool.stop = stop
	go pool.manager.Sweep(ctx)
	return pool, nil
}

func (p *relayPool) call(_ context.Context, addr string, body []byte, deadline time.Time) error {
	for {
		end := make(chan traffic.FlowEnd, 1)
		id := fmt.Sprint(p.lastID.Add(1))
		p.pendingEnds.Store(id, end)
		p.manager.Start(traffic.Flow{ID: id, Member: p.namesByAddr[addr], Group: traffic.Group{Member: addr}, Body: body, StartedAt: time.Now(),
			Deadline: deadline})
		result := <-end
		if result.Status == traffic.Unsent && time.Now().Before(deadline) {
			// The flow manager did not send the call; the relay's decision module would retry it.
			continue
		}
		if result.Status != traffic.Delivered {
			return errors.New(result.Status.String())
		}
		return nil
	}
}

func (p *relayPool) close() {
	p.states = p.manager.EndpointStates()
	p.stop()
	p.manager.SetCloseIdle(true)
}

// httpTransport makes calls through net/http.Transport. Calls have no Idempotency-Key header: with one, net/http would retry a call on its
// own although the server may already have run it.
type httpTransport struct{ t *http.Transport }

func newHTTPTransport(map[string]string) (connectionPool, error) {
	return &httpTransport{&http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: maxIdle * 9 / 10, DisableCompression: true}}, nil
}

func (t *httpTransport) call(ctx context.Context, addr string, body []byte, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/hook", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.t.RoundTrip(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

func (t *httpTransport) close() { t.t.CloseIdleConnections() }

// newestFirstPool uses the newest idle connection and closes a connection that was idle for nine tenths of maxIdle, as the relay's former
// pool did.
type newestFirstPool struct {
	mu   sync.Mutex
	idle map[string][]*newestFirstConn
}

// newestFirstConn is one connection with at most one pending call.
type newestFirstConn struct {
	nc        net.Conn
	idleSince time.Time
	calls     chan *newestFirstCall
	closed    chan struct{} // closed when the reader has ended
}

// newestFirstCall is one call that waits for its response.
type newestFirstCall struct {
	resp     http1.Response
	complete chan bool // whether the response arrived in full
}

func newNewestFirstPool(map[string]string) (connectionPool, error) {
	return &newestFirstPool{idle: map[string][]*newestFirstConn{}}, nil
}

// takeIdle returns the newest usable idle connection to addr, or nil, and closes the expired ones that it passes.
func (p *newestFirstPool) takeIdle(addr string) *newestFirstConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if time.Since(c.idleSince) < maxIdle*9/10 {
			select {
			case <-c.closed:
			default:
				return c
			}
		}
		c.nc.Close()
	}
	return nil
}

func (p *newestFirstPool) call(ctx context.Context, addr string, body []byte, deadline time.Time) error {
	c := p.takeIdle(addr)
	if c == nil {
		nc, err := (&net.Dialer{Deadline: deadline, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		c = &newestFirstConn{nc: nc, calls: make(chan *newestFirstCall, 1), closed: make(chan struct{})}
		go c.readResponses()
	}
	call := &newestFirstCall{complete: make(chan bool, 1)}
	c.calls <- call
	stop := time.AfterFunc(time.Until(deadline), func() { c.nc.Close() })
	if _, err := c.nc.Write(http1.AppendRequest(nil, "POST", "/hook", addr, nil, body)); err != nil {
		c.nc.Close()
		return err
	}
	complete := false
	select {
	case complete = <-call.complete:
	case <-c.closed: // the reader may have ended before it received the call, or just after it reported the call's end
		select {
		case complete = <-call.complete:
		default:
		}
	}
	if !stop.Stop() || !complete {
		c.nc.Close()
		return errors.New("no answer")
	}
	p.mu.Lock()
	c.idleSince = time.Now()
	p.idle[addr] = append(p.idle[addr], c)
	p.mu.Unlock()
	return nil
}

// readResponses reads until the connection ends, and reports the end of each call. Data without a pending call also ends the reader.
func (c *newestFirstConn) readResponses() {
	defer close(c.closed)
	buf := make([]byte, 4096)
	for {
		n, err := c.nc.Read(buf)
		var call *newestFirstCall
		select {
		case call = <-c.calls:
		default:
		}
		if call == nil {
			if err != nil || n > 0 {
				return
			}
			continue
		}
		_, feedErr := call.resp.Feed(buf[:n])
		if call.resp.Done() {
			call.complete <- true
			continue
		}
		if err != nil || feedErr != nil {
			call.complete <- false
			return
		}
		c.calls <- call
	}
}

func (p *newestFirstPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.nc.Close()
		}
	}
}
