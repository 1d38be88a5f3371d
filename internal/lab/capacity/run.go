package capacity

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// progressInterval is how often progress is reported.
const progressInterval = 2 * time.Second

// Job is one run.
type Job struct {
	Scenario *Scenario
	Carrier  string
	Relays   int
	Seed     uint64
}

// String names the run.
func (j Job) String() string {
	return fmt.Sprintf("%s, %s, %d relays", j.Scenario.Name, j.Carrier, j.Relays)
}

// Jobs are all runs of scenarios with those carriers that suit them, at some sizes: those given, or the scenario's own.
func Jobs(scenarios []*Scenario, carrierNames []string, sizes []int, seed uint64) (jobs []Job, err error) {
	for _, name := range carrierNames {
		if _, err := findCarrier(name); err != nil {
			return nil, err
		}
	}
	for _, n := range sizes {
		if err := CheckSize(n); err != nil {
			return nil, fmt.Errorf("relays: %w", err)
		}
	}
	for _, s := range scenarios {
		runSizes := sizes
		if len(runSizes) == 0 {
			for _, n := range s.Relays {
				runSizes = append(runSizes, int(n))
			}
		}
		for _, name := range carrierNames {
			if c, _ := findCarrier(name); !s.supportsCarrier(c) {
				continue
			}
			for _, n := range runSizes {
				jobs = append(jobs, Job{Scenario: s, Carrier: name, Relays: n, Seed: seed})
			}
		}
	}
	if len(jobs) == 0 {
		return nil, errors.New("capacity: no scenario suits any of the carriers, or there is no size")
	}
	return jobs, nil
}

// Pool plays runs side by side.
type Pool struct {
	workers        int
	reportProgress func(string)
	// exclusive is held, by a run that measures its heap, against all others.
	heapLock sync.RWMutex
}

// NewPool returns one for so many runs at a time. Progress is reported to note from several goroutines.
func NewPool(workers int, reportProgress func(string)) *Pool {
	return &Pool{workers: max(workers, 1), reportProgress: reportProgress}
}

// Run plays runs, the largest first, and hands each result over as it comes, one at a time.
func (p *Pool) Run(ctx context.Context, jobs []Job, done func(*Result)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	next := make(chan Job)
	for range p.workers {
		group.Go(func() {
			for job := range next {
				r, err := p.RunJob(ctx, job)
				mu.Lock()
				if err != nil {
					errs = append(errs, fmt.Errorf("%v: %w", job, err))
					cancel()
				} else {
					done(r)
				}
				mu.Unlock()
			}
		})
	}
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(b.Relays, a.Relays) })
	for _, job := range jobs {
		select {
		case next <- job:
		case <-ctx.Done():
		}
	}
	close(next)
	group.Wait()
	return errors.Join(errs...)
}

// RunJob plays one run, on a thread of its own.
func (p *Pool) RunJob(ctx context.Context, job Job) (*Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	started := time.Now()
	carrier, err := findCarrier(job.Carrier)
	if err != nil {
		return nil, err
	}
	p.heapLock.RLock()
	defer p.heapLock.RUnlock()
	f, err := newFleet(ctx, job.Scenario.forSize(job.Relays), carrier, job.Relays, job.Seed)
	if err != nil {
		return nil, err
	}
	var peak atomic.Uint64
	stop := watchHeap(&peak)
	defer stop()
	cpuBefore := threadCPUTime()
	reported := time.Now()
	err = f.run(p.awaitHeapMeasurement, func(elapsed, total time.Duration) {
		if time.Since(reported) >= progressInterval {
			reported = time.Now()
			p.reportProgress(fmt.Sprintf("%v: %.1f of %.1f s", job, elapsed.Seconds(), total.Seconds()))
		}
	})
	if err != nil {
		return nil, err
	}
	threadTime, wallTime := threadCPUTime()-cpuBefore, time.Since(started)
	r := f.result(job.Carrier, job.Seed)
	r.Cost = Cost{CPUShare: f.cpuShares(), WallSeconds: wallTime.Seconds(), ThreadCPUSeconds: threadTime.Seconds(), CodeShare: float64(f.cpuTime) / float64(max(threadTime, 1))}
	r.Cost.HeapBytesPerRelay = p.measureHeap(&f) / float64(job.Relays)
	r.Cost.PeakHeapBytes = peak.Load()
	p.reportProgress(fmt.Sprintf("%v: over in %.1f s", job, time.Since(started).Seconds()))
	return r, nil
}

// awaitHeapMeasurement lets a run that measures its heap go first.
func (p *Pool) awaitHeapMeasurement() {
	p.heapLock.RUnlock()
	p.heapLock.RLock()
}

// measureHeap is what a fleet holds: the heap with it, less the heap without it, while no other run goes on. The fleet is gone then.
func (p *Pool) measureHeap(f **fleet) float64 {
	p.heapLock.RUnlock()
	p.heapLock.Lock()
	with := heapAfterGC()
	runtime.KeepAlive(*f)
	*f = nil
	without := heapAfterGC()
	p.heapLock.Unlock()
	p.heapLock.RLock()
	return max(float64(with)-float64(without), 0)
}

func heapAfterGC() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapSampleInterval is how often the heap is looked at for its peak.
const heapSampleInterval = 100 * time.Millisecond

// watchHeap keeps the peak of the heap until it is stopped.
func watchHeap(peak *atomic.Uint64) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		tick := time.NewTicker(heapSampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-tick.C:
				peak.Store(max(peak.Load(), heapInUse()))
			}
		}
	}()
	return func() { close(stopped) }
}

// threadCPUTime is the processor time that this thread has had.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
