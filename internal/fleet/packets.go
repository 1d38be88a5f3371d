package fleet

import (
	"errors"
	"log/slog"
	"time"

	"slatemux/internal/fleet/wire"
	"slatemux/internal/spread"
	"slatemux/internal/verdicts"
)

type (
	// packetReceived is a packet of another member, decrypted by memberlist.
	packetReceived []byte

	// peerClock is the incarnation and uptime of another member, as given in its answer to a probe.
	peerClock struct {
		member      string
		incarnation uint64
		uptime      time.Duration
		roundTrip   time.Duration
	}
)

// apply decodes a packet, merges its statements and sends the replies.
func (e packetReceived) apply(f *Fleet, now time.Duration, r *stepResult) {
	packet, err := wire.Decode(e)
	if err != nil {
		f.drops.countUndecodable(err)
		return
	}
	before := f.spread.Counters()
	newStatements, ownStatements, replies := f.spread.Receive(now, packet)
	after := f.spread.Counters()
	if after.UnknownSenders > before.UnknownSenders || after.MembershipMismatches > before.MembershipMismatches {
		f.requestSync()
	}
	for _, s := range ownStatements {
		f.supersede(now, s.Version)
	}
	for _, s := range newStatements {
		r.restraints = append(r.restraints, f.judge.Receive(now, s)...)
		if s.Kind == verdicts.Drain || s.Kind == verdicts.Ban {
			r.exclusionsChanged = true
		}
	}
	f.send(replies)
	if after.Received > before.Received {
		f.receiveLimitMessages(now, &packet)
		f.receiveConfiguration(now, packet.From, packet.Configuration)
	}
}

// countUndecodable counts a packet that wire.Decode rejected.
func (d *dropCounters) countUndecodable(err error) {
	if errors.Is(err, wire.ErrVersion) {
		d.OtherVersion.Add(1)
	} else {
		d.Malformed.Add(1)
	}
}

// requestSync asks the membership goroutine to compare member lists with a known member.
func (f *Fleet) requestSync() {
	select {
	case f.syncRequests <- struct{}{}:
	default:
	}
}

// apply records the clock of a member and the round-trip time of the probe.
func (e peerClock) apply(f *Fleet, now time.Duration, _ *stepResult) {
	f.spread.RecordClock(now, e.member, e.incarnation, e.uptime)
	f.recordRoundTrip(e)
}

// send encodes packets and passes them to memberlist. It sends nothing before the relay listens, and nothing to a member
// that is no longer live.
func (f *Fleet) send(packets []spread.OutgoingPacket) {
	list := f.memberList()
	if list == nil {
		return
	}
	for _, p := range packets {
		node := f.nodes[p.To]
		if node == nil {
			continue
		}
		encoded, err := wire.Append(nil, &p.Packet)
		if err == nil {
			err = list.SendBestEffort(node, encoded)
		}
		if err != nil {
			slog.Debug("fleet: packet not sent", "to", p.To, "err", err)
		}
	}
}
