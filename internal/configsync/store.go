package configsync

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Errors that Store.Apply and Replica.Publish return.
var (
	// ErrInvalid reports a malformed change, or a change that does not fit a packet.
	ErrInvalid = errors.New("invalid change")
	// ErrUntrusted reports a change without a valid signature of a trusted source.
	ErrUntrusted = errors.New("change is not signed by a trusted source")
	// ErrFull reports that the store holds its maximum number of entries or sources.
	ErrFull = errors.New("too many configuration entries")
)

// maxSources limits the size of version vectors in stores and in messages.
const maxSources = 64

// Store holds the entries in force and the version vector that describes them. Merging is commutative, associative and
// idempotent: the result does not depend on the order, the grouping or the repetition of changes. The store keeps the slices of
// the changes that it is given, so that nobody may modify them afterwards.
type Store struct {
	verifier    Verifier
	maxEntries  int
	entries     map[string]entry
	sources     map[string]*sourceIndex
	sourceNames []string // sorted
	digest      uint64
	maxRevision uint64
	// advertisedCache caches the version vector that is sent to other relays. Messages share the vector, so it is replaced and
	// never modified.
	advertisedCache VersionVector
	faults          injectedFaults
}

// entry is the change in force of one key. Entries that were removed are kept.
type entry struct {
	change *Change
	hash   uint64
}

// NewStore returns an empty store that holds at most maxEntries entries, including removed ones.
func NewStore(verifier Verifier, maxEntries int) *Store {
	return &Store{verifier: verifier, maxEntries: maxEntries, entries: map[string]entry{}, sources: map[string]*sourceIndex{}}
}

// Apply verifies a change and merges it. It reports whether the entry in force has changed.
func (s *Store) Apply(change Change) (bool, error) {
	result, err := s.merge(&change)
	return result.inForce, err
}

// mergeResult describes the effect of a merged change on the store.
type mergeResult struct {
	inForce  bool // the change came into force
	wasKnown bool // the sequence of the change had been seen before
}

// merge verifies a change and merges it. The store keeps the pointer if the change comes into
// force or has the highest sequence of its source.
func (s *Store) merge(change *Change) (mergeResult, error) {
	if err := change.validate(); err != nil {
		return mergeResult{}, err
	}
	current, exists := s.entries[change.Key]
	if exists && current.change.Sequence == change.Sequence && compareChanges(current.change, change) == 0 {
		return mergeResult{wasKnown: true}, nil
	}
	if err := s.verify(change); err != nil {
		return mergeResult{}, err
	}
	if !exists && len(s.entries) >= s.maxEntries {
		return mergeResult{}, ErrFull
	}
	index, err := s.ensureSource(change.Source)
	if err != nil {
		return mergeResult{}, err
	}
	result := mergeResult{wasKnown: index.isKnown(change.Sequence)}
	s.maxRevision = max(s.maxRevision, change.Revision)
	if s.supersedes(change, current.change) {
		result.inForce = true
		s.putInForce(change, index)
	} else if !result.wasKnown {
		index.insert(changeReference{change.Sequence, change.Key})
	}
	s.recordKnown(change, index)
	return result, nil
}

func (s *Store) verify(change *Change) error {
	if s.faults.skipVerification {
		return nil
	}
	if err := s.verifier.Verify(change); err != nil {
		return fmt.Errorf("%w: %w", ErrUntrusted, err)
	}
	return nil
}

func (s *Store) supersedes(change, current *Change) bool {
	return current == nil || s.faults.lastArrivalWins || compareChanges(change, current) > 0
}

// ensureSource returns the index of a source, and creates the index if necessary.
func (s *Store) ensureSource(name string) (*sourceIndex, error) {
	if index := s.sources[name]; index != nil {
		return index, nil
	}
	if len(s.sources) >= maxSources {
		return nil, fmt.Errorf("%w: more than %d sources", ErrFull, maxSources)
	}
	index := &sourceIndex{}
	s.sources[name] = index
	position, _ := slices.BinarySearch(s.sourceNames, name)
	s.sourceNames = slices.Insert(s.sourceNames, position, name)
	s.advertisedCache = nil
	return index, nil
}

// putInForce brings a change into force.
func (s *Store) putInForce(change *Change, index *sourceIndex) {
	old, exists := s.entries[change.Key]
	if exists {
		s.digest -= old.hash
		s.sources[old.change.Source].liveCount--
	}
	hash := change.hash()
	s.digest += hash
	s.entries[change.Key] = entry{change: change, hash: hash}
	index.liveCount++
	index.insert(changeReference{change.Sequence, change.Key})
	if exists {
		s.compact(old.change.Source)
	}
}

func (s *Store) compact(source string) {
	s.sources[source].compact(func(r changeReference) bool { return s.changeInForce(source, r) != nil })
}

// recordKnown records that a change of a source has been seen.
func (s *Store) recordKnown(change *Change, index *sourceIndex) {
	if index.highestChange == nil || index.highestChange.Sequence < change.Sequence {
		index.highestChange = change
	}
	before := index.watermark
	index.advance()
	if s.faults.advanceOverGaps {
		index.watermark = max(index.watermark, change.Sequence)
	}
	if index.watermark != before {
		s.advertisedCache = nil
	}
	s.compact(change.Source)
}

// changeInForce returns the change that a reference points to, or nil if the change was superseded.
func (s *Store) changeInForce(source string, r changeReference) *Change {
	change := s.entries[r.key].change
	if change == nil || change.Source != source || change.Sequence != r.sequence {
		return nil
	}
	return change
}

// Get returns the change in force for a key. It reports false for a removed entry.
func (s *Store) Get(key string) (Change, bool) {
	found, ok := s.entries[key]
	if !ok || found.change.Removed {
		return Change{}, false
	}
	return *found.change, true
}

// Entries returns all entries in the order of their keys, including removed ones.
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

// SetVersions restores a version vector that was saved together with Entries. It never lowers a version.
func (s *Store) SetVersions(versions VersionVector) {
	for name, version := range versions {
		if !validName(name, MaxSourceBytes) || !validNumber(version) {
			continue
		}
		index, err := s.ensureSource(name)
		if err != nil {
			continue
		}
		index.watermark = max(index.watermark, version)
		index.advance()
	}
	s.advertisedCache = nil
}

// Digest summarizes the entries. It does not depend on the order in which they arrived.
func (s *Store) Digest() uint64 { return s.digest }

// NextNumbers returns the sequence and the revision for the next change of a source.
func (s *Store) NextNumbers(source string) (sequence, revision uint64) {
	sequence = 1
	if index := s.sources[source]; index != nil {
		sequence = index.highestSequence() + 1
	}
	return sequence, s.maxRevision + 1
}

// advertisedVersions returns the version vector that is sent to other relays. It is lower than Versions while everything is
// pulled again. Messages share the vector, so it must not be modified.
func (s *Store) advertisedVersions() VersionVector {
	if s.advertisedCache == nil {
		s.advertisedCache = make(VersionVector, len(s.sources))
		for name, index := range s.sources {
			s.advertisedCache[name] = index.advertisedWatermark()
		}
	}
	return s.advertisedCache
}

// countAhead returns the number of references beyond the advertised version vector.
func (s *Store) countAhead() int {
	total := 0
	for _, index := range s.sources {
		total += index.countAhead()
	}
	return total
}

// rewind makes the store pull everything again, because the store or its peer lacks an entry that the version vector covers.
// The store advertises that it knows nothing. It keeps its entries and still serves all changes up to its watermarks. If a
// rewind gave up the watermarks, no relay could confirm the gaps that superseded changes leave once every relay of a fleet has
// rewound.
func (s *Store) rewind() {
	for _, index := range s.sources {
		index.rewoundWatermark, index.rewinding = 0, index.watermark > 0
	}
	s.advertisedCache = nil
}

// acceptCoverage accepts another store's claim about the changes in (after, through]: the changes just merged are all of that
// range that are in force.
func (s *Store) acceptCoverage(source string, after, through uint64) {
	index := s.sources[source]
	if index == nil {
		return
	}
	if after <= index.watermark && through > index.watermark {
		index.watermark = through
		index.advance()
	}
	if index.rewinding && after <= index.rewoundWatermark {
		index.rewoundWatermark = max(index.rewoundWatermark, through)
		index.rewinding = s.hasChangeInForce(source, index.rewoundWatermark, index.watermark)
	}
	s.advertisedCache = nil
}

// hasChangeInForce reports whether a change with a sequence in (after, through] is in force.
func (s *Store) hasChangeInForce(source string, after, through uint64) bool {
	found := false
	s.eachInForce(source, after, through, func(*Change) bool {
		found = true
		return false
	})
	return found
}

// eachInForce calls visit for the changes of a source that are in force and have a sequence in (after, through], in ascending
// order. It stops when visit returns false.
func (s *Store) eachInForce(source string, after, through uint64, visit func(*Change) bool) {
	index := s.sources[source]
	for _, r := range index.references[index.firstAfter(after):] {
		if r.sequence > through {
			return
		}
		if change := s.changeInForce(source, r); change != nil && !visit(change) {
			return
		}
	}
}
