package evacuation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func set(era, row uint64, places ...string) Set { return NewSet(Revision{Era: era, Row: row}, places) }

// Guards against an evacuation that ends because the store has come back without its row, which operators are about to write again, and
// against one that never ends after that.
func TestUnsettledSetOnlyAdds(t *testing.T) {
	var h Holder
	assert.True(t, h.Read(set(1, 8, "north"), true))
	assert.False(t, h.Read(set(2, 5), false), "the store has lost the row")
	assert.Equal(t, []string{"north"}, h.InForce())
	assert.True(t, h.NeedsRead())
	assert.True(t, h.Read(set(2, 6, "south"), false))
	assert.Equal(t, []string{"north", "south"}, h.InForce())
	sent, _ := h.Settled()
	assert.Equal(t, set(1, 8, "north"), sent, "an unsettled set is not sent")

	assert.False(t, h.Read(set(3, 2), false), "the store has come back once more")
	assert.Equal(t, []string{"north", "south"}, h.InForce())
	assert.True(t, h.Read(set(3, 2), true))
	assert.Empty(t, h.InForce())
	assert.False(t, h.NeedsRead())
	sent, any := h.Settled()
	assert.True(t, any, "nodes that hold the set before must hear that it is empty")
	assert.Equal(t, set(3, 2), sent)
}

// Guards against an older set that replaces a newer one, whichever way it comes.
func TestOlderSetHasNoEffect(t *testing.T) {
	older := map[string]Set{
		"an older row":                       set(2, 6, "south"),
		"an older era with a higher version": set(1, 90, "south"),
	}
	for name, old := range older {
		t.Run(name, func(t *testing.T) {
			var h Holder
			h.Receive(set(2, 7, "north"))
			changed, outdated := h.Receive(old)
			assert.False(t, changed)
			assert.True(t, outdated, "the other node gets the newer one")
			assert.False(t, h.Read(old, true))
			assert.False(t, h.Read(old, false))
			assert.Equal(t, []string{"north"}, h.InForce())
		})
	}
}

// Guards against a set of another node that hides a place which this node has read in a later state of the store.
func TestReceivedSetDoesNotReplaceALaterUnsettledOne(t *testing.T) {
	var h Holder
	h.Read(set(1, 8, "north"), true)
	h.Read(set(2, 6, "south"), false)
	changed, _ := h.Receive(set(2, 5))
	assert.True(t, changed, "settled by the other node: north is not evacuated any more")
	assert.Equal(t, []string{"south"}, h.InForce())
	changed, _ = h.Receive(set(2, 6, "south"))
	assert.False(t, changed)
	assert.False(t, h.NeedsRead(), "settled by the other node")
}

// Guards against frames in a fleet that has never evacuated a place.
func TestNothingIsSentWithoutAnEvacuation(t *testing.T) {
	var h Holder
	assert.False(t, h.Read(set(0, 8), true))
	assert.False(t, h.Read(set(1, 5), false))
	_, any := h.Settled()
	assert.False(t, any)
	assert.False(t, h.NeedsRead())
}

// Guards against nodes that hold different sets in the end, or that send each other sets without end.
func TestNodesEndWithTheNewestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var holders [nodes]Holder
		var newest Set
		for row := range uint64(rapid.IntRange(1, 8).Draw(t, "rows")) {
			places := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3).Draw(t, "places")
			newest = set(row/3, row+1, places...)
			reader := rapid.IntRange(0, nodes-1).Draw(t, "reader")
			holders[reader].Read(newest, true)
			holders[rapid.IntRange(0, nodes-1).Draw(t, "receiver")].Receive(newest)
		}
		adopted := 0
		for changed := true; changed; {
			changed = false
			for from := range holders {
				for to := range holders {
					sent, any := holders[from].Settled()
					if !any {
						continue
					}
					adopts, outdated := holders[to].Receive(sent)
					if outdated {
						if reply, any := holders[to].Settled(); any {
							adopts, _ = holders[from].Receive(reply)
						}
					}
					if adopts {
						adopted, changed = adopted+1, true
					}
				}
			}
			if adopted > nodes*nodes*8 {
				t.Fatal("the exchange does not end")
			}
		}
		for i := range holders {
			if _, any := holders[i].Settled(); any && fmt.Sprint(holders[i].InForce()) != fmt.Sprint(newest.Places) {
				t.Fatalf("node %d holds %v, the newest set is %v", i, holders[i].InForce(), newest.Places)
			}
		}
	})
}
