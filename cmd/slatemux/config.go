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

// configFile is the configuration as deployed.
type configFile struct {
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
	name, listen, discovery, stateDir string
	opsAddr                           string // the operators' address; none where empty
	fileDiscovery                     string // discovery as the file has it, whatever the environment says
	seed                              int64
	memoryBytes, diskBytes            int64 // bytes
	sockets                           int
	cores                             float64 // 0 where the file says nothing
	gateway                           gateway.Config
	gatewayPath                       string
	known                             pool.List
	settings                          dispatch.Settings
	startTime                         time.Time
	drainDelay, exitDelay             time.Duration // after SIGTERM
	countersInterval                  time.Duration // between lines of counters; 0 for none unasked
}

// loadConfig reads the platform's configuration file that the environment names, and the gateway's own, if there is
// one; other variables override what the first says.
func loadConfig(getenv func(string) string, gatewayPath string) (config, error) {
	var c config
	if gatewayPath == "" {
		gatewayPath = getenv("SLATEMUX_CONFIG")
	}
	gatewayConfig, err := gateway.Load(gatewayPath)
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
	var f configFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	envOr := func(name, value string) string {
		if v := getenv(name); v != "" {
			return v
		}
		return value
	}
	c = config{gateway: gatewayConfig, gatewayPath: gatewayPath, cores: f.Limits.Cores, name: envOr("NODE_NAME", f.Name), listen: envOr("NODE_LISTEN", f.Listen),
		discovery: envOr("NODE_DISCOVERY", f.Discovery), opsAddr: envOr("NODE_OPS", f.Ops), fileDiscovery: f.Discovery, stateDir: getenv("NODE_STATE"), sockets: f.Limits.Sockets,
		startTime: processStart, drainDelay: drainDelay, exitDelay: exitDelay}
	for _, override := range []struct {
		name string
		to   *netip.AddrPort
	}{{"SLATEMUX_FLEET_BIND", &c.gateway.Fleet.Bind}, {"SLATEMUX_FLEET_ADVERTISE", &c.gateway.Fleet.Advertise}} {
		if text := getenv(override.name); text != "" {
			if *override.to, err = netip.ParseAddrPort(text); err != nil {
				return c, fmt.Errorf("%s: %w", override.name, err)
			}
		}
	}
	if c.gateway.Fleet.Enabled && c.name == "" {
		return c, errors.New("name is missing: the relays of a fleet know each other by it")
	}
	if c.listen == "" || c.discovery == "" || c.stateDir == "" {
		return c, errors.New("listen, discovery or NODE_STATE is missing")
	}
	if info, err := os.Stat(c.stateDir); err != nil || !info.IsDir() {
		return c, fmt.Errorf("NODE_STATE: %s is not a folder", c.stateDir)
	}
	for _, limit := range []struct {
		name string
		mb   float64
		to   *int64
	}{{"memory_mb", f.Limits.MemoryMB, &c.memoryBytes}, {"disk_mb", f.Limits.DiskMB, &c.diskBytes}} {
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
	c.known.Whole = true
	return c, nil
}

// resourceLimits are the bounds of the parts, derived from the limits.
type resourceLimits struct {
	heapBytes               int64 // for the collector: files count as memory too
	openBytes, journalBytes int64
	learnedBytes            int64 // of the folder, beside the journal
	configurationBytes      int64 // of the folder: the file of the fleet's configuration; 0 where none is replicated
	flows, memberConns      int   // flows out, connections to pool members
	clients                 front.Limits
}

// maxLearnedBytes is what the limits of destinations may take of the folder that lasts: those of a thousand, twice.
const maxLearnedBytes = 200_000

// reservedDescriptors is how many descriptors are for all but clients and pool members: files, the listener, discovery.
const reservedDescriptors = 16

// resourceLimits leaves a quarter of the descriptors to flows and their warm connections, half to clients, and a quarter
// of that again to refused clients that are read past. Clients hold a third of the descriptors at most for
// their requests: idle connections make room before that is full, or new requests would find none. Open transactions may take an eighth of the memory, and
// large commands of clients, with the parser's buffers, another.
func (c *config) resourceLimits() resourceLimits {
	n := c.sockets - reservedDescriptors
	learned := min(c.diskBytes/16, maxLearnedBytes)
	configuration := c.configurationFileBytes()
	const fileCopies = 2 // while it is compacted there are two of it
	return resourceLimits{heapBytes: c.memoryBytes / 2, openBytes: c.memoryBytes / 8, journalBytes: c.diskBytes - learned - fileCopies*configuration, learnedBytes: learned, configurationBytes: configuration, flows: min(c.settings.MaxCalls, n/4),
		memberConns: n / 4,
		clients:     front.Limits{Clients: n / 2, Used: n / 4, Buffered: c.memoryBytes / 8}}
}

// configurationFileBytes is the bound of the file that keeps the fleet's configuration: what its entries take, and a sixteenth of the
// folder at most.
func (c *config) configurationFileBytes() int64 {
	if !c.gateway.Fleet.Configuration.Enabled {
		return 0
	}
	return min(c.diskBytes/16, configfile.MaxBytes(c.gateway.Fleet.Configuration.MaxEntries))
}

// restartOnlyChanges names what a newer configuration changes that only a restart can apply. The seed and the known list
// are for a start alone.
func (c *config) restartOnlyChanges(newer *config) (names []string) {
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

// discoveryTerms are what the settings say of discovery.
func (c *config) discoveryTerms() pool.Terms {
	return pool.Terms{Pushed: !c.settings.OnRequest, Peers: c.settings.Peers, Grace: c.settings.Safety.DrainGrace, Asked: c.settings.Safety.AskEvery}
}

// overloadConfig is what the overload controller works with: the gateway's figures, with the classes and tenants of the
// platform's settings.
func (c *config) overloadConfig() overload.Config {
	o := c.gateway.Overload.Control
	o.OverShare, o.LateByHalves, o.OpenMost = c.settings.OverShareWorth, c.settings.LateByHalves, c.settings.MaxOpen
	o.Seed = uint64(c.seed)
	for _, k := range c.settings.Classes {
		o.Classes = append(o.Classes, overload.Class{Name: k.Name, Worth: k.Worth, LateWorth: k.LateWorth, Aim: k.Aim,
			Deadline: k.Deadline})
	}
	for _, t := range c.settings.Tenants {
		o.Tenants = append(o.Tenants, overload.Tenant{Name: t.Name, Share: t.Share})
	}
	// A platform whose clients honour no wait is told none that is longer than it says.
	if maxWait := c.settings.MaxRetryAfter; maxWait > 0 {
		o.RetryMost = max(maxWait, o.RetryLeast)
	}
	return o
}
