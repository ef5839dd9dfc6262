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
	// burst is the number of extra attempts that a service's budget holds beyond one second of its minimum rate.
	burst = 10
	// hedgeReserveShare is the share of a full budget that is reserved for retries. Without it, hedges in a slow period used
	// up the budget for retries of refused calls: 0.3 % of the calls failed instead of 0.06 % at 85 % load.
	hedgeReserveShare = 0.5
	// minHedgeSamples is the minimum number of latencies for computing the hedge percentile.
	minHedgeSamples = 50
)

// Failure classifies an attempt that ended without an answer for the caller.
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

// Reason is the reason why no extra attempt is made; empty when one is made.
type Reason string

// Reasons against an extra attempt.
const (
	ReasonNotIdempotent Reason = "the work may have run and is not idempotent"
	ReasonNoTime        Reason = "no time left"
	ReasonAllowance     Reason = "the allowance of the call tree is used up"
	ReasonBudget        Reason = "the retry budget of the service is used up"
	ReasonNoHedge       Reason = "the call is not hedged"
)

// Call is the retry state of one call. It is not safe for concurrent use.
type Call struct {
	Service    string
	Idempotent bool
	Deadline   time.Time
	// Allowance is the number of extra attempts that this call and all its nested calls may still make.
	Allowance int
	// Used is the number of extra attempts that this call and all its nested calls made.
	Used int

	delegated int // allowance delegated to attempts in progress
}

// DelegateAllowance delegates the free allowance to an attempt, for its nested calls, and returns it. If more than one extra
// attempt is free, one is kept back so that an attempt with an unknown outcome can be retried.
func (c *Call) DelegateAllowance() int {
	n := c.Allowance - c.delegated
	if n > 1 {
		n--
	}
	n = max(n, 0)
	c.delegated += n
	return n
}

// SettleAllowance takes back the allowance that was delegated to an attempt, less the reported used part.
func (c *Call) SettleAllowance(delegated, used int) {
	used = min(max(used, 0), delegated)
	c.delegated -= delegated
	c.Allowance -= used
	c.Used += used
}

// ForfeitAllowance counts the allowance delegated to an attempt as used, because the attempt did not report its use.
func (c *Call) ForfeitAllowance(delegated int) { c.SettleAllowance(delegated, delegated) }

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
	mu         sync.Mutex
	values     settings.Retry
	tokens     float64
	refilledAt time.Duration
	latencies  recent.Latencies
}

// New returns a Retrier with full budgets.
func New(c Config) *Retrier {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Retrier{now: c.Now, origin: c.Now(), services: map[string]*service{}}
}

// withLocked calls f with the state of a service and the current time while holding the lock of the service.
func (r *Retrier) withLocked(name string, f func(*service, time.Duration)) {
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
		s = &service{values: settings.Default().Retry, refilledAt: r.now().Sub(r.origin)}
		s.tokens = s.capacity()
		r.services[name] = s
	}
	return s
}

// Configure replaces the settings of a service.
func (r *Retrier) Configure(name string, v *settings.Values) {
	r.withLocked(name, func(s *service, _ time.Duration) { s.values = v.Retry })
}

// Begin counts the first attempt of a call and returns the call's state. A root call passes a negative allowance and gets
// that of the settings; a nested call passes the allowance that it reserved from its parent attempt.
func (r *Retrier) Begin(name string, idempotent bool, deadline time.Time, allowance int) *Call {
	c := &Call{Service: name, Idempotent: idempotent, Deadline: deadline, Allowance: allowance}
	r.withLocked(name, func(s *service, now time.Duration) {
		s.refill(now)
		s.tokens = min(s.tokens+s.values.BudgetRatio, s.capacity())
		if allowance < 0 {
			c.Allowance = s.values.MaxPerCall
		}
	})
	return c
}

// MayRedirect reports whether a server's node may redirect the next attempt to a sibling. A call whose allowance is too
// small to follow the redirection and still be retried after it has to wait at the server.
func (c *Call) MayRedirect() bool { return c.Allowance-c.delegated > 1 }

// Retry decides on another attempt after a failed one and takes it from the budgets. An empty reason allows the attempt.
func (r *Retrier) Retry(c *Call, f Failure) Reason {
	switch {
	case f == Unknown && !c.Idempotent:
		return ReasonNotIdempotent
	case f == Redirected:
		return r.takeRedirect(c)
	}
	return r.take(c, 0)
}

// takeRedirect spends one extra attempt on a redirection. It does not use the service's budget: a redirection needs a free
// server, so it cannot add to an overload.
func (r *Retrier) takeRedirect(c *Call) Reason {
	if reason := r.checkLimits(c); reason != "" {
		return reason
	}
	c.Allowance--
	c.Used++
	return ""
}

// checkLimits checks the remaining time and the allowance.
func (r *Retrier) checkLimits(c *Call) Reason {
	if !c.Deadline.IsZero() && !r.now().Before(c.Deadline) {
		return ReasonNoTime
	}
	if c.Allowance-c.delegated < 1 {
		return ReasonAllowance
	}
	return ""
}

// Hedge decides on an attempt in parallel to the one in progress and takes it from the budgets. An empty reason allows it.
func (r *Retrier) Hedge(c *Call) Reason {
	if !c.Idempotent {
		return ReasonNotIdempotent
	}
	return r.take(c, hedgeReserveShare)
}

// take spends one extra attempt if at least the reserve, a share of the service's full budget, remains.
func (r *Retrier) take(c *Call, reserve float64) Reason {
	if reason := r.checkLimits(c); reason != "" {
		return reason
	}
	reason := ReasonBudget
	r.withLocked(c.Service, func(s *service, now time.Duration) {
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
	r.withLocked(name, func(s *service, now time.Duration) { s.latencies.Record(now, latency) })
}

// HedgeDelay returns the time after which an idempotent call of a service is hedged, and false when it is not.
func (r *Retrier) HedgeDelay(name string) (delay time.Duration, ok bool) {
	r.withLocked(name, func(s *service, now time.Duration) {
		p := s.values.HedgePercentile
		if p <= 0 || p >= 1 {
			return
		}
		delay, ok = s.latencies.Quantile(now, p, minHedgeSamples)
		delay = max(delay, time.Duration(s.values.HedgeMinMs)*time.Millisecond)
	})
	return delay, ok
}

// capacity returns the maximum number of extra attempts in the budget.
func (s *service) capacity() float64 { return s.values.BudgetMinPerSec + burst }

// refill adds the tokens of the minimum rate for the time since the last refill.
func (s *service) refill(now time.Duration) {
	s.tokens = min(s.tokens+s.values.BudgetMinPerSec*(now-s.refilledAt).Seconds(), s.capacity())
	s.refilledAt = now
}
