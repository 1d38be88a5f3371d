package conns

import (
	"math"
	"time"
)

// Idle times are kept in buckets, perDecade to each power of ten from shortest on.
const (
	minBucketIdle    = time.Millisecond
	bucketsPerDecade = 8
	bucketCount      = bucketsPerDecade * 7 // up to some hours
	// maxBucketWeight is how many reuses a bucket remembers: more, and a server that changes would be believed too long.
	maxBucketWeight = 200
	// minClosings closings tell of a limit; one or two tell of a restart.
	minClosings = 2.5
	// priorReuses reuses without a loss are taken for granted where nothing is known, priorLoss their share of losses.
	priorReuses, priorLossShare = 100, 0.0005
)

func bucketOf(idle time.Duration) int {
	if idle <= minBucketIdle {
		return 0
	}
	return min(int(math.Log10(float64(idle)/float64(minBucketIdle))*bucketsPerDecade)+1, bucketCount-1)
}

// bucketUpperBound is the longest idle time of a bucket.
func bucketUpperBound(b int) time.Duration {
	return time.Duration(float64(minBucketIdle) * math.Pow(10, float64(b)/bucketsPerDecade))
}

// reuseHistory is what is known of connections that were used again after idling: each use tells whether the connection was
// still alive after that time, and nothing of when it died. Such current-status data are estimated by isotonic regression
// (Ayer, Brunk, Ewing, Reid and Silverman 1955): the longer idle, the likelier dead.
type reuseHistory struct {
	alive, lost [bucketCount]float64
}

func (r *reuseHistory) add(idle time.Duration, lost bool) {
	b := bucketOf(idle)
	if lost {
		r.lost[b]++
	} else {
		r.alive[b]++
	}
	if n := r.alive[b] + r.lost[b]; n > maxBucketWeight {
		r.alive[b] *= maxBucketWeight / n
		r.lost[b] *= maxBucketWeight / n
	}
}

// mergePart takes in a part of what is known elsewhere.
func (r *reuseHistory) mergePart(o *reuseHistory) {
	for b := range bucketCount {
		r.alive[b] += o.alive[b] / 5
		r.lost[b] += o.lost[b] / 5
	}
}

// decay forgets a part of the evidence.
func (r *reuseHistory) decay(factor float64) {
	for b := range bucketCount {
		r.alive[b] *= factor
		r.lost[b] *= factor
	}
}

// deadShares estimates, for each bucket, the share of connections that are dead after so long, never falling: neighbours that
// would are pooled (the pool-adjacent-violators algorithm).
func (r *reuseHistory) deadShares() (share [bucketCount]float64) {
	type block struct {
		lost, n float64
		len     int
	}
	var blocks [bucketCount]block
	top := 0
	for b := range bucketCount {
		blocks[top] = block{r.lost[b] + priorLossShare*priorReuses/bucketCount, r.alive[b] + r.lost[b] + priorReuses/bucketCount, 1}
		for top > 0 && blocks[top-1].lost*blocks[top].n >= blocks[top].lost*blocks[top-1].n {
			blocks[top-1].lost += blocks[top].lost
			blocks[top-1].n += blocks[top].n
			blocks[top-1].len += blocks[top].len
			top--
		}
		top++
	}
	b := 0
	for _, bl := range blocks[:top] {
		for range bl.len {
			share[b] = bl.lost / bl.n
			b++
		}
	}
	return share
}

// idleLimit is the longest idle time after which no more than a share is dead, or else no more than twice the share over all
// idle times, and never more than most: what breaks connections whether they idle long or not is no reason to keep them
// from idling.
func (r *reuseHistory) idleLimit(maxDeadShare, maxShare float64) time.Duration {
	lost, n := priorLossShare*priorReuses, float64(priorReuses)
	for b := range bucketCount {
		lost, n = lost+r.lost[b], n+r.alive[b]+r.lost[b]
	}
	maxDeadShare = min(max(maxDeadShare, 2*lost/n), maxShare)
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

// closeHistory is what is known of how long connections idle until the server closes them before our eyes: exact times, and
// spells that a reuse or our own closing cut short, which count as survived until then (Kaplan and Meier 1958).
type closeHistory struct {
	closed, censored [bucketCount]float32 // there is one for each endpoint
}

func (s *closeHistory) mergePart(o *closeHistory) {
	for b := range bucketCount {
		s.closed[b] += o.closed[b] / 5
		s.censored[b] += o.censored[b] / 5
	}
}

func (s *closeHistory) add(idle time.Duration, closed bool) {
	b := bucketOf(idle)
	if closed {
		s.closed[b]++
	} else {
		s.censored[b]++
	}
	if n := s.closed[b] + s.censored[b]; n > maxBucketWeight {
		s.closed[b] *= maxBucketWeight / n
		s.censored[b] *= maxBucketWeight / n
	}
}

// survivedIdle is the longest idle time that a share of connections survives; false where no closing was seen that would tell.
func (s *closeHistory) survivedIdle(share float64) (time.Duration, bool) {
	atRisk, closings := 0.0, 0.0
	for b := range bucketCount {
		atRisk += float64(s.closed[b] + s.censored[b])
		closings += float64(s.closed[b])
	}
	if closings < minClosings {
		return 0, false
	}
	alive := 1.0
	for b := range bucketCount {
		if atRisk > 0 && s.closed[b] > 0 {
			if alive *= 1 - float64(s.closed[b])/atRisk; alive < share {
				if b == 0 {
					return 0, true
				}
				return bucketUpperBound(b - 1), true
			}
		}
		atRisk -= float64(s.closed[b] + s.censored[b])
	}
	return 0, false
}

// decay forgets a part of the evidence.
func (s *closeHistory) decay(factor float64) {
	for b := range bucketCount {
		s.closed[b] *= float32(factor)
		s.censored[b] *= float32(factor)
	}
}
