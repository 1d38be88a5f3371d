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

// scaleCommand plays large fleets in virtual time, with the relays' talk and without.
func scaleCommand() *cobra.Command {
	var relays []int
	var loss float64
	var seeds int
	c := &cobra.Command{
		Use:   "fleet-scale",
		Short: "Play large fleets in virtual time, with and without talk among the relays",
		Long: `Play days of an emulated fleet: ten destinations with limits, two messages a second and relay, half of what the
limits allow more than is asked for; one destination is down for five seconds and comes back cold, one is asked for more than it
takes. The relays' decisions are the program's, the links are modelled. The table tells how long a statement takes to all,
what the talk costs, and what it changes.`,
		Example: "  slatelab fleet-scale --relays 30,300 --seeds 2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if loss < 0 || loss > 0.9 || seeds < 1 || seeds > 100 {
				return fmt.Errorf("fleet-scale: a loss of %v or %d seeds make no sense", loss, seeds)
			}
			return scaleTable(cmd.OutOrStdout(), relays, loss, seeds)
		},
	}
	c.Flags().IntSliceVar(&relays, "relays", []int{30, 300, 1000}, "sizes of the fleet")
	c.Flags().Float64Var(&loss, "loss", 0.01, "share of packets between relays that are lost")
	c.Flags().IntVar(&seeds, "seeds", 2, "days of each size")
	return c
}

const scaleExchange = time.Second

// scaleDay is one day of a size.
func scaleDay(relays int, seed uint64, fleet *workload.Fleet) workload.Day {
	set := dispatch.Settings{
		Classes: []dispatch.Class{{Name: "slot", Effect: dispatch.Safe, Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, LateWorth: 0.1}},
		Kinds:   []dispatch.Kind{{Name: "partner"}}, Zones: []dispatch.Zone{{Name: "z"}}, Zone: "z", Resolution: 5 * time.Millisecond,
		MaxCalls: 30, MaxOpen: 400, MaxAttempts: 8, ConnectTimeout: time.Second, KeepAlive: 5 * time.Second, CallsPerConn: 1,
		MaxRetryAfter: 3 * time.Second, SendRetryAfter: true, CanCancel: true, Weights: dispatch.RoughWeights, LateByHalves: true,
		Safety: dispatch.Safety{MinStartCapacityShare: 0.23, Ramp: 13 * time.Second, OverloadMultiple: 1.5, OverloadFor: 1500 * time.Millisecond}}
	d := workload.Day{Seed: seed, Relays: relays, Settings: set, Length: 30 * time.Second, Class: "slot", TimeLeft: 5 * time.Second, Fleet: fleet, Reports: true}
	for i := range 10 {
		demand := float64(relays) * 2 / 10
		limit := demand * 1.5
		dest := workload.Destination{Servers: relays, Work: 40 * time.Millisecond, Rate: demand}
		switch i {
		case 0:
			dest.Health = servermodel.Health{Spells: []servermodel.Spell{{From: emulator.Time(8 * time.Second), To: emulator.Time(13 * time.Second), State: servermodel.Down}}, StartShare: 0.23,
				Cold: 13 * time.Second}
		case 1:
			limit = demand * 0.8
		}
		dest.Limit = servermodel.Bucket{Rate: limit, Burst: limit, Tells: true, Draws: true}
		d.Destinations = append(d.Destinations, dest)
	}
	return d
}

func scaleTable(w io.Writer, sizes []int, loss float64, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "relays\ttalk\tknown to all but 1%%\tto half\tbound\tbytes a second and relay\tworth\tcalls in the outage\tin the 2 s after\trefused\n")
	links := gossip.Links{Delay: time.Millisecond, Jitter: 4 * time.Millisecond, Loss: loss}
	for _, n := range sizes {
		for _, talk := range []bool{false, true} {
			var days []workload.Day
			for seed := range seeds {
				var fleet *workload.Fleet
				if talk {
					fleet = &workload.Fleet{Links: links, Exchange: scaleExchange, Bytes: 4096, Agree: 2}
				}
				days = append(days, scaleDay(n, uint64(seed+1), fleet))
			}
			results, err := workload.Many(days, min(runtime.NumCPU(), 4))
			if err != nil {
				return err
			}
			var known []time.Duration
			var bytes, worth, outage, after, refused float64
			for _, r := range results {
				known = append(known, r.Told.Spread...)
				bytes += float64(r.Told.Bytes) / 40 / float64(n) / float64(seeds)
				worth += r.Worth() / float64(seeds)
				for _, c := range r.Calls {
					at := c.At.Duration().Seconds()
					if c.Destination == 0 && at >= 8 && at < 13 {
						outage += 1 / float64(seeds)
					} else if c.Destination == 0 && at >= 13 && at < 15 {
						after += 1 / float64(seeds)
					}
					if c.Refused {
						refused += 1 / float64(seeds)
					}
				}
			}
			slices.Sort(known)
			p99, p50, bound := "-", "-", "-"
			if len(known) > 0 {
				p99, p50 = known[len(known)*99/100].Round(time.Millisecond).String(), known[len(known)/2].Round(time.Millisecond).String()
				bound = spread.Bound(n, links.Delay+links.Jitter, loss, scaleExchange).Round(time.Millisecond).String()
			}
			fmt.Fprintf(t, "%d\t%v\t%s\t%s\t%s\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\n", n, talk, p99, p50, bound, bytes, worth, outage, after, refused)
			if err := t.Flush(); err != nil {
				return err
			}
		}
	}
	return nil
}
