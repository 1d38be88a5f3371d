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

// answerDelay is how long a destination takes to answer a call.
const answerDelay = 20 * time.Millisecond

// stepMeter measures the processor time of the relay's steps. The relay calls Stepped on its own thread at the beginning of each step, so
// the time of a step is known only when the next step begins.
type stepMeter struct {
	mu         sync.Mutex
	started    bool
	stepStart  time.Duration
	stepTimes  []time.Duration
	moduleTime time.Duration // total of the module's steps
}

// RecordStep ends the measurement of the previous step and begins that of the next one.
func (m *stepMeter) RecordStep(_, _ time.Time) {
	now := threadCPUTime()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started {
		m.stepTimes = append(m.stepTimes, now-m.stepStart)
	}
	m.started, m.stepStart = true, now
}

// RecordSubmission ignores the age of a submission.
func (m *stepMeter) RecordSubmission(time.Duration) {}

// RunSection runs a step of the module and adds its processor time to moduleTime.
func (m *stepMeter) RunSection(f func()) {
	start := threadCPUTime()
	f()
	elapsed := threadCPUTime() - start
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moduleTime += elapsed
}

// take returns the steps that have ended since the last call of take, and the module's processor time in that period.
func (m *stepMeter) take() (stepTimes []time.Duration, moduleTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stepTimes, moduleTime = m.stepTimes, m.moduleTime
	m.stepTimes, m.moduleTime = nil, 0
	return stepTimes, moduleTime
}

// fakeFlows replaces the network. Members that are down refuse connections; all others answer after a delay.
type fakeFlows struct {
	downMembers map[string]bool
	delayNanos  atomic.Int64 // 0: answer at once
	onEnd       func(traffic.FlowEnd)
	delivered   atomic.Int64
}

// Start ends each attempt of a flow: with NotConnected if the member is down, otherwise with Delivered.
func (f *fakeFlows) Start(started traffic.Flow) {
	delay := time.Duration(f.delayNanos.Load())
	for _, transaction := range started.All() {
		end := traffic.FlowEnd{ID: transaction.ID, Attempt: transaction.Attempt, Member: started.Member, Status: traffic.Delivered, Latency: delay}
		switch {
		case f.downMembers[started.Member]:
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

// answerImmediately sets the delay of later answers to zero.
func (f *fakeFlows) answerImmediately() { f.delayNanos.Store(0) }

// Cancel has no effect, because the answer is already scheduled.
func (f *fakeFlows) Cancel(string, int) {}

// UpdatePool ignores the pool, because no connection is opened.
func (f *fakeFlows) UpdatePool(traffic.PoolUpdate) {}

// Send discards a notice.
func (f *fakeFlows) Send(traffic.Notice) {}

// relayRun is a relay that runs in this process with fakeFlows instead of sockets.
type relayRun struct {
	relay        *relay.Relay
	meter        *stepMeter
	flows        *fakeFlows
	destinations int
	downCount    int
	firstStepCPU time.Duration // processor time of the first step
	lastMessage  atomic.Int64  // number of the newest message
	cancel       context.CancelFunc
	stopped      chan struct{}
}

// relayInputs is the state that a relay starts with, and how destinations answer.
type relayInputs struct {
	poolUpdate      traffic.PoolUpdate
	backlogMessages int
	openMessages    []traffic.Open
	store           relay.Store
	answerDelay     time.Duration // how long a destination takes to answer
	seed            int64
	allUp           bool // no destination is down
}

// startRelay creates a relay, runs its first step, and then runs the relay on a thread of its own.
func startRelay(in relayInputs) (*relayRun, error) {
	run := &relayRun{meter: &stepMeter{}, destinations: len(in.poolUpdate.Members), stopped: make(chan struct{})}
	run.flows = &fakeFlows{downMembers: map[string]bool{}}
	run.flows.delayNanos.Store(int64(in.answerDelay))
	if !in.allUp {
		run.downCount = downDestinations(run.destinations)
	}
	for i := range run.downCount {
		run.flows.downMembers[memberName(i)] = true
	}
	measuredRelay, err := relay.New(relay.Config{Meters: run.meter, Settings: moduleSettings(run.destinations, in.backlogMessages),
		Seed: in.seed, MaxOpenBytes: 1 << 40,
		Store: in.store, Flows: run.flows, Notices: run.flows})
	if err != nil {
		return nil, err
	}
	run.relay, run.flows.onEnd = measuredRelay, measuredRelay.FlowEnded
	run.lastMessage.Store(int64(in.backlogMessages))
	run.firstStepCPU = measureThreadCPU(func() { measuredRelay.Start(in.poolUpdate, nil, in.openMessages, nil) })
	ctx, cancel := context.WithCancel(context.Background())
	run.cancel = cancel
	go func() {
		runtime.LockOSThread() // the meter reads the processor time of this thread
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

// measureStep returns the processor time of the step that processes what submit passes to the relay. The relay must be idle otherwise.
func (run *relayRun) measureStep(ctx context.Context, submit func()) (time.Duration, error) {
	if err := run.flushSteps(ctx); err != nil { // ends the measurement of the first step
		return 0, err
	}
	run.meter.take()
	submit()
	if err := run.flushSteps(ctx); err != nil {
		return 0, err
	}
	steps, _ := run.meter.take()
	return quantile(steps, 1), nil
}

// flushSteps makes the relay take two more steps, which ends the measurement of all steps that began before.
func (run *relayRun) flushSteps(ctx context.Context) error {
	for range 2 {
		stepsBefore := run.relay.Counters().Steps
		run.relay.NoticesAnswered(nil)
		for run.relay.Counters().Steps == stepsBefore {
			if err := sleep(ctx, time.Millisecond); err != nil {
				return err
			}
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil { // the module's minimum time between steps is 5 ms
			return err
		}
	}
	return nil
}

// sleep waits for a duration, or until ctx ends. It returns the error of ctx.
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

// loadResult is the outcome of a load on a relay.
type loadResult struct {
	offered     int
	accepted    int
	delivered   int64
	elapsed     time.Duration
	processCPU  time.Duration   // processor time of the whole process, including the load generator
	moduleCPU   time.Duration   // the module's part of processCPU
	stepTimes   []time.Duration // processor time of each step
	answerTimes []time.Duration // from submission to its answer
	unanswered  int
}

// applyLoad submits messages at a rate for a span, to destinations that are up. It then waits for the remaining answers.
func (run *relayRun) applyLoad(ctx context.Context, rate float64, span time.Duration) (loadResult, error) {
	body := make([]byte, bodyBytes)
	random := rand.New(rand.NewPCG(uint64(run.lastMessage.Load()), 1))
	run.meter.take()
	deliveredBefore, cpuBefore, start := run.flows.delivered.Load(), processCPUTime(), time.Now()
	var result loadResult
	var pendingAnswers sync.WaitGroup
	var mu sync.Mutex
	for time.Since(start) < span {
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return result, err
		}
		now := time.Now()
		for due := int(rate * now.Sub(start).Seconds()); result.offered < due; result.offered++ {
			destination := min(run.downCount+random.IntN(max(run.destinations-run.downCount, 1)), run.destinations-1)
			answer := run.relay.Submit(newTransaction(int(run.lastMessage.Add(1)), destination, now.Add(messageDeadline), body), now, now)
			pendingAnswers.Go(func() {
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
	pendingAnswers.Wait()
	result.delivered = run.flows.delivered.Load() - deliveredBefore
	result.stepTimes, result.moduleCPU = run.meter.take()
	return result, ctx.Err()
}

// saturate submits batches of inFlight messages for a span. It submits the next batch as soon as the relay has answered all submissions of
// the previous one.
func (run *relayRun) saturate(ctx context.Context, inFlight int, span time.Duration) (loadResult, error) {
	body := make([]byte, bodyBytes)
	run.meter.take()
	deliveredBefore, cpuBefore, start := run.flows.delivered.Load(), processCPUTime(), time.Now()
	var result loadResult
	batch := make([]<-chan traffic.Answer, inFlight)
	for time.Since(start) < span {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		now := time.Now()
		for i := range batch {
			number := int(run.lastMessage.Add(1))
			batch[i] = run.relay.Submit(newTransaction(number, run.downCount+number%max(run.destinations-run.downCount, 1),
				now.Add(messageDeadline), body), now, now)
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
	result.stepTimes, result.moduleCPU = run.meter.take()
	return result, nil
}

// newFlowManager returns the program's own flow manager, which keeps counters for each member. It opens no connection until a flow starts.
func newFlowManager() (*flow.Manager, error) {
	defaults := gateway.Default()
	connSettings := defaults.Conns.Config
	connSettings.MaxConns, connSettings.MaxIdle, connSettings.Seed = 256, 5*time.Second, 1
	return flow.New(flow.Config{HandshakeGate: defaults.TLS.Handshakes, ConnectTimeout: time.Second, MaxCalls: 256, Conns: connSettings,
		MaxConnWait:    defaults.Conns.MaxConnWait,
		UnackedTimeout: defaults.Conns.UnackedTimeout}, func(traffic.FlowEnd) {})
}
