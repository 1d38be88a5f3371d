package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// Process is a program under test, started by the laboratory and ended by it alone.
type Process struct {
	command *exec.Cmd
	output  *logBuffer
	done    chan struct{}
	err     error
	stats   procfs.Proc
}

// logBuffer keeps what a program wrote, and whether a text has come.
type logBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() < 8<<20 {
		l.text.Write(b)
	}
	select {
	case l.written <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Run starts a program on the given processors, or on all with none. Its environment is that of the laboratory
// and env.
func Run(cpus []int, env []string, name string, args ...string) (*Process, error) {
	p := &Process{command: exec.Command(name, args...), output: &logBuffer{written: make(chan struct{}, 1)}, done: make(chan struct{})}
	p.command.Env = append(os.Environ(), env...)
	p.command.Stderr, p.command.Stdout = p.output, io.Discard
	if err := RunPinned(cpus, p.command.Start); err != nil {
		return nil, fmt.Errorf("lab: %s: %w", name, err)
	}
	var err error
	if p.stats, err = procfs.NewProc(p.command.Process.Pid); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// RunPinned runs f on a thread that is bound to processors, so that a process which it starts is bound to them too.
func RunPinned(cpus []int, f func() error) error {
	if len(cpus) == 0 {
		return f()
	}
	errs := make(chan error)
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		var set unix.CPUSet
		for _, c := range cpus {
			set.Set(c)
		}
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			errs <- fmt.Errorf("processors %v: %w", cpus, err)
			return
		}
		errs <- f()
	}()
	return <-errs
}

// Keep binds all threads of this program to processors; those that it makes later inherit that.
func Keep(cpus []int) error {
	var set unix.CPUSet
	for _, c := range cpus {
		set.Set(c)
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for _, t := range tasks {
		if tid, err := strconv.Atoi(t.Name()); err == nil {
			_ = unix.SchedSetaffinity(tid, &set) // a thread may be gone by now
		}
	}
	runtime.GOMAXPROCS(len(cpus))
	return nil
}

// AwaitLog waits until the program has written a text.
func (p *Process) AwaitLog(text string, deadline time.Time) error {
	for {
		if strings.Contains(p.output.String(), text) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("lab: ended before %q: %v\n%s", text, p.err, p.output)
		case <-p.output.written:
		case <-time.After(time.Until(deadline)):
			return fmt.Errorf("lab: no %q in time\n%s", text, p.output)
		}
	}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Wait waits for the end of the program.
func (p *Process) Wait() error { <-p.done; return p.err }

// End asks the program to end, and ends it if it has not by the deadline.
func (p *Process) End(deadline time.Time) error {
	_ = p.Signal(syscall.SIGTERM) // it may be gone already
	select {
	case <-p.done:
	case <-time.After(time.Until(deadline)):
		_ = p.command.Process.Kill()
		<-p.done
	}
	return p.err
}

// Kill ends the program at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Log is what the program wrote to standard error.
func (p *Process) Log() string { return p.output.String() }

// Usage is what a program has used so far.
type Usage struct {
	CPU time.Duration
	RSS int64
}

// Usage reads it; nought once the program is gone. The processor time is that of the process's own clock, in
// nanoseconds, for the figures under /proc count ticks of 10 ms.
func (p *Process) Usage() Usage {
	s, err := p.stats.Stat()
	if err != nil {
		return Usage{}
	}
	u := Usage{CPU: time.Duration(s.CPUTime() * float64(time.Second)), RSS: int64(s.ResidentMemory())}
	const sched = 2 // as clock_getcpuclockid(3) builds the clock of another process
	var ts unix.Timespec
	if unix.ClockGettime(int32(^p.command.Process.Pid<<3|sched), &ts) == nil {
		u.CPU = time.Duration(ts.Nano())
	}
	return u
}

// Line finds the newest log line in JSON with a message, and decodes it.
func (p *Process) Line(message string) (map[string]any, bool) {
	var found map[string]any
	for _, line := range strings.Split(p.output.String(), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(line), &m) == nil && m["msg"] == message {
			found = m
		}
	}
	return found, found != nil
}

// Field follows names into nested objects of a log line; nought where there is no such number.
func Field(m map[string]any, path ...string) float64 {
	for i, name := range path {
		if i == len(path)-1 {
			x, _ := m[name].(float64)
			return x
		}
		m, _ = m[name].(map[string]any)
	}
	return 0
}

// FreePort asks the system for a port on loopback. Another may take it before it is used again; the caller
// notices, for its program then does not start.
func FreePort() (string, error) { return FreePortOn("127.0.0.1") }

// allocatedPorts are the ports that were handed out: a relay that is told of one shares it with whoever else is, and hand-ins of one test
// would go to the relay of another.
var allocatedPorts sync.Map

// FreePortOn asks for one on another address of the loopback. Where no connections are opened from there, nobody takes it.
func FreePortOn(ip string) (string, error) {
	for {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", fmt.Errorf("lab: %w", err)
		}
		addr := ln.Addr().String()
		_ = ln.Close()
		if _, taken := allocatedPorts.LoadOrStore(addr, true); !taken {
			return addr, nil
		}
	}
}

// Settled waits until the relay says that nothing is open and no notice is owed any more.
func (p *Process) Settled(deadline time.Time) error {
	for {
		if err := p.Signal(syscall.SIGUSR1); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		time.Sleep(250 * time.Millisecond)
		line, ok := p.Line("counters")
		if ok && Field(line, "relay", "open") == 0 && Field(line, "relay", "handed_back")+Field(line, "relay", "given_up") <=
			Field(line, "relay", "notices_answered") {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("lab: still open at the deadline: %v", line)
		}
	}
}
