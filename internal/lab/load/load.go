// Package load is an open-loop load generator that submits messages to a relay over RESP2. Messages become due by a schedule,
// whether or not earlier ones were answered, and every latency counts from the due time. So a stalled relay cannot hide its stall by
// blocking the clients (coordinated omission).
package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"slatemux/internal/lab/ledger"
)

// Stream is a part of the traffic with messages of one class and tenant.
type Stream struct {
	Class     int // index of Config.Classes
	Tenant    string
	Share     float64       // weight among the streams
	BodyBytes int           // body size in bytes
	Deadline  time.Duration // since the first due time
}

// Step is a period of the schedule with a constant rate.
type Step struct {
	For  time.Duration
	Rate float64 // messages per second
}

// Config describes the load.
type Config struct {
	Addr            string
	Clients         int           // connections, each with one message at a time
	Patience        time.Duration // longest time that a message waits for a free client, and then for its answer
	Classes         []ledger.Class
	Streams         []Stream
	Steps           []Step
	Dests           []int
	MaxRetries      int     // submissions of a refused message after the first
	RetryAfterShare float64 // share of the refusals whose retry-after is observed; the other retries follow at once
	Seed            uint64
	Ledger          *ledger.Ledger
	Poisson         bool // gaps are exponentially distributed; otherwise constant
	Relay           int  // number of the relay at Addr, for the ledger
}

// message is a message that is due for submission.
type message struct {
	stream   int
	dest     int
	key      uint64
	due      time.Time
	deadline time.Time // counted from the first due time
	retries  int
}

// Load is the state of one run.
type Load struct {
	cfg     Config
	queue   chan message
	nextID  atomic.Uint64
	pending sync.WaitGroup // messages that are due and not finished, including scheduled retries
}

// Run submits messages by the schedule. It returns when the last message has its answer or its patience is over. When ctx ends, no
// further message becomes due.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Clients < 1 || len(cfg.Streams) == 0 || len(cfg.Dests) == 0 || cfg.Patience <= 0 {
		return errors.New("load: clients, streams, destinations and patience must be set")
	}
	maxRate := 0.0
	for _, s := range cfg.Steps {
		maxRate = max(maxRate, s.Rate)
	}
	l := &Load{cfg: cfg, queue: make(chan message, int(maxRate*cfg.Patience.Seconds())+cfg.Clients)}
	l.nextID.Store(cfg.Seed << 40)
	var clients sync.WaitGroup
	for i := range cfg.Clients {
		clients.Go(func() { l.client(uint64(i)) })
	}
	l.schedule(ctx)
	l.pending.Wait()
	close(l.queue)
	clients.Wait()
	return nil
}

// schedule queues each message at its due time. A message that finds the queue full is recorded as unsent: no client could take it
// within its patience.
func (l *Load) schedule(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	recorder := l.cfg.Ledger.NewRecorder()
	total := 0.0
	for _, s := range l.cfg.Streams {
		total += s.Share
	}
	dueAt := time.Now()
	for _, step := range l.cfg.Steps {
		end := dueAt.Add(step.For)
		if step.Rate <= 0 {
			time.Sleep(time.Until(end))
			dueAt = end
			continue
		}
		for gap := time.Duration(float64(time.Second) / step.Rate); dueAt.Before(end); {
			if wait := time.Until(dueAt); wait > 0 {
				time.Sleep(max(wait, time.Millisecond)) // one timer for all messages that are due within a millisecond
			}
			if ctx.Err() != nil {
				return
			}
			for now := time.Now(); !dueAt.After(now) && dueAt.Before(end); {
				m := message{stream: pickStream(rng, l.cfg.Streams, total), dest: l.cfg.Dests[rng.IntN(len(l.cfg.Dests))],
					key: rng.Uint64(), due: dueAt}
				m.deadline = dueAt.Add(l.cfg.Streams[m.stream].Deadline)
				l.pending.Add(1)
				select {
				case l.queue <- m:
				default:
					l.pending.Done()
					recorder.Submissions = append(recorder.Submissions, l.record(m, ledger.Unsent))
				}
				if l.cfg.Poisson {
					dueAt = dueAt.Add(time.Duration(rng.ExpFloat64() * float64(gap)))
				} else {
					dueAt = dueAt.Add(gap)
				}
			}
		}
		dueAt = end
	}
}

// pickStream draws a stream by the shares, whose sum is total.
func pickStream(rng *rand.Rand, streams []Stream, total float64) int {
	x := rng.Float64() * total
	for i, s := range streams {
		if x -= s.Share; x < 0 {
			return i
		}
	}
	return len(streams) - 1
}

// record returns a submission of a message under a new message id.
func (l *Load) record(m message, a ledger.Answer) ledger.Submission {
	return ledger.Submission{ID: l.nextID.Add(1), Class: l.cfg.Streams[m.stream].Class, Dest: m.dest, Due: m.due, Deadline: m.deadline,
		Answer: a, Resubmission: m.retries > 0, Relay: l.cfg.Relay}
}

// client submits due messages on one connection, one at a time.
func (l *Load) client(n uint64) {
	c := &client{load: l, recorder: l.cfg.Ledger.NewRecorder(), rng: rand.New(rand.NewPCG(l.cfg.Seed, 1000+n))}
	defer c.disconnect()
	for m := range l.queue {
		submission := l.record(m, ledger.Unsent)
		if time.Since(m.due) < l.cfg.Patience {
			c.submit(m, &submission)
		}
		c.recorder.Submissions = append(c.recorder.Submissions, submission)
		if submission.Answer == ledger.Refused && m.retries < l.cfg.MaxRetries {
			l.scheduleRetry(c.rng, m, submission.RetryIn)
		}
		l.pending.Done()
	}
}

// scheduleRetry makes a refused message due again after the wait, or at once for the share of refusals that RetryAfterShare leaves out. A
// message whose deadline would have passed by then is dropped.
func (l *Load) scheduleRetry(rng *rand.Rand, m message, wait time.Duration) {
	if rng.Float64() >= l.cfg.RetryAfterShare {
		wait = 0
	}
	if m.retries++; time.Now().Add(wait).After(m.deadline) {
		return
	}
	l.pending.Add(1)
	time.AfterFunc(wait, func() {
		m.due = time.Now()
		select {
		case l.queue <- m:
		default: // the queue is full: no client will be free in time
			l.pending.Done()
		}
	})
}

// client is one connection to the relay with its buffers.
type client struct {
	load     *Load
	recorder *ledger.Recorder
	rng      *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	encoded  []byte
	body     []byte
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit sends one message and waits for its answer within the patience. If the relay has closed a reused connection, submit opens
// a new one and sends the message once more.
func (c *client) submit(m message, submission *ledger.Submission) {
	stream := &c.load.cfg.Streams[m.stream]
	submission.Answer = ledger.NoAnswer
	submission.Sent = time.Now()
	until := submission.Sent.Add(c.load.cfg.Patience)
	for attempt := range 2 {
		reused := c.conn != nil
		if !reused {
			conn, err := net.DialTimeout("tcp", c.load.cfg.Addr, time.Until(until))
			if err != nil {
				return
			}
			c.conn, c.reader = conn, bufio.NewReaderSize(conn, 256)
		}
		c.encoded = c.command(c.encoded[:0], m, submission, stream)
		_ = c.conn.SetDeadline(until)
		_, err := c.conn.Write(c.encoded)
		written := err == nil
		var line string
		if err == nil {
			line, err = c.reader.ReadString('\n')
		}
		if err == nil {
			c.recordAnswer(submission, strings.TrimSuffix(line, "\r\n"))
			return
		}
		c.disconnect()
		var netErr net.Error
		timeout := errors.As(err, &netErr) && netErr.Timeout()
		if written && !timeout && !reused {
			submission.Unanswered = time.Now()
		}
		if timeout || !reused || attempt > 0 {
			return
		}
	}
}

// recordAnswer parses an answer of the relay into a submission.
func (c *client) recordAnswer(submission *ledger.Submission, line string) {
	submission.Answered = time.Now()
	switch {
	case strings.HasPrefix(line, "+"):
		submission.Answer = ledger.Accepted
	case strings.HasPrefix(line, "-BUSY"):
		submission.Answer = ledger.Refused
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		submission.RetryIn = time.Duration(ms) * time.Millisecond
	default:
		submission.Answer = ledger.Failed
	}
}

// command appends the MSG.PUT command of a message to b.
func (c *client) command(b []byte, m message, submission *ledger.Submission, stream *Stream) []byte {
	leftMillis := max(time.Until(m.deadline).Milliseconds(), 1)
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%016x,dest=%d", c.load.cfg.Classes[stream.Class].Name, stream.Tenant, leftMillis, m.key, m.dest)
	if m.retries > 0 {
		fields += ",r=1"
	}
	if len(c.body) != stream.BodyBytes {
		c.body = make([]byte, stream.BodyBytes)
		for i := range c.body {
			c.body[i] = 'a' + byte(i%26)
		}
	}
	b = append(b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$16\r\n"...)
	b = fmt.Appendf(b, "%016x\r\n$%d\r\n%s\r\n$%d\r\n", submission.ID, len(fields), fields, len(c.body))
	return append(append(b, c.body...), '\r', '\n')
}
