package flow

import (
	"sync"
	"time"

	"slatemux/internal/traffic"
)

// retryAfters holds the retry-after waits of this process, and shares them with the other process of a handover. It is locked for moments
// only, by whoever reads an answer: no flow has to run for a wait to bind.
type retryAfters struct {
	shared RetryAfterWaits // nil if no waits are shared

	mu    sync.Mutex
	until map[traffic.Group]time.Time // no call of the group is written before this time
}

func newRetryAfters(shared RetryAfterWaits) retryAfters {
	return retryAfters{shared: shared, until: map[traffic.Group]time.Time{}}
}

// record records that no call of the group may be written before until.
func (w *retryAfters) record(group traffic.Group, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !until.After(w.until[group]) {
		return
	}
	w.until[group] = until
	if w.shared != nil {
		w.shared.Record(group, until)
	}
}

// holds reports whether the group waits, by an answer to this process or to the other one.
func (w *retryAfters) holds(group traffic.Group, now time.Time) bool {
	w.mu.Lock()
	own := now.Before(w.until[group])
	w.mu.Unlock()
	return own || w.shared != nil && now.Before(w.shared.Until(group, now))
}

// ofOtherProcess returns the end of a wait that the other process received and that outlasts those of this process, or the zero time.
func (w *retryAfters) ofOtherProcess(group traffic.Group, now time.Time) time.Time {
	if w.shared == nil {
		return time.Time{}
	}
	until := w.shared.Until(group, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !until.After(w.until[group]) {
		return time.Time{} // the decision module knows the waits of this process
	}
	return until
}

// removeEnded removes the waits that have ended.
func (w *retryAfters) removeEnded(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for group, until := range w.until {
		if until.Before(now) {
			delete(w.until, group)
		}
	}
}
