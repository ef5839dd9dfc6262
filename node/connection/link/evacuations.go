package link

import "github.com/radishstand/radishstand/api/linkpb"

// EvacuationExchange exchanges the set of evacuated places with other nodes. Both ends of a new link send theirs. The zero value
// sends none and ignores those of others.
type EvacuationExchange struct {
	// Current returns the set to send, or nil if there is none.
	Current func() *linkpb.Evacuations
	// Received is called with a set and the address of the node that sent it, and reports whether that node must get the current set.
	// It must not block.
	Received func(peer string, e *linkpb.Evacuations) (reply bool)
}

// frame returns the frame with the current set, or nil if there is none.
func (x EvacuationExchange) frame() *linkpb.Frame {
	if x.Current == nil {
		return nil
	}
	e := x.Current()
	if e == nil {
		return nil
	}
	return &linkpb.Frame{Body: &linkpb.Frame_Evacuations{Evacuations: e}}
}

// receive handles a set of another node and returns the frame that answers it, or nil.
func (x EvacuationExchange) receive(peer string, e *linkpb.Evacuations) (reply *linkpb.Frame) {
	if x.Received == nil || !x.Received(peer, e) {
		return nil
	}
	return x.frame()
}

// ExchangeEvacuations sets the exchange of evacuated places. It must be called before Serve.
func (s *Server) ExchangeEvacuations(x EvacuationExchange) { s.evacuations = x }

// BroadcastEvacuations sends the set of evacuated places to all nodes that have a link to this one. It does not wait for links that
// are busy.
func (s *Server) BroadcastEvacuations() {
	f := s.evacuations.frame()
	if f == nil {
		return
	}
	for _, l := range s.openLinks() {
		go l.send(f)
	}
}

// SendEvacuations sends the set of evacuated places to the other node. Without a link or a set it does nothing.
func (s *Session) SendEvacuations() {
	if f := s.events.Evacuations.frame(); f != nil {
		s.sendOnLink(f)
	}
}
