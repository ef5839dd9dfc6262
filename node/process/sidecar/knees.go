package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// kneeToleranceDivisor sets the tolerance for an already known knee: a new knee is stored only when it differs by more
	// than slots/kneeToleranceDivisor.
	kneeToleranceDivisor = 8
	// kneeRetryInterval is the mean time between two attempts to write a knee.
	kneeRetryInterval = 2 * time.Second
)

// knees caches the knees in the store. It is safe for concurrent use.
type knees struct {
	// writing is set while the knee of this node's server is being written.
	writing atomic.Bool

	mu     sync.Mutex
	byKind map[ServerKind]int
}

// replace sets the knees to those read from the store.
func (k *knees) replace(byKind map[ServerKind]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byKind = byKind
}

// set sets the knee of a kind of server.
func (k *knees) set(kind ServerKind, knee int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := map[ServerKind]int{kind: knee}
	for known, value := range k.byKind {
		if known != kind {
			changed[known] = value
		}
	}
	k.byKind = changed
}

func (k *knees) get(kind ServerKind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byKind[kind]
}

// sharedKnee returns the knee that other nodes have found for servers of the same service with the same number of slots, or
// 0. A linked node's report takes precedence over the store.
func (n *Node) sharedKnee(slots int) int {
	service := n.config.Load().Service
	if knee := n.peers.Knee(service, slots); knee > 0 {
		return knee
	}
	return n.knees.get(ServerKind{Service: service, Slots: slots})
}

// kneeChanged reports a changed knee to the other nodes, since it applies to their servers too, and stores it. A removed
// knee stays in the store, because the knee is removed before each new search.
func (n *Node) kneeChanged() {
	status, knee := n.server.Status(), n.server.Knee()
	n.log.Info("server knee", "server", status.ID, "service", status.Service, "slots", status.Slots, "knee", knee)
	go n.broadcastState()
	kind := ServerKind{Service: status.Service, Slots: status.Slots}
	if known := n.sharedKnee(kind.Slots); knee == 0 || abs(known-knee) <= kind.Slots/kneeToleranceDivisor {
		return
	}
	if n.knees.writing.CompareAndSwap(false, true) {
		go n.storeKnee(kind, n.server.Knee)
	}
}

func abs(n int) int { return max(n, -n) }

// knownKnee returns the kind of this node's server and its knee as this node or the store knows it; 0 if neither does.
func (n *Node) knownKnee() (ServerKind, int) {
	status := n.server.Status()
	kind := ServerKind{Service: status.Service, Slots: status.Slots}
	if knee := n.server.Knee(); knee > 0 {
		return kind, knee
	}
	return kind, n.knees.get(kind)
}

// restoreKnee writes the knee of a kind of server again if the store, whose knees were just read, has lost it.
func (n *Node) restoreKnee(ctx context.Context, kind ServerKind, knee int) error {
	if knee == 0 || abs(n.knees.get(kind)-knee) <= kind.Slots/kneeToleranceDivisor {
		return nil
	}
	n.knees.set(kind, knee)
	return n.store.PutKnee(ctx, kind, knee)
}

// storeKnee writes the current knee to the store. It retries while the store is unavailable, until the knee is removed or the node
// stops. A write during which the era of the store changed is repeated, since it may be lost.
func (n *Node) storeKnee(kind ServerKind, current func() int) {
	defer n.knees.writing.Store(false)
	for n.ctx.Err() == nil {
		knee, changes := current(), n.eras.count()
		if knee == 0 {
			return
		}
		err := n.store.PutKnee(n.ctx, kind, knee)
		switch {
		case err != nil:
			n.log.Warn("failed to store knee", "service", kind.Service, "error", err)
			sleep(n.ctx, jitter(kneeRetryInterval))
		case n.eras.count() == changes:
			return
		}
	}
}
