package front

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/api/explain"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/process/peers"
	"github.com/radishstand/radishstand/node/process/quota"
	"github.com/radishstand/radishstand/node/version/routing"
)

// explainedID is the request id of a request that is explained. It names no parent.
const explainedID = "explain"

// ErrInvalidExplanation reports a request that cannot be explained because it is incomplete, contradictory or names an unknown team.
var ErrInvalidExplanation = errors.New("invalid request")

// explanation is the state of one explanation.
type explanation struct {
	handler *Handler
	now     time.Time
	answer  *explain.Answer
	call    *call
}

// Explain returns what would happen to a request now. It uses the code of real requests, but sends no frame, takes no token and changes
// no counter. The error wraps ErrInvalidExplanation.
func (h *Handler) Explain(q explain.Request) (*explain.Answer, error) {
	e := &explanation{handler: h, now: time.Now(), answer: &explain.Answer{Version: h.config.Routing.Number()}}
	claimed, err := h.explainedClaim(q)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	header.Set(h.config.Names.ID, explainedID)
	r := &http.Request{Method: q.Method, RequestURI: q.Path, Host: q.Host, Header: header}
	a, failed := h.decideHead(r, e.now, func(_ http.Header, v *routing.Version, r *routing.Route) (*routing.Team, *problem) {
		return h.decideTeam(v, r, claimed)
	})
	e.identity(q, a, failed)
	e.addUnknowns()
	e.refuse(failed)
	if a.route == nil {
		return e.answer, nil
	}
	if failed != nil {
		a.timeout = a.route.Timeout
	}
	e.call = h.prepareCall(r, a, arrival{at: e.now, boot: boottime.Now()})
	e.call.service = a.route.Split.Peek()
	e.route(a)
	e.quota(a.team)
	e.destination()
	return e.answer, nil
}

// explainedClaim returns the claim of the key or of the name of a team.
func (h *Handler) explainedClaim(q explain.Request) (claim, error) {
	v := h.config.Routing.Current()
	switch {
	case q.Host == "" || q.Path == "":
		return claim{}, fmt.Errorf("%w: host and path are required", ErrInvalidExplanation)
	case q.Key != "" && q.Team != "":
		return claim{}, fmt.Errorf("%w: both a key and the name of a team are given", ErrInvalidExplanation)
	case v == nil || q.Key == "" && q.Team == "":
		return claim{}, nil
	case q.Key != "":
		header := http.Header{}
		header.Set(h.config.Names.TeamKey, q.Key)
		return h.claimOf(header, v), nil
	}
	team := v.TeamNamed(q.Team)
	if team == nil {
		return claim{}, fmt.Errorf("%w: version %d has no team of that name", ErrInvalidExplanation, v.Number)
	}
	return claim{team: team, keys: 1}, nil
}

// identity records the decision about the caller's team.
func (e *explanation) identity(q explain.Request, a accepted, failed *problem) {
	i := &e.answer.Identity
	switch {
	case q.Key != "":
		i.Given = "key"
	case q.Team != "":
		i.Given = "name"
		e.unknown("whether the caller's key is valid", "the team was given by its name")
	default:
		i.Given = "nothing"
	}
	if a.route == nil {
		return
	}
	i.Required = !a.route.Public && a.version.HasTeams()
	if a.team != nil {
		i.Team = a.team.Name
	}
	if failed != nil && i.Required && a.team == nil {
		i.Status, i.Cause = failed.status, failed.cause
	}
}

// addUnknowns lists what no explanation can know.
func (e *explanation) addUnknowns() {
	e.unknown("the time that the caller grants, and the body", "they are the request's; the route's timeout and an empty body are assumed")
	e.unknown("whether it is a nested call", "that depends on the id of the request; a call of an outside caller is assumed")
	e.unknown("the variation of estimates", "they vary at random, so that nodes with the same reports choose different servers")
}

// unknown lists something that the node cannot know.
func (e *explanation) unknown(what, why string) {
	e.answer.Unknown = append(e.answer.Unknown, explain.Unknown{What: what, Why: why})
}

// route records the route with its averages and its split.
func (e *explanation) route(a accepted) {
	r, average := a.route, e.handler.averages.get(a.route.Name)
	e.answer.Route = &explain.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Public: r.Public, Idempotent: r.Idempotent, TimeoutMs: r.Timeout.Milliseconds(),
		ObjectiveMs: r.Objective.Milliseconds(), MaxAttempts: r.MaxAttempts, Rank: e.call.message.Rank,
		AverageMs: milliseconds(average.time), AverageBytes: average.bytes,
	}
	if average.time == 0 {
		e.unknown("the time of a call on the route", "no call on it has been answered at this node; that of the server is assumed")
	}
	parts := r.Split.Parts()
	for _, p := range parts {
		e.answer.Split = append(e.answer.Split, explain.Part{Service: p.Service, Weight: p.Weight, Next: p.Service == e.call.service})
	}
	if len(parts) > 1 {
		e.unknown("the service of the next request", "other requests may take the turn first")
	}
}

// quota records whether a request of a team would get a token.
func (e *explanation) quota(team *routing.Team) {
	if team == nil || e.handler.config.Quota == nil || !team.Quota.Limited() {
		return
	}
	o := e.handler.config.Quota.Outlook(team)
	e.answer.Quota = explain.Quota{
		Limited: true, PerSecond: team.Quota.PerSecond, Burst: team.Quota.Burst, Owner: o.Owner, Tokens: o.Tokens,
		EmptyForMs: o.EmptyFor.Milliseconds(), Decision: o.Decision,
	}
	if o.Decision == quota.AskOwner {
		e.unknown("whether the quota's owner grants a token", "it was not asked, since an answer would take the token")
	}
	if o.Err != nil {
		e.refuse(quotaProblem(o.Err))
	}
}

// destination decides which server would get the call.
func (e *explanation) destination() {
	c := e.call
	for _, view := range e.handler.config.Peers.Candidates(c.service, c.choice()) {
		e.answer.Candidates = append(e.answer.Candidates, e.candidate(view))
	}
	if unlinked := e.handler.config.Peers.Unlinked(); len(unlinked) > 0 {
		e.unknown(fmt.Sprintf("the servers at %d nodes: %v", len(unlinked), unlinked), "there is no link to them")
	}
	if after, refused := c.rememberedDependency(e.now); refused {
		e.refuse(&problem{status: http.StatusServiceUnavailable, cause: causeDependency, retryAfter: after})
	}
	preview, err := e.handler.config.Peers.PreviewPick(c.service, c.choice(), nil, nil)
	if err != nil {
		e.refuse(c.problemWithoutServer())
		return
	}
	e.send(preview)
	if e.answer.Queue.Answer != explain.QueueRefuses {
		return
	}
	c.lateRefusals, c.refused = 1, append(c.refused, preview.Picked.Server)
	if c.mayAskFurther() {
		if further, err := e.handler.config.Peers.PreviewPickWithRoom(c.service, c.choice(), nil, c.refused); err == nil {
			e.send(further)
			return
		}
	}
	e.refuseAs(explain.ResultLikelyRefused, c.problemWithoutServer())
}

// problemWithoutServer returns the refusal of a call when no server is left for it.
func (c *call) problemWithoutServer() *problem {
	return &problem{status: http.StatusServiceUnavailable, cause: c.causeWithoutServer(), retryAfter: minRetryAfter}
}

// send records the server that would get the call.
func (e *explanation) send(p peers.Preview) {
	chosen := p.Chosen
	for i := range e.answer.Candidates {
		c := &e.answer.Candidates[i]
		c.Chosen = c.Node == chosen.Node
	}
	if p.Shares == nil {
		e.answer.Choice = &explain.Choice{
			Rule: explain.RulePenalty, TransferPenaltyMs: milliseconds(e.call.choice().TransferPenalty()),
		}
	} else {
		e.answer.Choice = &explain.Choice{Rule: explain.RuleShare, LeavingShares: p.Shares}
	}
	if len(p.Shares) > 0 {
		e.unknown("whether this request leaves the place", "a share of the requests does, drawn at random")
	}
	e.queue(p)
	if e.answer.Outcome.Result == explain.ResultRefused {
		return
	}
	e.answer.Outcome = explain.Outcome{
		Result: explain.ResultSent, Service: e.call.service, Server: chosen.ServerID, Place: chosen.Place, Away: !chosen.Candidate.SamePlace,
	}
}

// queue records what the queue at the server would answer, as far as its last report shows.
func (e *explanation) queue(p peers.Preview) {
	c, wait, left := e.call, p.Chosen.Terms.Wait, e.call.timeout
	q := &explain.Queue{WaitMs: milliseconds(wait), TimeLeftMs: left.Milliseconds()}
	if p.Picked.Others > 0 {
		q.RedirectMs = milliseconds(c.redirectThreshold(p.Picked))
	}
	switch {
	case p.Chosen.Candidate.HasRoom():
		q.Answer = explain.QueueStarts
	case wait+p.Chosen.Terms.Work > left:
		q.Answer = explain.QueueRefuses
	case q.RedirectMs > 0 && q.WaitMs > q.RedirectMs:
		q.Answer = explain.QueueRedirects
	default:
		q.Answer = explain.QueueWaits
	}
	if e.answer.Queue == nil {
		e.unknown("the answer of the queue", "it depends on the calls that wait there, their order and shares; only their number in the last report is known")
	}
	e.answer.Queue = q
}

// refuse records the refusal of the request. It does nothing if p is nil or an earlier check has refused the request.
func (e *explanation) refuse(p *problem) {
	e.refuseAs(explain.ResultRefused, p)
}

// refuseAs is like refuse with the given result.
func (e *explanation) refuseAs(result string, p *problem) {
	if p == nil || e.answer.Outcome.Result == explain.ResultRefused {
		return
	}
	e.answer.Outcome = explain.Outcome{
		Result: result, Status: p.status, Cause: p.cause, RetryAfterMs: p.retryAfter.Milliseconds(),
	}
}

// candidate translates the view of a server.
func (e *explanation) candidate(v peers.CandidateView) explain.Candidate {
	out := explain.Candidate{Node: v.Node, Server: v.ServerID, Place: v.Place, Unusable: v.Unusable, Evacuated: v.Evacuated, ReportAgeMs: -1}
	if v.Unusable != "" {
		return out
	}
	c := v.Candidate
	out.Suspect, out.ColdMs, out.RateLimit = c.Suspect, c.WarmUpLeft.Milliseconds(), c.RateLimit
	out.InProgress, out.Queued, out.Limit, out.SentSince = c.InProgress, c.Queued, c.Limit, c.SentSinceReport
	out.EstimateMs, out.HasRoom = milliseconds(v.Terms.Total()), c.HasRoom()
	if v.Reported {
		out.ReportAgeMs = milliseconds(c.ReportAge)
	} else {
		e.unknown("the load of "+v.ServerID, "its node has sent no report")
	}
	out.Terms = map[string]float64{}
	for name, d := range map[string]time.Duration{
		"roundTrip": v.Terms.RoundTrip, "work": v.Terms.Work, "wait": v.Terms.Wait, "utilization": v.Terms.Utilization,
		"failures": v.Terms.Failures, "slowness": v.Terms.Slowness, "cold": v.Terms.WarmUp,
		"transfer": v.Terms.Transfer, "displacement": v.Terms.Displacement,
	} {
		if d != 0 {
			out.Terms[name] = milliseconds(d)
		}
	}
	return out
}

// milliseconds returns a duration in milliseconds, to a hundredth.
func milliseconds(d time.Duration) float64 {
	return math.Round(float64(d)/float64(time.Millisecond)*100) / 100
}
