package pool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slatemux/internal/discoveryaddr"
	"slatemux/internal/traffic"
)

// scripted is a discovery that answers call after call as a test says.
func scripted(t *testing.T, answers func(n int, req *http.Request) string) string {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req = req.WithContext(context.WithValue(req.Context(), writerKey{}, w))
		switch text := answers(int(calls.Add(1)), req); {
		case text == silent:
			<-req.Context().Done()
		case text == broken:
			panic(http.ErrAbortHandler)
		case strings.HasPrefix(text, torn): // less than it promises
			w.Header().Set("Content-Length", "5000")
			fmt.Fprint(w, strings.TrimPrefix(text, torn))
		case text == busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			fmt.Fprint(w, text)
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// writerKey finds, in a request's context, where its answer is written.
type writerKey struct{}

const silent, broken, torn, busy = "silent", "broken", "torn ", "busy"

// heard is what a listener was told, and when.
type heard struct {
	news    chan traffic.PoolNews
	doubted chan time.Time
}

func (h heard) PoolChanged(n traffic.PoolNews) {
	select {
	case h.news <- n:
	default:
	}
}

func (h heard) PoolDoubted() { h.doubted <- time.Now() }

// watch follows the list at a place, from a known list at version 41 where b is active, until the test ends.
func watch(t *testing.T, at *discoveryaddr.Place, terms Terms) (*Watcher, heard) {
	known, err := Parse([]byte(answer(41, true, line("a", "active"), line("b", "active"))))
	if err != nil {
		t.Fatal(err)
	}
	h := heard{make(chan traffic.PoolNews, 100), make(chan time.Time, 1)}
	w := NewWatcher(at, NewPace(terms, 1), known, time.Now(), h)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(over)
	}()
	t.Cleanup(func() {
		cancel()
		<-over
	})
	return w, h
}

// leaves waits until the listener hears that b leaves, and says how long that took.
func (h heard) leaves(t *testing.T) time.Duration {
	t.Helper()
	from := time.Now()
	for {
		select {
		case n := <-h.news:
			for _, m := range n.Members {
				if m.Host == "b" && m.Health == traffic.Leaving {
					return time.Since(from)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the drain is never heard of")
		}
	}
}

// held answers a watch that has all there is when its time is up.
func held(req *http.Request, text string) string {
	if hold, _ := time.ParseDuration(req.URL.Query().Get("hold_ms") + "ms"); hold > 10*time.Millisecond {
		select {
		case <-req.Context().Done():
		case <-time.After(hold):
		}
	}
	return text
}

var drained = answer(42, false, line("b", "leaving"))

// What an agent has when a process starts, when discovery moves, and after each way in which a call may fail, is heard of
// well within the grace, in a fleet of any size.
func TestDrainIsHeardInTime(t *testing.T) {
	const grace = 500 * time.Millisecond
	for what, first := range map[string][]string{"at a start": nil, "a reset": {broken}, "five resets": {broken, broken, broken, broken, broken},
		"refused": {busy, busy}, "torn": {torn + drained[:30]}, "malformed": {drained[:30]}, "no list": {"{}"}, "late": {answer(7, false, line("b", "active"))},
		"too late twice": {answer(7, true, line("b", "active")), answer(40, false)}, "silent": {silent}} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			at := scripted(t, func(n int, req *http.Request) string {
				if n <= len(first) {
					return first[n-1]
				} else if req.URL.Query().Get("from") == "" {
					return answer(42, true, line("a", "active"), line("b", "leaving"))
				}
				return held(req, drained)
			})
			_, h := watch(t, discoveryaddr.New(at), pushed(350, grace))
			if took := h.leaves(t); took > grace {
				t.Errorf("the drain is heard of after %v", took)
			}
		})
	}
}

// A discovery that moves: what the new place has counts soon, in a fleet of any size.
func TestMoveIsHeardInTime(t *testing.T) {
	from := scripted(t, func(_ int, req *http.Request) string { return held(req, answer(41, false)) })
	to := scripted(t, func(_ int, req *http.Request) string {
		return held(req, answer(3, true, line("a", "active"), line("b", "leaving")))
	})
	at := discoveryaddr.New(from)
	_, h := watch(t, at, pushed(350, 500*time.Millisecond))
	<-h.news // the first answer
	at.Move(to)
	if took := h.leaves(t); took > 300*time.Millisecond {
		t.Errorf("the drain is heard of after %v", took)
	}
}

// A watch that falls silent: what it misses counts as told 2 s after its wait, and is heard of before.
func TestSilentWatchIsMadeAnew(t *testing.T) {
	t.Parallel()
	for what, terms := range map[string]Terms{"pushed": pushed(350, 500*time.Millisecond), "asked": asked(350)} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			var hold time.Duration
			began := make(chan time.Time, 1)
			silenced := false
			at := scripted(t, func(_ int, req *http.Request) string {
				wait, _ := time.ParseDuration(req.URL.Query().Get("hold_ms") + "ms")
				if wait <= 10*time.Millisecond {
					if silenced {
						return drained
					}
					return answer(41, false)
				} else if !silenced {
					silenced, hold = true, wait
					began <- time.Now()
					return silent
				}
				return drained
			})
			_, h := watch(t, discoveryaddr.New(at), terms)
			from := <-began
			h.leaves(t)
			if took := time.Since(from); took > hold+2*time.Second {
				t.Errorf("the drain is heard of %v after the watch began, which was to wait %v", took, hold)
			}
		})
	}
}

// An agent that is silent when a process starts: the known list may be used for a part of the grace and then no longer, until
// the agent answers, which is heard of in time.
func TestUnconfirmedListIsDoubted(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	back := time.Now().Add(grace + grace/4)
	at := scripted(t, func(_ int, req *http.Request) string {
		if time.Now().Before(back) {
			return silent
		}
		return held(req, drained)
	})
	began := time.Now()
	_, h := watch(t, discoveryaddr.New(at), pushed(350, grace))
	if after := (<-h.doubted).Sub(began); after < grace/2 || after > grace*9/10 {
		t.Errorf("the known list is doubted after %v", after)
	}
	h.leaves(t)
	if late := time.Since(back); late > grace {
		t.Errorf("the drain is heard of %v after the agent is back", late)
	}
	// One that answers is not doubted, also where it has nothing new to tell: its answer says so.
	at = scripted(t, func(_ int, req *http.Request) string { return held(req, answer(41, false)) })
	_, h = watch(t, discoveryaddr.New(at), pushed(350, 100*time.Millisecond))
	if n := <-h.news; n.Whole || len(n.Members) != 0 {
		t.Errorf("%+v", n)
	}
	select {
	case <-h.doubted:
		t.Error("a list that was confirmed is doubted")
	case <-time.After(200 * time.Millisecond):
	}
}

// The watch goes on from the newest version, and anew from there after its connection broke.
func TestWatch(t *testing.T) {
	asks := make(chan string, 100)
	at := scripted(t, func(n int, req *http.Request) string {
		asks <- req.URL.Query().Get("from")
		if n%2 == 0 {
			return broken
		}
		return answer(41+n, false, line(fmt.Sprint("h", 41+n), "active"))
	})
	_, h := watch(t, discoveryaddr.New(at), asked(1))
	for _, seq := range []string{"41", "42", "42", "44"} {
		if got := <-asks; got != seq {
			t.Errorf("asked from %s, want %s", got, seq)
		}
	}
	if n := <-h.news; n.Whole || len(n.Members) != 1 || n.Members[0].Host != "h42" {
		t.Errorf("%+v", n)
	}
}

// A discovery that does not hold a watch, or has nothing but the whole list again, makes no storm of calls. Nor does one that
// cannot be made sense of, or that hangs in the middle of its answer.
func TestNoStorm(t *testing.T) {
	for what, text := range map[string]string{"nothing, at once": answer(41, false), "the whole again": answer(41, true, line("a", "active")),
		"an entry that makes no sense": answer(41, true, line("a", "odd")), "nonsense": "{}", "busy": busy} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			at := scripted(t, func(int, *http.Request) string { return text })
			w, _ := watch(t, discoveryaddr.New(at), pushed(1, 5*time.Second))
			time.Sleep(time.Second) // what is counted is what is not done in it
			if n := w.Counters().Asked; n < 2 || n > 20 {
				t.Errorf("%d calls in a second", n)
			}
		})
	}
}

// A list that comes in pieces counts when it is whole, and one that never ends is given up.
func TestSlowList(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for n := 0; ; n++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				_, _ = nc.Read(make([]byte, 1<<10))
				if n == 0 { // without end
					fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					for err == nil {
						_, err = fmt.Fprint(nc, "1\r\n \r\n")
						time.Sleep(time.Millisecond)
					}
					return
				}
				for _, b := range []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(drained), drained)) {
					_, _ = nc.Write([]byte{b})
				}
			}()
		}
	}()
	_, h := watch(t, discoveryaddr.New(ln.Addr().String()), pushed(1, 2*time.Second))
	if took := h.leaves(t); took > 2*time.Second {
		t.Errorf("heard of after %v", took)
	}
}

// Where discovery is asked, a change that it has when a call begins is heard within toldWithin whatever becomes of that call and
// of the watch behind it, also in a large fleet and after many failures.
func TestAskedDrainIsHeardInTime(t *testing.T) {
	t.Parallel()
	many := []string{busy, broken, busy, broken, busy, busy}
	for what, first := range map[string][]string{"a reset": {broken}, "refused": {busy}, "torn": {torn + drained[:30]}, "malformed": {drained[:30]},
		"silent": {silent}, "stalls": {torn}, "many": many, "the watch is silent": {answer(41, false), silent},
		"the watch stalls": {answer(41, false), torn + drained[:30]}, "the watch is refused": {answer(41, false), busy}} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			had := make(chan time.Time, 1)
			at := scripted(t, func(n int, req *http.Request) string {
				if n == len(first) {
					had <- time.Now()
				}
				if n <= len(first) {
					if strings.HasPrefix(first[n-1], torn) { // it stalls: what was promised does not come
						stalls(t, req, first[n-1])
					}
					return first[n-1]
				}
				return drained
			})
			_, h := watch(t, discoveryaddr.New(at), asked(350))
			h.leaves(t)
			if took := time.Since(<-had); took > toldWithin {
				t.Errorf("heard %v after discovery had it", took)
			}
		})
	}
}

// stalls has an answer hang in its middle until its client gives up.
func stalls(t *testing.T, req *http.Request, text string) {
	w, ok := req.Context().Value(writerKey{}).(http.ResponseWriter)
	if !ok {
		t.Error("no writer")
		return
	}
	w.Header().Set("Content-Length", "5000")
	fmt.Fprint(w, strings.TrimPrefix(text, torn), " ")
	w.(http.Flusher).Flush()
	<-req.Context().Done()
}

// A discovery that can be reached and gives no list: it may have a change that counts by now, and the list that is known is used no
// longer. One that is not there, or says nothing at all, learns nothing, and the relay goes on.
func TestRefusedListIsDoubted(t *testing.T) {
	t.Parallel()
	for what, doubted := range map[string]bool{busy: true, broken: true, "gone": false, silent: false} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			var answering atomic.Bool
			answering.Store(true)
			at := scripted(t, func(_ int, req *http.Request) string {
				if answering.Load() {
					return answer(41, false)
				}
				return what
			})
			if what == "gone" { // nobody listens there
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				at = ln.Addr().String()
				ln.Close()
			}
			_, h := watch(t, discoveryaddr.New(at), asked(3))
			if what != "gone" {
				<-h.news
			}
			answering.Store(false)
			from := time.Now()
			select {
			case at := <-h.doubted:
				if took := at.Sub(from); !doubted || took < toldWithin-500*time.Millisecond {
					t.Errorf("doubted after %v", took)
				}
				answering.Store(true)
				<-h.news // an answer that has nothing new ends the doubt
			case <-time.After(toldWithin + time.Second):
				if doubted {
					t.Error("not doubted")
				}
			}
		})
	}
}
