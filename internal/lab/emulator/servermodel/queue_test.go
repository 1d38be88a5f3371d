package servermodel

import (
	"math"
	"testing"
	"time"

	"slatemux/internal/lab/emulator"
)

// server is what the closed forms are checked against.
type server interface {
	Arrive(job int, work time.Duration)
}

// sojourn feeds Poisson arrivals at rate lambda and works drawn by size, and returns the mean time in the system.
func sojourn(t *testing.T, jobs int, lambda float64, size func(*emulator.Sim) time.Duration,
	make func(*emulator.Sim, Done) server) float64 {
	t.Helper()
	sim := emulator.New(11)
	arrivals := sim.Stream("arrivals")
	var sum float64
	var served int
	s := make(sim, func(_ int, ok bool, d time.Duration) {
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
		s.Arrive(i, size(sim))
		sim.After(time.Duration(arrivals.ExpFloat64()/lambda*1e9), emulator.Any, func() { next(i + 1) })
	}
	sim.At(0, emulator.Any, func() { next(0) })
	sim.Run(emulator.Time(math.MaxInt64))
	if served != jobs {
		t.Fatalf("%d of %d served", served, jobs)
	}
	return sum / float64(served)
}

func exp(mean float64) func(*emulator.Sim) time.Duration {
	var r interface{ ExpFloat64() float64 }
	return func(sim *emulator.Sim) time.Duration {
		if r == nil {
			r = sim.Stream("sizes")
		}
		return time.Duration(r.ExpFloat64() * mean * 1e9)
	}
}

func within(t *testing.T, name string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*want {
		t.Errorf("%s: mean sojourn %.4f s, closed form %.4f s", name, got, want)
	} else {
		t.Logf("%s: mean sojourn %.4f s, closed form %.4f s", name, got, want)
	}
}

// erlangC is the chance that a job waits in M/M/c (Kleinrock, eq. 3.40).
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / float64(c) / (1 - a/float64(c))
	return last / (sum + last)
}

func TestClosedForms(t *testing.T) {
	const jobs = 1_000_000
	fifo1 := func(sim *emulator.Sim, d Done) server { return NewFIFO(sim, 1, d) }
	within(t, "M/M/1", sojourn(t, jobs, 0.5, exp(1), fifo1), 1/(1-0.5), 0.01)
	fifo3 := func(sim *emulator.Sim, d Done) server { return NewFIFO(sim, 3, d) }
	lambda, mu, c := 2.4, 1.0, 3
	want := erlangC(c, lambda/mu)/(float64(c)*mu-lambda) + 1/mu
	within(t, "M/M/3", sojourn(t, jobs, lambda, exp(1), fifo3), want, 0.01)
	ps := func(sim *emulator.Sim, d Done) server { return NewPS(sim, d) }
	// M/G/1-PS is insensitive to the shape of the work: E[T] = E[S] / (1 - rho), here with fixed work.
	fixed := func(*emulator.Sim) time.Duration { return 200 * time.Millisecond }
	within(t, "M/D/1-PS", sojourn(t, jobs, 2.5, fixed, ps), 0.2/(1-0.5), 0.01)
	within(t, "M/M/1-PS", sojourn(t, jobs, 2.5, exp(0.2), ps), 0.2/(1-0.5), 0.01)
}

// A full queue turns jobs away, and they are told at once.
func TestQueueLimit(t *testing.T) {
	sim := emulator.New(1)
	var away int
	f := NewFIFO(sim, 1, func(_ int, ok bool, _ time.Duration) {
		if !ok {
			away++
		}
	})
	f.Limit = 2
	for i := range 5 {
		f.Arrive(i, time.Second)
	}
	if away != 2 || f.Len() != 3 {
		t.Fatalf("%d turned away, %d in", away, f.Len())
	}
	sim.Run(emulator.Time(10 * time.Second))
	if f.Len() != 0 {
		t.Fatalf("%d left in", f.Len())
	}
}
