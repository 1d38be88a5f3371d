package front

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"slatemux/internal/overload"
)

const (
	// silentMost is how long a connection may idle on which nothing was handed in, idleMost another, and halfMost
	// how long a command may take from its first byte to its last; they are looked at every sweepEvery.
	silentMost, halfMost, idleMost, sweepEvery = 2 * time.Second, 2 * time.Second, 5 * time.Second, 250 * time.Millisecond
	// frugalMost takes the place of idleMost while memory is short.
	frugalMost = 500 * time.Millisecond
	// writeMost is how long a client may leave its answers unread, lingerMost how long a refused one is still
	// listened to, so that what it sends does not reset the connection before it has read why.
	writeMost, lingerMost = 2 * time.Second, 2 * time.Second
	// A command of so many bytes is in memory weight times, counting the parser's buffers; light ones fit in
	// what each connection has anyway.
	weight, light = 4, 4096
)

var (
	errRoom = errors.New("no room for a command of that size")
	errHalf = errors.New("command not finished in time")
	errEnds = errors.New("the relay ends before the command is whole")
)

// refusals are the lines that a client reads before its connection is closed.
var refusals = map[error]string{errFrame: "-ERR Protocol error: " + errFrame.Error() + "\r\n",
	errHalf: "-ERR Protocol error: " + errHalf.Error() + "\r\n", errRoom: "-BUSY 1000\r\n", errEnds: "-BUSY\r\n"}

// client is a connection whose framing is checked before redcon sees it.
//
// Its reading goroutine alone ends it, between two reads, so that no close comes between bytes that were read and their
// answer: others ask for that and wake it. It looks once more whether anything has come, shuts its sending, and reads past
// what still comes: a command that crosses the end is unread then, and its client hands it in again, and the answers before
// it are not lost to a reset, as they could be by a close over unread bytes.
type client struct {
	net.Conn
	s    *Server
	born time.Time
	gone sync.Once
	left chan struct{} // closed once it is none of the server's any more

	// Of the reading goroutine alone, which also handles commands and writes answers.
	guard    guard
	answered int // commands
	bad      error
	rulings  []ruling      // on hand-ins that are not handled yet, oldest first
	rest     time.Duration // before more is read: a refusal was answered

	weight int64 // bytes taken from the server's budget; under its lock

	mu    sync.Mutex
	due   bool      // a whole command was read whose answer is not written
	use   use       // what has come
	late  bool      // the unfinished command is waited for no more
	asks  bool      // it is asked to end, if nothing has come
	rests bool      // it would not end at once: its reader rests
	half  time.Time // when the unfinished command began; zero without one
	last  time.Time // of the newest bytes

	seen quiet // use and last, as the server saw them; under its lock
}

// use is what a connection has been good for.
type use int

const (
	nothing use = iota // no whole command yet
	asking             // a command, but no hand-in
	handing
)

// quiet orders connections by which is missed least.
type quiet struct {
	use  use
	last time.Time
}

func (q quiet) before(o quiet) bool {
	return q.use < o.use || q.use == o.use && q.last.Before(o.last)
}

// handsIn notes that the connection is used to hand transactions in.
func (c *client) handsIn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use = handing
}

func (c *client) Read(b []byte) (int, error) {
	for {
		if c.bad != nil {
			c.s.badFrames.Add(1)
			slog.Warn("bad frame", "client", c.RemoteAddr(), "err", c.bad)
			c.refuse(c.bad)
			return 0, c.bad
		}
		if c.rest > 0 { // what its client sends meanwhile stays with its own system
			c.resting(true)
			time.Sleep(c.rest)
			c.resting(false)
			c.rest = 0
		}
		n, err := c.receive(b)
		if err == errEnded {
			return 0, net.ErrClosed
		}
		good, bad := c.guard.Feed(b[:n])
		if n > 0 {
			c.note(time.Now())
		}
		if bad == nil && !c.s.reserve(c, int64(c.guard.total)) {
			bad = errRoom
		}
		if c.bad = bad; good > 0 || bad == nil && err != nil {
			return good, err
		} // else to say why, or because all that came was of a body that is not read
	}
}

func (c *client) resting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rests = on
}

// errEnded says that this side has ended the connection.
var errEnded = errors.New("ended")

// receive waits until something comes, or ends the connection where that was asked for and nothing has come.
func (c *client) receive(b []byte) (int, error) {
	for {
		end, why := c.toEnd()
		if !end {
			n, err := c.Conn.Read(b)
			if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				return n, err
			}
			_ = c.Conn.SetReadDeadline(time.Time{}) // it was woken
			continue
		}
		if why != errHalf { // one that has taken too long gets no more time with each byte
			if n, err := c.receiveNow(b); n > 0 || !errors.Is(err, unix.EAGAIN) {
				return n, err
			}
		}
		switch why {
		case nil:
			c.linger(time.Now().Add(lingerMost))
		case errHalf:
			c.s.badFrames.Add(1)
			slog.Warn("bad frame", "client", c.RemoteAddr(), "err", why)
			fallthrough
		default:
			c.refuse(why)
		}
		return 0, errEnded
	}
}

// toEnd says whether the connection is to end, and, where a command is unfinished, what its client reads.
func (c *client) toEnd() (end bool, why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	half := !c.half.IsZero()
	switch {
	case c.late:
		return true, errHalf
	case half && (c.asks || c.s.last.Load()):
		return true, errEnds
	case half: // it may still become whole
		return false, nil
	}
	return c.asks || c.s.ending.Load(), nil
}

// receiveNow reads what has come already; EAGAIN where nothing has.
func (c *client) receiveNow(b []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	for looked := false; err == nil && !looked; {
		_ = c.Conn.SetReadDeadline(time.Time{}) // of the call that woke it; with one more such call it has not looked yet
		lerr := raw.Read(func(fd uintptr) bool {
			looked = true
			for n, err = unix.Read(int(fd), b); err == unix.EINTR; {
				n, err = unix.Read(int(fd), b)
			}
			return true
		})
		if lerr != nil && !errors.Is(lerr, os.ErrDeadlineExceeded) {
			return 0, lerr
		}
	}
	switch {
	case n > 0:
		return n, nil
	case err == nil:
		return 0, io.EOF
	}
	return 0, err
}

// ruling is what was ruled on the hand-in that is the connection's command number at.
type ruling struct {
	at int
	overload.Ruling
}

// rule rules on a hand-in of which all but the body has come. What cannot be read is ruled on when it is parsed.
func (c *client) rule(fields []byte, size int) bool {
	h, ok := c.s.sketch(fields, size)
	if !ok {
		return false
	}
	r := c.s.admission.Admit(h)
	c.rulings = append(c.rulings, ruling{c.guard.whole, r})
	return r.Refused
}

// ruled returns what was ruled on command number at, if anything was.
func (c *client) ruled(at int) (overload.Ruling, bool) {
	for len(c.rulings) > 0 && c.rulings[0].at < at {
		c.rulings = c.rulings[1:]
	}
	if len(c.rulings) == 0 || c.rulings[0].at != at {
		return overload.Ruling{}, false
	}
	r := c.rulings[0].Ruling
	if c.rulings = c.rulings[1:]; len(c.rulings) == 0 {
		c.rulings = nil
	}
	return r, true
}

// note brings what others may see up to date with the guard.
func (c *client) note(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.fresh {
		c.guard.fresh, c.use, c.half = false, max(c.use, asking), time.Time{}
	}
	if c.guard.at == atStart {
		c.half = time.Time{}
	} else if c.half.IsZero() {
		c.half = now
	}
	c.due, c.last, c.late = c.answered < c.guard.whole, now, c.late && !c.half.IsZero()
	c.asks = c.asks && !c.due // it goes on for a command that came; half of one is refused
}

// Write carries answers.
func (c *client) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeMost)) // a Write then fails and ends the connection
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = c.answered < c.guard.whole
	return n, err
}

// wake has the reading goroutine look whether the connection is to end.
func (c *client) wake() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// askToEnd asks for the end of the connection, unless something comes first, if that holds.
func (c *client) askToEnd(may func() bool) {
	c.mu.Lock()
	c.asks = c.asks || may()
	asks := c.asks
	c.mu.Unlock()
	if asks {
		c.wake()
	}
}

// sweep ends a connection that has been of no use for too long.
func (c *client) sweep(now time.Time) {
	c.mu.Lock()
	c.late = !c.due && !c.half.IsZero() && now.Sub(c.half) >= halfMost
	late := c.late
	c.mu.Unlock()
	if late { // ends the Read, which refuses the rest
		c.wake()
	}
	idleMost := idleMost
	if c.s.frugal.Load() {
		idleMost = frugalMost
	}
	c.askToEnd(func() bool {
		if c.due || !c.half.IsZero() {
			return false
		}
		return c.use < handing && now.Sub(c.last) >= silentMost || now.Sub(c.last) >= idleMost
	})
}

// refuse writes why the connection is about to be closed. What its client still sends is then read past.
func (c *client) refuse(why error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeMost))
	_, _ = c.Conn.Write([]byte(refusals[why]))
	c.linger(time.Now().Add(lingerMost))
}

// linger shuts the sending and reads past what comes until the client closes, if there is room for one more connection in that
// state: closing with unread input would reset the connection, and the client might never read what was written. It is no
// longer one of the server's.
func (c *client) linger(until time.Time) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if n := c.s.lingering.Add(1); ok && (n <= int64(c.s.room().Clients/4) || c.s.ending.Load()) {
		c.s.leave(c)
		_ = half.CloseWrite()
		_ = c.Conn.SetReadDeadline(until)
		for b := make([]byte, 16<<10); ; {
			if _, err := c.Conn.Read(b); err != nil {
				break
			}
		}
	}
	_ = c.Close() // before it counts no more
	c.s.lingering.Add(-1)
}

// Close closes the connection, once.
func (c *client) Close() (err error) {
	c.gone.Do(func() {
		c.s.leave(c)
		err = c.Conn.Close()
	})
	return err
}
