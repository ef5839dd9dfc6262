// Package subset chooses the servers of a service that a node sends calls to. Every link to a peer takes memory at both
// nodes, and a large service has more servers than a node needs for a good choice.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/radishstand/radishstand/node/process/balance"
)

// awayShare is the part of the limit, as a divisor, that is kept for servers of other places. Calls can spill over to
// servers of the subset only.
const awayShare = 4

// Node is the node that chooses.
type Node struct {
	ID    string
	Place string
}

// Choose returns at most limit servers, or all when limit is zero. The order of preference is: the server beside the node,
// servers of its place, servers of other places, and those that are draining; within each, the rendezvous weight of node and
// server. So nodes choose differently, and a change of the servers changes few choices.
func (n Node) Choose(servers []balance.Server, limit int) []balance.Server {
	if limit <= 0 || len(servers) <= limit {
		return servers
	}
	ranked := make([]candidate, len(servers))
	count := map[class]int{}
	for i, s := range servers {
		ranked[i] = n.candidate(s)
		count[ranked[i].class]++
	}
	slices.SortFunc(ranked, candidate.compare)
	inPlace := count[own] + count[near]
	taken := min(inPlace, limit-min(limit/awayShare, count[away]))
	chosen := make([]balance.Server, 0, limit)
	for _, c := range slices.Concat(ranked[:taken], ranked[inPlace:])[:limit] {
		chosen = append(chosen, c.server)
	}
	return chosen
}

// class is the preference of a server; lower ones come first.
type class int

const (
	own class = iota
	near
	away
	draining
)

type candidate struct {
	server balance.Server
	class  class
	weight uint64
}

func (n Node) candidate(s balance.Server) candidate {
	c := candidate{server: s, class: away, weight: xxhash.Sum64String(n.ID + "\x00" + s.ID)}
	switch {
	case s.Draining:
		c.class = draining
	case s.NodeID == n.ID:
		c.class = own
	case s.Place == n.Place:
		c.class = near
	}
	return c
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.class, other.class), cmp.Compare(other.weight, c.weight), cmp.Compare(c.server.ID, other.server.ID))
}
