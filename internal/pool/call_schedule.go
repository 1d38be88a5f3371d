package pool

import (
	"math/rand/v2"
	"time"
)

// DiscoveryConfig holds the settings of discovery.
type DiscoveryConfig struct {
	// Pushed means that lists are pushed to an agent on this machine, which answers at once, at no cost, with what it has. The relay
	// counts as notified of everything that the agent has, whether it asked or not. Otherwise all relays poll one central service,
	// which processes their calls in turn.
	Pushed        bool
	Peers         int           // number of relays, this one included
	DrainGrace    time.Duration // grace period: how long after notification of a drain new calls to the member are still allowed
	NotifiedAfter time.Duration // polling: time without a call after which the relay counts as notified of what was listed; 0 if not set
}

// CallSchedule decides when a relay calls discovery for the list. It reads no clock.
//
// With polling, all relays of a fleet see the same events, and discovery is sized for the calls of a few. A release, a mass restart
// or an overload of discovery makes all relays call at the same moment, and calls that discovery cannot answer in time cost it as
// much as the others. So calls that no recent answer caused are spread. The first calls are spread over the time that discovery
// needs for the whole fleet. Retries are spread over a span that doubles with each failure in a row. Each delay is drawn again at
// random, so that two relays that failed together do not retry together.
//
// With pushed lists, the agent serves this relay alone, and a relay that does not ask still counts as notified of what the agent
// has. So nothing is spread over more than part of the grace period.
//
// In both modes, a relay counts as notified of a change maxNotifyDelay after discovery had it and was reachable, whatever happened
// to earlier calls. The constants below are chosen so that on each path the sum of three times stays below that: the rest of a call
// that brings nothing, the pause after it, and the call that brings the change.
type CallSchedule struct {
	config      DiscoveryConfig
	startSpread time.Duration // first calls of the fleet are spread over this time
	failures    int           // number in a row
	rng         *rand.Rand
}

const (
	// callInterval is the assumed interval between calls that polled discovery can answer: twenty calls a second for the whole
	// fleet. Its cost is that a starting relay relies on the known list for the spread.
	callInterval = 50 * time.Millisecond
	// maxNotifyDelay is the time after which a relay counts as notified of a change that discovery has, once discovery is reachable.
	maxNotifyDelay = 6 * time.Second
	// maxStartSpread bounds the spread of first calls, whatever the size of the fleet.
	maxStartSpread = 4 * time.Second
	// minRetrySpan and maxFirstRetrySpan bound the span of the delay after a first failure.
	minRetrySpan      = 100 * time.Millisecond
	maxFirstRetrySpan = time.Second
	// maxMoveSpread bounds the spread after a move of discovery. The relay soon counts as notified of what the new address has.
	maxMoveSpread = 500 * time.Millisecond
	// watchHold is how long a watch may wait for changes. A silent watch is detected answerTimeout after that.
	watchHold = 3 * time.Second
	// answerTimeout bounds the wait for the first byte of an answer in polling mode, beyond the hold of the call. After two failures in
	// a row, a call that asks for an answer at once gets twice this time, since discovery may be slow and not down.
	answerTimeout = 700 * time.Millisecond
	// transferTimeout bounds the time from the first byte of an answer to its last.
	transferTimeout = 500 * time.Millisecond
	// maxSilentRetrySpan bounds the delay after a watch that brought nothing. Watches began at different times, so their ends are spread.
	maxSilentRetrySpan = 250 * time.Millisecond
	// maxRetrySpan bounds the delay after any number of failures.
	maxRetrySpan  = maxNotifyDelay - 2*(2*answerTimeout+transferTimeout)
	answeredRetry = answerTimeout + transferTimeout // longest duration of a call that is answered after at most one failure
	// The timeout of an agent's answer and the delay after a failure are parts of the grace period within these bounds, so that a
	// few calls fit into the grace period of any deployment.
	maxAgentWait        = 500 * time.Millisecond
	minAgentWait        = 20 * time.Millisecond
	agentTimeoutDivisor = 4
	agentRetryDivisor   = 8
)

// The worst sum of each path. If a second call fails as well, or the first call of a start, the known list expires in time
// (MaxUnconfirmed). A negative constant here does not compile.
const (
	// A watch that becomes silent.
	_ = uint64(maxNotifyDelay - (watchHold + answerTimeout + transferTimeout + maxSilentRetrySpan + answeredRetry))
	// A start.
	_ = uint64(maxNotifyDelay - (maxStartSpread + answeredRetry))
	// A move of discovery.
	_ = uint64(maxNotifyDelay - (maxMoveSpread + answerTimeout + transferTimeout + maxFirstRetrySpan + answeredRetry))
	// One failure after many others.
	_ = uint64(maxNotifyDelay - (2*answerTimeout + transferTimeout + maxRetrySpan + 2*answerTimeout + transferTimeout))
	// A silent watch at an agent.
	_ = uint64(maxNotifyDelay - (watchHold + maxAgentWait + transferTimeout + maxAgentWait + maxAgentWait + transferTimeout))
)

// NewCallSchedule returns the call schedule of one relay. Each relay needs its own seed.
func NewCallSchedule(config DiscoveryConfig, seed int64) *CallSchedule {
	startSpread := min(time.Duration(min(max(config.Peers, 1), 1000)-1)*callInterval, maxStartSpread)
	if config.NotifiedAfter > 0 { // otherwise the relay counts as notified of everything listed at its start before it has called
		startSpread = min(startSpread, config.NotifiedAfter/2)
	}
	return &CallSchedule{config: config, startSpread: startSpread, rng: rand.New(rand.NewPCG(uint64(seed), 5))}
}

// StartDelay returns the delay before the first call.
func (s *CallSchedule) StartDelay() time.Duration {
	if s.config.Pushed {
		return 0
	}
	return s.randomUpTo(s.startSpread)
}

// MoveDelay returns the delay before the first call after discovery has moved to another address.
func (s *CallSchedule) MoveDelay() time.Duration {
	s.failures = 0
	if s.config.Pushed {
		return 0
	}
	return s.randomUpTo(min(s.startSpread, maxMoveSpread))
}

// Answered records that a call was answered.
func (s *CallSchedule) Answered() { s.failures = 0 }

// RetryDelay records that a call failed and returns the delay before the next call. It is a random value in the upper half of the
// span, so that calls never follow each other at once. After a watch, most of the time for a retry is already used, so its first
// span is shorter.
func (s *CallSchedule) RetryDelay(watch bool) time.Duration {
	firstSpan, maxSpan := min(max(s.startSpread, minRetrySpan), maxFirstRetrySpan), maxRetrySpan
	if s.config.Pushed {
		firstSpan, maxSpan = minAgentWait, max(min(s.config.DrainGrace/agentRetryDivisor, maxAgentWait), minAgentWait)
	} else if watch && s.failures == 0 {
		firstSpan = min(firstSpan, maxSilentRetrySpan)
	}
	span := min(firstSpan<<min(s.failures, 16), maxSpan)
	s.failures++
	return span/2 + s.randomUpTo(span/2)
}

// WatchTimeouts returns how long a watch may wait for changes, and how long after that its answer times out. The first watch of a
// start, which has no check before it, ends before the known list expires.
func (s *CallSchedule) WatchTimeouts(first bool) (hold, timeout time.Duration) {
	switch {
	case s.config.Pushed:
		return watchHold, s.agentTimeout()
	case first:
		return min(watchHold, maxNotifyDelay-s.startSpread), answerTimeout
	}
	return watchHold, answerTimeout
}

// NeedsCheck reports whether a relay makes a check before it begins a watch. Without a check, nobody knows whether the list is fresh
// or discovery is reachable. At a start with polling there is none, since discovery has to answer the whole fleet.
func (s *CallSchedule) NeedsCheck() bool { return s.config.Pushed || s.failures > 0 }

// CheckTimeout returns the timeout of a call that asks for an answer at once. It doubles after two failures in a row, since discovery
// may be slow and not down.
func (s *CallSchedule) CheckTimeout() (timeout time.Duration) {
	if s.config.Pushed {
		return s.agentTimeout()
	}
	return answerTimeout << min(s.failures/2, 1)
}

// agentTimeout returns the timeout of an answer of the agent: a part of the grace period within bounds. It doubles after two failures in
// a row, since an agent may be slow and not down.
func (s *CallSchedule) agentTimeout() time.Duration {
	timeout := min(s.config.DrainGrace/agentTimeoutDivisor, maxAgentWait)
	return max(min(timeout<<min(s.failures/2, 1), 2*maxAgentWait), minAgentWait)
}

// MaxUnconfirmed returns how long a list may be used that is not known to be fresh: since the start of the process, and since it was
// last known to be fresh. The relay counts as notified of what an agent has from the first moment on. The rest of the grace period
// is for flows in progress.
func (s *CallSchedule) MaxUnconfirmed() (start, later time.Duration) {
	later = maxNotifyDelay + s.config.DrainGrace*3/4
	if s.config.Pushed {
		return s.config.DrainGrace * 3 / 4, later
	}
	return later, later
}

// randomUpTo returns a random duration from 0 up to span.
func (s *CallSchedule) randomUpTo(span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(span)))
}
