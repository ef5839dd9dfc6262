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

// deafListener accepts connections that stop reading once deaf is closed.
type deafListener struct {
	net.Listener
	deaf chan struct{}
}

func (l *deafListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &deafConn{Conn: c, deaf: l.deaf, closed: make(chan struct{})}, err
}

type deafConn struct {
	net.Conn
	deaf, closed chan struct{}
	once         sync.Once
}

func (c *deafConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.deaf:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *deafConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// The test guards against calls that outlive their context while they are sent to a peer that does not read: the answer of
// a hedge would wait for them.
func TestCallsToADeafPeerEndWithTheirContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	deaf := make(chan struct{})
	server := NewServer(insecure.NewCredentials(), &Service{Local: echo{}})
	go func() { _ = server.Serve(&deafListener{listener, deaf}) }()
	defer server.Stop()
	caller := &Caller{Pool: NewPool(insecure.NewCredentials())}
	defer caller.Pool.Close()
	do := func(ctx context.Context, id string, size int) error {
		_, err := caller.Do(ctx, balance.Server{Address: listener.Addr().String()},
			&attempt.Request{AttemptID: id, Timeout: time.Minute, Body: make([]byte, size)})
		return err
	}
	require.NoError(t, do(context.Background(), "first", 1))
	close(deaf)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			err := do(ctx, fmt.Sprint(i), 200<<10)
			var broken *attempt.Broken
			if assert.ErrorAs(t, err, &broken) {
				assert.Equal(t, attempt.KindDeadline, broken.Kind)
			}
		})
	}
	group.Wait()
}
