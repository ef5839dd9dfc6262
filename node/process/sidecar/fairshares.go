package sidecar

import "github.com/radishstand/radishstand/node/process/backpressure"

// fairShares reports whether teams have shares of the slots of backend servers.
func (n *Node) fairShares() bool {
	v := n.routing.Current()
	return v != nil && v.HasTeams()
}

// backPressure reports whether calls are refused whose nested calls would be refused.
func (n *Node) backPressure() bool {
	v := n.routing.Current()
	return v != nil && (v.HasTeams() || v.HasDownloads())
}

// refusedByBackPressure returns the number of calls that were refused because their nested calls would be refused.
func (n *Node) refusedByBackPressure() int64 {
	_, refused := n.server.BackPressure()
	return refused
}

// leastAdmitted returns the smallest share of a route's calls that is admitted.
func (n *Node) leastAdmitted() float64 {
	routes, _ := n.server.BackPressure()
	least := 1.0
	for _, share := range routes {
		least = min(least, share.Admitted)
	}
	return least
}

// backPressureChanged logs that calls of a route begin to be refused, or are all admitted again.
func (n *Node) backPressureChanged(route string, s backpressure.Share) {
	message := "calls refused for their nested calls"
	if s.Admitted >= 1 {
		message = "calls admitted again"
	}
	n.log.Info(message, "route", route, "admitted", s.Admitted, "nesting", s.Nesting)
}
