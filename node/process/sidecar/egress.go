package sidecar

import (
	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/node/connection/link"
)

// newEgress returns the Egress that all links of this node send through, and registers its metrics.
func (n *Node) newEgress() *link.Egress {
	egress := link.NewEgress(link.EgressConfig{
		Chunks:        n.hasDownloads,
		BitsPerSecond: func() float64 { return n.config.Load().LinkBitsPerSecond },
		Log:           n.log,
	})
	n.metrics.Register("links.waiting_bytes", metrics.NewFunctionalGauge(egress.WaitingBytes))
	n.metrics.Register("links.frames_in_pieces", metrics.NewFunctionalGauge(func() int64 {
		frames, _ := egress.FramesInPieces()
		return frames
	}))
	n.metrics.Register("links.frames_stopped", metrics.NewFunctionalGauge(func() int64 {
		_, stopped := egress.FramesInPieces()
		return stopped
	}))
	return egress
}

// hasDownloads reports whether the current routing version has routes with large answers.
func (n *Node) hasDownloads() bool {
	v := n.routing.Current()
	return v != nil && v.HasDownloads()
}
