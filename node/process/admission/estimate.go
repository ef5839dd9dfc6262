package admission

import (
	"math"
	"time"
)

const (
	// memory is the number of completions over which the estimate forgets.
	memory = 2
	// priorWeight is the number of completions as which the long-run service time counts.
	priorWeight = 2
	// idleMemory is the time over which the estimate of a server without calls returns to the long-run service time.
	// Otherwise a server that choosers avoid after a stall would look stalled for ever.
	idleMemory = 50 * time.Millisecond
	// longCalls is the number of completions over which the long-run service time forgets.
	longCalls = 100
	// errorFactor is the multiple of the long-run service time that a failed call counts as.
	errorFactor = 5
)

// estimate follows the service time of the server as the time spent by calls in progress divided by the completions. It
// forgets with each completion, so that a stall shows while no call completes.
type estimate struct {
	long        float64 // long-run service time in ns
	finished    float64 // completions, up to longCalls
	exposure    float64 // ns
	completions float64
	at          time.Duration
}

// advance moves the estimate to now, with the number of calls in progress since the last event.
func (e *estimate) advance(now time.Duration, inProgress int) {
	past := float64(now - e.at)
	e.at = now
	if inProgress > 0 {
		e.exposure += float64(inProgress) * past
		return
	}
	e.forget(math.Exp(-past / float64(idleMemory)))
}

// forget keeps a share of what was seen.
func (e *estimate) forget(keep float64) {
	e.exposure *= keep
	e.completions *= keep
}

// finish counts the end of one of the calls in progress, which took the given time.
func (e *estimate) finish(now, took time.Duration, inProgress int, r Result) {
	e.advance(now, inProgress)
	switch r {
	case OK:
		e.completions++
		e.forget(1 - 1.0/memory)
		e.finished = min(e.finished+1, longCalls)
		e.long += (float64(took) - e.long) / e.finished
	case Error:
		e.completions++
		e.exposure += errorFactor * e.long
	}
}

// serviceTime returns the present service time, or zero when nothing is known.
func (e *estimate) serviceTime(now time.Duration, inProgress int) time.Duration {
	e.advance(now, inProgress)
	if e.finished == 0 {
		return 0
	}
	return time.Duration((e.exposure + priorWeight*e.long) / (e.completions + priorWeight))
}
