// Package subset chooses the subset of the servers of a service that a node sends calls to. Every link to a peer uses
// memory at both nodes, and a large service has more servers than a node needs for good load balancing.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/radishstand/radishstand/node/process/balance"
)

// otherPlaceDivisor sets the part of the limit that is reserved for servers of other places: limit / otherPlaceDivisor.
// Calls can spill over only to servers of the subset.
const otherPlaceDivisor = 4

// Node identifies the node that a subset is chosen for.
type Node struct {
	ID    string
	Place string
}

// Choose returns at most limit servers, or all when limit is zero. The order of preference is: the server beside the node,
// servers of its place, servers of other places, and draining servers; within each of these groups, servers are ordered by
// rendezvous hashing of node and server. So different nodes choose different servers, and a change of the servers changes
// few subsets. A part of the limit is reserved for servers of other places (see otherPlaceDivisor).
func (n Node) Choose(servers []balance.Server, limit int) []balance.Server {
	if limit <= 0 || len(servers) <= limit {
		return servers
	}
	ranked := make([]candidate, len(servers))
	count := map[preference]int{}
	for i, s := range servers {
		ranked[i] = n.candidate(s)
		count[ranked[i].preference]++
	}
	slices.SortFunc(ranked, candidate.compare)
	inSamePlace := count[sameNode] + count[samePlace]
	fromSamePlace := min(inSamePlace, limit-min(limit/otherPlaceDivisor, count[otherPlace]))
	chosen := make([]balance.Server, 0, limit)
	for _, c := range slices.Concat(ranked[:fromSamePlace], ranked[inSamePlace:])[:limit] {
		chosen = append(chosen, c.server)
	}
	return chosen
}

// preference is the group that a server belongs to; lower values are preferred.
type preference int

const (
	sameNode preference = iota
	samePlace
	otherPlace
	draining
)

type candidate struct {
	server     balance.Server
	preference preference
	weight     uint64
}

func (n Node) candidate(s balance.Server) candidate {
	c := candidate{server: s, preference: otherPlace, weight: xxhash.Sum64String(n.ID + "\x00" + s.ID)}
	switch {
	case s.Draining:
		c.preference = draining
	case s.NodeID == n.ID:
		c.preference = sameNode
	case s.Place == n.Place:
		c.preference = samePlace
	}
	return c
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.preference, other.preference), cmp.Compare(other.weight, c.weight), cmp.Compare(c.server.ID, other.server.ID))
}
