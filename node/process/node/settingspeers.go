package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/version/distribution"
	"github.com/radishstand/radishstand/node/version/inforce"
)

// settingsPeers implements distribution.Peers over the membership.
type settingsPeers struct {
	fleet *fleet
	// live caches the addresses of the other live members for one generation of the membership.
	live atomic.Pointer[liveMembers]
}

// liveMembers holds the addresses of the live members without this node. ownPlace is sorted and forms the ring of the place.
type liveMembers struct {
	generation uint64
	ownPlace   []string
	allPlaces  []string
}

func (p *settingsPeers) liveMembers() *liveMembers {
	generation := p.fleet.members.Generation()
	if cached := p.live.Load(); cached != nil && cached.generation == generation {
		return cached
	}
	l := &liveMembers{generation: generation}
	for m := range p.fleet.members.Members() {
		if !m.State.Live() || m.Address == p.fleet.node.id {
			continue
		}
		l.allPlaces = append(l.allPlaces, m.Address)
		if m.Place == p.fleet.node.config.Place {
			l.ownPlace = append(l.ownPlace, m.Address)
		}
	}
	slices.Sort(l.ownPlace)
	p.live.Store(l)
	return l
}

// Successors implements distribution.Peers.
func (p *settingsPeers) Successors(n int) []string {
	ring := p.liveMembers().ownPlace
	n = min(n, len(ring))
	start, _ := slices.BinarySearch(ring, p.fleet.node.id)
	next := make([]string, 0, n)
	for i := range n {
		next = append(next, ring[(start+i)%len(ring)])
	}
	return next
}

// Sample implements distribution.Peers.
func (p *settingsPeers) Sample(n int, scope distribution.Scope) []string {
	members := p.liveMembers()
	from := members.allPlaces
	if scope == distribution.OtherPlaces {
		return sample(p.otherPlaces(), n)
	}
	if scope == distribution.OwnPlace && len(members.ownPlace) > 0 {
		from = members.ownPlace
	}
	if len(from) == 0 {
		// No member is known yet; the configured peers may have the settings.
		from = p.fleet.node.config.Peers
	}
	return sample(from, n)
}

// sample returns at most n distinct addresses.
func sample(from []string, n int) []string {
	n = min(n, len(from))
	sample := make([]string, 0, n)
	start := rand.IntN(max(1, len(from)))
	for i := range n {
		// A stride from a random start gives distinct addresses without a copy of the list.
		sample = append(sample, from[(start+i*max(1, len(from)/max(1, n)))%len(from)])
	}
	return sample
}

// otherPlaces returns the live members of the reachable other places. The reachability of a place may change without a
// change of the members, so the list is not cached; it is needed once for each version that is read from the store.
func (p *settingsPeers) otherPlaces() []string {
	var others []string
	for m := range p.fleet.members.Members() {
		if m.State.Live() && m.Place != p.fleet.node.config.Place && p.fleet.members.PlaceReachable(m.Place) {
			others = append(others, m.Address)
		}
	}
	return others
}

// CountLive implements distribution.Peers.
func (p *settingsPeers) CountLive(except string) int {
	live := 0
	for m := range p.fleet.members.Members() {
		if m.State.Live() && m.Address != except && p.fleet.members.PlaceReachable(m.Place) {
			live++
		}
	}
	return live
}

// Announce implements distribution.Peers. The version is sent in a membership message that contains nothing else.
func (p *settingsPeers) Announce(ctx context.Context, peer string, version int64) error {
	client, err := p.fleet.node.pool.Client(peer)
	if err != nil {
		return err
	}
	_, err = client.Sync(ctx, &peerpb.SyncRequest{
		From: p.fleet.node.id, Place: p.fleet.node.config.Place, SettingsVersion: version,
	})
	return err
}

// Fetch implements distribution.Peers.
func (p *settingsPeers) Fetch(
	ctx context.Context, peer string, r *peerpb.FetchSettingsRequest,
) (*peerpb.FetchSettingsReply, error) {
	client, err := p.fleet.node.pool.Client(peer)
	if err != nil {
		return nil, err
	}
	if r.HoldVersion > 0 || r.Joining {
		r.From = p.fleet.node.id
	}
	return client.FetchSettings(ctx, r)
}

// OwnMembers implements inforce.Peers.
func (p *settingsPeers) OwnMembers() []string {
	others := p.liveMembers().ownPlace
	at, _ := slices.BinarySearch(others, p.fleet.node.id)
	return slices.Insert(slices.Clone(others), at, p.fleet.node.id)
}

// OtherMembers implements inforce.Peers.
func (p *settingsPeers) OtherMembers() map[string][]string {
	places := map[string][]string{}
	for m := range p.fleet.members.Members() {
		if m.State.Live() && m.Place != p.fleet.node.config.Place {
			places[m.Place] = append(places[m.Place], m.Address)
		}
	}
	for _, addresses := range places {
		slices.Sort(addresses)
	}
	return places
}

// Count implements inforce.Peers.
func (p *settingsPeers) Count(
	ctx context.Context, peer string, r *peerpb.CountInForceRequest,
) (*peerpb.CountInForceReply, error) {
	client, err := p.fleet.node.pool.Client(peer)
	if err != nil {
		return nil, err
	}
	return client.CountInForce(ctx, r)
}

// settingsServer handles requests of peers that fetch versions or count the nodes where a version is in force.
type settingsServer struct {
	distributor *distribution.Distributor
	counter     *inforce.Counter
}

// HandleCount implements peer.Settings.
func (s settingsServer) HandleCount(
	ctx context.Context, r *peerpb.CountInForceRequest,
) (*peerpb.CountInForceReply, error) {
	return s.counter.Handle(ctx, r), nil
}

// HandleFetch implements peer.Settings.
func (s settingsServer) HandleFetch(
	ctx context.Context, r *peerpb.FetchSettingsRequest,
) (*peerpb.FetchSettingsReply, error) {
	return s.distributor.HandleFetch(ctx, r), nil
}
