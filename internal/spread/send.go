package spread

import (
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/configsync"
	"slatemux/internal/verdicts"
)

// SendLimitMessage sends a claim or a grant of the division of limits.
func (s *Spread) SendLimitMessage(now time.Duration, to string, claim *allowance.Claim, grant *allowance.Grant) []OutgoingPacket {
	s.outgoing = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Claim: claim, Grant: grant})
	}
	return s.outgoing
}

// SendConfiguration sends a message of the configuration replication.
func (s *Spread) SendConfiguration(now time.Duration, to string, message *configsync.Message) []OutgoingPacket {
	s.outgoing = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Configuration: message})
	}
	return s.outgoing
}

// send splits a packet into packets of the permitted size, and sends as many as the bandwidth allows. Only the first carries the
// fields of the anti-entropy exchange.
func (s *Spread) send(now time.Duration, to string, p Packet) {
	s.refill(now)
	p.From = s.cfg.Self
	p.Incarnation = s.incarnation
	p.Uptime = now
	remaining := p.Statements
	for {
		p.Sequence = s.packetsSent + 1
		p.Statements = s.fitStatements(p, remaining)
		remaining = remaining[len(p.Statements):]
		if !s.charge(&p) {
			s.counters.Unsent++
			return
		}
		s.outgoing = append(s.outgoing, OutgoingPacket{To: to, Packet: p})
		if len(remaining) == 0 {
			return
		}
		p.Ask = false
		p.Answer = false
		p.Summary = verdicts.Summary{}
		p.MembersHash = 0
	}
}

// refill adds bandwidth for the elapsed time.
func (s *Spread) refill(now time.Duration) {
	s.tokenBytes = min(s.tokenBytes+s.cfg.BytesPerSecond*(now-s.refilledAt).Seconds(), burstSeconds*s.cfg.BytesPerSecond)
	s.refilledAt = now
}

// fitStatements returns a prefix of the statements that fits into a packet. It halves the prefix until the packet is small enough, and
// keeps at least one statement.
func (s *Spread) fitStatements(p Packet, statements []verdicts.Statement) []verdicts.Statement {
	p.Statements = statements
	for s.cfg.PacketBytes(&p) > s.cfg.MaxPacketBytes && len(p.Statements) > 1 {
		p.Statements = p.Statements[:len(p.Statements)/2]
	}
	return p.Statements
}

// charge counts a packet and deducts its size from the bandwidth, and reports whether the packet may be sent. Claims and grants are
// exempt from the bandwidth limit: their number follows the demand. Configuration is exempt because it has its own budget.
func (s *Spread) charge(p *Packet) bool {
	size := s.cfg.PacketBytes(p)
	isUnbudgeted := p.Claim != nil || p.Grant != nil || p.Configuration != nil
	if size > s.cfg.MaxPacketBytes || float64(size) > s.tokenBytes && !isUnbudgeted {
		return false
	}
	if isUnbudgeted {
		s.counters.SentUnbudgeted++
	} else {
		s.tokenBytes -= float64(size)
	}
	s.packetsSent++
	s.counters.Sent++
	s.counters.SentBytes += int64(size)
	return true
}
