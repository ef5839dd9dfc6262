package platform_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/platformtest"
)

var (
	ctx  = context.Background()
	key  = platform.Key{Partition: "p", Sort: "s"}
	put  = platform.Write{Item: platform.Item{Key: key}}
	down = func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} }
)

func newGuard(memory *platformtest.Memory, nodes int, change func(*platform.Limits)) *platform.Guard {
	limits := platform.DefaultLimits()
	if change != nil {
		change(&limits)
	}
	return platform.NewGuard(memory, memory, platform.Options{Limits: limits, Nodes: func() int { return nodes }})
}

// inVirtualTime runs a subtest with an empty store in virtual time.
func inVirtualTime(t *testing.T, name string, test func(*testing.T, *platformtest.Memory)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, platformtest.NewMemory()) })
	})
}

// Guards against a node that reads or writes more than its share, and against callers that wait for it past their deadline.
func TestBudget(t *testing.T) {
	inVirtualTime(t, "a node writes no more than its share and the burst", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 10, nil)
		for start := time.Now(); time.Since(start) < 10*time.Second; {
			_ = g.Transact(ctx, put)
		}
		_, writes := m.Counts()
		require.InDelta(t, 400/10*10+80, writes, 1)
	})
	inVirtualTime(t, "a caller that would wait past its deadline fails at once and uses no budget", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 400, nil)
		for range 8 {
			require.NoError(t, g.Transact(ctx, put))
		}
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		require.ErrorIs(t, g.Transact(short, put), platform.ErrUnavailable)
		require.Zero(t, time.Since(start))
		require.EqualValues(t, 1, g.State().Table.Counters["overBudget"])
		require.NoError(t, g.Transact(ctx, put))
		require.Equal(t, time.Second, time.Since(start))
	})
	inVirtualTime(t, "the share follows the number of live nodes", func(t *testing.T, m *platformtest.Memory) {
		nodes := 1
		g := platform.NewGuard(m, m, platform.Options{Limits: platform.DefaultLimits(), Nodes: func() int { return nodes }})
		nodes = 13000
		time.Sleep(time.Second)
		require.NoError(t, g.Transact(ctx, put))
		require.InDelta(t, 400.0/13000, g.State().Writes.PerSecond, 1e-9)
		require.Equal(t, 8, g.State().Writes.Burst)
	})
	inVirtualTime(t, "a large transaction is charged for each item", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		writes := make([]platform.Write, 100)
		for i := range writes {
			writes[i].Item.Key = platform.Key{Partition: "p", Sort: string(rune('a' + i))}
		}
		for range 8 {
			require.NoError(t, g.Transact(ctx, writes...))
		}
		start := time.Now()
		require.NoError(t, g.Transact(ctx, writes...))
		require.Equal(t, 250*time.Millisecond, time.Since(start))
	})
	inVirtualTime(t, "a query is charged for its size", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 200, nil)
		large := platform.Item{Key: key, Data: make([]byte, 60<<10)}
		require.NoError(t, m.Transact(ctx, platform.Write{Item: large}))
		_, err := g.Query(ctx, "p", "", 1)
		require.NoError(t, err)
		require.InDelta(t, 20-1-15, g.State().Reads.Tokens, 0.01)
	})
}

// Guards against reads that fail after a single failed attempt, reads that never end, and writes that are retried although
// they may have taken effect.
func TestRetries(t *testing.T) {
	inVirtualTime(t, "a read is retried after a failure", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		left := 2
		m.SetFault(func(platformtest.Operation) platformtest.Fault { left--; return platformtest.Fault{Down: left >= 0} })
		_, err := g.Get(ctx, key)
		require.ErrorIs(t, err, platform.ErrNotFound)
		require.EqualValues(t, 2, g.State().Table.Counters["retries"])
	})
	inVirtualTime(t, "a slow read ends at its deadline", func(t *testing.T, m *platformtest.Memory) {
		m.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Delay: time.Minute} })
		start := time.Now()
		_, err := newGuard(m, 1, nil).Get(ctx, key)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.LessOrEqual(t, time.Since(start), time.Second)
	})
	inVirtualTime(t, "a write with an unknown outcome is never retried", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		calls := 0
		m.SetFault(func(platformtest.Operation) platformtest.Fault { calls++; return platformtest.Fault{LoseAnswer: true} })
		require.ErrorIs(t, g.Transact(ctx, put), platform.ErrOutcomeUnknown)
		require.Equal(t, 1, calls)
	})
	for _, c := range []struct {
		name        string
		table       failingTable
		write, read error
		writes      int
	}{
		{"a write that conflicts with another transaction is retried", failingTable{err: platform.ErrConflict}, platform.ErrConflict, platform.ErrConflict, 3},
		{"an error of another package makes a write unknown and a read unavailable", failingTable{err: errors.New("foreign")}, platform.ErrOutcomeUnknown, platform.ErrUnavailable, 1},
		{"a failed condition is final", failingTable{err: platform.ErrCondition}, platform.ErrCondition, platform.ErrCondition, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := platform.NewGuard(&c.table, nil, platform.Options{Limits: platform.DefaultLimits()})
				require.ErrorIs(t, g.Transact(ctx, put), c.write)
				require.Equal(t, c.writes, c.table.calls)
				_, err := g.Get(ctx, key)
				require.ErrorIs(t, err, c.read)
			})
		})
	}
}

// failingTable is a table whose operations always return err.
type failingTable struct {
	platform.Table
	err   error
	calls int
}

func (f *failingTable) Transact(context.Context, ...platform.Write) error { f.calls++; return f.err }
func (f *failingTable) Get(context.Context, platform.Key) (platform.Item, error) {
	return platform.Item{}, f.err
}

func tripBreaker(t *testing.T, g *platform.Guard, m *platformtest.Memory) {
	m.SetFault(down)
	for range 5 {
		require.ErrorIs(t, g.Transact(ctx, put), platform.ErrUnavailable)
	}
	require.NotEqual(t, "closed", g.State().Table.Breaker)
}

// Guards against calls to a store that is down, and against a breaker that does not close after recovery.
func TestBreaker(t *testing.T) {
	inVirtualTime(t, "an open breaker fails fast and sends only probes to the store", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		tripBreaker(t, g, m)
		calls := 0
		m.SetFault(func(platformtest.Operation) platformtest.Fault { calls++; return platformtest.Fault{Down: true} })
		for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(10 * time.Millisecond) {
			require.ErrorIs(t, g.Transact(ctx, put), platform.ErrUnavailable)
		}
		require.InDelta(t, 60, calls, 15)
		require.Equal(t, "closed", g.State().Objects.Breaker, "the object store has a breaker of its own")
	})
	inVirtualTime(t, "only reads are used as probes, and the first call after a successful probe is sent", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		tripBreaker(t, g, m)
		var names []string
		m.SetFault(func(op platformtest.Operation) platformtest.Fault {
			names = append(names, op.Name)
			return platformtest.Fault{}
		})
		time.Sleep(2 * time.Second)
		require.NoError(t, g.Transact(ctx, put))
		require.Equal(t, []string{"Get", "Transact"}, names)
		require.Equal(t, "closed", g.State().Table.Breaker)
	})
	inVirtualTime(t, "a write that waited for the budget while the store went down is not sent", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 400, func(l *platform.Limits) { l.TripFailures = 1 })
		for range 7 {
			require.NoError(t, g.Transact(ctx, put))
		}
		m.SetFault(func(op platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{Delay: 100 * time.Millisecond, Down: true}
		})
		go func() { _ = g.Transact(ctx, put) }()
		synctest.Wait()
		start := time.Now()
		require.ErrorIs(t, g.Transact(ctx, put), platform.ErrUnavailable)
		require.Equal(t, time.Second, time.Since(start))
		require.EqualValues(t, 1, g.State().Table.Counters["failedFast"])
	})
	inVirtualTime(t, "a caller with a short deadline neither trips the breaker nor prolongs an outage", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		m.SetFault(func(platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{Delay: 50 * time.Millisecond}
		})
		getWithShortDeadline := func() {
			short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			defer cancel()
			_, err := g.Get(short, key)
			require.ErrorIs(t, err, platform.ErrUnavailable)
		}
		for range 10 {
			getWithShortDeadline()
		}
		require.Equal(t, "closed", g.State().Table.Breaker)
		tripBreaker(t, g, m)
		m.SetFault(func(platformtest.Operation) platformtest.Fault {
			return platformtest.Fault{Delay: 50 * time.Millisecond}
		})
		time.Sleep(2 * time.Second)
		getWithShortDeadline()
		time.Sleep(time.Second)
		require.Equal(t, "closed", g.State().Table.Breaker)
	})
	inVirtualTime(t, "failed conditions and missing items do not count as failures", func(t *testing.T, m *platformtest.Memory) {
		g := newGuard(m, 1, nil)
		missing := platform.Write{Item: put.Item, Condition: platform.Condition{Equal: map[string]int64{"n": 1}}}
		for range 20 {
			require.ErrorIs(t, g.Transact(ctx, missing), platform.ErrCondition)
			_, err := g.GetObject(ctx, "none")
			require.ErrorIs(t, err, platform.ErrNotFound)
		}
		require.Equal(t, "closed", g.State().Table.Breaker)
		require.Equal(t, map[string]int64{"condition": 20}, g.State().Table.Counters)
	})
}

// Guards against overload of the store while it is down and when it recovers: a sample of a fleet of 13,000 nodes, all with
// waiting calls, must stay within its share of the fleet's budget.
func TestLargeFleetDoesNotOverloadRecoveringStore(t *testing.T) {
	inVirtualTime(t, "sample of 130 of 13,000 nodes", func(t *testing.T, m *platformtest.Memory) {
		const fleet, sample = 13000, 130
		var guards []*platform.Guard
		for range sample {
			g := newGuard(m, fleet, nil)
			tripBreaker(t, g, m)
			guards = append(guards, g)
		}
		calls := 0
		run := func(span time.Duration, fault platformtest.Fault) (perSecond float64, peak int) {
			m.SetFault(func(platformtest.Operation) platformtest.Fault { calls++; return fault })
			before := calls
			for start := time.Now(); time.Since(start) < span; time.Sleep(time.Second) {
				at := calls
				for _, g := range guards {
					short, cancel := context.WithTimeout(ctx, time.Millisecond)
					_, _ = g.Get(short, key)
					_ = g.Transact(short, put)
					cancel()
				}
				synctest.Wait()
				peak = max(peak, calls-at)
			}
			return float64(calls-before) / span.Seconds(), peak
		}
		perSecond, peak := run(3*time.Minute, platformtest.Fault{Down: true})
		t.Logf("down: %.1f calls/s, peak %d in one second, budget %.1f", perSecond, peak, 2000.0/fleet*sample)
		require.LessOrEqual(t, perSecond, 0.25*1.1*2000/fleet*sample)
		perSecond, peak = run(time.Minute, platformtest.Fault{})
		t.Logf("recovery: %.1f calls/s, peak %d in one second, budget %.1f", perSecond, peak, 2400.0/fleet*sample)
		require.LessOrEqual(t, perSecond, 1.1*2400/fleet*sample)
		for _, g := range guards {
			require.Equal(t, "closed", g.State().Table.Breaker)
		}
	})
}

// Guards against limits out of range that are accepted, or rejected without their path.
func TestLimitsErrorNamesInvalidField(t *testing.T) {
	limits := platform.DefaultLimits()
	require.NoError(t, limits.Validate())
	limits.ProbeShare = 2
	require.EqualError(t, limits.Validate(), "platform.probeShare: 2 is out of range 0.001 to 1")
}

// Guards against counters that are missing from the node's metrics.
func TestCountersAreRegistered(t *testing.T) {
	registry := metrics.NewRegistry()
	m := platformtest.NewMemory()
	g := platform.NewGuard(m, m, platform.Options{Limits: platform.DefaultLimits(), Metrics: registry})
	require.NoError(t, g.Transact(ctx, put))
	require.EqualValues(t, 1, registry.Get("platform.table.ok").(metrics.Counter).Count())
}
