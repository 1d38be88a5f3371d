package allowance_test

import (
	"slices"
	"testing"
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/lab/limits"
)

const tick = 10 * time.Millisecond

func newSimulation(t *testing.T, relays int, seed uint64) *limits.Simulation {
	t.Helper()
	x, err := limits.New(relays, 200, seed)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Whatever the loads, nearly all of a limit is used, and no more than it is dealt out.
func TestAllOfALimitIsUsed(t *testing.T) {
	for _, relays := range []int{3, 8, 60} {
		for seed := range uint64(3) {
			for what, load := range map[string]limits.LoadFunc{"even": limits.ConstantLoad(1, 260/float64(relays)), "one hot": limits.ConstantLoad(1, 130, 130/float64(relays-1)),
				"few": limits.ConstantLoad(1, 200, 60, 0)} {
				x := newSimulation(t, relays, seed)
				x.Load = load
				x.PacketLoss = 0.02 * float64(seed%2)
				x.WarmUp()
				x.PeakRate = 0
				if use := x.Utilization(10*time.Second, x.Limit); use < 0.95-2*x.PacketLoss || x.PeakRate > x.Limit*1.011 {
					t.Errorf("%d relays, %s, seed %d: %.3f used, at most %.3f dealt out", relays, what, seed, use, x.PeakRate/x.Limit)
				}
			}
		}
	}
}

// A load that moves takes its part along within a second, and one below the limit is served whole.
func TestLoadThatMoves(t *testing.T) {
	x := newSimulation(t, 8, 1)
	hot := 0
	x.Load = func(i int) [allowance.Levels]float64 {
		if i == hot {
			return [allowance.Levels]float64{150}
		}
		return [allowance.Levels]float64{2}
	}
	x.WarmUp()
	for range 5 {
		hot = (hot + 3) % 8
		x.Run(time.Second)
		if use := x.Utilization(time.Second, 164); use < 0.9 {
			t.Errorf("a second after the load has moved to %d %.3f of it is served", hot, use)
		}
	}
}

// When there is more than the limit the higher worth goes first wherever it arrives, and the lower does not starve.
func TestWorthGoesFirstEverywhere(t *testing.T) {
	x := newSimulation(t, 8, 1)
	x.Load = func(i int) [allowance.Levels]float64 {
		if i < 4 {
			return [allowance.Levels]float64{45}
		}
		return [allowance.Levels]float64{0, 0, 45}
	}
	x.WarmUp()
	use := x.Utilization(5*time.Second, x.Limit)
	high, low := 0.0, 0.0
	for i, u := range x.Used {
		if i < 4 {
			high += u
		} else {
			low += u
		}
	}
	if use < 0.9 || high < 0.93*180*5 || low < 0.02*x.Limit*5 {
		t.Errorf("%.3f used; %.0f of 900 of what is worth most, %.0f of the rest", use, high, low)
	}
}

// A limit that changes is what all keep to within a second.
func TestLimitThatChanges(t *testing.T) {
	x := newSimulation(t, 8, 1)
	x.Load = limits.ConstantLoad(1, 40)
	x.WarmUp()
	x.Limit = 50
	x.Run(time.Second + allowance.DefaultConfig(8, 2).LeaseDuration)
	x.PeakRate = 0
	if use := x.Utilization(3*time.Second, 50); use < 0.9 || x.PeakRate > 50*1.011 {
		t.Errorf("after its fall %.3f is used, %.1f of 50 dealt out", use, x.PeakRate)
	}
	x.Limit = 200
	x.Run(time.Second)
	if use := x.Utilization(2*time.Second, 200); use < 0.9 {
		t.Errorf("a second after its rise %.3f is used", use)
	}
}

// Whoever is cut off from whom, and whoever stops, no more than the limit is in force, and each side uses what is its own.
func TestPartings(t *testing.T) {
	const relays = 8
	var names []string
	for i := range relays {
		names = append(names, limits.RelayName(i))
	}
	owner := slices.Index(names, allowance.OwnerOf(limits.Destination, names))
	after := func(n int) int { return (owner + n) % relays }
	side := func(minority ...int) func(a, b int) bool {
		in := map[int]bool{}
		for _, m := range minority {
			in[m] = true
		}
		return func(a, b int) bool { return in[a] != in[b] }
	}
	for _, c := range []struct {
		what  string
		cut   func(a, b int) bool
		stop  int
		least float64 // of the limit, once all know of it
	}{
		{"the owner alone", side(owner), -1, 0.9},
		{"the owner with one", side(owner, after(1)), -1, 0.9},
		{"the owner with most", side(after(1), after(2), after(3)), -1, 0.9},
		{"halves", side(owner, after(1), after(2), after(3)), -1, 0.9},
		{"one direction", func(a, b int) bool { return a == owner && b == after(1) }, -1, 0.8},
		{"the owner stopped", side(), owner, 0.75},
		{"all alone", func(a, b int) bool { return a != b }, -1, 0.9},
	} {
		t.Run(c.what, func(t *testing.T) {
			for seed := range uint64(5) {
				x := newSimulation(t, relays, seed)
				x.Load = limits.ConstantLoad(1, 40)
				x.WarmUp()
				x.PeakRate = 0
				x.Partitioned = c.cut
				if c.stop >= 0 {
					x.Stopped[c.stop] = true
				}
				x.Run(2 * time.Second)
				if c.what != "one direction" {
					x.UpdateMembers()
				}
				x.Run(5 * time.Second)
				use := x.Utilization(3*time.Second, x.Limit)
				most := x.PeakRate
				x.Partitioned = side()
				clear(x.Stopped)
				x.Run(200 * time.Millisecond)
				x.UpdateMembers()
				x.Run(5 * time.Second)
				if back := x.Utilization(3*time.Second, x.Limit); use < c.least || back < 0.9 || max(most, x.PeakRate) > x.Limit*1.011 {
					t.Errorf("seed %d: %.3f used, after the reunion %.3f; %.3f of the limit in force at most", seed, use, back, max(most, x.PeakRate)/x.Limit)
				}
			}
		})
	}
}

// One relay's word neither raises a limit nor takes more than its part.
func TestLiar(t *testing.T) {
	x := newSimulation(t, 8, 1)
	x.Load = limits.ConstantLoad(1, 40)
	x.WarmUp()
	lie := func(span time.Duration) float64 {
		clear(x.Used)
		x.PeakRate = 0
		for end := x.Now + span; x.Now < end; {
			x.Allocators[1].ObserveLimit(x.Now, limits.Destination, 100*x.Limit)
			x.Allocators[1].ReportDemand(x.Now, limits.Destination, [allowance.Levels]int{0, 1000}, [allowance.Levels]int{0, 100000})
			x.Run(20 * time.Millisecond)
		}
		return x.Used[1] / span.Seconds()
	}
	lie(2 * time.Second)
	if got := lie(3 * time.Second); got > 1.2*x.Limit/8 || x.PeakRate > x.Limit*1.011 {
		t.Errorf("the liar has %.1f a second of %.0f that 8 divide, %.1f in force", got, x.Limit, x.PeakRate)
	}
}

// An owner that lies raises no limit that a relay has read: neither by a part of more than there is, nor by the limit it tells. What
// it tells of other shards' destinations counts for nothing, and its word that is lower ends by itself.
func TestLyingOwner(t *testing.T) {
	cfg := allowance.DefaultConfig(4, 2)
	self, liar := "a", "b"
	place := 0
	for allowance.OwnerOf(place, []string{self, liar}) != liar {
		place++
	}
	foreign := place + 1
	for allowance.Shard(foreign) == allowance.Shard(place) {
		foreign++
	}
	d, err := allowance.NewAllocator(cfg, self, 1, 1, 0, false)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	d.SetMembers(now, []string{self, liar})
	told := map[int]allowance.Allocation{}
	step := func(span time.Duration, rate, limit float64) {
		for end := now + span; now < end; now += tick {
			d.ObserveLimit(now, place, 100)
			d.ReportDemand(now, place, [allowance.Levels]int{1}, [allowance.Levels]int{50})
			for _, a := range d.Tick(now) {
				told[a.Destination] = a
			}
			for _, p := range d.TakeMessages() {
				if c := p.Claim; c != nil && limit > 0 {
					d.ReceiveGrant(now, liar, allowance.Grant{Shard: c.Shard, Sequence: uint64(now), LastClaim: c.Sequence, LeaseDuration: time.Hour,
						Shares: []allowance.Share{{Destination: place, Rate: rate, Limit: limit}, {Destination: foreign, Rate: rate, Limit: limit}}})
				}
			}
		}
	}
	step(2*time.Second, 1e6, 1e9)
	if a := told[place]; a.Rate > 100 || a.Rate < 90 || a.Duration > cfg.LeaseDuration {
		t.Errorf("%+v where 100 a second was read and a million granted", a)
	}
	if _, ok := told[foreign]; ok || d.Counters().Foreign == 0 || d.Counters().Capped == 0 {
		t.Errorf("%+v of a destination that is none of the shard's; %+v", told[foreign], d.Counters())
	}
	step(time.Second, 0, 1)
	d.SetMembers(now, []string{self})
	step(3*cfg.LoanDuration, 0, 0)
	if a := told[place]; a.Rate != 25 {
		t.Errorf("%+v alone again, of a limit of 100 that four share", a)
	}
}
