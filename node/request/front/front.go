// Package front handles the requests of callers at the node where they enter the fleet: it matches the route, chooses
// servers, retries calls where that is allowed and reports the outcome.
//
// A refusal with 429 or 503 guarantees that the request has not run and never will. It is sent only when the dispatcher
// beside the server or the server itself refused the request, or when nothing was sent. All other failures are 502 or 504.
package front

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/budget"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/request/requesturi"
	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	// noRoutingRetryAfter is the Retry-After time while the node has no routing yet.
	noRoutingRetryAfter = 300 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After time while other bodies take all memory for bodies.
	noMemoryRetryAfter = 300 * time.Millisecond
	// rejectAfterStop is the time after the signal to stop from which new requests are refused. Callers that have seen the
	// readiness check fail have left by then, and a later request might not end before the process does.
	rejectAfterStop = 2500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time of a stopping node. Callers retry on a new connection, to another node.
	stoppingRetryAfter = 20 * time.Millisecond
)

// Log is a structured logger; keyvals are alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
}

// Counters records outcomes and durations by name.
type Counters interface {
	Count(name string)
	Time(name string, took time.Duration)
}

// Config configures a Handler.
type Config struct {
	Names   protocol.Names
	Routing *routing.Holder
	Peers   *peers.Set
	Budget  *budget.Budget
	// Service returns the service of the backend server at this host.
	Service func() string
	// Parent returns the call with an ID that is in progress at the backend server at this host.
	Parent func(id string) (localserver.Parent, bool)
	// NestedEnded is called at the end of a call that the backend server at this host made for a call in progress there (parent).
	// refused reports whether the call was refused for lack of capacity. It may be nil.
	NestedEnded func(parent string, refused bool)
	// Freshness shows whether an unknown key may be valid in a newer routing version, and whether a known key may have been revoked.
	Freshness Freshness
	// Quota limits the requests of teams; nil if they are not limited.
	Quota Quota
	// Egress counts the bytes that wait to be sent by this host; nil if the transfer times of answers are not considered.
	Egress *link.Egress
	// Memory bounds the bytes of the bodies that are held.
	Memory   *membudget.Budget
	Log      Log
	Counters Counters
}

// Handler is the ingress.Handler of callers' requests. It is safe for concurrent use.
type Handler struct {
	config   Config
	averages *routeAverages
	open     *openRequests
	// dependencies holds the routes whose calls have just been refused because their nested calls would be refused.
	dependencies dependencies
	// stoppedAt is the Unix time of the signal to stop in nanoseconds; 0 before it.
	stoppedAt atomic.Int64
}

// New returns a Handler.
func New(c Config) *Handler {
	return &Handler{config: c, averages: newRouteAverages(), open: newOpenRequests()}
}

// Handle returns the response to a request, or nil when the caller has left.
func (h *Handler) Handle(r *http.Request) (response *ingress.Response) {
	memory := h.config.Memory.Reserve()
	defer func() {
		if response == nil { // also after a panic
			memory.Release()
		}
	}()
	if response = h.respond(r, memory); response != nil {
		releaseEgress := h.config.Egress.Hold(len(response.Body))
		response.Release = func() {
			releaseEgress()
			memory.Release()
		}
	}
	return response
}

// respond returns the response to a request, or nil when the caller has left. The memory is that of the request's body and of the
// answers to it.
func (h *Handler) respond(r *http.Request, memory *membudget.Reservation) *ingress.Response {
	c, problem := h.accept(r, arrival{at: time.Now(), boot: boottime.Now()}, memory)
	if problem != nil {
		return h.refuse(r, problem)
	}
	ctx, done := h.open.begin(r.Context(), c.deadline)
	defer done()
	token, problem := h.takeToken(ctx, c.team)
	switch {
	case problem == nil:
	case r.Context().Err() != nil:
		h.config.Counters.Count("caller.left")
		return nil
	default:
		problem.version = c.version
		return h.refuse(r, problem)
	}
	result := c.run(ctx)
	c.returnToken(token, result)
	if r.Context().Err() != nil {
		h.config.Counters.Count("caller.left")
		return nil
	}
	c.reportNested(result)
	return c.finish(result)
}

// refuse returns the response to a request that is not sent to any server.
func (h *Handler) refuse(r *http.Request, p *problem) *ingress.Response {
	h.config.Log.Info("request refused", "id", r.Header.Get(h.config.Names.ID), "status", p.status, "cause", p.cause,
		"version", p.version)
	h.config.Counters.Count("refused." + p.cause)
	return p.response(http.Header{})
}

// Repeatable reports whether a request is valid and may run more than once.
func (h *Handler) Repeatable(r *http.Request) bool {
	a, problem := h.acceptHead(r, time.Now())
	return problem == nil && a.route.Idempotent
}

// problem is the response to a request that is not sent to any server.
type problem struct {
	status     int
	cause      string
	retryAfter time.Duration
	// version is the number of the routing version that decided; 0 if none did.
	version uint64
}

// arrival is the time at which the head of a request had arrived, by the clock of the process and by the one that also runs while the
// host is suspended.
type arrival struct {
	at   time.Time
	boot time.Duration
}

// accepted is what a valid head of a request determines.
type accepted struct {
	version *routing.Version
	route   *routing.Route
	target  requesturi.URI
	id      string
	timeout time.Duration
	// team is the team whose key the request has; nil on a public route and in a version without teams.
	team *routing.Team
}

// acceptHead validates the head of a request and matches its route.
func (h *Handler) acceptHead(r *http.Request, now time.Time) (accepted, *problem) {
	return h.decideHead(r, now, h.authenticate)
}

// decideHead is like acceptHead, but calls teamOf for the team of the request. For a request that is not accepted, the result has the
// fields that were set before the failed check.
func (h *Handler) decideHead(
	r *http.Request, now time.Time, teamOf func(http.Header, *routing.Version, *routing.Route) (*routing.Team, *problem),
) (accepted, *problem) {
	var a accepted
	if failed := h.checkStopping(now); failed != nil {
		return a, failed
	}
	if a.version = h.config.Routing.Current(); a.version == nil {
		return a, &problem{status: http.StatusServiceUnavailable, cause: "no routing", retryAfter: noRoutingRetryAfter}
	}
	a.id = r.Header.Get(h.config.Names.ID)
	if a.id == "" || len(r.Header.Values(h.config.Names.ID)) > 1 {
		return a, &problem{status: http.StatusBadRequest, cause: "no request id"}
	}
	var err error
	if a.target, err = requesturi.Parse(r.RequestURI); err == nil {
		a.route = a.version.Match(r.Host, a.target.Path)
	}
	if a.route == nil {
		return a, &problem{status: http.StatusNotFound, cause: "no route"}
	}
	var failed *problem
	if a.team, failed = teamOf(r.Header, a.version, a.route); failed != nil {
		return a, failed
	}
	if !utf8.ValidString(a.id + a.target.Raw + r.Host) { // nodes could not send it to each other
		return a, &problem{status: http.StatusBadRequest, cause: "bytes that are not UTF-8"}
	}
	a.timeout = a.route.Timeout
	if value := r.Header.Get(h.config.Names.DeadlineMs); value != "" {
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || ms < 0 {
			return a, &problem{status: http.StatusBadRequest, cause: "bad deadline"}
		}
		a.timeout = min(a.timeout, time.Duration(ms*float64(time.Millisecond)))
	}
	return a, nil
}

// accept validates and reads a request. The memory for the body is reserved.
func (h *Handler) accept(r *http.Request, arrived arrival, memory *membudget.Reservation) (*call, *problem) {
	a, failed := h.acceptHead(r, arrived.at)
	if failed != nil {
		if a.version != nil {
			failed.version = a.version.Number
		}
		return nil, failed
	}
	body, failed := readBody(r, a.version.Limits.MaxBodyBytes, memory)
	if failed != nil {
		return nil, failed
	}
	if failed := h.checkStopping(time.Now()); failed != nil { // the body may have taken long to arrive
		return nil, failed
	}
	return h.newCall(r, a, body, memory, arrived), nil
}

func readBody(r *http.Request, limit int64, memory *membudget.Reservation) ([]byte, *problem) {
	var body []byte
	var err error
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > limit:
		err = membudget.ErrTooLarge
	case r.ContentLength > 0:
		body, err = membudget.ReadExactly(r.Body, r.ContentLength, memory)
	default:
		body, err = membudget.ReadAll(r.Body, limit, memory)
	}
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return nil, &problem{status: http.StatusRequestEntityTooLarge, cause: "body too large"}
	case errors.Is(err, membudget.ErrExhausted):
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "no memory for the body", retryAfter: noMemoryRetryAfter}
	case err != nil:
		return nil, &problem{status: http.StatusBadRequest, cause: "body incomplete"}
	}
	return body, nil
}

// response returns the response of the node itself, with additional headers.
func (p *problem) response(header http.Header) *ingress.Response {
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	}
	if p.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", authenticationScheme)
	}
	invalid := p.status == http.StatusBadRequest || p.status == http.StatusRequestEntityTooLarge
	return &ingress.Response{Status: p.status, Header: header, Close: invalid}
}
