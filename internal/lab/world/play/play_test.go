package play

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"wrenford"
	"wrenford/internal/lab/world"
	"wrenford/internal/lab/world/model"
)

func day(seed uint64) Day {
	set := wrenford.Settings{
		Classes:    []wrenford.Class{{Name: "slot", Aim: time.Second, Deadline: 5 * time.Second, Worth: 3}},
		Kinds:      []wrenford.Kind{{Name: "partner"}},
		Resolution: 5 * time.Millisecond, MaxCalls: 40, MaxOpen: 400, MaxAttempts: 8, ConnectTimeout: time.Second,
		KeepAlive: 5 * time.Second, RetryAfter: true, MaxRetryAfter: 3 * time.Second,
		Safety: wrenford.Safety{StartCapacity: 0.23, Cold: 13 * time.Second, FallMultiple: 1.5, TipAfter: 1500 * time.Millisecond},
	}
	d := Day{Seed: seed, Relays: 3, Settings: set, Length: 30 * time.Second, Class: "slot", TimeLeft: 5 * time.Second}
	for i := range 20 {
		dest := Destination{Servers: 4, Work: 200 * time.Millisecond, Rate: 3,
			Limit: model.Bucket{Rate: 4, Burst: 4, Tells: true}}
		if i%5 == 0 { // an outage with a cold return
			dest.Health = model.Health{StartShare: 0.25, Cold: 5 * time.Second,
				Spells: []model.Spell{{From: world.Time(10 * time.Second), To: world.Time(15 * time.Second), State: model.Down}}}
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
	const slack = world.Time(20 * time.Millisecond)
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

// hasty is a planted defect: a call that was told to wait goes again at the next step, wait or not.
type hasty struct {
	s     *wrenford.Sender
	again []wrenford.Send
}

func (h *hasty) Step(now time.Duration, events []wrenford.Event) []wrenford.Action {
	acts := h.s.Step(now, events)
	for _, a := range h.again {
		acts = append(acts, a)
	}
	h.again = nil
	for _, ev := range events {
		if o, ok := ev.(wrenford.Outcome); ok && o.Status == wrenford.Full && o.Wait > 0 {
			h.again = append(h.again, wrenford.Send{ID: o.ID, Endpoint: o.Endpoint})
		}
	}
	return acts
}

// The real module keeps the waits it is told; a module that forgets them is caught.
func TestWaitsAreKept(t *testing.T) {
	count := func(d Day) (inWait int) {
		r, err := Play(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Messages {
			if m.SentInWait {
				inWait++
			}
		}
		return inWait
	}
	tight := day(3)
	for i := range tight.Destinations {
		tight.Destinations[i].Rate = 8 // twice the limit: waits are told all day
	}
	if n := count(tight); n != 0 {
		t.Fatalf("the module sent %d messages into told waits", n)
	}
	tight.Mutate = func(s *wrenford.Sender) Decider { return &hasty{s: s} }
	if n := count(tight); n == 0 {
		t.Fatal("a module that goes again into a told wait was not caught")
	}
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

// relentless is a planted defect: whatever did not go through goes again at the next step, without end.
type relentless struct {
	s     *wrenford.Sender
	again []wrenford.Send
	sent  map[string]int
}

func (r *relentless) Step(now time.Duration, events []wrenford.Event) []wrenford.Action {
	acts := r.s.Step(now, events)
	for _, a := range r.again {
		acts = append(acts, a)
	}
	r.again = nil
	for _, ev := range events {
		if o, ok := ev.(wrenford.Outcome); ok && o.Status != wrenford.OK && r.sent[o.ID] < 50 {
			r.sent[o.ID]++
			r.again = append(r.again, wrenford.Send{ID: o.ID, Endpoint: o.Endpoint})
		}
	}
	return acts
}

// The module keeps to its most attempts a message; one that retries without bound is caught.
func TestAttemptsAreBounded(t *testing.T) {
	over := func(d Day) (n int) {
		r, err := Play(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Messages {
			if m.Sends > d.Settings.MaxAttempts {
				n++
			}
		}
		return n
	}
	tight := day(4)
	for i := range tight.Destinations {
		tight.Destinations[i].Rate = 8
	}
	if n := over(tight); n != 0 {
		t.Fatalf("%d messages had more than the most attempts", n)
	}
	tight.Mutate = func(s *wrenford.Sender) Decider { return &relentless{s: s, sent: map[string]int{}} }
	if n := over(tight); n == 0 {
		t.Fatal("a module that retries without bound was not caught")
	}
}

// deaf is a planted defect: the module never hears that an endpoint drains.
type deaf struct{ s *wrenford.Sender }

func (d deaf) Step(now time.Duration, events []wrenford.Event) []wrenford.Action {
	kept := events[:0:0]
	for _, ev := range events {
		if m, ok := ev.(wrenford.Members); ok && !m.Whole {
			continue
		}
		kept = append(kept, ev)
	}
	return d.s.Step(now, kept)
}

// Nothing new goes to a draining endpoint after the grace; a module that does not hear of drains is caught.
func TestDrainsAreKept(t *testing.T) {
	sentDrained := func(d Day) (n int) {
		r, err := Play(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Messages {
			if m.SentDrained {
				n++
			}
		}
		return n
	}
	d := day(7)
	for i := range 5 {
		d.Drains = append(d.Drains, Drain{Destination: i, At: world.Time(8 * time.Second)})
	}
	if n := sentDrained(d); n != 0 {
		t.Fatalf("%d messages went to draining endpoints after the grace", n)
	}
	d.Mutate = func(s *wrenford.Sender) Decider { return deaf{s} }
	if n := sentDrained(d); n == 0 {
		t.Fatal("a module that forgets drains was not caught")
	}
}

// doubling is a planted defect: a payment whose call got no answer is sent once more.
type doubling struct {
	s     *wrenford.Sender
	again []wrenford.Send
}

func (d *doubling) Step(now time.Duration, events []wrenford.Event) []wrenford.Action {
	acts := d.s.Step(now, events)
	for _, a := range d.again {
		acts = append(acts, a)
	}
	d.again = nil
	for _, ev := range events {
		if o, ok := ev.(wrenford.Outcome); ok && o.Status == wrenford.TimedOut {
			d.again = append(d.again, wrenford.Send{ID: o.ID, Endpoint: o.Endpoint})
		}
	}
	return acts
}

// A payment that may have run is never sent again; a module that sends it again is caught.
func TestPaymentsRunOnce(t *testing.T) {
	doubled := func(d Day) (n int) {
		r, err := Play(d)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Messages {
			if m.SentAfterRun {
				n++
			}
		}
		return n
	}
	d := day(8)
	d.Settings.Classes = []wrenford.Class{{Name: "pay", Effect: wrenford.Unsafe, Aim: 4 * time.Second, Deadline: 28 * time.Second, Worth: 1}}
	d.Class, d.TimeLeft = "pay", 28*time.Second
	for i := range 5 { // silent machines: calls that reach them may have run
		d.Destinations[i].Health = model.Health{StartShare: 0.25, Cold: 5 * time.Second,
			Spells: []model.Spell{{From: world.Time(8 * time.Second), To: world.Time(16 * time.Second), State: model.Silent}}}
	}
	if n := doubled(d); n != 0 {
		t.Fatalf("%d payments were sent again after they may have run", n)
	}
	d.Mutate = func(s *wrenford.Sender) Decider { return &doubling{s: s} }
	if n := doubled(d); n == 0 {
		t.Fatal("a module that doubles payments was not caught")
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
