package peer

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/radishstand/radishstand/api/peerpb"
)

const (
	// shardCount spreads the connections over locks.
	shardCount = 16
	// idleAfter closes connections without calls. A node of a large fleet calls hundreds of peers in a day.
	idleAfter       = time.Minute
	keepaliveAfter  = 10 * time.Second
	keepaliveWait   = 3 * time.Second
	reconnectBase   = 50 * time.Millisecond
	reconnectMax    = 2 * time.Second
	connectTimeout  = time.Second
	maxMessageBytes = 32 << 20
)

// Pool holds one gRPC connection to each peer that this node calls. It is safe for concurrent use.
type Pool struct {
	credentials credentials.TransportCredentials
	shards      [shardCount]poolShard
}

type poolShard struct {
	mu    sync.RWMutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool(c credentials.TransportCredentials) *Pool {
	p := &Pool{credentials: c}
	for i := range p.shards {
		p.shards[i].conns = map[string]*grpc.ClientConn{}
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

func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
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
	conn, err := grpc.NewClient("passthrough:///"+address, p.options()...)
	if err != nil {
		return nil, err
	}
	shard.conns[address] = conn
	return conn, nil
}

func (p *Pool) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(p.credentials),
		grpc.WithStatsHandler(sentTracker{}),
		// The entry node decides on retries; a retry by the library could run work twice.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveAfter, Timeout: keepaliveWait}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax,
			},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// Forget closes the connections to all addresses that keep rejects.
func (p *Pool) Forget(keep func(address string) bool) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for address, conn := range shard.conns {
			if !keep(address) {
				_ = conn.Close()
				delete(shard.conns, address)
			}
		}
		shard.mu.Unlock()
	}
}

// Close closes all connections.
func (p *Pool) Close() { p.Forget(func(string) bool { return false }) }

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
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveAfter / 2, PermitWithoutStream: true,
		}),
	)
	peerpb.RegisterPeerServer(server, service)
	return server
}
