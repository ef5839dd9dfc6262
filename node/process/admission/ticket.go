package admission

import (
	"sync/atomic"
	"time"
)

// Result is the outcome of an admitted call.
type Result int

// Outcomes of admitted calls.
const (
	// OK is a complete answer.
	OK Result = iota
	// Error is a failure of the server. It counts as a slow answer, so that a server that fails quickly does not appear to be
	// fast.
	Error
	// Cancelled is a call that was cancelled, for example at its deadline. Its time in progress is counted, but no
	// completion.
	Cancelled
)

// Ticket represents one occupied slot. Done must be called once to release it; further calls have no effect.
type Ticket struct {
	admission *Admission
	started   time.Duration
	done      atomic.Bool
}

// Done releases the slot and records the result of the call.
func (t *Ticket) Done(r Result) {
	if t.done.Swap(true) {
		return
	}
	a := t.admission
	defer a.notifyDecided()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.estimate.finish(now, now-t.started, a.inProgress, r)
	a.inProgress--
	a.dispatch(now, a.config.Values())
}
