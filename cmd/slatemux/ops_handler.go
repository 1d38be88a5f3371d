package main

import (
	"context"
	"sync/atomic"
	"time"

	"slatemux/internal/fleet"
	"slatemux/internal/maintenance"
	"slatemux/internal/ops"
	"slatemux/internal/relay"
)

// bansPollInterval is how often the bans file is read for changes that the other process of a hand-over made.
const bansPollInterval = 200 * time.Millisecond

// opsHandler answers the operators' address for the relay: it reads the relay's published figures, and keeps
// bans in the state folder before the relay is told of them.
type opsHandler struct {
	server *ops.Server
	bans   *maintenance.Bans
	ready  atomic.Bool
	relay  *relay.Relay // set before ready
	front  interface{ ShedByClass() map[string]int64 }
	fleet  *fleet.Fleet // nil for a relay alone
}

func (h *opsHandler) Ready() bool { return h.ready.Load() }

func (h *opsHandler) Stats() ops.Stats {
	if !h.ready.Load() {
		return ops.Stats{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{}}
	}
	counters := h.relay.Figures()
	overload := map[string]int64{}
	for class, n := range counters.Overload {
		overload[class] += n
	}
	for class, n := range h.front.ShedByClass() { // refused before the relay saw them
		if n > 0 {
			overload[class] += n
		}
	}
	stats := ops.Stats{Success: emptyIfNil(counters.Success), Overload: overload, Error: emptyIfNil(counters.Error), Dispatches: counters.Dispatches,
		Concurrent: counters.Concurrent, Targets: counters.Members, TargetsDisabled: counters.Banned + counters.Avoided}
	if h.fleet != nil {
		stats.Fleet = h.fleet.Figures()
	}
	return stats
}

// Fleet answers what this relay knows of its fleet.
func (h *opsHandler) Fleet(what string) any {
	if !h.ready.Load() || h.fleet == nil {
		return nil
	}
	switch what {
	case "members":
		return h.fleet.Members()
	case "verdicts":
		return h.fleet.Verdicts()
	case "limits":
		return h.fleet.Limits()
	case "configuration":
		if state := h.fleet.Configuration(); state != nil {
			return state
		}
	}
	return nil
}

func emptyIfNil(m map[string]int64) map[string]int64 {
	if m == nil {
		return map[string]int64{}
	}
	return m
}

// Maintain writes the ban first, so that it outlives the process from the moment the relay obeys it.
func (h *opsHandler) Maintain(ctx context.Context, id string, down bool) error {
	if !h.ready.Load() {
		return errNotReady
	}
	if !h.relay.Known(id) && !h.bans.Banned()[id] {
		return ops.ErrUnknown
	}
	set, err := h.bans.Set(id, down)
	if err != nil {
		return err
	}
	select {
	case <-h.relay.Ban(set):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchBans takes over bans that another process wrote.
func (h *opsHandler) watchBans(ctx context.Context) {
	tick := time.NewTicker(bansPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if set, changed := h.bans.Changed(); changed {
				h.relay.Ban(set)
			}
		}
	}
}

type notReadyError struct{}

func (notReadyError) Error() string { return "not ready" }

var errNotReady error = notReadyError{}
