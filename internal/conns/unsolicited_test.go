package conns

import (
	"testing"
	"time"
)

// restingConfig returns a configuration in which connections rest between two calls.
func restingConfig() Config {
	c := testConfig()
	c.MinRest, c.SingleCallPeriod = 250*ms, 10*time.Minute
	return c
}

// callOnce makes a call that is answered after 20 ms, and returns the verdict and the connection.
func callOnce(t *testing.T, p *Pool, now time.Duration, name string) (Verdict, ID) {
	t.Helper()
	v, id, _ := p.Call(now, name)
	switch v {
	case Open:
		p.Opened(now, id, true)
	case Wait:
		t.Fatal("the call has to wait")
	}
	p.CallEnded(now+20*ms, id, Answered, 20*ms)
	return v, id
}

func TestConnectionRestsBetweenCalls(t *testing.T) {
	p := newPool(t, restingConfig(), "e")
	_, first := callOnce(t, p, time.Second, "e")
	ended := time.Second + 20*ms
	if p.Claim(ended, first) {
		t.Error("a waiting call got a connection that has not rested")
	}
	if v, _ := callOnce(t, p, ended+249*ms, "e"); v != Open {
		t.Errorf("before the end of the rest: %v", v)
	}
	if v, id := callOnce(t, p, ended+250*ms, "e"); v != Use || id != first {
		t.Errorf("after the rest: %v of connection %d, want %d", v, id, first)
	}
}

// A connection that has carried no call has nothing to rest from.
func TestPreconnectedConnectionNeedsNoRest(t *testing.T) {
	cfg := restingConfig()
	cfg.Preconnect = true
	p := newPool(t, cfg, "e")
	p.Hint("e", false, 1)
	_, ids := p.Tick(time.Second)
	if len(ids) != 1 {
		t.Fatalf("%d connections opened in advance", len(ids))
	}
	p.Opened(time.Second, ids[0], false)
	if v, id := callOnce(t, p, time.Second, "e"); v != Use || id != ids[0] {
		t.Errorf("%v of connection %d, want %d", v, id, ids[0])
	}
}

// A call does not wait for the end of a rest: where no more connections may be opened, it replaces one that rests.
func TestCallReplacesRestingConnection(t *testing.T) {
	cfg := restingConfig()
	cfg.MaxConns = 1
	p := newPool(t, cfg, "e")
	_, first := callOnce(t, p, time.Second, "e")
	v, id, evicted := p.Call(time.Second+30*ms, "e")
	if v != Open || len(evicted) != 1 || evicted[0] != (Eviction{first, ReasonResting}) {
		t.Errorf("at the limit of the pool: %v, evicted %v", v, evicted)
	}
	p.Opened(time.Second+30*ms, id, true)
	if v, _, _ := p.Call(time.Second+30*ms, "e"); v != Wait {
		t.Errorf("with a call on the only connection: %v", v)
	}

	p = newPool(t, restingConfig(), "e")
	now := time.Second
	ids := startCalls(t, p, now, "e", 4)
	for range refusalsForConnLimit {
		_, fifth, _ := p.Call(now, "e")
		p.OpeningFailed(now, fifth, true)
	}
	finishCalls(t, p, now, ids[:1])
	if v, _, evicted := p.Call(now, "e"); v != Open || len(evicted) != 1 || evicted[0] != (Eviction{ids[0], ReasonResting}) {
		t.Errorf("at the limit of the server: %v, evicted %v", v, evicted)
	}
}

// After unsolicited bytes, connections to the endpoint carry one call each; after such bytes of two endpoints, all connections.
func TestUnsolicitedBytesEndReuse(t *testing.T) {
	cfg := restingConfig()
	p := newPool(t, cfg, "a", "b", "c")
	now := time.Second
	ids := map[string]ID{}
	call := func(name string) Verdict {
		v, id := callOnce(t, p, now, name)
		ids[name] = id
		now += time.Second
		return v
	}
	wantReuse := func(when, name string, want bool) {
		t.Helper()
		call(name)
		if v := call(name); (v == Use) != want {
			t.Errorf("%s: reuse of a connection to %s is %v", when, name, !want)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		wantReuse("at first", name, true)
	}
	p.Unsolicited(now, ids["a"])
	wantReuse("after bytes of a", "a", false)
	wantReuse("after bytes of a", "b", true)
	if p.EndpointStates()[0].Evicted[ReasonUnsolicited] == 0 {
		t.Error("no eviction for unsolicited bytes")
	}
	p.Unsolicited(now, ids["b"])
	for _, name := range []string{"a", "b", "c"} {
		wantReuse("after bytes of a and b", name, false)
	}
	now += cfg.SingleCallPeriod
	for _, name := range []string{"a", "b", "c"} {
		wantReuse("after the period", name, true)
	}
}
