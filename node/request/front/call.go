package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
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
	front     *Front
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

func (f *Front) newCall(r *http.Request, route *routing.Route, id string, body []byte, now time.Time, timeout time.Duration) *call {
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

func (c *call) pick() (peers.Picked, error) {
	return c.front.config.Peers.Pick(c.service, c.choice(), c.excluded, c.refused)
}

// choice describes the call to the choice of a server.
func (c *call) choice() choice.Call {
	usual := c.front.usual.get(c.route.Name)
	return choice.Call{ObjectiveLeft: time.Until(c.objective), RouteTime: usual.time, RouteBytes: usual.bytes}
}

// referFrom returns the expected delay from which on a server should refer the call to another one.
func (c *call) referFrom(p peers.Picked) time.Duration {
	if p.NearOthers > 0 {
		return referFrom
	}
	return referFrom + c.choice().Distance()
}

// attempt sends the call to a server. It returns nil when another server is to be tried.
func (c *call) attempt(ctx context.Context, picked peers.Picked) *result {
	now := time.Now()
	server := picked.Server
	c.message.Stay = picked.Others == 0 || len(c.refused) >= maxReferrals
	c.message.ReferMs = uint32(c.referFrom(picked).Milliseconds())
	c.message.LeftMs = uint32(max(c.deadline.Sub(now).Milliseconds(), 1))
	c.message.ObjectiveMs = uint32(max(c.objective.Sub(now).Milliseconds(), 0))
	f, err := server.Send(ctx, c.front.config.Peers, c.message)
	if err != nil {
		return c.lost(ctx, server, err)
	}
	switch body := f.Body.(type) {
	case *linkpb.Frame_Answer:
		return c.answered(server, body.Answer, time.Since(now))
	case *linkpb.Frame_Refusal:
		return c.turnedAway(server, body.Refusal)
	case *linkpb.Frame_Broken:
		server.Result(true, time.Now())
		c.ran()
		if body.Broken.Timeout {
			return c.timeout(server)
		}
		return c.again(server, body.Broken.Cause, http.StatusBadGateway)
	}
	c.ran()
	return c.refusal("unreadable frame", 0)
}

// ran counts an attempt that may have run.
func (c *call) ran() {
	c.arrivals++
	c.mayHaveRun = true
}

// answered decides on a server's answer.
func (c *call) answered(server *peers.Server, answer *linkpb.Answer, took time.Duration) *result {
	c.ran()
	failed := answer.Status >= http.StatusInternalServerError
	server.Result(failed, time.Now())
	if !failed {
		c.front.usual.add(c.route.Name, took, proto.Size(c.message)+proto.Size(answer))
	}
	final := &result{status: int(answer.Status), answer: answer, server: server}
	if !failed || !c.mayRepeat() {
		return final
	}
	c.excluded = append(c.excluded, server)
	c.failure = final
	c.log("attempt failed", server, "status", answer.Status)
	return nil
}

// turnedAway decides on a refusal. The call has not run.
func (c *call) turnedAway(server *peers.Server, refusal *linkpb.Refusal) *result {
	after := time.Duration(refusal.RetryAfterMs) * time.Millisecond
	repeated := c.arrivals > 0
	switch refusal.Reason {
	case linkpb.Refusal_REASON_SERVER:
		server.Result(true, time.Now())
		c.arrivals++
		c.excluded = append(c.excluded, server)
		if c.arrivals >= c.route.MaxAttempts {
			return c.refusal("server refused", after)
		}
		c.log("attempt refused by the server", server)
		return nil
	case linkpb.Refusal_REASON_BUSY:
		c.refused = append(c.refused, server)
	case linkpb.Refusal_REASON_LATE:
		c.refused = append(c.refused, server)
		if c.message.Stay {
			c.returnBudget(repeated)
			return c.refusal("no room in time", after)
		}
	default:
		c.excluded = append(c.excluded, server)
	}
	c.returnBudget(repeated)
	return nil
}

func (c *call) returnBudget(repeated bool) {
	if repeated {
		c.front.config.Budget.Return(c.service)
	}
}

// lost decides on an attempt whose link failed.
func (c *call) lost(ctx context.Context, server *peers.Server, err error) *result {
	var notSent *link.NotSentError
	switch {
	case errors.As(err, &notSent):
		c.returnBudget(c.arrivals > 0)
		c.excluded = append(c.excluded, server)
		return nil
	case ctx.Err() != nil:
		c.ran()
		server.Result(errors.Is(ctx.Err(), context.DeadlineExceeded), time.Now())
		return c.timeout(server)
	}
	c.ran()
	server.Result(true, time.Now())
	return c.again(server, err.Error(), http.StatusBadGateway)
}

// again excludes a server that failed the call, and returns the failure when the call may not be repeated.
func (c *call) again(server *peers.Server, cause string, status int) *result {
	c.excluded = append(c.excluded, server)
	if !c.mayRepeat() {
		return &result{status: status, cause: cause, server: server}
	}
	c.log("attempt failed", server, "cause", cause)
	return nil
}

// mayRepeat reports whether a call that may have run may be sent again.
func (c *call) mayRepeat() bool {
	left := time.Until(c.deadline)
	usual := float64(c.front.usual.get(c.route.Name).time)
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
