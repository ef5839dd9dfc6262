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
	p := &problem{status: http.StatusServiceUnavailable, cause: "quota unavailable"}
	if errors.As(err, new(*quota.ExceededError)) {
		p.status, p.cause = http.StatusTooManyRequests, "quota exceeded"
	}
	lowest, highest := quota.RetryAfter(err)
	p.retryAfter = lowest + time.Duration(rand.Int64N(int64(highest-lowest)))
	return nil, p
}

// returnToken gives the token of a request back that no server has got.
func (c *call) returnToken(token *quota.Token, r *result) {
	if r.answer == nil && c.attempts == 0 && !c.mayHaveRun {
		token.Return()
	}
}
