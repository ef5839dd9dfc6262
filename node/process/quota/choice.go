package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that may own quotas.
type Node struct {
	Address string
	// CPUMillis is the node's share of a core in thousandths; 0 if unknown.
	CPUMillis int
}

// ownerCandidates returns the addresses of the ownerCount nodes with the largest processor shares, and of those with equal shares
// the ones with the lowest address hashes.
func ownerCandidates(nodes []Node) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.CPUMillis, a.CPUMillis), cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)))
	})
	addresses := make([]string, 0, ownerCount)
	for _, n := range sorted[:min(ownerCount, len(sorted))] {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// ownerOf chooses the owner of a team by rendezvous hashing; empty without candidates.
func ownerOf(team string, candidates []string) string {
	var owner string
	var highest uint64
	for _, address := range candidates {
		if hash := xxhash.Sum64String(team + "\x00" + address); owner == "" || hash > highest {
			owner, highest = address, hash
		}
	}
	return owner
}
