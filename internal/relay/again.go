package relay

import (
	"time"

	"slatemux/internal/handin"
	"slatemux/internal/traffic"
)

const (
	// claimTime bounds how long a submission stays undecided. A step takes a few milliseconds; a process may end in it.
	claimTime = time.Second
	// rememberTime is how long behind its deadline a transaction is remembered.
	rememberTime = 10 * time.Second
)

// answerAgain returns the answer to a submission that this relay knows: under the same id it is run once, whichever process gets it.
func answerAgain(state handin.State) traffic.Answer {
	switch state {
	case handin.Taken:
		return traffic.Answer{Verdict: traffic.Accepted}
	case handin.Failed:
		return traffic.Answer{Verdict: traffic.Failed}
	default:
		return traffic.Answer{Verdict: traffic.Busy, RetryIn: fullRetryIn}
	}
}

// rememberEnd records that a transaction has ended without delivery. One that has surely not run may be submitted again.
func (r *Relay) rememberEnd(h *openTransaction, now time.Time) {
	if h.FirstSent.IsZero() {
		r.cfg.HandIns.Forget(h.handIn)
		return
	}
	r.cfg.HandIns.Set(h.handIn, handin.Failed, now, h.Deadline.Add(rememberTime))
}
