package peers

import "github.com/radishstand/radishstand/api/linkpb"

// LinkedNode is a node that this node has a link to.
type LinkedNode struct {
	Address string
	// CPUMillis is the node's share of a core in thousandths; 0 if unknown.
	CPUMillis int
}

// LinkedNodes returns the linked nodes that have reported their state, in no particular order.
func (p *Set) LinkedNodes() []LinkedNode {
	p.mu.RLock()
	defer p.mu.RUnlock()
	nodes := make([]LinkedNode, 0, len(p.peers))
	for address, known := range p.peers {
		if cpuMillis, ok := known.server.cpuMillis(); ok {
			nodes = append(nodes, LinkedNode{Address: address, CPUMillis: cpuMillis})
		}
	}
	return nodes
}

// cpuMillis returns the node's share of a core, and false while it is not linked or has not reported its state.
func (s *Server) cpuMillis() (millis int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.state.GetCpuMillis()), s.client != nil && s.state != nil
}

// SendQuotaRequest sends a quota request to the node at an address. It does nothing if the node is unknown or not linked.
func (p *Set) SendQuotaRequest(address string, r *linkpb.QuotaRequest) {
	p.mu.RLock()
	known := p.peers[address]
	p.mu.RUnlock()
	if known != nil {
		known.server.session.SendQuotaRequest(r)
	}
}

// handleQuotaReply passes a reply from the node at an address to QuotaReply, if it is set.
func (p *Set) handleQuotaReply(address string, r *linkpb.QuotaReply) {
	if p.config.QuotaReply != nil {
		p.config.QuotaReply(address, r)
	}
}
