package verdicts

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBudget is the maximum time for which the statements of a single origin may hold a destination at once.
	maxBudget = time.Second
	// singleRefillRatio is the share of elapsed time that refills the budget of an origin.
	singleRefillRatio = 0.05
	// confirmedRefillRatio is the share of elapsed time that refills the budget while other origins report refusals too.
	confirmedRefillRatio = 0.5
	// confirmationTime is how long a refusal of one origin confirms the statements of another.
	confirmationTime = 10 * time.Second
)

// holdState is a judge's record of the subject of a wait.
type holdState struct {
	until            time.Duration            // end of the hold, as last returned
	lastSuccessStart time.Duration            // start of the newest of this relay's own calls that succeeded
	ownWaitEnd       time.Duration            // end of the wait that the destination asked this relay for
	lastRefusals     map[string]time.Duration // when each origin, this relay included, was last refused
	budgets          map[string]*budget
	lastUse          time.Duration
}

// budget is the time for which the statements of an origin alone may still hold a destination.
type budget struct {
	left      time.Duration
	updatedAt time.Duration
}

// hold returns the record of a subject, and adds one if there is none.
func (j *Judge) hold(now time.Duration, subject Subject) *holdState {
	h := j.holds[subject]
	if h == nil {
		h = &holdState{
			until:            never,
			lastSuccessStart: never,
			ownWaitEnd:       never,
			lastRefusals:     map[string]time.Duration{},
			budgets:          map[string]*budget{},
		}
		j.holds[subject] = h
	}
	h.lastUse = now
	return h
}

// endContradictedHold ends a hold if one of this relay's own calls succeeded that started after the announcement of all known waits.
func (j *Judge) endContradictedHold(now time.Duration, o Observation) []Restraint {
	waitSubject := o.waitSubject()
	h := j.holds[waitSubject]
	if h == nil {
		return nil
	}
	h.lastSuccessStart = max(h.lastSuccessStart, o.StartedAt)
	if h.until <= now {
		return nil
	}
	for _, s := range j.store.ForSubject(now, waitSubject) {
		if s.Origin != j.self && now-s.Age >= h.lastSuccessStart {
			return nil // this wait was announced after the start of the call
		}
	}
	j.counters.Overruled++
	for _, b := range h.budgets {
		b.left = 0
		b.updatedAt = now
	}
	h.until = now
	return []Restraint{holdUntil(waitSubject, now)}
}

// holdUntil returns the restraint that holds a subject until a time.
func holdUntil(subject Subject, until time.Duration) Restraint {
	return Restraint{Order: OrderWait, Destination: subject.Destination, Member: subject.Member, At: until}
}

// judgeWait decides how long to hold a subject. A newly received statement may draw on the budget of its origin.
func (j *Judge) judgeWait(now time.Duration, subject Subject, received *Statement) []Restraint {
	h := j.hold(now, subject)
	until := max(h.until, j.quorumWaitEnd(now, subject, h))
	if received != nil && !received.Withdrawn && now-received.Age >= h.lastSuccessStart {
		until = j.extendByBudget(now, h, received, until)
	}
	if until <= max(h.until, now) || until <= h.ownWaitEnd {
		return nil // the hold does not become longer, or this relay's own wait lasts as long
	}
	h.until = until
	j.counters.Restraints++
	return []Restraint{holdUntil(subject, until)}
}

// quorumWaitEnd returns the time until which a quorum of origins, this relay included, announces waits. It returns never if fewer
// origins than the quorum announce one.
func (j *Judge) quorumWaitEnd(now time.Duration, subject Subject, h *holdState) time.Duration {
	ends := []time.Duration{h.ownWaitEnd}
	for _, s := range j.store.ForSubject(now, subject) {
		madeAt := now - s.Age
		if s.Origin == j.self || madeAt < h.lastSuccessStart {
			continue // this relay's own statement, or contradicted by a call of this relay
		}
		h.lastRefusals[s.Origin] = max(h.lastRefusals[s.Origin], madeAt)
		if !s.Withdrawn {
			ends = append(ends, madeAt+s.Length)
		}
	}
	if len(ends) < j.quorum {
		return never
	}
	latestFirst := func(a, b time.Duration) int { return cmp.Compare(b, a) }
	slices.SortFunc(ends, latestFirst)
	return ends[j.quorum-1]
}

// extendByBudget extends a hold towards the end of a single origin's wait, as far as the budget of the origin covers it.
func (j *Judge) extendByBudget(now time.Duration, h *holdState, received *Statement, until time.Duration) time.Duration {
	end := now - received.Age + received.Length
	from := max(until, now, h.ownWaitEnd)
	if end <= from {
		return until
	}
	until = from + h.draw(now, received.Origin, end-from)
	if until < end {
		j.counters.OverBudget++
	}
	return until
}

// draw takes a duration from the budget of an origin and returns how much of it the budget covered.
func (h *holdState) draw(now time.Duration, origin string, wanted time.Duration) time.Duration {
	b := h.budgets[origin]
	if b == nil {
		b = &budget{left: maxBudget, updatedAt: now}
		h.budgets[origin] = b
	}
	refillRatio := singleRefillRatio
	if h.isConfirmed(now, origin) {
		refillRatio = confirmedRefillRatio
	}
	b.left = min(b.left+time.Duration(refillRatio*float64(now-b.updatedAt)), maxBudget)
	b.updatedAt = now
	drawn := min(b.left, wanted)
	b.left -= drawn
	return drawn
}

// isConfirmed reports whether another origin was refused within confirmationTime.
func (h *holdState) isConfirmed(now time.Duration, origin string) bool {
	for other, at := range h.lastRefusals {
		if other != origin && now-at < confirmationTime {
			return true
		}
	}
	return false
}
