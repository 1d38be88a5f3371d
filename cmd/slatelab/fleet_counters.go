package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// defaultFleetCounters is what shows a herd: what comes in, how calls end, what is opened, and calls for the list.
var defaultFleetCounters = []string{"relay.handed_in", "relay.taken_on", "relay.refused", "relay.handed_back", "relay.flows", "relay.delivered",
	"relay.turned_away", "relay.not_connected", "relay.broken", "relay.out_of_time", "connections.opened", "connections.failed", "pool.asked",
	"pool.refused", "pool.entries", "notices.again"}

// fleetCommand sums the counters of many relays on one time line.
func fleetCommand() *cobra.Command {
	var counters []string
	var interval time.Duration
	c := &cobra.Command{
		Use:   "fleet FOLDER",
		Short: "Sum the counters in the logs of many relays, by time",
		Long: `Read the logs (*.log) of relays that ran with --counters-every, as text, and print by how much each counter of the whole
fleet grew in each span of time. A restart begins the counters of its relay anew. What stands in front of a line is passed over.`,
		Example: "  slatelab fleet logs --span 1s --counters relay.flows,relay.turned_away,pool.asked",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if interval <= 0 {
				return fmt.Errorf("fleet: a span of %v", interval)
			}
			logs, err := filepath.Glob(filepath.Join(args[0], "*.log"))
			if err != nil || len(logs) == 0 {
				return fmt.Errorf("fleet: no *.log in %s", args[0])
			}
			increases := counterIncreases{interval: interval, byInterval: map[int64]map[string]int64{}}
			for _, path := range logs {
				file, err := os.Open(path)
				if err != nil {
					return fmt.Errorf("fleet: %w", err)
				}
				err = increases.addLog(file)
				file.Close()
				if err != nil {
					return fmt.Errorf("fleet: %s: %w", path, err)
				}
			}
			if len(increases.byInterval) == 0 {
				return fmt.Errorf("fleet: no counters in %d logs: the relays need --counters-every", len(logs))
			}
			return increases.writeTable(cmd.OutOrStdout(), counters)
		},
	}
	c.Flags().StringSliceVar(&counters, "counters", defaultFleetCounters, "which counters")
	c.Flags().DurationVar(&interval, "span", time.Second, "length of a row")
	return c
}

// counterIncreases is what counters grew by, by span of time and name.
type counterIncreases struct {
	interval   time.Duration
	byInterval map[int64]map[string]int64
}

// addLog takes one relay's log in.
func (f *counterIncreases) addLog(log io.Reader) error {
	lastValues := map[string]int64{}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, " msg=started ") {
			clear(lastValues)
		}
		if !strings.Contains(line, " msg=counters ") {
			continue
		}
		var timestamp time.Time
		for _, field := range strings.Fields(line) {
			name, value, _ := strings.Cut(field, "=")
			if name == "time" {
				var err error
				if timestamp, err = time.Parse(time.RFC3339Nano, value); err != nil {
					return err
				}
			}
			count, err := strconv.ParseInt(value, 10, 64)
			if err != nil || timestamp.IsZero() {
				continue
			}
			row := timestamp.UnixNano() / int64(f.interval)
			if f.byInterval[row] == nil {
				f.byInterval[row] = map[string]int64{}
			}
			f.byInterval[row][name] += count - lastValues[name]
			lastValues[name] = count
		}
	}
	return lines.Err()
}

// writeTable writes a row for each span, from the first with counters on.
func (f *counterIncreases) writeTable(w io.Writer, names []string) error {
	var rows []int64
	for row := range f.byInterval {
		rows = append(rows, row)
	}
	slices.Sort(rows)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "from\t%s\t\n", strings.Join(names, "\t"))
	for _, row := range rows {
		fmt.Fprintf(t, "%v\t", time.Duration(row-rows[0])*f.interval)
		for _, name := range names {
			fmt.Fprintf(t, "%d\t", f.byInterval[row][name])
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
