package node

import (
	"testing"
)

// Guards against shares of the store's budget that add up to more than the platform gives the fleet.
func TestSharesOfTheStoreBudgetAddUpToOne(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews", "quotes", "crews", "quotes")
	f.await("all nodes see one fleet", func() bool {
		var reads, writes float64
		for _, n := range f.nodes {
			r, w := n.fleet.storeShare(n.fleet.liveNodes())
			reads, writes = reads+r, writes+w
		}
		return reads > 0.999 && reads < 1.001 && writes > 0.999 && writes < 1.001
	})
}
