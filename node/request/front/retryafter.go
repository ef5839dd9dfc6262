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
	// retryAfterResolution is the smallest time that the header can state: it has three decimals of a second.
	retryAfterResolution = time.Millisecond
)

// expectedRoom holds the earliest time after which a server that refused the call expects to have room for it.
type expectedRoom struct {
	// earliest is 0 if no server has named a time.
	earliest time.Duration
}

// expect records the time that a server has named; 0 if it has named none.
func (e *expectedRoom) expect(after time.Duration) {
	if after > 0 && (e.earliest == 0 || after < e.earliest) {
		e.earliest = after
	}
}

// retryAfter returns the Retry-After time of a call, given the time left until its deadline and a random number in [0, 1) for the spread.
// The spread is added to the expected time. If the sum would exceed maxRetryAfterShare of the time left, the spread ends at that bound.
// After the deadline there is no bound.
func (e *expectedRoom) retryAfter(left time.Duration, random float64) time.Duration {
	after := max(e.earliest, minRetryAfter)
	spread := time.Duration(retryAfterSpread * float64(after))
	if left <= 0 { // how long the caller waits before a retry is unknown
		return after + time.Duration(random*float64(spread))
	}
	if bound := time.Duration(maxRetryAfterShare * float64(left)); after+spread > bound {
		spread = min(spread, time.Duration(retryAfterSpread*float64(bound)))
		after = bound - spread
	}
	return max(after+time.Duration(random*float64(spread)), retryAfterResolution)
}
