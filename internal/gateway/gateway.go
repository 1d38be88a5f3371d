// Package gateway reads and checks the gateway settings: the relay's own settings file, in protobuf text format, with the schema under
// proto/. Settings that the file leaves out keep their defaults, which are the values from before the settings file existed.
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

// Config holds the gateway settings. Settings that the file leaves out have their defaults.
type Config struct {
	Overload Overload
	Log      Log
	TLS      TLS
	Conns    Conns
	Fleet    Fleet
}

// Fleet holds the settings of this relay's membership in its fleet.
type Fleet struct {
	Enabled          bool
	Name             string
	Bind, Advertise  netip.AddrPort   // where this relay listens; where other relays reach it, if that differs
	Join             []netip.AddrPort // addresses of some other relays
	KeyFile          string
	Quorum           int // relays that have to agree where the announcement of a single relay is not enough
	ExchangeInterval time.Duration
	BytesPerSecond   float64 // bound of what this relay sends to its fleet
	DivideLimits     bool
	Configuration    Configuration
}

// Conns holds the settings of connections to pool members.
type Conns struct {
	Config conns.Config // without the maximum number and the idle time of connections, which the platform's settings give
	// MaxConnWait bounds how long a call waits for a connection while no new one may be opened. UnackedTimeout is how long a peer may leave
	// written bytes unacknowledged before the connection is closed; 0 disables the check.
	MaxConnWait, UnackedTimeout time.Duration
	LookUpNames                 bool
}

// TLS holds the settings of TLS connections.
type TLS struct {
	Policies   tlspolicy.Table
	WatchFiles bool
	Handshakes tlspolicy.HandshakeConfig
}

// Overload holds the settings of the relay's overload control.
type Overload struct {
	Enabled, Brownout bool
	Tick              time.Duration
	Control           overload.Config // without classes, tenants and bounds, which the platform's settings give
}

// Format is the format of log lines.
type Format int

// The log formats. Auto means Colour on a terminal and Text otherwise.
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

// Default returns the settings without a file.
func Default() Config {
	return Config{Overload: Overload{Brownout: true, Tick: 50 * time.Millisecond, Control: overload.Defaults()},
		Log: Log{LinesPerSecond: 5}, TLS: TLS{WatchFiles: true, Handshakes: tlspolicy.DefaultHandshakeConfig()}, Conns: Conns{Config: conns.Defaults(), MaxConnWait: 250 * time.Millisecond},
		Fleet: Fleet{Quorum: 2, ExchangeInterval: time.Second, BytesPerSecond: 4096, DivideLimits: true, Configuration: defaultConfiguration()}}
}

// Load reads the settings file at path. An empty path means that there is no file.
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

// Parse decodes the text of a settings file. Its errors name the file and the line, and the column or the field.
func Parse(path string, raw []byte) (Config, error) {
	var g gatewayv1.Gateway
	if err := prototext.Unmarshal(raw, &g); err != nil {
		return Config{}, fmt.Errorf("%s: %s", path, stableSyntaxError(err))
	}
	c := Default()
	if err := errors.Join(c.Overload.apply(g.GetOverload()), c.Log.apply(g.GetLog()), c.TLS.apply(g.GetTls()), c.Conns.apply(g.GetConnections()),
		c.Fleet.apply(g.GetFleet())); err != nil {
		return Config{}, locateErrors(path, raw, err)
	}
	return c, nil
}

// stableSyntaxError returns the text of a parser error without its deliberate instability: prototext puts no-break spaces into error
// texts, which differ from one build to the next.
func stableSyntaxError(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimPrefix(text, "proto: ")
}

// numberField is an optional numeric field with its valid range and the function that stores its value.
type numberField struct {
	field    string
	value    *float64
	min, max float64
	set      func(float64)
}

// apply overrides the settings with the fields that are present in p, and checks them.
func (o *Overload) apply(p *gatewayv1.Overload) error {
	if p == nil {
		return nil
	}
	o.Enabled = p.GetEnabled()
	if p.Brownout != nil {
		o.Brownout = *p.Brownout
	}
	c := &o.Control
	setFloat := func(to *float64) func(float64) { return func(x float64) { *to = x } }
	setInt := func(to *int) func(float64) { return func(x float64) { *to = int(x) } }
	setMillis := func(to *time.Duration) func(float64) {
		return func(x float64) { *to = time.Duration(x * float64(time.Millisecond)) }
	}
	errs := applyNumbers("overload", []numberField{
		{"target_busy", p.TargetBusy, 0.1, 1, setFloat(&c.TargetBusy)},
		{"target_delay_ms", p.TargetDelayMs, 1, 300, setMillis(&c.TargetDelay)},
		{"tick_ms", p.TickMs, 20, 500, setMillis(&o.Tick)},
		{"confirm_ticks", toFloat(p.ConfirmTicks), 1, 100, setInt(&c.ConfirmTicks)},
		{"least_rate", p.LeastRate, 0, 1e6, setFloat(&c.MinRate)},
		{"class_floor", p.ClassFloor, 0, 0.2, setFloat(&c.ClassFloor)},
		{"body_work_bytes", toFloat(p.BodyWorkBytes), 64, 1e9, setInt(&c.BodyWorkBytes)},
		{"refusal_share", p.RefusalShare, 0.01, 0.9, setFloat(&c.RefusalShare)},
		{"most_pace_ms", p.MostPaceMs, 0, 300, setMillis(&c.MaxReadPause)},
		{"retry_least_ms", p.RetryLeastMs, 1, 60_000, setMillis(&c.MinRetryIn)},
		{"memory_high", p.MemoryHigh, 0.1, 1, setFloat(&c.MemoryHigh)},
		{"memory_full", p.MemoryFull, 0.1, 1, setFloat(&c.MemoryFull)},
	})
	if c.MemoryHigh >= c.MemoryFull {
		errs = append(errs, fmt.Errorf("overload.memory_high: %v is not below memory_full, %v", c.MemoryHigh, c.MemoryFull))
	}
	return errors.Join(errs...)
}

// apply overrides the settings with those of p, and checks them.
func (l *Log) apply(p *gatewayv1.Log) error {
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
	return errors.Join(append(errs, applyNumbers("log", []numberField{{"lines_per_second", toFloat(p.LinesPerSecond), 1, 100_000,
		func(x float64) { l.LinesPerSecond = int(x) }}})...)...)
}

// apply overrides the settings with the fields that are present in p, and checks them.
func (c *Conns) apply(p *gatewayv1.Connections) error {
	if p == nil {
		return nil
	}
	setDuration := func(to *time.Duration, unit time.Duration) func(float64) {
		return func(x float64) { *to = time.Duration(x * float64(unit)) }
	}
	c.Config.Preconnect, c.LookUpNames = p.GetAhead(), p.GetLookUpNames()
	list := []numberField{
		{"max_age_s", p.MaxAgeS, 1, 1e6, setDuration(&c.Config.MaxAge, time.Second)},
		{"keep_s", p.KeepS, 0.1, 3600, setDuration(&c.Config.PeakHalfLife, time.Second)},
		{"stale_share", p.StaleShare, 1e-5, 0.5, func(x float64) { c.Config.MaxStaleShare = x }},
		{"open_price", p.OpenPrice, 1e-4, 1, func(x float64) { c.Config.OpenPrice = x * c.Config.LossPrice }},
		{"held_most_ms", p.HeldMostMs, 1, 10_000, setDuration(&c.MaxConnWait, time.Millisecond)},
		{"stuck_after_ms", p.StuckAfterMs, 100, 60_000, setDuration(&c.UnackedTimeout, time.Millisecond)},
	}
	for i, n := range list { // 0 is valid for these fields and disables the feature
		if (n.field == "max_age_s" || n.field == "stuck_after_ms") && n.value != nil && *n.value == 0 {
			list[i].min = 0
		}
	}
	return errors.Join(applyNumbers("connections", list)...)
}

// apply overrides the settings with the fields that are present in p, and checks them.
func (t *TLS) apply(p *gatewayv1.Tls) error {
	if p == nil {
		return nil
	}
	if p.WatchFiles != nil {
		t.WatchFiles = *p.WatchFiles
	}
	var errs []error
	for i, row := range p.GetPolicy() {
		policy, err := parsePolicy(row)
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
	return errors.Join(append(errs, applyNumbers("tls.handshakes", []numberField{
		{"core_share", h.CoreShare, 0.01, 1, func(x float64) { t.Handshakes.CoreShare = x }},
		{"least_per_second", h.LeastPerSecond, 0.1, 10_000, func(x float64) { t.Handshakes.MinPerSecond = x }},
		{"per_member", toFloat(h.PerMember), 1, 1000, func(x float64) { t.Handshakes.MaxPerEndpoint = int(x) }},
	})...)...)
}

// parsePolicy converts a TLS policy of the file. The caller checks the result.
func parsePolicy(p *gatewayv1.TlsPolicy) (tlspolicy.Policy, error) {
	policy := tlspolicy.Policy{Name: p.GetName(), Hosts: p.GetHost(), Plain: p.GetPlain(), ServerName: p.GetServerName(), RootFiles: p.GetRootFile(),
		RootDirs: p.GetRootDir(), SystemRoots: p.GetSystemRoots(), MinVersion: tls.VersionTLS12, Certificate: p.GetClientCertificate(),
		Key: p.GetClientKey(), Sessions: 16}
	if policy.Name == "" {
		return policy, errors.New("name is missing")
	}
	for _, d := range p.GetDestination() {
		if d < 0 {
			return policy, fmt.Errorf("destination: %d is negative", d)
		}
		policy.Destinations = append(policy.Destinations, int(d))
	}
	switch p.GetMinVersion() {
	case gatewayv1.Version_VERSION_UNSPECIFIED, gatewayv1.Version_TLS_1_2:
	case gatewayv1.Version_TLS_1_3:
		policy.MinVersion = tls.VersionTLS13
	default:
		return policy, fmt.Errorf("min_version: %d is not a version", p.GetMinVersion())
	}
	for _, text := range p.GetPin() {
		pin, err := tlspolicy.ParsePin(text)
		if err != nil {
			return policy, fmt.Errorf("pin: %w", err)
		}
		policy.Pins = append(policy.Pins, pin)
	}
	if p.Sessions != nil {
		policy.Sessions = int(*p.Sessions)
	}
	return policy, nil
}

// apply overrides the settings with the fields that are present in p, and checks them.
func (f *Fleet) apply(p *gatewayv1.Fleet) error {
	if p == nil {
		return nil
	}
	f.Enabled, f.Name, f.KeyFile = p.GetEnabled(), p.GetName(), p.GetKeyFile()
	f.DivideLimits = p.DivideLimits == nil || *p.DivideLimits
	errs := applyNumbers("fleet", []numberField{
		{"agree", toFloat(p.Agree), 1, 64, func(x float64) { f.Quorum = int(x) }},
		{"exchange_ms", p.ExchangeMs, 100, 60_000, func(x float64) { f.ExchangeInterval = time.Duration(x * float64(time.Millisecond)) }},
		{"bytes_per_s", p.BytesPerS, 256, 1e9, func(x float64) { f.BytesPerSecond = x }},
	})
	setAddress := func(field, text string, to *netip.AddrPort) {
		a, err := netip.ParseAddrPort(text)
		if err == nil && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
			err = errors.New("not an address with a port that other relays can reach")
		}
		if *to = a; err != nil {
			errs = append(errs, fmt.Errorf("fleet.%s: %q: %w", field, text, err))
		}
	}
	if p.GetAdvertise() != "" {
		setAddress("advertise", p.GetAdvertise(), &f.Advertise)
	}
	for i, text := range p.GetJoin() {
		f.Join = append(f.Join, netip.AddrPort{})
		setAddress(fmt.Sprintf("join[%d]", i), text, &f.Join[i])
	}
	if p.GetBind() != "" || f.Enabled {
		setAddress("bind", p.GetBind(), &f.Bind)
	}
	if f.Enabled && (f.Name == "" || len(f.Name) > 64) {
		errs = append(errs, fmt.Errorf("fleet.name: %q: length is not within 1 to 64 bytes", f.Name))
	}
	if f.Enabled && f.KeyFile == "" {
		errs = append(errs, errors.New("fleet.key_file: missing; messages between relays are encrypted"))
	}
	errs = append(errs, f.Configuration.apply(p.GetConfiguration(), f.Enabled))
	return errors.Join(errs...)
}

// applyNumbers stores the fields that are present and within their ranges, and returns an error for each field that is out of range.
func applyNumbers(message string, list []numberField) (errs []error) {
	for _, n := range list {
		if n.value == nil {
			continue
		}
		if x := *n.value; !(x >= n.min && x <= n.max) || math.IsNaN(x) {
			errs = append(errs, fmt.Errorf("%s.%s: %v is not within %v to %v", message, n.field, x, n.min, n.max))
			continue
		}
		n.set(*n.value)
	}
	return errs
}

// toFloat converts an optional integer field.
func toFloat(p *int32) *float64 {
	if p == nil {
		return nil
	}
	x := float64(*p)
	return &x
}
