package sidecar

import "github.com/radishstand/radishstand/node/process/dispatch"

// provisionalColdPerSecond limits a server that states that it is cold before this process has a routing version. Other nodes, which
// have one, send calls already.
const provisionalColdPerSecond = 10

// coldLimit returns the limit for cold servers of a service.
func (n *Node) coldLimit(service string) dispatch.ColdLimit {
	v := n.routing.Current()
	if v == nil {
		return dispatch.ColdLimit{PerSecond: provisionalColdPerSecond, Provisional: true}
	}
	s := v.Services[service]
	return dispatch.ColdLimit{Duration: s.ColdStart, PerSecond: s.ColdPerSecond}
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
