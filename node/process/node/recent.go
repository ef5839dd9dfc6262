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
	counts map[string]map[contract.Outcome]int64
}

func newRecentCalls() *recentCalls {
	return &recentCalls{counts: map[string]map[contract.Outcome]int64{}}
}

// CallEnded implements entry.Observer.
func (c *recentCalls) CallEnded(r entry.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes := c.counts[r.Service]
	if outcomes == nil {
		outcomes = map[contract.Outcome]int64{}
		c.counts[r.Service] = outcomes
	}
	outcomes[r.Outcome]++
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
	Failed []entry.Record                        `json:"failed"`
	Counts map[string]map[contract.Outcome]int64 `json:"counts"`
}

func (c *recentCalls) dump() CallsDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	slowest := c.slow
	c.slow = nil
	slices.SortFunc(slowest, func(a, b entry.Record) int { return int(b.Took - a.Took) })
	counts := make(map[string]map[contract.Outcome]int64, len(c.counts))
	for service, outcomes := range c.counts {
		copied := map[contract.Outcome]int64{}
		for outcome, n := range outcomes {
			copied[outcome] = n
		}
		counts[service] = copied
	}
	return CallsDump{Slowest: slowest, Failed: slices.Clone(c.failed), Counts: counts}
}
