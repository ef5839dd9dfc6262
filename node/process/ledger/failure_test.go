package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a claim whose reply is lost: the caller is refused, and the key must become free again for others.
func TestClaimWithLostRepliesIsReleasedInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, Limits{}, "a", "b")
		f.set(f.lose, "a", true)
		require.Equal(t, "refused", f.claim("b", "k", "first"))
		f.set(f.lose, "a", false)
		time.Sleep(5 * time.Second)
		require.Equal(t, "refused", f.claim("b", "k", "first"), "a call id that gave up must not be granted later")
		require.Equal(t, "granted", f.claim("a", "k", "second"))
	})
}
