// This file estimates how many connections an endpoint needs, and opens and closes connections by that number.

package conns

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Hint sets whether an endpoint is in slow start, and how many calls are known to come there soon.
func (p *Pool) Hint(name string, slowStart bool, expectedCalls int) {
	if e := p.endpoints[name]; e != nil {
		e.slowStart, e.expectedCalls = slowStart, expectedCalls
	}
}

// recordServiceTime adds the duration of a call to the smoothed service time and its deviation.
func (e *endpoint) recordServiceTime(seconds float64) {
	if e.serviceSeconds == 0 {
		e.serviceSeconds, e.serviceSpreadSeconds = seconds, seconds/2
	}
	e.serviceSpreadSeconds += serviceSmoothing * (math.Abs(seconds-e.serviceSeconds) - e.serviceSpreadSeconds)
	e.serviceSeconds += serviceSmoothing * (seconds - e.serviceSeconds)
}

// targetConns returns the number of connections that an endpoint needs. It covers the mean number of concurrent calls by Little's law,
// their variation, and the recent peak. A connection that rests between two calls counts as busy.
func (p *Pool) targetConns(e *endpoint) float64 {
	if !e.acceptsCalls {
		return 0
	}
	busy := e.callsPerSecond * (e.serviceSeconds + e.serviceSpreadSeconds + p.cfg.MinRest.Seconds())
	needed := busy + busyDeviations*math.Sqrt(busy)
	if e.callsPerSecond > 0.5 {
		needed = max(needed, 1)
	}
	return math.Ceil(max(needed, e.peakBusy))
}

// Tick updates the state of all endpoints. The caller calls it about every quarter of a second, closes the connections of the first
// result, and opens those of the second in advance of calls.
func (p *Pool) Tick(now time.Duration) (evict []Eviction, preconnects []ID) {
	p.advanceClock(now)
	seconds := (p.clock - p.lastTickAt).Seconds()
	p.lastTickAt = p.clock
	if p.recentCalls > staleWindowCalls {
		p.recentCalls, p.staleCalls = p.recentCalls/2, p.staleCalls/2
	}
	names := slices.Sorted(maps.Keys(p.endpoints))
	for _, name := range names {
		e := p.endpoints[name]
		e.decayDemand(seconds, p.cfg.PeakHalfLife)
		if p.clock-e.evidenceDecayedAt >= evidenceDecayInterval {
			decayFactor := math.Exp2(-(p.clock - e.evidenceDecayedAt).Seconds() / evidenceHalfLife.Seconds())
			e.evidenceDecayedAt = p.clock
			if e.reuseHistory != &emptyReuseHistory {
				e.reuseHistory.decay(decayFactor)
			}
			if e.closeHistory != &emptyCloseHistory {
				e.closeHistory.decay(decayFactor)
			}
		}
		soft, hard := p.idleLimits(e)
		surplus := float64(len(e.conns)) - p.targetConns(e)
		candidates := slices.Clone(e.idleConns)
		// The more file descriptors are in use, the sooner surplus connections are closed: after minSurplusIdle once half are in use.
		surplusAfter := max(minSurplusIdle, time.Duration((1-2*float64(len(p.conns))/float64(p.cfg.MaxConns))*float64(soft)))
		var trial *conn // the newest connection beyond the limit, kept for a trial
		if p.trialAllowed(e) && surplus < 1 {
			for _, c := range candidates {
				if idle := p.clock - c.idleSince; idle >= soft && idle < hard {
					trial = c
				}
			}
		}
		for _, c := range candidates {
			reason, unfit := p.unfit(c, soft)
			if c == trial && reason == ReasonIdle {
				unfit = false
			}
			if !unfit && surplus >= 1 && p.clock-c.idleSince >= surplusAfter {
				reason, unfit = ReasonSurplus, true
			}
			if unfit {
				surplus--
				evict = append(evict, p.evict(c, reason))
			}
		}
	}
	for _, name := range names {
		if e := p.endpoints[name]; e != nil && p.cfg.Preconnect {
			preconnects = append(preconnects, p.preconnect(e)...)
		}
	}
	return evict, preconnects
}

// decayDemand updates the call rate and the peak number of concurrent calls from the time since the last tick.
func (e *endpoint) decayDemand(seconds float64, halfLife time.Duration) {
	if seconds <= 0 {
		return
	}
	callsPerSecond := float64(e.arrivals) / seconds
	e.arrivals = 0
	if callsPerSecond > e.callsPerSecond {
		e.callsPerSecond += 0.5 * (callsPerSecond - e.callsPerSecond)
	} else {
		e.callsPerSecond += (1 - math.Exp2(-seconds/halfLife.Seconds())) * (callsPerSecond - e.callsPerSecond)
	}
	if e.callsPerSecond < 0.01 {
		e.callsPerSecond = 0
	}
	e.peakBusy = max(e.peakBusy*math.Exp2(-seconds/halfLife.Seconds()), float64(e.busyCount))
	if e.peakBusy < 0.5 {
		e.peakBusy = 0
	}
}

// preconnect opens connections in advance: for calls that are known to come, and to replace evicted connections of an endpoint that is
// called often. An endpoint in slow start, or with failed openings, gets one at a time.
func (p *Pool) preconnect(e *endpoint) (ids []ID) {
	if !e.acceptsCalls || p.keepNoIdle || p.clock < e.preconnectRetryAt {
		return nil
	}
	openingCount, freeCount := 0, 0
	for _, c := range e.conns {
		switch c.state {
		case stateOpening:
			openingCount++
			freeCount++
		case stateIdle:
			freeCount++
		}
	}
	// A connection is worth opening if a call uses it before it reaches the idle limit.
	wanted := 0
	if soft, _ := p.idleLimits(e); e.callsPerSecond*soft.Seconds() > 3 {
		wanted = int(p.targetConns(e)) - len(e.conns)
	}
	wanted = max(wanted, e.expectedCalls-freeCount)
	if e.slowStart || e.openFailures > 0 || e.lastOpenedAt == 0 { // the endpoint is new or recovering
		wanted = min(wanted, 1-openingCount)
	}
	for ; wanted > 0 && !e.atConnLimit(p.clock) && len(p.conns) < p.cfg.MaxConns; wanted-- { // evicts no other connection
		c := p.openConn(e)
		c.preconnected = true
		p.counters.Preconnected++
		ids = append(ids, c.id)
	}
	return ids
}

// Unneeded returns connections that are being opened in advance and that no call will need. The caller may cancel them.
func (p *Pool) Unneeded() (ids []ID) {
	for _, name := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[name]
		surplus := len(e.conns) - max(int(p.targetConns(e)), e.busyCount+e.expectedCalls)
		for _, c := range e.connsByID() {
			if c.state == stateOpening && c.preconnected && surplus > 0 {
				ids = append(ids, c.id)
				surplus--
			}
		}
	}
	return ids
}

// Shed evicts up to maxEvicted idle connections while memory or file descriptors are short, those of the endpoints with the largest
// surplus first.
func (p *Pool) Shed(now time.Duration, maxEvicted int) (evict []Eviction) {
	p.advanceClock(now)
	var idleConns []*conn
	for _, e := range p.endpoints {
		idleConns = append(idleConns, e.idleConns...)
	}
	slices.SortFunc(idleConns, func(a, b *conn) int {
		surplus := func(c *conn) float64 { return float64(len(c.owner.conns)) - p.targetConns(c.owner) }
		return cmp.Or(cmp.Compare(surplus(b), surplus(a)), cmp.Compare(a.idleSince, b.idleSince), cmp.Compare(a.id, b.id))
	})
	for _, c := range idleConns[:min(maxEvicted, len(idleConns))] {
		evict = append(evict, p.evict(c, ReasonPressure))
	}
	return evict
}
