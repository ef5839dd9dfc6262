package link

import (
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
)

// minFrameAge is the age from which the time that a frame has waited is taken off its call. Shorter waits are those of a link
// that works.
const minFrameAge = 50 * time.Millisecond

// frameAges determines how long frames have waited before they were read: in the network, while a link was cut, or at a host
// that was paused or suspended. The clocks of two hosts differ by an unknown offset, so that the frame with the shortest delay
// is taken as the measure of the others.
type frameAges struct {
	known    bool
	minDelta time.Duration
}

// observe returns the age of a frame that was sent at the sender's time sent and read at the receiver's time now.
func (a *frameAges) observe(sent, now time.Duration) time.Duration {
	delta := now - sent
	if !a.known || delta < a.minDelta {
		a.known, a.minDelta = true, delta
	}
	return delta - a.minDelta
}

// takeOff reduces the time that is left for a call by the age of its frame, and adds the age to the time for which the call has waited. A
// call whose deadline has passed is refused by the dispatcher.
func takeOff(call *linkpb.Call, age time.Duration) {
	if age < minFrameAge {
		return
	}
	call.LeftMs = subtractMs(call.LeftMs, age)
	call.ObjectiveMs = subtractMs(call.ObjectiveMs, age)
	call.WaitedMs += uint32(age.Milliseconds())
}

func subtractMs(ms uint32, age time.Duration) uint32 {
	return uint32(max(int64(ms)-age.Milliseconds(), 0))
}
