package gateway

import (
	"strings"
	"testing"
	"time"

	"slatemux/internal/configsync"
)

const configurationText = `fleet { enabled: true name: "tbilisi" bind: "127.0.0.1:7946" key_file: "k"
  configuration {
    enabled: true trusted_key_file: "trusted" region: "caucasus" zone: "north" exchange_ms: 250 bytes_per_s: 5000
    repair_bytes_per_s: 600 fan_out: 3 ack_timeout_ms: 70.5 attempts: 5 max_entries: 99
  }
}`

func TestConfigurationFields(t *testing.T) {
	c, err := Parse("f", []byte(configurationText))
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

// Replication is off by default, and settings that the file leaves out have the defaults of package configsync.
func TestConfigurationDefaults(t *testing.T) {
	for name, text := range map[string]string{"no file": "", "no configuration message": `fleet { agree: 3 }`, "empty configuration message": `fleet { configuration {} }`} {
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
		t.Error("package configsync has no default for FanOut")
	}
	deployed, err := Load("../../deploy/gateway.textproto")
	if err != nil || deployed.Fleet.Configuration.Enabled {
		t.Errorf("the deployed file enables the replication, or an error: %v", err)
	}
}

// The error for an invalid setting names its file, line and field.
func TestConfigurationErrors(t *testing.T) {
	for text, want := range map[string]string{
		"exchange_ms: 0":                  "gw:3: fleet.configuration.exchange_ms: 0",
		"bytes_per_s: 0":                  "gw:3: fleet.configuration.bytes_per_s: 0",
		"repair_bytes_per_s: 0":           "gw:3: fleet.configuration.repair_bytes_per_s: 0",
		"repair_bytes_per_s: 3000":        "gw:3: fleet.configuration.repair_bytes_per_s: 3000 is above",
		"bytes_per_s: nan":                "gw:3: fleet.configuration.bytes_per_s: ",
		"fan_out: 1":                      "gw:3: fleet.configuration.fan_out: 1",
		"ack_timeout_ms: 5":               "gw:3: fleet.configuration.ack_timeout_ms: 5",
		"attempts: 0":                     "gw:3: fleet.configuration.attempts: 0",
		"max_entries: 0":                  "gw:3: fleet.configuration.max_entries: 0",
		"max_entries: 1000000":            "gw:3: fleet.configuration.max_entries: 1e+06",
		"enabled: true":                   "gw:3: fleet.configuration.enabled: the fleet is off",
		"max_entry: 3":                    "gw: (line 3:2): unknown field: max_entry",
		"enabled: 'yes'":                  "gw: (line 3:",
		"region: '" + tooLongName() + "'": "gw:3: fleet.configuration.region: 65 bytes",
		"zone: '" + tooLongName() + "'":   "gw:3: fleet.configuration.zone: 65 bytes",
		"attempts: 3\n attempts: 50":      "gw: (line 4:",
	} {
		if _, err := Parse("gw", []byte("fleet {\n configuration {\n "+text+"\n }\n}")); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, not %q", text, err, want)
		}
	}
	missing := strings.Replace(configurationText, `trusted_key_file: "trusted"`, "", 1)
	if _, err := Parse("gw", []byte(missing)); err == nil || !strings.HasPrefix(err.Error(), "gw:2: fleet.configuration.trusted_key_file: missing") {
		t.Error(err)
	}
}

func tooLongName() string { return strings.Repeat("x", maxLocationBytes+1) }

// A replica accepts the minimum of each setting.
func TestMinimumConfigurationIsValid(t *testing.T) {
	const minimum = "exchange_ms: 100 bytes_per_s: 2400 repair_bytes_per_s: 64 fan_out: 2 ack_timeout_ms: 10 attempts: 1 max_entries: 1"
	c, err := Parse("f", []byte("fleet { configuration { "+minimum+" } }"))
	if err != nil {
		t.Fatal(err)
	}
	config := c.Fleet.Configuration.Replication
	config.Self, config.MessageBytes = "a", func(*configsync.Message) int { return 100 }
	if _, err := configsync.NewReplica(config, 0, configsync.NewStore(configsync.NewKeyring(nil), 1)); err != nil {
		t.Error(err)
	}
}
