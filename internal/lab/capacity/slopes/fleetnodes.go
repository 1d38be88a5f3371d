package slopes

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"slatemux/internal/fleet"
	"slatemux/internal/traffic"
)

// Quantities of a complete fleet node: membership, anti-entropy of statements, and the reaction to changes.
var (
	fleetIdleBytes     = Quantity{Name: "whole fleet part, idle: bytes sent and received", Unit: "bytes/s", Budget: bytesPerSecondBudget}
	fleetIdleCPU       = Quantity{Name: "whole fleet part, idle: processor", Unit: "share of a core", Budget: cpuShareBudget}
	fleetJoinMeanBytes = Quantity{Name: "whole fleet part, one joins: bytes beyond idle, mean", Unit: "bytes"}
	fleetJoinMaxBytes  = Quantity{Name: "whole fleet part, one joins: bytes beyond idle, busiest", Unit: "bytes"}
)

const (
	// The next three are the defaults of docs/operate-fleet.md.
	fleetExchangeInterval = time.Second
	fleetBytesPerSecond   = 4096
	fleetQuorum           = 2
	// fleetJoinTimeout is the maximum time until all nodes know each other.
	fleetJoinTimeout = time.Minute
	// keyFileMode is the file mode of a key file.
	keyFileMode = 0o600
)

// noopRelay is a relay that ignores what its fleet node reports.
type noopRelay struct{}

// ApplyRestraints ignores restraints.
func (noopRelay) ApplyRestraints([]traffic.Restraint) {}

// SetAllowances ignores allowances.
func (noopRelay) SetAllowances([]traffic.Allowance) {}

// SetExclusions ignores bars.
func (noopRelay) SetExclusions([]traffic.Exclusion) {}

// fleetRun holds the fleet nodes of one measurement. Each node is the complete internal/fleet of one relay, on a loopback socket.
type fleetRun struct {
	folder    string
	size      int
	addresses []netip.AddrPort
	nodes     []*fleet.Fleet
	running   sync.WaitGroup
}

// measureFleets measures fleet nodes at each size of the plan: while the fleet is idle, and for the same time after one more node has
// joined.
func measureFleets(ctx context.Context, plan MembershipPlan, recorder *Recorder, progress func(string)) error {
	for _, size := range plan.Fleets {
		progress(fmt.Sprintf("%d whole fleet parts on loopback", size))
		if err := measureFleet(ctx, plan, size, recorder); err != nil {
			return fmt.Errorf("slopes: %d fleet nodes: %w", size, err)
		}
	}
	return nil
}

func measureFleet(parent context.Context, plan MembershipPlan, size int, recorder *Recorder) error {
	folder, err := os.MkdirTemp("", "slatelab-fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, stop := context.WithCancel(parent)
	run := &fleetRun{folder: folder, size: size}
	defer run.running.Wait()
	defer stop()
	if err := run.writeKey(); err != nil {
		return err
	}
	for n := range size {
		if err := run.start(ctx, n); err != nil {
			return err
		}
	}
	if err := run.waitUntilKnown(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, plan.SettleDuration); err != nil {
		return err
	}
	idleTransferred, cpuShare, err := run.measureTraffic(ctx, plan.IdleDuration)
	if err != nil {
		return err
	}
	perSecond := mean(idleTransferred) / plan.IdleDuration.Seconds()
	if err := run.start(ctx, size); err != nil {
		return err
	}
	joinTransferred, _, err := run.measureTraffic(ctx, plan.IdleDuration)
	if err != nil {
		return err
	}
	expectedBytes := mean(idleTransferred)
	return recordAll(func(q Quantity, value float64) error { return recorder.record(Relays, size, q, value) },
		[]quantityValue{{fleetIdleBytes, perSecond}, {fleetIdleCPU, cpuShare / float64(size)},
			{fleetJoinMeanBytes, mean(joinTransferred) - expectedBytes},
			{fleetJoinMaxBytes, quantile(joinTransferred, 1) - expectedBytes}})
}

// writeKey writes the key file that all nodes share.
func (run *fleetRun) writeKey() error {
	text := base64.StdEncoding.EncodeToString(make([]byte, keyBytes)) + "\n"
	return os.WriteFile(run.keyFile(), []byte(text), keyFileMode)
}

func (run *fleetRun) keyFile() string { return filepath.Join(run.folder, "key") }

// start starts a node that joins the first nodes.
func (run *fleetRun) start(ctx context.Context, number int) error {
	address, err := freePort()
	if err != nil {
		return err
	}
	stateDir := filepath.Join(run.folder, relayName(number))
	if err := os.Mkdir(stateDir, keyFileMode|0o100); err != nil {
		return err
	}
	config := fleet.Config{
		Name:             fleetLabel,
		Self:             relayName(number),
		Bind:             address,
		Join:             run.addresses[:min(len(run.addresses), seedMembers)],
		KeyFile:          run.keyFile(),
		StateDir:         stateDir,
		Seed:             uint64(number),
		Quorum:           fleetQuorum,
		ExchangeInterval: fleetExchangeInterval,
		BytesPerSecond:   fleetBytesPerSecond,
		DivideLimits:     true,
		Relays:           run.size,
	}
	node, err := fleet.New(config, noopRelay{})
	if err != nil {
		return err
	}
	run.addresses, run.nodes = append(run.addresses, address), append(run.nodes, node)
	run.running.Go(func() { node.Run(ctx) })
	return nil
}

// freePort returns a loopback port that is free for TCP and, as a rule, for UDP.
func freePort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}

// waitUntilKnown waits until each node knows all nodes.
func (run *fleetRun) waitUntilKnown(ctx context.Context) error {
	for start := time.Now(); ; {
		known := 0
		for _, node := range run.nodes {
			known += node.Metrics().Members
		}
		if known == len(run.nodes)*len(run.nodes) {
			return nil
		}
		if time.Since(start) > fleetJoinTimeout {
			return fmt.Errorf("%d of %d pairs of nodes know each other after %v", known, len(run.nodes)*len(run.nodes), fleetJoinTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// measureTraffic returns the bytes that each of the first run.size nodes transfers in a span, and the share of a core that the process
// uses.
func (run *fleetRun) measureTraffic(ctx context.Context, span time.Duration) ([]float64, float64, error) {
	bytesBefore, cpuBefore, start := run.transferredBytes(), processCPUTime(), time.Now()
	if err := sleep(ctx, span); err != nil {
		return nil, 0, err
	}
	share := float64(processCPUTime()-cpuBefore) / float64(time.Since(start))
	transferred := run.transferredBytes()
	for i := range transferred {
		transferred[i] -= bytesBefore[i]
	}
	return transferred, share, nil
}

// transferredBytes returns the bytes sent and received so far by each of the first run.size nodes.
func (run *fleetRun) transferredBytes() []float64 {
	var list []float64
	for _, node := range run.nodes[:run.size] {
		metrics := node.Metrics()
		list = append(list, float64(metrics.SentBytes+metrics.ReceivedBytes))
	}
	return list
}
