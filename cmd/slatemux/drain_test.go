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

// drainingPool is a relay of a large fleet between two members of a destination, of which the first leaves, and an agent of discovery
// that may be silent. It counts as told what the agent has, from when the agent has it, or from the process's first moment.
type drainingPool struct {
	mu           sync.Mutex
	silent       bool
	leavingSince time.Time    // when it counts as told that the first member leaves; zero while it stays
	lateCalls    []string     // calls there whose first byte came after the grace
	calls        [2]int       // to each
	lastCall     [2]time.Time // when the newest came
	config       string
	answerDelay  time.Duration // what a member takes
}

const drainGrace = 500 * time.Millisecond

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
			case <-time.After(min(hold, 50*time.Millisecond)): // short, so that a test may change things
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

// locked changes things under the lock.
func (d *drainingPool) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// submitFor hands messages in for so long, and says how many were taken on.
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

// checkDrained says what the rule on drains says, and that the other member was used.
func (d *drainingPool) checkDrained(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lateCalls) > 0 || d.calls[1] == 0 {
		t.Errorf("%d calls to the member that leaves after %v, first %v; %d to the other", len(d.lateCalls), drainGrace, d.lateCalls, d.calls[1])
	}
}

// A drain that the agent has heard of while the process was down, with messages in the journal that were out to that member:
// after the grace, nothing goes there, in a fleet of any size. The same where the successor of a hand-over starts.
func TestDrainBeforeStart(t *testing.T) {
	t.Parallel()
	d := newDrainingPool(t)
	env := writeTestConfig(t, d.config)
	d.locked(func() { d.answerDelay = time.Second })
	addr, _, end := startRelay(t, env)
	if d.submitFor(t, addr, 300*time.Millisecond) == 0 {
		t.Fatal("nothing is taken on")
	}
	end() // at once, with calls out: as by SIGKILL, they are in the journal
	d.locked(func() { d.leavingSince, d.answerDelay = time.Now(), 0 })
	addr, _, end = startRelay(t, env)
	d.submitFor(t, addr, 3*drainGrace)
	d.checkDrained(t)
	d.locked(func() { d.calls = [2]int{} })
	next, _, endNext := startRelay(t, env) // beside it
	d.submitFor(t, next, 2*drainGrace)
	d.checkDrained(t)
	end()
	endNext()
}

// An agent that is silent at the start may have had a drain before: the known list is used for a part of the grace, and then
// not, until the agent answers. Messages are taken on all the while, and go when it is back.
func TestSilentDiscoveryAtStart(t *testing.T) {
	t.Parallel()
	d := newDrainingPool(t)
	d.locked(func() { d.silent, d.leavingSince = true, time.Now() })
	addr, _, end := startRelay(t, writeTestConfig(t, d.config))
	defer end()
	began := time.Now()
	if d.submitFor(t, addr, 3*drainGrace) == 0 {
		t.Error("nothing is taken on")
	}
	d.locked(func() {
		if d.calls == [2]int{} {
			t.Error("within the grace, the known list is not used")
		}
		for i, at := range d.lastCall {
			if at.Sub(began) > drainGrace+50*time.Millisecond {
				t.Errorf("a call to m%d goes out %v after the start", i, at.Sub(began))
			}
		}
		d.calls, d.silent = [2]int{}, false
	})
	d.submitFor(t, addr, 2*drainGrace)
	d.checkDrained(t)
}

// A drain that only the new place of discovery knows counts 4 s after SIGHUP; it is heard of at once.
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

func discoveryAddr(t *testing.T, config string) string {
	_, rest, ok := strings.Cut(config, `"discovery": "`)
	addr, _, closed := strings.Cut(rest, `"`)
	if !ok || !closed {
		t.Fatal("no discovery in the configuration")
	}
	return addr
}

// An agent that falls silent under a watch, and has a drain when it is back: that counts from then on.
func TestDrainAfterSilentDiscovery(t *testing.T) {
	t.Parallel()
	d := newDrainingPool(t)
	addr, _, end := startRelay(t, writeTestConfig(t, d.config))
	defer end()
	d.submitFor(t, addr, 100*time.Millisecond)
	d.locked(func() { d.silent = true })
	if d.submitFor(t, addr, 4*time.Second) == 0 { // longer than a watch waits
		t.Error("nothing is taken on")
	}
	d.locked(func() {
		if time.Since(d.lastCall[0]) > time.Second && time.Since(d.lastCall[1]) > time.Second {
			t.Error("a relay that had its list confirmed stops when discovery falls silent")
		}
		d.silent, d.leavingSince, d.calls = false, time.Now(), [2]int{}
	})
	d.submitFor(t, addr, 3*drainGrace)
	d.checkDrained(t)
}
