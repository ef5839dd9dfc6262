// Package exposition serves the metrics of a node in the Prometheus text format.
package exposition

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// maxScrapes bounds the scrapes in progress, and with them the memory that they take.
const maxScrapes = 2

// Handler serves the registry, together with the usual metrics of the Go runtime and of the process.
func Handler(registry metrics.Registry) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(collector{registry}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, ErrorHandling: promhttp.ContinueOnError})
}

// collector reads a registry of go-metrics.
type collector struct{ registry metrics.Registry }

// Describe implements prometheus.Collector. It describes nothing, since the metrics of services come and go with their
// calls.
func (collector) Describe(chan<- *prometheus.Desc) {}

// quantiles of latencies that are exposed.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

const microsecondsPerSecond = 1e6

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		_, counter := metric.(metrics.Counter)
		s, ok := seriesOf(name, counter)
		if !ok {
			return
		}
		switch m := metric.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(s.desc(), prometheus.CounterValue, float64(m.Count()), s.values...)
		case metrics.Gauge:
			out <- prometheus.MustNewConstMetric(s.desc(), s.gaugeType(), float64(m.Value()), s.values...)
		case metrics.Histogram:
			out <- c.summary(s, name, m.Snapshot())
		}
	})
}

// summary exposes a histogram of microseconds. Its own sum covers only the sample, so the sum comes from a counter.
func (c collector) summary(s series, name string, h metrics.Histogram) prometheus.Metric {
	sum := 0.0
	if total, ok := c.registry.Get(name + SumSuffix).(metrics.Counter); ok {
		sum = float64(total.Count()) / microsecondsPerSecond
	}
	values := map[float64]float64{}
	for i, value := range h.Percentiles(quantiles) {
		values[quantiles[i]] = value / microsecondsPerSecond
	}
	return prometheus.MustNewConstSummary(s.desc(), uint64(h.Count()), sum, values, s.values...)
}
