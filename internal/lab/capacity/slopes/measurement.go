package slopes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Axis is what a size counts.
type Axis string

// The axes.
const (
	Destinations   Axis = "destinations"
	QueuedMessages Axis = "held messages"
	Relays         Axis = "relays"
)

// plannedSizes are the sizes that the operators plan for, of one relay and of the whole.
var plannedSizes = map[Axis]float64{Destinations: 330_000, QueuedMessages: 11_800_000, Relays: 3_900}

// Budgets of one relay's control work.
const (
	cpuShareBudget       = 0.017 // of a core
	memoryBytesBudget    = 32e6  // bytes
	bytesPerSecondBudget = 5e3
)

// Quantity names a cost and its unit. Budget is the most that it may be at the planned size; 0 for none.
type Quantity struct {
	Name   string
	Unit   string
	Budget float64
}

// Measurement is one measured cost at a size.
type Measurement struct {
	Axis     Axis    `json:"axis"`
	Size     int     `json:"size"`
	Quantity string  `json:"quantity"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	budget   float64
}

// Projection is a fit of a quantity and what it comes to at the planned size.
type Projection struct {
	Axis        Axis    `json:"axis"`
	Quantity    string  `json:"quantity"`
	Unit        string  `json:"unit"`
	Fit         Fit     `json:"fit"`
	PlannedSize float64 `json:"planned_size"`
	// Stretch is the planned size divided by the largest that was measured.
	ExtrapolationFactor float64 `json:"extrapolation_factor"`
	PlannedValue        float64 `json:"value_at_planned_size"`
	Budget              float64 `json:"budget,omitempty"`
	// OverBudget is the value divided by the budget.
	BudgetRatio float64 `json:"value_over_budget,omitempty"`
}

// Recorder collects measurements and writes each as a line of JSON as soon as it is made.
type Recorder struct {
	lines        io.Writer
	measurements []Measurement
}

// NewRecorder returns a Recorder that writes JSON lines to w.
func NewRecorder(w io.Writer) *Recorder { return &Recorder{lines: w} }

// Measurements are all that were recorded.
func (r *Recorder) Measurements() []Measurement { return r.measurements }

func (r *Recorder) record(axis Axis, size int, quantity Quantity, value float64) error {
	m := Measurement{Axis: axis, Size: size, Quantity: quantity.Name, Value: value, Unit: quantity.Unit, budget: quantity.Budget}
	r.measurements = append(r.measurements, m)
	return json.NewEncoder(r.lines).Encode(m)
}

// series is the measurements of one quantity along one axis.
type series struct {
	Measurement // the first of them
	points      []Point
}

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

// Project fits each quantity and extends the fit to the planned size. Quantities with too few sizes are left out.
func (r *Recorder) Project() []Projection {
	var list []Projection
	for _, s := range r.allSeries() {
		fit, err := BestFit(s.points)
		if err != nil {
			continue
		}
		largest := slices.MaxFunc(s.points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		p := Projection{Axis: s.Axis, Quantity: s.Quantity, Unit: s.Unit, Fit: fit, PlannedSize: plannedSizes[s.Axis], Budget: s.budget}
		p.ExtrapolationFactor = p.PlannedSize / float64(largest.Size)
		p.PlannedValue = fit.At(p.PlannedSize)
		if p.ExtrapolationFactor <= 1 { // the planned size was measured
			p.PlannedValue = largest.Value
		}
		if p.Budget > 0 {
			p.BudgetRatio = p.PlannedValue / p.Budget
		}
		list = append(list, p)
	}
	return list
}

// WriteReport writes the projections as lines of JSON, and all as tables.
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
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintf(t, "\n%s\tunit", axis)
		for _, size := range sizes {
			fmt.Fprintf(t, "\t%d", size)
		}
		fmt.Fprintln(t)
		for _, s := range r.allSeries() {
			if s.Axis == axis {
				writeSeriesRow(t, s, sizes)
			}
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

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
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nfit\tunit\tform\ta\tb\terror of b\tresidual\texponent\tat\tvalue\textrapolated by\tbudget\tover budget")
	for _, p := range list {
		budget, ratio := "-", "-"
		if p.Budget > 0 {
			budget, ratio = formatNumber(p.Budget), fmt.Sprintf("%.2f", p.BudgetRatio)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f %%\t%.2f\t%.0f %s\t%s\t%.1f\t%s\t%s\n", p.Quantity, p.Unit, p.Fit.Form, formatNumber(p.Fit.Intercept), formatNumber(p.Fit.Slope),
			formatNumber(p.Fit.SlopeError), 100*p.Fit.RelativeResidual, p.Fit.Exponent, p.PlannedSize, p.Axis, formatNumber(p.PlannedValue), max(p.ExtrapolationFactor, 1), budget, ratio)
	}
	return t.Flush()
}

// formatNumber writes four significant digits, without an exponent.
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
