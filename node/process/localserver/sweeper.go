package localserver

import (
	"sync"
	"time"
)

// sweepInterval is the interval between two sweeps of the waiting calls.
const sweepInterval = 20 * time.Millisecond

// sweeper runs sweeps of the waiting calls while there are any. It is safe for concurrent use.
type sweeper struct {
	// sweep handles the waiting calls and reports whether calls still wait.
	sweep func() bool

	mu        sync.Mutex
	scheduled bool
}

// schedule schedules a sweep unless one is scheduled. It is called when a call begins to wait.
func (s *sweeper) schedule() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled {
		return
	}
	s.scheduled = true
	time.AfterFunc(sweepInterval, s.run)
}

// run runs the scheduled sweep. A call that begins to wait during it schedules the next one, since the sweep may have missed it.
func (s *sweeper) run() {
	s.mu.Lock()
	s.scheduled = false
	s.mu.Unlock()
	if s.sweep() {
		s.schedule()
	}
}
