package verdicts

import (
	"slices"
	"time"
)

// Teller words this relay's own statements. What the fleet knows already is not said again.
type Teller struct {
	origin string
	at     Version
	health map[Subject]bool // members that it has said to be out
	bans   map[Subject]bool
}

// sameWait is how much longer than what holds already a wait must be to be worth telling: a partner that is at its
// limit tells many at one moment, and a wait that is over before it is known holds nobody.
const sameWait = 50 * time.Millisecond

// NewTeller returns one for a relay's incarnation.
func NewTeller(origin string, incarnation uint64) *Teller {
	return &Teller{origin: origin, at: Version{Incarnation: incarnation}, health: map[Subject]bool{}, bans: map[Subject]bool{}}
}

// Incarnation is the present one.
func (t *Teller) Incarnation() uint64 { return t.at.Incarnation }

// Above goes over to an incarnation above one that is heard of: another process spoke under this name, or the folder that
// counts the starts was lost. It says whether that was so.
func (t *Teller) Above(v Version) bool {
	if v.Compare(t.at) <= 0 {
		return false
	}
	t.at = Version{Incarnation: v.Incarnation + 1}
	return true
}

func (t *Teller) say(s Statement) Statement {
	t.at.Seq++
	s.Origin, s.Version = t.origin, t.at
	if s.Life == 0 {
		s.Life = s.Kind.Life()
	}
	return s
}

// Waits words a wait that this relay was told, unless the others hold as long already.
func (t *Teller) Waits(now time.Duration, b *Book, s Sight) (Statement, bool) {
	if s.Sighted != Refused || s.Wait < sameWait {
		return Statement{}, false
	}
	for _, o := range b.Of(now, s.group()) {
		if !o.Over && o.Length-o.Age+sameWait > s.Wait {
			return Statement{}, false
		}
	}
	return t.say(Statement{Subject: s.group(), Length: s.Wait, Life: min(s.Wait, Wait.Life())}), true
}

// IsOut words an outage that has lasted so long, or another try there that failed.
func (t *Teller) IsOut(destination int, member string, lasted time.Duration) Statement {
	s := Subject{Health, destination, member}
	t.health[s] = true
	return t.say(Statement{Subject: s, Length: max(lasted, 0)})
}

// IsBack words that a member answered after an outage. Where nobody had said that it was out there is nothing to
// take back.
func (t *Teller) IsBack(now time.Duration, b *Book, destination int, member string) (Statement, bool) {
	s := Subject{Health, destination, member}
	out := func(o Statement) bool { return !o.Over }
	if !t.health[s] && !slices.ContainsFunc(b.Of(now, s), out) {
		return Statement{}, false
	}
	delete(t.health, s)
	return t.say(Statement{Subject: s, Over: true}), true
}

// Drains words what discovery said of a member at a version of its list.
func (t *Teller) Drains(destination int, member string, list int64, over bool) Statement {
	return t.say(Statement{Subject: Subject{Drain, destination, member}, List: list, Over: over})
}

// Bans words that operators took a member down, or brought it up. A ban that stands is to be said again every
// third of its life.
func (t *Teller) Bans(destination int, member string, down bool) Statement {
	s := Subject{Ban, destination, member}
	if down {
		t.bans[s] = true
	} else {
		delete(t.bans, s)
	}
	return t.say(Statement{Subject: s, Over: !down})
}

// Standing words all bans that stand, and forgets members that are gone from the list.
func (t *Teller) Standing(listed func(member string) bool) (list []Statement) {
	for s := range t.health {
		if !listed(s.Member) {
			delete(t.health, s)
		}
	}
	for s := range t.bans {
		if !listed(s.Member) {
			delete(t.bans, s)
			continue
		}
		list = append(list, t.say(Statement{Subject: s}))
	}
	return list
}
