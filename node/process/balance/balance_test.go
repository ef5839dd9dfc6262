package balance

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishstand/radishstand/api/settings"
)

const testService = "quotes"

// The property tests run with a fixed seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// testBalancer is a Balancer with a manual clock.
type testBalancer struct {
	*Balancer
	clock time.Time
}

func newTestBalancer(n int, change func(i int, s *Server)) *testBalancer {
	b := &testBalancer{clock: time.Unix(1000, 0)}
	b.Balancer = New(Config{
		Place: "a", Now: func() time.Time { return b.clock }, Rand: rand.New(rand.NewPCG(1, 1)),
		RoundTrip: func(place string) time.Duration {
			if place == "a" {
				return 0
			}
			return 2 * time.Millisecond
		},
	})
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint("s", i), Service: testService, Place: string(rune('a' + i%3)), NodeID: fmt.Sprint("n", i), Slots: 10}
		if change != nil {
			change(i, &servers[i])
		}
	}
	b.SetServers(testService, servers)
	return b
}

// runCalls starts one call per ms and returns the share of the calls that each server received. end returns the result of a
// call; all load reports state a service time of 10 ms.
func (b *testBalancer) runCalls(t testing.TB, calls int, end func(id string) Result) map[string]float64 {
	share := map[string]float64{}
	type running struct {
		until  time.Time
		server Server
		result Result
	}
	var list []running
	inProgress, sequence := map[string]int{}, uint64(0)
	for range calls {
		b.clock = b.clock.Add(time.Millisecond)
		list = slices.DeleteFunc(list, func(r running) bool {
			if r.until.After(b.clock) {
				return false
			}
			inProgress[r.server.ID]--
			sequence++
			b.Observe(r.server.NodeID, []Load{{ServerID: r.server.ID, Sequence: sequence, InProgress: inProgress[r.server.ID], Limit: 10, ServiceTime: 10 * time.Millisecond}})
			b.Finished(r.server, r.result)
			return true
		})
		s, err := b.Pick(testService, nil)
		require.NoError(t, err)
		share[s.ID] += 1 / float64(calls)
		b.Started(s)
		inProgress[s.ID]++
		result := end(s.ID)
		list = append(list, running{until: b.clock.Add(result.Latency), server: s, result: result})
	}
	return share
}

// Guards against miscounted attempts or reports: the picked server must have the lowest score of a naive implementation,
// which recomputes the score from the whole history.
func TestPickAgreesWithANaiveChooser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBalancer(rapid.IntRange(1, 6).Draw(t, "servers"), nil)
		naive := newNaive(b)
		ids := b.Dump()[testService]
		sequence := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			b.clock = b.clock.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "us")) * time.Microsecond)
			id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "server")].ID
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Started(Server{ID: id})
				naive.start(id)
			case 1:
				if naive.inFlight(id) > 0 {
					kind := rapid.SampledFrom([]Kind{OK, Cancelled}).Draw(t, "kind")
					b.Finished(Server{ID: id}, Result{Kind: kind, Latency: time.Millisecond})
					naive.finish(id, kind)
				}
			case 2:
				sequence++
				l := Load{ServerID: id, Sequence: sequence - uint64(rapid.IntRange(0, 1).Draw(t, "old")), InProgress: rapid.IntRange(0, 10).Draw(t, "in progress"),
					Queued: rapid.IntRange(0, 20).Draw(t, "queued"), Limit: 10, ServiceTime: time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond}
				b.Observe("n"+id[1:], []Load{l})
				naive.observe(id, l)
			case 3:
				excluded := []string{id}
				s, err := b.Pick(testService, excluded)
				if len(ids) == 1 {
					require.ErrorIs(t, err, ErrNoServer)
					continue
				}
				require.NoError(t, err)
				for _, other := range ids {
					if other.ID != id {
						require.LessOrEqual(t, naive.score(s.ID), naive.score(other.ID)*(1+1e-6), "picked %s instead of %s", s.ID, other.ID)
					}
				}
				require.NotEqual(t, id, s.ID)
			}
		}
	})
}

// naive computes the scores of servers from the whole history.
type naive struct {
	b                  *testBalancer
	starts             map[string][]time.Time
	ends               map[string][]time.Time
	answers            map[string][]time.Time
	last               map[string]Load
	readAt             map[string]time.Time
	typicalServiceTime float64
}

func newNaive(b *testBalancer) *naive {
	return &naive{b, map[string][]time.Time{}, map[string][]time.Time{}, map[string][]time.Time{}, map[string]Load{}, map[string]time.Time{}, float64(defaultServiceTime)}
}

func (n *naive) start(id string) { n.starts[id] = append(n.starts[id], n.b.clock) }
func (n *naive) inFlight(id string) int {
	return len(n.starts[id]) - len(n.ends[id])
}

func (n *naive) finish(id string, kind Kind) {
	n.ends[id] = append(n.ends[id], n.b.clock)
	if kind == OK {
		n.answers[id] = append(n.answers[id], n.b.clock)
	}
}

// roundTrip returns the network round-trip time to a server of newTestBalancer.
func (n *naive) roundTrip(id string) time.Duration {
	if (id[1]-'0')%3 == 0 {
		return 0
	}
	return 2 * time.Millisecond
}

func (n *naive) observe(id string, l Load) {
	if l.Sequence <= n.last[id].Sequence {
		return
	}
	n.last[id] = l
	n.readAt[id] = n.b.clock
	n.typicalServiceTime += (float64(l.ServiceTime) - n.typicalServiceTime) / 100
}

func (n *naive) score(id string) float64 {
	l, arrived := n.last[id], n.readAt[id]
	roundTrip := n.roundTrip(id)
	serviceTime := n.typicalServiceTime
	count := 0
	exposure := 0.0
	if arrived.IsZero() {
		for _, s := range n.starts[id] {
			exposure += float64(n.b.clock.Sub(s))
			count++
		}
		for _, e := range n.ends[id] {
			exposure -= float64(n.b.clock.Sub(e))
		}
	} else {
		age := n.b.clock.Sub(arrived) + roundTrip/2
		serviceTime += (float64(l.ServiceTime) - n.typicalServiceTime) * math.Pow(math.E, -age.Seconds()/reportDecayTime.Seconds())
		inFlight := 0
		for _, s := range n.starts[id] {
			if s.After(arrived) {
				exposure += float64(n.b.clock.Sub(s))
			} else {
				inFlight++
			}
			if s.After(arrived.Add(-roundTrip)) {
				count++
			}
		}
		for _, e := range n.ends[id] {
			if e.After(arrived) {
				exposure -= float64(n.b.clock.Sub(e))
			} else {
				inFlight--
			}
		}
		exposure += float64(inFlight) * float64(n.b.clock.Sub(arrived)+roundTrip/2)
	}
	answers := 0
	for _, a := range n.answers[id] {
		if a.After(arrived) || arrived.IsZero() {
			answers++
		}
	}
	calls := max(l.InProgress+l.Queued+min(count, startRingSize), n.inFlight(id))
	if calls > 10 {
		exposure *= 10 / float64(calls)
	}
	seen := float64(1 + answers)
	serviceTime = (reportWeight*serviceTime + max(exposure, seen*serviceTime)) / (reportWeight + seen)
	return serviceTime*(1+waitFactor(calls, 10)) + float64(roundTrip)
}

// Guards against a server that fails quickly, appears to be fast and so attracts the calls of the whole service.
func TestFailingFastDoesNotAttractCalls(t *testing.T) {
	for _, kind := range []Kind{Error, Refused} {
		b := newTestBalancer(3, func(_ int, s *Server) { s.Place = "a" })
		v := settings.Default()
		v.Ejection.ConsecutiveErrors = 1000 // disables ejection
		b.Configure(testService, &v)
		share := b.runCalls(t, 5000, func(id string) Result {
			if id == "s1" {
				return Result{Kind: kind, Latency: 100 * time.Microsecond}
			}
			return Result{Latency: 10 * time.Millisecond}
		})
		require.Less(t, share["s1"], 0.15, "kind %d: %v", kind, share)
	}
}

// Guards against ejecting all servers of a service: it happens when they fail for a common cause.
func TestEjectionIsLimitedToMaxShare(t *testing.T) {
	for servers := 1; servers <= 8; servers++ {
		b := newTestBalancer(servers, nil)
		b.runCalls(t, 3000, func(string) Result { return Result{Kind: Error, Latency: time.Millisecond} })
		ejected := 0
		for _, s := range b.Dump()[testService] {
			if s.EjectedForMs > 0 {
				ejected++
			}
		}
		require.LessOrEqual(t, ejected, servers/2)
	}
}

// Guards against picking an ejected server while healthy ones are available, and against an ejection that never ends.
func TestEjectedServerReturnsAfterEjectionTime(t *testing.T) {
	b := newTestBalancer(2, nil)
	for range 5 {
		b.Started(Server{ID: "s0"})
		b.Finished(Server{ID: "s0"}, Result{Kind: Error})
	}
	s, err := b.Pick(testService, nil)
	require.NoError(t, err)
	require.Equal(t, "s1", s.ID)
	s, err = b.Pick(testService, []string{"s1"})
	require.NoError(t, err, "an ejected server must be picked if there is no other")
	require.Equal(t, "s0", s.ID)
	b.clock = b.clock.Add(2 * time.Second)
	require.Zero(t, b.Dump()[testService][0].EjectedForMs)
}

// Guards against a new server that receives its full share of calls at once, and against a service whose servers are all
// new and receive no calls.
func TestSlowStartLimitsTheShareOfANewServer(t *testing.T) {
	first := time.Unix(1000, 0)
	b := newTestBalancer(3, func(i int, s *Server) {
		s.Place = "a"
		if i == 0 {
			s.FirstSeen = first
		}
	})
	values := settings.Default()
	values.Balance.SlowStartMs = 10_000
	b.Configure(testService, &values)
	share := b.runCalls(t, 2000, func(string) Result { return Result{Latency: 10 * time.Millisecond} })
	require.Less(t, share["s0"], 0.15)
	require.Greater(t, share["s0"], 0.01)
	b = newTestBalancer(3, func(_ int, s *Server) { s.FirstSeen = first })
	b.runCalls(t, 100, func(string) Result { return Result{Latency: 10 * time.Millisecond} })
}

// Guards against one server that receives all calls of a large service: it could happen when all servers are new, as after
// a restart.
func TestNewServersOfALargeServiceShareTheCalls(t *testing.T) {
	b := newTestBalancer(200, func(_ int, s *Server) { s.FirstSeen = time.Unix(1000, 0) })
	for id, share := range b.runCalls(t, 2000, func(string) Result { return Result{Latency: 10 * time.Millisecond} }) {
		require.Less(t, share, 0.05, id)
	}
}

// Guards against picking a draining server, and against picking any server when none is eligible.
func TestPickSkipsDrainingServers(t *testing.T) {
	b := newTestBalancer(2, func(i int, s *Server) { s.Draining = i == 0 })
	s, err := b.Pick(testService, nil)
	require.NoError(t, err)
	require.Equal(t, "s1", s.ID)
	b.Observe("n1", []Load{{ServerID: "s1", Sequence: 1, Limit: 10, Draining: true}})
	_, err = b.Pick(testService, nil)
	require.ErrorIs(t, err, ErrNoServer)
	_, err = b.Pick("unknown", nil)
	require.ErrorIs(t, err, ErrNoServer)
}

// Guards against calls that never spill over to another place, or do so before the spill penalty is exceeded.
func TestCallsSpillOverWhenOwnPlaceIsSlower(t *testing.T) {
	b := newTestBalancer(2, nil) // s1 is 2 ms away
	v := settings.Default()
	v.Balance.SpillMs = 5
	b.Configure(testService, &v)
	for i, c := range []struct {
		home time.Duration
		want string
	}{{14 * time.Millisecond, "s0"}, {30 * time.Millisecond, "s1"}} {
		b.Observe("n0", []Load{{ServerID: "s0", Sequence: uint64(i + 1), Limit: 10, ServiceTime: c.home}})
		b.Observe("n1", []Load{{ServerID: "s1", Sequence: uint64(i + 1), Limit: 10, ServiceTime: 10 * time.Millisecond}})
		s, err := b.Pick(testService, nil)
		require.NoError(t, err)
		require.Equal(t, c.want, s.ID)
	}
}

// Guards against an older report, or one of an older incarnation, that replaces a newer one.
func TestObserveKeepsTheNewestReport(t *testing.T) {
	b := newTestBalancer(1, nil)
	for _, l := range []Load{{Incarnation: 2, Sequence: 5, Queued: 1}, {Incarnation: 2, Sequence: 4, Queued: 2}, {Incarnation: 1, Sequence: 9, Queued: 3}} {
		l.ServerID = "s0"
		b.Observe("n0", []Load{l})
	}
	b.clock = b.clock.Add(time.Millisecond)
	require.Equal(t, []Load{{ServerID: "s0", Incarnation: 2, Sequence: 5, Queued: 1, Age: time.Millisecond}}, b.Freshest(testService, 3))
}

// Guards against sampling that misses the healthy servers of a large service in which half of the servers are slow.
func TestSamplingAvoidsSlowServersOfALargeService(t *testing.T) {
	b := newTestBalancer(200, nil)
	for i := range 200 {
		l := Load{ServerID: fmt.Sprint("s", i), Sequence: 1, Limit: 10, ServiceTime: 10 * time.Millisecond}
		if i%2 == 0 {
			l.ServiceTime = 500 * time.Millisecond
		}
		b.Observe(fmt.Sprint("n", i), []Load{l})
	}
	slow := 0
	for range 1000 {
		s, err := b.Pick(testService, nil)
		require.NoError(t, err)
		if int(s.ID[len(s.ID)-1]-'0')%2 == 0 {
			slow++
		}
	}
	require.Less(t, slow, 20)
}

// Guards against redirection to a server that is not faster, and against redirecting a whole queue to one free slot.
func TestSiblingReturnsOnlyFasterServers(t *testing.T) {
	b := newTestBalancer(2, func(_ int, s *Server) { s.Place, s.Slots = "a", 1 })
	b.Observe("n1", []Load{{ServerID: "s1", Sequence: 1, Limit: 1, ServiceTime: 10 * time.Millisecond}})
	b.clock = b.clock.Add(time.Millisecond)
	_, ok := b.Sibling(testService, "s0", 5*time.Millisecond)
	require.False(t, ok)
	redirected := 0
	for range 10 {
		if _, ok := b.Sibling(testService, "s0", 30*time.Millisecond); ok {
			redirected++
		}
	}
	require.Positive(t, redirected)
	require.Less(t, redirected, 4)
}

// Guards against nodes that receive no report, or one with every answer, and against a table of nodes that grows without
// limit.
func TestReportLimiterSpacesReports(t *testing.T) {
	at := time.Unix(1000, 0)
	l := NewReportLimiter(func() time.Time { return at }, func() time.Duration { return 2 * time.Millisecond })
	require.True(t, l.Due("a"))
	require.False(t, l.Due("a"))
	require.True(t, l.Due("b"))
	at = at.Add(2 * time.Millisecond)
	require.True(t, l.Due("a"))
	for i := range 3 * maxTrackedNodes {
		at = at.Add(time.Millisecond)
		l.Due(fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(l.sentAt), maxTrackedNodes)
}

// Guards against data races and miscounted attempts while the servers change.
func TestBalancerIsSafeForConcurrentUse(t *testing.T) {
	b := newTestBalancer(6, nil)
	servers := make([]Server, 6)
	for i, d := range b.Dump()[testService] {
		servers[i] = Server{ID: d.ID, Service: testService, Place: d.Place, NodeID: d.NodeID, Slots: d.Slots}
	}
	v := settings.Default()
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			for i := range 300 {
				s, err := b.Pick(testService, nil)
				if err != nil {
					continue
				}
				b.Started(s)
				b.Observe(s.NodeID, []Load{{ServerID: s.ID, Sequence: uint64(i), Limit: 10, ServiceTime: time.Millisecond}})
				b.Freshest(testService, 2)
				b.Sibling(testService, s.ID, time.Second)
				if _, err := b.Hedge(s, []string{s.ID}); err == nil && g == 0 {
					b.Dump()
				}
				b.Finished(s, Result{Latency: time.Millisecond})
				if g == 0 && i%10 == 0 {
					b.SetServers(testService, servers)
					b.Configure(testService, &v)
				}
			}
		})
	}
	group.Wait()
	for _, s := range b.Dump()[testService] {
		require.Zero(t, s.Own, s.ID)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 20, 200} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			balancer := newTestBalancer(n, nil)
			b.ReportAllocs()
			for b.Loop() {
				balancer.clock = balancer.clock.Add(time.Microsecond)
				if _, err := balancer.Pick(testService, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStartedObserveFinished(b *testing.B) {
	for _, n := range []int{3, 20, 200} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			balancer := newTestBalancer(n, nil)
			s := Server{ID: "s1", Service: testService}
			loads := []Load{{ServerID: "s1", Limit: 10, ServiceTime: 10 * time.Millisecond}}
			b.ReportAllocs()
			for b.Loop() {
				balancer.clock = balancer.clock.Add(time.Microsecond)
				balancer.Started(s)
				loads[0].Sequence++
				balancer.Observe("n1", loads)
				balancer.Finished(s, Result{Latency: time.Millisecond})
			}
		})
	}
}

// Measures the heap memory per server record, including its index entry.
func BenchmarkMemoryPerServer(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newTestBalancer(1000, nil)
	}
	b.ReportMetric(1000, "servers/op")
}
