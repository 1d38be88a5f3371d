package relay

import (
	"slices"
	"testing"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/traffic"
)

// fakeFleet records the reports of a relay.
type fakeFleet struct {
	health []string
	bans   map[string]bool
	pools  int
	demand []traffic.Demand
}

func (f *fakeFleet) ReportHealth(member string, _ int, out, tried bool, _ time.Time) {
	f.health = append(f.health, map[[2]bool]string{{true, false}: "out ", {true, true}: "tried ", {false, false}: "back "}[[2]bool{out, tried}]+member)
}
func (f *fakeFleet) ReportDemand(list []traffic.Demand)          { f.demand = append(f.demand, list...) }
func (f *fakeFleet) UpdatePool(int64, map[string]traffic.Member) { f.pools++ }
func (f *fakeFleet) UpdateBans(set map[string]bool)              { f.bans = set }

// A relay reports an outage that its own calls detect, each failed trial call, and the end of the outage. It does not repeat reports
// of other relays, except that it reports a member's answer. Restraints of other relays stop its sends.
func TestFleetReportsAndRestraints(t *testing.T) {
	r, w, now := startRelay(t)
	fleet := &fakeFleet{}
	r.cfg.Fleet = fleet
	w.takeCalls()
	n, ended := 0, 0 // n counts messages, ended counts flows that have been ended
	send := func(status traffic.FlowStatus) (member string) {
		n++
		submit(t, r, now, transaction(string(rune('a'+n)), "slot", now.Add(5*time.Second)))
		for ; ended < len(w.flows); ended++ { // including flows that start when another ends
			f := w.flows[ended]
			r.step(now, []any{traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: status, Latency: time.Second}})
			member = f.Member
		}
		now = now.Add(50 * time.Millisecond)
		return member
	}
	for range 6 {
		send(traffic.TimedOut)
	}
	if len(fleet.health) == 0 || fleet.health[0] != "out m1" && fleet.health[0] != "out m2" {
		t.Fatalf("health reports %v, want an outage first", fleet.health)
	}
	for end := now.Add(20 * time.Second); now.Before(end) && !slices.ContainsFunc(fleet.health, func(s string) bool { return s[:4] == "trie" }); {
		now = now.Add(100 * time.Millisecond)
		send(traffic.TimedOut)
	}
	if !slices.ContainsFunc(fleet.health, func(s string) bool { return s[:4] == "trie" }) {
		t.Errorf("no failed trial call was reported: %v", fleet.health)
	}
	for end := now.Add(20 * time.Second); now.Before(end) && !slices.ContainsFunc(fleet.health, func(s string) bool { return s[:4] == "back" }); {
		now = now.Add(100 * time.Millisecond)
		send(traffic.Delivered)
	}
	if !slices.ContainsFunc(fleet.health, func(s string) bool { return s[:4] == "back" }) {
		t.Errorf("no end of the outage was reported: %v", fleet.health)
	}

	r, w, now = startRelay(t)
	fleet, ended = &fakeFleet{}, 0
	r.cfg.Fleet = fleet
	dest := r.pool.members["m1"].Destination
	r.step(now, []any{[]traffic.Restraint{{Kind: traffic.RestraintWait, Group: traffic.Group{Destination: dest}, At: now.Add(time.Second)}}})
	if m := send(traffic.Delivered); m != "" {
		t.Errorf("sent to %s during a retry-after that other relays got", m)
	}
	now = now.Add(1100 * time.Millisecond)
	r.step(now, []any{[]traffic.Exclusion{{Member: "m1"}}})
	for range 5 {
		if m := send(traffic.Delivered); m == "m1" {
			t.Error("sent to a member that other relays exclude")
		}
	}
	r.step(now, []any{[]traffic.Restraint{{Kind: traffic.RestraintOutage, Member: "m2", At: now}}})
	if len(fleet.health) != 0 {
		t.Errorf("reports of other relays were repeated: %v", fleet.health)
	}
	for end := now.Add(20 * time.Second); now.Before(end) && len(fleet.health) == 0; {
		now = now.Add(100 * time.Millisecond)
		send(traffic.Delivered)
	}
	if !slices.Equal(fleet.health, []string{"back m2"}) {
		t.Errorf("after an answer of a member that other relays consider down: %v", fleet.health)
	}
	r.step(now, []any{bans{set: map[string]bool{"m2": true}, done: make(chan struct{})}, initialPool})
	if !fleet.bans["m2"] || fleet.pools == 0 {
		t.Errorf("bans %v, %d lists reported", fleet.bans, fleet.pools)
	}
	r.step(now, []any{[]traffic.Exclusion{}}) // both were blocked; the member that is no longer excluded is listed again
	if r.blocked["m1"] || !r.blocked["m2"] {
		t.Errorf("blocked members: %v", r.blocked)
	}
}

// Arrivals and waiting transactions are reported by worth: at once if a destination newly has waiting transactions, otherwise at
// intervals. Destinations without demand are reported once more.
func TestReportsDemand(t *testing.T) {
	r, w, now := startRelay(t)
	fleet := &fakeFleet{}
	r.cfg.Fleet, r.demands = fleet, newDemands(r.cfg.Settings.Classes)
	w.takeCalls()
	priority := r.demands.priorities["slot"]
	arrived := 0
	for i := range 20 {
		submit(t, r, now, transaction(string(rune('A'+i)), "slot", now.Add(5*time.Second)))
		now = now.Add(10 * time.Millisecond)
	}
	for _, f := range w.flows {
		r.step(now, []any{traffic.FlowEnd{ID: f.ID, Attempt: f.Attempt, Member: f.Member, Status: traffic.Delivered, Latency: time.Millisecond}})
	}
	if at, ok := r.demands.due(); !ok || at.Before(now.Add(-time.Second)) {
		t.Errorf("no report is due: %v %v", at, ok)
	}
	r.reportDemand(now.Add(demandInterval))
	for _, d := range fleet.demand {
		arrived += d.Arrived[priority]
	}
	if len(fleet.demand) < 2 || len(fleet.demand) > 4 || arrived != 20 || fleet.demand[0].Waiting[priority] > 1 {
		t.Errorf("demand reports %v", fleet.demand)
	}
	queued := 0
	for _, h := range r.open {
		if h.flowStarted.IsZero() {
			queued++
		}
	}
	if last := fleet.demand[len(fleet.demand)-1]; last.Waiting[priority] != queued {
		t.Errorf("%d transactions wait, %d were reported", queued, last.Waiting[priority])
	}
	if _, ok := r.demands.due(); ok {
		t.Error("a report is still due")
	}
	r.demands = newDemands(r.cfg.Settings.Classes)
	r.demands.reported = now
	fleet.demand = nil
	for i, x := range []struct{ after, waiting, reported int }{{10, 0, 0}, {20, 1, 1}, {30, 1, 1}, {40, -1, 1}, {120, -1, 2}, {130, 1, 3}} {
		tx := transaction("w", "slot", now.Add(5*time.Second))
		r.demands.record(&tx, 1, x.waiting)
		if r.reportDemand(now.Add(time.Duration(x.after) * time.Millisecond)); len(fleet.demand) != x.reported {
			t.Errorf("step %d: %d reports, want %d: %v", i, len(fleet.demand), x.reported, fleet.demand)
		}
	}
}

// When an allowance expires without a new one, nothing is sent for a while, because another relay may have the share by then.
// Afterwards the module decides alone. Each change is applied in the first step after it is due.
func TestAllowanceExpiry(t *testing.T) {
	r, w, now := startRelay(t)
	r.cfg.Fleet, r.allowances = &fakeFleet{}, map[int]allowance{}
	w.takeCalls()
	const dest = 1
	r.step(now, []any{[]traffic.Allowance{{Destination: dest, Rate: 100, Until: now.Add(time.Second)}}})
	if !r.nextWake(now).Equal(now.Add(time.Second)) || len(r.expireAllowances(now.Add(900*time.Millisecond))) > 0 {
		t.Errorf("the next wake-up is after %v, or the allowance expired early", r.nextWake(now).Sub(now))
	}
	events := r.expireAllowances(now.Add(1100 * time.Millisecond))
	if len(events) != 1 || events[0] != (dispatch.FleetReport{Kind: dispatch.GrantedShare, Destination: dest, For: expiryPause}) {
		t.Errorf("events after the expiry: %v", events)
	}
	if events := r.expireAllowances(now.Add(1200 * time.Millisecond)); len(events) > 0 {
		t.Errorf("events were repeated: %v", events)
	}
	if r.expireAllowances(now.Add(1100*time.Millisecond + expiryPause)); len(r.allowances) != 0 {
		t.Errorf("allowances not removed: %v", r.allowances)
	}
}
