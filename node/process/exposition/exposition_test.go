package exposition

import (
	"net/http"
	"net/http/httptest"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func scrape(t *testing.T, registry metrics.Registry) map[string]*dto.MetricFamily {
	recorder := httptest.NewRecorder()
	Handler(registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body)
	require.Contains(t, recorder.Header().Get("Content-Type"), "text/plain; version=0.0.4")
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(recorder.Body)
	require.NoError(t, err)
	return families
}

// Guards against metrics that are lost on the way to Prometheus, that have another unit or type than their name says, or
// whose names break its conventions.
func TestMetricsFollowTheConventions(t *testing.T) {
	registry := metrics.NewRegistry()
	count := func(name string, n int64) { metrics.GetOrRegisterCounter(name, registry).Inc(n) }
	count("calls.quotes.run", 3)
	count("calls.quotes.not-run", 1)
	count("calls.quotes.attempts", 5)
	count("calls.quotes.latency-us-sum", 2_500_000)
	latency := metrics.GetOrRegisterHistogram("calls.quotes.latency-us", registry, metrics.NewUniformSample(10))
	latency.Update(500_000)
	latency.Update(2_000_000)
	count("platform.table.notFound", 7)
	count("platform.table.overBudget", 8)
	count("ledger.client.claims-given-up", 9)
	gauge := func(name string, n int64) { metrics.GetOrRegisterGauge(name, registry).Update(n) }
	gauge("membership.sent-bytes", 1234)
	gauge("certificate.peers.expires-s", 1_900_000_000)
	gauge("platform.objects.available", 1)
	gauge("some.new-gauge", 4)
	families := scrape(t, registry)
	for _, c := range []struct {
		name   string
		kind   dto.MetricType
		labels map[string]string
		value  float64
	}{
		{"radishstand_calls_total", dto.MetricType_COUNTER, map[string]string{"service": "quotes", "outcome": "run"}, 3},
		{"radishstand_calls_total", dto.MetricType_COUNTER, map[string]string{"service": "quotes", "outcome": "not-run"}, 1},
		{"radishstand_call_attempts_total", dto.MetricType_COUNTER, map[string]string{"service": "quotes"}, 5},
		{"radishstand_call_duration_seconds", dto.MetricType_SUMMARY, map[string]string{"service": "quotes"}, 2.5},
		{"radishstand_store_operations_total", dto.MetricType_COUNTER, map[string]string{"store": "table", "result": "not_found"}, 7},
		{"radishstand_store_over_budget_total", dto.MetricType_COUNTER, map[string]string{"store": "table"}, 8},
		{"radishstand_store_available", dto.MetricType_GAUGE, map[string]string{"store": "objects"}, 1},
		{"radishstand_ledger_client_claims_given_up_total", dto.MetricType_COUNTER, nil, 9},
		{"radishstand_membership_sent_bytes_total", dto.MetricType_COUNTER, nil, 1234},
		{"radishstand_certificate_expiry_timestamp_seconds", dto.MetricType_GAUGE, map[string]string{"listener": "peers"}, 1_900_000_000},
		{"radishstand_some_new_gauge", dto.MetricType_GAUGE, nil, 4},
	} {
		family := families[c.name]
		require.NotNil(t, family, c.name)
		require.Equal(t, c.kind, family.GetType(), c.name)
		require.NotEmpty(t, family.GetHelp(), c.name)
		require.Equal(t, c.value, valueOf(family, c.labels), c.name)
	}
	summary := families["radishstand_call_duration_seconds"].Metric[0].Summary
	require.Equal(t, uint64(2), summary.GetSampleCount())
	require.Equal(t, 2.0, summary.Quantile[len(summary.Quantile)-1].GetValue())
	require.Contains(t, families, "go_goroutines")
	require.Contains(t, families, "process_resident_memory_bytes")
}

// valueOf returns the value of the metric with exactly these labels, or -1.
func valueOf(family *dto.MetricFamily, labels map[string]string) float64 {
	for _, m := range family.Metric {
		got := map[string]string{}
		for _, l := range m.Label {
			got[l.GetName()] = l.GetValue()
		}
		if len(got) != len(labels) {
			continue
		}
		same := true
		for name, value := range labels {
			same = same && got[name] == value
		}
		if same {
			return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetSummary().GetSampleSum()
		}
	}
	return -1
}
