package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/allowance"
	"slatemux/internal/lab/limits"
)

const (
	// limitCallsPerSecondPerRelay is the destination's limit in calls per second for each relay of the fleet.
	limitCallsPerSecondPerRelay = 4
	// measuredDuration is the virtual time for which the relays are measured.
	measuredDuration = 10 * time.Second
	// callLevel is the priority level of all calls.
	callLevel = 1
)

// limitsCommand simulates in virtual time how the limit of a destination is divided among many relays.
func limitsCommand() *cobra.Command {
	var relays []int
	var lossShare float64
	var seeds int
	c := &cobra.Command{
		Use:   "fleet-limits",
		Short: "Simulate how the limit of a partner is divided among many relays, in virtual time",
		Long: `Divide a limit of four calls per second per relay among the relays of a fleet. The load is even, or half of it is at one relay, or
all of it is at a tenth of the relays. The allocators are the relay's own code; links and loads are modelled. The table shows
which share of the limit or of the demand is used (and would be used with even shares), which share of their load the first relay and
the other relays serve, the highest sum of rates in force at once, the share that is used from 1 s to 2 s after the limit has
doubled, and the cost in bytes and processor time.`,
		Example: "  slatelab fleet-limits --relays 60,300 --seeds 2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if lossShare < 0 || lossShare > 0.9 || seeds < 1 || seeds > 100 || slices.Min(relays) < 3 {
				return fmt.Errorf("fleet-limits: --loss %v is not within 0 to 0.9, or --seeds %d is not within 1 to 100, or --relays has a size below 3", lossShare, seeds)
			}
			return limitsTable(cmd.OutOrStdout(), relays, lossShare, seeds)
		},
	}
	c.Flags().IntSliceVar(&relays, "relays", []int{8, 60, 300, 1000}, "sizes of the fleet")
	c.Flags().Float64Var(&lossShare, "loss", 0.01, "share of packets between relays that are lost, 0 to 0.9")
	c.Flags().IntVar(&seeds, "seeds", 2, "runs, each with another seed, for each row of the table")
	return c
}

// limitsLoad describes how the load is distributed over the relays.
type limitsLoad struct {
	name string
	// totalShare is the load of all relays together, as a share of the limit.
	totalShare float64
	// firstRelayShare is the first relay's share of the load.
	firstRelayShare float64
	// loadedShare is the share of the relays that have load. The loaded relays other than the first divide the rest of the load evenly.
	loadedShare float64
}

// limitsLoads returns the loads that are simulated for a fleet of the given number of relays.
func limitsLoads(relays int) []limitsLoad {
	n := float64(relays)
	return []limitsLoad{
		{name: "even, 1.3 of the limit", totalShare: 1.3, firstRelayShare: 1 / n, loadedShare: 1},
		{name: "half at one, 1.3", totalShare: 1.3, firstRelayShare: 0.5, loadedShare: 1},
		{name: "half at one, 0.85", totalShare: 0.85, firstRelayShare: 0.5, loadedShare: 1},
		{name: "at a tenth, 1.3", totalShare: 1.3, firstRelayShare: 10 / n, loadedShare: 0.1},
	}
}

// rates returns the load of each relay in calls per second, by the relay's index.
func (l *limitsLoad) rates(relays int) func(relay int) float64 {
	load := l.totalShare * limitCallsPerSecondPerRelay * float64(relays)
	others := max(int(l.loadedShare*float64(relays))-1, 1)
	each := load * (1 - l.firstRelayShare) / float64(others)
	return func(relay int) float64 {
		switch {
		case relay == 0:
			return load * min(l.firstRelayShare, 1)
		case relay <= others:
			return max(each, 0)
		}
		return 0
	}
}

// limitsResult holds the results of one run, or the sums or maxima over several runs.
type limitsResult struct {
	utilization              float64 // calls made, as a share of the calls that limit and demand allow
	evenShareUtilization     float64 // utilization if each relay used only an even share of the limit
	firstRelayServedShare    float64 // calls that the first relay makes, as a share of its load
	otherRelaysServedShare   float64 // calls that the other relays make, as a share of their load
	maxRateShare             float64 // highest sum of the relays' rates in force at once, as a share of the limit
	utilizationAfterIncrease float64 // utilization from 1 s to 2 s after the limit has doubled
	meanBytesPerSecond       float64 // sent by a relay in a second, mean over the relays
	maxBytesPerSecond        float64 // sent in a second by the relay that sends most
	coreShare                float64 // processor time of a relay, as a share of a core
}

// add adds the results of a run.
func (r *limitsResult) add(run limitsResult) {
	r.utilization += run.utilization
	r.evenShareUtilization += run.evenShareUtilization
	r.firstRelayServedShare += run.firstRelayServedShare
	r.otherRelaysServedShare += run.otherRelaysServedShare
	r.maxRateShare = max(r.maxRateShare, run.maxRateShare)
	r.utilizationAfterIncrease += run.utilizationAfterIncrease
	r.meanBytesPerSecond += run.meanBytesPerSecond
	r.maxBytesPerSecond = max(r.maxBytesPerSecond, run.maxBytesPerSecond)
	r.coreShare += run.coreShare
}

// limitsTable prints one row for each size of the fleet and each load.
func limitsTable(w io.Writer, sizes []int, lossShare float64, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "relays\tload\tused\teven shares\tfirst relay\tothers\tin force\tafter a rise\tbytes/s, mean\tmost\tof a core")
	for _, relays := range sizes {
		for _, load := range limitsLoads(relays) {
			sum, err := limitsRuns(relays, &load, lossShare, seeds)
			if err != nil {
				return err
			}
			printLimitsRow(t, relays, load.name, &sum, float64(seeds))
			if err := t.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// limitsRuns makes one run for each seed and adds up the results.
func limitsRuns(relays int, load *limitsLoad, lossShare float64, seeds int) (sum limitsResult, err error) {
	for seed := range uint64(seeds) {
		run, err := limitsRun(relays, lossShare, seed, load.rates(relays))
		if err != nil {
			return sum, err
		}
		sum.add(run)
	}
	return sum, nil
}

// printLimitsRow prints the mean of the sums over the runs, and the maxima.
func printLimitsRow(w io.Writer, relays int, load string, sum *limitsResult, runs float64) {
	fmt.Fprintf(w, "%d\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.2f %%\n",
		relays,
		load,
		sum.utilization/runs,
		sum.evenShareUtilization/runs,
		sum.firstRelayServedShare/runs,
		sum.otherRelaysServedShare/runs,
		sum.maxRateShare,
		sum.utilizationAfterIncrease/runs,
		sum.meanBytesPerSecond/runs,
		sum.maxBytesPerSecond,
		100*sum.coreShare/runs)
}

// limitsRun simulates one fleet under one load; load returns the calls per second of a relay.
func limitsRun(relays int, lossShare float64, seed uint64, load func(relay int) float64) (r limitsResult, err error) {
	limit := limitCallsPerSecondPerRelay * float64(relays)
	s, err := limits.New(relays, limit, seed)
	if err != nil {
		return r, err
	}
	s.PacketLoss = lossShare
	s.Load = func(relay int) (rates [allowance.PriorityLevels]float64) {
		rates[callLevel] = load(relay)
		return rates
	}
	demand := 0.0
	for i := range relays {
		demand += load(i)
		r.evenShareUtilization += min(load(i), limit/float64(relays))
	}
	possible := min(demand, limit)
	r.evenShareUtilization /= possible
	s.WarmUp()
	s.Run(2 * allowance.DefaultConfig(relays, 2).LoanDuration)
	r.measure(s, possible, load)
	s.Limit *= 2
	s.Run(time.Second)
	r.utilizationAfterIncrease = s.Utilization(time.Second, min(demand, s.Limit))
	return r, nil
}

// measure runs a simulation that has warmed up and records the results. possible is the rate, in calls per
// second, that limit and demand allow.
func (r *limitsResult) measure(s *limits.Simulation, possible float64, load func(relay int) float64) {
	relays := len(s.Allocators)
	seconds := measuredDuration.Seconds()
	clear(s.BytesSent)
	s.PeakRate = 0
	started := time.Now()
	r.utilization = s.Utilization(measuredDuration, possible)
	r.coreShare = time.Since(started).Seconds() / seconds / float64(relays)
	r.maxRateShare = s.PeakRate / s.Limit
	r.firstRelayServedShare = s.Used[0] / (load(0) * seconds)
	used, offered := 0.0, 0.0
	for i := 1; i < relays; i++ {
		used += s.Used[i]
		offered += load(i) * seconds
	}
	r.otherRelaysServedShare = used / max(offered, 1e-9)
	for _, sent := range s.BytesSent {
		r.meanBytesPerSecond += float64(sent) / seconds / float64(relays)
		r.maxBytesPerSecond = max(r.maxBytesPerSecond, float64(sent)/seconds)
	}
}
