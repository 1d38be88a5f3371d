package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/fleets"
)

// faultsCommand plays a scenario of many real relays with faults between them.
func faultsCommand() *cobra.Command {
	var binary string
	var withoutFleet, quiet, showConnections bool
	var relays int
	var seed uint64
	c := &cobra.Command{
		Use:   "fleet-faults SCENARIO",
		Short: "Run a fleet of real relays with faults on the links between them",
		Long: `Start the relays of a scenario (protobuf text format, proto/slatemux/lab/v1/fleet.proto) round stand-in partners, with a
fault injector on every link between processes, let its timeline of faults happen under its load, and judge every message
over the whole fleet. Each second a line tells what relays hold of each other's word, beside what is so. Exit code 1 if a
rule was broken. Nothing leaves the loopback addresses.`,
		Example: "  slatelab fleet-faults example/faults/outage.textproto --binary bin/slatemux",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, err := fleets.Load(args[0])
			if err != nil {
				return err
			}
			if relays > 0 {
				scenario.Relays = int32(relays)
			}
			if scenario.WithoutFleet = min(scenario.WithoutFleet, scenario.Relays); withoutFleet {
				scenario.WithoutFleet = scenario.Relays
			}
			if seed > 0 {
				scenario.Seed = seed
			}
			dir, err := os.MkdirTemp("", "fleet-faults")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			out := cmd.OutOrStdout()
			fleet, err := fleets.Put(dir, binary, scenario, func(line string) {
				if !quiet {
					fmt.Fprintln(out, line)
				}
			})
			if err != nil {
				return err
			}
			defer fleet.Close()
			if err := fleet.Start(); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s: %d relays serve, %d of them in the fleet\n", scenario.Name, scenario.Relays, scenario.Relays-scenario.WithoutFleet)
			finished := make(chan struct{})
			printerDone := make(chan struct{})
			go func() {
				defer close(printerDone)
				tick := time.NewTicker(time.Second)
				defer tick.Stop()
				for {
					select {
					case <-finished:
						return
					case <-tick.C:
						if !quiet && !fleet.Began.IsZero() {
							fleet.Beliefs(out)
						}
					}
				}
			}()
			err = fleet.Play(cmd.Context())
			close(finished)
			<-printerDone
			if err != nil {
				return err
			}
			if err := fleet.Settle(time.Now().Add(60 * time.Second)); err != nil {
				return err
			}
			report := fleet.Judge()
			if err := report.Print(out); err != nil {
				return err
			}
			if showConnections {
				for _, p := range scenario.Partner {
					fmt.Fprintf(out, "connections to %s, by relay and quarter of a second:\n", p.Name)
					report.Tried(out, p, 0, scenario.LengthS)
				}
			}
			if n := len(report.Verdict.Breaches); n > 0 {
				return fmt.Errorf("%d rules broken", n)
			}
			return nil
		},
	}
	c.Flags().StringVar(&binary, "binary", "bin/slatemux", "the relay that is run")
	c.Flags().BoolVar(&withoutFleet, "alone", false, "run every relay without its fleet part, to compare")
	c.Flags().BoolVar(&quiet, "quiet", false, "print the report alone")
	c.Flags().BoolVar(&showConnections, "tries", false, "also print the connections that relays asked for, on a time line")
	c.Flags().IntVar(&relays, "relays", 0, "how many relays, instead of the scenario's")
	c.Flags().Uint64Var(&seed, "seed", 0, "the seed, instead of the scenario's")
	return c
}
