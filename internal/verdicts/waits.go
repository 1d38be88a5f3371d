package verdicts

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBudget is how long one origin's statements alone may hold a destination at once.
	maxBudget = time.Second
	// singleRefillRatio is the share of the time that passes by which an origin's budget refills.
	singleRefillRatio = 0.05
	// confirmedRefillRatio is that share while other origins too have been turned away there.
	confirmedRefillRatio = 0.5
	// confirmationTime is how long a refusal of another origin counts for that.
	confirmationTime = 10 * time.Second
)

// holdState is what a judge keeps of the subject of a wait.
type holdState struct {
	until            time.Duration            // as last returned
	lastSuccessStart time.Duration            // when the newest of our calls that succeeded was begun
	ownWaitEnd       time.Duration            // end of a wait that this relay was asked for itself
	lastRefusals     map[string]time.Duration // when an origin, this relay included, was last turned away
	budgets          map[string]*budget
	lastUse          time.Duration
}

// budget is how long an origin's statements alone may hold a destination.
type budget struct {
	left      time.Duration
	updatedAt time.Duration
}

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

// endContradictedHold ends a hold where one of our calls succeeded that was begun after the waits were announced.
func (j *Judge) endContradictedHold(now time.Duration, o Observation) []Restraint {
	waitSubject := o.waitSubject()
	h := j.holds[waitSubject]
	if h == nil {
		return nil
	}
	h.lastSuccessStart = max(h.lastSuccessStart, o.Begun)
	if h.until <= now {
		return nil
	}
	for _, s := range j.store.About(now, waitSubject) {
		if s.Origin != j.self && now-s.Age >= h.lastSuccessStart {
			return nil // this one is newer than the call
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

func holdUntil(subject Subject, until time.Duration) Restraint {
	return Restraint{Order: Hold, Destination: subject.Destination, Member: subject.Member, At: until}
}

// judgeWait decides how long a group is to be held. A new statement may draw on its origin's budget.
func (j *Judge) judgeWait(now time.Duration, subject Subject, received *Statement) []Restraint {
	h := j.hold(now, subject)
	until := max(h.until, j.quorumWaitEnd(now, subject, h))
	if received != nil && !received.Over && now-received.Age >= h.lastSuccessStart {
		until = j.extendByBudget(now, h, received, until)
	}
	if until <= max(h.until, now) || until <= h.ownWaitEnd {
		return nil // nothing new, or this relay's own wait holds as long
	}
	h.until = until
	j.counters.Heeded++
	return []Restraint{holdUntil(subject, until)}
}

// quorumWaitEnd is the time until which a quorum of origins, this relay included, announces waits; never for none.
func (j *Judge) quorumWaitEnd(now time.Duration, subject Subject, h *holdState) time.Duration {
	ends := []time.Duration{h.ownWaitEnd}
	for _, s := range j.store.About(now, subject) {
		madeAt := now - s.Age
		if s.Origin == j.self || madeAt < h.lastSuccessStart {
			continue // our own, or contradicted by a call of ours
		}
		h.lastRefusals[s.Origin] = max(h.lastRefusals[s.Origin], madeAt)
		if !s.Over {
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

// extendByBudget extends a hold towards the end of a single origin's wait, as far as its budget goes.
func (j *Judge) extendByBudget(now time.Duration, h *holdState, received *Statement, until time.Duration) time.Duration {
	end := now - received.Age + received.Length
	from := max(until, now, h.ownWaitEnd)
	if end <= from {
		return until
	}
	until = from + h.draw(now, received.Origin, end-from)
	if until < end {
		j.counters.Overdrawn++
	}
	return until
}

// draw takes a duration from an origin's budget, as far as there is.
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

// isConfirmed reports whether another origin has been turned away lately.
func (h *holdState) isConfirmed(now time.Duration, origin string) bool {
	for other, at := range h.lastRefusals {
		if other != origin && now-at < confirmationTime {
			return true
		}
	}
	return false
}
