package fleets

import (
	"fmt"
	"io"
	"sort"
	"time"

	"wrenford/internal/allowance"
	"wrenford/internal/lab/fleets/labv1"
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
// relays can have heard of the new one: as long as a lease and a telling.
func (r *Report) Excesses(p *labv1.Partner) (list []Excess) {
	var at []float64
	for _, c := range r.Calls {
		if s := c.Arrived.Sub(r.begun).Seconds(); c.Dest == int(p.Destination) && s >= settled {
			at = append(at, s)
		}
	}
	n := len(r.fleet.seats)
	terms := allowance.Usual(n, 2)
	for _, w := range Windows {
		worst := Excess{Window: w}
		for i, from := range at {
			to := from + w.Seconds()
			if to > r.fleet.Scenario.LengthS {
				break
			}
			e := Excess{Window: w, At: from, Calls: sort.SearchFloat64s(at, to) - i, Limit: Capacity(p, from, to)}
			if most, stale := highest(p, from, to), highest(p, from-(terms.Lease+terms.Every).Seconds(), to); most > 0 {
				// A window may span a change: what is allowed in it is what the limit comes to, and the difference while it is stale.
				e.Bound = allowance.Bound(most, n, w) - most*w.Seconds() + e.Limit + (stale-lowest(p, from, to))*min(w, terms.Lease+terms.Every).Seconds()
			}
			e.Bound += r.held(from, to) + r.alone(p, from, to)
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

// alone is what relays that start again may spend before they have heard of the others: each decides as one alone, with its own share
// of what a destination has room for, for so long as it takes them to meet.
func (r *Report) alone(p *labv1.Partner, from, to float64) (calls float64) {
	const room, meet = 2.0, 1.0 // seconds
	for _, e := range r.fleet.Scenario.At {
		if started := len(all(r.fleet.Scenario, e.GetStart().GetParty())); e.AtS > from-meet && e.AtS < to {
			calls += float64(started) / float64(len(r.fleet.seats)) * highest(p, e.AtS, e.AtS+meet) * (room + meet)
		}
	}
	return calls
}

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
