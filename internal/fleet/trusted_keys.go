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

// ReadTrustedKeys reads the public keys of the control machines whose configuration changes are taken: one line for each, its
// name and its Ed25519 key in base64. Empty lines and those that begin with # say nothing. Who may write the file may
// configure the relay, so others than its owner and group may not.
func ReadTrustedKeys(path string) (map[string]ed25519.PublicKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("trusted_key_file: %w", err)
	}
	if mode := info.Mode().Perm(); mode&0o002 != 0 {
		return nil, fmt.Errorf("trusted_key_file: %s: anybody may write it (mode %04o)", path, mode)
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
			err = fmt.Errorf("%q has a key above", name)
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

func parseTrustedKey(text string) (name string, key ed25519.PublicKey, err error) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return "", nil, fmt.Errorf("a name and a key are wanted, not %d words", len(fields))
	}
	if len(fields[0]) > configsync.MaxSourceBytes {
		return "", nil, fmt.Errorf("a name of %d bytes, more than %d", len(fields[0]), configsync.MaxSourceBytes)
	}
	key, err = base64.StdEncoding.DecodeString(fields[1])
	if err != nil || len(key) != ed25519.PublicKeySize {
		return "", nil, fmt.Errorf("the key of %q is not %d bytes in base64", fields[0], ed25519.PublicKeySize)
	}
	return fields[0], key, nil
}

// trustedKeys verify changes by the keys that were read last. Any goroutine may replace them.
type trustedKeys struct {
	names   atomic.Pointer[[]string]
	keyring atomic.Pointer[configsync.Keyring]
	// restoring says that changes come from this relay's own folder: they were verified before they were kept.
	restoring bool
}

// load reads the keys. A file that makes no sense changes nothing.
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

// Verify implements configsync.Verifier.
func (k *trustedKeys) Verify(change *configsync.Change) error {
	if k.restoring {
		return nil
	}
	return k.keyring.Load().Verify(change)
}
