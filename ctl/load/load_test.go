package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
)

// generate runs the plan against a server with the handler.
func generate(t *testing.T, plan Plan, h http.HandlerFunc) ([]Result, Report) {
	server := httptest.NewServer(h)
	defer server.Close()
	plan.Targets = []string{strings.TrimPrefix(server.URL, "http://")}
	plan.Timeout, plan.TokenHeader, plan.Seed = time.Second, "X-Token", 1
	require.NoError(t, plan.Validate())
	recorder := NewRecorder()
	var mu sync.Mutex
	var results []Result
	New(plan).Run(context.Background(), func(r Result) {
		recorder.Add(r)
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	})
	return results, recorder.Report()
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Token", r.Header.Get("X-Token"))
	w.Header().Set(contract.HeaderOutcome, string(contract.OutcomeRun))
}

// Guards against coordinated omission: a stalled server must not delay the sending of calls, and the latency of calls
// scheduled during the stall must include it.
func TestCallsKeepTheirScheduleWhileTheServerStalls(t *testing.T) {
	var release sync.Once
	gate := make(chan struct{})
	var arrived atomic.Int64
	_, report := generate(t, Plan{Rate: 200, Duration: 500 * time.Millisecond, Mix: []Work{{Weight: 1, Method: "GET", Service: "s", Path: "/"}}},
		func(w http.ResponseWriter, r *http.Request) {
			arrived.Add(1)
			time.AfterFunc(300*time.Millisecond, func() { release.Do(func() { close(gate) }) })
			<-gate
			echo(w, r)
		})
	require.InDelta(t, 100, report.Calls, 40)
	require.Equal(t, report.Calls, arrived.Load())
	// The stall takes 300 ms, 60 % of the time, so far more than a tenth of the calls wait for more than half of it.
	require.Greater(t, report.Latency.P90, 150.0)
	require.Greater(t, report.Latency.Max, 250.0)
}

// Guards against counting an answer that belongs to another call as correct, and against confusing outcomes.
func TestRecorderDistinguishesOutcomes(t *testing.T) {
	var n atomic.Int64
	_, report := generate(t, Plan{Rate: 400, Duration: 300 * time.Millisecond, Mix: []Work{{Weight: 1, Method: "POST", Service: "s", Path: "/"}}},
		func(w http.ResponseWriter, r *http.Request) {
			switch n.Add(1) {
			case 1:
				w.Header().Set(contract.HeaderOutcome, string(contract.OutcomeRun))
				w.Header().Set("X-Token", "of another call")
			case 2:
				w.Header().Set(contract.HeaderOutcome, string(contract.OutcomeNotRun))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"outcome":"not-run","reason":"queue full"}`))
			case 3:
				w.Header().Set(contract.HeaderOutcome, string(contract.OutcomeUnknown))
				w.WriteHeader(http.StatusBadGateway)
			case 4:
				panic(http.ErrAbortHandler)
			default:
				echo(w, r)
			}
		})
	require.Equal(t, []int64{1, 1, 1, 1}, []int64{report.Wrong, report.NotRun, report.Unknown, report.Failed})
	require.Equal(t, report.Calls-3, report.Run)
	require.Equal(t, int64(1), report.Status["503"])
	require.Equal(t, map[string]int64{"queue full": 1}, report.Reasons)
}

// Guards against repeats with a new key or token, which would not test idempotency.
func TestRepeatsCarryTheKeyAndTokenOfTheFirstCall(t *testing.T) {
	var mu sync.Mutex
	keys := map[string]int{}
	results, _ := generate(t, Plan{Rate: 100, Duration: 200 * time.Millisecond, RepeatShare: 1, Mix: []Work{{Weight: 1, Method: "POST", Service: "s", Path: "/", Keyed: true}}},
		func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			keys[r.Header.Get(contract.HeaderIdempotencyKey)+" "+r.Header.Get("X-Token")]++
			echo(w, r)
		})
	require.NotEmpty(t, keys)
	for key, n := range keys {
		require.Equal(t, 2, n, key)
	}
	require.Len(t, results, 2*len(keys))
}

// Guards against a mistyped kind of call that is parsed as a different one.
func TestParseWork(t *testing.T) {
	w, err := ParseWork("3 post crews /book keyed body=20")
	require.NoError(t, err)
	require.Equal(t, Work{Weight: 3, Method: "POST", Service: "crews", Path: "/book", Keyed: true, BodyBytes: 20}, w)
	for _, text := range []string{"", "1 GET crews", "0 GET crews /", "x GET crews /", "1 GET crews book", "1 GET crews / nope", "1 GET crews / body=x"} {
		_, err := ParseWork(text)
		require.Error(t, err, text)
	}
}
