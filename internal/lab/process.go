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

// Process is a program under test that the laboratory has started.
type Process struct {
	command *exec.Cmd
	output  *logBuffer
	done    chan struct{}
	err     error
	stats   procfs.Proc

	filePages int64 // bytes
}

// logBuffer keeps the first 8 MB of a program's output and signals each write on written.
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

// Run starts a program on the given processors, or on all if cpus is empty. env is added to the environment of the laboratory.
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

// RunPinned runs f on a thread that is bound to processors. A process that f starts inherits the binding.
func RunPinned(cpus []int, f func() error) error {
	if len(cpus) == 0 {
		return f()
	}
	errs := make(chan error)
	go func() {
		runtime.LockOSThread() // stays locked, so that the thread ends with the goroutine
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

// PinSelf binds all threads of this process to processors. Later threads inherit the binding.
func PinSelf(cpus []int) error {
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
			_ = unix.SchedSetaffinity(tid, &set) // the thread may have ended
		}
	}
	runtime.GOMAXPROCS(len(cpus))
	return nil
}

// AwaitLog waits until the program's output contains a text.
func (p *Process) AwaitLog(text string, deadline time.Time) error {
	for {
		if strings.Contains(p.output.String(), text) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("lab: process ended before it logged %q: %v\n%s", text, p.err, p.output)
		case <-p.output.written:
		case <-time.After(time.Until(deadline)):
			return fmt.Errorf("lab: process did not log %q before the deadline\n%s", text, p.output)
		}
	}
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Wait waits for the end of the program.
func (p *Process) Wait() error { <-p.done; return p.err }

// Stop sends SIGTERM, and SIGKILL if the program has not ended by the deadline.
func (p *Process) Stop(deadline time.Time) error {
	_ = p.Signal(syscall.SIGTERM) // the program may have ended already
	select {
	case <-p.done:
	case <-time.After(time.Until(deadline)):
		_ = p.command.Process.Kill()
		<-p.done
	}
	return p.err
}

// Kill ends the program with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Log returns what the program wrote to standard error, up to 8 MB.
func (p *Process) Log() string { return p.output.String() }

// Usage is the processor time that a program has used so far and its resident memory in bytes.
type Usage struct {
	CPU time.Duration
	RSS int64
}

// Usage returns the current usage; zero once the program has ended. The processor time comes from the CPU clock of the process, in
// nanoseconds, because the times under /proc have a resolution of 10 ms.
func (p *Process) Usage() Usage {
	s, err := p.stats.Stat()
	if err != nil {
		return Usage{}
	}
	u := Usage{CPU: time.Duration(s.CPUTime() * float64(time.Second)), RSS: int64(s.ResidentMemory())}
	const sched = 2 // CPUCLOCK_SCHED: the clock id is built as in clock_getcpuclockid(3)
	var ts unix.Timespec
	if unix.ClockGettime(int32(^p.command.Process.Pid<<3|sched), &ts) == nil {
		u.CPU = time.Duration(ts.Nano())
	}
	return u
}

// PeakMemory returns an upper bound of the largest memory that the program has had so far, in bytes, without the pages of its program file;
// zero once it has ended. The kernel keeps the peak, so that no moment is missed.
func (p *Process) PeakMemory() int64 {
	status, err := p.stats.NewStatus()
	if err != nil {
		return 0
	}
	return int64(status.VmHWM) - p.filePages
}

// AnonymousMemory returns the current memory of the program in bytes without the pages of files; zero once it has ended.
func (p *Process) AnonymousMemory() int64 {
	status, err := p.stats.NewStatus()
	if err != nil {
		return 0
	}
	return int64(status.RssAnon)
}

// recordFilePages records the memory of the program's file. The system may map more of it later, which PeakMemory then counts.
func (p *Process) recordFilePages() {
	if status, err := p.stats.NewStatus(); err == nil {
		p.filePages = int64(status.RssFile)
	}
}

// LastLogLine decodes the newest JSON log line with a message. It returns false if there is none.
func (p *Process) LastLogLine(message string) (map[string]any, bool) {
	var found map[string]any
	for _, line := range strings.Split(p.output.String(), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(line), &m) == nil && m["msg"] == message {
			found = m
		}
	}
	return found, found != nil
}

// NumberAt returns the number at a path of nested objects of a log line; 0 if there is none.
func NumberAt(m map[string]any, path ...string) float64 {
	for i, name := range path {
		if i == len(path)-1 {
			x, _ := m[name].(float64)
			return x
		}
		m, _ = m[name].(map[string]any)
	}
	return 0
}

// FreePort returns a loopback address with a free port. Another process may take the port before it is used: then the program of the
// caller does not start.
func FreePort() (string, error) { return FreePortOn("127.0.0.1") }

// allocatedPorts holds the addresses that FreePortOn has returned, to return none twice. Relays share a client port that both are
// configured with, so submissions of one test would reach the relay of another.
var allocatedPorts sync.Map

// FreePortOn returns a free port on a given loopback address. If no connections are opened from that address, no other process takes
// the port.
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

// AwaitSettled waits until the relay's counters show no open message and no pending notice.
func (p *Process) AwaitSettled(deadline time.Time) error {
	for {
		if err := p.Signal(syscall.SIGUSR1); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		time.Sleep(250 * time.Millisecond)
		line, ok := p.LastLogLine("counters")
		if ok && NumberAt(line, "relay", "open") == 0 && NumberAt(line, "relay", "handed_back")+NumberAt(line, "relay", "given_up") <=
			NumberAt(line, "relay", "notices_answered") {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("lab: relay has open messages or pending notices at the deadline: %v", line)
		}
	}
}
