package dispatch

import "time"

// smoothing is the weight of a new service time.
const smoothing = 0.05

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

// minimumWindow is the time after which a minimum is forgotten, once or twice as long. It spans several slow spells.
const minimumWindow = 2 * time.Second

// recentMinimum is the least value of the last one or two windows.
type recentMinimum struct {
	current, previous int
	began             time.Time
}

func (m *recentMinimum) add(value int, now time.Time) {
	switch age := now.Sub(m.began); {
	case age > 2*minimumWindow:
		m.previous, m.current, m.began = value, value, now
	case age > minimumWindow:
		m.previous, m.current, m.began = m.current, value, now
	default:
		m.current = min(m.current, value)
	}
}

// value returns the minimum.
func (m *recentMinimum) value(now time.Time) int {
	if now.Sub(m.began) > minimumWindow {
		return m.current
	}
	return min(m.current, m.previous)
}
