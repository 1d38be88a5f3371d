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
	// limitCallsPerSecondPerRelay is the destination's limit, in calls a second of each relay of the fleet.
	limitCallsPerSecondPerRelay = 4
	// measuredDuration is how long the relays are measured.
	measuredDuration = 10 * time.Second
	// callLevel is the priority level of all calls.
	callLevel = 1
)

// limitsCommand simulates the division of a limit among many relays in virtual time.
func limitsCommand() *cobra.Command {
	var relays []int
	var lossShare float64
	var seeds int
	c := &cobra.Command{
		Use:   "fleet-limits",
		Short: "Play the dividing of a partner's limit among many relays in virtual time",
		Long: `Divide a limit of four calls a second and relay among relays whose load is even, or half of it at one of them, or at a tenth of them
alone. The allocators are the program's, the links and the loads are modelled. The table tells how much of the limit or of the demand is
used (and would be with even shares), what the loaded relay and the others get of what they have, the most that was in force at once,
the use in the second after the first when the limit has doubled, and what it costs.`,
		Example: "  slatelab fleet-limits --relays 60,300 --seeds 2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if lossShare < 0 || lossShare > 0.9 || seeds < 1 || seeds > 100 || slices.Min(relays) < 3 {
				return fmt.Errorf("fleet-limits: a loss of %v, %d seeds or fewer than 3 relays make no sense", lossShare, seeds)
			}
			return limitsTable(cmd.OutOrStdout(), relays, lossShare, seeds)
		},
	}
	c.Flags().IntSliceVar(&relays, "relays", []int{8, 60, 300, 1000}, "sizes of the fleet")
	c.Flags().Float64Var(&lossShare, "loss", 0.01, "share of packets between relays that are lost")
	c.Flags().IntVar(&seeds, "seeds", 2, "runs of each")
	return c
}

// limitsLoad is how the load is distributed over the relays.
type limitsLoad struct {
	name string
	// total is the load of all relays, as a share of the limit.
	totalShare float64
	// hot is the first relay's share of the load.
	firstRelayShare float64
	// loaded is the share of the other relays that have the rest.
	loadedShare float64
}

// limitsLoads are the loads of a fleet of so many relays.
func limitsLoads(relays int) []limitsLoad {
	n := float64(relays)
	return []limitsLoad{
		{name: "even, 1.3 of the limit", totalShare: 1.3, firstRelayShare: 1 / n, loadedShare: 1},
		{name: "half at one, 1.3", totalShare: 1.3, firstRelayShare: 0.5, loadedShare: 1},
		{name: "half at one, 0.85", totalShare: 0.85, firstRelayShare: 0.5, loadedShare: 1},
		{name: "at a tenth, 1.3", totalShare: 1.3, firstRelayShare: 10 / n, loadedShare: 0.1},
	}
}

// rates returns the load of each relay, in calls a second.
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

// limitsResult is the result of one run, or the sum or maximum over several.
type limitsResult struct {
	utilization              float64 // calls made, as a share of what could be made
	evenShareUtilization     float64 // the same, if each relay kept to its own share
	firstRelayServedShare    float64 // calls of the first relay, as a share of its load
	otherRelaysServedShare   float64 // calls of the other relays, as a share of theirs
	maxRateShare             float64 // highest sum of rates, as a share of the limit
	utilizationAfterIncrease float64 // used, in the second after the first when the limit has doubled
	meanBytesPerSecond       float64 // sent by a relay in a second
	maxBytesPerSecond        float64 // sent by the busiest relay in a second
	coreShare                float64 // processor time of a relay, as a share of a core
}

// add adds a run.
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

// limitsTable prints a row for each size of the fleet and each load.
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

// limitsRuns adds up a run of each seed.
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

// limitsRun simulates one fleet under one load, given in calls a second by relay.
func limitsRun(relays int, lossShare float64, seed uint64, load func(relay int) float64) (r limitsResult, err error) {
	limit := limitCallsPerSecondPerRelay * float64(relays)
	s, err := limits.New(relays, limit, seed)
	if err != nil {
		return r, err
	}
	s.PacketLoss = lossShare
	s.Load = func(relay int) (rates [allowance.Levels]float64) {
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

// measure runs a simulation that is at work, of which so many calls a second are possible.
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
