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
	// limitPerRelay is the destination's limit, in calls a second of each relay of the fleet.
	limitPerRelay = 4
	// measuredTime is how long the relays are measured.
	measuredTime = 10 * time.Second
	// limitsLevel is the priority level of all calls.
	limitsLevel = 1
)

// limitsCommand simulates the division of a limit among many relays in virtual time.
func limitsCommand() *cobra.Command {
	var relays []int
	var loss float64
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
			if loss < 0 || loss > 0.9 || seeds < 1 || seeds > 100 || slices.Min(relays) < 3 {
				return fmt.Errorf("fleet-limits: a loss of %v, %d seeds or fewer than 3 relays make no sense", loss, seeds)
			}
			return limitsTable(cmd.OutOrStdout(), relays, loss, seeds)
		},
	}
	c.Flags().IntSliceVar(&relays, "relays", []int{8, 60, 300, 1000}, "sizes of the fleet")
	c.Flags().Float64Var(&loss, "loss", 0.01, "share of packets between relays that are lost")
	c.Flags().IntVar(&seeds, "seeds", 2, "runs of each")
	return c
}

// limitsLoad is how the load is distributed over the relays.
type limitsLoad struct {
	name string
	// total is the load of all relays, as a share of the limit.
	total float64
	// hot is the first relay's share of the load.
	hot float64
	// loaded is the share of the other relays that have the rest.
	loaded float64
}

// limitsLoads are the loads of a fleet of so many relays.
func limitsLoads(relays int) []limitsLoad {
	n := float64(relays)
	return []limitsLoad{
		{name: "even, 1.3 of the limit", total: 1.3, hot: 1 / n, loaded: 1},
		{name: "half at one, 1.3", total: 1.3, hot: 0.5, loaded: 1},
		{name: "half at one, 0.85", total: 0.85, hot: 0.5, loaded: 1},
		{name: "at a tenth, 1.3", total: 1.3, hot: 10 / n, loaded: 0.1},
	}
}

// rates returns the load of each relay, in calls a second.
func (l *limitsLoad) rates(relays int) func(relay int) float64 {
	load := l.total * limitPerRelay * float64(relays)
	others := max(int(l.loaded*float64(relays))-1, 1)
	each := load * (1 - l.hot) / float64(others)
	return func(relay int) float64 {
		switch {
		case relay == 0:
			return load * min(l.hot, 1)
		case relay <= others:
			return max(each, 0)
		}
		return 0
	}
}

// limitsResult is the result of one run, or the sum or maximum over several.
type limitsResult struct {
	used       float64 // calls made, as a share of what could be made
	evenShares float64 // the same, if each relay kept to its own share
	first      float64 // calls of the first relay, as a share of its load
	others     float64 // calls of the other relays, as a share of theirs
	inForce    float64 // highest sum of rates, as a share of the limit
	afterRise  float64 // used, in the second after the first when the limit has doubled
	meanBytes  float64 // sent by a relay in a second
	mostBytes  float64 // sent by the busiest relay in a second
	cores      float64 // processor time of a relay, as a share of a core
}

// add adds a run.
func (r *limitsResult) add(run limitsResult) {
	r.used += run.used
	r.evenShares += run.evenShares
	r.first += run.first
	r.others += run.others
	r.inForce = max(r.inForce, run.inForce)
	r.afterRise += run.afterRise
	r.meanBytes += run.meanBytes
	r.mostBytes = max(r.mostBytes, run.mostBytes)
	r.cores += run.cores
}

// limitsTable prints a row for each size of the fleet and each load.
func limitsTable(w io.Writer, sizes []int, loss float64, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "relays\tload\tused\teven shares\tfirst relay\tothers\tin force\tafter a rise\tbytes/s, mean\tmost\tof a core")
	for _, relays := range sizes {
		for _, load := range limitsLoads(relays) {
			sum, err := limitsRuns(relays, &load, loss, seeds)
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
func limitsRuns(relays int, load *limitsLoad, loss float64, seeds int) (sum limitsResult, err error) {
	for seed := range uint64(seeds) {
		run, err := limitsRun(relays, loss, seed, load.rates(relays))
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
		sum.used/runs,
		sum.evenShares/runs,
		sum.first/runs,
		sum.others/runs,
		sum.inForce,
		sum.afterRise/runs,
		sum.meanBytes/runs,
		sum.mostBytes,
		100*sum.cores/runs)
}

// limitsRun simulates one fleet under one load, given in calls a second by relay.
func limitsRun(relays int, loss float64, seed uint64, load func(relay int) float64) (r limitsResult, err error) {
	limit := limitPerRelay * float64(relays)
	s, err := limits.New(relays, limit, seed)
	if err != nil {
		return r, err
	}
	s.PacketLoss = loss
	s.Load = func(relay int) (rates [allowance.PriorityLevels]float64) {
		rates[limitsLevel] = load(relay)
		return rates
	}
	demand := 0.0
	for i := range relays {
		demand += load(i)
		r.evenShares += min(load(i), limit/float64(relays))
	}
	possible := min(demand, limit)
	r.evenShares /= possible
	s.WarmUp()
	s.Run(2 * allowance.DefaultConfig(relays, 2).LoanDuration)
	r.measure(s, possible, load)
	s.Limit *= 2
	s.Run(time.Second)
	r.afterRise = s.Utilization(time.Second, min(demand, s.Limit))
	return r, nil
}

// measure runs a simulation that is at work, of which so many calls a second are possible.
func (r *limitsResult) measure(s *limits.Simulation, possible float64, load func(relay int) float64) {
	relays := len(s.Allocators)
	seconds := measuredTime.Seconds()
	clear(s.BytesSent)
	s.PeakRate = 0
	began := time.Now()
	r.used = s.Utilization(measuredTime, possible)
	r.cores = time.Since(began).Seconds() / seconds / float64(relays)
	r.inForce = s.PeakRate / s.Limit
	r.first = s.Used[0] / (load(0) * seconds)
	used, offered := 0.0, 0.0
	for i := 1; i < relays; i++ {
		used += s.Used[i]
		offered += load(i) * seconds
	}
	r.others = used / max(offered, 1e-9)
	for _, sent := range s.BytesSent {
		r.meanBytes += float64(sent) / seconds / float64(relays)
		r.mostBytes = max(r.mostBytes, float64(sent)/seconds)
	}
}
