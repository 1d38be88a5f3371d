package gateway

import (
	"errors"
	"fmt"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/gateway/gatewayv1"
)

const (
	// defaultMaxEntries is the default maximum number of configuration entries.
	defaultMaxEntries = 4096
	// maxLocationBytes bounds the length of the names of regions and zones.
	maxLocationBytes = 64
)

// Configuration holds the settings of the replication of the fleet configuration.
type Configuration struct {
	Enabled        bool
	TrustedKeyFile string
	Region         string
	Zone           string // empty for the zone of the platform's settings
	MaxEntries     int
	Replication    configsync.Config // without Self, MessageBytes and Seed, which each relay sets itself
}

func defaultConfiguration() Configuration {
	return Configuration{MaxEntries: defaultMaxEntries, Replication: configsync.Defaults()}
}

// apply overrides the settings with the fields that are present in p, and checks them.
func (c *Configuration) apply(p *gatewayv1.Configuration, fleetEnabled bool) error {
	if p == nil {
		return nil
	}
	c.Enabled, c.TrustedKeyFile, c.Region, c.Zone = p.GetEnabled(), p.GetTrustedKeyFile(), p.GetRegion(), p.GetZone()
	r := &c.Replication
	setMillis := func(to *time.Duration) func(float64) {
		return func(x float64) { *to = time.Duration(x * float64(time.Millisecond)) }
	}
	setFloat := func(to *float64) func(float64) { return func(x float64) { *to = x } }
	setInt := func(to *int) func(float64) { return func(x float64) { *to = int(x) } }
	errs := applyNumbers("fleet.configuration", []numberField{
		{"exchange_ms", p.ExchangeMs, 100, 60_000, setMillis(&r.ExchangeInterval)},
		{"bytes_per_s", p.BytesPerS, 2400, 1e9, setFloat(&r.BytesPerSecond)},
		{"repair_bytes_per_s", p.RepairBytesPerS, 64, 1e9, setFloat(&r.RepairBytesPerSecond)},
		{"fan_out", toFloat(p.FanOut), 2, 64, setInt(&r.FanOut)},
		{"ack_timeout_ms", p.AckTimeoutMs, 10, 10_000, setMillis(&r.AckTimeout)},
		{"attempts", toFloat(p.Attempts), 1, 16, setInt(&r.MaxAttempts)},
		{"max_entries", toFloat(p.MaxEntries), 1, 100_000, setInt(&c.MaxEntries)},
	})
	if len(errs) == 0 && r.RepairBytesPerSecond > r.BytesPerSecond {
		errs = append(errs, fmt.Errorf("fleet.configuration.repair_bytes_per_s: %v is above bytes_per_s, %v", r.RepairBytesPerSecond, r.BytesPerSecond))
	}
	return errors.Join(append(errs, c.check(fleetEnabled)...)...)
}

// check checks the names, and that everything that replication requires is set.
func (c *Configuration) check(fleetEnabled bool) (errs []error) {
	for _, name := range []struct{ field, text string }{{"region", c.Region}, {"zone", c.Zone}} {
		if len(name.text) > maxLocationBytes {
			errs = append(errs, fmt.Errorf("fleet.configuration.%s: %d bytes are more than %d", name.field, len(name.text), maxLocationBytes))
		}
	}
	if c.Enabled && !fleetEnabled {
		errs = append(errs, errors.New("fleet.configuration.enabled: the fleet is off"))
	}
	if c.Enabled && c.TrustedKeyFile == "" {
		errs = append(errs, errors.New("fleet.configuration.trusted_key_file: missing; only the sources in this file may change the configuration"))
	}
	return errs
}
