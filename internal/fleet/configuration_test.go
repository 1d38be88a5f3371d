package fleet

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/traffic"
)

// control is a control machine of a test.
type control struct {
	name string
	key  ed25519.PrivateKey
}

func newControl(name string) control {
	return control{name, ed25519.NewKeyFromSeed(bytes.Repeat([]byte(name[:1]), ed25519.SeedSize))}
}

func (c control) line() string {
	return c.name + " " + base64.StdEncoding.EncodeToString(c.key.Public().(ed25519.PublicKey)) + "\n"
}

// next signs the change that a relay expects next; an empty value removes the entry.
func (c control) next(t *testing.T, p *part, key, value string) configsync.Change {
	t.Helper()
	for _, source := range p.Configuration().Sources {
		if source.Name == c.name {
			return c.sign(source.NextSequence, source.NextRevision, key, value)
		}
	}
	t.Fatalf("%s does not know %s", p.cfg.Self, c.name)
	return configsync.Change{}
}

func (c control) sign(sequence, revision uint64, key, value string) configsync.Change {
	change := configsync.Change{Source: c.name, Sequence: sequence, Revision: revision, Key: key, Value: []byte(value), Removed: value == ""}
	configsync.Sign(&change, c.key)
	return change
}

func writeTrusted(t *testing.T, dir string, controls ...control) string {
	t.Helper()
	var text strings.Builder
	for _, c := range controls {
		text.WriteString(c.line())
	}
	path := filepath.Join(dir, "trusted")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// configured has a relay replicate configuration, in a folder that lasts if one is named.
func configured(t *testing.T, dir string, controls ...control) func(*Config) {
	return func(cfg *Config) {
		if dir != "" {
			cfg.StateDir = dir
		}
		replication := configsync.Defaults()
		replication.ExchangeInterval = 200 * time.Millisecond
		cfg.Configuration = &ConfigurationConfig{TrustedKeyFile: writeTrusted(t, cfg.StateDir, controls...), Region: "caucasus", Zone: "z-" + cfg.Self,
			MaxEntries: 100, Replication: replication}
	}
}

// post hands a change in.
func (p *part) post(t *testing.T, change configsync.Change) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Configure(ctx, change)
}

// set hands in a change that is the next one at a relay, which may learn of another one meanwhile.
func (p *part) set(t *testing.T, c control, key, value string) {
	t.Helper()
	var err error
	until(t, fmt.Sprintf("%s is %q", key, value), func() bool {
		err = p.post(t, c.next(t, p, key, value))
		return !errors.Is(err, ErrConfigurationConflict)
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (p *part) mustPost(t *testing.T, change configsync.Change) {
	t.Helper()
	if err := p.post(t, change); err != nil {
		t.Fatal(err)
	}
}

// replicating waits until a relay counts so many that replicate.
func replicating(t *testing.T, members int, parts ...*part) {
	t.Helper()
	until(t, fmt.Sprint(members, " relays replicate"), func() bool {
		return !slices.ContainsFunc(parts, func(p *part) bool {
			figures := p.Figures().Configuration
			return figures == nil || figures.Members != members || !figures.Kept
		})
	})
}

func testPool() map[string]traffic.Member {
	return map[string]traffic.Member{"m": {Host: "m", Destination: 7}, "n": {Host: "n", Destination: 7}, "o": {Host: "o", Destination: 8}}
}

// barsAre reports whether exactly these members are barred, as by operators.
func (p *part) barsAre(names ...string) bool {
	p.heard.mu.Lock()
	defer p.heard.mu.Unlock()
	if len(p.bars) != len(names) {
		return false
	}
	for i, bar := range p.bars {
		if bar != (traffic.Exclusion{Member: names[i], Banned: true}) {
			return false
		}
	}
	return true
}

func untilBarred(t *testing.T, parts []*part, names ...string) {
	t.Helper()
	until(t, fmt.Sprint("barred are exactly ", names), func() bool {
		return !slices.ContainsFunc(parts, func(p *part) bool { return !p.barsAre(names...) })
	})
}

// A change that is handed in at one relay is in force at all, whatever its kind, until it is removed; a build without
// replication serves beside them and is left alone.
func TestConfigurationIsInForceAtAll(t *testing.T) {
	c := newControl("control")
	a := join(t, "a", configured(t, "", c))
	b := join(t, "bb", configured(t, "", c), a)
	d := join(t, "ddd", configured(t, "", c), a)
	older := join(t, "older", nil, a)
	all := []*part{a, b, d}
	replicating(t, 3, all...)
	for _, p := range append(all, older) {
		p.Pool(1, testPool())
	}
	until(t, "the older build is a member", func() bool { return older.Figures().Members == 4 && a.Figures().Members == 4 })

	b.set(t, c, "endpoint/m", "down")
	if !b.barsAre("m") {
		t.Error("acknowledged before it is in force")
	}
	untilBarred(t, all, "m")
	d.set(t, c, "destination/7", "closed")
	untilBarred(t, all, "m", "n")
	a.set(t, c, "rate/7", "100")
	until(t, "an entry without a meaning is everywhere", func() bool {
		return !slices.ContainsFunc(all, func(p *part) bool { return p.Figures().Configuration.Unknown != 1 })
	})
	untilBarred(t, all, "m", "n")
	a.set(t, c, "destination/7", "")
	untilBarred(t, all, "m")
	b.set(t, c, "endpoint/m", "")
	untilBarred(t, all)

	until(t, "all hold the same", func() bool {
		return a.Configuration().Digest == b.Configuration().Digest && b.Configuration().Digest == d.Configuration().Digest
	})
	state := a.Configuration()
	if state.Versions["control"] != 5 || len(state.Entries) != 3 || !slices.Equal(state.Members, []string{"a", "bb", "ddd"}) {
		t.Errorf("%+v", state)
	}
	if older.Configuration() != nil || older.Figures().Configuration != nil || !older.barsAre() {
		t.Error("the older build takes part")
	}
	if drops := older.Figures().Drops; drops.Form+drops.Version+drops.Strangers != 0 {
		t.Errorf("the older build dropped something: %+v", drops)
	}
	if err := older.post(t, c.sign(6, 6, "endpoint/m", "down")); !errors.Is(err, ErrConfigurationOff) {
		t.Errorf("the older build: %v", err)
	}
}

// A relay that starts again in its folder has in force what it had, before it hears anybody; one that starts without a folder
// gets it from the others.
func TestConfigurationOutlivesRestarts(t *testing.T) {
	c := newControl("control")
	dir := t.TempDir()
	a := join(t, "a", configured(t, "", c))
	b := join(t, "bb", configured(t, dir, c), a)
	replicating(t, 2, a, b)
	for _, key := range []string{"endpoint/m", "endpoint/x", "endpoint/m"} {
		a.set(t, c, key, "down")
	}
	until(t, "the other one has it", func() bool { return b.Configuration().Versions["control"] == 3 })
	b.end()
	until(t, "it has left", func() bool { return a.Figures().Members == 1 })

	alone := join(t, "bb", configured(t, dir, c))
	alone.Pool(1, testPool())
	untilBarred(t, []*part{alone}, "m")
	until(t, "it shows what it had", func() bool {
		state := alone.Configuration()
		return state.Versions["control"] == 3 && state.Digest == a.Configuration().Digest
	})
	alone.end()

	a.set(t, c, "endpoint/n", "down")
	back := join(t, "bb", configured(t, dir, c), a)
	anew := join(t, "new", configured(t, "", c), a)
	for _, p := range []*part{back, anew} {
		p.Pool(1, testPool())
	}
	untilBarred(t, []*part{back, anew}, "m", "n")
	until(t, "all hold the same", func() bool {
		digest, version := a.Configuration().Digest, a.Configuration().Versions["control"]
		return !slices.ContainsFunc([]*part{back, anew}, func(p *part) bool {
			state := p.Configuration()
			return state.Digest != digest || state.Versions["control"] != version
		})
	})
}

// A file that is spoilt is begun anew, and the others tell what it held.
func TestConfigurationFileDamaged(t *testing.T) {
	c := newControl("control")
	dir := t.TempDir()
	a := join(t, "a", configured(t, "", c))
	if err := os.WriteFile(filepath.Join(dir, "fleet-configuration"), bytes.Repeat([]byte{7}, 999), 0o600); err != nil {
		t.Fatal(err)
	}
	replicating(t, 1, a)
	a.set(t, c, "endpoint/m", "down")
	b := join(t, "bb", configured(t, dir, c), a)
	b.Pool(1, testPool())
	untilBarred(t, []*part{b}, "m")
	until(t, "it is kept", func() bool { return b.Configuration().Figures.Kept })
	b.end()
	again := join(t, "bb", configured(t, dir, c))
	again.Pool(1, testPool())
	untilBarred(t, []*part{again}, "m")
}

// A process that takes over from another has in force what that one had when it began, refuses changes while the other one has
// the address, and learns from the file what came meanwhile.
func TestConfigurationHandOver(t *testing.T) {
	c := newControl("control")
	dir := t.TempDir()
	before := join(t, "a", configured(t, dir, c))
	replicating(t, 1, before)
	before.set(t, c, "endpoint/m", "down")
	after := join(t, "a", func(cfg *Config) {
		configured(t, dir, c)(cfg)
		cfg.Bind = before.cfg.Bind
	})
	after.Pool(1, testPool())
	untilBarred(t, []*part{after}, "m")
	if err := after.post(t, c.sign(2, 2, "endpoint/n", "down")); !errors.Is(err, ErrConfigurationNotReady) {
		t.Errorf("the process without the address: %v", err)
	}
	before.set(t, c, "endpoint/n", "down")
	before.end()
	untilBarred(t, []*part{after}, "m", "n")
	replicating(t, 1, after)
	after.set(t, c, "endpoint/m", "")
	untilBarred(t, []*part{after}, "n")
}

// A change that can't be kept is in force and said not to be kept; others keep it.
func TestConfigurationNotKept(t *testing.T) {
	c := newControl("control")
	a := join(t, "a", func(cfg *Config) {
		configured(t, "", c)(cfg)
		cfg.Configuration.MaxFileBytes = 300 // room for one change
	})
	b := join(t, "bb", configured(t, "", c), a)
	replicating(t, 2, a, b)
	a.Pool(1, testPool())
	a.set(t, c, "endpoint/m", "down")
	if err := a.post(t, c.next(t, a, "endpoint/n", "down")); !errors.Is(err, ErrConfigurationNotSaved) {
		t.Errorf("a change that has no room: %v", err)
	}
	untilBarred(t, []*part{a}, "m", "n")
	until(t, "the other one keeps both", func() bool {
		state := b.Configuration()
		return state.Versions["control"] == 2 && state.Figures.Kept
	})
	until(t, "it is shown", func() bool { return !a.Figures().Configuration.Kept })
}

// What no trusted source has signed, or is not the next change of its source, is refused with its reason and changes nothing.
func TestConfigurationRefusals(t *testing.T) {
	c, stranger := newControl("control"), newControl("stranger")
	a := join(t, "a", configured(t, "", c))
	replicating(t, 1, a)
	a.Pool(1, testPool())
	first := c.next(t, a, "endpoint/m", "down")
	a.mustPost(t, first)
	a.mustPost(t, first) // again, for the first answer was lost
	state := a.Configuration()

	forged := c.next(t, a, "endpoint/n", "down")
	forged.Key = "endpoint/o"
	impostor := stranger.sign(2, 2, "endpoint/n", "down")
	impostor.Source = "control"
	for name, bad := range map[string]struct {
		change configsync.Change
		want   error
	}{
		"of no trusted source":  {stranger.sign(1, 2, "endpoint/n", "down"), configsync.ErrUntrusted},
		"under another's name":  {impostor, configsync.ErrUntrusted},
		"changed on the way":    {forged, configsync.ErrUntrusted},
		"of a sequence taken":   {c.sign(1, 2, "endpoint/n", "down"), ErrConfigurationConflict},
		"beyond the next one":   {c.sign(3, 2, "endpoint/n", "down"), ErrConfigurationConflict},
		"of a mad revision":     {c.sign(2, 1<<62, "endpoint/n", "down"), ErrConfigurationConflict},
		"without a key":         {c.sign(2, 2, "", "down"), configsync.ErrInvalid},
		"with too long a value": {c.sign(2, 2, "endpoint/n", strings.Repeat("x", 5000)), configsync.ErrInvalid},
	} {
		if err := a.post(t, bad.change); !errors.Is(err, bad.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if after := a.Configuration(); after.Digest != state.Digest || after.Versions["control"] != 1 || !a.barsAre("m") {
		t.Errorf("something has changed: %+v", after)
	}
}

// A source's key is taken out and another one's in by a reload: what the first signed before stays, what it signs later is
// refused. A file that makes no sense changes nothing.
func TestConfigurationKeyChange(t *testing.T) {
	first, second := newControl("first"), newControl("second")
	a := join(t, "a", configured(t, "", first))
	b := join(t, "bb", configured(t, "", first), a)
	replicating(t, 2, a, b)
	a.Pool(1, testPool())
	b.Pool(1, testPool())
	a.set(t, first, "endpoint/m", "down")
	untilBarred(t, []*part{a, b}, "m")

	if err := os.WriteFile(a.cfg.Configuration.TrustedKeyFile, []byte("first not-a-key\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.Reload(); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("a file that makes no sense: %v", err)
	}
	a.set(t, first, "endpoint/n", "down")
	untilBarred(t, []*part{a, b}, "m", "n")

	late := first.next(t, a, "endpoint/m", "")
	for _, p := range []*part{a, b} {
		writeTrusted(t, p.dir, second)
		if err := p.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.post(t, late); !errors.Is(err, configsync.ErrUntrusted) {
		t.Errorf("the first source after its key was taken out: %v", err)
	}
	until(t, "the second is known", func() bool {
		return slices.ContainsFunc(b.Configuration().Sources, func(s ConfigurationSource) bool { return s.Name == "second" && s.Trusted })
	})
	b.set(t, second, "endpoint/n", "")
	untilBarred(t, []*part{a, b}, "m")
}

func TestTrustedKeyFiles(t *testing.T) {
	dir := t.TempDir()
	good := newControl("control").line()
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{"# control machines\n\n" + good + newControl("second").line(), 0o644, ""},
		{good, 0o666, "anybody may write it"},
		{good + "second\n", 0o600, "line 2"},
		{good + "second c2hvcnQ=\n", 0o600, "line 2"},
		{good + good, 0o600, "line 2"},
		{strings.Repeat("x", 65) + strings.TrimPrefix(good, "control"), 0o600, "line 1"},
		{"# none\n", 0o600, "0 keys"},
	} {
		path := filepath.Join(dir, "trusted")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chmod(path, c.mode); err != nil {
			t.Fatal(err)
		}
		got, err := ReadTrustedKeys(path)
		if c.want == "" && (err != nil || len(got) != 2) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q, mode %o: %v", c.text, c.mode, err)
		}
	}
}

// What relays announce is read as it was meant; anything else is no announcement.
func TestCapability(t *testing.T) {
	at := location{region: "caucasus", zone: strings.Repeat("z", maxLocationBytes)}
	meta := encodeCapability(at)
	if got, ok := decodeCapability(append(meta, "of a later build"...)); !ok || got != at {
		t.Errorf("%+v, %v", got, ok)
	}
	if len(encodeCapability(location{strings.Repeat("r", maxLocationBytes), strings.Repeat("z", maxLocationBytes)})) > 512 {
		t.Error("an announcement does not fit")
	}
	for n := range meta {
		if _, ok := decodeCapability(meta[:n]); ok {
			t.Errorf("taken when cut at %d of %d bytes", n, len(meta))
		}
	}
	for _, bad := range [][]byte{{2, 0, 0}, {1, 65}, {1, 200, 1, 0}, {1, 1, 0, 0}, {1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		if _, ok := decodeCapability(bad); ok {
			t.Errorf("taken: %v", bad)
		}
	}
}
