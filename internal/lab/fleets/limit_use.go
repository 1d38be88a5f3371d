package fleets

import (
	"fmt"
	"io"
	"sort"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/lab/fleets/labv1"
)

// startupSeconds is the start of a load, in seconds, in which the fleet is not held to the bound: the relays have not yet read a limit.
const startupSeconds = 3.0

// CallWindows are the lengths of the windows in which calls are counted against the bound.
var CallWindows = []time.Duration{250 * time.Millisecond, time.Second, 10 * time.Second}

// WindowUse is a window in which the calls to a partner are counted.
type WindowUse struct {
	Window      time.Duration
	FromSeconds float64 // start of the window, in seconds of the load
	Calls       int
	LimitCalls  float64 // calls that the partner's limit allows in the window
	BoundCalls  float64 // calls that the division of the limit allows in the window
}

// FullestWindows finds, for each length, the window whose calls are nearest to its bound. After the limit falls, the previous limit
// counts for one lease and one heartbeat interval: until then, relays may not know the new limit.
func (r *Report) FullestWindows(p *labv1.Partner) (list []WindowUse) {
	var at []float64
	for _, c := range r.Calls {
		if second := c.Arrived.Sub(r.loadStart).Seconds(); c.Dest == int(p.Destination) && second >= startupSeconds {
			at = append(at, second)
		}
	}
	n := len(r.fleet.nodes)
	cfg := allowance.DefaultConfig(n, 2)
	// staleTime is how long relays may use the previous limit after the limit has fallen.
	staleTime := cfg.LeaseDuration + cfg.HeartbeatInterval
	for _, w := range CallWindows {
		fullest := WindowUse{Window: w}
		for i, from := range at {
			to := from + w.Seconds()
			if to > r.fleet.Scenario.LengthS {
				break
			}
			if r.anyRelayAlone(from, to) {
				continue
			}
			e := WindowUse{Window: w, FromSeconds: from, Calls: sort.SearchFloat64s(at, to) - i, LimitCalls: CallCapacity(p, from, to)}
			if maxRate, staleMaxRate := highestRate(p, from, to), highestRate(p, from-staleTime.Seconds(), to); maxRate > 0 {
				// The limit may change within a window. The window then allows the calls of the limit at each moment, and the
				// difference between the two limits during staleTime.
				e.BoundCalls = allowance.Bound(maxRate, n, w) - maxRate*w.Seconds() + e.LimitCalls + (staleMaxRate-lowestRate(p, from, to))*min(w, staleTime).Seconds()
			}
			e.BoundCalls += r.resumedCalls(from, to)
			if e.BoundCalls > 0 && (fullest.BoundCalls == 0 || float64(e.Calls)/e.BoundCalls > float64(fullest.Calls)/fullest.BoundCalls) {
				fullest = e
			}
		}
		list = append(list, fullest)
	}
	return list
}

// resumedCalls returns the highest number of calls that stopped processes had already permitted and may send when they resume in a
// window.
func (r *Report) resumedCalls(from, to float64) (calls float64) {
	for _, e := range r.fleet.Scenario.At {
		if e.AtS >= from && e.AtS < to {
			calls += float64(len(expandParties(r.fleet.Scenario, e.GetGo().GetParty())) * r.fleet.Deployment.Config.MaxCalls)
		}
	}
	return calls
}

// anyRelayAlone reports whether a restarted relay had not yet received anything from other relays in a part of a window. Such a relay
// decides alone, and the bound of the fleet does not apply to it.
func (r *Report) anyRelayAlone(from, to float64) bool {
	for _, node := range r.fleet.nodes {
		node.mu.Lock()
		spans := node.aloneSpans
		node.mu.Unlock()
		for _, span := range spans {
			if span[0].Sub(r.loadStart).Seconds() < to && span[1].Sub(r.loadStart).Seconds() > from {
				return true
			}
		}
	}
	return false
}

// recordAloneSpan records the time from the start of a relay until it knows another member, and allocationDelay more, in which the
// relay receives its allocations.
func (f *Fleet) recordAloneSpan(node *relayNode, from time.Time) {
	const allocationDelay = 300 * time.Millisecond
	for f.fleetSize() > 1 && node.alive() {
		if metrics, err := f.fetchMetrics(node); err == nil && metrics.Members > 1 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.aloneSpans = append(node.aloneSpans, [2]time.Time{from, time.Now().Add(allocationDelay)})
}

// fleetSize returns the number of relays that have a fleet part.
func (f *Fleet) fleetSize() int { return int(f.Scenario.Relays - f.Scenario.WithoutFleet) }

// highestRate returns the highest limit of a partner in a span of the load, in calls a second.
func highestRate(p *labv1.Partner, from, to float64) (maxRate float64) {
	for i, ph := range p.Phase {
		if ph.FromS < to && (i+1 == len(p.Phase) || p.Phase[i+1].FromS > from) {
			maxRate = max(maxRate, ph.Rate)
		}
	}
	return maxRate
}

// lowestRate returns the lowest limit of a partner in a span of the load, in calls a second.
func lowestRate(p *labv1.Partner, from, to float64) (minRate float64) {
	minRate = highestRate(p, from, to)
	for i, ph := range p.Phase {
		if ph.FromS < to && (i+1 == len(p.Phase) || p.Phase[i+1].FromS > from) {
			minRate = min(minRate, ph.Rate)
		}
	}
	return minRate
}

// AcceptedShares returns the share of its submissions that the first relay accepted, and the share that all other relays accepted.
func (r *Report) AcceptedShares() (first, others float64) {
	offered, accepted := r.fleet.Deployment.Ledger.AcceptedByRelay()
	var offeredCounts, acceptedCounts [2]int
	for relay, n := range offered {
		i := min(relay, 1)
		offeredCounts[i] += n
		acceptedCounts[i] += accepted[relay]
	}
	return float64(acceptedCounts[0]) / float64(max(offeredCounts[0], 1)), float64(acceptedCounts[1]) / float64(max(offeredCounts[1], 1))
}

// printLimitUse writes the answered calls by second and the fullest windows of a partner with a limit.
func (r *Report) printLimitUse(w io.Writer, p *labv1.Partner) {
	if highestRate(p, 0, r.fleet.Scenario.LengthS) <= 0 {
		return
	}
	fmt.Fprintf(w, "\tcalls answered (and refused) by seconds:")
	for second := 0.0; second+1 <= r.fleet.Scenario.LengthS; second++ {
		n := r.CallsByStatus(p, second, second+1)
		if fmt.Fprintf(w, " %d", n[200]); n[429]+n[503] > 0 {
			fmt.Fprintf(w, "(%d)", n[429]+n[503])
		}
	}
	fmt.Fprintln(w)
	for _, e := range r.FullestWindows(p) {
		fmt.Fprintf(w, "\tfullest %v: at %.2f s, %d calls; the limit comes to %.0f, the bound to %.0f\n", e.Window, e.FromSeconds, e.Calls, e.LimitCalls, e.BoundCalls)
	}
}
