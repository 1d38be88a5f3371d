package verdicts

import (
	"slices"
	"time"
)

// maxTrialAge is the age from which a failed try of another relay does not put off our next one any more.
const maxTrialAge = time.Second

// memberState is what a judge keeps of a member's health.
type memberState struct {
	lastSuccessStart time.Duration // when the newest of our calls that succeeded was begun
	lastFailureStart time.Duration // when the newest of our calls that failed was begun
	ownOutageStart   time.Duration // since when this relay itself holds it out; never where it does not
	out              bool          // returned as out
	lastDelayOrigin  string        // the origin whose statement last put our next try off
	lastUse          time.Duration
}

func (j *Judge) member(now time.Duration, destination int, name string) *memberState {
	s := Subject{Kind: Health, Destination: destination, Member: name}
	m := j.members[s]
	if m == nil {
		m = &memberState{lastSuccessStart: never, lastFailureStart: never, ownOutageStart: never}
		j.members[s] = m
	}
	m.lastUse = now
	return m
}

// judgeHealth decides whether a member counts as out. A new statement may put off the next try at one that does already.
func (j *Judge) judgeHealth(now time.Duration, destination int, name string, received *Statement) []Restraint {
	m := j.member(now, destination, name)
	list := j.store.About(now, Subject{Kind: Health, Destination: destination, Member: name})
	recovered := j.latestRecovery(now, list)
	starts := j.outageStarts(now, list, recovered)
	otherOrigins := len(starts)
	if m.ownOutageStart > never {
		starts = append(starts, m.ownOutageStart)
	}
	slices.Sort(starts)
	out := otherOrigins > 0 && len(starts) >= j.quorum
	if out && m.lastSuccessStart > starts[j.quorum-1] {
		out = false
		j.counters.Overruled++
	} else if otherOrigins > 0 && !out {
		j.counters.Unagreed++
	}
	r := Restraint{Destination: destination, Member: name}
	switch {
	case out && (!m.out || delaysTrial(received, m)):
		m.out = true
		r.Order = Out
		r.At = starts[j.quorum-1]
		if received != nil {
			m.lastDelayOrigin = received.Origin
		}
	case !out && m.out:
		m.out = false
		m.lastDelayOrigin = ""
		r.Order, r.At = Free, now
		if recovered > never {
			r.Order, r.At = Back, recovered
		}
	default:
		return nil
	}
	j.counters.Heeded++
	return []Restraint{r}
}

// delaysTrial reports whether a new statement puts off our next try: it tells of a fresh failure, and is not of the origin that
// did so last, for one origin could put the next try off for ever.
func delaysTrial(received *Statement, m *memberState) bool {
	return received != nil && !received.Over && received.Age < maxTrialAge && received.Origin != m.lastDelayOrigin
}

// latestRecovery is when others last announced that a member answered again; never for not.
func (j *Judge) latestRecovery(now time.Duration, list []Statement) time.Duration {
	newest := never
	for _, s := range list {
		if s.Over && s.Origin != j.self {
			newest = max(newest, now-s.Age)
		}
	}
	return newest
}

// outageStarts lists the beginnings of the outages that others have announced after a recovery.
func (j *Judge) outageStarts(now time.Duration, list []Statement, recovered time.Duration) (starts []time.Duration) {
	for _, s := range list {
		madeAt := now - s.Age
		if !s.Over && s.Origin != j.self && madeAt > recovered {
			starts = append(starts, madeAt-s.Length)
		}
	}
	return starts
}
