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
	// MaxSourceBytes is the maximum size of a source's name. The sizes of all fields of a change are bounded so that every
	// change fits one packet.
	MaxSourceBytes = 64
	// MaxKeyBytes is the maximum size of a key.
	MaxKeyBytes = 128
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 768
	// maxSignatureBytes exceeds the size of an Ed25519 signature. The verifier decides whether a signature has the right form.
	maxSignatureBytes = 128
	// signingDomain separates signatures of changes from other signatures made with the same key.
	signingDomain = "slatemux configuration change 1"
)

// Change is one signed assignment or removal of one configuration entry.
type Change struct {
	// Source is the name of the control machine that signed the change.
	Source string
	// Sequence numbers the changes of one source from 1, without gaps.
	Sequence uint64
	// Revision is a Lamport clock. Of two changes of one key, the change with the higher (Revision, Source) is in force.
	Revision uint64
	// Key names the entry, such as "endpoint/s-5be2a07c".
	Key string
	// Value is the entry's new value. It is empty for a removal.
	Value []byte
	// Removed marks the removal of the entry.
	Removed bool
	// Signature is the source's Ed25519 signature of all fields above.
	Signature []byte
}

// Verifier checks whether a change was signed by a source that this relay trusts.
type Verifier interface {
	// Verify returns an error unless the change has a valid signature of a trusted source.
	Verify(change *Change) error
}

// VersionVector maps each source to its watermark, the sequence up to which all changes of the source are known.
type VersionVector map[string]uint64

// SigningBytes returns the canonical encoding that the source signs. It consists of a domain string and every field except the
// signature. Fields of variable size are preceded by their length.
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

// hash covers every field, including the signature. Stores with equal sums of hashes hold the same bytes.
func (c *Change) hash() uint64 {
	var buffer [1536]byte // the largest valid change is smaller
	encoded := c.appendSigningBytes(buffer[:0])
	return xxhash.Sum64(append(encoded, c.Signature...))
}

// validate returns an error if a field of the change is malformed. It does not verify the signature.
func (c *Change) validate() error {
	switch {
	case !validName(c.Source, MaxSourceBytes):
		return fmt.Errorf("%w: source name has %d bytes", ErrInvalid, len(c.Source))
	case !validName(c.Key, MaxKeyBytes):
		return fmt.Errorf("%w: key has %d bytes", ErrInvalid, len(c.Key))
	case len(c.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value has %d bytes", ErrInvalid, len(c.Value))
	case c.Removed && len(c.Value) > 0:
		return fmt.Errorf("%w: removal has a value", ErrInvalid)
	case !validNumber(c.Sequence) || !validNumber(c.Revision):
		return fmt.Errorf("%w: sequence %d or revision %d out of range", ErrInvalid, c.Sequence, c.Revision)
	case len(c.Signature) > maxSignatureBytes:
		return fmt.Errorf("%w: signature has %d bytes", ErrInvalid, len(c.Signature))
	}
	return nil
}

func validName(name string, maxBytes int) bool {
	return name != "" && len(name) <= maxBytes && utf8.ValidString(name)
}

// validNumber excludes the numbers above math.MaxInt64, so that incrementing a valid number cannot overflow.
func validNumber(number uint64) bool { return number > 0 && number <= math.MaxInt64 }

// compareChanges orders the changes of one key. The greatest change is in force. Revision and Source are equal only where a
// source has signed two changes with one revision. The remaining fields make the order total, so that all relays choose the
// same change.
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
