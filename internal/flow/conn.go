package flow

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/conns"
	"slatemux/internal/flow/http1"
)

// conn is one connection to a pool member with the goroutine that always reads from it, so that a close
// by the peer is seen while it idles.
type conn struct {
	nc        net.Conn
	underTLS  net.Conn // below TLS; nil for plain
	manager   *Manager
	id        conns.ID
	host      string    // the member's
	idleSince time.Time // under the Manager's lock, as the next two; zero before the first call
	inUse     bool      // to a flow
	reused    bool      // that flow is not the first on it

	mu          sync.Mutex
	unusable    bool            // over, or not to be used again
	response    *http1.Response // of the call that is out; nil between calls
	batch       bool            // that call carries several transactions
	callEnd     conns.End       // how the newest call ended
	received    bool            // something came for it
	unsolicited bool            // something came without a call
	stuck       bool            // the peer acknowledges nothing
	writtenAt   time.Time       // when the call that is out was written; zero between calls

	syscallConn syscall.RawConn // nil for TLS

	readDeadlineSet bool          // a read deadline is set; of the reader alone
	readerDone      chan struct{} // closed by the reader at its end

	answered chan struct{} // closed when the call has its answer or none will come
	result   answer        // to be read once got is closed
}

// beginCall makes the connection ready for a call; false if it is over.
func (c *conn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable {
		return false
	}
	c.response, c.answered, c.result, c.received, c.callEnd, c.batch, c.writtenAt = &http1.Response{}, make(chan struct{}), answer{}, false, conns.Dead, false, time.Time{}
	return true
}

// setBatch has the answer say how each of them ended.
func (c *conn) setBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batch = true; c.response != nil {
		c.response.MaxBodyBytes = maxBatchAnswerBytes
	}
}

// beginWrite notes that the call is about to be written; false if it must not be, for the connection is over, or something has come
// that cannot be the call's answer. What comes from now on is taken for that, unless its peer's clock would tell otherwise.
func (c *conn) beginWrite(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unusable && c.syscallConn != nil { // what has come and waits for the reader
		var n int
		var err error
		controlErr := c.syscallConn.Control(func(fd uintptr) { n, err = readAvailable(int(fd), make([]byte, 1)) })
		if controlErr != nil || n > 0 || !errors.Is(err, unix.EAGAIN) {
			c.noteUnsolicited(max(n, 0))
		}
	}
	if !c.unusable {
		c.writtenAt = now
	}
	return !c.unusable
}

// noteUnsolicited notes that something came without a call, or the connection's end: it is not used again. It needs the lock.
func (c *conn) noteUnsolicited(bytes int) {
	if bytes > 0 {
		slog.Warn("pool member wrote without a call", "addr", c.nc.RemoteAddr(), "bytes", bytes)
	}
	c.unsolicited = c.unsolicited || bytes > 0
	c.unusable = true
}

// readAvailable reads what has come; EAGAIN where nothing has.
func readAvailable(fd int, buf []byte) (n int, err error) {
	for n, err = unix.Read(fd, buf); err == unix.EINTR; {
		n, err = unix.Read(fd, buf)
	}
	return n, err
}

// unansweredSince says that a call is out since before then, on a connection that had been used before, and nothing has come.
func (c *conn) unansweredSince(then time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reused && c.response != nil && !c.received && !c.writtenAt.IsZero() && c.writtenAt.Before(then)
}

// checkStuck notes whether what was written is not even acknowledged: the peer, or the way to it, is gone, which a peer that
// is only slow is not. It is asked of the kernel, and sends nothing.
func (c *conn) checkStuck() bool {
	nc := c.nc
	if c.underTLS != nil {
		nc = c.underTLS
	}
	stuck := unacknowledged(nc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stuck = stuck && c.response != nil && !c.received
	return c.stuck
}

// endCall is how the call on the connection ended; kept says that nobody has given it up.
func (c *conn) endCall(notCanceled bool) conns.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenAt, c.response = time.Time{}, nil
	switch end := c.callEnd; {
	case c.stuck:
		return conns.Dead
	case !notCanceled:
		return conns.Cut
	case end == conns.Answered && c.unsolicited:
		return conns.Broken
	case end == conns.Answered && c.unusable: // closed right behind the answer
		return conns.Last
	default:
		return end
	}
}

// cancelCall ends a call that has its answer or was never written, and says whether the connection can be kept.
func (c *conn) cancelCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = nil
	return !c.unusable
}

func (c *conn) isUnusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusable
}

// close closes the connection; its reader ends the call that is out. It does not block: TLS says goodbye first, for which
// a server that reads nothing gets farewell.
func (c *conn) close() {
	if c.underTLS == nil {
		c.nc.Close()
		return
	}
	go c.nc.Close()
	time.AfterFunc(tlsCloseTimeout, func() { c.underTLS.Close() })
}

// tlsCloseTimeout is how long a closing connection may take to send its close_notify.
const tlsCloseTimeout = 50 * time.Millisecond

// readLoop feeds what comes to the call that is out, until the connection ends.
func (c *conn) readLoop() {
	buf := make([]byte, 4096)
	for over := false; !over; {
		if c.syscallConn == nil {
			n, err := c.nc.Read(buf)
			c.mu.Lock()
			over = c.handleRead(buf[:n], err)
			c.mu.Unlock()
			continue
		}
		// Under the lock, so that writing knows of all that was read, and what it does not find has come later.
		err := c.syscallConn.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			n, err := readAvailable(int(fd), buf)
			if errors.Is(err, unix.EAGAIN) {
				return false
			} else if n == 0 && err == nil {
				err = io.EOF
			}
			over = c.handleRead(buf[:max(n, 0)], err)
			return true
		})
		if err != nil {
			c.mu.Lock()
			over = c.handleRead(nil, err)
			c.mu.Unlock()
		}
	}
	c.nc.Close()
	close(c.readerDone)
	c.manager.readerEnded(c)
}

// handleRead handles one read and says whether the connection is over. It needs the lock.
func (c *conn) handleRead(data []byte, err error) bool {
	if c.response == nil || c.writtenAt.IsZero() { // between calls, or begun and not written
		if err != nil || len(data) > 0 {
			c.noteUnsolicited(len(data))
		}
		return c.unusable
	}
	c.received = c.received || len(data) > 0
	n, feedErr := c.response.Feed(data)
	if err != nil {
		_ = c.response.End() // what was cut off shows in Done
	}
	if feedErr != nil {
		slog.Warn("answer not understood", "addr", c.nc.RemoteAddr(), "err", feedErr)
	}
	c.updateReadDeadline()
	over := err != nil || feedErr != nil || n < len(data)
	c.unusable = over || c.response.Done() && !c.response.Reusable()
	if c.response.Done() || c.unusable {
		switch {
		case c.response.Done() && !over && !c.unusable:
			c.callEnd = conns.Answered
		case c.response.Done() && !c.response.Reusable():
			c.callEnd = conns.Last
		case c.received:
			c.callEnd = conns.Broken
		}
		c.result = decodeAnswer(c.response, c.batch)
		c.response = nil
		close(c.answered)
	}
	return c.unusable
}

// updateReadDeadline bounds the time from an answer's first byte to its last: one that never ends must not hold its call,
// and with it a slot at the pool member, until the deadline. Between an interim answer and the next it is off.
func (c *conn) updateReadDeadline() {
	if underway := c.response.Underway(); underway != c.readDeadlineSet {
		var deadline time.Time
		if underway {
			deadline = time.Now().Add(answerTimeout)
		}
		_ = c.nc.SetReadDeadline(deadline) // where it fails the connection is over, which the next Read tells
		c.readDeadlineSet = underway
	}
}

// waitSettled waits until a connection that just carried an answer has idled for a moment, and says whether it is
// still open: what a pool member sends behind an answer must not be taken for the answer to the next call.
func (c *conn) waitSettled(settledAt time.Time) bool {
	timer := time.NewTimer(time.Until(settledAt))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.readerDone:
		return false
	}
}
