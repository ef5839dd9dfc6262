package node

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
)

// Guards against a call that fails or gets the answer of another call, depending on the node at which it enters the fleet.
func TestCallCrossesTheFleetFromAnyNode(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews", "quotes")
	for node := range f.nodes {
		for range 20 {
			r := f.call(node, http.MethodGet, "quotes", "/offer?id=7", nil, "")
			require.NoError(t, r.err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, contract.OutcomeRun, r.outcome)
			require.Contains(t, r.body, r.token+" GET /offer?id=7")
		}
		r := f.call(node, http.MethodPost, "crews", "/book", nil, "crew 9")
		require.Equal(t, http.StatusOK, r.status, r.body)
		require.Equal(t, 1, f.runs(r.token))
	}
}
