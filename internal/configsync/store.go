package configsync

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Errors that Store.Apply returns.
var (
	ErrInvalid   = errors.New("invalid change")
	ErrUntrusted = errors.New("change is not signed by a trusted source")
	ErrFull      = errors.New("too many configuration entries")
)

// maxSources bounds the version vectors of stores and of messages.
const maxSources = 64

// Store holds the entries in force and the version vector that describes them. Merging is commutative, associative and
// idempotent: the order, the grouping and the number of arrivals of a set of changes do not matter. It keeps the slices of the
// changes that it is given; nobody may modify them afterwards.
type Store struct {
	verifier    Verifier
	maxEntries  int
	entries     map[string]entry
	sources     map[string]*sourceIndex
	names       []string // of the sources, sorted
	digest      uint64
	maxRevision uint64
	// vector caches what is told others. It is shared with messages, hence replaced and never modified.
	vector  VersionVector
	planted plantedDefects
}

// entry is the change in force of one key; removed ones are kept.
type entry struct {
	change *Change
	hash   uint64
}

// NewStore returns an empty store that holds at most maxEntries entries, removed ones included.
func NewStore(verifier Verifier, maxEntries int) *Store {
	return &Store{verifier: verifier, maxEntries: maxEntries, entries: map[string]entry{}, sources: map[string]*sourceIndex{}}
}

// Apply verifies a change and merges it. It reports whether the entry in force has changed.
func (s *Store) Apply(change Change) (bool, error) {
	result, err := s.merge(&change)
	return result.inForce, err
}

// mergeResult says what a merged change was to the store.
type mergeResult struct {
	inForce bool // it came into force
	known   bool // its sequence had been seen
}

// merge verifies a change and merges it. The store keeps the pointer where the change comes into force.
func (s *Store) merge(change *Change) (mergeResult, error) {
	if err := change.validate(); err != nil {
		return mergeResult{}, err
	}
	current, exists := s.entries[change.Key]
	if exists && current.change.Sequence == change.Sequence && compareChanges(current.change, change) == 0 {
		return mergeResult{known: true}, nil
	}
	if err := s.verify(change); err != nil {
		return mergeResult{}, err
	}
	if !exists && len(s.entries) >= s.maxEntries {
		return mergeResult{}, ErrFull
	}
	index, err := s.source(change.Source)
	if err != nil {
		return mergeResult{}, err
	}
	result := mergeResult{known: index.knows(change.Sequence)}
	s.maxRevision = max(s.maxRevision, change.Revision)
	if s.wins(change, current.change) {
		result.inForce = true
		s.replace(change, index)
	} else if !result.known {
		index.insert(reference{change.Sequence, change.Key})
	}
	s.note(change, index)
	return result, nil
}

func (s *Store) verify(change *Change) error {
	if s.planted.skipVerification {
		return nil
	}
	if err := s.verifier.Verify(change); err != nil {
		return fmt.Errorf("%w: %w", ErrUntrusted, err)
	}
	return nil
}

func (s *Store) wins(change, current *Change) bool {
	return current == nil || s.planted.lastArrivalWins || compareChanges(change, current) > 0
}

// source returns the index of a source, a new one if need be.
func (s *Store) source(name string) (*sourceIndex, error) {
	if index := s.sources[name]; index != nil {
		return index, nil
	}
	if len(s.sources) >= maxSources {
		return nil, fmt.Errorf("%w: more than %d sources", ErrFull, maxSources)
	}
	index := &sourceIndex{}
	s.sources[name] = index
	position, _ := slices.BinarySearch(s.names, name)
	s.names = slices.Insert(s.names, position, name)
	s.vector = nil
	return index, nil
}

// replace brings a change into force.
func (s *Store) replace(change *Change, index *sourceIndex) {
	old, exists := s.entries[change.Key]
	if exists {
		s.digest -= old.hash
		s.sources[old.change.Source].live--
	}
	hash := change.hash()
	s.digest += hash
	s.entries[change.Key] = entry{change: change, hash: hash}
	index.live++
	index.insert(reference{change.Sequence, change.Key})
	if exists {
		s.compact(old.change.Source)
	}
}

func (s *Store) compact(source string) {
	s.sources[source].compact(func(r reference) bool { return s.inForce(source, r) != nil })
}

// note records that a change of a source has been seen.
func (s *Store) note(change *Change, index *sourceIndex) {
	if index.head == nil || index.head.Sequence < change.Sequence {
		index.head = change
	}
	before := index.watermark
	index.advance()
	if s.planted.advanceOverGaps {
		index.watermark = max(index.watermark, change.Sequence)
	}
	if index.watermark != before {
		s.vector = nil
	}
	s.compact(change.Source)
}

// inForce returns the change that a reference points to, nil if it was superseded.
func (s *Store) inForce(source string, r reference) *Change {
	change := s.entries[r.key].change
	if change == nil || change.Source != source || change.Sequence != r.sequence {
		return nil
	}
	return change
}

// Get returns the change in force for a key; removed entries are not in force.
func (s *Store) Get(key string) (Change, bool) {
	found, ok := s.entries[key]
	if !ok || found.change.Removed {
		return Change{}, false
	}
	return *found.change, true
}

// Entries returns all entries that are kept, removed ones included, in the order of their keys.
func (s *Store) Entries() []Change {
	changes := make([]Change, 0, len(s.entries))
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		changes = append(changes, *s.entries[key].change)
	}
	return changes
}

// Versions returns a copy of the version vector.
func (s *Store) Versions() VersionVector {
	versions := make(VersionVector, len(s.sources))
	for name, index := range s.sources {
		versions[name] = index.watermark
	}
	return versions
}

// SetVersions restores a version vector that was saved together with Entries. It lowers no version.
func (s *Store) SetVersions(versions VersionVector) {
	for name, version := range versions {
		if !validName(name, MaxSourceBytes) || !validNumber(version) {
			continue
		}
		index, err := s.source(name)
		if err != nil {
			continue
		}
		index.watermark = max(index.watermark, version)
		index.advance()
	}
	s.vector = nil
}

// Digest summarises the entries, independent of the order in which they came.
func (s *Store) Digest() uint64 { return s.digest }

// Next returns the sequence and revision that the next change of a source has to carry.
func (s *Store) Next(source string) (sequence, revision uint64) {
	sequence = 1
	if index := s.sources[source]; index != nil {
		sequence = index.highest() + 1
	}
	return sequence, s.maxRevision + 1
}

// said returns the version vector to tell others, which is below Versions while everything is pulled anew. It is shared:
// nobody may modify it.
func (s *Store) said() VersionVector {
	if s.vector == nil {
		s.vector = make(VersionVector, len(s.sources))
		for name, index := range s.sources {
			s.vector[name] = index.said()
		}
	}
	return s.vector
}

// ahead counts the known changes beyond the vector that is told others.
func (s *Store) ahead() int {
	total := 0
	for _, index := range s.sources {
		total += index.ahead()
	}
	return total
}

// rewind has everything pulled anew, since the store lacks an entry that its vector covers, or its peer does: it tells others
// that it knows nothing. What it holds it keeps, and it goes on serving all up to its watermarks: were those given up, then no
// relay of a fleet that has rewound could vouch for the gaps that superseded changes leave.
func (s *Store) rewind() {
	for _, index := range s.sources {
		index.rewound, index.rewinding = 0, index.watermark > 0
	}
	s.vector = nil
}

// cover takes over another store's claim that the changes in (after, through] are all that is in force of them, once they have
// been merged.
func (s *Store) cover(source string, after, through uint64) {
	index := s.sources[source]
	if index == nil {
		return
	}
	if after <= index.watermark && through > index.watermark {
		index.watermark = through
		index.advance()
	}
	if index.rewinding && after <= index.rewound {
		index.rewound = max(index.rewound, through)
		index.rewinding = s.holdsBetween(source, index.rewound, index.watermark)
	}
	s.vector = nil
}

// holdsBetween reports whether the change of any sequence in (after, through] is in force.
func (s *Store) holdsBetween(source string, after, through uint64) bool {
	found := false
	s.each(source, after, through, func(*Change) bool {
		found = true
		return false
	})
	return found
}

// each calls use with the changes of a source in force whose sequence lies in (after, through], ascending, until it returns
// false.
func (s *Store) each(source string, after, through uint64, use func(*Change) bool) {
	index := s.sources[source]
	for _, r := range index.references[index.position(after):] {
		if r.sequence > through {
			return
		}
		if change := s.inForce(source, r); change != nil && !use(change) {
			return
		}
	}
}
