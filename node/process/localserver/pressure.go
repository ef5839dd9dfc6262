package localserver

import (
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/process/backpressure"
)

// backPressureEnabled reports whether calls are refused whose nested calls would be refused.
func (s *Server) backPressureEnabled() bool {
	return s.config.BackPressure != nil && s.config.BackPressure()
}

// refuseForDependency returns the refusal of a call whose nested calls would be refused, or nil.
func (s *Server) refuseForDependency(call *linkpb.Call) *linkpb.Frame {
	if !s.backPressureEnabled() {
		return nil
	}
	after, ok := s.backPressure.Admit(backpressure.Call{
		ID: call.Id, Route: call.Route, Team: call.Team, Spared: call.Nested || call.Rank == 0,
	})
	if ok {
		return nil
	}
	return refusalFrame(linkpb.Refusal_REASON_DEPENDENCY, max(after, time.Millisecond), s.Load())
}

// endInProgress records the end of a call that was sent to the server.
func (s *Server) endInProgress(call *linkpb.Call, answered bool) {
	nested := s.inProgress.remove(call.Id)
	if s.backPressureEnabled() {
		s.backPressure.Ended(call.Route, nested.made, nested.refused && !answered)
	}
}

// NestedEnded records the end of a call that the server made for a call in progress, and whether it was refused for lack of capacity.
func (s *Server) NestedEnded(parent string, refused bool) {
	if s.backPressureEnabled() {
		s.inProgress.recordNested(parent, refused)
	}
}

// BackPressure returns the routes of which calls are refused, and the number of refused calls.
func (s *Server) BackPressure() (routes map[string]backpressure.Share, refused int64) {
	return s.backPressure.Shares(), s.backPressure.Refused()
}
