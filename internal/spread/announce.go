package spread

import (
	"math"
	"slices"
	"time"

	"slatemux/internal/verdicts"
)

// Announce sends statements of this relay's own, which the store has, to all members: directly in a small fleet, and in two
// hops in a larger one.
func (s *Spread) Announce(now time.Duration, news []verdicts.Statement) []Send {
	s.out = nil
	if len(news) == 0 {
		return nil
	}
	slices.SortStableFunc(news, func(a, b verdicts.Statement) int { return int(a.Kind) - int(b.Kind) })
	if len(s.others) <= maxDirect {
		for _, m := range s.others {
			s.send(now, m, Packet{News: news})
		}
		return s.out
	}
	s.announceByGroups(now, news)
	return s.out
}

// announceByGroups sends statements to one random member of each group, which forwards them to the others of its group.
func (s *Spread) announceByGroups(now time.Duration, news []verdicts.Statement) {
	salt := s.rng.Uint64()
	groups := int(math.Ceil(math.Sqrt(float64(len(s.others)))))
	for g, members := range s.grouped(salt, groups) {
		if len(members) == 0 {
			continue
		}
		forwarder := members[s.rng.IntN(len(members))]
		s.send(now, forwarder, Packet{News: news, Salt: salt, Group: g, Groups: groups})
	}
}

// grouped divides the other members into groups by the hashes of their names.
func (s *Spread) grouped(salt uint64, groups int) [][]string {
	lists := make([][]string, groups)
	for _, m := range s.others {
		g := groupOf(salt, m, groups)
		lists[g] = append(lists[g], m)
	}
	return lists
}

func groupOf(salt uint64, member string, groups int) int {
	return int(hash(salt, member) % uint64(groups))
}
