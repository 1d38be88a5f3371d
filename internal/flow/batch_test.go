package flow

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

// readBatch reads a batch call up to the end of its body and returns the body.
func (h *harness) readBatch(nc net.Conn) string {
	h.t.Helper()
	var text []byte
	buf := make([]byte, 1)
	for {
		if _, err := nc.Read(buf); err != nil {
			h.t.Fatal(err)
		}
		text = append(text, buf...)
		head, body, whole := strings.Cut(string(text), "\r\n\r\n")
		if !whole {
			continue
		}
		var n int
		for _, line := range strings.Split(head, "\r\n") {
			_, _ = fmt.Sscanf(line, "Content-Length: %d", &n)
		}
		if len(body) == n {
			if !strings.HasPrefix(head, "POST /hook/batch HTTP/1.1\r\n") || !strings.Contains(head, "X-Time-Left-Ms: ") {
				h.t.Errorf("head %q", head)
			}
			return body
		}
	}
}

// startBatch starts a flow that three transactions share.
func (h *harness) startBatch() {
	h.startFlow("a", func(f *traffic.Flow) {
		f.Join(traffic.Flow{ID: "b", Attempt: 2, Member: "m", Body: []byte("\r\nx"), Deadline: f.Deadline.Add(-time.Second)})
		f.Join(traffic.Flow{ID: "c", Member: "m", Key: "kc", Deadline: f.Deadline.Add(time.Second)})
	})
}

// The ends of the flows of a batch, for each kind of answer. An answer may give every transaction its own end, or all the same one. A
// transaction that the answer does not mention may have run. An incomplete answer delivers nothing.
func TestBatchAnswers(t *testing.T) {
	head := func(body string, more string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), more, body)
	}
	const delivered, errored, refused, over, spent, broken, unsent = traffic.Delivered, traffic.Errored, traffic.FlowRefused, traffic.AlreadyEnded,
		traffic.AttemptsExhausted, traffic.ConnectionBroken, traffic.Unsent
	for what, c := range map[string]struct {
		answer string
		ends   [3]traffic.FlowStatus // ends of a, b and c
		wait   time.Duration
	}{
		"one status each":            {head("c refused\r\nb failed\r\na delivered\r\n", "X-Retry-In-Ms: 70\r\n"), [3]traffic.FlowStatus{delivered, errored, refused}, 70 * time.Millisecond},
		"over and spent":             {head("a over\nb spent\nc delivered", ""), [3]traffic.FlowStatus{over, spent, delivered}, 0},
		"one missing, one unknown":   {head("a delivered\r\nzz delivered\r\nc delivered\r\n", ""), [3]traffic.FlowStatus{delivered, broken, delivered}, 0},
		"unrecognized status":        {head("a delivered\r\nb perhaps\r\nc\r\n", ""), [3]traffic.FlowStatus{delivered, broken, broken}, 0},
		"two ends for one id":        {head("a delivered\r\na refused\r\nb delivered\r\nc delivered\r\n", ""), [3]traffic.FlowStatus{broken, delivered, delivered}, 0},
		"an empty answer":            {head("", ""), [3]traffic.FlowStatus{broken, broken, broken}, 0},
		"truncated":                  {head("a delivered\r\nb delivered\r\nc delivered\r\n", "")[:70], [3]traffic.FlowStatus{broken, broken, broken}, 0},
		"all refused":                {"HTTP/1.1 429 Busy\r\nX-Retry-In-Ms: 50\r\nContent-Length: 0\r\n\r\n", [3]traffic.FlowStatus{refused, refused, refused}, 50 * time.Millisecond},
		"all in error":               {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", [3]traffic.FlowStatus{errored, errored, errored}, 0},
		"too many, none has run":     {"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n", [3]traffic.FlowStatus{unsent, unsent, unsent}, 0},
		"not readable, none has run": {"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", [3]traffic.FlowStatus{unsent, unsent, unsent}, 0},
	} {
		t.Run(what, func(t *testing.T) {
			r := newHarness(t)
			r.startBatch()
			nc := <-r.conns
			if got := r.readBatch(nc); got != "a k 4\r\nbody\r\nb - 3\r\n\r\nx\r\nc kc 0\r\n\r\n" {
				t.Errorf("body %q", got)
			}
			_, _ = io.WriteString(nc, c.answer)
			if what == "truncated" {
				nc.Close()
			}
			got := map[string]traffic.FlowEnd{}
			first := traffic.FlowEnd{Status: -1}
			for range 3 {
				e := <-r.ends
				if got[e.ID] = e; first.Status < 0 {
					first = e
				}
			}
			for i, id := range []string{"a", "b", "c"} {
				if e := got[id]; e.Status != c.ends[i] || e.Attempt != map[string]int{"b": 2}[id] || e.RetryAfter != c.wait {
					t.Errorf("%s ends as %v, want %v", id, e, c.ends[i])
				}
			}
			if c.ends[2] == refused && first.Status != refused {
				t.Errorf("first reported end: %+v, want refused", first)
			}
			if c.wait > 0 { // the retry-after also binds the next call
				r.startFlow("d")
				if e := <-r.ends; e.Status != unsent {
					t.Errorf("call during the retry-after: %+v", e)
				}
			}
			r.manager.mu.Lock()
			defer r.manager.mu.Unlock()
			if r.manager.callCount != 0 || len(r.manager.flows) != 0 {
				t.Errorf("state left behind: %d calls, flows %v", r.manager.callCount, r.manager.flows)
			}
		})
	}
}

// A batch counts as one call in flight. Canceling any of its flows cancels the whole batch.
func TestBatchCountsAsOneCall(t *testing.T) {
	r := newHarness(t)
	r.startBatch()
	nc := <-r.conns
	r.readBatch(nc)
	r.startFlow("d")
	r.readCall(<-r.conns) // the second of two allowed calls
	r.startFlow("e")
	r.expectEnd("e", traffic.NoSlot)
	r.manager.Cancel("b", 2)
	for range 3 {
		if e := <-r.ends; e.Status != traffic.Canceled || e.ID == "d" {
			t.Errorf("%+v", e)
		}
	}
}

// An arbitrary answer body must not deliver a transaction, unless a line of the body says that this transaction is delivered.
func TestBatchGarbageDeliversNothing(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		text := proptest.Malformed(t, []byte("aa delivered\r\nbb refused\r\ncc failed\r\n"))
		for id, end := range decodeBatchAnswer(text) {
			if end == traffic.Delivered && !strings.Contains("\n"+string(text)+"\n", "\n"+id+" delivered") {
				t.Fatalf("id %q delivered by body %q", id, text)
			}
		}
	})
}
