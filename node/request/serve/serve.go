// Package serve makes attempts at the backend server beside the node: it admits them, sends them, and returns an answer that
// is either complete or reported as broken.
package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/admission"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/process/registry"
	"github.com/radishstand/radishstand/node/request/attempt"
	"github.com/radishstand/radishstand/node/request/retry"
	"github.com/radishstand/radishstand/node/version/current"
)

// Handler makes attempts at the local backend server. It is safe for concurrent use.
type Handler struct {
	Registry *registry.Registry
	Settings *current.Holder
	Parents  *attempt.Table
	Pools    *retry.Pools
	// ReportLimiter decides when the next load report to an entry node is due.
	ReportLimiter *balance.ReportLimiter
	Now           func() time.Time
}

// Do makes an attempt. Its errors are *attempt.NotRun or *attempt.Broken.
func (h *Handler) Do(ctx context.Context, r *attempt.Request) (*attempt.Answer, error) {
	server := h.Registry.Current()
	if server == nil || server.ID != r.ServerID {
		return nil, &attempt.NotRun{Reason: attempt.ReasonNoServer}
	}
	values := h.values(r.Service)
	if values == nil {
		return nil, &attempt.NotRun{Reason: attempt.ReasonNoServer}
	}
	deadline := h.Now().Add(r.Timeout)
	ticket, err := h.admit(ctx, server, r, deadline)
	if err != nil {
		return nil, h.notRunError(err, server, r.From)
	}
	ctx, cancel := sendContext(ctx, r, deadline)
	e := &exchange{handler: h, server: server, request: r, values: values, ticket: ticket, cancel: cancel}
	return e.run(ctx, deadline)
}

// admit waits for a slot until the deadline at the latest. A call whose caller disconnects in the meantime leaves the queue,
// whether it is idempotent or not.
func (h *Handler) admit(
	ctx context.Context, server *registry.Server, r *attempt.Request, deadline time.Time,
) (*admission.Ticket, error) {
	return server.Admission.Admit(ctx, admission.Call{Class: r.Class, Deadline: deadline, NoRedirect: r.NoRedirect})
}

// values returns the settings of the service, or nil if the node does not have them.
func (h *Handler) values(service string) *settings.Values {
	snapshot := h.Settings.Current()
	if snapshot == nil {
		return nil
	}
	values, _ := snapshot.Values(service)
	return values
}

// sendContext limits the attempt by its deadline. A non-idempotent attempt continues when the entry node or the caller
// disconnects, so that its outcome becomes known.
func sendContext(ctx context.Context, r *attempt.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	if !r.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// reasonOf maps the reasons of the admission to the reasons that an entry node receives.
var reasonOf = map[admission.Reason]attempt.Reason{
	admission.ReasonQueueFull:     attempt.ReasonQueueFull,
	admission.ReasonPushedOut:     attempt.ReasonQueueFull,
	admission.ReasonWaitedTooLong: attempt.ReasonQueueFull,
	admission.ReasonDeadline:      attempt.ReasonDeadline,
	admission.ReasonSiblingFree:   attempt.ReasonSiblingFree,
	admission.ReasonDraining:      attempt.ReasonDraining,
	admission.ReasonStopping:      attempt.ReasonStopping,
	admission.ReasonCancelled:     attempt.ReasonDeadline,
}

// notRunError returns the error for an attempt that was not admitted.
func (h *Handler) notRunError(err error, server *registry.Server, from string) *attempt.NotRun {
	notRun := &attempt.NotRun{Reason: attempt.ReasonQueueFull, Loads: h.loadsFor(from, server)}
	var refused *admission.Refused
	if errors.As(err, &refused) {
		notRun.Reason, notRun.RetryAfter, notRun.Hint = reasonOf[refused.Reason], refused.RetryAfter, refused.Sibling
	}
	return notRun
}

// loadsFor returns the load report of the server if the next report to the entry node is due, else nil.
func (h *Handler) loadsFor(from string, server *registry.Server) []balance.Load {
	if !h.ReportLimiter.Due(from) {
		return nil
	}
	return h.Loads(server)
}

// Loads returns the load report of the server. Reports of its siblings are not included: they quadrupled the bytes sent and
// did not reduce the tail latency (docs/measurements-policy.md).
func (h *Handler) Loads(server *registry.Server) []balance.Load {
	l := server.Admission.Load(h.Now())
	own := balance.Load{
		ServerID: server.ID, Incarnation: server.Incarnation, Sequence: l.Sequence, InProgress: l.InProgress,
		Queued: l.Queued, Limit: l.Limit, ServiceTime: l.ServiceTime, Draining: l.Draining,
	}
	return []balance.Load{own}
}

// exchange is one admitted attempt.
type exchange struct {
	handler *Handler
	server  *registry.Server
	request *attempt.Request
	values  *settings.Values
	ticket  *admission.Ticket
	cancel  context.CancelFunc
}

// run sends the attempt to the server and returns its answer.
func (e *exchange) run(ctx context.Context, deadline time.Time) (*attempt.Answer, error) {
	h, r := e.handler, e.request
	h.Pools.Open(r.AttemptID, r.RetryAllowance)
	h.Parents.Add(r.AttemptID, attempt.Parent{CallID: r.CallID, Class: r.Class, Deadline: deadline, Depth: r.Depth})
	r.Header = serverHeader(r, deadline.Sub(h.Now()))
	answer, err := e.server.Client.Send(ctx, r)
	if err != nil {
		return nil, e.fail(err)
	}
	if provesNotRun(answer, &e.values.Call) {
		answer.Close()
		return nil, e.fail(&attempt.NotRun{Reason: attempt.ReasonServerRefused})
	}
	if err := bufferAnswer(answer, r.Method, e.values.Call.HoldBytes); err != nil {
		answer.Close()
		return nil, e.fail(&attempt.Broken{Kind: truncationKind(ctx), Cause: err})
	}
	if answer.Rest == nil {
		answer.RetriesUsed = e.end(resultOf(answer))
	} else {
		answer.RetriesUsed = h.Pools.Used(r.AttemptID)
		answer.Rest = &streamedRest{ReadCloser: answer.Rest, exchange: e}
	}
	answer.Loads = h.loadsFor(r.From, e.server)
	return answer, nil
}

// end releases the resources of the attempt and returns the number of extra attempts made below it.
func (e *exchange) end(result admission.Result) int {
	e.ticket.Done(result)
	e.handler.Parents.Remove(e.request.AttemptID)
	e.cancel()
	return e.handler.Pools.Close(e.request.AttemptID)
}

// fail ends the attempt and adds the retries used and the load report to its error.
func (e *exchange) fail(err error) error {
	var notRun *attempt.NotRun
	if errors.As(err, &notRun) {
		notRun.RetriesUsed = e.end(admission.Error)
		notRun.Loads = e.handler.loadsFor(e.request.From, e.server)
		return notRun
	}
	var broken *attempt.Broken
	if !errors.As(err, &broken) {
		broken = &attempt.Broken{Kind: attempt.KindBroken, Cause: err}
	}
	result := admission.Error
	if broken.Kind == attempt.KindDeadline || broken.Kind == attempt.KindCancelled {
		result = admission.Cancelled
	}
	broken.RetriesUsed = e.end(result)
	broken.Loads = e.handler.loadsFor(e.request.From, e.server)
	return broken
}

// resultOf returns the result that the admission records for an answer.
func resultOf(a *attempt.Answer) admission.Result {
	if a.Status >= http.StatusInternalServerError {
		return admission.Error
	}
	return admission.OK
}

// truncationKind returns the kind of an attempt whose answer broke off.
func truncationKind(ctx context.Context) attempt.Kind {
	if ctx.Err() != nil {
		return attempt.KindFromContext(ctx)
	}
	return attempt.KindTruncated
}

// serverHeader returns the headers of the request to the backend server, including those that the server forwards with the
// calls that it makes for the attempt.
func serverHeader(r *attempt.Request, remaining time.Duration) http.Header {
	header := make(http.Header, len(r.Header)+4)
	for name, values := range r.Header {
		header[name] = values
	}
	header.Set(contract.HeaderContext, r.AttemptID)
	header.Set(contract.HeaderCallID, r.CallID)
	header.Set(contract.HeaderDepth, strconv.Itoa(r.Depth))
	header.Set(contract.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	return header
}

// provesNotRun reports whether the answer has the status and header by which, according to the settings, the server states
// that the call did not run.
func provesNotRun(a *attempt.Answer, c *settings.Call) bool {
	if c.NotRunStatus == 0 || a.Status != c.NotRunStatus || c.NotRunHeader == "" {
		return false
	}
	return a.Header.Get(c.NotRunHeader) == string(contract.OutcomeNotRun)
}

// bufferAnswer reads the body of the answer into Body. If the body is longer than limit, the remainder stays in Rest.
func bufferAnswer(a *attempt.Answer, method string, limit int) error {
	if method == http.MethodHead {
		a.Close()
		a.Rest = nil
		return nil
	}
	var buffer bytes.Buffer
	if n := min(a.ContentLength, int64(limit)); n > 0 {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	n, err := io.Copy(&buffer, io.LimitReader(a.Rest, int64(limit)+1))
	if err != nil {
		return err
	}
	a.Body = buffer.Bytes()
	if n > int64(limit) {
		return nil
	}
	a.Close()
	a.Rest = nil
	// net/http reports a body shorter than its length as io.ErrUnexpectedEOF. This check keeps the guarantee independent of it.
	if a.ContentLength >= 0 && n != a.ContentLength {
		return io.ErrUnexpectedEOF
	}
	a.ContentLength = n
	return nil
}

// streamedRest is the remainder of a streamed answer. Closing it ends the attempt.
type streamedRest struct {
	io.ReadCloser
	exchange *exchange
	result   admission.Result
	closed   bool
}

// Read implements io.Reader.
func (r *streamedRest) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		r.result = admission.Error
	}
	return n, err
}

// Close implements io.Closer.
func (r *streamedRest) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	err := r.ReadCloser.Close()
	r.exchange.end(r.result)
	return err
}
