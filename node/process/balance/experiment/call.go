package experiment

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/retry"
)

// call is the state of one call at its entry node.
type call struct {
	w          *world
	entry      int
	startedAt  time.Duration
	deadline   time.Duration
	demand     time.Duration
	measured   bool
	ended      bool
	budget     *retry.Call
	tried      []int
	attempts   []*attempt
	redirected bool
}

// attempt is the state of one attempt of a call.
type attempt struct {
	call   *call
	server int
	sentAt time.Duration
	ended  bool // at the entry node
	waiter *admission.Waiter
	ticket *admission.Ticket
	job    *job
}

// startCall starts a call at an entry node.
func (w *world) startCall(entry int, r *rand.Rand) {
	c := &call{w: w, entry: entry, startedAt: w.now, deadline: w.now + callTimeout, demand: w.deployment.scenario.demand(r), measured: w.measuring}
	idempotent := r.Float64() < idempotentShare
	c.budget = w.retriers[entry].Begin(serviceName, idempotent, epoch.Add(c.deadline), -1)
	if c.measured {
		w.result.calls++
	}
	w.after(callTimeout, func() { c.expire() })
	if w.options.hedge && idempotent {
		if delay, ok := w.retriers[entry].HedgeDelay(serviceName); ok {
			w.after(delay, func() { c.hedge(delay) })
		}
	}
	c.send(-1)
}

// send starts an attempt at the hinted server or, if hint is negative, at the one that the policy picks.
func (c *call) send(hint int) {
	server := hint
	if server < 0 {
		server = c.w.policy.pick(c.entry, c.tried)
	}
	if server < 0 && len(c.tried) > 0 { // all servers were tried: allow each of them again
		server = c.w.policy.pick(c.entry, nil)
	}
	if server < 0 {
		c.fail()
		return
	}
	if c.measured {
		c.w.result.attempts++
	}
	a := &attempt{call: c, server: server, sentAt: c.w.now}
	c.tried = append(c.tried, server)
	c.attempts = append(c.attempts, a)
	c.w.policy.started(c.entry, server)
	c.w.after(c.w.latency(c.entry, server), a.arrive)
}

// arrive requests a slot at the server's node.
func (a *attempt) arrive() {
	c, s := a.call, a.call.w.servers[a.server]
	s.incoming--
	a.waiter = s.admission.Submit(
		admission.Call{Class: class, Deadline: epoch.Add(c.deadline - c.w.latency(c.entry, a.server)), NoRedirect: !c.budget.MayRedirect()},
		func(t *admission.Ticket, err error) {
			if err != nil {
				a.refused(err)
				return
			}
			a.ticket = t
			a.job = s.begin(c.demand, func() {
				t.Done(admission.OK)
				a.respond(nil)
			})
		})
	s.scheduleSweep()
}

// refused sends a refusal to the entry node.
func (a *attempt) refused(err error) {
	var r *admission.Refused
	if errors.As(err, &r) && r.Reason != admission.ReasonCancelled {
		a.respond(r)
	}
}

// respond sends an answer, or the refusal r, to the entry node, together with load reports.
func (a *attempt) respond(r *admission.Refused) {
	w := a.call.w
	var loads []balance.Load
	if w.servers[a.server].reportLimiter.Due(strconv.Itoa(a.call.entry)) || !w.options.limitReports {
		loads = append([]balance.Load{w.report(a.server)}, w.policy.piggyback(a.server)...)
	}
	if w.measuring && a.call.entry != a.server {
		w.result.bytes += reportBytes * len(loads)
	}
	w.after(w.latency(a.call.entry, a.server), func() {
		w.policy.observe(a.call.entry, a.server, loads)
		if !a.ended {
			a.ended = true
			a.handleResponse(r)
		}
	})
}

// handleResponse handles an answer, or the refusal r, at the entry node.
func (a *attempt) handleResponse(r *admission.Refused) {
	c, w := a.call, a.call.w
	if r == nil {
		w.policy.finished(c.entry, a.server, balance.Result{Kind: balance.OK, Latency: w.now - a.sentAt})
		w.retriers[c.entry].Observe(serviceName, w.now-a.sentAt)
		c.finish()
		return
	}
	w.policy.finished(c.entry, a.server, balance.Result{Kind: balance.Refused, Latency: w.now - a.sentAt})
	failure, hint := retry.NotRun, -1
	if r.Reason == admission.ReasonSiblingFree {
		failure, c.redirected = retry.Redirected, true
		hint = w.policy.(*product).lookup(c.entry, r.Sibling)
		if c.measured {
			w.result.redirects++
		}
	}
	if c.ended {
		return
	}
	if w.retriers[c.entry].Retry(c.budget, failure) == "" {
		c.send(hint)
		return
	}
	for _, other := range c.attempts {
		if !other.ended {
			return
		}
	}
	c.fail()
}

// hedge starts a second attempt if the call has no answer yet and another server is now expected to be much faster.
// Otherwise it checks again after half of the delay.
func (c *call) hedge(delay time.Duration) {
	if c.ended {
		return
	}
	server := -1
	if last := c.attempts[len(c.attempts)-1]; !last.ended {
		server = c.w.policy.hedge(c.entry, last.server, c.tried)
	}
	if server < 0 || c.w.retriers[c.entry].Hedge(c.budget) != "" {
		c.w.after(delay/2, func() { c.hedge(delay) })
		return
	}
	if c.measured {
		c.w.result.hedges++
	}
	c.send(server)
}

// finish records the answer and cancels the remaining attempts.
func (c *call) finish() {
	if c.ended {
		return
	}
	if c.measured {
		c.w.result.latencies = append(c.w.result.latencies, c.w.now-c.startedAt)
	}
	c.cancel()
}

// fail records a call as refused.
func (c *call) fail() {
	if c.ended {
		return
	}
	if c.measured {
		c.w.result.refused++
	}
	c.cancel()
}

// expire ends a call that has no answer at its deadline.
func (c *call) expire() {
	if c.ended {
		return
	}
	if c.measured {
		c.w.result.late++
	}
	c.cancel()
}

// cancel ends the call and cancels its remaining attempts.
func (c *call) cancel() {
	c.ended = true
	for _, a := range c.attempts {
		if a.ended {
			continue
		}
		a.ended = true
		c.w.policy.finished(c.entry, a.server, balance.Result{Kind: balance.Cancelled, Latency: c.w.now - a.sentAt})
		c.w.after(c.w.latency(c.entry, a.server), a.abort)
	}
}

// abort cancels an attempt at the server's node.
func (a *attempt) abort() {
	s := a.call.w.servers[a.server]
	if a.ticket != nil {
		if s.abort(a.job) {
			a.ticket.Done(admission.Cancelled)
		}
		return
	}
	s.admission.Cancel(a.waiter, nil)
}
