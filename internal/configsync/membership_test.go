package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// drawPosition returns an end of a scope: the position of a member, a similar string, or any string.
func drawPosition(rt *rapid.T, m *Membership, salt uint64) Position {
	anything := Position(rapid.StringN(0, 30, 60).Draw(rt, "text"))
	if len(m.members) == 0 || rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
		return anything
	}
	position := m.position(m.candidateAt(rapid.IntRange(0, len(m.members)-1).Draw(rt, "member"), salt))
	switch rapid.IntRange(0, 4).Draw(rt, "near") {
	case 0:
		return position + "\x00"
	case 1:
		return position[:rapid.IntRange(0, len(position)).Draw(rt, "length")]
	case 2:
		at := rapid.IntRange(0, len(position)-1).Draw(rt, "at")
		return position[:at] + Position(rapid.SampledFrom([]string{"/", ":", "`", "g", "G", "a", "9", "\xff"}).Draw(rt, "character"))
	}
	return position
}

// TestAppendInScopeFindsAllMembers compares the members that appendInScope finds with a search over the positions of all members.
func TestAppendInScopeFindsAllMembers(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		members := fleetMembers(rapid.IntRange(0, 60).Draw(rt, "members"), rapid.IntRange(1, 4).Draw(rt, "regions"), 3)
		m := NewMembership(members)
		scope := Scope{Salt: rapid.Uint64().Draw(rt, "salt")}
		scope.Low, scope.High = drawPosition(rt, m, scope.Salt), drawPosition(rt, m, scope.Salt)
		excluded := rapid.IntRange(-1, len(members)).Draw(rt, "except")
		var want []string
		for i := range m.members {
			position := m.position(m.candidateAt(i, scope.Salt))
			if position >= scope.Low && position < scope.High && i != excluded {
				want = append(want, string(position)+m.members[i].Name)
			}
		}
		slices.Sort(want)
		var got []string
		for _, c := range m.appendInScope(nil, scope, excluded) {
			got = append(got, string(m.position(c))+m.members[c.memberIndex].Name)
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("scope %+v: found %q, want %q", scope, got, want)
		}
	})
}

func TestMembershipKeepsFirstOfDuplicateNames(t *testing.T) {
	m := NewMembership([]Member{{Name: "a", Zone: "1"}, {Name: "b", Zone: "2"}, {Name: "a", Zone: "3"}})
	if len(m.members) != 2 {
		t.Fatalf("membership holds %d members, want 2", len(m.members))
	}
	if index, ok := m.index("a"); !ok || m.members[index].Zone != "1" {
		t.Errorf("index of a is %d, found %t", index, ok)
	}
	if _, ok := m.index("c"); ok {
		t.Error("a relay that is not a member has an index")
	}
}

// TestSaltsSpreadWork checks that different salts put different relays of a zone at the zone's first position.
func TestSaltsSpreadWork(t *testing.T) {
	const relays, salts = 100, 20000
	m := NewMembership(fleetMembers(relays, 1, 1))
	firstCounts := make([]int, relays)
	random := rand.New(rand.NewPCG(3, 3))
	for range salts {
		scope := Scope{Salt: random.Uint64(), Low: firstPosition, High: lastPosition}
		firstCounts[m.appendInScope(nil, scope, -1)[0].memberIndex]++
	}
	// 200 are expected, the limits are about 5 standard deviations of 14 away.
	if minCount, maxCount := slices.Min(firstCounts), slices.Max(firstCounts); minCount < 130 || maxCount > 280 {
		t.Errorf("relays were first between %d and %d times", minCount, maxCount)
	}
}

// TestLongestPositionMatchesMembers checks the length that the size of a push is computed from. If it were too short, pushes
// could exceed the packet size.
func TestLongestPositionMatchesMembers(t *testing.T) {
	m := NewMembership([]Member{{Name: "x", Region: "eu", Zone: "a"}, {Name: "y", Region: "eu-west", Zone: strings.Repeat("z", 9)}})
	longest := 0
	for i := range m.members {
		longest = max(longest, len(m.position(m.candidateAt(i, 77))))
	}
	if len(m.longestPosition) != longest {
		t.Errorf("longest position has %d bytes, want %d", len(m.longestPosition), longest)
	}
}

func BenchmarkAppendInScopeWholeFleet(b *testing.B) {
	m := NewMembership(fleetMembers(maxFleetRelays, 3, 3))
	var found []candidate
	for i := range b.N {
		found = m.appendInScope(found[:0], Scope{Salt: uint64(i), Low: firstPosition, High: lastPosition}, -1)
	}
}

func ExampleDefaults() {
	config := Defaults()
	fmt.Println(config.ExchangeInterval, config.AckTimeout, config.MaxAttempts, config.FanOut, config.MaxPacketBytes)
	// Output: 1s 400ms 3 4 1200
}
