// This file learns how long the connections to a server may be idle, and selects among idle connections.

package conns

import (
	"math"
	"slices"
	"time"
)

// hasUnrelatedLosses reports whether connections break for other reasons so often that such a loss can be mistaken for one through
// idling.
func (d *destination) hasUnrelatedLosses() bool {
	return d.recentUnrelatedLosses >= 2 && d.recentUnrelatedLosses > maxUnrelatedLossShare*d.recentCalls
}

// bestIdle returns the idle connection that is least likely dead, or nil if none is worth the risk, and evicts those that are unusable.
// If no connection is within the limit, one that was idle for longer is used from time to time as a trial, because a server's idle
// timeout can change.
func (p *Pool) bestIdle(e *endpoint) (bestIdle *conn, evicted []Eviction) {
	if e.limitsComputedAt == 0 || p.clock-e.limitsComputedAt > limitsRefreshInterval {
		e.limitsComputedAt = max(p.clock, 1)
		e.deadShares = &emptyDeadShares
		if e.reuseHistory != &emptyReuseHistory {
			deadShares := e.reuseHistory.deadShares()
			e.deadShares = &deadShares
		}

		e.softIdleLimit, e.hardIdleLimit = p.idleLimits(e)
	}
	deadShares, softIdleLimit, hardIdleLimit := e.deadShares, e.softIdleLimit, e.hardIdleLimit
	risk := math.Inf(1)
	var trial, unproven *conn
	trustedIdle := time.Duration(math.MaxInt64) // without a loss, the configured idle time of servers is trusted
	if e.idleLossAt > 0 && p.clock-e.idleLossAt < cautionPeriod {
		trustedIdle = max(time.Duration(provenReachFactor*float64(e.longestProvenIdle(p.clock))), minSuspectIdle)
	}
	for i := len(e.idleConns) - 1; i >= 0; i-- { // newest first; an eviction only shifts entries that were already visited
		c := e.idleConns[i]
		reason, unfit := p.unfit(c, softIdleLimit)
		if unfit && reason == ReasonIdle && p.clock-c.idleSince < hardIdleLimit && p.trialAllowed(e) && trial == nil {
			trial = c // the shortest idle time makes the best trial
			continue
		}
		if unfit {
			evicted = append(evicted, p.evict(c, reason))
			continue
		}
		if p.isResting(c) {
			continue
		}
		if p.clock-c.idleSince > trustedIdle {
			if unproven == nil { // the shortest idle time
				unproven = c
			}
			continue
		}
		if r := deadShares[bucketOf(p.clock-c.idleSince)]; bestIdle == nil || r < risk {
			bestIdle, risk = c, r
		}
	}
	if bestIdle != nil {
		return bestIdle, evicted
	}
	if unproven != nil && !e.trialRunning {
		e.trialRunning, unproven.isTrial = true, true
		return unproven, evicted
	}
	if trial != nil && unproven == nil {
		e.trialRunning, e.nextTrialAt, trial.isTrial = true, p.clock+trialInterval, true
		return trial, evicted
	}
	return nil, evicted
}

// longestProvenIdle returns the longest idle time of a good reuse in the current or the previous period of provenPeriod. Only one call at
// a time tries a longer one: in a burst, other connections with the same idle time would all be lost together.
func (e *endpoint) longestProvenIdle(now time.Duration) time.Duration {
	return e.provenIdle.at(now, provenPeriod)
}

// trialAllowed reports whether an idle time beyond the limit may be tried now: one trial at a time, at intervals of trialInterval, and
// not during a quarantine.
func (p *Pool) trialAllowed(e *endpoint) bool {
	return !e.trialRunning && p.clock >= e.nextTrialAt && p.clock >= e.quarantinedUntil
}

// unfit reports whether an idle connection must not be used again, and the reason.
func (p *Pool) unfit(c *conn, limit time.Duration) (Reason, bool) {
	switch e := c.owner; {
	case !e.acceptsCalls:
		return ReasonDraining, true
	case p.clock-c.idleSince >= limit:
		return ReasonIdle, true
	case c.expiresAt > 0 && p.clock >= c.expiresAt:
		return ReasonAge, true
	case e.maxUses > 0 && c.calls >= e.maxUses && c.id%connsPerUsesTrial != 0:
		return ReasonUses, true
	case c.calls > 0 && p.singleCall(e):
		return ReasonUnsolicited, true
	}
	return 0, false
}

// idleLimits returns how long a connection to an endpoint may be idle. The soft limit follows from the losses of the endpoint and lies
// below a quarantined idle time. The hard limit lies below the configured idle time of servers and the idle time after which this
// server was seen to close connections.
func (p *Pool) idleLimits(e *endpoint) (soft, hard time.Duration) {
	hard = time.Duration(float64(p.cfg.MaxIdle) * (1 - closeMarginShare))
	if survived, ok := e.closeHistory.survivedIdle(minSurvivalShare); ok {
		hard = min(hard, time.Duration(float64(survived)*(1-closeMarginShare)))
	}
	soft = min(hard, e.reuseHistory.idleLimit(p.acceptableRisk(), p.cfg.OpenPrice/p.cfg.LossPrice))
	if e.quarantinedIdle > 0 {
		soft = min(soft, time.Duration(float64(e.quarantinedIdle)*0.8))
	}
	return soft, hard
}

// acceptableRisk returns the highest acceptable probability that a reused connection is dead. The prices set the upper bound of this
// probability. It falls as the share of recent losses approaches the configured maximum.
func (p *Pool) acceptableRisk() float64 {
	remainingShare := 1 - p.staleCalls/max(p.recentCalls*p.cfg.MaxStaleShare, 1)
	return p.cfg.OpenPrice / p.cfg.LossPrice * min(max(remainingShare, 0.05), 1)
}

// recordIdleOutcome records what the end of a call shows about the idle time before that call.
func (p *Pool) recordIdleOutcome(c *conn, end CallEnd) {
	e := c.owner
	d := p.destinations[e.dest]
	if d.recentCalls++; d.recentCalls > staleWindowCalls {
		d.recentCalls, d.recentUnrelatedLosses = d.recentCalls/2, d.recentUnrelatedLosses/2
	}
	if c.idleBeforeCall == 0 {
		if end == BrokenBeforeAnswer {
			d.recentUnrelatedLosses++
		}
		return
	}
	if end != BrokenBeforeAnswer {
		if end != Aborted { // an aborted call shows nothing
			e.suspectedIdles = slices.DeleteFunc(e.suspectedIdles, func(idle time.Duration) bool {
				if idle <= c.idleBeforeCall {
					d.recentUnrelatedLosses++ // idling was not the reason
				}
				return idle <= c.idleBeforeCall
			})
			e.ownReuseHistory().add(c.idleBeforeCall, false)
			e.ownCloseHistory().add(c.idleBeforeCall, false)
			e.recentGoodIdle.add(c.idleBeforeCall, p.clock, recentGoodPeriod)
			e.provenIdle.add(c.idleBeforeCall, p.clock, provenPeriod)
			if e.quarantinedIdle > 0 && c.idleBeforeCall >= e.quarantinedIdle { // connections now survive the quarantined idle time
				e.quarantinedIdle, e.quarantinedUntil, e.quarantineLength = 0, 0, 0
			}
		}
		return
	}
	p.counters.Stale++
	e.staleCalls++
	e.limitsComputedAt = 0
	p.idleTimes.Dead.add(c.idleBeforeCall)
	p.staleCalls++
	if c.idleBeforeCall < minSuspectIdle {
		d.recentUnrelatedLosses++
		return
	}
	lossesNeeded := 1
	if d.hasUnrelatedLosses() {
		lossesNeeded = lossesNeededIfNoisy
	}
	// A longer idle time went well recently: the server has changed, or idling is not the reason.
	if e.recentGoodIdle.at(p.clock, recentGoodPeriod) > c.idleBeforeCall {
		lossesNeeded = lossesNeededIfContradicted
	}
	if e.suspectedIdles = append(e.suspectedIdles, c.idleBeforeCall); len(e.suspectedIdles) < lossesNeeded {
		return
	}
	e.quarantineLength = min(max(e.quarantineLength*2, minQuarantine), maxQuarantine)
	e.idleLossAt = p.clock
	for _, idle := range e.suspectedIdles {
		stillProven := time.Duration(refutedIdleShare * float64(idle))
		e.provenIdle.limit(stillProven)
		e.recentGoodIdle.limit(stillProven)
		e.ownReuseHistory().add(idle, true)
		if e.quarantinedIdle == 0 || idle < e.quarantinedIdle {
			e.quarantinedIdle = idle
		}
	}
	e.suspectedIdles = e.suspectedIdles[:0]
	e.quarantinedUntil = p.clock + e.quarantineLength
	p.counters.Quarantines++
}

// recordClosing records that the server visibly closed a connection after the given idle time.
func (p *Pool) recordClosing(c *conn, idle time.Duration) {
	p.counters.Closed++
	p.idleTimes.Closed.add(idle)
	e := c.owner
	if c.calls > 0 && idle < closeAfterAnswerWindow {
		p.recordClosingUses(e, c.calls) // the number of calls is the reason, not idling
	} else {
		e.ownCloseHistory().add(idle, true)
	}
	if e.connLimit > 0 && p.clock-e.connLimitAt < connLimitDoubtPeriod {
		e.connLimit = 0 // the server was shutting down, not full
	}
}

// recordClosingUses records that the server closed a connection after the given number of calls.
func (p *Pool) recordClosingUses(e *endpoint, calls int) {
	if e.lastClosingUses != calls {
		e.lastClosingUses, e.sameUsesCount = calls, 0
	}
	if e.sameUsesCount++; e.sameUsesCount >= max(e.sameUsesNeeded, minSameUses) {
		e.maxUses = calls
	}
}
