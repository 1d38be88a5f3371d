package capacity

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	files "slatemux/example/capacity"
	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire"
	"slatemux/internal/lab/capacity/capacityv1"
	"slatemux/internal/spread"
)

// Limits of the operators' plan for each relay, and parameters of the tests.
const (
	planInForceSeconds = 7.0 // from a change until it is in force at all relays
	planBytesPerSecond = 2500.0
	planPeakRatio      = 2.0
	testSeed           = 7
	testRelays         = 120
	testWorkers        = 3
	testMaxStopTime    = time.Second
	testFitTolerance   = 1e-6
)

func loadScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func runJobs(t *testing.T, jobs ...Job) []*Result {
	t.Helper()
	var results []*Result
	pool := NewPool(min(testWorkers, runtime.NumCPU()), func(string) {})
	if err := pool.Run(t.Context(), jobs, func(r *Result) { results = append(results, r) }); err != nil {
		t.Fatal(err)
	}
	SortResults(results)
	return results
}

// withoutCostJSON returns a result as JSON without Cost, which differs between runs of the same job.
func withoutCostJSON(t *testing.T, r *Result) string {
	t.Helper()
	copied := *r
	copied.Cost = Cost{}
	raw, err := json.Marshal(copied)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestSameSeedGivesSameResults guards against results that depend on anything but the job, such as the order of a map. Another seed must
// give other results.
func TestSameSeedGivesSameResults(t *testing.T) {
	scenarios := []*Scenario{loadScenario(t, "restarts")}
	for _, name := range []string{"limits-1", "outages"} {
		s, err := loadScenario(t, name).Override(8*time.Second, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		if s.Outages != nil {
			if s, err = s.Override(0, 0, 20_000); err != nil {
				t.Fatal(err)
			}
		}
		scenarios = append(scenarios, s)
	}
	jobs, err := NewJobs(scenarios, CarrierNames(), []int{60}, testSeed)
	if err != nil {
		t.Fatal(err)
	}
	if len(jobs) != len(carriers) {
		t.Fatalf("%d runs for %d carriers", len(jobs), len(carriers))
	}
	first, again := runJobs(t, jobs...), runJobs(t, jobs...)
	for i := range jobs {
		if a, b := withoutCostJSON(t, first[i]), withoutCostJSON(t, again[i]); a != b {
			t.Errorf("%s of %s differs between two runs with the same seed:\n%s\n%s", first[i].Carrier, first[i].Scenario, a, b)
		}
		jobs[i].Seed++
	}
	other := runJobs(t, jobs...)
	for i := range jobs {
		if withoutCostJSON(t, first[i]) == withoutCostJSON(t, other[i]) {
			t.Errorf("%s of %s: another seed gives the same results", first[i].Carrier, first[i].Scenario)
		}
	}
}

// TestConfigsyncMeetsPlan runs configsync under every fault except a reunion. All changes must reach all live relays within the time and
// the bytes of the plan.
func TestConfigsyncMeetsPlan(t *testing.T) {
	var jobs []Job
	for _, name := range []string{"ordinary", "burst", "restarts", "zone-loss", "mass-restart", "standing"} {
		jobs = append(jobs, Job{Scenario: loadScenario(t, name), Carrier: "configsync", Relays: testRelays, Seed: testSeed})
	}
	for _, r := range runJobs(t, jobs...) {
		if r.Reach.Changes == 0 || r.Reach.Incomplete > 0 || r.Reach.MissingShare > 0 {
			t.Errorf("%s: %d of %d changes did not reach all relays", r.Scenario, r.Reach.Incomplete, r.Reach.Changes)
		}
		if r.Reach.ToAll.P99 > planInForceSeconds {
			t.Errorf("%s: a change was in force after %.2f s, more than %v", r.Scenario, r.Reach.ToAll.P99, planInForceSeconds)
		}
		if r.Traffic.Sent.Busiest > planBytesPerSecond {
			t.Errorf("%s: the busiest relay sends %.0f bytes per second, more than %v", r.Scenario, r.Traffic.Sent.Busiest, planBytesPerSecond)
		}
		if r.Counts.Errors > 0 {
			t.Errorf("%s: %d errors", r.Scenario, r.Counts.Errors)
		}
	}
}

// TestReunionCausesNoTrafficPeak reconnects two groups of regions after a partition of one hour, in which both made changes. The peak rates
// of the busiest relay must not be more than planPeakRatio times the peak rates of ordinary operation.
func TestReunionCausesNoTrafficPeak(t *testing.T) {
	r := runJobs(t, Job{Scenario: loadScenario(t, "ordinary"), Carrier: "configsync", Relays: testRelays, Seed: testSeed},
		Job{Scenario: loadScenario(t, "reunion"), Carrier: "configsync", Relays: testRelays, Seed: testSeed})
	ordinary, reunion := r[0], r[1]
	if reunion.Reach.Incomplete > 0 {
		t.Errorf("%d of %d changes did not reach all relays", reunion.Reach.Incomplete, reunion.Reach.Changes)
	}
	for name, peak := range map[string][2]float64{"1 s": {ordinary.Traffic.Peak1s.Busiest, reunion.Traffic.Peak1s.Busiest},
		"10 s": {ordinary.Traffic.Peak10s.Busiest, reunion.Traffic.Peak10s.Busiest}} {
		if peak[1] > planPeakRatio*peak[0] {
			t.Errorf("the busiest relay sends %.0f bytes per second in %s, %.2f times the ordinary rate", peak[1], name, peak[1]/peak[0])
		}
	}
}

// TestSpreadCarriesBans checks that internal/spread delivers bans to all relays when its byte budget is sufficient.
func TestSpreadCarriesBans(t *testing.T) {
	var jobs []Job
	for _, name := range []string{"ordinary", "burst", "restarts", "zone-loss", "mass-restart"} {
		jobs = append(jobs, Job{Scenario: loadScenario(t, name), Carrier: "spread", Relays: testRelays, Seed: testSeed})
	}
	for _, r := range runJobs(t, jobs...) {
		if r.Reach.Changes == 0 || r.Reach.Incomplete > 0 {
			t.Errorf("%s: %d of %d changes did not reach all relays", r.Scenario, r.Reach.Incomplete, r.Reach.Changes)
		}
		if r.Traffic.Sent.Mean > spreadBytesPerSecond || r.Traffic.Sent.Mean < 100 {
			t.Errorf("%s: %.0f bytes per second are outside the budget of a relay", r.Scenario, r.Traffic.Sent.Mean)
		}
	}
}

// TestLimitsAndOutages checks that the owner of the only destination is the busiest relay when limits are divided, and that outages which
// begin during a run are tracked.
func TestLimitsAndOutages(t *testing.T) {
	limits := loadScenario(t, "limits-1")
	outagesScenario, err := loadScenario(t, "outages").Override(12*time.Second, 0, 10_000)
	if err != nil {
		t.Fatal(err)
	}
	r := runJobs(t, Job{Scenario: limits, Carrier: "limits", Relays: testRelays, Seed: testSeed},
		Job{Scenario: outagesScenario, Carrier: "verdicts", Relays: testRelays, Seed: testSeed})
	if l := r[0]; l.Leases == nil || l.Leases.LoanSeconds <= l.Leases.LeaseSeconds || l.Traffic.Sent.Busiest < 3*l.Traffic.Sent.Mean {
		t.Errorf("the owner of the only destination should send far more than the other relays: %+v, %+v", l.Leases, l.Traffic.Sent)
	}
	if v := r[1]; v.Reach.Changes < 50 || v.Reach.ToHalf.P50 <= 0 {
		t.Errorf("outages were not tracked: %+v", v.Reach)
	}
}

// TestOutagesOverBudget checks that a run in which statements need more than the byte budget shows dropped packets and missing statements.
func TestOutagesOverBudget(t *testing.T) {
	s, err := loadScenario(t, "outages").Override(8*time.Second, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	r := runJobs(t, Job{Scenario: s, Carrier: "verdicts", Relays: 60, Seed: testSeed})[0]
	if r.Counts.OverBudget == 0 || r.Reach.MissingShare < 0.2 {
		t.Errorf("5,280 outages announced every 15 s should exceed the budget: %d packets dropped, %.2f missing", r.Counts.OverBudget, r.Reach.MissingShare)
	}
}

// TestRunStopsWhenCancelled checks for each carrier that a run of 2,000 relays stops soon after its context is cancelled.
func TestRunStopsWhenCancelled(t *testing.T) {
	for _, carrier := range carriers {
		name := map[workload]string{configurationChanges: "ordinary", dividedLimits: "limits-16", outages: "outages"}[carrier.workload]
		ctx, cancel := context.WithCancel(t.Context())
		var cancelled time.Time
		time.AfterFunc(1500*time.Millisecond, func() {
			cancelled = time.Now()
			cancel()
		})
		err := NewPool(1, func(string) {}).Run(ctx, []Job{{Scenario: loadScenario(t, name), Carrier: carrier.name, Relays: 2000, Seed: testSeed}},
			func(*Result) {})
		stopTime := time.Since(cancelled)
		if !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "of virtual time") || stopTime > testMaxStopTime {
			t.Errorf("%s stopped %v after its cancellation: %v", carrier.name, stopTime, err)
		}
		cancel()
	}
}

func TestInvalidScenarios(t *testing.T) {
	const good = "name: \"x\"\nrelays: 10\nlength_s: 10\ntopology {\n  loss: 0.5\n}\nchanges { count: 2 at_s: 1 every_s: 1 }\nzone_loss {\n  at_s: 1\n  zone: 2\n}\n"
	if _, err := Parse("file", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"at_s: 1 every_s", "until: 3 every_s", "file:7: unknown field: until"},
		{"length_s: 10", "length_s: ", "file:4: "},
		{"relays: 10", "relays: 0", "file:2: relays: 0 relays: at least 1"},
		{"relays: 10", "relays: [10, 20000]", "file:2: relays: 20000 relays take about"},
		{"length_s: 10", "length_s: 0", "file:3: length_s: "},
		{"length_s: 10", "length_s: nan", "file:3: length_s: "},
		{"loss: 0.5", "loss: 1", "file:5: topology.loss: "},
		{"loss: 0.5", "zones: 3", "file:5: topology.zones: "},
		{"loss: 0.5", "in_zone { min_ms: 2 max_ms: 1 }", "file:5: topology.in_zone: "},
		{"count: 2", "count: 0", "file:7: changes.count: "},
		{"count: 2", "count: 20", "file:7: changes.count: the last change"},
		{"zone: 2", "zone: 17", "file:10: zone_loss.zone: "},
		{"\n  at_s: 1", "\n  at_s: 11", "file:9: zone_loss.at_s: "},
		{"name: \"x\"", "", "file:1: name: "},
		{"zone_loss {", "limits { destinations: 1 }\nzone_loss {", "file:1: name: changes, limits"},
		{"zone_loss {", "reunion { at_s: 1 changes: -1 }\nzone_loss {", "file:8: reunion.changes: "},
		{"zone_loss {", "restarts { share: 2 down_s: 1 }\nzone_loss {", "file:8: restarts.share: "},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("the scenario does not contain %q", c.old)
		}
		if _, err := Parse("file", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s\nerror %v, want %q", text, err, c.want)
		}
	}
	if _, err := Load("nowhere.textproto"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Load of a missing file: %v", err)
	}
}

func TestInvalidJobs(t *testing.T) {
	ordinary := []*Scenario{loadScenario(t, "ordinary")}
	for _, c := range []struct {
		carriers []string
		sizes    []int
		want     string
	}{{[]string{"pigeon"}, []int{10}, "carrier: \"pigeon\""}, {[]string{"spread"}, []int{0}, "relays: 0 relays: at least 1 is required"},
		{[]string{"spread"}, []int{9000}, "relays: 9000 relays take about"}, {[]string{"limits"}, []int{10}, "no scenario suits"}} {
		if _, err := NewJobs(ordinary, c.carriers, c.sizes, 1); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("carriers %v, sizes %v: error %v, want %q", c.carriers, c.sizes, err, c.want)
		}
	}
	if _, err := ordinary[0].Override(0, -1, 0); err == nil {
		t.Error("Override accepts a negative number of changes")
	}
}

func TestExamplesAreBuiltIn(t *testing.T) {
	names := BuiltInNames()
	if len(names) < 11 {
		t.Errorf("missing built-in scenarios, found only %v", names)
	}
	for _, name := range names {
		raw, err := files.Files.ReadFile(name + ".textproto")
		if err != nil {
			t.Fatal(err)
		}
		if s, err := Parse(name, raw); err != nil || s.Name != name || len(s.Relays) == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestFitLaw(t *testing.T) {
	sizes := []int{100, 300, 1000, 3900}
	for _, c := range []struct {
		law  string
		a, b float64
		of   func(n float64) float64
	}{{"a * N^b", 3, 0.5, func(n float64) float64 { return 3 * math.Pow(n, 0.5) }},
		{"a + b * ln N", 2, 7, func(n float64) float64 { return 2 + 7*math.Log(n) }},
		{"a + b * sqrt N", 5, 0.25, func(n float64) float64 { return 5 + 0.25*math.Sqrt(n) }}} {
		var values []float64
		for _, n := range sizes {
			values = append(values, c.of(float64(n)))
		}
		fit, ok := FitLaw(sizes, values)
		if !ok || fit.Law != c.law || math.Abs(fit.A-c.a) > testFitTolerance || math.Abs(fit.B-c.b) > testFitTolerance || fit.Residual > testFitTolerance {
			t.Errorf("%s: %+v", c.law, fit)
		}
	}
	if _, ok := FitLaw(sizes[:2], []float64{1, 2}); ok {
		t.Error("FitLaw accepts two sizes")
	}
}

func TestReach(t *testing.T) {
	a := &arrivals{}
	change := a.track(0, 4)
	a.record(10, 0, 0, change)
	a.record(30, 20, 1, change) // the process started at 20
	a.record(40, 0, 2, change)
	a.record(90, 0, 2, change) // a second arrival
	r := a.summarize(func(relay int) bool { return relay != 3 })
	second := float64(time.Second)
	if r.Incomplete != 0 || r.ToAll.Max != 40/second || r.ToHalf.P50 != 10/second {
		t.Errorf("%+v", r)
	}
	if r = a.summarize(func(int) bool { return true }); r.Incomplete != 1 || r.MissingShare != 0.25 || r.ToAll != (Times{}) {
		t.Errorf("with a relay that does not have the change: %+v", r)
	}
}

func TestPeakInAnyWindow(t *testing.T) {
	m := newMeter(2, 0, 20*time.Second)
	m.recordSent(15_500_000_000/10, 0, 700) // 1.55 s and 2.2 s: only a window that begins between full seconds contains both
	m.recordSent(22_000_000_000/10, 0, 300)
	m.recordSent(35_000_000_000/10, 1, 500)
	got := m.traffic(func(int) bool { return true })
	if got.Peak1s.Busiest != 1000 || got.Peak10s.Busiest != 100 || got.Peak10s.Mean != 75 || got.Sent.Busiest != 50 {
		t.Errorf("%+v", got)
	}
}

func TestTableAndJSON(t *testing.T) {
	var results []*Result
	for i, n := range []int{10, 20, 40} {
		r := &Result{Scenario: "ordinary", Carrier: "spread", Relays: n, Reach: Reach{Changes: 3, ToAll: Times{1, 2, 3}}}
		r.Traffic.Sent.Mean = float64(i + 1)
		results = append(results, r)
	}
	var table, lines bytes.Buffer
	if err := errors.Join(WriteTable(&table, results), WriteJSON(&lines, results)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"to all p50/p99/max", "1.00/2.00/3.00", "sent, mean (B/s)"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("%q is missing in the table\n%s", want, table.String())
		}
	}
	kinds := map[string]int{}
	for line := range strings.Lines(lines.String()) {
		var parsed map[string]json.RawMessage
		if err := json.Unmarshal([]byte(line), &parsed); err != nil {
			t.Fatal(err)
		}
		for kind := range parsed {
			kinds[kind]++
		}
	}
	if kinds["result"] != 3 || kinds["fit"] == 0 {
		t.Errorf("%v", kinds)
	}
}

func TestTopology(t *testing.T) {
	topology := topologyOf(&capacityv1.Topology{})
	if topology != DefaultTopology() {
		t.Errorf("%+v", topology)
	}
	links := newLinks(topology, rand.New(rand.NewPCG(testSeed, 1)))
	minDelay, maxDelay, lost := map[string]time.Duration{}, map[string]time.Duration{}, 0
	const draws = 200_000
	for i := range draws {
		from, to := i%170, (i*7+1)%170
		kind := "between"
		if topology.Zone(from) == topology.Zone(to) {
			kind = "zone"
		} else if topology.Region(from) == topology.Region(to) {
			kind = "region"
		}
		delay, arrives := links.transmit(from, to)
		if !arrives {
			lost++
		}
		if l, ok := minDelay[kind]; !ok || delay < l {
			minDelay[kind] = delay
		}
		maxDelay[kind] = max(maxDelay[kind], delay)
	}
	for kind, r := range map[string]DelayRange{"zone": topology.InZone, "region": topology.InRegion, "between": topology.BetweenRegions} {
		if minDelay[kind] < r.Min || maxDelay[kind] > r.Max || maxDelay[kind] == 0 {
			t.Errorf("%s: from %v to %v, not within %v", kind, minDelay[kind], maxDelay[kind], r)
		}
	}
	if share := float64(lost) / draws; math.Abs(share-topology.Loss) > 0.002 {
		t.Errorf("the share of lost packets is %v", share)
	}
}

func TestFieldErrorText(t *testing.T) {
	err := &FieldError{File: "f", Line: 3, Field: "a.b", Text: "no"}
	if got := fmt.Sprint(err); got != "f:3: a.b: no" {
		t.Error(got)
	}
}

// BenchmarkVerification measures the verification of one change, which the simulator leaves out.
func BenchmarkVerification(b *testing.B) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		b.Fatal(err)
	}
	change := configsync.Change{Source: "control-0", Sequence: 1, Revision: 1, Key: "endpoint/s-5be2a07c", Value: make([]byte, defaultValueBytes)}
	configsync.Sign(&change, private)
	keyring := configsync.NewKeyring(map[string]ed25519.PublicKey{change.Source: public})
	for b.Loop() {
		if err := keyring.Verify(&change); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPacket measures the encoding and decoding of a packet with one change. The simulator's CPU time
// includes approximately the encoding but not the decoding.
func BenchmarkPacket(b *testing.B) {
	change := configsync.Change{Source: "control-0", Sequence: 1, Revision: 1, Key: "endpoint/s-5be2a07c", Value: make([]byte, defaultValueBytes),
		Signature: make([]byte, signatureBytes)}
	push := &configsync.Push{Number: 1, Changes: []configsync.Change{change}}
	packet := &spread.Packet{From: relayName(1), Incarnation: 1, Uptime: time.Hour, Sequence: 1, Configuration: &configsync.Message{Push: push}}
	for b.Loop() {
		raw, err := wire.Append(nil, packet)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := wire.Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMembers measures the processing of one membership change at a relay of the planned fleet.
func BenchmarkMembers(b *testing.B) {
	const planned = 3900
	view := newView(DefaultTopology(), planned, func(int) bool { return true })
	scenario := &Scenario{Topology: DefaultTopology(), CapacityScenario: &capacityv1.CapacityScenario{Limits: &capacityv1.DividedLimits{Destinations: 1, StepMs: 100}}}
	for _, c := range carriers[:3] {
		b.Run(c.name, func(b *testing.B) {
			carrier, err := c.create(&Environment{Scenario: scenario, Relays: planned})
			if err != nil {
				b.Fatal(err)
			}
			node, err := carrier.Start(0, 1, nil)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				node.SetMembers(0, view)
			}
		})
	}
}
