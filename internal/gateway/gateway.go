// Package gateway reads the program's own settings, protobuf text format by the schema under proto/, and checks
// them. Without a file every setting has the value that the program had before there was one.
package gateway

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"slatemux/internal/conns"
	"slatemux/internal/gateway/gatewayv1"
	"slatemux/internal/overload"
	"slatemux/internal/tlspolicy"
)

//go:generate protoc -I ../../proto --go_out=../.. --go_opt=module=slatemux ../../proto/slatemux/gateway/v1/gateway.proto

// Config is what the file says, with defaults where it says nothing.
type Config struct {
	Overload Overload
	Log      Log
	TLS      TLS
	Conns    Conns
	Fleet    Fleet
}

// Fleet holds the settings of this relay's part in its fleet.
type Fleet struct {
	Enabled         bool
	Name            string
	Bind, Advertise netip.AddrPort
	Join            []netip.AddrPort
	KeyFile         string
	Agree           int
	Exchange        time.Duration
	Bytes           float64 // a second
	DivideLimits    bool
	Configuration   Configuration
}

// Conns holds the settings of connections to pool members.
type Conns struct {
	Keep                 conns.Config // without how many there may be and how long they may idle, which the platform's settings give
	HeldMost, StuckAfter time.Duration
	LookUpNames          bool
}

// TLS holds the settings of connections over TLS.
type TLS struct {
	Policies tlspolicy.Table
	Watch    bool
	Gate     tlspolicy.HandshakeConfig
}

// Overload holds the settings of the program's own overload.
type Overload struct {
	Enabled, Brownout bool
	Tick              time.Duration
	Control           overload.Config // without classes, tenants and bounds, which the platform's settings give
}

// Format is how log lines are written.
type Format int

// The formats. Auto is colour on a terminal, else text.
const (
	Auto Format = iota
	Text
	JSON
	Colour
)

// Log holds the settings of the log.
type Log struct {
	Format         Format
	Level          slog.Level
	LinesPerSecond int
}

// Default is the configuration without a file.
func Default() Config {
	return Config{Overload: Overload{Brownout: true, Tick: 50 * time.Millisecond, Control: overload.Defaults()},
		Log: Log{LinesPerSecond: 5}, TLS: TLS{Watch: true, Gate: tlspolicy.DefaultHandshakeConfig()}, Conns: Conns{Keep: conns.Defaults(), HeldMost: 250 * time.Millisecond},
		Fleet: Fleet{Agree: 2, Exchange: time.Second, Bytes: 4096, DivideLimits: true, Configuration: defaultConfiguration()}}
}

// Load reads a file. An empty path is no file.
func Load(path string) (Config, error) {
	if path == "" {
		return Default(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(path, raw)
}

// Parse decodes a file's text. Errors name the file, and the line and column or the field.
func Parse(path string, raw []byte) (Config, error) {
	var g gatewayv1.Gateway
	if err := prototext.Unmarshal(raw, &g); err != nil {
		return Config{}, fmt.Errorf("%s: %s", path, syntax(err))
	}
	c := Default()
	if err := errors.Join(c.Overload.take(g.GetOverload()), c.Log.take(g.GetLog()), c.TLS.take(g.GetTls()), c.Conns.take(g.GetConnections()),
		c.Fleet.take(g.GetFleet())); err != nil {
		return Config{}, placed(path, raw, err)
	}
	return c, nil
}

// syntax tells a parser's error in words that do not change from one build to the next: prototext puts a
// no-break space into its own on purpose.
func syntax(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimPrefix(text, "proto: ")
}

// number is an optional field, its range and where its value goes.
type number struct {
	field       string
	value       *float64
	least, most float64
	to          func(float64)
}

func (o *Overload) take(p *gatewayv1.Overload) error {
	if p == nil {
		return nil
	}
	o.Enabled = p.GetEnabled()
	if p.Brownout != nil {
		o.Brownout = *p.Brownout
	}
	c := &o.Control
	set := func(to *float64) func(float64) { return func(x float64) { *to = x } }
	whole := func(to *int) func(float64) { return func(x float64) { *to = int(x) } }
	millis := func(to *time.Duration) func(float64) {
		return func(x float64) { *to = time.Duration(x * float64(time.Millisecond)) }
	}
	errs := numbers("overload", []number{
		{"target_busy", p.TargetBusy, 0.1, 1, set(&c.TargetBusy)},
		{"target_delay_ms", p.TargetDelayMs, 1, 300, millis(&c.TargetDelay)},
		{"tick_ms", p.TickMs, 20, 500, millis(&o.Tick)},
		{"confirm_ticks", float(p.ConfirmTicks), 1, 100, whole(&c.ConfirmTicks)},
		{"least_rate", p.LeastRate, 0, 1e6, set(&c.MinRate)},
		{"class_floor", p.ClassFloor, 0, 0.2, set(&c.ClassFloor)},
		{"body_work_bytes", float(p.BodyWorkBytes), 64, 1e9, whole(&c.BodyWorkBytes)},
		{"refusal_share", p.RefusalShare, 0.01, 0.9, set(&c.RefusalShare)},
		{"most_pace_ms", p.MostPaceMs, 0, 300, millis(&c.MaxReadPause)},
		{"retry_least_ms", p.RetryLeastMs, 1, 60_000, millis(&c.MinRetryIn)},
		{"memory_high", p.MemoryHigh, 0.1, 1, set(&c.MemoryHigh)},
		{"memory_full", p.MemoryFull, 0.1, 1, set(&c.MemoryFull)},
	})
	if c.MemoryHigh >= c.MemoryFull {
		errs = append(errs, fmt.Errorf("overload.memory_high: %v is not below memory_full, %v", c.MemoryHigh, c.MemoryFull))
	}
	return errors.Join(errs...)
}

func (l *Log) take(p *gatewayv1.Log) error {
	if p == nil {
		return nil
	}
	var errs []error
	if _, ok := gatewayv1.Format_name[int32(p.GetFormat())]; !ok {
		errs = append(errs, fmt.Errorf("log.format: %d is not a format", p.GetFormat()))
	}
	l.Format = map[gatewayv1.Format]Format{gatewayv1.Format_TEXT: Text, gatewayv1.Format_JSON: JSON,
		gatewayv1.Format_COLOUR: Colour}[p.GetFormat()]
	if _, ok := gatewayv1.Level_name[int32(p.GetLevel())]; !ok {
		errs = append(errs, fmt.Errorf("log.level: %d is not a level", p.GetLevel()))
	}
	l.Level = map[gatewayv1.Level]slog.Level{gatewayv1.Level_DEBUG: slog.LevelDebug, gatewayv1.Level_WARN: slog.LevelWarn,
		gatewayv1.Level_ERROR: slog.LevelError}[p.GetLevel()]
	return errors.Join(append(errs, numbers("log", []number{{"lines_per_second", float(p.LinesPerSecond), 1, 100_000,
		func(x float64) { l.LinesPerSecond = int(x) }}})...)...)
}

func (c *Conns) take(p *gatewayv1.Connections) error {
	if p == nil {
		return nil
	}
	span := func(to *time.Duration, unit time.Duration) func(float64) {
		return func(x float64) { *to = time.Duration(x * float64(unit)) }
	}
	c.Keep.Preconnect, c.LookUpNames = p.GetAhead(), p.GetLookUpNames()
	list := []number{
		{"max_age_s", p.MaxAgeS, 1, 1e6, span(&c.Keep.MaxAge, time.Second)},
		{"keep_s", p.KeepS, 0.1, 3600, span(&c.Keep.PeakHalfLife, time.Second)},
		{"stale_share", p.StaleShare, 1e-5, 0.5, func(x float64) { c.Keep.MaxStaleShare = x }},
		{"open_price", p.OpenPrice, 1e-4, 1, func(x float64) { c.Keep.OpenPrice = x * c.Keep.LossPrice }},
		{"held_most_ms", p.HeldMostMs, 1, 10_000, span(&c.HeldMost, time.Millisecond)},
		{"stuck_after_ms", p.StuckAfterMs, 100, 60_000, span(&c.StuckAfter, time.Millisecond)},
	}
	for i, n := range list { // 0 switches these off
		if (n.field == "max_age_s" || n.field == "stuck_after_ms") && n.value != nil && *n.value == 0 {
			list[i].least = 0
		}
	}
	return errors.Join(numbers("connections", list)...)
}

func (t *TLS) take(p *gatewayv1.Tls) error {
	if p == nil {
		return nil
	}
	if p.WatchFiles != nil {
		t.Watch = *p.WatchFiles
	}
	var errs []error
	for i, row := range p.GetPolicy() {
		policy, err := takePolicy(row)
		if err == nil {
			err = policy.Check()
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("tls.policy[%d]: %w", i, err))
			continue
		}
		t.Policies = append(t.Policies, policy)
	}
	if len(errs) == 0 {
		if err := t.Policies.Check(); err != nil {
			errs = append(errs, fmt.Errorf("tls.policy: %w", err))
		}
	}
	h := p.GetHandshakes()
	if h == nil {
		h = &gatewayv1.Handshakes{}
	}
	return errors.Join(append(errs, numbers("tls.handshakes", []number{
		{"core_share", h.CoreShare, 0.01, 1, func(x float64) { t.Gate.CoreShare = x }},
		{"least_per_second", h.LeastPerSecond, 0.1, 10_000, func(x float64) { t.Gate.MinPerSecond = x }},
		{"per_member", float(h.PerMember), 1, 1000, func(x float64) { t.Gate.MaxPerEndpoint = int(x) }},
	})...)...)
}

func takePolicy(p *gatewayv1.TlsPolicy) (tlspolicy.Policy, error) {
	out := tlspolicy.Policy{Name: p.GetName(), Hosts: p.GetHost(), Plain: p.GetPlain(), ServerName: p.GetServerName(), RootFiles: p.GetRootFile(),
		RootDirs: p.GetRootDir(), SystemRoots: p.GetSystemRoots(), MinVersion: tls.VersionTLS12, Certificate: p.GetClientCertificate(),
		Key: p.GetClientKey(), Sessions: 16}
	if out.Name == "" {
		return out, errors.New("name is missing")
	}
	for _, d := range p.GetDestination() {
		if d < 0 {
			return out, fmt.Errorf("destination: %d is negative", d)
		}
		out.Destinations = append(out.Destinations, int(d))
	}
	switch p.GetMinVersion() {
	case gatewayv1.Version_VERSION_UNSPECIFIED, gatewayv1.Version_TLS_1_2:
	case gatewayv1.Version_TLS_1_3:
		out.MinVersion = tls.VersionTLS13
	default:
		return out, fmt.Errorf("min_version: %d is not a version", p.GetMinVersion())
	}
	for _, text := range p.GetPin() {
		pin, err := tlspolicy.ParsePin(text)
		if err != nil {
			return out, fmt.Errorf("pin: %w", err)
		}
		out.Pins = append(out.Pins, pin)
	}
	if p.Sessions != nil {
		out.Sessions = int(*p.Sessions)
	}
	return out, nil
}

func (f *Fleet) take(p *gatewayv1.Fleet) error {
	if p == nil {
		return nil
	}
	f.Enabled, f.Name, f.KeyFile = p.GetEnabled(), p.GetName(), p.GetKeyFile()
	f.DivideLimits = p.DivideLimits == nil || *p.DivideLimits
	errs := numbers("fleet", []number{
		{"agree", float(p.Agree), 1, 64, func(x float64) { f.Agree = int(x) }},
		{"exchange_ms", p.ExchangeMs, 100, 60_000, func(x float64) { f.Exchange = time.Duration(x * float64(time.Millisecond)) }},
		{"bytes_per_s", p.BytesPerS, 256, 1e9, func(x float64) { f.Bytes = x }},
	})
	address := func(field, text string, to *netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err == nil && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
			err = errors.New("an address that others could reach is wanted, with its port")
		}
		if *to = a; err != nil {
			errs = append(errs, fmt.Errorf("fleet.%s: %q: %w", field, text, err))
		}
	}
	if p.GetAdvertise() != "" {
		address("advertise", p.GetAdvertise(), &f.Advertise)
	}
	for i, text := range p.GetJoin() {
		f.Join = append(f.Join, netip.AddrPort{})
		address(fmt.Sprintf("join[%d]", i), text, &f.Join[i])
	}
	if p.GetBind() != "" || f.Enabled {
		address("bind", p.GetBind(), &f.Bind)
	}
	if f.Enabled && (f.Name == "" || len(f.Name) > 64) {
		errs = append(errs, fmt.Errorf("fleet.name: %q: 1 to 64 bytes are wanted", f.Name))
	}
	if f.Enabled && f.KeyFile == "" {
		errs = append(errs, errors.New("fleet.key_file: missing; what relays tell each other is sealed"))
	}
	errs = append(errs, f.Configuration.take(p.GetConfiguration(), f.Enabled))
	return errors.Join(errs...)
}

// numbers takes over fields that are present and within their ranges.
func numbers(message string, list []number) (errs []error) {
	for _, n := range list {
		if n.value == nil {
			continue
		}
		if x := *n.value; !(x >= n.least && x <= n.most) || math.IsNaN(x) {
			errs = append(errs, fmt.Errorf("%s.%s: %v is not within %v to %v", message, n.field, x, n.least, n.most))
			continue
		}
		n.to(*n.value)
	}
	return errs
}

func float(p *int32) *float64 {
	if p == nil {
		return nil
	}
	x := float64(*p)
	return &x
}
