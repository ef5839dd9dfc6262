package platform

import (
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// counters counts the operations on one service of the platform. Each attempt that the breaker lets through, including
// probes, increments one of the outcome counters.
type counters struct {
	registry metrics.Registry

	ok, condition, conflict, notFound, invalid, unknown, unavailable metrics.Counter
	overBudget, failedFast, retries, probes                          metrics.Counter

	mu          sync.Mutex
	lastError   string
	lastErrorAt time.Time
}

func newCounters(service string, parent metrics.Registry) *counters {
	c := &counters{registry: metrics.NewRegistry()}
	for name, counter := range map[string]*metrics.Counter{
		"ok": &c.ok, "condition": &c.condition, "conflict": &c.conflict, "notFound": &c.notFound,
		"invalid": &c.invalid, "unknown": &c.unknown, "unavailable": &c.unavailable,
		"overBudget": &c.overBudget, "failedFast": &c.failedFast, "retries": &c.retries, "probes": &c.probes,
	} {
		*counter = metrics.NewRegisteredCounter(name, c.registry)
		if parent != nil {
			_ = parent.Register("platform."+service+"."+name, *counter)
		}
	}
	return c
}

// count records the outcome of one attempt.
func (c *counters) count(err error) {
	switch {
	case err == nil:
		c.ok.Inc(1)
	case errors.Is(err, ErrCondition):
		c.condition.Inc(1)
	case errors.Is(err, ErrConflict):
		c.conflict.Inc(1)
	case errors.Is(err, ErrNotFound):
		c.notFound.Inc(1)
	case errors.Is(err, ErrInvalid):
		c.invalid.Inc(1)
	case errors.Is(err, ErrOutcomeUnknown):
		c.unknown.Inc(1)
	default:
		c.unavailable.Inc(1)
	}
	if isFailure(err) || errors.Is(err, ErrInvalid) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastError, c.lastErrorAt = err.Error(), time.Now()
	}
}

// values returns the counters that are not zero.
func (c *counters) values() map[string]int64 {
	values := map[string]int64{}
	c.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok && counter.Count() != 0 {
			values[name] = counter.Count()
		}
	})
	return values
}
