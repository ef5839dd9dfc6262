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

// call is one call at its entry node.
type call struct {
	w        *world
	entry    int
	begun    time.Duration
	deadline time.Duration
	demand   time.Duration
	measured bool
	over     bool
	budget   *retry.Call
	tried    []int
	attempts []*attempt
	referred bool
}

// attempt is one attempt of a call.
type attempt struct {
	call   *call
	server int
	sent   time.Duration
	over   bool // at the entry node
	waiter *admission.Waiter
	ticket *admission.Ticket
	job    *job
}

// begin starts a call.
func (w *world) begin(entry int, r *rand.Rand) {
	c := &call{w: w, entry: entry, begun: w.now, deadline: w.now + callTimeout, demand: w.deployment.scenario.demand(r), measured: w.measuring}
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

// send makes an attempt at the hinted server or at the one that the policy picks.
func (c *call) send(hint int) {
	server := hint
	if server < 0 {
		server = c.w.policy.pick(c.entry, c.tried)
	}
	if server < 0 && len(c.tried) > 0 { // all were tried: start over
		server = c.w.policy.pick(c.entry, nil)
	}
	if server < 0 {
		c.fail()
		return
	}
	if c.measured {
		c.w.result.attempts++
	}
	a := &attempt{call: c, server: server, sent: c.w.now}
	c.tried = append(c.tried, server)
	c.attempts = append(c.attempts, a)
	c.w.policy.started(c.entry, server)
	c.w.after(c.w.latency(c.entry, server), a.arrive)
}

// arrive asks for a slot at the server's node.
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
				a.answer(nil)
			})
		})
	s.sweep()
}

// refused sends a refusal to the entry node.
func (a *attempt) refused(err error) {
	var r *admission.Refused
	if errors.As(err, &r) && r.Reason != admission.ReasonCancelled {
		a.answer(r)
	}
}

// answer sends an answer or a refusal, with load reports, to the entry node.
func (a *attempt) answer(r *admission.Refused) {
	w := a.call.w
	var loads []balance.Load
	if w.servers[a.server].pace.Due(strconv.Itoa(a.call.entry)) || !w.options.pace {
		loads = append([]balance.Load{w.report(a.server)}, w.policy.piggyback(a.server)...)
	}
	if w.measuring && a.call.entry != a.server {
		w.result.bytes += reportBytes * len(loads)
	}
	w.after(w.latency(a.call.entry, a.server), func() {
		w.policy.observe(a.call.entry, a.server, loads)
		if !a.over {
			a.over = true
			a.end(r)
		}
	})
}

// end takes in an answer or a refusal at the entry node.
func (a *attempt) end(r *admission.Refused) {
	c, w := a.call, a.call.w
	if r == nil {
		w.policy.finished(c.entry, a.server, balance.Result{Kind: balance.OK, Latency: w.now - a.sent})
		w.retriers[c.entry].Observe(serviceName, w.now-a.sent)
		c.finish()
		return
	}
	w.policy.finished(c.entry, a.server, balance.Result{Kind: balance.Refused, Latency: w.now - a.sent})
	failure, hint := retry.NotRun, -1
	if r.Reason == admission.ReasonSiblingFree {
		failure, c.referred = retry.Redirected, true
		hint = w.policy.(*product).lookup(c.entry, r.Sibling)
		if c.measured {
			w.result.referrals++
		}
	}
	if c.over {
		return
	}
	if w.retriers[c.entry].Retry(c.budget, failure) == "" {
		c.send(hint)
		return
	}
	for _, other := range c.attempts {
		if !other.over {
			return
		}
	}
	c.fail()
}

// hedge makes a second attempt if the call has no answer yet and another server is much better by now. Otherwise it looks
// again after half of the delay.
func (c *call) hedge(delay time.Duration) {
	if c.over {
		return
	}
	server := -1
	if last := c.attempts[len(c.attempts)-1]; !last.over {
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

// finish records the answer and cancels what is left.
func (c *call) finish() {
	if c.over {
		return
	}
	if c.measured {
		c.w.result.latencies = append(c.w.result.latencies, c.w.now-c.begun)
	}
	c.cancel()
}

// fail records a call without an answer.
func (c *call) fail() {
	if c.over {
		return
	}
	if c.measured {
		c.w.result.refused++
	}
	c.cancel()
}

// expire ends a call at its deadline.
func (c *call) expire() {
	if c.over {
		return
	}
	if c.measured {
		c.w.result.late++
	}
	c.cancel()
}

// cancel gives up the attempts that are left.
func (c *call) cancel() {
	c.over = true
	for _, a := range c.attempts {
		if a.over {
			continue
		}
		a.over = true
		c.w.policy.finished(c.entry, a.server, balance.Result{Kind: balance.Cancelled, Latency: c.w.now - a.sent})
		c.w.after(c.w.latency(c.entry, a.server), a.abort)
	}
}

// abort gives up an attempt at the server's node.
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
