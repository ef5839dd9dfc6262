package dispatch

import "math"

// sample is a set of observations.
type sample struct{ count, sum, squares float64 }

func (s *sample) add(value float64) {
	s.count++
	s.sum += value
	s.squares += value * value
}

func (s *sample) join(o sample) {
	s.count += o.count
	s.sum += o.sum
	s.squares += o.squares
}

func (s sample) without(o sample) sample {
	return sample{count: s.count - o.count, sum: s.sum - o.sum, squares: s.squares - o.squares}
}

func (s sample) mean() float64 { return s.sum / s.count }

// standardError returns the standard error of the mean.
func (s sample) standardError() float64 {
	variance := max(s.squares/s.count-s.mean()*s.mean(), 0)
	return math.Sqrt(variance / s.count)
}

// clearlyAbove reports whether the difference between the means is no accident.
func (s sample) clearlyAbove(o sample) bool {
	return s.mean()-o.mean() > kneeErrors*math.Hypot(s.standardError(), o.standardError())
}

// split returns the variance between this part of all observations and the rest when the rest is the greater one.
func (s sample) split(all sample) float64 {
	rest := all.without(s)
	if s.count == 0 || rest.count == 0 || rest.mean() <= s.mean() {
		return 0
	}
	difference := rest.mean() - s.mean()
	return s.count * rest.count / all.count * difference * difference
}
