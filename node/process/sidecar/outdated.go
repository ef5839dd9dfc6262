package sidecar

import (
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
)

// outdatedShare is the share of Config.ApplyWithin for which a version may have been replaced at this node when it decides about a call at
// another one. The rest is left for the newer version to arrive here.
const outdatedShare = 0.5

// isOutdated reports whether the routing version that decided about a call had been replaced for too long by then.
func (n *Node) isOutdated(call *linkpb.Call) bool {
	within := n.config.Load().ApplyWithin
	if within == 0 || call.RoutingVersion == 0 {
		return false
	}
	waited := time.Duration(call.WaitedMs) * time.Millisecond
	return n.history.ReplacedFor(call.RoutingVersion, time.Now())-waited > time.Duration(outdatedShare*float64(within))
}

// refuseOutdated returns the refusal of a call that another node has decided about with an outdated routing version, or nil. That node cannot
// know how old its version is while nobody can tell it of a newer one, so the version is checked where the call would run.
func (n *Node) refuseOutdated(call *linkpb.Call) *linkpb.Frame {
	if !n.isOutdated(call) {
		return nil
	}
	n.reportOutdated(call)
	refusal := &linkpb.Refusal{Reason: linkpb.Refusal_REASON_OUTDATED, Load: n.server.Load()}
	return &linkpb.Frame{Body: &linkpb.Frame_Refusal{Refusal: refusal}}
}

// reportOutdated logs and counts a call that a replaced version decided about.
func (n *Node) reportOutdated(call *linkpb.Call) {
	n.log.Warn("call refused, decided by a replaced routing version", "id", call.Id, "route", call.Route, "version", call.RoutingVersion,
		"current", n.routing.Number(), "replacedMs", n.history.ReplacedFor(call.RoutingVersion, time.Now()).Milliseconds(),
		"waitedMs", call.WaitedMs)
	counters{n.metrics}.Count("routing.outdated_calls")
}
