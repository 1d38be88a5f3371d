package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"slatemux/internal/lab/capacity"
)

const (
	// formatTable and formatJSON are the values of --format.
	formatTable = "table"
	formatJSON  = "json"
	// maxWorkers is the maximum number of runs in parallel.
	maxWorkers = 64
	// softMemoryLimitBytes is below the 12 GB that a run may use: the garbage collector works harder before a run exceeds them.
	softMemoryLimitBytes = 11 << 30
)

// capacityOptions holds the values of the command's flags.
type capacityOptions struct {
	relays       []int
	seed         uint64
	scenarios    []string
	carriers     []string
	workers      int
	jsonFile     string
	format       string
	length       time.Duration
	changes      int
	destinations int
	realRelays   int
	binary       string
}

// capacityCommand simulates the control of fleets of up to thousands of relays in virtual time, or compares the
// simulation with real relays.
func capacityCommand() *cobra.Command {
	var o capacityOptions
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of the control of a fleet of up to thousands of relays, in virtual time",
		Long: `Simulate fleets of relays in virtual time. Measure how soon all relays know a configuration change, and what the control of the
fleet costs each relay in bytes, packets, processor time and memory. A simulated relay runs the relay's own code for one carrier:

  spread      a change is a ban that operators set at one relay; internal/spread and internal/verdicts carry the change
  configsync  internal/configsync carries a change
  limits      internal/allowance divides the limits of destinations
  verdicts    internal/spread and internal/verdicts report outages of destinations

Links are modelled: the scenario gives regions, zones, delays and loss. The scenario also tells the relays the members of the fleet.
Real relays find the members through memberlist, which is not simulated: the results contain neither its bytes nor its processor time.
With --real, the given number of real relays runs on loopback addresses instead, idle and with changes, and is compared with the simulator.
Scenarios are built in (` + strings.Join(capacity.BuiltInNames(), ", ") + `)
or files in protobuf text format (proto/slatemux/lab/v1/capacity.proto, example/capacity). Progress goes to standard error.`,
		Example: "  slatelab capacity --relays 100,300,1000,3900 --scenario ordinary,burst --carrier spread,configsync",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	flags := c.Flags()
	flags.IntSliceVar(&o.relays, "relays", nil, "sizes of the fleet, instead of the scenario's")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of all random numbers")
	flags.StringSliceVar(&o.scenarios, "scenario", []string{"ordinary"}, "names of built-in scenarios, or files")
	flags.StringSliceVar(&o.carriers, "carrier", capacity.CarrierNames(), "carriers; a scenario runs with those that it supports")
	flags.IntVar(&o.workers, "workers", 3, "runs in parallel; each uses one core and a part of another")
	flags.StringVar(&o.jsonFile, "json", "", "file for the results as lines of JSON, in addition to standard output")
	flags.StringVar(&o.format, "format", formatTable, "format of standard output: table or json")
	flags.DurationVar(&o.length, "length", 0, "measured virtual time, instead of the scenario's")
	flags.IntVar(&o.changes, "changes", 0, "number of changes, instead of the scenario's")
	flags.IntVar(&o.destinations, "destinations", 0, "number of destinations, instead of the scenario's")
	flags.IntVar(&o.realRelays, "real", 0, "number of real relays to start instead, and to compare the simulator with")
	flags.StringVar(&o.binary, "binary", "bin/slatemux", "relay program that --real starts")
	c.AddCommand(capacitySlopesCommands()...)
	return c
}

// run checks the flags, runs the chosen scenarios or real relays, and writes the results.
func (o *capacityOptions) run(cmd *cobra.Command) error {
	if o.format != formatTable && o.format != formatJSON {
		return fmt.Errorf("--format: %q is neither %s nor %s", o.format, formatTable, formatJSON)
	}
	if o.workers < 1 || o.workers > maxWorkers {
		return fmt.Errorf("--workers: %d is not within 1 to %d", o.workers, maxWorkers)
	}
	if o.realRelays != 0 {
		return o.compareWithRealRelays(cmd)
	}
	scenarios, err := o.loadScenarios()
	if err != nil {
		return err
	}
	jobs, err := capacity.NewJobs(scenarios, o.carriers, o.relays, o.seed)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(softMemoryLimitBytes)
	results, err := o.runJobs(cmd, jobs)
	capacity.SortResults(results)
	if reportErr := o.writeResults(cmd.OutOrStdout(), results); err == nil {
		err = reportErr
	}
	return err
}

// loadScenarios loads the chosen scenarios and applies the flags that override their values.
func (o *capacityOptions) loadScenarios() (scenarios []*capacity.Scenario, err error) {
	for _, name := range o.scenarios {
		s, err := capacity.Load(name)
		if err != nil {
			return nil, err
		}
		if s, err = s.Override(o.length, o.changes, o.destinations); err != nil {
			return nil, err
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

// runJobs runs the jobs in parallel. If one fails, runJobs returns the results so far together with the error.
func (o *capacityOptions) runJobs(cmd *cobra.Command, jobs []capacity.Job) (results []*capacity.Result, err error) {
	started := time.Now()
	var mu sync.Mutex
	progress := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(cmd.ErrOrStderr(), "%7.1f s  %s\n", time.Since(started).Seconds(), line)
	}
	err = capacity.NewPool(o.workers, progress).Run(cmd.Context(), jobs, func(r *capacity.Result) { results = append(results, r) })
	return results, err
}

// writeResults writes the results to standard output, and with --json also to a file.
func (o *capacityOptions) writeResults(w io.Writer, results []*capacity.Result) error {
	if o.jsonFile != "" {
		if err := writeJSONFile(o.jsonFile, results); err != nil {
			return err
		}
	}
	if o.format == formatJSON {
		return capacity.WriteJSON(w, results)
	}
	return capacity.WriteTable(w, results)
}

// writeJSONFile writes the results to a new file as lines of JSON.
func writeJSONFile(path string, results []*capacity.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := capacity.WriteJSON(file, results); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
