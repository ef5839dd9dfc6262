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

func newLife() *fsm.FSM {
	return fsm.NewFSM(StateReady, fsm.Events{
		{Name: eventRenew, Src: []string{StateReady, StateSilent}, Dst: StateReady},
		{Name: eventMiss, Src: []string{StateReady}, Dst: StateSilent},
		{Name: eventDrain, Src: []string{StateReady, StateSilent, StateDraining}, Dst: StateDraining},
		{Name: eventWithdraw, Src: []string{StateReady, StateSilent, StateDraining}, Dst: StateGone},
	}, nil)
}

// Server is the backend server beside the node, from its announcement until it is gone.
type Server struct {
	ID          string
	Announced   announce.Server
	Since       time.Time
	Incarnation uint64
	Admission   *admission.Admission
	Client      *backend.Client
	Meter       *measure.Meter

	life *fsm.FSM

	mu      sync.Mutex
	renewed time.Time
}

// State returns the state of the server's life.
func (s *Server) State() string { return s.life.Current() }

// fire sends an event to the state machine and reports whether the state changed. Events that the state does not allow
// are ignored, since a renewal may cross a withdrawal.
func (s *Server) fire(event string) bool {
	return s.life.Event(context.Background(), event) == nil
}

func (s *Server) renew(now time.Time) {
	s.mu.Lock()
	s.renewed = now
	s.mu.Unlock()
	s.fire(eventRenew)
}

func (s *Server) silentFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.renewed)
}
