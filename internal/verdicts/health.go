package verdicts

import (
	"slices"
	"time"
)

// maxTrialAge is the age from which another relay's failed trial call no longer delays this relay's next trial call.
const maxTrialAge = time.Second

// memberState is a judge's record of a pool member's health.
type memberState struct {
	lastSuccessStart time.Duration // start of the newest of this relay's own calls that succeeded
	lastFailureStart time.Duration // start of the newest of this relay's own calls that failed
	ownOutageStart   time.Duration // start of the outage that this relay has detected itself; never if it has detected none
	out              bool          // the last restraint returned for the member was OrderOutage
	lastDelayOrigin  string        // origin whose statement last delayed this relay's next trial call
	lastUse          time.Duration
}

// member returns the record of a member, and adds one if there is none.
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

// judgeHealth decides whether a member counts as out. If the member already counts as out, a newly received statement may delay this
// relay's next trial call.
func (j *Judge) judgeHealth(now time.Duration, destination int, name string, received *Statement) []Restraint {
	m := j.member(now, destination, name)
	list := j.store.ForSubject(now, Subject{Kind: Health, Destination: destination, Member: name})
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
		j.counters.BelowQuorum++
	}
	r := Restraint{Destination: destination, Member: name}
	switch {
	case out && (!m.out || delaysTrial(received, m)):
		m.out = true
		r.Order = OrderOutage
		r.At = starts[j.quorum-1]
		if received != nil {
			m.lastDelayOrigin = received.Origin
		}
	case !out && m.out:
		m.out = false
		m.lastDelayOrigin = ""
		r.Order, r.At = OrderRelease, now
		if recovered > never {
			r.Order, r.At = OrderRecovery, recovered
		}
	default:
		return nil
	}
	j.counters.Restraints++
	return []Restraint{r}
}

// delaysTrial reports whether a received statement delays this relay's next trial call. The statement has to report a recent failure.
// Its origin has to differ from the origin that caused the last delay. Otherwise a single origin could delay the trial call forever.
func delaysTrial(received *Statement, m *memberState) bool {
	return received != nil && !received.Withdrawn && received.Age < maxTrialAge && received.Origin != m.lastDelayOrigin
}

// latestRecovery returns when another relay last announced the member's recovery, or never.
func (j *Judge) latestRecovery(now time.Duration, list []Statement) time.Duration {
	newest := never
	for _, s := range list {
		if s.Withdrawn && s.Origin != j.self {
			newest = max(newest, now-s.Age)
		}
	}
	return newest
}

// outageStarts returns the start times of the outages that other relays have announced since a recovery.
func (j *Judge) outageStarts(now time.Duration, list []Statement, recovered time.Duration) (starts []time.Duration) {
	for _, s := range list {
		madeAt := now - s.Age
		if !s.Withdrawn && s.Origin != j.self && madeAt > recovered {
			starts = append(starts, madeAt-s.Length)
		}
	}
	return starts
}
