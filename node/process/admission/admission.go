// Package admission decides which calls run at the local backend server and when. It knows the calls in progress
// exactly, so its decision is final: a call that it refuses did not run.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
)

// reconsider is the time after which a waiting call looks for a free sibling again. A stalled server completes nothing,
// so no other event would wake its queue.
const reconsider = 5 * time.Millisecond

// Call describes a call that asks for a slot.
type Call struct {
	Class contract.Class
	// Deadline of the call; zero for none.
	Deadline time.Time
	// NoRedirect forbids redirecting the call to a sibling, because it was redirected before or must not be retried.
	NoRedirect bool
}

// Load is the state of the server as reported to choosers.
type Load struct {
	Sequence    uint64
	InProgress  int
	Queued      int
	Limit       int
	ServiceTime time.Duration
	Draining    bool
}

// Config holds what an Admission depends on.
type Config struct {
	// Slots is the number of calls that the server takes at once.
	Slots int
	// Values returns the settings in force; the defaults hold when nil.
	Values func() settings.Admission
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// Sibling names another server of the service at which a call is expected to complete within the given time, if one
	// is known. It is called with the lock of the Admission held and must not call back. Nil disables referral.
	Sibling func(within time.Duration) (serverID string, ok bool)
}

// Admission is the queue in front of one backend server. It is safe for concurrent use.
type Admission struct {
	config Config
	origin time.Time

	mu         sync.Mutex
	slots      int
	inProgress int
	queues     queues
	estimate   estimate
	sweptAt    time.Duration
	sequence   uint64
	draining   bool
	stopped    bool
	decided    []decision // to be announced after the lock is released
}

// decision is the end of a wait.
type decision struct {
	waiter *Waiter
	ticket *Ticket
	err    error
}

// New returns an Admission with all slots free.
func New(c Config) *Admission {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Values == nil {
		defaults := settings.Default().Admission
		c.Values = func() settings.Admission { return defaults }
	}
	return &Admission{config: c, origin: c.Now(), slots: max(c.Slots, 1)}
}

// Admit waits for a slot. The error is a *Refused: the call did not run.
func (a *Admission) Admit(ctx context.Context, call Call) (*Ticket, error) {
	done := make(chan decision, 1)
	w := a.Submit(call, func(t *Ticket, err error) { done <- decision{ticket: t, err: err} })
	select { // most calls are decided at once and need no timer
	case d := <-done:
		return d.ticket, d.err
	default:
	}
	timer := time.NewTimer(a.wakeAfter(w))
	defer timer.Stop()
	for {
		select {
		case d := <-done:
			return d.ticket, d.err
		case <-timer.C:
			a.Sweep()
			timer.Reset(a.wakeAfter(w))
		case <-ctx.Done():
			a.Cancel(w, ctx.Err())
			d := <-done
			if d.ticket != nil {
				d.ticket.Done(Cancelled)
				return nil, &Refused{Reason: ReasonCancelled, cause: ctx.Err()}
			}
			return nil, d.err
		}
	}
}

// wakeAfter returns the time until a waiter expires or looks for a sibling again.
func (a *Admission) wakeAfter(w *Waiter) time.Duration {
	return max(min(w.expires-a.now(), reconsider), sweepEvery)
}

// Submit asks for a slot without blocking. The function decide is called exactly once, with a ticket or a *Refused,
// before Submit returns or later.
func (a *Admission) Submit(call Call, decide func(*Ticket, error)) *Waiter {
	w := &Waiter{call: call, decide: decide}
	defer a.announce()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.submit(w, a.now(), a.config.Values())
	return w
}

// Cancel takes a waiter out of the queue, if it still waits.
func (a *Admission) Cancel(w *Waiter, cause error) {
	defer a.announce()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queues.remove(w) {
		a.refuse(w, &Refused{Reason: ReasonCancelled, cause: cause})
	}
}

// Sweep refuses the waiters that can no longer finish in time and refers those that a sibling would serve sooner.
func (a *Admission) Sweep() {
	defer a.announce()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(a.now(), a.config.Values())
	a.dispatch(a.now(), a.config.Values())
}

// Load returns the state of the server and numbers it.
func (a *Admission) Load(now time.Time) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return Load{
		Sequence: a.sequence, InProgress: a.inProgress, Queued: a.queues.length, Limit: a.slots,
		ServiceTime: a.estimate.serviceTime(now.Sub(a.origin), a.inProgress), Draining: a.draining || a.stopped,
	}
}

// Drain refuses new calls. Waiting calls and calls in progress go on.
func (a *Admission) Drain() { a.set(func() { a.draining = true }) }

// Resume takes new calls again after Drain.
func (a *Admission) Resume() { a.set(func() { a.draining = false }) }

// Resize changes the number of slots. Calls in progress beyond it go on.
func (a *Admission) Resize(slots int) {
	a.set(func() { a.slots = max(slots, 1) })
}

// Stop refuses new and waiting calls. Calls in progress go on.
func (a *Admission) Stop() {
	a.set(func() {
		a.stopped = true
		for w := a.queues.lowest(); w != nil; w = a.queues.lowest() {
			a.queues.remove(w)
			a.refuse(w, &Refused{Reason: ReasonStopping})
		}
	})
}

// set changes the state and admits what fits.
func (a *Admission) set(change func()) {
	defer a.announce()
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	a.dispatch(a.now(), a.config.Values())
}

// now returns the time since the Admission was made.
func (a *Admission) now() time.Duration { return a.config.Now().Sub(a.origin) }

// announce calls the waiters whose wait is over. The lock must not be held.
func (a *Admission) announce() {
	a.mu.Lock()
	decided := a.decided
	a.decided = nil
	a.mu.Unlock()
	for _, d := range decided {
		d.waiter.decide(d.ticket, d.err)
	}
}
