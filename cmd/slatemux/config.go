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

// configFile is the content of the platform's configuration file.
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

// config is the effective configuration of the relay, from both files and the environment.
type config struct {
	name, listen, discovery, stateDir string
	opsAddr                           string // admin endpoint; empty for none
	fileDiscovery                     string // discovery address in the file, regardless of the environment
	seed                              int64
	memoryBytes, diskBytes            int64
	sockets                           int
	cores                             float64 // 0 if the file does not set it
	gateway                           gateway.Config
	gatewayPath                       string
	known                             pool.List
	settings                          dispatch.Settings
	startTime                         time.Time
	drainDelay, exitDelay             time.Duration // both count from SIGTERM
	countersInterval                  time.Duration // between two log lines of counters; 0: only on request and at exit
}

// loadConfig reads the platform's configuration file, named by NODE_CONFIG, and the gateway settings file, if there is one.
// Other environment variables override values of these files.
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
		return c, errors.New("name is missing: a fleet identifies its relays by name")
	}
	if c.listen == "" || c.discovery == "" || c.stateDir == "" {
		return c, errors.New("listen, discovery or NODE_STATE is missing")
	}
	if info, err := os.Stat(c.stateDir); err != nil || !info.IsDir() {
		return c, fmt.Errorf("NODE_STATE: %s is not a directory", c.stateDir)
	}
	for _, limit := range []struct {
		name string
		mb   float64
		to   *int64
	}{{"memory_mb", f.Limits.MemoryMB, &c.memoryBytes}, {"disk_mb", f.Limits.DiskMB, &c.diskBytes}} {
		if !(limit.mb > 0) || limit.mb > 1e9 {
			return c, fmt.Errorf("limits: %s is missing or out of range", limit.name)
		}
		*limit.to = int64(math.Floor(limit.mb * 1e6)) // 1 MB is taken as 1e6 bytes, the smaller of its two meanings
	}
	if c.cores < 0 || c.cores > 1e4 {
		return c, fmt.Errorf("limits: cores: %v is out of range", c.cores)
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

// resourceLimits holds the bounds of the components. They are derived from the limits of the platform's configuration.
type resourceLimits struct {
	// heapBytes is the soft memory limit of the garbage collector. It is lower than the memory limit, because files count as memory too.
	heapBytes               int64
	openBytes, journalBytes int64
	learnedBytes            int64 // disk space for learned limits of destinations, beside the journal
	configurationBytes      int64 // bound of the file of the fleet configuration; 0 if no configuration is replicated
	flows, memberConns      int   // concurrent flows; connections to pool members
	clients                 front.Limits
}

// maxLearnedBytes bounds the disk space for learned limits of destinations. It is enough for two copies of a thousand limits.
const maxLearnedBytes = 200_000

// reservedDescriptors is the number of descriptors kept for files, the listener and discovery.
const reservedDescriptors = 16

const (
	// opsShare is the reciprocal of the share of the descriptors that connections of the admin endpoint may take, within minOpsConns and maxOpsConns.
	opsShare    = 16
	minOpsConns = 8
	maxOpsConns = 64
)

// opsConns returns how many connections the admin endpoint may have.
func (c *config) opsConns() int { return min(max(c.sockets/opsShare, minOpsConns), maxOpsConns) }

// resourceLimits divides descriptors, memory and disk among the components.
//
// Flows and their idle connections get a quarter of the descriptors, and clients get half. Refused clients, whose input is still read
// and dropped, get a quarter of the clients' half on top. The clients of the deployment may hold a third of the descriptors for their
// requests. Once the connections that have sent a command take a quarter of the descriptors, idle ones are closed to make room, because
// new requests would otherwise find no descriptor.
//
// The texts of open transactions may take an eighth of the memory, and their records as much. Large commands of clients may take another eighth,
// and the buffers of their connections a sixteenth.
func (c *config) resourceLimits() resourceLimits {
	n := c.sockets - reservedDescriptors
	learned := min(c.diskBytes/16, maxLearnedBytes)
	configuration := c.configurationFileBytes()
	const fileCopies = 2 // compaction writes a second file beside the old one
	return resourceLimits{heapBytes: c.memoryBytes / 2, openBytes: c.memoryBytes / 8, journalBytes: c.diskBytes - learned - fileCopies*configuration, learnedBytes: learned, configurationBytes: configuration, flows: min(c.settings.MaxCalls, n/4),
		memberConns: n / 4,
		clients:     front.Limits{MaxConns: n / 2, MaxUsedConns: n / 4, MaxBufferedBytes: c.memoryBytes / 8, MaxConnBytes: c.memoryBytes / 16}}
}

// configurationFileBytes returns the bound of the file that stores the fleet configuration: the size of the maximum number of entries,
// but at most a sixteenth of the state folder.
func (c *config) configurationFileBytes() int64 {
	if !c.gateway.Fleet.Configuration.Enabled {
		return 0
	}
	return min(c.diskBytes/16, configfile.MaxBytes(c.gateway.Fleet.Configuration.MaxEntries))
}

// restartOnlyChanges returns the names of changed settings that take effect only after a restart. It leaves out the seed and the
// known list, which are used only at the start.
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

// discoveryTerms returns the settings of discovery.
func (c *config) discoveryTerms() pool.DiscoveryConfig {
	return pool.DiscoveryConfig{Pushed: !c.settings.WatchRequired, Peers: c.settings.Peers, DrainGrace: c.settings.Safety.DrainGrace, NotifiedAfter: c.settings.Safety.NotifyInterval}
}

// overloadConfig returns the configuration of the overload controller: the gateway settings, with the classes and tenants of the
// platform's settings.
func (c *config) overloadConfig() overload.Config {
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
	// A platform whose clients do not honour retry-after waits sets a maximum. Refused clients are given no longer wait, unless the
	// minimum of the gateway settings (retry_least_ms) is longer.
	if maxWait := c.settings.MaxRetryAfter; maxWait > 0 {
		o.MaxRetryIn = max(maxWait, o.MinRetryIn)
	}
	return o
}
