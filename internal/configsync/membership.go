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

// Membership is an immutable set of members, prepared for lookups by name and by position. The replicas of one process may
// share a Membership.
type Membership struct {
	members     []Member // ascending by region, zone and name
	nameHashes  []uint64 // hashes of the members' names, in the order of members
	indexByName map[string]int
	zones       []zoneMembers
	// longestPosition is a string of the same length as the longest position of a member.
	longestPosition Position
}

// zoneMembers is the range of members that belong to one zone.
type zoneMembers struct {
	prefix     Position // common prefix of the positions of all members of the zone
	start, end int
}

// positionHashBits is the number of bits of the salted hash in a position. Two of 4,000 members agree in all bits less than
// once in 10 million pushes. One of these members may then have to wait for anti-entropy.
const positionHashBits = 48

const (
	// positionHashDigits is the number of hexadecimal digits of the hash in a position.
	positionHashDigits = positionHashBits / 4
	// afterHexDigits sorts after every hexadecimal digit.
	afterHexDigits = "g"
)

// NewMembership prepares a copy of a set of members. If several members have the same name, it keeps the first.
func NewMembership(members []Member) *Membership {
	m := &Membership{members: make([]Member, 0, len(members)), indexByName: make(map[string]int, len(members))}
	for _, member := range members {
		if _, exists := m.indexByName[member.Name]; !exists {
			m.indexByName[member.Name] = 0
			m.members = append(m.members, member)
		}
	}
	slices.SortFunc(m.members, compareMembers)
	m.nameHashes = make([]uint64, len(m.members))
	for i, member := range m.members {
		m.indexByName[member.Name] = i
		m.nameHashes[i] = xxhash.Sum64String(member.Name)
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
		if length := len(prefix) + positionHashDigits; length > len(m.longestPosition) {
			m.longestPosition = Position(strings.Repeat("~", length))
		}
	}
	m.zones[len(m.zones)-1].end = index + 1
}

// index returns the index of a member by its name.
func (m *Membership) index(name string) (int, bool) {
	index, ok := m.indexByName[name]
	return index, ok
}

// candidate is a member of a scope with its hash under the scope's salt.
type candidate struct {
	memberIndex int
	zoneIndex   int
	hash        uint64
}

// position returns the position of a candidate.
func (m *Membership) position(c candidate) Position {
	return m.zones[c.zoneIndex].prefix + Position(positionSuffix(c.hash))
}

func positionSuffix(hash uint64) string { return fmt.Sprintf("%0*x", positionHashDigits, hash) }

// saltedHash combines the hash of a name with a salt, using the finalizer of SplitMix64.
func saltedHash(nameHash, salt uint64) uint64 {
	x := nameHash ^ salt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x ^ x>>31) >> (64 - positionHashBits)
}

// candidateAt returns the member at an index as a candidate under a salt.
func (m *Membership) candidateAt(index int, salt uint64) candidate {
	zone, _ := slices.BinarySearchFunc(m.zones, index, func(z zoneMembers, index int) int {
		if z.end <= index {
			return -1
		}
		return 1
	})
	return candidate{memberIndex: index, zoneIndex: zone, hash: saltedHash(m.nameHashes[index], salt)}
}

// appendInScope appends the members of a scope except one, in the order of their positions. It only searches zones that the
// scope overlaps.
func (m *Membership) appendInScope(found []candidate, scope Scope, excluded int) []candidate {
	for zoneIndex, zone := range m.zones {
		after := zone.prefix + afterHexDigits
		if scope.Low >= after || scope.High <= zone.prefix {
			continue
		}
		low, high := "", afterHexDigits
		if scope.Low > zone.prefix { // scope.Low begins with the prefix, because it is also below after
			low = string(scope.Low[len(zone.prefix):])
		}
		if scope.High < after {
			high = string(scope.High[len(zone.prefix):])
		}
		found = m.appendInZone(found, zoneIndex, scope.Salt, low, high, excluded)
	}
	return found
}

// appendInZone appends the members of a zone whose position has a suffix in [low, high), in ascending order.
func (m *Membership) appendInZone(found []candidate, zoneIndex int, salt uint64, low, high string, excluded int) []candidate {
	zone, first := m.zones[zoneIndex], len(found)
	minHash, hashLimit := minHashFrom(low), minHashFrom(high)
	for index := zone.start; index < zone.end; index++ {
		hash := saltedHash(m.nameHashes[index], salt)
		if index != excluded && hash >= minHash && hash < hashLimit {
			found = append(found, candidate{memberIndex: index, zoneIndex: zoneIndex, hash: hash})
		}
	}
	slices.SortFunc(found[first:], func(a, b candidate) int { return cmp.Or(cmp.Compare(a.hash, b.hash), a.memberIndex-b.memberIndex) })
	return found
}

// minHashFrom returns the lowest hash whose suffix is not below a text, or 1<<positionHashBits if there is none. The text may
// come from another relay and may have any content.
func minHashFrom(text string) uint64 {
	hash := uint64(0)
	for i := range positionHashDigits {
		shift := 4 * (positionHashDigits - 1 - i)
		if i == len(text) {
			return hash << (shift + 4)
		}
		digit := hexDigitsBelow(text[i])
		hash = hash<<4 + digit
		if digit == uint64(len(hexDigits)) || hexDigits[digit] != text[i] {
			return hash << shift
		}
	}
	if len(text) > positionHashDigits {
		hash++
	}
	return hash
}

const hexDigits = "0123456789abcdef"

// hexDigitsBelow counts the hexadecimal digits that sort before a character.
func hexDigitsBelow(character byte) uint64 {
	count := uint64(0)
	for count < uint64(len(hexDigits)) && hexDigits[count] < character {
		count++
	}
	return count
}
