package choice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/choice"
)

const service = 100 * time.Millisecond

// call has an objective of five times its average time.
var call = choice.Call{ObjectiveLeft: 500 * time.Millisecond, RouteTime: service, RouteBytes: 500}

// server returns an idle server in the caller's place with a change applied.
func server(change func(*choice.Candidate)) choice.Candidate {
	c := choice.Candidate{SamePlace: true, Limit: 10, ServiceTime: service, Slowness: 100}
	if change != nil {
		change(&c)
	}
	return c
}

// remote returns an idle server outside the caller's place with a change applied.
func remote(change func(*choice.Candidate)) choice.Candidate {
	c := server(change)
	c.SamePlace, c.RoundTrip = false, 3*time.Millisecond
	return c
}

func queued(n int) func(*choice.Candidate) {
	return func(c *choice.Candidate) { c.InProgress, c.Queued = 10, n }
}

func TestPick(t *testing.T) {
	large := call
	large.RouteBytes, large.ObjectiveLeft = 40_000, 300*time.Millisecond
	cases := map[string]struct {
		call       choice.Call
		candidates []choice.Candidate
		want       int
	}{
		"no server": {call, nil, -1},
		"the idle server before one with a queue":       {call, []choice.Candidate{server(queued(10)), server(nil)}, 1},
		"the same place while it meets the objective":   {call, []choice.Candidate{remote(nil), server(queued(10))}, 1},
		"another place when the same place is too late": {call, []choice.Candidate{remote(nil), server(queued(100))}, 0},
		"the same place for a call with a large answer": {large, []choice.Candidate{remote(nil), server(queued(33))}, 1},
		"calls sent since the report count":             {call, []choice.Candidate{server(func(c *choice.Candidate) { c.SentSinceReport = 30 }), server(nil)}, 1},
		"a slow host is avoided":                        {call, []choice.Candidate{server(func(c *choice.Candidate) { c.Slowness = 500 }), server(nil)}, 1},
		"an old report of a slow host is ignored": {call, []choice.Candidate{
			server(func(c *choice.Candidate) { c.Slowness, c.ReportAge = 500, time.Minute }), server(queued(20)),
		}, 0},
		"a server that fails quickly does not look fast": {call, []choice.Candidate{
			server(func(c *choice.Candidate) { c.Failures, c.ServiceTime = 0.8, time.Millisecond }), server(queued(5)),
		}, 1},
		"equal failure shares exclude no server": {call, []choice.Candidate{
			server(func(c *choice.Candidate) { c.Failures = 0.9; queued(20)(c) }), server(func(c *choice.Candidate) { c.Failures = 0.9 }),
		}, 1},
		"a server that is warming up is avoided": {call, []choice.Candidate{server(func(c *choice.Candidate) { c.WarmUpLeft = time.Second }), server(nil)}, 1},
		"an unresponsive node is last":           {call, []choice.Candidate{server(func(c *choice.Candidate) { c.Suspect = true }), remote(queued(50))}, 1},
		"a server that refused the call":         {call, []choice.Candidate{server(func(c *choice.Candidate) { c.Refused = true }), remote(queued(9))}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 20 { // the estimates contain random jitter
				assert.Equal(t, c.want, choice.Pick(c.candidates, c.call))
			}
		})
	}
}
