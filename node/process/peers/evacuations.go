package peers

import (
	"math/rand/v2"

	"github.com/radishstand/radishstand/api/linkpb"
)

// evacuationFanout is the number of nodes that reach the store to which a node forwards a new set of evacuated places.
const evacuationFanout = 3

// SetEvacuated sets the evacuated places. Pick chooses no server there.
func (p *Set) SetEvacuated(places []string) {
	evacuated := make(map[string]bool, len(places))
	for _, place := range places {
		evacuated[place] = true
	}
	p.evacuated.Store(&evacuated)
}

// isEvacuated reports whether the place of a server is evacuated.
func (p *Set) isEvacuated(s *Server) bool {
	evacuated := p.evacuated.Load()
	return evacuated != nil && len(*evacuated) > 0 && (*evacuated)[s.place()]
}

// ForwardEvacuations sends the set of evacuated places to all linked nodes whose calls to the store fail, and to evacuationFanout others,
// since their polls of the store may fail too.
func (p *Set) ForwardEvacuations() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var others []*Server
	for _, known := range p.peers {
		switch {
		case !known.server.linked():
		case known.server.reachesStore():
			others = append(others, known.server)
		default:
			go known.server.session.SendEvacuations()
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, s := range others[:min(len(others), evacuationFanout)] {
		go s.session.SendEvacuations()
	}
}

// observeStore handles what the state of another node says about the store. A node that no longer reaches it gets the set of evacuated
// places, since this node may have a newer one.
func (p *Set) observeStore(s *Server, state *linkpb.State, reachedBefore, reachesNow bool) {
	if reachedBefore && !reachesNow {
		go s.session.SendEvacuations()
	}
	if p.config.StoreEra != nil && state.StoreEra > 0 {
		p.config.StoreEra(s.address, state.StoreEra)
	}
}
