// Package front answers the requests of callers at the node where they enter the fleet: it matches the route, chooses
// servers, repeats what may be repeated and says truthfully what happened.
//
// A refusal with 429 or 503 says that the request has not run and never will run. It is given only on the word of the
// dispatcher beside the server, of the server itself, or when nothing was sent. Everything else is 502 or 504.
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
	// startRetryAfter is told to callers while the node has no routing yet.
	startRetryAfter = 300 * time.Millisecond
	// refuseAfter is the time after the signal to stop from which new requests are refused. Callers that have seen the
	// readiness check fail are gone by then, and a request that came later might not end before the process does.
	refuseAfter = 2500 * time.Millisecond
	// stopRetryAfter is told to callers of a node that stops. They come back on a new connection, to another node.
	stopRetryAfter = 20 * time.Millisecond
)

// Log takes log lines with alternating keys and values.
type Log interface {
	Info(message any, keyvals ...any)
}

// Counters counts outcomes by name.
type Counters interface {
	Count(name string)
	Time(name string, took time.Duration)
}

// Config configures a Front.
type Config struct {
	Names   protocol.Names
	Routing *routing.Holder
	Peers   *peers.Set
	Budget  *budget.Budget
	// Service returns the service at this host.
	Service  func() string
	Log      Log
	Counters Counters
}

// Handler is the handler of callers' requests. It is safe for concurrent use.
type Handler struct {
	config     Config
	averages   *routeAverages
	inProgress atomic.Int64
	lastAt     atomic.Int64
	// stoppedAt is the Unix time of the signal to stop in nanoseconds; 0 before it.
	stoppedAt atomic.Int64
}

// New returns a Front.
func New(c Config) *Handler { return &Handler{config: c, averages: newRouteAverages()} }

// InProgress returns the number of requests without an answer, and the time of the last arrival.
func (f *Handler) InProgress() (requests int64, lastArrival time.Time) {
	return f.inProgress.Load(), time.Unix(0, f.lastAt.Load())
}

// StartDrain has callers told to leave their connections.
func (f *Handler) StartDrain() { f.stoppedAt.Store(time.Now().UnixNano()) }

// ServeHTTP answers one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inProgress.Add(1)
	defer f.inProgress.Add(-1)
	now := time.Now()
	f.lastAt.Store(now.UnixNano())
	if f.stoppedAt.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	c, problem := f.accept(w, r, now)
	if problem != nil {
		f.config.Log.Info("request refused", "id", r.Header.Get(f.config.Names.ID), "status", problem.status, "cause", problem.cause)
		f.config.Counters.Count("refused." + problem.cause)
		f.reply(w, problem)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	result := c.run(ctx)
	if r.Context().Err() != nil {
		f.config.Counters.Count("caller.left")
		return
	}
	c.finish(w, result)
}

// problem is a request that is answered without being sent anywhere.
type problem struct {
	status     int
	cause      string
	retryAfter time.Duration
}

// accept reads a request and matches its route.
func (f *Handler) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *problem) {
	if stopped := f.stoppedAt.Load(); stopped != 0 && now.Sub(time.Unix(0, stopped)) > refuseAfter {
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "stopping", retryAfter: stopRetryAfter}
	}
	if ingress.AmbiguousLength(r.Context()) {
		return nil, &problem{status: http.StatusBadRequest, cause: "ambiguous length"}
	}
	version := f.config.Routing.Current()
	if version == nil {
		return nil, &problem{status: http.StatusServiceUnavailable, cause: "no routing", retryAfter: startRetryAfter}
	}
	id := r.Header.Get(f.config.Names.ID)
	if id == "" || len(r.Header.Values(f.config.Names.ID)) > 1 {
		return nil, &problem{status: http.StatusBadRequest, cause: "no request id"}
	}
	route := version.Match(r.Host, r.URL.Path)
	if route == nil {
		return nil, &problem{status: http.StatusNotFound, cause: "no route"}
	}
	timeout := route.Timeout
	if value := r.Header.Get(f.config.Names.DeadlineMs); value != "" {
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
	return f.newCall(r, route, id, body, now, timeout), nil
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

// reply writes an answer of the node's own.
func (f *Handler) reply(w http.ResponseWriter, p *problem) {
	h := w.Header()
	h["Date"] = nil
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	}
	if p.status == http.StatusBadRequest || p.status == http.StatusRequestEntityTooLarge {
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
}
