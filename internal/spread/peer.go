package spread

import (
	"time"
)

// peer is what is kept of a member.
type peer struct {
	incarnation   uint64
	clockOffset   time.Duration // least difference seen between our clock and its uptime
	clockOffsetAt time.Duration // when that was noted
	firstPacketAt time.Duration // when its first packet came
	highestCount  uint64        // the highest count of its packets
	receivedBits  uint64        // a bit for each packet of the window below it that came
}

// accept reports whether a packet is fresh: it has not been seen, and was not sent by an earlier process of its sender. It
// also returns how much later it came than the quickest packet of its sender.
func (s *Spread) accept(now time.Duration, p *Packet) (lateness time.Duration, fresh bool) {
	q := s.peers[p.From]
	if q == nil || p.Incarnation > q.incarnation {
		q = newPeer(now, p.Incarnation, p.Uptime)
		q.firstPacketAt = now
		s.peers[p.From] = q
	} else if p.Incarnation < q.incarnation {
		return 0, false
	}
	if !q.markReceived(p.Count) {
		return 0, false
	}
	lateness = q.recordClock(now, p.Uptime)
	if now-s.resumedAt < resumePeriod && q.firstPacketAt >= s.resumedAt {
		// There is no prompt packet to compare with: this one may have waited here while this relay was suspended.
		lateness += s.lastSuspension
	}
	return lateness, true
}

func newPeer(now time.Duration, incarnation uint64, uptime time.Duration) *peer {
	return &peer{incarnation: incarnation, clockOffset: now - uptime, clockOffsetAt: now}
}

// markReceived reports whether a packet with this count is new. Packets below the window count as seen.
func (q *peer) markReceived(count uint64) bool {
	if count > q.highestCount {
		shift := count - q.highestCount
		q.receivedBits = q.receivedBits<<shift | 1 // a shift beyond the window leaves no older bit
		q.highestCount = count
		return true
	}
	behind := q.highestCount - count
	if behind >= replayWindowPackets || q.receivedBits&(1<<behind) != 0 {
		return false
	}
	q.receivedBits |= 1 << behind
	return true
}

// recordClock notes a reading of a peer's clock, and returns how late it came.
func (q *peer) recordClock(now, uptime time.Duration) time.Duration {
	q.clockOffset += time.Duration(maxClockDriftRatio * float64(now-q.clockOffsetAt))
	q.clockOffsetAt = now
	q.clockOffset = min(q.clockOffset, now-uptime)
	return now - uptime - q.clockOffset
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
