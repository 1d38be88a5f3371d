package fleets

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet"
)

// postConfigurationChange signs a configuration change and submits it to a relay.
func (node *relayNode) postConfigurationChange(key ed25519.PrivateKey, change configsync.Change) error {
	configsync.Sign(&change, key)
	body, err := json.Marshal(fleet.ConfigurationChange{Source: change.Source, Sequence: change.Sequence, Revision: change.Revision, Key: change.Key,
		Value: string(change.Value), Signature: change.Signature})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+node.adminAddress+"/ops/fleet/configuration", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", node.name, resp.StatusCode, text)
	}
	return err
}

// hasDisabledEndpoint reports whether a relay has applied a configuration entry and has disabled one endpoint.
func (node *relayNode) hasDisabledEndpoint(key string) bool {
	var state fleet.ConfigurationState
	var stats struct {
		Disabled int `json:"targets_disabled"`
	}
	if node.getJSON("/ops/fleet/configuration", &state) != nil || node.getJSON("/ops/stats", &stats) != nil {
		return false
	}
	for _, entry := range state.Entries {
		if entry.Key == key {
			return entry.Applied && stats.Disabled == 1
		}
	}
	return false
}

// Guards against a configuration change that does not reach all relays. The change is submitted to one relay while another one has no
// process, and 1 % of the packets between relays are lost. All relays must apply the change within 7 s, the restarted one too.
func TestConfigurationReachesAllRelays(t *testing.T) {
	t.Parallel()
	const relays, maxDelay = 6, 7 * time.Second
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{3}, ed25519.SeedSize))
	trusted := filepath.Join(t.TempDir(), "trusted")
	line := "control " + base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey)) + "\n"
	if err := os.WriteFile(trusted, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	sc, err := Parse(t.Name(), fmt.Appendf(nil, `relays: %d seed: 21 length_s: 9 load { rate: 60 status: 0.4 }
partner { name: "p" destination: 0 endpoints: 2 phase { rate: 200 latency_ms: 15 cv: 0.5 } }
fleet_settings: "configuration { enabled: true trusted_key_file: '%s' region: 'lab' }"
at { at_s: 0 links { from: "relays" to: "relays" loss: 0.01 delay_ms: 20 } }
at { at_s: 1 kill { party: "r2" } } at { at_s: 3 start { party: "r2" } }`, relays, trusted))
	if err != nil {
		t.Fatal(err)
	}
	f, err := New(t.TempDir(), relayBinary, sc, func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	played := make(chan error, 1)
	go func() { played <- f.Play(context.Background()) }()
	time.Sleep(1500 * time.Millisecond) // r2 has been killed by now
	posted := time.Now()
	change := configsync.Change{Source: "control", Sequence: 1, Revision: 1, Key: "endpoint/p-0", Value: []byte("down")}
	if err := f.nodes[0].postConfigurationChange(key, change); err != nil {
		t.Fatal(err)
	}
	err = f.forEachNode(nil, func(node *relayNode) error {
		for !node.hasDisabledEndpoint(change.Key) {
			if time.Since(posted) > maxDelay {
				return fmt.Errorf("%s has not disabled the endpoint after %v\n%s", node.name, maxDelay, lastBytes(node.process.Log(), 2000))
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("%s disabled the endpoint after at most %v", node.name, time.Since(posted))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-played; err != nil {
		t.Fatal(err)
	}
	if err := f.WaitUntilSettled(time.Now().Add(60 * time.Second)); err != nil {
		t.Fatal(err)
	}
	r := f.Judge()
	for _, b := range r.Verdict.Violations {
		t.Errorf("%s: message %016x: %s", b.Rule, b.ID, b.Text)
	}
	for i, c := range r.Calls {
		if c.Member == "p-0" && c.FirstByte.Sub(posted) > maxDelay {
			t.Errorf("r%d called the endpoint %v after it was taken down", r.CallingRelays[i], c.FirstByte.Sub(posted))
		}
	}
}
