package spread

import (
	"time"
)

// Tick starts an anti-entropy exchange with a random member if one is due.
func (s *Spread) Tick(now time.Duration) []OutgoingPacket {
	s.outgoing = nil
	s.recordCall(now)
	if now < s.nextExchange {
		return nil
	}
	s.nextExchange = now + s.drawExchangeDelay()
	if len(s.otherMembers) == 0 {
		s.lastAnsweredAsk = now
		return nil
	}
	partner := s.otherMembers[s.rng.IntN(len(s.otherMembers))]
	s.askTimes[partner] = now
	s.counters.ExchangesStarted++
	s.send(now, partner, Packet{Ask: true, Summary: s.store.Summary(now), MembersHash: s.membersHash})
	return s.outgoing
}

// recordAnswer records that a member has answered an exchange.
func (s *Spread) recordAnswer(from string) {
	askedAt, ok := s.askTimes[from]
	if !ok {
		return
	}
	delete(s.askTimes, from)
	s.lastAnsweredAsk = max(s.lastAnsweredAsk, askedAt)
	s.counters.ExchangesAnswered++
}

// answerSummary sends the statements that the sender of a summary may lack. The answer to an Ask also carries this relay's summary,
// so that both stores end with the union of the statements.
func (s *Spread) answerSummary(now time.Duration, p *Packet) {
	if p.MembersHash != 0 && p.MembersHash != s.membersHash {
		s.counters.MembershipMismatches++
	}
	reply := Packet{Answer: p.Ask}
	if p.Ask {
		reply.MembersHash = s.membersHash
		reply.Summary = s.store.Summary(now)
	}
	reply.Statements = s.store.Missing(now, p.Summary)
	if p.Ask || len(reply.Statements) > 0 {
		s.send(now, p.From, reply)
	}
}
