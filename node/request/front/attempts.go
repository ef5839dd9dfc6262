package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/link"
	"github.com/radishstand/radishstand/node/internal/boottime"
	"github.com/radishstand/radishstand/node/process/peers"
)

// causeOutdated is the cause of a refusal at the node of a server that has had a newer routing version for long.
const causeOutdated = "decided by a replaced routing version"

// attempt sends the call to a server. It returns nil when another attempt should be made.
func (c *call) attempt(ctx context.Context, picked peers.PickResult) *result {
	now := time.Now()
	server := picked.Server
	left := c.timeout - (boottime.Now() - c.arrivedBoot)
	if left <= 0 { // the host was suspended
		return c.timedOut(server)
	}
	c.message.Stay = picked.Others == 0 || len(c.refused) >= maxRedirects || c.lateRefusals > 0
	c.message.ReferMs = uint32(c.redirectThreshold(picked).Milliseconds())
	c.message.LeftMs = uint32(max(left.Milliseconds(), 1))
	c.message.WaitedMs = uint32(max((c.timeout - left).Milliseconds(), 0))
	c.message.ObjectiveMs = uint32(max(c.objective.Sub(now).Milliseconds(), 0))
	if c.hasDownloads {
		server.ExpectAnswer(c.handler.averages.get(c.route.Name).answerBytes)
	}
	f, err := c.handler.config.Peers.Send(ctx, server, c.message, c.mustKeepAttempt)
	if err != nil {
		return c.handleSendError(ctx, server, err)
	}
	f.ReleaseTo(c.memory) // the answer may be passed on after further attempts
	switch body := f.Body.(type) {
	case *linkpb.Frame_Answer:
		return c.handleAnswer(server, body.Answer, time.Since(now))
	case *linkpb.Frame_Refusal:
		return c.handleRefusal(server, body.Refusal)
	case *linkpb.Frame_Broken:
		server.RecordResult(true, time.Now())
		c.recordPossibleRun()
		if body.Broken.Timeout {
			return c.timedOut(server)
		}
		return c.failAttempt(server, body.Broken.Cause, http.StatusBadGateway)
	}
	c.recordPossibleRun()
	return c.refusal("unreadable frame")
}

// mustKeepAttempt reports whether an attempt whose link has broken should wait for its result, since no other attempt can be
// made: the answer may be ready at the server's node.
func (c *call) mustKeepAttempt() bool {
	return !c.route.Idempotent || c.attempts+1 >= c.route.MaxAttempts || !c.hasTimeForAttempt()
}

// recordPossibleRun records an attempt that may have run.
func (c *call) recordPossibleRun() {
	c.attempts++
	c.mayHaveRun = true
}

// handleAnswer handles a server's answer. It returns nil when a failed call may be retried.
func (c *call) handleAnswer(server *peers.Server, answer *linkpb.Answer, took time.Duration) *result {
	c.recordPossibleRun()
	failed := answer.Status >= http.StatusInternalServerError
	server.RecordResult(failed, time.Now())
	if !failed {
		answerBytes := proto.Size(answer)
		c.handler.averages.add(c.route.Name, routeAverage{
			time: took, bytes: proto.Size(c.message) + answerBytes, answerBytes: answerBytes,
			service: c.service, download: c.route.Download,
		})
	}
	final := &result{status: int(answer.Status), answer: answer, server: server}
	if !failed || !c.mayRetry() {
		return final
	}
	c.excluded = append(c.excluded, server)
	c.failure = final
	c.log("attempt failed", server, "status", answer.Status)
	return nil
}

// handleRefusal handles a refusal, which means that the attempt has not run.
func (c *call) handleRefusal(server *peers.Server, refusal *linkpb.Refusal) *result {
	c.room.expect(time.Duration(refusal.RetryAfterMs) * time.Millisecond)
	isRetry := c.attempts > 0
	switch refusal.Reason {
	case linkpb.Refusal_REASON_SERVER:
		server.RecordResult(true, time.Now())
		c.attempts++
		c.excluded = append(c.excluded, server)
		if c.attempts >= c.route.MaxAttempts {
			return c.refusal("server refused")
		}
		c.log("attempt refused by the server", server)
		return nil
	case linkpb.Refusal_REASON_BUSY:
		c.refused = append(c.refused, server)
	case linkpb.Refusal_REASON_LATE:
		c.refused = append(c.refused, server)
		if c.message.Stay {
			c.lateRefusals++
		}
	case linkpb.Refusal_REASON_DEPENDENCY:
		c.returnBudget(isRetry)
		return c.refusedForDependency(time.Duration(refusal.RetryAfterMs) * time.Millisecond)
	case linkpb.Refusal_REASON_OUTDATED:
		c.returnBudget(isRetry)
		return c.refusedAsOutdated(server)
	default:
		c.excluded = append(c.excluded, server)
	}
	c.returnBudget(isRetry)
	return nil
}

// refusedAsOutdated returns the result of a call that a server's node has refused because a newer routing version may decide otherwise. The
// caller is told to return when that version has arrived here.
func (c *call) refusedAsOutdated(server *peers.Server) *result {
	c.handler.config.Counters.Count("refused.outdated")
	if c.failure != nil || c.mayHaveRun {
		return c.refusal(causeOutdated)
	}
	return &result{status: http.StatusServiceUnavailable, cause: causeOutdated, retryAfter: staleRetryAfter, server: server}
}

// returnBudget returns the retry that an attempt took from the budget, if it was a retry.
func (c *call) returnBudget(isRetry bool) {
	if isRetry {
		c.handler.config.Budget.Return(c.service)
	}
}

// handleSendError handles an attempt that ended without a frame of the server's node.
func (c *call) handleSendError(ctx context.Context, server *peers.Server, err error) *result {
	var notSent *link.NotSentError
	switch {
	case errors.As(err, &notSent):
		c.returnBudget(c.attempts > 0)
		c.excluded = append(c.excluded, server)
		return nil
	case ctx.Err() != nil: // without a confirmation that it has not started
		c.recordPossibleRun()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) { // a caller that left early is no failure of the server
			server.RecordResult(true, time.Now())
		}
		return c.timedOut(server)
	}
	c.recordPossibleRun()
	server.RecordResult(true, time.Now())
	return c.failAttempt(server, err.Error(), http.StatusBadGateway)
}

// failAttempt excludes a server that failed the call. It returns the failure when the call may not be retried, otherwise
// nil.
func (c *call) failAttempt(server *peers.Server, cause string, status int) *result {
	c.excluded = append(c.excluded, server)
	if !c.mayRetry() {
		return &result{status: status, cause: cause, server: server}
	}
	c.log("attempt failed", server, "cause", cause)
	return nil
}
