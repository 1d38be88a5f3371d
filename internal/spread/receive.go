package spread

import (
	"time"

	"slatemux/internal/verdicts"
)

// Receive takes in a packet. It merges statements into the store and returns the new ones as news, and packets to send.
// Statements of this relay's own that another process made under its name, or that it has forgotten, are returned as own.
func (s *Spread) Receive(now time.Duration, p Packet) (newStatements, ownStatements []verdicts.Statement, outgoing []Send) {
	s.outgoing = nil
	s.recordCall(now)
	if p.From == s.cfg.Self || !s.IsMember(p.From) {
		s.counters.Strangers++
		return nil, nil, nil
	}
	lateness, fresh := s.accept(now, &p)
	if !fresh {
		s.counters.Replayed++
		s.answerOldIncarnation(now, &p)
		return nil, nil, s.outgoing
	}
	s.counters.Received++
	if lateness > lateThreshold {
		s.counters.Late++
	}
	if p.Known > s.incarnation {
		ownStatements = append(ownStatements, verdicts.Statement{Origin: s.cfg.Self, Version: verdicts.Version{Incarnation: p.Known}})
	}
	newStatements, ownStatements = s.merge(now, &p, lateness, ownStatements)
	s.forward(now, &p, newStatements)
	if p.Answer {
		s.recordAnswer(p.From)
	}
	if p.Ask || p.Answer {
		s.answerSummary(now, &p)
	}
	return newStatements, ownStatements, s.outgoing
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
func (s *Spread) merge(now time.Duration, p *Packet, lateness time.Duration, ownStatements []verdicts.Statement) (newStatements, allOwnStatements []verdicts.Statement) {
	for _, statement := range p.News {
		statement.Age += lateness
		switch {
		case statement.Origin == s.cfg.Self:
			ownStatements = append(ownStatements, statement)
		case !s.IsMember(statement.Origin): // statements end with their origin's membership
			s.counters.UnknownOrigins++
		case s.store.Merge(now, statement):
			newStatements = append(newStatements, statement)
		}
	}
	s.counters.News += int64(len(newStatements))
	return newStatements, ownStatements
}

// forward sends new statements to the other members of the group that the packet names.
func (s *Spread) forward(now time.Duration, p *Packet, statements []verdicts.Statement) {
	if p.Groups <= 1 || len(statements) == 0 {
		return
	}
	for _, m := range s.otherMembers {
		if m != p.From && groupOf(p.Salt, m, p.Groups) == p.Group {
			s.send(now, m, Packet{News: statements})
		}
	}
}
