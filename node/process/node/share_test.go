package node

import (
	"testing"
)

// Guards against nodes whose shares of the store's budget add up to more, or less, than the budget of the fleet.
func TestSharesOfTheStoreBudgetAddUpToOne(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews", "quotes", "crews", "quotes")
	f.await("the shares add up to one", func() bool {
		var reads, writes float64
		for _, n := range f.nodes {
			r, w := n.fleet.storeShare(n.fleet.liveNodes())
			reads, writes = reads+r, writes+w
		}
		return reads > 0.999 && reads < 1.001 && writes > 0.999 && writes < 1.001
	})
}
