// Package exposition serves the metrics of a node in the Prometheus text format.
package exposition

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// maxScrapes limits the scrapes in progress, and thereby the memory that they use.
const maxScrapes = 2

// Handler serves the metrics of the registry, the Go runtime and the process.
func Handler(registry metrics.Registry) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(collector{registry}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, ErrorHandling: promhttp.ContinueOnError})
}

// collector collects the metrics of a go-metrics registry.
type collector struct{ registry metrics.Registry }

// Describe implements prometheus.Collector. It sends no descriptors, because the set of metrics changes with the services
// that are called.
func (collector) Describe(chan<- *prometheus.Desc) {}

// quantiles are the exposed quantiles of latencies.
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

// summary converts a histogram of microseconds to a summary in seconds. The sum is read from a counter, because the sum of
// the histogram covers only its sample.
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
