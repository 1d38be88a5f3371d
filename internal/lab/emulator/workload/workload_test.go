package workload

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/lab/emulator/servermodel"
)

// testScenario returns a simulation of 3 relays and 20 destinations. A fifth of the destinations has an outage with a cold start.
func testScenario(seed uint64) Scenario {
	set := dispatch.Settings{
		Classes:    []dispatch.Class{{Name: "slot", Aim: time.Second, Deadline: 5 * time.Second, Worth: 3}},
		Kinds:      []dispatch.Kind{{Name: "partner"}},
		Resolution: 5 * time.Millisecond, MaxCalls: 40, MaxOpen: 400, MaxAttempts: 8, ConnectTimeout: time.Second,
		KeepAlive: 5 * time.Second, SendRetryAfter: true, MaxRetryAfter: 3 * time.Second,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.23, Ramp: 13 * time.Second, OverloadMultiple: 1.5, OverloadFor: 1500 * time.Millisecond},
	}
	d := Scenario{Seed: seed, Relays: 3, Settings: set, Length: 30 * time.Second, Class: "slot", TimeLeft: 5 * time.Second}
	for i := range 20 {
		dest := Destination{Servers: 4, Work: 200 * time.Millisecond, MessagesPerSecond: 3,
			Limit: servermodel.TokenBucket{Rate: 4, Burst: 4, ReportsWait: true}}
		if i%5 == 0 { // an outage with a cold start
			dest.Health = servermodel.Health{StartShare: 0.25, ColdStartDuration: 5 * time.Second,
				Faults: []servermodel.Fault{{From: emulator.Time(10 * time.Second), To: emulator.Time(15 * time.Second), State: servermodel.Down}}}
		}
		d.Destinations = append(d.Destinations, dest)
	}
	return d
}

// summary returns the main numbers of a result as text.
func summary(r Result) string {
	ids := slices.Sorted(maps.Keys(r.Messages))
	var delivered, sends int
	for _, id := range ids {
		m := r.Messages[id]
		sends += m.Sends
		if m.Delivered {
			delivered++
		}
	}
	return fmt.Sprintf("%d messages, %d delivered, %d sends, %d events", len(ids), delivered, sends, r.EventCount)
}

// Guards against messages without exactly one final answer before their deadline, and against calls after the final answer. The records
// come from the simulated clients and servers, not from the module.
func TestEveryMessageEndsOnce(t *testing.T) {
	r, err := Simulate(testScenario(3))
	if err != nil {
		t.Fatal(err)
	}
	const slack = emulator.Time(20 * time.Millisecond)
	delivered := 0
	for id, m := range r.Messages {
		if m.FinalAnswers != 1 || m.EndedAt > m.Due+slack || m.SentAfterEnd {
			t.Fatalf("message %s: %+v", id, m)
		}
		if m.Delivered {
			delivered++
		}
	}
	if len(r.Messages) < 1000 || delivered < len(r.Messages)/2 {
		t.Fatalf("%s: too few messages submitted or delivered", summary(r))
	}
	t.Log(summary(r))
}

// Checks that the same seed gives the same result, and another seed another result.
func TestSameSeedSameResult(t *testing.T) {
	a, err := Simulate(testScenario(5))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Simulate(testScenario(5))
	c, _ := Simulate(testScenario(6))
	if summary(a) != summary(b) {
		t.Fatalf("%s, then %s", summary(a), summary(b))
	}
	if summary(a) == summary(c) {
		t.Fatalf("another seed gave the same result: %s", summary(a))
	}
}

// resendingModule is the production module with a planted defect: after an outcome for which shouldResend is true, it sends the message
// again in the next step, whatever the module decides.
type resendingModule struct {
	module       *dispatch.Sender
	shouldResend func(dispatch.Outcome) bool
	queuedSends  []dispatch.Action
}

func (r *resendingModule) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	acts := append(r.module.Step(now, events), r.queuedSends...)
	r.queuedSends = nil
	for _, ev := range events {
		if o, ok := ev.(dispatch.Outcome); ok && r.shouldResend(o) {
			r.queuedSends = append(r.queuedSends, dispatch.Send{ID: o.ID, Endpoint: o.Endpoint})
		}
	}
	return acts
}

// withResends returns a Scenario.Mutate that plants the defect of resendingModule.
func withResends(when func(dispatch.Outcome) bool) func(*dispatch.Sender) Module {
	return func(s *dispatch.Sender) Module { return &resendingModule{module: s, shouldResend: when} }
}

// drainIgnoringModule is the production module with a planted defect: it is never notified that an endpoint drains.
type drainIgnoringModule struct{ module *dispatch.Sender }

func (d drainIgnoringModule) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	kept := events[:0:0]
	for _, ev := range events {
		if m, ok := ev.(dispatch.MembershipUpdate); !ok || m.Full {
			kept = append(kept, ev)
		}
	}
	return d.module.Step(now, kept)
}

// checkDefectIsDetected runs a simulation with the production module, for which mark must be true of no message, and with a planted
// defect, for which mark must be true of some message.
func checkDefectIsDetected(t *testing.T, d Scenario, mark func(*Record) bool, defect func(*dispatch.Sender) Module) {
	t.Helper()
	marked := func(d Scenario) (n int) {
		r, err := Simulate(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Messages {
			if mark(m) {
				n++
			}
		}
		return n
	}
	if n := marked(d); n != 0 {
		t.Fatalf("the production module broke the rule for %d messages", n)
	}
	if d.Mutate = defect; marked(d) == 0 {
		t.Fatal("the planted defect was not detected")
	}
}

// overloadedScenario returns testScenario with twice the limit offered to each destination, so that destinations ask for waits all the
// time.
func overloadedScenario(seed uint64) Scenario {
	d := testScenario(seed)
	for i := range d.Destinations {
		d.Destinations[i].MessagesPerSecond = 8
	}
	return d
}

// Guards against calls during a retry-after wait. The planted defect repeats a call in the wait that its refusal asked for.
func TestRetryAfterWaitsAreKept(t *testing.T) {
	checkDefectIsDetected(t, overloadedScenario(3), func(m *Record) bool { return m.SentInWait },
		withResends(func(o dispatch.Outcome) bool { return o.Status == dispatch.Refused && o.RetryAfter > 0 }))
}

// Guards against more calls for a message than MaxAttempts. The planted defect retries each failed call without end.
func TestAttemptsAreBounded(t *testing.T) {
	d := overloadedScenario(4)
	checkDefectIsDetected(t, d, func(m *Record) bool { return m.Sends > d.Settings.MaxAttempts },
		withResends(func(o dispatch.Outcome) bool { return o.Status != dispatch.OK }))
}

// Guards against calls to a draining endpoint after the grace. The planted defect ignores drains.
func TestDrainsAreRespected(t *testing.T) {
	d := testScenario(7)
	for i := range 5 {
		d.Drains = append(d.Drains, Drain{Destination: i, At: emulator.Time(8 * time.Second)})
	}
	checkDefectIsDetected(t, d, func(m *Record) bool { return m.SentAfterDrain }, func(s *dispatch.Sender) Module { return drainIgnoringModule{s} })
}

// Guards against a payment that runs twice: after a call that may have run, the payment must not be sent again. The planted defect
// repeats calls that got no answer.
func TestPaymentsRunOnce(t *testing.T) {
	d := testScenario(8)
	d.Settings.Classes = []dispatch.Class{{Name: "pay", Effect: dispatch.Unsafe, Aim: 4 * time.Second, Deadline: 28 * time.Second, Worth: 1}}
	d.Class, d.TimeLeft = "pay", 28*time.Second
	for i := range 5 { // machines that do not answer: the calls that reach them may have run
		d.Destinations[i].Health = servermodel.Health{StartShare: 0.25, ColdStartDuration: 5 * time.Second,
			Faults: []servermodel.Fault{{From: emulator.Time(8 * time.Second), To: emulator.Time(16 * time.Second), State: servermodel.Silent}}}
	}
	checkDefectIsDetected(t, d, func(m *Record) bool { return m.SentAfterRun },
		withResends(func(o dispatch.Outcome) bool { return o.Status == dispatch.TimedOut }))
}

// Guards against simulations that influence each other when they run in parallel: 1 and 4 workers must give the same records.
func TestResultsIndependentOfWorkers(t *testing.T) {
	var scenarios []Scenario
	for seed := range uint64(6) {
		scenarios = append(scenarios, testScenario(seed))
	}
	one, err := SimulateAll(scenarios, 1)
	if err != nil {
		t.Fatal(err)
	}
	four, err := SimulateAll(scenarios, 4)
	if err != nil {
		t.Fatal(err)
	}
	for i := range scenarios {
		if !reflect.DeepEqual(one[i], four[i]) {
			t.Fatalf("simulation %d: %s with 1 worker, %s with 4", i, summary(one[i]), summary(four[i]))
		}
	}
}

// BenchmarkScenario runs testScenario and reports the simulated events per second of real time.
func BenchmarkScenario(b *testing.B) {
	var events uint64
	for i := range b.N {
		r, err := Simulate(testScenario(uint64(i)))
		if err != nil {
			b.Fatal(err)
		}
		events += r.EventCount
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
