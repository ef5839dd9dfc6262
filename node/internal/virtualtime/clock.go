// Package virtualtime runs events at virtual times, for tests of decisions under load without a network and without waiting.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their times. It is used by one goroutine.
type Clock struct {
	now    time.Time
	events eventHeap
	added  int
}

// New returns a Clock at a fixed time.
func New() *Clock { return &Clock{now: time.Unix(1_000_000, 0)} }

// Now returns the time of the event that runs.
func (c *Clock) Now() time.Time { return c.now }

// After runs an event after a delay.
func (c *Clock) After(delay time.Duration, run func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now.Add(delay), sequence: c.added, run: run})
}

// RunFor runs the events of a period, and those that they add to it.
func (c *Clock) RunFor(period time.Duration) {
	end := c.now.Add(period)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// event is a function that runs at a time. The sequence orders the events of one time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
