package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetShare is the share of a limit that is divided. Readings of the limit are noisy, and the destination refuses calls above
	// its limit.
	targetShare = 0.98
	// targetLifetime is how long calculated targets stay valid.
	targetLifetime = 20 * time.Millisecond
	// readingLifetime is how long a reading of a limit stays valid.
	readingLifetime = 5 * time.Second
	// limitSmoothingWeight is the weight of a new median of readings in the smoothed limit.
	limitSmoothingWeight = 0.2
	// limitStepRatio is the relative change of a limit above which the change takes effect at once, without smoothing.
	limitStepRatio = 0.25
)

// ownedDestination is an owner's record of a destination.
type ownedDestination struct {
	readings     map[string]limitReading // newest reading of each relay
	limit        float64                 // smoothed limit in calls a second; 0 for unknown
	targets      map[string]float64      // rates that relays should get, in calls a second
	lastDemandAt time.Duration
}

// limitReading is a limit that a relay has read.
type limitReading struct {
	limit float64
	at    time.Duration
}

// newOwnedDestination returns a record without readings.
func newOwnedDestination() *ownedDestination {
	return &ownedDestination{
		readings:     map[string]limitReading{},
		targets:      map[string]float64{},
		lastDemandAt: never,
	}
}

// addReading stores a reading if it is the newest of its relay.
func (d *ownedDestination) addReading(from string, r limitReading) {
	if old, ok := d.readings[from]; !ok || r.at > old.at {
		d.readings[from] = r
	}
}

// updateTargets calculates the rate that each relay should get for each destination.
func (o *Owner) updateTargets(now time.Duration) {
	if now-o.targetsUpdatedAt < targetLifetime {
		return
	}
	o.targetsUpdatedAt = now
	o.forgetOldGrants(now)
	o.forgetSilentRelays(now)
	lenders := o.countLenders(now, targetLifetime)
	for n, d := range o.destinations {
		d.updateLimit(now, o.cfg.Quorum)
		lentRate := targetShare * d.limit * float64(lenders) / float64(o.cfg.Relays)
		demandOf := func(name string) *Demand { return o.relays[name].demands[n] }
		clear(d.targets)
		divide(lentRate, o.names, demandOf, d.targets)
		if now-d.lastDemandAt > destinationRetentionLoans*o.cfg.LoanDuration && len(d.readings) == 0 {
			delete(o.destinations, n)
		}
	}
}

// forgetOldGrants drops the send times of grants that are too old for a claim to acknowledge.
func (o *Owner) forgetOldGrants(now time.Duration) {
	for sequence, at := range o.sentAt {
		if at < now-relayRetentionLoans*o.cfg.LoanDuration {
			delete(o.sentAt, sequence)
		}
	}
}

// forgetSilentRelays drops expired grants, demands that were not renewed, and silent relays without loans and grants.
func (o *Owner) forgetSilentRelays(now time.Duration) {
	oldest := now - relayRetentionLoans*o.cfg.LoanDuration
	o.names = slices.DeleteFunc(o.names, func(name string) bool {
		r := o.relays[name]
		r.outstanding = slices.DeleteFunc(r.outstanding, func(g sentGrant) bool { return now >= g.until })
		if r.lastHeardAt < oldest && r.loanUntil < now && len(r.outstanding) == 0 {
			delete(o.relays, name)
			return true
		}
		if now-r.lastHeardAt > o.cfg.LeaseDuration { // without a claim the relay's lease is not renewed
			clear(r.demands)
		}
		return false
	})
}

// updateLimit moves the limit to the median of the newest readings. Without readings the limit stays as it is: no calls were made,
// which says nothing about the limit.
func (d *ownedDestination) updateLimit(now time.Duration, quorum int) {
	median, ok := d.medianReading(now, quorum)
	if !ok {
		return
	}
	if d.limit == 0 || math.Abs(median-d.limit) > limitStepRatio*d.limit {
		d.limit = median
	} else {
		d.limit += limitSmoothingWeight * (median - d.limit)
	}
}

// medianReading returns the lower median of the newest readings of 2*quorum-1 relays, so fewer relays than a quorum cannot raise
// the limit. It drops expired readings.
func (d *ownedDestination) medianReading(now time.Duration, quorum int) (median float64, ok bool) {
	type row struct {
		from string
		limitReading
	}
	var rows []row
	for from, r := range d.readings {
		if now-r.at > readingLifetime {
			delete(d.readings, from)
			continue
		}
		rows = append(rows, row{from, r})
	}
	if len(rows) == 0 {
		return 0, false
	}
	newestFirst := func(a, b row) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.from, b.from))
	}
	slices.SortFunc(rows, newestFirst)
	rows = rows[:min(len(rows), 2*quorum-1)]
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.limit, b.limit) })
	return rows[(len(rows)-1)/2].limit, true
}
