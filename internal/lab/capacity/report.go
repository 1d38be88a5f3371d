package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Sort orders results by carrier, scenario and size.
func Sort(results []*Result) {
	slices.SortStableFunc(results, func(a, b *Result) int {
		return cmp.Or(cmp.Compare(a.Carrier, b.Carrier), cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Relays, b.Relays))
	})
}

// ordinaryScenario is the one that peaks of others are compared with.
const ordinaryScenario = "ordinary"

// tableHeader names the columns. Times are in seconds, bytes a second of one relay.
const tableHeader = "carrier\tscenario\trelays\tchanges\tincomplete\tmissing\tto half p50/p99\tto 99 % p50/p99\tto all p50/p99/max\tbound\t" +
	"sent B/s mean/p99/busiest\treceived mean/busiest\tpackets/s mean/busiest\tpeak 1 s\tpeak 10 s\tpeak 10 s of ordinary's\tover budget\t" +
	"processor % mean/busiest\theap KB\twall s"

// WriteTable writes results, and the fits over their sizes, for a person.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, tableHeader)
	for _, r := range results {
		fmt.Fprintln(t, row(r, ordinaryOf(results, r)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := writeLeases(w, results); err != nil {
		return err
	}
	return writeFits(w, Fits(results))
}

func row(r, ordinary *Result) string {
	times := r.Reach
	ratio := "-"
	if ordinary != nil && ordinary != r {
		ratio = fmt.Sprintf("%.2f", r.Traffic.Peak10s.Busiest/ordinary.Traffic.Peak10s.Busiest)
	}
	bound := "-"
	if r.Bound > 0 {
		bound = fmt.Sprintf("%.2f", r.Bound)
	}
	x := r.Traffic
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%.4f\t%.2f/%.2f\t%.2f/%.2f\t%.2f/%.2f/%.2f\t%s\t%.0f/%.0f/%.0f\t%.0f/%.0f\t%.2f/%.2f\t%.0f\t%.0f\t%s\t%d\t%.3f/%.3f\t%.0f\t%.1f",
		r.Carrier, r.Scenario, r.Relays, times.Changes, times.Incomplete, times.Missing, times.ToHalf.P50, times.ToHalf.P99, times.To99.P50, times.To99.P99,
		times.ToAll.P50, times.ToAll.P99, times.ToAll.Max, bound, x.Sent.Mean, x.Sent.P99, x.Sent.Busiest, x.Received.Mean, x.Received.Busiest,
		x.Packets.Mean, x.Packets.Busiest, x.Peak1s.Busiest, x.Peak10s.Busiest, ratio, r.Counts.OverBudget,
		100*r.Cost.Processor.Mean, 100*r.Cost.Processor.Busiest, r.Cost.HeapPerRelay/1024, r.Cost.Wall)
}

// ordinaryOf is the ordinary run of a result's carrier and size, if there was one.
func ordinaryOf(results []*Result, r *Result) *Result {
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
		if _, err := fmt.Fprintf(w, "%s, %d relays: asked every %.2f s, leases of %.2f s, loans of %.2f s\n", r.Scenario, r.Relays, r.Leases.Every, r.Leases.Lease,
			r.Leases.Loan); err != nil {
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
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", f.Scenario, f.Carrier, f.Figure, f)
	}
	return t.Flush()
}

// jsonLine is one line of JSON: exactly one field is set.
type jsonLine struct {
	Result *Result `json:"result,omitempty"`
	Fit    *Fit    `json:"fit,omitempty"`
}

// WriteJSON writes results, and the fits over their sizes, as lines of JSON.
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
