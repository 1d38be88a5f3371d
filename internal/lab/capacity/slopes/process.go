package slopes

import (
	"context"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// processCPUTime is the processor time of this process so far, user and system. It is what other processes on the machine change least.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// threadCPUTime is the processor time of the calling thread so far. Its goroutine must be locked to the thread.
func threadCPUTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// measureThreadCPU runs f with its goroutine locked to a thread and returns the processor time of that thread.
func measureThreadCPU(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadCPUTime()
	f()
	return threadCPUTime() - start
}

// heapBytes is what the heap holds that is still in use.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second frees what the first one's finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// settledHeapBytes is the heap once it falls no more from one look to the next: timers of what was measured before hold some of it for
// seconds.
func settledHeapBytes(ctx context.Context, pause time.Duration) (float64, error) {
	const (
		maxChecks      = 30   // looks
		toleranceShare = 0.01 // of the heap
		minFallBytes   = 1e6  // bytes that a fall is told by at least
	)
	heap := heapBytes()
	for range maxChecks {
		if err := sleep(ctx, pause); err != nil {
			return 0, err
		}
		before := heap
		heap = heapBytes()
		if before-heap < max(toleranceShare*before, minFallBytes) {
			break
		}
	}
	return heap, nil
}

// quantile is the value under which the share q of a list lies. It sorts the list.
func quantile[T ~int64 | ~float64](list []T, rank float64) T {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(rank*float64(len(list))), len(list)-1)]
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latenessInterval is how often the lateness of timers is looked at.
const latenessInterval = 5 * time.Millisecond

// timerLateness watches how late this process's timers fire. Members that share a process that is short of processor time miss each
// other's answers, and what they cost then is the laboratory's doing: far under the half second that a probe waits, it is not.
type timerLateness struct {
	stop chan struct{}
	done chan []time.Duration
}

// watchTimerLateness watches until end is called or ctx ends.
func watchTimerLateness(ctx context.Context) *timerLateness {
	l := &timerLateness{stop: make(chan struct{}), done: make(chan []time.Duration, 1)}
	go func() {
		var delays []time.Duration
		for {
			due := time.Now().Add(latenessInterval)
			select {
			case <-ctx.Done():
				l.done <- delays
				return
			case <-l.stop:
				l.done <- delays
				return
			case <-time.After(latenessInterval):
				delays = append(delays, time.Since(due))
			}
		}
	}()
	return l
}

// finish ends the watch and returns what 99 % of the timers were late by at most.
func (l *timerLateness) finish() time.Duration {
	close(l.stop)
	return quantile(<-l.done, 0.99)
}
