package slopes

import "math"

// A Line is the least-squares fit of the results of one measure.
type Line struct {
	// Slope is the cost of one more item, Intercept the cost without items.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Low and High are the lowest and the highest slope among the repetitions.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// Residual is the largest deviation of a size's mean from the line, as a
	// fraction of the mean at the largest size.
	Residual float64 `json:"residual"`
}

// maxResidual is the residual up to which a measure counts as linear.
const maxResidual = 0.05

// Linear reports whether the residual is small enough for the cost to count as
// linear.
func (l Line) Linear() bool { return l.Residual <= maxResidual }

// fit returns the least-squares line through the values, which have one row for
// each repetition and one column for each size.
func fit(sizes []int, rows [][]float64) Line {
	mean := make([]float64, len(sizes))
	l := Line{Low: math.Inf(1), High: math.Inf(-1)}
	for _, row := range rows {
		slope, _ := leastSquares(sizes, row)
		l.Low, l.High = min(l.Low, slope), max(l.High, slope)
		for i, v := range row {
			mean[i] += v / float64(len(rows))
		}
	}
	l.Slope, l.Intercept = leastSquares(sizes, mean)
	last := math.Abs(mean[len(mean)-1])
	for i, n := range sizes {
		if d := math.Abs(mean[i] - l.Intercept - l.Slope*float64(n)); last > 0 {
			l.Residual = max(l.Residual, d/last)
		}
	}
	return l
}

func leastSquares(sizes []int, values []float64) (slope, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(sizes))
	for i, size := range sizes {
		x, y := float64(size), values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
