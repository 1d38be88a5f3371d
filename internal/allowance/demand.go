package allowance

import (
	"math"
	"time"
)

const (
	// backlogDrainTime is the time in which waiting calls are to be sent.
	backlogDrainTime = time.Second
	// minAveragingTime and maxAveraging bound the time over which arrivals are averaged.
	minAveragingTime = 500 * time.Millisecond
	maxAveragingTime = 4 * time.Second
	// averagedArrivalCount is the number of arrivals that are averaged over, within these bounds.
	averagedArrivalCount = 4.0
	// minArrivalRate keeps the averaging time finite where nothing arrives.
	minArrivalRate = 1e-9
	// minUpdateSeconds is the least time between two updates of the averages, in seconds.
	minUpdateSeconds = 0.05
)

// localDestination is what an allocator keeps of a destination.
type localDestination struct {
	rates       [Levels]float64 // arrivals a second, averaged
	arrived     [Levels]float64 // arrivals since updatedAt
	waiting     [Levels]int
	updatedAt   time.Duration
	limit       float64 // as this relay has read it; 0 for not
	limitReadAt time.Duration
	allocated   Allocation // as last returned to the caller
	allocatedAt time.Duration
	lastUse     time.Duration
	claimNow    bool // a claim is due before the next heartbeat
}

func newLocalDestination(now time.Duration) *localDestination {
	return &localDestination{
		updatedAt:   now,
		limitReadAt: never,
		allocatedAt: never,
	}
}

// addDemand adds arrivals, and replaces the waiting calls.
func (d *localDestination) addDemand(now time.Duration, arrived, waiting [Levels]int) {
	for i := range Levels {
		d.arrived[i] += float64(arrived[i])
	}
	d.waiting = waiting
	d.updateRates(now)
}

// updateRates averages the arrivals exponentially, over a shorter time the more there are.
func (d *localDestination) updateRates(now time.Duration) {
	elapsed := (now - d.updatedAt).Seconds()
	if elapsed < minUpdateSeconds {
		return
	}
	d.updatedAt = now
	total := 0.0
	for _, r := range d.rates {
		total += r
	}
	averaging := averagedArrivalCount / max(total, minArrivalRate)
	averaging = min(max(averaging, minAveragingTime.Seconds()), maxAveragingTime.Seconds())
	decay := math.Exp(-elapsed / averaging)
	for i := range Levels {
		d.rates[i] = d.rates[i]*decay + (1-decay)*d.arrived[i]/elapsed
		d.arrived[i] = 0
	}
}

// demand is the rate that serves arrivals, and waiting calls within backlogTime.
func (d *localDestination) demand(destination int) Demand {
	demand := Demand{Destination: destination}
	for i := range Levels {
		demand.Rates[i] = d.rates[i] + float64(d.waiting[i])/backlogDrainTime.Seconds()
	}
	return demand
}
