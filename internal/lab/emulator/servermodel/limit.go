package servermodel

import (
	"math"
	"time"

	"slatemux/internal/lab/emulator"
)

// Limit is a partner's limit of calls from all senders together. A call that it turns away is told a wait
// where Tells says so; where Draws is set, a refused call uses up the limit too.
type Limit interface {
	// Take says whether a call at now is let in, and if not, how long until there is room (0: not told).
	Take(now emulator.Time) (ok bool, wait time.Duration)
}

// Bucket is a token bucket: Rate calls a second, Burst at once (Tanenbaum, Computer Networks, 5th ed., 5.4.2).
type Bucket struct {
	Rate, Burst float64
	Tells       bool // a refusal says when the next token comes
	Draws       bool // a refusal takes a token too, where there is one to take later: the balance goes below nought
	tokens      float64
	at          emulator.Time
	started     bool
}

// Left is the share of the burst that is there.
func (b *Bucket) Left(now emulator.Time) float64 {
	if !b.started {
		return 1
	}
	return max(min(b.tokens+(now-b.at).Duration().Seconds()*b.Rate, b.Burst), 0) / b.Burst
}

// Take implements Limit.
func (b *Bucket) Take(now emulator.Time) (bool, time.Duration) {
	if !b.started {
		b.tokens, b.at, b.started = b.Burst, now, true
	}
	b.tokens = min(b.tokens+(now-b.at).Duration().Seconds()*b.Rate, b.Burst)
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := time.Duration(math.Ceil((1 - b.tokens) / b.Rate * 1e9)) // up: at its end the token is whole
	if b.Draws {
		b.tokens--
	}
	if !b.Tells {
		wait = 0
	}
	return false, wait
}

// Window counts calls in fixed spans: at most Most in each Span, counted from time 0.
type Window struct {
	Most  int
	Span  time.Duration
	Tells bool
	Draws bool
	span  int64
	used  int
}

// Take implements Limit.
func (w *Window) Take(now emulator.Time) (bool, time.Duration) {
	if s := int64(now) / int64(w.Span); s != w.span {
		w.span, w.used = s, 0
	}
	if w.used < w.Most {
		w.used++
		return true, 0
	}
	if w.Draws {
		w.used++
	}
	if !w.Tells {
		return false, 0
	}
	return false, time.Duration((w.span+1)*int64(w.Span) - int64(now))
}
