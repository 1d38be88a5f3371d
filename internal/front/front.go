// Package front is the virtual server: it takes commands from clients, over redcon, and answers them.
package front

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"wrenford"
	"wrenford/internal/traffic"
)

// Relay is what a front hands transactions to; any protocol's front may.
type Relay interface {
	Put(t traffic.Transaction, received time.Time) <-chan traffic.Answer
}

// Counters count since the start.
type Counters struct{ Accepted, TurnedAway, Commands, BadCommands, BadFrames int64 }

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("accepted", c.Accepted), slog.Int64("turned_away", c.TurnedAway),
		slog.Int64("commands", c.Commands), slog.Int64("bad_commands", c.BadCommands),
		slog.Int64("bad_frames", c.BadFrames))
}

// Server serves clients on one listener.
type Server struct {
	relay   Relay
	classes map[string]wrenford.Effect
	most    int
	ln      net.Listener

	mu    sync.Mutex
	conns map[*client]bool

	ending atomic.Bool

	accepted, turnedAway, commands, badCommands, badFrames atomic.Int64
}

// Listen opens a virtual server that holds at most most connections.
func Listen(addr string, most int, classes []wrenford.Class, relay Relay) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	s := &Server{relay: relay, classes: map[string]wrenford.Effect{}, most: most, ln: ln, conns: map[*client]bool{}}
	for _, c := range classes {
		s.classes[c.Name] = c.Effect
	}
	return s, nil
}

// Limit changes how many connections the server may hold; what it holds stays.
func (s *Server) Limit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve serves until Drain; then it returns, and connections with a request under way are served on.
func (s *Server) Serve() error {
	if err := redcon.Serve(listener{s.ln, s}, s.handle, nil, nil); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// Drain closes the listener, and each connection as soon as no request is under way on it: a request that
// crosses the closing is unread, and its client sends it once more elsewhere.
func (s *Server) Drain() {
	s.ending.Store(true)
	s.ln.Close()
	for _, c := range s.clients() {
		c.closeIdle()
	}
}

// Drained waits until every client has its answer, but not beyond the deadline.
func (s *Server) Drained(deadline time.Time) bool {
	for len(s.clients()) > 0 {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return true
}

func (s *Server) clients() []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	return Counters{s.accepted.Load(), s.turnedAway.Load(), s.commands.Load(), s.badCommands.Load(), s.badFrames.Load()}
}

func (s *Server) handle(conn redcon.Conn, cmd redcon.Command) {
	received := time.Now()
	s.commands.Add(1)
	parsed, err := Parse(cmd.Args, s.classes, received)
	if err != nil {
		s.badCommands.Add(1)
		slog.Warn("bad command", "client", conn.RemoteAddr(), "err", err)
		conn.WriteError("ERR " + err.Error())
		return
	}
	switch c := parsed.(type) {
	case Ping:
		if c.Text != nil {
			conn.WriteBulk(c.Text)
		} else {
			conn.WriteString("PONG")
		}
	case Put:
		writeAnswer(conn, <-s.relay.Put(c.Transaction, received))
	case Unknown:
		s.badCommands.Add(1)
		slog.Warn("bad command", "client", conn.RemoteAddr(), "err", "unknown command", "name", c.Name)
		conn.WriteError("ERR unknown command " + c.Name)
	}
}

func writeAnswer(conn redcon.Conn, a traffic.Answer) {
	switch a.Verdict {
	case traffic.Accepted:
		conn.WriteString("OK")
	case traffic.Busy:
		text := "BUSY"
		if a.RetryIn > 0 {
			text += " " + strconv.FormatInt(max(a.RetryIn.Milliseconds(), 1), 10)
		}
		conn.WriteError(text)
	default:
		conn.WriteError("ERR failed")
	}
}

// listener hands redcon guarded connections, no more than the server may hold.
type listener struct {
	net.Listener
	s *Server
}

func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				l.s.Drained(time.Now().Add(time.Hour)) // once Accept fails, redcon closes all connections
			} else {
				slog.Error("accept failed", "err", err) // out of descriptors, say: redcon would spin
				time.Sleep(10 * time.Millisecond)
			}
			return nil, err
		}
		c := &client{Conn: nc, s: l.s, last: time.Now()}
		l.s.mu.Lock()
		full := len(l.s.conns) >= l.s.most && !l.s.makeRoom()
		if !full {
			l.s.conns[c] = true
		}
		l.s.mu.Unlock()
		if !full {
			l.s.accepted.Add(1)
			return c, nil
		}
		l.s.turnedAway.Add(1)
		slog.Warn("client turned away: too many connections", "client", nc.RemoteAddr())
		_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = nc.Write([]byte("-BUSY 1000\r\n")) // mostly read before the close is
		nc.Close()
	}
}

// stuck is how old a half-read command must be for its connection to be closed where another wants in.
const stuck = 10 * time.Second

// makeRoom closes the connection that has been quiet longest, if no answer is due on it. It needs the lock.
func (s *Server) makeRoom() bool {
	var quiet *client
	var since time.Time
	for c := range s.conns {
		c.mu.Lock()
		last, free := c.last, !c.busy || time.Since(c.last) > stuck
		c.mu.Unlock()
		if free && (quiet == nil || last.Before(since)) {
			quiet, since = c, last
		}
	}
	if quiet == nil {
		return false
	}
	delete(s.conns, quiet)
	quiet.mu.Lock()
	quiet.shut = true
	quiet.mu.Unlock()
	quiet.Conn.Close()
	return true
}

// client is a connection whose framing is checked before redcon sees it.
type client struct {
	net.Conn
	s     *Server
	guard guard // of the reading goroutine alone
	bad   error

	mu   sync.Mutex
	busy bool // bytes have been read whose answer is not written
	shut bool
	last time.Time // of the newest bytes
}

func (c *client) Read(b []byte) (int, error) {
	if c.bad != nil {
		c.s.badFrames.Add(1)
		slog.Warn("bad frame", "client", c.RemoteAddr(), "err", c.bad)
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Conn.Write([]byte("-ERR Protocol error: " + c.bad.Error() + "\r\n"))
		return 0, c.bad
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.begin() {
		return 0, net.ErrClosed
	}
	good, bad := c.guard.Feed(b[:n])
	if c.bad = bad; bad != nil && good == 0 {
		return c.Read(b)
	}
	return good, err
}

// begin notes that a request is under way. It is not if the connection was closed while its bytes were
// being read: nobody could be answered, so nothing is taken on.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.last = !c.shut, time.Now()
	return c.busy
}

// Write carries the answers to all commands that were read: between it and the next Read the connection
// may be closed without harm.
func (c *client) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	c.busy = c.guard.at != atStart
	c.mu.Unlock()
	if c.s.ending.Load() {
		c.closeIdle()
	}
	return n, err
}

// closeIdle closes the connection if no request is under way on it.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.shut = true
		c.Conn.Close()
	}
}

func (c *client) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}
