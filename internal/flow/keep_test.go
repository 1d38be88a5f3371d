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

func (r *rig) state(t *testing.T) conns.State {
	t.Helper()
	list := r.g.Connections()
	if len(list) != 1 {
		t.Fatalf("%+v", list)
	}
	return list[0]
}

// until waits for what other goroutines bring about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func (r *rig) answer(id string, nc net.Conn) {
	r.t.Helper()
	r.read(nc)
	if _, err := io.WriteString(nc, ok); err != nil {
		r.t.Fatal(err)
	}
	r.want(id, traffic.Delivered)
}

// Where no more connections may be opened a flow waits for one: what is worth most gets the first that comes to rest, and
// what has waited too long ends unsent, which is not the member's failure.
func TestWaitForAConnection(t *testing.T) {
	r := newRig(t)
	r.g.Limit(10, 1)
	r.g.cfg.HeldMost = 20 * time.Second
	r.start("a")
	nc := <-r.conns
	r.start("low", func(f *traffic.Flow) { f.Worth = 1 })
	r.start("high", func(f *traffic.Flow) { f.Worth = 2 })
	until(t, "two flows wait", func() bool {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		return len(r.g.held["m"]) == 2
	})
	r.answer("a", nc)
	r.answer("high", nc)
	r.answer("low", nc)
	if n := r.g.Counters(); n.Opened != 1 || n.Waited != 2 {
		t.Errorf("%+v", n)
	}
	r.g.cfg.HeldMost = 30 * time.Millisecond
	r.start("b")
	r.read(nc)
	r.start("c")
	r.want("c", traffic.Unsent)
	r.start("d", func(f *traffic.Flow) { f.Deadline = time.Now().Add(time.Millisecond) })
	r.want("d", traffic.Unsent)
	if len(r.g.held) != 0 {
		t.Errorf("%v still wait", r.g.held)
	}
	r.g.Limit(10, 2) // more may be opened: the next one does not wait
	r.start("e")
	r.read(<-r.conns)
}

// newAheadRig is a rig whose Manager opens connections ahead.
func newAheadRig(t *testing.T) *rig {
	r := newRig(t)
	cfg := keeping(10)
	cfg.Ahead = true
	r.g = must(New(Config{ConnectWithin: time.Minute, MostFlows: 10, Conns: cfg}, func(e traffic.FlowEnd) { r.ends <- e }))
	r.pool(traffic.Active)
	return r
}

// Calls that are known to come find their connections open; what nobody needs any more is called off.
func TestOpenedAhead(t *testing.T) {
	r := newAheadRig(t)
	r.g.Expect(0, 3)
	r.g.sweep()
	conns := []net.Conn{<-r.conns} // one alone, until it is known that the member takes any
	until(t, "one rests", func() bool { return r.state(t).Idle == 1 })
	if n := r.g.Counters(); n.Opened != 1 {
		t.Errorf("%d opened at once to a member that is new", n.Opened)
	}
	r.g.sweep()
	conns = append(conns, <-r.conns, <-r.conns)
	until(t, "three rest", func() bool { return r.state(t).Idle == 3 })
	for _, id := range []string{"a", "b", "c"} {
		r.start(id)
	}
	for _, nc := range conns {
		r.read(nc)
		_, _ = io.WriteString(nc, ok)
	}
	for range conns {
		if end := <-r.ends; end.Status != traffic.Delivered {
			t.Errorf("%+v", end)
		}
	}
	if n := r.g.Counters(); n.Opened != 3 || n.Ahead != 3 || n.Reused != 3 {
		t.Errorf("%+v", n)
	}
}

// The member leaves while a connection to it is being opened ahead: it is closed as soon as it is looked at.
func TestLeavesWhileOpening(t *testing.T) {
	r := newAheadRig(t)
	r.g.Expect(0, 1)
	r.g.sweep()
	r.pool(traffic.Leaving)
	until(t, "the opening ends", func() bool {
		r.g.sweep()
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		return r.g.conns.Len() == 0 && len(r.g.byID) == 0 && len(r.g.ahead) == 0
	})
}

// A middlebox has dropped the flow: what is written is not acknowledged, and the connection is given up long before the
// deadline. It counts as a dead one, and the next call goes on a new one.
func TestNotAcknowledged(t *testing.T) {
	srv, err := scripted.Start(scripted.Script{End: scripted.Vanish, Idle: 30 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Stop()
	ends := make(chan traffic.FlowEnd, 1)
	g := must(New(Config{ConnectWithin: time.Minute, MostFlows: 10, Conns: keeping(10), StuckAfter: 30 * time.Millisecond},
		func(e traffic.FlowEnd) { ends <- e }))
	g.Pool(traffic.PoolNews{Members: []traffic.Member{{Host: "m", Dial: srv.Addr()}}})
	start := func(id string) {
		g.Start(traffic.Flow{ID: id, Member: "m", Body: make([]byte, 256<<10), Begun: time.Now(), Deadline: time.Now().Add(time.Minute)})
	}
	start("a")
	if e := <-ends; e.Status != traffic.Delivered {
		t.Fatalf("%+v", e)
	}
	time.Sleep(200 * time.Millisecond) // longer than the server lets it idle
	start("b")
	for e, over := (traffic.FlowEnd{}), false; !over; {
		g.sweep()
		select {
		case e = <-ends:
			over = true
			if e.Status != traffic.Broken && e.Status != traffic.NotConnected || e.Took > 20*time.Second {
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

// A server that is slow has acknowledged what it got: it is not given up.
func TestSlowIsNotStuck(t *testing.T) {
	r := newRig(t)
	r.g.cfg.StuckAfter = time.Nanosecond
	r.start("a")
	nc := <-r.conns
	r.answer("a", nc)
	r.start("b")
	r.read(nc)
	time.Sleep(20 * time.Millisecond)
	r.g.sweep()
	if _, err := io.WriteString(nc, ok); err != nil {
		t.Fatal(err)
	}
	r.want("b", traffic.Delivered)
}
