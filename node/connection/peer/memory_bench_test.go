package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// echo answers every attempt.
type echo struct{}

func (echo) Do(context.Context, *attempt.Request) (*attempt.Answer, error) {
	return &attempt.Answer{Status: 200, Body: []byte("ok")}, nil
}

// BenchmarkLinkMemory measures the heap and stack of a connection with its stream of calls, both sides together. Use
// -benchtime 1x.
func BenchmarkLinkMemory(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("peers=%d", size), func(b *testing.B) {
			pool := NewPool(insecure.NewCredentials())
			b.Cleanup(pool.Close)
			before := memoryInUse()
			for range size {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(b, err)
				server := NewServer(insecure.NewCredentials(), &Service{Local: echo{}})
				go func() { _ = server.Serve(listener) }()
				b.Cleanup(server.Stop)
				caller := &Caller{Pool: pool}
				request := &attempt.Request{AttemptID: "a", Timeout: time.Second}
				_, err = caller.Do(context.Background(), balance.Server{Address: listener.Addr().String()}, request)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(memoryInUse()-before)/float64(size)/1024, "KB/link")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
