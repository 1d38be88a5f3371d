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
	// departedRetention is how long a member that has left or died stays listed.
	departedRetention = 10 * time.Minute
	// maxListedMembers bounds the members that are listed, before those that are gone are dropped.
	maxListedMembers = 4096
)

// The states of a member, as operators see them.
const (
	stateAlive = "alive"
	stateDead  = "dead"
	stateLeft  = "left"
)

// MemberState is a member as operators see it.
type MemberState struct {
	Name  string    `json:"name"`
	Addr  string    `json:"addr"`
	State string    `json:"state"` // alive, dead or left
	Since time.Time `json:"since"`
	RTTMS float64   `json:"rtt_ms"` // round trip of the newest probe; 0 for none
	Self  bool      `json:"self,omitempty"`

	// node is a copy: memberlist changes its own when the member comes back at another address.
	node *memberlist.Node
}

// Members returns all known members, by name.
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

// recordMember stores what memberlist reports of a member.
func (f *Fleet) recordMember(n *memberlist.Node, state string) {
	f.updateMemberState(n, state)
	if n.Name != f.cfg.Self {
		slog.Info("fleet member", "name", n.Name, "state", state, "addr", n.Address())
	}
	f.enqueue(membershipChanged{})
}

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

// nodeOf returns a member's node as memberlist reported it last; nil for none.
func (f *Fleet) nodeOf(name string) *memberlist.Node {
	f.shared.Lock()
	defer f.shared.Unlock()
	if m := f.shared.members[name]; m != nil {
		return m.node
	}
	return nil
}

// dropLongDeparted drops members that have been gone for long. It needs the lock.
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

// deadAddresses lists the last addresses of members that have died.
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

// recordRoundTrip stores the round trip of a probe.
func (f *Fleet) recordRoundTrip(clock peerClock) {
	f.shared.Lock()
	defer f.shared.Unlock()
	if m := f.shared.members[clock.from]; m != nil {
		m.RTTMS = milliseconds(clock.roundTrip)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
