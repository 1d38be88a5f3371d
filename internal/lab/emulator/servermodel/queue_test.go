package servermodel

import (
	"math"
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
)

// server is a queue that is compared with a closed formula.
type server interface {
	Arrive(job int, work time.Duration)
}

// meanSojourn returns the mean time in the system for Poisson arrivals at rate lambda, in jobs a second, with work from drawWork.
func meanSojourn(t *testing.T, jobs int, lambda float64, drawWork func(*emulator.Sim) time.Duration,
	newServer func(*emulator.Sim, DepartureFunc) server) float64 {
	t.Helper()
	sim := emulator.New(11)
	arrivals := sim.Stream("arrivals")
	var sum float64
	var served int
	s := newServer(sim, func(_ int, ok bool, d time.Duration) {
		if ok {
			sum += d.Seconds()
			served++
		}
	})
	var next func(int)
	next = func(i int) {
		if i == jobs {
			return
		}
		s.Arrive(i, drawWork(sim))
		sim.After(time.Duration(arrivals.ExpFloat64()/lambda*1e9), emulator.AnyPriority, func() { next(i + 1) })
	}
	sim.At(0, emulator.AnyPriority, func() { next(0) })
	sim.Run(emulator.Time(math.MaxInt64))
	if served != jobs {
		t.Fatalf("%d of %d served", served, jobs)
	}
	return sum / float64(served)
}

// exponentialWork returns a function that draws exponentially distributed work with a mean in seconds.
func exponentialWork(mean float64) func(*emulator.Sim) time.Duration {
	var r interface{ ExpFloat64() float64 }
	return func(sim *emulator.Sim) time.Duration {
		if r == nil {
			r = sim.Stream("sizes")
		}
		return time.Duration(r.ExpFloat64() * mean * 1e9)
	}
}

// checkMean checks that a mean differs from its closed formula by at most a relative tolerance.
func checkMean(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: mean sojourn %.4f s, closed form %.4f s", name, got, want)
	} else {
		t.Logf("%s: mean sojourn %.4f s, closed form %.4f s", name, got, want)
	}
}

// erlangC returns the probability that a job waits in M/M/c (Kleinrock, eq. 3.40).
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	waitingTerm := term * a / float64(c) / (1 - a/float64(c))
	return waitingTerm / (sum + waitingTerm)
}

// Checks the mean sojourn times of FIFO and PS against the closed formulas of queueing theory.
func TestMeanSojournMatchesClosedForms(t *testing.T) {
	const jobs = 1_000_000
	fifo1 := func(sim *emulator.Sim, d DepartureFunc) server { return NewFIFO(sim, 1, d) }
	checkMean(t, "M/M/1", meanSojourn(t, jobs, 0.5, exponentialWork(1), fifo1), 1/(1-0.5), 0.01)
	fifo3 := func(sim *emulator.Sim, d DepartureFunc) server { return NewFIFO(sim, 3, d) }
	lambda, mu, c := 2.4, 1.0, 3
	want := erlangC(c, lambda/mu)/(float64(c)*mu-lambda) + 1/mu
	checkMean(t, "M/M/3", meanSojourn(t, jobs, lambda, exponentialWork(1), fifo3), want, 0.01)
	ps := func(sim *emulator.Sim, d DepartureFunc) server { return NewPS(sim, d) }
	// M/G/1-PS depends only on the mean of the work, not on its distribution: E[T] = E[S] / (1 - rho). Here the work is constant.
	fixed := func(*emulator.Sim) time.Duration { return 200 * time.Millisecond }
	checkMean(t, "M/D/1-PS", meanSojourn(t, jobs, 2.5, fixed, ps), 0.2/(1-0.5), 0.01)
	checkMean(t, "M/M/1-PS", meanSojourn(t, jobs, 2.5, exponentialWork(0.2), ps), 0.2/(1-0.5), 0.01)
}

// Checks that a full queue refuses jobs and reports them at once.
func TestFullQueueRefusesJobs(t *testing.T) {
	sim := emulator.New(1)
	var refused int
	f := NewFIFO(sim, 1, func(_ int, ok bool, _ time.Duration) {
		if !ok {
			refused++
		}
	})
	f.MaxQueued = 2
	for i := range 5 {
		f.Arrive(i, time.Second)
	}
	if refused != 2 || f.Len() != 3 {
		t.Fatalf("%d jobs refused, %d in the system, want 2 and 3", refused, f.Len())
	}
	sim.Run(emulator.Time(10 * time.Second))
	if f.Len() != 0 {
		t.Fatalf("%d jobs left in the system", f.Len())
	}
}
