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
	formatTable = "table"
	formatJSON  = "json"
	// maxWorkers bounds the runs side by side.
	maxWorkers = 64
	// softMemoryLimitBytes has the collector work harder before a run takes more than the 12 GB that it may.
	softMemoryLimitBytes = 11 << 30
)

// capacityOptions are the command's flags.
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

// capacityCommand plays fleets of thousands of hollow relays.
func capacityCommand() *cobra.Command {
	var o capacityOptions
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what a fleet's control costs at up to thousands of relays, in virtual time",
		Long: `Play fleets of hollow relays in virtual time, and measure how soon all relays know a configuration change, and what the control of
the fleet costs each relay in bytes, packets, processor time and memory. A hollow relay is the program's own code for one carrier:

  spread      a change is a ban that operators set at one relay, carried by internal/spread and internal/verdicts
  configsync  a change is carried by internal/configsync
  limits      the limits of destinations are divided by internal/allowance
  verdicts    outages of destinations are told by internal/spread and internal/verdicts

Links are modelled: regions, zones, delays and loss are the scenario's. Who is a member is told to relays by the scenario;
memberlist, by which real relays find it out, is not played, and neither its bytes nor its processor time are in the figures.
With --real, as many real relays run on loopback addresses instead, idle and with changes, and the simulator is compared with them.
Scenarios are built in (` + strings.Join(capacity.BuiltIn(), ", ") + `)
or files in protobuf text format (proto/slatemux/lab/v1/capacity.proto, example/capacity). Progress goes to standard error.`,
		Example: "  slatelab capacity --relays 100,300,1000,3900 --scenario ordinary,burst --carrier spread,configsync",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	flags := c.Flags()
	flags.IntSliceVar(&o.relays, "relays", nil, "sizes of the fleet, instead of the scenario's")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of all chances")
	flags.StringSliceVar(&o.scenarios, "scenario", []string{"ordinary"}, "names of built-in scenarios, or files")
	flags.StringSliceVar(&o.carriers, "carrier", capacity.CarrierNames(), "carriers; a scenario is played with those that suit it")
	flags.IntVar(&o.workers, "workers", 3, "runs side by side; each takes one core and some of another")
	flags.StringVar(&o.jsonFile, "json", "", "file to which the results are also written, as lines of JSON")
	flags.StringVar(&o.format, "format", formatTable, "of standard output: table or json")
	flags.DurationVar(&o.length, "length", 0, "measured virtual time, instead of the scenario's")
	flags.IntVar(&o.changes, "changes", 0, "number of changes, instead of the scenario's")
	flags.IntVar(&o.destinations, "destinations", 0, "number of destinations, instead of the scenario's")
	flags.IntVar(&o.realRelays, "real", 0, "start so many real relays instead, and compare the simulator with them")
	flags.StringVar(&o.binary, "binary", "bin/slatemux", "the relay that --real starts")
	c.AddCommand(capacitySlopesCommands()...)
	return c
}

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
	jobs, err := capacity.Jobs(scenarios, o.carriers, o.relays, o.seed)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(softMemoryLimitBytes)
	results, err := o.runJobs(cmd, jobs)
	capacity.Sort(results)
	if reportErr := o.writeResults(cmd.OutOrStdout(), results); err == nil {
		err = reportErr
	}
	return err
}

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

// runJobs returns the results that there are, also with an error.
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
