package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a poll of 30 s at a store that has just refused a call and now leaves calls unanswered.
func TestPollIsLongOnlyWhileTheStoreAnswers(t *testing.T) {
	assert.Equal(t, routingPollTimeout, pollWait(false, false))
	assert.Equal(t, frequentPollTimeout, pollWait(false, true), "the last one has failed")
	assert.Equal(t, frequentPollTimeout, pollWait(true, false), "this node is a frequent poller")
}

// Guards against ending the poll after the one that is lost, and against ending polls that the frequent pollers send anyway.
func TestOnlyTheLostPollIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p routingPoll
		lost := p.begin(t.Context(), Revision{Row: 1})
		p.endAfter(lostPollDelay)
		time.Sleep(lostPollDelay / 2)
		assert.NoError(t, lost.Err(), "the response may still come")
		time.Sleep(lostPollDelay)
		assert.ErrorIs(t, context.Cause(lost), errPollEnded)
		p.finish()

		answered := p.begin(t.Context(), Revision{Row: 1})
		p.endAfter(lostPollDelay)
		p.finish()
		assert.NotErrorIs(t, context.Cause(answered), errPollEnded)
		next := p.begin(t.Context(), Revision{Row: 2})
		p.setWait(frequentPollTimeout)
		p.shorten()
		time.Sleep(2 * lostPollDelay)
		assert.NoError(t, next.Err())
	})
}
