package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a replaced version that counts as current, and against the time of a later replacement instead of the first one.
func TestHistoryKnowsWhenAVersionWasReplaced(t *testing.T) {
	h := &History{}
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	assert.Zero(t, h.ReplacedFor(3, at(0)), "a process that has no version yet")
	h.Add(4, at(0))
	h.Add(8, at(10))
	h.Add(9, at(20))
	h.Add(8, at(30)) // late
	assert.Equal(t, 40*time.Second, h.ReplacedFor(3, at(40)))
	assert.Equal(t, 30*time.Second, h.ReplacedFor(4, at(40)))
	assert.Equal(t, 30*time.Second, h.ReplacedFor(7, at(40)))
	assert.Equal(t, 20*time.Second, h.ReplacedFor(8, at(40)))
	assert.Zero(t, h.ReplacedFor(9, at(40)))
	assert.Zero(t, h.ReplacedFor(10, at(40)), "a version that is not here yet")
	for v := range uint64(2 * maxHistory) {
		h.Add(100+v, at(50))
	}
	assert.Len(t, h.applied, maxHistory)
	assert.Zero(t, h.ReplacedFor(99+2*maxHistory, at(60)))
	assert.Equal(t, 10*time.Second, h.ReplacedFor(98+2*maxHistory, at(60)))
}
