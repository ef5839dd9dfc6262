package localserver

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// States of the server.
const (
	// stateAbsent: no server has been announced or found.
	stateAbsent = "absent"
	// stateReady: the server accepts calls.
	stateReady = "ready"
	// stateUnreachable: the server is announced but refuses connections.
	stateUnreachable = "unreachable"
	// stateUnannounced: the server was found by a health check and has not announced itself in time. It may have
	// announced its end to an earlier process of this node.
	stateUnannounced = "unannounced"
	// stateDraining: the server completes its calls and accepts no new ones.
	stateDraining = "draining"
	// stateGone: the server has left.
	stateGone = "gone"
)

// Events of the state machine.
const (
	eventAnnounced = "announced"
	eventDrained   = "drained"
	eventLeft      = "left"
	eventLost      = "lost"
	eventFound     = "found"
	eventSilent    = "silent"
)

func newStateMachine(initial string) *fsm.FSM {
	return fsm.NewFSM(initial, fsm.Events{
		{Name: eventAnnounced, Src: []string{stateAbsent, stateReady, stateUnreachable, stateUnannounced}, Dst: stateReady},
		{Name: eventDrained, Src: []string{stateAbsent, stateReady, stateUnreachable, stateUnannounced}, Dst: stateDraining},
		{
			Name: eventLeft, Dst: stateGone,
			Src: []string{stateAbsent, stateReady, stateUnreachable, stateUnannounced, stateDraining},
		},
		{Name: eventLost, Src: []string{stateReady}, Dst: stateUnreachable},
		{Name: eventFound, Src: []string{stateUnreachable}, Dst: stateReady},
		{Name: eventSilent, Src: []string{stateReady, stateUnreachable}, Dst: stateUnannounced},
	}, fsm.Callbacks{})
}

// fireEvent applies an event to the state machine. An event that is not valid in the current state has no effect.
func (s *Server) fireEvent(name string) error {
	err := s.state.Event(context.Background(), name)
	if errors.As(err, &fsm.NoTransitionError{}) || errors.As(err, &fsm.InvalidEventError{}) {
		return nil
	}
	return err
}
