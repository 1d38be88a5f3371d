package flow

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/traffic"
)

const (
	// unreadCheckInterval is how old the last look at a group's answers may be when a call is written. A wait binds from 100 ms after its
	// answer was written.
	unreadCheckInterval = 20 * time.Millisecond
	// unreadPollInterval is the pause between two looks while an answer is on its way through this program.
	unreadPollInterval = 200 * time.Microsecond
	// maxPendingReads bounds how much of an answer that goes on and on is read in one look.
	maxPendingReads = 16
	// maxUnreadDelay bounds how long a call is held back for that.
	maxUnreadDelay = 100 * time.Millisecond
)

// outstanding are the calls of a group whose ends this program has not recorded.
type outstanding struct {
	calls   map[*activeFlow]writtenCall
	checked time.Time // when no answer to any of them was unread
}

// writtenCall is a call on its connection; got is closed when its answer was read.
type writtenCall struct {
	c        *conn
	answered <-chan struct{}
}

// isAnswered reports whether the call has its answer, which its flow is about to record.
func (w writtenCall) isAnswered() bool {
	select {
	case <-w.answered:
		return true
	default:
		return false
	}
}

// addOutstanding records a call that is about to be written.
func (g *Manager) addOutstanding(r *activeFlow, c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.outstanding[r.Group]
	if o == nil {
		o = &outstanding{calls: map[*activeFlow]writtenCall{}}
		g.outstanding[r.Group] = o
	}
	o.calls[r] = writtenCall{c, c.answered}
}

// removeOutstanding forgets a call whose end is recorded. It needs the lock.
func (g *Manager) removeOutstanding(r *activeFlow) {
	o := g.outstanding[r.Group]
	if o == nil {
		return
	}
	delete(o.calls, r)
	if len(o.calls) == 0 {
		delete(g.outstanding, r.Group)
	}
}

// awaitUnreadAnswers waits until the answers that have come to other calls of the flow's group are read and recorded. It guards against a
// process that was stopped, or had no processor, for longer than a wait may be unknown: when it runs again, goroutines that have a
// call to write may run before those that have the answer with the wait to read. Calls over TLS are left out.
func (g *Manager) awaitUnreadAnswers(ctx context.Context, r *activeFlow) {
	for deadline := time.Now().Add(maxUnreadDelay); ctx.Err() == nil; {
		now := time.Now()
		if now.After(deadline) || !g.hasUnreadAnswer(r.Group, now) {
			return
		}
		time.Sleep(unreadPollInterval)
	}
}

// hasUnreadAnswer reports whether a call of the group has an answer that is not recorded yet, and reads what has come.
func (g *Manager) hasUnreadAnswer(group traffic.Group, now time.Time) bool {
	unread := false
	for _, call := range g.callsToCheck(group, now) {
		for range maxPendingReads {
			if call.isAnswered() || !call.c.readPending() {
				break
			}
		}
		unread = call.isAnswered() || unread // a part of an answer holds nobody back
	}
	if unread {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.outstanding[group]; o != nil && now.After(o.checked) {
		o.checked = now
	}
	return false
}

// callsToCheck returns the outstanding calls of a group; none where they were looked at of late.
func (g *Manager) callsToCheck(group traffic.Group, now time.Time) (calls []writtenCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.outstanding[group]
	if o == nil || now.Sub(o.checked) < unreadCheckInterval {
		return nil
	}
	for _, call := range o.calls {
		calls = append(calls, call)
	}
	return calls
}

// readPending reads what has come and waits for the reader, and reports whether anything has. Over TLS it leaves all to the reader.
func (c *conn) readPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable || c.syscallConn == nil {
		return false
	}
	arrived := false
	buf := make([]byte, 4096)
	_ = c.syscallConn.Control(func(fd uintptr) { // an error is the connection's end, which its reader sees
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
