package dispatch

import "time"

const (
	// normalSlowness is the slowness of a host without disturbance, in percent.
	normalSlowness = 100
	// slowPeriod is the typical time for which a neighbour on the host slows work down.
	slowPeriod = 150 * time.Millisecond
	// slownessTTL is the age up to which an observed slowness is used in estimates.
	slownessTTL = 100 * time.Millisecond
	// freshSlownessAge is the age up to which an observed slowness decides whether a call starts. Slowness changes about
	// every 150 ms.
	freshSlownessAge = 10 * time.Millisecond
	// slowFactor is the multiple of the recent minimum slowness from which no calls are started. At a server that is
	// slow all the time, as after its start, there is no better time to wait for.
	slowFactor = 1.8
	// maxSlowHold is the maximum time for which a call waits for the end of a slow period.
	maxSlowHold = 300 * time.Millisecond
	// probeBackoff is the time after a failed probe in which calls start without a probe.
	probeBackoff = 500 * time.Millisecond
)

// Observe records the slowness that the server reported, in percent of the undisturbed time of work. The argument probed
// is set when the report answers a probe.
func (d *Dispatcher) Observe(slowness int, probed bool) {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.slowness, d.slownessAt = slowness, now
	d.minSlowness.add(slowness, now)
	if probed {
		d.endProbe(now)
	}
	d.dispatch(now)
}

// ProbeFailed records that the server did not report its slowness. Calls start without a probe for probeBackoff.
func (d *Dispatcher) ProbeFailed() {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.endProbe(now)
	d.probeBackoffUntil = now.Add(probeBackoff)
	d.dispatch(now)
}

// currentSlowness returns the last observed slowness, or normalSlowness if it is too old.
func (d *Dispatcher) currentSlowness(now time.Time) int {
	if now.Sub(d.slownessAt) > slownessTTL {
		return normalSlowness
	}
	return d.slowness
}

// slowDelay returns the time that a call is expected to lose while the host is slow.
func (d *Dispatcher) slowDelay(now time.Time) time.Duration {
	if now.Sub(d.slownessAt) > slownessTTL || !d.slow(now) {
		return 0
	}
	return time.Duration((1 - float64(d.minSlowness.value(now))/float64(d.slowness)) * float64(slowPeriod))
}

// slow reports whether the last observed slowness is that of a slow period. It is false for servers that do not report
// their slowness.
func (d *Dispatcher) slow(now time.Time) bool {
	minSlowness := d.minSlowness.value(now)
	return minSlowness > 0 && float64(d.slowness) >= slowFactor*float64(minSlowness)
}

// mayStart reports whether a call may start: the host is known not to be slow, the call has waited for maxSlowHold, or
// the server cannot be probed. Without a fresh observation it starts a probe. The time of a call depends on the slowness
// of the host at its start, so waiting for the end of a slow period costs less time than starting in it.
func (d *Dispatcher) mayStart(j *Job, now time.Time) bool {
	switch {
	case d.probe == nil || now.Before(d.probeBackoffUntil):
		return true
	case now.Sub(d.slownessAt) <= d.usableSlownessAge():
		return !d.slow(now) || now.Sub(j.arrived) > maxSlowHold
	case d.probing:
		return false
	case !d.allowHealthCheck(now):
		return true
	}
	d.probing = true
	d.callbacks = append(d.callbacks, d.probe)
	return false
}

// usableSlownessAge returns the age up to which an observed slowness decides whether a call starts. A server that limits the rate of
// requests is probed seldom, so that its answers must do.
func (d *Dispatcher) usableSlownessAge() time.Duration {
	if d.limiter.limited() || d.cold.limited(d.now()) {
		return slownessTTL
	}
	return freshSlownessAge
}
