package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a node that seems to be behind for too short a time while versions follow each other, or for too long after it has caught up.
func TestNodeIsBehindSinceTheFirstVersionThatItLacks(t *testing.T) {
	var newest newestVersion
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	assert.Zero(t, newest.behindSince(1), "no version was reported")
	newest.record(2, 1, at(1))
	newest.record(3, 1, at(2))
	newest.record(2, 1, at(3))
	assert.Equal(t, at(1), newest.behindSince(1))
	assert.Equal(t, at(1), newest.behindSince(2))
	assert.Zero(t, newest.behindSince(3))
	newest.record(4, 3, at(9))
	assert.Equal(t, at(9), newest.behindSince(3))
}
