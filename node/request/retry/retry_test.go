package retry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishstand/radishstand/api/settings"
)

// A fixed seed makes the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

// fixture is a Retrier with a manual clock.
type fixture struct {
	*Retrier
	at time.Time
}

func newFixture(v settings.Retry) *fixture {
	b := &fixture{at: time.Unix(1000, 0)}
	b.Retrier = New(Config{Now: func() time.Time { return b.at }})
	values := settings.Default()
	values.Retry = v
	b.Configure("quotes", &values)
	return b
}

// Guards against a second run of non-idempotent work, and against retries after the deadline or without allowance.
func TestRetryNeedsProofTimeAndAllowance(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		failure    Failure
		left       time.Duration
		allowance  int
		reason     Reason
	}{
		"non-idempotent work that may have run is not retried":          {false, Unknown, time.Second, 2, ReasonNotIdempotent},
		"non-idempotent work that did not run is retried":               {false, NotRun, time.Second, 2, ""},
		"non-idempotent work follows a redirection":                     {false, Redirected, time.Second, 2, ""},
		"idempotent work is retried after an unknown outcome":           {true, Unknown, time.Second, 2, ""},
		"nothing is retried after the deadline":                         {true, NotRun, 0, 2, ReasonNoTime},
		"nothing is retried without allowance":                          {true, NotRun, time.Second, 0, ReasonAllowance},
		"a redirection is not followed without allowance":               {true, Redirected, time.Second, 0, ReasonAllowance},
		"a root call gets the allowance of the settings when it begins": {true, NotRun, time.Second, -1, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(settings.Default().Retry)
			call := b.Begin("quotes", c.idempotent, b.at.Add(c.left), c.allowance)
			require.Equal(t, c.reason, b.Retry(call, c.failure))
			if !c.idempotent {
				require.Equal(t, ReasonNotIdempotent, b.Hedge(call))
			}
		})
	}
}

// Guards against a budget that allows more or fewer retries than a reference one, which adds up the history in fixed point.
func TestBudgetMatchesAReferenceBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := settings.Default().Retry
		v.BudgetRatio = float64(rapid.IntRange(0, 4).Draw(t, "ratio")) / 4
		v.BudgetMinPerSec = float64(rapid.IntRange(0, 8).Draw(t, "minimum"))
		b := newFixture(v)
		tokens, limit := 1000*int(settings.Default().Retry.BudgetMinPerSec+burst), 1000*int(v.BudgetMinPerSec+burst) // thousandths
		tokens = min(tokens, limit)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				ms := rapid.IntRange(1, 500).Draw(t, "ms")
				b.at = b.at.Add(time.Duration(ms) * time.Millisecond)
				tokens = min(tokens+ms*int(v.BudgetMinPerSec), limit)
			case 1:
				b.Begin("quotes", true, time.Time{}, 1)
				tokens = min(tokens+int(1000*v.BudgetRatio), limit)
			case 2:
				call := &Call{Service: "quotes", Idempotent: true, Allowance: 1}
				reason := b.Retry(call, NotRun)
				if tokens%1000 == 0 { // rounding decides
					if reason == "" {
						tokens -= 1000
					}
					continue
				}
				require.Equal(t, tokens >= 1000, reason == "", "%d thousandths", tokens)
				if reason == "" {
					tokens -= 1000
				}
			}
		}
	})
}

// Guards against a retry storm: when every server refuses, the extra attempts stay within the budget.
func TestRefusalsByAllServersStayWithinTheBudget(t *testing.T) {
	b := newFixture(settings.Default().Retry)
	const calls, perSecond = 20_000, 1000
	attempts := 0
	for range calls {
		b.at = b.at.Add(time.Second / perSecond)
		call := b.Begin("quotes", true, b.at.Add(time.Second), -1)
		for attempts++; b.Retry(call, NotRun) == ""; attempts++ {
		}
	}
	v := settings.Default().Retry
	budget := v.BudgetRatio*calls + v.BudgetMinPerSec*calls/perSecond + v.BudgetMinPerSec + burst
	require.LessOrEqual(t, float64(attempts-calls), budget)
	require.Greater(t, attempts, calls)
}

// tree simulates a call tree in which every attempt at the lowest level fails with the given failure. The budget of the
// service is never the limit.
type tree struct {
	fixture  *fixture
	pools    *Pools
	depth    int
	fanOut   func(depth int) int
	failure  Failure
	attempts int
	extra    int
}

// call makes one nested call of an attempt and returns the number of extra attempts made by it and its nested calls.
func (t *tree) call(parent string, depth int) int {
	allowance := -1
	if parent != "" {
		allowance = t.pools.Reserve(parent, 10)
	}
	call := t.fixture.Begin("quotes", true, time.Time{}, allowance)
	for {
		t.attempts++
		delegated := call.DelegateAllowance()
		used, ok := t.attempt(delegated, depth)
		if t.failure == Unknown && !ok {
			call.ForfeitAllowance(delegated)
		} else {
			call.SettleAllowance(delegated, used)
		}
		if ok || t.fixture.Retry(call, t.failure) != "" {
			break
		}
		t.extra++
	}
	if parent != "" {
		t.pools.Settle(parent, allowance, call.Used)
	}
	return call.Used
}

// attempt makes the nested calls of an attempt.
func (t *tree) attempt(delegated, depth int) (used int, ok bool) {
	if depth == t.depth {
		return 0, false
	}
	id := fmt.Sprint(depth, "-", t.attempts)
	t.pools.Open(id, delegated)
	for range t.fanOut(depth) {
		t.call(id, depth+1)
	}
	return t.pools.Close(id), false
}

// Guards against extra attempts that multiply along a chain of calls beyond the root's allowance.
func TestCallTreeStaysWithinTheAllowanceOfTheRoot(t *testing.T) {
	for _, allowance := range []int{0, 1, 2, 5, 10} {
		for _, failure := range []Failure{NotRun, Unknown} {
			v := settings.Default().Retry
			v.MaxPerCall, v.BudgetMinPerSec = allowance, 1000
			tree := &tree{
				fixture: newFixture(v), pools: NewPools(), depth: 28, failure: failure,
				fanOut: func(depth int) int {
					if depth%7 == 0 { // at three levels of the tree, each attempt makes three calls
						return 3
					}
					return 1
				},
			}
			tree.call("", 1)
			require.LessOrEqual(t, tree.extra, allowance, "failure %d", failure)
			if failure == NotRun && allowance > 0 {
				require.Positive(t, tree.extra)
			}
		}
	}
}

// Guards against pools that grant more than their allowance when nested calls run concurrently, or grant it to unknown
// attempts.
func TestPoolsNeverGrantMoreThanTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPools()
		allowance := rapid.IntRange(0, 6).Draw(t, "allowance")
		p.Open("a", allowance)
		var reservations []int
		used := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if p.Take("a") {
					used++
				}
			case 1:
				reservations = append(reservations, p.Reserve("a", rapid.IntRange(0, 3).Draw(t, "n")))
			case 2:
				if len(reservations) > 0 {
					n := rapid.IntRange(0, reservations[0]).Draw(t, "used")
					p.Settle("a", reservations[0], n)
					used, reservations = used+n, reservations[1:]
				}
			}
			reserved := 0
			for _, n := range reservations {
				reserved += n
			}
			require.LessOrEqual(t, used+reserved, allowance)
			require.Equal(t, used+reserved, p.Used("a"))
		}
		p.Close("a")
		require.False(t, p.Take("a"))
		require.Zero(t, p.Used("a"))
	})
}

// Guards against immediate hedges when no latencies are known, and against hedges that use up the budget for retries.
func TestHedgesWaitForThePercentileAndLeaveBudget(t *testing.T) {
	b := newFixture(settings.Default().Retry)
	_, ok := b.HedgeDelay("quotes")
	require.False(t, ok)
	b.at = b.at.Add(time.Second)
	for i := range 100 {
		b.Observe("quotes", time.Duration(i+1)*time.Millisecond)
	}
	delay, ok := b.HedgeDelay("quotes")
	require.True(t, ok)
	require.InDelta(t, 95, delay.Milliseconds(), 10)
	for range 100 {
		b.Hedge(&Call{Service: "quotes", Idempotent: true, Allowance: 1})
	}
	require.Empty(t, b.Retry(&Call{Service: "quotes", Idempotent: true, Allowance: 1}, NotRun))
}

func BenchmarkCall(b *testing.B) {
	r, pools := New(Config{}), NewPools()
	b.ReportAllocs()
	for b.Loop() {
		call := r.Begin("quotes", true, time.Time{}, -1)
		delegated := call.DelegateAllowance()
		pools.Open("attempt", delegated)
		call.SettleAllowance(delegated, pools.Close("attempt"))
		r.Observe("quotes", time.Millisecond)
	}
}
