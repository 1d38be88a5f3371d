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
	// unreadCheckEvery is how old the last look at a group's answers may be when a call is written. A wait binds from 100 ms after its
	// answer was written.
	unreadCheckEvery = 20 * time.Millisecond
	// unreadPoll is the pause between two looks while an answer is on its way through this program.
	unreadPoll = 200 * time.Microsecond
	// maxPulls bounds how much of an answer that goes on and on is read in one look.
	maxPulls = 16
	// maxUnreadDelay bounds how long a call is held back for that.
	maxUnreadDelay = 100 * time.Millisecond
)

// outstanding are the calls of a group whose ends this program has not recorded.
type outstanding struct {
	calls   map[*running]writtenCall
	checked time.Time // when no answer to any of them was unread
}

// writtenCall is a call on its connection; got is closed when its answer was read.
type writtenCall struct {
	c   *conn
	got <-chan struct{}
}

// isAnswered reports whether the call has its answer, which its flow is about to record.
func (w writtenCall) isAnswered() bool {
	select {
	case <-w.got:
		return true
	default:
		return false
	}
}

// noteWritten records a call that is about to be written.
func (g *Manager) noteWritten(r *running, c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.outstanding[r.Group]
	if o == nil {
		o = &outstanding{calls: map[*running]writtenCall{}}
		g.outstanding[r.Group] = o
	}
	o.calls[r] = writtenCall{c, c.got}
}

// noteEnded forgets a call whose end is recorded. It needs the lock.
func (g *Manager) noteEnded(r *running) {
	o := g.outstanding[r.Group]
	if o == nil {
		return
	}
	delete(o.calls, r)
	if len(o.calls) == 0 {
		delete(g.outstanding, r.Group)
	}
}

// awaitUnread waits until the answers that have come to other calls of the flow's group are read and recorded. It guards against a
// process that was stopped, or had no processor, for longer than a wait may be unknown: when it runs again, goroutines that have a
// call to write may run before those that have the answer with the wait to read. Calls over TLS are left out.
func (g *Manager) awaitUnread(ctx context.Context, r *running) {
	for by := time.Now().Add(maxUnreadDelay); ctx.Err() == nil; {
		now := time.Now()
		if now.After(by) || !g.hasUnread(r.Group, now) {
			return
		}
		time.Sleep(unreadPoll)
	}
}

// hasUnread reports whether a call of the group has an answer that is not recorded yet, and reads what has come.
func (g *Manager) hasUnread(group traffic.Group, now time.Time) bool {
	unread := false
	for _, call := range g.callsToCheck(group, now) {
		for range maxPulls {
			if call.isAnswered() || !call.c.pull() {
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
	if o == nil || now.Sub(o.checked) < unreadCheckEvery {
		return nil
	}
	for _, call := range o.calls {
		calls = append(calls, call)
	}
	return calls
}

// pull reads what has come and waits for the reader, and reports whether anything has. Over TLS it leaves all to the reader.
func (c *conn) pull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.plain == nil {
		return false
	}
	came := false
	buf := make([]byte, 4096)
	_ = c.plain.Control(func(fd uintptr) { // an error is the connection's end, which its reader sees
		n, err := readNow(int(fd), buf)
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if n == 0 && err == nil {
			err = io.EOF
		}
		came = true
		c.take(buf[:max(n, 0)], err)
	})
	return came
}
