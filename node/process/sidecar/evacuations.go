package sidecar

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/evacuation"
)

// evacuations holds the evacuated places of this node. It is safe for concurrent use.
type evacuations struct {
	holder evacuation.Holder
	// applying serializes changes of the set with their effect.
	applying sync.Mutex
}

// readEvacuations applies the evacuated places in the store. The set is settled if it shows what operators wrote again in its era.
func (n *Node) readEvacuations(state OperatorState, settled bool) {
	set := evacuation.NewSet(state.Revision, state.Evacuated)
	n.changeEvacuations("store", func() bool { return n.evacuations.holder.Read(set, settled) })
}

// receiveEvacuations applies the evacuated places that another node has sent, and reports whether that node has older ones.
func (n *Node) receiveEvacuations(peer string, e *linkpb.Evacuations) (outdated bool) {
	set := evacuation.NewSet(Revision{Era: e.Era, Row: e.Revision}, e.Places)
	n.changeEvacuations(peer, func() (changed bool) {
		changed, outdated = n.evacuations.holder.Receive(set)
		return changed
	})
	n.peerReportedEra(peer, e.Era)
	if n.evacuations.holder.NeedsRead() {
		n.poll.end()
	}
	return outdated
}

// changeEvacuations changes the set. If the places in force have changed, servers in evacuated places get no more calls. If the settled
// set has changed, it is sent to other nodes: by a frequent poller to all linked ones, by any other node to those that may not get it
// from a frequent poller.
func (n *Node) changeEvacuations(source string, change func() bool) {
	n.evacuations.applying.Lock()
	settledBefore, _ := n.evacuations.holder.Settled()
	changed := change()
	places := n.evacuations.holder.InForce()
	if changed {
		n.log.Info("evacuated places changed", "places", places, "source", source)
		n.evacuated.Update(int64(len(places)))
		n.peers.SetEvacuated(places)
		n.closeOwnPlace(places)
	}
	settled, _ := n.evacuations.holder.Settled()
	n.evacuations.applying.Unlock()
	if slices.Equal(settledBefore.Places, settled.Places) && settledBefore.Revision.Era == settled.Revision.Era {
		return
	}
	if n.currentEvacuations() == nil {
		return
	}
	if n.peers.InSubset(frequentPollers) {
		n.links.BroadcastEvacuations()
		return
	}
	n.peers.ForwardEvacuations()
}

// closeOwnPlace opens or closes the server beside this node, and tells other nodes of a change. The links, on which sets are received,
// must not wait for that.
func (n *Node) closeOwnPlace(evacuated []string) {
	if n.server.SetEvacuated(slices.Contains(evacuated, n.config.Load().Place)) {
		n.log.Info("evacuation of the server's place changed", "server", n.server.Status().ID, "evacuated", n.server.Status().Evacuated)
		go n.broadcastState()
	}
}

// reloadEvacuations applies the evacuated places after a change of the configuration.
func (n *Node) reloadEvacuations() {
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	n.closeOwnPlace(n.evacuations.holder.InForce())
}

// currentEvacuations returns the frame with the evacuated places, or nil if no place has ever been evacuated.
func (n *Node) currentEvacuations() *linkpb.Evacuations {
	set, exists := n.evacuations.holder.Settled()
	if !exists {
		return nil
	}
	return &linkpb.Evacuations{Era: set.Revision.Era, Revision: set.Revision.Row, Places: set.Places}
}

// dumpEvacuations writes the evacuated places as text, unless no place has ever been evacuated. It waits for a change in progress, so that
// a place that is listed gets no more calls.
func (n *Node) dumpEvacuations(w io.Writer) {
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	if set, exists := n.evacuations.holder.Settled(); exists || n.evacuations.holder.NeedsRead() {
		fmt.Fprintf(w, "evacuated %q, sent to others %q of revision %d of era %d\n",
			n.evacuations.holder.InForce(), set.Places, set.Revision.Row, set.Revision.Era)
	}
}
