package balance

import (
	"math"
	"time"
)

const (
	// reportDecayTime is the time constant with which the weight of a reported service time decays in favour of the typical
	// service time of the service. Without the decay, a server that has recovered would never be chosen again: no node calls
	// it, so no node receives a new report of it.
	reportDecayTime = 30 * time.Millisecond
	// startRingSize is the number of recent start times that are kept per server to count the attempts that a report does
	// not include.
	startRingSize = 16
	// reportWeight is the number of this node's answers that weigh as much as a report's service time. With 4 or more,
	// stalls are detected too late: p99 at 85 % load rises by 2 to 3 %.
	reportWeight = 2
	// typicalWeight is the weight of one report in the typical service time of a service.
	typicalWeight = 0.01
	// defaultServiceTime is the service time that is assumed before the first report.
	defaultServiceTime = 10 * time.Millisecond
	// refusalBackoff is the time for which a refusal adds a penalty to the score of a server; it doubles with each
	// consecutive refusal.
	refusalBackoff = 2 * time.Millisecond
	// maxRefusalDoublings limits the doublings of refusalBackoff.
	maxRefusalDoublings = 8
	// errorWeight is the weight of one result in the moving average of the error share.
	errorWeight = 0.1
)

// record holds the state that this node keeps for one server.
type record struct {
	service        *service
	previous, next *record
	server         Server
	roundTrip      time.Duration
	remote         bool // the server is in another place
	firstSeen      time.Duration

	load     Load
	reported bool
	readAt   time.Duration // when the values of the load report were read, by this node's clock
	limit    int

	inFlight   int // attempts of this node in progress
	startTimes [startRingSize]time.Duration
	startCount uint64
	changedAt  time.Duration
	exposure   time.Duration // attempts of this node in progress, integrated over the time since the report
	answers    int           // attempts of this node that were answered since the report

	errorShare          float64 // moving average of the share of failed attempts
	consecutiveErrors   int
	consecutiveRefusals int
	refusedUntil        time.Duration
	ejections           int
	ejectedUntil        time.Duration
}

// start records the start of an attempt.
func (r *record) start(now time.Duration) {
	r.updateExposure(now)
	r.inFlight++
	r.recordStart(now)
}

// recordStart records a call that is about to reach the server: an attempt of this node or a call that was redirected
// there. It is counted until a report includes it.
func (r *record) recordStart(now time.Duration) {
	r.startTimes[r.startCount%startRingSize] = now
	r.startCount++
}

// finish records the end of an attempt.
func (r *record) finish(now time.Duration, kind Kind) {
	r.updateExposure(now)
	r.inFlight = max(r.inFlight-1, 0)
	if kind == OK {
		r.answers++
	}
}

// updateExposure adds the time since the last update, multiplied by the number of attempts in progress, to exposure.
func (r *record) updateExposure(now time.Duration) {
	r.exposure += time.Duration(r.inFlight) * (now - r.changedAt)
	r.changedAt = now
}

// observe applies a load report if it is newer than the last one. A direct report comes from the server's own node; the
// one-way network latency is added to its age.
func (r *record) observe(now time.Duration, l *Load, direct bool) {
	if l.Incarnation < r.load.Incarnation || l.Incarnation == r.load.Incarnation && l.Sequence <= r.load.Sequence {
		return
	}
	readAt := now - max(l.Age, 0)
	if direct {
		readAt -= r.roundTrip / 2
	}
	r.load, r.readAt, r.reported = *l, readAt, true
	if l.ServiceTime > 0 {
		r.service.typicalServiceTime += typicalWeight * (float64(l.ServiceTime) - r.service.typicalServiceTime)
	}
	r.limit = max(l.Limit, 1)
	r.updateExposure(now)
	r.exposure, r.answers = time.Duration(r.inFlight)*(now-readAt), 0
	r.service.moveToFront(r)
}

// report returns the last load report with its current age.
func (r *record) report(now time.Duration) Load {
	l := r.load
	l.Age = now - r.readAt
	return l
}

// outstanding estimates the number of calls at the server, including queued ones: the calls in the last report, and the
// recorded starts that had not reached the server when the report was read.
func (r *record) outstanding() int {
	n := r.load.InProgress + r.load.Queued
	since := r.readAt - r.roundTrip/2
	for i := range min(r.startCount, startRingSize) {
		if r.startTimes[(r.startCount-1-i)%startRingSize] <= since {
			break
		}
		n++
	}
	return max(n, r.inFlight)
}

// serviceTime estimates the time in ns that a call spends in the server, with n calls outstanding: the reported service
// time, corrected by the results of this node's attempts since. Attempts that are unanswered for longer than the expected
// time raise the estimate, so that a stalled server is detected without a report. Shorter waits do not lower it, because
// each answer brings a new report.
func (r *record) serviceTime(now time.Duration, n int) float64 {
	base := r.service.typicalServiceTime
	if r.reported && r.load.ServiceTime > 0 {
		base += (float64(r.load.ServiceTime) - base) * math.Exp(-float64(now-r.readAt)/float64(reportDecayTime))
	}
	exposure := float64(r.exposure + time.Duration(r.inFlight)*(now-r.changedAt))
	if n > r.limit {
		exposure *= float64(r.limit) / float64(n)
	}
	seen := float64(1 + r.answers)
	return (reportWeight*base + max(exposure, seen*base)) / (reportWeight + seen)
}

// warmUpProgress returns the progress of the server's slow start, which rises linearly from 0 to 1. The result is at least
// 0.01.
func (r *record) warmUpProgress(now time.Duration, s *service) float64 {
	span := time.Duration(s.balance.SlowStartMs) * time.Millisecond
	if r.server.FirstSeen.IsZero() || now-r.firstSeen >= span {
		return 1
	}
	return max(float64(now-r.firstSeen)/float64(span), 0.01)
}

// refused records a refusal. The server's score includes a penalty until a newer report is likely to have arrived.
func (r *record) refused(now time.Duration) {
	r.refusedUntil = now + refusalBackoff<<min(r.consecutiveRefusals, maxRefusalDoublings)
	r.consecutiveRefusals++
}

// succeeded records a success and resets the consecutive errors and refusals.
func (r *record) succeeded(now time.Duration) {
	r.errorShare -= errorWeight * r.errorShare
	r.consecutiveErrors, r.consecutiveRefusals = 0, 0
	if r.ejections > 0 && now-r.ejectedUntil > time.Duration(r.service.ejection.BaseMs)*time.Millisecond {
		r.ejections = 0
	}
}

// failed records an error.
func (r *record) failed() {
	r.errorShare += errorWeight * (1 - r.errorShare)
	r.consecutiveErrors++
}

// score returns the expected completion time of a call, in nanoseconds.
func (s *service) score(r *record, now time.Duration) float64 {
	n := r.outstanding()
	serviceTime := r.serviceTime(now, n)
	score := serviceTime*(1+waitFactor(n, r.limit)) + float64(r.roundTrip)
	if r.remote {
		score += s.balance.SpillMs * float64(time.Millisecond)
	}
	if r.errorShare > 0.01 {
		score += r.errorShare * float64(s.failurePenalty(now))
	}
	if now < r.refusedUntil {
		score += float64(s.failurePenalty(now))
	}
	return score
}

// waitFactor returns the expected wait as a multiple of the service time, with n calls at a server with the given limit.
// It rises smoothly and starts to rise below the limit, because n is an estimate.
func waitFactor(n, limit int) float64 {
	l := float64(limit)
	over := float64(n) + 1 - l
	spread := math.Sqrt(l) / 2
	return spread * math.Log1p(math.Exp(over/spread)) / l
}
