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
	raw       net.Conn // below TLS; nil for plain
	g         *Manager
	id        conns.ID
	host      string    // the member's
	idleSince time.Time // under the Manager's lock, as the next two; zero before the first call
	lent      bool      // to a flow
	warm      bool      // that flow is not the first on it

	mu      sync.Mutex
	dead    bool            // over, or not to be used again
	resp    *http1.Response // of the call that is out; nil between calls
	several bool            // that call carries several transactions
	tail    conns.End       // how the newest call ended
	heard   bool            // something came for it
	noisy   bool            // something came without a call
	stuck   bool            // the peer acknowledges nothing
	wrote   time.Time       // when the call that is out was written; zero between calls

	plain syscall.RawConn // nil for TLS

	timed bool          // a read deadline is set; of the reader alone
	over  chan struct{} // closed by the reader at its end

	got    chan struct{} // closed when the call has its answer or none will come
	result answer        // to be read once got is closed
}

// begin makes the connection ready for a call; false if it is over.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.resp, c.got, c.result, c.heard, c.tail, c.several, c.wrote = &http1.Response{}, make(chan struct{}), answer{}, false, conns.Dead, false, time.Time{}
	return true
}

// carriesSeveral has the answer say how each of them ended.
func (c *conn) carriesSeveral() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.several = true; c.resp != nil {
		c.resp.Keep = answerBatch
	}
}

// writing notes that the call is about to be written; false if it must not be, for the connection is over, or something has come
// that cannot be the call's answer. What comes from now on is taken for that, unless its peer's clock would tell otherwise.
func (c *conn) writing(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dead && c.plain != nil { // what has come and waits for the reader
		var n int
		var err error
		cerr := c.plain.Control(func(fd uintptr) { n, err = readNow(int(fd), make([]byte, 1)) })
		if cerr != nil || n > 0 || !errors.Is(err, unix.EAGAIN) {
			c.uncalled(max(n, 0))
		}
	}
	if !c.dead {
		c.wrote = at
	}
	return !c.dead
}

// uncalled notes that something came without a call, or the connection's end: it is not used again. It needs the lock.
func (c *conn) uncalled(bytes int) {
	if bytes > 0 {
		slog.Warn("pool member wrote without a call", "addr", c.nc.RemoteAddr(), "bytes", bytes)
	}
	c.noisy = c.noisy || bytes > 0
	c.dead = true
}

// readNow reads what has come; EAGAIN where nothing has.
func readNow(fd int, b []byte) (n int, err error) {
	for n, err = unix.Read(fd, b); err == unix.EINTR; {
		n, err = unix.Read(fd, b)
	}
	return n, err
}

// silentSince says that a call is out since before then, on a connection that had been used before, and nothing has come.
func (c *conn) silentSince(then time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.warm && c.resp != nil && !c.heard && !c.wrote.IsZero() && c.wrote.Before(then)
}

// lookStuck notes whether what was written is not even acknowledged: the peer, or the way to it, is gone, which a peer that
// is only slow is not. It is asked of the kernel, and sends nothing.
func (c *conn) lookStuck() bool {
	nc := c.nc
	if c.raw != nil {
		nc = c.raw
	}
	stuck := unacknowledged(nc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stuck = stuck && c.resp != nil && !c.heard
	return c.stuck
}

// ending is how the call on the connection ended; kept says that nobody has given it up.
func (c *conn) ending(kept bool) conns.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote, c.resp = time.Time{}, nil
	switch end := c.tail; {
	case c.stuck:
		return conns.Dead
	case !kept:
		return conns.Cut
	case end == conns.Answered && c.noisy:
		return conns.Broken
	case end == conns.Answered && c.dead: // closed right behind the answer
		return conns.Last
	default:
		return end
	}
}

// rest ends a call that has its answer or was never written, and says whether the connection can be kept.
func (c *conn) rest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resp = nil
	return !c.dead
}

func (c *conn) isDead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// kill closes the connection; its reader ends the call that is out. It does not block: TLS says goodbye first, for which
// a server that reads nothing gets farewell.
func (c *conn) kill() {
	if c.raw == nil {
		c.nc.Close()
		return
	}
	go c.nc.Close()
	time.AfterFunc(farewell, func() { c.raw.Close() })
}

// farewell is how long a closing connection may take to send its close_notify.
const farewell = 50 * time.Millisecond

// read feeds what comes to the call that is out, until the connection ends.
func (c *conn) read() {
	buf := make([]byte, 4096)
	for over := false; !over; {
		if c.plain == nil {
			n, err := c.nc.Read(buf)
			c.mu.Lock()
			over = c.take(buf[:n], err)
			c.mu.Unlock()
			continue
		}
		// Under the lock, so that writing knows of all that was read, and what it does not find has come later.
		err := c.plain.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			n, err := readNow(int(fd), buf)
			if errors.Is(err, unix.EAGAIN) {
				return false
			} else if n == 0 && err == nil {
				err = io.EOF
			}
			over = c.take(buf[:max(n, 0)], err)
			return true
		})
		if err != nil {
			c.mu.Lock()
			over = c.take(nil, err)
			c.mu.Unlock()
		}
	}
	c.nc.Close()
	close(c.over)
	c.g.ended(c)
}

// take handles one read and says whether the connection is over. It needs the lock.
func (c *conn) take(b []byte, err error) bool {
	if c.resp == nil || c.wrote.IsZero() { // between calls, or begun and not written
		if err != nil || len(b) > 0 {
			c.uncalled(len(b))
		}
		return c.dead
	}
	c.heard = c.heard || len(b) > 0
	n, ferr := c.resp.Feed(b)
	if err != nil {
		_ = c.resp.End() // what was cut off shows in Done
	}
	if ferr != nil {
		slog.Warn("answer not understood", "addr", c.nc.RemoteAddr(), "err", ferr)
	}
	c.limit()
	over := err != nil || ferr != nil || n < len(b)
	c.dead = over || c.resp.Done() && !c.resp.Reusable()
	if c.resp.Done() || c.dead {
		switch {
		case c.resp.Done() && !over && !c.dead:
			c.tail = conns.Answered
		case c.resp.Done() && !c.resp.Reusable():
			c.tail = conns.Last
		case c.heard:
			c.tail = conns.Broken
		}
		c.result = decode(c.resp, c.several)
		c.resp = nil
		close(c.got)
	}
	return c.dead
}

// limit bounds the time from an answer's first byte to its last: one that never ends must not hold its call,
// and with it a slot at the pool member, until the deadline. Between an interim answer and the next it is off.
func (c *conn) limit() {
	if under := c.resp.Underway(); under != c.timed {
		var by time.Time
		if under {
			by = time.Now().Add(answerMost)
		}
		_ = c.nc.SetReadDeadline(by) // where it fails the connection is over, which the next Read tells
		c.timed = under
	}
}

// settled waits until a connection that just carried an answer has idled for a moment, and says whether it is
// still open: what a pool member sends behind an answer must not be taken for the answer to the next call.
func (c *conn) settled(at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.over:
		return false
	}
}
