package spread

import (
	"math"
	"slices"
	"time"

	"slatemux/internal/verdicts"
)

// Announce sends this relay's own statements, which are already in the store, to all members: directly in a small fleet, in two
// hops in a larger one.
func (s *Spread) Announce(now time.Duration, statements []verdicts.Statement) []OutgoingPacket {
	s.outgoing = nil
	if len(statements) == 0 {
		return nil
	}
	slices.SortStableFunc(statements, func(a, b verdicts.Statement) int { return int(a.Kind) - int(b.Kind) })
	if len(s.otherMembers) <= maxDirectMembers {
		for _, m := range s.otherMembers {
			s.send(now, m, Packet{Statements: statements})
		}
		return s.outgoing
	}
	s.announceByGroups(now, statements)
	return s.outgoing
}

// announceByGroups sends statements to one random member of each group. That member forwards them to the rest of the group.
func (s *Spread) announceByGroups(now time.Duration, statements []verdicts.Statement) {
	salt := s.rng.Uint64()
	groups := int(math.Ceil(math.Sqrt(float64(len(s.otherMembers)))))
	for g, members := range s.groupMembers(salt, groups) {
		if len(members) == 0 {
			continue
		}
		forwarder := members[s.rng.IntN(len(members))]
		s.send(now, forwarder, Packet{Statements: statements, Salt: salt, Group: g, Groups: groups})
	}
}

// groupMembers divides the other members into groups by the hashes of their names.
func (s *Spread) groupMembers(salt uint64, groups int) [][]string {
	groupLists := make([][]string, groups)
	for _, m := range s.otherMembers {
		g := groupOf(salt, m, groups)
		groupLists[g] = append(groupLists[g], m)
	}
	return groupLists
}

// groupOf returns the group of a member.
func groupOf(salt uint64, member string, groups int) int {
	return int(hashName(salt, member) % uint64(groups))
}
