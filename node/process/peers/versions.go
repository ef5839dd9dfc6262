package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/connection/link"
)

const (
	// routingRequestDelay is the time to wait for a version from the store before it is requested from a node that has it, and
	// for the answer of that node before another one is asked.
	routingRequestDelay = 400 * time.Millisecond
	// maxVersionSources bounds the nodes that are asked for a version.
	maxVersionSources = 8
	// silentLinkTime is the time without a frame from a node after which nodes that have sent one since are asked first.
	silentLinkTime = time.Second
	// missingVersionTimeout bounds the time for which the store is asked for a version that no linked node has. The nodes that had it may
	// have ended.
	missingVersionTimeout = 15 * time.Second
)

// versionSource is a node that has reported a newer routing version than this node's.
type versionSource struct {
	server *Server
	number uint64
	// asked is the number of requests to the node since it was added.
	asked int
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

// next returns the link to the node to ask for a version above current. Nodes without a link are removed: when they are linked again they
// report their version.
func (v *versionSources) next(current uint64, place string) (*Server, *link.Client) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sources = slices.DeleteFunc(v.sources, func(s versionSource) bool {
		return s.number <= current || s.server.currentClient() == nil
	})
	if len(v.sources) == 0 {
		return nil, nil
	}
	best := slices.MinFunc(v.sources, func(a, b versionSource) int { return compareSources(a, b, place) })
	i := slices.IndexFunc(v.sources, func(s versionSource) bool { return s.server == best.server })
	v.sources[i].asked++
	return best.server, best.server.currentClient()
}

// compareSources orders nodes by the requests so far; then those come first from which a frame has arrived lately, and then those in the
// given place.
func compareSources(a, b versionSource, place string) int {
	if a.asked != b.asked {
		return cmp.Compare(a.asked, b.asked)
	}
	if order := boolFirst(a.server.heardLately(), b.server.heardLately()); order != 0 {
		return order
	}
	return boolFirst(a.server.place() == place, b.server.place() == place)
}

// finish records that no further request is scheduled. It does nothing and returns false if a node has reported a version above current.
func (v *versionSources) finish(current uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.ContainsFunc(v.sources, func(s versionSource) bool { return s.number > current }) {
		return false
	}
	v.pending, v.sources = false, nil
	return true
}

// heardLately reports whether the node is linked and has sent a frame within silentLinkTime.
func (s *Server) heardLately() bool {
	client := s.currentClient()
	return client != nil && client.SilentFor() < silentLinkTime
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

// requestRouting requests the routing version from a linked node that has a newer one, and does so again until a newer one is here. The
// links to all these nodes may be dead although they have reported their versions on others, so VersionMissing is called each time.
func (p *Set) requestRouting() {
	since := p.newestVersion.behindSince(p.config.LocalVersion())
	s, client := p.versions.next(p.config.LocalVersion(), p.config.Hello.Place)
	done := since.IsZero() || client == nil && time.Since(since) > missingVersionTimeout
	if done && p.versions.finish(p.config.LocalVersion()) {
		return
	}
	if !since.IsZero() && p.config.VersionMissing != nil {
		p.config.VersionMissing(since)
	}
	if client != nil {
		p.config.Log.Info("routing version requested", "peer", s.address, "silentMs", client.SilentFor().Milliseconds(),
			"behindMs", p.BehindBy().Milliseconds())
		go client.RequestRouting() // the write waits while the other node does not read
	}
	time.AfterFunc(routingRequestDelay, p.requestRouting)
}

// place returns the place of the server's node, or "" while it is not known.
func (s *Server) place() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.GetPlace()
}
