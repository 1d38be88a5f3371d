// Package vitals measures the load of this process: how late its steps start, how long submissions wait for their step, how
// long a reader waits for bytes that have already arrived, and the use of CPU and memory. Package overload decides what to do
// about the load.
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
	// maxRecorded is the largest duration that a histogram stores. A longer duration is recorded as maxRecorded.
	maxRecorded = time.Minute
	// cpuWaitDecay is the factor by which each reading reduces the sums behind Reading.CPUWaitFactor. They cover about ten readings.
	cpuWaitDecay = 0.9
	// newestProbeWeight is the weight of the newest probe in the moving average of probe waits.
	newestProbeWeight = 0.2
	// minSectionCPU is the CPU time in sections above which Reading.CPUWaitFactor is computed. Up to this value CPUWaitFactor is 1.
	minSectionCPU = 500 * time.Microsecond
	// maxWindowAges is the maximum number of submission ages that are kept for the median of one reading.
	maxWindowAges = 4096
)

// Meters collects measurements from the components of the relay. It is safe for concurrent use.
type Meters struct {
	cores       float64
	cgroupCores func() float64 // CPU quota of the control group in cores; 0 if none is known
	sampler     *processSampler

	origin         time.Time
	probePipe      atomic.Pointer[os.File]
	probeSentNanos atomic.Int64 // time of the last probe since origin
	probeInFlight  atomic.Bool  // the reader has not yet received the probe's byte

	maxProbeWait      atomic.Int64 // longest probe wait since the last reading, in nanoseconds
	smoothedProbeWait atomic.Int64 // moving average of the probe waits, in nanoseconds

	mu                                  sync.Mutex
	stepDelay, submissionAge, probeWait *hdrhistogram.Histogram // since the start of the process, in microseconds
	windowAges                          []time.Duration         // submission ages since the last reading, at most maxWindowAges
	windowSubmissions                   int
	maxStepDelay                        time.Duration // since the last reading
	wall, cpu                           time.Duration // wall-clock and CPU time spent in sections since the last reading
	decayedWall, decayedCPU             float64       // sums of wall and cpu in nanoseconds, reduced by cpuWaitDecay at each reading
	lastRead                            time.Time
	lastCPU                             time.Duration
}

// New returns meters for a process that may use the given number of cores. 0 means all available cores.
func New(cores float64) *Meters {
	available := float64(runtime.GOMAXPROCS(0))
	if cores <= 0 || cores > available {
		cores = available
	}
	return &Meters{origin: time.Now(), cores: cores, cgroupCores: cgroupCPUQuota(), sampler: newProcessSampler(), stepDelay: newHistogram(),
		submissionAge: newHistogram(), probeWait: newHistogram(), lastRead: time.Now(), lastCPU: cpuTime()}
}

// newHistogram returns a histogram for 1 µs to a minute (maxRecorded) with two significant digits. It takes about 20 KB.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), 2)
}

// record adds a duration to a histogram, limited to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxRecorded).Microseconds()) // cannot fail: the value is in range
}

// RecordStep records when a step was due and when it began.
func (m *Meters) RecordStep(due, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := began.Sub(due)
	record(m.stepDelay, late)
	m.maxStepDelay = max(m.maxStepDelay, late)
}

// RecordSubmission records how long a submission has waited for its step.
func (m *Meters) RecordSubmission(submissionAge time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.submissionAge, submissionAge)
	if m.windowSubmissions++; len(m.windowAges) < maxWindowAges {
		m.windowAges = append(m.windowAges, submissionAge)
	}
}

// RunSection runs f and records its wall-clock time and its CPU time. f must compute without waiting. If other processes compete
// for the CPU, the wall-clock time exceeds the CPU time; Reading.CPUWaitFactor is the ratio of the two.
func (m *Meters) RunSection(f func()) {
	wall, cpu := time.Now(), cpuTime()
	f()
	cpu = cpuTime() - cpu
	took := time.Since(wall)
	m.mu.Lock()
	m.wall, m.cpu = m.wall+took, m.cpu+cpu
	m.mu.Unlock()
}

// Reading holds the measurements since the previous reading, unless a field says otherwise.
type Reading struct {
	Window        time.Duration // time since the previous reading
	StepDelay     time.Duration // longest delay between the due time and the start of a step
	SubmissionAge time.Duration // median wait of a submission for its step
	Submissions   int           // number of submissions
	ProbeWait     time.Duration // longest wait of a reader for bytes that had already arrived
	UsedCores     float64       // cores used by the whole process
	Cores         float64       // cores that the process may use
	CPUWaitFactor float64       // wall-clock time per CPU time in the sections of about ten readings; 1 if nothing else competes for the CPU
	SectionCores  float64       // cores used by sections
	BusyShare     float64       // share of Cores that the process used or, estimated by CPUWaitFactor, waited for
	RSSBytes      int64         // resident memory in bytes; 0 if it cannot be read
	HeapBytes     int64         // bytes of the heap: live objects, dead objects and unused space
	GCShare       float64       // the garbage collector's share of the CPU time used since the start of the process
	SchedP99      time.Duration // 99th percentile of the time that goroutines wait to run, since the start of the process
}

// Read returns a reading and begins the next window. Memory use, garbage collector share and scheduling latency are at most
// processReadInterval old.
func (m *Meters) Read(now time.Time) Reading {
	cpu := cpuTime()
	sampled := m.sampler.read(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	maxProbeWait := time.Duration(m.maxProbeWait.Swap(0))
	if m.probeInFlight.Load() { // count the wait so far of a probe that is still in flight
		maxProbeWait = max(maxProbeWait, time.Since(m.origin)-time.Duration(m.probeSentNanos.Load()))
	}
	r := Reading{Window: now.Sub(m.lastRead), StepDelay: m.maxStepDelay, Submissions: m.windowSubmissions, Cores: m.cores,
		ProbeWait: maxProbeWait, RSSBytes: sampled.rssBytes, HeapBytes: sampled.heapBytes, GCShare: sampled.gcShare, SchedP99: sampled.schedP99}
	if q := m.cgroupCores(); q > 0 {
		r.Cores = min(r.Cores, q)
	}
	if len(m.windowAges) > 0 {
		slices.Sort(m.windowAges)
		r.SubmissionAge = m.windowAges[len(m.windowAges)/2]
	}
	m.decayedWall = m.decayedWall*cpuWaitDecay + float64(m.wall)
	m.decayedCPU = m.decayedCPU*cpuWaitDecay + float64(m.cpu)
	r.CPUWaitFactor = 1
	if m.decayedCPU > float64(minSectionCPU) {
		r.CPUWaitFactor = max(m.decayedWall/m.decayedCPU, 1)
	}
	if r.Window > 0 {
		r.UsedCores = float64(cpu-m.lastCPU) / float64(r.Window)
		r.SectionCores = float64(m.cpu) / float64(r.Window)
		r.BusyShare = min(r.UsedCores*r.CPUWaitFactor/r.Cores, 1)
	}
	m.lastRead, m.lastCPU = now, cpu
	m.windowAges, m.windowSubmissions, m.maxStepDelay, m.wall, m.cpu = m.windowAges[:0], 0, 0, 0, 0
	return r
}

// StartProbes opens the pipe that SendProbe uses and closes it when ctx ends. The runtime wakes the pipe's reader in the same way as the
// reader of a client connection. The wait of a probe is therefore the wait of a client's bytes before the relay reads them.
func (m *Meters) StartProbes(ctx context.Context) {
	r, w, err := os.Pipe()
	if err != nil { // for example no free file descriptor; the other measurements continue
		slog.Warn("no probe", "err", err)
		return
	}
	m.probePipe.Store(w)
	context.AfterFunc(ctx, func() {
		m.probePipe.Store(nil)
		w.Close()
	})
	go func() {
		defer r.Close()
		for b := make([]byte, 1); ; {
			if _, err := r.Read(b); err != nil {
				return
			}
			m.recordProbeWait(time.Since(m.origin) - time.Duration(m.probeSentNanos.Load()))
			m.probeInFlight.Store(false)
		}
	}()
}

// SendProbe sends one byte through the pipe, unless the previous byte is still in flight.
func (m *Meters) SendProbe() {
	if w := m.probePipe.Load(); w != nil && m.probeInFlight.CompareAndSwap(false, true) {
		m.probeSentNanos.Store(int64(time.Since(m.origin)))
		_, _ = w.Write([]byte{0}) // a write to a closed pipe fails, which is harmless
	}
}

// recordProbeWait records the wait of one probe. Only the pipe's reader calls it.
func (m *Meters) recordProbeWait(d time.Duration) {
	for {
		old := m.maxProbeWait.Load()
		if int64(d) <= old || m.maxProbeWait.CompareAndSwap(old, int64(d)) {
			break
		}
	}
	smoothedProbeWait := m.smoothedProbeWait.Load() // only this goroutine writes the average
	m.smoothedProbeWait.Store(smoothedProbeWait + int64(newestProbeWeight*float64(int64(d)-smoothedProbeWait)))
	m.mu.Lock()
	record(m.probeWait, d)
	m.mu.Unlock()
}

// ProbeWait returns how long received bytes wait until the relay reads them: the moving average of the newest probes.
func (m *Meters) ProbeWait() time.Duration { return time.Duration(m.smoothedProbeWait.Load()) }

// Quantiles holds the quantiles and the maximum of one distribution since the start of the process.
type Quantiles struct{ P50, P99, P999, Max time.Duration }

// quantiles reads the quantiles and the maximum of a histogram.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{at(50), at(99), at(99.9), time.Duration(h.Max()) * time.Microsecond}
}

// LogValue implements slog.LogValuer.
func (q Quantiles) LogValue() slog.Value {
	return slog.GroupValue(slog.Duration("p50", q.P50), slog.Duration("p99", q.P99), slog.Duration("p999", q.P999),
		slog.Duration("most", q.Max))
}

// Totals holds the distributions of step delays, submission ages and probe waits since the start of the process.
type Totals struct{ StepDelay, SubmissionAge, ProbeWait Quantiles }

// LogValue implements slog.LogValuer for the totals.
func (t Totals) LogValue() slog.Value {
	return slog.GroupValue(slog.Any("loop_delay", t.StepDelay), slog.Any("hand_in_age", t.SubmissionAge), slog.Any("probe", t.ProbeWait))
}

// Totals returns the distributions since the start of the process.
func (m *Meters) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Totals{quantiles(m.stepDelay), quantiles(m.submissionAge), quantiles(m.probeWait)}
}

// cpuTime returns the CPU time that the process has used on all cores, or 0 if it cannot be read. CLOCK_PROCESS_CPUTIME_ID
// counts the same time as getrusage, with nanosecond resolution and at lower cost.
func cpuTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
