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

// drain is a relay of a large fleet between two members of a destination, of which the first leaves, and an agent of discovery
// that may be silent. It counts as told what the agent has, from when the agent has it, or from the process's first moment.
type drain struct {
	mu      sync.Mutex
	silent  bool
	leaving time.Time    // when it counts as told that the first member leaves; zero while it stays
	late    []string     // calls there whose first byte came after the grace
	calls   [2]int       // to each
	last    [2]time.Time // when the newest came
	config  string
	answer  time.Duration // what a member takes
}

const drainGrace = 500 * time.Millisecond

func newDrain(t *testing.T) *drain {
	d := &drain{}
	var lines []string
	for i := range 2 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			now := time.Now()
			d.mu.Lock()
			d.calls[i]++
			d.last[i] = now
			if i == 0 && !d.leaving.IsZero() && now.Sub(d.leaving) > drainGrace+50*time.Millisecond {
				d.late = append(d.late, fmt.Sprint(req.Header.Get("X-Correlation-Id"), " after ", now.Sub(d.leaving)))
			}
			takes := d.answer
			d.mu.Unlock()
			time.Sleep(takes)
			w.Header().Set("X-Backend-Load", "x0=0.9,x1=10000")
		}))
		t.Cleanup(s.Close)
		lines = append(lines, fmt.Sprintf(`{"host":"m%d","dial":"%s","site":"here","class":"partner","block":7,"health":"active","share":9000}`, i,
			s.Listener.Addr()))
	}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == "POST" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		hold, _ := time.ParseDuration(req.URL.Query().Get("hold_ms") + "ms")
		d.mu.Lock()
		silent, leaves, has := d.silent, !d.leaving.IsZero(), req.URL.Query().Get("from") == "2"
		d.mu.Unlock()
		switch whole := req.URL.Query().Get("from") == ""; {
		case silent:
			<-req.Context().Done()
		case leaves && !has:
			fmt.Fprintf(w, `{"seq":2,"whole":%v,"hosts":[%s,%s]}`, whole, strings.Replace(lines[0], "active", "leaving", 1), lines[1])
		case whole:
			fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(lines, ","))
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
		`"hosts": []`, `"hosts":[`+strings.Join(lines, ",")+`]`, `"seq": 0`, `"seq": 1`, `"peers-total": 1,`, `"peers-total": 350,`,
		`"drain-grace-ms": 2000`, fmt.Sprintf(`"drain-grace-ms": %d`, drainGrace.Milliseconds())).Replace(string(raw))
	return d
}

// set changes things under the lock.
func (d *drain) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// load hands messages in for so long, and says how many were taken on.
func (d *drain) load(t *testing.T, addr string, during time.Duration) (taken int) {
	for n, until := 0, time.Now().Add(during); time.Now().Before(until); n++ {
		id := fmt.Sprintf("%x", time.Now().UnixNano())
		if ask(t, addr, "MSG.PUT", "0", id, "c=order-payment,t=acme,d=28000,k="+id+",dest=7", "body") == "+OK" {
			taken++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return taken
}

// check says what the rule on drains says, and that the other member was used.
func (d *drain) check(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.late) > 0 || d.calls[1] == 0 {
		t.Errorf("%d calls to the member that leaves after %v, first %v; %d to the other", len(d.late), drainGrace, d.late, d.calls[1])
	}
}

// A drain that the agent has heard of while the process was down, with messages in the journal that were out to that member:
// after the grace, nothing goes there, in a fleet of any size. The same where the successor of a hand-over starts.
func TestDrainBeforeTheStart(t *testing.T) {
	t.Parallel()
	d := newDrain(t)
	env := env(t, d.config)
	d.set(func() { d.answer = time.Second })
	addr, _, end := boot(t, env)
	if d.load(t, addr, 300*time.Millisecond) == 0 {
		t.Fatal("nothing is taken on")
	}
	end() // at once, with calls out: as by SIGKILL, they are in the journal
	d.set(func() { d.leaving, d.answer = time.Now(), 0 })
	addr, _, end = boot(t, env)
	d.load(t, addr, 3*drainGrace)
	d.check(t)
	d.set(func() { d.calls = [2]int{} })
	next, _, endNext := boot(t, env) // beside it
	d.load(t, next, 2*drainGrace)
	d.check(t)
	end()
	endNext()
}

// An agent that is silent at the start may have had a drain before: the known list is used for a part of the grace, and then
// not, until the agent answers. Messages are taken on all the while, and go when it is back.
func TestSilentAgentAtTheStart(t *testing.T) {
	t.Parallel()
	d := newDrain(t)
	d.set(func() { d.silent, d.leaving = true, time.Now() })
	addr, _, end := boot(t, env(t, d.config))
	defer end()
	began := time.Now()
	if d.load(t, addr, 3*drainGrace) == 0 {
		t.Error("nothing is taken on")
	}
	d.set(func() {
		if d.calls == [2]int{} {
			t.Error("within the grace, the known list is not used")
		}
		for i, at := range d.last {
			if at.Sub(began) > drainGrace+50*time.Millisecond {
				t.Errorf("a call to m%d goes out %v after the start", i, at.Sub(began))
			}
		}
		d.calls, d.silent = [2]int{}, false
	})
	d.load(t, addr, 2*drainGrace)
	d.check(t)
}

// A drain that only the new place of discovery knows counts 4 s after SIGHUP; it is heard of at once.
func TestDrainAtAMove(t *testing.T) {
	t.Parallel()
	from, to := newDrain(t), newDrain(t)
	env := env(t, from.config)
	addr, reload, end := boot(t, env)
	defer end()
	from.load(t, addr, 100*time.Millisecond)
	from.set(func() { from.leaving = time.Now() })
	to.set(func() { to.leaving = time.Now() })
	write := strings.Replace(from.config, discoveryOf(t, from.config), discoveryOf(t, to.config), 1)
	if err := os.WriteFile(env["NODE_CONFIG"], []byte(write), 0o600); err != nil {
		t.Fatal(err)
	}
	reload()
	from.load(t, addr, 2*drainGrace)
	from.set(func() {
		if len(from.late) > 0 {
			t.Errorf("late calls: %v", from.late)
		}
	})
}

func discoveryOf(t *testing.T, config string) string {
	_, rest, ok := strings.Cut(config, `"discovery": "`)
	addr, _, closed := strings.Cut(rest, `"`)
	if !ok || !closed {
		t.Fatal("no discovery in the configuration")
	}
	return addr
}

// An agent that falls silent under a watch, and has a drain when it is back: that counts from then on.
func TestDrainAfterSilence(t *testing.T) {
	t.Parallel()
	d := newDrain(t)
	addr, _, end := boot(t, env(t, d.config))
	defer end()
	d.load(t, addr, 100*time.Millisecond)
	d.set(func() { d.silent = true })
	if d.load(t, addr, 4*time.Second) == 0 { // longer than a watch waits
		t.Error("nothing is taken on")
	}
	d.set(func() {
		if time.Since(d.last[0]) > time.Second && time.Since(d.last[1]) > time.Second {
			t.Error("a relay that had its list confirmed stops when discovery falls silent")
		}
		d.silent, d.leaving, d.calls = false, time.Now(), [2]int{}
	})
	d.load(t, addr, 3*drainGrace)
	d.check(t)
}
