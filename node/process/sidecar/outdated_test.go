package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/linkpb"
)

// Guards against calls that are refused although their requests arrived before a change or just after it, and against an outdated version
// that is not noticed.
func TestOnlyCallsDecidedLongAfterAReplacementAreOutdated(t *testing.T) {
	const within = 2 * time.Second
	cases := map[string]struct {
		within      time.Duration
		version     uint64
		replacedFor time.Duration
		waited      time.Duration
		outdated    bool
	}{
		"the current version":                         {within, 4, 10 * time.Second, 0, false},
		"a version that is not here yet":              {within, 5, 10 * time.Second, 0, false},
		"a version that was replaced just before":     {within, 3, within/2 - 100*time.Millisecond, 0, false},
		"a version that was replaced long before":     {within, 3, within/2 + 100*time.Millisecond, 0, true},
		"a request that arrived before the change":    {within, 3, 10 * time.Second, 11 * time.Second, false},
		"a request that arrived long after a change":  {within, 3, 10 * time.Second, 8 * time.Second, true},
		"a request that arrived just after a change":  {within, 3, 10 * time.Second, 9500 * time.Millisecond, false},
		"a node of a build that names no version":     {within, 0, 10 * time.Second, 0, false},
		"a deployment without a bound for its change": {0, 3, 10 * time.Second, 0, false},
	}
	for name, c := range cases {
		n := &Node{}
		n.config.Store(&Config{ApplyWithin: c.within})
		n.history.Add(3, time.Now().Add(-time.Minute))
		n.history.Add(4, time.Now().Add(-c.replacedFor))
		call := &linkpb.Call{RoutingVersion: c.version, WaitedMs: uint32(c.waited.Milliseconds())}
		assert.Equal(t, c.outdated, n.isOutdated(call), name)
	}
}
