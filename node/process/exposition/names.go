package exposition

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// SumSuffix is appended to the name of a histogram to form the name of the counter with the sum of its values.
const SumSuffix = "-sum"

const namespace = "radishstand_"

// series describes a metric by the naming conventions of Prometheus: snake case, base units, and _total for counters.
type series struct {
	name, help     string
	labels, values []string
	// counter marks a metric that is a gauge in go-metrics but never decreases.
	counter bool
}

func (s series) desc() *prometheus.Desc {
	return prometheus.NewDesc(namespace+s.name, s.help, s.labels, nil)
}

func (s series) gaugeType() prometheus.ValueType {
	if s.counter {
		return prometheus.CounterValue
	}
	return prometheus.GaugeValue
}

// namedSeries holds the metrics without labels whose Prometheus name cannot be derived from their own name.
var namedSeries = map[string]series{
	"node.calls-in-progress":   {name: "node_calls_in_progress", help: "Calls that entered at this node and are not answered yet."},
	"node.attempts-at-server":  {name: "node_attempts_at_server", help: "Attempts at the backend server beside this node that are not answered yet."},
	"node.peer-connections":    {name: "node_peer_connections", help: "Connections to other nodes."},
	"node.settings-version":    {name: "node_settings_version", help: "Version of the settings in force, 0 while none is known."},
	"node.serving":             {name: "node_serving", help: "1 while the node serves calls with settings, else 0."},
	"membership.sent-bytes":    {name: "membership_sent_bytes_total", help: "Bytes sent to peers for membership.", counter: true},
	"membership.sent-messages": {name: "membership_sent_messages_total", help: "Messages sent to peers for membership.", counter: true},
	"measure.requests":         {name: "measure_requests_total", help: "Requests that measured the present backend server.", counter: true},
	"operator.refused":         {name: "operator_refused_total", help: "Requests to the operators' listener without valid proof."},
	"files.reload-failures":    {name: "files_reload_failures_total", help: "Attempts to load replaced keys, CAs or tokens that failed."},
}

// storeEvents holds the metrics of a platform service other than the counters of operations by result.
var storeEvents = map[string]series{
	"overBudget": {name: "store_over_budget_total", help: "Operations that the node's own budget refused."},
	"failedFast": {name: "store_failed_fast_total", help: "Operations that the open circuit breaker refused."},
	"retries":    {name: "store_retries_total", help: "Operations that were repeated."},
	"probes":     {name: "store_probes_total", help: "Probes of a service that was found down."},
	"available":  {name: "store_available", help: "1 while the circuit breaker is closed, else 0."},
}

// seriesOf returns the series of a metric of the registry. It returns false for a metric that is part of another series or
// that duplicates one of the Go runtime.
func seriesOf(name string, counter bool) (series, bool) {
	parts := strings.Split(name, ".")
	switch s, ok := namedSeries[name]; {
	case ok:
		return s, true
	case strings.HasSuffix(name, SumSuffix), name == "node.goroutines":
		return series{}, false
	case parts[0] == "calls" && len(parts) == 3:
		return callSeries(parts[1], parts[2]), true
	case parts[0] == "platform" && len(parts) == 3:
		return storeSeries(parts[1], parts[2]), true
	case parts[0] == "certificate" && len(parts) == 3:
		return series{
			name: "certificate_expiry_timestamp_seconds", help: "Unix time at which the certificate that is in use expires.",
			labels: []string{"listener"}, values: parts[1:2],
		}, true
	}
	if counter {
		return series{name: snakeCase(name) + "_total", help: "Events counted as " + name + " in the JSON form."}, true
	}
	return series{name: snakeCase(name), help: "Value of " + name + " in the JSON form."}, true
}

// callSeries returns the series of a metric of the calls to a service.
func callSeries(service, kind string) series {
	s := series{labels: []string{"service"}, values: []string{service}}
	switch kind {
	case "attempts":
		s.name, s.help = "call_attempts_total", "Attempts of the calls that entered at this node."
	case "latency-us":
		s.name, s.help = "call_duration_seconds", "Time from the arrival of a call at this node to its answer; quantiles favour the last five minutes."
	default:
		s.name, s.help = "calls_total", "Calls that entered at this node, by outcome."
		s.labels, s.values = append(s.labels, "outcome"), append(s.values, kind)
	}
	return s
}

// storeSeries returns the series of a metric of a platform service.
func storeSeries(store, kind string) series {
	s, ok := storeEvents[kind]
	if !ok {
		return series{
			name: "store_operations_total", help: "Operations that reached the platform's service, by result.",
			labels: []string{"store", "result"}, values: []string{store, snakeCase(kind)},
		}
	}
	s.labels, s.values = []string{"store"}, []string{store}
	return s
}

// snakeCase converts a name to snake case. Dots, hyphens and capitals separate its words.
func snakeCase(name string) string {
	var b strings.Builder
	for _, r := range name {
		switch {
		case r == '.' || r == '-':
			b.WriteByte('_')
		case r >= 'A' && r <= 'Z':
			b.WriteByte('_')
			b.WriteRune(r - 'A' + 'a')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}
