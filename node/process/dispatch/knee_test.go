package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/dispatch"
)

// kneeServer simulates a server whose calls take longer when they start with more than a given number in progress.
type kneeServer struct {
	*dispatch.Dispatcher
	random      *rand.Rand
	serviceTime time.Duration
	knee        int
	slowdown    float64
	running     completions
	answered    int
}

// completions is a heap of the calls in progress, ordered by the time of their completion.
type completions []completion

type completion struct {
	at  time.Time
	job *dispatch.Job
}

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newKneeServer(slots, knee int, slowdown float64) *kneeServer {
	s := &kneeServer{
		Dispatcher: dispatch.New(time.Now, nil), random: rand.New(rand.NewPCG(1, uint64(knee))),
		serviceTime: 100 * time.Millisecond, knee: knee, slowdown: slowdown,
	}
	s.Open(slots)
	return s
}

// runLoad submits calls at a rate for a duration and returns the number answered within their objective of three service
// times.
func (s *kneeServer) runLoad(perSecond float64, d time.Duration) int {
	s.answered = 0
	until := time.Now().Add(d)
	for next := time.Now(); time.Now().Before(until); {
		if len(s.running) > 0 && s.running[0].at.Before(next) {
			time.Sleep(time.Until(s.running[0].at))
			done := heap.Pop(&s.running).(completion)
			if !time.Now().After(done.job.Objective) {
				s.answered++
			}
			s.Done(done.job, true)
			continue
		}
		time.Sleep(time.Until(next))
		s.submit()
		next = next.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	return s.answered
}

func (s *kneeServer) submit() {
	now := time.Now()
	j := &dispatch.Job{
		Route: "r", NoRedirect: true, Objective: now.Add(3 * s.serviceTime), Deadline: now.Add(10 * s.serviceTime),
	}
	s.Submit(j, func(err error) {
		if err != nil {
			return
		}
		duration := float64(s.serviceTime) * (0.7 + 0.6*s.random.Float64())
		if len(s.running)+1 > s.knee {
			duration *= s.slowdown
		}
		heap.Push(&s.running, completion{at: time.Now().Add(time.Duration(duration)), job: j})
	})
}

// Guards against the use of all slots at a server whose throughput falls with them: such a server sheds half of the
// calls in an overload of a quarter. Load: 160 calls/s of 100 ms at 17 slots; 13 slots in use answer 130/s, 17 answer
// 100/s.
func TestOverloadedServerIsKeptBelowItsKnee(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overload := func(s *kneeServer) int {
			s.runLoad(60, 5*time.Second)
			s.runLoad(160, 10*time.Second)
			return s.runLoad(160, 10*time.Second)
		}
		without := overload(newKneeServer(13, 13, 1))
		s := newKneeServer(17, 13, 1.7)
		assert.Greater(t, overload(s), without*9/10,
			"about as many as at a server with that many slots and no knee; each slot less costs 8 %")
		assert.InDelta(t, 13, s.Load().Limit, 1)
	})
}

// Guards against slots that stay free at a server without a knee.
func TestServerWithoutAKneeUsesAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(9, 9, 1)
		for range 20 {
			s.runLoad(50, 2*time.Second)
			s.runLoad(110, 2*time.Second)
			assert.Equal(t, 9, s.Load().Limit)
		}
	})
}

// Guards against a long limit at a server that became slow as a whole.
func TestServerThatBecomesSlowIsNotLimitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(17, 17, 1)
		s.runLoad(100, 5*time.Second)
		s.serviceTime *= 4
		s.runLoad(60, 20*time.Second)
		assert.Equal(t, 17, s.Load().Limit)
	})
}

// Guards against knees that each node has to detect in an overload of its own, and against an adopted knee that never
// expires at a server without one.
func TestKneeOfAnotherNodeIsAdoptedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(17, 17, 1)
		s.ShareKnee(func(int) int { return 13 }, func() {})
		s.runLoad(160, time.Second)
		assert.Equal(t, 13, s.Load().Limit)
		assert.Zero(t, s.Knee(), "only a knee that this node has confirmed is reported")
		s.runLoad(160, 40*time.Second)
		assert.Equal(t, 17, s.Load().Limit, "the server has no knee")
	})
}

// Guards against the adoption of invalid knees: knees that no server can have, and knees of servers that announce more
// slots than the detector covers.
func TestImpossibleKneesAreNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for slots, knee := range map[int]int{1: 1, 2: 0, 17: 40, 16: -3, 5000: 3000} {
			s := newKneeServer(slots, slots, 1)
			s.ShareKnee(func(int) int { return knee }, func() {})
			s.runLoad(12*float64(min(slots, 20)), 45*time.Second)
			assert.Equal(t, slots, s.Load().Limit)
		}
	})
}

// Guards against a limit of half the slots at a small server where two slow calls have a higher throughput than one.
func TestSmallServerThatIsSlowerWhenFullIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(2, 1, 1.4)
		s.runLoad(4, 20*time.Second)
		s.runLoad(16, 10*time.Second)
		assert.Equal(t, 2, s.Load().Limit)
	})
}
