// Package attempt describes one attempt of a call: what is asked of the node beside a backend server, what comes back,
// and the life of the attempt at the entry node.
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

// Request is one attempt of a call.
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
	// NoRedirect keeps the attempt from being referred to a sibling, since it was referred before.
	NoRedirect bool
	// RetryAllowance is how many extra attempts the calls below this attempt may make.
	RetryAllowance  int
	Depth           int
	SettingsVersion int64
}

// Answer is a backend server's answer. Body holds the whole answer when Rest is nil, else its beginning.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 when unknown.
	ContentLength int64
	Body          []byte
	// Rest yields what follows Body. It fails unless the answer is complete. The receiver closes it.
	Rest        io.ReadCloser
	Loads       []balance.Load
	RetriesUsed int
}

// Close releases a streamed answer.
func (a *Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}

// Doer carries out an attempt at the node beside the backend server. Its errors are *NotRun or *Broken.
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

// NotRun proves that the attempt did not run and will not run.
type NotRun struct {
	Reason      Reason
	RetryAfter  time.Duration
	Hint        string
	Loads       []balance.Load
	RetriesUsed int
}

// Error implements error.
func (e *NotRun) Error() string { return "attempt not run: " + string(e.Reason) }

// Kind is how an attempt broke.
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

// Broken means that the attempt was sent, or may have been, and that no complete answer came.
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

// KindFromContext turns the end of a context into the kind of a broken attempt, or KindBroken if the context still runs.
func KindFromContext(ctx context.Context) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return KindDeadline
	case ctx.Err() != nil:
		return KindCancelled
	}
	return KindBroken
}
