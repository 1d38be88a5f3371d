package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"slatemux/internal/lab/resp"
	"slatemux/internal/limitstore"
)

// testPeers simulates the peers of a relay: one pool member, and the platform with discovery.
type testPeers struct {
	callIDs      chan string // ids of received calls
	releaseCalls chan struct{}
	notices      chan string
	config       string

	platformAddr                 string      // address of the platform and of discovery
	watchesStarted, watchesEnded chan string // URLs of watches that started, and of watches that the client closed
}

// newTestPeers starts the servers and makes the configuration of a relay that uses them.
func newTestPeers(t *testing.T) *testPeers {
	p := &testPeers{callIDs: make(chan string, 100), releaseCalls: make(chan struct{}), notices: make(chan string, 100),
		watchesStarted: make(chan string, 100), watchesEnded: make(chan string, 100)}
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		p.callIDs <- req.Header.Get("X-Correlation-Id")
		<-p.releaseCalls
		w.Header().Set("X-Backend-Load", "x0=0.5,x1=25")
	}))
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if body, _ := io.ReadAll(req.Body); req.Method == "POST" {
			p.notices <- strings.TrimSpace(string(body))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		p.watchesStarted <- req.URL.String()
		if req.URL.Query().Get("hold_ms") == "1" { // discovery has no changes
			fmt.Fprint(w, `{"seq":0,"whole":false,"hosts":[]}`)
			return
		}
		<-req.Context().Done() // discovery does not answer
		p.watchesEnded <- req.URL.String()
	}))
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	serverAddr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	p.platformAddr = serverAddr(platform)
	p.config = strings.NewReplacer("127.0.0.1:6379", "127.0.0.1:0", `"127.0.0.1:8600"`, `""`, "127.0.0.1:8500", serverAddr(platform), `"hosts": []`,
		`"hosts":[{"host":"m","dial":"`+serverAddr(member)+`","site":"here","class":"partner","block":7,"health":"active",`+
			`"share":20}]`).Replace(string(raw))
	t.Cleanup(func() {
		platform.CloseClientConnections()
		member.CloseClientConnections()
		platform.Close()
	})
	return p
}

// writeTestConfig writes the configuration to a file and returns environment variables that name this file and a state folder.
func writeTestConfig(t *testing.T, config string) map[string]string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"NODE_CONFIG": path, "NODE_STATE": t.TempDir()}
}

// startRelay runs a relay until end is called. It returns the address of its listener, and functions that send it SIGHUP and SIGTERM.
func startRelay(t *testing.T, env map[string]string) (addr string, reload, end func()) {
	cfg, err := loadConfig(func(name string) string { return env[name] }, "")
	if err != nil {
		t.Fatal(err)
	}
	cfg.startTime, cfg.drainDelay, cfg.exitDelay = time.Now(), time.Millisecond, 20*time.Millisecond
	sig := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	ready, runEnded := make(chan net.Addr, 1), make(chan error, 1)
	reread := func() (config, error) { return loadConfig(func(name string) string { return env[name] }, "") }
	go func() { runEnded <- run(cfg, sig, reread, func(a net.Addr) { ready <- a }) }()
	select {
	case err := <-runEnded:
		t.Fatal(err)
	case a := <-ready:
		addr = a.String()
	}
	return addr, func() { sig.reload <- syscall.SIGHUP }, func() {
		sig.terminate <- syscall.SIGTERM
		if err := <-runEnded; err != nil {
			t.Error(err)
		}
	}
}

// sendCommand sends a RESP command on a new connection and returns the first line of the answer.
func sendCommand(t *testing.T, addr string, args ...string) string {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := nc.Write(resp.AppendCommand(nil, args...)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// Accepted messages outlive the process. A call that is in flight when the process ends is repeated by the next process with the same id,
// and the next process accepts clients only after it has taken up the journal.
func TestRestartKeepsAcceptedMessages(t *testing.T) {
	a := newTestPeers(t)
	env := writeTestConfig(t, a.config)
	addr, _, end := startRelay(t, env)
	if got := sendCommand(t, addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	if got := sendCommand(t, addr, "MSG.PUT", "0", "abc1", "c=order-payment,t=acme,d=28000,k=k1,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	if id := <-a.callIDs; id != "abc1" {
		t.Fatalf("call of message %s", id)
	}
	end()
	addr, _, end = startRelay(t, env)
	if id := <-a.callIDs; id != "abc1" {
		t.Fatalf("call of message %s after the restart", id)
	}
	// A message that is not delivered ends with a notice, even while discovery does not answer.
	if got := sendCommand(t, addr, "MSG.PUT", "0", "abc2", "c=slot-status,t=acme,d=300,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	if n := <-a.notices; !strings.HasPrefix(n, `{"message":"abc2","outcome":"handed_back"`) {
		t.Error(n)
	}
	close(a.releaseCalls)
	end()
}

// The learned rate limit of a destination outlives the process, and a truncated file of limits does not prevent the start.
func TestRestartRemembersLimits(t *testing.T) {
	a := newTestPeers(t)
	close(a.releaseCalls)
	env := writeTestConfig(t, a.config)
	addr, _, end := startRelay(t, env)
	if got := sendCommand(t, addr, "MSG.PUT", "0", "abc1", "c=order-payment,t=acme,d=28000,k=k1,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	<-a.callIDs
	path := filepath.Join(env["NODE_STATE"], "learned")
	for storedRate := 0.0; storedRate != 25; time.Sleep(time.Millisecond) { // the file is written after the answer
		if raw, err := os.ReadFile(path); err == nil {
			if limits, err := limitstore.Decode(raw, time.Now()); err == nil && len(limits) == 1 {
				storedRate = limits[0].Rate
			}
		}
	}
	end()
	if got := limitstore.Open(env["NODE_STATE"], 10_000, time.Now()).Limits(); got[7] != 25 {
		t.Errorf("stored limits: %v", got)
	}
	if err := os.WriteFile(path, []byte("slatemux-learned-1 torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	addr, _, end = startRelay(t, env)
	if got := sendCommand(t, addr, "PING"); got != "+PONG" {
		t.Error(got)
	}
	end()
}

// A changed discovery address in the configuration moves the watch and the notices. The list of the new discovery applies even if its
// version is lower, and the new address overrides that of the environment. Pending notices go to the new platform, and requests to the old
// address end. An invalid file before that changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	a, b := newTestPeers(t), newTestPeers(t)
	env := writeTestConfig(t, a.config)
	env["NODE_DISCOVERY"] = a.platformAddr
	addr, reload, end := startRelay(t, env)
	<-a.watchesStarted // for the full list
	<-a.watchesStarted // for changes
	write := func(text string) {
		if err := os.WriteFile(env["NODE_CONFIG"], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reload()
	}
	write(`{"discovery":`)
	if got := sendCommand(t, addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	write(strings.Replace(a.config, a.platformAddr, b.platformAddr, 1))
	<-a.watchesEnded
	if got := <-b.watchesStarted; got != "/discovery/hosts" {
		t.Errorf("the first request to the new discovery is %s, not one for the full list", got)
	}
	if got := sendCommand(t, addr, "MSG.PUT", "0", "abc3", "c=slot-status,t=acme,d=300,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	if n := <-b.notices; !strings.HasPrefix(n, `{"message":"abc3","outcome":"handed_back"`) {
		t.Error(n)
	}
	close(a.releaseCalls)
	reload() // has no effect while the relay ends
	end()
}

// The maximum numbers of open connections fit in the descriptors, even in the smallest configuration. Clients may use the third of the
// descriptors that the clients of the deployment may hold.
func TestResourceLimitsFitDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		cfg := config{sockets: sockets, memoryBytes: 32e6}
		cfg.settings.MaxCalls = 38
		c := cfg.resourceLimits()
		if all := c.clients.MaxConns + c.clients.MaxConns/4 + c.memberConns + reservedDescriptors; all > sockets ||
			sockets > 64 && c.clients.MaxConns < sockets/3 || c.clients.MaxUsedConns >= sockets/3 || c.flows < 1 || c.flows > c.memberConns {
			t.Errorf("%d descriptors: limits %+v allow %d", sockets, c, all)
		}
	}
}

// The error for an invalid configuration is one line that names the invalid value.
func TestBadConfiguration(t *testing.T) {
	good := newTestPeers(t).config
	for change, want := range map[[2]string]string{
		{`"name": "n0"`, `"name": 5`}:                  "name",
		{`"memory_mb": 192`, `"memory_mb": 0`}:         "memory_mb",
		{`"disk_mb": 3`, `"disk_mb": -1`}:              "disk_mb",
		{`"sockets": 1024`, `"sockets": 3`}:            "sockets",
		{`8c1f30d27a5be964`, `xyz`}:                    "seed",
		{`"known": {"seq": 0`, `"known": {"sec": 0`}:   "known",
		{`"repeat": "safe"`, `"repeat": "perhaps"`}:    "perhaps",
		{`"listen": "127.0.0.1:0"`, `"listen": ""`}:    "listen",
		{`"settings": {`, `"settings": 1, "other": {`}: "settings",
		{`{`, ``}: "invalid",
	} {
		env := writeTestConfig(t, strings.Replace(good, change[0], change[1], 1))
		_, err := loadConfig(func(name string) string { return env[name] }, "")
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want a line with %q", change[1], err, want)
		}
	}
	if _, err := loadConfig(func(string) string { return "" }, ""); err == nil {
		t.Error("a missing configuration was accepted")
	}
}

// TestMain discards log lines.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
