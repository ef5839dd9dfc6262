package admission

import (
	"sync/atomic"
	"time"
)

// Result is the end of an admitted call.
type Result int

// Results of admitted calls.
const (
	// OK is a complete answer.
	OK Result = iota
	// Error is a failure of the server. It counts as a slow answer, so that failing fast does not look like speed.
	Error
	// Cancelled is a call that was given up, for example at its deadline. It took its time but completed nothing.
	Cancelled
)

// Ticket is the right to one slot. Done must be called once; further calls have no effect.
type Ticket struct {
	admission *Admission
	started   time.Duration
	done      atomic.Bool
}

// Done gives the slot back.
func (t *Ticket) Done(r Result) {
	if t.done.Swap(true) {
		return
	}
	a := t.admission
	defer a.announce()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.estimate.finish(now, now-t.started, a.inProgress, r)
	a.inProgress--
	a.dispatch(now, a.config.Values())
}
