// This file decides which connection a call uses, and handles the ends of openings and calls.

package conns

import (
	"math"
	"time"
)

// Verdict says how a call gets a connection.
type Verdict int

// The verdicts.
const (
	Use  Verdict = iota // the idle connection with the returned ID
	Open                // a new connection, which the caller opens now under the returned ID
	Wait                // no connection may be opened: the call waits for one that becomes idle, or gives up after some time
)

// Call decides which connection a call to an endpoint uses. It also returns the connections that the caller has to close, to make room
// for the call or because they are no longer usable.
func (p *Pool) Call(now time.Duration, name string) (v Verdict, id ID, evict []Eviction) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return Wait, 0, nil
	}
	e.arrivals++
	return p.RetryCall(now, name)
}

// RetryCall repeats the decision for a call that waited, or whose connection turned out to be closed.
func (p *Pool) RetryCall(now time.Duration, name string) (v Verdict, id ID, evict []Eviction) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return Wait, 0, nil
	}
	c, evict := p.bestIdle(e)
	if c != nil {
		p.startCall(c)
		return Use, c.id, evict
	}
	var forRoom []Eviction
	hasRoom := !e.atConnLimit(p.clock)
	if hasRoom {
		forRoom, hasRoom = p.makeRoom(e)
	}
	if !hasRoom {
		forRoom, hasRoom = p.replaceResting(e)
	}
	if evict = append(evict, forRoom...); !hasRoom {
		p.counters.Waited++
		return Wait, 0, evict
	}
	c = p.openConn(e)
	return Open, c.id, evict
}

// UseIdle assigns a call whose connection is still being opened to an idle connection. It returns false if none is usable.
func (p *Pool) UseIdle(now time.Duration, name string) (id ID, evict []Eviction, ok bool) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls {
		return 0, nil, false
	}
	c, evict := p.bestIdle(e)
	if c == nil {
		return 0, evict, false
	}
	p.startCall(c)
	return c.id, evict, true
}

// OpenSpare allows a second opening beside one that takes long. It returns false if there is no room without an eviction.
func (p *Pool) OpenSpare(now time.Duration, name string) (ID, bool) {
	p.advanceClock(now)
	e := p.endpoints[name]
	if e == nil || !e.acceptsCalls || e.atConnLimit(p.clock) || len(p.conns) >= p.cfg.MaxConns {
		return 0, false
	}
	p.counters.Spare++
	return p.openConn(e).id, true
}

// ReturnUnused takes back a connection that did not carry its call after all. The connection is idle again, with its earlier idle time.
// If the connection must be closed instead, ReturnUnused returns false and the reason.
func (p *Pool) ReturnUnused(now time.Duration, id ID) (idle bool, reason Reason) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return false, ReasonServerClosed
	}
	p.undoCall(c)
	switch {
	case !c.owner.acceptsCalls:
		reason = ReasonDraining
	case p.keepNoIdle:
		reason = ReasonPressure
	default:
		c.owner.busyCount--
		c.owner.addIdle(c, p.clock-c.idleBeforeCall)
		return true, 0
	}
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	p.remove(c)
	return false, reason
}

// ClosedBeforeUse reports that the server had closed a connection before the first byte of its call was sent. No call failed, so this
// counts as a visible closing.
func (p *Pool) ClosedBeforeUse(now time.Duration, id ID) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return
	}
	p.undoCall(c)
	p.recordClosing(c, c.idleBeforeCall)
	p.remove(c)
}

// undoCall removes a call that was not made from the counts.
func (p *Pool) undoCall(c *conn) {
	p.counters.Calls--
	p.recentCalls = max(p.recentCalls-1, 0)
	if c.idleBeforeCall > 0 {
		p.counters.Reused--
	}
	if c.isTrial {
		c.isTrial, c.owner.trialRunning = false, false
	}
}

// OpeningCanceled reports that the opening of a connection was canceled.
func (p *Pool) OpeningCanceled(now time.Duration, id ID) {
	p.advanceClock(now)
	if c := p.conns[id]; c != nil && c.state == stateOpening {
		p.counters.Canceled++
		p.remove(c)
	}
}

// Claim assigns a waiting call to a connection that has just become idle. It returns false if the connection is not idle or has to rest.
func (p *Pool) Claim(now time.Duration, id ID) bool {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateIdle || p.isResting(c) {
		return false
	}
	p.startCall(c)
	return true
}

// startCall assigns a call to an idle connection.
func (p *Pool) startCall(c *conn) {
	c.owner.removeIdle(c)
	c.idleBeforeCall = max(p.clock-c.idleSince, 1)
	c.state = stateBusy
	c.owner.busyCount++
	c.owner.peakBusy = max(c.owner.peakBusy, float64(c.owner.busyCount))
	p.counters.Calls++
	p.counters.Reused++
	p.recentCalls++
}

// openConn adds a connection that is being opened.
func (p *Pool) openConn(e *endpoint) *conn {
	p.lastID++
	c := &conn{id: p.lastID, owner: e}
	if p.cfg.MaxAge > 0 { // the maximum age varies by a quarter either way, so that connections opened together do not close together
		c.expiresAt = p.clock + time.Duration(float64(p.cfg.MaxAge)*(0.75+p.rng.Float64()/2))
	}
	p.conns[c.id], e.conns[c.id] = c, c
	p.counters.Opened++
	return c
}

// atConnLimit reports whether the server seems to accept no more connections. After connLimitPeriod it allows one more as a trial.
func (e *endpoint) atConnLimit(now time.Duration) bool {
	if e.connLimit > 0 && now-e.connLimitAt > connLimitPeriod {
		e.connLimit, e.connLimitAt = e.connLimit+1, now
	}
	return e.connLimit > 0 && len(e.conns) >= e.connLimit
}

// makeRoom makes room for one more connection within the limit of the pool. It evicts an idle connection of the endpoint with the most
// connections beyond the number that it needs, or beyond its fair share if that is less. An endpoint at or beyond its fair share takes
// nothing from an endpoint without such an excess.
func (p *Pool) makeRoom(e *endpoint) (evict []Eviction, ok bool) {
	if len(p.conns) < p.cfg.MaxConns {
		return nil, true
	}
	fair := float64(p.cfg.MaxConns) / float64(max(len(p.endpoints), 1))
	var worst *conn
	largestExcess := math.Inf(-1)
	for _, o := range p.endpoints {
		if o == e || len(o.idleConns) == 0 {
			continue
		}
		c := o.idleConns[0]
		excess := float64(len(o.conns)) - max(min(p.targetConns(o), fair), 0)
		if excess > largestExcess || excess == largestExcess &&
			(c.idleSince < worst.idleSince || c.idleSince == worst.idleSince && c.id < worst.id) {
			worst, largestExcess = c, excess
		}
	}
	if worst == nil || largestExcess <= 0 && float64(len(e.conns)) >= fair {
		return nil, false
	}
	return []Eviction{p.evict(worst, ReasonRoom)}, true
}

// Opened reports that a connection is established. If a call waits for the connection, that call starts now; otherwise the connection
// becomes idle.
func (p *Pool) Opened(now time.Duration, id ID, callWaits bool) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateOpening {
		return
	}
	e := c.owner
	e.lastOpenedAt, e.openFailures = p.clock, e.openFailures/2
	if !callWaits {
		e.addIdle(c, p.clock)
		return
	}
	c.state = stateBusy
	e.busyCount++
	e.peakBusy = max(e.peakBusy, float64(e.busyCount))
	p.counters.Calls++
	p.recentCalls++
}

// OpeningFailed reports that a connection could not be established; refused says that the server refused or reset it. If other
// connections to the endpoint are open and one was opened recently, the server may accept no more.
func (p *Pool) OpeningFailed(now time.Duration, id ID, refused bool) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil {
		return
	}
	e := c.owner
	p.counters.OpenFailures++
	p.remove(c)
	if !refused || !p.noteRefusal(e) {
		e.openFailures++
	}
	wait := min(float64(p.cfg.MinBackoff)*math.Exp2(float64(min(max(e.openFailures-1, 0), 30))), float64(p.cfg.MaxBackoff))
	e.preconnectRetryAt = p.clock + time.Duration(wait*(0.5+p.rng.Float64()/2))
}

// noteRefusal records that a server refused a connection while others are open and one was opened recently: the server may accept no
// more. A connection that breaks during its first call also counts. noteRefusal returns false if the server seems to be down.
func (p *Pool) noteRefusal(e *endpoint) bool {
	openCount := 0
	for _, o := range e.conns {
		if o.state != stateOpening {
			openCount++
		}
	}
	if openCount == 0 || p.clock-e.lastOpenedAt >= connLimitPeriod {
		return false
	}
	if e.consecutiveRefusals++; e.consecutiveRefusals >= refusalsForConnLimit {
		e.connLimit, e.connLimitAt = openCount, p.clock
	}
	return true
}

// CallEnd says how a call on a connection ended.
type CallEnd int

// The ends.
const (
	Answered           CallEnd = iota // answered, and the connection may carry another call
	AnsweredLast                      // answered, and the server closes the connection
	Aborted                           // aborted by the relay, or the answer was malformed
	BrokenBeforeAnswer                // the connection broke before the first byte of the answer
	BrokenDuringAnswer                // the connection broke after the first byte of the answer
)

// CallEnded reports the end of a call. It returns whether the connection becomes idle, and if not, the reason to close it.
func (p *Pool) CallEnded(now time.Duration, id ID, end CallEnd, duration time.Duration) (idle bool, reason Reason) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil || c.state != stateBusy {
		return false, ReasonServerClosed
	}
	e := c.owner
	c.calls++
	if end == Answered && c.calls > max(e.lastClosingUses, e.maxUses) { // the connection continues beyond the assumed limit
		e.sameUsesCount = 0
		if e.maxUses > 0 {
			e.maxUses, e.sameUsesNeeded = 0, min(max(e.sameUsesNeeded, minSameUses)*4, maxSameUses)
		}
	}
	p.recordIdleOutcome(c, end)
	if end == Answered && c.calls == 1 {
		e.consecutiveRefusals = 0
	}
	if end == Answered || end == AnsweredLast {
		e.recordServiceTime(duration.Seconds())
	}
	if c.isTrial {
		c.isTrial, e.trialRunning = false, false
	}
	reason = ReasonServerClosed
	switch {
	case end != Answered:
	case !e.acceptsCalls:
		reason = ReasonDraining
	case c.expiresAt > 0 && p.clock >= c.expiresAt:
		reason = ReasonAge
	case e.maxUses > 0 && c.calls >= e.maxUses && c.id%connsPerUsesTrial != 0:
		reason = ReasonUses
	case p.singleCall(e):
		reason = ReasonUnsolicited
	case len(p.conns) > p.cfg.MaxConns:
		reason = ReasonRoom
	case p.keepNoIdle:
		reason = ReasonPressure
	default:
		e.busyCount--
		e.addIdle(c, p.clock)
		return true, 0
	}
	if end == AnsweredLast {
		p.recordClosingUses(e, c.calls)
	}
	p.counters.Evicted[reason]++
	c.owner.evicted[reason]++
	p.remove(c)
	if end == BrokenBeforeAnswer && c.idleBeforeCall == 0 {
		p.noteRefusal(e)
	}
	return false, reason
}

// Closed reports that the server closed an idle connection, or a connection that was opening and never carried a call.
func (p *Pool) Closed(now time.Duration, id ID) {
	p.advanceClock(now)
	c := p.conns[id]
	if c == nil {
		return
	}
	if c.state == stateIdle {
		p.recordClosing(c, p.clock-c.idleSince)
	} else {
		p.counters.Closed++
	}
	p.remove(c)
}
