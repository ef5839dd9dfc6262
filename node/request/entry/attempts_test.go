package entry

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/request/attempt"
)

// Guards against sending the head of an answer within call.holdBytes to the caller before the other node has sent all of it:
// if the link breaks then, the caller's connection is aborted instead of a retry or an answer that states the outcome.
func TestAnswerOfAnotherNodeIsBufferedUntilItIsComplete(t *testing.T) {
	const head, limit = "the beginning ", 100
	for name, c := range map[string]struct {
		rest     io.Reader
		length   int64
		buffered bool
		broken   bool
	}{
		"a complete answer":           {strings.NewReader("and the end"), 25, true, false},
		"a link that breaks":          {io.MultiReader(strings.NewReader("and"), iotest.ErrReader(io.ErrClosedPipe)), 25, false, true},
		"an answer that is too short": {strings.NewReader("and"), 25, false, true},
		"an answer that is too long":  {strings.NewReader("and the end is not here"), 25, false, true},
		"an answer above the limit":   {strings.NewReader(strings.Repeat(".", 200)), 214, false, false},
		"an answer of unknown length": {strings.NewReader("and the end"), -1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			original := &attempt.Answer{ContentLength: c.length, Body: []byte(head), Rest: io.NopCloser(c.rest)}
			a, err := bufferRest(t.Context(), original, limit)
			if c.broken {
				require.ErrorAs(t, err, new(*attempt.Broken))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.buffered, a.Rest == nil)
			if c.buffered {
				require.Equal(t, "the beginning and the end", string(a.Body))
			}
		})
	}
}
