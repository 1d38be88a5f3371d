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

// maxKeys is how many keys may open at once: each that does not fit costs every packet a try.
const maxKeys = 8

// ReadKeys reads a key file: one key a line, 32 bytes in base64. The first seals, all open. Empty lines and those
// that begin with # say nothing. The file is its owner's alone.
func ReadKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("key_file: %w", err)
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("key_file: %s: others may use it (mode %04o); it must be its owner's alone, as 0600", path, mode)
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
			return nil, fmt.Errorf("key_file: %s: line %d is not %d bytes in base64", path, n, keyBytes) // and never what it says
		}
		if slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, key) }) {
			return nil, fmt.Errorf("key_file: %s: line %d has a key that stands above", path, n)
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

// replaceKeys makes a ring hold these keys, the first as the one that seals. At no moment does the ring lack a key that is in
// both the old and the new set.
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
