package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/version/routing"
)

// Guards against an outlook that takes a token, or that differs from what Take decides.
func TestOutlookShowsWhatTakeDecides(t *testing.T) {
	now, limited := time.Minute, team("t", 10, 10)
	b := NewBorrower(Config{
		Self: "a", Owner: NewOwner(func() time.Duration { return now }, func(string) (routing.Quota, bool) { return limited.Quota, true }),
		Now: func() time.Duration { return now }, Send: func(string, *linkpb.QuotaRequest) {}, Count: func(string) {},
	})
	take := func() error {
		_, err := b.Take(t.Context(), limited)
		return err
	}
	assert.Equal(t, Outlook{Decision: NoOwner, Err: &StartingError{Wait: minUptime}}, b.Outlook(limited))
	assert.ErrorIs(t, take(), ErrUnavailable)

	state := &teamState{name: "t", limited: true, owner: "o"}
	b.teams["t"], b.owners["o"] = state, &ownerLink{}
	assert.Equal(t, AskOwner, b.Outlook(limited).Decision)
	state.tokens = []*Token{{borrower: b, team: state, expires: now - 1}, {borrower: b, team: state, expires: now + 1}}
	for range 3 {
		assert.Equal(t, Outlook{Decision: TokenHeld, Owner: "o", Tokens: 1}, b.Outlook(limited))
	}
	require.NoError(t, take())
	state.emptyUntil = now + time.Second
	for range 3 {
		assert.Equal(t, Outlook{Decision: OwnerEmpty, Owner: "o", EmptyFor: time.Second, Err: &ExceededError{Wait: time.Second}}, b.Outlook(limited))
	}
	assert.Equal(t, &ExceededError{Wait: time.Second}, take())
}
