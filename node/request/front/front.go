// Package front handles the requests of callers at the node where they enter the fleet: it matches the route, chooses
// servers, retries calls where that is allowed and reports the outcome.
//
// A refusal with 429 or 503 guarantees that the request has not run and never will. It is sent only when the dispatcher
// beside the server or the server itself refused the request, or when nothing was sent. All other failures are 502 or 504.
package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/budget"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	// noRoutingRetryAfter is the Retry-After time while the node has no routing yet.
	noRoutingRetryAfter = 300 * time.Millisecond
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
	Service  func() string
	Log      Log
	Counters Counters
}

// Handler is the http.Handler of callers' requests. It is safe for concurrent use.
type Handler struct {
	config      Config
	averages    *routeAverages
	inProgress  atomic.Int64
	lastArrival atomic.Int64
	// stoppedAt is the Unix time of the signal to stop in nanoseconds; 0 before it.
	stoppedAt atomic.Int64
}

// New returns a Handler.
func New(c Config) *Handler { return &Handler{config: c, averages: newRouteAverages()} }

// InProgress returns the number of requests without an answer, and the time of the last arrival.
func (h *Handler) InProgress() (requests int64, lastArrival time.Time) {
	return h.inProgress.Load(), time.Unix(0, h.lastArrival.Load())
}

// StartDrain makes all further responses close their connections, and refuses new requests after rejectAfterStop.
func (h *Handler) StartDrain() { h.stoppedAt.Store(time.Now().UnixNano()) }

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	now := time.Now()
	h.lastArrival.Store(now.UnixNano())
	if h.stoppedAt.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	c, problem := h.accept(w, r, now)
	if problem != nil {
		h.config.Log.Info("request refused", "id", r.Header.Get(h.config.Names.ID), "status", problem.status, "cause", problem.cause)
		h.config.Counters.Count("refused." + problem.cause)
		h.reply(w, problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	result := c.run(ctx)
	if r.Context().Err() != nil {
		h.config.Counters.Count("caller.left")
		return
	}
	c.finish(w, result)
}

// problem is the response to a request that is not sent to any server.
type problem struct {
	status     int
	cause      string
	retryAfter time.Duration
}

// accept validates and reads a request and matches its route.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *problem) {
	if stopped := h.stoppedAt.Load(); stopped != 0 && now.Sub(time.Unix(0, stopped)) > rejectAfterStop {
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "stopping", retryAfter: stoppingRetryAfter}
	}
	if ingress.AmbiguousLength(r.Context()) {
		return nil, &problem{status: http.StatusBadRequest, cause: "ambiguous length"}
	}
	version := h.config.Routing.Current()
	if version == nil {
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "no routing", retryAfter: noRoutingRetryAfter}
	}
	id := r.Header.Get(h.config.Names.ID)
	if id == "" || len(r.Header.Values(h.config.Names.ID)) > 1 {
		return nil, &problem{status: http.StatusBadRequest, cause: "no request id"}
	}
	route := version.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, &problem{status: http.StatusNotFound, cause: "no route"}
	}
	timeout := route.Timeout
	if value := r.Header.Get(h.config.Names.DeadlineMs); value != "" {
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || ms < 0 {
			return nil, &problem{status: http.StatusBadRequest, cause: "bad deadline"}
		}
		timeout = min(timeout, time.Duration(ms*float64(time.Millisecond)))
	}
	body, failed := readBody(w, r, version.Limits.MaxBodyBytes)
	if failed != nil {
		return nil, failed
	}
	return h.newCall(r, route, id, body, now, timeout), nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem) {
	switch {
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > limit:
		return nil, &problem{status: http.StatusRequestEntityTooLarge, cause: "body too large"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problem{status: http.StatusRequestEntityTooLarge, cause: "body too large"}
	case err != nil:
		return nil, &problem{status: http.StatusBadRequest, cause: "body incomplete"}
	}
	return body, nil
}

// reply writes a response of the node itself.
func (h *Handler) reply(w http.ResponseWriter, p *problem) {
	header := w.Header()
	header["Date"] = nil
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	}
	if p.status == http.StatusBadRequest || p.status == http.StatusRequestEntityTooLarge {
		header.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
}
