package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/dispatch"
	"slatemux/internal/lab/emulator"
	"slatemux/internal/lab/emulator/gossip"
	"slatemux/internal/lab/emulator/servermodel"
	"slatemux/internal/lab/emulator/workload"
	"slatemux/internal/spread"
)

// scaleCommand simulates large fleets in virtual time, with and without gossip among the relays.
func scaleCommand() *cobra.Command {
	var relays []int
	var lossShare float64
	var seeds int
	c := &cobra.Command{
		Use:   "fleet-scale",
		Short: "Simulate large fleets in virtual time, with and without gossip among the relays",
		Long: `Run an emulated fleet: ten destinations with limits, and two messages per second per relay. The limits exceed the demand by half,
except that one destination gets more demand than its limit. Another destination is down for five seconds and then serves with reduced
capacity for a while. The relays' decisions are made by the relay's own code; links are modelled. The table shows how long a
statement takes to reach the relays, what gossip costs, and how gossip changes the calls and the worth of the delivered messages.`,
		Example: "  slatelab fleet-scale --relays 30,300 --seeds 2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if lossShare < 0 || lossShare > 0.9 || seeds < 1 || seeds > 100 {
				return fmt.Errorf("fleet-scale: --loss %v is not within 0 to 0.9, or --seeds %d is not within 1 to 100", lossShare, seeds)
			}
			return scaleTable(cmd.OutOrStdout(), relays, lossShare, seeds)
		},
	}
	c.Flags().IntSliceVar(&relays, "relays", []int{30, 300, 1000}, "sizes of the fleet")
	c.Flags().Float64Var(&lossShare, "loss", 0.01, "share of packets between relays that are lost, 0 to 0.9")
	c.Flags().IntVar(&seeds, "seeds", 2, "runs, each with another seed, for each row of the table")
	return c
}

// scaleExchangeInterval is the time between two gossip exchanges of a relay.
const scaleExchangeInterval = time.Second

// scaleScenario returns one run of a fleet of the given number of relays. Destination 0 is down from second 8 to second 13 and has reduced
// capacity afterwards; the limit of destination 1 is below its demand. A nil fleet means no gossip.
func scaleScenario(relays int, seed uint64, fleet *workload.GossipConfig) workload.Scenario {
	settings := dispatch.Settings{
		Classes: []dispatch.Class{{Name: "slot", Effect: dispatch.Safe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, LateWorth: 0.1}},
		Kinds:   []dispatch.Kind{{Name: "partner"}}, Zones: []dispatch.Zone{{Name: "z"}}, Zone: "z", Resolution: 5 * time.Millisecond,
		MaxCalls: 30, MaxOpen: 400, MaxAttempts: 8, ConnectTimeout: time.Second, KeepAlive: 5 * time.Second, CallsPerConn: 1,
		MaxRetryAfter: 3 * time.Second, SendRetryAfter: true, CanCancel: true, Weights: dispatch.RoughWeights, LateByHalves: true,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.23, Ramp: 13 * time.Second, OverloadMultiple: 1.5, OverloadFor: 1500 * time.Millisecond}}
	scenario := workload.Scenario{Seed: seed, Relays: relays, Settings: settings, Length: 30 * time.Second, Class: "slot", TimeLeft: 5 * time.Second,
		Fleet: fleet, Reports: true}
	for i := range 10 {
		demand := float64(relays) * 2 / 10
		limit := demand * 1.5
		destination := workload.Destination{Servers: relays, Work: 40 * time.Millisecond, MessagesPerSecond: demand}
		switch i {
		case 0:
			destination.Health = servermodel.Health{Faults: []servermodel.Fault{{From: emulator.Time(8 * time.Second), To: emulator.Time(13 * time.Second),
				State: servermodel.Down}}, StartShare: 0.23, ColdStartDuration: 13 * time.Second}
		case 1:
			limit = demand * 0.8
		}
		destination.Limit = servermodel.TokenBucket{Rate: limit, Burst: limit, ReportsWait: true, ChargesRefusals: true}
		scenario.Destinations = append(scenario.Destinations, destination)
	}
	return scenario
}

// scaleTable prints one row for each size of the fleet, with and without gossip. Sums are means over the seeds.
func scaleTable(w io.Writer, sizes []int, lossShare float64, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "relays\ttalk\tknown to all but 1%%\tto half\tbound\tbytes a second and relay\tworth\tcalls in the outage\tin the 2 s after\trefused\n")
	links := gossip.Links{Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Loss: lossShare}
	for _, relays := range sizes {
		for _, gossipEnabled := range []bool{false, true} {
			var scenarios []workload.Scenario
			for seed := range seeds {
				var fleet *workload.GossipConfig
				if gossipEnabled {
					fleet = &workload.GossipConfig{Links: links, ExchangeInterval: scaleExchangeInterval, BytesPerSecond: 4096, Quorum: 2}
				}
				scenarios = append(scenarios, scaleScenario(relays, uint64(seed+1), fleet))
			}
			results, err := workload.SimulateAll(scenarios, min(runtime.NumCPU(), 4))
			if err != nil {
				return err
			}
			var spreadTimes []time.Duration
			var bytesPerSecond, worth, callsInOutage, callsAfterOutage, refusedCalls float64
			for _, r := range results {
				spreadTimes = append(spreadTimes, r.Gossip.SpreadTimes...)
				bytesPerSecond += float64(r.Gossip.SentBytes) / 40 / float64(relays) / float64(seeds)
				worth += r.Worth() / float64(seeds)
				for _, c := range r.Calls {
					seconds := c.At.Duration().Seconds()
					if c.Destination == 0 && seconds >= 8 && seconds < 13 {
						callsInOutage += 1 / float64(seeds)
					} else if c.Destination == 0 && seconds >= 13 && seconds < 15 {
						callsAfterOutage += 1 / float64(seeds)
					}
					if c.Refused {
						refusedCalls += 1 / float64(seeds)
					}
				}
			}
			slices.Sort(spreadTimes)
			p99, p50, bound := "-", "-", "-"
			if len(spreadTimes) > 0 {
				p99, p50 = spreadTimes[len(spreadTimes)*99/100].Round(time.Millisecond).String(),
					spreadTimes[len(spreadTimes)/2].Round(time.Millisecond).String()
				bound = spread.Bound(relays, links.Delay+links.Jitter, lossShare, scaleExchangeInterval).Round(time.Millisecond).String()
			}
			fmt.Fprintf(t, "%d\t%v\t%s\t%s\t%s\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\n", relays, gossipEnabled, p99, p50, bound, bytesPerSecond, worth, callsInOutage, callsAfterOutage, refusedCalls)
			if err := t.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
