// Package proptest helps with property-based tests of network code: it runs properties with a fixed seed, splits valid input
// at random places and generates malformed input.
package proptest

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Check tests a property with a fixed seed and writes no fail files. It sets rapid's flags here, because a flag on the command
// line of go test fails in packages that do not import rapid.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, prop)
}

// Split splits text at random places into non-empty pieces.
func Split(t *rapid.T, text []byte) [][]byte {
	var pieces [][]byte
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "cut")
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return pieces
}

// Malformed returns either random bytes, or the valid input with a few bytes changed and possibly truncated.
func Malformed(t *rapid.T, valid []byte) []byte {
	if rapid.Bool().Draw(t, "random") {
		return rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")
	}
	text := append([]byte(nil), valid...)
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
	}
	return text[:rapid.IntRange(1, len(text)).Draw(t, "length")]
}
