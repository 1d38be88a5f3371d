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

// progressEvery is how often progress is reported.
const progressEvery = 2 * time.Second

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
		if _, err := carrierNamed(name); err != nil {
			return nil, err
		}
	}
	for _, n := range sizes {
		if err := CheckSize(n); err != nil {
			return nil, fmt.Errorf("relays: %w", err)
		}
	}
	for _, s := range scenarios {
		own := sizes
		if len(own) == 0 {
			for _, n := range s.Relays {
				own = append(own, int(n))
			}
		}
		for _, name := range carrierNames {
			if c, _ := carrierNamed(name); !s.fits(c) {
				continue
			}
			for _, n := range own {
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
	workers int
	note    func(string)
	// exclusive is held, by a run that measures its heap, against all others.
	exclusive sync.RWMutex
}

// NewPool returns one for so many runs at a time. Progress is reported to note from several goroutines.
func NewPool(workers int, note func(string)) *Pool {
	return &Pool{workers: max(workers, 1), note: note}
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
				r, err := p.Play(ctx, job)
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

// Play plays one run, on a thread of its own.
func (p *Pool) Play(ctx context.Context, job Job) (*Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := time.Now()
	carrier, err := carrierNamed(job.Carrier)
	if err != nil {
		return nil, err
	}
	p.exclusive.RLock()
	defer p.exclusive.RUnlock()
	f, err := newFleet(ctx, job.Scenario.forSize(job.Relays), carrier, job.Relays, job.Seed)
	if err != nil {
		return nil, err
	}
	var peak atomic.Uint64
	stop := watchHeap(&peak)
	defer stop()
	cpuBegan := threadProcessor()
	reported := time.Now()
	err = f.run(p.yield, func(done, whole time.Duration) {
		if time.Since(reported) >= progressEvery {
			reported = time.Now()
			p.note(fmt.Sprintf("%v: %.1f of %.1f s", job, done.Seconds(), whole.Seconds()))
		}
	})
	if err != nil {
		return nil, err
	}
	thread, wall := threadProcessor()-cpuBegan, time.Since(began)
	r := f.result(job.Carrier, job.Seed)
	r.Cost = Cost{Processor: f.processor(), Wall: wall.Seconds(), ThreadProcessor: thread.Seconds(), Code: float64(f.used) / float64(max(thread, 1))}
	r.Cost.HeapPerRelay = p.heapOf(&f) / float64(job.Relays)
	r.Cost.PeakHeap = peak.Load()
	p.note(fmt.Sprintf("%v: over in %.1f s", job, time.Since(began).Seconds()))
	return r, nil
}

// yield lets a run that measures its heap go first.
func (p *Pool) yield() {
	p.exclusive.RUnlock()
	p.exclusive.RLock()
}

// heapOf is what a fleet holds: the heap with it, less the heap without it, while no other run goes on. The fleet is gone then.
func (p *Pool) heapOf(f **fleet) float64 {
	p.exclusive.RUnlock()
	p.exclusive.Lock()
	with := heapNow()
	runtime.KeepAlive(*f)
	*f = nil
	without := heapNow()
	p.exclusive.Unlock()
	p.exclusive.RLock()
	return max(float64(with)-float64(without), 0)
}

func heapNow() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapLookEvery is how often the heap is looked at for its peak.
const heapLookEvery = 100 * time.Millisecond

// watchHeap keeps the peak of the heap until it is stopped.
func watchHeap(peak *atomic.Uint64) (stop func()) {
	over := make(chan struct{})
	go func() {
		tick := time.NewTicker(heapLookEvery)
		defer tick.Stop()
		for {
			select {
			case <-over:
				return
			case <-tick.C:
				peak.Store(max(peak.Load(), heapInUse()))
			}
		}
	}()
	return func() { close(over) }
}

// threadProcessor is the processor time that this thread has had.
func threadProcessor() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
