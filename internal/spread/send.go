package spread

import (
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/configsync"
	"slatemux/internal/verdicts"
)

// SendLimitMessage sends a claim or a grant of the division of limits.
func (s *Spread) SendLimitMessage(now time.Duration, to string, claim *allowance.Claim, grant *allowance.Grant) []Send {
	s.outgoing = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Claim: claim, Grant: grant})
	}
	return s.outgoing
}

// SendConfiguration sends a message of the configuration replication.
func (s *Spread) SendConfiguration(now time.Duration, to string, message *configsync.Message) []Send {
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
	remaining := p.News
	for {
		p.Count = s.packetsSent + 1
		p.News = s.fitStatements(p, remaining)
		remaining = remaining[len(p.News):]
		if !s.charge(&p) {
			s.counters.Short++
			return
		}
		s.outgoing = append(s.outgoing, Send{To: to, Packet: p})
		if len(remaining) == 0 {
			return
		}
		p.Ask = false
		p.Answer = false
		p.Summary = verdicts.Summary{}
		p.Members = 0
	}
}

// refill adds bandwidth for the elapsed time.
func (s *Spread) refill(now time.Duration) {
	s.tokenBytes = min(s.tokenBytes+s.cfg.Bytes*(now-s.refilledAt).Seconds(), burstSeconds*s.cfg.Bytes)
	s.refilledAt = now
}

// fitStatements returns a prefix of the statements that fits into a packet. It halves the prefix until the packet is small enough, and
// keeps at least one statement.
func (s *Spread) fitStatements(p Packet, statements []verdicts.Statement) []verdicts.Statement {
	p.News = statements
	for s.cfg.Size(&p) > s.cfg.Packet && len(p.News) > 1 {
		p.News = p.News[:len(p.News)/2]
	}
	return p.News
}

// charge counts a packet and deducts its size from the bandwidth, and reports whether the packet may be sent. Claims and grants are
// exempt from the bandwidth limit: their number follows the demand. Configuration is exempt because it has its own budget.
func (s *Spread) charge(p *Packet) bool {
	size := s.cfg.Size(p)
	isUnbudgeted := p.Claim != nil || p.Grant != nil || p.Configuration != nil
	if size > s.cfg.Packet || float64(size) > s.tokenBytes && !isUnbudgeted {
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
