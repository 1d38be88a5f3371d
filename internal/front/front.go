// Package front is the virtual server: it takes commands from clients, over redcon, and answers them.
package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"slatemux/internal/dispatch"
	"slatemux/internal/overload"
	"slatemux/internal/traffic"
)

// Relay is what a front hands transactions to; any protocol's front may.
type Relay interface {
	Put(t traffic.Transaction, received time.Time) <-chan traffic.Answer
}

// Admission rules on hand-ins before they reach the relay, and says how long a connection rests after a refusal.
type Admission interface {
	Admit(overload.HandIn) overload.Ruling
	Pace() time.Duration
}

// Counters count since the start.
type Counters struct{ Accepted, TurnedAway, MadeRoom, Commands, BadCommands, BadFrames, Shed, ShedUnread, Rested int64 }

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("accepted", c.Accepted), slog.Int64("turned_away", c.TurnedAway),
		slog.Int64("made_room", c.MadeRoom), slog.Int64("commands", c.Commands),
		slog.Int64("bad_commands", c.BadCommands), slog.Int64("bad_frames", c.BadFrames),
		slog.Int64("shed", c.Shed), slog.Int64("shed_unread", c.ShedUnread), slog.Int64("rested", c.Rested))
}

// Server serves clients on one listener.
type Server struct {
	relay     Relay
	admission Admission // nil for none
	classes   map[string]dispatch.Effect
	ln        net.Listener

	mu       sync.Mutex
	limits   Limits
	buffered int64 // of Limits.Buffered
	conns    map[*client]bool
	shedBy   map[string]*atomic.Int64 // by class: refused by overload control after their command was read

	ending    atomic.Bool
	last      atomic.Bool  // unfinished commands are waited for no more
	lingering atomic.Int64 // connections whose sending is shut, and that are read past
	frugal    atomic.Bool  // idle connections are closed soon

	shed, shedUnread, rested atomic.Int64

	accepted, turnedAway, madeRoom, commands, badCommands, badFrames atomic.Int64
}

// Limits bound what a server holds.
type Limits struct {
	Clients  int   // connections
	Used     int   // connections on which a command has come; beyond it, idle ones make room for new ones
	Buffered int64 // bytes of memory for commands that are not light, over all connections
}

// Listen opens a virtual server that holds no more than its limits. Admission may be nil.
func Listen(addr string, limits Limits, classes []dispatch.Class, relay Relay, admission Admission) (*Server, error) {
	// A successor listens beside this process during a hand-over: the kernel deals new connections to both.
	ln, err := (&net.ListenConfig{Control: reusePort}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	s := &Server{relay: relay, admission: admission, classes: map[string]dispatch.Effect{}, limits: limits, ln: ln, conns: map[*client]bool{},
		shedBy: map[string]*atomic.Int64{}}
	for _, c := range classes {
		s.classes[c.Name] = c.Effect
		s.shedBy[c.Name] = new(atomic.Int64) // its keys are fixed from now on: any goroutine may read it
	}
	return s, nil
}

// Limit changes what the server may hold; what it holds stays.
func (s *Server) Limit(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// ShedByClass counts, by class, the hand-ins that overload control refused once their command was read.
func (s *Server) ShedByClass() map[string]int64 {
	counts := make(map[string]int64, len(s.shedBy))
	for name, n := range s.shedBy {
		counts[name] = n.Load()
	}
	return counts
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve serves until Drain; then it returns, and connections with a request under way are served on.
func (s *Server) Serve() error {
	ended := make(chan struct{})
	defer close(ended)
	go s.sweep(ended)
	if err := redcon.Serve(listener{s.ln, s}, s.handle, nil, nil); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// Drain closes the listener, and ends each connection as soon as no request is under way on it: a request that
// crosses the end is unread, and its client sends it once more elsewhere.
func (s *Server) Drain() {
	s.ending.Store(true)
	s.ln.Close()
	for _, c := range s.clients() {
		c.wake()
	}
}

// End is Drain, and waits for unfinished commands no more: they are refused.
func (s *Server) End() {
	s.last.Store(true)
	s.Drain()
}

// Drained waits until every client has its answer and no connection is read past any more, but not beyond the deadline.
func (s *Server) Drained(deadline time.Time) bool {
	for len(s.clients()) > 0 || s.lingering.Load() > 0 {
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
	return Counters{s.accepted.Load(), s.turnedAway.Load(), s.madeRoom.Load(), s.commands.Load(), s.badCommands.Load(),
		s.badFrames.Load(), s.shed.Load(), s.shedUnread.Load(), s.rested.Load()}
}

// FreeIdle closes connections that idle for longer than a moment, while it is on.
func (s *Server) FreeIdle(on bool) { s.frugal.Store(on) }

// Handing is how many connections there are.
func (s *Server) Handing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// refuse answers a hand-in that is not admitted. Its connection then rests, if admission wants that.
func (s *Server) refuse(conn redcon.Conn, c *client, r overload.Ruling) {
	s.shed.Add(1)
	writeAnswer(conn, traffic.Answer{Verdict: traffic.Busy, RetryIn: r.RetryIn})
	if c != nil {
		if c.rest = s.admission.Pace(); c.rest > 0 {
			s.rested.Add(1)
		}
	}
}

func (s *Server) handle(conn redcon.Conn, cmd redcon.Command) {
	received := time.Now()
	s.commands.Add(1)
	c, ok := conn.NetConn().(*client)
	if ok {
		c.answered++ // in this goroutine, before the answer is written
	}
	ruling, ruled := overload.Ruling{}, false
	if ok && s.admission != nil {
		if ruling, ruled = c.ruled(c.answered - 1); ruling.Refused { // its body was not read
			s.shedUnread.Add(1)
			c.handsIn()
			s.refuse(conn, c, ruling)
			return
		}
	}
	parsed, err := Parse(cmd.Args, s.classes, received)
	if err != nil {
		s.badCommands.Add(1)
		slog.Warn("bad command", "client", conn.RemoteAddr(), "err", err)
		conn.WriteError("ERR " + err.Error())
		return
	}
	switch cmd := parsed.(type) {
	case Ping:
		if cmd.Text != nil {
			conn.WriteBulk(cmd.Text)
		} else {
			conn.WriteString("PONG")
		}
	case Put:
		if ok {
			c.handsIn()
		}
		if t := &cmd.Transaction; s.admission != nil && !ruled {
			if ruling = s.admission.Admit(overload.HandIn{Class: t.Class, Tenant: t.Tenant, Size: len(t.Body),
				Left: t.Deadline.Sub(received)}); ruling.Refused {
				if n := s.shedBy[t.Class]; n != nil { // Parse takes only the settings' classes
					n.Add(1)
				}
				s.refuse(conn, c, ruling)
				return
			}
		}
		writeAnswer(conn, <-s.relay.Put(cmd.Transaction, received))
	case Unknown:
		s.badCommands.Add(1)
		slog.Warn("bad command", "client", conn.RemoteAddr(), "err", "unknown command", "name", cmd.Name)
		conn.WriteError("ERR unknown command " + cmd.Name)
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
		now := time.Now()
		c := &client{Conn: nc, s: l.s, born: now, last: now, left: make(chan struct{})}
		if l.s.admission != nil {
			c.guard.rule = c.rule
		}
		if l.s.enter(c) {
			l.s.accepted.Add(1)
			return c, nil
		}
		l.s.turnedAway.Add(1)
		slog.Warn("client turned away: too many connections", "client", nc.RemoteAddr())
		go func() {
			c.refuse(errRoom)
			c.Close()
		}()
	}
}

// roomWithin is how long a connection that came waits for the end of the one that makes room for it: that is at rest, and its
// reader has nothing else to do.
const roomWithin = 50 * time.Millisecond

// enter holds a connection, if there is room or another makes some.
func (s *Server) enter(c *client) bool {
	for {
		s.mu.Lock()
		full := len(s.conns) >= s.limits.Clients
		var quiet *client
		if full || len(s.conns) >= s.limits.Used {
			first, idle, used := s.quietest()
			if quiet = idle; full {
				quiet = first
			} else if used < s.limits.Used {
				quiet = nil
			}
		}
		if !full {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if quiet != nil {
			quiet.askToEnd(func() bool { return !quiet.due })
			s.madeRoom.Add(1)
		}
		if !full {
			return true
		} else if quiet == nil {
			return false
		}
		// Descriptors are counted, not raced for: one has to go before one may come. Where a command came on that one just now,
		// another may go.
		select {
		case <-quiet.left:
		case <-time.After(roomWithin):
		}
	}
}

// quietest finds the connection that may go first to make room: one on which no command has come, then one on
// which nothing was handed in, then the one that idled longest; so a flood of connections that say nothing, or
// only ask whether the relay is there, drives out itself and not the clients in use. Of those with a command,
// idle is the first to go and used their number. It needs the lock.
func (s *Server) quietest() (first, idle *client, used int) {
	for c := range s.conns {
		c.mu.Lock()
		c.seen = quiet{c.use, c.last}
		free := !c.due && !c.asks && !c.rests && (c.use == nothing || c.half.IsZero())
		going := c.asks
		c.mu.Unlock()
		if c.seen.use > nothing && !going {
			used++
		}
		if free && (first == nil || c.seen.before(first.seen)) {
			first = c
		}
		if free && c.seen.use > nothing && (idle == nil || c.seen.before(idle.seen)) {
			idle = c
		}
	}
	return first, idle, used
}

// reserve takes the memory for a command of so many bytes from the budget, before they are buffered. The
// parser keeps its buffers, so it is given back only with the connection.
func (s *Server) reserve(c *client, bytes int64) bool {
	if bytes <= light {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	more := weight*bytes - c.weight
	if more > 0 && s.buffered+more > s.limits.Buffered {
		return false
	}
	if more > 0 && s.conns[c] {
		c.weight, s.buffered = c.weight+more, s.buffered+more
	}
	return true
}

// leave ends what the server holds of a connection.
func (s *Server) leave(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] {
		delete(s.conns, c)
		close(c.left)
	}
	s.buffered -= c.weight
	c.weight = 0
}

func (s *Server) room() Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// sweep looks after connections that are of no use, until the last is gone after Drain.
func (s *Server) sweep(ended <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case now := <-tick.C:
			for _, c := range s.clients() {
				c.sweep(now)
			}
		}
	}
}

// reusePort lets a second process listen on the same address.
func reusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); cerr != nil {
		return cerr
	}
	if err != nil { // alone on the address it serves as well; a successor then cannot start beside it
		slog.Warn("client address not shared with a successor", "err", err)
	}
	return nil
}
