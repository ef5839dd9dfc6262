package choice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/choice"
)

const (
	unevenServers  = 20
	unevenSlow     = 8 // of the servers
	unevenSlots    = 12
	unevenWork     = 200 * time.Millisecond
	unevenFactor   = 12
	unevenTimeout  = 1200 * time.Millisecond
	unevenStep     = 2 * time.Millisecond
	unevenDuration = 20 * time.Second
	// unevenLoad is the number of calls per step: 70 % of what the fast servers can do.
	unevenLoad = 0.7 * (unevenServers - unevenSlow) * unevenSlots * float64(unevenStep) / float64(unevenWork)
)

// unevenServer is a server with the times at which its calls end.
type unevenServer struct {
	work    time.Duration
	service time.Duration // as its node reports it
	ends    []time.Duration
}

// step ends the calls that are due and returns how many were answered in time.
func (s *unevenServer) step(now time.Duration) (answered int) {
	rest := s.ends[:0]
	for _, end := range s.ends {
		if end > now {
			rest = append(rest, end)
			continue
		}
		s.service += (min(s.work, unevenTimeout) - s.service) / unevenServers
		if s.work <= unevenTimeout {
			answered++
		}
	}
	s.ends = rest
	return answered
}

// unevenShare returns the share of calls that are answered in time.
func unevenShare(mark func([]choice.Candidate)) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	servers := make([]unevenServer, unevenServers)
	for i := range servers {
		servers[i] = unevenServer{work: unevenWork, service: unevenWork}
		if i < unevenSlow {
			servers[i].work *= unevenFactor
		}
	}
	offered, answered := 0, 0
	for now := time.Duration(0); now < unevenDuration; now += unevenStep {
		for i := range servers {
			answered += servers[i].step(now)
		}
		for arrivals := unevenLoad + random.Float64(); arrivals >= 1; arrivals-- {
			offered++
			candidates := make([]choice.Candidate, len(servers))
			for i, s := range servers {
				candidates[i] = choice.Candidate{SamePlace: true, InProgress: len(s.ends), Limit: unevenSlots, ServiceTime: s.service}
			}
			mark(candidates)
			s := &servers[choice.Pick(candidates, choice.Call{ObjectiveLeft: 600 * time.Millisecond, RouteTime: unevenWork})]
			if len(s.ends) < unevenSlots {
				s.ends = append(s.ends, now+min(s.work, unevenTimeout))
			}
		}
	}
	return float64(answered) / float64(offered)
}

// Guards against slow servers that hold as many calls as the fast ones and answer none of them in time, while fast ones have room.
func TestSlowServersGetFewCallsWhileOthersHaveRoom(t *testing.T) {
	marked := unevenShare(choice.MarkSlow)
	unmarked := unevenShare(func([]choice.Candidate) {})
	t.Logf("answered in time: %.3f, without the slowdown %.3f", marked, unmarked)
	assert.Greater(t, marked, 0.95)
	assert.Greater(t, marked, unmarked)
}
