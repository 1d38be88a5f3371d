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
	// packetReceived is a packet of another member, as memberlist has decrypted it.
	packetReceived []byte

	// peerClock is the clock of another member, as its answer to a probe gives it.
	peerClock struct {
		from        string
		incarnation uint64
		uptime      time.Duration
		roundTrip   time.Duration
	}
)

func (e packetReceived) apply(f *Fleet, now time.Duration, r *stepResult) {
	packet, err := wire.Decode(e)
	if err != nil {
		f.drops.countUndecodable(err)
		return
	}
	before := f.spread.Counters()
	news, own, replies := f.spread.Receive(now, packet)
	after := f.spread.Counters()
	if after.UnknownSenders > before.UnknownSenders || after.MembershipMismatches > before.MembershipMismatches {
		f.reportUnknownMember()
	}
	for _, s := range own {
		f.supersede(now, s.Version)
	}
	for _, s := range news {
		r.restraints = append(r.restraints, f.judge.Receive(now, s)...)
		if s.Kind == verdicts.Drain || s.Kind == verdicts.Ban {
			r.barsChanged = true
		}
	}
	f.send(replies)
	if after.Received > before.Received {
		f.receiveLimitMessages(now, &packet)
		f.receiveConfiguration(now, packet.From, packet.Configuration)
	}
}

// countUndecodable counts a packet that wire.Decode refused.
func (d *drops) countUndecodable(err error) {
	if errors.Is(err, wire.ErrVersion) {
		d.Version.Add(1)
	} else {
		d.Form.Add(1)
	}
}

// reportUnknownMember asks the membership goroutine to synchronise with a known member.
func (f *Fleet) reportUnknownMember() {
	select {
	case f.unknownMember <- struct{}{}:
	default:
	}
}

func (e peerClock) apply(f *Fleet, now time.Duration, _ *stepResult) {
	f.spread.RecordClock(now, e.from, e.incarnation, e.uptime)
	f.recordRoundTrip(e)
}

// send encodes packets and hands them to memberlist. Before the relay listens, and to nodes that are gone, nothing is
// sent.
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
