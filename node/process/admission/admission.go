// Package admission decides which calls run at the local backend server, and when. It has the exact number of calls in
// progress, so its decision is final: a call that it refuses has not run.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
)

// siblingCheckInterval is the interval at which a waiting call checks again for a free sibling. A stalled server completes
// no calls, so no other event triggers this check.
const siblingCheckInterval = 5 * time.Millisecond

// Call describes a call that requests a slot.
type Call struct {
	Class contract.Class
	// Deadline is the deadline of the call; zero for none.
	Deadline time.Time
	// NoRedirect forbids redirecting the call to a sibling, because it was redirected before or must not be retried.
	NoRedirect bool
}

// Load is the state of the server that is reported to balancers.
type Load struct {
	Sequence    uint64
	InProgress  int
	Queued      int
	Limit       int
	ServiceTime time.Duration
	Draining    bool
}

// Config holds the dependencies of an Admission.
type Config struct {
	// Slots is the maximum number of concurrent calls at the server.
	Slots int
	// Values returns the current settings; the defaults are used when nil.
	Values func() settings.Admission
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// Sibling returns another server of the service at which a call is expected to complete within the given time, if there
	// is one. It is called with the lock of the Admission held and must not call the Admission. Nil disables redirection.
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
	decided    []decision // callbacks to call after the lock is released
}

// decision is the result of a request for a slot: a ticket or an error.
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

// Admit waits for a slot. A returned error is a *Refused: the call has not run.
func (a *Admission) Admit(ctx context.Context, call Call) (*Ticket, error) {
	done := make(chan decision, 1)
	w := a.Submit(call, func(t *Ticket, err error) { done <- decision{ticket: t, err: err} })
	select { // most calls are decided immediately and need no timer
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

// wakeAfter returns the time until a waiter expires or has to check again for a sibling.
func (a *Admission) wakeAfter(w *Waiter) time.Duration {
	return max(min(w.expires-a.now(), siblingCheckInterval), minSweepInterval)
}

// Submit requests a slot without blocking. The function notify is called exactly once, with a ticket or a *Refused, before
// or after Submit returns.
func (a *Admission) Submit(call Call, notify func(*Ticket, error)) *Waiter {
	w := &Waiter{call: call, notify: notify}
	defer a.notifyDecided()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.submit(w, a.now(), a.config.Values())
	return w
}

// Cancel removes a waiter from the queue and refuses it. It has no effect if the waiter is not queued.
func (a *Admission) Cancel(w *Waiter, cause error) {
	defer a.notifyDecided()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queues.remove(w) {
		a.refuse(w, &Refused{Reason: ReasonCancelled, cause: cause})
	}
}

// Sweep refuses the waiters that can no longer complete by their deadline or have waited too long, redirects those that a
// sibling is expected to complete sooner, and starts waiters in free slots.
func (a *Admission) Sweep() {
	defer a.notifyDecided()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(a.now(), a.config.Values())
	a.dispatch(a.now(), a.config.Values())
}

// Load returns the state of the server with a new sequence number.
func (a *Admission) Load(now time.Time) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return Load{
		Sequence: a.sequence, InProgress: a.inProgress, Queued: a.queues.length, Limit: a.slots,
		ServiceTime: a.estimate.serviceTime(now.Sub(a.origin), a.inProgress), Draining: a.draining || a.stopped,
	}
}

// Drain refuses new calls. Waiting calls and calls in progress continue.
func (a *Admission) Drain() { a.update(func() { a.draining = true }) }

// Resume accepts new calls again after Drain.
func (a *Admission) Resume() { a.update(func() { a.draining = false }) }

// Resize changes the number of slots. Calls in progress beyond the new number continue.
func (a *Admission) Resize(slots int) {
	a.update(func() { a.slots = max(slots, 1) })
}

// Stop refuses new and waiting calls. Calls in progress continue.
func (a *Admission) Stop() {
	a.update(func() {
		a.stopped = true
		for w := a.queues.lastOfLowestClass(); w != nil; w = a.queues.lastOfLowestClass() {
			a.queues.remove(w)
			a.refuse(w, &Refused{Reason: ReasonStopping})
		}
	})
}

// update changes the state with the lock held, and starts waiters in free slots.
func (a *Admission) update(change func()) {
	defer a.notifyDecided()
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	a.dispatch(a.now(), a.config.Values())
}

// now returns the time since the Admission was created.
func (a *Admission) now() time.Duration { return a.config.Now().Sub(a.origin) }

// notifyDecided calls the callbacks of the decided waiters. The lock must not be held.
func (a *Admission) notifyDecided() {
	a.mu.Lock()
	decided := a.decided
	a.decided = nil
	a.mu.Unlock()
	for _, d := range decided {
		d.waiter.notify(d.ticket, d.err)
	}
}
