package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/certtest"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/process/exposition"
)

// callOperatorAPI sends a request to the operators' API of a node, decodes the answer and returns the status.
func (f *testFleet) callOperatorAPI(node int, method, path, token string, body, to any) int {
	response, err := f.client.Do(f.operatorRequest(node, method, path, token, body))
	require.NoError(f.t, err)
	defer response.Body.Close()
	if to != nil {
		require.NoError(f.t, json.NewDecoder(response.Body).Decode(to))
	}
	return response.StatusCode
}

func (f *testFleet) operatorRequest(node int, method, path, token string, body any) *http.Request {
	encoded, err := json.Marshal(body)
	require.NoError(f.t, err)
	scheme := "http://"
	if f.nodes[node].config.Operators.TLS.enabled() {
		scheme = "https://"
	}
	request, err := http.NewRequest(method, scheme+f.nodes[node].config.ListenOperators+path, bytes.NewReader(encoded))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	return request
}

func (f *testFleet) edit(node int, id string, base int64, path, value string) (status int, accepted operator.Accepted, refused operator.Error) {
	change := operator.Change{ID: id, Author: "test", BaseVersion: base, Edits: []settings.Edit{settings.Set(path, json.RawMessage(value))}}
	var raw json.RawMessage
	status = f.callOperatorAPI(node, http.MethodPost, operator.PathChanges, "secret", change, &raw)
	_ = json.Unmarshal(raw, &accepted)
	_ = json.Unmarshal(raw, &refused)
	return status, accepted, refused
}

// version returns the version in force at a node.
func (f *testFleet) version(node int) int64 {
	if s := f.nodes[node].core.settings.Current(); s != nil {
		return s.Version
	}
	return 0
}

// Guards against an accepted edit that does not come into force at all nodes, and against concurrent edits at different
// nodes that silently overwrite each other.
func TestConcurrentEditsYieldOneWinnerAndAConflict(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews", "quotes", "crews")
	const path = "places.hue.services.quotes.call.timeoutMs"
	base := f.version(0)
	statuses := make([]int, 2)
	conflicts := make([]operator.Error, 2)
	var racers sync.WaitGroup
	for i := range 2 {
		racers.Go(func() {
			statuses[i], _, conflicts[i] = f.edit(i, fmt.Sprintf("race-%d", i), base, path, fmt.Sprint(700+i))
		})
	}
	racers.Wait()
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusConflict}, statuses)
	for i, status := range statuses {
		if status == http.StatusConflict {
			require.Len(t, conflicts[i].Conflicts, 1)
			require.Equal(t, path, conflicts[i].Conflicts[0].Path)
			require.JSONEq(t, fmt.Sprint(700+i), string(conflicts[i].Conflicts[0].Yours))
			require.JSONEq(t, fmt.Sprint(701-i), string(conflicts[i].Conflicts[0].Theirs))
		}
	}
	for node := range f.nodes {
		f.await("the winner is in force", func() bool { return f.version(node) == base+1 })
	}
	// Edits of different keys from the same base merge.
	status, accepted, _ := f.edit(2, "other", base, "places.hoian.services.crews.call.timeoutMs", "800")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, base+2, accepted.Version)
	status, again, _ := f.edit(3, "other", base, "places.hoian.services.crews.call.timeoutMs", "800")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, operator.Accepted{Version: base + 2, Repeated: true}, again)
}

// Guards against an edit that is reported as refused, or applied twice, when the answer of the store is lost.
func TestEditWithLostStoreAnswersIsAppliedOnce(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews")
	base := f.version(0)
	f.store.SetFault(func(op platformtest.Operation) platformtest.Fault {
		return platformtest.Fault{LoseAnswer: op.Name == "Transact"}
	})
	status, accepted, refused := f.edit(0, "lost", base, "defaults.call.timeoutMs", "900")
	f.store.SetFault(nil)
	if status != http.StatusOK {
		require.Equal(t, operator.CodeUnknown, refused.Code)
		status, accepted, _ = f.edit(1, "lost", base, "defaults.call.timeoutMs", "900")
	}
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, base+1, accepted.Version)
	for node := range f.nodes {
		f.await("the edit is in force", func() bool { return f.version(node) == base+1 })
	}
}

// Guards against access to settings, dumps and metrics without the operators' token.
func TestOperatorAPIRequiresTheToken(t *testing.T) {
	f := newTestFleet(t, "quotes")
	for _, path := range []string{operator.PathDump, operator.PathSettings, operator.PathMetrics, operator.PathPrometheus, operator.PathStatus, "/debug/pprof/"} {
		for _, token := range []string{"", "wrong"} {
			require.Equal(t, http.StatusUnauthorized, f.callOperatorAPI(0, http.MethodGet, path, token, nil, nil), path)
		}
	}
	require.Equal(t, http.StatusOK, f.callOperatorAPI(0, http.MethodGet, operator.PathDump, "secret", nil, nil))
}

// Guards against metrics that the JSON output has and the Prometheus output lacks, in particular those that alarms on
// certificates and refused operators need.
func TestPrometheusExposesEveryMetric(t *testing.T) {
	fleet := certtest.New(t)
	f := newConfiguredFleet(t, withTLS(fleet, false), "crews", "quotes")
	f.client = httpsClient(t, fleet.CAFile, certtest.Files{})
	require.Equal(t, contract.OutcomeRun, f.call(0, http.MethodPost, "crews", "/book", key("metrics"), "keyed").outcome)
	require.Equal(t, http.StatusUnauthorized, f.callOperatorAPI(0, http.MethodGet, operator.PathDump, "wrong", nil, nil))
	response, err := f.client.Do(f.operatorRequest(0, http.MethodGet, operator.PathPrometheus, "secret", nil))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	families := map[string]int{}
	total := 0
	for line := range strings.Lines(string(body)) {
		name, _, _ := strings.Cut(line, " ")
		// A summary has several lines; only the line with its count is considered.
		if family, _, _ := strings.Cut(name, "{"); strings.HasPrefix(family, "radishstand_") && (!strings.HasPrefix(family, "radishstand_call_duration") || strings.HasSuffix(family, "_count")) {
			families[name]++
			total++
		}
	}
	registered := 0
	f.nodes[0].metrics.Each(func(name string, _ any) {
		if !strings.HasSuffix(name, exposition.SumSuffix) && name != "node.goroutines" {
			registered++
		}
	})
	require.Equal(t, registered, total, string(body))
	for _, name := range []string{
		`radishstand_calls_total{outcome="run",service="crews"}`, `radishstand_call_duration_seconds_count{service="crews"}`,
		`radishstand_certificate_expiry_timestamp_seconds{listener="peers"}`, `radishstand_certificate_expiry_timestamp_seconds{listener="callers"}`,
		`radishstand_certificate_expiry_timestamp_seconds{listener="operators"}`, `radishstand_store_available{store="table"}`,
		"radishstand_operator_refused_total", "radishstand_files_reload_failures_total", "radishstand_node_serving",
	} {
		require.Equal(t, 1, families[name], name)
	}
}

// Guards against a store outage that stops calls, evicts nodes, or lets keyed calls run without a record.
func TestStoreOutageStopsOnlyKeyedCallsAndEdits(t *testing.T) {
	f := newTestFleet(t, "crews", "quotes", "crews")
	known := f.call(0, http.MethodPost, "crews", "/book", key("known"), "keyed")
	require.Equal(t, contract.OutcomeRun, known.outcome, known.body)
	f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
	for i := range 10 {
		r := f.call(i%3, http.MethodGet, "quotes", "/offer", nil, "")
		require.Equal(t, contract.OutcomeRun, r.outcome, r.body)
		r = f.call(i%3, http.MethodPost, "crews", "/book", nil, "unkeyed")
		require.Equal(t, contract.OutcomeRun, r.outcome, r.body)
		r = f.call(i%3, http.MethodPost, "crews", "/book", key(fmt.Sprint("down", i)), "keyed")
		require.Equal(t, contract.OutcomeNotRun, r.outcome, r.body)
		require.Zero(t, f.runs(r.token))
		r = f.call(i%3, http.MethodPost, "crews", "/book", key("known"), "keyed")
		require.NotEqual(t, contract.OutcomeNotRun, r.outcome, "a call that ran was reported as not run: %s", r.body)
		require.Zero(t, f.runs(r.token))
	}
	status, _, _ := f.edit(0, "down", f.version(0), "defaults.call.timeoutMs", "900")
	require.NotEqual(t, http.StatusOK, status)
	// A node that joins during the outage gets members and settings from its peers.
	joined := f.startNode("hue", "quotes", 4)
	f.await("the new node serves", func() bool {
		r := f.call(joined, http.MethodGet, "quotes", "/offer", nil, "")
		return r.outcome == contract.OutcomeRun
	})
	f.store.SetFault(nil)
	f.await("keyed calls run again", func() bool {
		r := f.call(0, http.MethodPost, "crews", "/book", key(fmt.Sprint("up", f.tokens.Load())), "keyed")
		return r.outcome == contract.OutcomeRun
	})
}

// Guards against lost settings, failing calls or stale members when all nodes of a place are replaced at once.
func TestFleetSurvivesReplacementOfAllNodesOfAPlace(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews", "quotes", "crews")
	status, accepted, _ := f.edit(1, "before", f.version(1), "defaults.call.timeoutMs", "1500")
	require.Equal(t, http.StatusOK, status)
	for _, i := range []int{0, 2} {
		// The host crashes, without drain or leave.
		f.kill(i)
	}
	added := f.startNode("hue", "quotes", 4)
	f.startNode("hue", "quotes", 4)
	f.await("the new nodes have the settings", func() bool { return f.version(added) >= accepted.Version })
	f.await("the other place uses the new servers", func() bool {
		r := f.call(1, http.MethodGet, "quotes", "/offer", nil, "")
		return r.outcome == contract.OutcomeRun
	})
	f.await("the dead servers are removed", func() bool { return len(f.nodes[1].core.balancer.Dump()["quotes"]) == 2 })
}

// kill stops a node and its server abruptly, like a host crash.
func (f *testFleet) kill(i int) {
	n := f.nodes[i]
	f.servers[i].Close()
	n.stop()
	n.servers.peers.Stop()
	for _, s := range []*http.Server{n.servers.callers, n.servers.server, n.servers.operators} {
		_ = s.Close()
	}
	n.pool.Close()
	f.stops[i] = func() {}
}

// Guards against retries of a keyed call that arrive while the first attempt runs and do not get its answer.
func TestEarlyRetryOfKeyedCallGetsTheSameAnswer(t *testing.T) {
	f := newTestFleet(t, "crews", "quotes")
	var callers sync.WaitGroup
	replies := make([]reply, 4)
	for i := range replies {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			replies[i] = f.call(i%2, http.MethodPost, "crews", "/book", key("early"), "crew 9")
		})
	}
	callers.Wait()
	runs := 0
	for _, r := range replies {
		require.Equal(t, contract.OutcomeRun, r.outcome, r.body)
		require.Equal(t, replies[0].body, r.body)
		runs += f.runs(r.token)
	}
	require.Equal(t, 1, runs)
}

// Guards against an in-force count that stays wrong where each place has a single node, since no other node of the place
// spreads its version.
func TestInForceCountWithOneNodePerPlace(t *testing.T) {
	for range 3 {
		f := newTestFleet(t, "quotes", "crews")
		status, accepted, _ := f.edit(0, "edit", f.version(0), "defaults.call.timeoutMs", "900")
		require.Equal(t, http.StatusOK, status)
		f.await("in force in both places", func() bool {
			var in operator.InForce
			f.callOperatorAPI(0, http.MethodGet, fmt.Sprintf("%s?version=%d", operator.PathInForce, accepted.Version), "secret", nil, &in)
			return in.Places["hue"].InForce == 1 && in.Places["hoian"].InForce == 1
		})
	}
}

// Guards against an edit of balance.maxServers that does not take effect, and against calls that fail because of the limit.
func TestMaxServersLimitsTheServersOfANode(t *testing.T) {
	f := newTestFleet(t, "quotes", "quotes", "quotes", "quotes", "quotes", "crews")
	count := func(want int) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if len(n.core.balancer.Dump()["quotes"]) != want {
					return false
				}
			}
			return true
		}
	}
	require.True(t, count(5)())
	for _, limit := range []int{2, 0} {
		status, _, _ := f.edit(0, fmt.Sprint("limit", limit), f.version(0), "defaults.balance.maxServers", fmt.Sprint(limit))
		require.Equal(t, http.StatusOK, status)
		f.await("the limit holds at all nodes", count(map[int]int{2: 2, 0: 5}[limit]))
		for node := range f.nodes {
			r := f.call(node, http.MethodPost, "quotes", "/offer", nil, "")
			require.Equal(t, contract.OutcomeRun, r.outcome, r.body)
		}
	}
}
