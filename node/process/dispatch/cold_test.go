package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/dispatch"
)

const (
	testColdStart     = 3 * time.Second
	testColdPerSecond = 14
	// testColdBound is the number of requests that a cold server gets at most in a second.
	testColdBound = 1.5*testColdPerSecond + 8
	testCheckTime = time.Millisecond
)

// coldServer is a model of a server that may be cold, with its dispatcher.
type coldServer struct {
	*queue
	coldUntil time.Time
	// lostChecks is set while health checks get no answer.
	lostChecks bool
	checks     int
	arrivals   []time.Time
	changes    []dispatch.ColdChange
}

func newColdServer(perSecond float64) *coldServer {
	s := &coldServer{}
	s.queue = &queue{Dispatcher: dispatch.New(time.Now, nil), refused: map[string]dispatch.Reason{}}
	s.LimitCold(dispatch.ColdControl{
		Limit:   func() dispatch.ColdLimit { return dispatch.ColdLimit{Start: testColdStart, PerSecond: perSecond} },
		Check:   func() { go s.check() },
		Changed: func(c dispatch.ColdChange) { s.changes = append(s.changes, c) },
	})
	s.Open(12)
	return s
}

func (s *coldServer) coldLeft() time.Duration { return max(time.Until(s.coldUntil), 0) }

func (s *coldServer) turnCold() { s.coldUntil = time.Now().Add(testColdStart) }

func (s *coldServer) check() {
	s.checks++
	sentAt := time.Now()
	if s.lostChecks {
		time.Sleep(15 * time.Millisecond)
		s.ProbeFailed()
		return
	}
	time.Sleep(testCheckTime)
	s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceHealthCheck, Left: s.coldLeft(), SentAt: sentAt})
	s.Observe(normalSlowness, true)
}

// run submits calls at a rate for a time. Answers to calls say nothing about whether the server is cold.
func (s *coldServer) run(perSecond int, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		s.call()
		s.Sweep()
	}
}

func (s *coldServer) call() {
	j := job(1, 300*time.Millisecond, time.Second)
	s.Submit(j, func(err error) {
		if err != nil {
			return
		}
		sentAt := time.Now()
		s.arrivals = append(s.arrivals, sentAt)
		time.AfterFunc(50*time.Millisecond, func() {
			s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnswer, SentAt: sentAt})
			s.Done(j, true)
		})
	})
}

// mostInASecond returns the largest number of calls in a second that begins at the given time or later.
func mostInASecond(arrivals []time.Time, from time.Time) (most int) {
	for i, start := range arrivals {
		if start.Before(from) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.Sub(start) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a server that gets more than it bears while it is cold, in the cases in which the node has not been told.
func TestColdServerGetsNoMoreThanTheBound(t *testing.T) {
	warm := func(s *coldServer) { s.run(60, 2*time.Second) }
	cases := map[string]struct {
		before, event func(s *coldServer)
	}{
		"first calls of a node":      {func(*coldServer) {}, func(s *coldServer) { s.turnCold() }},
		"cold in the midst of calls": {warm, func(s *coldServer) { s.turnCold() }},
		"health checks are lost":     {warm, func(s *coldServer) { s.turnCold(); s.lostChecks = true }},
		"lost from the start":        {func(*coldServer) {}, func(s *coldServer) { s.turnCold(); s.lostChecks = true }},
		"back under its id": {warm, func(s *coldServer) {
			s.ServerLost()
			s.turnCold()
		}},
		"back after silence": {warm, func(s *coldServer) {
			time.Sleep(1500 * time.Millisecond)
			s.turnCold()
		}},
		"two limits": {warm, func(s *coldServer) {
			s.nameLimit(40)
			s.turnCold()
		}},
		"announced": {warm, func(s *coldServer) {
			s.turnCold()
			s.lostChecks = true
			s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnnouncement, Left: testColdStart})
		}},
		"announcement from before": {warm, func(s *coldServer) {
			s.ServerLost()
			s.turnCold()
			s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnnouncement})
		}},
	}
	for name, c := range cases {
		for _, perSecond := range []int{60, 190} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newColdServer(testColdPerSecond)
					c.before(s)
					c.event(s)
					event := time.Now()
					s.run(perSecond, testColdStart-100*time.Millisecond)
					assert.LessOrEqual(t, mostInASecond(s.arrivals, event), int(testColdBound))
					assert.GreaterOrEqual(t, len(s.arrivals), 2*testColdPerSecond, "the cold rate is used")
					checks := s.checks
					s.lostChecks = false
					s.run(perSecond, 2*time.Second)
					last := s.arrivals[len(s.arrivals)-1]
					assert.Less(t, time.Since(last), 50*time.Millisecond)
					assert.Zero(t, s.ColdLimit(), "the limit ends with the cold time")
					assert.LessOrEqual(t, s.checks-checks, 2*perSecond/4, "health checks stay few")
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// Guards against an answer to a call from before the cold time, or a health check sent before it, that ends the limit.
func TestEarlierAnswersDoNotEndTheColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdServer(testColdPerSecond)
		sentAt := time.Now()
		time.Sleep(10 * time.Millisecond)
		s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnnouncement, Left: testColdStart})
		s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceHealthCheck, SentAt: sentAt})
		s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnswer, Stated: true, SentAt: time.Now()})
		assert.EqualValues(t, testColdPerSecond, s.ColdLimit())
		assert.EqualValues(t, testColdPerSecond, s.Load().RateLimit, "other nodes learn of it")
		time.Sleep(10 * time.Millisecond)
		s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceHealthCheck, SentAt: time.Now()})
		assert.Zero(t, s.ColdLimit())
		assert.Len(t, s.changes, 2)
		assert.Equal(t, dispatch.SourceHealthCheck, s.changes[1].Source)
	})
}

// Guards against a cold server whose requests go to the least valuable calls.
func TestMostValuableCallsGetWhatAColdServerHandles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdServer(testColdPerSecond)
		s.turnCold()
		s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnnouncement, Left: testColdStart})
		started := map[int]int{}
		for i := range 400 {
			rank := min(i%5, 1) // a fifth of the calls, 40 a second, has rank 0
			j := job(rank, 400*time.Millisecond, time.Second)
			s.Submit(j, func(err error) {
				if err == nil {
					started[rank]++
					time.AfterFunc(10*time.Millisecond, func() { s.Done(j, true) })
				}
			})
			time.Sleep(5 * time.Millisecond)
			s.Sweep()
		}
		assert.GreaterOrEqual(t, started[0], 9*started[1])
		assert.Positive(t, s.ColdRefusals())
		time.Sleep(2 * time.Second)
	})
}

// Guards against health checks for services without the limit.
func TestServiceWithoutColdLimitIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdServer(0)
		s.Observe(normalSlowness, false)
		s.turnCold()
		for range 50 {
			s.Observe(normalSlowness, false)
			s.call()
			time.Sleep(time.Millisecond)
		}
		assert.Zero(t, s.checks)
		assert.GreaterOrEqual(t, len(s.arrivals), 12)
		assert.Empty(t, s.changes)
		time.Sleep(time.Second)
	})
}
