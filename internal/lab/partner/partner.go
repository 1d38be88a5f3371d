// Package partner is a stand-in for an outside partner's endpoint: HTTP/1.1 on loopback, with a life that a
// script sets. It speaks what the platform's protocol page says of endpoints, and records every call.
package partner

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"slatemux/internal/lab/ledger"
)

// Mode is what an endpoint does with a call.
type Mode int

// The modes.
const (
	Serving   Mode = iota
	Refusing       // no listener; open connections are reset
	Silent         // connections come up and calls are read, but nothing is answered
	Resetting      // calls are read, and then the connection is reset
	Shut           // 503 for every call
)

// Latency is a distribution of service times.
type Latency struct {
	Mean time.Duration
	CV   float64 // coefficient of variation of a lognormal; 0 for always the mean
}

func (l Latency) draw(rng *rand.Rand) time.Duration {
	if l.CV <= 0 {
		return l.Mean
	}
	s2 := math.Log1p(l.CV * l.CV)
	return time.Duration(float64(l.Mean) * math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2))
}

// Phase is a stretch of an endpoint's life, until the next one begins.
type Phase struct {
	From      time.Duration // since the start
	Mode      Mode
	Latency   Latency
	Rate      float64       // calls a second that are let in; 0 for no limit
	Wait      time.Duration // told with a refusal over Rate
	ErrorRate float64       // share answered 500 after the work
	Cold      time.Duration // the phase begins cold and is warm after this
	ColdFrom  float64       // share of Rate that it has at once; it falls where twice that arrives
}

// Gate is the limit of a partner, over all its endpoints.
type Gate struct {
	mu     sync.Mutex
	bucket float64
	filled time.Time
	recent []time.Time // arrivals in the last second, while cold
}

// begin fills it at the beginning of a phase.
func (g *Gate) begin(p *Phase, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bucket, g.filled, g.recent = p.Rate, now, nil
}

// take lets a call in, or not; it says what the rate is just now, what share of it is left, and whether a cold partner is pushed
// over.
func (g *Gate) take(p *Phase, age time.Duration, now time.Time) (in bool, rate, left float64, over bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rate = p.Rate; p.Cold > 0 && age < p.Cold {
		rate *= p.ColdFrom + (1-p.ColdFrom)*float64(age)/float64(p.Cold)
		g.recent = append(g.recent, now)
		for len(g.recent) > 0 && now.Sub(g.recent[0]) > time.Second {
			g.recent = g.recent[1:]
		}
		over = float64(len(g.recent)) > 2*rate+4
	}
	if p.Rate <= 0 {
		return true, 0, 1, over
	}
	g.bucket = min(g.bucket+rate*now.Sub(g.filled).Seconds(), max(rate, 1))
	g.filled = now
	if in = g.bucket >= 1 && p.Mode != Shut; in {
		g.bucket--
	}
	return in, rate, max(g.bucket, 0) / max(rate, 1), over
}

// Config says what an endpoint is.
type Config struct {
	Gate *Gate // shared with the partner's other endpoints; nil for one of its own

	Name   string
	Dest   int
	Addr   string // "127.0.0.1:0" for a port that the system chooses
	Life   []Phase
	Ledger *ledger.Ledger
	Seed   uint64
	Share  float64 // the rate that the list gives; 0 for that of the first phase, 20 at least
	Report string  // of X-Backend-Load; empty for a report of the present limit
	Batch  int     // how many a call may carry; 0 for one alone

	TLS *tls.Config // of a server; nil for plain

	Refuse string            // a body that is turned away with 429 and the phase's Wait; empty for none
	OnCall func(ledger.Call) // is told of each call that was answered; nil for nobody
}

// Server is one endpoint.
type Server struct {
	cfg   Config
	addr  string
	start time.Time

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool // whether a call is under way
	gen     int               // of connections
	phase   Phase
	since   time.Time // of the phase
	closed  bool
	calls   int64
	shook   [2]int64 // handshakes in full, and resumed
	changed chan struct{}
	begun   chan struct{} // closed when the life begins anew
	wg      sync.WaitGroup
}

// Start opens an endpoint and begins its life.
func Start(cfg Config) (*Server, error) {
	if len(cfg.Life) == 0 {
		return nil, errors.New("partner: a life needs a phase")
	}
	if cfg.Gate == nil {
		cfg.Gate = &Gate{}
	}
	s := &Server{cfg: cfg, start: time.Now(), conns: map[net.Conn]bool{}, changed: make(chan struct{}), begun: make(chan struct{})}
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", cfg.Name, err)
	}
	s.addr, s.ln = ln.Addr().String(), ln
	s.enter(cfg.Life[0])
	s.wg.Go(func() { s.accept(ln) })
	s.wg.Go(func() { s.live(s.begun) })
	return s, nil
}

// Restart begins the life anew from now.
func (s *Server) Restart() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	close(s.begun)
	s.begun = make(chan struct{})
	s.start = time.Now()
	again := s.begun
	s.mu.Unlock()
	s.enter(s.cfg.Life[0])
	s.wg.Go(func() { s.live(again) })
}

// Addr is where the endpoint listens, or will again.
func (s *Server) Addr() string { return s.addr }

// Calls is how many calls were read.
func (s *Server) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handshakes is how many were made in full, and how many resumed a session.
func (s *Server) Handshakes() (full, resumed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shook[0], s.shook[1]
}

// Close ends the endpoint and waits for its connections.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.changed)
	}
	s.hush()
	s.mu.Unlock()
	s.wg.Wait()
}

// hush closes listener and connections. It needs the lock.
func (s *Server) hush() {
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for c := range s.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		c.Close()
	}
}

// live goes through the phases.
func (s *Server) live(again chan struct{}) {
	s.mu.Lock()
	start := s.start
	s.mu.Unlock()
	for _, p := range s.cfg.Life[1:] {
		select {
		case <-s.changed:
			return
		case <-again:
			return
		case <-time.After(time.Until(start.Add(p.From))):
		}
		s.enter(p)
	}
}

// Enter begins a phase at once; the script goes on as before.
func (s *Server) Enter(p Phase) { s.enter(p) }

func (s *Server) enter(p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.phase, s.since = p, time.Now()
	s.cfg.Gate.begin(&p, s.since)
	if p.Mode == Refusing {
		s.hush()
		return
	}
	if s.ln == nil {
		ln, err := net.Listen("tcp", s.addr)
		for i := 0; err != nil && i < 50; i++ { // another may hold the port for a moment
			time.Sleep(10 * time.Millisecond)
			ln, err = net.Listen("tcp", s.addr)
		}
		if err != nil {
			return
		}
		s.ln = ln
		s.wg.Go(func() { s.accept(ln) })
	}
}

func (s *Server) accept(ln net.Listener) {
	for n := uint64(0); ; n++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.ln != ln {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = false
		gen := s.gen
		s.wg.Go(func() { s.serve(c, n, gen) })
		s.mu.Unlock()
	}
}

// verdict is what becomes of one call.
type verdict struct {
	mode   Mode
	status int
	wait   time.Duration
	after  time.Duration
	cold   bool
	report string
}

// rule decides on a call that has arrived.
func (s *Server) rule(rng *rand.Rand) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	p, now := s.phase, time.Now()
	v := verdict{mode: p.Mode, status: 200, after: p.Latency.draw(rng), report: s.cfg.Report}
	in, rate, left, over := s.cfg.Gate.take(&p, now.Sub(s.since), now)
	v.cold = over
	switch {
	case p.Mode == Shut:
		v.status, v.after, v.wait = 503, 0, p.Wait
	case !in:
		v.status, v.after, v.wait = 429, 0, p.Wait
	}
	if v.status == 200 && rng.Float64() < p.ErrorRate {
		v.status = 500
	}
	if v.report == "" {
		v.report = fmt.Sprintf("x0=%.3f,x1=%.3f", left, rate)
	}
	return v
}

var errCall = errors.New("not a call")

// request is what a call's head says.
type request struct {
	id    uint64
	body  int
	gone  bool // Connection: close
	batch bool // it carries several
}

// readHead reads a call's head. first is when its first byte was there.
func readHead(r *bufio.Reader) (req request, first time.Time, err error) {
	if _, err = r.Peek(1); err != nil {
		return req, first, err
	}
	first = time.Now()
	for n := 0; ; n++ {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return req, first, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if n == 0 {
			if req.batch = bytes.HasPrefix(line, []byte("POST /hook/batch HTTP/1.1")); !req.batch && !bytes.HasPrefix(line, []byte("POST /hook HTTP/1.1")) {
				return req, first, errCall
			}
			continue
		}
		if len(line) == 0 {
			return req, first, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("X-Correlation-Id")):
			if req.id, err = strconv.ParseUint(string(value), 16, 64); err != nil {
				return req, first, errCall
			}
		case bytes.EqualFold(name, []byte("Content-Length")):
			if req.body, err = strconv.Atoi(string(value)); err != nil || req.body < 0 || req.body > 1<<20 {
				return req, first, errCall
			}
		case bytes.EqualFold(name, []byte("Connection")):
			req.gone = bytes.EqualFold(value, []byte("close"))
		}
	}
}

// several reads the body of a call that carries several: a line for each, with its id, key and length, and its bytes.
func several(r *bufio.Reader, n int) (ids []string, err error) {
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	for len(text) > 0 {
		line, rest, ok := bytes.Cut(text, []byte("\r\n"))
		parts := bytes.Split(line, []byte(" "))
		if !ok || len(parts) != 3 || slices.Contains(ids, string(parts[0])) {
			return nil, errCall
		}
		size, err := strconv.Atoi(string(parts[2]))
		if err != nil || size < 0 || len(rest) < size+2 || string(rest[size:size+2]) != "\r\n" {
			return nil, errCall
		}
		ids, text = append(ids, string(parts[0])), rest[size+2:]
	}
	return ids, nil
}

// body reads past a body, and says whether it is one that is to be refused.
func (s *Server) body(r *bufio.Reader, n int) (refuse bool, err error) {
	if n != len(s.cfg.Refuse) || n == 0 {
		_, err = r.Discard(n)
		return false, err
	}
	text := make([]byte, n)
	_, err = io.ReadFull(r, text)
	return string(text) == s.cfg.Refuse, err
}

// Recycle ends every connection as a terminator of TLS does that starts anew: idle ones at once, others behind the answer
// of the call that is under way.
func (s *Server) Recycle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gen++
	for c, busy := range s.conns {
		if !busy {
			c.Close()
		}
	}
}

// busy notes whether a call is under way on a connection, and says whether it is of the present generation.
func (s *Server) busy(c net.Conn, on bool, gen int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		s.conns[c] = on
	}
	return gen == s.gen
}

func (s *Server) serve(raw net.Conn, n uint64, gen int) {
	book := s.cfg.Ledger.Book()
	rng := rand.New(rand.NewPCG(s.cfg.Seed, n))
	defer func() {
		raw.Close()
		s.mu.Lock()
		delete(s.conns, raw)
		s.mu.Unlock()
	}()
	c := raw
	if s.cfg.TLS != nil {
		over := tls.Server(raw, s.cfg.TLS)
		if over.Handshake() != nil {
			return
		}
		s.mu.Lock()
		if over.ConnectionState().DidResume {
			s.shook[1]++
		} else {
			s.shook[0]++
		}
		s.mu.Unlock()
		c = over
	}
	r := bufio.NewReaderSize(c, 4096)
	for {
		req, first, err := readHead(r)
		if err != nil {
			if errors.Is(err, errCall) {
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		var ids []string
		var refuse bool
		if req.batch {
			if ids, err = several(r, req.body); err == nil && len(ids) > s.cfg.Batch {
				err = errCall
			}
		} else {
			refuse, err = s.body(r, req.body)
		}
		if err != nil {
			if errors.Is(err, errCall) {
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		s.busy(raw, true, gen)
		call := ledger.Call{ID: req.id, Dest: s.cfg.Dest, Member: s.cfg.Name, First: first, Arrived: time.Now()}
		record := func() { // a call for each that it carried
			for _, id := range ids {
				one := call
				one.ID, _ = strconv.ParseUint(id, 16, 64)
				book.Calls = append(book.Calls, one)
			}
			if !req.batch {
				book.Calls = append(book.Calls, call)
			}
		}
		v := s.rule(rng)
		if refuse {
			v.status, v.after, v.wait = 429, 0, max(v.wait, s.cfg.Life[0].Wait)
		}
		call.Cold = v.cold
		if v.after > 0 {
			time.Sleep(v.after)
		}
		switch v.mode {
		case Silent:
			record()
			_, _ = io.Copy(io.Discard, r) // until the relay gives up
			return
		case Resetting:
			record()
			if tc, ok := raw.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			return
		}
		call.Status, call.Wait = v.status, v.wait
		var body []byte
		if v.status == 200 {
			for _, id := range ids {
				body = append(body, id+" delivered\r\n"...)
			}
		}
		text := fmt.Appendf(nil, "HTTP/1.1 %d .\r\nContent-Length: %d\r\nX-Backend-Load: %s\r\n", v.status, len(body), v.report)
		if v.wait > 0 {
			text = fmt.Appendf(text, "X-Retry-In-Ms: %d\r\n", v.wait.Milliseconds())
		}
		_, err = c.Write(append(append(text, "\r\n"...), body...))
		if call.Answered = time.Now(); err != nil {
			call.Status, call.Answered = 0, time.Time{}
		}
		record()
		if s.cfg.OnCall != nil {
			s.cfg.OnCall(call)
		}
		if present := s.busy(raw, false, gen); err != nil || req.gone || !present {
			return
		}
	}
}
