package relay

import (
	"testing"
	"time"

	"slatemux/internal/traffic"
)

// Banned members get nothing new, whatever the pool says; lifted, the ban leaves a member that is sent to again,
// and flows are told of it too. The figures count what the relay did, by class.
func TestBanAndFigures(t *testing.T) {
	r, w, now := start(t)
	w.took()
	r.step(now, []any{bans{set: map[string]bool{"m1": true}, done: make(chan struct{})}})
	for i := range 4 {
		id := string(rune('a' + i))
		if a := hand(t, r, now, transaction(id, "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted {
			t.Fatalf("%s: %+v", id, a)
		}
		if m := w.last().Member; m != "m2" {
			t.Fatalf("%s went to the banned member %s", id, m)
		}
		r.step(now, []any{traffic.FlowEnd{ID: id, Member: "m2", Status: traffic.Delivered}})
		now = now.Add(10 * time.Millisecond)
	}
	// Discovery says again that m1 is active: the ban stands.
	r.step(now, []any{known})
	if a := hand(t, r, now, transaction("e", "slot", now.Add(5*time.Second))); a.Verdict != traffic.Accepted || w.last().Member != "m2" {
		t.Fatalf("after news of the pool: %+v to %s", a, w.last().Member)
	}
	r.step(now, []any{traffic.FlowEnd{ID: "e", Member: "m2", Status: traffic.Delivered}})
	r.figuredAt = time.Time{}
	r.step(now, nil)
	f := r.Figures()
	if f.Success["slot"] != 5 || f.Dispatches != 5 || f.Members != 2 || f.Banned != 1 || f.Concurrent != 0 {
		t.Fatalf("figures %+v", f)
	}
	if r.Known("m1") != true || r.Known("nobody") {
		t.Fatal("known members")
	}

	w.took()
	now = now.Add(20 * time.Second) // the member is out for a while
	r.step(now, []any{bans{set: map[string]bool{}, done: make(chan struct{})}})
	if got := w.took(); got != "pool" {
		t.Fatalf("flows were not told of the lifted ban: %q", got)
	}
	r.step(now, []any{bans{set: map[string]bool{"m2": true}, done: make(chan struct{})}}) // the other one's turn
	sent := map[string]bool{}
	for i := range 40 {
		now = now.Add(20 * time.Millisecond)
		id := "u" + string(rune('a'+i))
		before := len(w.flows)
		hand(t, r, now, transaction(id, "slot", now.Add(5*time.Second)))
		if len(w.flows) > before {
			sent[w.last().Member] = true
			r.step(now, []any{traffic.FlowEnd{ID: w.last().ID, Member: w.last().Member, Status: traffic.Delivered}})
		}
	}
	if !sent["m1"] || sent["m2"] {
		t.Fatalf("after the bans changed over, sent to %v", sent)
	}
}

// A ban read from the state folder at the start holds from the first step on, before any news of the pool.
func TestBanFromTheStart(t *testing.T) {
	w := &world{}
	r, err := New(Config{Settings: settingsForTest(), MostBytes: 1 << 20, Store: w, Flows: w, Notices: w,
		Banned: map[string]bool{"m1": true}})
	if err != nil {
		t.Fatal(err)
	}
	r.Start(known, nil, nil, nil)
	now := r.origin.Add(10 * time.Millisecond)
	for i := range 4 {
		id := string(rune('a' + i))
		hand(t, r, now, transaction(id, "slot", now.Add(5*time.Second)))
		if m := w.last().Member; m != "m2" {
			t.Fatalf("%s went to %s, banned since the start", id, m)
		}
		r.step(now, []any{traffic.FlowEnd{ID: id, Member: "m2", Status: traffic.Delivered}})
	}
}
