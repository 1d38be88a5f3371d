package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/fleets"
)

// faultsCommand runs a scenario of many real relays with faults on the links between processes.
func faultsCommand() *cobra.Command {
	var binary string
	var withoutFleet, quiet, showConnections bool
	var relays int
	var seed uint64
	c := &cobra.Command{
		Use:   "fleet-faults SCENARIO",
		Short: "Run a fleet of real relays with faults on the links between processes",
		Long: `Start the relays of a scenario (protobuf text format, proto/slatemux/lab/v1/fleet.proto) together with stand-in partners and a
fault injector on every link between processes. Run the scenario's timeline of faults under the scenario's load, then check
the outcome of every message over the whole fleet. Once per second, a line compares what relays report about each partner
with the partner's actual state. The exit code is 1 if a rule is broken. All traffic stays on loopback addresses.`,
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
			fleet, err := fleets.New(dir, binary, scenario, func(line string) {
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
						if !quiet && !fleet.LoadStart.IsZero() {
							fleet.PrintStatements(out)
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
			if err := fleet.WaitUntilSettled(time.Now().Add(60 * time.Second)); err != nil {
				return err
			}
			report := fleet.Judge()
			if err := report.Print(out); err != nil {
				return err
			}
			if showConnections {
				for _, p := range scenario.Partner {
					fmt.Fprintf(out, "connections to %s, by relay and quarter of a second:\n", p.Name)
					report.PrintConnectionAttempts(out, p, 0, scenario.LengthS)
				}
			}
			if n := len(report.Verdict.Violations); n > 0 {
				return fmt.Errorf("fleet-faults: %d rules are broken", n)
			}
			return nil
		},
	}
	c.Flags().StringVar(&binary, "binary", "bin/slatemux", "relay program to run")
	c.Flags().BoolVar(&withoutFleet, "alone", false, "run every relay without its fleet part, for comparison")
	c.Flags().BoolVar(&quiet, "quiet", false, "print only the report")
	c.Flags().BoolVar(&showConnections, "tries", false, "also print the number of connections that each relay asked for, by quarter of a second")
	c.Flags().IntVar(&relays, "relays", 0, "number of relays, instead of the scenario's; 0 to keep it")
	c.Flags().Uint64Var(&seed, "seed", 0, "seed, instead of the scenario's; 0 to keep it")
	return c
}
