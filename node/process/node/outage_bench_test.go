package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/platformtest"
	"github.com/radishstand/radishstand/node/process/ledger"
)

// newKeyedFleet starts 14 nodes and waits until they hold the ledger's ranges.
func newKeyedFleet(b *testing.B) *testFleet {
	services := make([]string, 14)
	for i := range services {
		// newTestFleet waits until each node may call all servers, and a node calls a limited number of servers per service.
		services[i] = []string{"crews", "quotes"}[i%2]
	}
	f := newTestFleet(b, services...)
	// Long enough for each holder to check its epoch after the last node has started.
	time.Sleep(12 * time.Second)
	return f
}

// BenchmarkOutage sends 100 keyed calls/s with new keys to 14 nodes while the store is down. The first 2 s, in which the
// first call of each range waits for the store, are left out. Run with -benchtime 1x.
func BenchmarkOutage(b *testing.B) {
	f := newKeyedFleet(b)
	f.store.SetFault(func(platformtest.Operation) platformtest.Fault { return platformtest.Fault{Down: true} })
	f.keyedCalls(2 * time.Second)
	before := f.epochMessages()
	const d = 10 * time.Second
	latencies, outcomes := f.keyedCalls(d)
	b.ReportMetric(float64(f.epochMessages()-before)/d.Seconds(), "messages/s")
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(outcomes[contract.OutcomeNotRun]), "not-run")
	b.ReportMetric(float64(outcomes[contract.OutcomeUnknown]), "unknown")
	f.store.SetFault(nil)
}

func (f *testFleet) keyedCalls(d time.Duration) (*hdrhistogram.Histogram, map[contract.Outcome]int) {
	latencies, outcomes := hdrhistogram.New(1, 60_000_000, 3), map[contract.Outcome]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		<-ticker.C
		calls.Go(func() {
			start := time.Now()
			r := f.call(i%len(f.nodes), http.MethodPost, "crews", "/book", key(fmt.Sprint(start.UnixNano())), "keyed")
			mu.Lock()
			defer mu.Unlock()
			_ = latencies.RecordValue(time.Since(start).Microseconds())
			outcomes[r.outcome]++
		})
	}
	calls.Wait()
	return latencies, outcomes
}

// epochMessages returns the number of messages about epochs that all nodes have sent.
func (f *testFleet) epochMessages() (n int64) {
	for _, node := range f.nodes {
		n += node.fleet.ledgerServer.Dump().Counters["ledger.epochs-asked"]
	}
	return n
}

// BenchmarkTakeOver measures the time from the crash or planned stop of the holder of a ledger range until a keyed call of
// the range runs.
func BenchmarkTakeOver(b *testing.B) {
	for _, end := range []string{"crash", "leave"} {
		b.Run(end, func(b *testing.B) {
			f := newKeyedFleet(b)
			index, holder := f.remotelyHeldRange()
			require.Positive(b, holder)
			start := time.Now()
			if end == "crash" {
				f.kill(holder)
			} else {
				f.stops[holder]()
			}
			b.ReportMetric(time.Since(start).Seconds(), "stop-s")
			start = time.Now()
			for i := 0; ; i++ {
				k := key(fmt.Sprint("take-over", i))
				if ledger.KeyOf("crews", k.Get(contract.HeaderIdempotencyKey)).Range() != index {
					continue
				}
				if f.call(0, http.MethodPost, "crews", "/book", k, "keyed").outcome == contract.OutcomeRun {
					break
				}
			}
			b.ReportMetric(time.Since(start).Seconds(), "take-over-s")
		})
	}
}

// remotelyHeldRange returns a range that a node other than node 0 holds, and the index of that node.
func (f *testFleet) remotelyHeldRange() (index, holder int) {
	for i := range ledger.RangeCount {
		member, _, _ := f.nodes[0].fleet.locate(i)
		for n, node := range f.nodes {
			if n > 0 && node.id == member {
				return i, n
			}
		}
	}
	return 0, 0
}
