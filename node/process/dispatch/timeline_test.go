package dispatch_test

import (
	"container/heap"
	"time"
)

// timeline runs functions in virtual time, one after the other.
type timeline struct {
	now    time.Time
	count  int
	events eventHeap
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newTimeline() *timeline { return &timeline{now: time.Unix(1_800_000_000, 0)} }

func (t *timeline) Now() time.Time { return t.now }

// after runs a function after a time.
func (t *timeline) after(d time.Duration, run func()) {
	t.count++
	heap.Push(&t.events, event{t.now.Add(d), t.count, run})
}

// every runs a function at an interval.
func (t *timeline) every(interval time.Duration, run func()) {
	t.after(interval, func() {
		run()
		t.every(interval, run)
	})
}

// sleep runs what happens within a time.
func (t *timeline) sleep(d time.Duration) {
	end := t.now.Add(d)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}
