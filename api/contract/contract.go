// Package contract defines the interface of a node to callers and backend servers: header names, outcomes, priority
// classes and the JSON body of the answers that a node generates itself.
package contract

// Header names. HeaderContext, HeaderDepth and HeaderClass are internal: a node accepts them only from its own backend
// server and removes them from the calls of others.
const (
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Radish-Timeout-Ms"
	// HeaderOutcome reports whether the call ran; see Outcome.
	HeaderOutcome = "Radish-Outcome"
	// HeaderCallID identifies the call in logs and dumps.
	HeaderCallID = "Radish-Call-Id"
	// HeaderContext is the id of an attempt. A backend server copies it to the calls that it makes for the attempt.
	HeaderContext = "Radish-Context"
	// HeaderDepth is the number of calls above this one in its call tree.
	HeaderDepth = "Radish-Depth"
	// HeaderClass is the priority class of a call between services.
	HeaderClass = "Radish-Class"
	// HeaderService names the service if the Host header does not. It takes precedence over the path.
	HeaderService = "Radish-Service"
	// HeaderIdempotencyKey is the caller's key with which a non-idempotent call can be repeated safely.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a recorded answer that is replayed.
	HeaderReplayed = "Radish-Replayed"
)

// Outcome reports whether the work of a call ran.
type Outcome string

// Outcomes of a call.
const (
	// OutcomeRun means that the backend server sent a complete answer.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that the work did not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Class is a priority class. The zero value is not valid.
type Class string

// Priority classes from highest to lowest.
const (
	ClassCheck      Class = "check"
	ClassCritical   Class = "critical"
	ClassNormal     Class = "normal"
	ClassDeferrable Class = "deferrable"
)

// Classes lists the priority classes from highest to lowest.
var Classes = []Class{ClassCheck, ClassCritical, ClassNormal, ClassDeferrable}

// Rank returns the position of c in Classes. An unknown class has the rank of ClassNormal.
func (c Class) Rank() int {
	for i, k := range Classes {
		if k == c {
			return i
		}
	}
	return ClassNormal.Rank()
}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool {
	for _, k := range Classes {
		if k == c {
			return true
		}
	}
	return false
}

// Body is the JSON body of an answer that a node generates itself.
type Body struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	CallID  string  `json:"callId"`
}
