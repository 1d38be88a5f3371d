package fleet

import (
	"bytes"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate implements memberlist's callbacks. No callback blocks, or keeps a byte slice that memberlist passes.
type delegate struct{ f *Fleet }

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.PingDelegate     = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
)

// NodeMeta returns the metadata that this relay announces. It is empty for a relay that replicates no configuration.
func (d delegate) NodeMeta(int) []byte { return d.f.configuration.capability() }

// NotifyMsg receives a packet from another member.
func (d delegate) NotifyMsg(b []byte) { d.f.enqueue(packetReceived(bytes.Clone(b))) }

// GetBroadcasts returns nothing, because internal/spread decides which packets are sent to which member.
func (d delegate) GetBroadcasts(_, _ int) [][]byte { return nil }

// LocalState returns nothing: memberlist's push-pull exchanges only carry the list of members.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state of other members; see LocalState.
func (d delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin records a member that has joined.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.f.recordMember(n, stateAlive) }

// NotifyUpdate records a member whose address or metadata has changed.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.f.recordMember(n, stateAlive) }

// NotifyLeave records a member that has left or died.
func (d delegate) NotifyLeave(n *memberlist.Node) {
	state := stateDead
	if n.State == memberlist.StateLeft {
		state = stateLeft
	}
	d.f.recordMember(n, state)
}

// NotifyConflict counts and logs that two members use the same name.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.f.drops.NameConflicts.Add(1)
	slog.Warn("fleet: a name is used twice", "name", other.Name, "at", existing.Address(), "and", other.Address())
}

// AckPayload returns the payload of an answer to a probe: the incarnation of this process and its uptime in microseconds,
// as varints.
func (d delegate) AckPayload() []byte {
	b := make([]byte, 0, 2*binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, d.f.incarnation.Load())
	return binary.AppendUvarint(b, uint64(d.f.now()/time.Microsecond))
}

// NotifyPingComplete reads the payload of an answer to a probe; see AckPayload.
func (d delegate) NotifyPingComplete(n *memberlist.Node, roundTrip time.Duration, payload []byte) {
	incarnation, rest, ok := readUvarint(payload)
	if !ok {
		return
	}
	uptime, _, ok := readUvarint(rest)
	if !ok {
		return
	}
	d.f.enqueue(peerClock{
		member:      n.Name,
		incarnation: incarnation,
		uptime:      time.Duration(uptime) * time.Microsecond,
		roundTrip:   roundTrip,
	})
}

// readUvarint reads a varint and returns the bytes after it.
func readUvarint(b []byte) (x uint64, rest []byte, ok bool) {
	x, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	return x, b[n:], true
}
