// Package fleets runs a fleet of real relay processes with stand-in partners, a fault injector on each link between processes and a
// timeline of faults. It then evaluates what happened to each message, over the whole fleet.
package fleets

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"slatemux/internal/lab/fleets/labv1"
	"slatemux/internal/lab/partner"
)

//go:generate protoc -I ../../../proto --go_out=../../.. --go_opt=module=slatemux ../../../proto/slatemux/lab/v1/fleet.proto

// Load reads a scenario. Errors name the file, and the line or the field.
func Load(path string) (*labv1.FleetScenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a scenario from its text. Errors name the path, and the line or the field.
func Parse(path string, raw []byte) (*labv1.FleetScenario, error) {
	sc := &labv1.FleetScenario{}
	if err := prototext.Unmarshal(raw, sc); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto: "))
	}
	if err := validate(sc); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return sc, nil
}

const (
	maxRelays        = 500
	maxLengthSeconds = 600.0
)

// validate returns an error for each invalid field of a scenario.
func validate(sc *labv1.FleetScenario) error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if sc.Relays < 1 || sc.Relays > maxRelays {
		addError("relays: %d is not within 1 to %d", sc.Relays, maxRelays)
	}
	if sc.WithoutFleet < 0 || sc.WithoutFleet > sc.Relays {
		addError("without_fleet: %d is not within 0 and the number of relays", sc.WithoutFleet)
	}
	if !(sc.LengthS > 0) || sc.LengthS > maxLengthSeconds {
		addError("length_s: %v is not within 0 to %v", sc.LengthS, maxLengthSeconds)
	}
	if l := sc.Load; l == nil || !(l.Rate > 0) || l.Rate > 1e5 || l.Hot < 0 || l.Hot > 1 || l.Status < 0 || l.Status > 1 || l.Honour < 0 || l.Honour > 1 || l.JumpS < 0 || l.JumpS > 0 && l.JumpS < 0.1 {
		addError("load: the rate must be above 0 and at most 100,000, each share within 0 to 1, and jump_s 0 or at least 0.1")
	}
	if len(sc.Partner) == 0 {
		addError("partner: the scenario has no partner")
	}
	names := map[string]bool{"discovery": true, "relays": true, "partners": true}
	for i, p := range sc.Partner {
		if p.Name == "" || names[p.Name] || strings.ContainsAny(p.Name, " /") {
			addError("partner[%d].name: %q is empty, invalid or already used", i, p.Name)
		}
		names[p.Name] = true
		if len(p.Phase) == 0 {
			addError("partner[%d].phase: the partner has no phase", i)
		}
		for j, ph := range p.Phase {
			if j > 0 && ph.FromS <= p.Phase[j-1].FromS || j == 0 && ph.FromS != 0 {
				addError("partner[%d].phase[%d].from_s: the first phase must begin at 0, each further phase after the previous one", i, j)
			}
			if !(ph.Rate >= 0) || !(ph.LatencyMs >= 0) || !(ph.WaitMs >= 0) || !(ph.ErrorRate >= 0 && ph.ErrorRate <= 1) || !(ph.ColdS >= 0) ||
				!(ph.ColdFrom >= 0 && ph.ColdFrom <= 1) {
				addError("partner[%d].phase[%d]: a value is negative, or a share is above 1", i, j)
			}
		}
	}
	last := 0.0
	for i, e := range sc.At {
		if e.What == nil {
			addError("at[%d]: nothing happens", i)
		}
		if !(e.AtS >= last) || math.IsInf(e.AtS, 0) {
			addError("at[%d].at_s: %v is before the previous event, or not finite", i, e.AtS)
		}
		last = e.AtS
		for field, list := range map[string][]string{"links.from": e.GetLinks().GetFrom(), "links.to": e.GetLinks().GetTo(), "stop.party": e.GetStop().GetParty(),
			"go.party": e.GetGo().GetParty(), "kill.party": e.GetKill().GetParty(), "start.party": e.GetStart().GetParty(), "keys.relay": e.GetKeys().GetRelay()} {
			for _, name := range list {
				if _, err := expandParty(sc, name); err != nil {
					addError("at[%d].%s: %v", i, field, err)
				}
			}
		}
	}
	return errors.Join(errs...)
}

// endpointNames returns the names of a partner's endpoints.
func endpointNames(p *labv1.Partner) []string {
	if p.Endpoints <= 1 {
		return []string{p.Name}
	}
	var names []string
	for i := range p.Endpoints {
		names = append(names, fmt.Sprintf("%s-%d", p.Name, i))
	}
	return names
}

// relayNames returns the names of all relays of a scenario.
func relayNames(sc *labv1.FleetScenario) (names []string) {
	for i := range sc.Relays {
		names = append(names, fmt.Sprint("r", i))
	}
	return names
}

// expandParty returns the parties that a name stands for: one party, all relays, all partner endpoints, or a range of relays.
func expandParty(sc *labv1.FleetScenario, name string) ([]string, error) {
	relays := relayNames(sc)
	var ends []string
	for _, p := range sc.Partner {
		ends = append(ends, endpointNames(p)...)
	}
	switch {
	case name == "relays":
		return relays, nil
	case name == "partners":
		return ends, nil
	case name == "discovery" || slices.Contains(relays, name) || slices.Contains(ends, name):
		return []string{name}, nil
	}
	if a, b, ok := strings.Cut(name, "-"); ok {
		from, err1 := strconv.Atoi(strings.TrimPrefix(a, "r"))
		to, err2 := strconv.Atoi(strings.TrimPrefix(b, "r"))
		if err1 == nil && err2 == nil && from >= 0 && from <= to && to < len(relays) && a[0] == 'r' && b[0] == 'r' {
			return relays[from : to+1], nil
		}
	}
	return nil, fmt.Errorf("%q is not a relay, an endpoint or a range of relays", name)
}

// expandParties returns the parties that the names stand for.
func expandParties(sc *labv1.FleetScenario, names []string) (list []string) {
	for _, n := range names {
		more, _ := expandParty(sc, n) // validate has checked the names
		list = append(list, more...)
	}
	return list
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// partnerPhases returns the script of one endpoint of a partner.
func partnerPhases(p *labv1.Partner) (list []partner.Phase) {
	for _, ph := range p.Phase {
		list = append(list, partner.Phase{From: seconds(ph.FromS), Mode: partner.Mode(ph.Mode), Latency: partner.Latency{Mean: milliseconds(ph.LatencyMs), CV: ph.Cv},
			Rate: ph.Rate, Wait: milliseconds(ph.WaitMs), ErrorRate: ph.ErrorRate, Cold: seconds(ph.ColdS), ColdFrom: ph.ColdFrom})
	}
	return list
}

// CallCapacity returns how many calls a partner's limit allows in a span of its script, in seconds: the number of answered calls that
// a fleet with perfect knowledge could reach. It returns 0 for a partner without a limit.
func CallCapacity(p *labv1.Partner, from, to float64) (calls float64) {
	const step = 0.01
	for t := from; t < to; t += step {
		var now *labv1.Phase
		for _, ph := range p.Phase {
			if ph.FromS <= t {
				now = ph
			}
		}
		if now.Mode != labv1.Mode_SERVING {
			continue
		}
		rate := now.Rate
		if age := t - now.FromS; now.ColdS > 0 && age < now.ColdS {
			rate *= now.ColdFrom + (1-now.ColdFrom)*age/now.ColdS
		}
		calls += rate * step
	}
	return calls
}
