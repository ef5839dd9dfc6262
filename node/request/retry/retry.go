// Package retry decides on the extra attempts of a call: retries after a failure and hedges of a slow attempt. They are
// bounded by a budget for each service and by the allowance of the call tree.
package retry

import (
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/recent"
)

const (
	// burst is the number of extra attempts that a service's budget saves up beyond one second of its minimum.
	burst = 10
	// hedgeReserve is the share of a full budget that is kept for retries. Hedges of a slow moment used up what retries
	// of refused calls needed: 0.3 % of the calls failed instead of 0.06 % at 85 % load.
	hedgeReserve = 0.5
	// hedgeSamples is the number of latencies from which the hedge percentile is trusted.
	hedgeSamples = 50
)

// Failure tells how an attempt ended without an answer that could be given to the caller.
type Failure int

// Failures of attempts.
const (
	// NotRun means that there is proof that the work did not run.
	NotRun Failure = iota
	// Redirected means that a server refused the call before it ran because a sibling has free slots.
	Redirected
	// Unknown means that the work may have run.
	Unknown
)

// Reason says why no extra attempt is made; empty when one is made.
type Reason string

// Reasons against an extra attempt.
const (
	ReasonNotIdempotent Reason = "the work may have run and is not idempotent"
	ReasonNoTime        Reason = "no time left"
	ReasonAllowance     Reason = "the allowance of the call tree is used up"
	ReasonBudget        Reason = "the retry budget of the service is used up"
	ReasonNoHedge       Reason = "the call is not hedged"
)

// Call is the state of one call as far as extra attempts go. It is not safe for concurrent use.
type Call struct {
	Service    string
	Idempotent bool
	Deadline   time.Time
	// Allowance is the number of extra attempts that this call and all calls below it may still make.
	Allowance int
	// Used is the number of extra attempts that this call and all calls below it made.
	Used int

	passed int // allowance that is with attempts in progress
}

// DelegateAllowance sets aside the part of the allowance that an attempt takes along, and returns it. One extra attempt is kept back
// while there is more than one, so that an attempt whose end is unknown can be repeated.
func (c *Call) DelegateAllowance() int {
	n := c.Allowance - c.passed
	if n > 1 {
		n--
	}
	n = max(n, 0)
	c.passed += n
	return n
}

// SettleAllowance takes back the allowance that was passed to an attempt that reports what it used.
func (c *Call) SettleAllowance(passed, used int) {
	used = min(max(used, 0), passed)
	c.passed -= passed
	c.Allowance -= used
	c.Used += used
}

// ForfeitAllowance writes off the allowance that was passed to an attempt that did not report what it used.
func (c *Call) ForfeitAllowance(passed int) { c.SettleAllowance(passed, passed) }

// Config holds what a Retrier depends on.
type Config struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}

// Retrier holds the retry budgets and recent latencies of services. It is safe for concurrent use; each service has its
// own lock.
type Retrier struct {
	now    func() time.Time
	origin time.Time

	mu       sync.RWMutex
	services map[string]*service
}

// service is the state of one service.
type service struct {
	mu        sync.Mutex
	values    settings.Retry
	tokens    float64
	at        time.Duration
	latencies recent.Latencies
}

// New returns a Retrier with full budgets.
func New(c Config) *Retrier {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Retrier{now: c.Now, origin: c.Now(), services: map[string]*service{}}
}

// with calls f with the state of a service under its lock.
func (r *Retrier) with(name string, f func(*service, time.Duration)) {
	r.mu.RLock()
	s := r.services[name]
	r.mu.RUnlock()
	if s == nil {
		s = r.create(name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s, r.now().Sub(r.origin))
}

// create adds a service with the default values.
func (r *Retrier) create(name string) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &service{values: settings.Default().Retry, at: r.now().Sub(r.origin)}
		s.tokens = s.capacity()
		r.services[name] = s
	}
	return s
}

// Configure sets the values of a service that hold from now on.
func (r *Retrier) Configure(name string, v *settings.Values) {
	r.with(name, func(s *service, _ time.Duration) { s.values = v.Retry })
}

// Begin counts the first attempt of a call and returns the call's state. A root call gets the allowance of the settings
// with a negative allowance; a nested one brings what it reserved from its parent attempt.
func (r *Retrier) Begin(name string, idempotent bool, deadline time.Time, allowance int) *Call {
	c := &Call{Service: name, Idempotent: idempotent, Deadline: deadline, Allowance: allowance}
	r.with(name, func(s *service, now time.Duration) {
		s.refill(now)
		s.tokens = min(s.tokens+s.values.BudgetRatio, s.capacity())
		if allowance < 0 {
			c.Allowance = s.values.MaxPerCall
		}
	})
	return c
}

// MayRedirect reports whether a server's node may refer the next attempt to a sibling. A call that could not follow the
// referral, or could not be retried after it, has to wait where it is.
func (c *Call) MayRedirect() bool { return c.Allowance-c.passed > 1 }

// Retry decides on another attempt after a failed one and takes it from the budgets. An empty reason means go.
func (r *Retrier) Retry(c *Call, f Failure) Reason {
	switch {
	case f == Unknown && !c.Idempotent:
		return ReasonNotIdempotent
	case f == Redirected:
		return r.follow(c)
	}
	return r.take(c, 0)
}

// follow spends one extra attempt on a referral. It does not draw on the service's budget: a referral needs a free
// server, so it cannot add to an overload.
func (r *Retrier) follow(c *Call) Reason {
	if reason := r.possible(c); reason != "" {
		return reason
	}
	c.Allowance--
	c.Used++
	return ""
}

// possible checks the remaining time and the allowance.
func (r *Retrier) possible(c *Call) Reason {
	if !c.Deadline.IsZero() && !r.now().Before(c.Deadline) {
		return ReasonNoTime
	}
	if c.Allowance-c.passed < 1 {
		return ReasonAllowance
	}
	return ""
}

// Hedge decides on an attempt beside the one in progress and takes it from the budgets. An empty reason means go.
func (r *Retrier) Hedge(c *Call) Reason {
	if !c.Idempotent {
		return ReasonNotIdempotent
	}
	return r.take(c, hedgeReserve)
}

// take spends one extra attempt, leaving a share of the service's full budget.
func (r *Retrier) take(c *Call, reserve float64) Reason {
	if reason := r.possible(c); reason != "" {
		return reason
	}
	reason := ReasonBudget
	r.with(c.Service, func(s *service, now time.Duration) {
		s.refill(now)
		if s.tokens-1 >= reserve*s.capacity() {
			s.tokens--
			reason = ""
		}
	})
	if reason == "" {
		c.Allowance--
		c.Used++
	}
	return reason
}

// Observe records the latency of an answered call.
func (r *Retrier) Observe(name string, latency time.Duration) {
	r.with(name, func(s *service, now time.Duration) { s.latencies.Record(now, latency) })
}

// HedgeDelay returns the time after which an idempotent call of a service is hedged, and false when it is not.
func (r *Retrier) HedgeDelay(name string) (delay time.Duration, ok bool) {
	r.with(name, func(s *service, now time.Duration) {
		p := s.values.HedgePercentile
		if p <= 0 || p >= 1 {
			return
		}
		delay, ok = s.latencies.Quantile(now, p, hedgeSamples)
		delay = max(delay, time.Duration(s.values.HedgeMinMs)*time.Millisecond)
	})
	return delay, ok
}

// capacity returns the largest number of extra attempts that the budget saves up.
func (s *service) capacity() float64 { return s.values.BudgetMinPerSec + burst }

// refill adds the minimum of the time since the last call.
func (s *service) refill(now time.Duration) {
	s.tokens = min(s.tokens+s.values.BudgetMinPerSec*(now-s.at).Seconds(), s.capacity())
	s.at = now
}
