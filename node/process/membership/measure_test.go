package membership

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/peerpb"
)

var fleetSizes = flag.String("fleet", "50", "fleets of TestTrafficStaysWithinBudget, separated by commas: nodes of one place, or nodes of each place x places")

// TestMain sets the seed of the rapid tests to a fixed value unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "7"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// framingBytes is the estimated overhead of gRPC, TLS and TCP for a request or a reply.
const framingBytes = 150

// rates returns per second, sent and received together: the messages, payload bytes and bytes with framing of the average
// node, and the bytes with framing of the busiest node.
func rates(nodes []*testNode, before []Traffic, span time.Duration) (messages, payload, framed, worst float64) {
	for i, n := range nodes {
		t := n.Traffic()
		k := float64(t.SentMessages+t.ReceivedMessages-before[i].SentMessages-before[i].ReceivedMessages) / span.Seconds()
		b := float64(t.SentBytes+t.ReceivedBytes-before[i].SentBytes-before[i].ReceivedBytes) / span.Seconds()
		messages, payload = messages+k/float64(len(nodes)), payload+b/float64(len(nodes))
		worst = max(worst, b+k*framingBytes)
	}
	return messages, payload, payload + messages*framingBytes, worst
}

func snapshot(nodes []*testNode) []Traffic {
	var out []Traffic
	for _, n := range nodes {
		out = append(out, n.Traffic())
	}
	return out
}

// Guards against control traffic over 3 KB/s per node, at rest and at the rate of changes of a large fleet: per day 39 hosts
// fail and 1,100 are replaced, with about 6 changes each (one change in 13 s), and there are 32,000 settings versions (one
// in 2.7 s).
func TestTrafficStaysWithinBudget(t *testing.T) {
	const budget, span = 3 << 10, 2 * time.Minute
	for _, size := range strings.Split(*fleetSizes, ",") {
		count, places := size, "1"
		if i := strings.Index(size, "x"); i > 0 {
			count, places = size[:i], size[i+1:]
		}
		perPlace, err := strconv.Atoi(count)
		require.NoError(t, err)
		names := strings.Split("a,b,c,d,e,f,g,h", ",")
		n, err := strconv.Atoi(places)
		require.NoError(t, err)
		t.Run(size+" nodes", func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster) {
				nodes := c.launch(perPlace, names[:n]...)
				t.Log("all joined after", c.eventually(2*time.Minute, "join", func() bool { return agree(nodes) }))
				time.Sleep(time.Minute)
				t.Log("change known to all after", c.spreadTimes(nodes))
				time.Sleep(time.Minute)
				version := int64(0)
				for _, load := range []struct {
					name                            string
					changeInterval, versionInterval time.Duration
				}{
					{"at rest", 0, 0}, {"a change in 13 s", 13 * time.Second, 0}, {"and a settings version in 2.7 s", 13 * time.Second, 2700 * time.Millisecond},
					{"a change a second", time.Second, 0}, {"5 changes a second", time.Second / 5, 0},
				} {
					before := snapshot(nodes)
					for elapsed, i := time.Duration(0), 0; elapsed < span; elapsed += 100 * time.Millisecond {
						if load.changeInterval > 0 && elapsed%load.changeInterval == 0 {
							i++
							nodes[i%len(nodes)].SetSelf(Server{ID: "s", Service: "quotes", Slots: i}, i%2 == 0)
						}
						if load.versionInterval > 0 && elapsed%load.versionInterval == 0 {
							version++
							for _, n := range nodes {
								n.SetSettingsVersion(version)
							}
						}
						time.Sleep(100 * time.Millisecond)
					}
					messages, payload, framed, worst := rates(nodes, before, span)
					t.Logf("%-31s %.1f messages/s, %.0f B/s payload, %.0f B/s with framing, busiest node %.0f B/s", load.name, messages, payload, framed, worst)
					require.Less(t, framed, float64(budget))
				}
			})
		})
	}
}

// spreadTimes returns the median and longest time until all nodes hold a change, over 15 changes.
func (c *cluster) spreadTimes(nodes []*testNode) string {
	var times []time.Duration
	for i := range 15 {
		n := nodes[i*7%len(nodes)]
		n.SetSelf(Server{ID: "s", Service: "quotes", Slots: 1000 + i}, false)
		start := time.Now()
		for !slices.ContainsFunc(nodes, func(o *testNode) bool { return time.Since(start) > time.Minute }) {
			if !slices.ContainsFunc(nodes, func(o *testNode) bool { return o.records.get(n.cfg.Address).Slots != int32(1000+i) }) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		times = append(times, time.Since(start))
		time.Sleep(5 * time.Second)
	}
	slices.Sort(times)
	return fmt.Sprintf("%v (median), %v (longest)", times[len(times)/2], times[len(times)-1])
}

// emptyTransport answers every ping as alive and every sync request with an empty reply.
type emptyTransport struct{}

func (emptyTransport) Ping(context.Context, string, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Alive: true, Incarnation: 1}, nil
}

func (emptyTransport) Sync(context.Context, string, *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return &peerpb.SyncReply{}, nil
}

type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time                       { return c.now }
func (c *stepClock) After(time.Duration) <-chan time.Time { return nil }

func newFilledMembership(records int) (*Membership, *stepClock) {
	clock := &stepClock{now: time.Unix(1e9, 0)}
	m := New(Config{Address: "10.0.0.0:7000", Place: "p0"}, emptyTransport{}, clock, rand.New(rand.NewPCG(1, 1)))
	addRecords(m.records, records, 8, max(1, records/19))
	m.self.incarnation, m.self.sequence = 1, 3
	return m, clock
}

var recordCounts = []int{1000, 4000, 13000}

// BenchmarkTick measures one tick with the replies to its requests; a node runs 10 ticks a second. bytes/record is the heap
// retained by the whole table with its indexes, divided by the number of records.
func BenchmarkTick(b *testing.B) {
	for _, records := range recordCounts {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m, clock := newFilledMembership(records)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				clock.now = clock.now.Add(m.timing.Tick)
				m.tick(context.Background())
				m.tasks.Wait()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(records), "bytes/record")
		})
	}
}

// BenchmarkWork measures the operations whose cost grows with the number of records.
func BenchmarkWork(b *testing.B) {
	for _, records := range recordCounts {
		m, _ := newFilledMembership(records)
		ctx := context.Background()
		changing, _ := newFilledMembership(records)
		equal := &peerpb.SyncRequest{From: "x", BucketHashes: m.records.hashes(bucketCount)}
		differs := &peerpb.SyncRequest{From: "x", BucketHashes: slices.Clone(equal.BucketHashes)}
		differs.BucketHashes[3]++
		target := m.records.ring("p1")[0]
		for name, f := range map[string]func(i int){
			"compare equal":          func(int) { _, _ = m.HandleSync(ctx, equal) },
			"compare one differing":  func(int) { _, _ = m.HandleSync(ctx, differs) },
			"rendezvous, one place":  func(i int) { m.Rendezvous(strconv.Itoa(i), func(p string) bool { return p == "p2" }) },
			"rendezvous, all places": func(i int) { m.Rendezvous(strconv.Itoa(i), nil) },
			"by service":             func(int) { m.ByService(target.Service) },
			"merge a change": func(int) {
				c := *changing.records.get(target.Address)
				c.Sequence++
				changing.apply(&c, false)
			},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, records), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					f(i)
				}
			})
		}
	}
}

// directTransport delivers every request to one node.
type directTransport struct{ to *Membership }

func (d directTransport) Ping(ctx context.Context, _ string, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return d.to.HandlePing(ctx, req)
}

func (d directTransport) Sync(ctx context.Context, _ string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return d.to.HandleSync(ctx, req)
}

// BenchmarkJoin measures the transfer of all records of a fleet to a new node, both sides together.
func BenchmarkJoin(b *testing.B) {
	for _, records := range recordCounts {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			full, clock := newFilledMembership(records)
			var rounds, bytes int64
			for range b.N {
				fresh := New(Config{Address: "10.99.0.1:7000", Place: "p0"}, directTransport{full}, clock, rand.New(rand.NewPCG(1, 1)))
				for !slices.Equal(fresh.records.hashes(bucketCount), full.records.hashes(bucketCount)) {
					fresh.exchange(context.Background(), "")
					rounds++
				}
				bytes += fresh.Traffic().ReceivedBytes
			}
			b.ReportMetric(float64(rounds)/float64(b.N), "rounds")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes")
		})
	}
}
