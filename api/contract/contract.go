// Package contract holds what callers and backend servers see of a node: header names, outcomes, priority classes and
// the JSON body of the answers that a node makes itself.
package contract

// Header names. Context, Depth and Class are inner headers: a node takes them only from its own backend server and
// strips them from everyone else.
const (
	// HeaderTimeout is the time that the caller is willing to wait, in milliseconds.
	HeaderTimeout = "Radish-Timeout-Ms"
	// HeaderOutcome says whether the work ran.
	HeaderOutcome = "Radish-Outcome"
	// HeaderCallID identifies the call in logs and dumps.
	HeaderCallID = "Radish-Call-Id"
	// HeaderContext is the attempt id that a backend server passes on with the calls that it makes for an attempt.
	HeaderContext = "Radish-Context"
	// HeaderDepth is the number of calls above this one.
	HeaderDepth = "Radish-Depth"
	// HeaderClass is the priority class of a call between services.
	HeaderClass = "Radish-Class"
	// HeaderService names the service when the Host does not; it goes before the path.
	HeaderService = "Radish-Service"
	// HeaderIdempotencyKey is the caller's key for repeating non-idempotent work.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a recorded answer that is given again.
	HeaderReplayed = "Radish-Replayed"
)

// Outcome says whether the work of a call ran.
type Outcome string

// Outcomes.
const (
	// OutcomeRun means that the backend server answered completely.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that the work did not run and will not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Class is a priority class. The zero value is not valid.
type Class string

// Priority classes, highest first.
const (
	ClassCheck      Class = "check"
	ClassCritical   Class = "critical"
	ClassNormal     Class = "normal"
	ClassDeferrable Class = "deferrable"
)

// Classes lists the priority classes, highest first.
var Classes = []Class{ClassCheck, ClassCritical, ClassNormal, ClassDeferrable}

// Rank returns the position of c in Classes; an unknown class ranks as ClassNormal.
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

// Body is the JSON body of an answer that a node makes itself.
type Body struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	CallID  string  `json:"callId"`
}
