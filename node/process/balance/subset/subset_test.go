package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/balance"
)

// service returns servers in turn at the places a, b and c.
func service(n int) []balance.Server {
	var servers []balance.Server
	for i := range n {
		id := fmt.Sprintf("10.0.0.%d:7000", i)
		servers = append(servers, balance.Server{ID: id + "/1", NodeID: id, Place: string(rune('a' + i%3))})
	}
	return servers
}

func ids(servers []balance.Server) []string {
	var ids []string
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// Guards against a subset that leaves out the server beside the node, all servers of other places, or uses draining ones
// while others are left.
func TestChoose(t *testing.T) {
	drained := service(12)
	for i := range 8 {
		drained[i].Draining = true
	}
	single := service(30)
	for i := range single[1:] {
		single[i].Place = "a"
	}
	cases := map[string]struct {
		servers          []balance.Server
		limit            int
		near, away, gone int
	}{
		"no limit keeps all":                        {servers: service(9), near: 3, away: 6},
		"a limit above the size keeps all":          {servers: service(9), limit: 9, near: 3, away: 6},
		"the place comes first":                     {servers: service(9), limit: 4, near: 3, away: 1},
		"a quarter stays for other places":          {servers: service(60), limit: 8, near: 6, away: 2},
		"one server elsewhere leaves room":          {servers: single, limit: 8, near: 7, away: 1},
		"draining servers come last":                {servers: drained, limit: 3, near: 1, away: 2},
		"draining servers fill a service that ends": {servers: drained, limit: 6, near: 1, away: 3, gone: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near, away, gone := 0, 0, 0
			for _, s := range (Node{ID: "10.0.0.0:7000", Place: "a"}).Choose(c.servers, c.limit) {
				switch {
				case s.Draining:
					gone++
				case s.Place == "a":
					near++
				default:
					away++
				}
			}
			require.Equal(t, []int{c.near, c.away, c.gone}, []int{near, away, gone})
		})
	}
	chosen := Node{ID: "10.0.0.9:7000", Place: "a"}.Choose(service(60), 4)
	require.Equal(t, "10.0.0.9:7000/1", chosen[0].ID, "the server beside the node")
}

// Guards against a change of one server that closes many links, and against servers that hardly any node chooses.
func TestChoicesAreStableAndSpread(t *testing.T) {
	const nodes, limit = 300, 8
	before, after := service(60), service(61)
	changed, chosenBy := 0, map[string]int{}
	for i := range nodes {
		n := Node{ID: fmt.Sprintf("10.1.0.%d:7000", i), Place: string(rune('a' + i%3))}
		old := ids(n.Choose(before, limit))
		for _, id := range old {
			chosenBy[id]++
		}
		for _, id := range ids(n.Choose(after, limit)) {
			if !slices.Contains(old, id) {
				changed++
			}
		}
	}
	require.Len(t, chosenBy, 60)
	for id, n := range chosenBy {
		require.InDelta(t, nodes*limit/60, n, nodes*limit/60*0.6, id)
	}
	require.LessOrEqual(t, changed, 2*nodes*limit/61, "only the new server is new to a node, and only where it is chosen")
}
