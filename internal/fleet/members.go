package fleet

import (
	"bytes"
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// departedRetention is how long a member stays listed after it has left or died.
	departedRetention = 10 * time.Minute
	// maxListedMembers is the number of listed members above which members that have left or died are dropped before
	// departedRetention has passed. Live members are never dropped.
	maxListedMembers = 4096
)

// The states of a member, as operators see them.
const (
	stateAlive = "alive"
	stateDead  = "dead"
	stateLeft  = "left"
)

// MemberState is a member of the fleet as operators see it.
type MemberState struct {
	Name  string    `json:"name"`
	Addr  string    `json:"addr"`
	State string    `json:"state"` // alive, dead or left
	Since time.Time `json:"since"`
	RTTMS float64   `json:"rtt_ms"` // round trip of the newest probe; 0 before the first
	Self  bool      `json:"self,omitempty"`

	// node is a copy, because memberlist changes its own node when the member returns at another address.
	node *memberlist.Node
}

// Members returns all known members, sorted by name.
func (f *Fleet) Members() []MemberState {
	f.shared.Lock()
	defer f.shared.Unlock()
	var list []MemberState
	for _, m := range f.shared.members {
		list = append(list, *m)
	}
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// recordMember stores a member's state as memberlist reports it, and notifies the driver.
func (f *Fleet) recordMember(n *memberlist.Node, state string) {
	f.updateMemberState(n, state)
	if n.Name != f.cfg.Self {
		slog.Info("fleet member", "name", n.Name, "state", state, "addr", n.Address())
	}
	f.enqueue(membershipChanged{})
}

// updateMemberState stores a member's state, and a copy of its node.
func (f *Fleet) updateMemberState(n *memberlist.Node, state string) {
	f.shared.Lock()
	defer f.shared.Unlock()
	m := f.shared.members[n.Name]
	if m == nil {
		f.dropLongDeparted()
		m = &MemberState{Name: n.Name, Self: n.Name == f.cfg.Self}
		f.shared.members[n.Name] = m
	}
	if m.State != state {
		m.State = state
		m.Since = time.Now()
	}
	node := *n
	node.Meta = bytes.Clone(n.Meta)
	m.node = &node
	m.Addr = node.Address()
}

// nodeOf returns a member's node as memberlist last reported it; nil for an unknown member.
func (f *Fleet) nodeOf(name string) *memberlist.Node {
	f.shared.Lock()
	defer f.shared.Unlock()
	if m := f.shared.members[name]; m != nil {
		return m.node
	}
	return nil
}

// dropLongDeparted drops members that left or died more than departedRetention ago. While more than maxListedMembers are
// listed, it also drops those that left or died later. The caller holds the lock.
func (f *Fleet) dropLongDeparted() {
	for name, m := range f.shared.members {
		if m.State == stateAlive {
			continue
		}
		if time.Since(m.Since) > departedRetention || len(f.shared.members) > maxListedMembers {
			delete(f.shared.members, name)
		}
	}
}

// deadAddresses returns the last known addresses of members that have died.
func (f *Fleet) deadAddresses() []string {
	f.shared.Lock()
	defer f.shared.Unlock()
	var addresses []string
	for _, m := range f.shared.members {
		if m.State == stateDead {
			addresses = append(addresses, m.Addr)
		}
	}
	return addresses
}

// recordRoundTrip stores the round-trip time of a probe.
func (f *Fleet) recordRoundTrip(clock peerClock) {
	f.shared.Lock()
	defer f.shared.Unlock()
	if m := f.shared.members[clock.member]; m != nil {
		m.RTTMS = milliseconds(clock.roundTrip)
	}
}

// milliseconds converts a duration to a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
