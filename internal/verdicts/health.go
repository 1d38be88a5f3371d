package verdicts

import (
	"slices"
	"time"
)

// maxRetryAge is the age from which a failed try of another relay does not put off our next one any more.
const maxRetryAge = time.Second

// memberState is what a judge keeps of a member's health.
type memberState struct {
	succeeded   time.Duration // when the newest of our calls that succeeded was begun
	failed      time.Duration // when the newest of our calls that failed was begun
	ownOutSince time.Duration // since when this relay itself holds it out; never where it does not
	out         bool          // returned as out
	putOffBy    string        // the origin whose statement last put our next try off
	lastUse     time.Duration
}

func (j *Judge) member(now time.Duration, destination int, name string) *memberState {
	s := Subject{Kind: Health, Destination: destination, Member: name}
	m := j.members[s]
	if m == nil {
		m = &memberState{succeeded: never, failed: never, ownOutSince: never}
		j.members[s] = m
	}
	m.lastUse = now
	return m
}

// judgeHealth decides whether a member counts as out. A new statement may put off the next try at one that does already.
func (j *Judge) judgeHealth(now time.Duration, destination int, name string, news *Statement) []Restraint {
	m := j.member(now, destination, name)
	list := j.store.About(now, Subject{Kind: Health, Destination: destination, Member: name})
	recovered := j.announcedRecovery(now, list)
	starts := j.announcedOutages(now, list, recovered)
	others := len(starts)
	if m.ownOutSince > never {
		starts = append(starts, m.ownOutSince)
	}
	slices.Sort(starts)
	out := others > 0 && len(starts) >= j.quorum
	if out && m.succeeded > starts[j.quorum-1] {
		out = false
		j.counters.Overruled++
	} else if others > 0 && !out {
		j.counters.Unagreed++
	}
	r := Restraint{Destination: destination, Member: name}
	switch {
	case out && (!m.out || putsOff(news, m)):
		m.out = true
		r.Order = Out
		r.At = starts[j.quorum-1]
		if news != nil {
			m.putOffBy = news.Origin
		}
	case !out && m.out:
		m.out = false
		m.putOffBy = ""
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

// putsOff reports whether a new statement puts off our next try: it tells of a fresh failure, and is not of the origin that
// did so last, for one origin could put the next try off for ever.
func putsOff(news *Statement, m *memberState) bool {
	return news != nil && !news.Over && news.Age < maxRetryAge && news.Origin != m.putOffBy
}

// announcedRecovery is when others last announced that a member answered again; never for not.
func (j *Judge) announcedRecovery(now time.Duration, list []Statement) time.Duration {
	newest := never
	for _, s := range list {
		if s.Over && s.Origin != j.self {
			newest = max(newest, now-s.Age)
		}
	}
	return newest
}

// announcedOutages lists the beginnings of the outages that others have announced after a recovery.
func (j *Judge) announcedOutages(now time.Duration, list []Statement, recovered time.Duration) (starts []time.Duration) {
	for _, s := range list {
		madeAt := now - s.Age
		if !s.Over && s.Origin != j.self && madeAt > recovered {
			starts = append(starts, madeAt-s.Length)
		}
	}
	return starts
}
