// Package verdicts decides what relays of one fleet learn from each other about outside destinations: what a statement
// means, how statements merge and expire, how many origins must agree, and what a single origin may do.
//
// An Announcer makes this relay's statements, a Store keeps those of all relays, and a Judge decides what they mean for
// this relay. The package makes no calls, reads no clock and starts no goroutine: times are those that its caller hands
// in, all from one monotonic origin, and packets carry ages in place of times. docs/fleet-verdicts.md is its design.
package verdicts

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Kind is what a statement is about.
type Kind byte

// The kinds, by priority: where bandwidth is short, the lower ones are sent first.
const (
	Wait   Kind = iota + 1 // a call was turned away and told to wait
	Health                 // a member is out; Over: it answered again, and was cold from then on
	Drain                  // discovery drains or removes a member; Over: it is listed again
	Ban                    // operators took a member down; Over: they brought it up
	kinds
)

var kindNames = [kinds]string{Wait: "wait", Health: "health", Drain: "drain", Ban: "ban"}

func (k Kind) String() string {
	if !k.IsKnown() {
		return "unknown"
	}
	return kindNames[k]
}

// IsKnown says whether this build knows the kind. A statement of another is neither merged nor forwarded.
func (k Kind) IsKnown() bool { return k > 0 && k < kinds }

// maxLifetimes bounds how long a statement of each kind is in force, whatever life its origin gives it: after that, a relay that
// hears nothing more decides alone again.
var maxLifetimes = [kinds]time.Duration{
	Wait:   60 * time.Second,
	Health: 15 * time.Second,
	Drain:  60 * time.Second,
	Ban:    30 * time.Second,
}

// Life is the longest life of a statement of the kind. A wait lives for its length.
func (k Kind) Life() time.Duration {
	if !k.IsKnown() {
		return 0
	}
	return maxLifetimes[k]
}

// Subject is what a statement is about. A wait of a whole destination names no member; one of a route apart does.
type Subject struct {
	Kind        Kind
	Destination int
	Member      string
}

func (s Subject) compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Destination, o.Destination), cmp.Compare(s.Member, o.Member))
}

// Version orders the statements of one origin: its incarnation counts its starts, the sequence its statements.
type Version struct{ Incarnation, Seq uint64 }

// Compare orders versions, the older first.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Incarnation, o.Incarnation), cmp.Compare(v.Seq, o.Seq))
}

// Statement is one origin's current announcement on one subject.
type Statement struct {
	Origin string
	Version
	Subject
	Over   bool          // the origin withdraws it
	Length time.Duration // Wait: how long, from when it was asked for; Health: how long the outage had lasted then
	List   int64         // Drain: the version of discovery's list
	Age    time.Duration // since it was made; each hop adds how long it kept it
	Life   time.Duration // it is not in force once it is older; at most Kind.Life
}

// expiredAt reports whether a statement of an age is not in force any more.
func (s *Statement) expiredAt(age time.Duration) bool { return age >= min(s.Life, s.Kind.Life()) }

// compareContents orders two different statements of one version, which only a faulty or malicious origin makes: the one that restrains
// less wins, at every relay alike.
func (s *Statement) compareContents(o *Statement) int {
	falseFirst := func(a, b bool) int {
		if a == b {
			return 0
		} else if a {
			return 1
		}
		return -1
	}
	return cmp.Or(falseFirst(s.Over, o.Over), cmp.Compare(o.Length, s.Length), cmp.Compare(o.Life, s.Life), cmp.Compare(s.List, o.List))
}

// hash identifies a statement, the same at every relay. Its age does not count.
func (s *Statement) hash() uint64 {
	h := fnv.New64a()
	b := make([]byte, 0, 64)
	for _, x := range [...]uint64{uint64(s.Kind), uint64(s.Destination), s.Incarnation, s.Seq, uint64(s.Length), uint64(s.Life), uint64(s.List)} {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	if s.Over {
		b = append(b, 1)
	}
	_, _ = h.Write(b)
	_, _ = h.Write([]byte(s.Member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(s.Origin))
	return h.Sum64()
}
