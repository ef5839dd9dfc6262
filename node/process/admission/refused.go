package admission

import (
	"fmt"
	"time"
)

// Reason says why a call was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonQueueFull means that the queue holds as many calls of the same or a higher class as it may.
	ReasonQueueFull Reason = "queue full"
	// ReasonPushedOut means that a call of a higher class took the place in the queue.
	ReasonPushedOut Reason = "pushed out"
	// ReasonDeadline means that the call cannot finish in its remaining time.
	ReasonDeadline Reason = "deadline"
	// ReasonWaitedTooLong means that the call waited as long as the settings allow.
	ReasonWaitedTooLong Reason = "waited too long"
	// ReasonSiblingFree means that another server of the service has free slots.
	ReasonSiblingFree Reason = "sibling free"
	// ReasonDraining means that the server is leaving.
	ReasonDraining Reason = "draining"
	// ReasonStopping means that the node is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonCancelled means that the caller gave up while the call waited.
	ReasonCancelled Reason = "cancelled"
)

// Refused is the error of a call that did not run.
type Refused struct {
	Reason Reason
	// RetryAfter is the expected wait at this server; zero when unknown.
	RetryAfter time.Duration
	// Sibling is the server to try instead, with ReasonSiblingFree.
	Sibling string

	cause error
}

// Error implements error.
func (r *Refused) Error() string {
	if r.Sibling != "" {
		return fmt.Sprintf("call refused: %s: %s", r.Reason, r.Sibling)
	}
	return "call refused: " + string(r.Reason)
}

// Unwrap returns the error of the context with ReasonCancelled.
func (r *Refused) Unwrap() error { return r.cause }
