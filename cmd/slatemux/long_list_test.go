package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"slatemux/internal/lab/resp"
)

// largePool simulates a pool of many members at one address, and a discovery agent that lists them. The first two hundred members share
// one destination, and each other member has a destination of its own.
type largePool struct {
	mu           sync.Mutex
	lastCall     map[string]time.Time // arrival of the latest call to each member
	inFlight     int                  // current number of calls
	maxInFlight  int                  // maximum number of concurrent calls
	dial         string
	size         int
	oddLeaving   bool      // members with odd numbers leave
	changeSentAt time.Time // when the last byte of the change was written
}

// hostList returns the full list, or the change in which half of the members leave.
func (p *largePool) hostList(full, leaving, indent bool) []byte {
	seq := 1
	var hosts []map[string]any
	for i := range p.size {
		h := map[string]any{"host": fmt.Sprint("m", i), "dial": p.dial, "site": "here", "class": "partner", "block": max(i-200, 0), "health": "active", "share": 9000, "born_ms": 0}
		if leaving && i%2 == 1 {
			h["health"] = "leaving"
		}
		if full || i%2 == 1 {
			hosts = append(hosts, h)
		}
	}
	if leaving {
		seq = 2
	}
	list := map[string]any{"seq": seq, "whole": full, "hosts": hosts}
	raw, _ := json.Marshal(list) // never fails
	if indent {
		raw, _ = json.MarshalIndent(list, "", "    ")
	}
	return raw
}

// newLargePool starts a pool and its agent, and returns the pool and the configuration of a relay that uses it. The agent writes its
// answers in chunks of chunkBytes; 0 means at once.
func newLargePool(t *testing.T, size int, indent bool, chunkBytes int) (*largePool, string) {
	c := &largePool{size: size, lastCall: map[string]time.Time{}}
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		now := time.Now()
		c.mu.Lock()
		c.lastCall[req.Host] = now
		c.inFlight++
		c.maxInFlight = max(c.maxInFlight, c.inFlight)
		c.mu.Unlock()
		time.Sleep(60 * time.Millisecond)
		c.mu.Lock()
		c.inFlight--
		c.mu.Unlock()
		w.Header().Set("X-Backend-Load", "x0=0.9,x1=10000")
	}))
	t.Cleanup(member.Close)
	c.dial = member.Listener.Addr().String()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(nc, indent, chunkBytes)
		}
	}()
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return c, strings.NewReplacer("127.0.0.1:6379", "127.0.0.1:0", `"127.0.0.1:8600"`, `""`, "127.0.0.1:8500", ln.Addr().String(),
		`{"seq": 0, "whole": true, "hosts": []}`, string(c.hostList(true, false, indent)), `"peers-total": 1,`, `"peers-total": 350,`,
		`"max-calls": 16`, `"max-calls": 400`, `"max-open": 200`, `"max-open": 5000`, `"sockets": 1024`, `"sockets": 4096`).Replace(string(raw))
}

// serve answers the requests on one connection to the agent.
func (p *largePool) serve(nc net.Conn, indent bool, chunkBytes int) {
	defer nc.Close()
	for rd := bufio.NewReader(nc); ; {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if req.Method == "POST" {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprint(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			continue
		}
		from := req.URL.Query().Get("from")
		p.mu.Lock()
		leaving, size := p.oddLeaving, p.size
		p.mu.Unlock()
		var body []byte
		sendChange := leaving && from == "1"
		switch {
		case from == "" || from == "0":
			body = p.hostList(true, leaving, indent)
		case sendChange:
			body = p.hostList(false, true, indent)
		default:
			time.Sleep(10 * time.Millisecond)
			body = fmt.Appendf(nil, `{"seq":%s,"whole":false,"hosts":[]}`, from)
		}
		answer := append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
		for part := range chunks(answer, chunkBytes) {
			if _, err := nc.Write(part); err != nil {
				return
			}
		}
		if sendChange && size > 0 {
			p.mu.Lock()
			p.changeSentAt = time.Now()
			p.mu.Unlock()
		}
	}
}

// chunks iterates over the text in chunks of chunkBytes; 0 means one chunk.
func chunks(text []byte, chunkBytes int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		if chunkBytes == 0 {
			chunkBytes = len(text)
		}
		for len(text) > 0 && yield(text[:min(chunkBytes, len(text))]) {
			text = text[min(chunkBytes, len(text)):]
		}
	}
}

// One list change makes half of a long list leave while hundreds of flows are under way. No flow to a leaving member may start more than
// a second after the last byte of the change. The change is sent compact or indented, and at once or in small chunks.
func TestLongListLeaves(t *testing.T) {
	for _, size := range []int{1024, 2000, 5000} {
		for form, sent := range map[string]struct {
			indent     bool
			chunkBytes int
		}{"compact": {}, "indented": {indent: true}, "in pieces": {indent: true, chunkBytes: 64}} {
			t.Run(fmt.Sprint(size, " ", form), func(t *testing.T) {
				c, config := newLargePool(t, size, sent.indent, sent.chunkBytes)
				started := time.Now()
				addr, _, end := startRelay(t, writeTestConfig(t, config))
				defer end()
				if took := time.Since(started); took > time.Second {
					t.Errorf("the relay is ready only after %v", took)
				}
				stop := make(chan struct{})
				var clients sync.WaitGroup
				for n := range 40 {
					clients.Go(func() { submitUntilStopped(t, addr, n, size, stop) })
				}
				time.Sleep(300 * time.Millisecond)
				c.mu.Lock()
				c.oddLeaving = true
				c.mu.Unlock()
				time.Sleep(600 * time.Millisecond)
				close(stop)
				clients.Wait()
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.changeSentAt.IsZero() {
					t.Fatal("the relay did not request the change")
				}
				var latestCall time.Duration
				calls := 0
				for host, at := range c.lastCall {
					if calls++; host != "m0" && (host[len(host)-1]-'0')%2 == 1 {
						latestCall = max(latestCall, at.Sub(c.changeSentAt))
					}
				}
				t.Logf("%d members called, at most %d concurrent flows; from the last byte of the change to the last flow to a leaving member: %v", calls, c.maxInFlight, latestCall)
				if c.maxInFlight < 100 {
					t.Errorf("at most %d concurrent flows: too few for this test", c.maxInFlight)
				}
				if latestCall > time.Second {
					t.Errorf("a flow to a leaving member starts %v after the change", latestCall)
				}
			})
		}
	}
}

// submitUntilStopped submits messages on one connection until stop is closed.
func submitUntilStopped(t *testing.T, addr string, client, size int, stop chan struct{}) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer nc.Close()
	rd := bufio.NewReader(nc)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%x%08x", client+16, n)
		dest := (n*7919 + client*101) % max(size-200, 1)
		if n%2 == 0 {
			dest = 0 // the destination of many members, of which half leave
		}
		fields := fmt.Sprintf("c=order-payment,t=acme,d=28000,k=%s,dest=%d", id, dest)
		if _, err := nc.Write(resp.AppendCommand(nil, "MSG.PUT", "0", id, fields, "body")); err != nil {
			t.Error(err)
			return
		}
		if _, err := rd.ReadString('\n'); err != nil {
			t.Error(err)
			return
		}
	}
}
