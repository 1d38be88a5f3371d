package front

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"slatemux/internal/overload"
	"slatemux/internal/traffic"
)

const (
	// maxUnusedIdle is the idle time after which a connection without a submission is closed.
	maxUnusedIdle = 2 * time.Second
	// maxCommandTime bounds the time from the first byte of a command to its last.
	maxCommandTime = 2 * time.Second
	// maxIdle is the idle time after which any other connection is closed.
	maxIdle = 5 * time.Second
	// sweepInterval is how often these times are checked.
	sweepInterval = 250 * time.Millisecond
	// maxIdleLowMemory replaces maxIdle while memory is short.
	maxIdleLowMemory = 500 * time.Millisecond
	// writeTimeout bounds how long a client may leave its answers unread.
	writeTimeout = 2 * time.Second
	// lingerTimeout bounds how long input is discarded before a connection is closed. Without this, unread input would reset the
	// connection before the client has read the last reply.
	lingerTimeout = 2 * time.Second
	// noCapacityRetryIn is the retry time sent to a client if there is no connection or no memory for its command.
	noCapacityRetryIn = time.Second
)

var (
	errNoCapacity     = errors.New("no room for a command of that size")
	errCommandTimeout = errors.New("command not finished in time")
	errShutdown       = errors.New("the relay shuts down before the command is complete")
	errUnused         = errors.New("the connection ends before its first command")
)

// refusals holds the reply that a client reads, by the reason for which its connection is closed.
var refusals = map[error]string{errBadFrame: "-ERR Protocol error: " + errBadFrame.Error() + "\r\n",
	errCommandTimeout: "-ERR Protocol error: " + errCommandTimeout.Error() + "\r\n", errNoCapacity: fmt.Sprintf("-BUSY %d\r\n", noCapacityRetryIn.Milliseconds()), errShutdown: "-BUSY\r\n", errUnused: "-BUSY\r\n"}

// client is a connection of a client. One goroutine reads its commands, handles them one at a time and writes the answers. What waits in
// the connection's buffers is bounded: further input waits in the client's and the kernel's buffers.
//
// Only its reading goroutine ends it, and only between two reads. So the connection is never closed between the read of a command
// and its answer. Other goroutines request the end and wake the reader. The reader checks once more for input, shuts the sending
// side, and discards what still arrives. A command that arrives during the end is therefore not read, and its client submits it
// again. A close with unread input could reset the connection, and the client would lose earlier answers.
type client struct {
	net.Conn
	server  *Server
	created time.Time

	bufferBytes int // size of each buffer of the connection
	closeOnce   sync.Once
	removed     chan struct{} // closed once the server no longer counts this connection

	// Used by the reading goroutine alone, which also handles commands and writes answers.
	guard            guard
	input            inputBuffer
	replies          replyBuffer
	raw              syscall.RawConn // nil if the system does not describe the connection
	arrivals         arrivalLog
	queueMayHoldMore bool                    // the last read has filled its space
	queueUnknown     bool                    // the system does not tell what the receive queue holds
	awaited          []<-chan traffic.Answer // answers of the relay to submissions, in their order, that are not in replies yet
	answered         int                     // number of commands
	decision         *overload.Decision      // on the current submission; nil if admission has not decided yet
	readPause        time.Duration           // pause before the next read, after a refusal
	writeErr         error                   // of the first write that failed

	hasReserved   bool  // reservedBytes is not 0; used by the reading goroutine alone
	reservedBytes int64 // taken from the server's budget; guarded by the server's lock
	awaitedBytes  int64 // the same for submissions in awaited

	mu            sync.Mutex
	answerPending bool      // a complete command was read and its answer is not written yet
	usage         usage     // the most useful input so far
	commandLate   bool      // the unfinished command has exceeded maxCommandTime
	endRequested  bool      // the connection is to end unless a command arrives first
	readPaused    bool      // the reader sleeps and could not end the connection at once
	commandStart  time.Time // arrival of the first byte of the unfinished command; zero if there is none
	lastReceived  time.Time // arrival of the newest bytes

	rank evictionRank // usage and lastReceived when evictionCandidates last looked; guarded by the server's lock
}

// markSubmission records that the client submits transactions on this connection.
func (c *client) markSubmission() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage = submissionSeen
}

// serve answers commands until the connection ends.
func (c *client) serve() {
	defer c.Close()
	defer c.input.free()
	c.input = newInputBuffer(c.bufferBytes, &c.server.largeBuffers)
	if raw := rawConn(c.Conn); raw != nil && describesConnection(raw) {
		c.raw = raw
	}
	c.arrivals = newArrivalLog(c.created.Add(-c.establishedAge()))
	for {
		inputErr := c.answerInput()
		if inputErr != nil || !c.mayReadOn() {
			c.awaitAnswers()
			if c.flush(); c.writeErr != nil {
				return
			}
			if inputErr != nil {
				c.endWithError(inputErr)
				return
			}
			c.pauseReading()
		}
		space := c.input.space(c.guard.missingBytes())
		n, err := c.receive(space)
		if c.input.added(n); n == 0 && err != nil {
			c.awaitAnswers() // its client may have shut its sending side alone
			c.flush()
			return
		}
		if n == len(space) { // probably more waits: other clients come first
			runtime.Gosched()
		}
	}
}

// maxAwaited bounds the submissions of one connection that wait for the same step of the relay.
const maxAwaited = 32

// mayReadOn reports whether more input is there, whose submissions can share a step of the relay with those that wait.
func (c *client) mayReadOn() bool {
	if len(c.awaited) == 0 || c.readPause > 0 || c.raw == nil {
		return false
	}
	bytes, ok := queuedBytes(c.raw)
	return ok && bytes > 0
}

// awaitAnswers waits for the relay's answers to the submissions so far.
func (c *client) awaitAnswers() {
	if len(c.awaited) == 0 {
		return
	}
	for _, answer := range c.awaited {
		c.replies.answer(<-answer)
	}
	c.server.releaseAwaited(c)
	if !c.arrivals.windowOpen(c.arrivals.readBytes) {
		c.sampleQueue(time.Now()) // before the client can react to an answer
	}
	clear(c.awaited)
	c.awaited = c.awaited[:0]
}

// answerInput handles the complete commands of the input. It returns an error if the input cannot be read on.
func (c *client) answerInput() error {
	for c.writeErr == nil {
		result, err := c.input.scan(&c.guard)
		if result == bodyAnnounced {
			c.decide()
		}
		if err == nil && !c.reserveCommand(int64(c.guard.commandBytes)) {
			err = errNoCapacity
		}
		c.updateState(result, c.arrivals.readAt)
		if err != nil || result == unfinished {
			return err
		}
		if result != commandComplete {
			continue
		}
		if err := c.server.handle(c, c.input.command()); err != nil {
			return err
		}
		c.input.discardCommand()
		c.server.release(c)
		if c.replies.isFull() {
			c.flush()
			runtime.Gosched() // a client that sends without a pause must not keep the others waiting
		}
	}
	return nil
}

// endWithError answers input that cannot be read, or a command that there is no memory for, and ends the connection.
func (c *client) endWithError(err error) {
	c.server.badFrames.Add(1)
	slog.Warn("bad frame", "client", c.RemoteAddr(), "err", err)
	c.refuse(err)
}

// pauseReading pauses before the next read if a refusal asks for that. Meanwhile, further input stays in the client's and the kernel's
// buffers.
func (c *client) pauseReading() {
	if c.readPause <= 0 {
		return
	}
	c.setReadPaused(true)
	time.Sleep(c.readPause)
	c.setReadPaused(false)
	c.readPause = 0
	c.sampleQueue(time.Now())
}

func (c *client) setReadPaused(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readPaused = on
}

// decide reserves the memory for a submission of which everything but the body has arrived, and asks admission about it. The body of a
// refused submission is not kept. If the fields cannot be read, the complete command is answered with an error.
func (c *client) decide() {
	fields := c.guard.submissionFields(c.input.command())
	submission, ok := c.server.parseFields(fields, c.guard.value)
	if !ok {
		return
	}
	decision := overload.Decision{Refused: true, RetryIn: noCapacityRetryIn}
	if c.reserveCommand(int64(c.guard.commandBytes)) {
		decision = c.server.admit(submission)
	}
	c.decision = &decision
	if decision.Refused {
		c.guard.refuseBody()
		c.server.release(c)
	}
}

// takeDecision returns the decision on the current command and removes it, if there is one.
func (c *client) takeDecision() (overload.Decision, bool) {
	if c.decision == nil {
		return overload.Decision{}, false
	}
	decision := *c.decision
	c.decision = nil
	return decision, true
}

// updateState copies the progress of the reading goroutine to the fields that other goroutines read.
func (c *client) updateState(result scanResult, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result == commandComplete {
		c.usage, c.commandStart = max(c.usage, commandSeen), time.Time{}
	}
	if c.guard.state == atStart {
		c.commandStart = time.Time{}
	} else if c.commandStart.IsZero() {
		c.commandStart = now
	}
	c.answerPending, c.lastReceived, c.commandLate = c.hasAnswerPending(), now, c.commandLate && !c.commandStart.IsZero()
	c.endRequested = c.endRequested && !c.answerPending // a command that arrived cancels the request; an unfinished one is refused
}

// hasAnswerPending reports whether a command that was read is not answered, or its answer not written.
func (c *client) hasAnswerPending() bool {
	return c.answered < c.guard.completed || len(c.awaited) > 0 || !c.replies.isEmpty()
}

// flush writes the answers that wait.
func (c *client) flush() {
	if c.replies.isEmpty() {
		return
	}
	c.write(c.replies.take())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerPending = c.hasAnswerPending()
}

// write writes to the client. A client that leaves its answers unread for too long is cut off.
func (c *client) write(b []byte) {
	if c.writeErr == nil {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, c.writeErr = c.Conn.Write(b)
	}
}

// replyText answers with a text of any length. A long text is written directly.
func (c *client) replyText(text []byte) {
	if len(text) <= c.replies.fullBytes {
		c.replies.bulk(text)
		return
	}
	c.replies.bulkHeader(len(text))
	c.flush()
	c.write(text)
	c.replies.lineEnd()
}

// wakeReader interrupts a blocked read, so that the reading goroutine checks whether the connection is to end.
func (c *client) wakeReader() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// requestEnd requests the end of the connection if allowed returns true. A command that arrives first cancels the request.
func (c *client) requestEnd(allowed func() bool) {
	c.mu.Lock()
	c.endRequested = c.endRequested || allowed()
	requested := c.endRequested
	c.mu.Unlock()
	if requested {
		c.wakeReader()
	}
}

// sweep requests the end of the connection if it has been idle for too long, or if its unfinished command takes too long.
func (c *client) sweep(now time.Time) {
	c.mu.Lock()
	c.commandLate = !c.answerPending && !c.commandStart.IsZero() && now.Sub(c.commandStart) >= maxCommandTime
	late := c.commandLate
	c.mu.Unlock()
	if late { // the interrupted Read refuses the command
		c.wakeReader()
	}
	maxIdle := maxIdle
	if c.server.closeIdle.Load() {
		maxIdle = maxIdleLowMemory
	}
	c.requestEnd(func() bool {
		if c.answerPending || !c.commandStart.IsZero() {
			return false
		}
		return c.usage < submissionSeen && now.Sub(c.lastReceived) >= maxUnusedIdle || now.Sub(c.lastReceived) >= maxIdle
	})
}

// Close closes the connection, once.
func (c *client) Close() (err error) {
	c.closeOnce.Do(func() {
		c.server.remove(c)
		err = c.Conn.Close()
	})
	return err
}
