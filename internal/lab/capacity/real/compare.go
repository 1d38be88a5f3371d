package real

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"slatemux/internal/lab/capacity"
	"slatemux/internal/lab/capacity/capacityv1"
)

// Settings of the simulator for a comparison.
const (
	simulatedWarmUp     = 5 * time.Second
	timeAfterLastChange = 15 * time.Second // time for the last change to reach all relays
	spreadCarrier       = "spread"
	configsyncCarrier   = "configsync"
	entryValueBytes     = 4 // length of "down"
)

// Model holds the simulator's results for the fleet of a Config.
type Model struct {
	IdleSpread, IdleConfiguration *capacity.Result
	Bans, Entries                 *capacity.Result
}

// Simulate simulates the fleet of a Config in virtual time, with all relays in one zone and with the links of the Config.
func Simulate(ctx context.Context, config Config) (*Model, error) {
	m := &Model{}
	millis := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	topology := &capacityv1.Topology{Regions: new(int32(1)), Zones: new(int32(1)), Loss: new(config.Loss),
		InZone: &capacityv1.DelayRange{MinMs: millis(config.Delay), MaxMs: millis(config.Delay + config.Jitter)}}
	idle := &capacityv1.CapacityScenario{Name: "idle", LengthS: config.IdleDuration.Seconds(), WarmUpS: simulatedWarmUp.Seconds(), Topology: topology}
	length := time.Duration(config.Changes)*config.Interval + timeAfterLastChange
	changes := &capacityv1.CapacityScenario{Name: "changes", LengthS: length.Seconds(), WarmUpS: simulatedWarmUp.Seconds(), Topology: topology,
		Changes: &capacityv1.ConfigurationChanges{Count: int32(config.Changes), EveryS: config.Interval.Seconds(), ControlPoints: controlPoints,
			ValueBytes: entryValueBytes}}
	for _, x := range []struct {
		scenario *capacityv1.CapacityScenario
		carrier  string
		to       **capacity.Result
	}{{idle, spreadCarrier, &m.IdleSpread}, {idle, configsyncCarrier, &m.IdleConfiguration}, {changes, spreadCarrier, &m.Bans}, {changes, configsyncCarrier, &m.Entries}} {
		scenario, err := capacity.Check("the comparison", "", x.scenario)
		if err != nil {
			return nil, err
		}
		job := capacity.Job{Scenario: scenario, Carrier: x.carrier, Relays: config.Relays, Seed: config.Seed}
		if *x.to, err = capacity.NewPool(1, func(string) {}).RunJob(ctx, job); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// WriteTable writes the comparison of the measurement with the simulation as a table.
func WriteTable(w io.Writer, r *Result, m *Model) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%d real relays\tmeasured\tsimulated\terror of the simulator\n", r.Relays)
	row := func(name string, measured, simulated float64) {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.1f %%\n", name, measured, simulated, 100*(simulated/measured-1))
	}
	sent := func(r *capacity.Result) capacity.Distribution { return r.Traffic.Sent }
	row("idle, statements, mean (B/s)", r.SpreadBytesPerSecond.Mean, sent(m.IdleSpread).Mean)
	row("idle, statements, busiest (B/s)", r.SpreadBytesPerSecond.Busiest, sent(m.IdleSpread).Busiest)
	row("idle, configuration, mean (B/s)", r.ConfigurationBytesPerSecond.Mean, sent(m.IdleConfiguration).Mean)
	row("idle, configuration, busiest (B/s)", r.ConfigurationBytesPerSecond.Busiest, sent(m.IdleConfiguration).Busiest)
	for _, kind := range []struct {
		name  string
		times [][]float64
		model capacity.Reach
	}{{"ban", r.BanSeconds, m.Bans.Reach}, {"configuration entry", r.EntrySeconds, m.Entries.Reach}} {
		row(kind.name+", to half, median (s)", medianTime(kind.times, 0.5), kind.model.ToHalf.P50)
		row(kind.name+", to all, median (s)", medianTime(kind.times, 1), kind.model.ToAll.P50)
		row(kind.name+", to all, longest (s)", slices.Max(timesToReach(kind.times, 1)), kind.model.ToAll.Max)
	}
	fmt.Fprintf(t, "idle, all bytes sent, mean/busiest (B/s)\t%.0f/%.0f\t\tmemberlist's own and its acknowledgements included, headers of IP and UDP not\n", r.SentBytesPerSecond.Mean, r.SentBytesPerSecond.Busiest)
	fmt.Fprintf(t, "idle, processor, mean/busiest (%% of a core)\t%.3f/%.3f\t\twithout a part in the fleet %.3f/%.3f\n", 100*r.CPUShare.Mean, 100*r.CPUShare.Busiest,
		100*r.CPUShareWithoutFleet.Mean, 100*r.CPUShareWithoutFleet.Busiest)
	fmt.Fprintf(t, "idle, resident, mean/busiest (MB)\t%.1f/%.1f\t\twithout a part in the fleet %.1f/%.1f\n", r.ResidentBytes.Mean/1e6, r.ResidentBytes.Busiest/1e6,
		r.ResidentBytesWithoutFleet.Mean/1e6, r.ResidentBytesWithoutFleet.Busiest/1e6)
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "Measured times are up to %v later than the change, for relays show what they hold each %v and are asked each %v.\n", MaxLag, refreshInterval, pollInterval)
	return err
}

// timesToReach returns the time until a share of the relays had the change, for each change.
func timesToReach(changeTimes [][]float64, share float64) (list []float64) {
	for _, change := range changeTimes {
		sorted := slices.Sorted(slices.Values(change))
		list = append(list, sorted[max(int(share*float64(len(sorted))+0.999999), 1)-1])
	}
	return list
}

// medianTime returns the median over all changes of the time until a share of the relays had the change.
func medianTime(times [][]float64, share float64) float64 {
	list := slices.Sorted(slices.Values(timesToReach(times, share)))
	return list[(len(list)-1)/2]
}
