package fleets

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"slatemux/internal/fleet"
	"slatemux/internal/lab/fleets/labv1"
)

// The tests of this file run several real relays and cause the faults of issue 23 between them. They check only what holds on a
// machine of any speed: no rule is broken, no message is lost, and the relays' final knowledge of each other is correct. The tool
// slatelab fleet-faults reports how much was served.

var relayBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleets")
	if err != nil {
		panic(err)
	}
	relayBinary = filepath.Join(dir, "slatemux")
	if out, err := exec.Command("go", "build", "-o", relayBinary, "../../../cmd/slatemux").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// runScenario runs a scenario and returns its report. It calls before after the load, when all links work again and the relays still
// run.
func runScenario(t *testing.T, text string, before func(f *Fleet)) *Report {
	t.Helper()
	sc, err := Parse(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	f, err := New(t.TempDir(), relayBinary, sc, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.Play(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitUntilSettled(time.Now().Add(60 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if before != nil {
		before(f)
	}
	r := f.Judge()
	for i, b := range r.Verdict.Violations {
		if i < 5 {
			t.Errorf("%s: message %016x: %s", b.Rule, b.ID, b.Text)
		}
	}
	if r.WorthShare == 0 {
		t.Error("no message was delivered")
	}
	return r
}

// checkRecovered returns a check that waits until all relays know each other again and no relay holds a statement of an outage.
func checkRecovered(t *testing.T) func(*Fleet) {
	return func(f *Fleet) {
		t.Helper()
		if err := f.WaitForMembers(time.Now().Add(60 * time.Second)); err != nil {
			t.Error(err)
		}
		for i, node := range f.nodes {
			if !node.inFleet {
				continue
			}
			for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				list, err := f.Verdicts(i)
				out := 0
				for _, v := range list {
					if v.Kind == "health" && !v.Withdrawn {
						out++
					}
				}
				if err == nil && out == 0 {
					break
				}
				if time.Now().After(end) {
					t.Errorf("%s still holds statements of the outage of %d members, %v", node.name, out, err)
					break
				}
			}
		}
	}
}

// sumMetric returns the sum of a metric over all relays that answer.
func (f *Fleet) sumMetric(of func(fleet.Metrics) int64) (n int64) {
	for i := range f.nodes {
		if metrics, err := f.Metrics(i); err == nil {
			n += of(metrics)
		}
	}
	return n
}

const twoPartners = `
partner { name: "p" destination: 0 phase { rate: 200 latency_ms: 15 cv: 0.5 wait_ms: 300 } }
partner { name: "q" destination: 1 phase { rate: 200 latency_ms: 15 cv: 0.5 wait_ms: 300 }
  phase { from_s: 1.5 mode: REFUSING } phase { from_s: 4 rate: 200 latency_ms: 15 cv: 0.5 wait_ms: 300 cold_from: 0.23 cold_s: 3 } }
`

// Guards against relays that keep an outage on record after a partition. The fleet is partitioned, in both directions or in one, when
// a partner's outage ends. Both sides must keep delivering, rejoin, and agree that the outage is over.
func TestPartitionDuringRecovery(t *testing.T) {
	for name, both := range map[string]string{"both ways": "both: true", "one way": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, `relays: 6 seed: 11 length_s: 6 load { rate: 90 status: 0.4 retries: 1 }`+twoPartners+`
at { at_s: 2 links { from: "r0-r2" to: "r3-r5" cut: true `+both+` } } at { at_s: 5 heal: true }`, checkRecovered(t))
			if n := r.CallsByStatus(r.fleet.Scenario.Partner[1], 0, 1e3)[200]; n == 0 {
				t.Error("the partner with the outage answered no call")
			}
		})
	}
}

// Guards against a relay that acts on outdated statements. A relay is stopped for ten seconds under load and then receives statements
// of outages and waits that are over. The relay must hold no message back for them, and must become a member again.
func TestStoppedRelayReceivesOutdatedStatements(t *testing.T) {
	t.Parallel()
	var after fleet.Metrics
	r := runScenario(t, `relays: 4 seed: 12 length_s: 14 load { rate: 60 status: 0.4 }`+twoPartners+`
at { at_s: 1 stop { party: "r2" } } at { at_s: 11 go { party: "r2" } }`, func(f *Fleet) {
		checkRecovered(t)(f)
		after, _ = f.Metrics(2)
	})
	if after.Spread.Late == 0 {
		t.Error("no packet came late: the test caused no outdated statement")
	}
	delivered := 0
	for i, c := range r.Calls {
		if r.CallingRelays[i] == 2 && c.Arrived.Sub(r.loadStart) > 11500*time.Millisecond && c.Status == 200 {
			delivered++
		}
	}
	if delivered == 0 {
		t.Error("the stopped relay delivered no message after it resumed")
	}
}

// Guards against one faulty member that stops the whole fleet. A peer with the fleet's key announces that all partners are out, that
// all of them asked for waits of a minute, and that all endpoints drain and are banned. The relays must keep delivering.
func TestRelaysSurviveLyingPeer(t *testing.T) {
	t.Parallel()
	var members int
	r := runScenario(t, `relays: 4 seed: 13 length_s: 6 load { rate: 60 status: 0.4 }
partner { name: "p" destination: 0 endpoints: 2 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
partner { name: "q" destination: 1 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
at { at_s: 0.5 lies { all_out: true all_wait: true all_drain: true all_banned: true } }`, func(f *Fleet) {
		metrics, _ := f.Metrics(0)
		members = metrics.Members
	})
	if members != 5 {
		t.Errorf("%d members, want 5 with the lying peer", members)
	}
	if r.WorthShare < 0.9 { // the partners have capacity for all messages: without the false statements, no message is late
		t.Errorf("%.3f of the worth was delivered", r.WorthShare)
	}
}

// Guards against replayed packets. The test records packets of a relay, restarts the relay and sends the packets again. The receiver
// must drop them as replayed.
func TestReplayedPacketsAreDropped(t *testing.T) {
	t.Parallel()
	runScenario(t, `relays: 3 seed: 14 length_s: 5 load { rate: 40 status: 0.4 }`+twoPartners+`
at { at_s: 0 listen { from: "r1" to: "r0" } } at { at_s: 2.5 kill { party: "r1" } } at { at_s: 2.7 start { party: "r1" } }`, func(f *Fleet) {
		if err := f.WaitForMembers(time.Now().Add(60 * time.Second)); err != nil {
			t.Fatal(err)
		}
		replayed := func(g fleet.Metrics) int64 { return g.Drops.Replayed }
		before := f.sumMetric(replayed)
		if n := f.Links.Replay("r1", "r0"); n == 0 {
			t.Fatal("no packet was recorded")
		}
		for end := time.Now().Add(20 * time.Second); f.sumMetric(replayed) == before; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no packet was dropped as replayed")
			}
		}
		checkRecovered(t)(f)
	})
}

// Guards against relays that do not find each other after a restart of the whole fleet. All relays are killed at once under load and
// restarted. All must become members again, each with the next incarnation.
func TestAllRelaysRestarted(t *testing.T) {
	t.Parallel()
	runScenario(t, `relays: 6 seed: 15 length_s: 6 load { rate: 90 status: 0.4 retries: 1 }`+twoPartners+`
at { at_s: 2 kill { party: "relays" } } at { at_s: 2.5 start { party: "relays" } }`, func(f *Fleet) {
		checkRecovered(t)(f)
		for i := range f.nodes {
			if log := f.Process(i).Log(); !strings.Contains(log, `"incarnation":2`) {
				t.Errorf("r%d does not count its second start", i)
			}
		}
	})
}

// Guards against a fleet that depends on relays without a fleet part. Half of the relays have none, as builds from before the fleet
// existed. They work alone, and the other relays form a fleet.
func TestHalfWithoutFleet(t *testing.T) {
	t.Parallel()
	runScenario(t, `relays: 6 without_fleet: 3 seed: 16 length_s: 5 load { rate: 90 status: 0.4 }`+twoPartners, func(f *Fleet) {
		checkRecovered(t)(f)
		if metrics, _ := f.Metrics(0); metrics.Members != 3 {
			t.Errorf("%d members", metrics.Members)
		}
	})
}

// Guards against packets and members that are lost during a key rotation. The relays change their keys one after another under load:
// first all accept the new key, then all encrypt with it, then all remove the old key.
func TestKeyRotation(t *testing.T) {
	t.Parallel()
	var at strings.Builder
	s := 0.3
	for _, keys := range []string{"key: 0 key: 1", "key: 1 key: 0", "key: 1"} {
		for i := range 4 {
			fmt.Fprintf(&at, "at { at_s: %.1f keys { relay: \"r%d\" %s } }\n", s, i, keys)
			s += 0.3
		}
	}
	runScenario(t, `relays: 4 seed: 17 length_s: 5 load { rate: 60 status: 0.4 }`+twoPartners+at.String(), func(f *Fleet) {
		checkRecovered(t)(f)
		if n := f.sumMetric(func(g fleet.Metrics) int64 { return g.Drops.Forged }); n != 0 {
			t.Errorf("%d packets dropped as forged", n)
		}
		for i := range f.nodes {
			if log := f.Process(i).Log(); strings.Count(log, "fleet keys taken over") != 3 {
				t.Errorf("r%d did not take over the keys three times", i)
			}
		}
	})
}

// Guards against calls to a draining endpoint from relays that have lost discovery. Only one relay is connected to discovery and is
// notified of the drain. The other relays must learn of the drain from that relay, and must send nothing new to the endpoint after the
// drain grace and the bound of the gossip, counted from the notification.
func TestDrainReachesRelaysWithoutDiscovery(t *testing.T) {
	t.Parallel()
	r := runScenario(t, `relays: 5 seed: 18 length_s: 6 load { rate: 80 status: 0.4 }
partner { name: "p" destination: 0 endpoints: 2 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
at { at_s: 0.5 links { from: "r1-r4" to: "discovery" both: true cut: true } } at { at_s: 1.5 drain: "p-0" }`, nil)
	after := map[int]int{}
	for i, c := range r.Calls {
		if c.Member == "p-0" && c.FirstByte.Sub(r.loadStart) > 3500*time.Millisecond {
			after[r.CallingRelays[i]]++
		}
	}
	if len(after) > 0 {
		t.Errorf("calls to the drained endpoint 2 s after one relay was notified, by relay: %v", after)
	}
}

// Guards against statements that do not spread when 30 % of the packets between relays are lost. The test also duplicates, reorders,
// corrupts and delays packets.
func TestPacketLoss(t *testing.T) {
	t.Parallel()
	r := runScenario(t, `relays: 6 seed: 19 length_s: 7 load { rate: 90 status: 0.4 }`+twoPartners+`
at { at_s: 0 links { from: "relays" to: "relays" loss: 0.3 duplicate: 0.05 reorder: 0.1 corrupt: 0.02 delay_ms: 5 jitter_ms: 10 } }`, checkRecovered(t))
	newStatements := int64(0)
	for _, g := range r.Metrics {
		newStatements += g.Spread.NewStatements
	}
	if newStatements == 0 || r.fleet.Links.Lost.Load() == 0 {
		t.Errorf("%d new statements received, %d packets lost: the test caused no loss", newStatements, r.fleet.Links.Lost.Load())
	}
}

// Checks that the error for an invalid scenario names the file and the field or line, that all examples are valid, and the capacity of
// a partner.
func TestInvalidScenarios(t *testing.T) {
	const good = `relays: 3 length_s: 1 load { rate: 1 } partner { name: "p" phase { rate: 1 } } `
	for text, want := range map[string]string{
		good + `at { at_s: 1 stop { party: "r3" } }`:                         `at[0].stop.party: "r3"`,
		good + `at { at_s: 1 links { from: "r0" to: "r2-r1" } }`:             `at[0].links.to: "r2-r1"`,
		good + `at { at_s: 1 heal: true } at { at_s: 0.5 heal: true }`:       "at[1].at_s",
		good + `at { at_s: 1 }`:                                              "nothing happens",
		good + `at { at_s: 1 explode: true }`:                                "line 1",
		`relays: 3 length_s: 1 load { rate: 1 }`:                             "partner",
		`relays: 0 length_s: 1 load { rate: 1 } partner { name: "p" }`:       "relays: 0",
		strings.Replace(good, "phase { rate: 1 }", "phase { from_s: 2 }", 1): "partner[0].phase[0].from_s",
		strings.Replace(good, "rate: 1 }", "rate: -1 }", 1):                  "load",
	} {
		if _, err := Parse("file", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), "file: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
	examples, err := filepath.Glob("../../../example/faults/*.textproto")
	if err != nil || len(examples) < 7 {
		t.Errorf("%d examples: %v", len(examples), err)
	}
	for _, path := range examples {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
	p := &labv1.Partner{Phase: []*labv1.Phase{{Rate: 100}, {FromS: 1, Mode: labv1.Mode_SHUT}, {FromS: 2, Rate: 100, ColdFrom: 0.5, ColdS: 1}}}
	if c := CallCapacity(p, 0, 3); c < 174 || c > 176 {
		t.Errorf("capacity %v, want 100 + 0 + 75", c)
	}
}
