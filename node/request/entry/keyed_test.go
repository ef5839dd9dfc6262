package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/version/current"
)

// Guards against the outcome not-run for a call that ran earlier: a replaced node without settings, or an overloaded node,
// refuses the call before it has looked up the idempotency key.
func TestKeyedWorkRefusedBeforeKeyLookupHasUnknownOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		method, key   string
		maxInProgress int64
		want          contract.Outcome
	}{
		"keyed work without settings":       {http.MethodPost, "key-0123456789abcdef", 1, contract.OutcomeUnknown},
		"keyed work at an overloaded node":  {http.MethodPost, "key-0123456789abcdef", 0, contract.OutcomeUnknown},
		"work without key":                  {http.MethodPost, "", 1, contract.OutcomeNotRun},
		"a read with a key":                 {http.MethodGet, "key-0123456789abcdef", 1, contract.OutcomeNotRun},
		"a read at an overloaded node":      {http.MethodGet, "", 0, contract.OutcomeNotRun},
		"a protocol upgrade that has a key": {http.MethodConnect, "key-0123456789abcdef", 1, contract.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(Config{Settings: &current.Holder{}, Now: time.Now, MaxInProgress: c.maxInProgress})
			r := httptest.NewRequest(c.method, "http://crews.example/book", nil)
			if c.key != "" {
				r.Header.Set(contract.HeaderIdempotencyKey, c.key)
			}
			w := httptest.NewRecorder()
			h.External().ServeHTTP(w, r)
			require.Equal(t, string(c.want), w.Header().Get(contract.HeaderOutcome), w.Body)
		})
	}
}
