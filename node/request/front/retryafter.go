package front

import "time"

const (
	// minRetryAfter is the Retry-After time while no server has named one, and the lower bound unless the deadline is near.
	minRetryAfter = 40 * time.Millisecond
	// retryAfterSpread is the largest share of the Retry-After time that is added at random, so that refused callers do not return
	// together.
	retryAfterSpread = 0.5
	// maxRetryAfterShare is the largest share of the time left until the deadline that a Retry-After time takes. Callers ignore a
	// longer one.
	maxRetryAfterShare = 1.0 / 3
	// shortestRetryAfter is the smallest time that the header shows.
	shortestRetryAfter = time.Millisecond
)

// expectedRoom is when the servers that refused a call expect room for it.
type expectedRoom struct {
	// earliest is the smallest time that a server has named; 0 if none has.
	earliest time.Duration
}

// expect records the time that a server has named; 0 if it has named none.
func (e *expectedRoom) expect(after time.Duration) {
	if after > 0 && (e.earliest == 0 || after < e.earliest) {
		e.earliest = after
	}
}

// retryAfter returns the Retry-After time of a call for which the given time is left, and none after its deadline. The random number
// in [0, 1) spreads it: upwards from the expected time, or downwards from the bound when the expected time does not fit below it.
func (e *expectedRoom) retryAfter(left time.Duration, random float64) time.Duration {
	after := max(e.earliest, minRetryAfter)
	spread := time.Duration(retryAfterSpread * float64(after))
	if left <= 0 { // the caller's patience is not known
		return after + time.Duration(random*float64(spread))
	}
	if bound := time.Duration(maxRetryAfterShare * float64(left)); after+spread > bound {
		spread = min(spread, time.Duration(retryAfterSpread*float64(bound)))
		after = bound - spread
	}
	return max(after+time.Duration(random*float64(spread)), shortestRetryAfter)
}
