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

// controlMachine is a source of signed configuration changes.
type controlMachine struct {
	name string
	key  ed25519.PrivateKey
}

// newControlMachine returns a machine whose key is derived from the first letter of its name.
func newControlMachine(name string) controlMachine {
	return controlMachine{name, ed25519.NewKeyFromSeed(bytes.Repeat([]byte(name[:1]), ed25519.SeedSize))}
}

// trustedKeyLine returns the machine's line of a trusted key file.
func (c controlMachine) trustedKeyLine() string {
	return c.name + " " + base64.StdEncoding.EncodeToString(c.key.Public().(ed25519.PublicKey)) + "\n"
}

// next signs a change with the next sequence number and revision that a relay expects. An empty value removes the entry.
func (c controlMachine) next(t *testing.T, p *testRelay, key, value string) configsync.Change {
	t.Helper()
	for _, source := range p.Configuration().Sources {
		if source.Name == c.name {
			return c.sign(source.NextSequence, source.NextRevision, key, value)
		}
	}
	t.Fatalf("%s does not know %s", p.cfg.Self, c.name)
	return configsync.Change{}
}

// sign returns a signed change. An empty value removes the entry.
func (c controlMachine) sign(sequence, revision uint64, key, value string) configsync.Change {
	change := configsync.Change{Source: c.name, Sequence: sequence, Revision: revision, Key: key, Value: []byte(value), Removed: value == ""}
	configsync.Sign(&change, c.key)
	return change
}

// writeTrustedKeys writes a trusted key file for machines and returns its path.
func writeTrustedKeys(t *testing.T, dir string, machines ...controlMachine) string {
	t.Helper()
	var text strings.Builder
	for _, c := range machines {
		text.WriteString(c.trustedKeyLine())
	}
	path := filepath.Join(dir, "trusted")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// withConfiguration makes a relay replicate configuration. If dir is not empty, it is the relay's state directory.
func withConfiguration(t *testing.T, dir string, machines ...controlMachine) func(*Config) {
	return func(cfg *Config) {
		if dir != "" {
			cfg.StateDir = dir
		}
		replication := configsync.Defaults()
		replication.ExchangeInterval = 200 * time.Millisecond
		cfg.Configuration = &ConfigurationConfig{TrustedKeyFile: writeTrustedKeys(t, cfg.StateDir, machines...), Region: "caucasus", Zone: "z-" + cfg.Self,
			MaxEntries: 100, Replication: replication}
	}
}

// submit submits a change to the relay, and waits up to 5 seconds for the reply.
func (r *testRelay) submit(t *testing.T, change configsync.Change) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return r.Configure(ctx, change)
}

// submitNext submits the next change of a machine. It tries again after a conflict, because the relay may have received
// another change of the machine in the meantime.
func (r *testRelay) submitNext(t *testing.T, c controlMachine, key, value string) {
	t.Helper()
	var err error
	waitFor(t, fmt.Sprintf("%s is %q", key, value), func() bool {
		err = r.submit(t, c.next(t, r, key, value))
		return !errors.Is(err, ErrConfigurationConflict)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// mustSubmit submits a change that must be accepted.
func (r *testRelay) mustSubmit(t *testing.T, change configsync.Change) {
	t.Helper()
	if err := r.submit(t, change); err != nil {
		t.Fatal(err)
	}
}

// waitForReplication waits until each relay counts the given number of replicating members and has saved its state.
func waitForReplication(t *testing.T, members int, relays ...*testRelay) {
	t.Helper()
	waitFor(t, fmt.Sprint(members, " relays replicate"), func() bool {
		return !slices.ContainsFunc(relays, func(p *testRelay) bool {
			metrics := p.Metrics().Configuration
			return metrics == nil || metrics.Members != members || !metrics.Saved
		})
	})
}

// testPool returns a pool of three members of two destinations.
func testPool() map[string]traffic.Member {
	return map[string]traffic.Member{"m": {Host: "m", Destination: 7}, "n": {Host: "n", Destination: 7}, "o": {Host: "o", Destination: 8}}
}

// excludesExactly reports whether the relay excludes exactly these pool members, all as banned.
func (r *testRelay) excludesExactly(names ...string) bool {
	r.recordingRelay.mu.Lock()
	defer r.recordingRelay.mu.Unlock()
	if len(r.exclusions) != len(names) {
		return false
	}
	for i, exclusion := range r.exclusions {
		if exclusion != (traffic.Exclusion{Member: names[i], Banned: true}) {
			return false
		}
	}
	return true
}

// waitForExclusions waits until each relay excludes exactly these pool members.
func waitForExclusions(t *testing.T, relays []*testRelay, names ...string) {
	t.Helper()
	waitFor(t, fmt.Sprint("the excluded members are exactly ", names), func() bool {
		return !slices.ContainsFunc(relays, func(p *testRelay) bool { return !p.excludesExactly(names...) })
	})
}

// Guards against changes that do not reach all relays. A change submitted to one relay comes into force at all of them, until
// it is removed. A relay without replication stays a member, and receives no packet that it must drop.
func TestConfigurationReachesAllRelays(t *testing.T) {
	machine := newControlMachine("control")
	a := startRelay(t, "a", withConfiguration(t, "", machine))
	b := startRelay(t, "bb", withConfiguration(t, "", machine), a)
	d := startRelay(t, "ddd", withConfiguration(t, "", machine), a)
	older := startRelay(t, "older", nil, a)
	all := []*testRelay{a, b, d}
	waitForReplication(t, 3, all...)
	for _, p := range append(all, older) {
		p.UpdatePool(1, testPool())
	}
	waitFor(t, "the older build is a member", func() bool { return older.Metrics().Members == 4 && a.Metrics().Members == 4 })
	joining := older.Metrics().Drops // until here a packet may arrive before its sender is known as a member

	b.submitNext(t, machine, "endpoint/m", "down")
	if !b.excludesExactly("m") {
		t.Error("the reply came before the change was in force")
	}
	waitForExclusions(t, all, "m")
	d.submitNext(t, machine, "destination/7", "closed")
	waitForExclusions(t, all, "m", "n")
	a.submitNext(t, machine, "rate/7", "100")
	waitFor(t, "all relays have the entry that this build does not know", func() bool {
		return !slices.ContainsFunc(all, func(p *testRelay) bool { return p.Metrics().Configuration.Unknown != 1 })
	})
	waitForExclusions(t, all, "m", "n")
	a.submitNext(t, machine, "destination/7", "")
	waitForExclusions(t, all, "m")
	b.submitNext(t, machine, "endpoint/m", "")
	waitForExclusions(t, all)

	waitFor(t, "all have the same configuration", func() bool {
		return a.Configuration().Digest == b.Configuration().Digest && b.Configuration().Digest == d.Configuration().Digest
	})
	state := a.Configuration()
	if state.Versions["control"] != 5 || len(state.Entries) != 3 || !slices.Equal(state.Members, []string{"a", "bb", "ddd"}) {
		t.Errorf("%+v", state)
	}
	if older.Configuration() != nil || older.Metrics().Configuration != nil || !older.excludesExactly() {
		t.Error("the older build replicates configuration")
	}
	if drops := older.Metrics().Drops; drops.Malformed+drops.OtherVersion != 0 || drops.UnknownSenders != joining.UnknownSenders {
		t.Errorf("the older build dropped something: %+v, while it joined %+v", drops, joining)
	}
	if err := older.submit(t, machine.sign(6, 6, "endpoint/m", "down")); !errors.Is(err, ErrConfigurationOff) {
		t.Errorf("the older build: %v", err)
	}
}

// Guards against the loss of configuration in a restart. A relay that restarts with its state directory has the entries in
// force before it reaches another relay. A relay that starts without a file receives the entries from the others.
func TestConfigurationOutlivesRestarts(t *testing.T) {
	machine := newControlMachine("control")
	dir := t.TempDir()
	a := startRelay(t, "a", withConfiguration(t, "", machine))
	b := startRelay(t, "bb", withConfiguration(t, dir, machine), a)
	waitForReplication(t, 2, a, b)
	for _, key := range []string{"endpoint/m", "endpoint/x", "endpoint/m"} {
		a.submitNext(t, machine, key, "down")
	}
	waitFor(t, "the other relay has all changes", func() bool { return b.Configuration().Versions["control"] == 3 })
	b.stop()
	waitFor(t, "the stopped relay is no longer a member", func() bool { return a.Metrics().Members == 1 })

	alone := startRelay(t, "bb", withConfiguration(t, dir, machine))
	alone.UpdatePool(1, testPool())
	waitForExclusions(t, []*testRelay{alone}, "m")
	waitFor(t, "the restarted relay shows the saved state", func() bool {
		state := alone.Configuration()
		return state.Versions["control"] == 3 && state.Digest == a.Configuration().Digest
	})
	alone.stop()

	a.submitNext(t, machine, "endpoint/n", "down")
	restarted := startRelay(t, "bb", withConfiguration(t, dir, machine), a)
	fresh := startRelay(t, "new", withConfiguration(t, "", machine), a)
	for _, p := range []*testRelay{restarted, fresh} {
		p.UpdatePool(1, testPool())
	}
	waitForExclusions(t, []*testRelay{restarted, fresh}, "m", "n")
	waitFor(t, "all have the same configuration", func() bool {
		digest, version := a.Configuration().Digest, a.Configuration().Versions["control"]
		return !slices.ContainsFunc([]*testRelay{restarted, fresh}, func(p *testRelay) bool {
			state := p.Configuration()
			return state.Digest != digest || state.Versions["control"] != version
		})
	})
}

// Guards against a corrupt configuration file. The relay replaces the file and receives the entries from other relays. After
// the next restart the entries are in force again from the new file.
func TestCorruptConfigurationFileIsReplaced(t *testing.T) {
	machine := newControlMachine("control")
	dir := t.TempDir()
	a := startRelay(t, "a", withConfiguration(t, "", machine))
	if err := os.WriteFile(filepath.Join(dir, "fleet-configuration"), bytes.Repeat([]byte{7}, 999), 0o600); err != nil {
		t.Fatal(err)
	}
	waitForReplication(t, 1, a)
	a.submitNext(t, machine, "endpoint/m", "down")
	b := startRelay(t, "bb", withConfiguration(t, dir, machine), a)
	b.UpdatePool(1, testPool())
	waitForExclusions(t, []*testRelay{b}, "m")
	waitFor(t, "the state is saved", func() bool { return b.Configuration().Metrics.Saved })
	b.stop()
	restarted := startRelay(t, "bb", withConfiguration(t, dir, machine))
	restarted.UpdatePool(1, testPool())
	waitForExclusions(t, []*testRelay{restarted}, "m")
}

// Guards against lost changes in a handover. The successor process has the entries in force that were saved when it started.
// It refuses changes while its predecessor has the address. Then it reads the later changes from the file.
func TestConfigurationHandover(t *testing.T) {
	machine := newControlMachine("control")
	dir := t.TempDir()
	predecessor := startRelay(t, "a", withConfiguration(t, dir, machine))
	waitForReplication(t, 1, predecessor)
	predecessor.submitNext(t, machine, "endpoint/m", "down")
	successor := startRelay(t, "a", func(cfg *Config) {
		withConfiguration(t, dir, machine)(cfg)
		cfg.Bind = predecessor.cfg.Bind
	})
	successor.UpdatePool(1, testPool())
	waitForExclusions(t, []*testRelay{successor}, "m")
	if err := successor.submit(t, machine.sign(2, 2, "endpoint/n", "down")); !errors.Is(err, ErrConfigurationNotReady) {
		t.Errorf("the process without the address: %v", err)
	}
	predecessor.submitNext(t, machine, "endpoint/n", "down")
	predecessor.stop()
	waitForExclusions(t, []*testRelay{successor}, "m", "n")
	waitForReplication(t, 1, successor)
	successor.submitNext(t, machine, "endpoint/m", "")
	waitForExclusions(t, []*testRelay{successor}, "n")
}

// Guards against a success reply for a change that could not be saved. The change is in force, the reply reports that it is
// not saved, and the other relay saves it.
func TestConfigurationNotSaved(t *testing.T) {
	machine := newControlMachine("control")
	a := startRelay(t, "a", func(cfg *Config) {
		withConfiguration(t, "", machine)(cfg)
		cfg.Configuration.MaxFileBytes = 300 // room for one change
	})
	b := startRelay(t, "bb", withConfiguration(t, "", machine), a)
	waitForReplication(t, 2, a, b)
	a.UpdatePool(1, testPool())
	a.submitNext(t, machine, "endpoint/m", "down")
	if err := a.submit(t, machine.next(t, a, "endpoint/n", "down")); !errors.Is(err, ErrConfigurationNotSaved) {
		t.Errorf("a change that does not fit into the file: %v", err)
	}
	waitForExclusions(t, []*testRelay{a}, "m", "n")
	waitFor(t, "the other relay has saved both changes", func() bool {
		state := b.Configuration()
		return state.Versions["control"] == 2 && state.Metrics.Saved
	})
	waitFor(t, "the metrics show that the state is not saved", func() bool { return !a.Metrics().Configuration.Saved })
}

// Guards against changes that must be refused: those without the signature of a trusted source, those that are not the next
// change of their source, and invalid ones. The error gives the reason, and the state does not change.
func TestConfigurationRefusals(t *testing.T) {
	machine, stranger := newControlMachine("control"), newControlMachine("stranger")
	a := startRelay(t, "a", withConfiguration(t, "", machine))
	waitForReplication(t, 1, a)
	a.UpdatePool(1, testPool())
	first := machine.next(t, a, "endpoint/m", "down")
	a.mustSubmit(t, first)
	a.mustSubmit(t, first) // submitted again, as after a lost reply
	state := a.Configuration()

	forged := machine.next(t, a, "endpoint/n", "down")
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
		"of a used sequence":    {machine.sign(1, 2, "endpoint/n", "down"), ErrConfigurationConflict},
		"beyond the next one":   {machine.sign(3, 2, "endpoint/n", "down"), ErrConfigurationConflict},
		"of a huge revision":    {machine.sign(2, 1<<62, "endpoint/n", "down"), ErrConfigurationConflict},
		"without a key":         {machine.sign(2, 2, "", "down"), configsync.ErrInvalid},
		"with too long a value": {machine.sign(2, 2, "endpoint/n", strings.Repeat("x", 5000)), configsync.ErrInvalid},
	} {
		if err := a.submit(t, bad.change); !errors.Is(err, bad.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if after := a.Configuration(); after.Digest != state.Digest || after.Versions["control"] != 1 || !a.excludesExactly("m") {
		t.Errorf("a refused change has changed the state: %+v", after)
	}
}

// Guards against faults in the replacement of trusted keys by a reload. Entries signed with the removed key stay in force, and
// new changes signed with it are refused. An invalid key file leaves the previous keys in use.
func TestConfigurationKeyChange(t *testing.T) {
	first, second := newControlMachine("first"), newControlMachine("second")
	a := startRelay(t, "a", withConfiguration(t, "", first))
	b := startRelay(t, "bb", withConfiguration(t, "", first), a)
	waitForReplication(t, 2, a, b)
	a.UpdatePool(1, testPool())
	b.UpdatePool(1, testPool())
	a.submitNext(t, first, "endpoint/m", "down")
	waitForExclusions(t, []*testRelay{a, b}, "m")

	if err := os.WriteFile(a.cfg.Configuration.TrustedKeyFile, []byte("first not-a-key\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.Reload(); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("an invalid key file: %v", err)
	}
	a.submitNext(t, first, "endpoint/n", "down")
	waitForExclusions(t, []*testRelay{a, b}, "m", "n")

	lateChange := first.next(t, a, "endpoint/m", "")
	for _, p := range []*testRelay{a, b} {
		writeTrustedKeys(t, p.dir, second)
		if err := p.Reload(); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.submit(t, lateChange); !errors.Is(err, configsync.ErrUntrusted) {
		t.Errorf("the first source after its key was removed: %v", err)
	}
	waitFor(t, "the second source is trusted", func() bool {
		return slices.ContainsFunc(b.Configuration().Sources, func(s ConfigurationSource) bool { return s.Name == "second" && s.Trusted })
	})
	b.submitNext(t, second, "endpoint/n", "")
	waitForExclusions(t, []*testRelay{a, b}, "m")
}

// Guards against the use of invalid trusted key files.
func TestTrustedKeyFiles(t *testing.T) {
	dir := t.TempDir()
	validLine := newControlMachine("control").trustedKeyLine()
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{
		{"# control machines\n\n" + validLine + newControlMachine("second").trustedKeyLine(), 0o644, ""},
		{validLine, 0o666, "all users may write it"},
		{validLine + "second\n", 0o600, "line 2"},
		{validLine + "second c2hvcnQ=\n", 0o600, "line 2"},
		{validLine + validLine, 0o600, "line 2"},
		{strings.Repeat("x", 65) + strings.TrimPrefix(validLine, "control"), 0o600, "line 1"},
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

// Guards against misread metadata. Encoded metadata is decoded to the same value, with bytes of a later build after it.
// Truncated or invalid metadata is rejected.
func TestCapability(t *testing.T) {
	at := regionAndZone{region: "caucasus", zone: strings.Repeat("z", maxLocationBytes)}
	meta := encodeCapability(at)
	if got, ok := decodeCapability(append(meta, "of a later build"...)); !ok || got != at {
		t.Errorf("%+v, %v", got, ok)
	}
	if len(encodeCapability(regionAndZone{strings.Repeat("r", maxLocationBytes), strings.Repeat("z", maxLocationBytes)})) > 512 {
		t.Error("the longest metadata exceeds 512 bytes")
	}
	for n := range meta {
		if _, ok := decodeCapability(meta[:n]); ok {
			t.Errorf("accepted when truncated at %d of %d bytes", n, len(meta))
		}
	}
	for _, bad := range [][]byte{{2, 0, 0}, {1, 65}, {1, 200, 1, 0}, {1, 1, 0, 0}, {1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		if _, ok := decodeCapability(bad); ok {
			t.Errorf("accepted: %v", bad)
		}
	}
}
