package spread

import (
	"time"

	"slatemux/internal/allowance"
	"slatemux/internal/configsync"
	"slatemux/internal/verdicts"
)

// SendLimitMessage sends a claim or a grant.
func (s *Spread) SendLimitMessage(now time.Duration, to string, claim *allowance.Claim, grant *allowance.Grant) []Send {
	s.out = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Claim: claim, Grant: grant})
	}
	return s.out
}

// SendConfiguration sends a message of the replication of configuration.
func (s *Spread) SendConfiguration(now time.Duration, to string, message *configsync.Message) []Send {
	s.out = nil
	if to != s.cfg.Self && s.IsMember(to) {
		s.send(now, to, Packet{Configuration: message})
	}
	return s.out
}

// send splits a packet into such as may be sent, as far as bandwidth allows. Only the first of them compares stores.
func (s *Spread) send(now time.Duration, to string, p Packet) {
	s.refill(now)
	p.From = s.cfg.Self
	p.Incarnation = s.incarnation
	p.Uptime = now
	news := p.News
	for {
		p.Count = s.packets + 1
		p.News = s.fit(p, news)
		news = news[len(p.News):]
		if !s.spend(&p) {
			s.counters.Short++
			return
		}
		s.out = append(s.out, Send{To: to, Packet: p})
		if len(news) == 0 {
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
	s.tokens = min(s.tokens+s.cfg.Bytes*(now-s.filledAt).Seconds(), burstSeconds*s.cfg.Bytes)
	s.filledAt = now
}

// fit returns the first of some statements, as many as fit into a packet, and at least one.
func (s *Spread) fit(p Packet, news []verdicts.Statement) []verdicts.Statement {
	p.News = news
	for s.cfg.Size(&p) > s.cfg.Packet && len(p.News) > 1 {
		p.News = p.News[:len(p.News)/2]
	}
	return p.News
}

// spend counts a packet, and reports whether it may be sent. Claims and grants take no bandwidth from statements: there
// are as many of them as there is demand. Nor does configuration, which has a budget of its own.
func (s *Spread) spend(p *Packet) bool {
	size := s.cfg.Size(p)
	isUnbudgeted := p.Claim != nil || p.Grant != nil || p.Configuration != nil
	if size > s.cfg.Packet || float64(size) > s.tokens && !isUnbudgeted {
		return false
	}
	if isUnbudgeted {
		s.counters.Posted++
	} else {
		s.tokens -= float64(size)
	}
	s.packets++
	s.counters.Sent++
	s.counters.SentBytes += int64(size)
	return true
}
