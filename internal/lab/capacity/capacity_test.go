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

// What the operators' plan allows each relay.
const (
	planInForce       = 7.0 // seconds until a change is in force everywhere
	planBytesPerS     = 2500.0
	planPeakRatio     = 2.0
	testSeed          = 7
	testRelays        = 120
	testWorkers       = 3
	testStopWithin    = time.Second
	testFitResolution = 1e-6
)

func scenarioNamed(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t *testing.T, jobs ...Job) []*Result {
	t.Helper()
	var results []*Result
	pool := NewPool(min(testWorkers, runtime.NumCPU()), func(string) {})
	if err := pool.Run(t.Context(), jobs, func(r *Result) { results = append(results, r) }); err != nil {
		t.Fatal(err)
	}
	Sort(results)
	return results
}

// withoutCost is a result as text, without what differs from run to run.
func withoutCost(t *testing.T, r *Result) string {
	t.Helper()
	copied := *r
	copied.Cost = Cost{}
	raw, err := json.Marshal(copied)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestSameSeedSameFigures(t *testing.T) {
	scenarios := []*Scenario{scenarioNamed(t, "restarts")}
	for _, name := range []string{"limits-1", "outages"} {
		s, err := scenarioNamed(t, name).Override(8*time.Second, 0, 0)
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
	jobs, err := Jobs(scenarios, CarrierNames(), []int{60}, testSeed)
	if err != nil {
		t.Fatal(err)
	}
	if len(jobs) != len(carriers) {
		t.Fatalf("%d runs for %d carriers", len(jobs), len(carriers))
	}
	first, again := play(t, jobs...), play(t, jobs...)
	for i := range jobs {
		if a, b := withoutCost(t, first[i]), withoutCost(t, again[i]); a != b {
			t.Errorf("%s of %s differs:\n%s\n%s", first[i].Carrier, first[i].Scenario, a, b)
		}
		jobs[i].Seed++
	}
	other := play(t, jobs...)
	for i := range jobs {
		if withoutCost(t, first[i]) == withoutCost(t, other[i]) {
			t.Errorf("%s of %s: another seed has the same figures", first[i].Carrier, first[i].Scenario)
		}
	}
}

// TestConfigsyncKeepsThePlan plays every fault: all changes come to all live relays in time and in few bytes.
func TestConfigsyncKeepsThePlan(t *testing.T) {
	var jobs []Job
	for _, name := range []string{"ordinary", "burst", "restarts", "zone-loss", "mass-restart", "standing"} {
		jobs = append(jobs, Job{Scenario: scenarioNamed(t, name), Carrier: "configsync", Relays: testRelays, Seed: testSeed})
	}
	for _, r := range play(t, jobs...) {
		if r.Reach.Changes == 0 || r.Reach.Incomplete > 0 || r.Reach.Missing > 0 {
			t.Errorf("%s: %d of %d changes did not come to all", r.Scenario, r.Reach.Incomplete, r.Reach.Changes)
		}
		if r.Reach.ToAll.P99 > planInForce {
			t.Errorf("%s: a change was in force after %.2f s, not %v", r.Scenario, r.Reach.ToAll.P99, planInForce)
		}
		if r.Traffic.Sent.Busiest > planBytesPerS {
			t.Errorf("%s: the busiest relay sends %.0f bytes a second, not %v", r.Scenario, r.Traffic.Sent.Busiest, planBytesPerS)
		}
		if r.Counts.Errors > 0 {
			t.Errorf("%s: %d errors", r.Scenario, r.Counts.Errors)
		}
	}
}

// TestReunionCausesNoStorm has two groups of regions meet after an hour.
func TestReunionCausesNoStorm(t *testing.T) {
	r := play(t, Job{Scenario: scenarioNamed(t, "ordinary"), Carrier: "configsync", Relays: testRelays, Seed: testSeed},
		Job{Scenario: scenarioNamed(t, "reunion"), Carrier: "configsync", Relays: testRelays, Seed: testSeed})
	ordinary, reunion := r[0], r[1]
	if reunion.Reach.Incomplete > 0 {
		t.Errorf("%d of %d changes did not come to all", reunion.Reach.Incomplete, reunion.Reach.Changes)
	}
	for name, peak := range map[string][2]float64{"1 s": {ordinary.Traffic.Peak1s.Busiest, reunion.Traffic.Peak1s.Busiest},
		"10 s": {ordinary.Traffic.Peak10s.Busiest, reunion.Traffic.Peak10s.Busiest}} {
		if peak[1] > planPeakRatio*peak[0] {
			t.Errorf("the busiest relay sends %.0f bytes a second in %s, %.2f times what it ordinarily does", peak[1], name, peak[1]/peak[0])
		}
	}
}

// TestSpreadCarriesBans plays today's carrier: it is to reach all where its bytes suffice.
func TestSpreadCarriesBans(t *testing.T) {
	var jobs []Job
	for _, name := range []string{"ordinary", "burst", "restarts", "zone-loss", "mass-restart"} {
		jobs = append(jobs, Job{Scenario: scenarioNamed(t, name), Carrier: "spread", Relays: testRelays, Seed: testSeed})
	}
	for _, r := range play(t, jobs...) {
		if r.Reach.Changes == 0 || r.Reach.Incomplete > 0 {
			t.Errorf("%s: %d of %d changes did not come to all", r.Scenario, r.Reach.Incomplete, r.Reach.Changes)
		}
		if r.Traffic.Sent.Mean > spreadBytesPerS || r.Traffic.Sent.Mean < 100 {
			t.Errorf("%s: %.0f bytes a second are not what a relay may send", r.Scenario, r.Traffic.Sent.Mean)
		}
	}
}

func TestLimitsAndOutagesAreMeasured(t *testing.T) {
	limits := scenarioNamed(t, "limits-1")
	told, err := scenarioNamed(t, "outages").Override(12*time.Second, 0, 10_000)
	if err != nil {
		t.Fatal(err)
	}
	r := play(t, Job{Scenario: limits, Carrier: "limits", Relays: testRelays, Seed: testSeed}, Job{Scenario: told, Carrier: "verdicts", Relays: testRelays, Seed: testSeed})
	if l := r[0]; l.Leases == nil || l.Leases.Loan <= l.Leases.Lease || l.Traffic.Sent.Busiest < 3*l.Traffic.Sent.Mean {
		t.Errorf("one destination's owner should be far busier than others: %+v, %+v", l.Leases, l.Traffic.Sent)
	}
	if v := r[1]; v.Reach.Changes < 50 || v.Reach.ToHalf.P50 <= 0 {
		t.Errorf("outages were not followed: %+v", v.Reach)
	}
}

// TestOverloadIsMeasured has today's statements want more bytes than there are.
func TestOverloadIsMeasured(t *testing.T) {
	s, err := scenarioNamed(t, "outages").Override(8*time.Second, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	r := play(t, Job{Scenario: s, Carrier: "verdicts", Relays: 60, Seed: testSeed})[0]
	if r.Counts.OverBudget == 0 || r.Reach.Missing < 0.2 {
		t.Errorf("5,280 outages told each 15 s should not fit: %d packets dropped, %.2f missing", r.Counts.OverBudget, r.Reach.Missing)
	}
}

func TestRunStopsWithItsContext(t *testing.T) {
	for _, carrier := range carriers {
		name := map[workload]string{configurationChanges: "ordinary", dividedLimits: "limits-16", outages: "outages"}[carrier.workload]
		ctx, cancel := context.WithCancel(t.Context())
		var cancelled time.Time
		time.AfterFunc(1500*time.Millisecond, func() {
			cancelled = time.Now()
			cancel()
		})
		err := NewPool(1, func(string) {}).Run(ctx, []Job{{Scenario: scenarioNamed(t, name), Carrier: carrier.name, Relays: 2000, Seed: testSeed}}, func(*Result) {})
		took := time.Since(cancelled)
		if !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "of virtual time") || took > testStopWithin {
			t.Errorf("%s stopped %v after it was told so: %v", carrier.name, took, err)
		}
		cancel()
	}
}

func TestBadScenarios(t *testing.T) {
	const good = "name: \"x\"\nrelays: 10\nlength_s: 10\ntopology {\n  loss: 0.5\n}\nchanges { count: 2 at_s: 1 every_s: 1 }\nzone_loss {\n  at_s: 1\n  zone: 2\n}\n"
	if _, err := Parse("file", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"at_s: 1 every_s", "until: 3 every_s", "file:7: unknown field: until"},
		{"length_s: 10", "length_s: ", "file:4: "},
		{"relays: 10", "relays: 0", "file:2: relays: 0 relays"},
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
			t.Fatalf("%q is not there", c.old)
		}
		if _, err := Parse("file", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s\n%v, not %q", text, err, c.want)
		}
	}
	if _, err := Load("nowhere.textproto"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
}

func TestJobsRefuseWhatCannotRun(t *testing.T) {
	ordinary := []*Scenario{scenarioNamed(t, "ordinary")}
	for _, c := range []struct {
		carriers []string
		sizes    []int
		want     string
	}{{[]string{"pigeon"}, []int{10}, "carrier: \"pigeon\""}, {[]string{"spread"}, []int{0}, "relays: 0 relays are no fleet"},
		{[]string{"spread"}, []int{9000}, "relays: 9000 relays take about"}, {[]string{"limits"}, []int{10}, "no scenario suits"}} {
		if _, err := Jobs(ordinary, c.carriers, c.sizes, 1); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v at %v: %v, not %q", c.carriers, c.sizes, err, c.want)
		}
	}
	if _, err := ordinary[0].Override(0, -1, 0); err == nil {
		t.Error("a negative number of changes is taken")
	}
}

func TestExamplesAreBuiltIn(t *testing.T) {
	names := BuiltIn()
	if len(names) < 11 {
		t.Errorf("built in are only %v", names)
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

func TestFitFindsTheLaw(t *testing.T) {
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
		if !ok || fit.Law != c.law || math.Abs(fit.A-c.a) > testFitResolution || math.Abs(fit.B-c.b) > testFitResolution || fit.Residual > testFitResolution {
			t.Errorf("%s: %+v", c.law, fit)
		}
	}
	if _, ok := FitLaw(sizes[:2], []float64{1, 2}); ok {
		t.Error("two sizes make a law")
	}
}

func TestReach(t *testing.T) {
	a := &arrivals{}
	change := a.add(0, 4)
	a.learned(10, 0, 0, change)
	a.learned(30, 20, 1, change) // its process began at 20
	a.learned(40, 0, 2, change)
	a.learned(90, 0, 2, change) // once more
	r := a.reach(func(relay int) bool { return relay != 3 })
	second := float64(time.Second)
	if r.Incomplete != 0 || r.ToAll.Max != 40/second || r.ToHalf.P50 != 10/second {
		t.Errorf("%+v", r)
	}
	if r = a.reach(func(int) bool { return true }); r.Incomplete != 1 || r.Missing != 0.25 || r.ToAll != (Times{}) {
		t.Errorf("with one that lacks it: %+v", r)
	}
}

func TestPeakIsFoundInAnyWindow(t *testing.T) {
	m := newMeter(2, 0, 20*time.Second)
	m.sends(15_500_000_000/10, 0, 700) // in two windows that begin at no full second
	m.sends(22_000_000_000/10, 0, 300)
	m.sends(35_000_000_000/10, 1, 500)
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
			t.Errorf("no %q in\n%s", want, table.String())
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
	least, most, lost := map[string]time.Duration{}, map[string]time.Duration{}, 0
	const draws = 200_000
	for i := range draws {
		from, to := i%170, (i*7+1)%170
		kind := "between"
		if topology.Zone(from) == topology.Zone(to) {
			kind = "zone"
		} else if topology.Region(from) == topology.Region(to) {
			kind = "region"
		}
		delay, arrives := links.pass(from, to)
		if !arrives {
			lost++
		}
		if l, ok := least[kind]; !ok || delay < l {
			least[kind] = delay
		}
		most[kind] = max(most[kind], delay)
	}
	for kind, r := range map[string]DelayRange{"zone": topology.InZone, "region": topology.InRegion, "between": topology.BetweenRegions} {
		if least[kind] < r.Min || most[kind] > r.Max || most[kind] == 0 {
			t.Errorf("%s: from %v to %v, not within %v", kind, least[kind], most[kind], r)
		}
	}
	if share := float64(lost) / draws; math.Abs(share-topology.Loss) > 0.002 {
		t.Errorf("%v of the packets were lost", share)
	}
}

func TestFieldErrorNamesAll(t *testing.T) {
	err := &FieldError{File: "f", Line: 3, Field: "a.b", Text: "no"}
	if got := fmt.Sprint(err); got != "f:3: a.b: no" {
		t.Error(got)
	}
}

// BenchmarkVerification measures what a relay takes to verify one change, which the simulator leaves out.
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

// BenchmarkPacket measures encoding and decoding of a packet with one change, of which the simulator counts about the encoding.
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

// BenchmarkMembers measures what a relay of the planned fleet takes to hear of one change of members.
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
				node.Members(0, view)
			}
		})
	}
}
