package front

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"wrenford/internal/overload"
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
)

// refusals are the lines that a client reads before its connection is closed.
var refusals = map[error]string{errFrame: "-ERR Protocol error: " + errFrame.Error() + "\r\n",
	errHalf: "-ERR Protocol error: " + errHalf.Error() + "\r\n", errRoom: "-BUSY 1000\r\n"}

// client is a connection whose framing is checked before redcon sees it.
type client struct {
	net.Conn
	s    *Server
	born time.Time
	gone sync.Once

	// Of the reading goroutine alone, which also handles commands and writes answers.
	guard    guard
	answered int // commands
	bad      error
	rulings  []ruling      // on hand-ins that are not handled yet, oldest first
	rest     time.Duration // before more is read: a refusal was answered

	weight int64 // bytes taken from the server's budget; under its lock

	mu   sync.Mutex
	due  bool      // a whole command was read whose answer is not written
	use  use       // what has come
	late bool      // the unfinished command is waited for no more
	shut bool      // nothing more is taken from this connection
	half time.Time // when the unfinished command began; zero without one
	last time.Time // of the newest bytes

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
	if c.bad != nil {
		c.s.badFrames.Add(1)
		slog.Warn("bad frame", "client", c.RemoteAddr(), "err", c.bad)
		c.refuse(c.bad)
		return 0, c.bad
	}
	if c.rest > 0 { // what its client sends meanwhile stays with its own system
		time.Sleep(c.rest)
		c.rest = 0
	}
	n, err := c.Conn.Read(b)
	if c.tooLate() {
		c.bad = errHalf
		return c.Read(b)
	}
	good, bad := c.guard.Feed(b[:n])
	if n > 0 && !c.note(time.Now()) {
		return 0, net.ErrClosed // nobody could be answered any more, so nothing is taken on
	}
	if bad == nil && !c.s.reserve(c, int64(c.guard.total)) {
		bad = errRoom
	}
	if c.bad = bad; good == 0 && (bad != nil || n > 0 && err == nil) {
		return c.Read(b) // to say why, or because all that came was of a body that is not read
	}
	return good, err
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

// note brings what others may see up to date with the guard; false if the connection was closed meanwhile.
func (c *client) note(now time.Time) bool {
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
	c.due, c.last = c.answered < c.guard.whole, now
	return !c.shut
}

// Write carries answers. Between the last one and the next Read the connection may be closed without harm.
func (c *client) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeMost)) // a Write then fails and ends the connection
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	c.due = c.answered < c.guard.whole
	c.mu.Unlock()
	if c.s.ending.Load() {
		c.closeIf(func() bool { return !c.due && c.half.IsZero() })
	}
	return n, err
}

func (c *client) tooLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// closeIf closes the connection if that holds and it is not closed yet.
func (c *client) closeIf(may func() bool) {
	c.mu.Lock()
	ends := !c.shut && may()
	c.shut = c.shut || ends
	c.mu.Unlock()
	if ends {
		c.Close()
	}
}

// sweep closes a connection that has been of no use for too long.
func (c *client) sweep(now time.Time) {
	c.mu.Lock()
	c.late = !c.shut && !c.due && !c.half.IsZero() && now.Sub(c.half) >= halfMost
	if c.late { // ends the Read, which refuses the rest
		_ = c.Conn.SetReadDeadline(now)
	}
	c.mu.Unlock()
	idleMost := idleMost
	if c.s.frugal.Load() {
		idleMost = frugalMost
	}
	c.closeIf(func() bool {
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

// linger reads past what comes until the client closes, if there is room for one more connection in that state:
// closing with unread input would reset the connection, and the client might never read what was written.
func (c *client) linger(until time.Time) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if n := c.s.lingering.Add(1); ok && n <= int64(c.s.room().Clients/4) {
		c.s.leave(c)
		_ = half.CloseWrite()
		_ = c.Conn.SetReadDeadline(until)
		for b := make([]byte, 16<<10); ; {
			if _, err := c.Conn.Read(b); err != nil {
				break
			}
		}
	}
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
