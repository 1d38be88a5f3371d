package front

import "time"

// usage ranks connections by what they have sent.
type usage int

const (
	noCommand   usage = iota // no complete command yet
	commandSeen              // a command, but no submission
	submissionSeen
)

// evictionRank orders connections for eviction: the least useful first.
type evictionRank struct {
	usage        usage
	lastReceived time.Time
}

// before reports whether a connection of this rank is evicted before one of the other rank.
func (r evictionRank) before(other evictionRank) bool {
	return r.usage < other.usage || r.usage == other.usage && r.lastReceived.Before(other.lastReceived)
}

// maxEvictionWait bounds how long a new connection waits for the close of the connection that makes room for it. The evicted
// connection is idle and its reading goroutine has nothing else to do, so the close is quick.
const maxEvictionWait = 50 * time.Millisecond

// add registers a connection if there is room or an idle connection can be evicted. It returns false otherwise.
func (s *Server) add(c *client) bool {
	for {
		s.mu.Lock()
		full := len(s.conns) >= s.limits.MaxConns
		var victim *client
		if full || len(s.conns) >= s.limits.MaxUsedConns {
			candidate, usedCandidate, usedCount := s.evictionCandidates()
			if victim = usedCandidate; full {
				victim = candidate
			} else if usedCount < s.limits.MaxUsedConns {
				victim = nil
			}
		}
		if !full {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if victim != nil {
			victim.requestEnd(func() bool { return !victim.answerPending })
			s.evicted.Add(1)
		}
		if !full {
			return true
		} else if victim == nil {
			return false
		}
		// Wait for the close, so that the number of file descriptors stays within the limit. If a command has just arrived on the
		// victim, the next pass may choose another one.
		select {
		case <-victim.removed:
		case <-time.After(maxEvictionWait):
		}
	}
}

// evictionCandidates finds the connections to close first to make room. The order is: no command received, then no submission
// received, then longest idle. A flood of connections that send nothing or only PING thus evicts itself and not the clients in use.
// candidate is the first in this order, usedCandidate the first that has sent a command, and usedCount the number of connections
// that have sent one. The caller holds the lock.
func (s *Server) evictionCandidates() (candidate, usedCandidate *client, usedCount int) {
	for c := range s.conns {
		c.mu.Lock()
		c.rank = evictionRank{c.usage, c.lastReceived}
		evictable := !c.answerPending && !c.endRequested && !c.readPaused && (c.usage == noCommand || c.commandStart.IsZero())
		ending := c.endRequested
		c.mu.Unlock()
		if c.rank.usage > noCommand && !ending {
			usedCount++
		}
		if evictable && (candidate == nil || c.rank.before(candidate.rank)) {
			candidate = c
		}
		if evictable && c.rank.usage > noCommand && (usedCandidate == nil || c.rank.before(usedCandidate.rank)) {
			usedCandidate = c
		}
	}
	return candidate, usedCandidate, usedCount
}
