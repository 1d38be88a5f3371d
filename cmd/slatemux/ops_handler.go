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

// bansPollInterval is the interval at which the bans file is checked for changes by the other process of a handover.
const bansPollInterval = 200 * time.Millisecond

// opsHandler implements ops.Relay: it answers the requests to the admin endpoint. It reads the relay's published counters, and stores
// bans in the state folder before it passes them to the relay.
type opsHandler struct {
	server *ops.Server
	bans   *maintenance.Bans
	ready  atomic.Bool
	relay  *relay.Relay // set before ready is true; the same holds for front and fleet
	front  interface{ ShedByClass() map[string]int64 }
	fleet  *fleet.Fleet // nil for a relay without a fleet
}

// Ready reports whether the relay is ready for clients. It implements ops.Relay.
func (h *opsHandler) Ready() bool { return h.ready.Load() }

// Stats returns the current counters. It implements ops.Relay.
func (h *opsHandler) Stats() ops.Stats {
	if !h.ready.Load() {
		return ops.Stats{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{}}
	}
	counters := h.relay.Stats()
	overload := map[string]int64{}
	for class, n := range counters.Overload {
		overload[class] += n
	}
	for class, n := range h.front.ShedByClass() { // refused before they reached the relay
		if n > 0 {
			overload[class] += n
		}
	}
	stats := ops.Stats{Success: emptyIfNil(counters.Success), Overload: overload, Error: emptyIfNil(counters.Error), Dispatches: counters.Dispatches,
		Concurrent: counters.Concurrent, Targets: counters.Members, TargetsDisabled: counters.Banned + counters.Avoided}
	if h.fleet != nil {
		stats.Fleet = h.fleet.Metrics()
	}
	return stats
}

// FleetState returns the named part of what this relay knows about its fleet, or nil. It implements ops.Relay.
func (h *opsHandler) FleetState(what string) any {
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

// emptyIfNil returns m, or an empty map for nil, so that JSON shows an object in place of null.
func emptyIfNil(m map[string]int64) map[string]int64 {
	if m == nil {
		return map[string]int64{}
	}
	return m
}

// Maintain takes an endpoint down or brings it up again. It implements ops.Relay. It stores the ban before the relay applies it, so that
// a ban in effect always outlives the process.
func (h *opsHandler) Maintain(ctx context.Context, id string, down bool) error {
	if !h.ready.Load() {
		return errNotReady
	}
	if !h.relay.HasMember(id) && !h.bans.Banned()[id] {
		return ops.ErrUnknownEndpoint
	}
	set, err := h.bans.Set(id, down)
	if err != nil {
		return err
	}
	select {
	case <-h.relay.SetBans(set):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchBans passes on bans that another process has written, until ctx ends.
func (h *opsHandler) watchBans(ctx context.Context) {
	tick := time.NewTicker(bansPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if set, changed := h.bans.Changed(); changed {
				h.relay.SetBans(set)
			}
		}
	}
}

// notReadyError is the type of errNotReady.
type notReadyError struct{}

// Error implements error.
func (notReadyError) Error() string { return "not ready" }

// errNotReady refuses a request that comes before the relay is ready for clients, or while it drains.
var errNotReady error = notReadyError{}
