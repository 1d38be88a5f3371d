// Command rig2 plays the cases of the second review. Each case starts the relay with the command of the deploy file, surrounds it with
// stand-ins for discovery, the platform, endpoints and clients on loopback, and checks one rule from what these can see.
//
// Usage: rig2 CASE FOLDER. The record is written to FOLDER/record.txt. With TROUBLE=0 in the environment the case runs without its
// disruption. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2

	// maxDuration ends a case that hangs.
	maxDuration = 110 * time.Second
	// readyTimeout bounds the wait for a started relay.
	readyTimeout = 10 * time.Second
)

// world is one run of a case: its folder, its record and the processes that it started.
type world struct {
	root    string // of the repository
	temp    string // removed at the end
	trouble bool   // whether the disruption happens
	start   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	relays []*relay
}

// newWorld opens the record in a folder.
func newWorld(folder string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &world{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(file)}, nil
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

// noteAt adds a line with the time of an event to the record.
func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.1f ms  %s\n", float64(at.Sub(w.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// say adds a line to the record and prints it.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and writes the record out.
func (w *world) close() {
	w.mu.Lock()
	relays := w.relays
	w.mu.Unlock()
	for _, r := range relays {
		r.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = os.RemoveAll(w.temp)
}

// relayIP is the loopback address of the relays. No connection is opened from it, so none takes the port of a relay that is down.
const relayIP = "127.0.53.1"

// freeAddress returns an address of the relays whose port is free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", relayIP+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// class is a class of the settings.
type class struct {
	Name       string  `json:"name"`
	Repeat     string  `json:"repeat"`
	Scope      string  `json:"dedup-scope"`
	MemoryMs   int     `json:"memory-span-ms"`
	AimMs      int     `json:"slo-ms"`
	DeadlineMs int     `json:"deadline-ms"`
	LateWorth  float64 `json:"late-worth"`
	Value      float64 `json:"value"`
	Fifo       bool    `json:"fifo-by-key,omitempty"`
}

// setup is what differs between the configurations of the cases.
type setup struct {
	classes      []class
	membership   string // pushed or on_request
	orderPauseMs int
}

// deployment is a relay's configuration with its folders. Several processes may run in it, one after the other or beside each other.
type deployment struct {
	w                     *world
	setup                 setup
	listen, dir           string
	platform              *platform
	configPath, stateDir  string
	tempDir, runDirective string
}

// newDeployment writes the configuration of a small deployment.
func (w *world) newDeployment(s setup, p *platform) (*deployment, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	run, err := runDirective(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	d := &deployment{w: w, setup: s, listen: listen, dir: w.temp, platform: p, configPath: filepath.Join(w.temp, "config.json"),
		stateDir: filepath.Join(w.temp, "state"), tempDir: filepath.Join(w.temp, "tmp"), runDirective: run}
	for _, dir := range []string{d.stateDir, d.tempDir} {
		if err := os.Mkdir(dir, 0o700); err != nil {
			return nil, err
		}
	}
	return d, d.writeConfig()
}

// runDirective reads the command that starts a relay from the deploy file.
func runDirective(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(name) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// writeConfig writes the platform's configuration file.
func (d *deployment) writeConfig() error {
	type object = map[string]any
	config := object{
		"name": "n0", "listen": d.listen, "discovery": d.platform.address, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  json.RawMessage(d.platform.wholeList()),
		"settings": object{
			"classes": d.setup.classes, "kinds": []string{"partner"}, "localities": []string{"here"}, "zone": "here",
			"orgs":             []object{{"name": "acme", "allowance-per-s": 50, "portion": 1}},
			"over-share-worth": 0.1, "peers-total": 1, "self-index": 0, "resolution-ms": 5, "membership-mode": d.setup.membership, "weights": "rough",
			"family-info": object{"max-calls": 16, "late": "halves", "own-limits": []bool{false}, "carriage": []int{0}},
			"limits": object{"connect-timeout-ms": 1000, "keepalive-ms": 5000, "max-attempts": 8, "max-open": 200, "max-retry-after-ms": 3000,
				"retry-after": true, "cancel": true, "streams-per-conn": 1},
			"safety": object{"start-capacity": 0.23, "cold-ms": 13000, "fall-multiple": 1.5, "tip-after-ms": 1500, "drain-grace-ms": 2000,
				"ask-every-ms": 10000, "order-pause-ms": d.setup.orderPauseMs},
			"tariffs": object{"handshake": 0.02},
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.configPath, text, 0o600)
}

// relay is a running relay process.
type relay struct {
	w       *world
	name    string
	command *exec.Cmd
	ops     string
	ended   chan struct{}
}

// startRelay starts a process with the deploy file's command and waits until it says that it is ready. The name is used in the record.
func (d *deployment) startRelay(name string) (*relay, error) {
	ops, err := freeAddress()
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	r := &relay{w: d.w, name: name, ops: ops, ended: make(chan struct{})}
	r.command = exec.Command("/bin/sh", "-c", d.runDirective)
	r.command.Dir = d.w.root
	r.command.Env = append(os.Environ(), "NODE_NAME=n0", "NODE_LISTEN="+d.listen, "NODE_DISCOVERY="+d.platform.address, "NODE_OPS="+ops,
		"NODE_STATE="+d.stateDir, "NODE_CONFIG="+d.configPath, "TMPDIR="+d.tempDir)
	r.command.Stdout, r.command.Stderr = logFile, logFile
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	d.w.mu.Lock()
	d.w.relays = append(d.w.relays, r)
	d.w.mu.Unlock()
	d.w.note("relay %s started", name)
	go func() {
		_ = r.command.Wait()
		d.w.note("relay %s ended: %v", name, r.command.ProcessState)
		close(r.ended)
	}()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			d.w.note("relay %s is ready", name)
			return r, nil
		}
		if r.hasEnded() {
			break
		}
	}
	text, _ := os.ReadFile(logFile.Name())
	return nil, fmt.Errorf("relay %s is not ready: %s", name, text)
}

// isReady asks the operators' address.
func (r *relay) isReady() bool {
	response, err := http.Get("http://" + r.ops + "/ops/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *relay) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (r *relay) signal(s syscall.Signal) {
	r.w.note("relay %s gets %v", r.name, s)
	_ = r.command.Process.Signal(s)
}

// kill ends the process.
func (r *relay) kill() {
	if !r.hasEnded() {
		_ = r.command.Process.Kill()
	}
	<-r.ended
}

// emptyFolder removes everything in a folder.
func emptyFolder(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	return os.Mkdir(dir, 0o700)
}

// folderBytes returns the size of the files in a folder, each in whole 512 bytes.
func folderBytes(dir string) (sum int64) {
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}
