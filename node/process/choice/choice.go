// Package choice picks the backend server for an attempt. A node estimates the load of a server from the report in its
// last answer and the number of calls that it has sent since; the dispatcher beside the server corrects wrong choices.
//
// Calls stay in the caller's place while they are expected to meet their objective there, since traffic between places
// is expensive. Otherwise the server with the shortest expected time is picked, with a penalty for other places.
package choice

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// bytesPerMillisecond is the number of bytes between places that count as much as a delay of a millisecond.
	bytesPerMillisecond = 100.0
	// slowPeriod is the typical time for which a neighbour on a host slows work down. It is also the time constant with
	// which the weight of a reported slowness decays.
	slowPeriod = 150 * time.Millisecond
	// failureWeight is the penalty for a server that always fails compared to one that never does, as a multiple of the
	// time left to the objective.
	failureWeight = 2.0
	// utilizationWeight is the penalty for a full server compared to an idle one, as a share of the service time.
	utilizationWeight = 0.3
	// jitter is the share of the service time by which estimates are varied, so that nodes with the same reports do not
	// all pick the same server.
	jitter = 0.1
	// defaultServiceTime is assumed while no service time is known.
	defaultServiceTime = 50 * time.Millisecond
	// normalSlowness is the slowness of a host without disturbance, in percent.
	normalSlowness = 100
)

// Candidate is a server that may be picked.
type Candidate struct {
	// SamePlace is set for servers in the caller's place.
	SamePlace bool
	// Place is the place of the server; empty if unknown.
	Place string
	// RoundTrip is the round-trip time between this node and the node of the server.
	RoundTrip time.Duration
	// InProgress, Queued and Limit are those of the last report; SentSinceReport is the number of calls sent after it.
	InProgress      int
	Queued          int
	Limit           int
	SentSinceReport int
	// Slowness is that of the last report, in percent; ReportAge is the age of the report.
	Slowness  int
	ReportAge time.Duration
	// ServiceTime is the moving average of the time of a call at the server.
	ServiceTime time.Duration
	// RateLimit is the number of calls per second that the server accepts from all nodes together, or 0 without a limit.
	// RateWait is the time until it accepts another call, at the time of the report.
	RateLimit float64
	RateWait  time.Duration
	// WarmUpLeft is the remaining time for which the server stays slow after its start.
	WarmUpLeft time.Duration
	// LinkBytesPerSecond is the speed of the link of the server's host; 0 if unknown.
	LinkBytesPerSecond float64
	// EgressBytes is the number of bytes that waited for that link at the time of the report; BytesSinceReport is the expected size
	// of the answers to the calls sent after it.
	EgressBytes      int
	BytesSinceReport int
	// Local is set for the server at this host, whose answers do not pass a link on their way to this node.
	Local bool
	// Failures is the recent share of attempts at the server that failed.
	Failures float64
	// Suspect is set for servers whose node does not respond.
	Suspect bool
	// Refused is set for servers that have refused this call; they are picked only when no other is left.
	Refused bool
}

// Call holds the properties of a call that affect the choice.
type Call struct {
	// ObjectiveLeft is the time left to the objective; negative when it has passed.
	ObjectiveLeft time.Duration
	// RouteTime is the average time of a call on the route; 0 when unknown.
	RouteTime time.Duration
	// RouteBytes is the average size of a call on the route and its answer.
	RouteBytes int
	// Transfer is what is known of the transfer of the answer; the zero value leaves it out of the choice.
	Transfer Transfer
	// Service, Route and Rank identify the calls that leave the place in the same proportion; used by Leaver only.
	Service string
	Route   string
	Rank    uint32
}

// TransferPenalty returns the additional delay that is accepted to keep the call in its place. It grows with the size of
// the call, since traffic between places is expensive.
func (c Call) TransferPenalty() time.Duration {
	return time.Duration(float64(c.RouteBytes) / bytesPerMillisecond * float64(time.Millisecond))
}

// Pick returns the index of the candidate to use, or -1 without candidates.
func Pick(candidates []Candidate, call Call) int { return pick(candidates, call, rand.Float64) }

// Preview returns the index that Pick would return without jitter.
func Preview(candidates []Candidate, call Call) int {
	return pick(candidates, call, func() float64 { return 0 })
}

func pick(candidates []Candidate, call Call, random func() float64) int {
	estimates := make([]time.Duration, len(candidates))
	minFailureShare := minFailures(candidates)
	call.Transfer.slowest = slowestLink(candidates)
	samePlace, best := -1, -1
	for i := range candidates {
		c := &candidates[i]
		estimates[i] = c.estimate(call, c.Failures-minFailureShare, random())
		if best < 0 || c.better(estimates[i], &candidates[best], estimates[best]) {
			best = i
		}
		if c.SamePlace && (samePlace < 0 || c.better(estimates[i], &candidates[samePlace], estimates[samePlace])) {
			samePlace = i
		}
	}
	if samePlace < 0 || candidates[samePlace].Refused || candidates[samePlace].Suspect {
		return best
	}
	if estimates[samePlace] <= call.ObjectiveLeft || estimates[samePlace] <= estimates[best]+call.TransferPenalty() {
		return samePlace
	}
	return best
}

// better reports whether c is preferred to other.
func (c *Candidate) better(estimate time.Duration, other *Candidate, otherEstimate time.Duration) bool {
	if c.Suspect != other.Suspect {
		return other.Suspect
	}
	if c.Refused != other.Refused {
		return other.Refused
	}
	return estimate < otherEstimate
}

func minFailures(candidates []Candidate) float64 {
	minFailureShare := math.Inf(1)
	for i := range candidates {
		minFailureShare = min(minFailureShare, candidates[i].Failures)
	}
	return minFailureShare
}

// estimate returns the expected time until the answer of a call, varied by the jitter.
func (c *Candidate) estimate(call Call, failures, random float64) time.Duration {
	return c.expected(call, failures) + time.Duration(jitter*float64(c.service())*random)
}

// service returns the average time of a call at the server, or defaultServiceTime while it is unknown.
func (c *Candidate) service() time.Duration {
	if c.ServiceTime == 0 {
		return defaultServiceTime
	}
	return c.ServiceTime
}

// expected returns the expected time until the answer of a call. Failures beyond those of the best server count as time,
// so that a server that fails quickly does not look fast.
func (c *Candidate) expected(call Call, failures float64) time.Duration {
	return c.terms(call, failures).Total()
}

// terms returns the parts of the expected time.
func (c *Candidate) terms(call Call, failures float64) Terms {
	service := c.service()
	work := call.RouteTime
	if work == 0 {
		work = service
	}
	limit := max(c.Limit, 1)
	busy := c.InProgress + c.Queued + c.SentSinceReport
	wait := c.rateWait()
	if excess := busy + 1 - limit; excess > 0 {
		wait = max(wait, float64(excess)/float64(limit)*float64(service))
	}
	return Terms{
		RoundTrip: c.RoundTrip, Work: work, Wait: time.Duration(wait),
		Utilization: time.Duration(utilizationWeight * float64(service) * min(float64(busy)/float64(limit), 1)),
		Slowness:    time.Duration(c.slowDelay()),
		WarmUp:      min(c.WarmUpLeft, work),
		Failures:    time.Duration(failures * failureWeight * float64(max(call.ObjectiveLeft, work))),
		Transfer:    c.transferTime(call.Transfer), Displacement: c.displacement(call.Transfer),
	}
}

// rateWait returns the time until the server's rate limit allows a call behind those sent since the report.
func (c *Candidate) rateWait() float64 {
	if c.RateLimit <= 0 {
		return 0
	}
	sent := float64(c.SentSinceReport) / c.RateLimit * float64(time.Second)
	return max(float64(c.RateWait)+sent-float64(c.ReportAge), 0)
}

// slowDelay returns the time that a call is expected to lose while the host is slow.
func (c *Candidate) slowDelay() float64 {
	if c.Slowness <= normalSlowness {
		return 0
	}
	lost := 1 - float64(normalSlowness)/float64(c.Slowness)
	return lost * float64(slowPeriod) * math.Exp(-float64(c.ReportAge)/float64(slowPeriod))
}
