package configsync

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSourceBytes, MaxKeyBytes and MaxValueBytes bound the fields of a change, so that every change fits one packet.
	MaxSourceBytes = 64
	MaxKeyBytes    = 128
	MaxValueBytes  = 768
	// maxSignatureBytes is more than an Ed25519 signature takes; the verifier decides on its form.
	maxSignatureBytes = 128
	// signingDomain separates signatures of changes from those of anything else that the same key signs.
	signingDomain = "slatemux configuration change 1"
)

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

// SigningBytes returns the canonical encoding that the source signs: a domain, then every field but the signature, those of
// variable size preceded by their length.
func (c *Change) SigningBytes() []byte {
	return c.appendSigningBytes(nil)
}

func (c *Change) appendSigningBytes(buffer []byte) []byte {
	buffer = appendField(buffer, signingDomain)
	buffer = appendField(buffer, c.Source)
	buffer = binary.BigEndian.AppendUint64(buffer, c.Sequence)
	buffer = binary.BigEndian.AppendUint64(buffer, c.Revision)
	buffer = appendField(buffer, c.Key)
	buffer = appendField(buffer, c.Value)
	if c.Removed {
		return append(buffer, 1)
	}
	return append(buffer, 0)
}

func appendField[T string | []byte](buffer []byte, field T) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(field)))
	return append(buffer, field...)
}

// hash covers every field, the signature included: stores with equal sums of hashes hold the same bytes.
func (c *Change) hash() uint64 {
	var buffer [1536]byte // the largest valid change takes less
	encoded := c.appendSigningBytes(buffer[:0])
	return xxhash.Sum64(append(encoded, c.Signature...))
}

// validate reports what is malformed about a change; it does not look at whether the signature is right.
func (c *Change) validate() error {
	switch {
	case !validName(c.Source, MaxSourceBytes):
		return fmt.Errorf("%w: source of %d bytes", ErrInvalid, len(c.Source))
	case !validName(c.Key, MaxKeyBytes):
		return fmt.Errorf("%w: key of %d bytes", ErrInvalid, len(c.Key))
	case len(c.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of %d bytes", ErrInvalid, len(c.Value))
	case c.Removed && len(c.Value) > 0:
		return fmt.Errorf("%w: removal with a value", ErrInvalid)
	case !validNumber(c.Sequence) || !validNumber(c.Revision):
		return fmt.Errorf("%w: sequence %d, revision %d", ErrInvalid, c.Sequence, c.Revision)
	case len(c.Signature) > maxSignatureBytes:
		return fmt.Errorf("%w: signature of %d bytes", ErrInvalid, len(c.Signature))
	}
	return nil
}

func validName(name string, most int) bool {
	return name != "" && len(name) <= most && utf8.ValidString(name)
}

// validNumber leaves room above, so that the number after the last one does not wrap around.
func validNumber(number uint64) bool { return number > 0 && number <= math.MaxInt64 }

// compareChanges orders the changes of one key: the greater is in force. Only a source that signs two changes with one revision
// can cause a tie of the first two fields; the rest makes the order total, so that all relays decide alike.
func compareChanges(a, b *Change) int {
	return cmp.Or(
		cmp.Compare(a.Revision, b.Revision),
		strings.Compare(a.Source, b.Source),
		cmp.Compare(a.Sequence, b.Sequence),
		compareBools(a.Removed, b.Removed),
		bytes.Compare(a.Value, b.Value),
		bytes.Compare(a.Signature, b.Signature),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
