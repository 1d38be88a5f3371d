package gateway

import (
	"strings"
	"testing"
	"time"

	"slatemux/internal/configsync"
)

const configured = `fleet { enabled: true name: "tbilisi" bind: "127.0.0.1:7946" key_file: "k"
  configuration {
    enabled: true trusted_key_file: "trusted" region: "caucasus" zone: "north" exchange_ms: 250 bytes_per_s: 5000
    repair_bytes_per_s: 600 fan_out: 3 ack_timeout_ms: 70.5 attempts: 5 max_entries: 99
  }
}`

func TestConfiguration(t *testing.T) {
	c, err := Parse("f", []byte(configured))
	if err != nil {
		t.Fatal(err)
	}
	got := c.Fleet.Configuration
	if !got.Enabled || got.TrustedKeyFile != "trusted" || got.Region != "caucasus" || got.Zone != "north" || got.MaxEntries != 99 {
		t.Errorf("%+v", got)
	}
	r := got.Replication
	if r.ExchangeInterval != 250*time.Millisecond || r.BytesPerSecond != 5000 || r.RepairBytesPerSecond != 600 || r.FanOut != 3 ||
		r.AckTimeout != 70500*time.Microsecond || r.MaxAttempts != 5 {
		t.Errorf("%+v", r)
	}
}

// It is off by default, and what the file leaves out is as the replication has it.
func TestConfigurationDefaults(t *testing.T) {
	for name, text := range map[string]string{"no file": "", "no such message": `fleet { agree: 3 }`, "an empty one": `fleet { configuration {} }`} {
		c, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		got, want := c.Fleet.Configuration, configsync.Defaults()
		if got.Enabled || got.MaxEntries != 4096 || got.Replication.ExchangeInterval != want.ExchangeInterval || got.Replication.BytesPerSecond != want.BytesPerSecond ||
			got.Replication.RepairBytesPerSecond != want.RepairBytesPerSecond || got.Replication.FanOut != want.FanOut ||
			got.Replication.AckTimeout != want.AckTimeout || got.Replication.MaxAttempts != want.MaxAttempts {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if want := (configsync.Config{}); configsync.Defaults().FanOut == want.FanOut {
		t.Error("the replication has no defaults")
	}
	deployed, err := Load("../../deploy/gateway.textproto")
	if err != nil || deployed.Fleet.Configuration.Enabled {
		t.Errorf("the deployed file switches it on, %v", err)
	}
}

// What makes no sense is told with its file, line and field.
func TestConfigurationErrors(t *testing.T) {
	for text, want := range map[string]string{
		"exchange_ms: 0":             "gw:3: fleet.configuration.exchange_ms: 0",
		"bytes_per_s: 0":             "gw:3: fleet.configuration.bytes_per_s: 0",
		"repair_bytes_per_s: 0":      "gw:3: fleet.configuration.repair_bytes_per_s: 0",
		"repair_bytes_per_s: 3000":   "gw:3: fleet.configuration.repair_bytes_per_s: 3000 is above",
		"bytes_per_s: nan":           "gw:3: fleet.configuration.bytes_per_s: ",
		"fan_out: 1":                 "gw:3: fleet.configuration.fan_out: 1",
		"ack_timeout_ms: 5":          "gw:3: fleet.configuration.ack_timeout_ms: 5",
		"attempts: 0":                "gw:3: fleet.configuration.attempts: 0",
		"max_entries: 0":             "gw:3: fleet.configuration.max_entries: 0",
		"max_entries: 1000000":       "gw:3: fleet.configuration.max_entries: 1e+06",
		"enabled: true":              "gw:3: fleet.configuration.enabled: the fleet is off",
		"max_entry: 3":               "gw: (line 3:2): unknown field: max_entry",
		"enabled: 'yes'":             "gw: (line 3:",
		"region: '" + long() + "'":   "gw:3: fleet.configuration.region: 65 bytes",
		"zone: '" + long() + "'":     "gw:3: fleet.configuration.zone: 65 bytes",
		"attempts: 3\n attempts: 50": "gw: (line 4:",
	} {
		if _, err := Parse("gw", []byte("fleet {\n configuration {\n "+text+"\n }\n}")); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, not %q", text, err, want)
		}
	}
	missing := strings.Replace(configured, `trusted_key_file: "trusted"`, "", 1)
	if _, err := Parse("gw", []byte(missing)); err == nil || !strings.HasPrefix(err.Error(), "gw:2: fleet.configuration.trusted_key_file: missing") {
		t.Error(err)
	}
}

func long() string { return strings.Repeat("x", maxLocationBytes+1) }

// The least that the settings may say is enough for a replica.
func TestLeastConfigurationReplicates(t *testing.T) {
	const least = "exchange_ms: 100 bytes_per_s: 2400 repair_bytes_per_s: 64 fan_out: 2 ack_timeout_ms: 10 attempts: 1 max_entries: 1"
	c, err := Parse("f", []byte("fleet { configuration { "+least+" } }"))
	if err != nil {
		t.Fatal(err)
	}
	config := c.Fleet.Configuration.Replication
	config.Self, config.MessageBytes = "a", func(*configsync.Message) int { return 100 }
	if _, err := configsync.NewReplica(config, 0, configsync.NewStore(configsync.NewKeyring(nil), 1)); err != nil {
		t.Error(err)
	}
}
