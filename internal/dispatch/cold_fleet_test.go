package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// A cold destination takes from all senders together what the settings allow it at that time, plus a chance margin of twice the
// root of that and 2. Senders that saw its outage must not push it over. This holds for any number of senders and share of the
// load, any way in which calls fail during the outage, and with refused calls that do or do not use up the limit.
func TestColdDestinationUnderFleet(t *testing.T) {
	f := fleetSettings(1).Safety
	for _, peers := range []int{2, 6, 20, 30, 60, 300} {
		for _, limit := range []float64{4, 8, 20} {
			for fails, after := range map[Status]time.Duration{ConnectFailed: 40 * ms, TimedOut: 0, Errored: 50 * ms, Refused: 30 * ms} {
				t.Run(fmt.Sprintf("%d senders, %.0f a second, status %d", peers, limit, fails), func(t *testing.T) {
					t.Parallel()
					for seed := uint64(1); seed <= 4; seed++ {
						d := &bucketModel{id: 1, limit: limit, lowShare: 1, refusalsConsume: seed%2 == 0, waitShare: 0.5, wait: 500 * ms,
							outFrom: 5 * time.Second, outTo: 17 * time.Second, outageStatus: fails, outageLatency: after}
						c := newFleetModel(t, peers, seed, d)
						c.generate(1, "safe", limit*0.5, 0, 32*time.Second)
						c.generate(1, "keyed", limit*0.35, 0, 32*time.Second)
						c.run(32 * time.Second)
						if at, calls, aware, capacity := d.overload(f); at > 0 {
							t.Errorf("seed %d: the destination is pushed over %v after its outage: %d calls, %d of senders that saw the outage; it takes %.1f",
								seed, at-d.outTo, calls, aware, capacity)
						}
						if taken := sumSeconds(c.calls[1], 24, 32) - sumSeconds(c.refusedCalls[1], 24, 32); !d.refusalsConsume && float64(taken) < 0.1*8*limit {
							t.Errorf("seed %d: %d calls accepted in the 8 s that begin 7 s after the outage, at a limit of %.0f a second", seed, taken, limit)
						}
					}
				})
			}
		}
	}
}
