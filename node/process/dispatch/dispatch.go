// Package dispatch decides which calls run at the backend server beside the node, and when. All calls to the server pass
// through it, so it knows the calls in progress exactly: a call that it refuses has not run.
//
// Of the waiting calls those go first that can still meet their objective, by rank and then by objective: an answer after its
// objective is worth little to a caller. A call is refused on arrival when it would wait here although another server may
// have room, and when it cannot be answered in time. Calls start only while the host is not slow: a neighbour on the host
// slows work down for short spells, and a call takes as long as the host is slow at its start. Slots stay free when the server
// gets less done with all of them in use.
package dispatch

import (
	"fmt"
	"sync"
	"time"
)

// Reason is why a call was refused.
type Reason int

// Reasons.
const (
	// Busy calls would wait here; another server may have room.
	Busy Reason = iota + 1
	// Late calls cannot be answered in time here.
	Late
	// NoServer means that the server takes no calls.
	NoServer
	// Cancelled calls were given up by the caller.
	Cancelled
)

func (r Reason) String() string {
	return [...]string{"none", "busy", "late", "no-server", "cancelled"}[r]
}

// Refused is the refusal of a call that has not run.
type Refused struct {
	Reason Reason
	// RetryAfter is the time after which there should be room.
	RetryAfter time.Duration
}

func (e *Refused) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Job is a call that asks for a slot.
type Job struct {
	Route string
	// Rank is the priority; 0 is the highest.
	Rank      int
	Objective time.Time
	Deadline  time.Time
	// NoRedirect keeps the call from being referred to another server.
	NoRedirect bool
	// RedirectAbove is the expected delay from which on the call is referred to another server.
	RedirectAbove time.Duration

	decide  func(error)
	arrived time.Time
	waiting bool
	started time.Time
	// inProgress is the number of calls at the server after the start of this one, and slow is set when the host was slow.
	inProgress int
	slow       bool
}

// Load describes the server for choosers.
type Load struct {
	InProgress  int
	Queued      int
	Limit       int
	Slowness    int
	ServiceTime time.Duration
}

// Dispatcher is the queue in front of the server. It is safe for concurrent use.
type Dispatcher struct {
	now   func() time.Time
	probe func()

	mu         sync.Mutex
	ready      bool
	slots      int
	knee       *knee
	inProgress int
	waiting    []*Job
	routes     map[string]*estimate
	overall    estimate
	slowness   int
	slownessAt time.Time
	least      recentMinimum
	probing    bool
	blindUntil time.Time
	decided    []func()
	othersKnee func(slots int) int
	kneeFound  func()
}

// New returns a Dispatcher for a server that takes no calls yet. The function probe asks the server for its slowness without
// blocking; its end is told with Observe or ProbeFailed. Nil means that the server cannot be asked.
func New(now func() time.Time, probe func()) *Dispatcher {
	return &Dispatcher{
		now: now, probe: probe, routes: map[string]*estimate{}, slots: 1, knee: newKnee(1), slowness: usualSlowness,
		othersKnee: func(int) int { return 0 }, kneeFound: func() {},
	}
}

// Open lets calls through to a server with the given number of slots.
func (d *Dispatcher) Open(slots int) {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = true
	if slots = max(slots, 1); slots != d.slots {
		d.slots, d.knee = slots, newKnee(slots)
	}
	d.dispatch(d.now())
}

// Close refuses waiting and new calls. Calls in progress go on.
func (d *Dispatcher) Close() {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = false
	for _, j := range d.waiting {
		d.refuse(j, NoServer, 0)
	}
	d.waiting = nil
}

// Reset forgets the calls in progress and the estimates: another server has taken the place of the one before.
func (d *Dispatcher) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes = map[string]*estimate{}
	d.overall = estimate{}
	d.knee = newKnee(d.slots)
	d.slowness = usualSlowness
	d.least = recentMinimum{}
}

// Submit asks for a slot. The function decide is called once, with nil when the call may run or a *Refused, before
// Submit returns or later. A call that may run has to be ended with Done.
func (d *Dispatcher) Submit(j *Job, decide func(error)) {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	j.decide, j.arrived = decide, now
	if reason, wait := d.unfit(j, now); reason != 0 {
		d.refuse(j, reason, wait)
		return
	}
	j.waiting = true
	d.waiting = append(d.waiting, j)
	d.dispatch(now)
}

// Cancel refuses a waiting call and reports whether it was waiting.
func (d *Dispatcher) Cancel(j *Job) bool {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !j.waiting {
		return false
	}
	d.remove(j)
	d.refuse(j, Cancelled, 0)
	return true
}

// Done ends a call that ran. Only answered calls say how long work takes.
func (d *Dispatcher) Done(j *Job, answered bool) {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.inProgress--
	if answered {
		took := now.Sub(j.started)
		d.route(j.Route).add(took)
		d.overall.add(took)
		d.learnKnee(j, took, now)
	}
	d.dispatch(now)
}

// Sweep refuses the waiting calls that should not wait any longer, and reports whether calls still wait.
func (d *Dispatcher) Sweep() bool {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(d.now())
	return len(d.waiting) > 0
}

// Load returns the load of the server.
func (d *Dispatcher) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Load{
		InProgress: d.inProgress, Queued: len(d.waiting), Limit: d.knee.limit,
		Slowness: d.currentSlowness(d.now()), ServiceTime: d.overall.value(),
	}
}

func (d *Dispatcher) route(name string) *estimate {
	e := d.routes[name]
	if e == nil {
		e = &estimate{}
		d.routes[name] = e
	}
	return e
}

// dispatch refuses the calls that cannot be answered in time and starts others while slots are free.
func (d *Dispatcher) dispatch(now time.Time) {
	d.expire(now)
	for len(d.waiting) > 0 {
		next := d.waiting[0]
		for _, w := range d.waiting[1:] {
			if d.before(w, next, now) {
				next = w
			}
		}
		if d.inProgress >= d.knee.limit || !d.mayStart(next, now) {
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
	j.started, j.inProgress, j.slow = now, d.inProgress, d.slow(now)
	if d.knee.learns(d.inProgress, now) {
		d.knee.learn(d.othersKnee(d.slots), now)
	}
	d.decided = append(d.decided, func() { j.decide(nil) })
}

func (d *Dispatcher) refuse(j *Job, reason Reason, wait time.Duration) {
	j.waiting = false
	d.decided = append(d.decided, func() { j.decide(&Refused{Reason: reason, RetryAfter: wait}) })
}

// announce calls the decide functions without the lock.
func (d *Dispatcher) announce() {
	d.mu.Lock()
	decided := d.decided
	d.decided = nil
	d.mu.Unlock()
	for _, call := range decided {
		call()
	}
}
