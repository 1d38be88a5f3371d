package relay

import (
	"testing"
	"time"

	"slatemux/internal/traffic"
)

// A banned member gets no new transactions, whatever the pool says. After the ban is lifted, the member gets transactions again, and
// the flows are notified. The statistics count the relay's results by class.
func TestBanAndStats(t *testing.T) {
	r, w, now := startRelay(t)
	w.takeCalls()
	r.step(now, []any{bans{set: map[string]bool{"m1": true}, done: make(chan struct{})}})
	for i := range 4 {
		id := string(rune('a' + i))
		if a := submit(t, r, now, transaction(id, "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted {
			t.Fatalf("submission %s: answer %+v", id, a)
		}
		if m := w.lastFlow().Member; m != "m2" {
			t.Fatalf("transaction %s went to the banned member %s", id, m)
		}
		r.step(now, []any{traffic.FlowEnd{ID: id, Member: "m2", Status: traffic.Delivered}})
		now = now.Add(10 * time.Millisecond)
	}
	// Discovery says again that m1 is active: the ban stands.
	r.step(now, []any{initialPool})
	if a := submit(t, r, now, transaction("e", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted || w.lastFlow().Member != "m2" {
		t.Fatalf("after a change of the pool: answer %+v, sent to %s", a, w.lastFlow().Member)
	}
	r.step(now, []any{traffic.FlowEnd{ID: "e", Member: "m2", Status: traffic.Delivered}})
	r.statsCopiedAt = time.Time{}
	r.step(now, nil)
	f := r.Stats()
	if f.Success["slot"] != 5 || f.Dispatches != 5 || f.Members != 2 || f.Banned != 1 || f.Concurrent != 0 {
		t.Fatalf("statistics %+v", f)
	}
	if r.HasMember("m1") != true || r.HasMember("nobody") {
		t.Fatal("Known: want m1 only")
	}

	w.takeCalls()
	now = now.Add(20 * time.Second) // the ban lasts for a while
	r.step(now, []any{bans{set: map[string]bool{}, done: make(chan struct{})}})
	if got := w.takeCalls(); got != "pool" {
		t.Fatalf("after lifting the ban: calls %q, want pool", got)
	}
	r.step(now, []any{bans{set: map[string]bool{"m2": true}, done: make(chan struct{})}}) // now the other member is banned
	sent := map[string]bool{}
	for i := range 40 {
		now = now.Add(20 * time.Millisecond)
		id := "u" + string(rune('a'+i))
		before := len(w.flows)
		submit(t, r, now, transaction(id, "slot", now.Add(5*time.Second)))
		if len(w.flows) > before {
			sent[w.lastFlow().Member] = true
			r.step(now, []any{traffic.FlowEnd{ID: w.lastFlow().ID, Member: w.lastFlow().Member, Status: traffic.Delivered}})
		}
	}
	if !sent["m1"] || sent["m2"] {
		t.Fatalf("with m2 banned instead of m1: sent to %v", sent)
	}
}

// A ban read from the state folder at the start applies from the first step on, before any change of the pool.
func TestBanAtStart(t *testing.T) {
	w := &fakeIO{}
	r, err := New(Config{Settings: testSettings(), MaxOpenBytes: 1 << 20, Store: w, Flows: w, Notices: w,
		Banned: map[string]bool{"m1": true}})
	if err != nil {
		t.Fatal(err)
	}
	r.Start(initialPool, nil, nil, nil)
	now := r.epoch.Add(10 * time.Millisecond)
	for i := range 4 {
		id := string(rune('a' + i))
		submit(t, r, now, transaction(id, "slot", now.Add(5*time.Second)))
		if m := w.lastFlow().Member; m != "m2" {
			t.Fatalf("transaction %s went to %s, banned since the start", id, m)
		}
		r.step(now, []any{traffic.FlowEnd{ID: id, Member: "m2", Status: traffic.Delivered}})
	}
}
