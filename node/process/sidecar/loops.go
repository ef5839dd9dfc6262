package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/process/localserver"
)

const (
	// minStoreBackoff and maxStoreBackoff bound the backoff after a failed call to the store, before jitter.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 500 * time.Millisecond
	// probeInterval is the time between two health checks of a server that is unknown or unreachable.
	probeInterval = 250 * time.Millisecond
	// rewriteSpread is the time over which the nodes spread their calls to the store after a change of its era.
	rewriteSpread = 500 * time.Millisecond
)

// logStoreFailure logs a failed call to the store, but only the first of consecutive failures.
func (n *Node) logStoreFailure(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		if _, failing := n.failingCalls.LoadOrStore(what, true); !failing {
			n.log.Warn("store call failed", "call", what, "error", err)
		}
	}
}

// logStoreRecovery logs the first successful call after failures.
func (n *Node) logStoreRecovery(what string) {
	if _, failing := n.failingCalls.LoadAndDelete(what); failing {
		n.log.Info("store recovered", "call", what)
	}
}

// maintainMembership keeps this node's entry in the store and reads the entries of the other nodes, until ctx ends. After a change of
// the store's era it does both at once, and ensures that the knee of its server is there.
func (n *Node) maintainMembership(ctx context.Context) {
	retryBackoff := newBackoff()
	started := time.Now()
	restored := n.eras.count()
	schedule := newMembersSchedule(func() bool { return n.peers.AnyUnlinkedFor(unlinkedTimeout) })
	for ctx.Err() == nil {
		changes := n.eras.count()
		kind, knee := n.knownKnee()
		restoring := changes != restored
		registered := n.registered.Load()
		err := n.syncMembers(ctx, registered, restoring)
		if err == nil && restoring {
			err = n.restoreKnee(ctx, kind, knee)
		}
		if err != nil {
			n.logStoreFailure(ctx, "members", err)
			retryBackoff.wait(ctx)
			continue
		}
		n.logStoreRecovery("members")
		retryBackoff = newBackoff()
		restored = changes
		if !n.registered.Swap(true) {
			known, linked := n.peers.Linked()
			n.log.Info("registered in the store", "afterMs", time.Since(started).Milliseconds(), "known", known, "linked", linked)
		}
		n.waitForMembers(ctx, schedule, changes, !registered || restoring)
	}
}

// waitForMembers waits until the members are to be read again: as scheduled, or when the number of changes of the store's era is no longer
// the one given, which was current when they were read. The wait is short while other nodes may be writing their entries.
func (n *Node) waitForMembers(ctx context.Context, schedule *membersSchedule, changes uint64, short bool) {
	unchanged, cancel := n.eras.untilChange(ctx, changes)
	defer cancel()
	if short {
		sleep(unchanged, jitter(shortMembersInterval))
	} else {
		schedule.wait(unchanged)
	}
	if unchanged.Err() != nil {
		sleep(ctx, rand.N(rewriteSpread))
	}
}

// jitter returns a random duration between d/2 and 3d/2, so that nodes that started together do not call the store together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// syncMembers adds the nodes in the store to the peers and ensures that this node's entry is in the store. The first time,
// the entry is written before the others are read: of two nodes that start together, at least one then reads the other's
// entry. While the nodes restore their entries, a node that is not listed remains a peer.
func (n *Node) syncMembers(ctx context.Context, registered, restoring bool) error {
	if !registered {
		existing, err := n.store.AddMember(ctx, n.self())
		if err != nil {
			return err
		}
		if existing != nil {
			n.quotas.restarted.Store(true)
			n.identity.restore(existing.Server)
			n.log.Info("entry of an earlier process found", "server", existing.Server.ID, "service", existing.Server.Service)
		}
	}
	readAt := time.Now()
	fleet, err := n.store.Fleet(ctx)
	if err != nil {
		return err
	}
	if n.invalidRows.Swap(int64(fleet.InvalidRows)) != int64(fleet.InvalidRows) {
		n.log.Warn("store has invalid rows beside the members", "rows", fleet.InvalidRows)
	}
	addresses := n.addMembers(fleet)
	if !restoring {
		n.peers.Retain(addresses, readAt)
	}
	n.quotas.membersRead()
	n.knees.replace(fleet.Knees)
	self := n.self()
	stored, found := fleet.Members[self.Address]
	switch {
	case n.stopping.Load():
		return n.removeRestored(ctx, found)
	case stored != self:
		return n.store.PutMember(ctx, self)
	}
	return nil
}

// removeRestored removes the entry of this node, which stops, if a copy of the store has brought it back.
func (n *Node) removeRestored(ctx context.Context, found bool) error {
	if !found || n.eras.count() == 0 {
		return nil
	}
	return n.store.RemoveMember(ctx, n.config.Load().Listen.Peers)
}

// superviseServer sends health checks to the backend server's address while no reachable server is known there, and checks
// that a server found in this way announces itself.
func (n *Node) superviseServer(ctx context.Context) {
	for ctx.Err() == nil {
		v := n.routing.Current()
		c := n.config.Load()
		if v != nil && n.server.NeedsProbe() && c.ServerAddress != "" {
			if err := n.server.Probe(ctx, v.Services[c.Service].HealthPath, n.serviceOf); errors.Is(err, localserver.ErrInvalid) {
				n.log.Warn("invalid health check response", "error", err)
			}
		}
		n.server.CheckAnnounced()
		sleep(ctx, probeInterval)
	}
}

// backoff is the exponential delay after failed calls.
type backoff struct{ next time.Duration }

func newBackoff() *backoff { return &backoff{next: minStoreBackoff} }

func (b *backoff) wait(ctx context.Context) {
	sleep(ctx, jitter(b.next))
	b.next = min(2*b.next, maxStoreBackoff)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
