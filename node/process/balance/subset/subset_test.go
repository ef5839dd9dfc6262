package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/process/balance"
)

// service returns n servers, distributed in turn over the places a, b and c.
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

// Guards against a subset that omits the server beside the node or all servers of other places, or that contains draining
// servers while others are available.
func TestChoose(t *testing.T) {
	mostlyDraining := service(12)
	for i := range 8 {
		mostlyDraining[i].Draining = true
	}
	oneElsewhere := service(30)
	for i := range oneElsewhere[1:] {
		oneElsewhere[i].Place = "a"
	}
	cases := map[string]struct {
		servers                         []balance.Server
		limit                           int
		samePlace, otherPlace, draining int
	}{
		"no limit keeps all":                          {servers: service(9), samePlace: 3, otherPlace: 6},
		"a limit above the size keeps all":            {servers: service(9), limit: 9, samePlace: 3, otherPlace: 6},
		"servers of the same place are preferred":     {servers: service(9), limit: 4, samePlace: 3, otherPlace: 1},
		"a quarter is reserved for other places":      {servers: service(60), limit: 8, samePlace: 6, otherPlace: 2},
		"unused reserved capacity is used":            {servers: oneElsewhere, limit: 8, samePlace: 7, otherPlace: 1},
		"draining servers come last":                  {servers: mostlyDraining, limit: 3, samePlace: 1, otherPlace: 2},
		"draining servers are used if too few others": {servers: mostlyDraining, limit: 6, samePlace: 1, otherPlace: 3, draining: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			samePlace, otherPlace, draining := 0, 0, 0
			for _, s := range (Node{ID: "10.0.0.0:7000", Place: "a"}).Choose(c.servers, c.limit) {
				switch {
				case s.Draining:
					draining++
				case s.Place == "a":
					samePlace++
				default:
					otherPlace++
				}
			}
			require.Equal(t, []int{c.samePlace, c.otherPlace, c.draining}, []int{samePlace, otherPlace, draining})
		})
	}
	chosen := Node{ID: "10.0.0.9:7000", Place: "a"}.Choose(service(60), 4)
	require.Equal(t, "10.0.0.9:7000/1", chosen[0].ID, "the server beside the node")
}

// Guards against a change of one server that closes many links, and against servers that too few nodes choose.
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
