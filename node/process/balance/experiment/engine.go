// Package experiment compares balancing policies in a discrete-event simulation. It runs the production balancer, admission
// queue and retry decisions for one service against simulated servers, without sockets.
package experiment

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engine is a discrete-event loop.
type engine struct {
	now      time.Duration
	sequence uint64
	events   events
}

// event is a function that is run at a given time. Events with the same time are run in the order of their creation.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// after schedules f to run after d.
func (e *engine) after(d time.Duration, f func()) {
	e.sequence++
	heap.Push(&e.events, event{at: e.now + max(d, 0), sequence: e.sequence, run: f})
}

// run runs all events up to the given time.
func (e *engine) run(until time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= until {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.run()
	}
	e.now = until
}

// clock returns the virtual time as a time.Time.
func (e *engine) clock() time.Time { return epoch.Add(e.now) }
