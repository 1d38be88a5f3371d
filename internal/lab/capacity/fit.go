package capacity

import (
	"fmt"
	"math"
	"slices"
)

// minFitSizes is how many sizes a fit needs.
const minFitSizes = 3

// Fit is a law of a figure over the size N of the fleet.
type Fit struct {
	Scenario string  `json:"scenario"`
	Carrier  string  `json:"carrier"`
	Quantity string  `json:"figure"`
	Law      string  `json:"law"`
	A        float64 `json:"a"`
	B        float64 `json:"b"`
	// Residual is the root of the mean square of the relative errors.
	Residual float64 `json:"residual"`
	Sizes    []int   `json:"sizes"`
}

// law is a family of functions that are fitted by a straight line: of transformed values over a transformed size.
type law struct {
	name    string
	x       func(n float64) float64
	y       func(value float64) float64
	inverse func(y float64) float64
}

func identity(v float64) float64 { return v }

var laws = []law{
	{"a * N^b", math.Log, math.Log, math.Exp},
	{"a + b * ln N", math.Log, identity, identity},
	{"a + b * sqrt N", math.Sqrt, identity, identity},
}

// FitLaw fits all laws to a figure by least squares, and returns the one with the least residual; no where there are too few sizes,
// or a value that is not above 0.
func FitLaw(sizes []int, values []float64) (Fit, bool) {
	best, found := Fit{Residual: math.Inf(1)}, false
	if len(sizes) < minFitSizes || slices.Min(values) <= 0 {
		return best, false
	}
	for _, l := range laws {
		a, b := leastSquares(sizes, values, l)
		residual := relativeResidual(sizes, values, l, a, b)
		if residual < best.Residual {
			best, found = Fit{Law: l.name, A: a, B: b, Residual: residual, Sizes: sizes}, true
			if l.name == laws[0].name {
				best.A = math.Exp(a)
			}
		}
	}
	return best, found
}

// leastSquares is the straight line of least squares.
func leastSquares(sizes []int, values []float64, l law) (a, b float64) {
	var sumX, sumY, sumXX, sumXY float64
	for i, n := range sizes {
		x, y := l.x(float64(n)), l.y(values[i])
		sumX, sumY = sumX+x, sumY+y
		sumXX, sumXY = sumXX+x*x, sumXY+x*y
	}
	count := float64(len(sizes))
	b = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	return (sumY - b*sumX) / count, b
}

func relativeResidual(sizes []int, values []float64, l law, a, b float64) float64 {
	sum := 0.0
	for i, n := range sizes {
		relative := l.inverse(a+b*l.x(float64(n)))/values[i] - 1
		sum += relative * relative
	}
	return math.Sqrt(sum / float64(len(sizes)))
}

// String names the law with its parameters.
func (f Fit) String() string {
	return fmt.Sprintf("%s, a = %.4g, b = %.4g, residual %.1f %%", f.Law, f.A, f.B, 100*f.Residual)
}

// fittedQuantity is one that is fitted over sizes.
type fittedQuantity struct {
	name string
	of   func(r *Result) float64
}

var fittedQuantities = []fittedQuantity{
	{"to half, median (s)", func(r *Result) float64 { return r.Reach.ToHalf.P50 }},
	{"to 99 %, p99 (s)", func(r *Result) float64 { return r.Reach.To99.P99 }},
	{"to all, p99 (s)", func(r *Result) float64 { return r.Reach.ToAll.P99 }},
	{"bound (s)", func(r *Result) float64 { return r.BoundSeconds }},
	{"sent, mean (B/s)", func(r *Result) float64 { return r.Traffic.Sent.Mean }},
	{"sent, busiest (B/s)", func(r *Result) float64 { return r.Traffic.Sent.Busiest }},
	{"peak 10 s, busiest (B/s)", func(r *Result) float64 { return r.Traffic.Peak10s.Busiest }},
	{"processor, mean (share)", func(r *Result) float64 { return r.Cost.CPUShare.Mean }},
	{"processor, busiest (share)", func(r *Result) float64 { return r.Cost.CPUShare.Busiest }},
	{"heap (B/relay)", func(r *Result) float64 { return r.Cost.HeapBytesPerRelay }},
}

// Fits are the laws of all figures, of each scenario and carrier that was played at enough sizes.
func Fits(results []*Result) (fits []Fit) {
	type key struct{ scenario, carrier string }
	groups := map[key][]*Result{}
	var order []key
	for _, r := range results {
		k := key{r.Scenario, r.Carrier}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	for _, k := range order {
		for _, figure := range fittedQuantities {
			var sizes []int
			var values []float64
			for _, r := range groups[k] {
				sizes, values = append(sizes, r.Relays), append(values, figure.of(r))
			}
			if fit, ok := FitLaw(sizes, values); ok {
				fit.Scenario, fit.Carrier, fit.Quantity = k.scenario, k.carrier, figure.name
				fits = append(fits, fit)
			}
		}
	}
	return fits
}
