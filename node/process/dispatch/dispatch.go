// Package dispatch decides which calls run at the backend server beside the node, and when. All calls to the server pass
// through it, so it knows the calls in progress exactly: a call that it refuses has not run.
//
// Of the waiting calls those go first that can still meet their objective, by rank and then by objective: an answer after its
// objective is worth little to a caller. A call is refused on arrival when it would wait here although another server may
// have room, and when it cannot be answered in time. Calls start only while the host is not slow: a neighbour on the host
// slows work down for short spells, and a call takes as long as the host is slow at its start.
package dispatch

import (
	"fmt"
	"sync"
	"time"
)

const (
	// slowSpell is the usual time for which a neighbour on the host slows work down.
	slowSpell = 150 * time.Millisecond
	// slownessAge is the time for which an observed slowness counts in estimates.
	slownessAge = 100 * time.Millisecond
	// freshFor is the age up to which an observed slowness decides whether a call starts. It changes every 150 ms or so.
	freshFor = 10 * time.Millisecond
	// slowFrom is the slowness, as a multiple of the least one of late, from which calls are not started. A server that is
	// slow all the time, as after its start, has no better moment to wait for.
	slowFrom = 1.8
	// holdSlow is the longest time for which a call waits for the end of a slow spell.
	holdSlow = 300 * time.Millisecond
	// blindFor is the time after a failed probe in which calls start without asking.
	blindFor = 500 * time.Millisecond
	// hopelessShare is the share of the usual service time that must be left until the deadline.
	hopelessShare = 0.6
	// lateHold is the share of the time until the deadline for which a call waits that can no longer meet its objective.
	lateHold = 0.25
	// lateBacklog is the number of late calls that wait, as a share of the slots.
	lateBacklog = 0.5
	// smoothing is the weight of a new service time.
	smoothing = 0.05
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
	// Stay keeps the call from being referred to another server.
	Stay bool
	// ReferFrom is the expected delay from which on the call is referred to another server.
	ReferFrom time.Duration

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

// usualSlowness is the slowness of a host that nobody disturbs, in percent.
const usualSlowness = 100

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

// Shut refuses waiting and new calls. Calls in progress go on.
func (d *Dispatcher) Shut() {
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

// learnKnee adds the time of a call to what is known of the knee.
func (d *Dispatcher) learnKnee(j *Job, took time.Duration, now time.Time) {
	if j.slow {
		return
	}
	before := d.knee.found
	d.knee.add(j.Route, j.inProgress, took, now)
	d.knee.expire(now)
	if d.knee.found != before {
		d.decided = append(d.decided, d.kneeFound)
	}
}

// ShareKnee makes the dispatcher learn the knee that the nodes of other servers of the same kind have found. The function others
// returns it for a number of slots, or 0; found is called when this node has found a knee or given it up. The dispatcher is
// locked while others runs.
func (d *Dispatcher) ShareKnee(others func(slots int) int, found func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.othersKnee, d.kneeFound = others, found
}

// Knee returns the number of calls in progress above which the server gets less done, as found here; 0 when none is known.
func (d *Dispatcher) Knee() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knee.found
}

// Observe takes the slowness that the server reported, in percent of the usual time of work; probed is set when the report
// answers a probe.
func (d *Dispatcher) Observe(slowness int, probed bool) {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.slowness, d.slownessAt = slowness, now
	d.least.add(slowness, now)
	if probed {
		d.probing = false
	}
	d.dispatch(now)
}

// ProbeFailed is called when the server did not tell its slowness. For a while calls start without it.
func (d *Dispatcher) ProbeFailed() {
	defer d.announce()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.probing = false
	d.blindUntil = now.Add(blindFor)
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

func (d *Dispatcher) currentSlowness(now time.Time) int {
	if now.Sub(d.slownessAt) > slownessAge {
		return usualSlowness
	}
	return d.slowness
}

// slowDelay returns the time that a call is expected to lose while the host is slow.
func (d *Dispatcher) slowDelay(now time.Time) time.Duration {
	if now.Sub(d.slownessAt) > slownessAge || !d.slow(now) {
		return 0
	}
	return time.Duration((1 - float64(d.least.value(now))/float64(d.slowness)) * float64(slowSpell))
}

// slow reports whether the last known slowness is that of a spell. Nothing is known of servers that do not tell it.
func (d *Dispatcher) slow(now time.Time) bool {
	least := d.least.value(now)
	return least > 0 && float64(d.slowness) >= slowFrom*float64(least)
}

func (d *Dispatcher) route(name string) *estimate {
	e := d.routes[name]
	if e == nil {
		e = &estimate{}
		d.routes[name] = e
	}
	return e
}

// unfit returns why a call should not wait here, and when there is room; 0 when it may wait or run.
func (d *Dispatcher) unfit(j *Job, now time.Time) (Reason, time.Duration) {
	if !d.ready {
		return NoServer, 0
	}
	service := d.route(j.Route).value()
	wait := d.expectedWait(j, now)
	if now.Add(wait + time.Duration(hopelessShare*float64(service))).After(j.Deadline) {
		return Late, wait
	}
	if d.refers(j, wait, now) {
		return Busy, wait
	}
	if wait > 0 && j.late(now.Add(wait), service) && d.lateWaiting(now) >= int(lateBacklog*float64(d.knee.limit)) {
		return Late, wait
	}
	return 0, 0
}

// refers reports whether a call is better tried at another server.
func (d *Dispatcher) refers(j *Job, wait time.Duration, now time.Time) bool {
	return !j.Stay && wait+d.slowDelay(now) > j.ReferFrom
}

// expectedWait returns the time until a slot becomes free for a call.
func (d *Dispatcher) expectedWait(j *Job, now time.Time) time.Duration {
	ahead := d.inProgress - d.knee.limit + 1
	for _, w := range d.waiting {
		if d.before(w, j, now) {
			ahead++
		}
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * float64(d.overall.value()) / float64(d.knee.limit))
}

// late reports whether a call that starts at a time would be answered after its objective.
func (j *Job) late(start time.Time, service time.Duration) bool {
	return start.Add(service).After(j.Objective)
}

func (d *Dispatcher) lateWaiting(now time.Time) int {
	n := 0
	for _, w := range d.waiting {
		if w.late(now, d.route(w.Route).value()) {
			n++
		}
	}
	return n
}

// before reports whether a goes before b.
func (d *Dispatcher) before(a, b *Job, now time.Time) bool {
	lateA, lateB := a.late(now, d.route(a.Route).value()), b.late(now, d.route(b.Route).value())
	if lateA != lateB {
		return lateB
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Objective.Before(b.Objective)
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

// mayStart reports whether the host is known not to be slow. A call takes as long as the host is slow at its start, so that
// the wait for the end of a slow spell is shorter than the time that is lost by starting in it.
func (d *Dispatcher) mayStart(j *Job, now time.Time) bool {
	if d.probe == nil || now.Before(d.blindUntil) {
		return true
	}
	if now.Sub(d.slownessAt) <= freshFor {
		return !d.slow(now) || now.Sub(j.arrived) > holdSlow
	}
	if !d.probing {
		d.probing = true
		d.decided = append(d.decided, d.probe)
	}
	return false
}

// expire refuses the calls that should not wait any longer.
func (d *Dispatcher) expire(now time.Time) {
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		service := d.route(w.Route).value()
		hopeless := now.Add(time.Duration(hopelessShare * float64(service))).After(w.Deadline)
		held := w.late(now, service) && float64(now.Sub(w.arrived)) > lateHold*float64(w.Deadline.Sub(w.arrived))
		switch {
		case hopeless || held:
			d.refuse(w, Late, d.expectedWait(w, now))
			continue
		case d.slowDelay(now) > 0 && d.refers(w, 0, now):
			d.refuse(w, Busy, d.slowDelay(now))
			continue
		}
		kept = append(kept, w)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
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
