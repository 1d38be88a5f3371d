package spread

import (
	"time"
)

// peer is what is kept of a member.
type peer struct {
	incarnation uint64
	offset      time.Duration // least difference seen between our clock and its uptime
	offsetAt    time.Duration // when that was noted
	firstPacket time.Duration // when its first packet came
	highest     uint64        // the highest count of its packets
	received    uint64        // a bit for each packet of the window below it that came
}

// accept reports whether a packet is fresh: it has not been seen, and was not sent by an earlier process of its sender. It
// also returns how much later it came than the quickest packet of its sender.
func (s *Spread) accept(now time.Duration, p *Packet) (late time.Duration, fresh bool) {
	q := s.peers[p.From]
	if q == nil || p.Incarnation > q.incarnation {
		q = newPeer(now, p.Incarnation, p.Uptime)
		q.firstPacket = now
		s.peers[p.From] = q
	} else if p.Incarnation < q.incarnation {
		return 0, false
	}
	if !q.markReceived(p.Count) {
		return 0, false
	}
	late = q.recordClock(now, p.Uptime)
	if now-s.resumedAt < resumeTime && q.firstPacket >= s.resumedAt {
		// There is no prompt packet to compare with: this one may have waited here while this relay was suspended.
		late += s.suspended
	}
	return late, true
}

func newPeer(now time.Duration, incarnation uint64, uptime time.Duration) *peer {
	return &peer{incarnation: incarnation, offset: now - uptime, offsetAt: now}
}

// markReceived reports whether a packet with this count is new. Packets below the window count as seen.
func (q *peer) markReceived(count uint64) bool {
	if count > q.highest {
		shift := count - q.highest
		q.received = q.received<<shift | 1 // a shift beyond the window leaves no older bit
		q.highest = count
		return true
	}
	behind := q.highest - count
	if behind >= replayWindow || q.received&(1<<behind) != 0 {
		return false
	}
	q.received |= 1 << behind
	return true
}

// recordClock notes a reading of a peer's clock, and returns how late it came.
func (q *peer) recordClock(now, uptime time.Duration) time.Duration {
	q.offset += time.Duration(clockDrift * float64(now-q.offsetAt))
	q.offsetAt = now
	q.offset = min(q.offset, now-uptime)
	return now - uptime - q.offset
}

// RecordClock notes a member's clock as its answer to a probe gives it.
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
