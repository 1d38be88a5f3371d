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

// Quantities of the program's whole part in a fleet: membership, comparison of statements, and what it does about a change.
var (
	fleetIdle       = Quantity{Name: "whole fleet part, idle: bytes sent and received", Unit: "bytes/s", Budget: budgetBytesPerSecond}
	fleetIdleCPU    = Quantity{Name: "whole fleet part, idle: processor", Unit: "share of a core", Budget: budgetCPUShare}
	fleetChange     = Quantity{Name: "whole fleet part, one joins: bytes beyond idle, mean", Unit: "bytes"}
	fleetChangeMost = Quantity{Name: "whole fleet part, one joins: bytes beyond idle, busiest", Unit: "bytes"}
)

const (
	// fleetExchange, fleetBytes and fleetAgree are the defaults of docs/operate-fleet.md.
	fleetExchange, fleetBytes, fleetAgree = time.Second, 4096, 2
	// fleetKnownWithin is how long all may take to know each other.
	fleetKnownWithin = time.Minute
	// keyMode is that of a key file.
	keyMode = 0o600
)

// deafRelay is a relay that does nothing about what its fleet says.
type deafRelay struct{}

// ApplyRestraints does nothing.
func (deafRelay) ApplyRestraints([]traffic.Restraint) {}

// SetAllowances does nothing.
func (deafRelay) SetAllowances([]traffic.Allowance) {}

// SetExclusions does nothing.
func (deafRelay) SetExclusions([]traffic.Exclusion) {}

// fleetRun is a number of the program's own fleet parts on loopback sockets.
type fleetRun struct {
	folder  string
	size    int
	bind    []netip.AddrPort
	parts   []*fleet.Fleet
	running sync.WaitGroup
}

// measureFleets measures the program's fleet parts at some sizes: while nothing happens, and for as long again after one more joins.
func measureFleets(ctx context.Context, plan MembershipPlan, to *Recorder, progress func(string)) error {
	for _, size := range plan.Fleets {
		progress(fmt.Sprintf("%d whole fleet parts on loopback", size))
		if err := measureFleet(ctx, plan, size, to); err != nil {
			return fmt.Errorf("slopes: %d fleet parts: %w", size, err)
		}
	}
	return nil
}

func measureFleet(parent context.Context, plan MembershipPlan, size int, to *Recorder) error {
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
	if err := run.untilKnown(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, plan.Settle); err != nil {
		return err
	}
	idle, cpu, err := run.watch(ctx, plan.Idle)
	if err != nil {
		return err
	}
	perSecond := mean(idle) / plan.Idle.Seconds()
	if err := run.start(ctx, size); err != nil {
		return err
	}
	change, _, err := run.watch(ctx, plan.Idle)
	if err != nil {
		return err
	}
	beyond := mean(idle)
	return recordAll(func(q Quantity, value float64) error { return to.record(Relays, size, q, value) },
		[]measured{{fleetIdle, perSecond}, {fleetIdleCPU, cpu / float64(size)}, {fleetChange, mean(change) - beyond},
			{fleetChangeMost, quantile(change, 1) - beyond}})
}

// writeKey writes the one key of the fleet.
func (run *fleetRun) writeKey() error {
	text := base64.StdEncoding.EncodeToString(make([]byte, keyBytes)) + "\n"
	return os.WriteFile(run.keyFile(), []byte(text), keyMode)
}

func (run *fleetRun) keyFile() string { return filepath.Join(run.folder, "key") }

// start begins a part, which joins the first ones.
func (run *fleetRun) start(ctx context.Context, number int) error {
	bind, err := freePort()
	if err != nil {
		return err
	}
	state := filepath.Join(run.folder, relayName(number))
	if err := os.Mkdir(state, keyMode|0o100); err != nil {
		return err
	}
	config := fleet.Config{
		Name:             fleetLabel,
		Self:             relayName(number),
		Bind:             bind,
		Join:             run.bind[:min(len(run.bind), seeds)],
		KeyFile:          run.keyFile(),
		StateDir:         state,
		Seed:             uint64(number),
		Quorum:           fleetAgree,
		ExchangeInterval: fleetExchange,
		BytesPerSecond:   fleetBytes,
		DivideLimits:     true,
		Relays:           run.size,
	}
	part, err := fleet.New(config, deafRelay{})
	if err != nil {
		return err
	}
	run.bind, run.parts = append(run.bind, bind), append(run.parts, part)
	run.running.Go(func() { part.Run(ctx) })
	return nil
}

// freePort finds a port of the loopback address that is free for TCP and, as a rule, for UDP.
func freePort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}

// untilKnown waits until each part knows all.
func (run *fleetRun) untilKnown(ctx context.Context) error {
	for begun := time.Now(); ; {
		known := 0
		for _, part := range run.parts {
			known += part.Figures().Members
		}
		if known == len(run.parts)*len(run.parts) {
			return nil
		}
		if time.Since(begun) > fleetKnownWithin {
			return fmt.Errorf("%d of %d members are known after %v", known, len(run.parts)*len(run.parts), fleetKnownWithin)
		}
		if err := sleep(ctx, lookEvery); err != nil {
			return err
		}
	}
}

// watch returns the bytes of each of the first parts over a span, and the share of a core that the process took.
func (run *fleetRun) watch(ctx context.Context, span time.Duration) ([]float64, float64, error) {
	before, cpu, begun := run.bytes(), processTime(), time.Now()
	if err := sleep(ctx, span); err != nil {
		return nil, 0, err
	}
	share := float64(processTime()-cpu) / float64(time.Since(begun))
	passed := run.bytes()
	for i := range passed {
		passed[i] -= before[i]
	}
	return passed, share, nil
}

// bytes are those that the first parts have sent and received.
func (run *fleetRun) bytes() []float64 {
	var list []float64
	for _, part := range run.parts[:run.size] {
		f := part.Figures()
		list = append(list, float64(f.SentBytes+f.ReceivedBytes))
	}
	return list
}
