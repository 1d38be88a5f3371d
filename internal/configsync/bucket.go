package configsync

import (
	"math"
	"time"
)

// tokenBucket allows a rate with bursts: in any interval of t seconds at most capacity + rate*t is taken from it.
type tokenBucket struct {
	rate, capacity float64 // bytes a second, bytes
	tokens         float64
	filled         time.Duration
}

func newTokenBucket(now time.Duration, rate, capacity float64) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, filled: now}
}

// available returns how many bytes may be taken at once.
func (b *tokenBucket) available(now time.Duration) float64 {
	if now > b.filled {
		b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.filled).Seconds())
		b.filled = now
	}
	return b.tokens
}

// take removes bytes that are available.
func (b *tokenBucket) take(bytes int) { b.tokens -= float64(bytes) }

// readyAt is when so many bytes will be available.
func (b *tokenBucket) readyAt(bytes float64) time.Duration {
	missing := bytes - b.tokens
	if missing <= 0 {
		return b.filled
	}
	return b.filled + time.Duration(math.Ceil(missing/b.rate*float64(time.Second)))
}
