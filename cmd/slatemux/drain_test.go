package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// drainingPool simulates two members of a destination and a discovery agent for a relay of a large fleet. The first member leaves, and the
// agent may be silent. A change counts as notified from when the agent has it, or from the start of the process.
type drainingPool struct {
	mu           sync.Mutex
	silent       bool
	leavingSince time.Time    // when the leave of the first member counts as notified; zero while it stays
	lateCalls    []string     // calls to the first member whose first byte came after the drain grace
	calls        [2]int       // received by each member
	lastCall     [2]time.Time // time of the latest call of each member
	config       string
	answerDelay  time.Duration // time that a member takes to answer
}

// drainGrace is how long a leaving member may still get new calls.
const drainGrace = 500 * time.Millisecond

// newDrainingPool starts the members and the agent, and makes the configuration of a relay that uses them.
func newDrainingPool(t *testing.T) *drainingPool {
	d := &drainingPool{}
	var hosts []string
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			now := time.Now()
			d.mu.Lock()
			d.calls[i]++
			d.lastCall[i] = now
			if i == 0 && !d.leavingSince.IsZero() && now.Sub(d.leavingSince) > drainGrace+50*time.Millisecond {
				d.lateCalls = append(d.lateCalls, fmt.Sprint(req.Header.Get("X-Correlation-Id"), " after ", now.Sub(d.leavingSince)))
			}
			delay := d.answerDelay
			d.mu.Unlock()
			time.Sleep(delay)
			w.Header().Set("X-Backend-Load", "x0=0.9,x1=10000")
		}))
		t.Cleanup(s.Close)
		hosts = append(hosts, fmt.Sprintf(`{"host":"m%d","dial":"%s","site":"here","class":"partner","block":7,"health":"active","share":9000}`, i,
			s.Listener.Addr()))
	}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == "POST" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		hold, _ := time.ParseDuration(req.URL.Query().Get("hold_ms") + "ms")
		d.mu.Lock()
		silent, leaving, hasChange := d.silent, !d.leavingSince.IsZero(), req.URL.Query().Get("from") == "2"
		d.mu.Unlock()
		switch full := req.URL.Query().Get("from") == ""; {
		case silent:
			<-req.Context().Done()
		case leaving && !hasChange:
			fmt.Fprintf(w, `{"seq":2,"whole":%v,"hosts":[%s,%s]}`, full, strings.Replace(hosts[0], "active", "leaving", 1), hosts[1])
		case full:
			fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
		default:
			select {
			case <-req.Context().Done():
			case <-time.After(min(hold, 50*time.Millisecond)): // short, so that changes by a test show soon
			}
			fmt.Fprintf(w, `{"seq":%s,"whole":false,"hosts":[]}`, req.URL.Query().Get("from"))
		}
	}))
	t.Cleanup(func() {
		agent.CloseClientConnections()
		agent.Close()
	})
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	d.config = strings.NewReplacer("127.0.0.1:6379", "127.0.0.1:0", `"127.0.0.1:8600"`, `""`, "127.0.0.1:8500", agent.Listener.Addr().String(),
		`"hosts": []`, `"hosts":[`+strings.Join(hosts, ",")+`]`, `"seq": 0`, `"seq": 1`, `"peers-total": 1,`, `"peers-total": 350,`,
		`"drain-grace-ms": 2000`, fmt.Sprintf(`"drain-grace-ms": %d`, drainGrace.Milliseconds())).Replace(string(raw))
	return d
}

// locked calls f with the lock held.
func (d *drainingPool) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// submitFor submits messages for the given time and returns how many were accepted.
func (d *drainingPool) submitFor(t *testing.T, addr string, during time.Duration) (accepted int) {
	for n, until := 0, time.Now().Add(during); time.Now().Before(until); n++ {
		id := fmt.Sprintf("%x", time.Now().UnixNano())
		if sendCommand(t, addr, "MSG.PUT", "0", id, "c=order-payment,t=acme,d=28000,k="+id+",dest=7", "body") == "+OK" {
			accepted++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return accepted
}

// checkDrained checks that the leaving member got no call after the drain grace, and that the other member got calls.
func (d *drainingPool) checkDrained(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lateCalls) > 0 || d.calls[1] == 0 {
		t.Errorf("%d calls to the leaving member after %v: %v; %d calls to the other member", len(d.lateCalls), drainGrace, d.lateCalls, d.calls[1])
	}
}

// A member starts to leave while the process is down, and the journal holds messages with calls in flight to that member. After the drain
// grace, the next process makes no calls to it, in a fleet of any size. The same holds for the successor process of a handover.
func TestDrainBeforeStart(t *testing.T) {
	t.Parallel()
	d := newDrainingPool(t)
	env := writeTestConfig(t, d.config)
	d.locked(func() { d.answerDelay = time.Second })
	addr, _, end := startRelay(t, env)
	if d.submitFor(t, addr, 300*time.Millisecond) == 0 {
		t.Fatal("no message was accepted")
	}
	end() // at once, with calls in flight; their messages stay in the journal, as after SIGKILL
	d.locked(func() { d.leavingSince, d.answerDelay = time.Now(), 0 })
	addr, _, end = startRelay(t, env)
	d.submitFor(t, addr, 3*drainGrace)
	d.checkDrained(t)
	d.locked(func() { d.calls = [2]int{} })
	next, _, endNext := startRelay(t, env) // runs beside the first process
	d.submitFor(t, next, 2*drainGrace)
	d.checkDrained(t)
	end()
	endNext()
}

// If the agent is silent at the start, it may already have a drain that the relay does not know. The relay uses the known list only for a
// part of the drain grace, and then makes no calls until the agent answers. It accepts messages throughout, and sends them when the agent
// answers again.
func TestSilentDiscoveryAtStart(t *testing.T) {
	t.Parallel()
	d := newDrainingPool(t)
	d.locked(func() { d.silent, d.leavingSince = true, time.Now() })
	addr, _, end := startRelay(t, writeTestConfig(t, d.config))
	defer end()
	began := time.Now()
	if d.submitFor(t, addr, 3*drainGrace) == 0 {
		t.Error("no message was accepted")
	}
	d.locked(func() {
		if d.calls == [2]int{} {
			t.Error("the known list is not used within the drain grace")
		}
		for i, at := range d.lastCall {
			if at.Sub(began) > drainGrace+50*time.Millisecond {
				t.Errorf("a call to m%d starts %v after the start of the relay", i, at.Sub(began))
			}
		}
		d.calls, d.silent = [2]int{}, false
	})
	d.submitFor(t, addr, 2*drainGrace)
	d.checkDrained(t)
}

// After SIGHUP moves discovery to a new address, a drain that only the new address has counts as notified after 4 s. The relay learns of it
// at once.
func TestDrainAtDiscoveryMove(t *testing.T) {
	t.Parallel()
	from, to := newDrainingPool(t), newDrainingPool(t)
	env := writeTestConfig(t, from.config)
	addr, reload, end := startRelay(t, env)
	defer end()
	from.submitFor(t, addr, 100*time.Millisecond)
	from.locked(func() { from.leavingSince = time.Now() })
	to.locked(func() { to.leavingSince = time.Now() })
	moved := strings.Replace(from.config, discoveryAddr(t, from.config), discoveryAddr(t, to.config), 1)
	if err := os.WriteFile(env["NODE_CONFIG"], []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	reload()
	from.submitFor(t, addr, 2*drainGrace)
	from.locked(func() {
		if len(from.lateCalls) > 0 {
			t.Errorf("late calls: %v", from.lateCalls)
		}
	})
}

// discoveryAddr returns the discovery address in a configuration.
func discoveryAddr(t *testing.T, config string) string {
	_, rest, ok := strings.Cut(config, `"discovery": "`)
	addr, _, closed := strings.Cut(rest, `"`)
	if !ok || !closed {
		t.Fatal("no discovery in the configuration")
	}
	return addr
}

// The agent becomes silent during a watch and has a drain when it answers again. The drain counts as notified from then on.
func TestDrainAfterSilentDiscovery(t *testing.T) {
	t.Parallel()
	d := newDrainingPool(t)
	addr, _, end := startRelay(t, writeTestConfig(t, d.config))
	defer end()
	d.submitFor(t, addr, 100*time.Millisecond)
	d.locked(func() { d.silent = true })
	if d.submitFor(t, addr, 4*time.Second) == 0 { // longer than the timeout of a watch
		t.Error("no message was accepted")
	}
	d.locked(func() {
		if time.Since(d.lastCall[0]) > time.Second && time.Since(d.lastCall[1]) > time.Second {
			t.Error("the relay stops making calls when discovery becomes silent, although its list was confirmed")
		}
		d.silent, d.leavingSince, d.calls = false, time.Now(), [2]int{}
	})
	d.submitFor(t, addr, 3*drainGrace)
	d.checkDrained(t)
}
