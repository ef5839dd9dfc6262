package sidecar

import (
	"context"
	"time"
)

// registrationDelay is the time in which the store usually writes this node's entry. After it, the addresses of the other nodes are read
// without the entry.
const registrationDelay = 300 * time.Millisecond

// linkUnregistered links a node to the others while the store does not write its entry, which may take much longer than a read. Nodes that
// it links to learn its address from the link. It ends when the node is registered, knows another node or ctx ends.
func (n *Node) linkUnregistered(ctx context.Context) {
	retryBackoff := newBackoff()
	sleep(ctx, registrationDelay)
	for ctx.Err() == nil && !n.registered.Load() && !n.knowsOthers() {
		if err := n.readMembers(ctx); err != nil {
			n.logStoreFailure(ctx, "members before registration", err)
		}
		retryBackoff.wait(ctx)
	}
}

// readMembers adds the nodes that have entries in the store to the peers.
func (n *Node) readMembers(ctx context.Context) error {
	fleet, err := n.store.Fleet(ctx)
	if err != nil {
		return err
	}
	n.logStoreRecovery("members before registration")
	n.log.Info("members read before registration", "members", len(fleet.Members))
	n.addMembers(fleet)
	return nil
}

// knowsOthers reports whether this node knows any other one.
func (n *Node) knowsOthers() bool {
	known, _ := n.peers.Linked()
	return known > 0
}

// addMembers adds the nodes that have entries in the store to the peers and returns their addresses.
func (n *Node) addMembers(fleet Fleet) []string {
	addresses := make([]string, 0, len(fleet.Members))
	for address := range fleet.Members {
		addresses = append(addresses, address)
		n.peers.Add(address)
	}
	return addresses
}
