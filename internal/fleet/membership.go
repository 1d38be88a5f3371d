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
	// minJoinPause is the pause before the first attempt to join the fleet. The pause doubles with each attempt.
	minJoinPause = 250 * time.Millisecond
	// maxJoinPause bounds the pause between two attempts to join the fleet.
	maxJoinPause = 8 * time.Second
	// rejoinInterval is the mean time between two attempts to reach an address where no live member is known.
	rejoinInterval = 10 * time.Second
	// syncDelay is the mean delay between a sync request and the comparison of member lists with a known member.
	syncDelay = 3 * time.Second
	// bindRetryInterval is the pause between two attempts to listen on an address in use. A predecessor process uses the
	// address until its handover ends.
	bindRetryInterval = 200 * time.Millisecond
	// leaveTimeout bounds the time for announcing that this relay leaves.
	leaveTimeout = 300 * time.Millisecond

	// suspicionMultiplier is memberlist's SuspicionMult. It scales how long a member that does not answer probes is
	// suspected before it is declared dead.
	suspicionMultiplier = 3
	// streamTimeout bounds each connect, read and write of a stream.
	streamTimeout = 2 * time.Second
	// nameReclaimTime is how long after a member's death another address may use its name.
	nameReclaimTime = 5 * time.Second
	// handoffQueueDepth bounds the messages that memberlist queues for its delegate.
	handoffQueueDepth = 512
)

// rebuildPausePerMember, times the number of members, is the minimum time between two rebuilds of the state that depends on
// the list of members. At 3,900 members, where a rebuild takes about 8 ms, the pause is 250 ms. In a small fleet the pause
// is negligible, so that packets of new members are accepted at once.
const rebuildPausePerMember = 64 * time.Microsecond

// membershipChanged notifies the driver that memberlist's list of members has changed.
type membershipChanged struct{}

// maintainMembership keeps this relay a member of the fleet. It waits for its address, joins, and keeps trying addresses
// where no live member is known, so that the two halves of a partitioned fleet rejoin.
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
			slog.Debug("fleet: join attempted", "addr", address, "err", err)
		}
		alone = list.NumMembers() < 2 && len(f.cfg.Join) > 0
	}
}

// awaitJoinAddress waits, and returns the next address to join. After the wait this is an address where no live member is
// known. After a sync request it is the address of a live member. The result is "" if there is no address or ctx ends.
func (f *Fleet) awaitJoinAddress(ctx context.Context, list *memberlist.Memberlist, wait time.Duration, rng *rand.Rand) string {
	syncRequests := f.syncRequests
	if list.NumMembers() < 2 {
		syncRequests = nil // before this relay has joined, all senders are unknown and there is no member to compare with
	}
	select {
	case <-ctx.Done():
		return ""
	case <-time.After(jittered(wait, rng)):
		return f.pickMissingAddress(list, rng)
	case <-syncRequests:
	}
	// The delay is random, because all members may have received a packet of the same unknown sender.
	select {
	case <-ctx.Done():
		return ""
	case <-time.After(jittered(syncDelay, rng)):
		return pickLiveAddress(list, rng)
	}
}

// jittered returns a random duration between 0.5 and 1.5 times mean.
func jittered(mean time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

// leave announces that this relay leaves the fleet, and closes its address.
func leave(list *memberlist.Memberlist) {
	if err := list.Leave(leaveTimeout); err != nil {
		slog.Debug("fleet: leaving not announced", "err", err)
	}
	_ = list.Shutdown()
}

// listen waits until the address is free, listens on it and starts memberlist.
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

// TuneMemberlist sets the times, queue length and protocol versions in which relays differ from memberlist's default
// configuration for a local network. The laboratory's measurements of membership use it too.
func TuneMemberlist(c *memberlist.Config) {
	c.EnableCompression = false // packets hold only names and counts of some tens of bytes
	c.SuspicionMult = suspicionMultiplier
	c.TCPTimeout = streamTimeout
	c.DeadNodeReclaimTime = nameReclaimTime
	c.HandoffQueueDepth = handoffQueueDepth
	c.DelegateProtocolVersion = wire.Version
	c.DelegateProtocolMin = wire.Version
	c.DelegateProtocolMax = wire.Version
}

// memberlistConfig returns memberlist's configuration for a local network, with this relay's name, keys and delegates.
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

// memberList returns memberlist's list of members; nil before the relay listens.
func (f *Fleet) memberList() *memberlist.Memberlist {
	f.shared.Lock()
	defer f.shared.Unlock()
	return f.shared.memberList
}

// pickLiveAddress returns the address of a random live member other than this relay; "" if there is none.
func pickLiveAddress(list *memberlist.Memberlist, rng *rand.Rand) string {
	self := list.LocalNode().Name
	isSelf := func(n *memberlist.Node) bool { return n.Name == self }
	others := slices.DeleteFunc(list.Members(), isSelf)
	if len(others) == 0 {
		return ""
	}
	return others[rng.IntN(len(others))].Address()
}

// pickMissingAddress returns a random address where no live member is known. The candidates are the configured addresses
// and those of dead members. The result is "" if there is none.
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

// apply rebuilds the members now, or after the pause that must follow the previous rebuild.
func (e membershipChanged) apply(f *Fleet, now time.Duration, r *stepResult) {
	f.membersStale = true
	f.rebuildMembers(now, r)
}

// rebuildMembers copies memberlist's list of live members if the list has changed and a rebuild is due. It removes the
// statements of members that are no longer live. The pause between rebuilds limits the work when the whole fleet restarts:
// a rebuild takes some milliseconds at 3,900 members, and each member causes two changes.
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
		f.spread.ExchangeSoon(now) // a new member soon receives the statements in force
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

// forgetDeparted removes the statements of members that are no longer live.
func (f *Fleet) forgetDeparted(now time.Duration, live map[string]*memberlist.Node, r *stepResult) {
	for name := range f.nodes {
		if live[name] != nil {
			continue
		}
		f.judge.Forget(name)
		removed := f.store.Forget(name)
		r.restraints = append(r.restraints, f.judge.Expired(now, removed)...)
		r.exclusionsChanged = true
	}
}
