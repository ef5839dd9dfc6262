package dispatch

import "math"

// sample holds the count, the sum and the sum of squares of a set of observations.
type sample struct{ count, sum, squares float64 }

func (s *sample) add(value float64) {
	s.count++
	s.sum += value
	s.squares += value * value
}

// merge adds the observations of o.
func (s *sample) merge(o sample) {
	s.count += o.count
	s.sum += o.sum
	s.squares += o.squares
}

// without returns the observations of s less those of its subset o.
func (s sample) without(o sample) sample {
	return sample{count: s.count - o.count, sum: s.sum - o.sum, squares: s.squares - o.squares}
}

func (s sample) mean() float64 { return s.sum / s.count }

// standardError returns the standard error of the mean.
func (s sample) standardError() float64 {
	variance := max(s.squares/s.count-s.mean()*s.mean(), 0)
	return math.Sqrt(variance / s.count)
}

// significantlyAbove reports whether the mean is above that of o by more than minKneeStandardErrors standard errors of
// the difference.
func (s sample) significantlyAbove(o sample) bool {
	return s.mean()-o.mean() > minKneeStandardErrors*math.Hypot(s.standardError(), o.standardError())
}

// betweenVariance returns the between-group sum of squares of s and the rest of all observations, or 0 if the rest does
// not have the greater mean.
func (s sample) betweenVariance(all sample) float64 {
	rest := all.without(s)
	if s.count == 0 || rest.count == 0 || rest.mean() <= s.mean() {
		return 0
	}
	difference := rest.mean() - s.mean()
	return s.count * rest.count / all.count * difference * difference
}
