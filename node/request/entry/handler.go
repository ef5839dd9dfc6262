// Package entry handles a caller's request from arrival to answer: it finds the service, validates and classifies the call,
// claims its idempotency key, and makes attempts until there is an answer.
package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/ledger"
	"github.com/radishstand/radishstand/node/request/attempt"
	"github.com/radishstand/radishstand/node/request/retry"
	"github.com/radishstand/radishstand/node/version/current"
)

// defaultRetryAfter is the Retry-After time sent to callers when no longer estimate is known.
const defaultRetryAfter = time.Second

// Local makes attempts at the backend server beside this node.
type Local interface {
	Do(ctx context.Context, r *attempt.Request) (*attempt.Answer, error)
}

// Observer is notified of every call that has ended.
type Observer interface {
	CallEnded(Record)
}

// Record describes a call that has ended.
type Record struct {
	CallID   string           `json:"callId"`
	Service  string           `json:"service"`
	Method   string           `json:"method"`
	Class    contract.Class   `json:"class"`
	Outcome  contract.Outcome `json:"outcome"`
	Status   int              `json:"status"`
	Started  time.Time        `json:"started"`
	Took     time.Duration    `json:"tookNs"`
	Depth    int              `json:"depth"`
	Reason   string           `json:"reason,omitempty"`
	Attempts []AttemptRecord  `json:"attempts,omitempty"`
}

// AttemptRecord describes one attempt of a call.
type AttemptRecord struct {
	Server string        `json:"server"`
	After  time.Duration `json:"afterNs"`
	Took   time.Duration `json:"tookNs"`
	End    string        `json:"end"`
	Hedge  bool          `json:"hedge,omitempty"`
}

// Config holds what a Handler depends on.
type Config struct {
	NodeID   string
	Settings *current.Holder
	Balancer *balance.Balancer
	Retrier  *retry.Retrier
	Parents  *attempt.Table
	Pools    *retry.Pools
	Local    Local
	Remote   attempt.Doer
	// Track is called with the service of every call. It must be fast.
	Track func(service string)
	// OwnLoad returns the current load of the server beside this node if the server belongs to the service, else nil.
	OwnLoad func(service string) []balance.Load
	// Ledger may be nil; calls with an idempotency key are refused then.
	Ledger   ledger.Ledger
	Observer Observer
	Now      func() time.Time
	Log      *log.Logger
	// MaxInProgress limits the calls in progress at this node, and thereby its memory.
	MaxInProgress int64
}

// Handler serves calls. It is safe for concurrent use.
type Handler struct {
	Config
	inProgress atomic.Int64
}

// New returns a Handler.
func New(c Config) *Handler { return &Handler{Config: c} }

// InProgress returns the number of calls in progress.
func (h *Handler) InProgress() int64 { return h.inProgress.Load() }

// External serves callers. Headers that only nodes and backend servers may set are ignored.
func (h *Handler) External() http.Handler { return h.handler(false) }

// Internal serves the calls of the backend server beside the node. Its context and class headers are honoured.
func (h *Handler) Internal() http.Handler { return h.handler(true) }

func (h *Handler) handler(trusted bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, trusted) })
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, trusted bool) {
	defer h.inProgress.Add(-1)
	if h.inProgress.Add(1) > h.MaxInProgress {
		overloaded := notRun(http.StatusServiceUnavailable, "this node has too many calls in progress")
		overloaded.retryAfter = defaultRetryAfter
		writeRefusal(w, "", overloaded.beforeKeyLookup(r))
		return
	}
	c, refused := h.newCall(w, r, trusted)
	if refused != nil {
		h.refuse(w, c, nil, refused.beforeKeyLookup(r))
		return
	}
	ctx, cancel := c.withDeadline(r.Context())
	defer cancel()
	if c.key != "" && !c.idempotent {
		h.serveKeyed(ctx, w, c)
		return
	}
	answer, loop, err := h.runAttempts(ctx, c)
	if err != nil {
		h.refuse(w, c, loop, refusalOf(err))
		return
	}
	h.answer(w, c, loop, answer)
}

// withDeadline limits the call by its deadline. A non-idempotent call is not cancelled when the caller's connection closes:
// once sent, it may run until its deadline, so that its outcome is known.
func (c *call) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if !c.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

func (h *Handler) answer(w http.ResponseWriter, c *call, loop *attemptLoop, a *attempt.Answer) {
	defer a.Close()
	h.notifyObserver(c, loop, contract.OutcomeRun, a.Status, "")
	writeAnswer(w, c.id, a)
}

func (h *Handler) refuse(w http.ResponseWriter, c *call, loop *attemptLoop, r *refusal) {
	h.notifyObserver(c, loop, r.outcome, r.status, r.reason)
	writeRefusal(w, c.id, r)
}

func (h *Handler) notifyObserver(c *call, loop *attemptLoop, outcome contract.Outcome, status int, reason string) {
	if h.Observer == nil {
		return
	}
	record := Record{
		CallID: c.id, Service: c.service, Method: c.method, Class: c.class, Outcome: outcome, Status: status,
		Started: c.started, Took: h.Now().Sub(c.started), Depth: c.depth, Reason: reason,
	}
	if loop != nil {
		record.Attempts = loop.records
	}
	h.Observer.CallEnded(record)
}

// refusalOf returns the refusal for the final error of a call.
func refusalOf(err error) *refusal {
	var notRunErr *attempt.NotRun
	if errors.As(err, &notRunErr) {
		return refusalOfNotRun(notRunErr)
	}
	var broken *attempt.Broken
	if errors.As(err, &broken) && broken.Kind == attempt.KindDeadline {
		return &refusal{
			status: http.StatusGatewayTimeout, outcome: contract.OutcomeUnknown,
			reason: "no complete answer came before the deadline; the work may have run",
		}
	}
	return &refusal{
		status: http.StatusBadGateway, outcome: contract.OutcomeUnknown,
		reason: "the connection broke before a complete answer came; the work may have run",
	}
}

func refusalOfNotRun(e *attempt.NotRun) *refusal {
	if e.Reason == attempt.ReasonDeadline {
		return notRun(http.StatusGatewayTimeout, "the deadline came before any server could take the call")
	}
	r := notRun(http.StatusServiceUnavailable, "no server could take the call: %s", e.Reason)
	r.retryAfter = max(e.RetryAfter, defaultRetryAfter)
	return r
}
