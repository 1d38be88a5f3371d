package slopes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Axis names what a size counts.
type Axis string

// The axes along which sizes vary.
const (
	Destinations   Axis = "destinations"
	QueuedMessages Axis = "held messages"
	Relays         Axis = "relays"
)

// plannedSizes are the sizes that the operators plan for. Destinations and queued messages are those of one relay; relays are those of the
// whole fleet.
var plannedSizes = map[Axis]float64{Destinations: 330_000, QueuedMessages: 11_800_000, Relays: 3_900}

// Budgets for the control work of one relay.
const (
	cpuShareBudget       = 0.017 // share of a core
	memoryBytesBudget    = 32e6  // bytes
	bytesPerSecondBudget = 5e3
)

// Quantity names a cost and its unit. Budget is the maximum at the planned size, or 0 if there is none.
type Quantity struct {
	Name   string
	Unit   string
	Budget float64
}

// Measurement is the measured value of a quantity at one size.
type Measurement struct {
	Axis     Axis    `json:"axis"`
	Size     int     `json:"size"`
	Quantity string  `json:"quantity"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	budget   float64
}

// Projection is the fit of a quantity and its value at the planned size.
type Projection struct {
	Axis        Axis    `json:"axis"`
	Quantity    string  `json:"quantity"`
	Unit        string  `json:"unit"`
	Fit         Fit     `json:"fit"`
	PlannedSize float64 `json:"planned_size"`
	// ExtrapolationFactor is the planned size divided by the largest measured size.
	ExtrapolationFactor float64 `json:"extrapolation_factor"`
	PlannedValue        float64 `json:"value_at_planned_size"`
	Budget              float64 `json:"budget,omitempty"`
	// BudgetRatio is PlannedValue divided by Budget.
	BudgetRatio float64 `json:"value_over_budget,omitempty"`
}

// Recorder collects measurements. It writes each one as a JSON line as soon as it is recorded.
type Recorder struct {
	lines        io.Writer
	measurements []Measurement
}

// NewRecorder returns a Recorder that writes JSON lines to w.
func NewRecorder(w io.Writer) *Recorder { return &Recorder{lines: w} }

// Measurements returns all recorded measurements.
func (r *Recorder) Measurements() []Measurement { return r.measurements }

func (r *Recorder) record(axis Axis, size int, quantity Quantity, value float64) error {
	m := Measurement{Axis: axis, Size: size, Quantity: quantity.Name, Value: value, Unit: quantity.Unit, budget: quantity.Budget}
	r.measurements = append(r.measurements, m)
	return json.NewEncoder(r.lines).Encode(m)
}

// series holds the measurements of one quantity along one axis.
type series struct {
	Measurement // the first measurement; it identifies the series
	points      []Point
}

// allSeries groups the measurements by axis and quantity, in the order of their first measurements.
func (r *Recorder) allSeries() []*series {
	var list []*series
	for _, m := range r.measurements {
		index := slices.IndexFunc(list, func(s *series) bool { return s.Axis == m.Axis && s.Quantity == m.Quantity })
		if index < 0 {
			index = len(list)
			list = append(list, &series{Measurement: m})
		}
		list[index].points = append(list[index].points, Point{m.Size, m.Value})
	}
	return list
}

// Project fits each quantity and extrapolates it to the planned size. It omits quantities that BestFit rejects, such as those with fewer
// than MinSizes sizes.
func (r *Recorder) Project() []Projection {
	var list []Projection
	for _, s := range r.allSeries() {
		fit, err := BestFit(s.points)
		if err != nil {
			continue
		}
		largest := slices.MaxFunc(s.points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		projection := Projection{Axis: s.Axis, Quantity: s.Quantity, Unit: s.Unit, Fit: fit, PlannedSize: plannedSizes[s.Axis],
			Budget: s.budget}
		projection.ExtrapolationFactor = projection.PlannedSize / float64(largest.Size)
		projection.PlannedValue = fit.At(projection.PlannedSize)
		if projection.ExtrapolationFactor <= 1 { // the planned size or a larger one was measured
			projection.PlannedValue = largest.Value
		}
		if projection.Budget > 0 {
			projection.BudgetRatio = projection.PlannedValue / projection.Budget
		}
		list = append(list, projection)
	}
	return list
}

// WriteReport writes the projections as JSON lines to lines, and the measurements and projections as tables to tables.
func (r *Recorder) WriteReport(lines, tables io.Writer) error {
	projections := r.Project()
	encoder := json.NewEncoder(lines)
	for _, p := range projections {
		if err := encoder.Encode(p); err != nil {
			return err
		}
	}
	if err := r.writeMeasurements(tables); err != nil {
		return err
	}
	return writeProjections(tables, projections)
}

func (r *Recorder) writeMeasurements(w io.Writer) error {
	for _, axis := range []Axis{Destinations, QueuedMessages, Relays} {
		var sizes []int
		for _, m := range r.measurements {
			if m.Axis == axis && !slices.Contains(sizes, m.Size) {
				sizes = append(sizes, m.Size)
			}
		}
		if len(sizes) == 0 {
			continue
		}
		slices.Sort(sizes)
		table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintf(table, "\n%s\tunit", axis)
		for _, size := range sizes {
			fmt.Fprintf(table, "\t%d", size)
		}
		fmt.Fprintln(table)
		for _, s := range r.allSeries() {
			if s.Axis == axis {
				writeSeriesRow(table, s, sizes)
			}
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// writeSeriesRow writes a table row with the value of a series at each size, or - where a size was not measured.
func writeSeriesRow(w io.Writer, s *series, sizes []int) {
	fmt.Fprintf(w, "%s\t%s", s.Quantity, s.Unit)
	for _, size := range sizes {
		index := slices.IndexFunc(s.points, func(p Point) bool { return p.Size == size })
		if index < 0 {
			fmt.Fprint(w, "\t-")
			continue
		}
		fmt.Fprintf(w, "\t%s", formatNumber(s.points[index].Value))
	}
	fmt.Fprintln(w)
}

func writeProjections(w io.Writer, list []Projection) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "\nfit\tunit\tform\ta\tb\terror of b\tresidual\texponent\tat\tvalue\textrapolated by\tbudget\tover budget")
	for _, projection := range list {
		budget, ratio := "-", "-"
		if projection.Budget > 0 {
			budget, ratio = formatNumber(projection.Budget), fmt.Sprintf("%.2f", projection.BudgetRatio)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f %%\t%.2f\t%.0f %s\t%s\t%.1f\t%s\t%s\n", projection.Quantity, projection.Unit,
			projection.Fit.Form, formatNumber(projection.Fit.Intercept), formatNumber(projection.Fit.Slope),
			formatNumber(projection.Fit.SlopeError), 100*projection.Fit.RelativeResidual, projection.Fit.Exponent, projection.PlannedSize,
			projection.Axis, formatNumber(projection.PlannedValue), max(projection.ExtrapolationFactor, 1), budget, ratio)
	}
	return table.Flush()
}

// formatNumber formats a number of 1000 or more as an integer, one below 0.01 with an exponent and three significant digits, and
// others with four significant digits.
func formatNumber(v float64) string {
	switch magnitude := max(v, -v); {
	case magnitude == 0:
		return "0"
	case magnitude >= 1000:
		return fmt.Sprintf("%.0f", v)
	case magnitude >= 0.01:
		return fmt.Sprintf("%.4g", v)
	default:
		return fmt.Sprintf("%.2e", v)
	}
}
