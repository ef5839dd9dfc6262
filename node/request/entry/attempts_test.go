package entry

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/request/attempt"
)

// Guards against an answer within call.holdBytes whose head goes to the caller before the other node has sent all of it:
// when the link breaks, the caller's connection would break instead of a retry or an answer with its outcome.
func TestAnswerOfAnotherNodeIsHeldUntilItIsComplete(t *testing.T) {
	const head, limit = "the beginning ", 100
	for name, c := range map[string]struct {
		rest   io.Reader
		length int64
		held   bool
		broken bool
	}{
		"a whole answer":              {strings.NewReader("and the end"), 25, true, false},
		"a link that breaks":          {io.MultiReader(strings.NewReader("and"), iotest.ErrReader(io.ErrClosedPipe)), 25, false, true},
		"an answer that is too short": {strings.NewReader("and"), 25, false, true},
		"an answer that is too long":  {strings.NewReader("and the end is not here"), 25, false, true},
		"an answer above the limit":   {strings.NewReader(strings.Repeat(".", 200)), 214, false, false},
		"an answer of unknown length": {strings.NewReader("and the end"), -1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			given := &attempt.Answer{ContentLength: c.length, Body: []byte(head), Rest: io.NopCloser(c.rest)}
			a, err := holdRest(t.Context(), given, limit)
			if c.broken {
				require.ErrorAs(t, err, new(*attempt.Broken))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.held, a.Rest == nil)
			if c.held {
				require.Equal(t, "the beginning and the end", string(a.Body))
			}
		})
	}
}
