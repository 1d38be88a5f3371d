package servermodel

import (
	"math"
	"time"

	"slatemux/internal/lab/emulator"
)

// Limit is a partner's limit on the calls of all senders together.
type Limit interface {
	// Take reports whether a call is accepted now. For a refused call it returns the wait until the limit has room, or 0 if the limit
	// does not report waits.
	Take(now emulator.Time) (ok bool, wait time.Duration)
}

// TokenBucket is a token bucket: Rate calls a second, and up to Burst calls at once (Tanenbaum, Computer Networks, 5th ed., 5.4.2).
type TokenBucket struct {
	Rate, Burst     float64
	ReportsWait     bool // a refusal reports the wait until the next token
	ChargesRefusals bool // a refusal takes a token in advance, so that the balance can become negative
	tokens          float64
	updatedAt       emulator.Time
	started         bool
}

// Left returns the available tokens as a share of Burst.
func (b *TokenBucket) Left(now emulator.Time) float64 {
	if !b.started {
		return 1
	}
	return max(min(b.tokens+(now-b.updatedAt).Duration().Seconds()*b.Rate, b.Burst), 0) / b.Burst
}

// Take implements Limit.
func (b *TokenBucket) Take(now emulator.Time) (bool, time.Duration) {
	if !b.started {
		b.tokens, b.updatedAt, b.started = b.Burst, now, true
	}
	b.tokens = min(b.tokens+(now-b.updatedAt).Duration().Seconds()*b.Rate, b.Burst)
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := time.Duration(math.Ceil((1 - b.tokens) / b.Rate * 1e9)) // rounded up, so that a whole token is available at the end of the wait
	if b.ChargesRefusals {
		b.tokens--
	}
	if !b.ReportsWait {
		wait = 0
	}
	return false, wait
}

// Window is a fixed-window counter: at most MaxCalls calls in each window of the given Length. The first window begins at time 0.
type Window struct {
	MaxCalls int
	Length   time.Duration
	// ReportsWait makes a refusal report the wait until the next window.
	ReportsWait bool
	// ChargesRefusals makes a refused call count as well.
	ChargesRefusals bool
	index           int64
	usedCalls       int
}

// Take implements Limit.
func (w *Window) Take(now emulator.Time) (bool, time.Duration) {
	if index := int64(now) / int64(w.Length); index != w.index {
		w.index, w.usedCalls = index, 0
	}
	if w.usedCalls < w.MaxCalls {
		w.usedCalls++
		return true, 0
	}
	if w.ChargesRefusals {
		w.usedCalls++
	}
	if !w.ReportsWait {
		return false, 0
	}
	return false, time.Duration((w.index+1)*int64(w.Length) - int64(now))
}
