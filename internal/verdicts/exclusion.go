package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ExcludedMembers returns the sorted names of the members that get no new calls because of the fleet's drains and bans.
// Statements of a quorum, or of this relay itself, exclude a member unconditionally. Statements of fewer origins exclude a member only while
// another usable member of the destination remains, so a single origin cannot make a destination unreachable.
func (j *Judge) ExcludedMembers(now time.Duration) []string {
	origins := j.excludingOrigins(now)
	if len(origins) == 0 {
		return nil
	}
	excluded := map[string]bool{}
	remaining := map[int]int{} // number of usable members that nobody excludes, by destination
	for _, m := range j.pool {
		if len(origins[m.Name]) >= j.quorum || origins[m.Name][j.self] {
			excluded[m.Name] = true
		} else if len(origins[m.Name]) == 0 && j.isUsable(m) {
			remaining[m.Destination]++
		}
	}
	for _, m := range j.poolByName() {
		if len(origins[m.Name]) == 0 || excluded[m.Name] {
			continue
		}
		if remaining[m.Destination] > 0 {
			excluded[m.Name] = true
		} else {
			remaining[m.Destination]++ // this member stays available
		}
	}
	return slices.Sorted(maps.Keys(excluded))
}

// excludingOrigins returns the origins that drain or ban each member. A drain counts only if its list version is newer than the
// version of this relay's own list.
func (j *Judge) excludingOrigins(now time.Duration) map[string]map[string]bool {
	origins := map[string]map[string]bool{}
	for _, s := range j.store.All(now) {
		isDrain := s.Kind == Drain && s.ListVersion > j.poolVersion
		if s.Withdrawn || s.Kind != Ban && !isDrain {
			continue
		}
		if origins[s.Member] == nil {
			origins[s.Member] = map[string]bool{}
		}
		origins[s.Member][s.Origin] = true
	}
	return origins
}

// isUsable reports whether a member is not out and this relay's newest call to the member did not fail.
func (j *Judge) isUsable(m Member) bool {
	s := j.members[Subject{Kind: Health, Destination: m.Destination, Member: m.Name}]
	return s == nil || s.lastFailureStart <= s.lastSuccessStart && !s.out
}

// poolByName returns the pool sorted by name.
func (j *Judge) poolByName() []Member {
	byName := func(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(slices.Values(j.pool), byName)
}
