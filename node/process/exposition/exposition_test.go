package exposition

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against metrics that are missing from the exposition, whose unit or type differs from what their name states, or
// whose names break the conventions of Prometheus.
func TestMetricsFollowPrometheusConventions(t *testing.T) {
	registry := metrics.NewRegistry()
	for name, n := range map[string]int64{
		"calls.quotes.run": 3, "calls.quotes.not-run": 1, "calls.quotes.attempts": 5, "calls.quotes.latency-us-sum": 2_500_000,
		"platform.table.notFound": 7, "platform.table.overBudget": 8, "ledger.client.claims-given-up": 9,
	} {
		metrics.GetOrRegisterCounter(name, registry).Inc(n)
	}
	for name, n := range map[string]int64{
		"membership.sent-bytes": 1234, "certificate.peers.expires-s": 1900, "platform.objects.available": 1, "some.new-gauge": 4,
	} {
		metrics.GetOrRegisterGauge(name, registry).Update(n)
	}
	latency := metrics.GetOrRegisterHistogram("calls.quotes.latency-us", registry, metrics.NewUniformSample(10))
	latency.Update(500_000)
	latency.Update(2_000_000)
	recorder := httptest.NewRecorder()
	Handler(registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body)
	require.Contains(t, recorder.Header().Get("Content-Type"), "text/plain; version=0.0.4")
	for _, line := range []string{
		"# TYPE radishstand_calls_total counter",
		`radishstand_calls_total{outcome="run",service="quotes"} 3`,
		`radishstand_calls_total{outcome="not-run",service="quotes"} 1`,
		`radishstand_call_attempts_total{service="quotes"} 5`,
		"# TYPE radishstand_call_duration_seconds summary",
		`radishstand_call_duration_seconds{service="quotes",quantile="0.999"} 2`,
		`radishstand_call_duration_seconds_sum{service="quotes"} 2.5`,
		`radishstand_call_duration_seconds_count{service="quotes"} 2`,
		`radishstand_store_operations_total{result="not_found",store="table"} 7`,
		`radishstand_store_over_budget_total{store="table"} 8`,
		`radishstand_store_available{store="objects"} 1`,
		"radishstand_ledger_client_claims_given_up_total 9",
		"# TYPE radishstand_membership_sent_bytes_total counter",
		"radishstand_membership_sent_bytes_total 1234",
		`radishstand_certificate_expiry_timestamp_seconds{listener="peers"} 1900`,
		"# TYPE radishstand_some_new_gauge gauge",
		"radishstand_some_new_gauge 4",
		"# TYPE go_goroutines gauge",
		"# TYPE process_resident_memory_bytes gauge",
	} {
		require.Contains(t, recorder.Body.String(), "\n"+line+"\n")
	}
}
