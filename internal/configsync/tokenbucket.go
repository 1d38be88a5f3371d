package configsync

import (
	"math"
	"time"
)

// tokenBucket limits a byte rate and allows bursts: in any interval of t seconds, at most capacityBytes + bytesPerSecond*t are
// taken.
type tokenBucket struct {
	bytesPerSecond float64
	capacityBytes  float64
	availableBytes float64
	refilledAt     time.Duration
}

func newTokenBucket(now time.Duration, bytesPerSecond, capacityBytes float64) tokenBucket {
	return tokenBucket{bytesPerSecond: bytesPerSecond, capacityBytes: capacityBytes, availableBytes: capacityBytes, refilledAt: now}
}

// available returns the number of bytes that may be taken at once.
func (b *tokenBucket) available(now time.Duration) float64 {
	if now > b.refilledAt {
		b.availableBytes = min(b.capacityBytes, b.availableBytes+b.bytesPerSecond*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
	return b.availableBytes
}

// take removes bytes that are available.
func (b *tokenBucket) take(bytes int) { b.availableBytes -= float64(bytes) }

// availableAt returns the time at which the given number of bytes is available.
func (b *tokenBucket) availableAt(bytes float64) time.Duration {
	missingBytes := bytes - b.availableBytes
	if missingBytes <= 0 {
		return b.refilledAt
	}
	return b.refilledAt + time.Duration(math.Ceil(missingBytes/b.bytesPerSecond*float64(time.Second)))
}
