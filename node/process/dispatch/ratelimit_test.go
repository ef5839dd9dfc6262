package dispatch_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/dispatch"
)

// nameLimit applies an answer to a call that was sent now and names a limit.
func (q *queue) nameLimit(perSecond float64) {
	q.ObserveRate(dispatch.RateStatement{Limited: true, PerSecond: perSecond, SentAt: time.Now()})
}

// Guards against a server in need that gets calls above its rate limit: at every node of a busy service, four times as many calls
// arrive as the server accepts.
func TestServerGetsNoMoreCallsThanItsRateLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 3, 26, 100} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const duration = 10 * time.Second
				q := newQueue(100, nil)
				q.nameLimit(limit)
				var started atomic.Int32
				sweeps := time.NewTicker(20 * time.Millisecond)
				defer sweeps.Stop()
				end := time.Now().Add(duration)
				go func() {
					for time.Now().Before(end) {
						<-sweeps.C
						q.Sweep()
					}
				}()
				interval := time.Duration(float64(time.Second) / (4 * limit))
				for ; time.Now().Before(end); time.Sleep(interval) {
					j := job(1, 300*time.Millisecond, 4*time.Second)
					q.Submit(j, func(err error) {
						if err == nil {
							started.Add(1)
							time.AfterFunc(50*time.Millisecond, func() { q.Done(j, true) })
						}
					})
				}
				want := limit * duration.Seconds()
				assert.LessOrEqual(t, float64(started.Load()), want+0.3*limit+1, "burst included")
				assert.GreaterOrEqual(t, float64(started.Load()), 0.9*want, "the limit must be used")
			})
		})
	}
}

// Guards against calls that wait for a limit that cannot allow them before their deadline, and against a Retry-After that brings
// callers back before the limit allows them.
func TestCallThatTheLimitCannotAllowInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, nil)
		q.recordServiceTime(100 * time.Millisecond)
		q.nameLimit(1)
		q.submit("first", job(1, time.Second, time.Second))
		var refused *dispatch.Refused
		q.Submit(job(1, 500*time.Millisecond, 500*time.Millisecond), func(err error) { refused = err.(*dispatch.Refused) })
		assert.Equal(t, []string{"first"}, q.order)
		assert.Equal(t, dispatch.Late, refused.Reason)
		assert.InDelta(t, time.Second, refused.RetryAfter, float64(10*time.Millisecond))
	})
}

// Guards against a call that waits although another server may have room.
func TestCallAboveTheLimitIsRedirected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, nil)
		q.nameLimit(5)
		q.submit("first", job(1, time.Second, time.Second))
		redirected := job(1, time.Second, time.Second)
		redirected.NoRedirect, redirected.RedirectAbove = false, 10*time.Millisecond
		q.submit("redirected", redirected)
		assert.Equal(t, dispatch.Busy, q.refused["redirected"])
		assert.InDelta(t, 200*time.Millisecond, q.Load().RateWait, float64(10*time.Millisecond))
	})
}

// Guards against calls that were queued before the server named a limit and then wait until their deadline: those that the
// limit cannot allow in time are refused at once, the less urgent ones first.
func TestQueuedCallsAreRefusedAtOnceWhenTheServerNamesALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(20 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Second))
		q.submit("less urgent", job(2, time.Second, time.Second))
		q.submit("urgent", job(1, time.Second, time.Second))
		q.nameLimit(1)
		assert.Empty(t, q.refused["urgent"])
		assert.Equal(t, dispatch.Late, q.refused["less urgent"])
	})
}

// Guards against a limit that is lifted although the server has not taken it back, and against one that stays although it has.
func TestLimitIsLiftedOnlyByALaterAnswerThatCouldNameIt(t *testing.T) {
	cases := map[string]struct {
		namedByHealthCheck bool
		answer             dispatch.RateStatement
		sentBefore         bool
		lifted             bool
	}{
		"a later answer to a call":                                        {lifted: true},
		"an answer to a call that was sent before the limit was named":    {sentBefore: true},
		"a health check where only answers to calls have named it":        {answer: dispatch.RateStatement{HealthCheck: true}},
		"a health check where health checks name it too":                  {namedByHealthCheck: true, answer: dispatch.RateStatement{HealthCheck: true}, lifted: true},
		"a later answer to a call, where health checks have named it too": {namedByHealthCheck: true, lifted: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueue(17, nil)
				before := time.Now()
				time.Sleep(time.Millisecond)
				q.ObserveRate(dispatch.RateStatement{Limited: true, PerSecond: 5, HealthCheck: c.namedByHealthCheck, SentAt: before})
				time.Sleep(time.Millisecond)
				c.answer.SentAt = time.Now()
				if c.sentBefore {
					c.answer.SentAt = before
				}
				q.ObserveRate(c.answer)
				assert.Equal(t, c.lifted, q.Load().RateLimit == 0)
			})
		})
	}
}

// Guards against calls that still wait after the limit was lifted.
func TestWaitingCallsStartWhenTheLimitIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, nil)
		q.nameLimit(1)
		q.submit("first", job(1, 5*time.Second, 5*time.Second))
		q.submit("second", job(1, 5*time.Second, 5*time.Second))
		q.submit("third", job(1, 5*time.Second, 5*time.Second))
		time.Sleep(10 * time.Millisecond)
		q.ObserveRate(dispatch.RateStatement{SentAt: time.Now()})
		assert.Equal(t, []string{"first", "second", "third"}, q.order)
	})
}

// Guards against a server that names a limit of zero and is never asked again, so that nobody learns when it takes that back.
func TestServerWithALimitOfZeroIsAskedNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, nil)
		q.nameLimit(0)
		q.submit("first", job(1, 20*time.Second, 20*time.Second))
		q.submit("second", job(1, 20*time.Second, 20*time.Second))
		time.Sleep(4 * time.Second)
		q.Sweep()
		assert.Equal(t, []string{"first"}, q.order)
		time.Sleep(2 * time.Second)
		q.Sweep()
		assert.Equal(t, []string{"first", "second"}, q.order)
	})
}

// Guards against a huge limit that overflows and stops all calls.
func TestHugeLimitIsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, nil)
		q.nameLimit(1e300)
		q.submit("first", job(1, time.Second, time.Second))
		q.submit("second", job(1, time.Second, time.Second))
		assert.Equal(t, []string{"first", "second"}, q.order)
	})
}

// Guards against the limit of a server that binds the next one at its address.
func TestLimitEndsWithItsServer(t *testing.T) {
	q := newQueue(17, nil)
	q.nameLimit(1)
	q.Close()
	q.Reset()
	q.Open(17)
	assert.Zero(t, q.Load().RateLimit)
}

// Guards against health checks that load a server in need, which calls do not wait for either: of those that report the slowness
// of the host before a call starts, a limited server gets one for four of the requests that it accepts.
func TestLimitedServerIsProbedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, duration = 8, 10 * time.Second
		var probes atomic.Int32
		probe := make(chan struct{}, 1)
		q := newQueue(100, func() { probe <- struct{}{} })
		q.nameLimit(limit)
		end := time.Now().Add(duration)
		go func() {
			for range probe {
				probes.Add(1)
				q.Observe(normalSlowness, true)
			}
		}()
		for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			j := job(1, 300*time.Millisecond, time.Second)
			q.Submit(j, func(err error) {
				if err == nil {
					time.AfterFunc(50*time.Millisecond, func() { q.Done(j, true) })
				}
			})
			if q.AllowHealthCheck() {
				probes.Add(1)
			}
			q.Sweep()
		}
		close(probe)
		assert.LessOrEqual(t, int(probes.Load()), int(limit*duration.Seconds()/4)+1)
		assert.Positive(t, probes.Load())
	})
}

// Guards against calls that start in a slow period at a limited server although its answers report it.
func TestCallAtALimitedServerWaitsForTheEndOfASlowPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, func() {})
		q.Observe(normalSlowness, false)
		q.nameLimit(10)
		q.Observe(highSlowness, false)
		q.submit("waits", job(1, time.Second, time.Second))
		time.Sleep(50 * time.Millisecond)
		q.Sweep()
		assert.Empty(t, q.order)
		q.Observe(normalSlowness, false)
		assert.Equal(t, []string{"waits"}, q.order)
	})
}

// Guards against a node that sends without a limit after its restart although others know it, and against a limit that others
// still report after the server has taken it back.
func TestLimitOfOtherNodesHoldsUntilAnAnswerTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(17, nil)
		assert.True(t, q.Load().RateLimitUnknown)
		assert.True(t, q.AdoptRate(5))
		assert.False(t, q.AdoptRate(5), "nothing new")
		q.submit("first", job(1, 100*time.Millisecond, 100*time.Millisecond))
		q.submit("second", job(1, 100*time.Millisecond, 100*time.Millisecond))
		assert.Equal(t, []string{"first"}, q.order)
		assert.Equal(t, dispatch.Late, q.refused["second"])

		time.Sleep(time.Millisecond)
		q.ObserveRate(dispatch.RateStatement{HealthCheck: true, SentAt: time.Now()})
		assert.Equal(t, 5.0, q.Load().RateLimit, "health checks may not name limits")
		q.ObserveRate(dispatch.RateStatement{SentAt: time.Now()})
		assert.Zero(t, q.Load().RateLimit)
		assert.False(t, q.AdoptRate(5))
		assert.Zero(t, q.Load().RateLimit, "an answer has told")
	})
}
