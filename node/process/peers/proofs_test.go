package peers

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against nodes that first ask nodes that do not reach the store, against fleets in which all nodes ask the same one, and against
// large fleets in which all nodes ask the same three.
func TestProofsAreAskedWhereTheyAreExpected(t *testing.T) {
	sources := func(count int) []proofSource {
		made := make([]proofSource, count)
		for i := range made {
			hash := uint64(count - i)
			made[i] = proofSource{server: &Server{}, hash: hash, reachesStore: hash > 2, samePlace: hash%2 == 0}
		}
		return made
	}
	order := func(known []proofSource, own uint64) []int {
		hashes := map[*Server]int{}
		for _, s := range known {
			hashes[s.server] = int(s.hash)
		}
		var ordered []int
		for _, s := range orderSources(known, own) {
			ordered = append(ordered, hashes[s])
		}
		return ordered
	}
	assert.Empty(t, order(nil, 1))
	assert.Equal(t, []int{3, 4, 5, 6, 7, 8, 1, 2}, order(sources(8), 1))
	assert.Equal(t, []int{3, 4, 5, 8, 1, 2, 6, 7}, order(sources(8), 7), "others begin at the own hash")
	known := sources(8)
	known[2].proofAt = 1 // hash 6
	assert.Equal(t, []int{6, 3, 4, 5, 7, 8, 1, 2}, order(known, 1), "the youngest proof came from there")

	large := sources(maxDirectAskers + 10)
	assert.Equal(t, []int{2, 4, 6}, order(large, 100)[:3], "nodes of its own place")
	assert.Equal(t, []int{3, 4, 5}, order(large, 1)[:3], "those ask nodes that reach the store")
	assert.Len(t, order(large, 100), len(large))
}
