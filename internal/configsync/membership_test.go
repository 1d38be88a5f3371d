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

// drawPosition returns an end of a scope as a member's position, something close to one, or anything.
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

// TestWithinFindsTheScope compares the members that are found in a scope with a comparison of every position.
func TestWithinFindsTheScope(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		members := fleetMembers(rapid.IntRange(0, 60).Draw(rt, "members"), rapid.IntRange(1, 4).Draw(rt, "regions"), 3)
		m := NewMembership(members)
		scope := Scope{Salt: rapid.Uint64().Draw(rt, "salt")}
		scope.Low, scope.High = drawPosition(rt, m, scope.Salt), drawPosition(rt, m, scope.Salt)
		except := rapid.IntRange(-1, len(members)).Draw(rt, "except")
		var want []string
		for i := range m.members {
			position := m.position(m.candidateAt(i, scope.Salt))
			if position >= scope.Low && position < scope.High && i != except {
				want = append(want, string(position)+m.members[i].Name)
			}
		}
		slices.Sort(want)
		var got []string
		for _, c := range m.appendInScope(nil, scope, except) {
			got = append(got, string(m.position(c))+m.members[c.memberIndex].Name)
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("scope %+v: found %q, want %q", scope, got, want)
		}
	})
}

func TestMembershipKeepsTheFirstOfOneName(t *testing.T) {
	m := NewMembership([]Member{{Name: "a", Zone: "1"}, {Name: "b", Zone: "2"}, {Name: "a", Zone: "3"}})
	if len(m.members) != 2 {
		t.Fatalf("%d members", len(m.members))
	}
	if index, ok := m.index("a"); !ok || m.members[index].Zone != "1" {
		t.Errorf("index %d, %t", index, ok)
	}
	if _, ok := m.index("c"); ok {
		t.Error("a stranger has an index")
	}
}

// TestSaltsShuffleTheWork checks that the relays of a zone take turns at its first position.
func TestSaltsShuffleTheWork(t *testing.T) {
	const relays, salts = 100, 20000
	m := NewMembership(fleetMembers(relays, 1, 1))
	first := make([]int, relays)
	random := rand.New(rand.NewPCG(3, 3))
	for range salts {
		scope := Scope{Salt: random.Uint64(), Low: firstPosition, High: lastPosition}
		first[m.appendInScope(nil, scope, -1)[0].memberIndex]++
	}
	if least, most := slices.Min(first), slices.Max(first); least < 130 || most > 280 { // 200 expected, 5 deviations of 14
		t.Errorf("first between %d and %d times", least, most)
	}
}

func TestLongestPositionIsThatOfAMember(t *testing.T) {
	m := NewMembership([]Member{{Name: "x", Region: "eu", Zone: "a"}, {Name: "y", Region: "eu-west", Zone: strings.Repeat("z", 9)}})
	longest := 0
	for i := range m.members {
		longest = max(longest, len(m.position(m.candidateAt(i, 77))))
	}
	if len(m.longestPosition) != longest {
		t.Errorf("longest %d, want %d", len(m.longestPosition), longest)
	}
}

func BenchmarkWithinWholeFleet(b *testing.B) {
	m := NewMembership(fleetMembers(maxFleetRelays, 3, 3))
	var found []candidate
	for i := range b.N {
		found = m.appendInScope(found[:0], Scope{Salt: uint64(i), Low: firstPosition, High: lastPosition}, -1)
	}
}

func ExampleDefaults() {
	config := Defaults()
	fmt.Println(config.Exchange, config.AckTimeout, config.Attempts, config.FanOut, config.MaxPacketBytes)
	// Output: 1s 400ms 3 4 1200
}
