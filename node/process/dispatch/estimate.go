package dispatch

import "time"

// ewmaWeight is the weight of a new service time in the moving average.
const ewmaWeight = 0.05

// ewma is an exponentially weighted moving average of service times. The first values have a higher weight, so that the
// average is usable after a few calls.
type ewma struct {
	mean  float64
	count int
}

func (e *ewma) add(elapsed time.Duration) {
	e.count++
	weight := max(ewmaWeight, 1/float64(e.count))
	e.mean += weight * (float64(elapsed) - e.mean)
}

// value returns the average, or 0 if no value was added.
func (e *ewma) value() time.Duration { return time.Duration(e.mean) }

// minimumWindow is the length of a window of recentMinimum. It spans several slow periods.
const minimumWindow = 2 * time.Second

// recentMinimum is the minimum of the values in the current and the previous window, so that a value is dropped after
// one to two windows.
type recentMinimum struct {
	current, previous int
	windowStart       time.Time
}

func (m *recentMinimum) add(value int, now time.Time) {
	switch age := now.Sub(m.windowStart); {
	case age > 2*minimumWindow:
		m.previous, m.current, m.windowStart = value, value, now
	case age > minimumWindow:
		m.previous, m.current, m.windowStart = m.current, value, now
	default:
		m.current = min(m.current, value)
	}
}

func (m *recentMinimum) value(now time.Time) int {
	if now.Sub(m.windowStart) > minimumWindow {
		return m.current
	}
	return min(m.current, m.previous)
}
