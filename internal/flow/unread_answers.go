package flow

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/traffic"
)

const (
	// unreadCheckInterval is the maximum age of the latest check for unread answers of a group when a call is written. A retry-after binds
	// from 100 ms after its answer was written.
	unreadCheckInterval = 20 * time.Millisecond
	// maxPendingReads bounds the reads per connection in one check, because an answer may never end.
	maxPendingReads = 16
)

// outstanding holds the calls of a group whose ends are not recorded yet.
type outstanding struct {
	calls   map[*activeFlow]writtenCall
	checked time.Time // when the latest check began
}

// writtenCall is a call on its connection. answered is closed when the answer has been read.
type writtenCall struct {
	c        *conn
	answered <-chan struct{}
}

// isAnswered reports whether the answer has been read, and its wait recorded.
func (w writtenCall) isAnswered() bool {
	select {
	case <-w.answered:
		return true
	default:
		return false
	}
}

// addOutstanding records a call that is about to be written. The caller holds m.mu.
func (m *Manager) addOutstanding(r *activeFlow, c *conn) {
	o := m.outstanding[r.Group]
	if o == nil {
		o = &outstanding{calls: map[*activeFlow]writtenCall{}}
		m.outstanding[r.Group] = o
	}
	o.calls[r] = writtenCall{c, c.answered}
}

// removeOutstanding removes a call whose end is recorded. The caller holds m.mu.
func (m *Manager) removeOutstanding(r *activeFlow) {
	o := m.outstanding[r.Group]
	if o == nil {
		return
	}
	delete(o.calls, r)
	if len(o.calls) == 0 {
		delete(m.outstanding, r.Group)
	}
}

// readUnreadAnswers reads the answers that have arrived for other calls of the group, so that the waits that they ask for are recorded. It
// guards against a process that was stopped, or CPU-starved, for longer than a retry-after may go unnoticed. When such a process runs again,
// goroutines that are about to write a call may run before those that have yet to read an answer with a retry-after. Calls over TLS are not
// covered. An answer that has not arrived whole delays no call.
func (m *Manager) readUnreadAnswers(group traffic.Group) {
	now := time.Now()
	for _, call := range m.callsToCheck(group, now) {
		for range maxPendingReads {
			if call.isAnswered() || !call.c.readPending() {
				break
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.outstanding[group]; o != nil && now.After(o.checked) {
		o.checked = now
	}
}

// callsToCheck returns the outstanding calls of a group, or none if they were checked within unreadCheckInterval.
func (m *Manager) callsToCheck(group traffic.Group, now time.Time) (calls []writtenCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.outstanding[group]
	if o == nil || now.Sub(o.checked) < unreadCheckInterval {
		return nil
	}
	for _, call := range o.calls {
		calls = append(calls, call)
	}
	return calls
}

// readPending reads the data that has arrived and that the reader has not read yet, and reports whether there was any. On TLS connections
// only the reader reads.
func (c *conn) readPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable || c.syscallConn == nil {
		return false
	}
	arrived := false
	buf := make([]byte, 4096)
	_ = c.syscallConn.Control(func(fd uintptr) { // on an error the connection has ended, which its reader notices
		n, err := readAvailable(int(fd), buf)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if n == 0 && err == nil {
			err = io.EOF
		}
		arrived = true
		c.handleRead(buf[:max(n, 0)], err)
	})
	return arrived
}
