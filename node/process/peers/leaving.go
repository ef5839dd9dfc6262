package peers

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/process/choice"
)

// Leaving configures which calls of this node leave its place.
type Leaving struct {
	Leaver *choice.Leaver
	// Active reports whether the Leaver decides; otherwise choice.Pick does, with a fixed transfer penalty.
	Active func() bool
	// Sent is called after a call was sent to another place, with the bytes of the call and its answer.
	Sent func(service, place string, bytes int)
}

// active reports whether the Leaver decides.
func (l *Leaving) active() bool { return l != nil && l.Active() }

// useMeasuredRoundTrips replaces the round-trip times to servers in other places by those that pings have measured.
func useMeasuredRoundTrips(usable []*Server, candidates []choice.Candidate) {
	for i, s := range usable {
		if measured := s.measuredRoundTrip(); measured > 0 && !candidates[i].SamePlace {
			candidates[i].RoundTrip = measured
		}
	}
}

// resultOfLeaving returns the result for a decision of the Leaver.
func resultOfLeaving(usable []*Server, candidates []choice.Candidate, decision choice.Decision) PickResult {
	picked := resultOf(usable, candidates, decision.Index)
	picked.Redirect = decision.Redirect
	if decision.Stay {
		picked.Others, picked.OthersInPlace = 0, 0
	}
	return picked
}

// LeavingShare returns the share of a service's recent calls that leave for another place.
func (p *Set) LeavingShare(service, place string) float64 {
	if !p.config.Leaving.active() {
		return 0
	}
	return p.config.Leaving.Leaver.Shares(service)[place]
}

// countLeaving passes a call to Sent if it was sent to another place.
func (p *Set) countLeaving(s *Server, call *linkpb.Call, result *link.Result, err error) {
	var notSent *link.NotSentError
	if !p.config.Leaving.active() || s.address == "" || errors.As(err, &notSent) {
		return
	}
	service, place := s.serviceAndPlace()
	if place == "" || place == p.config.Hello.Place {
		return
	}
	bytes := proto.Size(call)
	if result != nil {
		bytes += proto.Size(result.Frame)
	}
	p.config.Leaving.Sent(service, place, bytes)
}

// serviceAndPlace returns the service and the place of the server; empty while they are unknown.
func (s *Server) serviceAndPlace() (service, place string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.GetService(), s.state.GetPlace()
}

// measuredRoundTrip returns the round-trip time to the server's node; 0 if it is unknown.
func (s *Server) measuredRoundTrip() time.Duration {
	if s.session == nil {
		return 0
	}
	return s.session.RoundTrip()
}
