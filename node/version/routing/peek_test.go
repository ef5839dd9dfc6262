package routing_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/version/routing"
)

// Guards against an explanation that names another service than the next call gets, or that takes its turn.
func TestPeekReturnsTheNextServiceWithoutItsTurn(t *testing.T) {
	s := split(t, routing.Part{Service: "a", Weight: 5}, routing.Part{Service: "b", Weight: 0}, routing.Part{Service: "c", Weight: 1.5})
	counts := map[string]int{}
	for range 1300 {
		assert.Equal(t, s.Peek(), s.Peek())
		next := s.Peek()
		assert.Equal(t, next, s.Next())
		counts[next]++
	}
	assert.InDelta(t, 1000, counts["a"], 1)
	assert.InDelta(t, 300, counts["c"], 1)
}
