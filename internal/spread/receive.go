package spread

import (
	"time"

	"slatemux/internal/verdicts"
)

// Receive processes a packet. It merges the statements into the store, and returns the new ones and the packets to send. The
// result ownStatements holds all received statements under this relay's own name, which are not merged. One that this process has
// not issued shows that another process used the name, or that this relay lost its state.
func (s *Spread) Receive(now time.Duration, p Packet) (newStatements, ownStatements []verdicts.Statement, outgoing []OutgoingPacket) {
	s.outgoing = nil
	s.recordCall(now)
	if p.From == s.cfg.Self || !s.IsMember(p.From) {
		s.counters.UnknownSenders++
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
	if p.KnownIncarnation > s.incarnation {
		ownStatements = append(ownStatements, verdicts.Statement{Origin: s.cfg.Self, Version: verdicts.Version{Incarnation: p.KnownIncarnation}})
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

// answerOldIncarnation sends the newest known incarnation to the sender of a packet with an older one. If the sender is alive,
// its count of starts was lost.
func (s *Spread) answerOldIncarnation(now time.Duration, p *Packet) {
	if known := s.peers[p.From].incarnation; p.Incarnation < known {
		s.send(now, p.From, Packet{KnownIncarnation: known})
	}
}

// merge merges the statements of a packet into the store, and adds the lateness of the packet to their ages. It returns the new
// statements, and ownStatements with the packet's statements under this relay's own name appended.
func (s *Spread) merge(now time.Duration, p *Packet, lateness time.Duration, ownStatements []verdicts.Statement) (newStatements, allOwnStatements []verdicts.Statement) {
	for _, statement := range p.Statements {
		statement.Age += lateness
		switch {
		case statement.Origin == s.cfg.Self:
			ownStatements = append(ownStatements, statement)
		case !s.IsMember(statement.Origin): // statements of an origin are dropped when the origin leaves the fleet
			s.counters.UnknownOrigins++
		case s.store.Merge(now, statement):
			newStatements = append(newStatements, statement)
		}
	}
	s.counters.NewStatements += int64(len(newStatements))
	return newStatements, ownStatements
}

// forward sends new statements to the other members of the packet's group.
func (s *Spread) forward(now time.Duration, p *Packet, statements []verdicts.Statement) {
	if p.Groups <= 1 || len(statements) == 0 {
		return
	}
	for _, m := range s.otherMembers {
		if m != p.From && groupOf(p.Salt, m, p.Groups) == p.Group {
			s.send(now, m, Packet{Statements: statements})
		}
	}
}
