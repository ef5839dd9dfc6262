package peers

import (
	"slices"
	"sync"
	"time"
)

const (
	// routingRequestDelay is the time to wait for a version from the store before it is requested from a node that has it, and
	// for the answer of that node before another one is asked.
	routingRequestDelay = 400 * time.Millisecond
	// maxVersionSources bounds the nodes that are asked for a version.
	maxVersionSources = 8
)

// versionSource is a node that has reported a newer routing version than this node's.
type versionSource struct {
	server *Server
	number uint64
}

// versionSources holds the nodes from which a newer routing version can be requested. It is safe for concurrent use.
type versionSources struct {
	mu      sync.Mutex
	sources []versionSource
	// pending is set while a request is scheduled.
	pending bool
}

// add adds a node and reports whether a request must be scheduled.
func (v *versionSources) add(s *Server, number uint64) (schedule bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.sources, func(known versionSource) bool { return known.server == s })
	switch {
	case i >= 0:
		v.sources[i].number = max(v.sources[i].number, number)
	case len(v.sources) < maxVersionSources:
		v.sources = append(v.sources, versionSource{server: s, number: number})
	}
	schedule = !v.pending
	v.pending = true
	return schedule
}

// next removes and returns the node to ask for a version above current: one in the given place, if there is one. It returns nil
// when there is none to ask; no request is scheduled then.
func (v *versionSources) next(current uint64, place string) *Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sources = slices.DeleteFunc(v.sources, func(s versionSource) bool { return s.number <= current })
	if len(v.sources) == 0 {
		v.pending = false
		return nil
	}
	i := max(slices.IndexFunc(v.sources, func(s versionSource) bool { return s.server.place() == place }), 0)
	s := v.sources[i].server
	v.sources = slices.Delete(v.sources, i, i+1)
	return s
}

// ObserveVersion handles the number of the routing version of the node at an address.
func (p *Set) ObserveVersion(address string, number uint64) {
	current := p.config.LocalVersion()
	if number <= current { // the usual case needs no lock
		return
	}
	p.newestVersion.record(number, current, time.Now())
	p.mu.RLock()
	known := p.peers[address]
	p.mu.RUnlock()
	if known != nil {
		p.observeVersion(known.server, number)
	}
}

// observeVersion handles the number of the routing version of another node. A newer version is requested from the nodes that have
// reported it, one after the other, when the store has not delivered it within routingRequestDelay.
func (p *Set) observeVersion(s *Server, number uint64) {
	current := p.config.LocalVersion()
	if number <= current {
		return
	}
	p.newestVersion.record(number, current, time.Now())
	if !p.versions.add(s, number) {
		return
	}
	p.config.Log.Info("peer has a newer routing version", "peer", s.address, "version", number, "current", current)
	time.AfterFunc(routingRequestDelay, p.requestRouting)
}

// requestRouting requests the routing version from the next linked node that has a newer one. A node without a link is passed
// over: when it is linked again it reports its version. The link to the node may be dead although the node has reported its version on
// another one, so VersionMissing is called too.
func (p *Set) requestRouting() {
	since := p.newestVersion.behindSince(p.config.LocalVersion())
	if !since.IsZero() && p.config.VersionMissing != nil {
		p.config.VersionMissing(since)
	}
	for {
		s := p.versions.next(p.config.LocalVersion(), p.config.Hello.Place)
		if s == nil {
			return
		}
		if client := s.currentClient(); client != nil {
			p.config.Log.Info("routing version requested", "peer", s.address, "silentMs", client.SilentFor().Milliseconds(),
				"behindMs", p.BehindBy().Milliseconds())
			client.RequestRouting()
			time.AfterFunc(routingRequestDelay, p.requestRouting)
			return
		}
	}
}

// place returns the place of the server's node, or "" while it is not known.
func (s *Server) place() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.GetPlace()
}
