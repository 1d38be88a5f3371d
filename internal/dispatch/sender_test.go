package dispatch

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// sender.go must stay narrow, so that it can be reviewed side by side with its changes.
func TestModuleWidth(t *testing.T) {
	text, err := os.ReadFile("sender.go")
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > 110 {
			t.Errorf("line %d is %d columns wide", i+1, n)
		}
	}
}

// The packages that decide use no socket, file or clock, so that the same events always lead to the same decisions.
func TestDecisionsUseNoInputOutputOrClock(t *testing.T) {
	forbiddenImports := []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "golang.org/x/sys/unix", "io/fs", "crypto/rand"}
	clock := []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}
	for _, dir := range []string{".", "../conns", "../overload", "../verdicts", "../spread"} {
		paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(paths), err)
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, imported := range file.Imports {
				if slices.Contains(forbiddenImports, strings.Trim(imported.Path.Value, `"`)) {
					t.Errorf("%s imports %s", path, imported.Path.Value)
				}
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok {
					if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clock, s.Sel.Name) {
						t.Errorf("%s uses time.%s", path, s.Sel.Name)
					}
				}
				return true
			})
		}
	}
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "safe", Effect: Safe, Aim: time.Second, Deadline: 10 * time.Second, Worth: 1},
			{Name: "keyed", Effect: Keyed, DedupTTL: 4 * time.Second, Aim: time.Second, Deadline: 12 * time.Second,
				Worth: 2, LateWorth: 0.5},
			{Name: "zoned", Effect: Keyed, ZoneScope: true, DedupTTL: 4 * time.Second, Aim: time.Second,
				Deadline: 12 * time.Second, Worth: 2},
			{Name: "unsafe", Effect: Unsafe, Aim: 2 * time.Second, Deadline: 14 * time.Second, Worth: 4},
			{Name: "ordered", Effect: Keyed, DedupTTL: 4 * time.Second, OrderedByKey: true, Aim: 2 * time.Second,
				Deadline: 12 * time.Second, Worth: 1},
		},
		Kinds: []Kind{{Name: "shared"}, {Name: "apart", OwnLimits: true}},
		Zones: []Zone{{Name: "a"}, {Name: "b", Fee: 0.02}}, Zone: "a", Peers: 2, Resolution: 5 * ms,
		MaxCalls: 8, MaxOpen: 40, MaxAttempts: 5, ConnectTimeout: 500 * ms, KeepAlive: 5 * time.Second,
		CallsPerConn: 1, MaxRetryAfter: 3 * time.Second, SendRetryAfter: true, CanCancel: true,
		Safety: Safety{MinStartCapacityShare: 0.2, Ramp: 10 * time.Second, OverloadMultiple: 2, OverloadFor: 2 * time.Second,
			OrderPause: 300 * ms},
	}
}

func newSender(t *testing.T, set Settings, eps ...Endpoint) *Sender {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: eps}})
	return s
}

func ep(id string, dest int) Endpoint {
	return Endpoint{ID: id, Zone: "a", Kind: "shared", Destination: dest}
}

func req(id, class string, dest int) Request {
	d := map[string]time.Duration{"safe": 10, "keyed": 12, "zoned": 12, "unsafe": 14, "ordered": 12}[class]
	return Request{ID: id, Class: class, Destination: dest, TimeLeft: d * time.Second}
}

func answer(id string, attempt int, endpoint string, st Status) Outcome {
	return Outcome{ID: id, Attempt: attempt, Endpoint: endpoint, Status: st, Closed: st == OK,
		Latency: 100 * ms}
}

// run steps the sender every 5 ms from one time to another, and returns all actions.
func run(s *Sender, from, to time.Duration) []Action {
	var all []Action
	for now := from; now <= to; now += 5 * ms {
		all = append(all, s.Step(now, nil)...)
	}
	return all
}

func sends(acts []Action) []string {
	var ids []string
	for _, a := range acts {
		if a, ok := a.(Send); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// ends returns how each message ended: refused or failed.
func ends(acts []Action) map[string]string {
	results := map[string]string{}
	for _, a := range acts {
		switch a := a.(type) {
		case Refuse:
			results[a.ID] += "refused"
		case Fail:
			results[a.ID] += "failed"
		}
	}
	return results
}

func TestInvalidSettings(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":     func(s *Settings) { s.Classes = nil },
		"MaxCalls":    func(s *Settings) { s.MaxCalls = 0 },
		"MaxOpen":     func(s *Settings) { s.MaxOpen = -1 },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"Resolution":  func(s *Settings) { s.Resolution = 0 },
		"Safety":      func(s *Settings) { s.Safety.Ramp = -1 },
	} {
		set := testSettings()
		invalidate(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name the field", field, err)
		}
	}
}

// Queued messages leave in order of their deadlines.
func TestDeadlineOrder(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("first", "safe", 1)})
	s.Step(100*ms, []Event{Outcome{ID: "first", Endpoint: "e", Status: Refused, RetryAfter: 500 * ms}})
	s.Step(110*ms, []Event{req("u", "unsafe", 1), req("k", "keyed", 1), req("s", "safe", 1)})
	got := sends(run(s, 115*ms, 4*time.Second))
	if len(got) < 2 || got[0] != "first" || got[1] != "s" {
		t.Errorf("sent in the order %v", got)
	}
}

// A call that exceeds the estimate waits until the limit has refilled.
func TestEmptyEstimateBlocksSends(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("a", "safe", 1)})
	s.Step(100*ms, []Event{Outcome{ID: "a", Endpoint: "e", Closed: true, Report: &LimitReport{LeftShare: 0, Rate: 4}}})
	if got := sends(s.Step(110*ms, []Event{req("b", "safe", 1)})); got != nil {
		t.Errorf("sent %v with an empty allowance", got)
	}
	if got := sends(run(s, 115*ms, time.Second)); len(got) != 1 {
		t.Errorf("sent %v after the limit has refilled", got)
	}
}

// A spend that no report covers must expire. Otherwise a small limit would block calls for good.
func TestSpendWithoutReportFades(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("a", "safe", 1)})
	s.Step(100*ms, []Event{Outcome{ID: "a", Endpoint: "e", Closed: true, Report: &LimitReport{LeftShare: 1, Rate: 1.9}}})
	s.Step(200*ms, []Event{req("b", "keyed", 1)})
	s.Step(1600*ms, []Event{Outcome{ID: "b", Endpoint: "e", Status: TimedOut}})
	if got := sends(run(s, 1605*ms, 5*time.Second)); len(got) == 0 {
		t.Error("nothing was sent after a call without a report")
	}
}

// Reports with invalid values have no effect.
func TestInvalidReports(t *testing.T) {
	for _, r := range []LimitReport{{math.NaN(), 5}, {-1, 5}, {9, 5}, {0.5, math.NaN()}, {0.5, -3},
		{0.5, math.Inf(1)}, {math.Inf(1), 5}, {}} {
		s := newSender(t, testSettings(), ep("e", 1))
		s.Step(0, []Event{req("a", "safe", 1)})
		s.Step(100*ms, []Event{Outcome{ID: "a", Endpoint: "e", Closed: true, Report: &r}})
		s.Step(200*ms, []Event{req("b", "safe", 1)})
		s.Step(300*ms, []Event{answer("b", 0, "e", OK)})
		s.Step(310*ms, []Event{req("c", "safe", 1)})
		if got := run(s, 315*ms, 3*time.Second); len(sends(got)) > 3 {
			t.Errorf("report %v: %v", r, got)
		}
		if len(s.endpoints["e"].calls) == 0 {
			t.Errorf("report %v: no call is out", r)
		}
	}
}

// A message past its aim yields to one that can still make it.
func TestMissedAimYields(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("a", "safe", 1)})
	s.Step(10*ms, []Event{Outcome{ID: "a", Endpoint: "e", Status: Refused, RetryAfter: 2 * time.Second}})
	s.Step(1900*ms, []Event{req("b", "unsafe", 1)})
	if got := sends(run(s, 1905*ms, 2100*ms)); len(got) == 0 || got[0] != "b" {
		t.Errorf("sent in the order %v", got)
	}
}

// Every message ends once and in time: without listed endpoints, with an unknown destination, or after all endpoints are gone.
func TestAnswerAtDeadline(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{MembershipUpdate{Endpoints: []Endpoint{{ID: "e", Kind: "shared", Destination: 1, State: Gone}}},
		req("gone", "safe", 1), req("unknown", "unsafe", 77)})
	results := ends(run(s, 5*ms, 15*time.Second))
	if results["gone"] != "refused" || results["unknown"] != "refused" {
		t.Errorf("ended as %v", results)
	}
}

// While an attempt is out there is no final answer. The timeout at the deadline is answered at once.
func TestTimeOutAtDeadline(t *testing.T) {
	set := testSettings()
	s := newSender(t, set, ep("e", 1))
	s.Step(0, []Event{req("u", "unsafe", 1)})
	if acts := run(s, 5*ms, 14*time.Second-5*ms); len(ends(acts)) != 0 {
		t.Fatalf("final answer while an attempt was out: %v", acts)
	}
	results := ends(s.Step(14*time.Second, []Event{Outcome{ID: "u", Endpoint: "e", Status: TimedOut}}))
	if results["u"] != "failed" {
		t.Errorf("ended as %v", results)
	}
}

// What an attempt may have done decides whether a message is sent again, refused or failed.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		class string
		st    Status
		again bool
		end   string // when the message is not sent again
	}{
		{"safe", Errored, true, ""}, {"safe", Refused, true, ""}, {"keyed", TimedOut, true, ""},
		{"unsafe", Refused, true, ""}, {"unsafe", ConnectFailed, true, ""}, {"unsafe", NotSent, true, ""},
		{"unsafe", Errored, false, "failed"}, {"unsafe", Reset, false, "failed"},
		{"unsafe", TimedOut, false, "failed"}, {"unsafe", Cancelled, false, "failed"},
	} {
		s := newSender(t, testSettings(), ep("e", 1))
		s.Step(0, []Event{req("m", c.class, 1)})
		acts := append(s.Step(100*ms, []Event{answer("m", 0, "e", c.st)}), run(s, 105*ms, 3*time.Second)...)
		if again := len(sends(acts)) > 0; again != c.again || ends(acts)["m"] != c.end {
			t.Errorf("%s after %v: sent %v, ended %v", c.class, c.st, sends(acts), ends(acts))
		}
	}
}

// The time in which a keyed message may be repeated starts with the first sending that may have run.
func TestKeyedWindow(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("m", "keyed", 1)})
	acts := s.Step(4100*ms, []Event{answer("m", 0, "e", TimedOut)})
	acts = append(acts, run(s, 4105*ms, 12*time.Second)...)
	if len(sends(acts)) != 0 || ends(acts)["m"] != "failed" {
		t.Errorf("after the window: %v", acts)
	}
}

// A keyed message with zone scope is repeated only in the zone of its first attempt.
func TestKeyedZone(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1), Endpoint{ID: "f", Zone: "b", Kind: "shared", Destination: 1})
	s.Step(0, []Event{req("m", "zoned", 1)})
	acts := s.Step(100*ms, []Event{answer("m", 0, "e", Errored),
		MembershipUpdate{Endpoints: []Endpoint{{ID: "e", Zone: "a", Kind: "shared", Destination: 1, State: Draining}}}})
	acts = append(acts, run(s, 105*ms, 12*time.Second)...)
	if len(sends(acts)) != 0 || ends(acts)["m"] != "failed" {
		t.Errorf("not kept to its zone: %v", acts)
	}
}

// No call goes to an endpoint that drains or is gone, whether a change, a full list or a removal says so.
func TestDrain(t *testing.T) {
	for name, ev := range map[string]MembershipUpdate{
		"cordoned": {Endpoints: []Endpoint{{ID: "e", Kind: "shared", Destination: 1, State: Draining}}},
		"gone":     {Endpoints: []Endpoint{{ID: "e", Kind: "shared", Destination: 1, State: Gone}}},
		"whole":    {Full: true},
	} {
		s := newSender(t, testSettings(), ep("e", 1))
		if got := sends(s.Step(10*ms, []Event{ev, req("m", "safe", 1)})); got != nil {
			t.Errorf("%s: sent %v", name, got)
		}
	}
}

// A retry-after wait holds for every message and for every endpoint that shares the limit. A longer wait stands.
func TestRetryAfterBindsAllEndpoints(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1), ep("f", 1))
	s.Step(0, []Event{req("a", "safe", 1), req("b", "safe", 1)})
	s.Step(50*ms, []Event{Outcome{ID: "a", Endpoint: "e", Status: Refused, RetryAfter: 900 * ms},
		Outcome{ID: "b", Endpoint: "e", Status: Refused, RetryAfter: 100 * ms},
		Outcome{ID: "b", Endpoint: "f", Status: Refused, RetryAfter: 100 * ms}})
	if got := sends(append(s.Step(60*ms, []Event{req("c", "safe", 1)}), run(s, 65*ms, 945*ms)...)); got != nil {
		t.Errorf("sent %v during the wait", got)
	}
	if got := sends(run(s, 950*ms, 4*time.Second)); got == nil {
		t.Error("nothing sent after the wait")
	}
}

// With separate routes, a wait holds for its route only.
func TestWaitOfSeparateRoute(t *testing.T) {
	s := newSender(t, testSettings(), Endpoint{ID: "e", Zone: "a", Kind: "apart", Destination: 1},
		Endpoint{ID: "f", Zone: "b", Kind: "apart", Destination: 1})
	s.Step(0, []Event{req("a", "safe", 1)})
	acts := s.Step(50*ms, []Event{Outcome{ID: "a", Endpoint: "e", Status: Refused, RetryAfter: 900 * ms}, req("c", "safe", 1)})
	for _, a := range acts {
		if a, ok := a.(Send); ok && a.Endpoint == "e" {
			t.Errorf("sent %v during the wait", a)
		}
	}
	if len(sends(acts)) == 0 {
		t.Error("the other route was not used")
	}
}

// Messages of one key go one at a time, in order, with a pause after an attempt that may still run.
func TestOrderByKey(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	a, b := req("a", "ordered", 1), req("b", "ordered", 1)
	a.HasKey, b.HasKey = true, true
	if got := sends(s.Step(0, []Event{a, b})); !reflect.DeepEqual(got, []string{"a"}) {
		t.Fatalf("sent %v", got)
	}
	s.Step(100*ms, []Event{Withdrawal{ID: "a"}})
	if got := sends(run(s, 105*ms, time.Second)); got != nil {
		t.Errorf("sent %v while the first message of the key has an attempt out", got)
	}
	s.Step(1100*ms, []Event{Outcome{ID: "a", Endpoint: "e", Status: TimedOut, Closed: true}})
	if got := sends(run(s, 1105*ms, 1395*ms)); got != nil {
		t.Errorf("sent %v during the pause", got)
	}
	if got := sends(run(s, 1400*ms, 6*time.Second)); len(got) == 0 || got[0] != "b" {
		t.Errorf("sent %v after the pause", got)
	}
}

// An outage gets few calls. In the ramp after it, the calls stay under this sender's part of the cold budget.
func TestColdBudget(t *testing.T) {
	for _, st := range []Status{Errored, Refused, ConnectFailed, TimedOut} {
		s := newSender(t, testSettings(), ep("e", 1))
		var times []time.Duration
		type call struct {
			id string
			n  int
		}
		var out []call
		attempts := map[string]int{}
		n, back := 0, 20*time.Second
		for now := time.Duration(0); now < 30*time.Second; now += 50 * ms {
			var evs []Event
			for _, c := range out {
				o := Outcome{ID: c.id, Attempt: c.n, Endpoint: "e", Status: st, Latency: 50 * ms}
				if now < 7*time.Second || now > back {
					o.Status, o.Closed = OK, true
				}
				evs = append(evs, o)
			}
			out = nil
			n++
			evs = append(evs, req(fmt.Sprint(n), "safe", 1))
			for _, a := range s.Step(now, evs) {
				if a, ok := a.(Send); ok {
					out = append(out, call{a.ID, attempts[a.ID]})
					attempts[a.ID]++
					if now > back-3*time.Second {
						times = append(times, now)
					}
				}
			}
		}
		f := testSettings().Safety
		seen := s.endpoints["e"].limiter.capacity()
		for i := range times {
			in := 0
			for _, x := range times[i:] {
				if x < times[i]+f.OverloadFor {
					in++
				}
			}
			warm := f.MinStartCapacityShare + (1-f.MinStartCapacityShare)*max(0, float64(times[i]-back)/float64(f.Ramp))
			if budget := f.OverloadMultiple * min(warm, 1) * seen / 2 * f.OverloadFor.Seconds(); float64(in) > budget+1 {
				t.Errorf("%v: %d calls from %v, budget %.1f", st, in, times[i], budget)
			}
		}
		if len(times) == 0 {
			t.Errorf("%v: no calls after the outage", st)
		}
	}
}

// A destination that accepts calls and never answers must not hold the slots, whatever its limit allows.
func TestSilentDestinationHoldsFewSlots(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1), ep("f", 2))
	s.Step(0, []Event{req("first", "safe", 1)})
	s.Step(100*ms, []Event{Outcome{ID: "first", Endpoint: "e", Closed: true, Latency: 100 * ms,
		Report: &LimitReport{LeftShare: 1, Rate: 50}}})
	for i := range 50 {
		now := 200*ms + time.Duration(i)*200*ms
		acts := s.Step(now, []Event{req(fmt.Sprint("h", i), "unsafe", 1), req(fmt.Sprint("g", i), "safe", 2)})
		for _, a := range acts {
			if a, ok := a.(Send); ok && a.Endpoint == "f" {
				s.Step(now+50*ms, []Event{answer(a.ID, 0, "f", OK)})
			}
		}
		if d := s.destinations[1]; d.callsOut > 3 {
			t.Fatalf("%d calls out at the silent destination", d.callsOut)
		}
		if !strings.Contains(fmt.Sprint(sends(acts)), fmt.Sprint("g", i)) {
			t.Fatalf("the other destination got no call at %v", now)
		}
	}
}

// A message with MaxAttempts attempts is answered instead of sent again.
func TestAttemptsRunOut(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 2
	s := newSender(t, set, ep("e", 1))
	s.Step(0, []Event{req("m", "safe", 1)})
	s.Step(50*ms, []Event{answer("m", 0, "e", Errored)})
	if got := sends(run(s, 55*ms, 2*time.Second)); len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	acts := append(s.Step(2100*ms, []Event{answer("m", 1, "e", Errored)}), run(s, 2105*ms, 12*time.Second)...)
	if len(sends(acts)) != 0 || ends(acts)["m"] != "refused" {
		t.Errorf("after two attempts: %v", acts)
	}
}

// A repeated outcome of an earlier attempt does not end the present attempt.
func TestStaleOutcome(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("m", "safe", 1)})
	s.Step(50*ms, []Event{answer("m", 0, "e", Errored)})
	if got := sends(run(s, 55*ms, time.Second)); len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	s.Step(1005*ms, []Event{answer("m", 0, "e", Errored)})
	if s.callsOut != 1 {
		t.Errorf("%d calls out", s.callsOut)
	}
}

// A report may not include calls sent after the attempt that brought it.
func TestLaterSpendsCount(t *testing.T) {
	l := &limiter{kind: &kind{burstSeconds: 1}, peers: 1}
	for _, at := range []time.Duration{100 * ms, 200 * ms, 300 * ms} {
		l.spend(at)
	}
	l.applyReport(&LimitReport{LeftShare: 0.5, Rate: 10}, 100*ms, 400*ms)
	if got := l.estimate(400 * ms); got > 3.01 {
		t.Errorf("5 reported as left, 2 spent since: estimate %.2f", got)
	}
}

// When answers are lost everywhere, calls give up their slots to waiting messages.
func TestReclaimSlot(t *testing.T) {
	set := testSettings()
	set.MaxCalls = 2
	s := newSender(t, set, ep("e", 1), ep("f", 2), ep("g", 3))
	s.Step(0, []Event{req("a", "unsafe", 1), req("b", "unsafe", 2)})
	s.Step(10*ms, []Event{req("c", "safe", 3)})
	cancelled := 0
	for _, a := range run(s, 15*ms, 6*time.Second) {
		if _, ok := a.(Cancel); ok {
			cancelled++
		}
	}
	if cancelled == 0 {
		t.Error("calls without answers keep all slots")
	}
}

// Near the hold cap, messages of the least worth are refused at once, with a time to come back.
func TestShed(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{MembershipUpdate{Full: true}})
	var acts []Action
	for i := range 40 {
		class := []string{"safe", "unsafe"}[i%2]
		acts = append(acts, s.Step(time.Duration(i)*5*ms, []Event{req(fmt.Sprint(class, i), class, 1)})...)
	}
	results := ends(acts)
	if len(results) == 0 {
		t.Fatal("nothing refused")
	}
	for id, end := range results {
		if !strings.HasPrefix(id, "safe") || end != "refused" {
			t.Errorf("%s %s", id, end)
		}
	}
}

// Events for unknown messages and repeated outcomes are ignored.
func TestStrayEvents(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{answer("x", 0, "e", OK), Withdrawal{ID: "x"}, WakeDue{}, ProbeResult{Endpoint: "x"}, MembershipLost{}})
	s.Step(5*ms, []Event{req("a", "safe", 1)})
	s.Step(9*ms, []Event{answer("a", 0, "e", OK), answer("a", 0, "e", OK)})
	if s.callsOut != 0 || s.destinations[1].callsOut != 0 {
		t.Errorf("%d calls out after one send and two outcomes", s.callsOut)
	}
}

// TestRandomEventsKeepRules sends random legal events to senders and checks every action against the rules. The same seed must
// give the same actions.
func TestRandomEventsKeepRules(t *testing.T) {
	for seed := range uint64(40) {
		first, second := runRandomEvents(t, seed), runRandomEvents(t, seed)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: the second run differs", seed)
		}
	}
}

type modelMessage struct {
	class      Class
	key        int64
	deadline   time.Duration
	attempts   int
	inFlight   bool
	ended      bool
	mayHaveRun bool
	firstSent  time.Duration
	dest       int
	number     int
}

func runRandomEvents(t *testing.T, seed uint64) []string {
	r := rand.New(rand.NewPCG(seed, 7))
	set := testSettings()
	set.CanCancel = seed%3 != 0
	set.Peers = []int{2, 1, 350, 1024, 2, math.MaxInt}[seed%6]
	var eps []Endpoint
	for i := range 6 {
		eps = append(eps, Endpoint{ID: fmt.Sprint("e", i), Zone: []string{"a", "b"}[i%2],
			Kind: []string{"shared", "apart"}[i/2%2], Destination: i / 2})
	}
	s := newSender(t, set, eps...)
	state := map[string]MembershipState{}
	waits := map[string]time.Duration{}
	messages := map[string]*modelMessage{}
	rest := map[int64]time.Duration{}
	type pendingOutcome struct {
		at time.Duration
		o  Outcome
	}
	var out []pendingOutcome
	var log []string
	n := 0
	for now := time.Duration(0); now < 40*time.Second; now += 5 * ms {
		var evs []Event
		if now < 20*time.Second && r.IntN(8) == 0 {
			n++
			c := set.Classes[r.IntN(len(set.Classes))]
			q := req(fmt.Sprint("m", n), c.Name, r.IntN(3))
			q.Key, q.HasKey = int64(r.IntN(3)), true
			messages[q.ID] = &modelMessage{class: c, key: q.Key, deadline: now + q.TimeLeft, dest: q.Destination, number: n}
			evs = append(evs, q)
		}
		if r.IntN(400) == 0 {
			e := eps[r.IntN(len(eps))]
			e.State = MembershipState(r.IntN(3))
			state[e.ID] = e.State
			evs = append(evs, MembershipUpdate{Endpoints: []Endpoint{e}})
		}
		kept := out[:0]
		for _, p := range out {
			m := messages[p.o.ID]
			if p.at > now && now < m.deadline {
				kept = append(kept, p)
				continue
			}
			if now >= m.deadline {
				p.o.Status = TimedOut
			}
			m.inFlight = false
			switch p.o.Status {
			case OK:
				p.o.Closed, m.ended = true, true
			case Errored, TimedOut, Reset, Cancelled:
				if !m.mayHaveRun {
					m.mayHaveRun, m.firstSent = true, p.at-p.o.Latency
				}
				if p.o.Status != Errored && m.class.OrderedByKey {
					rest[m.key] = now + set.Safety.OrderPause
				}
			case Refused:
				if r.IntN(2) == 0 {
					p.o.RetryAfter = time.Duration(r.IntN(900)) * ms
					for _, e := range eps {
						if e.ID == p.o.Endpoint || e.Kind == "shared" && e.Destination == m.dest {
							waits[e.ID] = max(waits[e.ID], now+p.o.RetryAfter)
						}
					}
				}
			}
			if r.IntN(3) > 0 {
				p.o.Report = &LimitReport{LeftShare: r.Float64(), Rate: float64(r.IntN(9))}
			}
			evs = append(evs, p.o)
		}
		out = kept
		acts := s.Step(now, evs)
		calls := len(out)
		for _, a := range acts {
			log = append(log, fmt.Sprintf("%v %+v", now, a))
			switch a := a.(type) {
			case Send:
				m := messages[a.ID]
				calls++
				bad := ""
				switch {
				case m.ended:
					bad = "has ended"
				case m.inFlight:
					bad = "has an attempt out"
				case m.attempts >= set.MaxAttempts:
					bad = "has had its attempts"
				case m.mayHaveRun && m.class.Effect == Unsafe:
					bad = "may have run and is unsafe"
				case m.mayHaveRun && m.class.Effect == Keyed && now >= m.firstSent+m.class.DedupTTL:
					bad = "is past its keyed window"
				case state[a.Endpoint] != Listed:
					bad = "goes to an endpoint that drains"
				case now < waits[a.Endpoint]:
					bad = "breaks a wait"
				case m.class.OrderedByKey && m.attempts == 0 && now < rest[m.key]:
					bad = "breaks the pause of its key"
				}
				if m.class.OrderedByKey {
					for _, o := range messages {
						if o.class.OrderedByKey && o.key == m.key && o.number < m.number && (!o.ended || o.inFlight) {
							bad = "overtakes an earlier message of its key"
						}
					}
				}
				if bad != "" {
					t.Fatalf("seed %d, %v: %s %s", seed, now, a.ID, bad)
				}
				m.inFlight = true
				took := time.Duration(20+r.IntN(600)) * ms
				if a.Timeout > 0 {
					took = min(took, a.Timeout)
				}
				st := []Status{OK, OK, OK, OK, Errored, Refused, TimedOut, ConnectFailed, Reset}[r.IntN(9)]
				if r.IntN(20) == 0 {
					took = time.Hour
				}
				out = append(out, pendingOutcome{now + took, Outcome{ID: a.ID, Attempt: m.attempts, Endpoint: a.Endpoint,
					Status: st, Latency: took}})
				m.attempts++
			case Cancel:
				if !set.CanCancel {
					t.Fatalf("seed %d: a cancel that is not permitted", seed)
				}
				for i := range out {
					if out[i].o.ID == a.ID {
						out[i].at, out[i].o.Status = now, Cancelled
						out[i].o.Latency = 0
					}
				}
			case Refuse, Fail:
				id := ""
				if f, ok := a.(Fail); ok {
					id = f.ID
				} else {
					id = a.(Refuse).ID
					if m := messages[id]; m.mayHaveRun && (m.class.Effect == Unsafe || m.class.ZoneScope) {
						t.Fatalf("seed %d: %s refused though it may have run", seed, id)
					}
				}
				m := messages[id]
				if m.ended || m.inFlight || now > m.deadline {
					t.Fatalf("seed %d, %v: %s answered twice, with an attempt out, or late", seed, now, id)
				}
				m.ended = true
			}
		}
		if calls > set.MaxCalls {
			t.Fatalf("seed %d: %d calls out", seed, calls)
		}
	}
	for id, m := range messages {
		if !m.ended {
			t.Fatalf("seed %d: %s never ended", seed, id)
		}
	}
	return log
}

// The size of an allowance is learned from refusals: a full allowance may hold less than one second of the limit.
func TestAllowanceIsLearned(t *testing.T) {
	l := &limiter{kind: &kind{burstSeconds: defaultBurstSeconds}, peers: 1}
	l.applyReport(&LimitReport{LeftShare: 1, Rate: 20}, 0, 0)
	before := l.estimate(0)
	l.applyRefusal(0, 0, true, 0.5)
	l.applyReport(&LimitReport{LeftShare: 1, Rate: 20}, 0, 0)
	if after := l.estimate(0); !(after < before) {
		t.Errorf("a full allowance is taken as %.1f calls before a refusal and %.1f after", before, after)
	}
}

// A report is for all senders. An allowance that is half empty, or holds less than a call for each sender, is shared.
func TestReportIsShared(t *testing.T) {
	for _, c := range []struct{ left, limit, maxEstimate float64 }{{0.5, 12, 3.1}, {1, 3, 2.5}} {
		l := &limiter{kind: &kind{burstSeconds: 1}, peers: 4}
		l.applyReport(&LimitReport{LeftShare: c.left, Rate: c.limit}, 0, 0)
		if got := l.estimate(0); got > c.maxEstimate {
			t.Errorf("%.1f left of %.0f: one of four senders takes %.1f", c.left, c.limit, got)
		}
	}
}

// Refusals over the limit between successes are no outage. Otherwise every busy limit would start a ramp.
func TestRateLimitRefusalsAreNoOutage(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	for i := range 12 {
		id, now := fmt.Sprint(i), time.Duration(i)*400*ms
		if sends(s.Step(now, []Event{req(id, "safe", 1)})) == nil {
			continue
		}
		st := Refused
		if i%4 == 0 {
			st = OK
		}
		s.Step(now+20*ms, []Event{answer(id, 0, "e", st), Withdrawal{ID: id}})
	}
	if s.endpoints["e"].outage {
		t.Error("refusals over the limit caused an outage")
	}
}

// If answers are lost on calls to all endpoints alike, two lost answers in a row are no outage of one endpoint.
func TestGlobalLossIsNoOutage(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	e := s.endpoints["e"]
	s.missedShare = 0.4
	s.recordFailure(e, &call{sentAt: s.now}, Outcome{Status: TimedOut})
	s.recordFailure(e, &call{sentAt: s.now}, Outcome{Status: TimedOut})
	if e.outage {
		t.Error("two lost answers caused an outage where 4 in 10 are lost everywhere")
	}
	s.recordFailure(e, &call{sentAt: s.now}, Outcome{Status: Errored})
	if !e.outage {
		t.Error("an error answer caused no outage")
	}
}

// If list changes come only on request, the sender subscribes at once, and again some time after a failure.
func TestWatch(t *testing.T) {
	set := testSettings()
	set.WatchRequired = true
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	watches := func(acts []Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(Watch); ok {
				n++
			}
		}
		return n
	}
	if n := watches(append(s.Step(0, nil), run(s, 5*ms, time.Second)...)); n != 1 {
		t.Errorf("subscribed %d times", n)
	}
	if n := watches(s.Step(time.Second, []Event{MembershipLost{}})); n != 0 {
		t.Error("subscribed again at once")
	}
	if n := watches(run(s, time.Second, 5*time.Second)); n != 1 {
		t.Errorf("subscribed again %d times", n)
	}
}

// manySenders returns the settings of one of many senders.
func manySenders() Settings {
	set := testSettings()
	set.Peers = 400
	return set
}

// Of many senders few call a destination at the same time, so a report that shows room allows a call.
func TestRareCallsAreAllowed(t *testing.T) {
	for _, c := range []struct {
		left float64
		want bool
	}{{1, true}, {0.5, true}, {0.1, false}} {
		l := &limiter{kind: &kind{burstSeconds: 1}, peers: 400, evenShares: 400}
		l.applyReport(&LimitReport{LeftShare: c.left, Rate: 4}, 0, 0)
		if got := l.estimate(100 * ms); got >= 1 != c.want {
			t.Errorf("%.1f of 4 left: estimate %.2f for one of 400 senders", c.left, got)
		}
	}
}

// Each refusal delays the next call further, down to the used part of an even share.
func TestRefusalsBackOff(t *testing.T) {
	l := &limiter{kind: &kind{burstSeconds: 1}, peers: 400, evenShares: 400, limit: 4}
	last := l.share()
	for range 12 {
		l.applyRefusal(0, 0, false, 0.5)
		if l.share() >= last || l.share() < (1-unusedShare)/l.peers {
			t.Fatalf("share %v after %v", l.share(), last)
		}
		last = l.share()
	}
	if last > 1.1/l.peers {
		t.Errorf("share %v after twelve refusals", last)
	}
}

// With many senders that call rarely, one failure is an outage. With few senders that call often, it takes two.
func TestSingleFailureWithManySenders(t *testing.T) {
	for peers, want := range map[int]bool{400: true, 2: false} {
		set := testSettings()
		set.Peers = peers
		s := newSender(t, set, ep("e", 1))
		s.Step(10*time.Second, []Event{req("a", "safe", 1)})
		s.Step(10100*ms, []Event{answer("a", 0, "e", Errored)})
		if got := s.endpoints["e"].outage; got != want {
			t.Errorf("%d senders: outage after one failure: %v", peers, got)
		}
	}
}

// The gap between trial calls does not grow with the number of senders if few of them can have seen the outage.
func TestColdGapWithManySenders(t *testing.T) {
	s := newSender(t, manySenders(), ep("e", 1))
	s.Step(10*time.Second, []Event{req("a", "safe", 1)})
	s.Step(10100*ms, []Event{answer("a", 0, "e", Errored)})
	e := s.endpoints["e"]
	e.limiter.limit = 4
	early, late := s.coldGap(e, e.outageSince), s.coldGap(e, e.outageSince+10*time.Second)
	if early < s.cfg.Safety.OverloadFor || late < 2*early || late > 5*s.cfg.Safety.Ramp {
		t.Errorf("gap %v at first, %v after ten seconds", early, late)
	}
	e.limiter.limit = 400 // every sender sees the outage and all share the budget
	f := s.cfg.Safety
	minGap := time.Duration(400 / (f.OverloadMultiple * f.MinStartCapacityShare * 400) * float64(time.Second))
	if got := s.coldGap(e, e.outageSince+10*time.Second); got < minGap {
		t.Errorf("gap %v where all senders saw the outage, want at least %v", got, minGap)
	}
}

// A destination that asks for a long wait is out with all its endpoints. Senders that know the end of the wait must not return
// at one moment.
func TestLongWaitTakesOutDestination(t *testing.T) {
	trials := map[time.Duration]bool{}
	for seed := range int64(5) {
		s, err := New(manySenders(), seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: []Endpoint{ep("e", 1), ep("f", 1)}}, req("a", "safe", 1)})
		s.Step(50*ms, []Event{Outcome{ID: "a", Endpoint: "e", Status: Refused, RetryAfter: 5 * time.Second}})
		for _, e := range s.endpoints {
			if !e.outage || e.limiter.nextTrial < 5050*ms {
				t.Errorf("seed %d: %s out: %v, next try %v", seed, e.id, e.outage, e.limiter.nextTrial)
			}
			trials[e.limiter.nextTrial] = true
		}
	}
	if len(trials) < 5 { // the endpoints of one sender share the next trial
		t.Errorf("%d different trial times for 5 senders", len(trials))
	}
}

// An answer without a readable report says nothing about the spends before it. A late report of an older attempt must still be
// reduced by the spends after that attempt.
func TestLateReportKeepsLaterSpends(t *testing.T) {
	l := &limiter{kind: &kind{burstSeconds: 1}, peers: 1}
	for _, at := range []time.Duration{100 * ms, 200 * ms, 300 * ms} {
		l.spend(at)
	}
	l.applyReport(nil, 300*ms, 390*ms)
	l.applyReport(&LimitReport{LeftShare: 0.5, Rate: 10}, 100*ms, 400*ms)
	if got := l.estimate(400 * ms); got > 3.01 {
		t.Errorf("5 reported as left, 2 spent since: estimate %.2f", got)
	}
	l.spend(400*ms + 2*spendRetention)
	if len(l.spends) != 1 {
		t.Errorf("%d spends kept", len(l.spends))
	}
}

// A new endpoint of a destination in an outage gets trial calls like the others. It is cold, and all waiting messages would
// be too many for it.
func TestNewEndpointDuringOutage(t *testing.T) {
	s := newSender(t, manySenders(), ep("e", 1))
	s.Step(10*time.Second, []Event{req("a", "safe", 1)})
	s.Step(10100*ms, []Event{answer("a", 0, "e", ConnectFailed)})
	acts := s.Step(11*time.Second, []Event{MembershipUpdate{Endpoints: []Endpoint{ep("f", 1)}}})
	if got := sends(acts); got != nil || !s.endpoints["f"].outage {
		t.Errorf("sent %v to a new endpoint; outage: %v", got, s.endpoints["f"].outage)
	}
}

// Unsafe messages that arrive at many senders in one burst must not go to an endpoint in an outage at one moment.
func TestUnsafeTrialsAreSpread(t *testing.T) {
	at := map[time.Duration]bool{}
	for seed := range int64(6) {
		s, err := New(manySenders(), seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(0, []Event{MembershipUpdate{Full: true, Endpoints: []Endpoint{ep("e", 1)}}})
		s.Step(10*time.Second, []Event{req("a", "unsafe", 1)})
		s.Step(10050*ms, []Event{answer("a", 0, "e", ConnectFailed)})
		s.endpoints["e"].limiter.nextTrial = 0
		for now := 10055 * ms; now < 24*time.Second; now += 5 * ms {
			if sends(s.Step(now, nil)) != nil {
				at[now] = true
				break
			}
		}
	}
	if len(at) < 5 {
		t.Errorf("6 senders sent trial calls at %d different times", len(at))
	}
}

// Senders see an outage one after another, each with a message to deliver. If two thirds of a destination's calls come from
// senders that saw the outage, they are at fault. They must stay below that at any capacity, also when the destination has
// several endpoints and each sender knows one of them to be out.
func TestOutageAwareSendersStayUnderTwoThirds(t *testing.T) {
	all := []Endpoint{ep("e", 1), ep("f", 1), ep("g", 1)}
	for _, c := range []struct {
		eps     []Endpoint
		outcome Outcome
	}{
		{all[:1], Outcome{Status: ConnectFailed, Latency: 500 * ms}},
		{all[:2], Outcome{Status: ConnectFailed, Latency: 500 * ms}},
		{all, Outcome{Status: ConnectFailed, Latency: 500 * ms}},
		{all[:2], Outcome{Status: TimedOut, Latency: 800 * ms}},
		{all[:2], Outcome{Status: Errored, Latency: 50 * ms}},
		{all[:2], Outcome{Status: Refused, Latency: 50 * ms}},
		{all[:2], Outcome{Status: Refused, Latency: 50 * ms, Report: &LimitReport{Rate: 6}}},
	} {
		set := manySenders()
		set.Classes[0].Deadline = 28 * time.Second
		type sender struct {
			*Sender
			from time.Duration
			evs  map[time.Duration][]Event
			n    int
		}
		var senders []*sender
		unaware, aware := 0, 0
		for now := time.Duration(0); now <= 24*time.Second; now += 50 * ms {
			if now%(200*ms) == 0 {
				s, _ := New(set, int64(now))
				s.Step(now, []Event{MembershipUpdate{Full: true, Endpoints: c.eps}})
				ask := req("a", "safe", 1)
				ask.TimeLeft = 28 * time.Second
				senders = append(senders, &sender{Sender: s, from: now, evs: map[time.Duration][]Event{now: {ask}}})
			}
			for _, s := range senders {
				for _, a := range s.Step(now, s.evs[now]) {
					if a, ok := a.(Send); ok {
						o, back := c.outcome, now+c.outcome.Latency
						o.ID, o.Attempt, o.Endpoint = "a", s.n, a.Endpoint
						s.evs[back] = append(s.evs[back], o)
						if s.n++; now >= 14*time.Second && s.n == 1 {
							unaware++
						} else if now >= 14*time.Second {
							aware++
						}
					}
				}
			}
		}
		if 2*aware > 3*unaware { // two standard deviations below two thirds
			t.Errorf("%d endpoints, %+v: %d calls of senders that saw the outage, %d of others", len(c.eps), c.outcome, aware, unaware)
		}
		if aware == 0 && c.outcome.Status != Refused { // calls after refusals have a budget of their own
			t.Errorf("%d endpoints, %+v: no trial calls", len(c.eps), c.outcome)
		}
	}
}

// The argument of coldGap, checked for many sizes: with first calls at the capacity or a part of it, senders that saw an outage
// of any age send less than twice as much as the others, or less than pushes the destination over.
func TestColdGapBound(t *testing.T) {
	for _, peers := range []int{2, 40, 400} {
		set := testSettings()
		set.Peers = peers
		s := newSender(t, set, ep("e", 1))
		e := s.endpoints["e"]
		e.outage = true
		for capacity := 2.0; capacity < 5000; capacity *= 1.5 {
			e.limiter.limit = capacity
			for _, c := range []struct{ demand, burst float64 }{{capacity, 0}, {capacity / 2, 0},
				{capacity / 2, 2.5 * capacity}, {capacity / 4, 0}, {capacity / 4, 2.5 * capacity}} {
				for age := 2.0; age < 60; age *= 1.5 {
					gap := func(a float64) float64 {
						return s.coldGap(e, e.outageSince+time.Duration(a*float64(time.Second))).Seconds()
					}
					perSender, unawareShare, step := c.demand/float64(peers), math.Exp(-c.burst/float64(peers)), age/200
					aware := float64(peers) * (1 - unawareShare) / gap(age)
					for a := step / 2; a < age; a += step {
						aware += step * c.demand * unawareShare * math.Exp(-perSender*(age-a)) / gap(a)
					}
					unaware := c.demand * unawareShare * math.Exp(-perSender*age)
					budget := set.Safety.OverloadMultiple * set.Safety.MinStartCapacityShare * capacity
					if aware > max(2*unaware, budget-unaware) {
						t.Errorf("%d senders, capacity %.1f, %+v, age %.0f s: %.2f calls a second from those that "+
							"saw it, %.2f from others, budget %.2f", peers, capacity, c, age, aware, unaware, budget)
					}
				}
			}
		}
	}
}

// A connection that is refused at once may only be one too many at that endpoint. A connection attempt without an answer is an
// outage of all endpoints of the destination, except those that answered since.
func TestSiblingsOfFailedEndpoint(t *testing.T) {
	fail := func(s *Sender, id, endpoint string, after time.Duration) {
		s.recordFailure(s.endpoints[endpoint], &call{sentAt: s.now}, Outcome{ID: id, Status: ConnectFailed, Latency: after})
	}
	s := newSender(t, manySenders(), ep("e", 1), ep("f", 1), ep("g", 2), ep("h", 2))
	s.Step(10*time.Second, nil)
	fail(s, "a", "e", 20*ms)
	if s.endpoints["f"].outage {
		t.Error("a connection refused at once by one endpoint took out another")
	}
	s = newSender(t, manySenders(), ep("e", 1), ep("f", 1), ep("g", 1))
	s.Step(10*time.Second, nil)
	s.endpoints["g"].lastAnswered = s.now
	fail(s, "a", "e", 500*ms)
	if !s.endpoints["f"].outage || s.endpoints["g"].outage {
		t.Errorf("outage: f %v; g, which has answered, %v", s.endpoints["f"].outage, s.endpoints["g"].outage)
	}
}

// A ramp ends after Safety.Ramp, even without any call.
func TestRampEnds(t *testing.T) {
	s := newSender(t, manySenders(), ep("e", 1))
	e := s.endpoints["e"]
	s.Step(10*time.Second, nil)
	e.limiter.limit, e.limiter.available, e.limiter.availableAt = 40, 10, s.now
	e.ramping, e.outageSince, e.rampSince, e.lastSent = true, 0, s.now, s.now
	if got := sends(s.Step(11*time.Second, []Event{req("a", "safe", 1)})); got != nil {
		t.Errorf("sent %v at the start of the ramp", got)
	}
	if got := sends(run(s, 11*time.Second, 10*time.Second+s.cfg.Safety.Ramp)); len(got) == 0 {
		t.Error("held after the ramp")
	}
}

// A message that cannot go before its deadline is refused at once with a time to come back, not held until near its deadline.
// The reason is a longer wait, or more messages ahead than the reported limit lets through.
func TestUndeliverableIsRefusedAtOnce(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("a", "safe", 1)})
	for _, a := range s.Step(100*ms, []Event{Outcome{ID: "a", Endpoint: "e", Status: Refused, RetryAfter: 30 * time.Second}}) {
		if r, ok := a.(Refuse); ok && (r.ID != "a" || r.RetryAfter != 3*time.Second) {
			t.Errorf("%+v", r)
		}
	}
	if len(s.messages) != 0 {
		t.Error("held for a wait that ends after its deadline")
	}
	s = newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("first", "safe", 1)})
	s.Step(100*ms, []Event{Outcome{ID: "first", Endpoint: "e", Status: OK, Closed: true, Latency: 100 * ms,
		Report: &LimitReport{LeftShare: 0, Rate: 2}}}) // this sender's part: one call a second
	var batch []Event
	for i := range 20 {
		batch = append(batch, req(fmt.Sprint("m", i), "safe", 1))
	}
	refused := len(ends(s.Step(110*ms, batch)))
	if refused < 8 || refused > 11 {
		t.Errorf("%d of 20 refused at once, want about 10: ten can go in ten seconds", refused)
	}
}

// Messages past their aim yield to those that can make it. In the estimate of their turn they count these as ahead, and the
// earlier ones of their own kind.
func TestLateMessagesCountAllAhead(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	s.Step(0, []Event{req("first", "safe", 1)})
	s.Step(100*ms, []Event{Outcome{ID: "first", Endpoint: "e", Status: OK, Closed: true, Latency: 100 * ms,
		Report: &LimitReport{LeftShare: 0, Rate: 2}}}) // this sender's part: one call a second
	var batch []Event
	for i := range 12 {
		late := req(fmt.Sprint("late", i), "safe", 1)
		late.TimeLeft = 8 * time.Second
		batch = append(batch, late, req(fmt.Sprint("new", i), "keyed", 1))
	}
	results := ends(s.Step(110*ms, batch))
	if len(results) != 12 {
		t.Errorf("%d refused, want the 12 late ones: 12 others go first, and 8 s let 8 through", len(results))
	}
	for id := range results {
		if !strings.HasPrefix(id, "late") {
			t.Errorf("%s refused", id)
		}
	}
}

// A message that another process has tried continues with the number of its attempts.
func TestRequestWithEarlierAttempts(t *testing.T) {
	s := newSender(t, testSettings(), ep("e", 1))
	tried := func(id string, attempts int, first time.Duration) Request {
		r := req(id, "keyed", 1)
		r.Attempts, r.MayHaveRun, r.FirstSent = attempts, true, first
		return r
	}
	acts := s.Step(time.Second, []Event{tried("in", 1, -2*time.Second), tried("out", 1, -4*time.Second),
		tried("spent", 5, 0)})
	if got := sends(acts); len(got) != 1 || got[0] != "in" {
		t.Errorf("sent %v", got)
	}
	if results := ends(acts); results["out"] != "failed" || results["spent"] != "refused" {
		t.Errorf("%v", results)
	}
	s.Step(2*time.Second, []Event{answer("in", 0, "e", OK)}) // not the newest attempt
	if len(s.messages) != 1 {
		t.Error("an outcome of another attempt ended the message")
	}
	s.Step(2*time.Second, []Event{answer("in", 1, "e", OK)})
	if len(s.messages) != 0 {
		t.Error("the message is held after its end")
	}
}

// State of an endpoint ends with the endpoint, and state of a destination with its last endpoint, message and wait. A day on
// which all are replaced leaves nothing behind, and the health of a gone endpoint does not affect the next one at its
// destination. While a call is out, its endpoint is kept.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	set := testSettings()
	s := newSender(t, set)
	now := time.Duration(0)
	for i := range 50 {
		id, name := fmt.Sprint("e", i), fmt.Sprint("m", i)
		s.Step(now, []Event{MembershipUpdate{Endpoints: []Endpoint{ep(id, i%3)}}})
		if s.endpoints[id].outage {
			t.Fatalf("%s is in an outage before its first call", id)
		}
		r := req(name, "ordered", i%3)
		r.Key, r.HasKey = int64(i), true
		if got := sends(s.Step(now, []Event{r})); len(got) != 1 {
			t.Fatalf("sent %v", got)
		}
		gone := ep(id, i%3)
		gone.State = Gone
		s.Step(now, []Event{MembershipUpdate{Endpoints: []Endpoint{gone}}})
		if s.endpoints[id] == nil {
			t.Fatal("an endpoint with a call out was forgotten")
		}
		for attempt, st := range []Status{Errored, OK} { // the second outcome is a stray one and changes nothing
			s.Step(now, []Event{answer(name, attempt, id, st)})
		}
		now += 2 * set.Classes[4].Deadline
		run(s, now-set.Classes[4].Deadline, now)
	}
	s.Step(now, []Event{Request{ID: "odd", Class: "unheard of", Destination: 99, TimeLeft: time.Second}})
	run(s, now, now+2*time.Second)
	if len(s.endpoints)+len(s.destinations)+len(s.messages)+len(s.queue)+len(s.inFlight) > 0 || len(s.keyQueues) > 8 ||
		len(s.classes) != len(set.Classes) {
		t.Errorf("kept: %d endpoints, %d destinations, %d messages, %d key queues, %d classes", len(s.endpoints),
			len(s.destinations), len(s.messages), len(s.keyQueues), len(s.classes))
	}
}

// One broken call is no outage while other calls are out at the endpoint, even if its sibling is out. Missed calls are no
// outage if a later call was answered. Otherwise a working destination would lose its last endpoint by chance.
func TestChanceFailuresAreNoOutage(t *testing.T) {
	set := testSettings()
	set.MaxCalls = 40
	s := newSender(t, set, ep("e", 1), ep("f", 1))
	s.markOutage(s.endpoints["f"])
	s.endpoints["e"].window = 20
	s.Step(0, []Event{req("a", "safe", 1), req("b", "safe", 1), req("c", "safe", 1)})
	if got := len(s.endpoints["e"].calls); got != 3 {
		t.Fatalf("%d calls out", got)
	}
	s.Step(50*ms, []Event{answer("a", 0, "e", Reset)})
	if s.endpoints["e"].outage {
		t.Error("outage after one of three calls broke")
	}
	s.Step(60*ms, []Event{req("d", "safe", 1)})
	s.Step(200*ms, []Event{answer("d", 0, "e", OK)})
	s.Step(400*ms, []Event{answer("b", 0, "e", TimedOut)})
	s.Step(410*ms, []Event{answer("c", 0, "e", TimedOut)})
	if e := s.endpoints["e"]; e.outage || e.failures > 0 {
		t.Errorf("outage: %v, %d failures counted although a later call was answered", e.outage, e.failures)
	}
}

// Reports are refreshed now and then, and answers in between carry the same report again. This sender's share of the reported
// room is granted once, not with each answer. Otherwise many senders would use the limit many times over.
func TestRepeatedReport(t *testing.T) {
	l := &limiter{kind: &kind{burstSeconds: 1}, peers: 80, evenShares: 80}
	half := &LimitReport{LeftShare: 0.5, Rate: 200}
	l.applyReport(half, 0, 0)
	granted := l.available
	l.spend(10 * ms)
	l.spend(20 * ms)
	l.applyReport(half, 20*ms, 100*ms)
	if l.available > granted-1.9 {
		t.Errorf("%.2f calls were left of %.2f, with the same report as before: %.2f", granted-2, granted, l.available)
	}
	l.applyReport(&LimitReport{LeftShare: 0.6, Rate: 200}, 30*ms, 150*ms)
	if l.available < granted {
		t.Errorf("a new report grants %.2f", l.available)
	}
}

// An endpoint that returns from maintenance by operators is cold, since it was restarted, and ramps up. An endpoint that only
// discovery lists again, without Restarted, does not.
func TestColdAfterMaintenance(t *testing.T) {
	for _, cold := range []bool{true, false} {
		s := newSender(t, testSettings(), ep("e", 1))
		out := ep("e", 1)
		out.State = Draining
		s.Step(time.Second, []Event{MembershipUpdate{Endpoints: []Endpoint{out}}})
		back := ep("e", 1)
		back.Restarted = cold
		s.Step(20*time.Second, []Event{MembershipUpdate{Endpoints: []Endpoint{back}}})
		if e := s.endpoints["e"]; e.ramping != cold || cold && e.rampSince != 20*time.Second {
			t.Errorf("cold %v: ramping %v since %v", cold, e.ramping, e.rampSince)
		}
		if s.EndpointsInOutage() != 0 {
			t.Errorf("cold %v: %d avoided", cold, s.EndpointsInOutage())
		}
		s.endpoints["e"].outage = true
		if s.EndpointsInOutage() != 1 {
			t.Errorf("cold %v: an endpoint in an outage is not counted as avoided", cold)
		}
	}
}

// With any number of senders, shares, gaps and waits are finite and not negative, and no share is zero. A sender with messages
// for a healthy destination sends at least one within 20 s.
func TestAnyNumberOfSenders(t *testing.T) {
	for _, peers := range []int{-1, 0, 1, 2, 350, 1024, 5000, math.MaxInt} {
		for _, limit := range []float64{0.5, 20, 1e6} {
			set := testSettings()
			set.Peers, set.Weights = peers, RoughWeights
			e := ep("e", 1)
			e.Weight = limit
			s := newSender(t, set, e)
			now, sent := time.Duration(0), 0
			for n := range 200 {
				now += 100 * ms
				acts := s.Step(now, []Event{req(fmt.Sprint("m", n), "safe", 1)})
				var evs []Event
				for _, a := range acts {
					switch a := a.(type) {
					case Send:
						if sent++; a.Timeout < 0 {
							t.Fatalf("%d senders: a timeout of %v", peers, a.Timeout)
						}
						o := Outcome{ID: a.ID, Endpoint: a.Endpoint, Latency: 20 * ms, Status: Refused, RetryAfter: 50 * ms, Report: &LimitReport{LeftShare: 0.5, Rate: limit}}
						if n%5 == 0 {
							o.Status, o.RetryAfter = ConnectFailed, 0
						} else if n%5 < 4 {
							o.Status, o.RetryAfter, o.Closed = OK, 0, true
						}
						o.Attempt = s.messages[a.ID].attempts - 1
						evs = append(evs, o)
					case Refuse:
						if a.RetryAfter < 0 || a.RetryAfter > set.MaxRetryAfter {
							t.Fatalf("%d senders: RetryAfter is %v", peers, a.RetryAfter)
						}
					case Wake:
						if a.At < now {
							t.Fatalf("%d senders: a wake at %v, %v in the past", peers, a.At, now-a.At)
						}
					}
				}
				s.Step(now+20*ms, evs)
				x := s.endpoints["e"]
				for what, v := range map[string]float64{"share": x.limiter.share(), "capacity": x.limiter.capacity(), "sparseness": x.limiter.sparseness(),
					"excess": x.limiter.excess(), "estimate": x.limiter.estimate(now), "gap": s.coldGap(x, now).Seconds(), "left": x.limiter.available} {
					overspent := (what == "estimate" || what == "left") && v < 0
					if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 && !overspent {
						t.Fatalf("%d senders, limit %v, step %d: %s is %v", peers, limit, n, what, v)
					}
				}
				if v := x.limiter.share(); v == 0 || v > 1 {
					t.Fatalf("%d senders: a share of %v", peers, v)
				}
				if x.limiter.nextTrial < 0 || x.limiter.fleetWait < 0 {
					t.Fatalf("%d senders: next trial at %v, reported wait until %v", peers, x.limiter.nextTrial, x.limiter.fleetWait)
				}
			}
			if sent == 0 {
				t.Errorf("%d senders, limit %v: nothing is sent in 20 s", peers, limit)
			}
		}
	}
}

// A call may carry several messages. Messages that go to an endpoint in one step, up to the bundle size, cost one spend and one
// slot, so a limit in calls lets that many more messages through. No message that fits is refused. A call's end counts once.
func TestBundles(t *testing.T) {
	set := testSettings()
	set.Kinds = append(set.Kinds, Kind{Name: "bundled", OwnLimits: true, MaxBundle: 3})
	set.Peers, set.MaxCalls = 1, 2
	e := ep("e", 1)
	e.Kind = "bundled"
	s := newSender(t, set, e)
	s.Step(0, []Event{req("first", "safe", 1)})
	o := answer("first", 0, "e", OK)
	o.Report = &LimitReport{LeftShare: 1, Rate: 1}
	s.Step(100*ms, []Event{o})
	var evs []Event
	for i := range 8 {
		evs = append(evs, req(fmt.Sprint("m", i), "safe", 1))
	}
	acts := s.Step(200*ms, evs)
	if got := sends(acts); len(got) != 3 || s.callsOut != 1 || len(ends(acts)) != 0 {
		t.Fatalf("sent %v in %d calls; ended %v", got, s.callsOut, ends(acts))
	}
	if left := s.endpoints["e"].limiter.available; left < 0 || left >= 1 {
		t.Errorf("a call costs %v", 1-left)
	}
	refused := func(i int) Event {
		return Outcome{ID: fmt.Sprint("m", i), Endpoint: "e", Status: Refused, RetryAfter: 300 * ms}
	}
	s.Step(300*ms, []Event{refused(0), refused(1)})
	if e := s.endpoints["e"]; e.refusals != 1 || s.callsOut != 1 || len(e.calls) != 1 {
		t.Errorf("%d refusals by one call; %d calls out", e.refusals, s.callsOut)
	}
	s.Step(310*ms, []Event{refused(2)})
	if s.callsOut != 0 || len(s.endpoints["e"].calls) != 0 {
		t.Errorf("%d calls out after the last outcome", s.callsOut)
	}
	all := map[string]bool{}
	for now := 320 * ms; now < 9*time.Second; now += 5 * ms {
		acts := s.Step(now, nil)
		evs = nil
		for _, a := range acts {
			if a, ok := a.(Send); ok {
				all[a.ID] = true
				evs = append(evs, answer(a.ID, s.messages[a.ID].attempts-1, "e", OK))
			}
		}
		if len(evs) > 3 {
			t.Fatalf("%d messages in one call", len(evs))
		}
		s.Step(now, evs)
		if n := len(ends(acts)); n > 0 {
			t.Fatalf("ended without delivery: %v", ends(acts))
		}
	}
	if len(all) != 8 {
		t.Errorf("%d of 8 messages sent in 9 s at one call a second", len(all))
	}
	// To an endpoint in an outage a message goes alone.
	s.markOutage(s.endpoints["e"])
	acts = s.Step(60*time.Second, []Event{req("x", "safe", 1), req("y", "safe", 1)})
	if got := sends(acts); len(got) != 1 {
		t.Errorf("trial call with %v", got)
	}
}
