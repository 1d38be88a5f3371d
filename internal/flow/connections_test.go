package flow

import (
	"io"
	"net"
	"testing"
	"time"

	"slatemux/internal/conns"
	"slatemux/internal/lab/scripted"
	"slatemux/internal/traffic"
)

func (h *harness) memberState(t *testing.T) conns.EndpointState {
	t.Helper()
	list := h.manager.EndpointStates()
	if len(list) != 1 {
		t.Fatalf("%+v", list)
	}
	return list[0]
}

// waitUntil waits for a condition that other goroutines bring about.
func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(failure)
		}
	}
}

func (h *harness) deliver(id string, nc net.Conn) {
	h.t.Helper()
	h.readCall(nc)
	if _, err := io.WriteString(nc, okAnswer); err != nil {
		h.t.Fatal(err)
	}
	h.expectEnd(id, traffic.Delivered)
}

// While no more connections may be opened, flows wait. The flow with the highest worth gets the first connection that becomes idle. A flow
// that waits too long ends unsent, which does not count as a failure of the member.
func TestWaitForConnection(t *testing.T) {
	r := newHarness(t)
	r.manager.SetLimits(10, 1)
	r.manager.cfg.MaxConnWait = 20 * time.Second
	r.startFlow("a")
	nc := <-r.conns
	r.startFlow("low", func(f *traffic.Flow) { f.Worth = 1 })
	r.startFlow("high", func(f *traffic.Flow) { f.Worth = 2 })
	waitUntil(t, "want two flows that wait for a connection", func() bool {
		r.manager.mu.Lock()
		defer r.manager.mu.Unlock()
		return len(r.manager.waiters["m"]) == 2
	})
	r.deliver("a", nc)
	r.deliver("high", nc)
	r.deliver("low", nc)
	if n := r.manager.Counters(); n.Opened != 1 || n.Waited != 2 {
		t.Errorf("%+v", n)
	}
	r.manager.cfg.MaxConnWait = 30 * time.Millisecond
	r.startFlow("b")
	r.readCall(nc)
	r.startFlow("c")
	r.expectEnd("c", traffic.Unsent)
	r.startFlow("d", func(f *traffic.Flow) { f.Deadline = time.Now().Add(time.Millisecond) })
	r.expectEnd("d", traffic.Unsent)
	if len(r.manager.waiters) != 0 {
		t.Errorf("waiters left: %v", r.manager.waiters)
	}
	r.manager.SetLimits(10, 2) // another connection may be opened, so the next flow does not wait
	r.startFlow("e")
	r.readCall(<-r.conns)
}

// newPreconnectHarness returns a harness whose Manager opens connections ahead of calls.
func newPreconnectHarness(t *testing.T) *harness {
	r := newHarness(t)
	cfg := connsConfig(10)
	cfg.Preconnect = true
	r.manager = mustNew(New(Config{ConnectTimeout: time.Minute, MaxCalls: 10, Conns: cfg}, func(e traffic.FlowEnd) { r.ends <- e }))
	r.setHealth(traffic.Active)
	return r
}

// Expected calls find their connections already open. Openings that no call needs any more are canceled.
func TestPreconnect(t *testing.T) {
	r := newPreconnectHarness(t)
	r.manager.Expect(0, 3)
	r.manager.sweep()
	conns := []net.Conn{<-r.conns} // only one connection until the member has accepted it
	waitUntil(t, "want one idle connection", func() bool { return r.memberState(t).Idle == 1 })
	if n := r.manager.Counters(); n.Opened != 1 {
		t.Errorf("%d connections opened at once to a new member", n.Opened)
	}
	r.manager.sweep()
	conns = append(conns, <-r.conns, <-r.conns)
	waitUntil(t, "want three idle connections", func() bool { return r.memberState(t).Idle == 3 })
	for _, id := range []string{"a", "b", "c"} {
		r.startFlow(id)
	}
	for _, nc := range conns {
		r.readCall(nc)
		_, _ = io.WriteString(nc, okAnswer)
	}
	for range conns {
		if end := <-r.ends; end.Status != traffic.Delivered {
			t.Errorf("%+v", end)
		}
	}
	if n := r.manager.Counters(); n.Opened != 3 || n.Preconnected != 3 || n.Reused != 3 {
		t.Errorf("%+v", n)
	}
}

// The member leaves while a connection to it is being opened ahead of calls. The connection is closed at the next sweep.
func TestMemberLeavesWhilePreconnecting(t *testing.T) {
	r := newPreconnectHarness(t)
	r.manager.Expect(0, 1)
	r.manager.sweep()
	r.setHealth(traffic.Leaving)
	waitUntil(t, "the opening has not ended", func() bool {
		r.manager.sweep()
		r.manager.mu.Lock()
		defer r.manager.mu.Unlock()
		return r.manager.conns.Len() == 0 && len(r.manager.connsByID) == 0 && len(r.manager.preconnecting) == 0
	})
}

// A middlebox drops the state of a connection, so the bytes written are not acknowledged. The connection is closed long before the
// deadline and counted as stale, and the next call uses a new connection.
func TestUnacknowledgedConnectionGivenUp(t *testing.T) {
	srv, err := scripted.Start(scripted.Script{End: scripted.Vanish, Idle: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Stop()
	ends := make(chan traffic.FlowEnd, 1)
	g := mustNew(New(Config{ConnectTimeout: time.Minute, MaxCalls: 10, Conns: connsConfig(10), UnackedTimeout: 30 * time.Millisecond},
		func(e traffic.FlowEnd) { ends <- e }))
	g.UpdatePool(traffic.PoolUpdate{Members: []traffic.Member{{Host: "m", Address: srv.Addr()}}})
	start := func(id string) {
		g.Start(traffic.Flow{ID: id, Member: "m", Body: make([]byte, 256<<10), StartedAt: time.Now(), Deadline: time.Now().Add(time.Minute)})
	}
	start("a")
	if e := <-ends; e.Status != traffic.Delivered {
		t.Fatalf("%+v", e)
	}
	time.Sleep(200 * time.Millisecond) // longer than the server keeps an idle connection
	start("b")
	for e, ended := (traffic.FlowEnd{}), false; !ended; {
		g.sweep()
		select {
		case e = <-ends:
			ended = true
			if e.Status != traffic.ConnectionBroken && e.Status != traffic.NotConnected || e.Latency > 20*time.Second {
				t.Errorf("%+v", e)
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
	if n := g.Counters(); n.Stale != 1 {
		t.Errorf("%+v", n)
	}
	start("c")
	if e := <-ends; e.Status != traffic.Delivered {
		t.Errorf("%+v", e)
	}
}

// A slow server acknowledges the bytes that it received. Its connection must not be closed as stuck.
func TestSlowIsNotStuck(t *testing.T) {
	r := newHarness(t)
	r.manager.cfg.UnackedTimeout = time.Nanosecond
	r.startFlow("a")
	nc := <-r.conns
	r.deliver("a", nc)
	r.startFlow("b")
	r.readCall(nc)
	time.Sleep(20 * time.Millisecond)
	r.manager.sweep()
	if _, err := io.WriteString(nc, okAnswer); err != nil {
		t.Fatal(err)
	}
	r.expectEnd("b", traffic.Delivered)
}
