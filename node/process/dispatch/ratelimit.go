package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// limitBurst is the time whose requests a server may get at once after a pause.
	limitBurst = 300 * time.Millisecond
	// minRate is the number of requests per second that a server gets even if it names less: only an answer shows that it
	// takes its limit back.
	minRate = 0.2
	// healthCheckShare is the number of health checks that a server gets for each request that it accepts. They are answered at
	// once and without a slot, and calls that start in a slow period hold slots for longer.
	healthCheckShare = 0.25
	// maxRate bounds limits, in requests per second. No server reaches it.
	maxRate = 1e6
)

// RateStatement is what an answer of the server says about its rate limit.
type RateStatement struct {
	// Limited is set when the answer names a limit, PerSecond, in requests per second.
	Limited   bool
	PerSecond float64
	// HealthCheck is set for the answer to a health check.
	HealthCheck bool
	// SentAt is when the answered request was sent.
	SentAt time.Time
}

// rateLimiter limits the requests to the server to the rate that it names in its answers.
type rateLimiter struct {
	bucket *rate.Limiter // nil while the server names no limit
	// healthChecks limits the health checks, which are sent beside the requests; nil when bucket is.
	healthChecks *rate.Limiter
	// known is set once an answer has shown whether the server names a limit. Before, the limit is that of other nodes.
	known bool
	// named is when a limit was last named; namedInHealthChecks is set when the answers to health checks name it too.
	named               time.Time
	namedInHealthChecks bool
}

// observe applies a statement and reports whether the limit has changed. Answers may be observed in another order than they were
// given, so a limit is lifted only by an answer to a request that was sent after the limit was last named. Servers may name their
// limit only in answers to calls; a health check then says nothing.
func (l *rateLimiter) observe(s RateStatement, now time.Time) bool {
	switch {
	case s.Limited:
		l.known, l.named = true, now
		l.namedInHealthChecks = l.namedInHealthChecks || s.HealthCheck
		return l.set(s.PerSecond, now)
	case !s.SentAt.After(l.named) || s.HealthCheck && !l.namedInHealthChecks:
		return false
	}
	lifted := l.bucket != nil
	*l = rateLimiter{known: true}
	return lifted
}

// adopt sets the limit that another node has heard, as long as no answer has told. It reports whether the limit has changed.
func (l *rateLimiter) adopt(perSecond float64, now time.Time) bool {
	if l.known || !l.set(perSecond, now) {
		return false
	}
	l.named = now
	return true
}

// set sets the limit, within minRate and maxRate, and reports whether it differs from the one before.
func (l *rateLimiter) set(perSecond float64, now time.Time) bool {
	limit := rate.Limit(min(max(perSecond, minRate), maxRate))
	if l.bucket != nil && l.bucket.Limit() == limit {
		return false
	}
	l.bucket = resize(l.bucket, limit, now)
	l.healthChecks = resize(l.healthChecks, limit*healthCheckShare, now)
	return true
}

// resize sets the rate of a bucket, or returns a new one. What was sent already still counts.
func resize(bucket *rate.Limiter, limit rate.Limit, now time.Time) *rate.Limiter {
	burst := max(int(float64(limit)*limitBurst.Seconds()), 1)
	if bucket == nil {
		return rate.NewLimiter(limit, burst)
	}
	bucket.SetLimitAt(now, limit)
	bucket.SetBurstAt(now, burst)
	return bucket
}

func (l *rateLimiter) limited() bool { return l.bucket != nil }

// perSecond returns the limit, or 0 without one.
func (l *rateLimiter) perSecond() float64 {
	if l.bucket == nil {
		return 0
	}
	return float64(l.bucket.Limit())
}

// allow reports whether a request may be sent now, and counts it.
func (l *rateLimiter) allow(now time.Time) bool { return l.bucket == nil || l.bucket.AllowN(now, 1) }

// allowHealthCheck reports whether a health check may be sent now, and counts it.
func (l *rateLimiter) allowHealthCheck(now time.Time) bool {
	return l.healthChecks == nil || l.healthChecks.AllowN(now, 1)
}

// wait returns the time until the limit allows a request behind others that wait for it.
func (l *rateLimiter) wait(ahead int, now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(ahead+1) - l.bucket.TokensAt(now)
	return time.Duration(max(missing, 0) / l.perSecond() * float64(time.Second))
}

// ObserveRate applies what an answer of the server says about its rate limit. When the limit changes, the calls that cannot be
// answered in time under it are refused at once.
func (d *Dispatcher) ObserveRate(s RateStatement) {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if d.limiter.observe(s, now) {
		d.reconsiderWaiting(now)
		d.dispatch(now)
	}
}

// AdoptRate applies the rate limit of the server that another node has heard, unless an answer has told this node, and reports
// whether the limit has changed. The process that heard it here may have ended.
func (d *Dispatcher) AdoptRate(perSecond float64) bool {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if !d.limiter.adopt(perSecond, now) {
		return false
	}
	d.reconsiderWaiting(now)
	d.dispatch(now)
	return true
}

// AllowHealthCheck reports whether a health check may be sent to the server now, and counts it.
func (d *Dispatcher) AllowHealthCheck() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.allowHealthCheck(d.now())
}

// reconsiderWaiting decides again, in the order of their start, which of the waiting calls should wait here.
func (d *Dispatcher) reconsiderWaiting(now time.Time) {
	waiting := d.sortWaiting(now)
	d.waiting = nil
	for _, j := range waiting {
		if reason, wait := d.refusalReason(j, now); reason != 0 {
			d.refuse(j, reason, wait)
			continue
		}
		d.waiting = append(d.waiting, j)
	}
}
