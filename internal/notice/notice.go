// Package notice tells the platform how undelivered transactions ended, and goes on until it has answered.
package notice

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"slatemux/internal/discoveryaddr"
	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

const (
	// answerBy is how long the platform, which answers at once, may take; retryAfter the pause before
	// another try. Both are short, for a notice is wanted 300 ms after its transaction's time is up.
	answerBy, retryAfter = 250 * time.Millisecond, 20 * time.Millisecond
	most                 = 200 // lines in one call
)

// Sender delivers notices in the order they come.
type Sender struct {
	at       *discoveryaddr.Place
	answered func(ids []string)

	mu    sync.Mutex
	queue []traffic.Notice
	count Counters
	wake  chan struct{}

	// Of the goroutine in Run alone: the connection, the address that it is to, and when that is left. A move
	// closes it at once, in a call or idle; what had no answer there is sent again to the new address.
	nc     net.Conn
	addr   string
	here   context.Context
	unhook func() bool
}

// Counters count since the start: calls, and those that were not answered and so are made again.
type Counters struct{ Calls, Again int64 }

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("calls", c.Calls), slog.Int64("again", c.Again))
}

// Counters returns the counters.
func (s *Sender) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// New returns a Sender to the platform at a place that may move; answered is told what needs no more tries.
func New(at *discoveryaddr.Place, answered func(ids []string)) *Sender {
	return &Sender{at: at, answered: answered, wake: make(chan struct{}, 1)}
}

// Send queues a notice. It does not block.
func (s *Sender) Send(n traffic.Notice) {
	s.mu.Lock()
	s.queue = append(s.queue, n)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run delivers until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	defer s.hangUp()
	part := most // 1 after a call that the platform could not read, to find the line at fault
	for {
		s.mu.Lock()
		batch := s.queue[:min(len(s.queue), part)]
		s.mu.Unlock()
		if len(batch) == 0 {
			part = most
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		status, err := s.call(ctx, batch)
		s.mu.Lock()
		if s.count.Calls++; status == 0 {
			s.count.Again++
		}
		s.mu.Unlock()
		switch {
		case status == 204 || status == 200:
			s.drop(batch)
		case status == 400 && len(batch) > 1:
			part = 1
		case status == 400:
			slog.Error("notice refused by the platform", "id", batch[0].ID)
			s.drop(batch)
		default:
			s.hangUp()
			if s.here.Err() != nil {
				continue // the platform has moved: nothing is to be waited for here
			}
			slog.Warn("notices not answered", "addr", s.addr, "count", len(batch), "status", status, "err", err)
			select {
			case <-ctx.Done():
				return
			case <-s.here.Done():
			case <-time.After(retryAfter):
			}
		}
	}
}

func (s *Sender) drop(batch []traffic.Notice) {
	ids := make([]string, len(batch))
	for i, n := range batch {
		ids[i] = n.ID
	}
	s.mu.Lock()
	s.queue = append([]traffic.Notice(nil), s.queue[len(batch):]...)
	s.mu.Unlock()
	s.answered(ids)
}

func (s *Sender) hangUp() {
	if s.nc != nil {
		s.unhook()
		s.nc.Close()
		s.nc = nil
	}
}

func (s *Sender) call(ctx context.Context, batch []traffic.Notice) (int, error) {
	deadline := time.Now().Add(answerBy)
	if s.nc != nil && s.here.Err() != nil {
		s.hangUp()
	}
	if s.nc == nil {
		s.addr, s.here = s.at.Now()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(s.here, cancel)()
		dialer := net.Dialer{Deadline: deadline}
		nc, err := dialer.DialContext(ctx, "tcp", s.addr)
		if err != nil {
			return 0, fmt.Errorf("notice: %w", err)
		}
		s.nc, s.unhook = nc, context.AfterFunc(s.here, func() { nc.Close() })
	}
	resp, err := http1.Exchange(s.nc, http1.AppendRequest(nil, "POST", "/v1/notices", s.addr, nil, encode(batch)),
		http1.MaxHead, deadline, deadline)
	if err != nil {
		return 0, err
	}
	if !resp.Reusable() {
		s.hangUp()
	}
	return resp.Status, nil
}

type line struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int64  `json:"retry_in_ms,omitempty"`
}

var outcomes = map[traffic.NoticeOutcome]string{traffic.GivenUp: "given_up", traffic.HandedBack: "handed_back"}

// encode writes one JSON object a line.
func encode(batch []traffic.Notice) []byte {
	var body []byte
	for _, n := range batch {
		text, _ := json.Marshal(line{n.ID, outcomes[n.Outcome], n.RetryIn.Milliseconds()}) // it always encodes
		body = append(append(body, text...), '\n')
	}
	return body
}
