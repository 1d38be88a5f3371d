// Package servermodel holds the laboratory's servers. Each is driven by emulator's events and reports when a job leaves;
// the formulas that test them are in the textbooks named beside each (Kleinrock, Queueing Systems, vol. 1,
// 1975; Harchol-Balter, Performance Modeling and Design of Computer Systems, 2013).
package servermodel

import (
	"container/heap"
	"time"

	"slatemux/internal/lab/emulator"
)

// Done is told when a job leaves: served, or turned away where the queue is full.
type Done func(job int, served bool, sojourn time.Duration)

// FIFO is c servers and a queue of at most Limit jobs in front of them (M/M/c/K, Kleinrock ch. 3); Limit 0
// means no bound.
type FIFO struct {
	sim     *emulator.Sim
	servers int
	Limit   int
	busy    int
	queue   []waiting
	done    Done
}

type waiting struct {
	job     int
	work    time.Duration
	arrived emulator.Time
}

// NewFIFO returns a FIFO server.
func NewFIFO(sim *emulator.Sim, servers int, done Done) *FIFO {
	return &FIFO{sim: sim, servers: max(servers, 1), done: done}
}

// Arrive brings a job of so much work.
func (f *FIFO) Arrive(job int, work time.Duration) {
	w := waiting{job, work, f.sim.Now()}
	if f.busy < f.servers {
		f.start(w)
		return
	}
	if f.Limit > 0 && len(f.queue) >= f.Limit {
		f.done(job, false, 0)
		return
	}
	f.queue = append(f.queue, w)
}

func (f *FIFO) start(w waiting) {
	f.busy++
	f.sim.After(w.work, emulator.Any, func() {
		f.busy--
		f.done(w.job, true, (f.sim.Now() - w.arrived).Duration())
		if len(f.queue) > 0 {
			next := f.queue[0]
			f.queue = f.queue[1:]
			f.start(next)
		}
	})
}

// Len is the number of jobs in it.
func (f *FIFO) Len() int { return f.busy + len(f.queue) }

// PS shares one server evenly among all jobs in it (M/G/1-PS, Harchol-Balter ch. 22). It keeps the service
// that each job would have had since the start, so that a change in the number of jobs costs one heap step.
type PS struct {
	sim      *emulator.Sim
	done     Done
	attained float64 // service a job that was there all along would have had, in seconds
	at       emulator.Time
	jobs     tags
	gen      uint64 // of the departure that is scheduled; older ones are void
}

type tag struct {
	finish  float64 // attained service at which the job is done
	job     int
	arrived emulator.Time
}

type tags []tag

func (t tags) Len() int { return len(t) }
func (t tags) Less(i, j int) bool {
	return t[i].finish < t[j].finish || t[i].finish == t[j].finish && t[i].job < t[j].job
}
func (t tags) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tags) Push(x any)   { *t = append(*t, x.(tag)) }
func (t *tags) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// NewPS returns a processor-sharing server.
func NewPS(sim *emulator.Sim, done Done) *PS { return &PS{sim: sim, done: done} }

func (p *PS) advance() {
	if n := len(p.jobs); n > 0 {
		p.attained += (p.sim.Now() - p.at).Duration().Seconds() / float64(n)
	}
	p.at = p.sim.Now()
}

// Arrive brings a job of so much work.
func (p *PS) Arrive(job int, work time.Duration) {
	p.advance()
	heap.Push(&p.jobs, tag{p.attained + work.Seconds(), job, p.sim.Now()})
	p.schedule()
}

func (p *PS) schedule() {
	p.gen++
	if len(p.jobs) == 0 {
		return
	}
	gen, left := p.gen, p.jobs[0].finish-p.attained
	p.sim.After(time.Duration(max(left, 0)*float64(len(p.jobs))*1e9), emulator.Any, func() {
		if gen != p.gen {
			return
		}
		p.advance()
		t := heap.Pop(&p.jobs).(tag)
		p.done(t.job, true, (p.sim.Now() - t.arrived).Duration())
		p.schedule()
	})
}

// Len is the number of jobs in it.
func (p *PS) Len() int { return len(p.jobs) }
