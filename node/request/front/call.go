package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/choice"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	// maxReferrals is the number of busy servers after which a call waits at the next one.
	maxReferrals = 3
	// referFrom is the expected delay at a server from which on a call is better tried elsewhere in its place.
	referFrom = 10 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller is asked back.
	minRetryAfter = 40 * time.Millisecond
	// retrySpread varies the time after which refused callers come back, so that they do not come back together.
	retrySpread = 0.5
	// repeatShare is the share of the usual time of a call that must be left for another attempt.
	repeatShare = 0.8
)

// call is one request of a caller on its way through the fleet.
type call struct {
	front     *Handler
	route     *routing.Route
	service   string
	message   *linkpb.Call
	arrived   time.Time
	objective time.Time
	deadline  time.Time

	// excluded servers failed the call or do not take it; refused ones were busy.
	excluded []*peers.Server
	refused  []*peers.Server
	// arrivals is the number of attempts that may have reached a server, also of those that it refused.
	arrivals int
	// failure is a server's own failure, which is the caller's answer when no other attempt is made.
	failure *result
	// mayHaveRun is set when an attempt ended without the word that it has not run.
	mayHaveRun bool
}

// result is how a call ended.
type result struct {
	status int
	// answer is a server's answer; nil when the node answers itself.
	answer     *linkpb.Answer
	cause      string
	retryAfter time.Duration
	server     *peers.Server
}

func (f *Handler) newCall(r *http.Request, route *routing.Route, id string, body []byte, now time.Time, timeout time.Duration) *call {
	protocol.StripConnection(r.Header)
	names := f.config.Names
	for _, own := range []string{names.ID, names.DeadlineMs, names.ServerID, names.CallerService, "Expect"} {
		delete(r.Header, own)
	}
	return &call{
		front: f, route: route, service: route.Split.Next(), arrived: now,
		objective: now.Add(route.Objective), deadline: now.Add(timeout),
		message: &linkpb.Call{
			Method: r.Method, Target: r.RequestURI, Host: r.Host, Id: id, Header: localserver.Headers(r.Header), Body: body,
			Rank: uint32(max(route.Rank, 0)), Idempotent: route.Idempotent, CallerService: f.config.Service(), Route: route.Name,
		},
	}
}

// run makes attempts until there is a result.
func (c *call) run(ctx context.Context) *result {
	c.front.config.Budget.Earn(c.service)
	for {
		picked, err := c.pick()
		if err != nil {
			return c.refusal("no server", minRetryAfter)
		}
		if c.arrivals > 0 && !c.front.config.Budget.Spend(c.service) {
			return c.refusal("retry budget spent", minRetryAfter)
		}
		if r := c.attempt(ctx, picked); r != nil {
			return r
		}
		if ctx.Err() != nil {
			return c.timeout(picked.Server)
		}
	}
}

func (c *call) pick() (peers.PickResult, error) {
	return c.front.config.Peers.Pick(c.service, c.choice(), c.excluded, c.refused)
}

// choice describes the call to the choice of a server.
func (c *call) choice() choice.Call {
	usual := c.front.averages.get(c.route.Name)
	return choice.Call{ObjectiveLeft: time.Until(c.objective), RouteTime: usual.time, RouteBytes: usual.bytes}
}

// redirectThreshold returns the expected delay from which on a server should refer the call to another one.
func (c *call) redirectThreshold(p peers.PickResult) time.Duration {
	if p.OthersInPlace > 0 {
		return referFrom
	}
	return referFrom + c.choice().TransferPenalty()
}

// mayRetry reports whether a call that may have run may be sent again.
func (c *call) mayRetry() bool {
	left := time.Until(c.deadline)
	usual := float64(c.front.averages.get(c.route.Name).time)
	return c.route.Idempotent && c.arrivals < c.route.MaxAttempts && float64(left) > repeatShare*usual
}

// refusal is the end of a call that has not run and will not run, unless an attempt before may have run. A server's own
// failure goes before one of the node's.
func (c *call) refusal(cause string, after time.Duration) *result {
	if c.failure != nil {
		return c.failure
	}
	if c.mayHaveRun {
		return &result{status: http.StatusBadGateway, cause: cause}
	}
	spread := 1 + retrySpread*rand.Float64()
	return &result{
		status: http.StatusServiceUnavailable, cause: cause,
		retryAfter: time.Duration(float64(max(after, minRetryAfter)) * spread),
	}
}

func (c *call) timeout(server *peers.Server) *result {
	return &result{status: http.StatusGatewayTimeout, cause: "deadline", server: server}
}

// finish writes the result to the caller.
func (c *call) finish(w http.ResponseWriter, r *result) {
	h := w.Header()
	h["Date"] = nil
	h.Set(c.front.config.Names.ID, c.message.Id)
	c.front.config.Counters.Time("call", time.Since(c.arrived))
	if r.answer == nil {
		c.log("call failed", r.server, "status", r.status, "cause", r.cause, "attempts", c.arrivals, "referrals", len(c.refused),
			"tookMs", time.Since(c.arrived).Milliseconds())
		c.front.config.Counters.Count("failed." + strconv.Itoa(r.status))
		c.front.reply(w, &problem{status: r.status, retryAfter: r.retryAfter})
		return
	}
	c.front.config.Counters.Count("answered")
	h["Content-Type"] = nil
	for _, line := range r.answer.Header {
		h[line.Name] = append(h[line.Name], line.Value)
	}
	h.Set("Content-Length", strconv.Itoa(len(r.answer.Body)))
	w.WriteHeader(r.status)
	_, _ = w.Write(r.answer.Body) // an error means that the caller has left
}

func (c *call) log(message string, server *peers.Server, keyvals ...any) {
	address := ""
	if server != nil {
		address = server.Address()
	}
	fields := append([]any{"id", c.message.Id, "route", c.route.Name, "service", c.service, "server", c.message.ServerId, "peer", address}, keyvals...)
	c.front.config.Log.Info(message, fields...)
}
