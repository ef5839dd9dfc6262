package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against callers that retry before there is room or together, and against times that callers ignore.
func TestRetryAfterIsTheEarliestRoomSpreadWithinAThirdOfTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var room expectedRoom
		earliest := time.Duration(0)
		for _, ms := range rapid.SliceOf(rapid.IntRange(0, 5000)).Draw(t, "named") {
			named := time.Duration(ms) * time.Millisecond
			room.expect(named)
			if named > 0 && (earliest == 0 || named < earliest) {
				earliest = named
			}
		}
		left := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "left")) * time.Millisecond
		low, high := room.retryAfter(left, 0), room.retryAfter(left, 0.999)
		assert.LessOrEqual(t, high, max(left/3, retryAfterResolution))
		if want := max(earliest, minRetryAfter); want+want/2 <= left/3 {
			assert.Equal(t, want, low)
		}
		if low > retryAfterResolution { // the header shows whole milliseconds
			assert.Greater(t, high, low+low/3, "the spread grows with the time")
		}
	})
}
