// Package servermodel models the servers of partners in virtual time: queues, rate limits and faults. The events of a simulation drive
// each queue, and the queue reports each job that leaves it. The tests compare the queues with closed formulas from Kleinrock, Queueing
// Systems, vol. 1, 1975, and Harchol-Balter, Performance Modeling and Design of Computer Systems, 2013.
package servermodel

import (
	"container/heap"
	"time"

	"slatemux/internal/lab/emulator"
)

// DepartureFunc is called when a job leaves a queue: served after its sojourn time, or refused because the queue is full.
type DepartureFunc func(job int, served bool, sojourn time.Duration)

// FIFO is a number of servers with one queue in front of them (M/M/c/K, Kleinrock ch. 3).
type FIFO struct {
	sim       *emulator.Sim
	servers   int
	MaxQueued int // 0 for an unbounded queue
	busy      int
	queue     []queuedJob
	departed  DepartureFunc
}

// queuedJob is a job that waits or is served.
type queuedJob struct {
	job     int
	work    time.Duration
	arrived emulator.Time
}

// NewFIFO returns a FIFO server.
func NewFIFO(sim *emulator.Sim, servers int, done DepartureFunc) *FIFO {
	return &FIFO{sim: sim, servers: max(servers, 1), departed: done}
}

// Arrive adds a job with the given work.
func (f *FIFO) Arrive(job int, work time.Duration) {
	w := queuedJob{job, work, f.sim.Now()}
	if f.busy < f.servers {
		f.start(w)
		return
	}
	if f.MaxQueued > 0 && len(f.queue) >= f.MaxQueued {
		f.departed(job, false, 0)
		return
	}
	f.queue = append(f.queue, w)
}

// start serves a job on a free server.
func (f *FIFO) start(w queuedJob) {
	f.busy++
	f.sim.After(w.work, emulator.AnyPriority, func() {
		f.busy--
		f.departed(w.job, true, (f.sim.Now() - w.arrived).Duration())
		if len(f.queue) > 0 {
			next := f.queue[0]
			f.queue = f.queue[1:]
			f.start(next)
		}
	})
}

// Len returns the number of jobs that wait or are served.
func (f *FIFO) Len() int { return f.busy + len(f.queue) }

// PS is one server with processor sharing: all jobs are served at once with equal shares (M/G/1-PS, Harchol-Balter ch. 22). It counts
// the service that a job present since the start would have received, so that a change in the number of jobs costs one heap operation.
type PS struct {
	sim                 *emulator.Sim
	departed            DepartureFunc
	attainedSeconds     float64 // service, in seconds, that a job present since the start would have received
	updatedAt           emulator.Time
	jobs                jobHeap
	departureGeneration uint64 // number of the scheduled departure; earlier ones are void
}

// sharedJob is a job of a processor-sharing server.
type sharedJob struct {
	finishSeconds float64 // value of attainedSeconds at which the job is finished
	job           int
	arrived       emulator.Time
}

// jobHeap is a heap of jobs in the order in which they finish.
type jobHeap []sharedJob

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].finishSeconds < h[j].finishSeconds || h[i].finishSeconds == h[j].finishSeconds && h[i].job < h[j].job
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(sharedJob)) }
func (h *jobHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// NewPS returns a processor-sharing server.
func NewPS(sim *emulator.Sim, done DepartureFunc) *PS { return &PS{sim: sim, departed: done} }

// advance adds the service since the last update.
func (p *PS) advance() {
	if n := len(p.jobs); n > 0 {
		p.attainedSeconds += (p.sim.Now() - p.updatedAt).Duration().Seconds() / float64(n)
	}
	p.updatedAt = p.sim.Now()
}

// Arrive adds a job with the given work.
func (p *PS) Arrive(job int, work time.Duration) {
	p.advance()
	heap.Push(&p.jobs, sharedJob{p.attainedSeconds + work.Seconds(), job, p.sim.Now()})
	p.schedule()
}

// schedule schedules the next departure and voids the one scheduled before.
func (p *PS) schedule() {
	p.departureGeneration++
	if len(p.jobs) == 0 {
		return
	}
	generation, remainingSeconds := p.departureGeneration, p.jobs[0].finishSeconds-p.attainedSeconds
	p.sim.After(time.Duration(max(remainingSeconds, 0)*float64(len(p.jobs))*1e9), emulator.AnyPriority, func() {
		if generation != p.departureGeneration {
			return
		}
		p.advance()
		t := heap.Pop(&p.jobs).(sharedJob)
		p.departed(t.job, true, (p.sim.Now() - t.arrived).Duration())
		p.schedule()
	})
}

// Len returns the number of jobs that wait or are served.
func (p *PS) Len() int { return len(p.jobs) }
