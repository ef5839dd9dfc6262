package dispatch

import "time"

// ColdControl connects a Dispatcher with the server whose calls it limits while the server is cold.
type ColdControl struct {
	// Limit returns the configuration of the server's service. The dispatcher is locked while it runs.
	Limit func() ColdLimit
	// Check sends a health check without blocking. Its answer is passed to ObserveCold, and its result as that of a probe.
	Check func()
	// Changed is called when the limit begins or ends to apply.
	Changed func(ColdChange)
}

// LimitCold limits the calls to a cold server.
func (d *Dispatcher) LimitCold(c ColdControl) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldControl = c
}

// ObserveCold applies an answer or announcement of the server. It must be called for each answer.
func (d *Dispatcher) ObserveCold(r ColdReport) {
	d.updateCold(func(now time.Time) {
		wasCold := d.cold.cold(now)
		d.cold.observe(r, now)
		if !wasCold && d.cold.cold(now) {
			d.minSlowness = recentMinimum{} // a cold server is slower all the time
		}
	})
}

// ServerLost records that the server refused or broke a connection, so that it may have restarted.
func (d *Dispatcher) ServerLost() { d.InvalidateWarm(SourceLost) }

// InvalidateWarm records that the server may have turned cold unnoticed. Calls wait for a health check that shows its state, and start at
// the cold rate if it fails.
func (d *Dispatcher) InvalidateWarm(source string) {
	d.updateCold(func(now time.Time) { d.cold.invalidate(source, now) })
}

// updateCold changes what is known about whether the server is cold.
func (d *Dispatcher) updateCold(change func(now time.Time)) {
	defer d.runCallbacks()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if !d.configureCold(now) {
		return
	}
	change(now)
	d.dispatch(now)
}

// configureCold applies the configuration of the service and reports whether cold servers are limited.
func (d *Dispatcher) configureCold(now time.Time) bool {
	if d.coldControl.Limit == nil {
		return false
	}
	d.cold.configure(d.coldControl.Limit(), now)
	if d.cold.enabled() {
		d.cold.update(now)
	}
	d.notifyCold(now)
	return d.cold.enabled()
}

// notifyCold calls ColdControl.Changed when the limit has begun or ended to apply. When it has begun, the calls that cannot be answered in
// time under it are refused at once.
func (d *Dispatcher) notifyCold(now time.Time) {
	limited := d.cold.limited(now)
	if limited == d.cold.announced {
		return
	}
	d.cold.announced = limited
	change := ColdChange{Cold: limited, Source: d.cold.source, PerSecond: d.cold.limit.PerSecond}
	if limited {
		change.Left = d.cold.expectedLeft(now)
		d.reconsiderWaiting(now)
	}
	d.callbacks = append(d.callbacks, func() { d.coldControl.Changed(change) })
}

// coldAllows reports whether the limit for cold servers allows a call to start. When it is not known whether the server is cold,
// calls wait for a health check; if that fails, they start at the cold rate.
func (d *Dispatcher) coldAllows(now time.Time) bool {
	c := &d.cold
	if !c.enabled() {
		return true
	}
	if c.warm(now) {
		if !c.limit.Provisional && c.unreportedLeft() <= c.maxUnreported()/renewalDivisor {
			d.checkCold(now)
		}
		return true
	}
	if !c.cold(now) && d.checkCold(now) {
		return false
	}
	return c.bucket.TokensAt(now) >= 1
}

// checkCold sends a health check unless one is in progress or the last one has failed a short time ago. It reports whether one is
// in progress now.
func (d *Dispatcher) checkCold(now time.Time) bool {
	if d.probing {
		return true
	}
	if now.Before(d.cold.checkAfter) {
		return false
	}
	d.probing = true
	d.cold.checking, d.cold.checkStartedAt = true, now
	d.callbacks = append(d.callbacks, d.coldControl.Check)
	return true
}

// endProbe records the end of a health check.
func (d *Dispatcher) endProbe(now time.Time) {
	d.probing = false
	if d.configureCold(now) && d.cold.checking {
		d.cold.endCheck(now)
	}
	d.cold.checking = false
}

// allowHealthCheck reports whether a health check may be sent to learn the slowness of the server, and counts it.
func (d *Dispatcher) allowHealthCheck(now time.Time) bool {
	if d.cold.limited(now) && !d.cold.healthChecks.AllowN(now, 1) {
		return false
	}
	return d.limiter.allowHealthCheck(now)
}

// resetCold discards what is known about whether the server is cold, since another server has replaced it.
func (d *Dispatcher) resetCold(now time.Time) {
	d.cold.invalidate(SourceNewServer, now)
	d.cold.answeredAt, d.cold.starts, d.cold.failed = time.Time{}, nil, false
}

// countColdRefusal counts a refused call if the server is treated as cold.
func (d *Dispatcher) countColdRefusal(reason Reason) {
	if (reason == Busy || reason == Late) && d.cold.limited(d.now()) {
		d.coldRefused++
	}
}

// ColdLimit returns the number of requests per second to which the server is limited because it is treated as cold, or 0.
func (d *Dispatcher) ColdLimit() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.cold.limited(d.now()) {
		return 0
	}
	return d.cold.limit.PerSecond
}

// ColdRefusals returns the number of calls that were refused while the server was treated as cold.
func (d *Dispatcher) ColdRefusals() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.coldRefused
}

// rateLimits returns the lower one of the limits that apply and the time until they allow another call.
func (d *Dispatcher) rateLimits(now time.Time) (perSecond float64, wait time.Duration) {
	perSecond, wait = d.limiter.perSecond(), d.limiter.wait(len(d.waiting), now)
	if !d.cold.limited(now) {
		return perSecond, wait
	}
	if perSecond == 0 || d.cold.limit.PerSecond < perSecond {
		perSecond = d.cold.limit.PerSecond
	}
	return perSecond, max(wait, d.cold.wait(len(d.waiting), now))
}
