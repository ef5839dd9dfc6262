package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// barrier answers its calls only when the given number of them are in progress.
type barrier struct {
	size     int
	mu       sync.Mutex
	arrived  int
	released chan struct{}
}

func (b *barrier) Do(ctx context.Context, r *attempt.Request) (*attempt.Answer, error) {
	b.mu.Lock()
	released := b.released
	if b.arrived++; b.arrived == b.size {
		b.arrived, b.released = 0, make(chan struct{})
		close(released)
	}
	b.mu.Unlock()
	select {
	case <-released:
		return &attempt.Answer{Status: 200, Body: []byte(r.AttemptID)}, nil
	case <-ctx.Done():
		return nil, &attempt.Broken{Kind: attempt.KindCancelled}
	}
}

// Guards against a stream on which no goroutine receives any more: a waiting call would block the calls behind it,
// permanently if it can end only together with them.
func TestCallsInProgressDoNotBlockOthers(t *testing.T) {
	const calls, rounds = 40, 50
	local := &barrier{size: calls, released: make(chan struct{})}
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
	}, time.Minute, time.Millisecond, "the caller did not close its stream to a stopping node")
}

// headerEcho answers a call with its header. A call with the id unencodable gets an answer that cannot be sent.
type headerEcho struct{}

func (headerEcho) Do(_ context.Context, r *attempt.Request) (*attempt.Answer, error) {
	header := r.Header
	if r.AttemptID == "unencodable" {
		header = http.Header{"\xff": {"x"}}
	}
	return &attempt.Answer{Status: 200, Header: header}, nil
}

// Guards against calls and answers that never arrive because a header value holds bytes which are not UTF-8, and against a call that
// waits until its deadline because its answer cannot be encoded.
func TestHeaderValuesAreBytesAndAnUnsentAnswerIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(insecure.NewCredentials(), &Service{Local: headerEcho{}})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	caller := &Caller{Pool: NewPool(insecure.NewCredentials())}
	defer caller.Pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	sent := http.Header{"X-Note": {"caf\xe9", "b"}}
	answer, err := caller.Do(ctx, balance.Server{Address: listener.Addr().String()},
		&attempt.Request{AttemptID: "a", Timeout: time.Minute, Header: sent})
	require.NoError(t, err)
	assert.Equal(t, sent, answer.Header)
	_, err = caller.Do(ctx, balance.Server{Address: listener.Addr().String()},
		&attempt.Request{AttemptID: "unencodable", Timeout: time.Minute})
	var broken *attempt.Broken
	require.ErrorAs(t, err, &broken)
	assert.Equal(t, attempt.KindBroken, broken.Kind)
	assert.NoError(t, ctx.Err(), "it must not wait for its deadline")
}

// stalledListener accepts connections that stop reading after stalled is closed.
type stalledListener struct {
	net.Listener
	stalled chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &stalledConn{Conn: c, stalled: l.stalled, closed: make(chan struct{})}, err
}

type stalledConn struct {
	net.Conn
	stalled, closed chan struct{}
	once            sync.Once
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *stalledConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against calls that outlive their context while they are sent to a peer that does not read: the answer of a hedge
// would be delayed until they end.
func TestCallsToAStalledPeerEndWithTheirContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stalled := make(chan struct{})
	server := NewServer(insecure.NewCredentials(), &Service{Local: headerEcho{}})
	go func() { _ = server.Serve(&stalledListener{listener, stalled}) }()
	defer server.Stop()
	caller := &Caller{Pool: NewPool(insecure.NewCredentials())}
	defer caller.Pool.Close()
	do := func(ctx context.Context, id string, size int) error {
		_, err := caller.Do(ctx, balance.Server{Address: listener.Addr().String()},
			&attempt.Request{AttemptID: id, Timeout: time.Minute, Body: make([]byte, size)})
		return err
	}
	require.NoError(t, do(context.Background(), "first", 1))
	close(stalled)
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
