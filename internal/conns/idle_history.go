package conns

import (
	"math"
	"time"
)

// Idle times are counted in logarithmic buckets: bucketsPerDecade for each power of ten, from minBucketIdle on.
const (
	minBucketIdle    = time.Millisecond
	bucketsPerDecade = 8
	bucketCount      = bucketsPerDecade * 7 // covers idle times up to some hours
	// maxBucketWeight is the maximum weight of the observations in a bucket. With a higher weight, old observations of a server that
	// changes would count for too long.
	maxBucketWeight = 200
	// minClosings is the weight of the visible closings that make an idle limit. One or two closings can be a restart.
	minClosings = 2.5
	// priorReuses is the weight of the reuses that are assumed before any observation, priorLossShare the share of losses among them.
	priorReuses    = 100
	priorLossShare = 0.0005
)

// bucketOf returns the index of the bucket of an idle time.
func bucketOf(idle time.Duration) int {
	if idle <= minBucketIdle {
		return 0
	}
	return min(int(math.Log10(float64(idle)/float64(minBucketIdle))*bucketsPerDecade)+1, bucketCount-1)
}

// bucketUpperBound returns the longest idle time of a bucket.
func bucketUpperBound(b int) time.Duration {
	return time.Duration(float64(minBucketIdle) * math.Pow(10, float64(b)/bucketsPerDecade))
}

// reuseHistory counts the outcomes of reuses by the idle time before them. A reuse shows whether the connection was still alive after
// that time, but not when it died. Isotonic regression estimates the share of dead connections from such current-status data (Ayer,
// Brunk, Ewing, Reid and Silverman 1955), on the assumption that longer idle times make a dead connection more likely.
type reuseHistory struct {
	alive, dead [bucketCount]float64
}

// add counts one reuse.
func (r *reuseHistory) add(idle time.Duration, dead bool) {
	b := bucketOf(idle)
	if dead {
		r.dead[b]++
	} else {
		r.alive[b]++
	}
	if n := r.alive[b] + r.dead[b]; n > maxBucketWeight {
		r.alive[b] *= maxBucketWeight / n
		r.dead[b] *= maxBucketWeight / n
	}
}

// mergePart adds a fifth of the counts of another endpoint.
func (r *reuseHistory) mergePart(o *reuseHistory) {
	for b := range bucketCount {
		r.alive[b] += o.alive[b] / 5
		r.dead[b] += o.dead[b] / 5
	}
}

// decay scales all counts by a factor below one.
func (r *reuseHistory) decay(factor float64) {
	for b := range bucketCount {
		r.alive[b] *= factor
		r.dead[b] *= factor
	}
}

// deadShares estimates for each bucket the share of connections that are dead after that idle time. The estimate never falls from one
// bucket to the next: adjacent buckets that violate this are pooled (the pool-adjacent-violators algorithm).
func (r *reuseHistory) deadShares() (share [bucketCount]float64) {
	type block struct {
		dead, n float64
		len     int
	}
	var blocks [bucketCount]block
	top := 0
	for b := range bucketCount {
		blocks[top] = block{r.dead[b] + priorLossShare*priorReuses/bucketCount, r.alive[b] + r.dead[b] + priorReuses/bucketCount, 1}
		for top > 0 && blocks[top-1].dead*blocks[top].n >= blocks[top].dead*blocks[top-1].n {
			blocks[top-1].dead += blocks[top].dead
			blocks[top-1].n += blocks[top].n
			blocks[top-1].len += blocks[top].len
			top--
		}
		top++
	}
	b := 0
	for _, bl := range blocks[:top] {
		for range bl.len {
			share[b] = bl.dead / bl.n
			b++
		}
	}
	return share
}

// idleLimit returns the longest idle time at which the share of dead connections is at most maxDeadShare. Twice the share over all idle
// times is accepted too, but never more than maxShare: causes that break connections after any idle time are no reason to shorten the
// limit.
func (r *reuseHistory) idleLimit(maxDeadShare, maxShare float64) time.Duration {
	dead, n := priorLossShare*priorReuses, float64(priorReuses)
	for b := range bucketCount {
		dead, n = dead+r.dead[b], n+r.alive[b]+r.dead[b]
	}
	maxDeadShare = min(max(maxDeadShare, 2*dead/n), maxShare)
	last := -1
	for b, s := range r.deadShares() {
		if s > maxDeadShare {
			break
		}
		last = b
	}
	if last < 0 {
		return 0
	}
	return bucketUpperBound(last)
}

// closeHistory counts the idle times after which the server visibly closed connections, and the idle times that ended otherwise. The
// latter, by a reuse or by the relay's own closing, are censored: they show only that the connection survived until then (Kaplan and
// Meier 1958).
type closeHistory struct {
	closed, censored [bucketCount]float32 // float32 saves memory: every endpoint in use has its own counts
}

// mergePart adds a fifth of the counts of another endpoint.
func (h *closeHistory) mergePart(o *closeHistory) {
	for b := range bucketCount {
		h.closed[b] += o.closed[b] / 5
		h.censored[b] += o.censored[b] / 5
	}
}

// add counts one idle time.
func (h *closeHistory) add(idle time.Duration, closed bool) {
	b := bucketOf(idle)
	if closed {
		h.closed[b]++
	} else {
		h.censored[b]++
	}
	if n := h.closed[b] + h.censored[b]; n > maxBucketWeight {
		h.closed[b] *= maxBucketWeight / n
		h.censored[b] *= maxBucketWeight / n
	}
}

// survivedIdle returns the longest idle time that at least the given share of connections survives. It returns false if
// the visible closings are too few, or if at least that share of connections survived all of them.
func (h *closeHistory) survivedIdle(share float64) (time.Duration, bool) {
	atRisk, closings := 0.0, 0.0
	for b := range bucketCount {
		atRisk += float64(h.closed[b] + h.censored[b])
		closings += float64(h.closed[b])
	}
	if closings < minClosings {
		return 0, false
	}
	alive := 1.0
	for b := range bucketCount {
		if atRisk > 0 && h.closed[b] > 0 {
			if alive *= 1 - float64(h.closed[b])/atRisk; alive < share {
				if b == 0 {
					return 0, true
				}
				return bucketUpperBound(b - 1), true
			}
		}
		atRisk -= float64(h.closed[b] + h.censored[b])
	}
	return 0, false
}

// decay scales all counts by a factor below one.
func (h *closeHistory) decay(factor float64) {
	for b := range bucketCount {
		h.closed[b] *= float32(factor)
		h.censored[b] *= float32(factor)
	}
}
