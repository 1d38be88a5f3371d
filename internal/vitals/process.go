package vitals

import (
	"math"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/procfs"
)

// slowEvery is how often memory and the runtime's own figures are read: they cost more than the clocks.
const slowEvery = 250 * time.Millisecond

// slow holds the figures that are read at most every slowEvery.
type slow struct {
	rss, heap int64
	gc        float64
	sched     time.Duration
}

// process reads them; one goroutine at a time calls it.
type process struct {
	self    procfs.Proc
	ok      bool
	samples []metrics.Sample
	at      time.Time
	last    slow
}

const (
	heapLive, heapDead = "/memory/classes/heap/objects:bytes", "/memory/classes/heap/unused:bytes"
	gcTotal, cpuTotal  = "/cpu/classes/gc/total:cpu-seconds", "/cpu/classes/total:cpu-seconds"
	cpuIdle            = "/cpu/classes/idle:cpu-seconds"
	schedLatencies     = "/sched/latencies:seconds"
)

func newProcess() *process {
	p := &process{}
	var err error
	p.self, err = procfs.Self()
	p.ok = err == nil
	for _, name := range []string{heapLive, heapDead, gcTotal, cpuTotal, cpuIdle, schedLatencies} {
		p.samples = append(p.samples, metrics.Sample{Name: name})
	}
	return p
}

func (p *process) read(now time.Time) slow {
	if now.Sub(p.at) < slowEvery {
		return p.last
	}
	p.at = now
	if p.ok {
		if mem, err := p.self.Statm(); err == nil {
			p.last.rss = int64(mem.ResidentBytes())
		}
	}
	metrics.Read(p.samples)
	p.last.heap = int64(p.samples[0].Value.Uint64() + p.samples[1].Value.Uint64())
	if used := p.samples[3].Value.Float64() - p.samples[4].Value.Float64(); used > 0 {
		p.last.gc = p.samples[2].Value.Float64() / used
	}
	p.last.sched = upperQuantile(p.samples[5].Value.Float64Histogram(), 0.99)
	return p.last
}

// upperQuantile is the upper bound of the bucket in which the quantile of a runtime histogram lies.
func upperQuantile(h *metrics.Float64Histogram, q float64) time.Duration {
	total := uint64(0)
	for _, n := range h.Counts {
		total += n
	}
	if total == 0 {
		return 0
	}
	seen, rank := uint64(0), uint64(math.Ceil(q*float64(total)))
	for i, n := range h.Counts {
		if seen += n; seen >= rank {
			bound := h.Buckets[i+1]
			if math.IsInf(bound, 0) {
				bound = h.Buckets[i]
			}
			return time.Duration(bound * float64(time.Second))
		}
	}
	return 0
}

// cgroupQuota returns a function that tells how many cores the process's control group grants, in either
// version of control groups; 0 where none is set or nothing can be read. The file is read anew each time that
// slowEvery has passed, for a quota may change in service.
func cgroupQuota() func() float64 {
	path := ""
	if self, err := procfs.Self(); err == nil {
		if groups, err := self.Cgroups(); err == nil {
			path = quotaFile(groups, "/sys/fs/cgroup")
		}
	}
	if path == "" {
		return func() float64 { return 0 }
	}
	var at time.Time
	var quota float64
	return func() float64 {
		if now := time.Now(); now.Sub(at) >= slowEvery {
			at, quota = now, readQuota(path)
		}
		return quota
	}
}

// quotaFile finds the file that holds the quota: cpu.max of version 2, cpu.cfs_quota_us of version 1.
func quotaFile(groups []procfs.Cgroup, root string) string {
	for _, g := range groups {
		file := filepath.Join(root, g.Path, "cpu.max")
		for _, c := range g.Controllers {
			if c == "cpu" {
				file = filepath.Join(root, "cpu", g.Path, "cpu.cfs_quota_us")
			}
		}
		if _, err := os.Stat(file); err == nil {
			return file
		}
	}
	return ""
}

// readQuota reads "max 100000", "50000 100000", or a version 1 file whose period stands in the one beside it.
func readQuota(path string) float64 {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	words := strings.Fields(string(raw))
	if len(words) == 1 {
		period, err := os.ReadFile(filepath.Join(filepath.Dir(path), "cpu.cfs_period_us"))
		if err != nil {
			return 0
		}
		words = append(words, strings.TrimSpace(string(period)))
	}
	if len(words) != 2 {
		return 0
	}
	quota, err := strconv.ParseFloat(words[0], 64)
	period, err2 := strconv.ParseFloat(words[1], 64)
	if err != nil || err2 != nil || quota <= 0 || period <= 0 {
		return 0
	}
	return quota / period
}
