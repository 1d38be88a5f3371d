// Package fleets runs many real relays of one fleet round stand-in partners, with a fault injector on every link between
// processes and a timeline of faults, and judges what came of every message, over the whole fleet.
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

// Parse reads a scenario's text.
func Parse(path string, raw []byte) (*labv1.FleetScenario, error) {
	sc := &labv1.FleetScenario{}
	if err := prototext.Unmarshal(raw, sc); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\u00a0", " "), "proto: "))
	}
	if err := check(sc); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return sc, nil
}

const (
	mostRelays = 500
	mostLength = 600.0
)

func check(sc *labv1.FleetScenario) error {
	var errs []error
	no := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if sc.Relays < 1 || sc.Relays > mostRelays {
		no("relays: %d is not within 1 to %d", sc.Relays, mostRelays)
	}
	if sc.WithoutFleet < 0 || sc.WithoutFleet > sc.Relays {
		no("without_fleet: %d is not within 0 and the relays", sc.WithoutFleet)
	}
	if !(sc.LengthS > 0) || sc.LengthS > mostLength {
		no("length_s: %v is not within 0 to %v", sc.LengthS, mostLength)
	}
	if l := sc.Load; l == nil || !(l.Rate > 0) || l.Rate > 1e5 || l.Hot < 0 || l.Hot > 1 || l.Status < 0 || l.Status > 1 || l.Honour < 0 || l.Honour > 1 || l.JumpS < 0 || l.JumpS > 0 && l.JumpS < 0.1 {
		no("load: a rate up to 100,000 and shares within 0 to 1 are wanted")
	}
	if len(sc.Partner) == 0 {
		no("partner: there is none")
	}
	names := map[string]bool{"discovery": true, "relays": true, "partners": true}
	for i, p := range sc.Partner {
		if p.Name == "" || names[p.Name] || strings.ContainsAny(p.Name, " /") {
			no("partner[%d].name: %q is missing, or taken", i, p.Name)
		}
		names[p.Name] = true
		if len(p.Phase) == 0 {
			no("partner[%d].phase: there is none", i)
		}
		for j, ph := range p.Phase {
			if j > 0 && ph.FromS <= p.Phase[j-1].FromS || j == 0 && ph.FromS != 0 {
				no("partner[%d].phase[%d].from_s: the first begins at 0, each later than the one before", i, j)
			}
			if !(ph.Rate >= 0) || !(ph.LatencyMs >= 0) || !(ph.WaitMs >= 0) || !(ph.ErrorRate >= 0 && ph.ErrorRate <= 1) || !(ph.ColdS >= 0) ||
				!(ph.ColdFrom >= 0 && ph.ColdFrom <= 1) {
				no("partner[%d].phase[%d]: a figure is negative, or a share over 1", i, j)
			}
		}
	}
	last := 0.0
	for i, e := range sc.At {
		if e.What == nil {
			no("at[%d]: nothing happens", i)
		}
		if !(e.AtS >= last) || math.IsInf(e.AtS, 0) {
			no("at[%d].at_s: %v comes before the one above", i, e.AtS)
		}
		last = e.AtS
		for field, list := range map[string][]string{"links.from": e.GetLinks().GetFrom(), "links.to": e.GetLinks().GetTo(), "stop.party": e.GetStop().GetParty(),
			"go.party": e.GetGo().GetParty(), "kill.party": e.GetKill().GetParty(), "start.party": e.GetStart().GetParty(), "keys.relay": e.GetKeys().GetRelay()} {
			for _, name := range list {
				if _, err := parties(sc, name); err != nil {
					no("at[%d].%s: %v", i, field, err)
				}
			}
		}
	}
	return errors.Join(errs...)
}

// endpoints are the names of a partner's.
func endpoints(p *labv1.Partner) []string {
	if p.Endpoints <= 1 {
		return []string{p.Name}
	}
	var names []string
	for i := range p.Endpoints {
		names = append(names, fmt.Sprintf("%s-%d", p.Name, i))
	}
	return names
}

func relayNames(sc *labv1.FleetScenario) (names []string) {
	for i := range sc.Relays {
		names = append(names, fmt.Sprint("r", i))
	}
	return names
}

// parties are those that a name stands for.
func parties(sc *labv1.FleetScenario, name string) ([]string, error) {
	relays := relayNames(sc)
	var ends []string
	for _, p := range sc.Partner {
		ends = append(ends, endpoints(p)...)
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
	return nil, fmt.Errorf("%q is no relay, endpoint or range of relays", name)
}

func all(sc *labv1.FleetScenario, names []string) (list []string) {
	for _, n := range names {
		more, _ := parties(sc, n) // checked when the scenario was read
		list = append(list, more...)
	}
	return list
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// life is a partner's, for one of its endpoints.
func life(p *labv1.Partner) (list []partner.Phase) {
	for _, ph := range p.Phase {
		list = append(list, partner.Phase{From: seconds(ph.FromS), Mode: partner.Mode(ph.Mode), Latency: partner.Latency{Mean: millis(ph.LatencyMs), CV: ph.Cv},
			Rate: ph.Rate, Wait: millis(ph.WaitMs), ErrorRate: ph.ErrorRate, Cold: seconds(ph.ColdS), ColdFrom: ph.ColdFrom})
	}
	return list
}

// Capacity is how many calls a partner took in a span of its script, at its limit: what a fleet that knew everything could have
// had answered. 0 where it has no limit.
func Capacity(p *labv1.Partner, from, to float64) (calls float64) {
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
