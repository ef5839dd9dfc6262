package admission

import (
	"math"
	"time"
)

const (
	// shortTermCompletions is the number of completions over which the estimate decays exponentially.
	shortTermCompletions = 2
	// priorWeight is the weight of the long-term service time in the estimate, in completions.
	priorWeight = 2
	// idleDecayTime is the time constant with which the estimate of an idle server returns to the long-term service time.
	// Otherwise a server that balancers avoid after a stall would appear stalled forever.
	idleDecayTime = 50 * time.Millisecond
	// longTermCompletions is the number of completions over which the long-term service time is averaged.
	longTermCompletions = 100
	// errorFactor is the multiple of the long-term service time that a failed call is counted with.
	errorFactor = 5
)

// estimate estimates the service time of the server as the time spent by calls in progress divided by the number of
// completions. Both decay with each successful completion and while the server is idle, so that a stall raises the estimate
// while no call completes.
type estimate struct {
	longTermServiceTime float64 // long-term service time in ns
	longTermSamples     float64 // completions in the long-term average, up to longTermCompletions
	exposure            float64 // time spent by calls in progress, in ns
	completions         float64
	updatedAt           time.Duration
}

// advance updates the estimate to the time now; inProgress is the number of calls in progress since the last update.
func (e *estimate) advance(now time.Duration, inProgress int) {
	elapsed := float64(now - e.updatedAt)
	e.updatedAt = now
	if inProgress > 0 {
		e.exposure += float64(inProgress) * elapsed
		return
	}
	e.decay(math.Exp(-elapsed / float64(idleDecayTime)))
}

// decay multiplies the exposure and the completions by keep.
func (e *estimate) decay(keep float64) {
	e.exposure *= keep
	e.completions *= keep
}

// finish records the end of one of the calls in progress, which took the given time.
func (e *estimate) finish(now, took time.Duration, inProgress int, r Result) {
	e.advance(now, inProgress)
	switch r {
	case OK:
		e.completions++
		e.decay(1 - 1.0/shortTermCompletions)
		e.longTermSamples = min(e.longTermSamples+1, longTermCompletions)
		e.longTermServiceTime += (float64(took) - e.longTermServiceTime) / e.longTermSamples
	case Error:
		e.completions++
		e.exposure += errorFactor * e.longTermServiceTime
	}
}

// serviceTime returns the current estimate of the service time, or zero before the first successful completion.
func (e *estimate) serviceTime(now time.Duration, inProgress int) time.Duration {
	e.advance(now, inProgress)
	if e.longTermSamples == 0 {
		return 0
	}
	return time.Duration((e.exposure + priorWeight*e.longTermServiceTime) / (e.completions + priorWeight))
}
