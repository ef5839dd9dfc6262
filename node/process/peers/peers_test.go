package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
)

// fleet returns the sets of n nodes that count as linked to each other. No connection is opened.
func fleet(n int) []*Set {
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }
	sets := make([]*Set, n)
	for i := range sets {
		sets[i] = New(context.Background(), Config{Hello: &linkpb.Hello{Address: address(i)}})
		for j := range n {
			if j != i {
				sets[i].peers[address(j)] = &peer{server: &Server{address: address(j), client: &link.Client{}}}
			}
		}
	}
	return sets
}

func countInSubset(sets []*Set, size int) (selected int) {
	for _, s := range sets {
		if s.InSubset(size) {
			selected++
		}
	}
	return selected
}

// Guards against all nodes polling the store at short intervals, and against none doing so: a node that has lost its links
// receives no versions from others.
func TestSubsetHasTheGivenSizeAndIncludesANodeWithoutLinks(t *testing.T) {
	sets := fleet(10)
	assert.Equal(t, 3, countInSubset(sets, 3))
	for _, known := range sets[0].peers {
		known.server.setClient(nil)
	}
	assert.True(t, sets[0].InSubset(1))
}

// Guards against a store that all nodes call at short intervals during its outage, one group after the other.
func TestSubsetStaysSmallWhileNoNodeReachesTheStore(t *testing.T) {
	sets := fleet(20)
	for failing := range sets {
		address := sets[failing].config.Hello.Address
		for _, s := range sets {
			if known := s.peers[address]; known != nil {
				known.server.setState(&linkpb.State{StoreFailing: true}, time.Now())
			}
		}
	}
	assert.Equal(t, 6, countInSubset(sets, 3))
}

// Guards against a node that never reads the addresses of others again after it has lost a link.
func TestUnlinkedNodeIsReported(t *testing.T) {
	s := fleet(2)[0]
	assert.False(t, s.AnyUnlinkedFor(0))
	s.peers["10.0.0.1:1"].server.setClient(nil)
	assert.False(t, s.AnyUnlinkedFor(time.Minute))
	assert.True(t, s.AnyUnlinkedFor(0))
}

// Guards against using the knee of servers of another service or with another number of slots.
func TestKneeIsTheLowestReportedForTheSameKind(t *testing.T) {
	s := fleet(5)[0]
	state := func(i int, service string, slots, knee uint32) {
		known := s.peers[fmt.Sprintf("10.0.0.%d:1", i)].server
		known.setState(&linkpb.State{Service: service, Slots: slots, Knee: knee}, time.Now())
	}
	state(1, "quotes", 17, 0)
	state(2, "quotes", 9, 5)
	state(3, "crews", 17, 3)
	assert.Zero(t, s.Knee("quotes", 17))
	state(1, "quotes", 17, 14)
	state(4, "quotes", 17, 13)
	assert.Equal(t, 13, s.Knee("quotes", 17))
}

// Guards against nodes that start together and do not know each other for 15 s: one introduced itself while the other read
// an older list, and was removed as neither listed nor linked.
func TestNodeAddedWhileTheListIsReadIsKept(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := New(ctx, Config{Hello: &linkpb.Hello{Address: "10.0.0.1:1"}})
	readAt := time.Now()
	s.Add("127.0.0.1:1") // nobody listens there
	s.Retain(nil, readAt)
	known, _ := s.Linked()
	assert.Equal(t, 1, known)
	s.Retain(nil, time.Now())
	known, _ = s.Linked()
	assert.Zero(t, known, "neither listed nor linked")
}

// Guards against an answer of the server beside the node that is in no memory budget until its caller has read it, and against one that
// needs its memory twice.
func TestLocalAnswerTakesItsMemoryOnce(t *testing.T) {
	const limit, body = 1 << 20, 700 << 10
	memory := membudget.New(limit)
	s := New(t.Context(), Config{
		Hello: &linkpb.Hello{Address: "10.0.0.1:1"}, Memory: memory,
		Serve: func(_ context.Context, _ *linkpb.Call, reply func(*linkpb.Frame)) {
			reservation := memory.Reserve()
			defer reservation.Release()
			if reservation.Grow(body) == nil {
				reply(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: &linkpb.Answer{Body: make([]byte, body)}}})
			}
		},
	})
	result, err := s.Send(t.Context(), s.local, &linkpb.Call{}, func() bool { return false })
	require.NoError(t, err)
	assert.Len(t, result.GetAnswer().GetBody(), body)
	assert.EqualValues(t, body, memory.Held())
	result.Release()
	assert.Zero(t, memory.Held())
}
