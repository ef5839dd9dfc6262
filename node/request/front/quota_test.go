package front

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/process/quota"
	"github.com/radishstand/radishstand/node/version/routing"
)

// fixedQuota is a Quota with a fixed error that counts the tokens that were taken.
type fixedQuota struct {
	err   error
	taken int
}

// Take returns the fixed error.
func (q *fixedQuota) Outlook(*routing.Team) quota.Outlook {
	return quota.Outlook{Decision: quota.AskOwner, Err: q.err}
}

// Take returns the fixed error.
func (q *fixedQuota) Take(context.Context, *routing.Team) (*quota.Token, error) {
	q.taken++
	return nil, q.err
}

// Guards against status 429 for a request below the quota, against callers that retry at the same time, and against tokens that are taken
// for public routes and nested calls.
func TestQuotaDecidesTheStatusOfARequest(t *testing.T) {
	team := &routing.Team{Name: "a"}
	const wait = 700 * time.Millisecond
	for name, c := range map[string]struct {
		team            *routing.Team
		err             error
		status          int
		lowest, highest time.Duration
		taken           int
	}{
		"below the quota":         {team: team, taken: 1},
		"above the quota":         {team: team, err: &quota.ExceededError{Wait: wait}, status: http.StatusTooManyRequests, lowest: wait, highest: 2 * wait, taken: 1},
		"no owner":                {team: team, err: quota.ErrUnavailable, status: http.StatusServiceUnavailable, lowest: 300 * time.Millisecond, highest: 600 * time.Millisecond, taken: 1},
		"a call without any team": {err: quota.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			q := &fixedQuota{err: c.err}
			h := New(Config{Quota: q})
			_, first := h.takeToken(t.Context(), c.team)
			assert.Equal(t, c.taken, q.taken)
			if c.status == 0 {
				assert.Nil(t, first)
				return
			}
			_, second := h.takeToken(t.Context(), c.team)
			assert.Equal(t, c.status, first.status)
			assert.NotEqual(t, first.retryAfter, second.retryAfter)
			assert.GreaterOrEqual(t, first.retryAfter, c.lowest)
			assert.Less(t, first.retryAfter, c.highest)
		})
	}
}
