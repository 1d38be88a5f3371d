package fleet

import (
	"bufio"
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet/wire"
)

// ReadTrustedKeys reads the public keys of the control machines whose configuration changes are accepted. Each line has the
// name of a machine and its Ed25519 key in base64. Empty lines and lines that begin with # are ignored. A user with write
// access to the file can configure the relay, so only the owner and the group may have it.
func ReadTrustedKeys(path string) (map[string]ed25519.PublicKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("trusted_key_file: %w", err)
	}
	if mode := info.Mode().Perm(); mode&0o002 != 0 {
		return nil, fmt.Errorf("trusted_key_file: %s: all users may write it (mode %04o)", path, mode)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("trusted_key_file: %w", err)
	}
	keys := map[string]ed25519.PublicKey{}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		name, key, err := parseTrustedKey(text)
		if err == nil && keys[name] != nil {
			err = fmt.Errorf("%q already has a key", name)
		}
		if err != nil {
			return nil, fmt.Errorf("trusted_key_file: %s: line %d: %w", path, number, err)
		}
		keys[name] = key
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("trusted_key_file: %s: %w", path, err)
	}
	if len(keys) == 0 || len(keys) > wire.MaxConfigurationSources {
		return nil, fmt.Errorf("trusted_key_file: %s has %d keys, not 1 to %d", path, len(keys), wire.MaxConfigurationSources)
	}
	return keys, nil
}

// parseTrustedKey parses a line of the trusted key file.
func parseTrustedKey(text string) (name string, key ed25519.PublicKey, err error) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return "", nil, fmt.Errorf("expected a name and a key, found %d words", len(fields))
	}
	if len(fields[0]) > configsync.MaxSourceBytes {
		return "", nil, fmt.Errorf("the name has %d bytes, more than %d", len(fields[0]), configsync.MaxSourceBytes)
	}
	key, err = base64.StdEncoding.DecodeString(fields[1])
	if err != nil || len(key) != ed25519.PublicKeySize {
		return "", nil, fmt.Errorf("the key of %q is not %d bytes in base64", fields[0], ed25519.PublicKeySize)
	}
	return fields[0], key, nil
}

// trustedKeys verifies changes with the keys that were read last. Any goroutine may replace the keys.
type trustedKeys struct {
	names   atomic.Pointer[[]string]
	keyring atomic.Pointer[configsync.Keyring]
	// restoring is set while changes are read from this relay's own state directory. They were verified before they were
	// saved.
	restoring bool
}

// load reads the keys. After an error the previous keys stay in use.
func (k *trustedKeys) load(path string) error {
	keys, err := ReadTrustedKeys(path)
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(keys))
	k.names.Store(&names)
	k.keyring.Store(configsync.NewKeyring(keys))
	return nil
}

// Verify implements configsync.Verifier. It accepts all changes while restoring is set.
func (k *trustedKeys) Verify(change *configsync.Change) error {
	if k.restoring {
		return nil
	}
	return k.keyring.Load().Verify(change)
}
