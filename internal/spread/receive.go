package spread

import (
	"time"

	"slatemux/internal/verdicts"
)

// Receive takes in a packet. It merges statements into the store and returns the new ones as news, and packets to send.
// Statements of this relay's own that another process made under its name, or that it has forgotten, are returned as own.
func (s *Spread) Receive(now time.Duration, p Packet) (news, own []verdicts.Statement, out []Send) {
	s.out = nil
	s.recordCall(now)
	if p.From == s.cfg.Self || !s.IsMember(p.From) {
		s.counters.Strangers++
		return nil, nil, nil
	}
	late, fresh := s.accept(now, &p)
	if !fresh {
		s.counters.Replayed++
		s.answerOldIncarnation(now, &p)
		return nil, nil, s.out
	}
	s.counters.Received++
	if late > lateAfter {
		s.counters.Late++
	}
	if p.Known > s.incarnation {
		own = append(own, verdicts.Statement{Origin: s.cfg.Self, Version: verdicts.Version{Incarnation: p.Known}})
	}
	news, own = s.merge(now, &p, late, own)
	s.forward(now, &p, news)
	if p.Answer {
		s.recordAnswer(p.From)
	}
	if p.Ask || p.Answer {
		s.compare(now, &p)
	}
	return news, own, s.out
}

// answerOldIncarnation sends the newest known incarnation to the sender of a packet with an older one: if it is alive, its
// count of starts was lost.
func (s *Spread) answerOldIncarnation(now time.Duration, p *Packet) {
	if known := s.peers[p.From].incarnation; p.Incarnation < known {
		s.send(now, p.From, Packet{Known: known})
	}
}

// merge merges the statements of a packet that came late by so much. It returns the new ones, and own with those of this
// relay appended.
func (s *Spread) merge(now time.Duration, p *Packet, late time.Duration, own []verdicts.Statement) (news, allOwn []verdicts.Statement) {
	for _, statement := range p.News {
		statement.Age += late
		switch {
		case statement.Origin == s.cfg.Self:
			own = append(own, statement)
		case !s.IsMember(statement.Origin): // statements end with their origin's membership
			s.counters.Gone++
		case s.store.Merge(now, statement):
			news = append(news, statement)
		}
	}
	s.counters.News += int64(len(news))
	return news, own
}

// forward sends new statements to the other members of the group that the packet names.
func (s *Spread) forward(now time.Duration, p *Packet, news []verdicts.Statement) {
	if p.Groups <= 1 || len(news) == 0 {
		return
	}
	for _, m := range s.others {
		if m != p.From && groupOf(p.Salt, m, p.Groups) == p.Group {
			s.send(now, m, Packet{News: news})
		}
	}
}
