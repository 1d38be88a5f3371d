package slopes

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"slatemux/internal/flow"
	"slatemux/internal/gateway"
	"slatemux/internal/relay"
	"slatemux/internal/traffic"
)

// callTakes is the time that a destination takes to answer.
const callTakes = 20 * time.Millisecond

// stepMeter notes the processor time of each of the relay's steps. Stepped is called at the beginning of each, on the relay's thread,
// so that a step's time is known when the next begins.
type stepMeter struct {
	mu     sync.Mutex
	begun  bool
	last   time.Duration
	steps  []time.Duration
	module time.Duration // all steps of the module
}

// RecordStep is called at the beginning of a step.
func (m *stepMeter) RecordStep(_, _ time.Time) {
	now := threadTime()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.begun {
		m.steps = append(m.steps, now-m.last)
	}
	m.begun, m.last = true, now
}

// RecordSubmission is told of each message.
func (m *stepMeter) RecordSubmission(time.Duration) {}

// RunSection runs a step of the module.
func (m *stepMeter) RunSection(f func()) {
	begun := threadTime()
	f()
	took := threadTime() - begun
	m.mu.Lock()
	defer m.mu.Unlock()
	m.module += took
}

// take returns the steps that have ended since it was last called, and the module's time in them.
func (m *stepMeter) take() (steps []time.Duration, module time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	steps, module = m.steps, m.module
	m.steps, m.module = nil, 0
	return steps, module
}

// answeringFlows stand for the network: members that are down accept no connection, all others answer after a time.
type answeringFlows struct {
	down      map[string]bool
	after     atomic.Int64 // nanoseconds; 0: at once
	ended     func(traffic.FlowEnd)
	delivered atomic.Int64
}

// Start answers a flow.
func (f *answeringFlows) Start(begun traffic.Flow) {
	after := time.Duration(f.after.Load())
	for _, one := range begun.All() {
		end := traffic.FlowEnd{ID: one.ID, Attempt: one.Attempt, Member: begun.Member, Status: traffic.Delivered, Latency: after}
		switch {
		case f.down[begun.Member]:
			end.Status = traffic.NotConnected
			f.ended(end)
		case after == 0:
			f.delivered.Add(1)
			f.ended(end)
		default:
			f.delivered.Add(1)
			time.AfterFunc(after, func() { f.ended(end) })
		}
	}
}

// answerAtOnce has answers take no time from now on.
func (f *answeringFlows) answerAtOnce() { f.after.Store(0) }

// Cancel has no effect: an answer is under way.
func (f *answeringFlows) Cancel(string, int) {}

// UpdatePool needs no members.
func (f *answeringFlows) UpdatePool(traffic.PoolUpdate) {}

// Send takes a notice that nobody reads.
func (f *answeringFlows) Send(traffic.Notice) {}

// relayRun is a relay that runs in this process, with flows that answer without a socket.
type relayRun struct {
	relay        *relay.Relay
	meter        *stepMeter
	flows        *answeringFlows
	destinations int
	down         int
	startTime    time.Duration // processor time of the first step
	next         atomic.Int64  // number of the newest message
	stop         context.CancelFunc
	stopped      chan struct{}
}

// relayInputs is what a relay starts with.
type relayInputs struct {
	news   traffic.PoolUpdate
	held   int
	open   []traffic.Open
	store  relay.Store
	after  time.Duration // that answers take
	seed   int64
	noDown bool // all destinations answer
}

// startRelay takes the first step and begins to run.
func startRelay(in relayInputs) (*relayRun, error) {
	run := &relayRun{meter: &stepMeter{}, destinations: len(in.news.Members), stopped: make(chan struct{})}
	run.flows = &answeringFlows{down: map[string]bool{}}
	run.flows.after.Store(int64(in.after))
	if !in.noDown {
		run.down = downDestinations(run.destinations)
	}
	for i := range run.down {
		run.flows.down[memberName(i)] = true
	}
	made, err := relay.New(relay.Config{Meters: run.meter, Settings: moduleSettings(run.destinations, in.held), Seed: in.seed, MaxOpenBytes: 1 << 40,
		Store: in.store, Flows: run.flows, Notices: run.flows})
	if err != nil {
		return nil, err
	}
	run.relay, run.flows.ended = made, made.FlowEnded
	run.next.Store(int64(in.held))
	run.startTime = onThread(func() { made.Start(in.news, nil, in.open, nil) })
	ctx, stop := context.WithCancel(context.Background())
	run.stop = stop
	go func() {
		runtime.LockOSThread() // the meter reads this thread's processor time
		defer runtime.UnlockOSThread()
		defer close(run.stopped)
		made.Run(ctx)
	}()
	return run, nil
}

func (run *relayRun) close() {
	run.stop()
	<-run.stopped
}

// stepOf returns the processor time of the step that takes in what post hands the relay. Nothing else may be going on.
func (run *relayRun) stepOf(ctx context.Context, post func()) (time.Duration, error) {
	if err := run.awaitStep(ctx); err != nil { // ends the first one
		return 0, err
	}
	run.meter.take()
	post()
	if err := run.awaitStep(ctx); err != nil {
		return 0, err
	}
	steps, _ := run.meter.take()
	return quantile(steps, 1), nil
}

// awaitStep has the relay take two more steps, and so ends the measuring of all that began before.
func (run *relayRun) awaitStep(ctx context.Context) error {
	for range 2 {
		before := run.relay.Counters().Steps
		run.relay.NoticesAnswered(nil)
		for run.relay.Counters().Steps == before {
			if err := sleep(ctx, time.Millisecond); err != nil {
				return err
			}
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil { // the module's least time between steps is 5 ms
			return err
		}
	}
	return nil
}

// sleep waits, or returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// loadResult is what a relay did under a load.
type loadResult struct {
	offered    int
	accepted   int
	delivered  int64
	took       time.Duration
	process    time.Duration   // processor time of the whole process, the load included
	module     time.Duration   // of them, the module's
	steps      []time.Duration // processor time of each
	verdicts   []time.Duration // from hand-in to its answer
	unanswered int
}

// load hands messages in at a rate for a while, for destinations that are up, and waits for the last answers.
func (run *relayRun) load(ctx context.Context, rate float64, span time.Duration) (loadResult, error) {
	body := make([]byte, bodyBytes)
	random := rand.New(rand.NewPCG(uint64(run.next.Load()), 1))
	run.meter.take()
	delivered, cpu, begun := run.flows.delivered.Load(), processTime(), time.Now()
	var result loadResult
	var waiting sync.WaitGroup
	var mu sync.Mutex
	for time.Since(begun) < span {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return result, err
		}
		now := time.Now()
		for due := int(rate * now.Sub(begun).Seconds()); result.offered < due; result.offered++ {
			destination := min(run.down+random.IntN(max(run.destinations-run.down, 1)), run.destinations-1)
			answer := run.relay.Submit(transaction(int(run.next.Add(1)), destination, now.Add(messageDeadline), body), now)
			waiting.Go(func() {
				select {
				case a := <-answer:
					mu.Lock()
					defer mu.Unlock()
					if a.Verdict == traffic.Accepted {
						result.accepted++
					}
					result.verdicts = append(result.verdicts, time.Since(now))
				case <-time.After(2 * time.Second):
					mu.Lock()
					defer mu.Unlock()
					result.unanswered++
				case <-ctx.Done():
				}
			})
		}
	}
	result.took, result.process = time.Since(begun), processTime()-cpu
	waiting.Wait()
	result.delivered = run.flows.delivered.Load() - delivered
	result.steps, result.module = run.meter.take()
	return result, ctx.Err()
}

// saturate keeps a number of messages under way and returns what the relay did meanwhile.
func (run *relayRun) saturate(ctx context.Context, underway int, span time.Duration) (loadResult, error) {
	body := make([]byte, bodyBytes)
	run.meter.take()
	delivered, cpu, begun := run.flows.delivered.Load(), processTime(), time.Now()
	var result loadResult
	batch := make([]<-chan traffic.Answer, underway)
	for time.Since(begun) < span {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		now := time.Now()
		for i := range batch {
			n := int(run.next.Add(1))
			batch[i] = run.relay.Submit(transaction(n, run.down+n%max(run.destinations-run.down, 1), now.Add(messageDeadline), body), now)
		}
		for _, answer := range batch {
			if a := <-answer; a.Verdict == traffic.Accepted {
				result.accepted++
			}
		}
		result.offered += underway
	}
	result.took, result.process = time.Since(begun), processTime()-cpu
	result.delivered = run.flows.delivered.Load() - delivered
	result.steps, result.module = run.meter.take()
	return result, nil
}

// newFlows makes the program's own flows, which keep figures of each member; they open no connection until a flow starts.
func newFlows() (*flow.Manager, error) {
	file := gateway.Default()
	keep := file.Conns.Keep
	keep.MaxConns, keep.MaxIdle, keep.Seed = 256, 5*time.Second, 1
	return flow.New(flow.Config{HandshakeGate: file.TLS.Gate, ConnectTimeout: time.Second, MaxCalls: 256, Conns: keep, MaxConnWait: file.Conns.HeldMost,
		UnackedTimeout: file.Conns.StuckAfter}, func(traffic.FlowEnd) {})
}
