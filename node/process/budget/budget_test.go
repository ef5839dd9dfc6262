package budget_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/budget"
)

// Guards against retries beyond the fleet's limit when calls are spread unevenly over the nodes.
func TestAllNodesTogetherStayWithinTheFleetBudget(t *testing.T) {
	const ratio, extra, calls = 0.2, 64, 3000
	for _, nodes := range []int{1, 3, 14} {
		spent := 0
		for node := range nodes {
			b := budget.New(budget.Limits{Ratio: ratio, Extra: extra}, func() int { return nodes })
			share := calls / (nodes + 1)
			if node == 0 {
				share *= 2 // calls are not spread evenly
			}
			for range share {
				b.Earn("quotes")
				for b.Spend("quotes") {
					spent++
				}
			}
		}
		assert.LessOrEqual(t, spent, int(ratio*calls)+extra, "%d nodes", nodes)
		assert.Greater(t, spent, int(ratio*calls/3), "%d nodes", nodes)
	}
}

// Guards against exceeding the fleet's limit when a service gets retries of its own callers and calls of runs that were
// retried elsewhere, while all nodes restart with full budgets. The load is that of a day on which servers shed calls: 350
// calls at one service, each of which makes 1.4 calls at the other, which gets 685 in the same time.
func TestNestedCallsOfRetriedRunsStayWithinTheFleetBudget(t *testing.T) {
	const (
		nodes  = 13
		ratio  = 0.2
		extra  = 62
		caller = 350
		called = 685
		fanOut = 1.4
	)
	spend := func(calls int) int {
		spent := 0
		for range nodes {
			for range 2 { // before and after a restart
				b := budget.New(budget.Limits{Ratio: ratio, Extra: extra}, func() int { return nodes })
				for range calls / nodes / 2 {
					b.Earn("service")
					for b.Spend("service") {
						spent++
					}
				}
			}
		}
		return spent
	}
	assert.LessOrEqual(t, float64(spend(called))+fanOut*float64(spend(caller)), ratio*called+extra)
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := budget.New(budget.Limits{Ratio: 0.2, Extra: 2}, func() int { return 1 })
	b.Earn("quotes")
	assert.False(t, b.Spend("crews"), "no calls to this service")
	assert.True(t, b.Spend("quotes"))
	assert.False(t, b.Spend("quotes"))
	b.Return("quotes")
	assert.True(t, b.Spend("quotes"), "the retry did not reach a server")
}
