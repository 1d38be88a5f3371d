// Package load hands messages in to a relay over RESP2, open-loop: messages fall due by a schedule whether or
// not earlier ones were answered, and every time counts from when a message was due. So a relay that stalls
// cannot hide its stall by keeping its clients from asking (coordinated omission).
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

// Stream is one part of the traffic.
type Stream struct {
	Class    int // index of the classes
	Tenant   string
	Share    float64       // of the rate
	Body     int           // bytes
	Deadline time.Duration // that the message has
}

// Step is a stretch of the schedule.
type Step struct {
	For  time.Duration
	Rate float64 // messages a second
}

// Config says what is handed in.
type Config struct {
	Addr     string
	Clients  int           // connections, each with one message at a time
	Patience time.Duration // that a message waits for a client to send it, and then for its answer
	Classes  []ledger.Class
	Streams  []Stream
	Steps    []Step
	Dests    []int
	Retries  int     // times that a refused message is handed in again, after the time told
	Honour   float64 // share of the refusals whose time is heeded; others come again at once
	Seed     uint64
	Ledger   *ledger.Ledger
	Poisson  bool // gaps are exponential; else even
	Relay    int  // which relay Addr is, for the ledger
}

// message is one hand-in to be.
type message struct {
	stream   int
	dest     int
	key      uint64
	due      time.Time
	deadline time.Time // its deadline, from its first due time
	retries  int
}

// Load is a load under way.
type Load struct {
	cfg     Config
	due     chan message
	nextID  atomic.Uint64
	pending sync.WaitGroup // of messages that fell due and are not over, those that come again included
}

// Run hands in by the schedule and returns once the last message has its answer or is out of patience, or when
// ctx ends.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Clients < 1 || len(cfg.Streams) == 0 || len(cfg.Dests) == 0 || cfg.Patience <= 0 {
		return errors.New("load: clients, streams, destinations or patience are missing")
	}
	maxRate := 0.0
	for _, s := range cfg.Steps {
		maxRate = max(maxRate, s.Rate)
	}
	l := &Load{cfg: cfg, due: make(chan message, int(maxRate*cfg.Patience.Seconds())+cfg.Clients)}
	l.nextID.Store(cfg.Seed << 40)
	var clients sync.WaitGroup
	for i := range cfg.Clients {
		clients.Go(func() { l.client(uint64(i)) })
	}
	l.schedule(ctx)
	l.pending.Wait()
	close(l.due)
	clients.Wait()
	return nil
}

// schedule lets messages fall due. One that no client can take before its patience ends is noted as unsent.
func (l *Load) schedule(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	book := l.cfg.Ledger.NewRecorder()
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
				time.Sleep(max(wait, time.Millisecond)) // messages of one millisecond share a timer
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
				case l.due <- m:
				default:
					l.pending.Done()
					book.Submissions = append(book.Submissions, l.record(m, ledger.Unsent))
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

func pickStream(rng *rand.Rand, streams []Stream, total float64) int {
	x := rng.Float64() * total
	for i, s := range streams {
		if x -= s.Share; x < 0 {
			return i
		}
	}
	return len(streams) - 1
}

func (l *Load) record(m message, a ledger.Answer) ledger.Submission {
	return ledger.Submission{ID: l.nextID.Add(1), Class: l.cfg.Streams[m.stream].Class, Dest: m.dest, Due: m.due, Deadline: m.deadline,
		Answer: a, Resubmission: m.retries > 0, Relay: l.cfg.Relay}
}

// client is one connection that hands in one message at a time.
func (l *Load) client(n uint64) {
	c := &client{load: l, book: l.cfg.Ledger.NewRecorder(), rng: rand.New(rand.NewPCG(l.cfg.Seed, 1000+n))}
	defer c.disconnect()
	for m := range l.due {
		h := l.record(m, ledger.Unsent)
		if time.Since(m.due) < l.cfg.Patience {
			c.submit(m, &h)
		}
		c.book.Submissions = append(c.book.Submissions, h)
		if h.Answer == ledger.Refused && m.retries < l.cfg.Retries {
			l.scheduleRetry(c.rng, m, h.RetryIn)
		}
		l.pending.Done()
	}
}

// scheduleRetry hands a refused message in once more, under a new id, when its time has come.
func (l *Load) scheduleRetry(rng *rand.Rand, m message, wait time.Duration) {
	if rng.Float64() >= l.cfg.Honour {
		wait = 0
	}
	if m.retries++; time.Now().Add(wait).After(m.deadline) {
		return
	}
	l.pending.Add(1)
	time.AfterFunc(wait, func() {
		m.due = time.Now()
		select {
		case l.due <- m:
		default: // no client will be free in time
			l.pending.Done()
		}
	})
}

type client struct {
	load *Load
	book *ledger.Recorder
	rng  *rand.Rand
	nc   net.Conn
	r    *bufio.Reader
	buf  []byte
	body []byte
}

func (c *client) disconnect() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// submit hands one message in and waits for its answer as long as its patience lasts. A connection that the relay
// closed between requests is replaced once.
func (c *client) submit(m message, h *ledger.Submission) {
	s := &c.load.cfg.Streams[m.stream]
	h.Answer = ledger.NoAnswer
	h.Sent = time.Now()
	until := h.Sent.Add(c.load.cfg.Patience)
	for attempt := range 2 {
		reused := c.nc != nil
		if !reused {
			nc, err := net.DialTimeout("tcp", c.load.cfg.Addr, time.Until(until))
			if err != nil {
				return
			}
			c.nc, c.r = nc, bufio.NewReaderSize(nc, 256)
		}
		c.buf = c.command(c.buf[:0], m, h, s)
		_ = c.nc.SetDeadline(until)
		_, err := c.nc.Write(c.buf)
		var line string
		if err == nil {
			line, err = c.r.ReadString('\n')
		}
		if err == nil {
			c.recordAnswer(h, strings.TrimSuffix(line, "\r\n"))
			return
		}
		c.disconnect()
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() || !reused || attempt > 0 {
			return
		}
	}
}

func (c *client) recordAnswer(h *ledger.Submission, line string) {
	h.Answered = time.Now()
	switch {
	case strings.HasPrefix(line, "+"):
		h.Answer = ledger.Accepted
	case strings.HasPrefix(line, "-BUSY"):
		h.Answer = ledger.Refused
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		h.RetryIn = time.Duration(ms) * time.Millisecond
	default:
		h.Answer = ledger.Failed
	}
}

// command encodes MSG.PUT.
func (c *client) command(b []byte, m message, h *ledger.Submission, s *Stream) []byte {
	leftMillis := max(time.Until(m.deadline).Milliseconds(), 1)
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%016x,dest=%d", c.load.cfg.Classes[s.Class].Name, s.Tenant, leftMillis, m.key, m.dest)
	if m.retries > 0 {
		fields += ",r=1"
	}
	if len(c.body) != s.Body {
		c.body = make([]byte, s.Body)
		for i := range c.body {
			c.body[i] = 'a' + byte(i%26)
		}
	}
	b = append(b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$16\r\n"...)
	b = fmt.Appendf(b, "%016x\r\n$%d\r\n%s\r\n$%d\r\n", h.ID, len(fields), fields, len(c.body))
	return append(append(b, c.body...), '\r', '\n')
}
