package relay

import (
	"errors"
	"strings"
	"testing"
	"time"

	"slatemux/internal/traffic"
)

// A squeeze sends held work back at once, by notices, and bounds what comes in; a transaction whose flow is out
// keeps it, and its one end. What the relay says of itself keeps step.
func TestSqueeze(t *testing.T) {
	r, w, now := start(t)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if a := hand(t, r, now, transaction(id, "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	out := len(w.flows)
	if l := r.Load(); l.Open != 5 || l.Waiting != 5-out || l.Ended != 0 || out == 0 || out == 5 {
		t.Fatalf("%+v with %d flows", l, out)
	}
	w.took()
	now = now.Add(10 * time.Millisecond)
	r.Squeeze(1, 0, 1)
	r.step(now, taken(r))
	if got := strings.Count(w.took(), "notice 2"); got != 5-out {
		t.Errorf("%d handed back, want %d", got, 5-out)
	}
	if l := r.Load(); l.Open != out || l.Waiting != 0 || l.Ended != int64(5-out) {
		t.Errorf("%+v", l)
	}
	if a := hand(t, r, now, transaction("f", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Busy {
		t.Errorf("over the cap: %+v", a)
	}
	w.took()
	for _, f := range w.flows[:out] {
		r.step(now.Add(time.Millisecond), []any{traffic.FlowEnd{ID: f.ID, Member: f.Member, Status: traffic.Delivered}})
	}
	if got := w.took(); strings.Contains(got, "notice") || len(r.open) != 0 || r.out != 0 {
		t.Errorf("the flows that were out: %s, %d open, %d out", got, len(r.open), r.out)
	}
	r.Squeeze(1000, 0, 1)
	r.step(now.Add(2*time.Millisecond), taken(r))
	if a := hand(t, r, now.Add(3*time.Millisecond), transaction("g", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted {
		t.Errorf("after it: %+v", a)
	}
}

// Fewer bytes may be open while memory is short, and only then.
func TestByteScale(t *testing.T) {
	r, _, now := start(t)
	big := transaction("a", "slot", now.Add(5*time.Second))
	big.Body = make([]byte, 300<<10) // of 1 MB that may be open
	r.Squeeze(6, 1, 0.25)
	r.step(now, taken(r))
	if a := hand(t, r, now, big); a.Verdict != traffic.Busy {
		t.Errorf("%+v", a)
	}
	r.Squeeze(6, 0, 1)
	r.step(now, taken(r))
	if a := hand(t, r, now, big); a.Verdict != traffic.Accepted || r.Load().Bytes < 0.25 {
		t.Errorf("%+v, %+v", a, r.Load())
	}
}

// What a failed write dropped is neither open nor out.
func TestLoadAfterAFailedWrite(t *testing.T) {
	r, w, now := start(t)
	w.fail = errors.New("disk")
	if a := hand(t, r, now, transaction("a", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Busy {
		t.Fatalf("%+v", a)
	}
	w.fail = nil
	r.step(now.Add(10*time.Millisecond), taken(r))
	if l := r.Load(); l.Open != 0 || l.Waiting != 0 || r.out != 0 {
		t.Errorf("%+v, %d out", l, r.out)
	}
}

// meters note what they are told.
type meters struct {
	ages     []time.Duration
	sections int
}

func (m *meters) Stepped(_, _ time.Time)     {}
func (m *meters) HandedIn(age time.Duration) { m.ages = append(m.ages, age) }
func (m *meters) Section(f func())           { m.sections++; f() }

// The module runs inside the meters, once a step, and each hand-in's wait is told.
func TestMetersSeeSteps(t *testing.T) {
	r, _, now := start(t)
	m := &meters{}
	r.cfg.Meters = m
	r.Put(transaction("a", "slot", now.Add(5*time.Second)), now.Add(-7*time.Millisecond))
	r.step(now, taken(r))
	if m.sections != 1 || len(m.ages) != 1 || m.ages[0] != 7*time.Millisecond {
		t.Errorf("%+v", m)
	}
}

// The step after one is due when something asks for it, but not before the module may step again.
func TestWhenAStepIsDue(t *testing.T) {
	r, _, _ := start(t)
	r.earliest = time.Now().Add(time.Hour)
	r.Limit(1 << 20)
	if _, due := r.take(); !due.Equal(r.earliest) {
		t.Errorf("due at %v, before it may run", due)
	}
	r.earliest = time.Time{}
	before := time.Now()
	r.Limit(1 << 20)
	r.Limit(1 << 20)
	if _, due := r.take(); due.Before(before) || due.After(time.Now()) {
		t.Errorf("due at %v", due)
	}
	if _, due := r.take(); !due.IsZero() {
		t.Error("due with nothing to take")
	}
	if r.Stretch(20 * time.Millisecond); r.spacing() != 20*time.Millisecond {
		t.Errorf("steps %v apart", r.spacing())
	}
	if r.Stretch(0); r.spacing() != r.cfg.Settings.Resolution {
		t.Errorf("steps %v apart", r.spacing())
	}
}
