package admission

import (
	"fmt"
	"time"
)

// Reason is the reason for which a call was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonQueueFull means that the queue is full and has no call of a lower class that can be evicted.
	ReasonQueueFull Reason = "queue full"
	// ReasonPushedOut means that the call was evicted from the full queue by a call of a higher class.
	ReasonPushedOut Reason = "pushed out"
	// ReasonDeadline means that the call is not expected to complete by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonWaitedTooLong means that the call waited for the maximum time in the settings.
	ReasonWaitedTooLong Reason = "waited too long"
	// ReasonSiblingFree means that another server of the service is expected to complete the call sooner.
	ReasonSiblingFree Reason = "sibling free"
	// ReasonDraining means that the server is draining.
	ReasonDraining Reason = "draining"
	// ReasonStopping means that the node is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonCancelled means that the caller cancelled the call while it waited.
	ReasonCancelled Reason = "cancelled"
)

// Refused is the error for a call that was refused before it ran.
type Refused struct {
	Reason Reason
	// RetryAfter is the expected wait at this server; zero when unknown.
	RetryAfter time.Duration
	// Sibling is the server to try instead, with ReasonSiblingFree.
	Sibling string

	cause error
}

// Error implements the error interface.
func (r *Refused) Error() string {
	if r.Sibling != "" {
		return fmt.Sprintf("call refused: %s: %s", r.Reason, r.Sibling)
	}
	return "call refused: " + string(r.Reason)
}

// Unwrap returns the error of the context if Reason is ReasonCancelled.
func (r *Refused) Unwrap() error { return r.cause }
