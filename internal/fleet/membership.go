package fleet

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"slatemux/internal/fleet/wire"
)

const (
	// minJoinPause is the pause after the first try to join the fleet. It doubles with each try.
	minJoinPause = 250 * time.Millisecond
	// maxJoinPause bounds the pause between two tries to join the fleet.
	maxJoinPause = 8 * time.Second
	// rejoinInterval is the mean time between two tries to reach an address where no live member is known.
	rejoinInterval = 10 * time.Second
	// syncDelay is the mean delay before members are compared with a known one after an unknown one was heard.
	syncDelay = 3 * time.Second
	// bindRetryInterval is how often a taken address is tried: a predecessor holds it until its hand-over ends.
	bindRetryInterval = 200 * time.Millisecond
	// leaveTimeout bounds the announcement that this relay leaves.
	leaveTimeout = 300 * time.Millisecond

	// suspicionMultiplier is memberlist's: how long a member that does not answer probes is suspected before it is dead.
	suspicionMultiplier = 3
	// streamTimeout bounds a stream's connect, read and write.
	streamTimeout = 2 * time.Second
	// nameReclaimTime is how long after a member died its name may come back at another address.
	nameReclaimTime = 5 * time.Second
	// handoffQueueDepth bounds the messages that memberlist keeps for its delegate.
	handoffQueueDepth = 512
)

// rebuildPausePerMember is the least time between two rebuilds of what depends on the list of members, for each member: 250 ms at 3,900, where a
// rebuild takes some 8 ms, and next to nothing in a small fleet, whose new members are heard at once.
const rebuildPausePerMember = 64 * time.Microsecond

// membershipChanged tells the driver that memberlist's list of members has changed.
type membershipChanged struct{}

// maintainMembership keeps this relay a member: it waits for its address, joins the fleet, and goes on trying addresses
// where no live member is known, so that the two halves of a partitioned fleet find each other again.
func (f *Fleet) maintainMembership(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.cfg.Seed, membershipRandomStream))
	list, err := f.listen(ctx)
	if err != nil {
		if ctx.Err() == nil {
			slog.Error("fleet: no part in it", "err", err)
		}
		return
	}
	defer leave(list)
	joinPause := minJoinPause
	alone := true
	for {
		wait := rejoinInterval
		if alone {
			wait = joinPause
			joinPause = min(2*joinPause, maxJoinPause)
		}
		address := f.awaitJoinAddress(ctx, list, wait, rng)
		if ctx.Err() != nil {
			return
		}
		if address != "" {
			_, err := list.Join([]string{address})
			slog.Debug("fleet: looked for a member", "addr", address, "err", err)
		}
		alone = list.NumMembers() < 2 && len(f.cfg.Join) > 0
	}
}

// awaitJoinAddress waits, and returns the next address to join: after the wait one where no live member is known, or
// earlier that of a live member, where an unknown one was heard. It returns "" for none, and when ctx ends.
func (f *Fleet) awaitJoinAddress(ctx context.Context, list *memberlist.Memberlist, wait time.Duration, rng *rand.Rand) string {
	unknownMember := f.syncRequests
	if list.NumMembers() < 2 {
		unknownMember = nil // there is nobody to compare with: all senders are unknown to one that has not joined yet
	}
	select {
	case <-ctx.Done():
		return ""
	case <-time.After(jittered(wait, rng)):
		return f.pickMissingAddress(list, rng)
	case <-unknownMember:
	}
	// Not at once: all members may have heard the unknown one.
	select {
	case <-ctx.Done():
		return ""
	case <-time.After(jittered(syncDelay, rng)):
		return pickLiveAddress(list, rng)
	}
}

// jittered returns a duration between half of mean and half as much again.
func jittered(mean time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

// leave announces that this relay leaves the fleet, and closes its address.
func leave(list *memberlist.Memberlist) {
	if err := list.Leave(leaveTimeout); err != nil {
		slog.Debug("fleet: no farewell", "err", err)
	}
	_ = list.Shutdown()
}

// listen opens the address as soon as it is free.
func (f *Fleet) listen(ctx context.Context) (*memberlist.Memberlist, error) {
	warned := false
	for {
		t, err := openTransport(net.UDPAddrFromAddrPort(f.cfg.Bind))
		if err == nil {
			return f.createMemberlist(t)
		}
		if !warned {
			slog.Warn("fleet: address not to be had yet", "bind", f.cfg.Bind, "err", err)
			warned = true
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(bindRetryInterval):
		}
	}
}

// createMemberlist starts memberlist on an open transport.
func (f *Fleet) createMemberlist(t *transport) (*memberlist.Memberlist, error) {
	list, err := memberlist.Create(f.memberlistConfig(t))
	if err != nil {
		_ = t.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f.shared.Lock()
	f.shared.memberList = list
	f.shared.transport = t
	f.shared.Unlock()
	slog.Info("fleet", "name", f.cfg.Name, "bind", t.tcp.Addr(), "incarnation", f.announcer.Incarnation())
	f.enqueue(membershipChanged{})
	return list, nil
}

// TuneMemberlist sets what a fleet's relays change of memberlist's configuration for a local network: times, queues and protocol
// versions. The laboratory's measurements of membership use it too.
func TuneMemberlist(c *memberlist.Config) {
	c.EnableCompression = false // packets hold names and counts of some tens of bytes
	c.SuspicionMult = suspicionMultiplier
	c.TCPTimeout = streamTimeout
	c.DeadNodeReclaimTime = nameReclaimTime
	c.HandoffQueueDepth = handoffQueueDepth
	c.DelegateProtocolVersion = wire.Version
	c.DelegateProtocolMin = wire.Version
	c.DelegateProtocolMax = wire.Version
}

// memberlistConfig is memberlist's configuration for a local network, with this relay's names, keys and delegates.
func (f *Fleet) memberlistConfig(t *transport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = f.cfg.Self
	c.Label = f.cfg.Name
	c.Keyring = f.keyring
	c.Transport = t
	c.BindAddr = f.cfg.Bind.Addr().String()
	c.BindPort = int(f.cfg.Bind.Port())
	if a := f.cfg.Advertise; a.IsValid() {
		c.AdvertiseAddr = a.Addr().String()
		c.AdvertisePort = int(a.Port())
	}
	TuneMemberlist(c)
	c.Delegate = delegate{f}
	c.Events = delegate{f}
	c.Ping = delegate{f}
	c.Conflict = delegate{f}
	c.Logger = log.New(&f.drops, "", 0)
	return c
}

// memberList returns nil before the relay listens.
func (f *Fleet) memberList() *memberlist.Memberlist {
	f.shared.Lock()
	defer f.shared.Unlock()
	return f.shared.memberList
}

// pickLiveAddress picks the address of a random live member; "" for none.
func pickLiveAddress(list *memberlist.Memberlist, rng *rand.Rand) string {
	self := list.LocalNode().Name
	isSelf := func(n *memberlist.Node) bool { return n.Name == self }
	others := slices.DeleteFunc(list.Members(), isSelf)
	if len(others) == 0 {
		return ""
	}
	return others[rng.IntN(len(others))].Address()
}

// pickMissingAddress picks a random address where no live member is known, of the configured ones and those of dead
// members; "" for none.
func (f *Fleet) pickMissingAddress(list *memberlist.Memberlist, rng *rand.Rand) string {
	live := map[string]bool{list.LocalNode().Address(): true}
	for _, n := range list.Members() {
		live[n.Address()] = true
	}
	var missing []string
	for _, a := range f.cfg.Join {
		if !live[a.String()] {
			missing = append(missing, a.String())
		}
	}
	for _, a := range f.deadAddresses() {
		if !live[a] {
			missing = append(missing, a)
		}
	}
	if len(missing) == 0 {
		return ""
	}
	slices.Sort(missing)
	return missing[rng.IntN(len(missing))]
}

// apply has the members taken over at once, or where that was done of late, as soon as it is due again.
func (e membershipChanged) apply(f *Fleet, now time.Duration, r *stepResult) {
	f.membersStale = true
	f.rebuildMembers(now, r)
}

// rebuildMembers takes over memberlist's list of live members where that is due, and forgets what members said that are gone. It
// guards against a restart of the whole fleet: a rebuild takes some milliseconds at 3,900 members, and there are two changes a member.
func (f *Fleet) rebuildMembers(now time.Duration, r *stepResult) {
	if !f.membersStale || now < f.nextRebuildAt {
		return
	}
	list := f.memberList()
	if list == nil {
		return
	}
	f.membersStale = false
	f.nextRebuildAt = now + time.Duration(list.NumMembers())*rebuildPausePerMember
	f.rebuilds.Add(1)
	live := map[string]*memberlist.Node{}
	var names []string
	for _, n := range list.Members() {
		live[n.Name] = f.nodeOf(n.Name)
		names = append(names, n.Name)
	}
	f.forgetDeparted(now, live, r)
	if len(live) > len(f.nodes) {
		f.spread.ExchangeSoon(now) // a new member soon hears what is in force
	}
	f.nodes = live
	f.spread.SetMembers(names)
	f.updateReplicationMembers(now)
	if f.allocator == nil {
		f.startAllocator(now, names)
	} else {
		f.allocator.SetMembers(now, names)
	}
}

// forgetDeparted drops the statements of members that are not live any more.
func (f *Fleet) forgetDeparted(now time.Duration, live map[string]*memberlist.Node, r *stepResult) {
	for name := range f.nodes {
		if live[name] != nil {
			continue
		}
		f.judge.Forget(name)
		lost := f.store.Forget(name)
		r.restraints = append(r.restraints, f.judge.Expired(now, lost)...)
		r.exclusionsChanged = true
	}
}
