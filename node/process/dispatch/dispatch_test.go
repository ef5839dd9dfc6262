package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/dispatch"
)

// normalSlowness is the slowness of a host without disturbance; highSlowness is that of a host in a slow period.
const (
	normalSlowness = 100
	highSlowness   = 500
)

// queue submits calls to a Dispatcher and records its decisions.
type queue struct {
	*dispatch.Dispatcher
	order   []string
	refused map[string]dispatch.Reason
}

func newQueue(slots int, probe func()) *queue {
	q := &queue{Dispatcher: dispatch.New(time.Now, probe), refused: map[string]dispatch.Reason{}}
	q.Open(slots)
	return q
}

func (q *queue) submit(name string, j *dispatch.Job) *dispatch.Job {
	q.Submit(j, func(err error) {
		if err == nil {
			q.order = append(q.order, name)
			return
		}
		q.refused[name] = err.(*dispatch.Refused).Reason
	})
	return j
}

func job(rank int, objective, deadline time.Duration) *dispatch.Job {
	now := time.Now()
	return &dispatch.Job{Route: "r", Rank: rank, NoRedirect: true, Objective: now.Add(objective), Deadline: now.Add(deadline)}
}

// recordServiceTime sets the average service time of route r by running calls of the given duration.
func (q *queue) recordServiceTime(elapsed time.Duration) {
	for range 20 {
		j := q.submit("sample", job(0, time.Minute, time.Minute))
		time.Sleep(elapsed)
		q.Done(j, true)
	}
	q.order = nil
}

// Guards against urgent calls that wait behind others, and against calls past their objective that start before calls
// that can still meet theirs.
func TestWaitingCallsAreOrderedByReachableObjectiveRankAndObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(100 * time.Millisecond)
		first := q.submit("running", job(1, time.Second, time.Minute))
		q.submit("late", job(0, 50*time.Millisecond, time.Minute))
		q.submit("low", job(2, 2*time.Second, time.Minute))
		q.submit("high, later objective", job(1, 3*time.Second, time.Minute))
		q.submit("high", job(1, time.Second, time.Minute))
		for j := first; j != nil && len(q.order) < 5; {
			started := len(q.order)
			q.Done(j, false)
			if len(q.order) == started {
				break
			}
			j = &dispatch.Job{Route: "r"}
		}
		assert.Equal(t, []string{"running", "high", "high, later objective", "low"}, q.order[:4])
	})
}

// Guards against calls that wait although they cannot be answered before their deadline.
func TestCallThatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(100 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Minute))
		q.submit("cannot meet the deadline", job(1, 100*time.Millisecond, 120*time.Millisecond))
		assert.Equal(t, dispatch.Late, q.refused["cannot meet the deadline"])
	})
}

// Guards against calls that stay in the queue after their deadline.
func TestWaitingCallIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(100 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Minute))
		q.submit("waiting", job(1, 300*time.Millisecond, 400*time.Millisecond))
		time.Sleep(350 * time.Millisecond)
		assert.False(t, q.Sweep())
		assert.Equal(t, dispatch.Late, q.refused["waiting"])
	})
}

func TestCallIsRedirectedInsteadOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(100 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Minute))
		redirected := job(1, time.Second, time.Minute)
		redirected.NoRedirect, redirected.RedirectAbove = false, 10*time.Millisecond
		q.submit("redirected", redirected)
		assert.Equal(t, dispatch.Busy, q.refused["redirected"])
	})
}

// Guards against calls that are sent to a server whose drain was acknowledged.
func TestCloseRefusesWaitingAndNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		running := q.submit("running", job(1, time.Second, time.Minute))
		q.submit("waiting", job(1, time.Second, time.Minute))
		q.Close()
		q.submit("new", job(1, time.Second, time.Minute))
		q.Done(running, true)
		assert.Equal(t, map[string]dispatch.Reason{"waiting": dispatch.NoServer, "new": dispatch.NoServer}, q.refused)
		assert.Equal(t, []string{"running"}, q.order)
	})
}

func TestCancelledCallDoesNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		running := q.submit("running", job(1, time.Second, time.Minute))
		waiting := q.submit("waiting", job(1, time.Second, time.Minute))
		require.True(t, q.Cancel(waiting))
		q.Done(running, true)
		assert.Equal(t, []string{"running"}, q.order)
		assert.Equal(t, dispatch.Cancelled, q.refused["waiting"])
		assert.False(t, q.Cancel(running))
	})
}

// Guards against calls that start in a slow period and take five times as long.
func TestCallWaitsForTheEndOfASlowPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		q := newQueue(4, func() { probes++ })
		q.submit("call", job(1, time.Second, time.Minute))
		assert.Equal(t, 1, probes, "the slowness of the host is unknown")
		q.Observe(normalSlowness, true)
		assert.Equal(t, []string{"call"}, q.order)

		time.Sleep(time.Second)
		q.submit("held", job(1, time.Second, time.Minute))
		q.Observe(highSlowness, true)
		assert.Equal(t, []string{"call"}, q.order)
		time.Sleep(50 * time.Millisecond)
		assert.True(t, q.Sweep())
		assert.Equal(t, 3, probes, "a stale slowness causes another probe")
		q.Observe(normalSlowness, true)
		assert.Equal(t, []string{"call", "held"}, q.order)
	})
}

// Guards against calls that wait forever at a server that is slow all the time, as after its start.
func TestPermanentlySlowServerDoesNotHoldCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, func() {})
		q.submit("after the start", job(1, time.Second, time.Minute))
		q.Observe(200, true)
		assert.Equal(t, []string{"after the start"}, q.order)

		q.Observe(normalSlowness, false)
		time.Sleep(time.Second)
		q.submit("held too long", job(1, 10*time.Second, time.Minute))
		for range 20 {
			q.Observe(highSlowness, true)
			time.Sleep(20 * time.Millisecond)
			q.Sweep()
		}
		assert.Equal(t, []string{"after the start", "held too long"}, q.order)
	})
}

// Guards against a server that gets no calls because it does not answer probes.
func TestFailedProbeLetsCallsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, func() {})
		q.submit("call", job(1, time.Second, time.Minute))
		q.ProbeFailed()
		q.submit("next", job(1, time.Second, time.Minute))
		assert.Equal(t, []string{"call", "next"}, q.order)
	})
}

// Guards against a slow server that keeps a call although another one could run it.
func TestCallIsRedirectedWhenTheHostIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, func() {})
		q.Observe(normalSlowness, false)
		time.Sleep(time.Second)
		j := job(1, time.Second, time.Minute)
		j.NoRedirect, j.RedirectAbove = false, 10*time.Millisecond
		q.submit("call", j)
		q.Observe(highSlowness, true)
		assert.Equal(t, dispatch.Busy, q.refused["call"])
	})
}

// Load: more calls than slots, and among them calls that other servers need for calls in progress. Guards against nested calls
// that wait behind others or are refused for their objective, which fails the calls that need them.
func TestNestedCallsGoFirstAndAreNotRefusedForTheirObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(100 * time.Millisecond)
		running := q.submit("running", job(0, time.Minute, time.Minute))
		q.submit("urgent", job(0, 400*time.Millisecond, 2*time.Second))
		nested := job(3, 50*time.Millisecond, time.Second)
		nested.Nested = true
		q.submit("nested", nested)
		q.submit("late", job(3, 50*time.Millisecond, time.Second))
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			q.Sweep()
		}
		assert.Equal(t, dispatch.Late, q.refused["late"])
		assert.NotContains(t, q.refused, "nested")
		q.Done(running, true)
		assert.Equal(t, []string{"running", "nested"}, q.order)
	})
}

// Guards against nested calls that are kept although they cannot be answered before their deadline.
func TestNestedCallThatCannotBeAnsweredIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.recordServiceTime(100 * time.Millisecond)
		q.submit("running", job(0, time.Minute, time.Minute))
		nested := job(0, 50*time.Millisecond, 300*time.Millisecond)
		nested.Nested = true
		q.submit("nested", nested)
		time.Sleep(290 * time.Millisecond)
		q.Sweep()
		assert.Equal(t, dispatch.Late, q.refused["nested"])
	})
}
