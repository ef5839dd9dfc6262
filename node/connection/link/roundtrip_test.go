package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a round trip that a slow answer to one ping makes long, and one that stays short after the path has changed.
func TestRoundTripFollowsTheShortestAnswers(t *testing.T) {
	var r roundTrip
	for _, ms := range []int{8, 400, 9, 7} {
		r.observe(time.Duration(ms) * time.Millisecond)
	}
	assert.Equal(t, 7*time.Millisecond, r.estimate)
	for range 200 {
		r.observe(30 * time.Millisecond)
	}
	assert.InDelta(t, float64(30*time.Millisecond), float64(r.estimate), float64(time.Millisecond))
}
