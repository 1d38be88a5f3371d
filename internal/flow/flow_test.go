package flow

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/conns"
	"slatemux/internal/flow/http1"
	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

// rig is a Manager with one member, a listener that hands its connections to the test.
type rig struct {
	t     *testing.T
	g     *Manager
	ln    net.Listener
	conns chan net.Conn
	ends  chan traffic.FlowEnd
}

func newRig(t *testing.T) *rig {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, ln: ln, conns: make(chan net.Conn, 10), ends: make(chan traffic.FlowEnd, 10)}
	r.g = must(New(Config{ConnectWithin: time.Minute, MostFlows: 2, Conns: keeping(2)}, func(e traffic.FlowEnd) { r.ends <- e }))
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			r.conns <- nc
		}
	}()
	t.Cleanup(func() { ln.Close() })
	r.pool(traffic.Active)
	return r
}

// keeping holds so many connections, as a relay does.
func keeping(most int) conns.Config {
	c := conns.Defaults()
	c.Most, c.IdleMost = most, time.Minute
	return c
}

func must(g *Manager, err error) *Manager {
	if err != nil {
		panic(err)
	}
	return g
}

func (r *rig) pool(health traffic.Health) {
	r.g.Pool(traffic.PoolNews{Members: []traffic.Member{{Host: "m", Dial: r.ln.Addr().String(), Health: health}}})
}

func (r *rig) start(id string, change ...func(*traffic.Flow)) {
	f := traffic.Flow{ID: id, Member: "m", Key: "k", Body: []byte("body"), Begun: time.Now(),
		Deadline: time.Now().Add(time.Minute)}
	for _, c := range change {
		c(&f)
	}
	r.g.Start(f)
}

// read reads a call up to its body.
func (r *rig) read(nc net.Conn) string {
	var text []byte
	buf := make([]byte, 1)
	for !strings.HasSuffix(string(text), "\r\n\r\nbody") {
		if _, err := nc.Read(buf); err != nil {
			r.t.Fatal(err)
		}
		text = append(text, buf...)
	}
	return string(text)
}

func (r *rig) want(id string, status traffic.FlowStatus) traffic.FlowEnd {
	r.t.Helper()
	end := <-r.ends
	if end.ID != id || end.Status != status {
		r.t.Errorf("%+v, want %s with status %d", end, id, status)
	}
	return end
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Backend-Load: x0=0.4,x1=25\r\n\r\n"

// Every row of the protocol's table that an answer or a broken connection makes.
func TestEndsOfFlows(t *testing.T) {
	for _, c := range []struct {
		answer string
		status traffic.FlowStatus
		wait   time.Duration
	}{
		{ok, traffic.Delivered, 0},
		{"HTTP/1.1 200 OK\r\n", traffic.Delivered, 0}, // the first line delivers, whatever becomes of the rest
		{"HTTP/1.1 20", traffic.Broken, 0},
		{"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", traffic.Errored, 0},
		{"HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n", traffic.TurnedAway, 250 * time.Millisecond},
		{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", traffic.TurnedAway, 0},
		{"HTTP/1.1 503 Full\r\nX-No-Slot: 1\r\nContent-Length: 0\r\n\r\n", traffic.NoSlot, 0},
		{"HTTP/1.1 504 Spent\r\nContent-Length: 0\r\n\r\n", traffic.Spent, 0},
		{"HTTP/1.1 410 Over\r\nContent-Length: 0\r\n\r\n", traffic.Over, 0},
		{"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nshort", traffic.Broken, 0}, // spoilt: it may have run
		{"HTTP/1.1 429 Wait\r\nX-Retry-In-Ms: 9\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", traffic.Broken, 0},
		{"", traffic.Broken, 0},
		{"what is this\r\n", traffic.Broken, 0},
	} {
		r := newRig(t)
		r.start("a")
		nc := <-r.conns
		r.read(nc)
		if _, err := nc.Write([]byte(c.answer)); err != nil {
			t.Fatal(err)
		}
		nc.Close()
		if end := r.want("a", c.status); end.Wait != c.wait {
			t.Errorf("%q: wait %v", c.answer, end.Wait)
		}
	}
}

// An answer that never ends is cut off soon after its first byte, long before the deadline, and its connection is
// not used again; an interim answer starts no clock for the one behind it.
func TestAnswerThatNeverEnds(t *testing.T) {
	for text, status := range map[string]traffic.FlowStatus{
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx": traffic.Delivered,
		"HTTP/1.1 500 Error\r\nX-Head: goes on":                  traffic.Broken,
		"noise":                                                  traffic.Broken,
		"HTTP/1.1 100 Continue\r\n\r\n":                          traffic.Errored,
	} {
		r := newRig(t)
		r.start("a")
		nc := <-r.conns
		r.read(nc)
		if _, err := nc.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if status == traffic.Errored {
			time.Sleep(answerMost + answerMost/2)
			_, _ = nc.Write([]byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
		}
		if end := r.want("a", status); end.Took > 30*time.Second {
			t.Errorf("%q held its flow for %v", text, end.Took)
		}
		if status != traffic.Errored {
			r.start("b")
			<-r.conns
		}
	}
}

// What comes behind an answer, in a packet of its own, is not taken for the answer to the next call: a
// connection rests a moment before it is used again, and is closed if anything comes.
func TestBytesBehindAnAnswer(t *testing.T) {
	r := newRig(t)
	r.g.cfg.Settle = time.Hour
	r.start("a")
	nc := <-r.conns
	r.read(nc)
	_, _ = nc.Write([]byte(ok))
	r.want("a", traffic.Delivered)
	r.start("b")
	_, _ = nc.Write([]byte(ok))
	nc = <-r.conns
	r.read(nc)
	_, _ = nc.Write([]byte("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"))
	r.want("b", traffic.Errored)
}

// An unreadable load report is void as a whole.
func TestUnreadableReport(t *testing.T) {
	for text, want := range map[string]bool{"x0=0.4,x1=25": true, " x1=25, x0=1,y=z": true, "x0=0.4": false, "": false,
		"x0=0.4,x0=0.5": false, "x0=0.4,x1=25,x1=1": false, "x0=-1,x1=25": false, "x0=nan,x1=2": false,
		"x0=0.4,x1=1e300": false, "x0=,x1=2": false, "\xff\x00": false} {
		if got := parseReport(text); (got != nil) != want {
			t.Errorf("%q gave %+v", text, got)
		}
	}
}

func TestCallAndReport(t *testing.T) {
	r := newRig(t)
	r.start("a")
	nc := <-r.conns
	got := r.read(nc)
	for _, part := range []string{"POST /hook HTTP/1.1\r\n", "X-Correlation-Id: a\r\n", "Idempotency-Key: k\r\n",
		"Content-Length: 4\r\n", "X-Time-Left-Ms: "} {
		if !strings.Contains(got, part) {
			t.Errorf("%q lacks %q", got, part)
		}
	}
	if _, err := io.WriteString(nc, ok); err != nil {
		t.Fatal(err)
	}
	if rep := r.want("a", traffic.Delivered).Report; rep == nil || *rep != (traffic.Report{Left: 0.4, Limit: 25}) {
		t.Errorf("report %+v", rep)
	}
}

// A warm connection carries the next call; one that the peer has closed is not written to, for that call
// would end as a reset that may have run.
func TestReuseAndPeerClose(t *testing.T) {
	r := newRig(t)
	r.start("a")
	nc := <-r.conns
	for _, id := range []string{"a", "b"} {
		r.read(nc)
		if _, err := io.WriteString(nc, ok); err != nil {
			t.Fatal(err)
		}
		r.want(id, traffic.Delivered)
		if id == "a" {
			r.start("b")
		}
	}
	nc.Close()
	for r.idle() > 0 { // until the reader has seen the close
		time.Sleep(time.Millisecond)
	}
	r.start("c")
	r.read(<-r.conns)
	if n := r.g.Counters(); n.Opened != 2 || n.Reused != 1 || n.Calls != 3 || n.Closed != 1 {
		t.Errorf("%+v", n)
	}
}

func (r *rig) idle() int {
	for _, s := range r.g.Connections() {
		return s.Idle
	}
	return 0
}

// A call given up closes its connection: by then it may have run.
func TestGivenUp(t *testing.T) {
	r := newRig(t)
	r.start("a")
	nc := <-r.conns
	r.read(nc)
	r.g.Cancel("a", 0)
	r.want("a", traffic.CalledOff)
	if _, err := nc.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection is open: %v", err)
	}
	r.start("b", func(f *traffic.Flow) { f.Deadline = time.Now().Add(time.Second) })
	r.want("b", traffic.OutOfTime)
}

// Nothing is written to a member that is leaving, into a told wait, or too late to be a harmless repeat: a
// flow whose connection comes up only then ends unsent.
func TestNotWritten(t *testing.T) {
	r := newRig(t)
	r.start("a", func(f *traffic.Flow) { f.WriteBy = time.Now().Add(writeSlack / 2) })
	r.want("a", traffic.Unsent)
	r.g.waits[traffic.Group{}] = time.Now().Add(time.Minute)
	r.start("b")
	r.want("b", traffic.Unsent)
	r.start("c", func(f *traffic.Flow) { f.Group.Destination = 9 })
	nc := <-r.conns
	r.read(nc)
	r.pool(traffic.Leaving)
	r.start("d")
	r.want("d", traffic.Unsent)
	if _, err := io.WriteString(nc, ok); err != nil { // what is out may end
		t.Fatal(err)
	}
	r.want("c", traffic.Delivered)
}

// elsewhere holds groups back, as the other process of a hand-over and other relays do.
type elsewhere struct {
	until time.Time
	held  bool
	ended []traffic.FlowStatus
}

func (e *elsewhere) Tell(traffic.Group, time.Time)             {}
func (e *elsewhere) Until(traffic.Group, time.Time) time.Time  { return e.until }
func (e *elsewhere) Held(traffic.Group, time.Time) bool        { return e.held }
func (e *elsewhere) Ended(_ traffic.Flow, end traffic.FlowEnd) { e.ended = append(e.ended, end.Status) }

// What others hold back takes no connection with it: as many flows as the member has connections end unsent or turned away, and
// the next is written all the same.
func TestHeldElsewhere(t *testing.T) {
	r := newRig(t)
	e := &elsewhere{held: true}
	r.g.cfg.Shared, r.g.cfg.Fleet = e, e
	for range 3 { // the member may have two connections
		r.start("held")
		r.want("held", traffic.Unsent)
	}
	e.held, e.until = false, time.Now().Add(time.Minute)
	for i := range 3 {
		r.start("told", func(f *traffic.Flow) { f.Group.Destination = 1 + i })
		r.want("told", traffic.TurnedAway)
	}
	e.until = time.Time{}
	r.start("a")
	nc := <-r.conns
	r.read(nc)
	if _, err := io.WriteString(nc, ok); err != nil {
		t.Fatal(err)
	}
	r.want("a", traffic.Delivered)
	if len(e.ended) != 7 {
		t.Errorf("the fleet heard of %d ends, not 7", len(e.ended))
	}
}

func TestNoConnectionAndNoSlot(t *testing.T) {
	r := newRig(t)
	r.start("a")
	r.start("b")
	r.read(<-r.conns)
	r.read(<-r.conns)
	r.start("c")
	r.want("c", traffic.NoSlot)
	r.g.Cancel("a", 0)
	r.want("a", traffic.CalledOff)
	r.ln.Close()
	r.start("d")
	r.want("d", traffic.NotConnected)
}

func TestDecodeSurvivesGarbage(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var resp http1.Response
		_, _ = resp.Feed(proptest.Garbage(t, []byte(ok)))
		a := decode(&resp, false)
		if rep := a.report; rep != nil && !(rep.Left >= 0 && rep.Limit >= 0) || a.wait < 0 {
			t.Fatalf("%+v", a)
		}
	})
}

// A warm connection can end between being taken and being written to: the call goes out on a new one.
func TestWarmConnectionThatJustEnded(t *testing.T) {
	r := newRig(t)
	near, far := net.Pipe()
	far.Close()
	_, id, _ := r.g.conns.Call(0, "m")
	r.g.conns.Opened(0, id, false)
	r.g.byID[id] = &conn{nc: near, g: r.g, id: id, host: "m", dead: true, idleSince: time.Now()}
	r.start("a")
	nc := <-r.conns
	r.read(nc)
	if _, err := io.WriteString(nc, ok); err != nil {
		t.Fatal(err)
	}
	r.want("a", traffic.Delivered)
}

// What the relay itself lets a flow wait, before its goroutine runs and before an answer is looked at, is not told
// of the pool member.
func TestOwnDelayIsLeftOut(t *testing.T) {
	r := newRig(t)
	r.g.cfg.OwnDelay = func() time.Duration { return 40 * time.Second }
	r.start("a", func(f *traffic.Flow) { f.Begun = time.Now().Add(-20 * time.Second) })
	nc := <-r.conns
	r.read(nc)
	time.Sleep(10 * time.Millisecond)
	if _, err := io.WriteString(nc, ok); err != nil {
		t.Fatal(err)
	}
	if end := r.want("a", traffic.Delivered); end.Took != 0 {
		t.Errorf("took %v", end.Took)
	}
	r.g.cfg.OwnDelay = nil
	r.start("b", func(f *traffic.Flow) { f.Begun = time.Now().Add(-20 * time.Second) })
	r.read(nc)
	time.Sleep(10 * time.Millisecond)
	if _, err := io.WriteString(nc, ok); err != nil {
		t.Fatal(err)
	}
	if end := r.want("b", traffic.Delivered); end.Took < 10*time.Millisecond || end.Took > 15*time.Second {
		t.Errorf("took %v", end.Took)
	}
}

// While memory is short no connection is kept warm, and those that are go.
func TestFreeIdle(t *testing.T) {
	r := newRig(t)
	deliver := func(id string, nc net.Conn) {
		t.Helper()
		r.read(nc)
		if _, err := io.WriteString(nc, ok); err != nil {
			t.Fatal(err)
		}
		r.want(id, traffic.Delivered)
	}
	idle := r.idle
	r.start("a")
	deliver("a", <-r.conns)
	if idle() != 1 {
		t.Fatalf("%d warm", idle())
	}
	r.g.FreeIdle(true)
	if idle() != 0 {
		t.Errorf("%d warm though memory is short", idle())
	}
	r.start("b")
	deliver("b", <-r.conns)
	if idle() != 0 {
		t.Errorf("%d kept warm though memory is short", idle())
	}
	r.g.FreeIdle(false)
	r.start("c")
	deliver("c", <-r.conns)
	if idle() != 1 {
		t.Errorf("%d warm afterwards", idle())
	}
}
