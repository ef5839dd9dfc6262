package node

import (
	"slices"
	"sync"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/request/entry"
)

// maxRecentCalls is the maximum number of slow calls, and of failed calls, in a dump.
const maxRecentCalls = 32

// recentCalls keeps records of the slowest calls since the last dump and of the last failed calls.
type recentCalls struct {
	mu     sync.Mutex
	slow   []entry.Record
	failed []entry.Record
	// metrics has its own locks and is not protected by mu.
	metrics *callMetrics
}

func newRecentCalls(m *callMetrics) *recentCalls { return &recentCalls{metrics: m} }

// CallEnded implements entry.Observer.
func (c *recentCalls) CallEnded(r entry.Record) {
	c.metrics.record(&r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Outcome != contract.OutcomeRun {
		c.failed = append(c.failed, r)
		if len(c.failed) > maxRecentCalls {
			c.failed = slices.Delete(c.failed, 0, 1)
		}
	}
	c.recordSlow(r)
}

// recordSlow replaces the fastest of the recorded slow calls if the new call is slower. A dump clears the slow calls.
func (c *recentCalls) recordSlow(r entry.Record) {
	if len(c.slow) < maxRecentCalls {
		c.slow = append(c.slow, r)
		return
	}
	fastest := 0
	for i := range c.slow {
		if c.slow[i].Took < c.slow[fastest].Took {
			fastest = i
		}
	}
	if r.Took > c.slow[fastest].Took {
		c.slow[fastest] = r
	}
}

// CallsDump is the part of a dump that describes calls.
type CallsDump struct {
	// Slowest are the slowest calls since the last dump, slowest first.
	Slowest []entry.Record `json:"slowest"`
	// Failed are the last calls that did not end with an answer of a server, oldest first.
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
