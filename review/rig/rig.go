// Package rig holds the stand-ins of the review's cases: partners, the platform, clients, and the relay as processes of their own. Everything
// listens on 127.0.0.1. The stand-ins do what the protocol page says, and what happens is written to record.txt.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Rig is one run of a case.
type Rig struct {
	Trouble bool
	Dir     string // temporary folder
	State   string // the folder that lasts

	root   string
	start  time.Time
	mu     sync.Mutex
	record *os.File
	relays []*Relay
	closed bool
}

// New opens the record of a case and its temporary folder. root is the repository's root.
func New(root, caseDir string) (*Rig, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "slatemux-review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, State: filepath.Join(dir, "state"), root: root, start: time.Now(), record: record}
	if err := os.Mkdir(r.State, 0o700); err != nil {
		return nil, err
	}
	r.Log("trouble %v", r.Trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		r.Close()
		os.Exit(2)
	}()
	return r, nil
}

// Now returns the time since the start of the run.
func (r *Rig) Now() time.Duration { return time.Since(r.start) }

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", r.Now().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = r.record.WriteString(line)
	}
}

// Say writes a line to the record and to standard output.
func (r *Rig) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Log(format, args...)
}

// Close ends all processes of the run and removes the temporary folder.
func (r *Rig) Close() {
	for _, p := range r.relays {
		p.Kill()
	}
	_ = os.RemoveAll(r.Dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.record.Close()
}

// FreeAddress returns a loopback address whose port is free, below the ports that the system gives to outgoing connections.
func FreeAddress() string {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(10000+rand.IntN(20000)))
		if err == nil {
			_ = ln.Close()
			return ln.Addr().String()
		}
	}
}

// Relay is a relay process.
type Relay struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	rig  *Rig
	ops  string
}

// Process says how a relay process is started.
type Process struct{ Name, Config, Listen, Discovery, Ops, TempDir string }

// StartRelay starts a relay with the run command of the deploy file. Its log goes to a file NAME.log beside the record if KEEP_LOGS is set.
func (r *Rig) StartRelay(p Process) (*Relay, error) {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	command := ""
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			if command, err = strconv.Unquote(strings.TrimSpace(text)); err != nil {
				return nil, err
			}
		}
	}
	if command == "" {
		return nil, fmt.Errorf("no run command in the deploy file")
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.Env = append(os.Environ(), "NODE_NAME=n0", "NODE_CONFIG="+p.Config, "NODE_STATE="+r.State, "NODE_LISTEN="+p.Listen, "NODE_DISCOVERY="+p.Discovery,
		"NODE_OPS="+p.Ops, "TMPDIR="+p.TempDir)
	logPath := filepath.Join(r.Dir, p.Name+".log")
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logPath = filepath.Join(keep, p.Name+".log")
	}
	logFile, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	relay := &Relay{Name: p.Name, cmd: cmd, done: make(chan struct{}), rig: r, ops: p.Ops}
	r.relays = append(r.relays, relay)
	r.Log("relay %s started, process %d", p.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		r.Log("relay %s ended: %v", p.Name, err)
		close(relay.done)
	}()
	return relay, nil
}

// Signal sends a signal to the process.
func (p *Relay) Signal(s syscall.Signal) {
	p.rig.Log("relay %s gets %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Relay) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Relay) Kill() {
	if !p.Ended() {
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// AwaitOps waits until the process says yes at the operators' address.
func (p *Relay) AwaitOps(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && !p.Ended(); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.ops + "/ops/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			p.rig.Log("relay %s says yes", p.Name)
			return true
		}
	}
	return false
}

// FolderBytes returns the size of the folder that lasts; each file counts in whole 512 bytes.
func (r *Rig) FolderBytes() (sum int64) {
	entries, err := os.ReadDir(r.State)
	if err != nil {
		return 0
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}

// Notice is one line of a notice.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryIn int64  `json:"retry_in_ms"`
}

// Platform stands for discovery's agent and the platform.
type Platform struct {
	Addr string

	rig     *Rig
	hosts   string // JSON of the entries
	notices func(Notice)
}

// StartPlatform serves a list that does not change, and takes notices.
func (r *Rig) StartPlatform(hosts string, notices func(Notice)) (*Platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Addr: ln.Addr().String(), rig: r, hosts: hosts, notices: notices}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.list)
	mux.HandleFunc("POST /v1/notices", p.notice)
	go func() { _ = http.Serve(ln, mux) }()
	return p, nil
}

const seq = 41

func (p *Platform) list(w http.ResponseWriter, q *http.Request) {
	from := q.URL.Query().Get("from")
	if from != "" && from == strconv.Itoa(seq) {
		hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(min(hold, 60000)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, `{"seq":%d,"whole":false,"hosts":[]}`, seq)
		return
	}
	_, _ = fmt.Fprintf(w, `{"seq":%d,"whole":true,"hosts":[%s]}`, seq, p.hosts)
}

func (p *Platform) notice(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var list []Notice
	for line := range strings.Lines(string(raw)) {
		var n Notice
		if json.Unmarshal([]byte(line), &n) != nil || n.Message == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		list = append(list, n)
	}
	for _, n := range list {
		p.rig.Log("notice %s %s retry_in_ms=%d", n.Message, n.Outcome, n.RetryIn)
		p.notices(n)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Call is a call that a partner's server has read.
type Call struct {
	ID, Key string
	Body    []byte
}

// Answer is what the server answers, after a delay. Written is called, if set, when the answer has been written to the relay.
type Answer struct {
	Status  int
	Headers map[string]string
	After   time.Duration
	Written func()
}

// StartPartner starts a server of a partner and returns its address.
func (r *Rig) StartPartner(name string, handle func(Call) Answer) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hook", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		c := Call{q.Header.Get("X-Correlation-Id"), q.Header.Get("Idempotency-Key"), body}
		r.Log("%s gets %s, %d bytes", name, c.ID, len(body))
		a := handle(c)
		time.Sleep(a.After)
		if q.Context().Err() != nil {
			r.Log("%s: the relay has given up the call of %s", name, c.ID)
			return
		}
		for k, v := range a.Headers {
			w.Header().Set(k, v)
		}
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(a.Status)
		if err := http.NewResponseController(w).Flush(); err != nil {
			r.Log("%s: answer to %s not written: %v", name, c.ID, err)
			return
		}
		r.Log("%s has answered %d to %s", name, a.Status, c.ID)
		if a.Written != nil {
			a.Written()
		}
	})
	go func() { _ = (&http.Server{Handler: mux, IdleTimeout: 5 * time.Second}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// Message is a message that a client hands in.
type Message struct {
	ID, Class, Tenant, Key string
	Dest                   int
	Left                   time.Duration
	Body                   []byte
}

// patience is how long a client waits for the answer to a command.
const patience = 400 * time.Millisecond

// Client hands in messages one after the other. It keeps its connection if Keep is set, and otherwise takes a new one for each message.
type Client struct {
	Addr string
	Keep bool

	nc net.Conn
}

// Put hands in a message. It returns the first line of the answer, or an empty text if there was none in time, and when the last byte was
// written. If a kept connection ends without an answer, the request crossed its end and is sent once more on a new connection.
func (c *Client) Put(m Message) (answer string, sent time.Time, err error) {
	for kept := c.nc != nil; ; kept = false {
		if c.nc == nil {
			if c.nc, err = net.DialTimeout("tcp", c.Addr, patience); err != nil {
				c.nc = nil
				return "", time.Now(), err
			}
		}
		_, err = c.nc.Write(Encode(m))
		sent = time.Now()
		if err == nil {
			_ = c.nc.SetReadDeadline(sent.Add(patience))
			answer, err = bufio.NewReader(c.nc).ReadString('\n')
		}
		if err != nil || !c.Keep {
			c.Close()
		}
		var netErr net.Error
		if err == nil || !kept || errors.As(err, &netErr) && netErr.Timeout() {
			return strings.TrimSpace(answer), sent, err
		}
	}
}

// Close closes the connection that the client keeps, if there is one.
func (c *Client) Close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// Encode returns the command that hands in a message.
func Encode(m Message) []byte {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d", m.Class, m.Tenant, m.Left.Milliseconds())
	if m.Key != "" {
		fields += ",k=" + m.Key
	}
	fields += ",dest=" + strconv.Itoa(m.Dest)
	b := []byte("*5\r\n")
	for _, arg := range []string{"MSG.PUT", "0000000000000000", m.ID, fields, string(m.Body)} {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}

// Ping reports whether the relay answers PING with PONG.
func Ping(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := nc.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && strings.TrimSpace(line) == "+PONG"
}

// AwaitPong waits until a relay answers PING.
func AwaitPong(addr string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if Ping(addr) {
			return true
		}
	}
	return false
}

// MemoryBytes returns the memory of the process that counts in any case: its anonymous and shared pages, without those of its program file.
func (p *Relay) MemoryBytes() (sum int64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) == 3 && (f[0] == "RssAnon:" || f[0] == "RssShmem:") {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			sum += kb << 10
		}
	}
	return sum
}
