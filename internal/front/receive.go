package front

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"
)

// minQueueWait is the shortest wait in the receive queue that counts.
const minQueueWait = time.Millisecond

// errConnectionEnded reports that this side has ended the connection.
var errConnectionEnded = errors.New("ended")

// receive waits for input. If the end of the connection was requested and nothing has arrived, it ends the connection.
func (c *client) receive(b []byte) (int, error) {
	for {
		end, reason := c.shouldEnd()
		if !end {
			n, err := c.read(b)
			if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				return n, err
			}
			_ = c.Conn.SetReadDeadline(time.Time{}) // wakeReader set a deadline in the past
			continue
		}
		if reason != errCommandTimeout { // a client that exceeded maxCommandTime gains no time by sending more bytes
			c.sampleQueue(time.Now())
			if n, err := c.receiveAvailable(b); n > 0 || !errors.Is(err, unix.EAGAIN) {
				return n, err
			}
		}
		c.awaitAnswers()
		c.flush()
		switch reason {
		case nil:
			if c.isUnused() { // a first command may be on its way, and its client could not tell that it was not handled
				c.refuse(errUnused)
			} else {
				c.linger(time.Now().Add(lingerTimeout))
			}
		case errCommandTimeout:
			c.server.badFrames.Add(1)
			slog.Warn("bad frame", "client", c.RemoteAddr(), "err", reason)
			fallthrough
		default:
			c.refuse(reason)
		}
		return 0, errConnectionEnded
	}
}

// rawConn returns access to the descriptor of a connection, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// establishedAge returns how long ago the connection was established. It may have waited to be accepted.
func (c *client) establishedAge() time.Duration {
	if c.raw == nil {
		return 0
	}
	return establishedAge(c.raw)
}

// alreadyThere is the wait of a read whose input was there before.
const alreadyThere = time.Duration(-1)

// read waits for input and records when it arrived.
func (c *client) read(b []byte) (int, error) {
	began := time.Now()
	wasEmpty := c.isQueueEmpty(began)
	if !wasEmpty {
		c.sampleQueue(began)
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		now, wait := time.Now(), alreadyThere
		if wasEmpty {
			wait = now.Sub(began)
		}
		c.recordRead(n, len(b), wait, now)
	}
	return n, err
}

// recordRead records a read of n bytes into a space of the given size. If it did not fill the space, it has emptied the receive queue.
func (c *client) recordRead(n, space int, wait time.Duration, now time.Time) {
	if c.queueUnknown {
		wait = windowUpdateTime // as if the input had just arrived
	}
	c.queueMayHoldMore = n == space
	c.arrivals.read(n, wait, !c.queueMayHoldMore, now)
}

// isQueueEmpty reports whether no input waits in the receive queue, or has waited for as little as minQueueWait.
func (c *client) isQueueEmpty(now time.Time) bool {
	if c.queueUnknown || c.raw == nil {
		return true
	}
	if !c.queueMayHoldMore && now.Sub(c.arrivals.readAt) < minQueueWait {
		return true
	}
	bytes, ok := queuedBytes(c.raw)
	c.queueUnknown = !ok
	return !ok || bytes == 0
}

// sampleQueue records how much input waits in the receive queue, unless that was looked at just now.
func (c *client) sampleQueue(now time.Time) {
	if c.queueUnknown || !c.arrivals.sampleDue(now) || c.raw == nil {
		return
	}
	queue, ok := readReceiveQueue(c.raw)
	if c.queueUnknown = !ok; ok {
		c.arrivals.addQueue(queue, now)
	}
}

// isUnused reports whether no complete command has arrived on the connection.
func (c *client) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usage == noCommand
}

// shouldEnd reports whether the connection is to end. If a command is unfinished, reason selects the reply to its client.
func (c *client) shouldEnd() (end bool, reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unfinished := !c.commandStart.IsZero()
	switch {
	case c.commandLate:
		return true, errCommandTimeout
	case unfinished && (c.endRequested || c.server.refuseUnfinished.Load()):
		return true, errShutdown
	case unfinished: // the rest may still arrive
		return false, nil
	}
	return c.endRequested || c.server.draining.Load(), nil
}

// receiveAvailable reads what has already arrived, without blocking. It returns EAGAIN if nothing has.
func (c *client) receiveAvailable(b []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	rawConn, err := sc.SyscallConn()
	for attempted := false; err == nil && !attempted; {
		_ = c.Conn.SetReadDeadline(time.Time{}) // set by wakeReader, which may set it again before the attempt: hence the loop
		readErr := rawConn.Read(func(fd uintptr) bool {
			attempted = true
			for n, err = unix.Read(int(fd), b); err == unix.EINTR; {
				n, err = unix.Read(int(fd), b)
			}
			return true
		})
		if readErr != nil && !errors.Is(readErr, os.ErrDeadlineExceeded) {
			return 0, readErr
		}
	}
	switch {
	case n > 0:
		c.recordRead(n, len(b), alreadyThere, time.Now())
		return n, nil
	case err == nil:
		return 0, io.EOF
	}
	return 0, err
}

// refuse writes the reply for the reason and then discards what the client still sends.
func (c *client) refuse(reason error) {
	reply, ok := refusals[reason]
	if !ok { // the parser's error
		reply = string(redcon.AppendError(nil, "ERR "+reason.Error()))
	}
	c.write([]byte(reply))
	c.linger(time.Now().Add(lingerTimeout))
}

// linger shuts the sending side and discards input until the client closes, unless too many connections are in that state. Closing
// with unread input would reset the connection, and the client might never read the answers already written. A lingering connection
// no longer counts as one of the server's connections.
func (c *client) linger(until time.Time) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if n := c.server.lingering.Add(1); ok && (n <= int64(c.server.currentLimits().MaxConns/lingeringShare) || c.server.draining.Load()) {
		buffer := c.input.small
		if c.input.free(); buffer == nil { // refused before it was served
			buffer = make([]byte, c.bufferBytes)
		}
		c.replies, c.guard = replyBuffer{}, guard{}
		c.server.remove(c)
		_ = halfCloser.CloseWrite()
		_ = c.Conn.SetReadDeadline(until)
		for err := error(nil); err == nil; {
			_, err = c.Conn.Read(buffer)
		}
	}
	_ = c.Close() // before the lingering count drops
	c.server.lingering.Add(-1)
}
