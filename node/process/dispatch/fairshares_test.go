package dispatch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/radishstand/radishstand/node/internal/virtualtime"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

// load is a simulated service: servers with a Dispatcher each, and callers of teams.
type load struct {
	*virtualtime.Clock
	random  *rand.Rand
	servers []*dispatch.Dispatcher
	busy    []int
	// answered counts the calls of each team that were answered before their objective.
	answered map[string]int
}

const (
	loadServers   = 4
	loadSlots     = 12
	loadWork      = 200 * time.Millisecond
	loadObjective = 600 * time.Millisecond
	loadDeadline  = 1200 * time.Millisecond
	loadRedirects = 3
	loadPeriod    = 30 * time.Second
)

func newLoad(fair bool, seed uint64) *load {
	l := &load{Clock: virtualtime.New(), random: rand.New(rand.NewPCG(seed, 1)), answered: map[string]int{}}
	for i := range loadServers {
		d := dispatch.New(l.Now, nil)
		d.UseFairShares(func() bool { return fair })
		d.Open(loadSlots)
		l.servers, l.busy = append(l.servers, d), append(l.busy, 0)
		var sweep func()
		sweep = func() { d.Sweep(); l.After(20*time.Millisecond, sweep) }
		l.After(time.Duration(i)*time.Millisecond, sweep)
	}
	return l
}

// arrive makes calls of a team at a rate, with random gaps.
func (l *load) arrive(team string, perSecond float64) {
	l.After(time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		now := l.Now()
		l.call(team, now.Add(loadObjective), now.Add(loadDeadline), nil)
		l.arrive(team, perSecond)
	})
}

// call sends a call to the less busy of two servers that have not redirected it.
func (l *load) call(team string, objective, deadline time.Time, asked []int) {
	others := slices.DeleteFunc([]int{0, 1, 2, 3}, func(i int) bool { return slices.Contains(asked, i) })
	i := others[l.random.IntN(len(others))]
	if other := others[l.random.IntN(len(others))]; l.busy[other] < l.busy[i] {
		i = other
	}
	j := &dispatch.Job{
		Route: "browse", Team: team, Rank: 1, Objective: objective, Deadline: deadline,
		NoRedirect: len(asked) >= loadRedirects, RedirectAbove: 10 * time.Millisecond,
	}
	l.servers[i].Submit(j, func(err error) {
		if err != nil {
			if !j.NoRedirect && err.(*dispatch.Refused).Reason == dispatch.Busy {
				l.call(team, objective, deadline, append(slices.Clone(asked), i))
			}
			return
		}
		l.busy[i]++
		l.After(time.Duration((0.8+0.4*l.random.Float64())*float64(loadWork)), func() {
			l.busy[i]--
			if !l.Now().After(objective) {
				l.answered[team]++
			}
			l.servers[i].Done(j, true)
		})
	})
}

// play returns the answered calls of each team, of which the largest has a quarter of the normal load, multiplied by a factor.
func play(fair bool, factor float64, seed uint64) map[string]int {
	const teams, utilization = 16, 0.6
	l := newLoad(fair, seed)
	total := utilization * loadServers * loadSlots / loadWork.Seconds()
	l.arrive("large", factor*total/4)
	for i := range teams - 1 {
		l.arrive(fmt.Sprintf("team-%d", i), total*3/4/(teams-1))
	}
	l.RunFor(loadPeriod)
	return l.answered
}

// Guards against one team that takes the slots of the others when it sends ten times its normal load.
func TestTeamAtTenTimesItsLoadLeavesTheOthersTheirShares(t *testing.T) {
	const factor, want, seed = 10, 0.9, 7
	others := func(answered map[string]int) (kept int, least int) {
		least = 1 << 30
		for team, n := range answered {
			if team != "large" {
				kept, least = kept+n, min(least, n)
			}
		}
		return kept, least
	}
	before, leastBefore := others(play(true, 1, seed))
	during := play(true, factor, seed)
	after, leastAfter := others(during)
	unshared := play(false, factor, seed)
	naive, _ := others(unshared)
	t.Logf("others answered: normally %d (least %d), fair %d (least %d), naive %d; large team: fair %d, naive %d",
		before, leastBefore, after, leastAfter, naive, during["large"], unshared["large"])
	assert.GreaterOrEqual(t, float64(after), want*float64(before))
	assert.GreaterOrEqual(t, float64(leastAfter), want*float64(leastBefore))
	assert.Less(t, float64(naive), want*float64(before), "the order without shares must fail under this load")
	assert.GreaterOrEqual(t, float64(after+during["large"]), want*float64(naive+unshared["large"]), "the slots must not be left unused")
}

// Guards against an order that prefers a team to rank, reachable objectives or nested calls, and against a team that gains credit
// while it sends nothing.
func TestFairOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, nil)
		q.UseFairShares(func() bool { return true })
		q.recordServiceTime(100 * time.Millisecond)
		running := q.submit("running", job(1, time.Minute, time.Minute))
		submit := func(name, team string, rank int, objective time.Duration, change func(*dispatch.Job)) {
			j := job(rank, objective, time.Minute)
			j.Team = team
			if change != nil {
				change(j)
			}
			q.submit(name, j)
		}
		nested := func(parentRank int) func(*dispatch.Job) {
			return func(j *dispatch.Job) { j.Nested, j.ParentRank = true, parentRank }
		}
		submit("a1", "a", 2, 30*time.Second, nil)
		submit("a2", "a", 2, 30*time.Second, nil)
		submit("a3", "a", 2, 30*time.Second, nil)
		submit("b1", "b", 2, 40*time.Second, nil)
		submit("late", "c", 0, 5*time.Second, nil)
		submit("first", "a", 1, 40*time.Second, nil)
		submit("nested of rank 1", "a", 5, 5*time.Second, nested(1))
		submit("nested of rank 3", "b", 0, 30*time.Second, nested(3))
		time.Sleep(6 * time.Second)
		q.Done(running, false)
		for range 7 {
			q.Done(&dispatch.Job{Route: "r"}, false)
		}
		assert.Equal(t, []string{"running", "nested of rank 1", "first", "b1", "a1", "a2", "a3", "nested of rank 3", "late"}, q.order)
	})
}

// reference decides as the dispatcher did before teams had shares: one slot, no redirects, no deadlines in reach.
type reference struct {
	waiting []*dispatch.Job
	late    func(j *dispatch.Job) bool
}

// next removes and returns the call that starts next.
func (r *reference) next() *dispatch.Job {
	first := slices.MinFunc(r.waiting, func(a, b *dispatch.Job) int {
		yes := func(b bool) int {
			if b {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(yes(a.Nested), yes(b.Nested)), cmp.Compare(yes(!r.late(a)), yes(!r.late(b))),
			cmp.Compare(a.Rank, b.Rank), a.Objective.Compare(b.Objective))
	})
	r.waiting = slices.DeleteFunc(r.waiting, func(j *dispatch.Job) bool { return j == first })
	return first
}

// Guards against a change of order, refusals or expected waits where teams have no shares.
func TestOrderWithoutSharesIsUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := virtualtime.New()
		const work = 100 * time.Millisecond
		started := map[*dispatch.Job]bool{}
		refused := map[*dispatch.Job]dispatch.Refused{}
		d := dispatch.New(clock.Now, nil)
		submit := func(j *dispatch.Job) {
			d.Submit(j, func(err error) {
				if err != nil {
					refused[j] = *err.(*dispatch.Refused)
					return
				}
				started[j] = true
			})
		}
		d.Open(1)
		sample := &dispatch.Job{Route: "r", NoRedirect: true, Deadline: clock.Now().Add(time.Hour), Objective: clock.Now().Add(time.Hour)}
		submit(sample)
		clock.RunFor(work)
		d.Done(sample, true)
		running := &dispatch.Job{Route: "r", NoRedirect: true, Deadline: clock.Now().Add(time.Hour), Objective: clock.Now().Add(time.Hour)}
		submit(running)
		r := &reference{late: func(j *dispatch.Job) bool { return clock.Now().Add(work).After(j.Objective) }}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			if len(r.waiting) > 0 && rapid.Bool().Draw(rt, "end") {
				clear(started)
				d.Done(running, false)
				running = r.next()
				assert.Equal(rt, map[*dispatch.Job]bool{running: true}, started)
				continue
			}
			j := &dispatch.Job{
				Route: "r", NoRedirect: true, Rank: rapid.IntRange(0, 3).Draw(rt, "rank"), Nested: rapid.Bool().Draw(rt, "nested"),
				Team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "team"), ParentRank: rapid.IntRange(0, 3).Draw(rt, "parent"),
				Objective: clock.Now().Add(time.Duration(rapid.IntRange(50, 5000).Draw(rt, "objective")) * time.Millisecond),
				Deadline:  clock.Now().Add(time.Hour),
			}
			lateWaiting, ahead := 0, 0
			for _, w := range r.waiting {
				if r.late(w) {
					lateWaiting++
				}
			}
			with := &reference{waiting: append(slices.Clone(r.waiting), j), late: r.late}
			for with.next() != j {
				ahead++
			}
			wait := time.Duration(ahead+1) * work
			submit(j)
			// With one slot, no call that misses its objective waits.
			if _, isRefused := refused[j]; assert.Equal(rt, !j.Nested && clock.Now().Add(wait+work).After(j.Objective), isRefused) && isRefused {
				assert.Equal(rt, dispatch.Refused{Reason: dispatch.Late, RetryAfter: wait}, refused[j])
				continue
			}
			r.waiting = append(r.waiting, j)
		}
	})
}

// BenchmarkFairOrder measures the decision about a call that arrives while as many wait as at an overloaded server.
func BenchmarkFairOrder(b *testing.B) {
	const waiting, teams = 36, 78
	clock := virtualtime.New()
	d := dispatch.New(clock.Now, nil)
	d.UseFairShares(func() bool { return true })
	d.Open(1)
	submit := func(i int) *dispatch.Job {
		j := &dispatch.Job{
			Route: "r", Team: fmt.Sprint(i % teams), Rank: i % 3, NoRedirect: true,
			Objective: clock.Now().Add(time.Hour + time.Duration(i)), Deadline: clock.Now().Add(2 * time.Hour),
		}
		d.Submit(j, func(error) {})
		return j
	}
	for i := range waiting {
		submit(i)
	}
	for b.Loop() {
		d.Cancel(submit(waiting))
	}
}
