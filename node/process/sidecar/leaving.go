package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/node/process/choice"
	"github.com/radishstand/radishstand/node/process/peers"
)

// newLeaving returns what decides which calls leave the place of this node, and counts them.
func (n *Node) newLeaving() *peers.Leaving {
	return &peers.Leaving{
		Leaver: choice.NewLeaver(choice.LeaverConfig{Now: time.Now, Random: rand.Float64, Changed: n.leavingChanged}),
		Active: n.decidesLeaving, Sent: n.countLeaving,
	}
}

// decidesLeaving reports whether a share of the calls leaves the place, instead of each for which the fixed penalty is exceeded. With
// downloads the fixed penalty answers more calls in time, see docs/design/leaving-the-place.md.
func (n *Node) decidesLeaving() bool {
	v := n.routing.Current()
	return v != nil && v.HasTeams() && !v.HasDownloads()
}

// leavingChanged logs that calls of a service begin or stop to leave for another place, and registers the gauge of their share.
func (n *Node) leavingChanged(service, place string, leaving bool, share float64) {
	message := "calls no longer leave the place"
	if leaving {
		message = "calls leave the place"
	}
	n.log.Info(message, "service", service, "to", place, "share", share)
	n.metrics.GetOrRegister(leavingMetric("share", service, place), func() metrics.GaugeFloat64 {
		return metrics.NewFunctionalGaugeFloat64(func() float64 { return n.peers.LeavingShare(service, place) })
	})
}

// countLeaving counts a call that was sent to another place, and the bytes of the call and its answer.
func (n *Node) countLeaving(service, place string, bytes int) {
	metrics.GetOrRegisterCounter(leavingMetric("calls", service, place), n.metrics).Inc(1)
	metrics.GetOrRegisterCounter(leavingMetric("bytes", service, place), n.metrics).Inc(int64(bytes))
}

// leavingMetric returns the name of a metric of the calls of a service that leave for another place.
func leavingMetric(what, service, place string) string {
	return "leaving." + what + "." + service + "." + place
}
