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

// processReadInterval is the minimum interval between two reads of memory use, runtime metrics or the CPU quota. Such a read
// costs more than a read of the clocks.
const processReadInterval = 250 * time.Millisecond

// processReading holds the values that are read at most once per processReadInterval.
type processReading struct {
	rssBytes, heapBytes int64
	gcShare             float64
	schedP99            time.Duration
}

// processSampler reads memory use and runtime metrics of this process. It is not safe for concurrent use.
type processSampler struct {
	self    procfs.Proc
	hasProc bool
	samples []metrics.Sample
	readAt  time.Time
	last    processReading
}

// Names of the runtime metrics that processSampler reads.
const (
	heapObjectsMetric  = "/memory/classes/heap/objects:bytes"
	heapUnusedMetric   = "/memory/classes/heap/unused:bytes"
	gcCPUMetric        = "/cpu/classes/gc/total:cpu-seconds"
	totalCPUMetric     = "/cpu/classes/total:cpu-seconds"
	idleCPUMetric      = "/cpu/classes/idle:cpu-seconds"
	schedLatencyMetric = "/sched/latencies:seconds"
)

// newProcessSampler returns a sampler for this process. Without access to /proc it reports 0 bytes of resident memory.
func newProcessSampler() *processSampler {
	p := &processSampler{}
	var err error
	p.self, err = procfs.Self()
	p.hasProc = err == nil
	for _, name := range []string{heapObjectsMetric, heapUnusedMetric, gcCPUMetric, totalCPUMetric, idleCPUMetric, schedLatencyMetric} {
		p.samples = append(p.samples, metrics.Sample{Name: name})
	}
	return p
}

// read returns the last reading if it is younger than processReadInterval, and a new one otherwise.
func (p *processSampler) read(now time.Time) processReading {
	if now.Sub(p.readAt) < processReadInterval {
		return p.last
	}
	p.readAt = now
	if p.hasProc {
		if mem, err := p.self.Statm(); err == nil {
			p.last.rssBytes = int64(mem.ResidentBytes())
		}
	}
	metrics.Read(p.samples)
	p.last.heapBytes = int64(p.samples[0].Value.Uint64() + p.samples[1].Value.Uint64())
	if used := p.samples[3].Value.Float64() - p.samples[4].Value.Float64(); used > 0 {
		p.last.gcShare = p.samples[2].Value.Float64() / used
	}
	p.last.schedP99 = quantileUpperBound(p.samples[5].Value.Float64Histogram(), 0.99)
	return p.last
}

// quantileUpperBound returns the upper bound of the histogram bucket that contains the quantile q. If that bound is infinite,
// it returns the lower bound. It returns 0 for an empty histogram.
func quantileUpperBound(h *metrics.Float64Histogram, q float64) time.Duration {
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

// cgroupCPUQuota returns a function that returns the CPU quota of the process's control group in cores. It supports cgroup
// versions 1 and 2. The function returns 0 if no quota is set or the quota cannot be read. It reads the file again after each
// processReadInterval, because a quota can change while the process runs.
func cgroupCPUQuota() func() float64 {
	path := ""
	if self, err := procfs.Self(); err == nil {
		if groups, err := self.Cgroups(); err == nil {
			path = quotaFile(groups, "/sys/fs/cgroup")
		}
	}
	if path == "" {
		return func() float64 { return 0 }
	}
	var readAt time.Time
	var quota float64
	return func() float64 {
		if now := time.Now(); now.Sub(readAt) >= processReadInterval {
			readAt, quota = now, readQuota(path)
		}
		return quota
	}
}

// quotaFile returns the path of the file that holds the quota: cpu.max in cgroup version 2, cpu.cfs_quota_us in version 1.
// It returns "" if there is no such file.
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

// readQuota returns the quota in cores, or 0 if the file sets no quota or cannot be parsed. A version 2 file holds quota and
// period in microseconds, such as "max 100000" or "50000 100000". A version 1 file holds only the quota; the period is in
// cpu.cfs_period_us in the same directory.
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
