package attempt

import (
	"context"
	"sync"

	"github.com/looplab/fsm"
)

// States of an attempt at the entry node.
const (
	StatePicked   = "picked"
	StateSent     = "sent"
	StateAnswered = "answered"
	StateRefused  = "refused"
	StateBroken   = "broken"
)

// Events of an attempt.
const (
	EventSend   = "send"
	EventAnswer = "answer"
	EventRefuse = "refuse"
	EventBreak  = "break"
)

// machines pools state machines, because creating one costs about as much as all other bookkeeping of an attempt.
var machines = sync.Pool{New: func() any {
	return fsm.NewFSM(StatePicked, fsm.Events{
		{Name: EventSend, Src: []string{StatePicked}, Dst: StateSent},
		{Name: EventAnswer, Src: []string{StateSent}, Dst: StateAnswered},
		{Name: EventRefuse, Src: []string{StatePicked, StateSent}, Dst: StateRefused},
		{Name: EventBreak, Src: []string{StateSent}, Dst: StateBroken},
	}, nil)
}}

// StateMachine tracks the state of one attempt. It is not safe for concurrent use.
type StateMachine struct{ machine *fsm.FSM }

// NewStateMachine returns a state machine in StatePicked.
func NewStateMachine() StateMachine {
	machine := machines.Get().(*fsm.FSM)
	machine.SetState(StatePicked)
	return StateMachine{machine}
}

// Fire applies an event. It returns an error if the state does not allow the event, which is a programming error.
func (s StateMachine) Fire(event string) error { return s.machine.Event(context.Background(), event) }

// Release returns the last state and puts the machine back into the pool. The StateMachine must not be used afterwards.
func (s StateMachine) Release() string {
	state := s.machine.Current()
	machines.Put(s.machine)
	return state
}
