// Package attempt defines the attempts of a call: the request to the node beside a backend server, its answer or error, and
// the states of an attempt at the entry node.
package attempt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/process/balance"
)

// Request asks the node beside a backend server to make one attempt of a call.
type Request struct {
	AttemptID string
	// From is the peer address of the entry node.
	From       string
	CallID     string
	Service    string
	ServerID   string
	Method     string
	Target     string
	Host       string
	Header     http.Header
	Body       []byte
	Timeout    time.Duration
	Idempotent bool
	Class      contract.Class
	// NoRedirect prevents a redirection to a sibling. It is set when the call's allowance does not cover a redirected attempt
	// and a retry after it.
	NoRedirect bool
	// RetryAllowance is the number of extra attempts that the calls below this attempt may make.
	RetryAllowance  int
	Depth           int
	SettingsVersion int64
}

// Answer is a backend server's answer. Body is the complete body if Rest is nil, else its beginning.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 when unknown.
	ContentLength int64
	Body          []byte
	// Rest reads the part of the body that follows Body. It returns an error if the answer is incomplete. The receiver closes
	// it.
	Rest io.ReadCloser
	// Loads are the load reports that came with the answer.
	Loads []balance.Load
	// RetriesUsed is the number of extra attempts made below this attempt.
	RetriesUsed int
}

// Close releases a streamed answer.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Doer makes an attempt at the node beside the backend server. Its errors are *NotRun or *Broken.
type Doer interface {
	Do(ctx context.Context, server balance.Server, r *Request) (*Answer, error)
}

// Reason is why an attempt was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonQueueFull     Reason = "queue full"
	ReasonDraining      Reason = "draining"
	ReasonDeadline      Reason = "deadline too close"
	ReasonNoServer      Reason = "no such server"
	ReasonSiblingFree   Reason = "sibling free"
	ReasonServerRefused Reason = "refused by the server"
	ReasonStopping      Reason = "node stopping"
	ReasonUnreachable   Reason = "unreachable"
)

// NotRun is the error of an attempt that did not run and will not run.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration
	// Hint is the id of the sibling to which the attempt is redirected, if any.
	Hint        string
	Loads       []balance.Load
	RetriesUsed int
}

// Error implements error.
func (e *NotRun) Error() string { return "attempt not run: " + string(e.Reason) }

// Kind is the cause of a broken attempt.
type Kind int

// Kinds of broken attempts.
const (
	KindBroken Kind = iota + 1
	KindDeadline
	KindTruncated
	KindCancelled
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case KindBroken:
		return "connection broken"
	case KindDeadline:
		return "deadline exceeded"
	case KindTruncated:
		return "answer truncated"
	case KindCancelled:
		return "cancelled"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Broken is the error of an attempt that was or may have been sent and for which no complete answer was received.
type Broken struct {
	Kind        Kind
	Loads       []balance.Load
	RetriesUsed int
	// Cause is for logs only and never reaches a caller.
	Cause error
}

// Error implements error.
func (e *Broken) Error() string { return "attempt broken: " + e.Kind.String() }

// Unwrap returns the cause.
func (e *Broken) Unwrap() error { return e.Cause }

// KindFromContext returns the kind of a broken attempt that follows from the end of ctx, or KindBroken if ctx has not ended.
func KindFromContext(ctx context.Context) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindDeadline
	case ctx.Err() != nil:
		return KindCancelled
	}
	return KindBroken
}
