package configsync

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is a live relay that replicates configuration.
type Member struct {
	Name, Region, Zone string
}

// Membership is an immutable set of members, prepared for lookups by name and by position. Replicas of one process may share
// one.
type Membership struct {
	members []Member // ascending by region, zone and name
	hashes  []uint64 // of their names
	indexes map[string]int
	zones   []zoneMembers
	// longest is as long as the longest position.
	longest Position
}

// zoneMembers are the members of one zone.
type zoneMembers struct {
	prefix     Position // of the positions of all its members
	start, end int
}

// positionHashBits is how much of the salted hash is part of a position. Two of 4,000 members agree in all of it once in more than
// 10 million pushes; one of them may then have to wait for anti-entropy.
const positionHashBits = 48

// positionHashDigits is how many hexadecimal digits that takes; afterDigits comes after each of them.
const (
	positionHashDigits = positionHashBits / 4
	afterDigits        = "g"
)

// NewMembership prepares a set of members. It copies them; of members with one name it keeps the first.
func NewMembership(members []Member) *Membership {
	m := &Membership{members: make([]Member, 0, len(members)), indexes: make(map[string]int, len(members))}
	for _, member := range members {
		if _, exists := m.indexes[member.Name]; !exists {
			m.indexes[member.Name] = 0
			m.members = append(m.members, member)
		}
	}
	slices.SortFunc(m.members, compareMembers)
	m.hashes = make([]uint64, len(m.members))
	for i, member := range m.members {
		m.indexes[member.Name] = i
		m.hashes[i] = xxhash.Sum64String(member.Name)
		m.addToZone(i)
	}
	return m
}

func compareMembers(a, b Member) int {
	return cmp.Or(strings.Compare(a.Region, b.Region), strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
}

func (m *Membership) addToZone(index int) {
	prefix := Position(m.members[index].Region + "\x00" + m.members[index].Zone + "\x00")
	if len(m.zones) == 0 || m.zones[len(m.zones)-1].prefix != prefix {
		m.zones = append(m.zones, zoneMembers{prefix: prefix, start: index})
		if length := len(prefix) + positionHashDigits; length > len(m.longest) {
			m.longest = Position(strings.Repeat("~", length))
		}
	}
	m.zones[len(m.zones)-1].end = index + 1
}

// index returns the number of a member by its name.
func (m *Membership) index(name string) (int, bool) {
	index, ok := m.indexes[name]
	return index, ok
}

// candidate is a member in the order of its position under a salt.
type candidate struct {
	index int
	zone  int
	hash  uint64
}

// position returns the position of a candidate.
func (m *Membership) position(c candidate) Position {
	return m.zones[c.zone].prefix + Position(positionSuffix(c.hash))
}

func positionSuffix(hash uint64) string { return fmt.Sprintf("%0*x", positionHashDigits, hash) }

// saltedHash mixes the hash of a name with a salt, by the finalizer of SplitMix64.
func saltedHash(nameHash, salt uint64) uint64 {
	x := nameHash ^ salt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x ^ x>>31) >> (64 - positionHashBits)
}

// candidate returns the member of that number as a candidate under a salt.
func (m *Membership) candidate(index int, salt uint64) candidate {
	zone, _ := slices.BinarySearchFunc(m.zones, index, func(z zoneMembers, index int) int {
		if z.end <= index {
			return -1
		}
		return 1
	})
	return candidate{index: index, zone: zone, hash: saltedHash(m.hashes[index], salt)}
}

// within appends the members of a scope, but for one, in the order of their positions. It looks only at zones that the scope
// overlaps.
func (m *Membership) within(found []candidate, scope Scope, except int) []candidate {
	for number, zone := range m.zones {
		after := zone.prefix + afterDigits
		if scope.Low >= after || scope.High <= zone.prefix {
			continue
		}
		low, high := "", afterDigits
		if scope.Low > zone.prefix { // then it begins with the prefix, for it is below after
			low = string(scope.Low[len(zone.prefix):])
		}
		if scope.High < after {
			high = string(scope.High[len(zone.prefix):])
		}
		found = m.withinZone(found, number, scope.Salt, low, high, except)
	}
	return found
}

// withinZone appends the members of a zone whose position's suffix lies in [low, high), ascending.
func (m *Membership) withinZone(found []candidate, number int, salt uint64, low, high string, except int) []candidate {
	zone, first := m.zones[number], len(found)
	lowest, highest := lowestHash(low), lowestHash(high)
	for index := zone.start; index < zone.end; index++ {
		hash := saltedHash(m.hashes[index], salt)
		if index != except && hash >= lowest && hash < highest {
			found = append(found, candidate{index: index, zone: number, hash: hash})
		}
	}
	slices.SortFunc(found[first:], func(a, b candidate) int { return cmp.Or(cmp.Compare(a.hash, b.hash), a.index-b.index) })
	return found
}

// lowestHash returns the lowest hash whose suffix is not below a text, which any relay may have sent; 1<<positionHashBits if
// there is none.
func lowestHash(text string) uint64 {
	hash := uint64(0)
	for i := range positionHashDigits {
		shift := 4 * (positionHashDigits - 1 - i)
		if i == len(text) {
			return hash << (shift + 4)
		}
		below := digitsBelow(text[i])
		hash = hash<<4 + below
		if below == uint64(len(hexDigits)) || hexDigits[below] != text[i] {
			return hash << shift
		}
	}
	if len(text) > positionHashDigits {
		hash++
	}
	return hash
}

const hexDigits = "0123456789abcdef"

// digitsBelow counts the hexadecimal digits that sort before a character.
func digitsBelow(character byte) uint64 {
	count := uint64(0)
	for count < uint64(len(hexDigits)) && hexDigits[count] < character {
		count++
	}
	return count
}
