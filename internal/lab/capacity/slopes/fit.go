package slopes

import (
	"fmt"
	"math"
	"slices"
)

// MinSizes is the minimum number of different sizes for a fit.
const MinSizes = 4

// Form is the shape of a curve a + b g(N).
type Form int

// The forms of a fit.
const (
	Linear      Form = iota // g(N) = N
	Logarithmic             // g(N) = log2 N
	SquareRoot              // g(N) = sqrt N
	Constant                // the mean; used when the slope does not differ significantly from zero
	formCount
)

var formFormulas = [formCount]string{"a + b N", "a + b log2 N", "a + b sqrt N", "constant"}

// String returns the form as a formula.
func (f Form) String() string { return formFormulas[f] }

// MarshalText encodes the form as a formula.
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

// Point is the value of a cost at one size.
type Point struct {
	Size  int
	Value float64
}

// Fit is a curve through the points of one quantity.
type Fit struct {
	Form       Form    `json:"form"`
	Intercept  float64 `json:"a"`
	Slope      float64 `json:"b"`
	SlopeError float64 `json:"b_standard_error"`
	// RelativeResidual is the root mean square of the residuals, divided by the mean of the points.
	RelativeResidual float64 `json:"relative_residual"`
	// Exponent is the slope of log value over log size for the larger half of the sizes. Near 1, the cost grows in proportion to the
	// size. Above 1, the cost grows faster, and no form is valid beyond the largest measured size.
	Exponent float64 `json:"exponent"`
	Points   int     `json:"points"`
}

// At returns the value of the curve at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*f.Form.transform(size) }

// significantErrors is the number of standard errors by which a slope must differ from zero. Otherwise, the cost counts as constant.
const significantErrors = 2

// BestFit fits each form by least squares and returns the fit with the smallest residual. It returns the mean if the slope of that fit does
// not differ significantly from zero.
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

// checkPoints returns an error if the points have too few sizes, a size below 1, or a value that is not finite.
func checkPoints(points []Point) error {
	sizes := map[int]bool{}
	for _, p := range points {
		if p.Size < 1 {
			return fmt.Errorf("slopes: cannot fit a size of %d", p.Size)
		}
		if math.IsNaN(p.Value) || math.IsInf(p.Value, 0) {
			return fmt.Errorf("slopes: the value at size %d is not finite", p.Size)
		}
		sizes[p.Size] = true
	}
	if len(sizes) < MinSizes {
		return fmt.Errorf("slopes: a fit needs at least %d different sizes, but has %d", MinSizes, len(sizes))
	}
	return nil
}

// fitForm returns the ordinary least-squares line through the points, with sizes transformed by the form.
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

// fitConstant returns the mean of the points as a fit.
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

// growthExponent returns the least-squares slope of log value over log size for the points from the median size on. It returns 0 if one of
// these values is not positive, or if all these points have the same size.
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

// medianSize returns the median of the sizes, or the lower one of the two in the middle.
func medianSize(points []Point) int {
	sizes := make([]int, 0, len(points))
	for _, p := range points {
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return sizes[(len(sizes)-1)/2]
}
