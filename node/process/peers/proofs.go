package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// proofSources is the number of nodes that all nodes ask first for a proof of freshness. Those nodes poll the store often.
	proofSources = 3
	// maxDirectAskers is the number of linked nodes up to which all nodes ask them. In larger fleets, a node asks proofSources nodes of its
	// own place, and only these ask the nodes that poll often.
	maxDirectAskers = 256
)

// observeProof handles a proof of freshness that another node has passed on.
func (p *Set) observeProof(s *Server, version uint64, at time.Duration) {
	s.mu.Lock()
	s.proofAt = max(s.proofAt, at)
	s.mu.Unlock()
	p.config.Proof(version, at)
}

// AskForProof pings linked nodes, whose answers hold their proof of freshness. It always pings the first node in the order of
// orderSources, and count of the others from position first on, cyclically.
func (p *Set) AskForProof(first, count int) {
	sources := orderSources(p.linkedSources(), xxhash.Sum64String(p.config.Hello.Address))
	if len(sources) == 0 {
		return
	}
	sources[0].askForProof()
	others := sources[1:]
	for i := range min(count, len(others)) {
		others[(first+i)%len(others)].askForProof()
	}
}

// askForProof pings the node if it is linked. It does not wait for a link that is busy.
func (s *Server) askForProof() {
	if client := s.currentClient(); client != nil {
		go client.Ask()
	}
}

// proofSource is a linked node as a source of proofs.
type proofSource struct {
	server *Server
	// hash is that of the node's address.
	hash         uint64
	proofAt      time.Duration
	samePlace    bool
	reachesStore bool
}

// orderSources returns the nodes in the order in which the node with ownHash asks them: the one from which the latest proof came, then the
// preferred ones and the others. Preferred are nodes that reach the store; in fleets above maxDirectAskers, unless this node is one of
// those that its place asks, the nodes of its place instead. The order of the others matters to a node that is linked to no node that
// polls.
func orderSources(sources []proofSource, ownHash uint64) []*Server {
	slices.SortFunc(sources, func(a, b proofSource) int { return cmp.Compare(a.hash, b.hash) })
	preferred := func(s proofSource) bool { return s.reachesStore }
	if len(sources) > maxDirectAskers && !leadsPlace(sources, ownHash) {
		preferred = func(s proofSource) bool { return s.samePlace }
	}
	slices.SortStableFunc(sources, func(a, b proofSource) int { return boolFirst(preferred(a), preferred(b)) })
	if len(sources) > proofSources { // each node asks the others in its own order, so that no node is asked by all
		others := sources[proofSources:]
		i := slices.IndexFunc(others, func(s proofSource) bool { return s.hash > ownHash })
		if i > 0 {
			copy(others, slices.Concat(others[i:], others[:i]))
		}
	}
	ordered := make([]*Server, 0, len(sources)+1)
	if len(sources) > 0 {
		latest := slices.MaxFunc(sources, func(a, b proofSource) int { return cmp.Compare(a.proofAt, b.proofAt) })
		if latest.proofAt > 0 {
			ordered = append(ordered, latest.server)
		}
	}
	for _, s := range sources {
		if len(ordered) == 0 || s.server != ordered[0] {
			ordered = append(ordered, s.server)
		}
	}
	return ordered
}

// leadsPlace reports whether the node with a hash is one of those that the others of its place ask. The sources are in the order of
// their hashes.
func leadsPlace(sources []proofSource, hash uint64) bool {
	before := 0
	for _, s := range sources {
		if s.samePlace && s.hash < hash {
			before++
		}
	}
	return before < proofSources
}

func boolFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// linkedSources returns the linked nodes in no particular order.
func (p *Set) linkedSources() []proofSource {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var sources []proofSource
	for address, known := range p.peers {
		s := known.server
		s.mu.Lock()
		if s.client != nil {
			sources = append(sources, proofSource{
				server: s, hash: xxhash.Sum64String(address), proofAt: s.proofAt,
				samePlace: s.state.GetPlace() == p.config.Hello.Place, reachesStore: !s.state.GetStoreFailing(),
			})
		}
		s.mu.Unlock()
	}
	return sources
}
