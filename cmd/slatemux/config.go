package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/fleet/configfile"
	"slatemux/internal/front"
	"slatemux/internal/gateway"
	"slatemux/internal/overload"
	"slatemux/internal/pool"
	"slatemux/internal/settings"
)

// file is the configuration as deployed.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Ops       string `json:"ops"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		DiskMB   float64 `json:"disk_mb"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// config is what the relay runs with.
type config struct {
	name, listen, discovery, state string
	ops                            string // the operators' address; none where empty
	written                        string // discovery as the file has it, whatever the environment says
	seed                           int64
	memory, disk                   int64 // bytes
	sockets                        int
	cores                          float64 // 0 where the file says nothing
	gateway                        gateway.Config
	gatewayPath                    string
	known                          pool.List
	settings                       dispatch.Settings
	began                          time.Time
	serveOn, exitAfter             time.Duration // after SIGTERM
	countersEvery                  time.Duration // between lines of counters; 0 for none unasked
}

// load reads the platform's configuration file that the environment names, and the gateway's own, if there is
// one; other variables override what the first says.
func load(getenv func(string) string, gatewayPath string) (config, error) {
	var c config
	if gatewayPath == "" {
		gatewayPath = getenv("SLATEMUX_CONFIG")
	}
	own, err := gateway.Load(gatewayPath)
	if err != nil {
		return c, err
	}
	path := getenv("NODE_CONFIG")
	if path == "" {
		return c, errors.New("NODE_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	or := func(name, value string) string {
		if v := getenv(name); v != "" {
			return v
		}
		return value
	}
	c = config{gateway: own, gatewayPath: gatewayPath, cores: f.Limits.Cores, name: or("NODE_NAME", f.Name), listen: or("NODE_LISTEN", f.Listen),
		discovery: or("NODE_DISCOVERY", f.Discovery), ops: or("NODE_OPS", f.Ops), written: f.Discovery, state: getenv("NODE_STATE"), sockets: f.Limits.Sockets,
		began: began, serveOn: serveOn, exitAfter: exitAfter}
	for _, o := range []struct {
		name string
		to   *netip.AddrPort
	}{{"SLATEMUX_FLEET_BIND", &c.gateway.Fleet.Bind}, {"SLATEMUX_FLEET_ADVERTISE", &c.gateway.Fleet.Advertise}} {
		if text := getenv(o.name); text != "" {
			if *o.to, err = netip.ParseAddrPort(text); err != nil {
				return c, fmt.Errorf("%s: %w", o.name, err)
			}
		}
	}
	if c.gateway.Fleet.Enabled && c.name == "" {
		return c, errors.New("name is missing: the relays of a fleet know each other by it")
	}
	if c.listen == "" || c.discovery == "" || c.state == "" {
		return c, errors.New("listen, discovery or NODE_STATE is missing")
	}
	if info, err := os.Stat(c.state); err != nil || !info.IsDir() {
		return c, fmt.Errorf("NODE_STATE: %s is not a folder", c.state)
	}
	for _, limit := range []struct {
		name string
		mb   float64
		to   *int64
	}{{"memory_mb", f.Limits.MemoryMB, &c.memory}, {"disk_mb", f.Limits.DiskMB, &c.disk}} {
		if !(limit.mb > 0) || limit.mb > 1e9 {
			return c, fmt.Errorf("limits: %s is missing or makes no sense", limit.name)
		}
		*limit.to = int64(math.Floor(limit.mb * 1e6)) // the smaller of the two megabytes
	}
	if c.cores < 0 || c.cores > 1e4 {
		return c, fmt.Errorf("limits: %v cores make no sense", c.cores)
	}
	if c.sockets < 64 {
		return c, fmt.Errorf("limits: %d sockets are too few", c.sockets)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil && f.Seed != "" {
		return c, fmt.Errorf("seed: %q is not hexadecimal", f.Seed)
	}
	c.seed = int64(seed)
	if c.settings, err = settings.Parse(f.Settings); err != nil {
		return c, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.known, err = pool.Parse(f.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	c.known.Full = true
	return c, nil
}

// caps are the bounds of the parts, derived from the limits.
type caps struct {
	heap            int64 // for the collector: files count as memory too
	openBytes, disk int64
	learned         int64 // of the folder, beside the journal
	configuration   int64 // of the folder: the file of the fleet's configuration; 0 where none is replicated
	flows, members  int   // flows out, connections to pool members
	clients         front.Limits
}

// learnedMost is what the limits of destinations may take of the folder that lasts: those of a thousand, twice.
const learnedMost = 200_000

// spare is how many descriptors are for all but clients and pool members: files, the listener, discovery.
const spare = 16

// caps leaves a quarter of the descriptors to flows and their warm connections, half to clients, and a quarter
// of that again to refused clients that are read past. Clients hold a third of the descriptors at most for
// their requests: idle connections make room before that is full, or new requests would find none. Open transactions may take an eighth of the memory, and
// large commands of clients, with the parser's buffers, another.
func (c *config) caps() caps {
	n := c.sockets - spare
	learned := min(c.disk/16, learnedMost)
	configuration := c.configurationFile()
	const copies = 2 // while it is compacted there are two of it
	return caps{heap: c.memory / 2, openBytes: c.memory / 8, disk: c.disk - learned - copies*configuration, learned: learned, configuration: configuration, flows: min(c.settings.MaxCalls, n/4),
		members: n / 4,
		clients: front.Limits{MaxConns: n / 2, MaxUsedConns: n / 4, MaxBufferedBytes: c.memory / 8}}
}

// configurationFile is the bound of the file that keeps the fleet's configuration: what its entries take, and a sixteenth of the
// folder at most.
func (c *config) configurationFile() int64 {
	if !c.gateway.Fleet.Configuration.Enabled {
		return 0
	}
	return min(c.disk/16, configfile.MaxBytes(c.gateway.Fleet.Configuration.MaxEntries))
}

// fixed names what a newer configuration changes that only a restart can apply. The seed and the known list
// are for a start alone.
func (c *config) fixed(newer *config) (names []string) {
	for _, f := range []struct {
		name    string
		changed bool
	}{{"cores", c.cores != newer.cores}, {"gateway", !reflect.DeepEqual(c.gateway, newer.gateway)}, {"name", c.name != newer.name}, {"listen", c.listen != newer.listen},
		{"settings", !reflect.DeepEqual(c.settings, newer.settings)}} {
		if f.changed {
			names = append(names, f.name)
		}
	}
	return names
}

// terms are what the settings say of discovery.
func (c *config) terms() pool.DiscoveryConfig {
	return pool.DiscoveryConfig{Pushed: !c.settings.WatchRequired, Peers: c.settings.Peers, DrainGrace: c.settings.Safety.DrainGrace, NotifiedAfter: c.settings.Safety.NotifyInterval}
}

// control is what the overload controller works with: the gateway's figures, with the classes and tenants of the
// platform's settings.
func (c *config) control() overload.Config {
	o := c.gateway.Overload.Control
	o.OverShareFactor, o.LateByHalves, o.MaxOpen = c.settings.OverShareWorth, c.settings.LateByHalves, c.settings.MaxOpen
	o.Seed = uint64(c.seed)
	for _, k := range c.settings.Classes {
		o.Classes = append(o.Classes, overload.Class{Name: k.Name, Worth: k.Worth, LateWorth: k.LateWorth, Aim: k.Aim,
			Deadline: k.Deadline})
	}
	for _, t := range c.settings.Tenants {
		o.Tenants = append(o.Tenants, overload.Tenant{Name: t.Name, Share: t.Share})
	}
	// A platform whose clients honour no wait is told none that is longer than it says.
	if most := c.settings.MaxRetryAfter; most > 0 {
		o.MaxRetryIn = max(most, o.MinRetryIn)
	}
	return o
}
