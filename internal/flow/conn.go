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
	"slatemux/internal/traffic"
)

// conn is one connection to a pool member. Its reader goroutine reads at all times, so that a close by the peer is noticed while the
// connection is idle.
type conn struct {
	nc        net.Conn
	underTLS  net.Conn // the TCP connection below TLS; nil for a plain connection
	manager   *Manager
	id        conns.ID
	host      string // host of the member
	openedAt  time.Time
	idleSince time.Time // guarded by Manager.mu, like the next two fields; zero before the first call
	inUse     bool      // taken by a flow
	reused    bool      // the current call is not the first on this connection

	mu          sync.Mutex
	unusable    bool            // ended, or not to be used for another call
	response    *http1.Response // of the current call; nil between calls
	group       traffic.Group   // of the current call
	batch       bool            // the current call carries several transactions
	callEnd     conns.CallEnd   // how the latest call ended
	calls       int             // calls of which writing has begun
	endedAt     time.Time       // when the latest call ended; zero before the first call
	received    bool            // bytes arrived for the current call
	unsolicited bool            // bytes arrived while no call was waiting for them
	stuck       bool            // the peer does not acknowledge written bytes
	writtenAt   time.Time       // when writing of the current call began; zero between calls

	syscallConn syscall.RawConn // nil for a TLS connection

	readDeadlineSet bool          // whether a read deadline is set; used by the reader only
	readerDone      chan struct{} // closed when the reader ends

	answered chan struct{} // closed when the call has its answer or can no longer get one
	result   answer        // valid once answered is closed
}

// beginCall prepares the connection for a call of a group. It returns false if the connection cannot be used.
func (c *conn) beginCall(group traffic.Group) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable {
		return false
	}
	c.response, c.answered, c.result, c.received, c.callEnd, c.batch, c.writtenAt = &http1.Response{}, make(chan struct{}), answer{}, false, conns.BrokenBeforeAnswer, false, time.Time{}
	c.group = group
	return true
}

// setBatch marks the current call as a batch, so that the body of its answer, with the status of each transaction, is kept.
func (c *conn) setBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batch = true; c.response != nil {
		c.response.MaxBodyBytes = maxBatchAnswerBytes
	}
}

// beginWrite records that the call is about to be written. It returns false if the call must not be written: the connection has ended, or
// bytes arrived that cannot be the answer to the call. Bytes that arrive later are treated as the answer. The peer may have sent them
// before it received the call, but only its clock could show this.
func (c *conn) beginWrite(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unusable && c.syscallConn != nil { // data that arrived and is not read yet
		var n int
		var err error
		controlErr := c.syscallConn.Control(func(fd uintptr) { n, err = readAvailable(int(fd), make([]byte, 1)) })
		if controlErr != nil || n > 0 || !errors.Is(err, unix.EAGAIN) {
			c.noteUnsolicited(max(n, 0))
		}
	}
	if !c.unusable {
		c.writtenAt = now
		c.calls++
	}
	return !c.unusable
}

// noteUnsolicited marks the connection as unusable because bytes arrived without a call, or because the connection ended. The caller holds
// c.mu.
func (c *conn) noteUnsolicited(bytes int) {
	if bytes > 0 {
		quietSince := c.openedAt
		if c.calls > 0 {
			quietSince = c.endedAt
		}
		c.manager.unsolicited.Add(1)
		slog.Warn("pool member wrote without a call", "addr", c.nc.RemoteAddr(), "bytes", bytes, "member", c.host, "conn", c.id, "calls", c.calls,
			"quiet", time.Since(quietSince))
	}
	c.unsolicited = c.unsolicited || bytes > 0
	c.unusable = true
}

// readAvailable reads the data that has arrived. It returns EAGAIN if there is none.
func readAvailable(fd int, buf []byte) (n int, err error) {
	for n, err = unix.Read(fd, buf); err == unix.EINTR; {
		n, err = unix.Read(fd, buf)
	}
	return n, err
}

// unansweredSince reports whether a call on a reused connection was written before then and no byte of its answer has arrived.
func (c *conn) unansweredSince(then time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reused && c.response != nil && !c.received && !c.writtenAt.IsZero() && c.writtenAt.Before(then)
}

// checkStuck records and reports whether the current call has no byte of its answer and the peer leaves written bytes unacknowledged.
// Then the peer or the network path is gone; a peer that is only slow still acknowledges. The kernel is queried and nothing is sent.
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

// endCall ends the current call and returns how it ended. notCanceled says that the flow did not abort the call.
func (c *conn) endCall(notCanceled bool) conns.CallEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenAt, c.response, c.endedAt = time.Time{}, nil, time.Now()
	switch end := c.callEnd; {
	case c.stuck:
		return conns.BrokenBeforeAnswer
	case !notCanceled:
		return conns.Aborted
	case end == conns.Answered && c.unsolicited:
		return conns.BrokenDuringAnswer
	case end == conns.Answered && c.unusable: // the peer closed the connection directly after the answer
		return conns.AnsweredLast
	default:
		return end
	}
}

// cancelCall clears a call that has its answer or was not written, and reports whether the connection is still usable.
func (c *conn) cancelCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = nil
	return !c.unusable
}

// hasUnsolicited reports whether bytes arrived that no call was waiting for, after the first call.
func (c *conn) hasUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited && c.calls > 0
}

// callCount returns the number of calls of which writing has begun.
func (c *conn) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *conn) isUnusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusable
}

// close closes the connection, and its reader ends the current call. It does not block: TLS sends a close_notify first, and if the server
// does not read, the TCP connection is closed after tlsCloseTimeout.
func (c *conn) close() {
	if c.underTLS == nil {
		c.nc.Close()
		return
	}
	go c.nc.Close()
	time.AfterFunc(tlsCloseTimeout, func() { c.underTLS.Close() })
}

// tlsCloseTimeout bounds how long a closing connection may take to send its close_notify.
const tlsCloseTimeout = 50 * time.Millisecond

// readLoop passes received data to the current call until the connection ends.
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
		// The read happens under c.mu. beginWrite therefore sees all data that was read before, and data that beginWrite does not find
		// arrived later.
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

// handleRead processes the result of one read and reports whether the connection is unusable. The caller holds c.mu.
func (c *conn) handleRead(data []byte, err error) bool {
	if c.response == nil || c.writtenAt.IsZero() { // no current call, or the call is not written yet
		if err != nil || len(data) > 0 {
			c.noteUnsolicited(len(data))
		}
		return c.unusable
	}
	c.received = c.received || len(data) > 0
	n, feedErr := c.response.Feed(data)
	if errors.Is(err, io.EOF) {
		_ = c.response.End() // Done reports whether the answer is truncated
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
			c.callEnd = conns.AnsweredLast
		case c.received:
			c.callEnd = conns.BrokenDuringAnswer
		}
		if n < len(data) && feedErr == nil {
			c.unsolicited = true
			c.manager.unsolicited.Add(1)
			slog.Warn("pool member wrote more than one answer to a call", "addr", c.nc.RemoteAddr(), "bytes", len(data)-n, "member", c.host,
				"conn", c.id, "calls", c.calls)
		}
		c.result = decodeAnswer(c.response, c.batch)
		if wait := c.result.requestedWait(); wait > 0 { // binds from here on: the flow of this call may run later than one that is about to write
			c.manager.waits.record(c.group, time.Now().Add(wait))
		}
		c.response = nil
		close(c.answered)
	}
	return c.unusable
}

// updateReadDeadline bounds the time from the first byte of an answer to its last byte. An answer that never ends must not occupy its
// call, and a slot at the pool member, until the deadline of the flow. The bound is off between an interim answer and the next one.
func (c *conn) updateReadDeadline() {
	if underway := c.response.Underway(); underway != c.readDeadlineSet {
		var deadline time.Time
		if underway {
			deadline = time.Now().Add(answerTimeout)
		}
		_ = c.nc.SetReadDeadline(deadline) // if this fails, the connection has ended and the next Read returns the error
		c.readDeadlineSet = underway
	}
}
