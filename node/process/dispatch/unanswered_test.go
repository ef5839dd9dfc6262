package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/dispatch"
)

// Guards against a server that answers nothing in time and is reported as fast as before, and against one that is never tried again.
func TestCallsWithoutAnAnswerRaiseTheReportedServiceTime(t *testing.T) {
	for name, enabled := range map[string]bool{"recorded": true, "not recorded": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			d := dispatch.New(func() time.Time { return now }, nil)
			d.RecordUnanswered(func() bool { return enabled })
			d.Open(1)
			run := func(took time.Duration, answered bool) {
				job := &dispatch.Job{Deadline: now.Add(time.Minute), Objective: now.Add(time.Minute)}
				d.Submit(job, func(err error) { assert.NoError(t, err) })
				now = now.Add(took)
				d.Done(job, answered)
			}
			run(100*time.Millisecond, true)
			run(10*time.Millisecond, false)
			assert.Equal(t, 100*time.Millisecond, d.Load().ServiceTime, "a quick failure says nothing")
			for range 40 {
				run(1200*time.Millisecond, false)
			}
			if !enabled {
				assert.Equal(t, 100*time.Millisecond, d.Load().ServiceTime)
				return
			}
			assert.Greater(t, d.Load().ServiceTime, time.Second)
			now = now.Add(3 * time.Second)
			assert.Zero(t, d.Load().ServiceTime)
		})
	}
}
