package conns

import "time"

// An HTTP/1.1 answer does not name its request. Bytes that a server writes without a request, such as a second copy of an answer, are
// recognized only while no call is on the connection. A call that is on the connection when they arrive would take them for its answer.
// Therefore a connection rests between two calls, and a server that wrote unsolicited bytes gets one call per connection.

// unsolicitedEndpoints is the number of endpoints with unsolicited bytes within Config.SingleCallPeriod from which on connections to all
// endpoints carry a single call: the bytes then come from something that the endpoints have in common.
const unsolicitedEndpoints = 2

// isResting reports whether an idle connection has not rested for long enough since its last call.
func (p *Pool) isResting(c *conn) bool {
	return c.calls > 0 && p.clock-c.idleSince < p.cfg.MinRest
}

// singleCall reports whether connections to the endpoint carry a single call.
func (p *Pool) singleCall(e *endpoint) bool {
	return p.cfg.SingleCall || p.clock < e.singleCallUntil || p.clock < p.singleCallUntil
}

// Unsolicited reports that the server wrote bytes that no call was waiting for, on a connection that has carried a call. For
// Config.SingleCallPeriod from then on, connections to the endpoint carry a single call.
func (p *Pool) Unsolicited(now time.Duration, id ID) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || p.cfg.SingleCallPeriod <= 0 {
		return
	}
	c.owner.singleCallUntil = p.clock + p.cfg.SingleCallPeriod
	affected := 0
	for _, e := range p.endpoints {
		if p.clock < e.singleCallUntil {
			affected++
		}
	}
	if affected >= unsolicitedEndpoints {
		p.singleCallUntil = p.clock + p.cfg.SingleCallPeriod
	}
}

// replaceResting evicts the longest resting connection of an endpoint that has no room for another one. It returns false if none rests.
func (p *Pool) replaceResting(e *endpoint) (evict []Eviction, ok bool) {
	for _, c := range e.idleConns {
		if p.isResting(c) {
			return []Eviction{p.evict(c, ReasonResting)}, true
		}
	}
	return nil, false
}
