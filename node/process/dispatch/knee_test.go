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

// kneeServer is a server whose calls take longer when they start with more than a number in progress.
type kneeServer struct {
	*dispatch.Dispatcher
	random   *rand.Rand
	work     time.Duration
	knee     int
	slowdown float64
	running  ends
	answered int
}

// ends orders the calls in progress by their end.
type ends []end

type end struct {
	at  time.Time
	job *dispatch.Job
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newKneeServer(slots, knee int, slowdown float64) *kneeServer {
	s := &kneeServer{
		Dispatcher: dispatch.New(time.Now, nil), random: rand.New(rand.NewPCG(1, uint64(knee))),
		work: 100 * time.Millisecond, knee: knee, slowdown: slowdown,
	}
	s.Open(slots)
	return s
}

// play submits calls at a rate for a time and returns the number answered within their objective of three times the work.
func (s *kneeServer) play(perSecond float64, d time.Duration) int {
	s.answered = 0
	until := time.Now().Add(d)
	for next := time.Now(); time.Now().Before(until); {
		if len(s.running) > 0 && s.running[0].at.Before(next) {
			time.Sleep(time.Until(s.running[0].at))
			done := heap.Pop(&s.running).(end)
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
	j := &dispatch.Job{Route: "r", NoRedirect: true, Objective: now.Add(3 * s.work), Deadline: now.Add(10 * s.work)}
	s.Submit(j, func(err error) {
		if err != nil {
			return
		}
		took := float64(s.work) * (0.7 + 0.6*s.random.Float64())
		if len(s.running)+1 > s.knee {
			took *= s.slowdown
		}
		heap.Push(&s.running, end{at: time.Now().Add(time.Duration(took)), job: j})
	})
}

// Guards against slots that are all used at a server that gets less done with them: one sheds half of the calls in an overload
// of a quarter. Load: 160 calls/s of 100 ms at 17 slots of which 13 do 130/s and 17 do 100/s.
func TestOverloadedServerIsKeptBelowItsKnee(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overload := func(s *kneeServer) int {
			s.play(60, 5*time.Second)
			s.play(160, 10*time.Second)
			return s.play(160, 10*time.Second)
		}
		without := overload(newKneeServer(13, 13, 1))
		s := newKneeServer(17, 13, 1.7)
		assert.Greater(t, overload(s), without*9/10,
			"about as many as at a server with that many slots and no knee; each slot less costs 8 %")
		assert.InDelta(t, 13, s.Load().Limit, 1)
	})
}

// Guards against slots that stay free at a server that does not mind.
func TestServerWithoutAKneeUsesAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(9, 9, 1)
		for range 20 {
			s.play(50, 2*time.Second)
			s.play(110, 2*time.Second)
			assert.Equal(t, 9, s.Load().Limit)
		}
	})
}

// Guards against a server that is limited for long because it became slow as a whole.
func TestServerThatBecomesSlowIsNotLimitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(17, 17, 1)
		s.play(100, 5*time.Second)
		s.work *= 4
		s.play(60, 20*time.Second)
		assert.Equal(t, 17, s.Load().Limit)
	})
}

// Guards against knees that each node has to find in an overload of its own.
func TestKneeOfAnotherNodeIsTakenOverAndLeftWhenItIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(17, 17, 1)
		s.ShareKnee(func(int) int { return 13 }, func() {})
		s.play(160, time.Second)
		assert.Equal(t, 13, s.Load().Limit)
		assert.Zero(t, s.Knee(), "only what was found here is told")
		s.play(160, 40*time.Second)
		assert.Equal(t, 17, s.Load().Limit, "the server has no knee")
	})
}

// Guards against entries of other writers: knees that no server has, and servers that announce more slots than are followed.
func TestImpossibleKneesAreNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for slots, knee := range map[int]int{1: 1, 2: 0, 17: 40, 16: -3, 5000: 3000} {
			s := newKneeServer(slots, slots, 1)
			s.ShareKnee(func(int) int { return knee }, func() {})
			s.play(12*float64(min(slots, 20)), 45*time.Second)
			assert.Equal(t, slots, s.Load().Limit)
		}
	})
}

// Guards against a small server of which half is left free although two slow calls get more done than one.
func TestSmallServerThatIsSlowerWhenFullIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKneeServer(2, 1, 1.4)
		s.play(4, 20*time.Second)
		s.play(16, 10*time.Second)
		assert.Equal(t, 2, s.Load().Limit)
	})
}
