package node

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/balance/subset"
	"github.com/radishstand/radishstand/node/process/membership"
)

// track makes the balancer keep records of the servers of a service. It is called only for the services that this node
// calls and that of its own server: a record takes about 800 bytes, which for all servers of a large fleet would be 10 MB.
func (f *fleet) track(service string) {
	once, known := f.tracked.Load(service)
	if !known {
		once, _ = f.tracked.LoadOrStore(service, &sync.Once{})
	}
	// The service is marked as tracked before its servers are read, so that no change is missed. Concurrent calls wait.
	once.(*sync.Once).Do(func() { f.node.core.balancer.SetServers(service, f.serverSubset(service)) })
}

// serverSubset returns the servers of a service that this node sends calls to, at most Balance.MaxServers.
func (f *fleet) serverSubset(service string) []balance.Server {
	node := subset.Node{ID: f.node.id, Place: f.node.config.Place}
	return node.Choose(f.candidates(service), f.node.core.values(service).Balance.MaxServers)
}

// settingsChanged marks all services as changed, since the settings limit the number of their servers.
func (f *fleet) settingsChanged() {
	f.mu.Lock()
	f.dirty[allServices] = true
	f.mu.Unlock()
	f.signalChange()
}

func (f *fleet) signalChange() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// memberChanged marks the services that a change of the membership affects. It must not block.
func (f *fleet) memberChanged(change membership.Change) {
	f.mu.Lock()
	if change.Place != "" {
		f.dirty[allServices] = true
	}
	for _, m := range []*membership.Member{change.Before, change.After} {
		if m != nil && m.Service != "" {
			f.dirty[m.Service] = true
		}
	}
	f.recordFirstSeen(change.Before, change.After)
	f.mu.Unlock()
	f.signalChange()
}

// initialDiscoveryPeriod is the time after the start of this node in which newly seen servers are assumed to be warm, since
// they are new only to this node.
const initialDiscoveryPeriod = 10 * time.Second

// recordFirstSeen records the time at which a server appeared, for its slow start. The caller must hold mu.
func (f *fleet) recordFirstSeen(before, after *membership.Member) {
	if before != nil && (after == nil || after.ServerID != before.ServerID) {
		delete(f.firstSeen, before.ServerID)
	}
	if after == nil || after.ServerID == "" || time.Since(f.started) < initialDiscoveryPeriod {
		return
	}
	if _, known := f.firstSeen[after.ServerID]; !known && (before == nil || before.ServerID != after.ServerID) {
		f.firstSeen[after.ServerID] = time.Now()
	}
}

// allServices marks every service as changed; it is not a valid service name.
const allServices = "*"

// refresh applies changes of the membership to the balancer, the ledger and the connection pool until ctx ends.
func (f *fleet) refresh(ctx context.Context) {
	// Round trips change independently of the membership.
	ticker := time.NewTicker(roundTripInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		case <-ticker.C:
			f.mu.Lock()
			f.dirty[allServices] = true
			f.mu.Unlock()
		}
		f.applyMembers()
		f.ledgerServer.Refresh()
		f.node.pool.Retain(f.keepsConnection)
		select {
		case <-ctx.Done():
			return
		case <-time.After(refreshInterval):
		}
	}
}

func (f *fleet) applyMembers() {
	f.mu.Lock()
	dirty := f.dirty
	f.dirty = map[string]bool{}
	f.mu.Unlock()
	if dirty[allServices] {
		f.tracked.Range(func(service, _ any) bool {
			dirty[service.(string)] = true
			return true
		})
	}
	for service := range dirty {
		if _, tracked := f.tracked.Load(service); tracked {
			f.node.core.balancer.SetServers(service, f.serverSubset(service))
		}
	}
}

// candidates returns the servers of a service that may be selected. Servers of unreachable places are left out unless there
// are no others, since a place may be considered unreachable by mistake.
func (f *fleet) candidates(service string) []balance.Server {
	var reachable, all []balance.Server
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members.ByService(service) {
		server := balance.Server{
			ID: m.ServerID, Service: m.Service, Place: m.Place, NodeID: m.Address, Address: m.Address,
			Slots: int(m.Slots), Incarnation: m.Incarnation, Draining: m.Draining, FirstSeen: f.firstSeen[m.ServerID],
		}
		all = append(all, server)
		if f.members.PlaceReachable(m.Place) {
			reachable = append(reachable, server)
		}
	}
	if len(reachable) > 0 {
		return reachable
	}
	return all
}

// keepsConnection reports whether the pool keeps its connection to an address: to members that may still be alive and to
// the configured peers.
func (f *fleet) keepsConnection(address string) bool {
	for _, p := range f.node.config.Peers {
		if p == address {
			return true
		}
	}
	m := f.members.Member(address)
	return m != nil && m.State.Live()
}

// roundTripInterval is the interval at which the balancer receives the current round trips to other places.
const roundTripInterval = 10 * time.Second

// recordRoundTrip records a round trip to a member as one to its place.
func (f *fleet) recordRoundTrip(address string, roundTrip time.Duration) {
	if m := f.members.Member(address); m != nil {
		f.roundTrips.observe(m.Place, roundTrip)
	}
}
