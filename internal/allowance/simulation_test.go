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
	s, err := limits.New(relays, 200, seed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Nearly all of a limit is used under even and uneven loads, with and without packet loss, and the rates in force never exceed the
// limit.
func TestLimitIsFullyUsed(t *testing.T) {
	for _, relays := range []int{3, 8, 60} {
		for seed := range uint64(3) {
			for name, load := range map[string]limits.LoadFunc{"even": limits.ConstantLoad(1, 260/float64(relays)), "one busy relay": limits.ConstantLoad(1, 130, 130/float64(relays-1)),
				"two busy relays only": limits.ConstantLoad(1, 200, 60, 0)} {
				s := newSimulation(t, relays, seed)
				s.Load = load
				s.PacketLoss = 0.02 * float64(seed%2)
				s.WarmUp()
				s.PeakRate = 0
				if utilization := s.Utilization(10*time.Second, s.Limit); utilization < 0.95-2*s.PacketLoss || s.PeakRate > s.Limit*1.011 {
					t.Errorf("%d relays, load %s, seed %d: utilization %.3f, peak %.3f of the limit granted", relays, name, seed, utilization, s.PeakRate/s.Limit)
				}
			}
		}
	}
}

// When the load moves from one relay to another, the granted rate follows within a second. A load below the limit is served in full.
func TestMovingLoad(t *testing.T) {
	s := newSimulation(t, 8, 1)
	hot := 0
	s.Load = func(i int) [allowance.PriorityLevels]float64 {
		if i == hot {
			return [allowance.PriorityLevels]float64{150}
		}
		return [allowance.PriorityLevels]float64{2}
	}
	s.WarmUp()
	for range 5 {
		hot = (hot + 3) % 8
		s.Run(time.Second)
		if utilization := s.Utilization(time.Second, 164); utilization < 0.9 {
			t.Errorf("one second after the load moved to relay %d: %.3f of the load is served", hot, utilization)
		}
	}
}

// Under overload, messages of higher worth are served first at whichever relay they arrive, and messages of lower worth do not
// starve.
func TestHigherWorthGoesFirst(t *testing.T) {
	s := newSimulation(t, 8, 1)
	s.Load = func(i int) [allowance.PriorityLevels]float64 {
		if i < 4 {
			return [allowance.PriorityLevels]float64{45}
		}
		return [allowance.PriorityLevels]float64{0, 0, 45}
	}
	s.WarmUp()
	utilization := s.Utilization(5*time.Second, s.Limit)
	high, low := 0.0, 0.0
	for i, u := range s.Used {
		if i < 4 {
			high += u
		} else {
			low += u
		}
	}
	if utilization < 0.9 || high < 0.93*180*5 || low < 0.02*s.Limit*5 {
		t.Errorf("utilization %.3f; calls served: %.0f of 900 of the highest worth, %.0f of lower worth", utilization, high, low)
	}
}

// All relays follow a changed limit within a second.
func TestChangingLimit(t *testing.T) {
	s := newSimulation(t, 8, 1)
	s.Load = limits.ConstantLoad(1, 40)
	s.WarmUp()
	s.Limit = 50
	s.Run(time.Second + allowance.DefaultConfig(8, 2).LeaseDuration)
	s.PeakRate = 0
	if utilization := s.Utilization(3*time.Second, 50); utilization < 0.9 || s.PeakRate > 50*1.011 {
		t.Errorf("after the limit fell: utilization %.3f, peak %.1f of 50 granted", utilization, s.PeakRate)
	}
	s.Limit = 200
	s.Run(time.Second)
	if utilization := s.Utilization(2*time.Second, 200); utilization < 0.9 {
		t.Errorf("one second after the limit rose: utilization %.3f", utilization)
	}
}

// Under any network partition or stop of a relay, the rates in force never exceed the limit, and each side of the partition uses its
// own part of the limit.
func TestPartitions(t *testing.T) {
	const relays = 8
	var names []string
	for i := range relays {
		names = append(names, limits.RelayName(i))
	}
	owner := slices.Index(names, allowance.OwnerOf(limits.Destination, names))
	relayAfter := func(n int) int { return (owner + n) % relays }
	isolate := func(minority ...int) func(a, b int) bool {
		inMinority := map[int]bool{}
		for _, m := range minority {
			inMinority[m] = true
		}
		return func(a, b int) bool { return inMinority[a] != inMinority[b] }
	}
	for _, c := range []struct {
		name           string
		partitioned    func(a, b int) bool
		stoppedRelay   int
		minUtilization float64 // share of the limit, once the membership reflects the partition
	}{
		{"owner isolated", isolate(owner), -1, 0.9},
		{"owner with one relay", isolate(owner, relayAfter(1)), -1, 0.9},
		{"owner in the majority", isolate(relayAfter(1), relayAfter(2), relayAfter(3)), -1, 0.9},
		{"equal halves", isolate(owner, relayAfter(1), relayAfter(2), relayAfter(3)), -1, 0.9},
		{"one direction", func(a, b int) bool { return a == owner && b == relayAfter(1) }, -1, 0.8},
		{"owner stopped", isolate(), owner, 0.75},
		{"every relay isolated", func(a, b int) bool { return a != b }, -1, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSimulation(t, relays, seed)
				s.Load = limits.ConstantLoad(1, 40)
				s.WarmUp()
				s.PeakRate = 0
				s.Partitioned = c.partitioned
				if c.stoppedRelay >= 0 {
					s.Stopped[c.stoppedRelay] = true
				}
				s.Run(2 * time.Second)
				if c.name != "one direction" {
					s.UpdateMembers()
				}
				s.Run(5 * time.Second)
				utilization := s.Utilization(3*time.Second, s.Limit)
				partitionedPeak := s.PeakRate
				s.Partitioned = isolate()
				clear(s.Stopped)
				s.Run(200 * time.Millisecond)
				s.UpdateMembers()
				s.Run(5 * time.Second)
				if healedUtilization := s.Utilization(3*time.Second, s.Limit); utilization < c.minUtilization || healedUtilization < 0.9 || max(partitionedPeak, s.PeakRate) > s.Limit*1.011 {
					t.Errorf("seed %d: utilization %.3f, after the partition heals %.3f; peak %.3f of the limit in force", seed, utilization, healedUtilization, max(partitionedPeak, s.PeakRate)/s.Limit)
				}
			}
		})
	}
}

// A relay that reports a false limit and false demand neither raises the limit nor gets more than its share.
func TestFalseReadingsAndDemand(t *testing.T) {
	s := newSimulation(t, 8, 1)
	s.Load = limits.ConstantLoad(1, 40)
	s.WarmUp()
	runWithFalseReports := func(span time.Duration) float64 {
		clear(s.Used)
		s.PeakRate = 0
		for end := s.Now + span; s.Now < end; {
			s.Allocators[1].ObserveLimit(s.Now, limits.Destination, 100*s.Limit)
			s.Allocators[1].ReportDemand(s.Now, limits.Destination, [allowance.PriorityLevels]int{0, 1000}, [allowance.PriorityLevels]int{0, 100000})
			s.Run(20 * time.Millisecond)
		}
		return s.Used[1] / span.Seconds()
	}
	runWithFalseReports(2 * time.Second)
	if obtainedRate := runWithFalseReports(3 * time.Second); obtainedRate > 1.2*s.Limit/8 || s.PeakRate > s.Limit*1.011 {
		t.Errorf("the relay with false reports gets %.1f calls a second of a limit of %.0f for 8 relays; peak rate in force %.1f", obtainedRate, s.Limit, s.PeakRate)
	}
}

// An owner that sends false grants cannot raise a limit that a relay has read, neither by the granted rate nor by the announced limit.
// Shares for destinations of other shards are ignored, and a false lower limit expires.
func TestFalseGrants(t *testing.T) {
	cfg := allowance.DefaultConfig(4, 2)
	self, falseOwner := "a", "b"
	destination := 0
	for allowance.OwnerOf(destination, []string{self, falseOwner}) != falseOwner {
		destination++
	}
	otherShardDestination := destination + 1
	for allowance.Shard(otherShardDestination) == allowance.Shard(destination) {
		otherShardDestination++
	}
	allocator, err := allowance.NewAllocator(cfg, self, 1, 1, 0, false)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	allocator.SetMembers(now, []string{self, falseOwner})
	allocations := map[int]allowance.Allocation{}
	runOwner := func(span time.Duration, rate, limit float64) {
		for end := now + span; now < end; now += tick {
			allocator.ObserveLimit(now, destination, 100)
			allocator.ReportDemand(now, destination, [allowance.PriorityLevels]int{1}, [allowance.PriorityLevels]int{50})
			for _, a := range allocator.Tick(now) {
				allocations[a.Destination] = a
			}
			for _, p := range allocator.TakeMessages() {
				if c := p.Claim; c != nil && limit > 0 {
					allocator.ReceiveGrant(now, falseOwner, allowance.Grant{Shard: c.Shard, Sequence: uint64(now), LastClaimSequence: c.Sequence, LeaseDuration: time.Hour,
						Shares: []allowance.Share{{Destination: destination, Rate: rate, Limit: limit}, {Destination: otherShardDestination, Rate: rate, Limit: limit}}})
				}
			}
		}
	}
	runOwner(2*time.Second, 1e6, 1e9)
	if a := allocations[destination]; a.Rate > 100 || a.Rate < 90 || a.Duration > cfg.LeaseDuration {
		t.Errorf("allocation %+v with a read limit of 100 calls a second and a grant of a million", a)
	}
	if _, ok := allocations[otherShardDestination]; ok || allocator.Counters().OtherShardDestinations == 0 || allocator.Counters().Capped == 0 {
		t.Errorf("allocation %+v of a destination of another shard; counters %+v", allocations[otherShardDestination], allocator.Counters())
	}
	runOwner(time.Second, 0, 1)
	allocator.SetMembers(now, []string{self})
	runOwner(3*cfg.LoanDuration, 0, 0)
	if a := allocations[destination]; a.Rate != 25 {
		t.Errorf("allocation %+v of an isolated relay; four relays share a limit of 100", a)
	}
}
