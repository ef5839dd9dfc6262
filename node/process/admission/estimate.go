package admission

import (
	"math"
	"time"
)

const (
	// memory is the number of completions at full load over which the estimate forgets.
	memory = 2
	// minMemory bounds the time over which it forgets.
	minMemory = time.Millisecond
	// priorWeight is the number of completions as which the long-run service time counts.
	priorWeight = 2
	// longWeight is the weight of one completion in the long-run service time.
	longWeight = 0.01
	// errorFactor is the multiple of the long-run service time that a failed call counts as.
	errorFactor = 5
)

// estimate follows the service time of the server as the time spent by calls in progress divided by the completions,
// both with exponential forgetting. It notices a stall while no call completes.
type estimate struct {
	slots       int
	long        float64 // long-run service time in ns; zero before the first completion
	exposure    float64 // ns
	completions float64
	at          time.Duration
}

// advance moves the estimate to now, with the number of calls in progress since the last event.
func (e *estimate) advance(now time.Duration, inProgress int) {
	span := max(memory*e.long/float64(e.slots), float64(minMemory))
	keep := math.Exp(-float64(now-e.at) / span)
	e.exposure = e.exposure*keep + float64(inProgress)*span*(1-keep)
	e.completions *= keep
	e.at = now
}

// finish counts the end of one of the calls in progress.
func (e *estimate) finish(now time.Duration, inProgress int, r Result) {
	e.advance(now, inProgress)
	switch r {
	case OK:
		e.completions++
		current := e.exposure / e.completions
		if e.long == 0 {
			e.long = current
		}
		e.long += longWeight * (current - e.long)
	case Error:
		e.completions++
		e.exposure += errorFactor * e.long
	}
}

// serviceTime returns the present service time, or zero when nothing is known.
func (e *estimate) serviceTime(now time.Duration, inProgress int) time.Duration {
	e.advance(now, inProgress)
	if e.long == 0 {
		return 0
	}
	return time.Duration((e.exposure + priorWeight*e.long) / (e.completions + priorWeight))
}
