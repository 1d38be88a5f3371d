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

// progressInterval is the minimum wall-clock time between two progress reports of a run.
const progressInterval = 2 * time.Second

// Job describes one run.
type Job struct {
	Scenario *Scenario
	Carrier  string
	Relays   int
	Seed     uint64
}

// String returns the scenario, the carrier and the fleet size.
func (j Job) String() string {
	return fmt.Sprintf("%s, %s, %d relays", j.Scenario.Name, j.Carrier, j.Relays)
}

// NewJobs returns one job for each combination of a scenario, a carrier that can run the scenario, and a fleet size. If no sizes are
// given, the sizes of the scenario apply.
func NewJobs(scenarios []*Scenario, carrierNames []string, sizes []int, seed uint64) (jobs []Job, err error) {
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
		return nil, errors.New("capacity: no scenario suits any of the carriers, or no fleet size is given")
	}
	return jobs, nil
}

// Pool executes runs in parallel.
type Pool struct {
	workers        int
	reportProgress func(string)
	// heapLock is held for reading by each run. A run that measures its heap holds it for writing, so that all other runs pause.
	heapLock sync.RWMutex
}

// NewPool returns a pool that executes up to the given number of runs at a time. Several goroutines call reportProgress.
func NewPool(workers int, reportProgress func(string)) *Pool {
	return &Pool{workers: max(workers, 1), reportProgress: reportProgress}
}

// Run executes all jobs, the largest fleets first. It calls done once for each result, with one call at a time. The first error
// cancels the remaining runs.
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

// RunJob executes one run on its own operating system thread, so that the CPU time of the run can be measured.
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
			p.reportProgress(fmt.Sprintf("%v: %.1f of %.1f s of virtual time", job, elapsed.Seconds(), total.Seconds()))
		}
	})
	if err != nil {
		return nil, err
	}
	threadTime, wallTime := threadCPUTime()-cpuBefore, time.Since(started)
	r := f.result(job.Carrier, job.Seed)
	r.Cost = Cost{CPUShare: f.cpuShares(), WallSeconds: wallTime.Seconds(), ThreadCPUSeconds: threadTime.Seconds(),
		CodeShare: float64(f.cpuTime) / float64(max(threadTime, 1))}
	r.Cost.HeapBytesPerRelay = p.measureHeap(&f) / float64(job.Relays)
	r.Cost.PeakHeapBytes = peak.Load()
	p.reportProgress(fmt.Sprintf("%v: finished in %.1f s", job, time.Since(started).Seconds()))
	return r, nil
}

// awaitHeapMeasurement blocks while another run measures its heap.
func (p *Pool) awaitHeapMeasurement() {
	p.heapLock.RUnlock()
	p.heapLock.RLock()
}

// measureHeap returns the heap size of a fleet in bytes: the difference between the heap with and without the fleet, while all other
// runs pause. It sets the fleet to nil.
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

// heapSampleInterval is the time between two samples of the heap size.
const heapSampleInterval = 100 * time.Millisecond

// watchHeap stores the largest sampled heap size in peak until stop is called.
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

// threadCPUTime returns the CPU time that the current thread has used.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
