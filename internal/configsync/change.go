package configsync

// Change is one signed assignment or removal of one configuration entry.
type Change struct {
	// Source is the control machine that signed the change.
	Source string
	// Sequence numbers the changes of one source from 1, without gaps.
	Sequence uint64
	// Revision is a Lamport clock: of two changes of one key the higher (Revision, Source) is in force.
	Revision uint64
	// Key names the entry, such as "endpoint/s-5be2a07c".
	Key string
	// Value is the entry's new value; empty for a removal.
	Value []byte
	// Removed says that the entry is taken away.
	Removed bool
	// Signature is the source's Ed25519 signature of all fields above.
	Signature []byte
}

// Verifier reports whether a change was signed by a source that this relay trusts.
type Verifier interface {
	Verify(change *Change) error
}

// VersionVector maps each source to the sequence up to which all of its changes are known.
type VersionVector map[string]uint64
