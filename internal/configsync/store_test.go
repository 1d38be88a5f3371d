package configsync

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

func change(source string, sequence, revision uint64, key, value string) Change {
	return Change{Source: source, Sequence: sequence, Revision: revision, Key: key, Value: []byte(value)}
}

func mustApply(t *testing.T, s *Store, changes ...Change) {
	t.Helper()
	for _, c := range changes {
		if _, err := s.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
}

func TestApplyRejectsMalformedChanges(t *testing.T) {
	valid := change("a", 1, 1, "k", "v")
	cases := map[string]func(*Change){
		"no source":          func(c *Change) { c.Source = "" },
		"long source":        func(c *Change) { c.Source = strings.Repeat("s", MaxSourceBytes+1) },
		"source not UTF-8":   func(c *Change) { c.Source = "\xff" },
		"no key":             func(c *Change) { c.Key = "" },
		"long key":           func(c *Change) { c.Key = strings.Repeat("k", MaxKeyBytes+1) },
		"long value":         func(c *Change) { c.Value = make([]byte, MaxValueBytes+1) },
		"no sequence":        func(c *Change) { c.Sequence = 0 },
		"last sequence":      func(c *Change) { c.Sequence = 1<<64 - 1 },
		"no revision":        func(c *Change) { c.Revision = 0 },
		"last revision":      func(c *Change) { c.Revision = 1<<64 - 1 },
		"removal with value": func(c *Change) { c.Removed = true },
		"long signature":     func(c *Change) { c.Signature = make([]byte, maxSignatureBytes+1) },
	}
	for name, corrupt := range cases {
		s, c := NewStore(acceptAll{}, 10), valid
		corrupt(&c)
		if inForce, err := s.Apply(c); inForce || !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: in force %t, error %v", name, inForce, err)
		}
		if len(s.Entries()) > 0 || len(s.Versions()) > 0 || s.Digest() != 0 {
			t.Errorf("%s: the store has changed", name)
		}
	}
	largest := Change{Source: strings.Repeat("s", MaxSourceBytes), Sequence: 1, Revision: 1, Key: strings.Repeat("k", MaxKeyBytes),
		Value: make([]byte, MaxValueBytes), Signature: make([]byte, maxSignatureBytes)}
	mustApply(t, NewStore(acceptAll{}, 10), largest)
	if size := len(largest.SigningBytes()) + maxSignatureBytes; size > 1536 {
		t.Errorf("the largest change takes %d bytes, more than hash has room for", size)
	}
}

func TestKeyringAcceptsOnlySignedChanges(t *testing.T) {
	public, private, _ := ed25519.GenerateKey(strings.NewReader(strings.Repeat("a", 64)))
	_, other, _ := ed25519.GenerateKey(strings.NewReader(strings.Repeat("b", 64)))
	keys := map[string]ed25519.PublicKey{"a": public, "short": public[:5]}
	s := NewStore(NewKeyring(keys), 10)
	delete(keys, "a") // the keyring has its own copy
	good := change("a", 1, 1, "k", "v")
	Sign(&good, private)
	corruptions := map[string]func(*Change){
		"sequence":  func(c *Change) { c.Sequence++ },
		"revision":  func(c *Change) { c.Revision++ },
		"key":       func(c *Change) { c.Key = "K" },
		"value":     func(c *Change) { c.Value = []byte("w") },
		"removed":   func(c *Change) { c.Value, c.Removed = nil, true },
		"signature": func(c *Change) { c.Signature = make([]byte, 64) },
		"unsigned":  func(c *Change) { c.Signature = nil },
		"signer":    func(c *Change) { Sign(c, other) },
		"source":    func(c *Change) { c.Source = "b"; Sign(c, private) },
		"short key": func(c *Change) { c.Source = "short"; Sign(c, private) },
	}
	for name, corrupt := range corruptions {
		c := good
		corrupt(&c)
		if inForce, err := s.Apply(c); inForce || !errors.Is(err, ErrUntrusted) {
			t.Errorf("%s: in force %t, error %v", name, inForce, err)
		}
	}
	if inForce, err := s.Apply(good); !inForce || err != nil {
		t.Errorf("validly signed change: in force %t, error %v", inForce, err)
	}
}

// TestSigningBytesSeparateFields checks that no two different changes have the same encoding. Without lengths, "ab"+"c" and
// "a"+"bc" would be the same.
func TestSigningBytesSeparateFields(t *testing.T) {
	text := rapid.SampledFrom([]string{"a", "b", "ab", "aa", "aab", "a\x00", "\x00"})
	number := rapid.Uint64Range(1, 3)
	draw := func(rt *rapid.T) Change {
		return Change{Source: text.Draw(rt, "source"), Sequence: number.Draw(rt, "sequence"), Revision: number.Draw(rt, "revision"),
			Key: text.Draw(rt, "key"), Value: []byte(text.Draw(rt, "value")), Removed: rapid.Bool().Draw(rt, "removed")}
	}
	proptest.Check(t, func(rt *rapid.T) {
		a, b := draw(rt), draw(rt)
		equal := a.Source == b.Source && compareChanges(&a, &b) == 0 && a.Key == b.Key
		if same := string(a.SigningBytes()) == string(b.SigningBytes()); same != equal {
			rt.Fatalf("%+v and %+v: encodings equal %t", a, b, same)
		}
	})
}

// TestWatermarkStopsAtGapsAndAdvancesOverKnownChanges checks that the watermark never passes an unknown sequence. Otherwise no
// peer would send the missing change.
func TestWatermarkStopsAtGapsAndAdvancesOverKnownChanges(t *testing.T) {
	s := NewStore(acceptAll{}, 100)
	mustApply(t, s, change("a", 1, 1, "k1", ""), change("a", 3, 3, "k3", ""), change("a", 4, 4, "k3", ""), change("a", 6, 6, "k6", ""))
	if got := s.Versions()["a"]; got != 1 {
		t.Errorf("watermark %d before the gap", got)
	}
	if ahead := s.countAhead(); ahead != 3 {
		t.Errorf("%d changes known beyond the watermark", ahead)
	}
	if sequence, revision := s.NextNumbers("a"); sequence != 7 || revision != 7 {
		t.Errorf("next sequence %d, revision %d", sequence, revision)
	}
	if sequence, revision := s.NextNumbers("b"); sequence != 1 || revision != 7 {
		t.Errorf("next of another source: sequence %d, revision %d", sequence, revision)
	}
	mustApply(t, s, change("a", 2, 2, "k2", ""))
	if got := s.Versions()["a"]; got != 4 {
		t.Errorf("watermark %d after the first gap is filled, 3 superseded", got)
	}
	s.acceptCoverage("a", 5, 9) // does not cover 5
	if got := s.Versions()["a"]; got != 4 {
		t.Errorf("watermark %d after coverage that begins beyond a gap", got)
	}
	s.acceptCoverage("a", 2, 5)
	if got := s.Versions()["a"]; got != 6 {
		t.Errorf("watermark %d after coverage up to a known sequence", got)
	}
	s.acceptCoverage("nobody", 0, 5)
	if _, ok := s.Versions()["nobody"]; ok {
		t.Error("coverage of an unknown source created the source")
	}
}

func TestStoreIsBounded(t *testing.T) {
	s := NewStore(acceptAll{}, 2)
	removed := Change{Source: "a", Sequence: 2, Revision: 2, Key: "k2", Removed: true}
	mustApply(t, s, change("a", 1, 1, "k1", ""), removed)
	if inForce, err := s.Apply(change("a", 3, 3, "k3", "")); inForce || !errors.Is(err, ErrFull) {
		t.Errorf("in force %t, error %v", inForce, err)
	}
	if got := s.Versions()["a"]; got != 2 {
		t.Errorf("watermark %d passed a change that the store had no room for", got)
	}
	if _, ok := s.Get("k2"); ok {
		t.Error("a removed entry is in force")
	}
	mustApply(t, s, change("a", 4, 4, "k2", "again"))
	if got, ok := s.Get("k2"); !ok || string(got.Value) != "again" {
		t.Errorf("entry after its removal and a new assignment: %q, found %t", got.Value, ok)
	}
	many := NewStore(acceptAll{}, 1000)
	for i := range maxSources {
		mustApply(t, many, change(fmt.Sprint(i), 1, 1, fmt.Sprint(i), ""))
	}
	if _, err := many.Apply(change("one more", 1, 1, "k", "")); !errors.Is(err, ErrFull) {
		t.Errorf("too many sources: error %v", err)
	}
}

// TestRestoredStoreEqualsSavedStore checks that the saved entries and versions restore an equal store, and that invalid versions
// are ignored.
func TestRestoredStoreEqualsSavedStore(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		h := newHistory(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 8)))
		saved := NewStore(h.signers, 1000)
		for range rapid.IntRange(0, 60).Draw(rt, "changes") {
			c := h.next()
			if h.random.IntN(8) > 0 {
				_, _ = saved.Apply(c)
			}
		}
		restored := NewStore(h.signers, 1000)
		restored.SetVersions(saved.Versions())
		for _, c := range saved.Entries() {
			if _, err := restored.Apply(c); err != nil {
				rt.Fatal(err)
			}
		}
		if restored.Digest() != saved.Digest() || !equalVersions(restored.Versions(), saved.Versions()) {
			rt.Fatalf("restored store differs: vectors %v and %v", restored.Versions(), saved.Versions())
		}
		restored.SetVersions(VersionVector{"": 5, "a": 0, "b": 1<<64 - 1, h.sources[0]: 1})
		if !equalVersions(restored.Versions(), saved.Versions()) && saved.Versions()[h.sources[0]] > 0 {
			rt.Fatalf("vectors %v and %v after restoring invalid versions", restored.Versions(), saved.Versions())
		}
	})
}

// TestIndexStaysSmall overwrites a few keys many times and checks that the references of superseded changes are removed.
func TestIndexStaysSmall(t *testing.T) {
	s := NewStore(acceptAll{}, 100)
	const changes = 20000
	for i := uint64(1); i <= changes; i++ {
		mustApply(t, s, change("a", i, i, fmt.Sprint(i%7), ""))
	}
	index := s.sources["a"]
	if len(index.references) > 200 || index.watermark != changes || index.liveCount != 7 {
		t.Errorf("%d references, watermark %d, %d live", len(index.references), index.watermark, index.liveCount)
	}
	for i := uint64(changes + 2); i <= 3*changes; i++ { // all beyond a gap
		mustApply(t, s, change("a", i, i, fmt.Sprint(i%7), ""))
	}
	if len(index.references) > 4*maxKnownAhead || index.watermark != changes || index.liveCount != 7 {
		t.Errorf("%d references, watermark %d, %d live", len(index.references), index.watermark, index.liveCount)
	}
	s.acceptCoverage("a", changes, 3*changes)
	if s.countAhead() != 0 {
		t.Errorf("%d changes beyond the newest", s.countAhead())
	}
}

// TestChangesOfOneSequenceConverge merges different changes that a faulty source has signed with the same sequence. All stores
// must choose the same changes, whatever the order.
func TestChangesOfOneSequenceConverge(t *testing.T) {
	changes := []Change{change("a", 1, 1, "k", "x"), change("a", 1, 1, "k", "y"), change("a", 1, 1, "other", "z"), change("a", 1, 2, "k", "x"),
		change("a", 2, 2, "k", "x")}
	var digests []uint64
	for range 20 {
		s := NewStore(acceptAll{}, 10)
		rand.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
		mustApply(t, s, changes...)
		mustApply(t, s, changes...)
		digests = append(digests, s.Digest())
	}
	if len(slices.Compact(digests)) != 1 {
		t.Errorf("stores differ: digests %x", digests)
	}
}
