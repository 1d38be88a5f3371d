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

// idleMost is what all pools are told that servers let a connection idle; callMost is the time that a call has.
const idleMost, callMost = 5 * time.Second, 600 * time.Millisecond

func connectionsCommand() *cobra.Command {
	var span time.Duration
	var rate float64
	var only []string
	c := &cobra.Command{
		Use:   "connections",
		Short: "Compare the keeper of connections with a newest-first pool and with net/http's",
		Long: `Run the same calls through three pools, one after another: the relay's own, one that uses the newest idle connection
and closes it at nine tenths of a fixed limit, and net/http.Transport with that limit. Servers keep connections as scripts
say: steadily, or dropping idle ones unseen after a time that changes twice, and so on. Calls come in bursts behind gaps,
and each burst begins with a clump. Reported are the calls that failed, the connections opened per thousand calls, the
latency of a clump's first call beside all others', the connections held, and the processor time per call, servers included.`,
		Example: "  slatelab connections --for 40s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if span < time.Second || rate < 1 || rate > 5000 {
				return fmt.Errorf("connections: --for %v or --rate %v makes no sense", span, rate)
			}
			slog.SetLogLoggerLevel(slog.LevelError)
			return compareConnections(cmd.Context(), cmd.OutOrStdout(), span, rate, only)
		},
	}
	c.Flags().DurationVar(&span, "for", 40*time.Second, "how long each pool runs")
	c.Flags().Float64Var(&rate, "rate", 900, "calls a second to each server during a burst")
	c.Flags().StringSliceVar(&only, "server", nil, "these servers alone")
	return c
}

// caller makes one call by the deadline; an error is a call without a 200.
type caller interface {
	call(ctx context.Context, addr string, body []byte, by time.Time) error
	close()
}

// scripts are the servers: what each does in each third of the time.
func scripts() (names []string, all map[string][3]scripted.Script) {
	const service, connect = 5 * time.Millisecond, 10 * time.Millisecond
	with := func(change func(*scripted.Script)) scripted.Script {
		s := scripted.Script{Service: service, Connect: connect}
		change(&s)
		return s
	}
	thirds := func(change func(*scripted.Script)) [3]scripted.Script {
		s := with(change)
		return [3]scripted.Script{s, s, s}
	}
	ends := func(end scripted.End) (three [3]scripted.Script) {
		for i, idle := range []time.Duration{400 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond} {
			three[i] = with(func(s *scripted.Script) { s.End, s.Idle = end, idle })
		}
		return three
	}
	return []string{"steady", "reset-idle", "vanish-idle", "close-idle", "close-after-25", "cap-4"}, map[string][3]scripted.Script{
		"steady":         thirds(func(*scripted.Script) {}),
		"reset-idle":     ends(scripted.Reset),
		"vanish-idle":    ends(scripted.Vanish),
		"close-idle":     ends(scripted.Close),
		"close-after-25": thirds(func(s *scripted.Script) { s.Uses = 25 }),
		"cap-4":          thirds(func(s *scripted.Script) { s.Cap = 4 }),
	}
}

// tally is what came of one pool's calls to one server.
type tally struct {
	mu            sync.Mutex
	calls, failed int64
	first, rest   []float64 // milliseconds: a clump's first call, and all that come neither there nor in a clump
	held          float64   // connections, mean
	count         scripted.Counters
}

func compareConnections(ctx context.Context, out io.Writer, span time.Duration, rate float64, only []string) error {
	names, all := scripts()
	if len(only) > 0 {
		for _, name := range only {
			if _, ok := all[name]; !ok {
				return fmt.Errorf("connections: there is no server %q; there are %s", name, strings.Join(names, ", "))
			}
		}
		names = only
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "pool\tserver\tcalls\tfailed\tshare, %\topened per 1000\tfirst p99, ms\twarm p99, ms\theld\tmost\t")
	for _, p := range []struct {
		name string
		make func(map[string]string) (caller, error)
	}{{"newest-first", newNewest}, {"transport", newTransport}, {"keeper", newKeeper}} {
		servers, addrs := map[string]*scripted.Server{}, map[string]string{}
		for _, name := range names {
			s, err := scripted.Start(all[name][0])
			if err != nil {
				return err
			}
			servers[name], addrs[name] = s, s.Addr()
		}
		pool, err := p.make(addrs)
		if err != nil {
			return err
		}
		before := cpuTime()
		var wg sync.WaitGroup
		tallies := map[string]*tally{}
		for i, name := range names {
			t := &tally{}
			tallies[name] = t
			wg.Go(func() { t.run(ctx, pool, servers[name], all[name], span, rate, uint64(i)) })
		}
		wg.Wait()
		used := cpuTime() - before
		pool.close()
		var calls, failed int64
		for _, name := range names {
			t := tallies[name]
			calls, failed = calls+t.calls, failed+t.failed
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t\n", p.name, name, t.calls, t.failed, 100*float64(t.failed)/float64(max(t.calls, 1)),
				1000*float64(t.count.Accepted)/float64(max(t.calls, 1)), p99(t.first), p99(t.rest), t.held, t.count.Most)
			servers[name].Stop()
		}
		fmt.Fprintf(w, "%s\tall\t%d\t%d\t%.3f\t\t\t\t\t%.1f us/call\t\n", p.name, calls, failed, 100*float64(failed)/float64(max(calls, 1)),
			float64(used.Microseconds())/float64(max(calls, 1)))
		if k, ok := pool.(*keeper); ok {
			for _, s := range k.states {
				fmt.Fprintf(out, "keeper at its end: %+v\n", s)
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return w.Flush()
}

func cpuTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func p99(list []float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[min(len(list)*99/100, len(list)-1)]
}

// run makes one server's calls: bursts behind gaps of 5 ms to 1.5 s, evenly by their logarithm, each led by a clump.
func (t *tally) run(ctx context.Context, p caller, s *scripted.Server, script [3]scripted.Script, span time.Duration, rate float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	body := make([]byte, 200)
	if script[0].End == scripted.Vanish {
		body = make([]byte, 16<<10) // more than the server's kernel takes unread
	}
	clump := 10
	if script[0].Cap > 0 {
		clump, rate = script[0].Cap, min(rate/3, 400) // half of what it can take
	}
	var calls sync.WaitGroup
	call := func(to *[]float64) {
		calls.Go(func() {
			from := time.Now()
			err := p.call(ctx, s.Addr(), body, from.Add(callMost))
			took := float64(time.Since(from).Microseconds()) / 1000
			t.mu.Lock()
			defer t.mu.Unlock()
			t.calls++
			if err != nil {
				t.failed++
			} else if to != nil {
				*to = append(*to, took)
			}
		})
	}
	start := time.Now()
	var heldSum float64
	looks := 0
	for third := 0; time.Since(start) < span && ctx.Err() == nil; {
		if now := int(3 * time.Since(start) / span); now != third && now < 3 {
			third = now
			s.Set(script[third])
		}
		time.Sleep(time.Duration(math.Exp(math.Log(5)+rng.Float64()*math.Log(300)) * float64(time.Millisecond)))
		heldSum += float64(s.Open())
		looks++
		if looks == 1 {
			call(nil) // nothing can be known before the very first
		} else {
			call(&t.first)
		}
		for range clump - 1 {
			call(nil)
		}
		until := time.Now().Add(time.Duration((0.1 + 0.5*rng.Float64()) * float64(time.Second)))
		for next := time.Now(); next.Before(until); {
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
			call(&t.rest)
		}
	}
	calls.Wait()
	t.held, t.count = heldSum/float64(max(looks, 1)), s.Counters()
}

// keeper is the relay's own.
type keeper struct {
	g      *flow.Manager
	ends   sync.Map // of id: chan traffic.FlowEnd
	seq    atomic.Int64
	stop   context.CancelFunc
	addrs  map[string]string // name by address
	states []conns.EndpointState
}

func newKeeper(addrs map[string]string) (caller, error) {
	k := &keeper{addrs: map[string]string{}}
	cfg := conns.Defaults()
	cfg.MaxConns, cfg.MaxIdle, cfg.Preconnect = 500, idleMost, true
	var err error
	k.g, err = flow.New(flow.Config{ConnectTimeout: time.Second, MaxCalls: 10_000, Conns: cfg, UnackedTimeout: 300 * time.Millisecond}, func(e traffic.FlowEnd) {
		to, _ := k.ends.LoadAndDelete(e.ID)
		to.(chan traffic.FlowEnd) <- e
	})
	if err != nil {
		return nil, err
	}
	news := traffic.PoolUpdate{Full: true}
	for name, addr := range addrs {
		k.addrs[addr] = name
		news.Members = append(news.Members, traffic.Member{Host: name, Address: addr, Destination: len(news.Members)})
	}
	k.g.UpdatePool(news)
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	go k.g.Sweep(ctx)
	return k, nil
}

func (k *keeper) call(_ context.Context, addr string, body []byte, by time.Time) error {
	for {
		end := make(chan traffic.FlowEnd, 1)
		id := fmt.Sprint(k.seq.Add(1))
		k.ends.Store(id, end)
		k.g.Start(traffic.Flow{ID: id, Member: k.addrs[addr], Group: traffic.Group{Member: addr}, Body: body, StartedAt: time.Now(), Deadline: by})
		e := <-end
		if e.Status == traffic.Unsent && time.Now().Before(by) { // held back, and not sent: the decision module would send it again
			continue
		}
		if e.Status != traffic.Delivered {
			return errors.New(e.Status.String())
		}
		return nil
	}
}

func (k *keeper) close() {
	k.states = k.g.EndpointStates()
	k.stop()
	k.g.SetCloseIdle(true)
}

// transport is net/http's. A call bears no Idempotency-Key, so that it does not go out again by itself once it may have run.
type transport struct{ t *http.Transport }

func newTransport(map[string]string) (caller, error) {
	return &transport{&http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: idleMost * 9 / 10, DisableCompression: true}}, nil
}

func (t *transport) call(ctx context.Context, addr string, body []byte, by time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, by)
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

func (t *transport) close() { t.t.CloseIdleConnections() }

// newest is a pool that uses the newest idle connection, and closes one at nine tenths of a fixed limit, as the relay did.
type newest struct {
	mu   sync.Mutex
	idle map[string][]*newestConn
}

type newestConn struct {
	nc    net.Conn
	since time.Time
	calls chan *newestCall
	gone  chan struct{}
}

type newestCall struct {
	resp http1.Response
	end  chan bool
}

func newNewest(map[string]string) (caller, error) {
	return &newest{idle: map[string][]*newestConn{}}, nil
}

func (p *newest) take(addr string) *newestConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		if time.Since(c.since) < idleMost*9/10 {
			select {
			case <-c.gone:
			default:
				return c
			}
		}
		c.nc.Close()
	}
	return nil
}

func (p *newest) call(ctx context.Context, addr string, body []byte, by time.Time) error {
	c := p.take(addr)
	if c == nil {
		nc, err := (&net.Dialer{Deadline: by, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		c = &newestConn{nc: nc, calls: make(chan *newestCall, 1), gone: make(chan struct{})}
		go c.read()
	}
	call := &newestCall{end: make(chan bool, 1)}
	c.calls <- call
	stop := time.AfterFunc(time.Until(by), func() { c.nc.Close() })
	if _, err := c.nc.Write(http1.AppendRequest(nil, "POST", "/hook", addr, nil, body)); err != nil {
		c.nc.Close()
		return err
	}
	whole := false
	select {
	case whole = <-call.end:
	case <-c.gone: // its reader may have ended before it saw the call
		select {
		case whole = <-call.end:
		default:
		}
	}
	if !stop.Stop() || !whole {
		c.nc.Close()
		return errors.New("no answer")
	}
	p.mu.Lock()
	c.since = time.Now()
	p.idle[addr] = append(p.idle[addr], c)
	p.mu.Unlock()
	return nil
}

func (c *newestConn) read() {
	defer close(c.gone)
	buf := make([]byte, 4096)
	for {
		n, err := c.nc.Read(buf)
		var call *newestCall
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
		_, ferr := call.resp.Feed(buf[:n])
		if call.resp.Done() {
			call.end <- true
			continue
		}
		if err != nil || ferr != nil {
			call.end <- false
			return
		}
		c.calls <- call
	}
}

func (p *newest) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.nc.Close()
		}
	}
}
