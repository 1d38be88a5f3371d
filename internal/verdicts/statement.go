// Package verdicts implements the health verdicts that the relays of a fleet exchange about outside destinations. It defines
// what a statement means, how statements merge and expire, how many origins have to agree, and how much a single origin can
// influence.
//
// An Announcer creates this relay's statements, a Store keeps the statements of all relays, and a Judge decides what they mean
// for this relay. The package makes no calls, reads no clock and starts no goroutine. The caller passes in all times, measured
// from one monotonic origin. Packets carry ages instead of times. docs/fleet-verdicts.md describes the design.
package verdicts

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Kind is the kind of a statement.
type Kind byte

// The kinds by priority. When bandwidth is short, statements of lower kinds are sent first.
const (
	Wait   Kind = iota + 1 // a destination refused a call and asked for a wait (retry-after)
	Health                 // a member is out; Withdrawn: the member answers again, and its slow start began at that time
	Drain                  // discovery drains or removes a member; Withdrawn: discovery lists the member again
	Ban                    // operators took a member down; Withdrawn: operators brought the member up
	kinds
)

var kindNames = [kinds]string{Wait: "wait", Health: "health", Drain: "drain", Ban: "ban"}

// String returns the name of the kind.
func (k Kind) String() string {
	if !k.IsKnown() {
		return "unknown"
	}
	return kindNames[k]
}

// IsKnown reports whether this build knows the kind. Statements of unknown kinds are neither merged nor forwarded.
func (k Kind) IsKnown() bool { return k > 0 && k < kinds }

// maxLifetimes bounds how long a statement of each kind stays in force, whatever lifetime its origin sets. After that time, a relay
// that receives no further statements decides on its own again.
var maxLifetimes = [kinds]time.Duration{
	Wait:   60 * time.Second,
	Health: 15 * time.Second,
	Drain:  60 * time.Second,
	Ban:    30 * time.Second,
}

// MaxLifetime returns the maximum lifetime of a statement of the kind. A Wait statement lives for the length of the wait.
func (k Kind) MaxLifetime() time.Duration {
	if !k.IsKnown() {
		return 0
	}
	return maxLifetimes[k]
}

// Subject identifies what a statement is about. A wait for a whole destination names no member. A wait for a separate route names
// the member.
type Subject struct {
	Kind        Kind
	Destination int
	Member      string
}

// compare orders subjects by kind, destination and member.
func (s Subject) compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Destination, o.Destination), cmp.Compare(s.Member, o.Member))
}

// Version orders the statements of one origin. Incarnation counts the starts of the origin, Seq its statements.
type Version struct{ Incarnation, Seq uint64 }

// Compare orders versions from old to new.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.Seq, o.Seq))
}

// Statement is an origin's current announcement about a subject.
type Statement struct {
	Origin string
	Version
	Subject
	Withdrawn   bool          // the origin withdraws the statement
	Length      time.Duration // Wait: length of the wait, from when the statement was made; Health: length of the outage up to then
	ListVersion int64         // Drain: version of discovery's list
	Age         time.Duration // time since the statement was made; each hop adds the time that it kept the statement
	Lifetime    time.Duration // age at which the statement expires; at most Kind.MaxLifetime
}

// expiredAt reports whether the statement is expired at an age.
func (s *Statement) expiredAt(age time.Duration) bool {
	return age >= min(s.Lifetime, s.Kind.MaxLifetime())
}

// compareContents orders two statements of the same version with different contents. Only a faulty or malicious origin makes such
// statements. The one that restrains less wins, so all relays choose the same one.
func (s *Statement) compareContents(o *Statement) int {
	falseFirst := func(a, b bool) int {
		if a == b {
			return 0
		} else if a {
			return 1
		}
		return -1
	}
	return cmp.Or(falseFirst(s.Withdrawn, o.Withdrawn), cmp.Compare(o.Length, s.Length), cmp.Compare(o.Lifetime, s.Lifetime), cmp.Compare(s.ListVersion, o.ListVersion))
}

// hash identifies the statement without its age. The hash is the same at every relay.
func (s *Statement) hash() uint64 {
	h := fnv.New64a()
	b := make([]byte, 0, 64)
	for _, x := range [...]uint64{uint64(s.Kind), uint64(s.Destination), s.Incarnation, s.Seq, uint64(s.Length), uint64(s.Lifetime), uint64(s.ListVersion)} {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	if s.Withdrawn {
		b = append(b, 1)
	}
	_, _ = h.Write(b)
	_, _ = h.Write([]byte(s.Member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(s.Origin))
	return h.Sum64()
}
