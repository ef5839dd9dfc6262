package node

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// BenchmarkFleetAtRest measures the cost of an idle node, with complete nodes and real sockets in one process: processor
// time, heap, messages and bytes of the membership, and reads and writes of the store. Use -benchtime 1x.
func BenchmarkFleetAtRest(b *testing.B) {
	const settle, measureFor = 15 * time.Second, 20 * time.Second
	for _, size := range []int{14, 50, 100, 200} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			services := make([]string, size)
			for i := range services {
				services[i] = []string{"quotes", "crews"}[i%2]
			}
			f := newTestFleet(b, services...)
			time.Sleep(settle)
			f.measureIdle(b, measureFor)
		})
	}
}

func (f *testFleet) measureIdle(b *testing.B, d time.Duration) {
	cpu, messages, bytes := processorTime(), int64(0), int64(0)
	for _, n := range f.nodes {
		t := n.fleet.members.Traffic()
		messages, bytes = messages-t.SentMessages, bytes-t.SentBytes
	}
	reads, writes := f.store.Counts()
	time.Sleep(d)
	cpu = processorTime() - cpu
	for _, n := range f.nodes {
		t := n.fleet.members.Traffic()
		messages, bytes = messages+t.SentMessages, bytes+t.SentBytes
	}
	readsAfter, writesAfter := f.store.Counts()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	nodeSeconds := float64(len(f.nodes)) * d.Seconds()
	b.ReportMetric(100*cpu.Seconds()/nodeSeconds, "%core/node")
	b.ReportMetric(float64(messages)/nodeSeconds, "messages/s/node")
	b.ReportMetric(float64(bytes)/nodeSeconds, "bytes/s/node")
	b.ReportMetric(float64(memory.HeapAlloc+memory.StackInuse)/float64(len(f.nodes))/1024, "KB/node")
	b.ReportMetric(float64(readsAfter-reads)/d.Seconds(), "store-reads/s")
	b.ReportMetric(float64(writesAfter-writes)/d.Seconds(), "store-writes/s")
	b.ReportMetric(0, "ns/op")
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
