package capacity

// Result is what one run came to.
type Result struct {
	Scenario string `json:"scenario"`
	Carrier  string `json:"carrier"`
	Relays   int    `json:"relays"`
	Seed     uint64 `json:"seed"`
	Reach    Reach  `json:"reach"`
	// Bound is the time within which the program says that all know a change; 0 where it says nothing.
	BoundSeconds float64 `json:"bound_s,omitempty"`
	Traffic      Traffic `json:"traffic"`
	// Leases are the lengths that relays divide limits by.
	Leases *Leases `json:"leases,omitempty"`
	Counts Counts  `json:"counts"`
	Events uint64  `json:"events"`
	Cost   Cost    `json:"cost"`
}

// Leases are the lengths by which relays of a fleet of a size divide limits.
type Leases struct {
	ClaimSeconds float64 `json:"every_s"`
	LeaseSeconds float64 `json:"lease_s"`
	LoanSeconds  float64 `json:"loan_s"`
}

// Cost is what a run took of the machine. It differs from run to run.
type Cost struct {
	// Processor is the share of a core that the carrier's code took for a relay, in virtual time.
	CPUShare Distribution `json:"processor_share"`
	// HeapPerRelay is what a relay's process holds in the end, in bytes.
	HeapBytesPerRelay float64 `json:"heap_bytes_per_relay"`
	// PeakHeap is the highest of the whole process while this run went on, and of others beside it.
	PeakHeapBytes uint64  `json:"peak_heap_bytes"`
	WallSeconds   float64 `json:"wall_s"`
	// ThreadProcessor is the processor time of the run's thread, and Code the share of it that went to the carrier's code;
	// the rest is the event loop.
	ThreadCPUSeconds float64 `json:"thread_processor_s"`
	CodeShare        float64 `json:"code_share"`
}

// result sums up a run that is over.
func (f *fleet) result(carrier string, seed uint64) *Result {
	r := &Result{Scenario: f.scenario.Name, Carrier: carrier, Relays: len(f.relays), Seed: seed, BoundSeconds: f.carrier.Bound().Seconds(), Events: f.events}
	r.Reach = f.arrivals.summarize(f.isLive)
	r.Traffic = f.meter.traffic(f.isLive)
	for _, x := range f.relays {
		if x.node != nil {
			x.node.AddCounts(&r.Counts)
		}
	}
	if c, ok := f.carrier.(*limitsCarrier); ok {
		config := c.Config()
		r.Leases = &Leases{ClaimSeconds: config.HeartbeatInterval.Seconds(), LeaseSeconds: config.LeaseDuration.Seconds(), LoanSeconds: config.LoanDuration.Seconds()}
	}
	return r
}

// cpuShares is the share of a core that relays took during the measured time: what the run's thread used in the calls of the
// carrier's code. The collector's own threads are not in it, nor what a real relay takes for sockets, seals and timers.
func (f *fleet) cpuShares() Distribution {
	var list []float64
	for i, r := range f.relays {
		if f.isLive(i) {
			list = append(list, float64(r.cpuTime)/float64(f.scenario.Length))
		}
	}
	return distributionOf(list)
}
