// Package dispatch schedules the calls to the backend server beside the node. All calls to the server pass through it,
// so its count of calls in progress is exact, and a call that it refuses has not run.
//
// Calls that other servers wait for are started first. Of the others, those that can still meet their objective precede, by
// rank and then by objective: an answer after its objective is worth little to a caller. A call is refused on arrival when it would wait here although another
// server may have a free slot, or when it cannot be answered in time. Calls start only while the host is not slow: a
// neighbour on the host slows work down for short periods, and the time of a call depends on the slowness of the host at
// its start. Slots are left free when the server has a lower throughput with all of them in use. A server that names a rate limit
// gets no more calls, and few health checks. Where teams have shares, the slots are divided among them: of the calls of a rank, those
// whose teams have used less slot time start first.
package dispatch

import (
	"fmt"
	"sync"
	"time"
)

// Reason is why a call was refused.
type Reason int

// Reasons of refusals.
const (
	// Busy means that the call would have to wait; another server may have a free slot.
	Busy Reason = iota + 1
	// Late means that the call cannot be answered in time here.
	Late
	// NoServer means that there is no server that accepts calls.
	NoServer
	// Cancelled means that the caller has cancelled the call.
	Cancelled
)

func (r Reason) String() string {
	return [...]string{"none", "busy", "late", "no-server", "cancelled"}[r]
}

// Refused is the error of a call that was refused and has not run.
type Refused struct {
	Reason Reason
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
}

func (e *Refused) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Job is a call that requests a slot.
type Job struct {
	Route string
	// Rank is the priority; 0 is the highest.
	Rank int
	// Objective is the time until which an answer has its full value to the caller.
	Objective time.Time
	Deadline  time.Time
	// Nested is set for a call that another server makes for a call in progress there. That one holds a slot and fails
	// with it, so that nested calls go first and are refused only when they cannot be answered at all.
	Nested bool
	// Team is the team whose share of the slots the call uses; empty for calls without one. ParentRank is the rank of the call for which
	// a nested call is made. Both are used only where teams have shares.
	Team       string
	ParentRank int
	// NoRedirect keeps the call from being redirected to another server.
	NoRedirect bool
	// RedirectAbove is the expected delay above which the call is redirected to another server.
	RedirectAbove time.Duration

	onDecision func(error)
	arrived    time.Time
	waiting    bool
	started    time.Time
	// charged is the slot time that the team was charged at the start; 0 if none.
	charged time.Duration
	// inProgress is the number of calls in progress after the start of this one; slow is set when the host was slow or the server
	// cold then.
	inProgress int
	slow       bool
}

// Load is the load of the server, for the nodes that pick a server for a call.
type Load struct {
	InProgress int
	Queued     int
	Limit      int
	// Slowness is the slowness of the host, in percent of the undisturbed time of work.
	Slowness int
	// ServiceTime is the average time of a call.
	ServiceTime time.Duration
	// RateLimit is the number of requests per second that the server gets at most, since it names a limit or is treated as cold;
	// 0 without a limit. RateWait is the time until the limit allows another call.
	RateLimit float64
	RateWait  time.Duration
	// RateLimitUnknown is set until an answer has shown whether the server names a limit.
	RateLimitUnknown bool
}

// Dispatcher queues and starts the calls to the server. It is safe for concurrent use.
type Dispatcher struct {
	now   func() time.Time
	probe func()

	mu                sync.Mutex
	ready             bool
	slots             int
	knee              *kneeDetector
	limiter           rateLimiter
	cold              coldState
	coldControl       ColdControl // zero if cold servers are not limited
	coldRefused       int64
	inProgress        int
	waiting           []*Job
	shares            fairShares
	fairEnabled       func() bool // nil if teams have no shares
	routeTimes        map[string]*ewma
	overallTime       ewma
	slowness          int
	slownessAt        time.Time
	minSlowness       recentMinimum
	probing           bool
	probeBackoffUntil time.Time
	callbacks         []func()
	peerKnee          func(slots int) int
	kneeChanged       func()
}

// New returns a Dispatcher for a server that does not accept calls yet. The function probe requests the slowness of the
// server without blocking; its result is passed to Observe or ProbeFailed. If probe is nil, calls start without regard
// to the slowness.
func New(now func() time.Time, probe func()) *Dispatcher {
	return &Dispatcher{
		now: now, probe: probe, routeTimes: map[string]*ewma{}, slots: 1, knee: newKneeDetector(1), slowness: normalSlowness,
		peerKnee: func(int) int { return 0 }, kneeChanged: func() {},
	}
}

// Open starts accepting calls for a server with the given number of slots.
func (d *Dispatcher) Open(slots int) {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = true
	if slots = max(slots, 1); slots != d.slots {
		d.slots, d.knee = slots, newKneeDetector(slots)
	}
	d.dispatch(d.now())
}

// Close refuses waiting and new calls. Calls in progress continue.
func (d *Dispatcher) Close() {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = false
	for _, j := range d.waiting {
		d.refuse(j, NoServer, 0)
	}
	d.waiting = nil
}

// Reset discards the estimates, since the server was replaced by another one.
func (d *Dispatcher) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routeTimes = map[string]*ewma{}
	d.overallTime = ewma{}
	d.knee = newKneeDetector(d.slots)
	d.slowness, d.slownessAt = normalSlowness, time.Time{}
	d.minSlowness = recentMinimum{}
	d.probeBackoffUntil = time.Time{}
	d.limiter = rateLimiter{}
	d.resetCold(d.now())
}

// Submit requests a slot. The function onDecision is called once, before Submit returns or later, with nil when the call
// may run and with a *Refused otherwise. Done must be called at the end of a call that may run.
func (d *Dispatcher) Submit(j *Job, onDecision func(error)) {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	j.onDecision, j.arrived = onDecision, now
	d.configureCold(now)
	if reason, wait := d.refusalReason(j, now); reason != 0 {
		d.refuse(j, reason, wait)
		return
	}
	j.waiting = true
	d.waiting = append(d.waiting, j)
	d.dispatch(now)
}

// Cancel refuses a waiting call and reports whether it was waiting.
func (d *Dispatcher) Cancel(j *Job) bool {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !j.waiting {
		return false
	}
	d.remove(j)
	d.refuse(j, Cancelled, 0)
	return true
}

// Done ends a call that ran. Only the times of answered calls are recorded as service times.
func (d *Dispatcher) Done(j *Job, answered bool) {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.inProgress--
	elapsed := now.Sub(j.started)
	d.shares.finish(j, elapsed)
	if answered {
		d.routeTime(j.Route).add(elapsed)
		d.overallTime.add(elapsed)
		d.recordKneeSample(j, elapsed, now)
	}
	d.dispatch(now)
}

// Sweep refuses the waiting calls that should not wait any longer, starts others while slots are free, and reports
// whether calls still wait.
func (d *Dispatcher) Sweep() bool {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(d.now())
	return len(d.waiting) > 0
}

// Load returns the load of the server.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	perSecond, rateWait := d.rateLimits(now)
	return Load{
		InProgress: d.inProgress, Queued: len(d.waiting), Limit: d.knee.limit,
		Slowness: d.currentSlowness(now), ServiceTime: d.overallTime.value(),
		RateLimit: perSecond, RateWait: rateWait,
		RateLimitUnknown: !d.limiter.known,
	}
}

// routeTime returns the average service time of a route.
func (d *Dispatcher) routeTime(name string) *ewma {
	e := d.routeTimes[name]
	if e == nil {
		e = &ewma{}
		d.routeTimes[name] = e
	}
	return e
}

// dispatch refuses the calls that cannot be answered in time and starts others while slots are free.
func (d *Dispatcher) dispatch(now time.Time) {
	d.configureCold(now)
	d.refuseOverdue(now)
	for len(d.waiting) > 0 {
		next := d.first(now)
		if d.inProgress >= d.knee.limit || !d.mayStart(next, now) || !d.coldAllows(now) || !d.limiter.allow(now) {
			return
		}
		d.remove(next)
		d.start(next, now)
	}
}

func (d *Dispatcher) remove(j *Job) {
	for i, w := range d.waiting {
		if w == j {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			break
		}
	}
	j.waiting = false
}

func (d *Dispatcher) start(j *Job, now time.Time) {
	d.inProgress++
	if d.fair() {
		d.shares.start(j, d.slotTime(j), d.waiting)
	}
	d.cold.started(now)
	j.started, j.inProgress, j.slow = now, d.inProgress, d.slow(now) || d.cold.cold(now)
	if d.knee.canAdopt(d.inProgress, now) {
		d.knee.adopt(d.peerKnee(d.slots), now)
	}
	d.callbacks = append(d.callbacks, func() { j.onDecision(nil) })
}

func (d *Dispatcher) refuse(j *Job, reason Reason, wait time.Duration) {
	j.waiting = false
	d.countColdRefusal(reason)
	d.callbacks = append(d.callbacks, func() { j.onDecision(&Refused{Reason: reason, RetryAfter: wait}) })
}

// runCallbacks runs the pending callbacks without holding the lock.
func (d *Dispatcher) runCallbacks() {
	d.mu.Lock()
	callbacks := d.callbacks
	d.callbacks = nil
	d.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}
