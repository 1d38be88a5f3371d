package slopes

import (
	"fmt"
	"math"
	"slices"
)

// MinSizes is how many different sizes a fit needs.
const MinSizes = 4

// Form is the shape of a curve a + b g(N).
type Form int

// The forms that are tried.
const (
	Linear      Form = iota // g(N) = N
	Logarithmic             // g(N) = log2 N
	SquareRoot              // g(N) = sqrt N
	Constant                // the mean: no form's slope is told apart from nought
	formCount
)

var formFormulas = [formCount]string{"a + b N", "a + b log2 N", "a + b sqrt N", "constant"}

// String writes the form as a formula.
func (f Form) String() string { return formFormulas[f] }

// MarshalText writes the form as a formula.
func (f Form) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

func (f Form) transform(size float64) float64 {
	switch f {
	case Logarithmic:
		return math.Log2(size)
	case SquareRoot:
		return math.Sqrt(size)
	default:
		return size
	}
}

// Point is a cost at a size.
type Point struct {
	Size  int
	Value float64
}

// Fit is the curve with the least residual through some points.
type Fit struct {
	Form       Form    `json:"form"`
	Intercept  float64 `json:"a"`
	Slope      float64 `json:"b"`
	SlopeError float64 `json:"b_standard_error"`
	// Residual is the root of the mean square of what the curve misses, as a share of the points' mean.
	RelativeResidual float64 `json:"relative_residual"`
	// Exponent is the slope of the points on doubly logarithmic paper, over the larger half of the sizes: near 1 the cost grows as
	// the size, above 1 faster, and then no form here holds beyond the largest size.
	Exponent float64 `json:"exponent"`
	Points   int     `json:"points"`
}

// At is the curve's value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*f.Form.transform(size) }

// significantErrors is how many standard errors a slope must differ from nought by, or the cost counts as constant.
const significantErrors = 2

// BestFit fits each form by least squares and returns the one with the least residual, or the mean where that one's slope may as well
// be nought.
func BestFit(points []Point) (Fit, error) {
	if err := checkPoints(points); err != nil {
		return Fit{}, err
	}
	best := fitForm(Linear, points)
	for form := Logarithmic; form < Constant; form++ {
		if fit := fitForm(form, points); fit.RelativeResidual < best.RelativeResidual {
			best = fit
		}
	}
	if math.Abs(best.Slope) <= significantErrors*best.SlopeError {
		best = fitConstant(points)
	}
	best.Exponent = growthExponent(points)
	return best, nil
}

func checkPoints(points []Point) error {
	sizes := map[int]bool{}
	for _, p := range points {
		if p.Size < 1 {
			return fmt.Errorf("slopes: a size of %d cannot be fitted", p.Size)
		}
		if math.IsNaN(p.Value) || math.IsInf(p.Value, 0) {
			return fmt.Errorf("slopes: the value at size %d is not finite", p.Size)
		}
		sizes[p.Size] = true
	}
	if len(sizes) < MinSizes {
		return fmt.Errorf("slopes: a fit needs %d different sizes and has %d", MinSizes, len(sizes))
	}
	return nil
}

// fitForm is the ordinary least-squares line through the points, over the form's transform of their sizes.
func fitForm(form Form, points []Point) Fit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += form.transform(float64(p.Size)) / n
		meanY += p.Value / n
	}
	var sumXX, sumXY float64
	for _, p := range points {
		dx := form.transform(float64(p.Size)) - meanX
		sumXX += dx * dx
		sumXY += dx * (p.Value - meanY)
	}
	fit := Fit{Form: form, Slope: sumXY / sumXX, Points: len(points)}
	fit.Intercept = meanY - fit.Slope*meanX
	var squaredErrors float64
	for _, p := range points {
		d := p.Value - fit.At(float64(p.Size))
		squaredErrors += d * d
	}
	fit.SlopeError = math.Sqrt(squaredErrors / (n - 2) / sumXX)
	if meanY != 0 {
		fit.RelativeResidual = math.Sqrt(squaredErrors/n) / math.Abs(meanY)
	}
	return fit
}

// fitConstant is the mean of the points.
func fitConstant(points []Point) Fit {
	n := float64(len(points))
	fit := Fit{Form: Constant, Points: len(points)}
	for _, p := range points {
		fit.Intercept += p.Value / n
	}
	var squaredErrors float64
	for _, p := range points {
		squaredErrors += (p.Value - fit.Intercept) * (p.Value - fit.Intercept)
	}
	if fit.Intercept != 0 {
		fit.RelativeResidual = math.Sqrt(squaredErrors/n) / math.Abs(fit.Intercept)
	}
	return fit
}

// growthExponent is the least-squares slope of log value over log size, over the larger half of the points; 0 where a value is not
// positive or there is one size alone.
func growthExponent(points []Point) float64 {
	middle := medianSize(points)
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		if p.Size < middle {
			continue
		}
		if p.Value <= 0 {
			return 0
		}
		x, y := math.Log(float64(p.Size)), math.Log(p.Value)
		n, sumX, sumY = n+1, sumX+x, sumY+y
		sumXX, sumXY = sumXX+x*x, sumXY+x*y
	}
	spread := n*sumXX - sumX*sumX
	if spread <= 0 {
		return 0
	}
	return (n*sumXY - sumX*sumY) / spread
}

func medianSize(points []Point) int {
	sizes := make([]int, 0, len(points))
	for _, p := range points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return sizes[(len(sizes)-1)/2]
}
