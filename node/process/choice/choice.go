// Package choice picks the backend server for an attempt. What a node knows of a server is a report that came with its last
// answer and the calls that this node has sent since; the dispatcher beside the server corrects what the choice gets wrong.
//
// Calls stay in the caller's place while they are expected to meet their objective there, since bytes between places are
// dear. Otherwise the server with the shortest expected time is picked, with the distance counted against other places.
package choice

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// bytesPerMillisecond is the number of bytes between places that weigh as much as a delay of a millisecond.
	bytesPerMillisecond = 100.0
	// slowSpell is the usual time for which a neighbour on a host slows work down, and the time in which a report of it ages.
	slowSpell = 150 * time.Millisecond
	// failureWeight is the share of the objective by which a server that always fails is put behind one that never does.
	failureWeight = 2.0
	// utilizationWeight is the share of the service time by which a full server is put behind an idle one.
	utilizationWeight = 0.3
	// jitter is the share of the service time by which estimates are varied, so that nodes with the same reports do not all
	// pick the same server.
	jitter = 0.1
	// unknownService is the service time that is assumed while nothing is known.
	unknownService = 50 * time.Millisecond
	// usualSlowness is the slowness of a host that nobody disturbs, in percent.
	usualSlowness = 100
)

// Candidate is a server that may be picked.
type Candidate struct {
	// SamePlace servers are in the caller's place.
	SamePlace bool
	// RoundTrip is the time between this node and the server's node, there and back.
	RoundTrip time.Duration
	// InProgress, Queued and Limit are those of the last report; Since is the number of calls sent after it.
	InProgress      int
	Queued          int
	Limit           int
	SentSinceReport int
	// Slowness in percent and the age of the report.
	Slowness  int
	ReportAge time.Duration
	// ServiceTime is the smoothed time of a call at the server.
	ServiceTime time.Duration
	// WarmUpLeft is the time for which the server stays slow after its start.
	WarmUpLeft time.Duration
	// Failures is the recent share of attempts at the server that failed.
	Failures float64
	// Suspect servers are beside a node that does not respond.
	Suspect bool
	// Refused servers have refused this call; they are picked only when no other is left.
	Refused bool
}

// Call is what the choice has to know of a call.
type Call struct {
	// ObjectiveLeft is the time left to the objective; negative when it has passed.
	ObjectiveLeft time.Duration
	// RouteTime is the usual time of a call on the route; 0 when unknown.
	RouteTime time.Duration
	// RouteBytes is the usual size of a call on the route and its answer.
	RouteBytes int
}

// TransferPenalty returns the time that a call is worth keeping in its place: large calls leave it less readily, since bytes between
// places are dear.
func (c Call) TransferPenalty() time.Duration {
	return time.Duration(float64(c.RouteBytes) / bytesPerMillisecond * float64(time.Millisecond))
}

// Pick returns the index of the candidate to use, or -1 without candidates.
func Pick(candidates []Candidate, call Call) int {
	estimates := make([]time.Duration, len(candidates))
	least := leastFailures(candidates)
	near, any := -1, -1
	for i := range candidates {
		c := &candidates[i]
		estimates[i] = c.estimate(call, c.Failures-least)
		if any < 0 || c.better(estimates[i], &candidates[any], estimates[any]) {
			any = i
		}
		if c.SamePlace && (near < 0 || c.better(estimates[i], &candidates[near], estimates[near])) {
			near = i
		}
	}
	if near < 0 || candidates[near].Refused || candidates[near].Suspect {
		return any
	}
	if estimates[near] <= call.ObjectiveLeft || estimates[near] <= estimates[any]+call.TransferPenalty() {
		return near
	}
	return any
}

// better reports whether c is to be picked before other.
func (c *Candidate) better(mine time.Duration, other *Candidate, others time.Duration) bool {
	if c.Suspect != other.Suspect {
		return other.Suspect
	}
	if c.Refused != other.Refused {
		return other.Refused
	}
	return mine < others
}

func leastFailures(candidates []Candidate) float64 {
	least := math.Inf(1)
	for i := range candidates {
		least = min(least, candidates[i].Failures)
	}
	return least
}

// estimate returns the expected time until the answer of a call. Failures beyond those of the best server count as time,
// so that a server that fails quickly does not look fast.
func (c *Candidate) estimate(call Call, failures float64) time.Duration {
	service := c.ServiceTime
	if service == 0 {
		service = unknownService
	}
	work := call.RouteTime
	if work == 0 {
		work = service
	}
	limit := max(c.Limit, 1)
	busy := c.InProgress + c.Queued + c.SentSinceReport
	total := float64(c.RoundTrip) + float64(work)
	if over := busy + 1 - limit; over > 0 {
		total += float64(over) / float64(limit) * float64(service)
	}
	total += utilizationWeight * float64(service) * min(float64(busy)/float64(limit), 1)
	total += c.slowDelay()
	total += float64(min(c.WarmUpLeft, work))
	total += failures * failureWeight * float64(max(call.ObjectiveLeft, work))
	total += jitter * float64(service) * rand.Float64()
	return time.Duration(total)
}

// slowDelay returns the time that a call is expected to lose while the host is slow.
func (c *Candidate) slowDelay() float64 {
	if c.Slowness <= usualSlowness {
		return 0
	}
	lost := 1 - float64(usualSlowness)/float64(c.Slowness)
	return lost * float64(slowSpell) * math.Exp(-float64(c.ReportAge)/float64(slowSpell))
}
