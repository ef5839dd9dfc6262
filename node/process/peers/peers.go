// Package peers maintains links to all other known nodes and the reported state of their backend servers.
//
// The store holds only the nodes' addresses. The link shows whether a node is alive and whether its server accepts calls:
// the other node reports a change of its server's state at once, and the server becomes unusable when the link ends.
package peers

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/choice"
)

// crossPlaceRoundTrip is the round-trip time between two places that the choice of a server assumes.
const crossPlaceRoundTrip = 3 * time.Millisecond

// ErrNoServer means that no server of the service accepts calls.
var ErrNoServer = errors.New("no server available")

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
	Warn(message any, keyvals ...any)
}

// Config configures a Set.
type Config struct {
	// Hello introduces this node to others.
	Hello *linkpb.Hello
	// Serve runs a call at the server beside this node and passes the frame that ends it to reply.
	Serve func(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame))
	// LocalVersion returns the number of the current routing version.
	LocalVersion func() uint64
	// Routing handles the document of a routing version from the node at an address.
	Routing func(peer string, document []byte)
	// Dial opens the connection to the node at an address; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// QuotaReply handles a quota reply from the node at an address; nil if no quota requests are sent.
	QuotaReply func(peer string, r *linkpb.QuotaReply)
	// VersionMissing is called when a newer version, which another node has reported, has not arrived within routingRequestDelay, and after
	// each further such time; since is when the first such version was reported. It must not block. It may be nil.
	VersionMissing func(since time.Time)
	// PollersChanged is called when the result of InSubset may have changed. It must not block.
	PollersChanged func()
	// Proof handles a proof of freshness from another node: the routing version was the newest one at the time, by the boot clock.
	Proof func(version uint64, at time.Duration)
	// Evacuations exchanges the set of evacuated places with other nodes.
	Evacuations link.EvacuationExchange
	// StoreEra is called with the era of the store that the node at an address reports. It must not block. It may be nil.
	StoreEra func(peer string, era uint64)
	// Egress sends large frames in pieces; nil if they are sent in one piece.
	Egress *link.Egress
	// Leaving decides which calls leave this place; nil if choice.Pick always chooses among all servers.
	Leaving *Leaving
	// Memory bounds the bytes of frames that are being received.
	Memory *membudget.Budget
	Log    Log
}

// Set is the set of nodes that this node knows. It is safe for concurrent use.
type Set struct {
	config        Config
	ctx           context.Context
	local         *Server
	versions      versionSources
	newestVersion newestVersion
	// evacuated holds the evacuated places; nil if there has been none.
	evacuated atomic.Pointer[map[string]bool]

	mu    sync.RWMutex
	peers map[string]*peer
}

type peer struct {
	server *Server
	cancel context.CancelFunc
}

// New returns a Set that keeps links until ctx ends.
func New(ctx context.Context, c Config) *Set {
	return &Set{config: c, ctx: ctx, local: &Server{}, peers: map[string]*peer{}}
}

// SetLocal sets the state of the server beside this node.
func (p *Set) SetLocal(state *linkpb.State) { p.local.setState(state, time.Now()) }

// Add adds a node and starts linking to it. It ignores known nodes and this node itself.
func (p *Set) Add(address string) {
	if address == p.config.Hello.Address || address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	s := &Server{address: address, lostAt: time.Now()}
	s.session = p.newSession(s)
	p.peers[address] = &peer{server: s, cancel: cancel}
	go p.keepLinked(ctx, s)
}

// Retain removes the nodes that are not listed and were not linked when the list was read. A node that was added after that
// is kept, since it may not be listed yet.
func (p *Set) Retain(addresses []string, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.peers {
		if !slices.Contains(addresses, address) && known.server.unlinkedSince(readAt) {
			known.cancel()
			delete(p.peers, address)
		}
	}
}

func (s *Server) linked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client != nil
}

// reachesStore reports whether the node is linked and its calls to the store do not fail.
func (s *Server) reachesStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client != nil && !s.state.GetStoreFailing()
}

// AnyUnlinkedFor reports whether any known node has not been linked for longer than d.
func (p *Set) AnyUnlinkedFor(d time.Duration) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	since := time.Now().Add(-d)
	for _, known := range p.peers {
		if known.server.unlinkedSince(since) {
			return true
		}
	}
	return false
}

// unlinkedSince reports whether the node has not been linked since the given time.
func (s *Server) unlinkedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client == nil && s.lostAt.Before(since)
}

// logState logs a new state of another node's server.
func (p *Set) logState(address string, state *linkpb.State) {
	p.config.Log.Info("peer state", "peer", address, "service", state.Service, "server", state.ServerId, "ready", state.Ready)
}

// Linked returns the number of known nodes and of those that are linked.
func (p *Set) Linked() (known, linked int) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, peer := range p.peers {
		if peer.server.linked() {
			linked++
		}
	}
	return len(p.peers), linked
}

// maxSubsetFactor bounds the subset of InSubset, in multiples of its size, while nodes in it do not reach the store: in an outage for
// all, not every node must call the store.
const maxSubsetFactor = 2

// InSubset reports whether this node is one of the size nodes with the lowest address hashes among this node and its linked
// peers whose calls to the store succeed, and one of the maxSubsetFactor*size nodes with the lowest hashes among all linked ones. Nodes
// with the same links select the same subset, and a node whose own calls fail may be in it besides. A node without links is always
// in it.
func (p *Set) InSubset(size int) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	own := xxhash.Sum64String(p.config.Hello.Address)
	linked, reachStore := 0, 0
	for address, known := range p.peers {
		if xxhash.Sum64String(address) >= own || !known.server.linked() {
			continue
		}
		linked++
		if known.server.reachesStore() {
			reachStore++
		}
	}
	return reachStore < size && linked < maxSubsetFactor*size
}

// servers returns the servers that accept calls for a service.
func (p *Set) servers(service string) []*Server {
	now := time.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var usable []*Server
	if p.local.usable(service, now) && !p.isEvacuated(p.local) {
		usable = append(usable, p.local)
	}
	for _, known := range p.peers {
		if known.server.usable(service, now) && !p.isEvacuated(known.server) {
			usable = append(usable, known.server)
		}
	}
	return usable
}

// Knee returns the lowest knee that linked nodes report for servers of a service with a number of slots, or 0 when none
// reports one. The knee is the number of calls in progress above which throughput falls.
func (p *Set) Knee(service string, slots int) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	lowest := 0
	for _, known := range p.peers {
		if knee := known.server.knee(service, slots); knee > 0 && (lowest == 0 || knee < lowest) {
			lowest = knee
		}
	}
	return lowest
}

func (s *Server) knee(service string, slots int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.GetService() != service || int(s.state.GetSlots()) != slots {
		return 0
	}
	return int(s.state.GetKnee())
}

// Available reports whether any server accepts calls for a service.
func (p *Set) Available(service string) bool { return len(p.servers(service)) > 0 }

// PickResult is the server that was chosen for an attempt.
type PickResult struct {
	Server *Server
	// OthersInPlace and Others are the numbers of other servers that have not refused the call, in this place and in all.
	OthersInPlace int
	Others        int
	// Redirect is the expected wait above which the server should redirect the call; 0 if the number of others decides.
	Redirect time.Duration
}

// Pick chooses a server of a service. Servers in exclude are never chosen; those in refused come last.
func (p *Set) Pick(service string, call choice.Call, exclude, refused []*Server) (PickResult, error) {
	usable, candidates := p.candidates(service, exclude, refused)
	if len(usable) == 0 {
		return PickResult{}, ErrNoServer
	}
	if p.config.Leaving.active() {
		call.Service = service
		return resultOfLeaving(usable, candidates, p.config.Leaving.Leaver.Pick(candidates, call)), nil
	}
	return resultOf(usable, candidates, choice.Pick(candidates, call)), nil
}

// candidates returns the servers that may be chosen, and for each what package choice needs to know.
func (p *Set) candidates(service string, exclude, refused []*Server) ([]*Server, []choice.Candidate) {
	now := time.Now()
	servers := slices.DeleteFunc(p.servers(service), func(s *Server) bool { return slices.Contains(exclude, s) })
	candidates := make([]choice.Candidate, 0, len(servers))
	usable := servers[:0]
	for _, s := range servers {
		c, ok := s.candidate(service, p.config.Hello.Place, now)
		if !ok {
			continue // its state has changed meanwhile
		}
		c.Refused = slices.Contains(refused, s)
		usable = append(usable, s)
		candidates = append(candidates, c)
	}
	if p.config.Leaving.active() {
		useMeasuredRoundTrips(usable, candidates)
	}
	return usable, candidates
}

// resultOf returns the result for the candidate with index i.
func resultOf(usable []*Server, candidates []choice.Candidate, i int) PickResult {
	picked := PickResult{Server: usable[i]}
	for j, c := range candidates {
		if j == i || c.Refused {
			continue
		}
		picked.Others++
		if c.SamePlace {
			picked.OthersInPlace++
		}
	}
	return picked
}

// Send sends a call to a server and returns the frame that ends it. If the link breaks and wait returns true, the call waits for
// the next link to the server's node. The error is a *link.NotSentError when the call did not leave this node.
// The result must be released.
func (p *Set) Send(ctx context.Context, s *Server, call *linkpb.Call, wait func() bool) (*link.Result, error) {
	client := s.beginSend(call)
	f, err := p.transmit(ctx, s, client, call, wait)
	p.countLeaving(s, call, f, err)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	s.setLoad(f.GetAnswer().GetLoad(), now)
	s.setLoad(f.GetRefusal().GetLoad(), now)
	s.recordLeaving(f.GetAnswer().GetLeaving(), now)
	s.recordLeaving(f.GetRefusal().GetLeaving(), now)
	if f.GetRefusal().GetReason() == linkpb.Refusal_REASON_NO_SERVER {
		s.exclude(call.ServerId)
	}
	return f, nil
}

func (p *Set) transmit(
	ctx context.Context, s *Server, client *link.Client, call *linkpb.Call, wait func() bool,
) (*link.Result, error) {
	if s.address == "" {
		return p.serveLocally(ctx, call)
	}
	if client == nil {
		return nil, &link.NotSentError{Cause: link.ErrClosed}
	}
	return s.session.Do(ctx, client, call, wait)
}

// exclude excludes the server for noServerExclusion, until its node has reported whether it accepts calls.
func (s *Server) exclude(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.GetServerId() == id && s.address != "" {
		s.excludedUntil = time.Now().Add(noServerExclusion)
	}
}

// Address returns the address of the server's node, or "local".
func (s *Server) Address() string {
	if s.address == "" {
		return "local"
	}
	return s.address
}
