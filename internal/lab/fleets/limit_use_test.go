package fleets

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"slatemux/internal/allowance"
)

// Guards against relays that together exceed the limit of a destination under the faults of issue 24. Whatever is partitioned, killed
// or stopped, the relays must stay within the bound of docs/fleet-limits.md and keep delivering. On a busy machine calls arrive in
// bursts: the test tolerates a tenth of a second of the limit for them.
func TestLimitBoundUnderFaults(t *testing.T) {
	const relays = 8
	var names []string
	for i := range relays {
		names = append(names, fmt.Sprintf("r%d", i))
	}
	owner := allowance.OwnerOf(0, names)
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == owner })
	party := func(list ...string) string { return `"` + strings.Join(list, `" "`) + `"` }
	repeatedField := func(field string, list []string) (text string) {
		for _, n := range list {
			text += field + `: "` + n + `" `
		}
		return text
	}
	partition := func(at float64, side []string) string {
		otherSide := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(side, n) })
		return fmt.Sprintf("at { at_s: %v links { %s %s both: true cut: true } }\n", at, repeatedField("from", side), repeatedField("to", otherSide))
	}
	const load, heal = `load { rate: 130 hot: 0.5 status: 0.4 }`, "at { at_s: 9 heal: true }\n"
	const steady = `phase { rate: 100 latency_ms: 15 cv: 0.5 wait_ms: 300 }`
	for name, c := range map[string]struct{ load, phases, at string }{
		"six of eight join at once":                     {load, steady, "at { at_s: 0.5 kill { " + repeatedField("party", others[:6]) + "} }\nat { at_s: 4 start { " + repeatedField("party", others[:6]) + "} }"},
		"a limit of two a second":                       {`load { rate: 4 status: 0.4 }`, `phase { rate: 2 latency_ms: 15 cv: 0.5 wait_ms: 300 }`, ""},
		"one relay without a fleet part":                {load + " without_fleet: 1", steady, ""},
		"the owner is killed and restarts after 3 s":    {load, steady, "at { at_s: 4 kill { party: " + party(owner) + " } }\nat { at_s: 7 start { party: " + party(owner) + " } }"},
		"the owner is killed and restarts at once":      {load, steady, "at { at_s: 4 kill { party: " + party(owner) + " } }\nat { at_s: 4.1 start { party: " + party(owner) + " } }"},
		"the owner is in the minority of a partition":   {load, steady, partition(4, []string{owner, others[0]}) + heal},
		"the owner is in the majority of a partition":   {load, steady, partition(4, others[:2]) + heal},
		"a partition into halves":                       {load, steady, partition(4, others[:4]) + heal},
		"a holder is stopped for longer than its lease": {load, steady, "at { at_s: 4 stop { party: " + party(others[0]) + " } }\nat { at_s: 8 go { party: " + party(others[0]) + " } }"},
		"the limit falls to a quarter in a partition": {load, steady + `phase { from_s: 5 rate: 25 latency_ms: 15 cv: 0.5 wait_ms: 300 }
  phase { from_s: 9 rate: 100 latency_ms: 15 cv: 0.5 wait_ms: 300 }`, partition(4, others[:4]) + heal},
		"the relay with most of the load changes each second": {`load { rate: 130 hot: 0.7 status: 0.4 jump_s: 1 }`, steady, ""},
		"all relays restart": {load, steady, `at { at_s: 4 kill { party: "relays" } } at { at_s: 4.5 start { party: "relays" } }`},
		"packet loss":        {load, steady, `at { at_s: 0 links { from: "relays" to: "relays" loss: 0.2 duplicate: 0.05 reorder: 0.1 delay_ms: 5 jitter_ms: 20 } }`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, fmt.Sprintf("relays: %d seed: 24 length_s: 13 %s\npartner { name: \"p\" destination: 0 %s }\n%s", relays, c.load, c.phases, c.at), nil)
			p := r.fleet.Scenario.Partner[0]
			for _, e := range r.FullestWindows(p)[1:] {
				if float64(e.Calls) > e.BoundCalls+highestRate(p, e.FromSeconds, e.FromSeconds+e.Window.Seconds())/10 {
					t.Errorf("%d calls in the %v from %.2f s, bound %.0f", e.Calls, e.Window, e.FromSeconds, e.BoundCalls)
				}
			}
			if n := r.CallsByStatus(p, 10, 13)[200]; float64(n) < highestRate(p, 10, 13) {
				t.Errorf("only %d calls were answered in the last 3 s", n)
			}
			claims := int64(0)
			for _, g := range r.Metrics {
				claims += g.AllowanceCounters.Claims
			}
			if claims == 0 {
				t.Error("no relay sent a claim")
			}
			var text strings.Builder
			r.printLimitUse(&text, p)
			t.Log(text.String())
		})
	}
}
