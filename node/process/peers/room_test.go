package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/process/choice"
)

// Guards against a refused call that is sent to one full server after the other.
func TestPickWithRoomChoosesOnlyServersThatReportRoom(t *testing.T) {
	s := fleet(5)[0]
	var servers []*Server
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"} {
		servers = append(servers, s.peers[address].server)
	}
	loads := []*linkpb.Load{
		{InProgress: 3, Queued: 1, Limit: 4}, {InProgress: 1, Limit: 4, RateLimit: 5, RateWaitMs: 2000}, {InProgress: 3, Limit: 4}, {InProgress: 0, Limit: 4},
	}
	for i, load := range loads {
		servers[i].setState(&linkpb.State{Service: "quotes", Ready: true, Slots: 4, Load: load}, time.Now())
	}
	pick := func(refused ...*Server) (*Server, error) {
		picked, err := s.PickWithRoom("quotes", choice.Call{}, nil, refused)
		return picked.Server, err
	}
	picked, err := pick(servers[3])
	require.NoError(t, err)
	assert.Same(t, servers[2], picked)
	picked.beginSend(&linkpb.Call{}) // takes its last slot
	_, err = pick(servers[3])
	assert.ErrorIs(t, err, ErrNoServer)
}
