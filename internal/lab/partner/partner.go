// Package partner simulates an endpoint of an outside partner: an HTTP/1.1 server on loopback whose behaviour follows a script of
// phases. It implements the endpoint side of the platform's protocol and records every call.
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

// Mode selects how an endpoint treats calls.
type Mode int

// The modes of an endpoint.
const (
	Serving   Mode = iota
	Refusing       // no listener; open connections are reset
	Silent         // connections are accepted and calls are read, but nothing is answered
	Resetting      // calls are read, and then the connection is reset
	Shut           // 503 for every call
)

// Latency is a distribution of service times.
type Latency struct {
	Mean time.Duration
	CV   float64 // coefficient of variation of a lognormal distribution; 0 for the constant Mean
}

// sample draws one service time.
func (l Latency) sample(rng *rand.Rand) time.Duration {
	if l.CV <= 0 {
		return l.Mean
	}
	variance := math.Log1p(l.CV * l.CV)
	return time.Duration(float64(l.Mean) * math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2))
}

// Phase is a part of an endpoint's script. It lasts until the next phase begins.
type Phase struct {
	From      time.Duration // begin of the phase, since the start of the endpoint
	Mode      Mode
	Latency   Latency
	Rate      float64       // limit in calls per second; 0 for no limit
	Wait      time.Duration // retry-after of refusals
	ErrorRate float64       // share of the served calls that are answered 500 after the service time
	Cold      time.Duration // length of the slow start of the phase; 0 for none
	ColdFrom  float64       // share of Rate that the slow start begins with; twice the current rate overloads a cold partner
}

// RateLimiter is the rate limiter of a partner, shared by all its endpoints.
type RateLimiter struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time   // last refill of tokens
	recent     []time.Time // arrivals in the last second, while cold
}

// reset fills the token bucket at the beginning of a phase.
func (l *RateLimiter) reset(p *Phase, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens, l.refilledAt, l.recent = p.Rate, now, nil
}

// admit decides whether a call is admitted. It also returns the current rate, the unused share of that rate, and whether the calls of
// the last second overload a cold partner.
func (l *RateLimiter) admit(p *Phase, age time.Duration, now time.Time) (admitted bool, rate, left float64, overloaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate = p.Rate; p.Cold > 0 && age < p.Cold {
		rate *= p.ColdFrom + (1-p.ColdFrom)*float64(age)/float64(p.Cold)
		l.recent = append(l.recent, now)
		for len(l.recent) > 0 && now.Sub(l.recent[0]) > time.Second {
			l.recent = l.recent[1:]
		}
		overloaded = float64(len(l.recent)) > 2*rate+4
	}
	if p.Rate <= 0 {
		return true, 0, 1, overloaded
	}
	l.tokens = min(l.tokens+rate*now.Sub(l.refilledAt).Seconds(), max(rate, 1))
	l.refilledAt = now
	if admitted = l.tokens >= 1 && p.Mode != Shut; admitted {
		l.tokens--
	}
	return admitted, rate, max(l.tokens, 0) / max(rate, 1), overloaded
}

// Config configures an endpoint.
type Config struct {
	RateLimiter *RateLimiter // rate limiter shared with the partner's other endpoints; nil for a separate one

	Name       string
	Dest       int
	Addr       string // "127.0.0.1:0" for a port that the system chooses
	Phases     []Phase
	Ledger     *ledger.Ledger
	Seed       uint64
	Share      float64 // share value in discovery's list; 0 for the rate of the first phase, at least 20
	LoadReport string  // value of X-Backend-Load; empty to report the current limit
	MaxBatch   int     // most messages in a batch call; 0 if batches are refused

	TLS *tls.Config // configuration of the server side; nil for plain TCP

	Copies       Copies        // answers that are written again
	ConnectDelay time.Duration // added to the first call of each connection, as by a TLS handshake

	RefusedBody string            // calls with this body are refused with 429 and at least the Wait of the first phase; empty for none
	OnCall      func(ledger.Call) // receives each answered call; may be nil
}

// Copies says which answers an endpoint, or a device before it, writes again on the connection of the call.
type Copies struct {
	Share    float64       // share of the answers that are written again
	MinDelay time.Duration // between the answer and its copy
	MaxDelay time.Duration
	Text     string // written in place of the copy; empty for the answer itself
}

// delay draws the delay of a copy, or returns false if the answer is written once.
func (c *Copies) delay(rng *rand.Rand) (time.Duration, bool) {
	if c.Share <= 0 || rng.Float64() >= c.Share {
		return 0, false
	}
	return c.MinDelay + time.Duration(rng.Float64()*float64(c.MaxDelay-c.MinDelay)), true
}

// Server is one endpoint.
type Server struct {
	cfg   Config
	addr  string
	start time.Time

	mu         sync.Mutex
	ln         net.Listener
	conns      map[net.Conn]bool // true while a call is under way
	generation int               // incremented by EndConnections; a connection of an older generation ends after its answer
	phase      Phase
	phaseStart time.Time
	closed     bool
	calls      int64
	handshakes [2]int64 // full and resumed TLS handshakes
	done       chan struct{}
	restarted  chan struct{} // closed and replaced by Restart
	wg         sync.WaitGroup
}

// Start opens an endpoint and begins its first phase.
func Start(cfg Config) (*Server, error) {
	if len(cfg.Phases) == 0 {
		return nil, errors.New("partner: the script has no phase")
	}
	if cfg.RateLimiter == nil {
		cfg.RateLimiter = &RateLimiter{}
	}
	s := &Server{cfg: cfg, start: time.Now(), conns: map[net.Conn]bool{}, done: make(chan struct{}), restarted: make(chan struct{})}
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("partner %s: %w", cfg.Name, err)
	}
	s.addr, s.ln = ln.Addr().String(), ln
	s.enterPhase(cfg.Phases[0])
	s.wg.Go(func() { s.accept(ln) })
	s.wg.Go(func() { s.runPhases(s.restarted) })
	return s, nil
}

// Restart begins the script again with its first phase.
func (s *Server) Restart() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	close(s.restarted)
	s.restarted = make(chan struct{})
	s.start = time.Now()
	restarted := s.restarted
	s.mu.Unlock()
	s.enterPhase(s.cfg.Phases[0])
	s.wg.Go(func() { s.runPhases(restarted) })
}

// Addr returns the address of the endpoint. It stays the same while the endpoint does not listen.
func (s *Server) Addr() string { return s.addr }

// Calls returns the number of calls that were read.
func (s *Server) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handshakes returns the number of full TLS handshakes and of those that resumed a session.
func (s *Server) Handshakes() (full, resumed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handshakes[0], s.handshakes[1]
}

// Close closes the endpoint and waits for its connections.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.closeConnections()
	s.mu.Unlock()
	s.wg.Wait()
}

// closeConnections closes the listener and resets all connections. The caller holds s.mu.
func (s *Server) closeConnections() {
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

// runPhases enters each phase after the first at its time. It ends when the endpoint closes or the script restarts.
func (s *Server) runPhases(restarted chan struct{}) {
	s.mu.Lock()
	start := s.start
	s.mu.Unlock()
	for _, p := range s.cfg.Phases[1:] {
		select {
		case <-s.done:
			return
		case <-restarted:
			return
		case <-time.After(time.Until(start.Add(p.From))):
		}
		s.enterPhase(p)
	}
}

// EnterPhase begins a phase at once. The phases of the script still follow at their times.
func (s *Server) EnterPhase(p Phase) { s.enterPhase(p) }

func (s *Server) enterPhase(p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.phase, s.phaseStart = p, time.Now()
	s.cfg.RateLimiter.reset(&p, s.phaseStart)
	if p.Mode == Refusing {
		s.closeConnections()
		return
	}
	if s.ln == nil {
		ln, err := net.Listen("tcp", s.addr)
		for i := 0; err != nil && i < 50; i++ { // another process may hold the port briefly
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

// accept serves the connections of one listener until that listener is closed.
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
		generation := s.generation
		s.wg.Go(func() { s.serve(c, n, generation) })
		s.mu.Unlock()
	}
}

// response is the decision on one call.
type response struct {
	mode         Mode
	status       int
	wait         time.Duration
	delay        time.Duration
	coldOverload bool
	loadReport   string
}

// decide determines the response to a call that has arrived, from the current phase and the rate limiter.
func (s *Server) decide(rng *rand.Rand) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	p, now := s.phase, time.Now()
	resp := response{mode: p.Mode, status: 200, delay: p.Latency.sample(rng), loadReport: s.cfg.LoadReport}
	admitted, rate, left, overloaded := s.cfg.RateLimiter.admit(&p, now.Sub(s.phaseStart), now)
	resp.coldOverload = overloaded
	switch {
	case p.Mode == Shut:
		resp.status, resp.delay, resp.wait = 503, 0, p.Wait
	case !admitted:
		resp.status, resp.delay, resp.wait = 429, 0, p.Wait
	}
	if resp.status == 200 && rng.Float64() < p.ErrorRate {
		resp.status = 500
	}
	if resp.loadReport == "" {
		resp.loadReport = fmt.Sprintf("x0=%.3f,x1=%.3f", left, rate)
	}
	return resp
}

var errMalformedCall = errors.New("partner: malformed call")

// request holds the fields of the head of a call.
type request struct {
	id         uint64
	bodyBytes  int
	closeAfter bool // Connection: close
	batch      bool // the call carries several messages
}

// readHead reads the head of a call. first is the arrival time of its first byte.
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
				return req, first, errMalformedCall
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
				return req, first, errMalformedCall
			}
		case bytes.EqualFold(name, []byte("Content-Length")):
			if req.bodyBytes, err = strconv.Atoi(string(value)); err != nil || req.bodyBytes < 0 || req.bodyBytes > 1<<20 {
				return req, first, errMalformedCall
			}
		case bytes.EqualFold(name, []byte("Connection")):
			req.closeAfter = bytes.EqualFold(value, []byte("close"))
		}
	}
}

// readBatch reads the body of a batch call and returns the message ids. Each message is a line with id, key and length, followed by
// its bytes.
func readBatch(r *bufio.Reader, n int) (ids []string, err error) {
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	for len(text) > 0 {
		line, rest, ok := bytes.Cut(text, []byte("\r\n"))
		parts := bytes.Split(line, []byte(" "))
		if !ok || len(parts) != 3 || slices.Contains(ids, string(parts[0])) {
			return nil, errMalformedCall
		}
		size, err := strconv.Atoi(string(parts[2]))
		if err != nil || size < 0 || len(rest) < size+2 || string(rest[size:size+2]) != "\r\n" {
			return nil, errMalformedCall
		}
		ids, text = append(ids, string(parts[0])), rest[size+2:]
	}
	return ids, nil
}

// readBody reads a body and reports whether it equals Config.Refuse.
func (s *Server) readBody(r *bufio.Reader, n int) (refuse bool, err error) {
	if n != len(s.cfg.RefusedBody) || n == 0 {
		_, err = r.Discard(n)
		return false, err
	}
	text := make([]byte, n)
	_, err = io.ReadFull(r, text)
	return string(text) == s.cfg.RefusedBody, err
}

// EndConnections ends every connection, as a restarting TLS terminator does: idle connections at once, the others after the answer to the
// call under way.
func (s *Server) EndConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	for c, busy := range s.conns {
		if !busy {
			c.Close()
		}
	}
}

// work waits for the time that a call takes. It returns when the relay closed the connection meanwhile; zero if it did not.
func work(c net.Conn, r *bufio.Reader, duration time.Duration) (givenUp time.Time) {
	end := time.Now().Add(duration)
	if duration <= 0 || c.SetReadDeadline(end) != nil {
		return givenUp
	}
	_, err := r.Peek(1)
	var netErr net.Error
	if err != nil && !(errors.As(err, &netErr) && netErr.Timeout()) {
		givenUp = time.Now()
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
	time.Sleep(time.Until(end))
	return givenUp
}

// setBusy records whether a call is under way on a connection. It reports whether the connection is of the current generation.
func (s *Server) setBusy(c net.Conn, underWay bool, generation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		s.conns[c] = underWay
	}
	return generation == s.generation
}

// serve reads, answers and records the calls of one connection. n is the number of the connection on its listener.
func (s *Server) serve(raw net.Conn, n uint64, generation int) {
	recorder := s.cfg.Ledger.NewRecorder()
	rng := rand.New(rand.NewPCG(s.cfg.Seed, n))
	defer func() {
		raw.Close()
		s.mu.Lock()
		delete(s.conns, raw)
		s.mu.Unlock()
	}()
	c := raw
	if s.cfg.TLS != nil {
		tlsConn := tls.Server(raw, s.cfg.TLS)
		if tlsConn.Handshake() != nil {
			return
		}
		s.mu.Lock()
		if tlsConn.ConnectionState().DidResume {
			s.handshakes[1]++
		} else {
			s.handshakes[0]++
		}
		s.mu.Unlock()
		c = tlsConn
	}
	r := bufio.NewReaderSize(c, 4096)
	time.Sleep(s.cfg.ConnectDelay)
	for {
		req, first, err := readHead(r)
		if err != nil {
			if errors.Is(err, errMalformedCall) {
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		var ids []string
		var refuse bool
		if req.batch {
			if ids, err = readBatch(r, req.bodyBytes); err == nil && len(ids) > s.cfg.MaxBatch {
				err = errMalformedCall
			}
		} else {
			refuse, err = s.readBody(r, req.bodyBytes)
		}
		if err != nil {
			if errors.Is(err, errMalformedCall) {
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		s.setBusy(raw, true, generation)
		call := ledger.Call{ID: req.id, Dest: s.cfg.Dest, Member: s.cfg.Name, FirstByte: first, Arrived: time.Now()}
		record := func() { // records one call for each message of a batch
			for _, id := range ids {
				single := call
				single.ID, _ = strconv.ParseUint(id, 16, 64)
				recorder.Calls = append(recorder.Calls, single)
			}
			if !req.batch {
				recorder.Calls = append(recorder.Calls, call)
			}
		}
		resp := s.decide(rng)
		if refuse {
			resp.status, resp.delay, resp.wait = 429, 0, max(resp.wait, s.cfg.Phases[0].Wait)
		}
		call.ColdOverload = resp.coldOverload
		call.GivenUp = work(c, r, resp.delay)
		switch resp.mode {
		case Silent:
			record()
			_, _ = io.Copy(io.Discard, r) // until the relay closes the connection
			return
		case Resetting:
			record()
			if tc, ok := raw.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			return
		}
		call.Status, call.Wait = resp.status, resp.wait
		var body []byte
		if resp.status == 200 {
			for _, id := range ids {
				body = append(body, id+" delivered\r\n"...)
			}
		}
		head := fmt.Appendf(nil, "HTTP/1.1 %d .\r\nContent-Length: %d\r\nX-Backend-Load: %s\r\n", resp.status, len(body), resp.loadReport)
		if resp.wait > 0 {
			head = fmt.Appendf(head, "X-Retry-In-Ms: %d\r\n", resp.wait.Milliseconds())
		}
		text := append(append(head, "\r\n"...), body...)
		_, err = c.Write(text)
		if delay, ok := s.cfg.Copies.delay(rng); ok {
			if s.cfg.Copies.Text != "" {
				text = []byte(s.cfg.Copies.Text)
			}
			time.AfterFunc(delay, func() { _, _ = c.Write(text) }) // fails once the connection is closed
		}
		if call.Answered = time.Now(); err != nil {
			call.Status, call.Answered = 0, time.Time{}
		}
		record()
		if s.cfg.OnCall != nil {
			s.cfg.OnCall(call)
		}
		if current := s.setBusy(raw, false, generation); err != nil || req.closeAfter || !current {
			return
		}
	}
}
