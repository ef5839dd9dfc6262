package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/backendtest"
)

func key(text string) http.Header {
	return http.Header{contract.HeaderIdempotencyKey: {"test-key-" + text + "-0123456789"}}
}

// Guards against the replay of non-idempotent work by net/http, which resends a request with an Idempotency-Key when a
// reused connection breaks.
func TestServerThatClosesAfterReadingRunsKeyedWorkOnce(t *testing.T) {
	f := newTestFleet(t, "crews")
	for i := range 10 {
		// A good call first, so that the next one reuses its connection.
		f.servers[0].Set(backendtest.Behaviour{})
		warm := f.call(0, http.MethodPost, "crews", "/book", nil, "x")
		require.Equal(t, contract.OutcomeRun, warm.outcome, warm.body)
		f.servers[0].Set(backendtest.Behaviour{CloseAfterRead: true})
		broken := f.call(0, http.MethodPost, "crews", "/book", key(fmt.Sprint(i)), "crew 9")
		require.Equal(t, contract.OutcomeUnknown, broken.outcome, broken.body)
		require.Equal(t, http.StatusBadGateway, broken.status)
		require.Equal(t, 1, f.runs(broken.token))
		f.servers[0].Set(backendtest.Behaviour{})
		again := f.call(0, http.MethodPost, "crews", "/book", key(fmt.Sprint(i)), "crew 9")
		require.Equal(t, contract.OutcomeUnknown, again.outcome, again.body)
		require.Zero(t, f.runs(again.token), "the repeat of work that may have run must not run")
	}
}

// Guards against a second run when a caller repeats keyed work at another node.
func TestRepeatOfKeyedWorkGetsTheRecordedAnswer(t *testing.T) {
	f := newTestFleet(t, "crews", "crews", "crews")
	first := f.call(0, http.MethodPost, "crews", "/book", key("a"), "crew 9")
	require.Equal(t, contract.OutcomeRun, first.outcome, first.body)
	f.await("the answer is recorded", func() bool {
		again := f.call(1, http.MethodPost, "crews", "/book", key("a"), "crew 9")
		require.Zero(t, f.runs(again.token))
		return again.status == http.StatusOK && again.body == first.body
	})
	other := f.call(2, http.MethodPost, "crews", "/book", key("a"), "crew 10")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, contract.OutcomeNotRun, other.outcome)
	require.Zero(t, f.runs(other.token))
}

// Guards against taking a cut-off answer for a whole one.
func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews")
	for _, size := range []int{1000, 300 << 10, 2 << 20} {
		f.servers[0].Set(backendtest.Behaviour{AnswerBytes: size, TruncateAt: size / 2})
		for node := range f.nodes {
			r := f.call(node, http.MethodGet, "quotes", "/offer", nil, "")
			// A streamed answer is aborted, a held one is reported.
			require.True(t, r.err != nil || r.outcome == contract.OutcomeUnknown, "size %d: %d %s", size, r.status, r.outcome)
		}
		f.servers[0].Set(backendtest.Behaviour{AnswerBytes: size})
		for node := range f.nodes {
			r := f.call(node, http.MethodGet, "quotes", "/offer", nil, "")
			require.NoError(t, r.err)
			require.Len(t, r.body, size)
		}
	}
}

// Guards against answers that reach the wrong caller when calls are late, cancelled and retried, against second runs,
// and against a not-run that ran, while servers drain, die and come back.
func TestAnswersAndOutcomesAreTrueUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { checkOutcomes(t, seed) })
	}
}

func checkOutcomes(t *testing.T, seed uint64) {
	f := newTestFleet(t, "crews", "quotes", "crews", "crews")
	random := rand.New(rand.NewPCG(seed, 1))
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	counts := map[contract.Outcome]int{}
	for i := range 12 {
		node := i % len(f.nodes)
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				header := http.Header{contract.HeaderTimeout: {"150"}}
				if n%2 == 0 {
					header = key(fmt.Sprintf("%d-%d", i, n))
					header[contract.HeaderTimeout] = []string{"150"}
				}
				r := f.call(node, http.MethodPost, "crews", "/book", header, "crew")
				f.checkReply(t, r)
				mu.Lock()
				counts[r.outcome]++
				mu.Unlock()
			}
		})
	}
	f.disturb(random, 3*time.Second)
	close(stop)
	callers.Wait()
	t.Logf("calls by outcome: %v", counts)
	require.NotZero(t, counts[contract.OutcomeRun])
	require.NotZero(t, counts[contract.OutcomeNotRun])
}

// checkReply compares what a caller got with what ran.
func (f *testFleet) checkReply(t *testing.T, r reply) {
	if r.err != nil {
		return
	}
	switch r.outcome {
	case contract.OutcomeRun:
		assert.Equal(t, r.token, r.header.Get(backendtest.HeaderToken), "answer of another caller")
		assert.Contains(t, r.body, r.token+" ")
		assert.Equal(t, 1, f.runs(r.token))
	case contract.OutcomeNotRun:
		assert.Zero(t, f.runs(r.token), "refused as not-run: %s", r.body)
	default:
		assert.LessOrEqual(t, f.runs(r.token), 1)
	}
}

// disturb changes the servers of the fleet at random for a while.
func (f *testFleet) disturb(random *rand.Rand, d time.Duration) {
	behaviours := []backendtest.Behaviour{
		{}, {ServiceTime: 5 * time.Millisecond}, {ServiceTime: 140 * time.Millisecond}, {Refuse: true},
		{CloseAfterRead: true}, {Hang: true}, {TruncateAt: 10},
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		i := random.IntN(len(f.servers))
		s, n := f.servers[i], f.nodes[i]
		if s == nil {
			continue
		}
		switch random.IntN(6) {
		case 0:
			_ = s.Announce(n.config.ListenServer, true)
		case 1:
			_ = s.Withdraw(n.config.ListenServer)
		default:
			s.Set(behaviours[random.IntN(len(behaviours))])
		}
	}
}

// Guards against cutting off calls in progress and against new work for a server that is leaving.
func TestDrainAndPlannedStopHarmNobody(t *testing.T) {
	f := newTestFleet(t, "quotes", "quotes", "quotes")
	for _, s := range f.servers {
		s.Set(backendtest.Behaviour{ServiceTime: 30 * time.Millisecond})
	}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				// Nodes 1 and 2 only: a caller of a node that stops has to go elsewhere.
				method := []string{http.MethodGet, http.MethodPost}[i%2]
				r := f.call(1+i%2, method, "quotes", "/offer", nil, "")
				assert.NoError(t, r.err)
				assert.Equal(t, contract.OutcomeRun, r.outcome, r.body)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, f.servers[1].Announce(f.nodes[1].config.ListenServer, true))
	f.servers[1].StopRenewing()
	f.await("drained server has no work", func() bool { return f.servers[1].InProgress() == 0 })
	before := len(f.servers[1].AllRuns())
	time.Sleep(200 * time.Millisecond)
	require.Len(t, f.servers[1].AllRuns(), before, "new work after the drain")
	f.stops[0]()
	require.Zero(t, f.servers[0].InProgress())
	time.Sleep(300 * time.Millisecond)
	close(stop)
	callers.Wait()
	for _, s := range f.servers {
		require.Zero(t, s.Broken(), "a call in progress was cut off")
	}
}

// Guards against a planned stop that cuts off a large answer, which is fetched after its call has ended.
func TestPlannedStopDeliversLargeAnswers(t *testing.T) {
	const size = 4 << 20
	f := newTestFleet(t, "quotes", "crews")
	// With the race detector on one processor, four such answers took longer than the base settings' limit of 1 s.
	version := f.commit("longer", strings.Replace(baseSettings, `"timeoutMs": 1000`, `"timeoutMs": 9000`, 1))
	f.await("both nodes have the longer limit", func() bool { return f.version(0) >= version && f.version(1) >= version })
	f.servers[0].Set(backendtest.Behaviour{ServiceTime: 400 * time.Millisecond, AnswerBytes: size})
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			r := f.call(1, http.MethodGet, "quotes", "/offer", nil, "")
			assert.NoError(t, r.err)
			assert.Equal(t, http.StatusOK, r.status, r.outcome)
			assert.Equal(t, size, len(r.body))
		})
	}
	f.await("the calls are in progress", func() bool { return f.servers[0].InProgress() == 4 })
	f.stops[0]()
	callers.Wait()
}

// Guards against measuring a server more than its budget allows, whatever happens around it.
func TestMeasuringStaysWithinItsBudget(t *testing.T) {
	f := newTestFleet(t, "quotes", "crews", "crews", "crews")
	s, n := f.servers[0], f.nodes[0]
	s.StopRenewing()
	start := time.Now()
	var callers sync.WaitGroup
	for node := range f.nodes {
		callers.Go(func() {
			for time.Since(start) < 4*time.Second {
				f.call(node, http.MethodGet, "quotes", "/offer", nil, "")
			}
		})
	}
	for i := 0; time.Since(start) < 4*time.Second; i++ {
		// The server flaps: it falls silent, is checked, and announces itself anew.
		time.Sleep(100 * time.Millisecond)
		if i%10 == 0 {
			_ = s.Withdraw(n.config.ListenServer)
			_ = s.Announce(n.config.ListenServer, false)
		}
	}
	callers.Wait()
	const perSecond, burst = 1, 1
	require.LessOrEqual(t, s.ProbeCount(), int(time.Since(start).Seconds())*perSecond+burst+1)
}
