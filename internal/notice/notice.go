// Package notice sends the platform notices about how undelivered transactions ended, and repeats each until it is answered.
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
	// answerTimeout bounds a call. The platform answers at once. Both times are short because a notice is wanted 300 ms after the
	// deadline of its transaction.
	answerTimeout = 250 * time.Millisecond
	// retryPause is the pause before a retry.
	retryPause = 20 * time.Millisecond
	// maxBatchLines bounds the notices in one call.
	maxBatchLines = 200
)

// Sender delivers notices in order.
type Sender struct {
	platform *discoveryaddr.Address
	answered func(ids []string)

	mu       sync.Mutex
	queue    []traffic.Notice
	counters Counters
	wake     chan struct{}

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
	s.queue = append(s.queue, n)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run delivers notices until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	batchLimit := maxBatchLines // 1 after a call that the platform could not read, to find the invalid line
	for {
		s.mu.Lock()
		batch := s.queue[:min(len(s.queue), batchLimit)]
		s.mu.Unlock()
		if len(batch) == 0 {
			batchLimit = maxBatchLines
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		status, err := s.call(ctx, batch)
		s.mu.Lock()
		if s.counters.Calls++; status == 0 {
			s.counters.Retries++
		}
		s.mu.Unlock()
		switch {
		case status == 204 || status == 200:
			s.removeAnswered(batch)
		case status == 400 && len(batch) > 1:
			batchLimit = 1
		case status == 400:
			slog.Error("notice refused by the platform", "id", batch[0].ID)
			s.removeAnswered(batch)
		default:
			if s.platformCtx.Err() != nil {
				continue // the platform has moved, so there is no reason to pause
			}
			slog.Warn("notices not answered", "addr", s.addr, "count", len(batch), "status", status, "err", err)
			select {
			case <-ctx.Done():
				return
			case <-s.platformCtx.Done():
			case <-time.After(retryPause):
			}
		}
	}
}

// removeAnswered removes a batch from the queue and reports it as answered.
func (s *Sender) removeAnswered(batch []traffic.Notice) {
	ids := make([]string, len(batch))
	for i, n := range batch {
		ids[i] = n.ID
	}
	slog.Debug("notices answered", "addr", s.addr, "ids", ids)
	s.mu.Lock()
	s.queue = append([]traffic.Notice(nil), s.queue[len(batch):]...)
	s.mu.Unlock()
	s.answered(ids)
}

// call sends a batch on a connection of its own, since a second answer to an earlier call would be taken for the answer to this one. It
// returns the HTTP status of the answer; 0 if there was none. A move of the platform ends the call, and the notices are sent again to the
// new address.
func (s *Sender) call(ctx context.Context, batch []traffic.Notice) (int, error) {
	deadline := time.Now().Add(answerTimeout)
	s.addr, s.platformCtx = s.platform.Current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.platformCtx, cancel)()
	dialer := net.Dialer{Deadline: deadline}
	nc, err := dialer.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		return 0, fmt.Errorf("notice: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(s.platformCtx, func() { nc.Close() })()
	resp, err := http1.Exchange(nc, http1.AppendRequest(nil, "POST", "/v1/notices", s.addr, nil, encode(batch)),
		http1.MaxHeadBytes, deadline, deadline)
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
func encode(batch []traffic.Notice) []byte {
	var body []byte
	for _, n := range batch {
		text, _ := json.Marshal(noticeLine{n.ID, outcomeNames[n.Outcome], n.RetryIn.Milliseconds()}) // a noticeLine can always be encoded
		body = append(append(body, text...), '\n')
	}
	return body
}
