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

	"slatemux/internal/lab/resp"
)

// A pool of 24 to 5,000 members, each a separate destination, on the smallest machine that settings have named (32 MB, 384
// descriptors). Memory and descriptors stay under the limits, both idle and with traffic to every member. At least nine tenths of the
// accepted messages are delivered, and the others end with a notice.
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
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
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
				discovery.CloseClientConnections()
				discovery.Close()
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
			d := &Deployment{Config: DeploymentConfig{Classes: DefaultClasses(), Tenants: []Tenant{{Name: "acme", Share: 1}}, MemoryMB: memoryMB, DiskMB: 3, Sockets: sockets,
				MaxOpen: 1000, MaxCalls: 200, KeepAlive: 5 * time.Second, Seed: 3, Relays: 350}}
			node := &RelayNode{Name: "many", Dir: t.TempDir(), Discovery: discovery.Listener.Addr().String()}
			if err := d.WriteConfiguration(node, known); err != nil {
				t.Fatal(err)
			}
			startedAt := time.Now()
			p, err := node.StartRelay(binary, nil, "")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Kill)
			readyAfter := time.Since(startedAt)
			idle := readUsage(t, p)
			accepted := submitToAll(t, node.Listen, size)
			for until := time.Now().Add(30 * time.Second); calls.Load()+notices.Load() < int64(accepted) && time.Now().Before(until); {
				time.Sleep(20 * time.Millisecond)
			}
			busy := readUsage(t, p)
			t.Logf("%d servers: ready after %v; idle %v; with %d messages to all %v; %d delivered", size, readyAfter.Round(time.Millisecond), idle, accepted, busy, calls.Load())
			maxPeakBytes := memoryMB << 20
			if size == 5000 { // all members are called within seconds: docs/sizes.md
				maxPeakBytes = 40 << 20
			}
			if busy.peakBytes > maxPeakBytes || idle.peakBytes > memoryMB<<20 || busy.descriptors > sockets {
				t.Errorf("memory or descriptors over the limit: idle %v, busy %v", idle, busy)
			}
			if accepted < size*9/10 || calls.Load()+notices.Load() < int64(accepted) || calls.Load() < int64(accepted)*9/10 {
				t.Errorf("of %d messages, %d were accepted, %d delivered and %d ended by a notice", size, accepted, calls.Load(), notices.Load())
			}
			if err := p.Signal(syscall.SIGTERM); err != nil || p.Wait() != nil {
				t.Errorf("the relay did not end cleanly: %v\n%s", err, p.Log())
			}
		})
	}
}

// memoryUsage is the memory of a process in bytes and its numbers of descriptors and threads.
type memoryUsage struct{ rssBytes, peakBytes, descriptors, threads int }

func (m memoryUsage) String() string {
	return fmt.Sprintf("%.1f MB (peak %.1f), %d descriptors, %d threads", float64(m.rssBytes)/1e6, float64(m.peakBytes)/1e6, m.descriptors, m.threads)
}

// readUsage reads the current usage of a process from /proc.
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

// submitToAll submits a message for each destination and repeats refused ones, up to 200 attempts. It returns the number of accepted
// messages.
func submitToAll(t *testing.T, addr string, size int) (accepted int) {
	var nextDest, acceptedCount atomic.Int64
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
				dest := int(nextDest.Add(1)) - 1
				if dest >= size {
					return
				}
				for attempt := range 200 {
					id := fmt.Sprintf("%x%04x", dest+16, attempt)
					fields := fmt.Sprintf("c=order-payment,t=acme,d=28000,k=%s,dest=%d", id, dest)
					if _, err := nc.Write(resp.AppendCommand(nil, "MSG.PUT", "0", id, fields, "body")); err != nil {
						t.Error(err)
						return
					}
					line, err := rd.ReadString('\n')
					if err != nil {
						t.Error(err)
						return
					}
					if strings.HasPrefix(line, "+OK") {
						acceptedCount.Add(1)
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	return int(acceptedCount.Load())
}
