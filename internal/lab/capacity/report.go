package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// SortResults orders results by carrier, scenario and fleet size.
func SortResults(results []*Result) {
	slices.SortStableFunc(results, func(a, b *Result) int {
		return cmp.Or(cmp.Compare(a.Carrier, b.Carrier), cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Relays, b.Relays))
	})
}

// ordinaryScenario is the name of the scenario with whose peaks the peaks of the other scenarios are compared.
const ordinaryScenario = "ordinary"

// tableHeader holds the names of the columns. Times are in seconds. Rates are per relay.
const tableHeader = "carrier\tscenario\trelays\tchanges\tincomplete\tmissing\tto half p50/p99/max\tto 99 % p50/p99/max\tto all p50/p99/max\tbound\t" +
	"sent B/s mean/p99/busiest\treceived mean/busiest\tpackets/s mean/busiest\tpeak B/s 1 s/10 s\tof ordinary's\tover budget\t" +
	"processor % mean/busiest\theap KB\tpeak heap MB\twall s"

// WriteTable writes the results and the fits over the fleet sizes as tables.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, tableHeader)
	for _, r := range results {
		fmt.Fprintln(t, tableRow(r, ordinaryRun(results, r)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := writeLeases(w, results); err != nil {
		return err
	}
	return writeFits(w, Fits(results))
}

func tableRow(r, ordinary *Result) string {
	bound := "-"
	if r.BoundSeconds > 0 {
		bound = fmt.Sprintf("%.2f", r.BoundSeconds)
	}
	traffic, reach := r.Traffic, r.Reach
	cells := []string{r.Carrier, r.Scenario, strconv.Itoa(r.Relays), strconv.Itoa(reach.Changes), strconv.Itoa(reach.Incomplete),
		fmt.Sprintf("%.4f", reach.MissingShare),
		reach.ToHalf.cell(), reach.To99.cell(), reach.ToAll.cell(), bound,
		fmt.Sprintf("%.0f/%.0f/%.0f", traffic.Sent.Mean, traffic.Sent.P99, traffic.Sent.Busiest),
		fmt.Sprintf("%.0f/%.0f", traffic.Received.Mean, traffic.Received.Busiest),
		fmt.Sprintf("%.2f/%.2f", traffic.Packets.Mean, traffic.Packets.Busiest),
		fmt.Sprintf("%.0f/%.0f", traffic.Peak1s.Busiest, traffic.Peak10s.Busiest), peakRatio(r, ordinary),
		strconv.FormatInt(r.Counts.OverBudget, 10), fmt.Sprintf("%.3f/%.3f", 100*r.Cost.CPUShare.Mean, 100*r.Cost.CPUShare.Busiest),
		fmt.Sprintf("%.0f", r.Cost.HeapBytesPerRelay/1024), strconv.FormatUint(r.Cost.PeakHeapBytes>>20, 10), fmt.Sprintf("%.1f", r.Cost.WallSeconds)}
	return strings.Join(cells, "\t")
}

// cell formats the times, or returns a dash if there are none.
func (t Times) cell() string {
	if t == (Times{}) {
		return "-"
	}
	return fmt.Sprintf("%.2f/%.2f/%.2f", t.P50, t.P99, t.Max)
}

// peakRatio returns the peaks of the busiest relay divided by the peaks of the ordinary run.
func peakRatio(r, ordinary *Result) string {
	if ordinary == nil || ordinary == r {
		return "-"
	}
	return fmt.Sprintf("%.2f/%.2f", r.Traffic.Peak1s.Busiest/ordinary.Traffic.Peak1s.Busiest, r.Traffic.Peak10s.Busiest/ordinary.Traffic.Peak10s.Busiest)
}

// ordinaryRun returns the result of the ordinary scenario with the same carrier and fleet size, or nil.
func ordinaryRun(results []*Result, r *Result) *Result {
	for _, o := range results {
		if o.Scenario == ordinaryScenario && o.Carrier == r.Carrier && o.Relays == r.Relays {
			return o
		}
	}
	return nil
}

func writeLeases(w io.Writer, results []*Result) error {
	for _, r := range results {
		if r.Leases == nil {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s, %d relays: asked every %.2f s, leases of %.2f s, loans of %.2f s\n", r.Scenario, r.Relays,
			r.Leases.ClaimSeconds, r.Leases.LeaseSeconds, r.Leases.LoanSeconds); err != nil {
			return err
		}
	}
	return nil
}

func writeFits(w io.Writer, fits []Fit) error {
	if len(fits) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nfit over the size N\tcarrier\tfigure\tlaw")
	for _, f := range fits {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", f.Scenario, f.Carrier, f.Quantity, f)
	}
	return t.Flush()
}

// jsonLine is one line of the JSON output. Exactly one field is set.
type jsonLine struct {
	Result *Result `json:"result,omitempty"`
	Fit    *Fit    `json:"fit,omitempty"`
}

// WriteJSON writes the results and the fits over the fleet sizes, one JSON object per line.
func WriteJSON(w io.Writer, results []*Result) error {
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if err := encoder.Encode(jsonLine{Result: r}); err != nil {
			return err
		}
	}
	for _, f := range Fits(results) {
		if err := encoder.Encode(jsonLine{Fit: &f}); err != nil {
			return err
		}
	}
	return nil
}
