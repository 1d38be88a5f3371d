package lab

import (
	"fmt"
	"testing"
	"time"

	"slatemux/internal/lab/flood"
)

// Tiny messages must not take a relay over its memory limit where max-open allows far more of them than its memory.
func TestMemoryLimitHoldsWithManyOpenMessages(t *testing.T) {
	t.Parallel()
	const memoryMB = 32
	d := startDeployment(t, 5*time.Second, memoryMB)
	d.Config.Sockets, d.Config.MaxOpen = 1024, 50_000
	if err := d.WriteConfiguration(d.RelayNode, d.Platform.Known()); err != nil {
		t.Fatal(err)
	}
	p := d.startRelay(t, "")
	o := flood.Config{Addr: d.Listen, Shape: flood.TinySubmission, Clients: 256, Commands: 500, Linger: 5 * time.Second, Class: "order-payment", Tenant: "acme",
		Deadline: 25 * time.Second, IDPrefix: "aa"}.Run(t.Context())
	if peak := p.PeakMemory(); peak == 0 || peak > memoryMB*1e6 || o.Accepted == 0 {
		t.Errorf("the process had %d bytes, its limit is %d MB: %+v", peak, memoryMB, o)
	}
}

const (
	// floodTime is how long each client of a flood stays.
	floodTime = 2 * time.Second
	// parallelFloods bounds the cases that run at once: each fills up to 0.4 GB of socket buffers, and where the kernel is short of them
	// clients can't send.
	parallelFloods = 3
)

// Clients that send many commands at once must not take a relay over its memory limit, for which the platform kills it, whatever they send and
// however they read. All shapes together meet a max-open that is far above what the memory allows.
func TestMemoryLimitHoldsUnderFloods(t *testing.T) {
	slots := make(chan struct{}, parallelFloods)
	run := func(name string, memoryMB float64, sockets, maxOpen int, floods []flood.Config) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			checkMemoryUnderFloods(t, memoryMB, sockets, maxOpen, floods)
		})
	}
	for _, limits := range []struct {
		memoryMB float64
		sockets  int
	}{{32, 1024}, {64, 384}, {192, 256}} {
		name := fmt.Sprintf("%v MB, %d sockets, ", limits.memoryMB, limits.sockets)
		var all []flood.Config
		for shape := range flood.ShapeCount {
			var floods []flood.Config
			for reading := range flood.ReadingCount {
				c := flood.Config{Shape: shape, Reading: reading, Clients: limits.sockets / 8, Commands: shape.Commands(1 << 20), Linger: floodTime,
					Class: "order-payment", Tenant: "acme", Deadline: 2 * floodTime, IDPrefix: fmt.Sprintf("%02x%02x", shape, reading)}
				floods = append(floods, c)
				c.Clients = max(limits.sockets/80, 1)
				all = append(all, c)
			}
			run(name+shape.String(), limits.memoryMB, limits.sockets, 2000, floods)
		}
		run(name+"all shapes", limits.memoryMB, limits.sockets, 50_000, all)
	}
}

// checkMemoryUnderFloods plays floods at once against a relay with the given limits and checks its memory limit.
func checkMemoryUnderFloods(t *testing.T, memoryMB float64, sockets, maxOpen int, floods []flood.Config) {
	t.Helper()
	d := startDeployment(t, 20*time.Millisecond, memoryMB)
	d.Config.Sockets, d.Config.MaxOpen = sockets, maxOpen
	if err := d.WriteConfiguration(d.RelayNode, d.Platform.Known()); err != nil {
		t.Fatal(err)
	}
	p := d.startRelay(t, "")
	for i := range floods {
		floods[i].Addr = d.Listen
	}
	outcomes := flood.RunAll(t.Context(), floods)
	peak := p.PeakMemory()
	if limit := int64(memoryMB * 1e6); peak == 0 || peak > limit {
		t.Errorf("the process had %d bytes, its limit is %d bytes", peak, limit)
	}
	for i, o := range outcomes {
		if o.SentBytes == 0 {
			t.Errorf("%v, %v: nothing was sent: %+v", floods[i].Shape, floods[i].Reading, o)
		}
	}
	t.Logf("%.1f MB, %+v", float64(peak)/1e6, outcomes)
}
