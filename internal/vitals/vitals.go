// Package vitals measures how the program itself fares: how late its steps run, how long hand-ins queue, how
// long a reader waits for bytes that are there, what it takes of the processor given to it, and its memory.
// It decides nothing; package overload does.
package vitals

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

const (
	// longest is the most that a histogram holds; what took longer counts as that.
	longest = time.Minute
	// stretchFade is what a reading leaves of the sums behind Stretch: their horizon is about ten readings.
	stretchFade = 0.9
	// waitWeight is the share of the newest probe in the usual wait.
	waitWeight = 0.2
	// leastSection is how much processor time must lie behind Stretch before it is believed.
	leastSection = 500 * time.Microsecond
	// mostAges bounds the hand-in ages that one reading takes the middle of.
	mostAges = 4096
)

// Meters takes measurements from the parts of the relay. It is safe for use by several goroutines.
type Meters struct {
	cores float64
	quota func() float64 // cores that the control group grants; 0 if none is known
	proc  *process

	origin time.Time
	pipe   atomic.Pointer[os.File]
	sent   atomic.Int64 // since origin, in ns
	out    atomic.Bool  // a byte is on its way

	probe atomic.Int64 // the longest wait of a probe since the reading, in ns
	usual atomic.Int64 // wait of a probe, smoothed over the last ones, in ns

	mu                 sync.Mutex
	loop, age, probes  *hdrhistogram.Histogram // since the start, in microseconds
	ages               []time.Duration         // of the window
	agesSeen           int
	worst              time.Duration // loop delay in the window
	wall, cpu          time.Duration // sections since the reading
	stretchW, stretchC float64       // faded sums of the same
	lastAt             time.Time
	lastCPU            time.Duration
}

// New returns meters for a process that is given so many cores; 0 stands for all that it may run on.
func New(cores float64) *Meters {
	most := float64(runtime.GOMAXPROCS(0))
	if cores <= 0 || cores > most {
		cores = most
	}
	return &Meters{origin: time.Now(), cores: cores, quota: cgroupQuota(), proc: newProcess(), loop: histogram(), age: histogram(), probes: histogram(),
		lastAt: time.Now(), lastCPU: cpuTime()}
}

// histogram holds 1 µs to a minute with two digits, in about 20 KB.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Microseconds(), 2) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds()) // within bounds: it cannot fail
}

// Stepped notes that a step which was due at a time began at another.
func (m *Meters) Stepped(due, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := began.Sub(due)
	record(m.loop, late)
	m.worst = max(m.worst, late)
}

// HandedIn notes how long a hand-in has waited for its step.
func (m *Meters) HandedIn(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.age, age)
	if m.agesSeen++; len(m.ages) < mostAges {
		m.ages = append(m.ages, age)
	}
}

// Section runs f, which computes and does not wait, and notes what the wall and what the processor's clock say
// of it. Where others take the processor the first runs ahead of the second; by how much is Reading.Stretch.
func (m *Meters) Section(f func()) {
	wall, cpu := time.Now(), cpuTime()
	f()
	cpu = cpuTime() - cpu
	took := time.Since(wall)
	m.mu.Lock()
	m.wall, m.cpu = m.wall+took, m.cpu+cpu
	m.mu.Unlock()
}

// Reading is what the meters say of the time since the reading before.
type Reading struct {
	Window  time.Duration
	Loop    time.Duration // the latest start of a step
	Age     time.Duration // that the middle hand-in waited for its step
	HandIns int
	Probe   time.Duration // the longest that a reader waited for what was there
	CPU     float64       // cores used
	Cores   float64       // cores given
	Stretch float64       // wall over processor time of computing; 1 where nobody else takes the processor
	Section float64       // cores used in sections
	Busy    float64       // share of the cores given that was used or, as Stretch has it, waited for
	RSS     int64         // bytes; 0 where it cannot be read
	Heap    int64         // bytes of live and dead objects
	GCShare float64       // of the processor time used, that the collector took since the start
	Sched   time.Duration // that the 99th of 100 goroutines waited to run, as the runtime tells, since the start
}

// Read returns a reading and begins the next window. The slow figures (memory, collector) are at most
// slowEvery old.
func (m *Meters) Read(now time.Time) Reading {
	cpu := cpuTime()
	slow := m.proc.read(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	probe := time.Duration(m.probe.Swap(0))
	if m.out.Load() { // one that has not come through yet has waited as long as this
		probe = max(probe, time.Since(m.origin)-time.Duration(m.sent.Load()))
	}
	r := Reading{Window: now.Sub(m.lastAt), Loop: m.worst, HandIns: m.agesSeen, Cores: m.cores,
		Probe: probe, RSS: slow.rss, Heap: slow.heap, GCShare: slow.gc, Sched: slow.sched}
	if q := m.quota(); q > 0 {
		r.Cores = min(r.Cores, q)
	}
	if len(m.ages) > 0 {
		slices.Sort(m.ages)
		r.Age = m.ages[len(m.ages)/2]
	}
	m.stretchW = m.stretchW*stretchFade + float64(m.wall)
	m.stretchC = m.stretchC*stretchFade + float64(m.cpu)
	r.Stretch = 1
	if m.stretchC > float64(leastSection) {
		r.Stretch = max(m.stretchW/m.stretchC, 1)
	}
	if r.Window > 0 {
		r.CPU = float64(cpu-m.lastCPU) / float64(r.Window)
		r.Section = float64(m.cpu) / float64(r.Window)
		r.Busy = min(r.CPU*r.Stretch/r.Cores, 1)
	}
	m.lastAt, m.lastCPU = now, cpu
	m.ages, m.agesSeen, m.worst, m.wall, m.cpu = m.ages[:0], 0, 0, 0, 0
	return r
}

// Probe opens a pipe for Ping, until ctx ends. Its reader is woken like one of a client's connection, so what it waits
// is what a client's bytes wait before the program looks at them.
func (m *Meters) Probe(ctx context.Context) {
	r, w, err := os.Pipe()
	if err != nil { // out of descriptors, say: the other meters go on
		slog.Warn("no probe", "err", err)
		return
	}
	m.pipe.Store(w)
	context.AfterFunc(ctx, func() {
		m.pipe.Store(nil)
		w.Close()
	})
	go func() {
		defer r.Close()
		for b := make([]byte, 1); ; {
			if _, err := r.Read(b); err != nil {
				return
			}
			m.waited(time.Since(m.origin) - time.Duration(m.sent.Load()))
			m.out.Store(false)
		}
	}()
}

// Ping sends a byte through the pipe, unless one is still on its way.
func (m *Meters) Ping() {
	if w := m.pipe.Load(); w != nil && m.out.CompareAndSwap(false, true) {
		m.sent.Store(int64(time.Since(m.origin)))
		_, _ = w.Write([]byte{0}) // it fails once the pipe is closed
	}
}

func (m *Meters) waited(d time.Duration) {
	for {
		old := m.probe.Load()
		if int64(d) <= old || m.probe.CompareAndSwap(old, int64(d)) {
			break
		}
	}
	usual := m.usual.Load() // of this goroutine alone
	m.usual.Store(usual + int64(waitWeight*float64(int64(d)-usual)))
	m.mu.Lock()
	record(m.probes, d)
	m.mu.Unlock()
}

// Wait is how long what has come waits until the program looks at it, by the newest probes.
func (m *Meters) Wait() time.Duration { return time.Duration(m.usual.Load()) }

// Quantiles are of one distribution since the start.
type Quantiles struct{ P50, P99, P999, Most time.Duration }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{at(50), at(99), at(99.9), time.Duration(h.Max()) * time.Microsecond}
}

// LogValue names the quantiles in a log line.
func (q Quantiles) LogValue() slog.Value {
	return slog.GroupValue(slog.Duration("p50", q.P50), slog.Duration("p99", q.P99), slog.Duration("p999", q.P999),
		slog.Duration("most", q.Most))
}

// Totals are the distributions since the start.
type Totals struct{ Loop, Age, Probe Quantiles }

// LogValue names the totals in a log line.
func (t Totals) LogValue() slog.Value {
	return slog.GroupValue(slog.Any("loop_delay", t.Loop), slog.Any("hand_in_age", t.Age), slog.Any("probe", t.Probe))
}

// Totals returns the distributions since the start.
func (m *Meters) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Totals{quantiles(m.loop), quantiles(m.age), quantiles(m.probes)}
}

// cpuTime is what the process has used of all processors. CLOCK_PROCESS_CPUTIME_ID counts the same as getrusage
// does, in nanoseconds and for less.
func cpuTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
