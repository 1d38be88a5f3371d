// Package notice sends the platform notices about how undelivered transactions ended, and repeats each until it is answered.
package notice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"slatemux/internal/discoveryaddr"
	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

const (
	// answerTimeout bounds a call. The platform answers at once. Both times are short because a notice is wanted 300 ms after the
	// deadline of its transaction.
	answerTimeout = 250 * time.Millisecond
	// retryPause is the pause before a retry.
	retryPause = 20 * time.Millisecond
	// maxBatchLines bounds the notices in one call.
	maxBatchLines = 200
)

// Sender delivers notices in order, and repeats those that are not answered in time.
type Sender struct {
	platform *discoveryaddr.Address
	answered func(ids []string)
	wake     chan struct{}
	late     sync.WaitGroup // calls whose answers are awaited beside others

	mu        sync.Mutex
	queue     queue
	lateCalls int  // number of calls in late
	oneByOne  bool // after a call that the platform could not read, to find the invalid line
	counters  Counters

	// Used by the goroutine in Run alone: the address of the latest call, and the context that ends when the platform leaves it.
	addr        string
	platformCtx context.Context
}

// Counters holds counts since the start: calls, and those of them that were not answered and so are repeated.
type Counters struct{ Calls, Retries int64 }

// LogValue names the counters in a log line.
func (c Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("calls", c.Calls), slog.Int64("again", c.Retries))
}

// Counters returns the counters.
func (s *Sender) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// New returns a Sender to the platform, whose address may change. answered is called with the ids of notices that need no retry.
func New(platform *discoveryaddr.Address, answered func(ids []string)) *Sender {
	return &Sender{platform: platform, answered: answered, wake: make(chan struct{}, 1)}
}

// Send queues a notice. It does not block.
func (s *Sender) Send(n traffic.Notice) {
	s.mu.Lock()
	s.queue.add(n)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run delivers notices until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	defer s.late.Wait()
	for ctx.Err() == nil {
		batch := s.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		status, err := s.call(ctx, batch)
		s.countCall(status)
		if s.handleAnswer(batch, status) {
			continue
		}
		if s.platformCtx.Err() != nil {
			continue // the platform has moved, so there is no reason to pause
		}
		slog.Warn("notices not answered", "addr", s.addr, "count", len(batch), "status", status, "err", err)
		if errors.Is(err, os.ErrDeadlineExceeded) { // the platform may be slow: others are not to wait for its answer
			s.skip(batch)
		}
		select {
		case <-ctx.Done():
		case <-s.platformCtx.Done():
		case <-time.After(retryPause):
		}
	}
}

// nextBatch returns the notices of the next call; none if the queue is empty.
func (s *Sender) nextBatch() []queuedNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.isEmpty() {
		s.oneByOne = false
	}
	if s.oneByOne {
		return s.queue.batch(1)
	}
	return s.queue.batch(maxBatchLines)
}

func (s *Sender) skip(batch []queuedNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.skip(batch)
}

func (s *Sender) countCall(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Calls++
	if status == 0 {
		s.counters.Retries++
	}
}

// handleAnswer applies the status of an answer, and reports whether it says something about the notices of the call.
func (s *Sender) handleAnswer(batch []queuedNotice, status int) bool {
	switch {
	case status == http.StatusNoContent || status == http.StatusOK:
	case status == http.StatusBadRequest && len(batch) > 1:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.oneByOne = true
		return true
	case status == http.StatusBadRequest:
		slog.Error("notice refused by the platform", "id", batch[0].ID)
	default:
		return false
	}
	s.removeAnswered(batch)
	return true
}

// removeAnswered removes a batch from the queue, and reports what was still in it as answered.
func (s *Sender) removeAnswered(batch []queuedNotice) {
	s.mu.Lock()
	ids := s.queue.remove(batch)
	s.mu.Unlock()
	if len(ids) > 0 {
		slog.Debug("notices answered", "ids", ids)
		s.answered(ids)
	}
}

// call sends a batch on a connection of its own, since a second answer to an earlier call would be taken for the answer to this one. It
// returns the HTTP status of the answer; 0 if there was none. A move of the platform ends the call, and the notices are sent again to the
// new address.
func (s *Sender) call(ctx context.Context, batch []queuedNotice) (int, error) {
	deadline := time.Now().Add(answerTimeout)
	s.addr, s.platformCtx = s.platform.Current()
	platformCtx := s.platformCtx
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(platformCtx, cancel)()
	dialer := net.Dialer{Deadline: deadline}
	nc, err := dialer.DialContext(dialCtx, "tcp", s.addr)
	if err != nil {
		return 0, fmt.Errorf("notice: %w", err)
	}
	stopClose := context.AfterFunc(platformCtx, func() { nc.Close() })
	resp, err := http1.Exchange(nc, http1.AppendRequest(nil, "POST", "/v1/notices", s.addr, nil, encode(batch)),
		http1.MaxHeadBytes, deadline, deadline)
	stopped := stopClose()
	if errors.Is(err, os.ErrDeadlineExceeded) && stopped && s.awaitLate(ctx, platformCtx, nc, batch) {
		return 0, err
	}
	nc.Close()
	if err != nil {
		return 0, err
	}
	return resp.Status, nil
}

type noticeLine struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int64  `json:"retry_in_ms,omitempty"`
}

var outcomeNames = map[traffic.NoticeOutcome]string{traffic.GivenUp: "given_up", traffic.Returned: "handed_back"}

// encode writes one JSON object per line.
func encode(batch []queuedNotice) []byte {
	var body []byte
	for _, n := range batch {
		text, _ := json.Marshal(noticeLine{n.ID, outcomeNames[n.Outcome], n.RetryIn.Milliseconds()}) // a noticeLine can always be encoded
		body = append(append(body, text...), '\n')
	}
	return body
}
