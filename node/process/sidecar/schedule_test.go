package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a fleet in which every node reads all entries of the store every few seconds for as long as one crashed node is
// missing, and against a lost node whose removed entry is noticed late.
func TestMembersAreReadSeldomWhileANodeStaysMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 20 * time.Minute
		missing := true
		schedule := newMembersSchedule(func() bool { return missing })
		start := time.Now()
		schedule.wait(t.Context())
		assert.LessOrEqual(t, time.Since(start), 3*shortMembersInterval/2, "the first read after a loss")
		reads := 1
		for ; time.Since(start) < outage; reads++ {
			schedule.wait(t.Context())
		}
		assert.LessOrEqual(t, reads, 4+int(2*outage/membersInterval))

		missing = false
		schedule.wait(t.Context())
		missing, start = true, time.Now()
		schedule.wait(t.Context())
		assert.LessOrEqual(t, time.Since(start), 3*shortMembersInterval/2, "another node is lost")
	})
}

func TestScheduleEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		start := time.Now()
		newMembersSchedule(func() bool { return false }).wait(ctx)
		assert.Zero(t, time.Since(start))
	})
}
