package configsync

import "errors"

// Errors that Store.Apply returns.
var (
	ErrInvalid   = errors.New("invalid change")
	ErrUntrusted = errors.New("change is not signed by a trusted source")
	ErrFull      = errors.New("too many configuration entries")
)

// Store holds the entries in force and the version vector that describes them. Merging is commutative, associative and
// idempotent: the order, the grouping and the number of arrivals of a set of changes do not matter.
type Store struct{}

// NewStore returns an empty store that holds at most maxEntries entries, removed ones included.
func NewStore(verifier Verifier, maxEntries int) *Store { return &Store{} }

// Apply verifies a change and merges it. It reports whether the entry in force has changed.
func (s *Store) Apply(change Change) (bool, error) { return false, nil }

// Get returns the change in force for a key; removed entries are not in force.
func (s *Store) Get(key string) (Change, bool) { return Change{}, false }

// Entries returns all entries that are kept, removed ones included, in the order of their keys.
func (s *Store) Entries() []Change { return nil }

// Versions returns a copy of the version vector.
func (s *Store) Versions() VersionVector { return nil }

// SetVersions restores a version vector that was saved together with Entries.
func (s *Store) SetVersions(versions VersionVector) {}

// Digest summarises the entries, independent of the order in which they came.
func (s *Store) Digest() uint64 { return 0 }

// Next returns the sequence and revision that the next change of a source has to carry.
func (s *Store) Next(source string) (sequence, revision uint64) { return 0, 0 }
