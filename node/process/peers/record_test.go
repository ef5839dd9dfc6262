package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/api/linkpb"
)

// Guards against a rate limit that a node forgets when the process beside the server has restarted, and against one that binds
// the next server there.
func TestRateLimitIsKeptUntilTheServerTakesItBackOrIsReplaced(t *testing.T) {
	ready := func(id string, startedMs uint64, load *linkpb.Load) *linkpb.State {
		return &linkpb.State{ServerId: id, StartedMs: startedMs, Ready: true, Load: load}
	}
	cases := map[string]struct {
		next *linkpb.State
		kept bool
	}{
		"a new process that does not know its server yet": {next: &linkpb.State{Load: &linkpb.Load{RateLimitUnknown: true}}, kept: true},
		"a new process that has found the server":         {next: ready("i-1", 0, &linkpb.Load{RateLimitUnknown: true}), kept: true},
		"a new process that knows the server's start":     {next: ready("i-1", 5, &linkpb.Load{RateLimitUnknown: true}), kept: true},
		"the server names no limit any more":              {next: ready("i-1", 5, &linkpb.Load{})},
		"a later start under the same id":                 {next: ready("i-1", 6, &linkpb.Load{RateLimitUnknown: true})},
		"another server":                                  {next: ready("i-2", 6, &linkpb.Load{RateLimitUnknown: true})},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{}
			s.setState(ready("i-1", 5, &linkpb.Load{}), time.Now())
			s.setLoad(&linkpb.Load{RateLimit: 20}, time.Now())
			s.setClient(nil)
			s.setState(c.next, time.Now())
			call := &linkpb.Call{RateLimit: 99}
			s.beginSend(call)
			assert.Equal(t, c.kept, call.RateLimit == 20, "limit in the next call: %v", call.RateLimit)
			if !c.kept {
				assert.Zero(t, call.RateLimit)
			}
		})
	}
}

// Guards against calls to a server whose leaving this node has heard, after the process beside it has restarted and uses it again.
func TestServerThatHasSaidThatItLeavesIsUnusableUntilALaterStart(t *testing.T) {
	cases := map[string]struct {
		id        string
		startedMs uint64
		usable    bool
	}{
		"the same start":                  {id: "i-1", startedMs: 5},
		"its start is not known any more": {id: "i-1"},
		"a later start under the same id": {id: "i-1", startedMs: 6, usable: true},
		"another server":                  {id: "i-2", startedMs: 4, usable: true},
		"another server of unknown start": {id: "i-2", usable: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{}
			s.setState(&linkpb.State{ServerId: "i-1", StartedMs: 5, Service: "quotes", Ready: true}, time.Now())
			s.recordLeaving(&linkpb.Leaving{ServerId: "i-1", StartedMs: 5}, time.Now())
			assert.False(t, s.usable("quotes", time.Now()))
			s.setClient(nil)
			s.setState(&linkpb.State{ServerId: c.id, StartedMs: c.startedMs, Service: "quotes", Ready: true}, time.Now())
			assert.Equal(t, c.usable, s.usable("quotes", time.Now()))
		})
	}
}
