package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// BenchmarkAddedLatency compares direct calls with calls through one and through two nodes, open loop, in one run. Use
// -benchtime 1x; each case takes measureFor.
func BenchmarkAddedLatency(b *testing.B) {
	const measureFor = 10 * time.Second
	// More slots than concurrent calls, so that no call waits for a slot.
	const slots = 64
	f := newTestFleet(b, "crews")
	f.startNode("hoian", "quotes", slots)
	f.await("both nodes know both servers", func() bool { return f.allNodesKnow([]string{"quotes", "crews"}) })
	targets := []struct{ name, address string }{
		{"direct", f.servers[1].Address()},
		{"one node", f.nodes[1].config.ListenCallers},
		{"two nodes", f.nodes[0].config.ListenCallers},
	}
	for _, rate := range []int{65, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				f.measureTargets(b, rate, measureFor, targets)
			}
		})
	}
}

// measureTargets sends calls to all targets in turn, so that other load on the machine affects all of them equally.
func (f *testFleet) measureTargets(b *testing.B, rate int, d time.Duration, targets []struct{ name, address string }) {
	histograms := make([]*hdrhistogram.Histogram, len(targets))
	locks := make([]sync.Mutex, len(targets))
	for i := range histograms {
		histograms[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	var calls sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	start := time.Now()
	for n := 0; time.Duration(n)*interval < d; n++ {
		for i := range targets {
			// The calls to the targets are spread over the interval, so that they do not overlap at the start.
			intended := start.Add(time.Duration(n)*interval + time.Duration(i)*interval/time.Duration(len(targets)))
			time.Sleep(time.Until(intended))
			calls.Go(func() {
				sent := time.Now()
				f.get(b, targets[i].address)
				locks[i].Lock()
				defer locks[i].Unlock()
				_ = histograms[i].RecordValue(time.Since(sent).Microseconds())
			})
		}
	}
	calls.Wait()
	for i, h := range histograms {
		for _, q := range []float64{50, 99, 99.9} {
			b.ReportMetric(float64(h.ValueAtQuantile(q)), fmt.Sprintf("%s-p%v-us", targets[i].name[:3], q))
		}
	}
}

func (f *testFleet) get(b *testing.B, address string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/offer", nil)
	require.NoError(b, err)
	request.Host = "quotes.example"
	response, err := f.client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
