// Package proptest is the one helper of the network tests: properties with a fixed seed, valid bytes in random
// pieces, and garbage.
package proptest

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Check tests a property from a fixed seed. The seed is set here and not on the command line, where the
// flag would break packages that do not import rapid; no fail files are written.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, prop)
}

// Pieces cuts a text at random places.
func Pieces(t *rapid.T, text []byte) [][]byte {
	var pieces [][]byte
	for len(text) > 0 {
		n := rapid.IntRange(1, len(text)).Draw(t, "cut")
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return pieces
}

// Garbage is random bytes, or a valid text with a few bytes changed or its end missing.
func Garbage(t *rapid.T, valid []byte) []byte {
	if rapid.Bool().Draw(t, "random") {
		return rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")
	}
	text := append([]byte(nil), valid...)
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
	}
	return text[:rapid.IntRange(1, len(text)).Draw(t, "length")]
}
