package choice

import (
	"slices"
	"time"
)

// slowServerFactor is the multiple of the typical service time from which a server counts as slow. Noisy neighbours alone let the
// averages of equal servers differ by less.
const slowServerFactor = 1.5

// typicalServiceTime returns the median of the known service times of the candidates, or 0 if none is known.
func typicalServiceTime(candidates []Candidate) time.Duration {
	times := make([]time.Duration, 0, len(candidates))
	for i := range candidates {
		if candidates[i].ServiceTime > 0 {
			times = append(times, candidates[i].ServiceTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// MarkSlow sets the slowdown of the candidates whose service time is well above the typical one. It answers a load at which some servers
// are several times slower than the others: without it each of them holds as many calls as a fast one until its slots are full, and
// answers few of them in time.
func MarkSlow(candidates []Candidate) {
	typical := typicalServiceTime(candidates)
	for i := range candidates {
		c := &candidates[i]
		if typical > 0 && float64(c.ServiceTime) >= slowServerFactor*float64(typical) {
			c.Slowdown = float64(c.ServiceTime) / float64(typical)
		}
	}
}
