package spread

import (
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/configsync"
	"slatemux/internal/verdicts"
)

// SendLimitMessage sends a claim or a grant.
func (s *Spread) SendLimitMessage(now time.Duration, to string, claim *allowance.Claim, grant *allowance.Grant) []Send {
	s.outgoing = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Claim: claim, Grant: grant})
	}
	return s.outgoing
}

// SendConfiguration sends a message of the replication of configuration.
func (s *Spread) SendConfiguration(now time.Duration, to string, message *configsync.Message) []Send {
	s.outgoing = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Configuration: message})
	}
	return s.outgoing
}

// send splits a packet into such as may be sent, as far as bandwidth allows. Only the first of them compares stores.
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

// refill adds bandwidth for the time that has passed.
func (s *Spread) refill(now time.Duration) {
	s.tokenBytes = min(s.tokenBytes+s.cfg.Bytes*(now-s.refilledAt).Seconds(), burstSeconds*s.cfg.Bytes)
	s.refilledAt = now
}

// fitStatements returns the first of some statements, as many as fit into a packet, and at least one.
func (s *Spread) fitStatements(p Packet, statements []verdicts.Statement) []verdicts.Statement {
	p.News = statements
	for s.cfg.Size(&p) > s.cfg.Packet && len(p.News) > 1 {
		p.News = p.News[:len(p.News)/2]
	}
	return p.News
}

// charge counts a packet, and reports whether it may be sent. Claims and grants take no bandwidth from statements: there
// are as many of them as there is demand. Nor does configuration, which has a budget of its own.
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
