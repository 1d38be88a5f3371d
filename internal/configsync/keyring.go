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

// NewKeyring returns a keyring of each trusted source's public key.
func NewKeyring(keys map[string]ed25519.PublicKey) *Keyring {
	return &Keyring{keys: maps.Clone(keys)}
}

// Verify implements Verifier.
func (k *Keyring) Verify(change *Change) error {
	key, ok := k.keys[change.Source]
	if !ok || len(key) != ed25519.PublicKeySize {
		return fmt.Errorf("no key of source %q", change.Source)
	}
	if !ed25519.Verify(key, change.SigningBytes(), change.Signature) {
		return fmt.Errorf("wrong signature of source %q", change.Source)
	}
	return nil
}

// Sign sets a change's signature; all of its other fields have to be set.
func Sign(change *Change, key ed25519.PrivateKey) {
	change.Signature = ed25519.Sign(key, change.SigningBytes())
}
