package conns

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

const ms = time.Millisecond

// testConfig returns the defaults with limits that most tests do not reach.
func testConfig() Config {
	c := Defaults()
	c.MaxConns, c.MaxIdle, c.Seed = 1000, 60*time.Second, 1
	return c
}

// newPool returns a Pool with the given endpoints, each of its own destination.
func newPool(t *testing.T, cfg Config, endpoints ...string) *Pool {
	t.Helper()
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i, e := range endpoints {
		p.UpdateEndpoint(e, "addr "+e, i, true)
	}
	return p
}

// server is a scripted server in virtual time, with the connections that a Pool holds to it.
type server struct {
	t                 *testing.T
	p                 *Pool
	name              string
	now               time.Duration
	silentCloseAfter  time.Duration // idle time after which it drops a connection silently; 0 for never
	visibleCloseAfter time.Duration // idle time after which it closes a connection visibly; 0 for never
	closeAfterCalls   int           // number of calls after which it closes a connection; 0 for never
	conns             map[ID]*serverConn
	calls             int
	staleCalls        int
	opened            int
	rng               *rand.Rand
	breakShare        float64 // share of the calls on reused connections that break for reasons other than idling
	service           time.Duration
}

// serverConn is the server's side of one connection.
type serverConn struct {
	idleSince time.Duration
	calls     int
	busy      bool
}

// newServer returns a server that holds no connection.
func newServer(t *testing.T, p *Pool, name string) *server {
	return &server{t: t, p: p, name: name, conns: map[ID]*serverConn{}, rng: rand.New(rand.NewPCG(5, 5)), service: 20 * ms}
}

// advance moves the time forward in steps: the server closes connections as scripted, and the pool ticks.
func (s *server) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		step := min(250*ms, end-s.now)
		s.now += step
		for _, id := range s.ids() {
			c := s.conns[id]
			if !c.busy && s.visibleCloseAfter > 0 && s.now-c.idleSince >= s.visibleCloseAfter {
				s.p.Closed(s.now, id)
				delete(s.conns, id)
			}
		}
		evicted, preconnects := s.p.Tick(s.now)
		s.closeEvicted(evicted)
		for _, id := range preconnects {
			s.opened++
			s.conns[id] = &serverConn{idleSince: s.now}
			s.p.Opened(s.now, id, false)
		}
	}
}

// ids returns the IDs of the open connections in order.
func (s *server) ids() (ids []ID) {
	for id := range s.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// closeEvicted closes the connections that the pool evicted. They must be open and idle.
func (s *server) closeEvicted(evicted []Eviction) {
	for _, g := range evicted {
		if c := s.conns[g.ID]; c == nil || c.busy {
			s.t.Fatalf("evicted, but busy or unknown: %v", g)
		}
		delete(s.conns, g.ID)
	}
}

// call makes one call, and repeats it on another connection after a loss. It reports whether the call opened a connection.
func (s *server) call() (fresh bool) {
	s.calls++
	for {
		v, id, evicted := s.p.Call(s.now, s.name)
		s.closeEvicted(evicted)
		switch v {
		case Open:
			fresh = true
			s.opened++
			s.conns[id] = &serverConn{busy: true}
			s.p.Opened(s.now, id, true)
		case Use:
			c := s.conns[id]
			if c == nil || c.busy {
				s.t.Fatalf("connection %d is unknown or busy", id)
			}
			idle := s.now - c.idleSince
			if s.silentCloseAfter > 0 && idle >= s.silentCloseAfter || s.rng.Float64() < s.breakShare {
				s.staleCalls++
				s.p.CallEnded(s.now, id, BrokenBeforeAnswer, 0)
				delete(s.conns, id)
				continue
			}
			c.busy = true
		case Wait:
			s.t.Fatal("the call has to wait for a connection")
		}
		s.finish(id)
		return fresh
	}
}

// finish completes the call on a connection after the service time.
func (s *server) finish(id ID) {
	s.now += s.service
	c := s.conns[id]
	c.calls++
	if staysOpen, _ := s.p.CallEnded(s.now, id, Answered, s.service); !staysOpen {
		delete(s.conns, id)
		return
	}
	c.busy, c.idleSince = false, s.now
	if s.closeAfterCalls > 0 && c.calls >= s.closeAfterCalls {
		s.p.Closed(s.now, id)
		delete(s.conns, id)
	}
}

// makeCalls makes n calls, with random gaps that are distributed uniformly up to maxGap.
func (s *server) makeCalls(n int, maxGap time.Duration) {
	for range n {
		s.advance(time.Duration(s.rng.Float64() * float64(maxGap)))
		s.call()
	}
}

// A server drops idle connections silently after an unknown time, so that a call on such a connection fails. Less than one call in a
// thousand may fail, and connections must be reused below that time. The time changes twice during the test, to a shorter and to a longer
// one.
func TestSilentCloseKeepsStaleCallsRare(t *testing.T) {
	p := newPool(t, testConfig(), "e")
	s := newServer(t, p, "e")
	s.silentCloseAfter = 5 * time.Second
	s.makeCalls(20_000, 8*time.Second)
	for _, silentCloseAfter := range []time.Duration{1500 * ms, 20 * time.Second} {
		s.silentCloseAfter = silentCloseAfter
		s.makeCalls(20_000, 8*time.Second)
	}
	if share := float64(s.staleCalls) / float64(s.calls); share > 0.001 {
		t.Errorf("%d of %d calls failed on dead connections", s.staleCalls, s.calls)
	}
	if c := p.Counters(); c.Reused < int64(s.calls)/4 {
		t.Errorf("%d of %d calls on reused connections", c.Reused, s.calls)
	}
	if s.silentCloseAfter = 1500 * ms; true {
		before := s.opened
		s.makeCalls(5000, 1200*ms)
		if n := s.opened - before; n > 500 {
			t.Errorf("%d connections opened for 5000 calls within the idle time", n)
		}
	}
}

// A server closes idle connections visibly. No call may fail: the pool learns the time and closes connections before.
func TestVisibleCloseCostsNoCall(t *testing.T) {
	p := newPool(t, testConfig(), "e")
	s := newServer(t, p, "e")
	s.visibleCloseAfter = 3 * time.Second
	s.makeCalls(3000, 6*time.Second)
	if limit := p.EndpointStates()[0].IdleLimit; limit > 3*time.Second || limit < time.Second {
		t.Errorf("idle limit %v, want 1 to 3 s", limit)
	}
	if c := p.Counters(); c.Stale > 0 || c.Evicted[ReasonIdle] == 0 {
		t.Errorf("stale calls, or no eviction for idling: %+v", c)
	}
	if e := p.IdleTimes(); e.Evicted[ReasonIdle][3] == 0 || e.Closed[3] == 0 || e.Dead != (Histogram{}) { // the class of 1 to 10 s
		t.Errorf("histograms of idle times: %+v", e)
	}
}

// Connections that break for reasons other than idling must not shorten the idle limit: the pool goes on reusing connections.
func TestUnrelatedLossesLeaveReuse(t *testing.T) {
	p := newPool(t, testConfig(), "e")
	s := newServer(t, p, "e")
	s.breakShare = 0.005
	s.makeCalls(5000, 2*time.Second)
	if float64(s.opened) > 0.25*float64(s.calls) {
		t.Errorf("%d connections opened for %d calls", s.opened, s.calls)
	}
}

// A server closes connections after a number of calls. The pool learns that number and closes connections itself, apart from a few that
// test whether the limit still holds.
func TestServerLimitsCallsPerConnection(t *testing.T) {
	p := newPool(t, testConfig(), "e")
	s := newServer(t, p, "e")
	s.closeAfterCalls = 7
	s.makeCalls(500, 100*ms)
	if u := p.EndpointStates()[0].MaxUses; u != 7 {
		t.Errorf("learned a limit of %d calls per connection", u)
	}
	closed := p.Counters().Closed
	s.makeCalls(700, 100*ms)
	if n := p.Counters().Closed - closed; n > 20 {
		t.Errorf("the server closed %d of about 100 connections before the pool did", n)
	}
}

// startCalls starts n concurrent calls and returns their connections.
func startCalls(t *testing.T, p *Pool, now time.Duration, name string, n int) (ids []ID) {
	t.Helper()
	for range n {
		v, id, _ := p.Call(now, name)
		if v == Open {
			p.Opened(now, id, true)
		} else if v != Use {
			t.Fatalf("call %d of %d has to wait", len(ids), n)
		}
		ids = append(ids, id)
	}
	return ids
}

// finishCalls ends the calls on connections, which must all become idle.
func finishCalls(t *testing.T, p *Pool, now time.Duration, ids []ID) {
	t.Helper()
	for _, id := range ids {
		if staysOpen, reason := p.CallEnded(now, id, Answered, 20*ms); !staysOpen {
			t.Fatalf("connection %d was closed: %v", id, reason)
		}
	}
}

// After a peak of calls, connections are kept for a while and then closed one after the other. A later burst must find some of them, and
// open only the missing ones.
func TestSurplusEvictionAndBurst(t *testing.T) {
	unlimited := newPool(t, testConfig(), "e")
	cfg := testConfig()
	cfg.MaxConns = 100 // few connections are allowed
	p := newPool(t, cfg, "e")
	now := time.Second
	finishCalls(t, p, now, startCalls(t, p, now, "e", 60))
	finishCalls(t, unlimited, now, startCalls(t, unlimited, now, "e", 60))
	counts := []int{}
	for range 40 { // 20 s, more than the half-life of the peak
		now += 500 * ms
		finishCalls(t, p, now, startCalls(t, p, now, "e", 2))
		p.Tick(now)
		counts = append(counts, p.Len())
		unlimited.Tick(now)
	}
	if n := unlimited.Len(); n != 60 { // no other endpoint needs them
		t.Errorf("%d of 60 connections are left although the limit allows many more", n)
	}
	if counts[4] < 40 || counts[39] > 40 || !slices.IsSortedFunc(counts, func(a, b int) int { return b - a }) {
		t.Errorf("connections after each tick: %v", counts)
	}
	warm, opened := p.Len(), p.Counters().Opened
	finishCalls(t, p, now, startCalls(t, p, now, "e", 60))
	if n := int(p.Counters().Opened - opened); n != 60-warm {
		t.Errorf("%d connections opened for a burst of 60 calls with %d idle ones", n, warm)
	}
}

// A server accepts four connections. The fifth is refused twice, because a single refusal can have any reason. Then calls wait for one of
// the four, and after connLimitPeriod one more connection is tried.
func TestServerLimitsConnections(t *testing.T) {
	p := newPool(t, testConfig(), "e")
	now := time.Second
	ids := startCalls(t, p, now, "e", 4)
	for range refusalsForConnLimit {
		v, fifth, _ := p.Call(now, "e")
		if v != Open {
			t.Errorf("%v after fewer than two refusals", v)
		}
		p.OpeningFailed(now, fifth, true)
	}
	if v, _, _ := p.Call(now, "e"); v != Wait || p.EndpointStates()[0].ConnLimit != 4 {
		t.Errorf("%v with a connection limit of %d", v, p.EndpointStates()[0].ConnLimit)
	}
	finishCalls(t, p, now, ids[:1])
	if !p.Claim(now, ids[0]) || p.Claim(now, ids[0]) {
		t.Error("the connection that became idle was not claimed exactly once")
	}
	now += connLimitPeriod + time.Second
	if v, id, _ := p.Call(now, "e"); v != Open || id == 0 {
		t.Errorf("after connLimitPeriod: %v", v)
	}
	if v, _, _ := p.Call(now, "e"); v != Wait {
		t.Errorf("a second additional connection: %v", v)
	}
}

// An endpoint with a new address starts without what was learned at the old address. A new endpoint of the same destination starts with
// what was learned from its losses, and one of another destination does not.
func TestMovedAndNewEndpoints(t *testing.T) {
	p := newPool(t, testConfig(), "a")
	s := newServer(t, p, "a")
	s.silentCloseAfter = 2 * time.Second
	s.makeCalls(300, 5*time.Second)
	learnedLimit := p.EndpointStates()[0].IdleLimit
	if learnedLimit >= 2*time.Second {
		t.Fatalf("idle limit %v, want less than 2 s", learnedLimit)
	}
	evicted := p.UpdateEndpoint("a", "elsewhere", 0, true)
	s.closeEvicted(evicted)
	if limit := p.EndpointStates()[0].IdleLimit; limit < 30*time.Second || p.Len() != 0 {
		t.Errorf("after the move: idle limit %v and %d connections", limit, p.Len())
	}
	s.makeCalls(300, 5*time.Second)
	p.UpdateEndpoint("b", "addr b", 0, true)
	if limit := p.EndpointStates()[1].IdleLimit; limit > 5*time.Second {
		t.Errorf("a new endpoint of the same destination starts with idle limit %v", limit)
	}
	p.UpdateEndpoint("c", "addr c", 1, true)
	if limit := p.EndpointStates()[2].IdleLimit; limit < 30*time.Second {
		t.Errorf("an endpoint of another destination starts with idle limit %v", limit)
	}
}

// Three hundred endpoints share 256 connections. The limit must hold, every call must get a connection, and an endpoint with many
// connections must not take any from an endpoint with few.
func TestMoreEndpointsThanConnections(t *testing.T) {
	cfg := testConfig()
	cfg.MaxConns = 256
	p := newPool(t, cfg)
	for i := range 300 {
		p.UpdateEndpoint(fmt.Sprint(i), fmt.Sprint(i), i, true)
	}
	rng, now := rand.New(rand.NewPCG(1, 2)), time.Second
	for range 20_000 {
		now += 5 * ms
		name := fmt.Sprint(rng.IntN(300))
		v, id, _ := p.Call(now, name)
		if v == Wait {
			t.Fatal("a call has to wait although no connection is busy")
		}
		if v == Open {
			p.Opened(now, id, true)
		}
		if p.Len() > 256 {
			t.Fatalf("%d connections, at most 256 are allowed", p.Len())
		}
		p.CallEnded(now+ms, id, Answered, ms)
		if rng.IntN(50) == 0 {
			p.Tick(now)
		}
	}
	// One endpoint wants all connections while the others have one idle connection each. It stops where the others are within their share.
	busy := []ID{}
	for {
		v, id, _ := p.Call(now, "0")
		if v == Wait {
			break
		}
		if v == Open {
			p.Opened(now, id, true)
		}
		busy = append(busy, id)
	}
	others := 0
	for _, s := range p.EndpointStates() {
		if s.Endpoint != "0" {
			others += s.Busy + s.Idle
		}
	}
	if p.Len() > 256 || len(busy) < 20 {
		t.Errorf("%d connections in all, %d of the busy endpoint, %d of the others", p.Len(), len(busy), others)
	}
}

// An endpoint with fifty busy connections is drained. Idle connections close at once, busy ones when their calls end, and then the
// endpoint is removed.
func TestDrainingEndpoint(t *testing.T) {
	p := newPool(t, testConfig(), "e")
	now := time.Second
	ids := startCalls(t, p, now, "e", 60)
	finishCalls(t, p, now, ids[50:])
	if evicted := p.UpdateEndpoint("e", "addr e", 0, false); len(evicted) != 10 || evicted[0].Reason != ReasonDraining {
		t.Errorf("want 10 evictions for draining: %v", evicted)
	}
	if v, _, _ := p.Call(now, "e"); v != Wait || p.Len() != 50 {
		t.Errorf("%v, %d connections left", v, p.Len())
	}
	for i, id := range ids[:50] {
		if staysOpen, reason := p.CallEnded(now+time.Second, id, Answered, time.Second); staysOpen || reason != ReasonDraining {
			t.Errorf("connection %d stays open at a draining endpoint, or another reason: %v", i, reason)
		}
	}
	if p.Len() != 0 || len(p.endpoints) != 0 {
		t.Errorf("%d connections, %d endpoints are left", p.Len(), len(p.endpoints))
	}
}

// Connections are opened in advance for calls that are known to come. An endpoint in slow start or with failed openings gets one at a
// time. Openings that no call needs any more may be canceled.
func TestPreconnect(t *testing.T) {
	cfg := testConfig()
	cfg.Preconnect = true
	p := newPool(t, cfg, "e", "cold")
	now := time.Second
	finishCalls(t, p, now, startCalls(t, p, now, "e", 1)) // a new endpoint would get only one connection in advance
	p.Hint("e", false, 13)
	p.Hint("cold", true, 12)
	_, preconnects := p.Tick(now)
	countByName := map[string]int{}
	for _, id := range preconnects {
		name, _ := p.EndpointOf(id)
		countByName[name]++
	}
	if countByName["e"] != 12 || countByName["cold"] != 1 {
		t.Errorf("preconnects by endpoint: %v", countByName)
	}
	if _, again := p.Tick(now + 250*ms); len(again) != 0 {
		t.Errorf("%d more preconnects while the first are being opened", len(again))
	}
	p.Hint("e", false, 0)
	p.Hint("cold", false, 0)
	if ids := p.Unneeded(); len(ids) != 13 {
		t.Errorf("%d openings may be canceled", len(ids))
	}
	for _, id := range preconnects {
		if name, _ := p.EndpointOf(id); name == "e" {
			p.Opened(now+300*ms, id, false)
		} else {
			p.OpeningFailed(now+300*ms, id, true)
		}
	}
	p.Hint("cold", false, 5)
	if _, ids := p.Tick(now + 310*ms); len(ids) != 0 {
		t.Error("no wait after a failed opening")
	}
	if _, ids := p.Tick(now + 600*ms); len(ids) != 1 {
		t.Errorf("%d preconnects to an endpoint where openings fail", len(ids))
	}
	if v, _, _ := p.Call(now+600*ms, "cold"); v != Open {
		t.Errorf("a call has to wait because a preconnect failed: %v", v)
	}
	p.SetKeepNoIdle(now+600*ms, true)
	p.Hint("e", false, 50)
	if _, ids := p.Tick(now + time.Second); len(ids) != 0 {
		t.Errorf("%d preconnects although no connection may be idle", len(ids))
	}
	if c := p.Counters(); c.Preconnected != 14 {
		t.Errorf("want 14 preconnects: %+v", c)
	}
}

// Shed closes the given number of idle connections. Connections of one age must not reach their maximum age all together.
func TestAgeAndPressure(t *testing.T) {
	p := newPool(t, testConfig(), "e", "f")
	now := time.Second
	finishCalls(t, p, now, startCalls(t, p, now, "e", 20))
	finishCalls(t, p, now, startCalls(t, p, now, "f", 2))
	if evicted := p.Shed(now, 5); len(evicted) != 5 || evicted[0].Reason != ReasonPressure || p.Len() != 17 {
		t.Errorf("evicted %v, %d connections left", evicted, p.Len())
	}
	closed := map[time.Duration]int64{}
	for ; now < 20*time.Minute; now += 10 * time.Second {
		before := p.Counters().Evicted[ReasonAge]
		finishCalls(t, p, now, startCalls(t, p, now, "e", 10))
		p.Tick(now)
		if n := p.Counters().Evicted[ReasonAge] - before; n > 0 {
			closed[now.Truncate(30*time.Second)] += n
		}
	}
	if len(closed) < 3 {
		t.Errorf("connections were closed for their age all together: %v", closed)
	}
}

// Random events, checked against what must always hold: no connection carries two calls, the limit is kept, each opening ends once, and
// no connection or endpoint leaks.
func TestRandomEventsKeepInvariants(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.MaxConns = rapid.IntRange(1, 12).Draw(t, "most")
		cfg.Preconnect = rapid.Bool().Draw(t, "ahead")
		p, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		const idle, busy, opening = 1, 2, 3
		conns := map[ID]int{}
		owner := map[ID]string{}
		listed := map[string]bool{}
		now := time.Duration(0)
		removeEvicted := func(evicted []Eviction) {
			for _, g := range evicted {
				if conns[g.ID] != idle {
					t.Fatalf("evicted in state %d: %v", conns[g.ID], g)
				}
				delete(conns, g.ID)
			}
		}
		pick := func(state int) (ID, bool) {
			var ids []ID
			for id, s := range conns {
				if s == state {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			slices.Sort(ids)
			return rapid.SampledFrom(ids).Draw(t, "connection"), true
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 10, 300, 5000, 70_000}).Draw(t, "gap")) * ms
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				open := rapid.Bool().Draw(t, "open")
				removeEvicted(p.UpdateEndpoint(name, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "addr"), 1, open))
				listed[name] = open
			case 1, 2, 3:
				v, id, evicted := p.Call(now, name)
				removeEvicted(evicted)
				switch v {
				case Use:
					if conns[id] != idle || owner[id] != name {
						t.Fatalf("connection %d of %s in state %d for %s", id, owner[id], conns[id], name)
					}
					conns[id] = busy
				case Open:
					if conns[id] != 0 {
						t.Fatalf("connection %d is opened twice", id)
					}
					owner[id], conns[id] = name, opening
				}
			case 4:
				if id, ok := pick(opening); ok {
					call := rapid.Bool().Draw(t, "call")
					p.Opened(now, id, call)
					conns[id] = map[bool]int{true: busy, false: idle}[call]
				}
			case 5:
				if id, ok := pick(opening); ok {
					p.OpeningFailed(now, id, rapid.Bool().Draw(t, "refused"))
					delete(conns, id)
				}
			case 6, 7:
				if id, ok := pick(busy); ok {
					end := rapid.SampledFrom([]CallEnd{Answered, Answered, AnsweredLast, Aborted, BrokenBeforeAnswer, BrokenDuringAnswer}).Draw(t, "end")
					if staysOpen, _ := p.CallEnded(now, id, end, 10*ms); staysOpen {
						if end != Answered {
							t.Fatalf("the connection stays open after %v", end)
						}
						conns[id] = idle
					} else {
						delete(conns, id)
					}
				}
			case 8:
				if id, ok := pick(idle); ok {
					p.Closed(now, id)
					delete(conns, id)
				}
			case 9:
				p.Hint(name, rapid.Bool().Draw(t, "cold"), rapid.IntRange(0, 5).Draw(t, "expected"))
				evicted, preconnects := p.Tick(now)
				removeEvicted(evicted)
				for _, id := range preconnects {
					owner[id], _ = p.EndpointOf(id)
					conns[id] = opening
				}
			}
			if p.Len() != len(conns) || len(conns) > cfg.MaxConns {
				t.Fatalf("the pool has %d connections, the test %d, and %d are allowed", p.Len(), len(conns), cfg.MaxConns)
			}
			sum := Counters{}
			for _, s := range p.EndpointStates() {
				if s.Opening+s.Busy+s.Idle == 0 && !listed[s.Endpoint] {
					t.Fatalf("endpoint %s is kept although it is neither listed nor has connections", s.Endpoint)
				}
				sum.Opened += int64(s.Opening + s.Busy + s.Idle)
				if s.IdleLimit < 0 || s.IdleLimit > cfg.MaxIdle || s.Target < 0 {
					t.Fatalf("state out of range: %+v", s)
				}
			}
			if sum.Opened != int64(len(conns)) {
				t.Fatalf("the endpoints have %d connections, the test has %d", sum.Opened, len(conns))
			}
		}
	})
}

// New must reject each configuration with an invalid field.
func TestInvalidConfigurations(t *testing.T) {
	for i, change := range []func(*Config){func(c *Config) { c.MaxConns = 0 }, func(c *Config) { c.MaxIdle = 0 }, func(c *Config) { c.PeakHalfLife = 0 },
		func(c *Config) { c.LossPrice = 0 }, func(c *Config) { c.MaxStaleShare = 1 }, func(c *Config) { c.MaxBackoff = 0 }} {
		c := testConfig()
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("configuration %d was accepted", i)
		}
	}
}

// The isotonic regression must never fall from one idle time to a longer one, and the limit must lie where losses begin.
func TestReuseHistory(t *testing.T) {
	var r reuseHistory
	for range 100 {
		for d := 10 * ms; d < 20*time.Second; d *= 2 {
			r.add(d, d > 5*time.Second)
		}
	}
	if l := r.idleLimit(0.02, 0.02); l < 2500*ms || l > 8*time.Second {
		t.Errorf("limit %v, but losses begin beyond 5 s", l)
	}
	proptest.Check(t, func(t *rapid.T) {
		var r reuseHistory
		for range rapid.IntRange(0, 200).Draw(t, "uses") {
			r.add(time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "idle")), rapid.Bool().Draw(t, "lost"))
		}
		share := r.deadShares()
		for b := 1; b < bucketCount; b++ {
			if share[b] < share[b-1]-1e-12 || share[b] > 1 || share[b] < 0 {
				t.Fatalf("shares of dead connections fall or are out of range: %v", share)
			}
		}
		if r.idleLimit(0.01, 1) > r.idleLimit(0.1, 1) {
			t.Fatal("a smaller accepted share of dead connections allows a longer idle time")
		}
	})
}

// The Kaplan-Meier estimate counts censored idle times as survived until then, and not as closings.
func TestCloseHistory(t *testing.T) {
	var s closeHistory
	if _, ok := s.survivedIdle(0.98); ok {
		t.Error("a limit without any observation")
	}
	for range 100 {
		s.add(100*ms, false)
	}
	for range 10 {
		s.add(3*time.Second, true)
	}
	if d, ok := s.survivedIdle(0.98); !ok || d > 3*time.Second || d < 2*time.Second {
		t.Errorf("survived idle time %v, %v", d, ok)
	}
}
