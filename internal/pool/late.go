package pool

import (
	"context"
	"net"
	"time"

	"slatemux/internal/flow/http1"
)

// A call that times out may be one of a discovery that is slow. Its connection stays open for a while beside the calls that follow, and an
// answer that comes late is still used: what is told to this relay may be on its way. Few late answers are awaited at a time. The other calls
// that time out are closed, so that a crowded discovery can drop them.

const (
	// lateTimeout is how long an answer may come after its call has timed out.
	lateTimeout = 2 * maxNotifyDelay
	// maxLateCalls bounds the calls whose late answers are awaited at a time.
	maxLateCalls = 2
	// slowTime is how long discovery counts as slow after a late answer.
	slowTime = 2 * maxNotifyDelay
)

// lateCall is a call that has timed out on an open connection.
type lateCall struct {
	conn  net.Conn
	full  bool      // it asked for the full list
	begun time.Time // discovery's state was read no earlier
}

// lateCalls is what is known of late answers. Watcher.mu guards it.
type lateCalls struct {
	awaited  int
	answered bool      // an answer came late, and the schedule has not been told
	lastAt   time.Time // when the newest one came; zero for none
}

// awaitLate waits for the answer of a call that has timed out, beside the calls that follow. It returns false, and leaves the connection to
// the caller, if too many such answers are awaited.
func (w *Watcher) awaitLate(source listSource, call lateCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late.awaited >= maxLateCalls {
		return false
	}
	w.late.awaited++
	go w.readLate(source, call)
	return true
}

// readLate reads and applies a late answer, and closes the connection.
func (w *Watcher) readLate(source listSource, call lateCall) {
	defer call.conn.Close()
	for _, end := range []context.Context{source.run, source.unmoved} {
		defer context.AfterFunc(end, func() { call.conn.Close() })()
	}
	answerBy := time.Now().Add(lateTimeout)
	resp, err := http1.ReadResponse(call.conn, maxList, answerBy, answerBy.Add(transferTimeout))
	var list List
	if err == nil {
		list, err = w.decode(resp)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late.awaited--
	if err == nil && source.run.Err() == nil && source.unmoved.Err() == nil {
		w.acceptLate(&list, call)
	}
}

// acceptLate applies a late answer if it is not older than what is known. The caller holds w.mu.
func (w *Watcher) acceptLate(list *List, call lateCall) {
	w.counters.Late++
	w.late.answered, w.late.lastAt = true, time.Now()
	if list.Seq < w.members.Seq() || call.full != w.members.WantFull() {
		return // a later call has brought more, or has to
	}
	if _, allowed := w.schedule.MaxUnconfirmed(); !w.confirmed && time.Since(call.begun) >= allowed {
		return // too old to confirm the known list
	}
	_ = w.acceptLocked(list, call.full, call.begun) // a failure is counted, and the next call asks again
}

// takeLateAnswer reports whether an answer has come late since it was last called.
func (w *Watcher) takeLateAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	answered := w.late.answered
	w.late.answered = false
	return answered
}

// noteUnreachable records that discovery could not be reached by a call that was begun at a time.
func (w *Watcher) noteUnreachable(begun time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setFresh(begun, false)
}

// noteSilence records that discovery took a connection and has not answered a check that was begun at a time. It then counts as unreachable,
// unless its answers came late a short while ago: then it is slow, and has what it will answer.
func (w *Watcher) noteSilence(begun time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late.lastAt.IsZero() || time.Since(w.late.lastAt) >= slowTime {
		w.setFresh(begun, false)
	}
}
