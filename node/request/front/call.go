package front

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/ingress"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/internal/membudget"
	"github.com/radishstand/radishstand/node/process/choice"
	"github.com/radishstand/radishstand/node/process/localserver"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/version/routing"
)

const (
	// maxRedirects is the number of redirections by busy servers after which a call waits at the next server.
	maxRedirects = 3
	// maxFurtherServers is the number of servers with room that are asked after a server has refused to queue the call.
	maxFurtherServers = 2
	// minRedirectDelay is the expected delay at a server above which a call is redirected to another server in the same
	// place.
	minRedirectDelay = 10 * time.Millisecond
	// minTimeShareForRetry is the share of the route's average time that must be left before the deadline for another
	// attempt.
	minTimeShareForRetry = 0.8
)

// call is the state of one request of a caller.
type call struct {
	handler   *Handler
	version   uint64        // number of the routing version that decided about the request
	team      *routing.Team // nil if the request has none
	route     *routing.Route
	service   string
	message   *linkpb.Call
	arrived   time.Time
	objective time.Time
	deadline  time.Time
	// timeout is the time from the arrival to the deadline, and arrivedBoot the arrival by the clock that also runs while the
	// host is suspended.
	timeout     time.Duration
	arrivedBoot time.Duration
	// memory is the share of the request's body and of the answers in the memory budget.
	memory *membudget.Reservation

	// excluded holds the servers that failed the call or do not accept it; refused holds those that were busy.
	excluded []*peers.Server
	refused  []*peers.Server
	// attempts is the number of attempts that may have reached a server, including those that the server refused.
	attempts int
	// failure is a server's answer with a failure status. It is sent to the caller when no other attempt is made.
	failure *result
	// lateRefusals is the number of servers that have refused to queue the call until they have room.
	lateRefusals int
	// hasDownloads is set if transfer times count in the choice of a server.
	hasDownloads bool
	// seeksRoom is set if further servers are asked after one has refused to queue the call, and if Retry-After stays within what callers
	// wait for. Without teams and downloads both cost more calls their objective than they save.
	seeksRoom bool
	// room is the basis of the Retry-After time.
	room expectedRoom
	// mayHaveRun is set when an attempt ended without confirmation that it has not run.
	mayHaveRun bool
}

// result is the outcome of a call.
type result struct {
	status int
	// answer is a server's answer; nil when the node itself responds.
	answer     *linkpb.Answer
	cause      string
	retryAfter time.Duration
	server     *peers.Server
}

func (h *Handler) newCall(r *http.Request, a accepted, body []byte, memory *membudget.Reservation, arrived arrival) *call {
	c := h.prepareCall(r, a, arrived)
	c.service, c.memory, c.message.Body = a.route.Split.Next(), memory, body
	return c
}

// prepareCall returns the call of a request, without the service, the body and the memory of the body.
func (h *Handler) prepareCall(r *http.Request, a accepted, arrived arrival) *call {
	c := &call{
		handler: h, version: a.version.Number, team: a.team, route: a.route, arrived: arrived.at,
		objective: arrived.at.Add(a.route.Objective), deadline: arrived.at.Add(a.timeout),
		timeout: a.timeout, arrivedBoot: arrived.boot, hasDownloads: a.version.HasDownloads(),
		seeksRoom: a.version.HasTeams() || a.version.HasDownloads(),
		message: &linkpb.Call{
			Method: r.Method, Target: a.target.Raw, Host: r.Host, Id: a.id, Header: h.forwardedHeader(r.Header),
			Rank: a.version.RankOf(a.route, a.team), Idempotent: a.route.Idempotent, CallerService: h.config.Service(), Route: a.route.Name,
			RoutingVersion: a.version.Number,
		},
	}
	if a.team != nil { // the backend server's own calls have no key
		c.message.Team, c.message.NameTeam = a.team.Name, true
	} else if parent, ok := h.parent(a.id); ok {
		c.message.Nested, c.message.Team, c.message.ParentRank = true, parent.Team, parent.Rank
	}
	return c
}

// parent returns the call in progress at the local backend server on behalf of which that server makes the call with the given ID.
func (h *Handler) parent(id string) (localserver.Parent, bool) {
	parent, ok := h.config.Names.ParentID(id)
	if !ok {
		return localserver.Parent{}, false
	}
	return h.config.Parent(parent)
}

// forwardedHeader returns the header lines of a request that are sent to a server. It does not change the header, since the
// connection may use it for requests behind this one.
func (h *Handler) forwardedHeader(header http.Header) []*linkpb.Header {
	header = maps.Clone(header)
	protocol.StripConnection(header)
	names := h.config.Names
	for _, reserved := range []string{names.ID, names.DeadlineMs, names.ServerID, names.CallerService, names.TeamKey, names.Team, "Expect"} {
		delete(header, reserved)
	}
	return localserver.Headers(header)
}

// run makes attempts until one ends the call, the retry budget is spent, no server is left or ctx ends.
func (c *call) run(ctx context.Context) *result {
	if r := c.rememberedRefusal(); r != nil {
		return r
	}
	c.handler.config.Budget.Earn(c.service)
	for {
		picked, err := c.pick()
		if err != nil {
			return c.refusal(c.causeWithoutServer())
		}
		if c.attempts > 0 && !c.handler.config.Budget.Spend(c.service) {
			return c.refusal("retry budget spent")
		}
		if r := c.attempt(ctx, picked); r != nil {
			return r
		}
		if ctx.Err() != nil {
			return c.timedOut(picked.Server)
		}
	}
}

// pick chooses the server of the next attempt. Once a server has refused to queue the call, it chooses only servers whose load reports
// show room, at most maxFurtherServers of them, while enough time is left.
func (c *call) pick() (peers.PickResult, error) {
	if c.lateRefusals > 0 {
		if !c.mayAskFurther() {
			return peers.PickResult{}, peers.ErrNoServer
		}
		c.handler.config.Counters.Count("asked_further")
		return c.handler.config.Peers.PickWithRoom(c.service, c.choice(), c.excluded, c.refused)
	}
	return c.handler.config.Peers.Pick(c.service, c.choice(), c.excluded, c.refused)
}

// mayAskFurther reports whether another server may be asked after servers have refused to queue the call.
func (c *call) mayAskFurther() bool {
	return c.seeksRoom && c.lateRefusals <= maxFurtherServers && c.hasTimeForAttempt()
}

// causeWithoutServer returns the cause of the refusal of a call when no server is left for it.
func (c *call) causeWithoutServer() string {
	if c.lateRefusals > 0 {
		return "no capacity in time"
	}
	return "no server"
}

// choice returns the properties of the call for the choice of a server.
func (c *call) choice() choice.Call {
	average := c.handler.averages.get(c.route.Name)
	return choice.Call{
		ObjectiveLeft: time.Until(c.objective), RouteTime: average.time, RouteBytes: average.bytes, Route: c.route.Name, Rank: c.message.Rank,
		Transfer: c.transfer(average.answerBytes),
	}
}

// transfer returns the properties of the transfer of an answer of the expected size; the zero value if the routing has no downloads.
func (c *call) transfer(answerBytes int) choice.Transfer {
	if !c.hasDownloads {
		return choice.Transfer{}
	}
	egress := c.handler.config.Egress
	return choice.Transfer{
		AnswerBytes: answerBytes, LargeBytes: c.handler.averages.largestAnswer(c.service),
		LinkBytesPerSecond: egress.BytesPerSecond(), EgressBytes: int(egress.WaitingBytes()),
	}
}

// redirectThreshold returns the expected delay above which a server should redirect the call to another one.
func (c *call) redirectThreshold(p peers.PickResult) time.Duration {
	if p.Redirect > 0 {
		return p.Redirect
	}
	if p.OthersInPlace > 0 {
		return minRedirectDelay
	}
	return minRedirectDelay + c.choice().TransferPenalty()
}

// mayRetry reports whether a call that may have run may be retried.
func (c *call) mayRetry() bool {
	return c.route.Idempotent && c.attempts < c.route.MaxAttempts && c.hasTimeForAttempt()
}

// hasTimeForAttempt reports whether enough time is left for another attempt.
func (c *call) hasTimeForAttempt() bool {
	average := float64(c.handler.averages.get(c.route.Name).time)
	return float64(time.Until(c.deadline)) > minTimeShareForRetry*average
}

// refusal returns the result of a call without further attempts: the answer of a server that failed it, else 502 when an
// earlier attempt may have run, else 503, since the call has not run and will not run.
func (c *call) refusal(cause string) *result {
	if c.failure != nil {
		return c.failure
	}
	if c.mayHaveRun {
		return &result{status: http.StatusBadGateway, cause: cause}
	}
	return &result{
		status: http.StatusServiceUnavailable, cause: cause, retryAfter: c.retryAfter(),
	}
}

// retryAfter returns the Retry-After time of a refused call.
func (c *call) retryAfter() time.Duration {
	left := time.Duration(0)
	if c.seeksRoom {
		left = time.Until(c.deadline)
	}
	return c.room.retryAfter(left, rand.Float64())
}

// timedOut returns the result of a call at its deadline: 503 if each attempt is known not to have run.
func (c *call) timedOut(server *peers.Server) *result {
	if !c.mayHaveRun {
		c.handler.config.Counters.Count("confirmed_not_started")
		return c.refusal("not started by the deadline")
	}
	return &result{status: http.StatusGatewayTimeout, cause: "deadline", server: server}
}

// finish returns the response with the result.
func (c *call) finish(r *result) *ingress.Response {
	header := http.Header{}
	header.Set(c.handler.config.Names.ID, c.message.Id)
	c.handler.config.Counters.Time("call", time.Since(c.arrived))
	if r.answer == nil {
		c.log("call failed", r.server, "status", r.status, "cause", r.cause, "attempts", c.attempts, "referrals", len(c.refused),
			"tookMs", time.Since(c.arrived).Milliseconds(), "retryAfterMs", r.retryAfter.Milliseconds())
		c.handler.config.Counters.Count("failed." + strconv.Itoa(r.status))
		return (&problem{status: r.status, retryAfter: r.retryAfter}).response(header)
	}
	c.handler.config.Counters.Count("answered")
	for _, line := range r.answer.Header {
		header[line.Name] = append(header[line.Name], string(line.Value))
	}
	return &ingress.Response{Status: r.status, Header: header, Body: r.answer.Body}
}

func (c *call) log(message string, server *peers.Server, keyvals ...any) {
	address := ""
	if server != nil {
		address = server.Address()
	}
	fields := append([]any{"id", c.message.Id, "route", c.route.Name, "version", c.version, "service", c.service, "team", c.message.Team, "server", c.message.ServerId, "peer", address}, keyvals...)
	c.handler.config.Log.Info(message, fields...)
}
