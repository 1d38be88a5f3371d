package gateway

import (
	"crypto/tls"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
	"slatemux/internal/tlspolicy"
)

const allFieldsText = `
overload {
  enabled: true
  target_busy: 0.8
  target_delay_ms: 12.5
  tick_ms: 20
  confirm_ticks: 2
  least_rate: 10
  class_floor: 0.05
  body_work_bytes: 4096
  refusal_share: 0.3
  most_pace_ms: 50
  retry_least_ms: 100
  memory_high: 0.7
  memory_full: 0.9
  brownout: false
}
log { format: JSON level: WARN lines_per_second: 9 }
`

func TestOverloadAndLogFields(t *testing.T) {
	c, err := Parse("f", []byte(allFieldsText))
	if err != nil {
		t.Fatal(err)
	}
	o := c.Overload.Control
	if !c.Overload.Enabled || c.Overload.Brownout || c.Overload.Tick != 20*time.Millisecond || o.TargetBusy != 0.8 ||
		o.TargetDelay != 12500*time.Microsecond || o.ConfirmTicks != 2 || o.MinRate != 10 || o.ClassFloor != 0.05 || o.BodyWorkBytes != 4096 ||
		o.RefusalShare != 0.3 || o.MaxReadPause != 50*time.Millisecond || o.MinRetryIn != 100*time.Millisecond || o.MemoryHigh != 0.7 ||
		o.MemoryFull != 0.9 {
		t.Errorf("%+v", c.Overload)
	}
	if c.Log != (Log{Format: JSON, Level: slog.LevelWarn, LinesPerSecond: 9}) {
		t.Errorf("%+v", c.Log)
	}
}

const tlsText = `
tls {
  policy { name: "in" host: "10.*" plain: true }
  policy {
    name: "bank" destination: 7 destination: 9 host: "*.bank.example.org" server_name: "pay.bank.example.org"
    root_file: "a.pem" root_dir: "roots" system_roots: true min_version: TLS_1_3
    pin: "sha256/AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=" pin: "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
    client_certificate: "c.pem" client_key: "c.key" sessions: 3
  }
  watch_files: false
  handshakes { core_share: 0.5 least_per_second: 9 per_member: 4 }
}
`

func TestTLSFields(t *testing.T) {
	c, err := Parse("f", []byte(tlsText))
	if err != nil {
		t.Fatal(err)
	}
	want := tlspolicy.Table{{Name: "in", Hosts: "10.*", Plain: true, MinVersion: tls.VersionTLS12, Sessions: 16}, {Name: "bank", Destinations: []int{7, 9},
		Hosts: "*.bank.example.org", ServerName: "pay.bank.example.org", RootFiles: []string{"a.pem"}, RootDirs: []string{"roots"}, SystemRoots: true,
		MinVersion: tls.VersionTLS13, Pins: []tlspolicy.Pin{{}, {1}}, Certificate: "c.pem", Key: "c.key", Sessions: 3}}
	if !reflect.DeepEqual(c.TLS.Policies, want) || c.TLS.WatchFiles || c.TLS.Handshakes.CoreShare != 0.5 || c.TLS.Handshakes.MinPerSecond != 9 || c.TLS.Handshakes.MaxPerEndpoint != 4 {
		t.Errorf("%+v", c.TLS)
	}
}

func TestConnectionFields(t *testing.T) {
	c, err := Parse("f", []byte("connections { max_age_s: 0 keep_s: 2.5 ahead: true stale_share: 0.01 open_price: 0.5 held_most_ms: 7 stuck_after_ms: 500 "+
		"look_up_names: true }"))
	if err != nil {
		t.Fatal(err)
	}
	want := Default().Conns
	want.Config.MaxAge, want.Config.PeakHalfLife, want.Config.Preconnect, want.Config.MaxStaleShare, want.Config.OpenPrice = 0, 2500*time.Millisecond, true, 0.01, 0.5
	want.MaxConnWait, want.UnackedTimeout, want.LookUpNames = 7*time.Millisecond, 500*time.Millisecond, true
	if c.Conns != want {
		t.Errorf("%+v, want %+v", c.Conns, want)
	}
	for _, text := range []string{"max_age_s: 0.5", "stuck_after_ms: 20", "keep_s: 0", "stale_share: 1", "open_price: -1", "held_most_ms: 0"} {
		field, _, _ := strings.Cut(text, ":")
		if _, err := Parse("f", []byte("connections { "+text+" }")); err == nil || !strings.Contains(err.Error(), "connections."+field) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Without a file, and with an empty file, each setting has its default.
func TestDefaults(t *testing.T) {
	c, err := Load("")
	if err != nil || c.Overload.Enabled || c.Log.LinesPerSecond != 5 || c.Log.Format != Auto || c.Log.Level != slog.LevelInfo {
		t.Errorf("%+v, %v", c, err)
	}
	empty, err := Parse("f", []byte("# nothing\n"))
	if err != nil || empty.Overload.Enabled || empty.Log != c.Log {
		t.Errorf("%+v, %v", empty, err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("loading a missing file succeeded")
	}
}

// The deployed settings file is valid and enables overload control.
func TestDeployedFile(t *testing.T) {
	c, err := Load("../../deploy/gateway.textproto")
	if err != nil || !c.Overload.Enabled {
		t.Errorf("%+v, %v", c, err)
	}
	if c.Fleet.Enabled { // the platform does not allow relays to communicate with each other
		t.Error("the deployed file enables the fleet")
	}
}

// The error for an invalid file is one line that names the file, and the position or the field.
func TestInvalidFiles(t *testing.T) {
	for text, wants := range map[string][]string{
		"overload {\n  enable: true\n}":                                   {"gw:", "(line 2:3)", "unknown field", "enable"},
		"overload { enabled: 3.5 }":                                       {"gw:", "line 1"},
		"overload {":                                                      {"gw:", "EOF"},
		"overload { target_busy: 7 }":                                     {"overload.target_busy", "7", "0.1 to 1"},
		"overload { target_busy: nan }":                                   {"overload.target_busy"},
		"overload { tick_ms: 5 confirm_ticks: 0 }":                        {"overload.tick_ms", "overload.confirm_ticks"},
		"overload { memory_high: 0.96 }":                                  {"overload.memory_high", "memory_full"},
		"log { format: XML }":                                             {"line 1", "XML"},
		"log { format: 77 }":                                              {"log.format", "77"},
		"log { level: 77 }":                                               {"log.level", "77"},
		"log { lines_per_second: 0 }":                                     {"log.lines_per_second"},
		"log { level: INFO level: WARN }":                                 {"line 1"},
		"tls { policy { plain: true } }":                                  {"tls.policy[0]", "name is missing"},
		`tls { policy { name: "a" } }`:                                    {"tls.policy[0]", "no trust roots"},
		`tls { policy { name: "a" system_roots: true pin: "x" } }`:        {"pin", "SHA-256"},
		`tls { policy { name: "a" system_roots: true destination: -1 } }`: {"destination", "-1"},
		`tls { policy { name: "a" system_roots: true min_version: 9 } }`:  {"min_version", "9"},
		`tls { policy { name: "a" system_roots: true } policy { name: "a" plain: true } }`: {"tls.policy", "two policies"},
		`tls { policy { name: "a" system_roots: true insecure_skip_verify: true } }`:       {"unknown field"},
		`tls { handshakes { core_share: 0 least_per_second: 0 per_member: 0 } }`:           {"core_share", "least_per_second", "per_member"},
	} {
		_, err := Parse("gw", []byte(text))
		if err == nil {
			t.Errorf("%q was accepted", text)
			continue
		}
		for _, want := range wants {
			if !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: %v, want a line with %q", text, err, want)
			}
		}
	}
}

// The error for an invalid value names its file, line and field, in every notation of the text format and also for the second of several
// occurrences.
func TestErrorsNameLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"overload {\n # target_busy: 9\n target_busy: 7\n}":                                                                      "gw:3: overload.target_busy: ",
		"log { format: TEXT } fleet {\n\n bind: 'here' }":                                                                        "gw:3: fleet.bind: ",
		"fleet: <\nenabled: true\nname: \"a}b#\"\nbind: \"127.0.0.1:1\"\nkey_file: \"k\"\njoin: \"127.0.0.1:2\"\njoin: \"x\"\n>": "gw:7: fleet.join[1]: ",
		"fleet {\n bind: \"127.0.0.1:7946\"\n enabled: true name: \"a\" }":                                                       "gw:1: fleet.key_file: ",
		"fleet { join: \"0.0.0.0:7946\" }":                                                                                       "gw:1: fleet.join[0]: ",
		"\nfleet { agree: 0 }":                                                                                                   "gw:2: fleet.agree: ",
		"tls {\n policy { name: 'a' system_roots: true }\n policy { name: 'b'\n } }":                                             "gw:3: tls.policy[1]: ",
	} {
		if _, err := Parse("gw", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, not %q", text, err, want)
		}
	}
	c, err := Parse("gw", []byte(`fleet { enabled: true name: "tbilisi" bind: "127.0.0.1:7946" join: "127.0.0.1:7947" key_file: "k" }`))
	if f := c.Fleet; err != nil || !f.Enabled || f.Bind.Port() != 7946 || len(f.Join) != 1 || f.Quorum != 2 || f.ExchangeInterval != time.Second {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestParseSurvivesGarbage(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		text := proptest.Malformed(t, []byte(allFieldsText))
		if c, err := Parse("f", text); err == nil {
			if err := c.Overload.Control.Check(); err != nil && !strings.Contains(err.Error(), "Classes") {
				t.Fatalf("%q was accepted, but the overload settings are invalid: %v", text, err)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(allFieldsText))
	f.Add([]byte(tlsText))
	if raw, err := os.ReadFile("../../deploy/gateway.textproto"); err == nil {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Parse("f", raw); err == nil && c.Overload.Tick < 20*time.Millisecond {
			t.Errorf("a tick of %v was accepted", c.Overload.Tick)
		}
	})
}
