package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/dispatch"
)

// usual is the slowness of a host that nobody disturbs; slow is that of a host in a slow spell.
const (
	usual = 100
	slow  = 500
)

// queue plays calls through a Dispatcher.
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

// learn makes the service time of route r known.
func (q *queue) learn(took time.Duration) {
	for range 20 {
		j := q.submit("learn", job(0, time.Minute, time.Minute))
		time.Sleep(took)
		q.Done(j, true)
	}
	q.order = nil
}

// Guards against urgent calls that wait behind others, and against late ones that go before those that are still in time.
func TestWaitingCallsGoByObjectiveInReachRankAndObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.learn(100 * time.Millisecond)
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

// Guards against calls that are held although it is known that they cannot be answered.
func TestCallThatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.learn(100 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Minute))
		q.submit("hopeless", job(1, 100*time.Millisecond, 120*time.Millisecond))
		assert.Equal(t, dispatch.Late, q.refused["hopeless"])
	})
}

// Guards against calls that outlive their deadline in the queue.
func TestWaitingCallIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.learn(100 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Minute))
		q.submit("waiting", job(1, 300*time.Millisecond, 400*time.Millisecond))
		time.Sleep(350 * time.Millisecond)
		assert.False(t, q.Sweep())
		assert.Equal(t, dispatch.Late, q.refused["waiting"])
	})
}

func TestCallThatMayGoElsewhereIsReferredInsteadOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.learn(100 * time.Millisecond)
		q.submit("running", job(1, time.Second, time.Minute))
		elsewhere := job(1, time.Second, time.Minute)
		elsewhere.NoRedirect, elsewhere.RedirectAbove = false, 10*time.Millisecond
		q.submit("elsewhere", elsewhere)
		assert.Equal(t, dispatch.Busy, q.refused["elsewhere"])
	})
}

// Guards against work that is sent to a server whose drain was acknowledged.
func TestShutRefusesWaitingAndNewCalls(t *testing.T) {
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

// Guards against calls that start in a slow spell and take five times as long.
func TestCallWaitsForTheEndOfASlowSpell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		q := newQueue(4, func() { probes++ })
		q.submit("call", job(1, time.Second, time.Minute))
		assert.Equal(t, 1, probes, "nothing is known of the host")
		q.Observe(usual, true)
		assert.Equal(t, []string{"call"}, q.order)

		time.Sleep(time.Second)
		q.submit("held", job(1, time.Second, time.Minute))
		q.Observe(slow, true)
		assert.Equal(t, []string{"call"}, q.order)
		time.Sleep(50 * time.Millisecond)
		assert.True(t, q.Sweep())
		assert.Equal(t, 3, probes, "a stale report is asked for again")
		q.Observe(usual, true)
		assert.Equal(t, []string{"call", "held"}, q.order)
	})
}

// Guards against calls that are held for ever at a server that is slow all the time, as after its start.
func TestServerThatIsSlowAllTheTimeHoldsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, func() {})
		q.submit("cold", job(1, time.Second, time.Minute))
		q.Observe(200, true)
		assert.Equal(t, []string{"cold"}, q.order)

		q.Observe(usual, false)
		time.Sleep(time.Second)
		q.submit("held too long", job(1, 10*time.Second, time.Minute))
		for range 20 {
			q.Observe(slow, true)
			time.Sleep(20 * time.Millisecond)
			q.Sweep()
		}
		assert.Equal(t, []string{"cold", "held too long"}, q.order)
	})
}

// Guards against a server that answers no probes and then gets no calls.
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
func TestCallIsReferredWhenTheHostTurnsOutToBeSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, func() {})
		q.Observe(usual, false)
		time.Sleep(time.Second)
		j := job(1, time.Second, time.Minute)
		j.NoRedirect, j.RedirectAbove = false, 10*time.Millisecond
		q.submit("call", j)
		q.Observe(slow, true)
		assert.Equal(t, dispatch.Busy, q.refused["call"])
	})
}
