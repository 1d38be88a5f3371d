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

func day(seed uint64) Day {
	set := dispatch.Settings{
		Classes:    []dispatch.Class{{Name: "slot", Aim: time.Second, Deadline: 5 * time.Second, Worth: 3}},
		Kinds:      []dispatch.Kind{{Name: "partner"}},
		Resolution: 5 * time.Millisecond, MaxCalls: 40, MaxOpen: 400, MaxAttempts: 8, ConnectTimeout: time.Second,
		KeepAlive: 5 * time.Second, SendRetryAfter: true, MaxRetryAfter: 3 * time.Second,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.23, Ramp: 13 * time.Second, OverloadMultiple: 1.5, OverloadFor: 1500 * time.Millisecond},
	}
	d := Day{Seed: seed, Relays: 3, Settings: set, Length: 30 * time.Second, Class: "slot", TimeLeft: 5 * time.Second}
	for i := range 20 {
		dest := Destination{Servers: 4, Work: 200 * time.Millisecond, Rate: 3,
			Limit: servermodel.Bucket{Rate: 4, Burst: 4, Tells: true}}
		if i%5 == 0 { // an outage with a cold return
			dest.Health = servermodel.Health{StartShare: 0.25, Cold: 5 * time.Second,
				Spells: []servermodel.Spell{{From: emulator.Time(10 * time.Second), To: emulator.Time(15 * time.Second), State: servermodel.Down}}}
		}
		d.Destinations = append(d.Destinations, dest)
	}
	return d
}

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
	return fmt.Sprintf("%d messages, %d delivered, %d sends, %d events", len(ids), delivered, sends, r.Events)
}

// Every message handed in gets exactly one final answer before its time is up, and nothing is sent after it.
// The module decides; these records come from the clients' and servers' side.
func TestEveryMessageEndsOnce(t *testing.T) {
	r, err := Play(day(3))
	if err != nil {
		t.Fatal(err)
	}
	const slack = emulator.Time(20 * time.Millisecond)
	delivered := 0
	for id, m := range r.Messages {
		if m.Ends != 1 || m.EndedAt > m.Due+slack || m.SentAfterEnd {
			t.Fatalf("message %s: %+v", id, m)
		}
		if m.Delivered {
			delivered++
		}
	}
	if len(r.Messages) < 1000 || delivered < len(r.Messages)/2 {
		t.Fatalf("%s: too little was played or served", summary(r))
	}
	t.Log(summary(r))
}

// The same seed gives the same day.
func TestSameSeedSameDay(t *testing.T) {
	a, err := Play(day(5))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Play(day(5))
	c, _ := Play(day(6))
	if summary(a) != summary(b) {
		t.Fatalf("%s, then %s", summary(a), summary(b))
	}
	if summary(a) == summary(c) {
		t.Fatalf("another seed gave the same day: %s", summary(a))
	}
}

// resending is a planted defect around the real module: an outcome that pleases it sends that message again at
// the next step, whatever the module would do.
type resending struct {
	s     *dispatch.Sender
	when  func(dispatch.Outcome) bool
	again []dispatch.Action
}

func (r *resending) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	acts := append(r.s.Step(now, events), r.again...)
	r.again = nil
	for _, ev := range events {
		if o, ok := ev.(dispatch.Outcome); ok && r.when(o) {
			r.again = append(r.again, dispatch.Send{ID: o.ID, Endpoint: o.Endpoint})
		}
	}
	return acts
}

func resend(when func(dispatch.Outcome) bool) func(*dispatch.Sender) Decider {
	return func(s *dispatch.Sender) Decider { return &resending{s: s, when: when} }
}

// deaf is a planted defect: the module never hears that an endpoint drains.
type deaf struct{ s *dispatch.Sender }

func (d deaf) Step(now time.Duration, events []dispatch.Event) []dispatch.Action {
	kept := events[:0:0]
	for _, ev := range events {
		if m, ok := ev.(dispatch.MembershipUpdate); !ok || m.Full {
			kept = append(kept, ev)
		}
	}
	return d.s.Step(now, kept)
}

// caught plays a day with the real module, which must mark no message, and with a planted defect, which must.
func caught(t *testing.T, d Day, mark func(*Record) bool, defect func(*dispatch.Sender) Decider) {
	t.Helper()
	marked := func(d Day) (n int) {
		r, err := Play(d)
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
		t.Fatalf("the module itself broke the rule for %d messages", n)
	}
	if d.Mutate = defect; marked(d) == 0 {
		t.Fatal("the planted defect was not caught")
	}
}

// tight is the test day with every destination offered twice its limit: waits are told all day.
func tight(seed uint64) Day {
	d := day(seed)
	for i := range d.Destinations {
		d.Destinations[i].Rate = 8
	}
	return d
}

// Told waits are kept; a module that sends a call again into the wait it was told is caught.
func TestWaitsAreKept(t *testing.T) {
	caught(t, tight(3), func(m *Record) bool { return m.SentInWait },
		resend(func(o dispatch.Outcome) bool { return o.Status == dispatch.Refused && o.RetryAfter > 0 }))
}

// The most attempts a message are kept; a module that retries whatever failed, without end, is caught.
func TestAttemptsAreBounded(t *testing.T) {
	d := tight(4)
	caught(t, d, func(m *Record) bool { return m.Sends > d.Settings.MaxAttempts },
		resend(func(o dispatch.Outcome) bool { return o.Status != dispatch.OK }))
}

// Nothing new goes to a draining endpoint after the grace; a module that does not hear of drains is caught.
func TestDrainsAreKept(t *testing.T) {
	d := day(7)
	for i := range 5 {
		d.Drains = append(d.Drains, Drain{Destination: i, At: emulator.Time(8 * time.Second)})
	}
	caught(t, d, func(m *Record) bool { return m.SentDrained }, func(s *dispatch.Sender) Decider { return deaf{s} })
}

// A payment that may have run is never sent again; a module that resends what got no answer is caught.
func TestPaymentsRunOnce(t *testing.T) {
	d := day(8)
	d.Settings.Classes = []dispatch.Class{{Name: "pay", Effect: dispatch.Unsafe, Aim: 4 * time.Second, Deadline: 28 * time.Second, Worth: 1}}
	d.Class, d.TimeLeft = "pay", 28*time.Second
	for i := range 5 { // silent machines: calls that reach them may have run
		d.Destinations[i].Health = servermodel.Health{StartShare: 0.25, Cold: 5 * time.Second,
			Spells: []servermodel.Spell{{From: emulator.Time(8 * time.Second), To: emulator.Time(16 * time.Second), State: servermodel.Silent}}}
	}
	caught(t, d, func(m *Record) bool { return m.SentAfterRun },
		resend(func(o dispatch.Outcome) bool { return o.Status == dispatch.TimedOut }))
}

// Days played side by side give what each gives alone: the same records at 1 and 4 workers.
func TestWorkers(t *testing.T) {
	var days []Day
	for seed := range uint64(6) {
		days = append(days, day(seed))
	}
	one, err := Many(days, 1)
	if err != nil {
		t.Fatal(err)
	}
	four, err := Many(days, 4)
	if err != nil {
		t.Fatal(err)
	}
	for i := range days {
		if !reflect.DeepEqual(one[i], four[i]) {
			t.Fatalf("day %d: %s alone, %s beside others", i, summary(one[i]), summary(four[i]))
		}
	}
}

// BenchmarkDay plays the test day and reports the events it ran a second of the machine's time.
func BenchmarkDay(b *testing.B) {
	var events uint64
	for i := range b.N {
		r, err := Play(day(uint64(i)))
		if err != nil {
			b.Fatal(err)
		}
		events += r.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
