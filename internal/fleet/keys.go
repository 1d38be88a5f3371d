package fleet

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"
)

// keyBytes is the length of a key, for AES-256.
const keyBytes = 32

// maxKeys bounds the number of keys. memberlist tries to decrypt each packet with one key after the other.
const maxKeys = 8

// ReadKeys reads a key file with one key per line, 32 bytes in base64. The first key encrypts, and all keys decrypt. Empty
// lines and lines that begin with # are ignored. Only the owner may have access to the file.
func ReadKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("key_file: %w", err)
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("key_file: %s: others may use it (mode %04o); only its owner may have access, as with 0600", path, mode)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("key_file: %w", err)
	}
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(key) != keyBytes {
			return nil, fmt.Errorf("key_file: %s: line %d is not %d bytes in base64", path, n, keyBytes) // the error must not contain the key
		}
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			return nil, fmt.Errorf("key_file: %s: line %d repeats an earlier key", path, n)
		}
		keys = append(keys, key)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("key_file: %s: %w", path, err)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("key_file: %s has no key", path)
	}
	if len(keys) > maxKeys {
		return nil, fmt.Errorf("key_file: %s has %d keys, more than %d", path, len(keys), maxKeys)
	}
	return keys, nil
}

// replaceKeys sets the keys of a keyring. The first key becomes the one that encrypts. A key that is in both the old and the
// new set stays in the keyring all the time.
func replaceKeys(ring *memberlist.Keyring, keys [][]byte) error {
	var errs []error
	for _, k := range keys {
		errs = append(errs, ring.AddKey(k))
	}
	errs = append(errs, ring.UseKey(keys[0]))
	for _, old := range ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, old) }) {
			errs = append(errs, ring.RemoveKey(old))
		}
	}
	return errors.Join(errs...)
}
