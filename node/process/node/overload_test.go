package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/backendtest"
)

// callNext returns a handler of a server that calls the next service through its own node. Like a well-behaved server, it
// forwards the Radish-Context header and returns the status of a failed call as its own.
func (f *testFleet) callNext(node int, service string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.nodes[node].config.ListenServer+"/next", nil)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		request.Host = service + ".example"
		for _, name := range []string{contract.HeaderContext, backendtest.HeaderToken} {
			request.Header.Set(name, r.Header.Get(name))
		}
		response, err := f.client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// chainSettings returns a settings tree with the services s0 to s(n-1) at both places.
func chainSettings(n int, values string) string {
	var services []string
	for i := range n {
		services = append(services, fmt.Sprintf(`"s%d": {}`, i))
	}
	list := strings.Join(services, ",")
	return fmt.Sprintf(`{"defaults": %s, "places": {"hue": {"services": {%s}}, "hoian": {"services": {%s}}}}`, values, list, list)
}

// Guards against retries that multiply along a chain of calls: every level may retry, but the whole call tree must stay
// within the retry budget of its root.
func TestRetriesDoNotMultiplyAlongACallChain(t *testing.T) {
	const depth, calls = 6, 20
	f := newTestFleet(t)
	f.commit("chain", chainSettings(depth, `{"call": {"timeoutMs": 5000, "notRunStatus": 503, "notRunHeader": "X-Not-Run"},
		"retry": {"budgetMinPerSec": 1000, "maxPerCall": 2, "hedgePercentile": 0}}`))
	services := make([]string, 0, depth+2)
	for i := range depth {
		services = append(services, fmt.Sprintf("s%d", i))
	}
	// Three servers of the last service, so that a retry always finds another server.
	services = append(services, services[depth-1], services[depth-1])
	for i, service := range services {
		f.startNode([]string{"hue", "hoian"}[i%2], service, 16)
	}
	f.await("all nodes know all servers", func() bool { return f.allNodesKnow(services) })
	for i := range depth - 1 {
		f.servers[i].Handle(f.callNext(i, services[i+1]))
	}
	for _, s := range f.servers[depth-1:] {
		s.Set(backendtest.Behaviour{Refuse: true})
	}
	for range calls {
		r := f.call(0, http.MethodGet, "s0", "/top", nil, "")
		require.NoError(t, r.err)
		require.GreaterOrEqual(t, r.status, 500)
	}
	attempts := 0
	for _, s := range f.servers[depth-1:] {
		attempts += s.Refused()
	}
	require.GreaterOrEqual(t, attempts, calls)
	require.LessOrEqual(t, attempts, calls*(1+2), "extra attempts beyond the budget of the root")
}

// Guards against one bad server that makes calls to its service fail or time out: the other servers must take over its
// load.
func TestOneBadServerLeavesCallsAnswered(t *testing.T) {
	cases := map[string]backendtest.Behaviour{
		"a server that turns 50 times slower":       {ServiceTime: 250 * time.Millisecond},
		"a server that fails fast":                  {FailFast: true},
		"a server that never answers":               {Hang: true},
		"a server that cuts off its answers":        {TruncateAt: 10},
		"a server that closes without an answer":    {CloseAfterRead: true},
		"a server that refuses before running work": {Refuse: true},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, "quotes", "quotes", "quotes", "crews")
			for _, s := range f.servers {
				s.Set(backendtest.Behaviour{ServiceTime: 5 * time.Millisecond})
			}
			f.runLoad(t, 300*time.Millisecond)
			f.servers[0].Set(bad)
			f.runLoad(t, time.Second) // lets the other nodes detect the bad server
			run, latencies := f.runLoad(t, 2*time.Second)
			slices.Sort(latencies)
			t.Logf("answered %.3f, p50 %v, p99 %v", run, latencies[len(latencies)/2], latencies[len(latencies)*99/100])
			require.Greater(t, run, 0.99, "share of calls answered")
		})
	}
}

// runLoad reads quotes through all nodes and returns the share of calls answered with 200 and the latencies of all calls.
func (f *testFleet) runLoad(t *testing.T, d time.Duration) (float64, []time.Duration) {
	var mu sync.Mutex
	var latencies []time.Duration
	good := 0
	var callers sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		callers.Go(func() {
			sent := time.Now()
			r := f.call(n%len(f.nodes), http.MethodGet, "quotes", "/offer", nil, "")
			// Reads may run more than once, but an answer must belong to the call.
			if r.status == http.StatusOK {
				assert.Contains(t, r.body, r.token+" GET /offer")
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(sent))
			if r.status == http.StatusOK {
				good++
			}
		})
		time.Sleep(4 * time.Millisecond)
	}
	callers.Wait()
	return float64(good) / float64(len(latencies)), latencies
}

// Guards against callers that forge internal headers to pose as part of the fleet: headers from outside must be ignored.
func TestInternalHeadersFromCallersAreIgnored(t *testing.T) {
	f := newTestFleet(t, "quotes")
	forged := http.Header{
		contract.HeaderClass: {string(contract.ClassCheck)}, contract.HeaderDepth: {"99"}, contract.HeaderContext: {"forged"},
		contract.HeaderCallID: {"forged"},
	}
	r := f.call(0, http.MethodGet, "quotes", "/offer", forged, "")
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.NotEqual(t, "forged", r.header.Get(contract.HeaderCallID))
	record := f.nodes[0].recent.dump().Slowest[0]
	require.Equal(t, contract.ClassNormal, record.Class)
	require.Zero(t, record.Depth)
}

// Guards against refusals of invalid requests that do not carry the outcome not-run.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	f := newTestFleet(t, "quotes")
	limit := settings.Default().Call.MaxBodyBytes
	cases := map[string]struct {
		service, body string
		header        http.Header
		status        int
	}{
		"an unknown service":           {service: "nobody", status: http.StatusNotFound},
		"a timeout that is no number":  {service: "quotes", header: http.Header{contract.HeaderTimeout: {"soon"}}, status: http.StatusBadRequest},
		"a timeout of zero":            {service: "quotes", header: http.Header{contract.HeaderTimeout: {"0"}}, status: http.StatusBadRequest},
		"a key that is too short":      {service: "quotes", header: http.Header{contract.HeaderIdempotencyKey: {"1"}}, status: http.StatusBadRequest},
		"a key that is given twice":    {service: "quotes", header: http.Header{contract.HeaderIdempotencyKey: {"0123456789abcdef", "0123456789abcdeg"}}, status: http.StatusBadRequest},
		"a body that is too large":     {service: "quotes", body: strings.Repeat("x", limit+1), status: http.StatusRequestEntityTooLarge},
		"a request to switch protocol": {service: "quotes", header: http.Header{"Connection": {"upgrade"}, "Upgrade": {"websocket"}}, status: http.StatusNotImplemented},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.call(0, http.MethodPost, c.service, "/offer", c.header, c.body)
			require.NoError(t, r.err)
			require.Equal(t, c.status, r.status, r.body)
			require.Equal(t, contract.OutcomeNotRun, r.outcome)
			require.Zero(t, f.runs(r.token))
		})
	}
}
