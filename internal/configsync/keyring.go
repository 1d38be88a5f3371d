package configsync

import (
	"crypto/ed25519"
	"fmt"
	"maps"
)

// Keyring verifies changes against the public keys of the trusted sources. It is safe for concurrent use.
type Keyring struct {
	keys map[string]ed25519.PublicKey
}

// NewKeyring returns a keyring with the public key of each trusted source.
func NewKeyring(keys map[string]ed25519.PublicKey) *Keyring {
	return &Keyring{keys: maps.Clone(keys)}
}

// Verify implements Verifier.
func (k *Keyring) Verify(change *Change) error {
	key, ok := k.keys[change.Source]
	if !ok || len(key) != ed25519.PublicKeySize {
		return fmt.Errorf("no trusted key for source %q", change.Source)
	}
	if !ed25519.Verify(key, change.SigningBytes(), change.Signature) {
		return fmt.Errorf("invalid signature for source %q", change.Source)
	}
	return nil
}

// Sign sets the signature of a change. All other fields have to be set before.
func Sign(change *Change, key ed25519.PrivateKey) {
	change.Signature = ed25519.Sign(key, change.SigningBytes())
}
