package fleets

import (
	"fmt"
	"io"
	"sort"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/lab/fleets/labv1"
)

// settled is how long after the beginning of a load a fleet is held to the bound: before, no relay has read a limit.
const settled = 3.0

// Windows are those in which calls are counted against the bound.
var Windows = []time.Duration{250 * time.Millisecond, time.Second, 10 * time.Second}

// Excess is the fullest of all windows of a length, as against the bound there.
type Excess struct {
	Window time.Duration
	At     float64 // seconds of the load at which it begins
	Calls  int
	Limit  float64 // calls that the partner's limit comes to in it
	Bound  float64 // calls that the relays may make
}

// Excesses finds, for each length, the window that is nearest to its bound. Where the limit fell, the one before counts until
// relays can have heard of the new one: a lease and a heartbeat interval.
func (r *Report) Excesses(p *labv1.Partner) (list []Excess) {
	var at []float64
	for _, c := range r.Calls {
		if s := c.Arrived.Sub(r.begun).Seconds(); c.Dest == int(p.Destination) && s >= settled {
			at = append(at, s)
		}
	}
	n := len(r.fleet.seats)
	cfg := allowance.DefaultConfig(n, 2)
	// staleTime is how long relays may keep to a limit after it has fallen.
	staleTime := cfg.LeaseDuration + cfg.HeartbeatInterval
	for _, w := range Windows {
		worst := Excess{Window: w}
		for i, from := range at {
			to := from + w.Seconds()
			if to > r.fleet.Scenario.LengthS {
				break
			}
			if r.alone(from, to) {
				continue
			}
			e := Excess{Window: w, At: from, Calls: sort.SearchFloat64s(at, to) - i, Limit: Capacity(p, from, to)}
			if most, stale := highest(p, from, to), highest(p, from-staleTime.Seconds(), to); most > 0 {
				// A window may span a change: what is allowed in it is what the limit comes to, and the difference while it is stale.
				e.Bound = allowance.Bound(most, n, w) - most*w.Seconds() + e.Limit + (stale-lowest(p, from, to))*min(w, staleTime).Seconds()
			}
			e.Bound += r.held(from, to)
			if e.Bound > 0 && (worst.Bound == 0 || float64(e.Calls)/e.Bound > float64(worst.Calls)/worst.Bound) {
				worst = e
			}
		}
		list = append(list, worst)
	}
	return list
}

// held is how many calls processes that were stopped may have had in hand and written when they woke, in a window.
func (r *Report) held(from, to float64) (calls float64) {
	for _, e := range r.fleet.Scenario.At {
		if e.AtS >= from && e.AtS < to {
			calls += float64(len(all(r.fleet.Scenario, e.GetGo().GetParty())) * r.fleet.D.Place.MaxCalls)
		}
	}
	return calls
}

// alone says whether some relay that had started again had not heard of the others yet in a window: it decides as one alone then, and
// no bound of the fleet's holds for it.
func (r *Report) alone(from, to float64) bool {
	for _, s := range r.fleet.seats {
		s.mu.Lock()
		lone := s.lone
		s.mu.Unlock()
		for _, l := range lone {
			if l[0].Sub(r.begun).Seconds() < to && l[1].Sub(r.begun).Seconds() > from {
				return true
			}
		}
	}
	return false
}

// meets notes until when a relay that has started again has heard of nobody, and a moment more, in which it is told its parts.
func (f *Fleet) meets(s *seat, from time.Time) {
	const told = 300 * time.Millisecond
	for f.fleetOf() > 1 && s.alive() {
		if g, err := f.figures(s); err == nil && g.Members > 1 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lone = append(s.lone, [2]time.Time{from, time.Now().Add(told)})
}

// fleetOf counts the relays that have a fleet part.
func (f *Fleet) fleetOf() int { return int(f.Scenario.Relays - f.Scenario.WithoutFleet) }

func highest(p *labv1.Partner, from, to float64) (most float64) {
	for i, ph := range p.Phase {
		if ph.FromS < to && (i+1 == len(p.Phase) || p.Phase[i+1].FromS > from) {
			most = max(most, ph.Rate)
		}
	}
	return most
}

func lowest(p *labv1.Partner, from, to float64) (least float64) {
	least = highest(p, from, to)
	for i, ph := range p.Phase {
		if ph.FromS < to && (i+1 == len(p.Phase) || p.Phase[i+1].FromS > from) {
			least = min(least, ph.Rate)
		}
	}
	return least
}

// TakenOn is the share of its hand-ins that the first relay took on, and that of all others.
func (r *Report) TakenOn() (first, others float64) {
	offered, taken := r.fleet.D.Ledger.Taken()
	var o, t [2]int
	for relay, n := range offered {
		i := min(relay, 1)
		o[i] += n
		t[i] += taken[relay]
	}
	return float64(t[0]) / float64(max(o[0], 1)), float64(t[1]) / float64(max(o[1], 1))
}

// limits writes how a partner's limit was used.
func (r *Report) limits(w io.Writer, p *labv1.Partner) {
	if highest(p, 0, r.fleet.Scenario.LengthS) <= 0 {
		return
	}
	fmt.Fprintf(w, "\tcalls answered (and refused) by seconds:")
	for s := 0.0; s+1 <= r.fleet.Scenario.LengthS; s++ {
		n := r.Answered(p, s, s+1)
		if fmt.Fprintf(w, " %d", n[200]); n[429]+n[503] > 0 {
			fmt.Fprintf(w, "(%d)", n[429]+n[503])
		}
	}
	fmt.Fprintln(w)
	for _, e := range r.Excesses(p) {
		fmt.Fprintf(w, "\tfullest %v: at %.2f s, %d calls; the limit comes to %.0f, the bound to %.0f\n", e.Window, e.At, e.Calls, e.Limit, e.Bound)
	}
}
