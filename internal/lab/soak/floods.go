package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"slatemux/internal/lab"
	"slatemux/internal/lab/flood"
	"slatemux/internal/lab/ledger"
)

// startFloods plays the floods of the day against the relay at addr. The returned function waits for their end and returns the broken rules.
func (day *Day) startFloods(ctx context.Context, addr string) (wait func() []ledger.Violation) {
	var mu sync.Mutex
	var floods sync.WaitGroup
	var violations []ledger.Violation
	for n, f := range day.Floods {
		floods.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(f.After):
			}
			o := flood.Config{Addr: addr, Shape: f.Shape, Reading: f.Reading, Clients: f.Clients, Commands: f.Commands, Linger: floodClientTime, Class: "order-payment",
				Tenant: "acme", Dest: unknownDest, Deadline: floodClientTime, IDPrefix: fmt.Sprintf("f%x", n)}.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			if o.Accepted > 0 {
				violations = append(violations, ledger.Violation{Rule: FloodAcceptedRule, Text: fmt.Sprintf("%v: %d submissions were accepted", f.Shape, o.Accepted)})
			}
			if o.Unanswered > 0 {
				violations = append(violations, ledger.Violation{Rule: FloodAnswerRule, Text: fmt.Sprintf("%v: %d of %d clients had neither an answer nor a close", f.Shape, o.Unanswered, f.Clients)})
			}
		})
	}
	return func() []ledger.Violation {
		floods.Wait()
		return violations
	}
}

// memoryWatch follows the peak memory of the processes of a day.
type memoryWatch struct {
	limitBytes int64
	watchers   sync.WaitGroup

	mu   sync.Mutex
	peak int64
}

// newMemoryWatch returns a watch for processes with the given memory limit.
func newMemoryWatch(limitMB float64) *memoryWatch {
	return &memoryWatch{limitBytes: int64(limitMB * 1e6)}
}

// watch follows a process until it ends.
func (w *memoryWatch) watch(p *lab.Process) {
	w.watchers.Go(func() {
		for {
			peak := p.PeakMemory()
			if peak == 0 {
				return
			}
			w.mu.Lock()
			w.peak = max(w.peak, peak)
			w.mu.Unlock()
			time.Sleep(peakInterval)
		}
	})
}

// judge waits for the end of the processes. It returns their peak memory in bytes, and a violation if it is over the limit.
func (w *memoryWatch) judge() (peak int64, violations []ledger.Violation) {
	w.watchers.Wait()
	if w.peak > w.limitBytes {
		violations = append(violations, ledger.Violation{Rule: MemoryRule, Text: fmt.Sprintf("a process had %d bytes of memory, its limit is %d bytes", w.peak, w.limitBytes)})
	}
	return w.peak, violations
}
