package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/linkpb"
)

// Guards against ages that depend on the offset between the clocks of two hosts, and against calls that get more time than is
// left.
func TestFrameAgeIsItsDelayBeyondTheShortestOne(t *testing.T) {
	var ages frameAges
	const offset = time.Hour
	assert.Zero(t, ages.observe(offset, 5*time.Millisecond), "nothing is known before the first frame")
	assert.Equal(t, 2*time.Second, ages.observe(offset+time.Second, 3*time.Second+5*time.Millisecond))
	assert.Zero(t, ages.observe(offset+4*time.Second, 4*time.Second+time.Millisecond), "a shorter delay is the new measure")
	assert.Equal(t, 4*time.Millisecond, ages.observe(offset+5*time.Second, 5*time.Second+5*time.Millisecond))
}

// Guards against calls that get the time which they have spent in the network, and against calls that count as decided when they arrive.
func TestAgeIsTakenOffTheTimeLeft(t *testing.T) {
	cases := map[string]struct {
		age          time.Duration
		left, waited uint32
	}{
		"a link that works": {minFrameAge - time.Millisecond, 1000, 30},
		"a short wait":      {200 * time.Millisecond, 800, 230},
		"past the deadline": {2 * time.Second, 0, 2030},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			call := &linkpb.Call{LeftMs: 1000, WaitedMs: 30}
			takeOff(call, c.age)
			assert.Equal(t, c.left, call.LeftMs)
			assert.Equal(t, c.waited, call.WaitedMs)
		})
	}
}
