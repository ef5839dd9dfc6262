package sidecar

// fairShares reports whether teams have shares of the slots of backend servers.
func (n *Node) fairShares() bool {
	v := n.routing.Current()
	return v != nil && v.HasTeams()
}
