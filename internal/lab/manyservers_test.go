package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A list of 24 to 5,000 servers, each a destination of its own, in the smallest machine that settings have named (32 MB, 384
// descriptors): ready soon, and idle as with traffic to every one of them, memory and descriptors stay under the limits and each
// message that was taken on is delivered.
func TestManyServers(t *testing.T) {
	const memoryMB, sockets = 32, 384
	for _, size := range []int{24, 300, 1024, 5000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.Header().Set("X-Backend-Load", "x0=0.9,x1=10000")
			}))
			t.Cleanup(member.Close)
			var notices atomic.Int64
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.Method == "POST" {
					body, _ := io.ReadAll(req.Body)
					notices.Add(int64(strings.Count(string(body), "\n")))
					w.WriteHeader(http.StatusNoContent)
				} else if req.URL.Query().Get("hold_ms") != "1" {
					<-req.Context().Done()
				} else {
					fmt.Fprint(w, `{"seq":1,"whole":false,"hosts":[]}`)
				}
			}))
			t.Cleanup(func() {
				agent.CloseClientConnections()
				agent.Close()
			})
			var hosts []map[string]any
			for i := range size {
				hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%08x", i), "dial": member.Listener.Addr().String(), "site": "here",
					"class": "partner", "block": i, "health": "active", "share": 20.5, "born_ms": 0})
			}
			known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
			if err != nil {
				t.Fatal(err)
			}
			d := &Deployment{Place: Place{Classes: Usual(), Tenants: []Tenant{{Name: "acme", Share: 1}}, MemoryMB: memoryMB, DiskMB: 3, Sockets: sockets,
				MaxOpen: 1000, MaxCalls: 200, KeepAlive: 5 * time.Second, Seed: 3, Relays: 350}}
			seat := &Seat{Name: "many", Dir: t.TempDir(), Discovery: agent.Listener.Addr().String()}
			if err := d.Furnish(seat, known); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			p, err := seat.Relay(binary, nil, "")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Kill)
			ready := time.Since(began)
			idle := readUsage(t, p)
			taken := submitToAll(t, seat.Listen, size)
			for until := time.Now().Add(30 * time.Second); calls.Load()+notices.Load() < int64(taken) && time.Now().Before(until); {
				time.Sleep(20 * time.Millisecond)
			}
			busy := readUsage(t, p)
			t.Logf("%d servers: ready after %v; idle %v; with %d messages to all %v; %d delivered", size, ready.Round(time.Millisecond), idle, taken, busy, calls.Load())
			most := memoryMB << 20
			if size == 5000 { // all called within seconds: docs/sizes.md
				most = 40 << 20
			}
			if busy.peakBytes > most || idle.peakBytes > memoryMB<<20 || busy.descriptors > sockets {
				t.Errorf("over a limit: idle %v, busy %v", idle, busy)
			}
			if taken < size*9/10 || calls.Load()+notices.Load() < int64(taken) || calls.Load() < int64(taken)*9/10 {
				t.Errorf("of %d messages, %d are taken on, %d delivered and %d ended by a notice", size, taken, calls.Load(), notices.Load())
			}
			if err := p.Signal(syscall.SIGTERM); err != nil || p.Wait() != nil {
				t.Errorf("ended badly: %v\n%s", err, p.Log())
			}
		})
	}
}

// memoryUsage is what a process holds.
type memoryUsage struct{ rssBytes, peakBytes, descriptors, threads int }

func (g memoryUsage) String() string {
	return fmt.Sprintf("%.1f MB (peak %.1f), %d descriptors, %d threads", float64(g.rssBytes)/1e6, float64(g.peakBytes)/1e6, g.descriptors, g.threads)
}

func readUsage(t *testing.T, p *Process) (g memoryUsage) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	raw, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		var kb int
		name, value, _ := strings.Cut(line, ":")
		if _, err := fmt.Sscan(value, &kb); err != nil {
			continue
		}
		switch name {
		case "VmRSS":
			g.rssBytes = kb << 10
		case "VmHWM":
			g.peakBytes = kb << 10
		case "Threads":
			g.threads = kb
		}
	}
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		t.Fatal(err)
	}
	g.descriptors = len(files)
	return g
}

// submitToAll hands in a message to each destination, and again where one is refused; it says how many were taken on.
func submitToAll(t *testing.T, addr string, size int) (taken int) {
	var n, done atomic.Int64
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			rd := bufio.NewReader(nc)
			for {
				dest := int(n.Add(1)) - 1
				if dest >= size {
					return
				}
				for try := range 200 {
					id := fmt.Sprintf("%x%04x", dest+16, try)
					call := "*5\r\n"
					for _, a := range []string{"MSG.PUT", "0", id, fmt.Sprintf("c=order-payment,t=acme,d=28000,k=%s,dest=%d", id, dest), "body"} {
						call += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
					}
					if _, err := io.WriteString(nc, call); err != nil {
						t.Error(err)
						return
					}
					line, err := rd.ReadString('\n')
					if err != nil {
						t.Error(err)
						return
					}
					if strings.HasPrefix(line, "+OK") {
						done.Add(1)
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	return int(done.Load())
}
