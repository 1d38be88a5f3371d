package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is a call that has reached an endpoint whole.
type call struct {
	id, key  string
	arrived  time.Time // of its last byte
	answered time.Time // zero without an answer
	ended    time.Time // end of the connection before an answer; zero otherwise
	refused  bool      // with 429, because the endpoint was shut
	workedTo time.Time // end of the work on a call whose connection ended; zero if there was none
}

// endpoint stands in for an endpoint of a partner.
type endpoint struct {
	w       *world
	host    host
	address string

	mu    sync.Mutex
	hangs bool
	work  time.Duration // that a call takes
	opens time.Time     // until then the endpoint is shut; it tells callers to wait so long
	after time.Duration // for which a call is still at work once its connection has ended
	calls []*call
}

// newEndpoint starts an endpoint of a destination.
func (w *world) newEndpoint(name string, destination int, work time.Duration) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{w: w, address: listener.Addr().String(), work: work}
	e.host = host{Host: name, Dial: e.address, Site: "here", Class: "partner", Block: destination, Health: "active", Share: 20}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hook", e.serve)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return e, nil
}

// serve takes one call.
func (e *endpoint) serve(out http.ResponseWriter, in *http.Request) {
	if _, err := io.ReadAll(in.Body); err != nil {
		e.w.note("endpoint %s: a call broke before its end", e.host.Host)
		return
	}
	c := &call{id: in.Header.Get("X-Correlation-Id"), key: in.Header.Get("Idempotency-Key"), arrived: time.Now()}
	e.mu.Lock()
	e.calls = append(e.calls, c)
	hangs, work, wait := e.hangs, e.work, time.Until(e.opens)
	c.refused = wait > 0
	e.mu.Unlock()
	if c.refused {
		out.Header().Set("X-Retry-In-Ms", strconv.FormatInt(wait.Milliseconds()+1, 10))
		out.WriteHeader(http.StatusTooManyRequests)
		e.w.noteAt(c.arrived, "endpoint %s: message %s turned away with 429, told to wait %v", e.host.Host, c.id, wait.Round(time.Millisecond))
		return
	}
	e.w.noteAt(c.arrived, "endpoint %s: call of message %s has come, hangs: %v", e.host.Host, c.id, hangs)
	if hangs {
		work = maxDuration
	}
	if !sleepWhile(in.Context(), work) {
		e.mu.Lock()
		c.ended = time.Now()
		e.mu.Unlock()
		e.w.note("endpoint %s: the connection of message %s ended without an answer", e.host.Host, c.id)
		if e.after > 0 {
			time.Sleep(e.after)
			e.mu.Lock()
			c.workedTo = time.Now()
			e.mu.Unlock()
			e.w.note("endpoint %s: the work on message %s is done", e.host.Host, c.id)
		}
		return
	}
	e.mu.Lock()
	c.answered = time.Now()
	e.mu.Unlock()
	out.WriteHeader(http.StatusOK)
	e.w.note("endpoint %s: message %s answered 200", e.host.Host, c.id)
}

// sleepWhile waits for a duration. It returns false if ctx ends first.
func sleepWhile(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// setHangs sets whether calls that come from now on are taken and never answered.
func (e *endpoint) setHangs(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hangs = on
	e.w.note("endpoint %s hangs: %v", e.host.Host, on)
}

// shutUntil shuts the endpoint until a time.
func (e *endpoint) shutUntil(opens time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opens = opens
	e.w.note("endpoint %s is shut for %v", e.host.Host, time.Until(opens).Round(time.Millisecond))
}

// awaitOpen waits until the endpoint is not shut any more, and for an offset beyond that.
func (e *endpoint) awaitOpen(offset time.Duration) {
	e.mu.Lock()
	opens := e.opens
	e.mu.Unlock()
	time.Sleep(time.Until(opens.Add(offset)))
}

// snapshot returns the calls so far.
func (e *endpoint) snapshot() []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := make([]call, len(e.calls))
	for i, c := range e.calls {
		calls[i] = *c
	}
	return calls
}
