package spread

import (
	"time"
)

// Tick begins a comparison with a random member where one is due.
func (s *Spread) Tick(now time.Duration) []Send {
	s.out = nil
	s.recordCall(now)
	if now < s.nextExchange {
		return nil
	}
	s.nextExchange = now + s.exchangePause()
	if len(s.others) == 0 {
		s.lastAnswered = now
		return nil
	}
	partner := s.others[s.rng.IntN(len(s.others))]
	s.asked[partner] = now
	s.counters.Asked++
	s.send(now, partner, Packet{Ask: true, Summary: s.store.Summary(now), Members: s.membersHash})
	return s.out
}

// recordAnswer notes that a member has answered a comparison.
func (s *Spread) recordAnswer(from string) {
	askedAt, ok := s.asked[from]
	if !ok {
		return
	}
	delete(s.asked, from)
	s.lastAnswered = max(s.lastAnswered, askedAt)
	s.counters.Answered++
}

// compare answers a summary with what its sender may lack. The answer to an Ask carries our summary, so that both sides end
// with the union.
func (s *Spread) compare(now time.Duration, p *Packet) {
	if p.Members != 0 && p.Members != s.membersHash {
		s.counters.Differed++
	}
	reply := Packet{Answer: p.Ask}
	if p.Ask {
		reply.Members = s.membersHash
		reply.Summary = s.store.Summary(now)
	}
	reply.News = s.store.Missing(now, p.Summary)
	if p.Ask || len(reply.News) > 0 {
		s.send(now, p.From, reply)
	}
}
