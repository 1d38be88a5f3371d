package allowance

import (
	"math"
	"time"
)

const (
	// backlogDrainTime is the time within which queued calls should be sent.
	backlogDrainTime = time.Second
	// minAveragingTime and maxAveragingTime bound the time over which arrivals are averaged.
	minAveragingTime = 500 * time.Millisecond
	maxAveragingTime = 4 * time.Second
	// averagedArrivalCount is the number of arrivals that an average covers, within the bounds of the averaging time.
	averagedArrivalCount = 4.0
	// minArrivalRate keeps the averaging time finite when no calls arrive, in calls a second.
	minArrivalRate = 1e-9
	// minUpdateSeconds is the minimum time between two updates of the averages, in seconds.
	minUpdateSeconds = 0.05
)

// localDestination is an allocator's record of a destination.
type localDestination struct {
	rates       [PriorityLevels]float64 // average arrivals a second by priority level
	arrived     [PriorityLevels]float64 // arrivals since updatedAt
	queued      [PriorityLevels]int     // calls queued at the last report
	updatedAt   time.Duration
	limit       float64 // limit that this relay has read, in calls a second; 0 for none
	limitReadAt time.Duration
	allocated   Allocation // allocation last returned to the caller
	allocatedAt time.Duration
	lastUse     time.Duration
	claimNow    bool // a claim has to be sent before the next heartbeat
}

// newLocalDestination returns a record without a limit or an allocation.
func newLocalDestination(now time.Duration) *localDestination {
	return &localDestination{
		updatedAt:   now,
		limitReadAt: never,
		allocatedAt: never,
	}
}

// addDemand adds arrivals and replaces the numbers of queued calls.
func (d *localDestination) addDemand(now time.Duration, arrived, queued [PriorityLevels]int) {
	for i := range PriorityLevels {
		d.arrived[i] += float64(arrived[i])
	}
	d.queued = queued
	d.updateRates(now)
}

// updateRates updates the exponential averages of the arrivals. The averaging time is shorter when more calls arrive.
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
	for i := range PriorityLevels {
		d.rates[i] = d.rates[i]*decay + (1-decay)*d.arrived[i]/elapsed
		d.arrived[i] = 0
	}
}

// demand returns the rate that serves the arrivals, and the queued calls within backlogDrainTime.
func (d *localDestination) demand(destination int) Demand {
	demand := Demand{Destination: destination}
	for i := range PriorityLevels {
		demand.Rates[i] = d.rates[i] + float64(d.queued[i])/backlogDrainTime.Seconds()
	}
	return demand
}
