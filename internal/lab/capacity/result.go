package capacity

// Result is the outcome of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Carrier  string `json:"carrier"`
	Relays   int    `json:"relays"`
	Seed     uint64 `json:"seed"`
	Reach    Reach  `json:"reach"`
	// BoundSeconds is the time within which the program promises that all relays know a change. It is 0 if there is no promise.
	BoundSeconds float64 `json:"bound_s,omitempty"`
	Traffic      Traffic `json:"traffic"`
	// Leases is set only for runs in which the relays divide limits.
	Leases *Leases `json:"leases,omitempty"`
	Counts Counts  `json:"counts"`
	Events uint64  `json:"events"`
	Cost   Cost    `json:"cost"`
}

// Leases holds the intervals and durations with which the relays of a fleet of this size divide limits.
type Leases struct {
	ClaimSeconds float64 `json:"every_s"`
	LeaseSeconds float64 `json:"lease_s"`
	LoanSeconds  float64 `json:"loan_s"`
}

// Cost is what a run used of the machine. It differs between runs of the same job.
type Cost struct {
	// CPUShare is the CPU time of the carrier's code for a relay, divided by the virtual time: the share of a core.
	CPUShare Distribution `json:"processor_share"`
	// HeapBytesPerRelay is the mean heap size of a relay at the end of the run.
	HeapBytesPerRelay float64 `json:"heap_bytes_per_relay"`
	// PeakHeapBytes is the largest heap of this whole process during the run, including the runs that are executed in parallel.
	PeakHeapBytes uint64  `json:"peak_heap_bytes"`
	WallSeconds   float64 `json:"wall_s"`
	// ThreadCPUSeconds is the CPU time of the run's thread. CodeShare is the share of the CPU time that the carrier's code used. The
	// event loop used the rest.
	ThreadCPUSeconds float64 `json:"thread_processor_s"`
	CodeShare        float64 `json:"code_share"`
}

// result summarizes a run that has ended. It leaves Cost empty.
func (f *fleet) result(carrier string, seed uint64) *Result {
	r := &Result{Scenario: f.scenario.Name, Carrier: carrier, Relays: len(f.relays), Seed: seed,
		BoundSeconds: f.carrier.Bound().Seconds(), Events: f.events}
	r.Reach = f.arrivals.summarize(f.isLive)
	r.Traffic = f.meter.traffic(f.isLive)
	for _, x := range f.relays {
		if x.node != nil {
			x.node.AddCounts(&r.Counts)
		}
	}
	if c, ok := f.carrier.(*limitsCarrier); ok {
		config := c.Config()
		r.Leases = &Leases{ClaimSeconds: config.HeartbeatInterval.Seconds(), LeaseSeconds: config.LeaseDuration.Seconds(),
			LoanSeconds: config.LoanDuration.Seconds()}
	}
	return r
}

// cpuShares returns the share of a core that each relay used during the measured time. It includes only the CPU time that the run's
// thread spent in the carrier's code. It includes neither the threads of the garbage collector nor the work of a real relay for
// sockets, packet encryption and timers.
func (f *fleet) cpuShares() Distribution {
	var list []float64
	for i, r := range f.relays {
		if f.isLive(i) {
			list = append(list, float64(r.cpuTime)/float64(f.scenario.Length))
		}
	}
	return distributionOf(list)
}
