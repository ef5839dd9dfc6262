package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/platformtest"
)

// gate blocks callers of pass while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func (g *gate) close() { g.mu.Lock(); g.opened = make(chan struct{}); g.mu.Unlock() }
func (g *gate) open()  { g.mu.Lock(); close(g.opened); g.opened = nil; g.mu.Unlock() }
func (g *gate) pass()  { _ = g.passContext(context.Background()) }

// passContext waits until the gate is open, or returns an error if the context ends first.
func (g *gate) passContext(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return nil
	}
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testClock is the virtual clock of one node. Its timers do not fire while the node is paused.
type testClock struct{ gate *gate }

func (c testClock) Now() time.Time { return time.Now() }
func (c testClock) After(d time.Duration) <-chan time.Time {
	out := make(chan time.Time, 1)
	time.AfterFunc(d, func() { c.gate.pass(); out <- time.Now() })
	return out
}

// network connects the nodes of a test in memory.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*testNode
	random      *rand.Rand
	loss        float64
	partitioned func(from, to *testNode) bool
}

type testNode struct {
	*Membership
	network *network
	clock   testClock
	stop    context.CancelFunc
	done    chan error
}

var errLost = errors.New("no answer")

// deliver returns the target once the request has arrived, or an error when the context ends.
func (n *testNode) deliver(ctx context.Context, address string) (*testNode, error) {
	n.clock.gate.pass()
	net := n.network
	net.mu.Lock()
	to := net.nodes[address]
	lost := to == nil || net.random.Float64() < net.loss || net.partitioned != nil && net.partitioned(n, to)
	net.mu.Unlock()
	if lost {
		<-ctx.Done()
		n.clock.gate.pass()
		return nil, errLost
	}
	time.Sleep(time.Millisecond)
	if err := to.clock.gate.passContext(ctx); err != nil {
		n.clock.gate.pass()
		return nil, err
	}
	return to, nil
}

// deliverReply returns nil if the reply arrives, or an error if it is lost or late.
func (n *testNode) deliverReply(ctx context.Context) error {
	n.network.mu.Lock()
	lost := n.network.random.Float64() < n.network.loss
	n.network.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	n.clock.gate.pass()
	return ctx.Err()
}

func (n *testNode) Ping(ctx context.Context, address string, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	to, err := n.deliver(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, _ := to.HandlePing(ctx, req)
	return reply, n.deliverReply(ctx)
}

func (n *testNode) Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	to, err := n.deliver(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, _ := to.HandleSync(ctx, req)
	return reply, n.deliverReply(ctx)
}

// cluster is a fleet of test nodes with its table service.
type cluster struct {
	*network
	t     *testing.T
	store *platformtest.Memory
	seed  uint64
	// peers and timing are used for the nodes started next.
	peers  []string
	timing Timing
}

func newCluster(t *testing.T) *cluster {
	net := &network{nodes: map[string]*testNode{}, random: rand.New(rand.NewPCG(1, 2))}
	return &cluster{network: net, t: t, store: platformtest.NewMemory()}
}

func (c *cluster) start(address, place string) *testNode {
	c.seed++
	n := &testNode{network: c.network, clock: testClock{&gate{}}, done: make(chan error, 1)}
	n.Membership = New(Config{Address: address, Place: place, Peers: c.peers, Table: c.store, Timing: c.timing}, n, n.clock,
		rand.New(rand.NewPCG(c.seed, 7)))
	n.SetSelf(Server{ID: address, Service: "quotes", Slots: 17}, false)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(c.t.Context())
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	go func() { n.done <- n.Run(ctx) }()
	return n
}

// kill stops a node without announcing that it leaves.
func (c *cluster) kill(n *testNode) {
	c.mu.Lock()
	if c.nodes[n.cfg.Address] == n {
		delete(c.nodes, n.cfg.Address)
	}
	c.mu.Unlock()
	n.stop()
	<-n.done
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	nodes := make([]*testNode, 0, len(c.nodes))
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	c.mu.Unlock()
	for _, n := range nodes {
		c.kill(n)
	}
	time.Sleep(10 * time.Second) // lets the pending timers of the clocks fire
}

func (c *cluster) setLoss(p float64) { c.mu.Lock(); c.loss = p; c.mu.Unlock() }
func (c *cluster) setPartition(f func(a, b *testNode) bool) {
	c.mu.Lock()
	c.partitioned = f
	c.mu.Unlock()
}

// launch starts count nodes in each place, one after another.
func (c *cluster) launch(count int, places ...string) []*testNode {
	var nodes []*testNode
	for i := range count {
		for _, place := range places {
			nodes = append(nodes, c.start(fmt.Sprintf("10.%s.%d.%d:7000", place, i/200, i%200), place))
		}
	}
	return nodes
}

// eventually waits in virtual time until the condition holds and returns how long that took.
func (c *cluster) eventually(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return time.Since(start)
		}
		require.Less(c.t, time.Since(start), limit, what)
	}
}

// agree reports whether each of the nodes holds exactly these nodes as alive members.
func agree(nodes []*testNode) bool {
	for _, n := range nodes {
		live := 0
		for r := range n.Members() {
			if r.State == Alive {
				live++
			}
		}
		if live != len(nodes) {
			return false
		}
		for _, o := range nodes {
			if r := n.records.get(o.cfg.Address); r == nil || o.Self() == nil || r.State != Alive || r.Incarnation != o.Self().Incarnation {
				return false
			}
		}
	}
	return true
}

// sees reports whether every node holds the address in the state.
func sees(nodes []*testNode, address string, state State) bool {
	for _, n := range nodes {
		if r := n.records.get(address); r == nil || r.State != state {
			return false
		}
	}
	return true
}

// withCluster runs the scenario with a new cluster in virtual time.
func withCluster(t *testing.T, scenario func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.stopAll()
		scenario(t, c)
	})
}

// Guards against nodes that never agree on the members after the start, and against a stopped node that the others keep as
// alive.
func TestFleetJoinsAndDetectsStoppedNode(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		nodes := c.launch(7, "a", "b")
		t.Log("joined after", c.eventually(time.Minute, "join", func() bool { return agree(nodes) }))
		dead := nodes[3]
		c.kill(dead)
		rest := append(append([]*testNode{}, nodes[:3]...), nodes[4:]...)
		t.Log("dead after", c.eventually(time.Minute, "death", func() bool { return sees(rest, dead.cfg.Address, Dead) }))
		require.Len(t, rest[0].ByService("quotes"), 13)
	})
}
