package partner

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/lab/ledger"
	"slatemux/internal/proptest"
)

func start(t *testing.T, phases ...Phase) (*Server, *ledger.Ledger) {
	t.Helper()
	l := &ledger.Ledger{}
	s, err := Start(Config{Name: "m", Dest: 7, Addr: "127.0.0.1:0", Phases: phases, Ledger: l, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, l
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

// callText returns the bytes of a call with a message id and a body.
func callText(id string, body string) string {
	return fmt.Sprintf("POST /hook HTTP/1.1\r\nHost: m\r\nX-Correlation-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// call makes one call and returns the status and the headers of the answer; 0 if the connection ended.
func call(t *testing.T, c net.Conn, r *bufio.Reader) (int, http.Header) {
	t.Helper()
	if _, err := c.Write([]byte(callText("ab12", "body"))); err != nil {
		return 0, nil
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// An endpoint without a limit serves each call, reports its load and records the calls.
func TestServesAndRecords(t *testing.T) {
	s, l := start(t, Phase{Latency: Latency{Mean: time.Millisecond, CV: 0.5}})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 3 {
		if status, h := call(t, c, r); status != 200 || h.Get("X-Backend-Load") != "x0=1.000,x1=0.000" {
			t.Fatalf("%d %v", status, h)
		}
	}
	s.Close()
	v := l.Judge(ledger.DefaultRules(nil), time.Now())
	if s.Calls() != 3 || v.Calls != 3 {
		t.Errorf("%d calls read, %d recorded", s.Calls(), v.Calls)
	}
}

// An endpoint refuses calls over its rate with the retry-after of the phase.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	s, _ := start(t, Phase{Rate: 2, Wait: 300 * time.Millisecond})
	c := dial(t, s)
	r := bufio.NewReader(c)
	var got []int
	var wait string
	for range 4 {
		status, h := call(t, c, r)
		got = append(got, status)
		wait = h.Get("X-Retry-In-Ms")
	}
	if fmt.Sprint(got) != "[200 200 429 429]" || wait != "300" {
		t.Errorf("%v, wait %q", got, wait)
	}
}

// A call with the body Config.Refuse is refused, one with another body of the same length is served. OnCall receives both.
func TestRefusedBody(t *testing.T) {
	var statuses []int
	s, err := Start(Config{Name: "m", Addr: "127.0.0.1:0", Phases: []Phase{{Wait: time.Second}}, Ledger: &ledger.Ledger{}, RefusedBody: "stop",
		OnCall: func(c ledger.Call) { statuses = append(statuses, c.Status) }})
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, s)
	r := bufio.NewReader(c)
	for _, body := range []string{"stop", "body"} {
		if _, err := c.Write([]byte(callText("1", body))); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(r, nil); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if fmt.Sprint(statuses) != "[429 200]" {
		t.Errorf("statuses %v", statuses)
	}
}

// EndConnections ends idle connections at once and busy ones after their answer. New connections stay open.
func TestEndConnections(t *testing.T) {
	s, _ := start(t, Phase{Latency: Latency{Mean: 50 * time.Millisecond}})
	idle, busy := dial(t, s), dial(t, s)
	ri, rb := bufio.NewReader(idle), bufio.NewReader(busy)
	if status, _ := call(t, idle, ri); status != 200 {
		t.Fatal(status)
	}
	answered := make(chan int)
	go func() {
		status, _ := call(t, busy, rb)
		answered <- status
	}()
	for s.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.EndConnections()
	if _, err := ri.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	if status := <-answered; status != 200 {
		t.Errorf("the call under way ended with %d", status)
	}
	if _, err := rb.ReadByte(); err == nil {
		t.Error("the busy connection is still open after its answer")
	}
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 2 {
		if status, _ := call(t, c, r); status != 200 {
			t.Errorf("on a new connection: %d", status)
		}
	}
}

// Each mode shows in the answers, and after all of them the endpoint serves again at the same address.
func TestModes(t *testing.T) {
	s, _ := start(t, Phase{})
	serves := func() int {
		nc, err := net.Dial("tcp", s.Addr())
		if err != nil {
			return -1
		}
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(100 * time.Millisecond))
		status, _ := call(t, nc, bufio.NewReader(nc))
		return status
	}
	for _, step := range []struct {
		p    Phase
		want int
	}{{Phase{Mode: Shut}, 503}, {Phase{Mode: Resetting}, 0}, {Phase{Mode: Silent}, 0}, {Phase{Mode: Refusing}, -1},
		{Phase{Mode: Serving, ErrorRate: 1}, 500}, {Phase{}, 200}} {
		s.EnterPhase(step.p)
		if got := serves(); got != step.want {
			t.Errorf("mode %v: %d, want %d", step.p.Mode, got, step.want)
		}
	}
}

// A cold endpoint that receives more than twice its current rate marks the calls as an overload in the ledger.
func TestColdEndpointOverloaded(t *testing.T) {
	s, l := start(t, Phase{Rate: 20, Cold: time.Hour, ColdFrom: 0.2})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 20 {
		call(t, c, r)
	}
	s.Close()
	if v := l.Judge(ledger.DefaultRules(nil), time.Now()); len(v.Violations) == 0 || v.Violations[0].Rule != "cold returns" {
		t.Errorf("%+v", v)
	}
}

// A head is read correctly however it is split into reads. Corrupt input never yields a call with a body length out of bounds.
func TestChunkedAndCorruptHeads(t *testing.T) {
	good := []byte(callText("9b1f03aa5c7e2d41", "body"))
	proptest.Check(t, func(t *rapid.T) {
		var readers []chunk
		for _, p := range proptest.Split(t, good) {
			readers = append(readers, chunk(p))
		}
		req, _, err := readHead(bufio.NewReaderSize(&chunkReader{readers}, 256))
		if err != nil || req.id != 0x9b1f03aa5c7e2d41 || req.bodyBytes != 4 {
			t.Fatalf("%+v %v", req, err)
		}
		if req, _, err := readHead(bufio.NewReaderSize(bytes.NewReader(proptest.Malformed(t, good)), 256)); err == nil && (req.bodyBytes < 0 || req.bodyBytes > 1<<20) {
			t.Fatalf("%+v", req)
		}
	})
}

type chunk []byte

// chunkReader returns at most one chunk per read.
type chunkReader struct{ list []chunk }

func (r *chunkReader) Read(b []byte) (int, error) {
	if len(r.list) == 0 {
		return 0, fmt.Errorf("no chunks left")
	}
	n := copy(b, r.list[0])
	if r.list[0] = r.list[0][n:]; len(r.list[0]) == 0 {
		r.list = r.list[1:]
	}
	return n, nil
}

// Malformed calls are answered 400, and an endpoint without phases does not start.
func TestMalformedCalls(t *testing.T) {
	s, _ := start(t, Phase{})
	for _, bad := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Replace(callText("1", ""), "Content-Length: 0", "Content-Length: -1", 1),
		callText("no-id", "")} {
		c := dial(t, s)
		if _, err := c.Write([]byte(bad)); err != nil {
			t.Fatal(err)
		}
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 400 {
			t.Errorf("%q: %v %v", bad, resp, err)
		}
	}
	if _, err := Start(Config{Addr: "127.0.0.1:0"}); err == nil {
		t.Error("an endpoint without phases was started")
	}
}
