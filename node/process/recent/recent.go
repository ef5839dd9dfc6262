// Package recent keeps percentiles of the latencies of the last seconds.
package recent

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the span of one histogram; percentiles cover the current and the previous one.
	window = 2 * time.Second
	// refresh is the time for which a computed percentile is reused, since merging costs microseconds.
	refresh = 50 * time.Millisecond
	// highest is the longest latency that is recorded as it is; longer ones count as this one.
	highest = 10 * time.Minute
	// figures is the precision of the histogram; one significant figure keeps it at a few kilobytes a service.
	figures = 1
	// unit is the resolution of the histogram.
	unit = 10 * time.Microsecond
)

// Latencies records latencies. It is not safe for concurrent use. Times are durations since any fixed origin.
type Latencies struct {
	histogram *hdrhistogram.WindowedHistogram
	turned    time.Duration
	cached    map[float64]cached
}

type cached struct {
	at    time.Duration
	value time.Duration
	ok    bool
}

// Record adds one latency.
func (l *Latencies) Record(now, latency time.Duration) {
	if l.histogram == nil {
		l.histogram = hdrhistogram.NewWindowed(2, 1, int64(highest/unit), figures)
		l.turned = now
		l.cached = map[float64]cached{}
	}
	l.turn(now)
	v := min(max(int64(latency/unit), 1), int64(highest/unit))
	_ = l.histogram.Current.RecordValue(v) // v is within the range of the histogram
}

// turn starts a new window when the current one is over.
func (l *Latencies) turn(now time.Duration) {
	if now-l.turned < window {
		return
	}
	if now-l.turned >= 2*window {
		l.histogram.Rotate()
	}
	l.histogram.Rotate()
	l.turned = now
}

// Quantile returns the q-quantile of recent latencies, and false when fewer than enough were recorded.
func (l *Latencies) Quantile(now time.Duration, q float64, enough int64) (time.Duration, bool) {
	if l.histogram == nil {
		return 0, false
	}
	if c, ok := l.cached[q]; ok && now-c.at < refresh {
		return c.value, c.ok
	}
	l.turn(now)
	merged := l.histogram.Merge()
	c := cached{at: now, ok: merged.TotalCount() >= enough}
	if c.ok {
		c.value = time.Duration(merged.ValueAtQuantile(q*100)) * unit
	}
	l.cached[q] = c
	return c.value, c.ok
}
