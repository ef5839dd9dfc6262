package dispatch

import "time"

const (
	// hopelessShare is the share of the usual service time that must be left until the deadline.
	hopelessShare = 0.6
	// lateHold is the share of the time until the deadline for which a call waits that can no longer meet its objective.
	lateHold = 0.25
	// lateBacklog is the number of late calls that wait, as a share of the slots.
	lateBacklog = 0.5
)

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
	return !j.NoRedirect && wait+d.slowDelay(now) > j.RedirectAbove
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
