package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// coldBurst determines the burst after a pause: the requests that the cold rate allows in this time.
	coldBurst = 100 * time.Millisecond
	// maxSilence is the time without an answer after which calls start only when a health check has shown that the server is
	// not cold. A server that restarts is silent for longer.
	maxSilence = 500 * time.Millisecond
	// minCheckDelay and maxCheckDelay bound the delay after a health check that has not shown whether the server is cold.
	minCheckDelay = 50 * time.Millisecond
	maxCheckDelay = 400 * time.Millisecond
	// announcementTransit bounds the age of an announcement on its arrival.
	announcementTransit = 100 * time.Millisecond
	// A server may turn cold unnoticed, so the number of calls that start after the last report that it is warm is bounded by
	// unreportedBase + unreportedShare*ColdPerSecond. Together with the calls at the cold rate and the health checks of that
	// second they stay below the bound of the design page, 1.5*ColdPerSecond + 8.
	unreportedBase  = 6
	unreportedShare = 1.0 / 3
	// renewalDivisor determines when the next health check is sent: when no more than that number divided by it is left, so that
	// calls need not wait for the answer.
	renewalDivisor = 3
	// coldHealthCheckShare is the number of health checks that a cold server gets for each request that it handles.
	coldHealthCheckShare = 0.25
)

// Sources of a change of what is known about whether the server is cold.
const (
	SourceHealthCheck  = "health check"
	SourceAnswer       = "answer"
	SourceAnnouncement = "announcement"
	SourceLost         = "lost connection"
	SourceNewServer    = "new server"
	SourceEvacuation   = "evacuation"
	SourceNoReport     = "no report"
	SourceTime         = "time"
	// SourceConfiguration means that a routing version has removed the limit.
	SourceConfiguration = "configuration"
)

// ColdLimit is the configuration of a service whose servers handle few requests after their start.
type ColdLimit struct {
	// Duration is the time for which a server is cold after its start. It is assumed for a server that has not stated the time.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold server handles; 0 if cold servers are not limited.
	PerSecond float64
	// Provisional is set while the configuration is not known. The limit then applies only to a server that has stated that it is
	// cold.
	Provisional bool
}

// ColdReport is what the server says about whether it is cold.
type ColdReport struct {
	// Source is SourceHealthCheck, SourceAnswer or SourceAnnouncement.
	Source string
	// Stated is set when the report contains Left, the time for which the server stays cold.
	Stated bool
	Left   time.Duration
	// SentAt is when the answered request was sent; not used for announcements.
	SentAt time.Time
}

// ColdChange describes the start or the end of the limit for a cold server.
type ColdChange struct {
	Cold bool
	// Source is one of the Source constants.
	Source string
	// Left is the time for which the server is expected to stay cold.
	Left      time.Duration
	PerSecond float64
}

// coldState is what is known about whether the server is cold. The zero value is a server that has reported nothing.
type coldState struct {
	limit  ColdLimit
	bucket *rate.Limiter
	// healthChecks limits the health checks of a cold server.
	healthChecks *rate.Limiter
	// until is the end of the cold time that the server has stated.
	until time.Time
	// invalidatedAt is the last time at which the server may have turned cold or restarted. A report from before does not show that
	// it is warm.
	invalidatedAt time.Time
	// warmAt is the latest time at which the server is known not to have been cold; zero when it may be cold.
	warmAt time.Time
	// answeredAt is the time of the last answer.
	answeredAt time.Time
	// starts holds the start times of the latest calls, at most maxUnreported() of them.
	starts []time.Time
	// checking is set while a health check is in progress that was sent to learn whether the server is cold.
	checking bool
	// checkAfter is the time before which no further health check is sent, checkDelay the delay after the next failed one.
	checkAfter     time.Time
	checkDelay     time.Duration
	checkStartedAt time.Time
	// failed is set when the latest health check has not shown whether the server is cold.
	failed bool
	// announced is the state that was last passed to ColdControl.Changed; source is the source of the last change.
	announced bool
	source    string
}

// configure applies the current configuration of the service.
func (c *coldState) configure(l ColdLimit, now time.Time) {
	if l == c.limit {
		return
	}
	c.limit = l
	if l.PerSecond <= 0 {
		*c = coldState{announced: c.announced, source: SourceConfiguration}
		return
	}
	c.bucket = resizeCold(c.bucket, l.PerSecond, now)
	c.healthChecks = resizeCold(c.healthChecks, l.PerSecond*coldHealthCheckShare, now)
}

func resizeCold(bucket *rate.Limiter, perSecond float64, now time.Time) *rate.Limiter {
	burst := max(int(perSecond*coldBurst.Seconds()), 1)
	if bucket == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	bucket.SetLimitAt(now, rate.Limit(perSecond))
	bucket.SetBurstAt(now, burst)
	return bucket
}

func (c *coldState) enabled() bool { return c.limit.PerSecond > 0 }

// maxUnreported returns the number of calls that may start after the last report that the server is warm.
func (c *coldState) maxUnreported() int {
	return int(unreportedBase + unreportedShare*c.limit.PerSecond)
}

// observe applies a report. It is called for each answer of the server. A health check or an announcement without a remaining cold time
// shows that the server is warm. Another answer only confirms that, and only if it states the time.
func (c *coldState) observe(r ColdReport, now time.Time) {
	madeAfter := r.SentAt
	if r.Source == SourceAnnouncement {
		madeAfter = now.Add(-announcementTransit)
	} else {
		c.answeredAt = now
	}
	switch conclusive := r.Source != SourceAnswer; {
	case r.Left > 0:
		c.turnCold(now.Add(r.Left), madeAfter, r.Source, now)
	case !madeAfter.After(c.invalidatedAt): // it may be from before the server turned cold
	case conclusive || r.Stated && !c.warmAt.IsZero() && !c.cold(now):
		c.turnWarm(madeAfter, r.Source)
	}
}

// turnCold records that the server has stated that it stays cold until a given time. A report that may be older than the one
// before does not shorten the time.
func (c *coldState) turnCold(until, madeAfter time.Time, source string, now time.Time) {
	c.source = source
	if until.After(c.until) || madeAfter.After(c.invalidatedAt) {
		c.until = until
	}
	c.warmAt, c.invalidatedAt, c.failed = time.Time{}, now, false
}

// turnWarm records that the server was not cold at the given time or later.
func (c *coldState) turnWarm(at time.Time, source string) {
	c.source = source
	if at.After(c.warmAt) {
		c.warmAt = at
	}
	c.until, c.failed, c.checkDelay = time.Time{}, false, 0
}

// invalidate records that the server may have turned cold.
func (c *coldState) invalidate(source string, now time.Time) {
	if !c.enabled() {
		return
	}
	c.source = source
	c.until = time.Time{} // a restart begins a new cold time
	c.warmAt, c.invalidatedAt, c.checkAfter = time.Time{}, now, time.Time{}
}

// update ends a stated cold time that is over.
func (c *coldState) update(now time.Time) {
	if !c.until.IsZero() && !now.Before(c.until) {
		c.turnWarm(c.until, SourceTime)
	}
}

// cold reports whether the server has stated that it is cold now.
func (c *coldState) cold(now time.Time) bool { return now.Before(c.until) }

// expectedLeft returns the time for which a limited server is expected to stay cold.
func (c *coldState) expectedLeft(now time.Time) time.Duration {
	if c.cold(now) {
		return c.until.Sub(now)
	}
	return c.limit.Duration
}

// warm reports whether calls may start without regard to the limit.
func (c *coldState) warm(now time.Time) bool {
	if c.limit.Provisional {
		return !c.cold(now)
	}
	return !c.cold(now) && !c.warmAt.IsZero() && now.Sub(c.answeredAt) <= maxSilence && c.unreportedLeft() > 0
}

// unreportedLeft returns the number of calls that may start before the next report.
func (c *coldState) unreportedLeft() int {
	left := c.maxUnreported()
	for _, start := range c.starts {
		if !start.Before(c.warmAt) {
			left--
		}
	}
	return left
}

// limited reports whether the server is known or assumed to be cold. It is not assumed to be before a health check has failed to show
// its state; calls wait for that health check.
func (c *coldState) limited(now time.Time) bool {
	return c.enabled() && !c.warm(now) && (c.cold(now) || c.failed)
}

// started counts a call that has started.
func (c *coldState) started(now time.Time) {
	if !c.enabled() {
		return
	}
	c.bucket.AllowN(now, 1)
	if excess := len(c.starts) + 1 - c.maxUnreported(); excess > 0 {
		c.starts = slices.Delete(c.starts, 0, min(excess, len(c.starts)))
	}
	c.starts = append(c.starts, now)
}

// wait returns the time until the limit allows a call behind others that wait for it.
func (c *coldState) wait(ahead int, now time.Time) time.Duration {
	if !c.limited(now) {
		return 0
	}
	missing := max(float64(ahead+1)-c.bucket.TokensAt(now), 0)
	wait := time.Duration(missing / c.limit.PerSecond * float64(time.Second))
	if c.cold(now) {
		return min(wait, c.until.Sub(now))
	}
	return wait
}

// endCheck records the end of a health check. Another one is sent after a delay unless it has shown whether the server is cold.
func (c *coldState) endCheck(now time.Time) {
	shownWarm := !c.invalidatedAt.After(c.checkStartedAt) && !c.warmAt.Before(c.checkStartedAt)
	c.failed = !shownWarm && !c.cold(now)
	if !c.failed {
		return
	}
	c.source = SourceNoReport
	c.checkDelay = min(max(2*c.checkDelay, minCheckDelay), maxCheckDelay)
	if !c.invalidatedAt.After(c.checkStartedAt) {
		c.checkAfter = now.Add(c.checkDelay)
	}
}
