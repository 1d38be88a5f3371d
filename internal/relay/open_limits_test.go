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
func TestLimitsOpenTransactions(t *testing.T) {
	r, w, now := startRelay(t)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if a := submit(t, r, now, transaction(id, "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	activeFlows := len(w.flows)
	if l := r.Load(); l.Open != 5 || l.Waiting != 5-activeFlows || l.Ended != 0 || activeFlows == 0 || activeFlows == 5 {
		t.Fatalf("%+v with %d flows", l, activeFlows)
	}
	w.takeCalls()
	now = now.Add(10 * time.Millisecond)
	r.Squeeze(1, 0, 1)
	r.step(now, takeBatch(r))
	if got := strings.Count(w.takeCalls(), "notice 2"); got != 5-activeFlows {
		t.Errorf("%d handed back, want %d", got, 5-activeFlows)
	}
	if l := r.Load(); l.Open != activeFlows || l.Waiting != 0 || l.Ended != int64(5-activeFlows) {
		t.Errorf("%+v", l)
	}
	if a := submit(t, r, now, transaction("f", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Busy {
		t.Errorf("over the cap: %+v", a)
	}
	w.takeCalls()
	for _, f := range w.flows[:activeFlows] {
		r.step(now.Add(time.Millisecond), []any{traffic.FlowEnd{ID: f.ID, Member: f.Member, Status: traffic.Delivered}})
	}
	if got := w.takeCalls(); strings.Contains(got, "notice") || len(r.open) != 0 || r.activeFlows != 0 {
		t.Errorf("the flows that were out: %s, %d open, %d out", got, len(r.open), r.activeFlows)
	}
	r.Squeeze(1000, 0, 1)
	r.step(now.Add(2*time.Millisecond), takeBatch(r))
	if a := submit(t, r, now.Add(3*time.Millisecond), transaction("g", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted {
		t.Errorf("after it: %+v", a)
	}
}

// Fewer bytes may be open while memory is short, and only then.
func TestByteScale(t *testing.T) {
	r, _, now := startRelay(t)
	big := transaction("a", "slot", now.Add(5*time.Second))
	big.Body = make([]byte, 300<<10) // of 1 MB that may be open
	r.Squeeze(6, 1, 0.25)
	r.step(now, takeBatch(r))
	if a := submit(t, r, now, big); a.Verdict != traffic.Busy {
		t.Errorf("%+v", a)
	}
	r.Squeeze(6, 0, 1)
	r.step(now, takeBatch(r))
	if a := submit(t, r, now, big); a.Verdict != traffic.Accepted || r.Load().Bytes < 0.25 {
		t.Errorf("%+v, %+v", a, r.Load())
	}
}

// What a failed write dropped is neither open nor out.
func TestLoadAfterFailedCommit(t *testing.T) {
	r, w, now := startRelay(t)
	w.commitErr = errors.New("disk")
	if a := submit(t, r, now, transaction("a", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Busy {
		t.Fatalf("%+v", a)
	}
	w.commitErr = nil
	r.step(now.Add(10*time.Millisecond), takeBatch(r))
	if l := r.Load(); l.Open != 0 || l.Waiting != 0 || r.activeFlows != 0 {
		t.Errorf("%+v, %d out", l, r.activeFlows)
	}
}

// fakeMeters note what they are told.
type fakeMeters struct {
	ages     []time.Duration
	sections int
}

func (m *fakeMeters) Stepped(_, _ time.Time)     {}
func (m *fakeMeters) HandedIn(age time.Duration) { m.ages = append(m.ages, age) }
func (m *fakeMeters) Section(f func())           { m.sections++; f() }

// The module runs inside the meters, once a step, and each hand-in's wait is told.
func TestMetersRecordSteps(t *testing.T) {
	r, _, now := startRelay(t)
	m := &fakeMeters{}
	r.cfg.Meters = m
	r.Put(transaction("a", "slot", now.Add(5*time.Second)), now.Add(-7*time.Millisecond))
	r.step(now, takeBatch(r))
	if m.sections != 1 || len(m.ages) != 1 || m.ages[0] != 7*time.Millisecond {
		t.Errorf("%+v", m)
	}
}

// The step after one is due when something asks for it, but not before the module may step again.
func TestStepDueTime(t *testing.T) {
	r, _, _ := startRelay(t)
	r.earliestStep = time.Now().Add(time.Hour)
	r.Limit(1 << 20)
	if _, due := r.takeInbox(); !due.Equal(r.earliestStep) {
		t.Errorf("due at %v, before it may run", due)
	}
	r.earliestStep = time.Time{}
	before := time.Now()
	r.Limit(1 << 20)
	r.Limit(1 << 20)
	if _, due := r.takeInbox(); due.Before(before) || due.After(time.Now()) {
		t.Errorf("due at %v", due)
	}
	if _, due := r.takeInbox(); !due.IsZero() {
		t.Error("due with nothing to take")
	}
	if r.Stretch(20 * time.Millisecond); r.stepInterval() != 20*time.Millisecond {
		t.Errorf("steps %v apart", r.stepInterval())
	}
	if r.Stretch(0); r.stepInterval() != r.cfg.Settings.Resolution {
		t.Errorf("steps %v apart", r.stepInterval())
	}
}
