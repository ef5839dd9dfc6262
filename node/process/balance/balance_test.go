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

// bench is a Balancer with its own clock.
type bench struct {
	*Balancer
	at time.Time
}

func newBench(n int, change func(i int, s *Server)) *bench {
	b := &bench{at: time.Unix(1000, 0)}
	b.Balancer = New(Config{
		Place: "a", Now: func() time.Time { return b.at }, Rand: rand.New(rand.NewPCG(1, 1)),
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

// share plays calls of 10 ms, one each ms, and returns the share of calls of each server; end decides on the result.
func (b *bench) share(t testing.TB, calls int, end func(id string) Result) map[string]float64 {
	share := map[string]float64{}
	type running struct {
		until  time.Time
		server Server
		result Result
	}
	var list []running
	inProgress, sequence := map[string]int{}, uint64(0)
	for range calls {
		b.at = b.at.Add(time.Millisecond)
		list = slices.DeleteFunc(list, func(r running) bool {
			if r.until.After(b.at) {
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
		list = append(list, running{until: b.at.Add(result.Latency), server: s, result: result})
	}
	return share
}

// Guards against a chooser that loses count of own attempts or reports: its choice must have the best score of a naive
// version, which keeps the whole history and adds it up at each choice.
func TestPickAgreesWithANaiveChooser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(1, 6).Draw(t, "servers"), nil)
		naive := newNaive(b)
		ids := b.Dump()[testService]
		sequence := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			b.at = b.at.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "us")) * time.Microsecond)
			id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "server")].ID
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Started(Server{ID: id})
				naive.start(id)
			case 1:
				if naive.own(id) > 0 {
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

// naive scores servers from the whole history.
type naive struct {
	b       *bench
	starts  map[string][]time.Time
	ends    map[string][]time.Time
	answers map[string][]time.Time
	last    map[string]Load
	readAt  map[string]time.Time
	typical float64
}

func newNaive(b *bench) *naive {
	return &naive{b, map[string][]time.Time{}, map[string][]time.Time{}, map[string][]time.Time{}, map[string]Load{}, map[string]time.Time{}, float64(serviceDefault)}
}

func (n *naive) start(id string) { n.starts[id] = append(n.starts[id], n.b.at) }
func (n *naive) own(id string) int {
	return len(n.starts[id]) - len(n.ends[id])
}

func (n *naive) finish(id string, kind Kind) {
	n.ends[id] = append(n.ends[id], n.b.at)
	if kind == OK {
		n.answers[id] = append(n.answers[id], n.b.at)
	}
}

// distance returns the distance of a server of newBench.
func (n *naive) distance(id string) time.Duration {
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
	n.readAt[id] = n.b.at
	n.typical += (float64(l.ServiceTime) - n.typical) / 100
}

func (n *naive) score(id string) float64 {
	l, arrived := n.last[id], n.readAt[id]
	distance := n.distance(id)
	serviceTime := n.typical
	count := 0
	exposure := 0.0
	if arrived.IsZero() {
		for _, s := range n.starts[id] {
			exposure += float64(n.b.at.Sub(s))
			count++
		}
		for _, e := range n.ends[id] {
			exposure -= float64(n.b.at.Sub(e))
		}
	} else {
		age := n.b.at.Sub(arrived) + distance/2
		serviceTime += (float64(l.ServiceTime) - n.typical) * math.Pow(math.E, -age.Seconds()/agingSpan.Seconds())
		own := 0
		for _, s := range n.starts[id] {
			if s.After(arrived) {
				exposure += float64(n.b.at.Sub(s))
			} else {
				own++
			}
			if s.After(arrived.Add(-distance)) {
				count++
			}
		}
		for _, e := range n.ends[id] {
			if e.After(arrived) {
				exposure -= float64(n.b.at.Sub(e))
			} else {
				own--
			}
		}
		exposure += float64(own) * float64(n.b.at.Sub(arrived)+distance/2)
	}
	answers := 0
	for _, a := range n.answers[id] {
		if a.After(arrived) || arrived.IsZero() {
			answers++
		}
	}
	calls := max(l.InProgress+l.Queued+min(count, ringSize), n.own(id))
	if calls > 10 {
		exposure *= 10 / float64(calls)
	}
	seen := float64(1 + answers)
	serviceTime = (reportWeight*serviceTime + max(exposure, seen*serviceTime)) / (reportWeight + seen)
	return serviceTime*(1+waitFactor(calls, 10)) + float64(distance)
}

// Guards against a server that fails fast and looks fast, which would attract the calls of the whole service.
func TestFailingFastIsNotAttractive(t *testing.T) {
	for _, kind := range []Kind{Error, Refused} {
		b := newBench(3, func(_ int, s *Server) { s.Place = "a" })
		v := settings.Default()
		v.Ejection.ConsecutiveErrors = 1000 // without the help of ejection
		b.Configure(testService, &v)
		share := b.share(t, 5000, func(id string) Result {
			if id == "s1" {
				return Result{Kind: kind, Latency: 100 * time.Microsecond}
			}
			return Result{Latency: 10 * time.Millisecond}
		})
		require.Less(t, share["s1"], 0.15, "kind %d: %v", kind, share)
	}
}

// Guards against an ejection that empties a service when all of its servers fail for a common cause.
func TestEjectionKeepsAFloor(t *testing.T) {
	for servers := 1; servers <= 8; servers++ {
		b := newBench(servers, nil)
		b.share(t, 3000, func(string) Result { return Result{Kind: Error, Latency: time.Millisecond} })
		out := 0
		for _, s := range b.Dump()[testService] {
			if s.EjectedForMs > 0 {
				out++
			}
		}
		require.LessOrEqual(t, out, servers/2)
	}
}

// Guards against an ejected server that is chosen while healthy ones are left, or never again.
func TestEjectedServerReturnsAfterItsTime(t *testing.T) {
	b := newBench(2, nil)
	for range 5 {
		b.Started(Server{ID: "s0"})
		b.Finished(Server{ID: "s0"}, Result{Kind: Error})
	}
	s, err := b.Pick(testService, nil)
	require.NoError(t, err)
	require.Equal(t, "s1", s.ID)
	s, err = b.Pick(testService, []string{"s1"})
	require.NoError(t, err, "an ejected server is better than none")
	require.Equal(t, "s0", s.ID)
	b.at = b.at.Add(2 * time.Second)
	require.Zero(t, b.Dump()[testService][0].EjectedForMs)
}

// Guards against a cold server that takes its full share at once, and against new services that take nothing.
func TestSlowStartLimitsTheShareOfANewServer(t *testing.T) {
	first := time.Unix(1000, 0)
	b := newBench(3, func(i int, s *Server) {
		s.Place = "a"
		if i == 0 {
			s.FirstSeen = first
		}
	})
	values := settings.Default()
	values.Balance.SlowStartMs = 10_000
	b.Configure(testService, &values)
	share := b.share(t, 2000, func(string) Result { return Result{Latency: 10 * time.Millisecond} })
	require.Less(t, share["s0"], 0.15)
	require.Greater(t, share["s0"], 0.01)
	b = newBench(3, func(_ int, s *Server) { s.FirstSeen = first })
	b.share(t, 100, func(string) Result { return Result{Latency: 10 * time.Millisecond} })
}

// Guards against one server that takes all calls of a large service whose servers are all new, as after a restart.
func TestNewServersOfALargeServiceShareTheCalls(t *testing.T) {
	b := newBench(200, func(_ int, s *Server) { s.FirstSeen = time.Unix(1000, 0) })
	for id, share := range b.share(t, 2000, func(string) Result { return Result{Latency: 10 * time.Millisecond} }) {
		require.Less(t, share, 0.05, id)
	}
}

// Guards against work for draining servers and against a choice where there is none.
func TestPickSkipsDrainingServers(t *testing.T) {
	b := newBench(2, func(i int, s *Server) { s.Draining = i == 0 })
	s, err := b.Pick(testService, nil)
	require.NoError(t, err)
	require.Equal(t, "s1", s.ID)
	b.Observe("n1", []Load{{ServerID: "s1", Sequence: 1, Limit: 10, Draining: true}})
	_, err = b.Pick(testService, nil)
	require.ErrorIs(t, err, ErrNoServer)
	_, err = b.Pick("unknown", nil)
	require.ErrorIs(t, err, ErrNoServer)
}

// Guards against calls that stay at home whatever it costs, or leave it at once.
func TestCallsSpillOverWhenTheHomePlaceIsWorse(t *testing.T) {
	b := newBench(2, nil) // s1 is 2 ms away
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

// Guards against stale reports that replace newer ones, and against reports of an older incarnation.
func TestObserveKeepsTheNewestReport(t *testing.T) {
	b := newBench(1, nil)
	for _, l := range []Load{{Incarnation: 2, Sequence: 5, Queued: 1}, {Incarnation: 2, Sequence: 4, Queued: 2}, {Incarnation: 1, Sequence: 9, Queued: 3}} {
		l.ServerID = "s0"
		b.Observe("n0", []Load{l})
	}
	b.at = b.at.Add(time.Millisecond)
	require.Equal(t, []Load{{ServerID: "s0", Incarnation: 2, Sequence: 5, Queued: 1, Age: time.Millisecond}}, b.Freshest(testService, 3))
}

// Guards against sampling that misses a healthy server in a large service where most are slow.
func TestSamplingAvoidsSlowServersOfALargeService(t *testing.T) {
	b := newBench(200, nil)
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

// Guards against referral to a server that is no better, and against referring a whole queue to one free slot.
func TestSiblingNamesOnlyServersThatAreExpectedToBeFaster(t *testing.T) {
	b := newBench(2, func(_ int, s *Server) { s.Place, s.Slots = "a", 1 })
	b.Observe("n1", []Load{{ServerID: "s1", Sequence: 1, Limit: 1, ServiceTime: 10 * time.Millisecond}})
	b.at = b.at.Add(time.Millisecond)
	_, ok := b.Sibling(testService, "s0", 5*time.Millisecond)
	require.False(t, ok)
	referred := 0
	for range 10 {
		if _, ok := b.Sibling(testService, "s0", 30*time.Millisecond); ok {
			referred++
		}
	}
	require.Positive(t, referred)
	require.Less(t, referred, 4)
}

// Guards against a node that is sent no report, or one with every answer, and against a table of nodes that only grows.
func TestReportLimiterKeepsReportsApart(t *testing.T) {
	at := time.Unix(1000, 0)
	p := NewReportLimiter(func() time.Time { return at }, func() time.Duration { return 2 * time.Millisecond })
	require.True(t, p.Due("a"))
	require.False(t, p.Due("a"))
	require.True(t, p.Due("b"))
	at = at.Add(2 * time.Millisecond)
	require.True(t, p.Due("a"))
	for i := range 3 * maxTracked {
		at = at.Add(time.Millisecond)
		p.Due(fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(p.sentAt), maxTracked)
}

// Guards against data races, and against attempts that are lost count of, while the servers change.
func TestBalancerIsSafeForConcurrentUse(t *testing.T) {
	b := newBench(6, nil)
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
			bench := newBench(n, nil)
			b.ReportAllocs()
			for b.Loop() {
				bench.at = bench.at.Add(time.Microsecond)
				if _, err := bench.Pick(testService, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStartedObserveFinished(b *testing.B) {
	for _, n := range []int{3, 20, 200} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			bench := newBench(n, nil)
			s := Server{ID: "s1", Service: testService}
			loads := []Load{{ServerID: "s1", Limit: 10, ServiceTime: 10 * time.Millisecond}}
			b.ReportAllocs()
			for b.Loop() {
				bench.at = bench.at.Add(time.Microsecond)
				bench.Started(s)
				loads[0].Sequence++
				bench.Observe("n1", loads)
				bench.Finished(s, Result{Latency: time.Millisecond})
			}
		})
	}
}

// Reports the heap for each server record, its entry in the index included.
func BenchmarkMemoryPerServer(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newBench(1000, nil)
	}
	b.ReportMetric(1000, "servers/op")
}
