// Package recent computes quantiles of the latencies of the last seconds.
package recent

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the duration of one histogram; quantiles cover the current and the previous one.
	window = 2 * time.Second
	// cacheTTL is the time for which a computed quantile is reused, since merging the histograms costs microseconds.
	cacheTTL = 50 * time.Millisecond
	// maxLatency is the upper bound of recorded latencies; longer ones are recorded as this value.
	maxLatency = 10 * time.Minute
	// significantFigures is the precision of the histogram; one figure keeps it at a few kilobytes per service.
	significantFigures = 1
	// resolution is the duration of one unit of the histogram.
	resolution = 10 * time.Microsecond
)

// Latencies records latencies. It is not safe for concurrent use. Times are durations since any fixed origin.
type Latencies struct {
	histogram *hdrhistogram.WindowedHistogram
	rotatedAt time.Duration
	cached    map[float64]cachedQuantile
}

// cachedQuantile is a computed quantile; ok is false when too few latencies were recorded.
type cachedQuantile struct {
	at    time.Duration
	value time.Duration
	ok    bool
}

// Record adds one latency.
func (l *Latencies) Record(now, latency time.Duration) {
	if l.histogram == nil {
		l.histogram = hdrhistogram.NewWindowed(2, 1, int64(maxLatency/resolution), significantFigures)
		l.rotatedAt = now
		l.cached = map[float64]cachedQuantile{}
	}
	l.rotate(now)
	v := min(max(int64(latency/resolution), 1), int64(maxLatency/resolution))
	_ = l.histogram.Current.RecordValue(v) // v is within the range of the histogram
}

// rotate starts a new window when the current one is over.
func (l *Latencies) rotate(now time.Duration) {
	if now-l.rotatedAt < window {
		return
	}
	if now-l.rotatedAt >= 2*window {
		l.histogram.Rotate()
	}
	l.histogram.Rotate()
	l.rotatedAt = now
}

// Quantile returns the q-quantile of recent latencies, and false when fewer than minSamples were recorded.
func (l *Latencies) Quantile(now time.Duration, q float64, minSamples int64) (time.Duration, bool) {
	if l.histogram == nil {
		return 0, false
	}
	if c, ok := l.cached[q]; ok && now-c.at < cacheTTL {
		return c.value, c.ok
	}
	l.rotate(now)
	merged := l.histogram.Merge()
	c := cachedQuantile{at: now, ok: merged.TotalCount() >= minSamples}
	if c.ok {
		c.value = time.Duration(merged.ValueAtQuantile(q*100)) * resolution
	}
	l.cached[q] = c
	return c.value, c.ok
}
