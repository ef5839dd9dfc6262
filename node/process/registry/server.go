package registry

import (
	"context"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/radishstand/radishstand/api/announce"
	"github.com/radishstand/radishstand/node/connection/backend"
	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/measure"
)

// States of a backend server.
const (
	StateReady    = "ready"
	StateSilent   = "silent"
	StateDraining = "draining"
	StateGone     = "gone"
)

const (
	eventRenew    = "renew"
	eventMiss     = "miss"
	eventDrain    = "drain"
	eventWithdraw = "withdraw"
)

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(StateReady, fsm.Events{
		{Name: eventRenew, Src: []string{StateReady, StateSilent}, Dst: StateReady},
		{Name: eventMiss, Src: []string{StateReady}, Dst: StateSilent},
		{Name: eventDrain, Src: []string{StateReady, StateSilent, StateDraining}, Dst: StateDraining},
		{Name: eventWithdraw, Src: []string{StateReady, StateSilent, StateDraining}, Dst: StateGone},
	}, nil)
}

// Server is a backend server beside the node, from its first announcement until it is withdrawn or replaced.
type Server struct {
	ID        string
	Announced announce.Server
	// Since is the time of the first announcement.
	Since       time.Time
	Incarnation uint64
	Admission   *admission.Admission
	Client      *backend.Client
	Meter       *measure.Meter

	machine *fsm.FSM

	mu        sync.Mutex
	renewedAt time.Time
}

// State returns the state of the server.
func (s *Server) State() string { return s.machine.Current() }

// fire applies an event to the state machine and reports whether the state changed. An event that the state does not allow
// is ignored, because a renewal and a withdrawal may arrive at the same time.
func (s *Server) fire(event string) bool {
	return s.machine.Event(context.Background(), event) == nil
}

func (s *Server) renew(now time.Time) {
	s.mu.Lock()
	s.renewedAt = now
	s.mu.Unlock()
	s.fire(eventRenew)
}

// sinceRenewal returns the time since the last announcement.
func (s *Server) sinceRenewal(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.renewedAt)
}
