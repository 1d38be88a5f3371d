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

	"slatemux/internal/limitstore"
)

// around stands for the rest of the world: one pool member, and the platform.
type around struct {
	calls   chan string // ids of calls
	release chan struct{}
	notices chan string
	config  string

	platform           string      // its address, and discovery's
	watched, unwatched chan string // watches that began, and that their client ended
}

func newAround(t *testing.T) *around {
	a := &around{calls: make(chan string, 100), release: make(chan struct{}), notices: make(chan string, 100),
		watched: make(chan string, 100), unwatched: make(chan string, 100)}
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a.calls <- req.Header.Get("X-Correlation-Id")
		<-a.release
		w.Header().Set("X-Backend-Load", "x0=0.5,x1=25")
	}))
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if body, _ := io.ReadAll(req.Body); req.Method == "POST" {
			a.notices <- strings.TrimSpace(string(body))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		a.watched <- req.URL.String()
		if req.URL.Query().Get("hold_ms") == "1" { // it has nothing to tell
			fmt.Fprint(w, `{"seq":0,"whole":false,"hosts":[]}`)
			return
		}
		<-req.Context().Done() // discovery is silent
		a.unwatched <- req.URL.String()
	}))
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	host := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	a.platform = host(platform)
	a.config = strings.NewReplacer("127.0.0.1:6379", "127.0.0.1:0", `"127.0.0.1:8600"`, `""`, "127.0.0.1:8500", host(platform), `"hosts": []`,
		`"hosts":[{"host":"m","dial":"`+host(member)+`","site":"here","class":"partner","block":7,"health":"active",`+
			`"share":20}]`).Replace(string(raw))
	t.Cleanup(func() {
		platform.CloseClientConnections()
		member.CloseClientConnections()
		platform.Close()
	})
	return a
}

// env writes the configuration and returns the environment that names it.
func env(t *testing.T, config string) map[string]string {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"NODE_CONFIG": path, "NODE_STATE": t.TempDir()}
}

// boot runs a relay and returns where it listens and what ends it.
func boot(t *testing.T, env map[string]string) (addr string, reload, end func()) {
	cfg, err := load(func(name string) string { return env[name] }, "")
	if err != nil {
		t.Fatal(err)
	}
	cfg.began, cfg.serveOn, cfg.exitAfter = time.Now(), time.Millisecond, 20*time.Millisecond
	in := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	ready, ended := make(chan net.Addr, 1), make(chan error, 1)
	reread := func() (config, error) { return load(func(name string) string { return env[name] }, "") }
	go func() { ended <- run(cfg, in, reread, func(a net.Addr) { ready <- a }) }()
	select {
	case err := <-ended:
		t.Fatal(err)
	case a := <-ready:
		addr = a.String()
	}
	return addr, func() { in.reload <- syscall.SIGHUP }, func() {
		in.end <- syscall.SIGTERM
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func ask(t *testing.T, addr string, args ...string) string {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	text := fmt.Sprintf("*%d\r\n", len(args))
	for _, arg := range args {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	}
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// What was taken on outlives the process: a call that was out when it ended is made once more by the next
// process, with the same id, and only then is the next process in use.
func TestRestartKeepsWhatWasTakenOn(t *testing.T) {
	a := newAround(t)
	env := env(t, a.config)
	addr, _, end := boot(t, env)
	if got := ask(t, addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	if got := ask(t, addr, "MSG.PUT", "0", "abc1", "c=order-payment,t=acme,d=28000,k=k1,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	if id := <-a.calls; id != "abc1" {
		t.Fatalf("call of %s", id)
	}
	end()
	addr, _, end = boot(t, env)
	if id := <-a.calls; id != "abc1" {
		t.Fatalf("call of %s after the restart", id)
	}
	// A message that nobody delivers ends with a notice, discovery silent or not.
	if got := ask(t, addr, "MSG.PUT", "0", "abc2", "c=slot-status,t=acme,d=300,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	if n := <-a.notices; !strings.HasPrefix(n, `{"message":"abc2","outcome":"handed_back"`) {
		t.Error(n)
	}
	close(a.release)
	end()
}

// What a pool member told of its destination's limit outlives the process too, and a torn file of it is no reason not to start.
func TestRestartRemembersLimits(t *testing.T) {
	a := newAround(t)
	close(a.release)
	env := env(t, a.config)
	addr, _, end := boot(t, env)
	if got := ask(t, addr, "MSG.PUT", "0", "abc1", "c=order-payment,t=acme,d=28000,k=k1,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	<-a.calls
	path := filepath.Join(env["NODE_STATE"], "learned")
	for known := 0.0; known != 25; time.Sleep(time.Millisecond) { // it is written behind the answer
		if raw, err := os.ReadFile(path); err == nil {
			if limits, err := limitstore.Decode(raw, time.Now()); err == nil && len(limits) == 1 {
				known = limits[0].Rate
			}
		}
	}
	end()
	if got := limitstore.Open(env["NODE_STATE"], 10_000, time.Now()).Limits(); got[7] != 25 {
		t.Errorf("remembered: %v", got)
	}
	if err := os.WriteFile(path, []byte("slatemux-learned-1 torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	addr, _, end = boot(t, env)
	if got := ask(t, addr, "PING"); got != "+PONG" {
		t.Error(got)
	}
	end()
}

// A changed configuration moves the watch and the notices: the new discovery's list counts, also over the
// environment's address and although its versions are lower, a notice under way reaches the new platform, and
// what the old address still holds open ends. A bad file in between changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	a, b := newAround(t), newAround(t)
	env := env(t, a.config)
	env["NODE_DISCOVERY"] = a.platform
	addr, reload, end := boot(t, env)
	<-a.watched // for what there is
	<-a.watched // for news
	write := func(text string) {
		if err := os.WriteFile(env["NODE_CONFIG"], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reload()
	}
	write(`{"discovery":`)
	if got := ask(t, addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	write(strings.Replace(a.config, a.platform, b.platform, 1))
	<-a.unwatched
	if got := <-b.watched; got != "/discovery/hosts" {
		t.Errorf("asked the new discovery for %s first, not for the whole list", got)
	}
	if got := ask(t, addr, "MSG.PUT", "0", "abc3", "c=slot-status,t=acme,d=300,dest=7", "body"); got != "+OK" {
		t.Fatal(got)
	}
	if n := <-b.notices; !strings.HasPrefix(n, `{"message":"abc3","outcome":"handed_back"`) {
		t.Error(n)
	}
	close(a.release)
	reload() // while ending, it changes nothing
	end()
}

// All that may be open at once fits in the descriptors, also in the smallest configuration, and clients have
// room for the third of them that the deployment's clients may hold.
func TestCapsFitTheDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		cfg := config{sockets: sockets, memory: 32e6}
		cfg.settings.MaxCalls = 38
		c := cfg.caps()
		if all := c.clients.MaxConns + c.clients.MaxConns/4 + c.members + spare; all > sockets ||
			sockets > 64 && c.clients.MaxConns < sockets/3 || c.clients.MaxUsedConns >= sockets/3 || c.flows < 1 || c.flows > c.members {
			t.Errorf("%d descriptors: %+v, %d at most", sockets, c, all)
		}
	}
}

// A bad configuration ends the program with a line that says what is wrong.
func TestBadConfiguration(t *testing.T) {
	good := newAround(t).config
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
		env := env(t, strings.Replace(good, change[0], change[1], 1))
		_, err := load(func(name string) string { return env[name] }, "")
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want a line with %q", change[1], err, want)
		}
	}
	if _, err := load(func(string) string { return "" }, ""); err == nil {
		t.Error("no configuration was taken")
	}
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
