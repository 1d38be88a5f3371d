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

// defaultFleetCounters are the counters that show many relays acting at the same time (thundering herd): submitted messages, how flows
// end, opened connections, and requests for discovery's list.
var defaultFleetCounters = []string{"relay.handed_in", "relay.taken_on", "relay.refused", "relay.handed_back", "relay.flows", "relay.delivered",
	"relay.turned_away", "relay.not_connected", "relay.broken", "relay.out_of_time", "connections.opened", "connections.failed", "pool.asked",
	"pool.refused", "pool.entries", "notices.again"}

// fleetCommand sums the counters of many relays by interval of time.
func fleetCommand() *cobra.Command {
	var counters []string
	var interval time.Duration
	c := &cobra.Command{
		Use:   "fleet FOLDER",
		Short: "Sum the counters in the logs of many relays by time",
		Long: `Read the logs (*.log, in text format) of relays that ran with --counters-every, and print the increase of each counter over the
whole fleet for each interval of time. After a restart, the counters of a relay begin at 0 again. Text before a log line is ignored.`,
		Example: "  slatelab fleet logs --span 1s --counters relay.flows,relay.turned_away,pool.asked",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if interval <= 0 {
				return fmt.Errorf("fleet: --span %v is not above 0", interval)
			}
			logs, err := filepath.Glob(filepath.Join(args[0], "*.log"))
			if err != nil || len(logs) == 0 {
				return fmt.Errorf("fleet: there is no *.log file in %s", args[0])
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
				return fmt.Errorf("fleet: %d log files contain no counters: start the relays with --counters-every", len(logs))
			}
			return increases.writeTable(cmd.OutOrStdout(), counters)
		},
	}
	c.Flags().StringSliceVar(&counters, "counters", defaultFleetCounters, "which counters")
	c.Flags().DurationVar(&interval, "span", time.Second, "interval of time that one row covers")
	return c
}

// counterIncreases holds the increases of counters over all relays, by interval of time and by counter name.
type counterIncreases struct {
	interval time.Duration
	// byInterval has as its first key the time since 1970 divided by the interval.
	byInterval map[int64]map[string]int64
}

// addLog adds the counter increases in one relay's log. A line "started" resets the last values, because the counters of a restarted
// relay begin at 0.
func (c *counterIncreases) addLog(log io.Reader) error {
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
			row := timestamp.UnixNano() / int64(c.interval)
			if c.byInterval[row] == nil {
				c.byInterval[row] = map[string]int64{}
			}
			c.byInterval[row][name] += count - lastValues[name]
			lastValues[name] = count
		}
	}
	return lines.Err()
}

// writeTable writes one row for each interval that has counters. Times count from the first such interval.
func (c *counterIncreases) writeTable(w io.Writer, names []string) error {
	var rows []int64
	for row := range c.byInterval {
		rows = append(rows, row)
	}
	slices.Sort(rows)
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "from\t%s\t\n", strings.Join(names, "\t"))
	for _, row := range rows {
		fmt.Fprintf(t, "%v\t", time.Duration(row-rows[0])*c.interval)
		for _, name := range names {
			fmt.Fprintf(t, "%d\t", c.byInterval[row][name])
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
