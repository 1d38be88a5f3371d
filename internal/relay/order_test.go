package relay

import (
	"strings"
	"testing"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// Transactions of one key, in a class that keeps order, go one after the other; one that ends by a notice is over when that has its
// answer, and not before. Others of the class do not wait, and what waits too long ends unsent.
func TestOrderByKey(t *testing.T) {
	w := &fakeIO{}
	set := testSettings()
	set.Classes[0].OrderedByKey, set.Classes[0].Effect = true, dispatch.Unsafe
	class := set.Classes[0].Name
	r, err := New(Config{Settings: set, MostBytes: 1 << 20, Store: w, Flows: w, Notices: w})
	if err != nil {
		t.Fatal(err)
	}
	r.Start(initialPool, nil, nil, nil)
	now := r.epoch.Add(10 * time.Millisecond)
	put := func(id, key string, lasts time.Duration) {
		tr := transaction(id, class, now.Add(lasts))
		tr.Order = key
		if a := submit(t, r, now, tr); a.Verdict != traffic.Accepted {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	put("a", "k1", 400*time.Millisecond)
	put("b", "k1", 20*time.Second)
	put("c", "k2", 20*time.Second)
	if len(w.flows) != 2 || w.flows[0].ID != "a" || w.flows[1].ID != "c" {
		t.Fatalf("started %+v", w.flows)
	}
	step := func(after time.Duration) {
		now = now.Add(after)
		r.step(now, takeBatch(r))
	}
	r.FlowEnded(traffic.FlowEnd{ID: "a", Member: w.flows[0].Member, Status: traffic.Broken}) // given up: the next of its key may go
	for range 3 {
		step(10 * time.Millisecond)
	}
	if r.noticePending["a"] != "k1" || len(w.flows) != 2 || len(r.blockedFlows["k1"]) != 1 {
		t.Fatalf("notices %v, started %d, waiting %v", r.noticePending, len(w.flows), r.blockedFlows)
	}
	r.NoticesAnswered([]string{"a"})
	step(10 * time.Millisecond)
	if len(w.flows) != 3 || w.lastFlow().ID != "b" || len(r.noticePending)+len(r.blockedFlows) > 0 {
		t.Errorf("behind the answer: started %+v, kept %v, %v", w.flows[2:], r.noticePending, r.blockedFlows)
	}
	for _, f := range w.flows[1:] {
		r.FlowEnded(traffic.FlowEnd{ID: f.ID, Member: f.Member, Status: traffic.Delivered, Took: time.Millisecond})
	}
	step(10 * time.Millisecond)
	// A platform that does not answer: what waits ends unsent, with its time.
	r.noticePending["x"] = "k3"
	put("d", "k3", 300*time.Millisecond)
	if len(r.blockedFlows["k3"]) != 1 {
		t.Fatalf("waiting: %v", r.blockedFlows)
	}
	for range 60 {
		step(10 * time.Millisecond)
	}
	if len(r.blockedFlows) > 0 || r.open["d"] != nil {
		t.Errorf("kept %v", r.blockedFlows)
	}
}

// fakeTurns is a table in which another process holds what a test says.
type fakeTurns struct {
	waits       map[string]bool
	taken, done []string
}

func (x *fakeTurns) TakeTicket(key, id string, _, _ time.Time) uint64 {
	x.taken = append(x.taken, key+" "+id)
	if id == "left" { // by a process that has ended
		return 1
	}
	return uint64(len(x.taken) + 1)
}

func (x *fakeTurns) MustWait(key, id string, _ time.Time) bool { return x.waits[id] }
func (x *fakeTurns) Release(key, id string)                    { x.done = append(x.done, key+" "+id) }

// While another process holds an earlier one of its key, a transaction is taken on, journalled and answered, but not sent; nor are
// those behind it. It goes when its turn has come, and ends with its time if that does not come.
func TestWaitsForOtherProcess(t *testing.T) {
	w, x := &fakeIO{}, &fakeTurns{waits: map[string]bool{"a": true, "d": true}}
	set := testSettings()
	set.Classes[0].OrderedByKey = true
	r, err := New(Config{Settings: set, MostBytes: 1 << 20, Store: w, Flows: w, Notices: w, Turns: x})
	if err != nil {
		t.Fatal(err)
	}
	r.Start(initialPool, nil, nil, nil)
	now := r.epoch.Add(10 * time.Millisecond)
	put := func(id, key string, lasts time.Duration) {
		tr := transaction(id, set.Classes[0].Name, now.Add(lasts))
		tr.Order = key
		if a := submit(t, r, now, tr); a.Verdict != traffic.Accepted {
			t.Fatalf("%s: %+v", id, a)
		}
	}
	put("a", "k1", 20*time.Second)
	put("b", "k1", 20*time.Second)
	put("c", "k2", 20*time.Second)
	if got := w.takeCalls(); len(w.flows) != 1 || w.lastFlow().ID != "c" || strings.Count(got, "Taken") != 3 {
		t.Fatalf("did %s, started %+v", got, w.flows)
	}
	step := func() {
		now = now.Add(10 * time.Millisecond)
		r.step(now, takeBatch(r))
	}
	step()
	if len(w.flows) != 1 || len(r.awaitingTurn) != 2 {
		t.Fatalf("started %+v, %d wait", w.flows, len(r.awaitingTurn))
	}
	x.waits["a"] = false
	step()
	if len(w.flows) != 2 || w.lastFlow().ID != "a" || len(r.awaitingTurn) != 0 {
		t.Fatalf("its turn has come: started %+v, %d wait", w.flows, len(r.awaitingTurn))
	}
	r.FlowEnded(traffic.FlowEnd{ID: "a", Member: w.lastFlow().Member, Status: traffic.Delivered, Took: time.Millisecond})
	step()
	if w.lastFlow().ID != "b" || len(x.done) != 1 || x.done[0] != "k1 a" {
		t.Errorf("behind it: started %+v, over %v", w.lastFlow(), x.done)
	}
	for _, f := range w.flows {
		if f.ID != "a" {
			r.FlowEnded(traffic.FlowEnd{ID: f.ID, Member: f.Member, Status: traffic.Delivered, Took: time.Millisecond})
		}
	}
	step()
	// What an ended process left goes before what has come here since and has waited for it.
	x.waits["e"] = true
	put("e", "k4", 20*time.Second)
	before := len(w.flows)
	x.waits["e"] = false
	left := transaction("left", set.Classes[0].Name, now.Add(20*time.Second))
	left.Order = "k4"
	r.decide(now, r.offerWaiting(now, r.recoverState([]traffic.Open{{Transaction: left}}, nil, now, nil)), nil)
	if len(w.flows) != before+1 || w.lastFlow().ID != "left" {
		t.Errorf("started %+v", w.flows[before:])
	}
	put("d", "k3", 300*time.Millisecond) // a turn that never comes
	for range 60 {
		step()
	}
	if w.lastFlow().ID == "d" || r.open["d"] != nil || len(r.awaitingTurn) != 0 {
		t.Errorf("its time is up: started %+v, open %v", w.lastFlow(), r.open["d"])
	}
	if r.NoticesAnswered([]string{"d"}); r.noticePending["d"] != "k3" {
		t.Errorf("notices %v", r.noticePending)
	}
	step()
	if x.done[len(x.done)-1] != "k3 d" {
		t.Errorf("over %v", x.done)
	}
}

// A notice that an ended process left without an answer holds back what follows it, at a start and where it is taken over.
func TestRecoveredNoticeBlocksKey(t *testing.T) {
	for _, atStart := range []bool{true, false} {
		w, x := &fakeIO{}, &fakeTurns{}
		set := testSettings()
		set.Classes[0].OrderedByKey = true
		r, err := New(Config{Settings: set, MostBytes: 1 << 20, Store: w, Flows: w, Notices: w, Turns: x})
		if err != nil {
			t.Fatal(err)
		}
		next := transaction("b", set.Classes[0].Name, r.epoch.Add(20*time.Second))
		next.Order = "k1"
		open, owed := []traffic.Open{{Transaction: next}}, []traffic.Notice{{ID: "a", Outcome: traffic.GivenUp, Order: "k1"}}
		now := r.epoch.Add(10 * time.Millisecond)
		if atStart {
			r.Start(initialPool, nil, open, owed)
		} else {
			r.Start(initialPool, nil, nil, nil)
			r.decide(now, r.recoverState(open, owed, now, nil), nil)
		}
		if len(w.flows) != 0 || len(r.blockedFlows["k1"]) != 1 {
			t.Errorf("at a start %v: started %+v", atStart, w.flows)
		}
		r.NoticesAnswered([]string{"a"})
		r.step(now.Add(10*time.Millisecond), takeBatch(r))
		if len(w.flows) != 1 || w.lastFlow().ID != "b" || len(x.done) != 1 {
			t.Errorf("at a start %v, behind the answer: started %+v, over %v", atStart, w.flows, x.done)
		}
	}
}
