package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// shardCount is the number of locks over which the connections are spread.
	shardCount = 16
	// idleTimeout is the time without calls after which a stream or connection is closed. A node of a large fleet calls
	// hundreds of peers a day.
	idleTimeout        = time.Minute
	keepaliveInterval  = 10 * time.Second
	keepaliveTimeout   = 3 * time.Second
	reconnectBaseDelay = 50 * time.Millisecond
	reconnectMaxDelay  = 2 * time.Second
	connectTimeout     = time.Second
	maxMessageBytes    = 32 << 20
)

// readBufferBytes is the size of the buffer that each side of a TLS connection holds while it waits for data. Reads of
// larger frames bypass it.
const readBufferBytes = 4 << 10

// Windows of HTTP/2 flow control. They are fixed, because grpc-go otherwise estimates the bandwidth with a ping for nearly
// every call, which wakes up both nodes one more time. The stream window is also the maximum that a node buffers of a large
// answer whose caller reads slowly. It allows 5 MB/s per stream at a round trip of 100 ms.
const (
	streamWindowBytes     = 512 << 10
	connectionWindowBytes = 1 << 20
)

// Pool holds one gRPC connection to each peer that this node calls. It is safe for concurrent use.
type Pool struct {
	credentials credentials.TransportCredentials
	shards      [shardCount]poolShard
}

type poolShard struct {
	mu    sync.RWMutex
	conns map[string]*peerConn
}

// peerConn is the connection to one peer and the call stream on it.
type peerConn struct {
	*grpc.ClientConn

	// openSemaphore has a capacity of one and is held while the call stream is being opened.
	openSemaphore chan struct{}
	link          atomic.Pointer[link]
}

// NewPool returns an empty pool.
func NewPool(c credentials.TransportCredentials) *Pool {
	p := &Pool{credentials: c}
	for i := range p.shards {
		p.shards[i].conns = map[string]*peerConn{}
	}
	return p
}

// Client returns a client for the peer at address.
func (p *Pool) Client(address string) (peerpb.PeerClient, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// link returns the call stream to the peer at address, and opens it if there is no usable one. An error means that nothing
// was sent.
func (p *Pool) link(ctx context.Context, address string) (*link, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	if l := conn.link.Load(); l != nil && l.usable() {
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	select {
	case conn.openSemaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	opened := make(chan error, 1)
	go func() {
		defer func() { <-conn.openSemaphore }()
		opened <- conn.open()
	}()
	select {
	case err := <-opened:
		return conn.link.Load(), err
	case <-ctx.Done():
		// The stream continues to be opened for later calls.
		return nil, ctx.Err()
	}
}

// open opens a call stream unless there is a usable one.
func (c *peerConn) open() error {
	if l := c.link.Load(); l != nil && l.usable() {
		return nil
	}
	l, err := newLink(peerpb.NewPeerClient(c.ClientConn))
	if err == nil {
		c.link.Store(l)
	}
	return err
}

// close closes the call stream and the connection.
func (c *peerConn) close() {
	if l := c.link.Load(); l != nil {
		l.cancel()
	}
	_ = c.Close()
}

// conn returns the connection to the peer at address, and creates it if there is none.
func (p *Pool) conn(address string) (*peerConn, error) {
	shard := &p.shards[hash(address)%shardCount]
	shard.mu.RLock()
	conn := shard.conns[address]
	shard.mu.RUnlock()
	if conn != nil {
		return conn, nil
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if conn := shard.conns[address]; conn != nil {
		return conn, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address, p.options()...)
	if err != nil {
		return nil, err
	}
	conn = &peerConn{ClientConn: client, openSemaphore: make(chan struct{}, 1)}
	shard.conns[address] = conn
	return conn, nil
}

func (p *Pool) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(p.credentials),
		// The entry node decides on retries. A retry by the library could execute a call twice.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connectionWindowBytes),
		grpc.WithReadBufferSize(readBufferBytes),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMaxDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// Retain closes the connections to all addresses for which keep returns false.
func (p *Pool) Retain(keep func(address string) bool) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for address, conn := range shard.conns {
			if !keep(address) {
				conn.close()
				delete(shard.conns, address)
			}
		}
		shard.mu.Unlock()
	}
}

// CloseIdleStreams half-closes the call streams without calls for idleTimeout, so that their connections can become idle.
func (p *Pool) CloseIdleStreams(now time.Time) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.RLock()
		for _, conn := range shard.conns {
			if l := conn.link.Load(); l != nil && l.idleTime(now) > idleTimeout {
				go l.halfClose()
			}
		}
		shard.mu.RUnlock()
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.Retain(func(string) bool { return false }) }

// Len returns the number of connections.
func (p *Pool) Len() int {
	n := 0
	for i := range p.shards {
		p.shards[i].mu.RLock()
		n += len(p.shards[i].conns)
		p.shards[i].mu.RUnlock()
	}
	return n
}

// NewServer returns a gRPC server for the messages between nodes.
func NewServer(c credentials.TransportCredentials, service peerpb.PeerServer) *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(c),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.StaticConnWindowSize(connectionWindowBytes),
		grpc.ReadBufferSize(readBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveInterval / 2, PermitWithoutStream: true,
		}),
	)
	peerpb.RegisterPeerServer(server, service)
	return server
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
