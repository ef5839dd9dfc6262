package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// meeting answers its calls only when the given number of them is in progress.
type meeting struct {
	size    int
	mu      sync.Mutex
	arrived int
	all     chan struct{}
}

func (m *meeting) Do(ctx context.Context, r *attempt.Request) (*attempt.Answer, error) {
	m.mu.Lock()
	all := m.all
	if m.arrived++; m.arrived == m.size {
		m.arrived, m.all = 0, make(chan struct{})
		close(all)
	}
	m.mu.Unlock()
	select {
	case <-all:
		return &attempt.Answer{Status: 200, Body: []byte(r.AttemptID)}, nil
	case <-ctx.Done():
		return nil, &attempt.Broken{Kind: attempt.KindCancelled}
	}
}

// The test guards against a stream on which no goroutine receives any more: a call that waits would hold up the calls
// behind it, for good if they have to meet.
func TestCallsInProgressDoNotHoldUpOthers(t *testing.T) {
	const calls, rounds = 40, 50
	local := &meeting{size: calls, all: make(chan struct{})}
	service := &Service{Local: local}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(insecure.NewCredentials(), service)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	caller := &Caller{Pool: NewPool(insecure.NewCredentials())}
	defer caller.Pool.Close()
	do := func(id string) (*attempt.Answer, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		return caller.Do(ctx, balance.Server{Address: listener.Addr().String()}, &attempt.Request{AttemptID: id, Timeout: time.Minute})
	}
	for round := range rounds {
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() {
				id := fmt.Sprintf("%d-%d", round, i)
				answer, err := do(id)
				if assert.NoError(t, err) {
					assert.Equal(t, id, string(answer.Body))
				}
			})
		}
		group.Wait()
	}

	service.Drain(context.Background())
	require.Eventually(t, func() bool {
		service.streams.mu.Lock()
		defer service.streams.mu.Unlock()
		return len(service.streams.open) == 0
	}, time.Minute, time.Millisecond, "the caller does not close its stream to a node that stops")
}
