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

// The tests here run several real relays and cause what issue 23 names between them. They demand what holds on a machine
// of any speed: no rule is broken, nothing is lost, and what relays know of each other in the end. How much was served is a matter for
// slatelab fleet-faults.

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleets")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "slatemux")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/slatemux").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// play runs a scenario and judges it. before is called when the load is over and all links are good again, while the relays
// still run.
func play(t *testing.T, text string, before func(f *Fleet)) *Report {
	t.Helper()
	sc, err := Parse(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	f, err := Put(t.TempDir(), binary, sc, func(line string) { t.Log(line) })
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
	if err := f.Settle(time.Now().Add(60 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if before != nil {
		before(f)
	}
	r := f.Judge()
	for i, b := range r.Verdict.Breaches {
		if i < 5 {
			t.Errorf("%s: message %016x: %s", b.Rule, b.ID, b.Text)
		}
	}
	if r.Worth == 0 {
		t.Error("nothing was served")
	}
	return r
}

// heal waits until all relays know each other again and none holds anything to be out.
func heal(t *testing.T) func(*Fleet) {
	return func(f *Fleet) {
		t.Helper()
		if err := f.Assembled(time.Now().Add(60 * time.Second)); err != nil {
			t.Error(err)
		}
		for i, s := range f.seats {
			if !s.fleet {
				continue
			}
			for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				list, err := f.Verdicts(i)
				out := 0
				for _, v := range list {
					if v.Kind == "health" && !v.Over {
						out++
					}
				}
				if err == nil && out == 0 {
					break
				}
				if time.Now().After(end) {
					t.Errorf("%s still holds %d members to be out, %v", s.name, out, err)
					break
				}
			}
		}
	}
}

// figures sums up a figure of all relays that tell it.
func (f *Fleet) sum(of func(fleet.Figures) int64) (n int64) {
	for i := range f.seats {
		if g, err := f.Figures(i); err == nil {
			n += of(g)
		}
	}
	return n
}

const two = `
partner { name: "p" destination: 0 phase { rate: 200 latency_ms: 15 cv: 0.5 wait_ms: 300 } }
partner { name: "q" destination: 1 phase { rate: 200 latency_ms: 15 cv: 0.5 wait_ms: 300 }
  phase { from_s: 1.5 mode: REFUSING } phase { from_s: 4 rate: 200 latency_ms: 15 cv: 0.5 wait_ms: 300 cold_from: 0.23 cold_s: 3 } }
`

// A partition, in both directions or in one, lies over the end of an outage. Both sides go on, meet again, and agree that it is
// over.
func TestPartition(t *testing.T) {
	for name, both := range map[string]string{"both ways": "both: true", "one way": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, `relays: 6 seed: 11 length_s: 6 load { rate: 90 status: 0.4 retries: 1 }`+two+`
at { at_s: 2 links { from: "r0-r2" to: "r3-r5" cut: true `+both+` } } at { at_s: 5 heal: true }`, heal(t))
			if n := r.Answered(r.fleet.Scenario.Partner[1], 0, 1e3)[200]; n == 0 {
				t.Error("the partner that was out was never called again")
			}
		})
	}
}

// A relay is stopped for ten seconds under load and wakes to old news: outages and waits that are over. It holds nothing for them, and is a
// member again.
func TestStopped(t *testing.T) {
	t.Parallel()
	var after fleet.Figures
	r := play(t, `relays: 4 seed: 12 length_s: 14 load { rate: 60 status: 0.4 }`+two+`
at { at_s: 1 stop { party: "r2" } } at { at_s: 11 go { party: "r2" } }`, func(f *Fleet) {
		heal(t)(f)
		after, _ = f.Figures(2)
	})
	if after.Spread.Late == 0 {
		t.Error("no packet came late: the test caused no old news")
	}
	late := 0
	for i, c := range r.Calls {
		if r.Relays[i] == 2 && c.Arrived.Sub(r.begun) > 11500*time.Millisecond && c.Status == 200 {
			late++
		}
	}
	if late == 0 {
		t.Error("the relay that was stopped delivered nothing after it woke")
	}
}

// A peer with the fleet's key says that all partners are out, that all told waits of a minute, and that all members leave and are
// banned. The relays go on.
func TestLiar(t *testing.T) {
	t.Parallel()
	var members int
	r := play(t, `relays: 4 seed: 13 length_s: 6 load { rate: 60 status: 0.4 }
partner { name: "p" destination: 0 endpoints: 2 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
partner { name: "q" destination: 1 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
at { at_s: 0.5 lies { all_out: true all_wait: true all_drain: true all_banned: true } }`, func(f *Fleet) {
		g, _ := f.Figures(0)
		members = g.Members
	})
	if members != 5 {
		t.Errorf("%d members: the liar is none of them", members)
	}
	if r.Worth < 0.9 { // four relays and partners with room for all: alone nothing is late
		t.Errorf("%.3f of the worth was served", r.Worth)
	}
}

// Packets of a relay are kept and sent again after it was started anew. They are dropped as what they are.
func TestReplayed(t *testing.T) {
	t.Parallel()
	play(t, `relays: 3 seed: 14 length_s: 5 load { rate: 40 status: 0.4 }`+two+`
at { at_s: 0 listen { from: "r1" to: "r0" } } at { at_s: 2.5 kill { party: "r1" } } at { at_s: 2.7 start { party: "r1" } }`, func(f *Fleet) {
		if err := f.Assembled(time.Now().Add(60 * time.Second)); err != nil {
			t.Fatal(err)
		}
		replayed := func(g fleet.Figures) int64 { return g.Drops.Replayed }
		before := f.sum(replayed)
		if n := f.Net.Replay("r1", "r0"); n == 0 {
			t.Fatal("nothing was kept")
		}
		for end := time.Now().Add(20 * time.Second); f.sum(replayed) == before; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("nothing was dropped as replayed")
			}
		}
		heal(t)(f)
	})
}

// All relays are killed at once under load and started again: none is lost to the others, and each speaks as a new one.
func TestAllRestarted(t *testing.T) {
	t.Parallel()
	play(t, `relays: 6 seed: 15 length_s: 6 load { rate: 90 status: 0.4 retries: 1 }`+two+`
at { at_s: 2 kill { party: "relays" } } at { at_s: 2.5 start { party: "relays" } }`, func(f *Fleet) {
		heal(t)(f)
		for i := range f.seats {
			if log := f.Process(i).Log(); !strings.Contains(log, `"incarnation":2`) {
				t.Errorf("r%d does not count its second start", i)
			}
		}
	})
}

// Half of the relays have no fleet part, as a build before there was one. They are alone, and the others a fleet.
func TestHalfWithoutFleet(t *testing.T) {
	t.Parallel()
	play(t, `relays: 6 without_fleet: 3 seed: 16 length_s: 5 load { rate: 90 status: 0.4 }`+two, func(f *Fleet) {
		heal(t)(f)
		if g, _ := f.Figures(0); g.Members != 3 {
			t.Errorf("%d members", g.Members)
		}
	})
}

// The fleet's key changes relay by relay under load: first all open with the new one, then all seal with it, then the old one goes.
// Nothing is dropped, and nobody lost.
func TestKeyChanged(t *testing.T) {
	t.Parallel()
	var at strings.Builder
	s := 0.3
	for _, keys := range []string{"key: 0 key: 1", "key: 1 key: 0", "key: 1"} {
		for i := range 4 {
			fmt.Fprintf(&at, "at { at_s: %.1f keys { relay: \"r%d\" %s } }\n", s, i, keys)
			s += 0.3
		}
	}
	play(t, `relays: 4 seed: 17 length_s: 5 load { rate: 60 status: 0.4 }`+two+at.String(), func(f *Fleet) {
		heal(t)(f)
		if n := f.sum(func(g fleet.Figures) int64 { return g.Drops.Forged }); n != 0 {
			t.Errorf("%d dropped for their seal", n)
		}
		for i := range f.seats {
			if log := f.Process(i).Log(); strings.Count(log, "fleet keys taken over") != 3 {
				t.Errorf("r%d did not take over the keys three times", i)
			}
		}
	})
}

// Discovery tells one relay alone of a drain, for the others are cut off from it: they hear it from that one, and send nothing new
// there later than the grace and the bound after it was told.
func TestDrainThatOneHasHeard(t *testing.T) {
	t.Parallel()
	r := play(t, `relays: 5 seed: 18 length_s: 6 load { rate: 80 status: 0.4 }
partner { name: "p" destination: 0 endpoints: 2 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
at { at_s: 0.5 links { from: "r1-r4" to: "discovery" both: true cut: true } } at { at_s: 1.5 drain: "p-0" }`, nil)
	after := map[int]int{}
	for i, c := range r.Calls {
		if c.Member == "p-0" && c.First.Sub(r.begun) > 3500*time.Millisecond {
			after[r.Relays[i]]++
		}
	}
	if len(after) > 0 {
		t.Errorf("calls to the drained endpoint 2 s after one relay was told, by relay: %v", after)
	}
}

// With three packets of ten lost between all relays, news still comes through.
func TestLoss(t *testing.T) {
	t.Parallel()
	r := play(t, `relays: 6 seed: 19 length_s: 7 load { rate: 90 status: 0.4 }`+two+`
at { at_s: 0 links { from: "relays" to: "relays" loss: 0.3 duplicate: 0.05 reorder: 0.1 corrupt: 0.02 delay_ms: 5 jitter_ms: 10 } }`, heal(t))
	news := int64(0)
	for _, g := range r.Figures {
		news += g.Spread.NewStatements
	}
	if news == 0 || r.fleet.Net.Lost.Load() == 0 {
		t.Errorf("%d news, %d packets lost: the test caused nothing", news, r.fleet.Net.Lost.Load())
	}
}

// A scenario that makes no sense is told with its file and field, or line.
func TestBadScenarios(t *testing.T) {
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
			t.Errorf("%s: %v, not %q", text, err, want)
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
	if c := Capacity(p, 0, 3); c < 174 || c > 176 {
		t.Errorf("capacity %v, not 100 + 0 + 75", c)
	}
}
