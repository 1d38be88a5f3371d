package spread

import (
	"time"
)

// peer is the record of another member.
type peer struct {
	incarnation   uint64
	clockOffset   time.Duration // smallest difference seen between this relay's clock and the peer's uptime
	clockOffsetAt time.Duration // when the difference was recorded
	firstPacketAt time.Duration // when the first packet of the incarnation arrived
	highestCount  uint64        // highest packet count received
	receivedBits  uint64        // one bit per packet received in the replay window, from highestCount downward
}

// accept reports whether a packet is fresh. A packet is not fresh if it was received before or was sent by an earlier process of its
// sender. The lateness is the packet's extra delay compared with the fastest packet of its sender.
func (s *Spread) accept(now time.Duration, p *Packet) (lateness time.Duration, fresh bool) {
	q := s.peers[p.From]
	if q == nil || p.Incarnation > q.incarnation {
		q = newPeer(now, p.Incarnation, p.Uptime)
		q.firstPacketAt = now
		s.peers[p.From] = q
	} else if p.Incarnation < q.incarnation {
		return 0, false
	}
	if !q.markReceived(p.Sequence) {
		return 0, false
	}
	lateness = q.recordClock(now, p.Uptime)
	if now-s.resumedAt < resumePeriod && q.firstPacketAt >= s.resumedAt {
		// No packet from before the suspension is known, so all packets that this one is compared with may have waited as well.
		lateness += s.lastSuspension
	}
	return lateness, true
}

// newPeer returns a record with a first reading of the peer's clock.
func newPeer(now time.Duration, incarnation uint64, uptime time.Duration) *peer {
	return &peer{incarnation: incarnation, clockOffset: now - uptime, clockOffsetAt: now}
}

// markReceived reports whether the packet with a count is new, and marks it as received. Packets below the window count as
// received.
func (p *peer) markReceived(count uint64) bool {
	if count > p.highestCount {
		shift := count - p.highestCount
		p.receivedBits = p.receivedBits<<shift | 1 // a shift beyond the window leaves no older bit
		p.highestCount = count
		return true
	}
	behind := p.highestCount - count
	if behind >= replayWindowPackets || p.receivedBits&(1<<behind) != 0 {
		return false
	}
	p.receivedBits |= 1 << behind
	return true
}

// recordClock records a reading of the peer's clock, and returns how late the reading arrived.
func (p *peer) recordClock(now, uptime time.Duration) time.Duration {
	p.clockOffset += time.Duration(maxClockDriftRatio * float64(now-p.clockOffsetAt))
	p.clockOffsetAt = now
	p.clockOffset = min(p.clockOffset, now-uptime)
	return now - uptime - p.clockOffset
}

// RecordClock records a member's clock as reported in the member's answer to a probe.
func (s *Spread) RecordClock(now time.Duration, from string, incarnation uint64, uptime time.Duration) {
	q := s.peers[from]
	if q != nil && q.incarnation == incarnation {
		q.recordClock(now, uptime)
		return
	}
	if s.IsMember(from) && (q == nil || incarnation > q.incarnation) {
		s.peers[from] = newPeer(now, incarnation, uptime)
	}
}
