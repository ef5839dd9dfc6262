package localserver

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a call that waits without an end: it began to wait when a sweep had just found no waiting call.
func TestCallThatBeginsToWaitDuringASweepGetsTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sweeps := 0
		s := &sweeper{}
		s.sweep = func() bool {
			if sweeps++; sweeps == 1 {
				s.schedule() // by another goroutine, after the sweep has looked at the queue
			}
			return false
		}
		s.schedule()
		time.Sleep(10 * sweepInterval)
		synctest.Wait()
		assert.Equal(t, 2, sweeps)
	})
}

// Guards against sweeps that run side by side, and against sweeps without a waiting call.
func TestSweepsRunOnlyWhileCallsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sweeps := 0
		s := &sweeper{sweep: func() bool { sweeps++; return sweeps < 3 }}
		s.schedule()
		s.schedule()
		time.Sleep(10 * sweepInterval)
		synctest.Wait()
		assert.Equal(t, 3, sweeps)
	})
}
