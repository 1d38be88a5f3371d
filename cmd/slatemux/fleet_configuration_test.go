package main

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet"
	"slatemux/internal/fleet/configfile"
)

// freeAddress returns a TCP address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// controlMachine holds the paths of a control machine's key and of the settings of a relay that trusts this key, all in one folder.
type controlMachine struct {
	dir, keyFile, trustedKeyFile, settings string
}

// newControlMachine generates a key and writes the settings of a relay that trusts it.
func newControlMachine(t *testing.T) controlMachine {
	t.Helper()
	dir := t.TempDir()
	c := controlMachine{dir: dir, keyFile: filepath.Join(dir, "control.key"), trustedKeyFile: filepath.Join(dir, "trusted"),
		settings: filepath.Join(dir, "gateway.textproto")}
	line, err := runCLI(t, nil, "fleet", "configuration", "keygen", "--source", "control", "--key-file", c.keyFile)
	if err != nil || !strings.HasPrefix(line, "control ") {
		t.Fatal(line, err)
	}
	fleetKey := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{1}, 32))
	text := fmt.Sprintf("fleet { enabled: true name: \"tbilisi\" bind: %q key_file: %q\n configuration { enabled: true trusted_key_file: %q\n region: \"caucasus\" }\n}",
		freeAddress(t), filepath.Join(dir, "fleet.key"), c.trustedKeyFile)
	for path, content := range map[string]string{c.trustedKeyFile: line, filepath.Join(dir, "fleet.key"): fleetKey, c.settings: text} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// runChange runs the command line with set or remove as the control machine.
func (c controlMachine) runChange(t *testing.T, ops string, args ...string) (string, error) {
	t.Helper()
	args = append([]string{"fleet", "configuration"}, args...)
	return runCLI(t, nil, append(args, "--ops", ops, "--source", "control", "--key-file", c.keyFile)...)
}

// awaitConfiguration waits until the relay can accept changes, and returns its fleet configuration.
func awaitConfiguration(t *testing.T, ops string) fleet.ConfigurationState {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		var state fleet.ConfigurationState
		out, err := runCLI(t, nil, "fleet", "configuration", "show", "--json", "--ops", ops)
		if err == nil {
			err = json.Unmarshal([]byte(out), &state)
		}
		if err == nil && state.Metrics.Saved {
			return state
		}
		if time.Now().After(end) {
			t.Fatal(out, err)
		}
	}
}

// disabledTargets returns the number of disabled targets in the stats of the admin endpoint.
func disabledTargets(t *testing.T, ops string) int {
	t.Helper()
	body, err := getOps(t.Context(), ops, "/ops/stats")
	if err != nil {
		t.Fatal(err)
	}
	var stats struct {
		Disabled int `json:"targets_disabled"`
	}
	if err := json.Unmarshal(body, &stats); err != nil {
		t.Fatal(err)
	}
	return stats.Disabled
}

// awaitDisabledTargets waits until the relay reports the wanted number of disabled targets.
func awaitDisabledTargets(t *testing.T, ops string, want int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); disabledTargets(t, ops) != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d targets are disabled, want %d", disabledTargets(t, ops), want)
		}
	}
}

// An entry that an operator sets takes effect, is still in effect after a restart, and can be removed.
func TestConfigurationSetShowRemove(t *testing.T) {
	c, a := newControlMachine(t), newTestPeers(t)
	close(a.releaseCalls)
	vars := writeTestConfig(t, a.config)
	vars["SLATEMUX_CONFIG"], vars["NODE_OPS"] = c.settings, freeAddress(t)
	ops := vars["NODE_OPS"]

	_, _, end := startRelay(t, vars)
	awaitConfiguration(t, ops)
	awaitDisabledTargets(t, ops, 0)
	out, err := c.runChange(t, ops, "set", "endpoint/m", "down")
	if err != nil || !strings.Contains(out, "change 1 of control") {
		t.Fatal(out, err)
	}
	awaitDisabledTargets(t, ops, 1)
	if out, err := c.runChange(t, ops, "set", "other/key", "a b", "--json"); err != nil || !strings.Contains(out, `"sequence":2`) {
		t.Error(out, err)
	}
	end()

	_, _, end = startRelay(t, vars)
	defer end()
	awaitDisabledTargets(t, ops, 1)
	state := awaitConfiguration(t, ops)
	if len(state.Entries) != 2 || !state.Entries[0].Applied || state.Entries[1].Applied || state.Versions["control"] != 2 {
		t.Errorf("%+v", state)
	}
	table, err := runCLI(t, nil, "fleet", "configuration", "show", "--ops", ops)
	for _, want := range []string{"digest", "source control", "known through 2, trusted", "endpoint/m", "applied", "unknown here", "a b"} {
		if err != nil || !strings.Contains(table, want) {
			t.Errorf("%v, no %q in\n%s", err, want, table)
		}
	}
	if out, err := c.runChange(t, ops, "remove", "endpoint/m"); err != nil {
		t.Error(out, err)
	}
	awaitDisabledTargets(t, ops, 0)
}

// A change whose answer was lost is submitted again before the next change, so that no sequence number is skipped or used twice. The test
// saves a signed change that no relay has received.
func TestLostChangeIsResubmitted(t *testing.T) {
	c, a := newControlMachine(t), newTestPeers(t)
	close(a.releaseCalls)
	vars := writeTestConfig(t, a.config)
	vars["SLATEMUX_CONFIG"], vars["NODE_OPS"] = c.settings, freeAddress(t)
	ops := vars["NODE_OPS"]
	_, _, end := startRelay(t, vars)
	defer end()
	awaitConfiguration(t, ops)

	key, err := readPrivateKey(c.keyFile)
	if err != nil {
		t.Fatal(err)
	}
	signer := &changeSigner{addr: &ops, source: "control", keyFile: c.keyFile}
	lostChange := fleet.ConfigurationChange{Source: "control", Sequence: 1, Revision: 1, Key: "lost", Value: "yes"}
	lostChange.Signature = signChange(lostChange, key)
	if err := signer.saveLast(lostChange); err != nil {
		t.Fatal(err)
	}
	if out, err := c.runChange(t, ops, "set", "next", "yes"); err != nil || !strings.Contains(out, "change 2 of control") {
		t.Fatal(out, err)
	}
	if state := awaitConfiguration(t, ops); len(state.Entries) != 2 || state.Versions["control"] != 2 {
		t.Errorf("%+v", state)
	}
}

// Anything but a change signed by a trusted source is refused, with the HTTP status for the reason and one line of text.
func TestConfigurationRefusals(t *testing.T) {
	c, a := newControlMachine(t), newTestPeers(t)
	close(a.releaseCalls)
	vars := writeTestConfig(t, a.config)
	vars["SLATEMUX_CONFIG"], vars["NODE_OPS"] = c.settings, freeAddress(t)
	ops := vars["NODE_OPS"]
	_, _, end := startRelay(t, vars)
	defer end()
	awaitConfiguration(t, ops)
	key, err := readPrivateKey(c.keyFile)
	if err != nil {
		t.Fatal(err)
	}
	signed := func(sequence uint64, name string) string {
		change := fleet.ConfigurationChange{Source: "control", Sequence: sequence, Revision: 1, Key: name, Value: "x"}
		change.Signature = signChange(change, key)
		raw, _ := json.Marshal(change)
		return string(raw)
	}
	for name, r := range map[string]struct {
		body   string
		status int
	}{
		"no JSON":          {"down", 400},
		"an unknown field": {`{"sourc":"control"}`, 400},
		"two changes":      {signed(1, "k") + signed(2, "k"), 400},
		"empty key":        {signed(1, ""), 400},
		"key too long":     {signed(1, strings.Repeat("k", 9000)), 400},
		"not signed":       {`{"source":"control","sequence":1,"revision":1,"key":"k","value":"x"}`, 403},
		"unknown source":   {strings.Replace(signed(1, "k"), "control", "contra", 1), 403},
		"changed value":    {strings.Replace(signed(1, "k"), `"x"`, `"y"`, 1), 403},
		"skipped sequence": {signed(5, "k"), 409},
		"sequence 0":       {signed(0, "k"), 409},
	} {
		resp, err := http.Post("http://"+ops+configurationPath, "application/json", strings.NewReader(r.body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != r.status || strings.Count(string(text), "\n") != 1 {
			t.Errorf("%s: answer %d %q, want status %d", name, resp.StatusCode, text, r.status)
		}
	}
}

// signChange returns the signature of the change.
func signChange(change fleet.ConfigurationChange, key ed25519.PrivateKey) []byte {
	signed := change.Change()
	configsync.Sign(&signed, key)
	return signed.Signature
}

// SIGHUP makes the relay read the trusted keys again. A source that is no longer in the file cannot change entries, and a new one can.
func TestReloadRereadsTrustedKeys(t *testing.T) {
	c, other, a := newControlMachine(t), newControlMachine(t), newTestPeers(t)
	close(a.releaseCalls)
	vars := writeTestConfig(t, a.config)
	vars["SLATEMUX_CONFIG"], vars["NODE_OPS"] = c.settings, freeAddress(t)
	ops := vars["NODE_OPS"]
	_, reload, end := startRelay(t, vars)
	defer end()
	awaitConfiguration(t, ops)
	if out, err := c.runChange(t, ops, "set", "k", "first"); err != nil {
		t.Fatal(out, err)
	}
	line, err := os.ReadFile(other.trustedKeyFile)
	if err != nil {
		t.Fatal(err)
	}
	line = bytes.Replace(line, []byte("control "), []byte("other "), 1)
	if err := os.WriteFile(c.trustedKeyFile, line, 0o600); err != nil {
		t.Fatal(err)
	}
	reload()
	for end := time.Now().Add(10 * time.Second); awaitConfiguration(t, ops).Sources[0].Trusted; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the source is still trusted")
		}
	}
	if out, err := c.runChange(t, ops, "set", "k", "second"); err == nil || !strings.Contains(err.Error(), "does not trust") {
		t.Error(out, err)
	}
	if out, err := runCLI(t, nil, "fleet", "configuration", "set", "k", "third", "--ops", ops, "--source", "other", "--key-file", other.keyFile); err != nil {
		t.Error(out, err)
	}
	if entry := awaitConfiguration(t, ops).Entries[0]; entry.Value != "third" || entry.Source != "other" {
		t.Errorf("%+v", entry)
	}
}

// A relay without a fleet configuration answers show with 404 and refuses changes.
func TestConfigurationDisabled(t *testing.T) {
	a := newTestPeers(t)
	close(a.releaseCalls)
	vars := writeTestConfig(t, a.config)
	vars["NODE_OPS"] = freeAddress(t)
	_, _, end := startRelay(t, vars)
	defer end()
	if out, err := runCLI(t, nil, "fleet", "configuration", "show", "--ops", vars["NODE_OPS"]); err == nil || !strings.Contains(err.Error(), "404") {
		t.Error(out, err)
	}
	resp, err := http.Post("http://"+vars["NODE_OPS"]+configurationPath, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Error(resp.Status)
	}
}

// The check command prints the resulting settings, and names a file that is missing or invalid.
func TestCheckConfiguration(t *testing.T) {
	c := newControlMachine(t)
	vars := writeTestConfig(t, newTestPeers(t).config)
	out, err := runCLI(t, vars, "check", "--config", c.settings)
	for _, want := range []string{"fleet configuration", `region "caucasus"`, `zone "here"`, "2500 bytes a second", "4096 entries"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("%v, no %q in\n%s", err, want, out)
		}
	}
	if err := os.WriteFile(c.trustedKeyFile, []byte("control short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := runCLI(t, vars, "check", "--config", c.settings); err == nil || !strings.Contains(err.Error(), c.settings+": fleet.configuration.trusted_key_file: "+c.trustedKeyFile+": line 1") {
		t.Error(err)
	}
	if err := os.Remove(c.trustedKeyFile); err != nil {
		t.Fatal(err)
	}
	if _, err := runCLI(t, vars, "check", "--config", c.settings); err == nil || !strings.Contains(err.Error(), "fleet.configuration.trusted_key_file") {
		t.Error(err)
	}
}

// A control machine's private key file is never overwritten, must be accessible to its owner only, and does not appear in error texts.
func TestControlMachineKeyFile(t *testing.T) {
	c := newControlMachine(t)
	if _, err := runCLI(t, nil, "fleet", "configuration", "keygen", "--source", "control", "--key-file", c.keyFile); err == nil {
		t.Error("keygen overwrote an existing key")
	}
	if _, err := c.runChange(t, "127.0.0.1:1", "set", "k"); err == nil {
		t.Error("set accepted a key without a value")
	}
	if err := os.Chmod(c.keyFile, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := c.runChange(t, "127.0.0.1:1", "set", "k", "v"); err == nil || !strings.Contains(err.Error(), "others may use it") {
		t.Error(err)
	}
	if err := os.WriteFile(c.keyFile, []byte("secret"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(c.keyFile, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := c.runChange(t, "127.0.0.1:1", "remove", "k"); err == nil || strings.Contains(err.Error(), "secret") || !strings.Contains(err.Error(), "32 bytes in base64") {
		t.Error(err)
	}
}

// The file of the fleet configuration reduces the space of the journal only if there is one, and takes at most a sixteenth of the folder.
func TestConfigurationFileShare(t *testing.T) {
	c := config{diskBytes: 1 << 30}
	if off := c.resourceLimits(); off.configurationBytes != 0 || off.journalBytes+off.learnedBytes != c.diskBytes {
		t.Errorf("%+v", off)
	}
	c.gateway.Fleet.Configuration.Enabled = true
	c.gateway.Fleet.Configuration.MaxEntries = 100
	if on := c.resourceLimits(); on.configurationBytes != configfile.MaxBytes(100) || on.journalBytes+on.learnedBytes+2*on.configurationBytes != c.diskBytes {
		t.Errorf("%+v", on)
	}
	c.diskBytes = 16 << 10
	if small := c.resourceLimits(); small.configurationBytes != 1<<10 {
		t.Errorf("%+v", small)
	}
}
