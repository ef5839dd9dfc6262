package sidecar

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// registerMetrics registers the metrics of the server, of back pressure, of the routing version and of the store's state.
func (n *Node) registerMetrics() {
	n.metrics.Register("server.rate_limit", metrics.NewFunctionalGaugeFloat64(func() float64 { return float64(n.server.Load().RateLimit) }))
	n.metrics.Register("server.cold_limit", metrics.NewFunctionalGaugeFloat64(n.server.ColdLimit))
	n.metrics.Register("server.cold_refusals", metrics.NewFunctionalGauge(n.server.ColdRefusals))
	n.metrics.Register("backpressure.refused", metrics.NewFunctionalGauge(n.refusedByBackPressure))
	n.metrics.Register("backpressure.admitted", metrics.NewFunctionalGaugeFloat64(n.leastAdmitted))
	n.metrics.Register("server.requests", metrics.NewFunctionalGauge(n.server.Requests))
	n.metrics.Register("routing.version", metrics.NewFunctionalGauge(func() int64 { return int64(n.routing.Number()) }))
	n.metrics.Register("routing.behind_ms", metrics.NewFunctionalGauge(func() int64 { return n.peers.BehindBy().Milliseconds() }))
	n.evacuated = metrics.NewRegisteredGauge("evacuated.places", n.metrics)
	n.eraChanges = metrics.NewRegisteredCounter("store.era_changes", n.metrics)
}

// counters records outcomes and latencies in a metrics registry.
type counters struct{ registry metrics.Registry }

// Count increments the counter of an outcome.
func (c counters) Count(name string) { metrics.GetOrRegisterCounter(name, c.registry).Inc(1) }

// Time records a duration in milliseconds.
func (c counters) Time(name string, took time.Duration) {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(latencySamples)) }
	c.registry.GetOrRegister(name+".ms", sample).(metrics.Histogram).Update(took.Milliseconds())
}

// latencySamples is the number of latencies in the sample of a histogram.
const latencySamples = 512
