package relay

import (
	"slices"
	"testing"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// fakeFleet keeps what a relay tells them.
type fakeFleet struct {
	health []string
	bans   map[string]bool
	pools  int
	demand []traffic.Demand
}

func (o *fakeFleet) Health(member string, _ int, out, tried bool, _ time.Time) {
	o.health = append(o.health, map[[2]bool]string{{true, false}: "out ", {true, true}: "tried ", {false, false}: "back "}[[2]bool{out, tried}]+member)
}
func (o *fakeFleet) Demand(list []traffic.Demand)          { o.demand = append(o.demand, list...) }
func (o *fakeFleet) Pool(int64, map[string]traffic.Member) { o.pools++ }
func (o *fakeFleet) Bans(set map[string]bool)              { o.bans = set }

// A relay tells of an outage that its own calls have met, of each try there that fails, and of its end; it tells nothing that it has
// from others, but for their member's answer. Others' word restrains it.
func TestReportsToFleetAndRestraints(t *testing.T) {
	r, w, now := startRelay(t)
	o := &fakeFleet{}
	r.cfg.Fleet = o
	w.takeCalls()
	n, ended := 0, 0 // messages; flows that were ended
	send := func(status traffic.FlowStatus) (member string) {
		n++
		submit(t, r, now, transaction(string(rune('a'+n)), "slot", now.Add(5*time.Second)))
		for ; ended < len(w.flows); ended++ { // those that the end of one lets go included
			f := w.flows[ended]
			r.step(now, []any{traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: status, Took: time.Second}})
			member = f.Member
		}
		now = now.Add(50 * time.Millisecond)
		return member
	}
	for range 6 {
		send(traffic.OutOfTime)
	}
	if len(o.health) == 0 || o.health[0] != "out m1" && o.health[0] != "out m2" {
		t.Fatalf("told %v", o.health)
	}
	for end := now.Add(20 * time.Second); now.Before(end) && !slices.ContainsFunc(o.health, func(s string) bool { return s[:4] == "trie" }); {
		now = now.Add(100 * time.Millisecond)
		send(traffic.OutOfTime)
	}
	if !slices.ContainsFunc(o.health, func(s string) bool { return s[:4] == "trie" }) {
		t.Errorf("no failed try was told: %v", o.health)
	}
	for end := now.Add(20 * time.Second); now.Before(end) && !slices.ContainsFunc(o.health, func(s string) bool { return s[:4] == "back" }); {
		now = now.Add(100 * time.Millisecond)
		send(traffic.Delivered)
	}
	if !slices.ContainsFunc(o.health, func(s string) bool { return s[:4] == "back" }) {
		t.Errorf("no end was told: %v", o.health)
	}

	r, w, now = startRelay(t)
	o, ended = &fakeFleet{}, 0
	r.cfg.Fleet = o
	dest := r.pool.members["m1"].Destination
	r.step(now, []any{[]traffic.Restraint{{Kind: traffic.Held, Group: traffic.Group{Destination: dest}, At: now.Add(time.Second)}}})
	if m := send(traffic.Delivered); m != "" {
		t.Errorf("sent to %s into a wait that others were told", m)
	}
	now = now.Add(1100 * time.Millisecond)
	r.step(now, []any{[]traffic.Bar{{Member: "m1"}}})
	for range 5 {
		if m := send(traffic.Delivered); m == "m1" {
			t.Error("sent to a member that others bar")
		}
	}
	r.step(now, []any{[]traffic.Restraint{{Kind: traffic.HeldOut, Member: "m2", At: now}}})
	if len(o.health) != 0 {
		t.Errorf("told on what others said: %v", o.health)
	}
	for end := now.Add(20 * time.Second); now.Before(end) && len(o.health) == 0; {
		now = now.Add(100 * time.Millisecond)
		send(traffic.Delivered)
	}
	if !slices.Equal(o.health, []string{"back m2"}) {
		t.Errorf("after an answer of a member that others held out: %v", o.health)
	}
	r.step(now, []any{bans{set: map[string]bool{"m2": true}, done: make(chan struct{})}, initialPool})
	if !o.bans["m2"] || o.pools == 0 {
		t.Errorf("bans %v, %d lists told", o.bans, o.pools)
	}
	r.step(now, []any{[]traffic.Bar{}}) // both were shut; what others bar no more is listed again
	if r.blocked["m1"] || !r.blocked["m2"] {
		t.Errorf("shut: %v", r.blocked)
	}
}

// What arrives and what waits is told by worth, at once where something newly waits and else now and then; what has gone is told too.
func TestReportsDemand(t *testing.T) {
	r, w, now := startRelay(t)
	o := &fakeFleet{}
	r.cfg.Fleet, r.demands = o, newDemands(r.cfg.Settings.Classes)
	w.takeCalls()
	level := r.demands.priorities["slot"]
	arrived := 0
	for i := range 20 {
		submit(t, r, now, transaction(string(rune('A'+i)), "slot", now.Add(5*time.Second)))
		now = now.Add(10 * time.Millisecond)
	}
	for _, f := range w.flows {
		r.step(now, []any{traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: traffic.Delivered, Took: time.Millisecond}})
	}
	if at, ok := r.demands.due(); !ok || at.Before(now.Add(-time.Second)) {
		t.Errorf("nothing is due to be told: %v %v", at, ok)
	}
	r.reportDemand(now.Add(demandInterval))
	for _, d := range o.demand {
		arrived += d.Arrived[level]
	}
	if len(o.demand) < 2 || len(o.demand) > 4 || arrived != 20 || o.demand[0].Waiting[level] > 1 {
		t.Errorf("told %v", o.demand)
	}
	queued := 0
	for _, h := range r.open {
		if h.flowStarted.IsZero() {
			queued++
		}
	}
	if last := o.demand[len(o.demand)-1]; last.Waiting[level] != queued {
		t.Errorf("%d wait, %d were told", queued, last.Waiting[level])
	}
	if _, ok := r.demands.due(); ok {
		t.Error("something is left to tell")
	}
	r.demands = newDemands(r.cfg.Settings.Classes)
	r.demands.reported = now
	o.demand = nil
	for i, x := range []struct{ after, waiting, reported int }{{10, 0, 0}, {20, 1, 1}, {30, 1, 1}, {40, -1, 1}, {120, -1, 2}, {130, 1, 3}} {
		tx := transaction("w", "slot", now.Add(5*time.Second))
		r.demands.record(&tx, 1, x.waiting)
		if r.reportDemand(now.Add(time.Duration(x.after) * time.Millisecond)); len(o.demand) != x.reported {
			t.Errorf("step %d: told %d times, not %d: %v", i, len(o.demand), x.reported, o.demand)
		}
	}
}

// A part of a limit that ends without word of the next leaves nothing for a while, for another may have it by now; then the module
// decides alone. It does so in the first step after that, whatever happened meanwhile.
func TestAllowanceExpiry(t *testing.T) {
	r, w, now := startRelay(t)
	r.cfg.Fleet, r.allowances = &fakeFleet{}, map[int]allowance{}
	w.takeCalls()
	const dest = 1
	r.step(now, []any{[]traffic.Allowance{{Destination: dest, Rate: 100, Until: now.Add(time.Second)}}})
	if !r.nextWake(now).Equal(now.Add(time.Second)) || len(r.expireAllowances(now.Add(900*time.Millisecond))) > 0 {
		t.Errorf("the next wake is at %v", r.nextWake(now).Sub(now))
	}
	events := r.expireAllowances(now.Add(1100 * time.Millisecond))
	if len(events) != 1 || events[0] != (dispatch.Told{Kind: dispatch.ToldShare, Destination: dest, For: expiryPause}) {
		t.Errorf("after its end %v", events)
	}
	if events := r.expireAllowances(now.Add(1200 * time.Millisecond)); len(events) > 0 {
		t.Errorf("and again %v", events)
	}
	if r.expireAllowances(now.Add(1100*time.Millisecond + expiryPause)); len(r.allowances) != 0 {
		t.Errorf("%v is kept", r.allowances)
	}
}
