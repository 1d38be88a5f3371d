package capacity

import (
	"fmt"
	"math"
	"slices"
)

// minFitSizes is the minimum number of fleet sizes for a fit.
const minFitSizes = 3

// Fit is a fitted function of a measured quantity over the fleet size N.
type Fit struct {
	Scenario string  `json:"scenario"`
	Carrier  string  `json:"carrier"`
	Quantity string  `json:"figure"`
	Law      string  `json:"law"`
	A        float64 `json:"a"`
	B        float64 `json:"b"`
	// Residual is the root mean square of the relative errors.
	Residual float64 `json:"residual"`
	Sizes    []int   `json:"sizes"`
}

// law is a family of functions of the fleet size. It becomes a straight line when the size and the values are transformed.
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

// FitLaw fits all laws to a measured quantity by least squares and returns the fit with the smallest residual. It returns false if there
// are fewer sizes than minFitSizes, or if a value is not above 0.
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

// leastSquares returns the intercept a and the slope b of the line that fits the transformed values best.
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

// String returns the law with its parameters and the residual.
func (f Fit) String() string {
	return fmt.Sprintf("%s, a = %.4g, b = %.4g, residual %.1f %%", f.Law, f.A, f.B, 100*f.Residual)
}

// fittedQuantity is a measured quantity that is fitted over the fleet sizes.
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

// Fits returns the fits of all quantities for each scenario and carrier with results for enough fleet sizes.
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
		for _, quantity := range fittedQuantities {
			var sizes []int
			var values []float64
			for _, r := range groups[k] {
				sizes, values = append(sizes, r.Relays), append(values, quantity.of(r))
			}
			if fit, ok := FitLaw(sizes, values); ok {
				fit.Scenario, fit.Carrier, fit.Quantity = k.scenario, k.carrier, quantity.name
				fits = append(fits, fit)
			}
		}
	}
	return fits
}
