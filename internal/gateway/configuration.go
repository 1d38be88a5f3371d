package gateway

import (
	"errors"
	"fmt"
	"time"

	"slatemux/internal/configsync"
	"slatemux/internal/gateway/gatewayv1"
)

const (
	// defaultMaxEntries is how many entries of configuration are kept unless the settings say otherwise.
	defaultMaxEntries = 4096
	// maxLocationBytes bounds the names of regions and zones.
	maxLocationBytes = 64
)

// Configuration holds the settings of the replication of the operators' configuration.
type Configuration struct {
	Enabled        bool
	TrustedKeyFile string
	Region         string
	Zone           string // empty for that of the platform's settings
	MaxEntries     int
	Replication    configsync.Config // without Self, Size and Seed, which are each relay's own
}

func defaultConfiguration() Configuration {
	return Configuration{MaxEntries: defaultMaxEntries, Replication: configsync.Defaults()}
}

func (c *Configuration) take(p *gatewayv1.Configuration, fleetEnabled bool) error {
	if p == nil {
		return nil
	}
	c.Enabled, c.TrustedKeyFile, c.Region, c.Zone = p.GetEnabled(), p.GetTrustedKeyFile(), p.GetRegion(), p.GetZone()
	r := &c.Replication
	millis := func(to *time.Duration) func(float64) {
		return func(x float64) { *to = time.Duration(x * float64(time.Millisecond)) }
	}
	set := func(to *float64) func(float64) { return func(x float64) { *to = x } }
	whole := func(to *int) func(float64) { return func(x float64) { *to = int(x) } }
	errs := numbers("fleet.configuration", []number{
		{"exchange_ms", p.ExchangeMs, 100, 60_000, millis(&r.ExchangeInterval)},
		{"bytes_per_s", p.BytesPerS, 2400, 1e9, set(&r.BytesPerSecond)},
		{"repair_bytes_per_s", p.RepairBytesPerS, 64, 1e9, set(&r.RepairBytesPerSecond)},
		{"fan_out", float(p.FanOut), 2, 64, whole(&r.FanOut)},
		{"ack_timeout_ms", p.AckTimeoutMs, 10, 10_000, millis(&r.AckTimeout)},
		{"attempts", float(p.Attempts), 1, 16, whole(&r.MaxAttempts)},
		{"max_entries", float(p.MaxEntries), 1, 100_000, whole(&c.MaxEntries)},
	})
	if len(errs) == 0 && r.RepairBytesPerSecond > r.BytesPerSecond {
		errs = append(errs, fmt.Errorf("fleet.configuration.repair_bytes_per_s: %v is above bytes_per_s, %v", r.RepairBytesPerSecond, r.BytesPerSecond))
	}
	return errors.Join(append(errs, c.checkNames(fleetEnabled)...)...)
}

func (c *Configuration) checkNames(fleetEnabled bool) (errs []error) {
	for _, name := range []struct{ field, text string }{{"region", c.Region}, {"zone", c.Zone}} {
		if len(name.text) > maxLocationBytes {
			errs = append(errs, fmt.Errorf("fleet.configuration.%s: %d bytes are more than %d", name.field, len(name.text), maxLocationBytes))
		}
	}
	if c.Enabled && !fleetEnabled {
		errs = append(errs, errors.New("fleet.configuration.enabled: the fleet is off"))
	}
	if c.Enabled && c.TrustedKeyFile == "" {
		errs = append(errs, errors.New("fleet.configuration.trusted_key_file: missing; configuration is taken from those alone whom it names"))
	}
	return errs
}
