package sidecar

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// kneeSpread divides the slots into the difference from which on a knee is written although another one is known.
	kneeSpread = 8
	// kneeRetry is the time between two tries to write a knee.
	kneeRetry = 2 * time.Second
)

// knees holds the knees that the store knows. It is safe for concurrent use.
type knees struct {
	// keeping is set while the knee found here is being written.
	keeping atomic.Bool

	mu     sync.Mutex
	byKind map[ServerKind]int
}

// stored takes what the store holds.
func (k *knees) stored(byKind map[ServerKind]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byKind = byKind
}

func (k *knees) get(kind ServerKind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byKind[kind]
}

// othersKnee returns the knee that other nodes have found for servers like the one beside this node, or 0.
func (n *Node) othersKnee(slots int) int {
	service := n.config.Load().Service
	if knee := n.peers.Knee(service, slots); knee > 0 {
		return knee
	}
	return n.knees.get(ServerKind{Service: service, Slots: slots})
}

// kneeFound tells the other nodes what was found, since it holds for their servers too. A knee that was given up stays in the
// store: that happens before each new search.
func (n *Node) kneeFound() {
	status, knee := n.server.Status(), n.server.Knee()
	n.log.Info("server knee", "server", status.ID, "service", status.Service, "slots", status.Slots, "knee", knee)
	go n.tell()
	kind := ServerKind{Service: status.Service, Slots: status.Slots}
	if known := n.othersKnee(kind.Slots); knee == 0 || abs(known-knee) <= kind.Slots/kneeSpread {
		return
	}
	if n.knees.keeping.CompareAndSwap(false, true) {
		go n.keepKnee(kind, n.server.Knee)
	}
}

func abs(n int) int { return max(n, -n) }

// keepKnee writes the present knee to the store, again while the store is away, until it is given up or the node ends.
func (n *Node) keepKnee(kind ServerKind, present func() int) {
	defer n.knees.keeping.Store(false)
	for n.ctx.Err() == nil {
		knee := present()
		if knee == 0 {
			return
		}
		err := n.store.PutKnee(n.ctx, kind, knee)
		if err == nil {
			return
		}
		n.log.Warn("knee not stored", "service", kind.Service, "error", err)
		sleep(n.ctx, varied(kneeRetry))
	}
}
