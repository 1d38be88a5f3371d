package verdicts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxPerOrigin is the maximum number of statements that a store keeps per origin. It bounds the memory that a peer can use.
	MaxPerOrigin = 2048
	// MaxNameLength bounds the names of origins and members, in bytes.
	MaxNameLength = 128
)

// Store keeps the live statements of all origins. It maps each pair of origin and subject to the newest statement. When a
// statement arrives over several paths, the store keeps the greatest age, so a copy that took a slower path does not make the
// statement younger. Both rules take the maximum of a total order, so Merge is commutative, associative and idempotent as long
// as no origin has more than MaxPerOrigin statements.
type Store struct {
	origins map[string]map[Subject]*entry
}

// entry is a stored statement.
type entry struct {
	Statement
	madeAt time.Duration // time at which the statement's age was 0, by this relay's clock
	hash   uint64
}

// at returns the statement with its current age.
func (e *entry) at(now time.Duration) Statement {
	s := e.Statement
	s.Age = max(now-e.madeAt, 0)
	return s
}

// isExpired reports whether the statement has expired.
func (e *entry) isExpired(now time.Duration) bool { return e.expiredAt(now - e.madeAt) }

// remaining returns how long the statement stays in force.
func (e *entry) remaining(now time.Duration) time.Duration {
	return min(e.Lifetime, e.Kind.MaxLifetime()) - (now - e.madeAt)
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{origins: map[string]map[Subject]*entry{}} }

// isValid reports whether a statement is well-formed. Malformed statements are not merged, so a peer cannot spread data that a
// later build fails on.
func (s *Statement) isValid() bool {
	knownKind := s.Kind.IsKnown()
	namesFit := s.Origin != "" && len(s.Origin) <= MaxNameLength && len(s.Member) <= MaxNameLength
	timesFit := s.Age >= 0 && s.Length >= 0 && s.Lifetime > 0
	hasMember := s.Kind == Wait || s.Member != ""
	return knownKind && namesFit && timesFit && hasMember && s.Destination >= 0
}

// Merge adds a statement and reports whether the statement is new. Expired statements are not added.
func (st *Store) Merge(now time.Duration, s Statement) bool {
	if !s.isValid() || s.expiredAt(s.Age) {
		return false
	}
	ofOrigin := st.origins[s.Origin]
	if ofOrigin == nil {
		ofOrigin = map[Subject]*entry{}
		st.origins[s.Origin] = ofOrigin
	}
	e := &entry{Statement: s, madeAt: now - s.Age, hash: s.hash()}
	old := ofOrigin[s.Subject]
	if old != nil && !e.replaces(old) {
		return false
	}
	if old == nil && len(ofOrigin) >= MaxPerOrigin {
		evictFirstToExpire(now, ofOrigin)
	}
	ofOrigin[s.Subject] = e
	return true
}

// replaces reports whether an entry replaces an older one of the same origin and subject. If the versions are equal, the entry that
// stays takes the greater of the two ages.
func (e *entry) replaces(old *entry) bool {
	order := e.Version.Compare(old.Version)
	if order != 0 {
		return order > 0
	}
	madeAt := min(old.madeAt, e.madeAt)
	if e.compareContents(&old.Statement) <= 0 {
		old.madeAt = madeAt
		return false
	}
	e.madeAt = madeAt
	return true
}

// evictFirstToExpire drops the statement that expires first among the statements of an origin.
func evictFirstToExpire(now time.Duration, ofOrigin map[Subject]*entry) {
	var first *entry
	for _, e := range ofOrigin {
		if first == nil || cmp.Or(cmp.Compare(e.remaining(now), first.remaining(now)), e.Subject.compare(first.Subject)) < 0 {
			first = e
		}
	}
	delete(ofOrigin, first.Subject)
}

// Sweep drops expired statements and returns their subjects.
func (st *Store) Sweep(now time.Duration) (lost []Subject) {
	for origin, ofOrigin := range st.origins {
		for subject, e := range ofOrigin {
			if e.isExpired(now) {
				delete(ofOrigin, subject)
				lost = append(lost, subject)
			}
		}
		if len(ofOrigin) == 0 {
			delete(st.origins, origin)
		}
	}
	slices.SortFunc(lost, Subject.compare)
	return slices.Compact(lost)
}

// Forget drops all statements of an origin that is no longer a member, and returns their subjects.
func (st *Store) Forget(origin string) []Subject {
	lost := slices.SortedFunc(maps.Keys(st.origins[origin]), Subject.compare)
	delete(st.origins, origin)
	return lost
}

// Len returns the number of statements.
func (st *Store) Len() int {
	n := 0
	for _, ofOrigin := range st.origins {
		n += len(ofOrigin)
	}
	return n
}

// ForSubject returns the live statements about a subject with their current ages, sorted by origin.
func (st *Store) ForSubject(now time.Duration, subject Subject) (list []Statement) {
	for _, ofOrigin := range st.origins {
		if e := ofOrigin[subject]; e != nil && !e.isExpired(now) {
			list = append(list, e.at(now))
		}
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Origin, b.Origin) })
	return list
}

// ForOrigin returns the live statements of an origin, sorted by subject.
func (st *Store) ForOrigin(now time.Duration, origin string) (list []Statement) {
	for _, e := range st.origins[origin] {
		if !e.isExpired(now) {
			list = append(list, e.at(now))
		}
	}
	slices.SortFunc(list, func(a, b Statement) int { return a.Subject.compare(b.Subject) })
	return list
}

// All returns all live statements, sorted by origin and subject.
func (st *Store) All(now time.Duration) (list []Statement) {
	for _, origin := range slices.Sorted(maps.Keys(st.origins)) {
		list = append(list, st.ForOrigin(now, origin)...)
	}
	return list
}
