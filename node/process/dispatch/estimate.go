package dispatch

import "time"

// estimate is a smoothed service time. The first values weigh more, so that it is usable soon.
type estimate struct {
	mean  float64
	count int
}

func (e *estimate) add(took time.Duration) {
	e.count++
	weight := max(smoothing, 1/float64(e.count))
	e.mean += weight * (float64(took) - e.mean)
}

// value returns the estimate, or 0 while nothing is known.
func (e *estimate) value() time.Duration { return time.Duration(e.mean) }
