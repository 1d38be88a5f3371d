package fleets

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatemux/internal/fleet"
	"slatemux/internal/lab"
	"slatemux/internal/lab/fleets/labv1"
	"slatemux/internal/lab/ledger"
	"slatemux/internal/lab/links"
	"slatemux/internal/lab/load"
	"slatemux/internal/lab/partner"
	"slatemux/internal/lab/platform"
)

// Fleet is a fleet of real relay processes on loopback addresses, with stand-in partners and fault injectors on all links.
type Fleet struct {
	Scenario   *labv1.FleetScenario
	Deployment *lab.Deployment
	Links      *links.Net
	// LoadStart is the start of the load.
	LoadStart time.Time

	dir, binary    string
	nodes          []*relayNode
	lyingPeer      *lyingPeer
	reportProgress func(string)
}

// relayNode is one relay of the fleet: its configuration, and its process while it has one.
type relayNode struct {
	*lab.RelayNode
	name             string
	addresses        links.PartyAddresses
	adminAddress     string
	inFleet          bool
	mu               sync.Mutex
	process          *lab.Process
	killedAt         time.Time      // when the scenario killed the process; zero while a process runs
	stopped          bool           // by SIGSTOP
	stoppedAt        time.Time      // time of the last SIGSTOP
	initialCPU       time.Duration  // CPU time of the current process before the load began
	initialSentBytes int64          // bytes that the current process sent to other relays before the load began
	endedCPU         time.Duration  // CPU time of killed processes during the load
	aloneSpans       [][2]time.Time // after restarts, until the relay received allocations from other members
}

// fleetKey returns a key of the fleet by its number. The keys are predictable: the laboratory encrypts nothing secret with them.
func fleetKey(n int32) []byte { return bytes.Repeat([]byte{byte(n + 1)}, 32) }

// New creates a fleet in a folder: partners, discovery and links. Start starts the relays. reportProgress receives one line for each
// event and may be nil.
func New(dir, binary string, sc *labv1.FleetScenario, reportProgress func(string)) (*Fleet, error) {
	if reportProgress == nil {
		reportProgress = func(string) {}
	}
	f := &Fleet{Scenario: sc, Links: links.New(sc.Seed), dir: dir, binary: binary, reportProgress: reportProgress}
	config := lab.DeploymentConfig{Classes: lab.DefaultClasses(), Tenants: []lab.Tenant{{Name: "acme", Share: 1}}, MemoryMB: 64, DiskMB: 16, Sockets: 512, MaxOpen: 2000, MaxCalls: 60,
		KeepAlive: 5 * time.Second, Seed: sc.Seed, Relays: int(sc.Relays)}
	for i, pt := range sc.Partner {
		limiter := &partner.RateLimiter{}
		for j, name := range endpointNames(pt) {
			config.Partners = append(config.Partners, partner.Config{RateLimiter: limiter, Name: name, Dest: int(pt.Destination), Phases: partnerPhases(pt), Seed: sc.Seed ^ uint64(i<<8|j), Share: pt.Phase[0].Rate})
		}
	}
	var err error
	if f.Deployment, err = lab.Start(dir, config); err != nil {
		f.Links.Close()
		return nil, err
	}
	for i, name := range relayNames(sc) {
		node := &relayNode{name: name, inFleet: i < int(sc.Relays-sc.WithoutFleet), RelayNode: &lab.RelayNode{Name: name, Number: i, Dir: filepath.Join(dir, name)}}
		if err := f.prepareNode(node); err != nil {
			f.Close()
			return nil, err
		}
		f.nodes = append(f.nodes, node)
	}
	return f, nil
}

// prepareNode creates a link from a relay to each partner endpoint and to discovery, and writes the relay's configuration.
func (f *Fleet) prepareNode(node *relayNode) (err error) {
	if node.addresses, err = f.Links.AddParty(node.name, node.Number); err != nil {
		return err
	}
	forwardAddresses := map[string]string{}
	for i, partner := range f.Deployment.Partners {
		name := f.Deployment.Config.Partners[i].Name
		if forwardAddresses[name], err = f.Links.Forward(node.name, name, partner.Addr(), netip.Addr{}); err != nil {
			return err
		}
	}
	source := netip.AddrFrom4([4]byte{127, 62, byte(node.Number >> 8), byte(node.Number&0xff) + 1})
	if node.Discovery, err = f.Links.Forward(node.name, "discovery", f.Deployment.Platform.Addr(), source); err != nil {
		return err
	}
	f.Deployment.Platform.RegisterRelay(source, node.Number, func(h platform.Host) string { return forwardAddresses[h.Host] })
	for _, to := range []*string{&node.Listen, &node.adminAddress} {
		if *to, err = lab.FreePortOn(node.addresses.Serve.String()); err != nil {
			return err
		}
	}
	if err := f.Deployment.WriteConfiguration(node.RelayNode, f.Deployment.Platform.KnownFor(source)); err != nil {
		return err
	}
	for _, dir := range []string{node.tempDir()} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return fmt.Errorf("fleets: %w", err)
		}
	}
	return f.writeKeys(node, 0)
}

func (node *relayNode) tempDir() string { return filepath.Join(node.Dir, "tmp") }

func (node *relayNode) keyFile() string { return filepath.Join(node.Dir, "keys") }

// writeKeys writes the key file of a relay, with the fleet's keys of these numbers.
func (f *Fleet) writeKeys(node *relayNode, numbers ...int32) error {
	var text strings.Builder
	for _, n := range numbers {
		text.WriteString(base64.StdEncoding.EncodeToString(fleetKey(n)) + "\n")
	}
	if err := os.WriteFile(node.keyFile(), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("fleets: %w", err)
	}
	return nil
}

// gatewaySettings returns the text of a relay's settings. A relay joins the fleet through the first three relays, itself excluded.
func (f *Fleet) gatewaySettings(node *relayNode) string {
	text := f.Scenario.Settings + "\n"
	if !node.inFleet {
		return text
	}
	text += fmt.Sprintf("fleet {\n enabled: true name: \"lab\" bind: %q advertise: %q key_file: %q\n", node.addresses.Bind, node.addresses.Reach, node.keyFile())
	for i := range min(3, len(f.nodes)) {
		if f.nodes[i] != node {
			text += fmt.Sprintf(" join: %q\n", f.nodes[i].addresses.Reach)
		}
	}
	return text + f.Scenario.FleetSettings + "\n}\n"
}

// startNode starts the process of one relay and waits until it serves clients.
func (f *Fleet) startNode(node *relayNode) error {
	p, err := node.StartRelayWithEnv(f.binary, nil, []string{"TMPDIR=" + node.tempDir(), "NODE_OPS=" + node.adminAddress}, f.gatewaySettings(node))
	if err != nil {
		return fmt.Errorf("%s: %w", node.name, err)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.process = p
	if !node.killedAt.IsZero() {
		f.Deployment.Ledger.RecordDowntime(ledger.Downtime{From: node.killedAt, Ready: time.Now(), Relay: node.Number})
		node.killedAt = time.Time{}
	}
	return nil
}

// forEachNode calls do in parallel for the named relays, or for all relays if names is nil.
func (f *Fleet) forEachNode(names []string, do func(*relayNode) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(f.nodes))
	for i, node := range f.nodes {
		if names == nil || slices.Contains(names, node.name) {
			wg.Go(func() { errs[i] = do(node) })
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Start starts all relays and waits until the relays of the fleet know each other.
func (f *Fleet) Start() error {
	if err := f.forEachNode(nil, f.startNode); err != nil {
		return err
	}
	return f.WaitForMembers(time.Now().Add(60 * time.Second))
}

// WaitForMembers waits until each live relay with a fleet part counts all live relays with a fleet part as members.
func (f *Fleet) WaitForMembers(deadline time.Time) error {
	want := 0
	for _, node := range f.nodes {
		if node.inFleet && node.alive() {
			want++
		}
	}
	return f.forEachNode(nil, func(node *relayNode) error {
		for node.inFleet && node.alive() {
			metrics, err := f.fetchMetrics(node)
			if err == nil && metrics.Members >= want {
				return nil
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("fleets: %s knows %d of %d members: %v\n%s", node.name, metrics.Members, want, err, lastBytes(node.process.Log(), 1000))
			}
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
}

// alive reports whether the relay has a process that runs.
func (node *relayNode) alive() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.process != nil && node.killedAt.IsZero() && !node.stopped
}

// getJSON reads a JSON document from the admin endpoint of a relay.
func (node *relayNode) getJSON(path string, into any) error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(3*time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.adminAddress+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, resp.StatusCode)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// fetchMetrics returns the metrics of a relay's part in the fleet.
func (f *Fleet) fetchMetrics(node *relayNode) (fleet.Metrics, error) {
	var stats struct{ Fleet fleet.Metrics }
	err := node.getJSON("/ops/stats", &stats)
	return stats.Fleet, err
}

// Metrics returns the metrics of a relay's part in the fleet.
func (f *Fleet) Metrics(relay int) (fleet.Metrics, error) { return f.fetchMetrics(f.nodes[relay]) }

// Verdicts returns the statements of other relays that a relay holds.
func (f *Fleet) Verdicts(relay int) (list []fleet.Verdict, err error) {
	err = f.nodes[relay].getJSON("/ops/fleet/verdicts", &list)
	return list, err
}

// Process returns the current process of a relay.
func (f *Fleet) Process(relay int) *lab.Process {
	node := f.nodes[relay]
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.process
}

// Play runs the load and causes the events of the scenario's timeline.
func (f *Fleet) Play(ctx context.Context) error {
	sc := f.Scenario
	for _, node := range f.nodes {
		node.initialCPU = node.process.Usage().CPU
		if metrics, err := f.fetchMetrics(node); err == nil {
			node.initialSentBytes = metrics.SentBytes
		}
	}
	f.LoadStart = time.Now()
	for _, p := range f.Deployment.Partners {
		p.Restart() // the script of the partner starts now
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	errs := make([]error, len(f.nodes)+1)
	for i, node := range f.nodes {
		tasks.Go(func() { errs[i] = f.runClients(ctx, node) })
	}
	tasks.Go(func() {
		for _, e := range sc.At {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(f.LoadStart.Add(seconds(e.AtS)))):
			}
			if err := f.CauseEvent(e); err != nil {
				errs[len(f.nodes)] = errors.Join(errs[len(f.nodes)], err)
			}
		}
	})
	tasks.Wait()
	return errors.Join(errs...)
}

// runClients runs the clients of one relay.
func (f *Fleet) runClients(ctx context.Context, node *relayNode) error {
	l := f.Scenario.Load
	streams := []load.Stream{{Class: 0, Tenant: "acme", Share: 1 - l.Status, BodyBytes: 200, Deadline: 28 * time.Second},
		{Class: 1, Tenant: "acme", Share: l.Status, BodyBytes: 200, Deadline: 5 * time.Second}}
	if l.Status == 0 {
		streams = streams[:1]
	}
	var dests []int
	for _, p := range f.Scenario.Partner {
		dests = append(dests, int(p.Destination))
	}
	clients, retryAfterShare := int(l.Clients), l.Honour
	if clients == 0 {
		clients = 8
	}
	if retryAfterShare == 0 {
		retryAfterShare = 1
	}
	return f.Deployment.RunLoadOn(ctx, node.RelayNode, load.Config{Clients: clients, Patience: 400 * time.Millisecond, Streams: streams, Dests: dests, MaxRetries: int(l.Retries),
		Steps: loadSteps(f.Scenario, node.Number), RetryAfterShare: retryAfterShare, Seed: f.Scenario.Seed<<10 + uint64(node.Number) + 1, Poisson: true})
}

// loadSteps returns the rates at which clients submit messages to a relay. With JumpS, the relay with the hot share of the load
// changes at that interval.
func loadSteps(sc *labv1.FleetScenario, relay int) (list []load.Step) {
	l, n := sc.Load, int(sc.Relays)
	span := sc.LengthS
	if l.JumpS > 0 {
		span = l.JumpS
	}
	for from, hot := 0.0, 0; from < sc.LengthS; from, hot = from+span, (hot+1)%n {
		rate := l.Rate / float64(n)
		if l.Hot > 0 && n > 1 {
			if rate = l.Rate * (1 - l.Hot) / float64(n-1); relay == hot {
				rate = l.Rate * l.Hot
			}
		}
		list = append(list, load.Step{For: seconds(min(span, sc.LengthS-from)), Rate: rate})
	}
	return list
}

// CauseEvent causes one event of the timeline.
func (f *Fleet) CauseEvent(e *labv1.Event) error {
	f.reportProgress(fmt.Sprintf("%6.2f s  %v", time.Since(f.LoadStart).Seconds(), strings.ReplaceAll(e.String(), "\u00a0", " ")))
	sc := f.Scenario
	signal := func(names []string, sig syscall.Signal, stopped bool) error {
		return f.forEachNode(expandParties(sc, names), func(node *relayNode) error {
			node.mu.Lock()
			defer node.mu.Unlock()
			return f.setStopped(node, sig, stopped)
		})
	}
	switch what := e.What.(type) {
	case *labv1.Event_Links:
		l := what.Links
		fault := links.Fault{Delay: milliseconds(l.DelayMs), Jitter: milliseconds(l.JitterMs), Loss: l.Loss, Duplicate: l.Duplicate, Reorder: l.Reorder,
			Corrupt: l.Corrupt, Cut: l.Cut, Bandwidth: l.BytesPerS}
		for _, from := range expandParties(sc, l.From) {
			for _, to := range expandParties(sc, l.To) {
				if from == to {
					continue
				}
				f.Links.Set(from, to, fault)
				if l.Both {
					f.Links.Set(to, from, fault)
				}
			}
		}
	case *labv1.Event_Heal:
		f.Links.Heal()
	case *labv1.Event_Stop:
		return signal(what.Stop.Party, syscall.SIGSTOP, true)
	case *labv1.Event_Go:
		return signal(what.Go.Party, syscall.SIGCONT, false)
	case *labv1.Event_Kill:
		return f.forEachNode(expandParties(sc, what.Kill.Party), func(node *relayNode) error {
			node.mu.Lock()
			defer node.mu.Unlock()
			node.endedCPU += node.process.Usage().CPU - node.initialCPU
			node.killedAt, node.stopped, node.initialCPU, node.initialSentBytes = time.Now(), false, 0, 0
			node.process.Kill()
			return nil
		})
	case *labv1.Event_Start:
		return f.forEachNode(expandParties(sc, what.Start.Party), func(node *relayNode) error {
			from := time.Now()
			if err := f.startNode(node); err != nil {
				return err
			}
			if node.inFleet {
				f.recordAloneSpan(node, from)
			}
			return nil
		})
	case *labv1.Event_Drain:
		return f.drainEndpoint(what.Drain)
	case *labv1.Event_Operators:
		return f.setEndpointState(what.Operators)
	case *labv1.Event_Keys:
		return f.forEachNode(expandParties(sc, what.Keys.Relay), func(node *relayNode) error {
			if err := f.writeKeys(node, what.Keys.Key...); err != nil {
				return err
			}
			return node.process.Signal(syscall.SIGHUP)
		})
	case *labv1.Event_Listen:
		f.Links.Record(what.Listen.From, what.Listen.To)
	case *labv1.Event_Replay:
		f.reportProgress(fmt.Sprintf("          %d packets", f.Links.Replay(what.Replay.From, what.Replay.To)))
	case *labv1.Event_Lies:
		if !f.nodes[0].inFleet {
			return nil // no relay has a fleet part
		}
		peer, err := f.startLyingPeer(what.Lies)
		f.lyingPeer = peer
		return err
	}
	return nil
}

// setStopped suspends or resumes a process. The ledger excuses deadlines that the relay misses in that time. The caller must hold
// node.mu.
func (f *Fleet) setStopped(node *relayNode, sig syscall.Signal, stopped bool) error {
	if stopped {
		node.stoppedAt = time.Now()
	} else if node.stopped {
		f.Deployment.Ledger.RecordDowntime(ledger.Downtime{From: node.stoppedAt, Ready: time.Now(), Relay: node.Number, Paused: true})
	}
	node.stopped = stopped
	return node.process.Signal(sig)
}

// drainEndpoint makes discovery announce that an endpoint leaves.
func (f *Fleet) drainEndpoint(endpoint string) error {
	for i, p := range f.Deployment.Config.Partners {
		if p.Name == endpoint {
			f.Deployment.Platform.Change(platform.Host{Host: p.Name, Dial: f.Deployment.Partners[i].Addr(), Site: "here", Class: "partner", Block: p.Dest, Health: "leaving", Share: p.Share})
			return nil
		}
	}
	return fmt.Errorf("fleets: endpoint %s does not exist", endpoint)
}

// setEndpointState marks an endpoint as up or down at the admin endpoints of relays, as an operator does.
func (f *Fleet) setEndpointState(o *labv1.Operators) error {
	return f.forEachNode(expandParties(f.Scenario, []string{o.Relay}), func(node *relayNode) error {
		verb := "down/"
		if o.Up {
			verb = "up/"
		}
		resp, err := http.Post("http://"+node.adminAddress+"/ops/endpoints/"+verb+o.Endpoint, "", nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("fleets: %s answered a change of an endpoint's state with status %d", node.name, resp.StatusCode)
		}
		return nil
	})
}

// WaitUntilSettled removes all link faults, resumes stopped relays and waits until no relay has pending messages.
func (f *Fleet) WaitUntilSettled(deadline time.Time) error {
	f.Links.Heal()
	for _, node := range f.nodes {
		node.mu.Lock()
		if node.stopped {
			_ = f.setStopped(node, syscall.SIGCONT, false)
		}
		node.mu.Unlock()
	}
	return f.forEachNode(nil, func(node *relayNode) error {
		if !node.alive() {
			return nil
		}
		if err := node.process.AwaitSettled(deadline); err != nil {
			return fmt.Errorf("%s: %w\n%s", node.name, err, lastBytes(node.process.Log(), 2000))
		}
		return nil
	})
}

// lastBytes returns the end of a text.
func lastBytes(text string, maxBytes int) string { return text[max(len(text)-maxBytes, 0):] }

// Close ends all processes and servers.
func (f *Fleet) Close() {
	if f.lyingPeer != nil {
		f.lyingPeer.close()
		f.lyingPeer = nil
	}
	_ = f.forEachNode(nil, func(node *relayNode) error {
		if p := node.process; p != nil {
			p.Kill()
		}
		return nil
	})
	f.Deployment.Close()
	f.Links.Close()
}

// GetJSON reads a JSON document from the admin endpoint of a relay.
func (f *Fleet) GetJSON(relay int, path string, into any) error {
	return f.nodes[relay].getJSON(path, into)
}

// AdminAddress returns the address of a relay's admin endpoint.
func (f *Fleet) AdminAddress(relay int) string { return f.nodes[relay].adminAddress }
