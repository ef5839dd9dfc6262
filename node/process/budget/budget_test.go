package budget_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/budget"
)

// Guards against repeats beyond the fleet's limit, however the calls are spread over the nodes.
func TestNodesTogetherStayWithinTheFleetsBudget(t *testing.T) {
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

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := budget.New(budget.Limits{Ratio: 0.2, Extra: 2}, func() int { return 1 })
	b.Earn("quotes")
	assert.False(t, b.Spend("crews"), "nothing was called there")
	assert.True(t, b.Spend("quotes"))
	assert.False(t, b.Spend("quotes"))
	b.Return("quotes")
	assert.True(t, b.Spend("quotes"), "the repeat did not reach a server")
}
