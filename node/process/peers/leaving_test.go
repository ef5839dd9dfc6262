package peers

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/choice"
)

// Guards against a Leaver that decides although it is not active, and against bytes that are counted for calls that stay
// or that were not sent.
func TestLeavingDecidesOnlyWhereItIsActive(t *testing.T) {
	set := fleet(3)[0]
	set.config.Hello = &linkpb.Hello{Place: "north"}
	load := func(queued uint32) *linkpb.Load {
		return &linkpb.Load{InProgress: 10, Limit: 10, Queued: queued, ServiceMs: 100}
	}
	near, far := set.peers["10.0.0.1:1"].server, set.peers["10.0.0.2:1"].server
	near.setState(&linkpb.State{Service: "quotes", Place: "north", ServerId: "n", Ready: true, Load: load(2)}, time.Now())
	far.setState(&linkpb.State{Service: "quotes", Place: "south", ServerId: "s", Ready: true, Load: load(0)}, time.Now())
	active := false
	bytes := map[string]int{}
	set.config.Leaving = &Leaving{
		Leaver: choice.NewLeaver(choice.LeaverConfig{Now: time.Now, Random: func() float64 { return 0.5 }}),
		Active: func() bool { return active },
		Sent:   func(service, place string, sent int) { bytes[service+" "+place] += sent },
	}
	call := choice.Call{ObjectiveLeft: time.Second}
	sent := &linkpb.Call{Body: make([]byte, 100)}
	answer := link.NewResult(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: &linkpb.Answer{Body: make([]byte, 1000)}}}, nil)
	for _, active = range []bool{false, true} {
		picked, err := set.Pick("quotes", call, nil, nil)
		require.NoError(t, err)
		assert.Equal(t, "10.0.0.1:1", picked.Server.Address())
		assert.Equal(t, active, picked.Redirect > 0)
		assert.Equal(t, !active, picked.Others == 1, "no other place has room")
		set.countLeaving(near, sent, answer, nil)
		set.countLeaving(far, sent, nil, &link.NotSentError{Cause: errors.New("closed")})
		assert.Empty(t, bytes)
		if active {
			set.countLeaving(far, sent, answer, nil)
			assert.GreaterOrEqual(t, bytes["quotes south"], 1100)
		} else {
			set.countLeaving(far, sent, answer, nil)
		}
	}
	assert.Len(t, bytes, 1)
}
