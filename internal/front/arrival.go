package front

import "time"

const (
	// minSampleInterval is the shortest time between two samples of a receive queue that does not empty.
	minSampleInterval = 10 * time.Millisecond
	// maxSamples bounds the samples of one connection. Together they cover more than the age at which the relay refuses a submission.
	maxSamples = 32
	// longSampleGap is the time without a sample behind which the arrival of the last segment tells more than the samples.
	longSampleGap = 50 * time.Millisecond
	// openWindowBytes is an amount of unread input that does not close the receive window: it begins with 64 KiB.
	openWindowBytes = 48 << 10
	// windowUpdateTime is the time in which a sender that the window held back has gone on.
	windowUpdateTime = 2 * time.Millisecond
)

// arrivalSample says that at a moment not more than the first end bytes of a connection's input had been sent.
type arrivalSample struct {
	at  time.Time
	end int64
}

// arrivalLog tells when input of one connection was sent. Commands of a pipeline wait at their sender, in the receive queue and in the
// connection's buffer, and their times run meanwhile. The log holds moments at which it is known what had been sent; a byte behind that came
// later. What the receive queue holds is all that was sent only if the window was open before; other moments are left out, and bytes then count
// as older than they are.
type arrivalLog struct {
	readBytes   int64     // bytes of the input that were read
	readAt      time.Time // of the last read
	sampledRead int64     // readBytes when the newest sample was taken
	samples     []arrivalSample
}

// newArrivalLog returns the log of a connection that was established at the given time.
func newArrivalLog(established time.Time) arrivalLog {
	return arrivalLog{readAt: established, samples: []arrivalSample{{at: established}}}
}

// read records a read of n bytes. wait is how long it waited with an empty receive queue, or negative if input was there before. drained is
// set if nothing was left in the queue.
func (l *arrivalLog) read(n int, wait time.Duration, drained bool, now time.Time) {
	end := l.readBytes + int64(n)
	switch {
	case wait >= windowUpdateTime || wait >= 0 && l.windowOpen(end):
		l.samples = append(l.samples[:0], arrivalSample{now, l.readBytes})
		l.sampledRead = l.readBytes
	default:
		l.earliestArrival(l.readBytes + 1) // drops what only concerns the input so far
	}
	l.readBytes, l.readAt = end, now
	if drained && l.windowOpen(end) {
		l.add(arrivalSample{now, end})
	}
}

// windowOpen reports whether the sender of input up to the given end was not held back since the newest sample.
func (l *arrivalLog) windowOpen(end int64) bool { return end-l.sampledRead <= openWindowBytes }

// newest returns the time of the newest sample.
func (l *arrivalLog) newest() time.Time { return l.samples[len(l.samples)-1].at }

// sampleDue reports whether the receive queue is to be looked at again.
func (l *arrivalLog) sampleDue(now time.Time) bool {
	return len(l.samples) < maxSamples && now.Sub(l.newest()) >= minSampleInterval
}

// addQueue records what the receive queue held at a time.
func (l *arrivalLog) addQueue(queue receiveQueue, now time.Time) {
	end := l.readBytes + int64(queue.bytes)
	idle := queue.bytes == 0 && now.Sub(l.readAt) >= windowUpdateTime
	if !idle && !l.windowOpen(end) {
		return
	}
	if queue.bytes > 0 && now.Sub(l.newest()) >= longSampleGap {
		l.add(arrivalSample{now.Add(-queue.lastArrivalAge), end - 1}) // at least the last byte came with the last segment
	}
	l.add(arrivalSample{now, end})
}

// add adds a sample. Without room for it the log keeps less, and bytes count as older than they are.
func (l *arrivalLog) add(s arrivalSample) {
	newest := &l.samples[len(l.samples)-1]
	switch {
	case s.at.Before(newest.at) || s.end < newest.end: // an earlier sample says more
		return
	case s.end == newest.end:
		newest.at = s.at
	case len(l.samples) < maxSamples:
		l.samples = append(l.samples, s)
	default:
		return
	}
	l.sampledRead = l.readBytes
}

// earliestArrival returns the earliest time at which the byte before the given position of the input can have been sent. Positions must not
// decrease from call to call.
func (l *arrivalLog) earliestArrival(position int64) time.Time {
	passed := 0
	for passed+1 < len(l.samples) && l.samples[passed+1].end < position {
		passed++
	}
	l.samples = append(l.samples[:0], l.samples[passed:]...)
	return l.samples[0].at
}

// receiveQueue describes the input of a connection that the system has received and the program has not read.
type receiveQueue struct {
	bytes          int
	lastArrivalAge time.Duration // upper bound of the time since the last segment arrived
}
