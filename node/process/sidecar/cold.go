package sidecar

import (
	"github.com/radishstand/radishstand/node/process/dispatch"
)

// coldLimit returns the limit for cold servers of a service. Before the first routing version there is none.
func (n *Node) coldLimit(service string) dispatch.ColdLimit {
	v := n.routing.Current()
	if v == nil {
		return dispatch.ColdLimit{}
	}
	s := v.Services[service]
	return dispatch.ColdLimit{Start: s.ColdStart, PerSecond: s.ColdPerSecond}
}

// coldChanged logs that the limit for a cold server begins or ends to apply, and reports it to the other nodes.
func (n *Node) coldChanged(c dispatch.ColdChange) {
	status := n.server.Status()
	message := "server warm"
	if c.Cold {
		message = "server cold"
	}
	n.log.Info(message, "server", status.ID, "service", status.Service, "source", c.Source, "left", c.Left, "perSecond", c.PerSecond)
	go n.broadcastState()
}
