package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishstand/radishstand/node/process/localserver"
)

const (
	// awaitRouting is the longest time that the store holds a question for a change.
	awaitRouting = 30 * time.Second
	// A question that is lost while the store is away is noticed at its end only. So that changes made after the store's
	// return are in force in time, a few nodes ask anew in short intervals; the others learn the version from them.
	frequentReaders = 3
	frequentAwait   = 800 * time.Millisecond
	// routingPause is the time between two questions for changes, so that a series of changes costs few calls.
	routingPause = 250 * time.Millisecond
	// minStoreRetry and maxStoreRetry bound the pause after a failed call to the store.
	minStoreRetry = 100 * time.Millisecond
	maxStoreRetry = 500 * time.Millisecond
	// membersSoon is the time after which the nodes' addresses are read again when something may have changed: this node has
	// just started, or another node has not been reached for missingAfter.
	membersSoon  = 15 * time.Second
	missingAfter = 5 * time.Second
	// membersEvery is the time between two readings otherwise. Nodes that join introduce themselves; this finds those whose
	// introduction was lost.
	membersEvery = 2 * time.Minute
	// probeEvery is the time between two health checks of a server that is not known or not reachable.
	probeEvery = 250 * time.Millisecond
)

// watchRouting keeps the newest routing version in force.
func (n *Node) watchRouting(ctx context.Context) {
	var revision uint64
	retry := newRetry()
	var failedAt time.Time
	for ctx.Err() == nil {
		asked := time.Now()
		document, next, err := n.nextRouting(ctx, revision)
		switch {
		case errors.Is(err, ErrHistoryGone):
			n.log.Info("routing history gone", "revision", revision)
			revision = 0
			continue
		case err != nil:
			n.dependency(ctx, "routing", err)
			failedAt = time.Now()
			if time.Since(asked) < maxStoreRetry { // a question that was given up has waited long enough
				retry.pause(ctx)
			}
			continue
		}
		n.regained("routing")
		retry = newRetry()
		revision = next
		if document != nil {
			n.offer(document)
			// The others may still wait for the answer to a question that was lost at the same time. The version travels with
			// the state; otherwise a node without traffic would not hear of it.
			if time.Since(failedAt) < awaitRouting && n.peers.InSubset(frequentReaders) {
				n.tell()
			}
			sleep(ctx, routingPause)
		} else if n.routing.Current() == nil {
			sleep(ctx, minStoreRetry)
		}
	}
}

func (n *Node) nextRouting(ctx context.Context, revision uint64) ([]byte, uint64, error) {
	if revision == 0 {
		return n.store.Routing(ctx)
	}
	wait := awaitRouting
	if n.peers.InSubset(frequentReaders) {
		wait = frequentAwait
	}
	return n.store.AwaitRouting(ctx, revision, wait)
}

// dependency logs a failed call to the store, the first one of a series only.
func (n *Node) dependency(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		if _, failing := n.failing.LoadOrStore(what, true); !failing {
			n.log.Warn("store lost", "call", what, "error", err)
		}
	}
}

func (n *Node) regained(what string) {
	if _, failing := n.failing.LoadAndDelete(what); failing {
		n.log.Info("store regained", "call", what)
	}
}

// keepMember keeps this node's entry in the store and learns those of others.
func (n *Node) keepMember(ctx context.Context) {
	retry := newRetry()
	registered := false
	for ctx.Err() == nil {
		if err := n.syncMembers(ctx, registered); err != nil {
			n.dependency(ctx, "members", err)
			retry.pause(ctx)
			continue
		}
		n.regained("members")
		retry = newRetry()
		if !registered {
			registered = true
			sleep(ctx, varied(membersSoon))
			continue
		}
		n.awaitMembersDue(ctx)
	}
}

// awaitMembersDue waits until the nodes' addresses are to be read again.
func (n *Node) awaitMembersDue(ctx context.Context) {
	due := time.Now().Add(varied(membersEvery))
	for ctx.Err() == nil && time.Now().Before(due) {
		sleep(ctx, varied(membersSoon))
		if n.peers.AnyUnlinkedFor(missingAfter) {
			return
		}
	}
}

// varied returns a random time around d, so that nodes that started together do not call the store together.
func varied(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// syncMembers learns the other nodes and makes sure that they can learn this one. The first time the entry is written before
// the others are read: of two nodes that start together, at least one then sees the other.
func (n *Node) syncMembers(ctx context.Context, registered bool) error {
	c := n.config.Load()
	self := Member{Address: c.Listen.Peers, Name: c.Name, Place: c.Place}
	if !registered {
		if err := n.store.PutMember(ctx, self); err != nil {
			return err
		}
	}
	readAt := time.Now()
	fleet, err := n.store.Fleet(ctx)
	if err != nil {
		return err
	}
	addresses := make([]string, 0, len(fleet.Members))
	for address := range fleet.Members {
		addresses = append(addresses, address)
		n.peers.Add(address)
	}
	n.peers.Retain(addresses, readAt)
	n.knees.stored(fleet.Knees)
	if fleet.Members[self.Address] == self || n.stopping.Load() {
		return nil
	}
	return n.store.PutMember(ctx, self)
}

// findServer looks for the backend server while no announcement says what runs at its address.
func (n *Node) findServer(ctx context.Context) {
	for ctx.Err() == nil {
		v := n.routing.Current()
		c := n.config.Load()
		if v != nil && n.server.NeedsProbe() && c.ServerAddress != "" {
			if err := n.server.Probe(ctx, c.Service, v.Services[c.Service].HealthPath); errors.Is(err, localserver.ErrInvalid) {
				n.log.Warn("health check refused", "error", err)
			}
		}
		sleep(ctx, probeEvery)
	}
}

// retry is the growing pause after failed calls.
type retry struct{ next time.Duration }

func newRetry() *retry { return &retry{next: minStoreRetry} }

func (r *retry) pause(ctx context.Context) {
	sleep(ctx, varied(r.next))
	r.next = min(2*r.next, maxStoreRetry)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
