package front

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against requests that end without a response because the process ends, and against ended requests that are handled like those
// whose callers have left, for which no confirmation is awaited.
func TestEndedRequestsLookLateAndNotAbandoned(t *testing.T) {
	o := newOpenRequests()
	caller, leave := context.WithCancel(t.Context())
	left, doneLeft := o.begin(caller, time.Now().Add(time.Hour))
	ended, doneEnded := o.begin(t.Context(), time.Now().Add(time.Hour))
	_, doneEarlier := o.begin(t.Context(), time.Now().Add(time.Hour))
	doneEarlier()
	leave()
	assert.Equal(t, 2, o.end())
	assert.ErrorIs(t, left.Err(), context.Canceled)
	assert.ErrorIs(t, ended.Err(), context.DeadlineExceeded)
	<-ended.Done()
	doneLeft()
	doneEnded()
	assert.Zero(t, o.end())
}
