package slopes

import (
	"context"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// processCPUTime returns the user and system processor time of this process so far. Other processes on the
// machine affect it less than any other reading.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// threadCPUTime returns the processor time of the calling thread so far. The goroutine must be locked to the thread.
func threadCPUTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// measureThreadCPU runs f with its goroutine locked to a thread and returns the processor time that the thread used.
func measureThreadCPU(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadCPUTime()
	f()
	return threadCPUTime() - start
}

// heapBytes returns the bytes of the heap that are still in use.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // frees what the finalizers of the first collection released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// settledHeapBytes returns the heap once it stops falling from one reading to the next. Timers of earlier measurements keep a part of the
// heap in use for seconds.
func settledHeapBytes(ctx context.Context, pause time.Duration) (float64, error) {
	const (
		maxChecks      = 30   // maximum number of readings
		toleranceShare = 0.01 // share of the heap
		minFallBytes   = 1e6  // a smaller fall counts as none
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

// quantile returns the value below which the share rank of the list lies. It sorts the list.
func quantile[T ~int64 | ~float64](list []T, rank float64) T {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(rank*float64(len(list))), len(list)-1)]
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latenessInterval is the time between two measurements of the lateness of timers.
const latenessInterval = 5 * time.Millisecond

// timerLateness measures how late the timers of this process fire. In a CPU-starved process, members miss each other's answers, and the
// resulting costs are an artifact of the measurement. The results are sound while the lateness is far below the half second that a probe
// waits for its answer.
type timerLateness struct {
	stop chan struct{}
	done chan []time.Duration
}

// watchTimerLateness measures until finish is called or ctx ends.
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

// finish ends the measurement and returns the 99th percentile (99 %) of the lateness.
func (l *timerLateness) finish() time.Duration {
	close(l.stop)
	return quantile(<-l.done, 0.99)
}
