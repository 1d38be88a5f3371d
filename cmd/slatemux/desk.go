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

// followEvery is how often the bans file is read for changes that the other process of a hand-over made.
const followEvery = 200 * time.Millisecond

// opsDesk answers the operators' address for the relay: it reads the relay's published figures, and keeps
// bans in the state folder before the relay is told of them.
type opsDesk struct {
	server *ops.Server
	bans   *maintenance.Bans
	ready  atomic.Bool
	relay  *relay.Relay // set before ready
	front  interface{ ShedByClass() map[string]int64 }
	fleet  *fleet.Fleet // nil for a relay alone
}

func (d *opsDesk) Ready() bool { return d.ready.Load() }

func (d *opsDesk) Stats() ops.Stats {
	if !d.ready.Load() {
		return ops.Stats{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{}}
	}
	f := d.relay.Stats()
	overload := map[string]int64{}
	for class, n := range f.Overload {
		overload[class] += n
	}
	for class, n := range d.front.ShedByClass() { // refused before the relay saw them
		if n > 0 {
			overload[class] += n
		}
	}
	s := ops.Stats{Success: orEmpty(f.Success), Overload: overload, Error: orEmpty(f.Error), Dispatches: f.Dispatches,
		Concurrent: f.Concurrent, Targets: f.Members, TargetsDisabled: f.Banned + f.Avoided}
	if d.fleet != nil {
		s.Fleet = d.fleet.Figures()
	}
	return s
}

// FleetState answers what this relay knows of its fleet.
func (d *opsDesk) FleetState(what string) any {
	if !d.ready.Load() || d.fleet == nil {
		return nil
	}
	switch what {
	case "members":
		return d.fleet.Members()
	case "verdicts":
		return d.fleet.Verdicts()
	case "limits":
		return d.fleet.Limits()
	case "configuration":
		if state := d.fleet.Configuration(); state != nil {
			return state
		}
	}
	return nil
}

func orEmpty(m map[string]int64) map[string]int64 {
	if m == nil {
		return map[string]int64{}
	}
	return m
}

// Maintain writes the ban first, so that it outlives the process from the moment the relay obeys it.
func (d *opsDesk) Maintain(ctx context.Context, id string, down bool) error {
	if !d.ready.Load() {
		return errNotReady
	}
	if !d.relay.HasMember(id) && !d.bans.Banned()[id] {
		return ops.ErrUnknownEndpoint
	}
	set, err := d.bans.Set(id, down)
	if err != nil {
		return err
	}
	select {
	case <-d.relay.SetBans(set):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follow takes over bans that another process wrote.
func (d *opsDesk) follow(ctx context.Context) {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if set, changed := d.bans.Changed(); changed {
				d.relay.SetBans(set)
			}
		}
	}
}

type notReady struct{}

func (notReady) Error() string { return "not ready" }

var errNotReady error = notReady{}
