package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minServiceShare is the share of the average service time that must be left until the deadline.
	minServiceShare = 0.6
	// lateWaitShare is the share of the time until the deadline for which a call may wait that can no longer meet its
	// objective.
	lateWaitShare = 0.25
	// lateBacklogShare is the maximum number of waiting calls that miss their objective, as a share of the calls in progress
	// that the server allows.
	lateBacklogShare = 0.5
)

// refusalReason returns why a call should not wait here and the expected time until a slot is free; 0 when the call may
// wait or run.
func (d *Dispatcher) refusalReason(j *Job, now time.Time) (Reason, time.Duration) {
	if !d.ready {
		return NoServer, 0
	}
	service := d.routeTime(j.Route).value()
	wait := d.expectedWait(j, now)
	if now.Add(wait + time.Duration(minServiceShare*float64(service))).After(j.Deadline) {
		return Late, wait
	}
	if d.shouldRedirect(j, wait, now) {
		return Busy, wait
	}
	if wait > 0 && !j.Nested && j.missesObjective(now.Add(wait), service) &&
		d.waitingLate(j, now) >= int(lateBacklogShare*d.concurrency()) {
		return Late, wait
	}
	return 0, 0
}

// shouldRedirect reports whether a call should be sent to another server.
func (d *Dispatcher) shouldRedirect(j *Job, wait time.Duration, now time.Time) bool {
	return !j.NoRedirect && wait+d.slowDelay(now) > j.RedirectAbove
}

// expectedWait returns the expected time until a call may start.
func (d *Dispatcher) expectedWait(j *Job, now time.Time) time.Duration {
	ahead := d.countAhead(j, now)
	return max(d.slotWait(ahead), d.limiter.wait(ahead, now), d.cold.wait(ahead, now))
}

// countAhead returns the number of waiting calls that start before a call.
func (d *Dispatcher) countAhead(j *Job, now time.Time) int {
	if d.fair() {
		return len(d.aheadByShares(j, now))
	}
	ahead := 0
	for _, w := range d.waiting {
		if d.precedes(w, j, now) {
			ahead++
		}
	}
	return ahead
}

// slotWait returns the expected time until a slot is free for a call behind others that wait.
func (d *Dispatcher) slotWait(ahead int) time.Duration {
	excess := d.inProgress - d.knee.limit + 1 + ahead
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * float64(d.overallTime.value()) / float64(d.knee.limit))
}

// concurrency returns the number of calls in progress that the slots and the rate limit of the server allow.
func (d *Dispatcher) concurrency() float64 {
	slots := float64(d.knee.limit)
	perSecond, _ := d.rateLimits(d.now())
	if perSecond == 0 {
		return slots
	}
	return min(slots, perSecond*d.overallTime.value().Seconds())
}

// missesObjective reports whether a call that starts at the given time would be answered after its objective.
func (j *Job) missesObjective(start time.Time, service time.Duration) bool {
	return start.Add(service).After(j.Objective)
}

// waitingLate returns the number of waiting calls that miss their objective: among all of them, or, where teams have shares, among those
// that start before the given call.
func (d *Dispatcher) waitingLate(j *Job, now time.Time) int {
	waiting := d.waiting
	if d.fair() {
		waiting = d.aheadByShares(j, now)
	}
	n := 0
	for _, w := range waiting {
		if w.missesObjective(now, d.routeTime(w.Route).value()) {
			n++
		}
	}
	return n
}

// precedes reports whether a is started before b.
func (d *Dispatcher) precedes(a, b *Job, now time.Time) bool { return d.compare(a, b, now) < 0 }

// compare orders the calls by their start: it is negative if a is started before b.
func (d *Dispatcher) compare(a, b *Job, now time.Time) int {
	if a.Nested != b.Nested {
		return firstIf(a.Nested)
	}
	lateA, lateB := a.missesObjective(now, d.routeTime(a.Route).value()), b.missesObjective(now, d.routeTime(b.Route).value())
	if lateA != lateB {
		return firstIf(lateB)
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Objective.Compare(b.Objective))
}

// first returns the waiting call that is started next. There must be one.
func (d *Dispatcher) first(now time.Time) *Job {
	if d.fair() {
		return d.fairOrder(d.waiting, now)[0]
	}
	first := d.waiting[0]
	for _, w := range d.waiting[1:] {
		if d.precedes(w, first, now) {
			first = w
		}
	}
	return first
}

// sortWaiting returns the waiting calls in the order of their start.
func (d *Dispatcher) sortWaiting(now time.Time) []*Job {
	if d.fair() {
		return d.fairOrder(d.waiting, now)
	}
	slices.SortStableFunc(d.waiting, func(a, b *Job) int { return d.compare(a, b, now) })
	return d.waiting
}

// firstIf returns the result of a comparison whose first operand comes first if the condition holds, and last otherwise.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// refuseOverdue refuses the calls that should not wait any longer.
func (d *Dispatcher) refuseOverdue(now time.Time) {
	remaining := d.waiting[:0]
	for _, w := range d.waiting {
		service := d.routeTime(w.Route).value()
		unanswerable := now.Add(time.Duration(minServiceShare * float64(service))).After(w.Deadline)
		waitedTooLong := !w.Nested && w.missesObjective(now, service) &&
			float64(now.Sub(w.arrived)) > lateWaitShare*float64(w.Deadline.Sub(w.arrived))
		switch {
		case unanswerable || waitedTooLong:
			d.refuse(w, Late, d.expectedWait(w, now))
			continue
		case d.slowDelay(now) > 0 && d.shouldRedirect(w, 0, now):
			d.refuse(w, Busy, d.slowDelay(now))
			continue
		}
		remaining = append(remaining, w)
	}
	clear(d.waiting[len(remaining):])
	d.waiting = remaining
}
