package node

import (
	"runtime"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/process/exposition"
	"github.com/radishstand/radishstand/node/request/entry"
)

// Reservoir size and decay factor of the latency samples, as recommended by go-metrics.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// callMetrics counts the calls that ended at this node: calls.<service>.<outcome>, calls.<service>.attempts and the
// latencies calls.<service>.latency-us, whose sum is in calls.<service>.latency-us-sum. Each service has its own metrics
// and locks.
type callMetrics struct {
	registry metrics.Registry
	services sync.Map // from service name to *serviceMetrics
}

type serviceMetrics struct {
	outcomes map[contract.Outcome]metrics.Counter
	attempts metrics.Counter
	latency  metrics.Histogram
	// latencySum covers all calls; the sum of the histogram covers only its sample.
	latencySum metrics.Counter
}

func newCallMetrics(registry metrics.Registry) *callMetrics { return &callMetrics{registry: registry} }

func (m *callMetrics) forService(service string) *serviceMetrics {
	if s, ok := m.services.Load(service); ok {
		return s.(*serviceMetrics)
	}
	prefix := "calls." + service + "."
	s := &serviceMetrics{
		outcomes: map[contract.Outcome]metrics.Counter{},
		attempts: metrics.GetOrRegisterCounter(prefix+"attempts", m.registry),
		latency: metrics.GetOrRegisterHistogram(
			prefix+"latency-us", m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		latencySum: metrics.GetOrRegisterCounter(prefix+"latency-us"+exposition.SumSuffix, m.registry),
	}
	for _, outcome := range []contract.Outcome{contract.OutcomeRun, contract.OutcomeNotRun, contract.OutcomeUnknown} {
		s.outcomes[outcome] = metrics.GetOrRegisterCounter(prefix+string(outcome), m.registry)
	}
	stored, _ := m.services.LoadOrStore(service, s)
	return stored.(*serviceMetrics)
}

// unmatchedService is the service name under which calls that match no service are counted. Callers control the requested
// name, so it must not create new metrics.
const unmatchedService = "unmatched"

func (m *callMetrics) record(r *entry.Record) {
	service := r.Service
	if service == "" {
		service = unmatchedService
	}
	s := m.forService(service)
	s.outcomes[r.Outcome].Inc(1)
	s.attempts.Inc(int64(len(r.Attempts)))
	s.latency.Update(r.Took.Microseconds())
	s.latencySum.Inc(r.Took.Microseconds())
}

// breakerClosed is the state of a circuit breaker that lets requests pass.
const breakerClosed = "closed"

func boolGauge(holds bool) int64 {
	if holds {
		return 1
	}
	return 0
}

// Counters of events that alarms watch. They are registered at the start, since Prometheus sees no increase in a series
// that first appears with the value 1.
const (
	counterRefused        = "operator.refused"
	counterReloadFailures = "files.reload-failures"
)

func (n *Node) countEvent(name string) { metrics.GetOrRegisterCounter(name, n.metrics).Inc(1) }

// registerGauges registers the counters of alarms and the gauges that are computed when metrics are read.
func (n *Node) registerGauges() {
	gauge := func(name string, value func() int64) {
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
	for _, name := range []string{counterRefused, counterReloadFailures} {
		metrics.GetOrRegisterCounter(name, n.metrics)
	}
	gauge("node.calls-in-progress", n.core.entry.InProgress)
	gauge("node.attempts-at-server", func() int64 { return int64(n.core.serve.Parents.Len()) })
	gauge("node.peer-connections", func() int64 { return int64(n.pool.Len()) })
	gauge("node.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	gauge("node.settings-version", func() int64 {
		version, _ := view{n}.Current()
		return version
	})
	gauge("membership.sent-bytes", func() int64 { return n.fleet.members.Traffic().SentBytes })
	gauge("membership.sent-messages", func() int64 { return n.fleet.members.Traffic().SentMessages })
	gauge("node.serving", func() int64 { return boolGauge(view{n}.serving()) })
	gauge("platform.table.available", func() int64 { return boolGauge(n.fleet.guard.State().Table.Breaker == breakerClosed) })
	gauge("platform.objects.available", func() int64 {
		return boolGauge(n.fleet.guard.State().Objects.Breaker == breakerClosed)
	})
	for listener, expiry := range n.certificates.expiries() {
		gauge("certificate."+listener+".expires-s", func() int64 { return expiry().Unix() })
	}
	gauge("measure.requests", func() int64 {
		if s := n.core.registry.Current(); s != nil {
			return s.Meter.Dump().Asked
		}
		return 0
	})
}
