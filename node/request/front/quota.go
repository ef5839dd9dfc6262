package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishstand/radishstand/node/process/quota"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Quota limits the requests of teams over all nodes together. It is safe for concurrent use.
type Quota interface {
	// Take returns the token for a request of a team; nil if the team has no quota. The error is a *quota.ExceededError,
	// quota.ErrUnavailable or that of ctx.
	Take(ctx context.Context, team *routing.Team) (*quota.Token, error)
	// Outlook returns what Take would decide about a request of a team with a quota, without taking a token or asking the owner.
	Outlook(team *routing.Team) quota.Outlook
}

// takeToken takes the token that a request of a team needs. Calls without a team, on public routes and nested ones, need none.
func (h *Handler) takeToken(ctx context.Context, team *routing.Team) (*quota.Token, *problem) {
	if team == nil || h.config.Quota == nil {
		return nil, nil
	}
	token, err := h.config.Quota.Take(ctx, team)
	if err == nil {
		return token, nil
	}
	p := quotaProblem(err)
	_, highest := quota.RetryAfter(err)
	p.retryAfter += time.Duration(rand.Int64N(int64(highest - p.retryAfter)))
	return nil, p
}

// quotaProblem returns the response to a request that got no token, with the lowest Retry-After time.
func quotaProblem(err error) *problem {
	p := &problem{status: http.StatusServiceUnavailable, cause: "quota unavailable"}
	if errors.As(err, new(*quota.ExceededError)) {
		p.status, p.cause = http.StatusTooManyRequests, "quota exceeded"
	}
	p.retryAfter, _ = quota.RetryAfter(err)
	return p
}

// returnToken returns the token of a request that no backend server has received.
func (c *call) returnToken(token *quota.Token, r *result) {
	if r.answer == nil && c.attempts == 0 && !c.mayHaveRun {
		token.Return()
	}
}
