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

// lives holds state machines for reuse: building one costs about as much as the rest of an attempt's bookkeeping.
var lives = sync.Pool{New: func() any {
	return fsm.NewFSM(StatePicked, fsm.Events{
		{Name: EventSend, Src: []string{StatePicked}, Dst: StateSent},
		{Name: EventAnswer, Src: []string{StateSent}, Dst: StateAnswered},
		{Name: EventRefuse, Src: []string{StatePicked, StateSent}, Dst: StateRefused},
		{Name: EventBreak, Src: []string{StateSent}, Dst: StateBroken},
	}, nil)
}}

// StateMachine is the life of one attempt. It is used by one goroutine.
type StateMachine struct{ machine *fsm.FSM }

// NewStateMachine returns a life in StatePicked.
func NewStateMachine() StateMachine {
	machine := lives.Get().(*fsm.FSM)
	machine.SetState(StatePicked)
	return StateMachine{machine}
}

// Fire sends an event; an event that the state does not allow is a programming error and is returned.
func (l StateMachine) Fire(event string) error { return l.machine.Event(context.Background(), event) }

// Release returns the last state and gives the machine back; the life must not be used afterwards.
func (l StateMachine) Release() string {
	state := l.machine.Current()
	lives.Put(l.machine)
	return state
}
