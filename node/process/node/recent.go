package node

import (
	"slices"
	"sync"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/request/entry"
)

// keptCalls is how many slow calls, and how many failed ones, a dump shows.
const keptCalls = 32

// recentCalls keeps the slowest calls of late and the last failed ones, so that a dump explains them.
type recentCalls struct {
	mu     sync.Mutex
	slow   []entry.Record
	failed []entry.Record
	// metrics have locks of their own.
	metrics *callMetrics
}

func newRecentCalls(m *callMetrics) *recentCalls { return &recentCalls{metrics: m} }

// CallEnded implements entry.Observer.
func (c *recentCalls) CallEnded(r entry.Record) {
	c.metrics.count(&r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Outcome != contract.OutcomeRun {
		c.failed = append(c.failed, r)
		if len(c.failed) > keptCalls {
			c.failed = slices.Delete(c.failed, 0, 1)
		}
	}
	c.keepSlow(r)
}

// keepSlow replaces the quickest kept call by a slower one. Old calls go as a dump is taken.
func (c *recentCalls) keepSlow(r entry.Record) {
	if len(c.slow) < keptCalls {
		c.slow = append(c.slow, r)
		return
	}
	quickest := 0
	for i := range c.slow {
		if c.slow[i].Took < c.slow[quickest].Took {
			quickest = i
		}
	}
	if r.Took > c.slow[quickest].Took {
		c.slow[quickest] = r
	}
}

// CallsDump is what a dump shows of calls.
type CallsDump struct {
	// Slowest calls since the last dump, slowest first.
	Slowest []entry.Record `json:"slowest"`
	// Failed are the last calls that did not end in an answer of a server.
	Failed []entry.Record `json:"failed"`
}

func (c *recentCalls) dump() CallsDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	slowest := c.slow
	c.slow = nil
	slices.SortFunc(slowest, func(a, b entry.Record) int { return int(b.Took - a.Took) })
	return CallsDump{Slowest: slowest, Failed: slices.Clone(c.failed)}
}
