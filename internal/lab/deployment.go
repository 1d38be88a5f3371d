// Package lab runs a complete test deployment on loopback: partners, discovery, platform, relay processes and clients. It applies a
// scripted load and scripted failures, and checks the outcome of every message.
package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
	"slatemux/internal/lab/platform"
)

// Class is a class in the platform's settings.
type Class struct {
	Name      string
	Repeat    string // safe, keyed or unsafe
	Worth     float64
	LateWorth float64
	Memory    time.Duration
	Aim       time.Duration
	Deadline  time.Duration
}

// DefaultClasses returns the two classes of the Bortsvi Tyre Service deployment.
func DefaultClasses() []Class {
	return []Class{
		{Name: "order-payment", Repeat: "keyed", Worth: 1, LateWorth: 0.5, Memory: 15 * time.Second, Aim: 4 * time.Second, Deadline: 28 * time.Second},
		{Name: "slot-status", Repeat: "safe", Worth: 3, LateWorth: 0.1, Memory: 5 * time.Second, Aim: time.Second, Deadline: 5 * time.Second},
	}
}

// Tenant is a tenant in the platform's settings.
type Tenant struct {
	Name      string
	Allowance float64
	Share     float64
}

// DeploymentConfig describes a deployment: the settings of the relays and the partners.
type DeploymentConfig struct {
	Classes   []Class
	Tenants   []Tenant
	Partners  []partner.Config // Start sets the Ledger of each
	MemoryMB  float64
	DiskMB    float64
	Sockets   int
	MaxOpen   int
	MaxCalls  int
	KeepAlive time.Duration
	Seed      uint64
	Relays    int // number of relays that share the partners; 0 for one

	EditSettings func(settings map[string]any) // changes the settings before they are written; may be nil
	Kind         func(n int) string            // kind of the n-th partner; nil for "partner"
}

// Deployment holds the simulated parties around one relay or several, and the ledger of the run.
type Deployment struct {
	Config     DeploymentConfig
	Ledger     *ledger.Ledger
	Platform   *platform.Server
	Partners   []*partner.Server
	Classes    []ledger.Class
	*RelayNode // of the only relay
}

// RelayNode holds the addresses of one relay, and the folder with its configuration and its state.
type RelayNode struct {
	Name      string
	Number    int // index of the relay, below DeploymentConfig.Relays
	Listen    string
	Discovery string
	Dir       string
}

// Start starts the partners and the platform of a deployment and writes the relay's configuration to a folder. Close stops them.
func Start(dir string, config DeploymentConfig) (*Deployment, error) {
	d := &Deployment{Config: config, Ledger: &ledger.Ledger{}, RelayNode: &RelayNode{Name: "lab", Dir: dir}}
	for _, c := range config.Classes {
		effect := map[string]ledger.Effect{"safe": ledger.Safe, "keyed": ledger.Keyed, "unsafe": ledger.Unsafe}[c.Repeat]
		d.Classes = append(d.Classes, ledger.Class{Name: c.Name, Effect: effect, Memory: c.Memory, Worth: c.Worth, Aim: c.Aim})
	}
	var hosts []platform.Host
	for n, cfg := range config.Partners {
		cfg.Ledger = d.Ledger
		if cfg.Addr == "" {
			cfg.Addr = "127.0.0.1:0"
		}
		s, err := partner.Start(cfg)
		if err != nil {
			d.Close()
			return nil, err
		}
		d.Partners = append(d.Partners, s)
		kind := "partner"
		if config.Kind != nil {
			kind = config.Kind(n)
		}
		hosts = append(hosts, platform.Host{Host: cfg.Name, Dial: s.Addr(), Site: "here", Class: kind, Block: cfg.Dest,
			Health: "active", Share: cmp.Or(cfg.Share, max(cfg.Phases[0].Rate, 20))})
	}
	var err error
	if d.Platform, err = platform.Start("127.0.0.1:0", d.Ledger, hosts); err != nil {
		d.Close()
		return nil, err
	}
	d.Discovery = d.Platform.Addr()
	if err := d.WriteConfiguration(d.RelayNode, d.Platform.Known()); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Close stops the partners and the platform.
func (d *Deployment) Close() {
	var wg sync.WaitGroup
	for _, s := range d.Partners {
		wg.Go(s.Close)
	}
	wg.Wait()
	if d.Platform != nil {
		d.Platform.Close()
	}
}

// ConfigPath returns the path of the relay's configuration file.
func (n *RelayNode) ConfigPath() string { return filepath.Join(n.Dir, "config.json") }

// StateDir returns the path of the folder that persists over restarts of the relay.
func (n *RelayNode) StateDir() string { return filepath.Join(n.Dir, "state") }

// WriteConfiguration writes the configuration of a relay with known as its last known pool, and chooses its client address if there is none.
func (d *Deployment) WriteConfiguration(node *RelayNode, known json.RawMessage) (err error) {
	p := d.Config
	if node.Listen == "" {
		if node.Listen, err = FreePort(); err != nil {
			return err
		}
	}
	millis := func(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }
	var classes, orgs []map[string]any
	for _, c := range p.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "repeat": c.Repeat, "dedup-scope": "all", "memory-span-ms": millis(c.Memory),
			"slo-ms": millis(c.Aim), "deadline-ms": millis(c.Deadline), "late-worth": c.LateWorth, "value": c.Worth})
	}
	for _, t := range p.Tenants {
		orgs = append(orgs, map[string]any{"name": t.Name, "allowance-per-s": t.Allowance, "portion": t.Share})
	}
	configuration := map[string]any{
		"name": node.Name, "listen": node.Listen, "discovery": node.Discovery, "seed": fmt.Sprintf("%x", p.Seed+uint64(node.Number)<<32),
		"limits": map[string]any{"cores": 1, "memory_mb": p.MemoryMB, "sockets": p.Sockets, "disk_mb": p.DiskMB},
		"known":  known,
		"settings": map[string]any{
			"classes": classes, "kinds": []string{"partner"}, "localities": []string{"here"}, "zone": "here", "orgs": orgs,
			"over-share-worth": 0.1, "peers-total": max(p.Relays, 1), "self-index": node.Number, "resolution-ms": 5, "membership-mode": "pushed", "weights": "rough",
			"family-info": map[string]any{"max-calls": p.MaxCalls, "late": "halves", "own-limits": []bool{false}, "carriage": []float64{0}},
			"limits": map[string]any{"connect-timeout-ms": 1000, "keepalive-ms": millis(p.KeepAlive), "max-attempts": 8, "max-open": p.MaxOpen,
				"max-retry-after-ms": 3000, "retry-after": true, "cancel": true, "streams-per-conn": 1},
			"safety":  map[string]any{"start-capacity": 0.23, "cold-ms": 13000, "fall-multiple": 1.5, "tip-after-ms": 1500},
			"tariffs": map[string]any{"handshake": 0.02},
		},
	}
	if p.EditSettings != nil {
		p.EditSettings(configuration["settings"].(map[string]any))
	}
	raw, err := json.MarshalIndent(configuration, "", " ")
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := os.MkdirAll(node.StateDir(), 0o700); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	if err := os.WriteFile(node.ConfigPath(), raw, 0o600); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

// StartRelay starts a relay process on the given processors and waits until it is ready. gateway is the text of the relay's own settings
// file; empty for none.
func (n *RelayNode) StartRelay(binary string, cpus []int, gateway string, flags ...string) (*Process, error) {
	return n.StartRelayWithEnv(binary, cpus, nil, gateway, flags...)
}

// StartRelayWithEnv starts a relay like StartRelay, with additional environment variables. A second process beside the first needs its own admin
// endpoint and the TMPDIR of the first.
func (n *RelayNode) StartRelayWithEnv(binary string, cpus []int, env []string, gateway string, flags ...string) (*Process, error) {
	args := append([]string{"--log-format", "json"}, flags...)
	if gateway != "" {
		path := filepath.Join(n.Dir, "gateway.textproto")
		if err := os.WriteFile(path, []byte(gateway), 0o600); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		args = append(args, "--config", path)
	}
	p, err := Run(cpus, append([]string{"NODE_CONFIG=" + n.ConfigPath(), "NODE_STATE=" + n.StateDir()}, env...), binary, args...)
	if err != nil {
		return nil, err
	}
	// Matches the complete JSON field, because the error "address already in use" contains the word ready, too.
	if err := p.AwaitLog(`"msg":"ready"`, time.Now().Add(10*time.Second)); err != nil {
		p.Kill()
		return nil, err
	}
	p.recordFilePages()
	return p, nil
}

// RunLoad runs a load against the only relay. It sets the address, the classes, the ledger and the relay's number.
func (d *Deployment) RunLoad(ctx context.Context, cfg load.Config) error {
	return d.RunLoadOn(ctx, d.RelayNode, cfg)
}

// RunLoadOn runs a load against one of several relays.
func (d *Deployment) RunLoadOn(ctx context.Context, node *RelayNode, cfg load.Config) error {
	cfg.Addr, cfg.Classes, cfg.Ledger, cfg.Relay = node.Listen, d.Classes, d.Ledger, node.Number
	return load.Run(ctx, cfg)
}

// Judge checks the recorded run with the usual rules. The partners must be closed.
func (d *Deployment) Judge(end time.Time) ledger.Verdict {
	return d.Ledger.Judge(ledger.DefaultRules(d.Classes), end)
}
