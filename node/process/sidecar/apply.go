package sidecar

import "time"

// applyPeerRouting applies the routing version of a document from another node. If it is new here, the store's response to the
// poll that is in progress should have brought it.
func (n *Node) applyPeerRouting(peer string, document []byte) {
	if n.applyRouting(document, peer) {
		n.poll.endAfter(lostPollDelay)
	}
}

// versionMissing asks the store for a newer version, which another node has reported first at a time. A poll that began before may be lost.
// A later one may be, too, or the store may answer it late, so after lostPollDelay the store is read beside it.
func (n *Node) versionMissing(since time.Time) {
	n.poll.endIfOlder(since)
	if n.poll.lastsFor(lostPollDelay) {
		n.freshness.tryRead(n.ctx)
	}
}

// applyRouting applies the routing version of a document if it is newer than the current one, and reports whether it is. The source
// is "store" or the address of the node that sent the document.
func (n *Node) applyRouting(document []byte, source string) bool {
	v, err := n.adapter.ParseRouting(document)
	if err != nil {
		n.log.Warn("routing document rejected", "source", source, "error", err)
		return false
	}
	v.Document = document
	replaced, behind := n.routing.Number(), n.peers.BehindBy()
	applied := n.routing.Offer(v)
	if applied {
		n.history.Add(v.Number, time.Now())
		n.log.Info("routing version applied", "version", v.Number, "replaced", replaced, "source", source,
			"behindMs", behind.Milliseconds(), "poll", n.poll.String())
		n.applyLimits()
		n.quotas.start(n)
	}
	return applied
}

// applyLimits sets the ingress limits for callers to those of the current routing version.
func (n *Node) applyLimits() {
	if callers := n.callers.Load(); callers != nil {
		callers.SetLimits(ingressLimits(n.routing.Current()))
	}
}
