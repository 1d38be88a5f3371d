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

// answerDelay is the time that a destination takes to answer.
const answerDelay = 20 * time.Millisecond

// stepMeter notes the processor time of each of the relay's steps. Stepped is called at the beginning of each, on the relay's thread,
// so that a step's time is known when the next begins.
type stepMeter struct {
	mu         sync.Mutex
	started    bool
	stepStart  time.Duration
	stepTimes  []time.Duration
	moduleTime time.Duration // all steps of the module
}

// Stepped is called at the beginning of a step.
func (m *stepMeter) Stepped(_, _ time.Time) {
	now := threadCPUTime()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started {
		m.stepTimes = append(m.stepTimes, now-m.stepStart)
	}
	m.started, m.stepStart = true, now
}

// HandedIn is told of each message.
func (m *stepMeter) HandedIn(time.Duration) {}

// Section runs a step of the module.
func (m *stepMeter) Section(f func()) {
	start := threadCPUTime()
	f()
	elapsed := threadCPUTime() - start
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moduleTime += elapsed
}

// take returns the steps that have ended since it was last called, and the module's time in them.
func (m *stepMeter) take() (stepTimes []time.Duration, moduleTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stepTimes, moduleTime = m.stepTimes, m.moduleTime
	m.stepTimes, m.moduleTime = nil, 0
	return stepTimes, moduleTime
}

// fakeFlows stand for the network: members that are down accept no connection, all others answer after a time.
type fakeFlows struct {
	down       map[string]bool
	delayNanos atomic.Int64 // nanoseconds; 0: at once
	onEnd      func(traffic.FlowEnd)
	delivered  atomic.Int64
}

// Start answers a flow.
func (f *fakeFlows) Start(started traffic.Flow) {
	delay := time.Duration(f.delayNanos.Load())
	for _, transaction := range started.All() {
		end := traffic.FlowEnd{ID: transaction.ID, Attempt: transaction.Attempt, Member: started.Member, Status: traffic.Delivered, Took: delay}
		switch {
		case f.down[started.Member]:
			end.Status = traffic.NotConnected
			f.onEnd(end)
		case delay == 0:
			f.delivered.Add(1)
			f.onEnd(end)
		default:
			f.delivered.Add(1)
			time.AfterFunc(delay, func() { f.onEnd(end) })
		}
	}
}

// answerImmediately has answers take no time from now on.
func (f *fakeFlows) answerImmediately() { f.delayNanos.Store(0) }

// Cancel has no effect: an answer is under way.
func (f *fakeFlows) Cancel(string, int) {}

// Pool needs no members.
func (f *fakeFlows) Pool(traffic.PoolNews) {}

// Send takes a notice that nobody reads.
func (f *fakeFlows) Send(traffic.Notice) {}

// relayRun is a relay that runs in this process, with flows that answer without a socket.
type relayRun struct {
	relay        *relay.Relay
	steps        *stepMeter
	flows        *fakeFlows
	destinations int
	down         int
	firstStepCPU time.Duration // processor time of the first step
	lastMessage  atomic.Int64  // number of the newest message
	cancel       context.CancelFunc
	stopped      chan struct{}
}

// relayInputs is what a relay starts with.
type relayInputs struct {
	poolUpdate      traffic.PoolNews
	backlogMessages int
	openMessages    []traffic.Open
	store           relay.Store
	answerDelay     time.Duration // that answers take
	seed            int64
	allUp           bool // all destinations answer
}

// startRelay takes the first step and begins to run.
func startRelay(in relayInputs) (*relayRun, error) {
	run := &relayRun{steps: &stepMeter{}, destinations: len(in.poolUpdate.Members), stopped: make(chan struct{})}
	run.flows = &fakeFlows{down: map[string]bool{}}
	run.flows.delayNanos.Store(int64(in.answerDelay))
	if !in.allUp {
		run.down = downDestinations(run.destinations)
	}
	for i := range run.down {
		run.flows.down[memberName(i)] = true
	}
	measuredRelay, err := relay.New(relay.Config{Meters: run.steps, Settings: moduleSettings(run.destinations, in.backlogMessages), Seed: in.seed, MostBytes: 1 << 40,
		Store: in.store, Flows: run.flows, Notices: run.flows})
	if err != nil {
		return nil, err
	}
	run.relay, run.flows.onEnd = measuredRelay, measuredRelay.FlowEnded
	run.lastMessage.Store(int64(in.backlogMessages))
	run.firstStepCPU = measureThreadCPU(func() { measuredRelay.Start(in.poolUpdate, nil, in.openMessages, nil) })
	ctx, stop := context.WithCancel(context.Background())
	run.cancel = stop
	go func() {
		runtime.LockOSThread() // the meter reads this thread's processor time
		defer runtime.UnlockOSThread()
		defer close(run.stopped)
		measuredRelay.Run(ctx)
	}()
	return run, nil
}

func (run *relayRun) close() {
	run.cancel()
	<-run.stopped
}

// measureStep returns the processor time of the step that takes in what post hands the relay. Nothing else may be going on.
func (run *relayRun) measureStep(ctx context.Context, submit func()) (time.Duration, error) {
	if err := run.flushSteps(ctx); err != nil { // ends the first one
		return 0, err
	}
	run.steps.take()
	submit()
	if err := run.flushSteps(ctx); err != nil {
		return 0, err
	}
	steps, _ := run.steps.take()
	return quantile(steps, 1), nil
}

// flushSteps has the relay take two more steps, and so ends the measuring of all that began before.
func (run *relayRun) flushSteps(ctx context.Context) error {
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
	offered     int
	accepted    int
	delivered   int64
	elapsed     time.Duration
	processCPU  time.Duration   // processor time of the whole process, the load included
	moduleCPU   time.Duration   // of them, the module's
	stepTimes   []time.Duration // processor time of each
	answerTimes []time.Duration // from hand-in to its answer
	unanswered  int
}

// applyLoad hands messages in at a rate for a while, for destinations that are up, and waits for the last answers.
func (run *relayRun) applyLoad(ctx context.Context, rate float64, span time.Duration) (loadResult, error) {
	body := make([]byte, bodyBytes)
	random := rand.New(rand.NewPCG(uint64(run.lastMessage.Load()), 1))
	run.steps.take()
	deliveredBefore, cpuBefore, start := run.flows.delivered.Load(), processCPUTime(), time.Now()
	var result loadResult
	var waiting sync.WaitGroup
	var mu sync.Mutex
	for time.Since(start) < span {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return result, err
		}
		now := time.Now()
		for due := int(rate * now.Sub(start).Seconds()); result.offered < due; result.offered++ {
			destination := min(run.down+random.IntN(max(run.destinations-run.down, 1)), run.destinations-1)
			answer := run.relay.Put(newTransaction(int(run.lastMessage.Add(1)), destination, now.Add(messageDeadline), body), now)
			waiting.Go(func() {
				select {
				case a := <-answer:
					mu.Lock()
					defer mu.Unlock()
					if a.Verdict == traffic.Accepted {
						result.accepted++
					}
					result.answerTimes = append(result.answerTimes, time.Since(now))
				case <-time.After(2 * time.Second):
					mu.Lock()
					defer mu.Unlock()
					result.unanswered++
				case <-ctx.Done():
				}
			})
		}
	}
	result.elapsed, result.processCPU = time.Since(start), processCPUTime()-cpuBefore
	waiting.Wait()
	result.delivered = run.flows.delivered.Load() - deliveredBefore
	result.stepTimes, result.moduleCPU = run.steps.take()
	return result, ctx.Err()
}

// saturate keeps a number of messages under way and returns what the relay did meanwhile.
func (run *relayRun) saturate(ctx context.Context, inFlight int, span time.Duration) (loadResult, error) {
	body := make([]byte, bodyBytes)
	run.steps.take()
	deliveredBefore, cpuBefore, start := run.flows.delivered.Load(), processCPUTime(), time.Now()
	var result loadResult
	batch := make([]<-chan traffic.Answer, inFlight)
	for time.Since(start) < span {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		now := time.Now()
		for i := range batch {
			n := int(run.lastMessage.Add(1))
			batch[i] = run.relay.Put(newTransaction(n, run.down+n%max(run.destinations-run.down, 1), now.Add(messageDeadline), body), now)
		}
		for _, answer := range batch {
			if a := <-answer; a.Verdict == traffic.Accepted {
				result.accepted++
			}
		}
		result.offered += inFlight
	}
	result.elapsed, result.processCPU = time.Since(start), processCPUTime()-cpuBefore
	result.delivered = run.flows.delivered.Load() - deliveredBefore
	result.stepTimes, result.moduleCPU = run.steps.take()
	return result, nil
}

// newFlowManager makes the program's own flows, which keep figures of each member; they open no connection until a flow starts.
func newFlowManager() (*flow.Manager, error) {
	defaults := gateway.Default()
	connSettings := defaults.Conns.Keep
	connSettings.Most, connSettings.IdleMost, connSettings.Seed = 256, 5*time.Second, 1
	return flow.New(flow.Config{Gate: defaults.TLS.Gate, ConnectWithin: time.Second, MostFlows: 256, Conns: connSettings, HeldMost: defaults.Conns.HeldMost,
		StuckAfter: defaults.Conns.StuckAfter}, func(traffic.FlowEnd) {})
}
