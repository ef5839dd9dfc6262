package ledger

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/platformtest"
)

var errBroken = errors.New("connection broken")

// fleet is a set of nodes that share a store. Tests control their views of the holder and their connections.
type fleet struct {
	store   *platformtest.Memory
	mu      sync.Mutex
	servers map[string]*Server
	clients map[string]*Client
	// views maps a node to the member that holds all ranges in its view.
	views map[string]string
	// gates maps a node to the connection of its current process to the store.
	gates map[string]*gate
	// unreachable holds the nodes that cannot be called, losesReplies those whose replies are lost.
	unreachable, losesReplies map[string]bool
	// hidden holds the nodes that are not in the membership view of any other node.
	hidden map[string]bool
	// replyDelay is the delay of replies between nodes.
	replyDelay time.Duration
}

func newFleet(t testing.TB, limits Limits, nodes ...string) *fleet {
	f := &fleet{
		store: platformtest.NewMemory(), servers: map[string]*Server{}, clients: map[string]*Client{},
		views: map[string]string{}, unreachable: map[string]bool{}, losesReplies: map[string]bool{},
		hidden: map[string]bool{},
		gates:  map[string]*gate{},
	}
	for _, n := range nodes {
		f.views[n] = nodes[0]
		f.start(n, limits)
	}
	t.Cleanup(f.close)
	return f
}

// start starts a process of the node. It replaces a running one, whose memory is lost.
func (f *fleet) start(node string, limits Limits) {
	f.startWithClock(node, limits, time.Now)
}

func (f *fleet) startWithClock(node string, limits Limits, now func() time.Time) {
	f.mu.Lock()
	old, oldClient := f.servers[node], f.clients[node]
	f.mu.Unlock()
	if old != nil {
		old.Close()
		oldClient.Close(cancelledContext())
	}
	locate := func(int) (string, bool, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.views[node], f.views[node] == node, f.views[node] != ""
	}
	g := &gate{Table: f.store}
	server := NewServer(Config{
		Table: g, Locate: locate, Now: now, Limits: limits, Self: node, Peers: f,
		Witnesses: func(int) []string { return f.others(node) },
	})
	client := NewClient(ClientConfig{Local: server, Peers: f, Locate: locate})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[node], f.clients[node], f.gates[node] = server, client, g
}

func (f *fleet) close() {
	for _, c := range f.clients {
		c.Close(cancelledContext())
	}
	for _, s := range f.servers {
		s.Close()
	}
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// gate forwards the operations of a process to the store. While it is closed, all operations fail, as after a crash or
// during a partition.
type gate struct {
	platform.Table
	mu     sync.Mutex
	closed bool
	// crashAt is the number of the operation, counted from 1, at which the gate closes; 0 for never. That operation takes
	// effect only if crashAfter is set.
	crashAt    int
	crashAfter bool
	count      int
}

// pass counts an operation, and returns whether it reaches the store and whether its answer is returned.
func (g *gate) pass() (reaches, answers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
	if g.closed {
		return false, false
	}
	if g.count == g.crashAt {
		g.closed = true
		return g.crashAfter, false
	}
	return true, true
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *gate) Transact(ctx context.Context, writes ...platform.Write) error {
	reaches, answers := g.pass()
	if !reaches {
		return platform.ErrUnavailable
	}
	if err := g.Table.Transact(ctx, writes...); answers {
		return err
	}
	return platform.ErrOutcomeUnknown
}

func (g *gate) Get(ctx context.Context, key platform.Key) (platform.Item, error) {
	if _, answers := g.pass(); !answers {
		return platform.Item{}, platform.ErrUnavailable
	}
	return g.Table.Get(ctx, key)
}

func (g *gate) Query(ctx context.Context, partition, from string, limit int) ([]platform.Item, error) {
	if _, answers := g.pass(); !answers {
		return nil, platform.ErrUnavailable
	}
	return g.Table.Query(ctx, partition, from, limit)
}

// setHolder sets the holder of all ranges in the views of the nodes, or of all nodes if none is given.
func (f *fleet) setHolder(holder string, nodes ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.views {
		if len(nodes) == 0 {
			f.views[n] = holder
		}
	}
	for _, n := range nodes {
		f.views[n] = holder
	}
}

func (f *fleet) set(m map[string]bool, node string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[node] = on
}

func (f *fleet) client(node string) *Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients[node]
}

// callPeer calls a handler of another node through the simulated connection.
func callPeer[Req, Rep any](
	ctx context.Context, f *fleet, to string, r Req,
	h func(*Server, context.Context, Req) (Rep, error),
) (Rep, error) {
	var none Rep
	f.mu.Lock()
	s, unreachable, losesReply, delay := f.servers[to], f.unreachable[to], f.losesReplies[to], f.replyDelay
	f.mu.Unlock()
	if unreachable || ctx.Err() != nil {
		return none, errBroken
	}
	time.Sleep(time.Millisecond)
	reply, err := h(s, ctx, r)
	time.Sleep(delay)
	if losesReply {
		return none, errBroken
	}
	return reply, err
}

// Claim implements Peers.
func (f *fleet) Claim(ctx context.Context, to string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return callPeer(ctx, f, to, r, (*Server).HandleClaim)
}

// Epochs implements EpochPeers.
func (f *fleet) Epochs(ctx context.Context, to string, r *peerpb.EpochsRequest) (*peerpb.EpochsReply, error) {
	return callPeer(ctx, f, to, r, (*Server).HandleEpochs)
}

// others returns the other nodes that are not hidden.
func (f *fleet) others(node string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []string
	for n := range f.views {
		if n != node && !f.hidden[n] {
			others = append(others, n)
		}
	}
	return others
}

// Complete implements Peers.
func (f *fleet) Complete(ctx context.Context, to string, r *peerpb.CompleteRequest) (*peerpb.LedgerReply, error) {
	return callPeer(ctx, f, to, r, (*Server).HandleComplete)
}

// Release implements Peers.
func (f *fleet) Release(ctx context.Context, to string, r *peerpb.ReleaseRequest) (*peerpb.LedgerReply, error) {
	return callPeer(ctx, f, to, r, (*Server).HandleRelease)
}

var (
	testBody = HashOf([]byte("POST"), []byte("/deposit"), []byte("100"))
	bg       = context.Background()
)

// claim returns the state of a claim as text, or "refused" for an error.
func (f *fleet) claim(node, key, call string) string {
	return f.claimBody(node, key, call, testBody)
}

func (f *fleet) claimBody(node, key, call string, body Hash) string {
	r, err := f.client(node).Claim(bg, Claim{Key: KeyOf("pay", key), Body: body, CallID: call, Timeout: 10 * time.Second})
	if err != nil {
		return "refused"
	}
	return r.State.String()
}

func (f *fleet) complete(node, key, call, answer string) error {
	ctx, cancel := context.WithTimeout(bg, 5*time.Second)
	defer cancel()
	return f.client(node).Complete(ctx, KeyOf("pay", key), call, answerOf(answer))
}

func (f *fleet) release(node, key, call string) error {
	ctx, cancel := context.WithTimeout(bg, 5*time.Second)
	defer cancel()
	return f.client(node).Release(ctx, KeyOf("pay", key), call)
}

func answerOf(body string) *peerpb.RecordedAnswer {
	return &peerpb.RecordedAnswer{Head: &peerpb.AnswerHead{Status: 201}, Body: []byte(body)}
}
