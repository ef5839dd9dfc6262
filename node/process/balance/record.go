package balance

import (
	"math"
	"time"
)

const (
	// agingSpan is the time over which a reported service time loses its weight to the typical one of the service. A server
	// that recovered would be avoided for good if nobody called it and so nobody received a report of it.
	agingSpan = 30 * time.Millisecond
	// ringSize is the number of own starts whose times are kept to count those that a report does not include.
	ringSize = 16
	// reportWeight is the number of own answers that weigh as much as a report's service time. With 4 or more, stalls
	// were noticed too late: p99 at 85 % load rose by 2 to 3 %.
	reportWeight = 2
	// typicalWeight is the weight of one report in the typical service time of a service.
	typicalWeight = 0.01
	// serviceDefault is assumed before the first report.
	serviceDefault = 10 * time.Millisecond
	// refusalHold is the time for which a refusal makes a server unattractive; it doubles with each refusal in a row.
	refusalHold = 2 * time.Millisecond
	// refusalDoublings bounds the doubling.
	refusalDoublings = 8
	// errorDecay is the weight of one result in the share of errors.
	errorDecay = 0.1
)

// record is what the node knows of one server.
type record struct {
	service        *service
	previous, next *record
	server         Server
	distance       time.Duration
	away           bool // in another place
	firstSeen      time.Duration

	load     Load
	reported bool
	readAt   time.Duration // when the values of the load report were read, by this node's clock
	limit    int

	own       int // own attempts in progress
	starts    [ringSize]time.Duration
	started   uint64
	changedAt time.Duration
	exposure  time.Duration // own attempts in progress, integrated over the time since the report
	answers   int           // own attempts that ended since the report

	errors       float64 // share of errors
	errorsInARow int
	refusals     int
	refusedUntil time.Duration
	ejections    int
	ejectedUntil time.Duration
}

// start counts an attempt.
func (r *record) start(now time.Duration) {
	r.expose(now)
	r.own++
	r.hint(now)
}

// hint counts a call that another node was referred to send, until the next report.
func (r *record) hint(now time.Duration) {
	r.starts[r.started%ringSize] = now
	r.started++
}

// finish counts the end of an attempt.
func (r *record) finish(now time.Duration, kind Kind) {
	r.expose(now)
	r.own = max(r.own-1, 0)
	if kind == OK {
		r.answers++
	}
}

// expose adds up the time that own attempts have been in progress.
func (r *record) expose(now time.Duration) {
	r.exposure += time.Duration(r.own) * (now - r.changedAt)
	r.changedAt = now
}

// observe takes in a report if it is newer than the one known. A direct report comes from the server's own node.
func (r *record) observe(now time.Duration, l *Load, direct bool) {
	if l.Incarnation < r.load.Incarnation || l.Incarnation == r.load.Incarnation && l.Sequence <= r.load.Sequence {
		return
	}
	readAt := now - max(l.Age, 0)
	if direct {
		readAt -= r.distance / 2
	}
	r.load, r.readAt, r.reported = *l, readAt, true
	if l.ServiceTime > 0 {
		r.service.typical += typicalWeight * (float64(l.ServiceTime) - r.service.typical)
	}
	r.limit = max(l.Limit, 1)
	r.expose(now)
	r.exposure, r.answers = time.Duration(r.own)*(now-readAt), 0
	r.service.touch(r)
}

// report returns the last load report with its present age.
func (r *record) report(now time.Duration) Load {
	l := r.load
	l.Age = now - r.readAt
	return l
}

// outstanding estimates the calls at the server, queued ones included: those of the report, and own attempts that had
// not reached the server when it was read.
func (r *record) outstanding() int {
	n := r.load.InProgress + r.load.Queued
	since := r.readAt - r.distance/2
	for i := range min(r.started, ringSize) {
		if r.starts[(r.started-1-i)%ringSize] <= since {
			break
		}
		n++
	}
	return max(n, r.own)
}

// serviceTime estimates the time that a call spends in the server: that of the report, corrected by what became of own
// attempts since. Attempts that stay unanswered for longer than one is expected to take raise it, so that a stalled
// server is noticed without a report. Each answer brings a report, so a shorter wait says nothing.
func (r *record) serviceTime(now time.Duration, n int) float64 {
	base := r.service.typical
	if r.reported && r.load.ServiceTime > 0 {
		base += (float64(r.load.ServiceTime) - base) * math.Exp(-float64(now-r.readAt)/float64(agingSpan))
	}
	exposure := float64(r.exposure + time.Duration(r.own)*(now-r.changedAt))
	if n > r.limit {
		exposure *= float64(r.limit) / float64(n)
	}
	seen := float64(1 + r.answers)
	return (reportWeight*base + max(exposure, seen*base)) / (reportWeight + seen)
}

// warmth rises from 0 to 1 over the slow start.
func (r *record) warmth(now time.Duration, s *service) float64 {
	span := time.Duration(s.balance.SlowStartMs) * time.Millisecond
	if r.server.FirstSeen.IsZero() || now-r.firstSeen >= span {
		return 1
	}
	return max(float64(now-r.firstSeen)/float64(span), 0.01)
}

// refused makes the server unattractive until newer values are likely.
func (r *record) refused(now time.Duration) {
	r.refusedUntil = now + refusalHold<<min(r.refusals, refusalDoublings)
	r.refusals++
}

// succeeded ends refusals and errors in a row.
func (r *record) succeeded(now time.Duration) {
	r.errors -= errorDecay * r.errors
	r.errorsInARow, r.refusals = 0, 0
	if r.ejections > 0 && now-r.ejectedUntil > time.Duration(r.service.ejection.BaseMs)*time.Millisecond {
		r.ejections = 0
	}
}

// failed counts an error.
func (r *record) failed() {
	r.errors += errorDecay * (1 - r.errors)
	r.errorsInARow++
}

// score returns the expected completion time of a call, in nanoseconds.
func (s *service) score(r *record, now time.Duration) float64 {
	n := r.outstanding()
	serviceTime := r.serviceTime(now, n)
	score := serviceTime*(1+waitFactor(n, r.limit)) + float64(r.distance)
	if r.away {
		score += s.balance.SpillMs * float64(time.Millisecond)
	}
	if r.errors > 0.01 {
		score += r.errors * float64(s.slow(now))
	}
	if now < r.refusedUntil {
		score += float64(s.slow(now))
	}
	return score
}

// waitFactor returns the expected wait as a multiple of the service time, with n calls at a server of the given limit.
// It rises smoothly below the limit, since n is uncertain.
func waitFactor(n, limit int) float64 {
	l := float64(limit)
	over := float64(n) + 1 - l
	spread := math.Sqrt(l) / 2
	return spread * math.Log1p(math.Exp(over/spread)) / l
}
