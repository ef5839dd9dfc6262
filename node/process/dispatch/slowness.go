package dispatch

import "time"

const (
	// usualSlowness is the slowness of a host that nobody disturbs, in percent.
	usualSlowness = 100
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
)

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
