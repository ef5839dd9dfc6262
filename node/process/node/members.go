package node

import (
	"context"
	"sync"
	"time"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/balance/subset"
	"github.com/radishstand/radishstand/node/process/membership"
)

// track makes the chooser keep records of a service's servers. Only the services that this node calls, and that of its own
// server, are kept: a record takes about 800 bytes, which for all servers of a large fleet would be 10 MB.
func (f *fleet) track(service string) {
	once, known := f.tracked.Load(service)
	if !known {
		once, _ = f.tracked.LoadOrStore(service, &sync.Once{})
	}
	// The service is marked before its servers are read, so that no change is missed; other calls wait meanwhile.
	once.(*sync.Once).Do(func() { f.node.core.balancer.SetServers(service, f.chosen(service)) })
}

// chosen returns the servers of a service that this node sends calls to.
func (f *fleet) chosen(service string) []balance.Server {
	node := subset.Node{ID: f.node.id, Place: f.node.config.Place}
	return node.Choose(f.servers(service), f.node.core.values(service).Balance.MaxServers)
}

// settingsChanged marks all services, since the settings bound their servers.
func (f *fleet) settingsChanged() {
	f.mu.Lock()
	f.dirty[allServices] = true
	f.mu.Unlock()
	f.wake()
}

func (f *fleet) wake() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// memberChanged marks what a change of the membership touches. It must not block.
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
	f.noteFirstSeen(change.Before, change.After)
	f.mu.Unlock()
	f.wake()
}

// joinTime is the time after the start of this node in which servers that it first sees are taken to be warm: they are new to
// this node only.
const joinTime = 10 * time.Second

// noteFirstSeen notes when a server appeared, for its slow start. The caller holds mu.
func (f *fleet) noteFirstSeen(before, after *membership.Member) {
	if before != nil && (after == nil || after.ServerID != before.ServerID) {
		delete(f.firstSeen, before.ServerID)
	}
	if after == nil || after.ServerID == "" || time.Since(f.started) < joinTime {
		return
	}
	if _, known := f.firstSeen[after.ServerID]; !known && (before == nil || before.ServerID != after.ServerID) {
		f.firstSeen[after.ServerID] = time.Now()
	}
}

// allServices marks every service as changed; it is not a valid service name.
const allServices = "*"

// refresh hands changes of the membership to the chooser, the ledger and the connection pool.
func (f *fleet) refresh(ctx context.Context) {
	// Distances change without any change of the members.
	distances := time.NewTicker(distanceEvery)
	defer distances.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		case <-distances.C:
			f.mu.Lock()
			f.dirty[allServices] = true
			f.mu.Unlock()
		}
		f.applyMembers()
		f.holder.Refresh()
		f.node.pool.Retain(f.isMember)
		select {
		case <-ctx.Done():
			return
		case <-time.After(refreshEvery):
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
			f.node.core.balancer.SetServers(service, f.chosen(service))
		}
	}
}

// servers returns the servers of a service that may be chosen. Those of unreachable places are left out unless there are
// no others, since the verdict on a place may be wrong.
func (f *fleet) servers(service string) []balance.Server {
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

// isMember keeps the connections to members that may still be alive and to the configured peers.
func (f *fleet) isMember(address string) bool {
	for _, p := range f.node.config.Peers {
		if p == address {
			return true
		}
	}
	m := f.members.Member(address)
	return m != nil && m.State.Live()
}

// distanceEvery is how often the chooser is given the present distances.
const distanceEvery = 10 * time.Second

// answered measures the distance of a place by a round trip to one of its nodes.
func (f *fleet) answered(address string, roundTrip time.Duration) {
	if m := f.members.Member(address); m != nil {
		f.distances.observe(m.Place, roundTrip)
	}
}
