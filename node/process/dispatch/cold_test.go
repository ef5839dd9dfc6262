package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
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
	*timeline
	*dispatch.Dispatcher
	coldUntil time.Time
	// lostChecks is set while health checks get no answer.
	lostChecks bool
	checks     int
	arrivals   []time.Time
	started    map[int]int // by rank
	changes    []dispatch.ColdChange
}

func newColdServer(perSecond float64) *coldServer {
	t := newTimeline()
	s := &coldServer{timeline: t, Dispatcher: dispatch.New(t.Now, nil), started: map[int]int{}}
	s.LimitCold(dispatch.ColdControl{
		Limit:   func() dispatch.ColdLimit { return dispatch.ColdLimit{Duration: testColdStart, PerSecond: perSecond} },
		Check:   s.check,
		Changed: func(c dispatch.ColdChange) { s.changes = append(s.changes, c) },
	})
	s.Open(12)
	s.every(20*time.Millisecond, func() { s.Sweep() })
	return s
}

func (s *coldServer) coldLeft() time.Duration { return max(s.coldUntil.Sub(s.now), 0) }

func (s *coldServer) turnCold() { s.coldUntil = s.now.Add(testColdStart) }

func (s *coldServer) announce(left time.Duration) {
	s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnnouncement, Stated: true, Left: left})
}

func (s *coldServer) check() {
	s.checks++
	if s.lostChecks {
		s.after(15*time.Millisecond, s.ProbeFailed)
		return
	}
	sentAt, left := s.now, s.coldLeft() // a report may be as old as the request
	s.after(testCheckTime, func() {
		s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceHealthCheck, Left: left, SentAt: sentAt})
		s.Observe(normalSlowness, true)
	})
}

// run submits calls at a rate for a time. Answers to calls say nothing about whether the server is cold.
func (s *coldServer) run(perSecond int, duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.sleep(time.Second / time.Duration(perSecond)) {
		s.call(1)
	}
}

func (s *coldServer) call(rank int) {
	j := &dispatch.Job{Route: "r", Rank: rank, NoRedirect: true, Objective: s.now.Add(300 * time.Millisecond), Deadline: s.now.Add(time.Second)}
	s.Submit(j, func(err error) {
		if err != nil {
			return
		}
		sentAt := s.now
		s.started[rank]++
		s.arrivals = append(s.arrivals, sentAt)
		s.after(50*time.Millisecond, func() {
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

// Guards against a server that gets more than it handles while it is cold, in the cases in which the node has not been told.
func TestColdServerGetsNoMoreThanTheBound(t *testing.T) {
	warm := func(s *coldServer) { s.run(60, 2*time.Second) }
	fresh := func(*coldServer) {}
	cases := map[string]struct {
		before, event func(s *coldServer)
	}{
		"first calls of a node":      {fresh, func(s *coldServer) { s.turnCold() }},
		"cold in the midst of calls": {warm, func(s *coldServer) { s.turnCold() }},
		"health checks are lost":     {warm, func(s *coldServer) { s.turnCold(); s.lostChecks = true }},
		"lost from the start":        {fresh, func(s *coldServer) { s.turnCold(); s.lostChecks = true }},
		"back under its id":          {warm, func(s *coldServer) { s.ServerLost(); s.turnCold() }},
		"back after silence":         {warm, func(s *coldServer) { s.sleep(1500 * time.Millisecond); s.turnCold() }},
		"two limits": {warm, func(s *coldServer) {
			s.ObserveRate(dispatch.RateStatement{Limited: true, PerSecond: 40, SentAt: s.now})
			s.turnCold()
		}},
		"announced":                {warm, func(s *coldServer) { s.turnCold(); s.lostChecks = true; s.announce(testColdStart) }},
		"announcement from before": {warm, func(s *coldServer) { s.ServerLost(); s.turnCold(); s.announce(0) }},
	}
	for name, c := range cases {
		for _, perSecond := range []int{60, 190} {
			t.Run(fmt.Sprintf("%s, %d calls", name, perSecond), func(t *testing.T) {
				s := newColdServer(testColdPerSecond)
				c.before(s)
				c.event(s)
				event := s.now
				s.run(perSecond, testColdStart-100*time.Millisecond)
				assert.LessOrEqual(t, mostInASecond(s.arrivals, event), int(testColdBound))
				assert.GreaterOrEqual(t, len(s.arrivals), 2*testColdPerSecond, "the cold rate is used")
				s.lostChecks = false
				s.run(perSecond, time.Second)
				checks := s.checks
				s.run(perSecond, time.Second)
				assert.Less(t, s.now.Sub(s.arrivals[len(s.arrivals)-1]), 50*time.Millisecond)
				assert.Zero(t, s.ColdLimit(), "the limit ends with the cold time")
				assert.LessOrEqual(t, s.checks-checks, perSecond/6, "health checks stay few")
			})
		}
	}
}

// Guards against an answer to a call from before the cold time, or a health check sent before it, that ends the limit.
func TestEarlierAnswersDoNotEndTheColdTime(t *testing.T) {
	s := newColdServer(testColdPerSecond)
	sentAt := s.now
	s.sleep(10 * time.Millisecond)
	s.announce(testColdStart)
	s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceHealthCheck, SentAt: sentAt})
	s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceAnswer, Stated: true, SentAt: s.now.Add(time.Millisecond)})
	assert.EqualValues(t, testColdPerSecond, s.ColdLimit())
	assert.EqualValues(t, testColdPerSecond, s.Load().RateLimit, "other nodes learn of it")
	s.sleep(10 * time.Millisecond)
	s.ObserveCold(dispatch.ColdReport{Source: dispatch.SourceHealthCheck, SentAt: s.now})
	assert.Zero(t, s.ColdLimit())
	assert.Len(t, s.changes, 2)
	assert.Equal(t, dispatch.SourceHealthCheck, s.changes[1].Source)
}

// Guards against a cold server whose requests go to the least valuable calls.
func TestMostValuableCallsGetWhatAColdServerHandles(t *testing.T) {
	s := newColdServer(testColdPerSecond)
	s.turnCold()
	s.announce(testColdStart)
	for i := range 400 {
		s.call(min(i%5, 1)) // a fifth of the calls, 40 a second, has rank 0
		s.sleep(5 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, s.started[0], 9*s.started[1])
	assert.GreaterOrEqual(t, s.started[0], testColdPerSecond)
	assert.Positive(t, s.ColdRefusals())
}

// Guards against health checks for services without the limit.
func TestServiceWithoutColdLimitIsNotChecked(t *testing.T) {
	s := newColdServer(0)
	s.turnCold()
	s.run(1000, 40*time.Millisecond)
	assert.Zero(t, s.checks)
	assert.Len(t, s.arrivals, 12)
	assert.Empty(t, s.changes)
}

// Guards against a node that has just started and lets calls of other nodes through to a cold server while it does not know the
// configuration, and against checks of warm servers in that time.
func TestStatedColdTimeCountsBeforeTheConfigurationIsKnown(t *testing.T) {
	s := newColdServer(0)
	limit := dispatch.ColdLimit{PerSecond: 10, Provisional: true}
	s.LimitCold(dispatch.ColdControl{Limit: func() dispatch.ColdLimit { return limit }, Check: s.check, Changed: func(dispatch.ColdChange) {}})
	s.run(100, time.Second)
	assert.Len(t, s.arrivals, 100)
	s.announce(testColdStart)
	event := s.now
	s.run(100, time.Second)
	assert.LessOrEqual(t, mostInASecond(s.arrivals, event), 11)
	assert.Zero(t, s.checks)
	limit = dispatch.ColdLimit{Duration: testColdStart, PerSecond: testColdPerSecond}
	s.run(100, time.Second)
	assert.EqualValues(t, testColdPerSecond, s.ColdLimit(), "what the server has stated still counts")
}

// Guards against a call that starts before a health check has shown the state of a server that was silent or has broken a
// connection, also when an announcement arrives that was made before, and against such delays at a busy server.
func TestCallWaitsForTheHealthCheckWhenTheServerMayBeCold(t *testing.T) {
	warm := func(s *coldServer) { s.run(20, time.Second) }
	cases := map[string]struct {
		event func(s *coldServer)
		delay time.Duration
	}{
		"busy":                         {func(*coldServer) {}, 0},
		"silent":                       {func(s *coldServer) { s.sleep(600 * time.Millisecond) }, testCheckTime},
		"broken connection":            {func(s *coldServer) { s.ServerLost() }, testCheckTime},
		"earlier announcement":         {func(s *coldServer) { s.ServerLost(); s.sleep(20 * time.Millisecond); s.announce(0) }, testCheckTime},
		"later announcement":           {func(s *coldServer) { s.ServerLost(); s.sleep(200 * time.Millisecond); s.announce(0) }, 0},
		"another server":               {func(s *coldServer) { s.Reset() }, testCheckTime},
		"silent, health check is lost": {func(s *coldServer) { s.lostChecks = true; s.sleep(600 * time.Millisecond) }, 15 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newColdServer(testColdPerSecond)
			warm(s)
			c.event(s)
			submitted := s.now
			s.call(1)
			s.sleep(100 * time.Millisecond)
			assert.Equal(t, c.delay, s.arrivals[len(s.arrivals)-1].Sub(submitted))
		})
	}
}

// Guards against calls that wait in vain when the server turns cold, and against a limit that outlasts the stated time.
func TestCallsAreRefusedAtOnceWhenTheServerTurnsCold(t *testing.T) {
	s := newColdServer(testColdPerSecond)
	s.announce(0)
	s.run(10, 500*time.Millisecond)
	for range 42 { // most of them wait for slots and for a health check
		s.call(1)
		s.sleep(10 * time.Microsecond)
	}
	queued := s.Load().Queued
	s.announce(testColdStart)
	assert.Less(t, s.Load().Queued, queued)
	assert.Positive(t, s.ColdRefusals())
	s.run(10, testColdStart)
	s.sleep(20 * time.Millisecond)
	assert.Zero(t, s.ColdLimit())
	assert.Equal(t, dispatch.SourceTime, s.changes[len(s.changes)-1].Source)
}

// Guards against sequences of events in which a cold server gets more than the bound.
func TestBoundHoldsInRandomSequences(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := newColdServer(testColdPerSecond)
		var coldSince []time.Time
		for range 12 {
			switch random.IntN(6) {
			case 0, 1:
				coldSince = append(coldSince, s.now)
				s.turnCold()
			case 2:
				s.lostChecks = !s.lostChecks
			case 3:
				s.ServerLost()
			case 4:
				s.sleep(time.Duration(random.Int64N(int64(time.Second))))
			case 5:
				s.announce(s.coldLeft())
			}
			s.run(1+random.IntN(250), time.Duration(random.Int64N(int64(2*time.Second))))
		}
		for _, since := range coldSince {
			until := since.Add(testColdStart)
			during := slices.DeleteFunc(slices.Clone(s.arrivals), func(a time.Time) bool { return a.Before(since) || a.After(until) })
			assert.LessOrEqual(t, mostInASecond(during, since), int(testColdBound), "seed %d", seed)
		}
	}
}
