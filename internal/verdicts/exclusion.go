package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Barred returns the members that get no new calls because of the fleet's drains and bans, sorted. One origin's statement
// bars a member only while another of its destination remains that this relay has not seen fail: a single statement may
// choose among members, and shut nobody out.
func (j *Judge) Barred(now time.Duration) []string {
	origins := j.excludingOrigins(now)
	if len(origins) == 0 {
		return nil
	}
	barred := map[string]bool{}
	remaining := map[int]int{} // usable members that nobody bars, by destination
	for _, m := range j.pool {
		if len(origins[m.Name]) >= j.quorum || origins[m.Name][j.self] {
			barred[m.Name] = true
		} else if len(origins[m.Name]) == 0 && j.isUsable(m) {
			remaining[m.Destination]++
		}
	}
	for _, m := range j.poolByName() {
		if len(origins[m.Name]) == 0 || barred[m.Name] {
			continue
		}
		if remaining[m.Destination] > 0 {
			barred[m.Name] = true
		} else {
			remaining[m.Destination]++ // this one is what remains
		}
	}
	return slices.Sorted(maps.Keys(barred))
}

// excludingOrigins returns the origins that drain or ban a member, by member. Drains that are no newer than the own list do
// not count: the list decides.
func (j *Judge) excludingOrigins(now time.Duration) map[string]map[string]bool {
	origins := map[string]map[string]bool{}
	for _, s := range j.store.All(now) {
		isDrain := s.Kind == Drain && s.List > j.poolVersion
		if s.Over || s.Kind != Ban && !isDrain {
			continue
		}
		if origins[s.Member] == nil {
			origins[s.Member] = map[string]bool{}
		}
		origins[s.Member][s.Origin] = true
	}
	return origins
}

// isUsable reports whether a member is neither out nor failing.
func (j *Judge) isUsable(m Member) bool {
	s := j.members[Subject{Kind: Health, Destination: m.Destination, Member: m.Name}]
	return s == nil || s.lastFailureStart <= s.lastSuccessStart && !s.out
}

func (j *Judge) poolByName() []Member {
	byName := func(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(slices.Values(j.pool), byName)
}
