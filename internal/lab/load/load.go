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
	stream int
	dest   int
	key    uint64
	due    time.Time
	end    time.Time // its deadline, from its first due time
	tries  int
}

// Load is a load under way.
type Load struct {
	cfg Config
	due chan message
	seq atomic.Uint64
	wg  sync.WaitGroup // of messages that fell due and are not over, those that come again included
}

// Run hands in by the schedule and returns once the last message has its answer or is out of patience, or when
// ctx ends.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Clients < 1 || len(cfg.Streams) == 0 || len(cfg.Dests) == 0 || cfg.Patience <= 0 {
		return errors.New("load: clients, streams, destinations or patience are missing")
	}
	most := 0.0
	for _, s := range cfg.Steps {
		most = max(most, s.Rate)
	}
	l := &Load{cfg: cfg, due: make(chan message, int(most*cfg.Patience.Seconds())+cfg.Clients)}
	l.seq.Store(cfg.Seed << 40)
	var clients sync.WaitGroup
	for i := range cfg.Clients {
		clients.Go(func() { l.client(uint64(i)) })
	}
	l.schedule(ctx)
	l.wg.Wait()
	close(l.due)
	clients.Wait()
	return nil
}

// schedule lets messages fall due. One that no client can take before its patience ends is noted as unsent.
func (l *Load) schedule(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 1))
	book := l.cfg.Ledger.Book()
	total := 0.0
	for _, s := range l.cfg.Streams {
		total += s.Share
	}
	at := time.Now()
	for _, step := range l.cfg.Steps {
		end := at.Add(step.For)
		if step.Rate <= 0 {
			time.Sleep(time.Until(end))
			at = end
			continue
		}
		for gap := time.Duration(float64(time.Second) / step.Rate); at.Before(end); {
			if wait := time.Until(at); wait > 0 {
				time.Sleep(max(wait, time.Millisecond)) // messages of one millisecond share a timer
			}
			if ctx.Err() != nil {
				return
			}
			for now := time.Now(); !at.After(now) && at.Before(end); {
				m := message{stream: pick(rng, l.cfg.Streams, total), dest: l.cfg.Dests[rng.IntN(len(l.cfg.Dests))],
					key: rng.Uint64(), due: at}
				m.end = at.Add(l.cfg.Streams[m.stream].Deadline)
				l.wg.Add(1)
				select {
				case l.due <- m:
				default:
					l.wg.Done()
					book.HandIns = append(book.HandIns, l.record(m, ledger.Unsent))
				}
				if l.cfg.Poisson {
					at = at.Add(time.Duration(rng.ExpFloat64() * float64(gap)))
				} else {
					at = at.Add(gap)
				}
			}
		}
		at = end
	}
}

func pick(rng *rand.Rand, streams []Stream, total float64) int {
	x := rng.Float64() * total
	for i, s := range streams {
		if x -= s.Share; x < 0 {
			return i
		}
	}
	return len(streams) - 1
}

func (l *Load) record(m message, a ledger.Answer) ledger.HandIn {
	return ledger.HandIn{ID: l.seq.Add(1), Class: l.cfg.Streams[m.stream].Class, Dest: m.dest, Due: m.due, Deadline: m.end,
		Answer: a, Again: m.tries > 0, Relay: l.cfg.Relay}
}

// client is one connection that hands in one message at a time.
func (l *Load) client(n uint64) {
	c := &client{l: l, book: l.cfg.Ledger.Book(), rng: rand.New(rand.NewPCG(l.cfg.Seed, 1000+n))}
	defer c.hangUp()
	for m := range l.due {
		h := l.record(m, ledger.Unsent)
		if time.Since(m.due) < l.cfg.Patience {
			c.put(m, &h)
		}
		c.book.HandIns = append(c.book.HandIns, h)
		if h.Answer == ledger.Refused && m.tries < l.cfg.Retries {
			l.again(c.rng, m, h.RetryIn)
		}
		l.wg.Done()
	}
}

// again hands a refused message in once more, under a new id, when its time has come.
func (l *Load) again(rng *rand.Rand, m message, in time.Duration) {
	if rng.Float64() >= l.cfg.Honour {
		in = 0
	}
	if m.tries++; time.Now().Add(in).After(m.end) {
		return
	}
	l.wg.Add(1)
	time.AfterFunc(in, func() {
		m.due = time.Now()
		select {
		case l.due <- m:
		default: // no client will be free in time
			l.wg.Done()
		}
	})
}

type client struct {
	l    *Load
	book *ledger.Book
	rng  *rand.Rand
	nc   net.Conn
	r    *bufio.Reader
	buf  []byte
	body []byte
}

func (c *client) hangUp() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// put hands one message in and waits for its answer as long as its patience lasts. A connection that the relay
// closed between requests is replaced once.
func (c *client) put(m message, h *ledger.HandIn) {
	s := &c.l.cfg.Streams[m.stream]
	h.Answer = ledger.NoAnswer
	h.Sent = time.Now()
	until := h.Sent.Add(c.l.cfg.Patience)
	for try := range 2 {
		warm := c.nc != nil
		if !warm {
			nc, err := net.DialTimeout("tcp", c.l.cfg.Addr, time.Until(until))
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
			c.heard(h, strings.TrimSuffix(line, "\r\n"))
			return
		}
		c.hangUp()
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() || !warm || try > 0 {
			return
		}
	}
}

func (c *client) heard(h *ledger.HandIn, line string) {
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
func (c *client) command(b []byte, m message, h *ledger.HandIn, s *Stream) []byte {
	left := max(time.Until(m.end).Milliseconds(), 1)
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,k=%016x,dest=%d", c.l.cfg.Classes[s.Class].Name, s.Tenant, left, m.key, m.dest)
	if m.tries > 0 {
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
