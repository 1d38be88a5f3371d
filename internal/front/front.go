// Package front is the virtual server: it reads commands from clients, with redcon as the protocol's parser, and answers them. All memory that
// clients can make it take has a bound: a connection has a buffer of a fixed size, from which its commands are handled one at a time, and
// larger commands reserve their memory from a budget over all connections.
package front

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"slatemux/internal/dispatch"
	"slatemux/internal/overload"
	"slatemux/internal/traffic"
)

// Relay takes the transactions that clients submit. Any protocol's server can use it.
type Relay interface {
	// Submit submits a transaction that was read at the time received, and whose last byte cannot have been sent before arrived.
	Submit(t traffic.Transaction, arrived, received time.Time) <-chan traffic.Answer
}

// Admission decides on submissions before they reach the relay. ReadPause returns how long reading from a connection pauses after a
// refusal.
type Admission interface {
	Admit(overload.Submission) overload.Decision
	ReadPause() time.Duration
}

// Counters holds counts since the start.
type Counters struct{ Accepted, Refused, Evicted, Commands, BadCommands, BadFrames, Shed, ShedUnread, PausedReads, Abandoned int64 }

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("accepted", c.Accepted), slog.Int64("turned_away", c.Refused),
		slog.Int64("made_room", c.Evicted), slog.Int64("commands", c.Commands),
		slog.Int64("bad_commands", c.BadCommands), slog.Int64("bad_frames", c.BadFrames),
		slog.Int64("shed", c.Shed), slog.Int64("shed_unread", c.ShedUnread), slog.Int64("rested", c.PausedReads), slog.Int64("abandoned", c.Abandoned))
}

// Server serves clients on one listener.
type Server struct {
	relay     Relay
	admission Admission // nil: every submission is admitted
	classes   map[string]dispatch.Effect
	listener  net.Listener

	mu            sync.Mutex
	limits        Limits
	reservedBytes int64 // by large commands; bounded by Limits.MaxBufferedBytes
	conns         map[*client]bool
	largeBuffers  bufferPool
	shedBy        map[string]*atomic.Int64 // by class: submissions that overload control refused after their command was read

	draining         atomic.Bool
	refuseUnfinished atomic.Bool  // set by Shutdown: unfinished commands are refused
	lingering        atomic.Int64 // connections whose sending side is shut and whose remaining input is discarded
	closeIdle        atomic.Bool  // idle connections are closed early, since memory is short

	shed, shedUnread, pausedReads, abandoned atomic.Int64

	accepted, refused, evicted, commands, badCommands, badFrames atomic.Int64
}

// Limits bounds what a server holds.
type Limits struct {
	MaxConns         int   // maximum number of connections
	MaxUsedConns     int   // connections that have sent a command; above this number, idle ones are closed to make room for new ones
	MaxBufferedBytes int64 // bytes of memory for commands that do not fit into the buffer of a connection, over all connections
	MaxConnBytes     int64 // bytes of memory for the buffers of all connections
}

// Listen opens a virtual server with the given limits. Admission may be nil.
func Listen(addr string, limits Limits, classes []dispatch.Class, relay Relay, admission Admission) (*Server, error) {
	// During a handover a successor process listens on the same address. The kernel distributes new connections over both.
	ln, err := listenWithRetry(func() (net.Listener, error) {
		return (&net.ListenConfig{Control: reusePort}).Listen(context.Background(), "tcp", addr)
	})
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	s := &Server{relay: relay, admission: admission, classes: map[string]dispatch.Effect{}, limits: limits, listener: ln, conns: map[*client]bool{},
		shedBy: map[string]*atomic.Int64{}}
	for _, c := range classes {
		s.classes[c.Name] = c.Effect
		s.shedBy[c.Name] = new(atomic.Int64) // the keys are fixed from here on, so any goroutine may read the map
	}
	return s, nil
}

// SetLimits changes the limits. Connections and memory already in use stay.
func (s *Server) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// ShedByClass returns, by class, the number of submissions that overload control refused after their command was read.
func (s *Server) ShedByClass() map[string]int64 {
	counts := make(map[string]int64, len(s.shedBy))
	for name, n := range s.shedBy {
		counts[name] = n.Load()
	}
	return counts
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// maxServeAfterDrain bounds how long Serve waits after Drain until the clients are served.
const maxServeAfterDrain = time.Hour

// Serve accepts and serves connections until Drain. It returns once the connections have ended, or an hour after Drain.
func (s *Server) Serve() error {
	ended := make(chan struct{})
	defer close(ended)
	go s.sweep(ended)
	s.acceptClients()
	s.WaitDrained(time.Now().Add(maxServeAfterDrain))
	for _, c := range s.clients() {
		c.Close()
	}
	return nil
}

// Drain closes the listener and ends each connection as soon as none of its requests is being processed. A request that arrives
// after that is not read; its client sends it again to another relay.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.listener.Close()
	for _, c := range s.clients() {
		c.wakeReader()
	}
}

// Shutdown drains the server and also refuses unfinished commands instead of waiting for the rest of them.
func (s *Server) Shutdown() {
	s.refuseUnfinished.Store(true)
	s.Drain()
}

// WaitDrained waits until every client has its answer and no input is being discarded any more. It returns false if the deadline passes
// first.
func (s *Server) WaitDrained(deadline time.Time) bool {
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
	return Counters{s.accepted.Load(), s.refused.Load(), s.evicted.Load(), s.commands.Load(), s.badCommands.Load(),
		s.badFrames.Load(), s.shed.Load(), s.shedUnread.Load(), s.pausedReads.Load(), s.abandoned.Load()}
}

// SetCloseIdle sets whether connections are closed after the short idle time for low memory.
func (s *Server) SetCloseIdle(on bool) { s.closeIdle.Store(on) }

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// refuse answers a submission that is not admitted, or that there is no memory for. Reading from its connection then pauses if admission asks
// for that.
func (s *Server) refuse(c *client, decision overload.Decision) {
	s.shed.Add(1)
	c.awaitAnswers()
	c.replies.answer(traffic.Answer{Verdict: traffic.Busy, RetryIn: decision.RetryIn})
	if s.admission == nil {
		return
	}
	if c.readPause = s.admission.ReadPause(); c.readPause > 0 {
		s.pausedReads.Add(1)
	}
}

// handle answers one command, whose framing the guard has checked. After an error the connection has to end.
func (s *Server) handle(c *client, text []byte) error {
	received := time.Now()
	if c.queueMayHoldMore {
		c.sampleQueue(received)
	}
	decision, decided := c.takeDecision()
	if decision.Refused { // its body was not kept
		s.commands.Add(1)
		c.answered++
		s.shedUnread.Add(1)
		c.markSubmission()
		s.refuse(c, decision)
		return nil
	}
	var buffer [maxArgs][]byte
	args, err := splitArgs(text, buffer[:0])
	if err != nil {
		return err
	}
	s.commands.Add(1)
	c.answered++ // here, in the reading goroutine, before the answer is written
	arrived := received
	if isSubmission(args) { // others have no time
		arrived = c.arrivals.earliestArrival(c.arrivals.readBytes - int64(c.input.unscannedBytes()))
	}
	parsed, err := Parse(args, s.classes, arrived)
	if _, ok := parsed.(Submit); err != nil || !ok {
		c.awaitAnswers() // the answers keep the order of the commands
	}
	if err != nil {
		s.badCommands.Add(1)
		slog.Warn("bad command", "client", c.RemoteAddr(), "err", err)
		c.replies.error("ERR " + err.Error())
		return nil
	}
	switch command := parsed.(type) {
	case Ping:
		if command.Text != nil {
			c.replyText(command.Text)
		} else {
			c.replies.text("PONG")
		}
	case Submit:
		c.markSubmission()
		if c.raw != nil && hasLeft(c.raw) { // nobody hears the answer, and the client may have handed the message in elsewhere
			s.abandoned.Add(1)
			c.awaitAnswers()
			c.replies.answer(traffic.Answer{Verdict: traffic.Busy})
			return nil
		}
		if !decided && s.refuseInline(c, &command.Transaction, received) {
			return nil
		}
		c.awaited = append(c.awaited, s.relay.Submit(command.Transaction, arrived, received))
		c.input.discardCommand() // a large command must not be held twice while its answer is awaited
		s.release(c)
		if !s.reserveAwaited(c, int64(command.Transaction.Size())) {
			c.awaitAnswers()
			c.flush()
		}
	case Unknown:
		s.badCommands.Add(1)
		slog.Warn("bad command", "client", c.RemoteAddr(), "err", "unknown command", "name", command.Name)
		c.replies.error("ERR unknown command " + command.Name)
	}
	return nil
}

// admit asks admission about a submission.
func (s *Server) admit(submission overload.Submission) overload.Decision {
	if s.admission == nil {
		return overload.Decision{}
	}
	return s.admission.Admit(submission)
}

// refuseInline asks admission about a submission in the inline form, whose body was not announced. It answers the submission and returns true
// if it is refused.
func (s *Server) refuseInline(c *client, transaction *traffic.Transaction, received time.Time) bool {
	decision := s.admit(overload.Submission{Class: transaction.Class, Tenant: transaction.Tenant, BodyBytes: len(transaction.Body),
		TimeLeft: transaction.Deadline.Sub(received)})
	if !decision.Refused {
		return false
	}
	if n := s.shedBy[transaction.Class]; n != nil { // Parse accepts only the classes of the settings
		n.Add(1)
	}
	s.refuse(c, decision)
	return true
}

// remove unregisters a connection and returns its memory to the budget.
func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] {
		delete(s.conns, c)
		close(c.removed)
	}
	s.reservedBytes -= c.reservedBytes + c.awaitedBytes
	c.reservedBytes, c.awaitedBytes = 0, 0
}

func (s *Server) currentLimits() Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// sweep regularly ends connections that are idle or too slow, until the last one has ended after Drain.
func (s *Server) sweep(ended <-chan struct{}) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case now := <-tick.C:
			s.largeBuffers.clear(s.currentLimits().MaxBufferedBytes / commandMemoryFactor)
			for _, c := range s.clients() {
				c.sweep(now)
			}
		}
	}
}
