package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/choice"
)

// Guards against a call that is sent to an evacuated place, whose node may not have heard of it, and against one that is refused although
// another place has a server.
func TestServersOfEvacuatedPlacesAreNotChosen(t *testing.T) {
	set := fleet(3)[0]
	set.peers["10.0.0.1:1"].server.setState(&linkpb.State{Service: "quotes", Place: "north", ServerId: "n", Ready: true}, time.Now())
	set.peers["10.0.0.2:1"].server.setState(&linkpb.State{Service: "quotes", Place: "south", ServerId: "s", Ready: true}, time.Now())
	for range 20 {
		set.SetEvacuated([]string{"north"})
		picked, err := set.Pick("quotes", choice.Call{}, nil, nil)
		require.NoError(t, err)
		assert.Equal(t, "10.0.0.2:1", picked.Server.Address())
		assert.Zero(t, picked.Others)
	}
	set.SetEvacuated([]string{"north", "south"})
	_, err := set.Pick("quotes", choice.Call{}, nil, nil)
	assert.ErrorIs(t, err, ErrNoServer)
	assert.False(t, set.Available("quotes"))
	set.SetEvacuated(nil)
	assert.True(t, set.Available("quotes"))
}

// Guards against a node that misses an evacuation because its calls to the store have begun to fail, and against frames to all other nodes
// when that happens.
func TestNodeThatTheStoreTurnsAwayGetsTheEvacuations(t *testing.T) {
	received := make(chan string, 10)
	exchange := link.EvacuationExchange{Current: func() *linkpb.Evacuations { return &linkpb.Evacuations{Revision: 1} }}
	var eras []uint64
	set := New(t.Context(), Config{
		Hello: &linkpb.Hello{Address: "10.0.0.9:1"}, Log: silentLog{}, PollersChanged: func() {}, Evacuations: exchange,
		StoreEra: func(_ string, era uint64) { eras = append(eras, era) },
	})
	s := &Server{address: "10.0.0.1:1", client: &link.Client{}}
	s.session = link.NewSession(s.address, set.config.Hello, link.Events{Evacuations: link.EvacuationExchange{
		Current: func() *linkpb.Evacuations {
			received <- s.address
			return nil
		},
	}}, nil)
	for _, state := range []*linkpb.State{{}, {StoreFailing: true, StoreEra: 3}, {StoreFailing: true}, {}, {StoreFailing: true}} {
		set.handleState(s, state)
	}
	for range 2 {
		<-received
	}
	time.Sleep(time.Millisecond)
	assert.Empty(t, received, "once for each time the node is turned away")
	assert.Equal(t, []uint64{3}, eras)
}
