package fleet

import (
	"context"
	"sync"
	"time"

	"slatemux/internal/verdicts"
)

const (
	// maxInboxPackets is the length of the inbox at which packets are dropped and counted.
	maxInboxPackets = 2048
	// maxInboxEvents is the length of the inbox at which events of this relay itself are dropped and counted.
	maxInboxEvents = 4 * maxInboxPackets
	// sweepInterval is how often expired statements are removed and metrics are published.
	sweepInterval = 100 * time.Millisecond
	// limitDivisionInterval is the longest time between two ticks of the allocator while nothing arrives.
	limitDivisionInterval = 50 * time.Millisecond
)

// event is an item of the inbox.
type event interface {
	// apply updates the driver's state. It runs in the driver goroutine.
	apply(f *Fleet, now time.Duration, r *stepResult)
}

// stepResult collects the results of one batch of events.
type stepResult struct {
	announcements     []verdicts.Statement // of this relay, to be sent to all members
	restraints        []verdicts.Restraint // to be passed to the relay
	exclusionsChanged bool                 // the list of pool members that get no new calls may have changed
}

// Run takes part in the fleet until ctx ends, and then leaves the fleet.
func (f *Fleet) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { f.maintainMembership(ctx) })
	f.drive(ctx)
	goroutines.Wait()
}

// enqueue puts an event into the inbox, or drops the event if the inbox is full. The limit is lower for packets, so that
// packets cannot displace events of this relay itself.
func (f *Fleet) enqueue(e event) {
	f.shared.Lock()
	defer f.shared.Unlock()
	bound := maxInboxEvents
	if _, ok := e.(packetReceived); ok {
		bound = maxInboxPackets
	}
	if len(f.shared.inbox) >= bound {
		f.drops.InboxFull.Add(1)
		return
	}
	f.shared.inbox = append(f.shared.inbox, e)
	if isRoutine(e) {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// isRoutine reports whether an event may wait for the next sweep. This holds for successful calls, which are most events.
func isRoutine(e event) bool {
	ended, ok := e.(callEnded)
	return ok && ended.Outcome == verdicts.Succeeded
}

// drive runs the goroutine that owns the decisions.
func (f *Fleet) drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer f.configuration.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
		}
		f.step(f.takeInbox())
		timer.Reset(f.untilNextStep())
	}
}

// takeInbox empties the inbox.
func (f *Fleet) takeInbox() []event {
	f.shared.Lock()
	defer f.shared.Unlock()
	batch := f.shared.inbox
	f.shared.inbox = nil
	return batch
}

// untilNextStep returns how long the driver may sleep if nothing arrives.
func (f *Fleet) untilNextStep() time.Duration {
	wait := min(f.spread.NextTick()-f.now(), sweepInterval)
	if f.allocator != nil {
		wait = min(wait, limitDivisionInterval)
	}
	return min(wait, f.untilConfigurationDue())
}

// step applies a batch of events, and then runs the periodic work that is due.
func (f *Fleet) step(batch []event) {
	var r stepResult
	for _, e := range batch {
		e.apply(f, f.now(), &r)
	}
	now := f.now()
	f.rebuildMembers(now, &r)
	sweep := now-f.lastSweepAt >= sweepInterval
	if sweep {
		expired := f.store.Sweep(now)
		r.restraints = append(r.restraints, f.judge.Expired(now, expired)...)
		f.announceDue(now, &r)
	}
	f.send(f.spread.Announce(now, r.announcements))
	f.send(f.spread.Tick(now))
	f.restrain(r.restraints)
	f.divideLimits(now)
	f.stepConfiguration(now)
	if sweep || r.exclusionsChanged {
		f.lastSweepAt = now
		f.updateExclusions(now)
		f.publish(now)
	}
}
