package slopes

import (
	"math"
	"testing"
)

// points returns the values of a curve at several sizes. The noise is a share of the value whose sign alternates.
func points(noise float64, curve func(float64) float64) []Point {
	var list []Point
	for i, size := range []int{50, 100, 200, 400, 800} {
		sign := float64(1 - 2*(i%2))
		list = append(list, Point{size, curve(float64(size)) * (1 + sign*noise)})
	}
	return list
}

// TestFitRecoversSlope guards against a fit that picks the wrong form or slope, for points without noise and with a little noise.
func TestFitRecoversSlope(t *testing.T) {
	for form, curve := range map[Form]func(float64) float64{
		Linear:      func(n float64) float64 { return 100 + 7*n },
		Logarithmic: func(n float64) float64 { return 100 + 7*math.Log2(n) },
		SquareRoot:  func(n float64) float64 { return 100 + 7*math.Sqrt(n) },
	} {
		for _, noise := range []float64{0, 0.002} {
			fit, err := BestFit(points(noise, curve))
			if err != nil {
				t.Fatal(err)
			}
			if fit.Form != form {
				t.Errorf("%v with noise %v was identified as %v", form, noise, fit.Form)
			}
			if allowed := math.Max(3*fit.SlopeError, 1e-9); math.Abs(fit.Slope-7) > allowed {
				t.Errorf("%v with noise %v: slope %v, error %v", form, noise, fit.Slope, fit.SlopeError)
			}
			if want := curve(3900); math.Abs(fit.At(3900)-want) > 0.05*want {
				t.Errorf("%v with noise %v: %v at 3,900, want %v", form, noise, fit.At(3900), want)
			}
		}
	}
}

// TestFitConstant guards against a slope that is fitted to noise: a cost that does not grow must be extrapolated as its mean.
func TestFitConstant(t *testing.T) {
	fit, err := BestFit(points(0.05, func(float64) float64 { return 400 }))
	if err != nil {
		t.Fatal(err)
	}
	if fit.Form != Constant || math.Abs(fit.At(3900)-400) > 10 {
		t.Errorf("%+v", fit)
	}
}

// TestFitExponent guards against quadratic growth that goes unnoticed, because no form of a fit matches it. The exponent must show it.
func TestFitExponent(t *testing.T) {
	fit, err := BestFit(points(0, func(n float64) float64 { return n * n }))
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fit.Exponent-2) > 1e-6 {
		t.Errorf("exponent %v", fit.Exponent)
	}
}

// TestFitRejectsUnusablePoints checks that BestFit returns an error for points that determine no curve.
func TestFitRejectsUnusablePoints(t *testing.T) {
	good := points(0, func(n float64) float64 { return n })
	for name, list := range map[string][]Point{
		"too few sizes": good[:3],
		"one size":      {{5, 1}, {5, 2}, {5, 3}, {5, 4}},
		"a size of 0":   append([]Point{{0, 1}}, good...),
		"not a number":  append([]Point{{5, math.NaN()}}, good...),
		"infinite":      append([]Point{{5, math.Inf(1)}}, good...),
	} {
		if _, err := BestFit(list); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
